//! The order in which channels get turns.

use std::collections::VecDeque;

use super::{Direction, StreamId};

/// Bytes below which a channel counts as short and gets its turns before long ones. Without this a turn came
/// 20 ms late behind 200 full-speed streams, and a small request needs two turns.
pub const SHORT_CHANNEL_BYTES: u64 = 64 * 1024;

/// Turns of short channels before a waiting long channel gets one. This limits the share that small requests
/// take from long streams.
pub const MAX_SHORT_TURNS_IN_A_ROW: usize = 8;

/// A channel of a stream.
pub(super) type ChannelId = (StreamId, Direction);

/// Channels that wait for a turn. Short ones go first, up to `MAX_SHORT_TURNS_IN_A_ROW` in a row.
#[derive(Default)]
pub(super) struct TurnQueue {
    short: VecDeque<ChannelId>,
    long: VecDeque<ChannelId>,
    /// Turns of short channels since the last turn of a long one.
    short_in_a_row: usize,
}

impl TurnQueue {
    /// Queues a channel whose sink has accepted `written` bytes so far.
    pub fn push(&mut self, channel: ChannelId, written: u64) {
        let queue = if written < SHORT_CHANNEL_BYTES { &mut self.short } else { &mut self.long };
        queue.push_back(channel);
    }

    /// Removes and returns the channel whose turn is next.
    pub fn pop(&mut self) -> Option<ChannelId> {
        let short_is_next = self.short_in_a_row < MAX_SHORT_TURNS_IN_A_ROW || self.long.is_empty();
        if let Some(next) = short_is_next.then(|| self.short.pop_front()).flatten() {
            self.short_in_a_row += 1;
            return Some(next);
        }
        self.short_in_a_row = 0;
        self.long.pop_front()
    }

    /// Whether no channel is queued.
    pub fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }
}
