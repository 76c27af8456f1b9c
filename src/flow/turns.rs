//! The order in which channels have their turns.

use std::collections::VecDeque;

use super::{Direction, StreamId};

/// Bytes below which a channel counts as short and has its turns before long ones. Guards small requests: behind 200
/// full-speed streams a turn came 20 ms late, and a request needs two.
pub const SHORT_CHANNEL_BYTES: u64 = 64 * 1024;

/// Turns of short channels before a long one that waits has its own: the bound on what small requests take from streams.
pub const MAX_SHORT_TURNS_IN_A_ROW: usize = 8;

/// A channel of a stream.
pub(super) type ChannelId = (StreamId, Direction);

/// Channels that wait for their turns: short ones first, up to `MAX_SHORT_TURNS_IN_A_ROW` in a row.
#[derive(Default)]
pub(super) struct Turns {
    short: VecDeque<ChannelId>,
    long: VecDeque<ChannelId>,
    /// Turns of short channels since the last long one's.
    short_in_a_row: usize,
}

impl Turns {
    /// Queues a channel whose sink has taken `passed` bytes so far.
    pub fn push(&mut self, channel: ChannelId, passed: u64) {
        let queue = if passed < SHORT_CHANNEL_BYTES { &mut self.short } else { &mut self.long };
        queue.push_back(channel);
    }

    /// Takes the channel out whose turn it is.
    pub fn pop(&mut self) -> Option<ChannelId> {
        let short_is_next = self.short_in_a_row < MAX_SHORT_TURNS_IN_A_ROW || self.long.is_empty();
        if let Some(next) = short_is_next.then(|| self.short.pop_front()).flatten() {
            self.short_in_a_row += 1;
            return Some(next);
        }
        self.short_in_a_row = 0;
        self.long.pop_front()
    }

    /// Whether no channel waits.
    pub fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }
}
