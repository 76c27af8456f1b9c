//! One direction of a stream: its phase, the bytes buffered in it, and the pace of its source and its sink.

use super::meter::{Pace, PaceMeter};

/// Bytes that a channel may always buffer, even when the shared pool is exhausted. A small request fits into
/// this, so it still passes when long streams have filled their windows.
pub const MIN_CHANNEL_BYTES: usize = 4 * 1024;

/// The phase of a channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Not started, or paused for an event that is not I/O, such as the choice of an endpoint.
    Closed,
    /// The source is read, but nothing is written to the sink yet.
    Held,
    /// The source is read and the sink is written.
    Open,
    /// The source has ended; buffered bytes are still written to the sink.
    Draining,
}

/// The state of one direction of a stream.
#[derive(Debug)]
pub(super) struct Channel {
    pub phase: Phase,
    /// Bytes held in all buffers of the channel.
    pub held: usize,
    /// Whether the source may have bytes to read.
    pub readable: bool,
    /// Whether the sink accepts no bytes for now.
    pub blocked: bool,
    /// Whether nothing more can be read until the sink accepts bytes.
    pub full: bool,
    /// Whether the channel is in the turn queue.
    pub queued: bool,
    /// Whether the channel waits for free bytes in the shared pool.
    pub starved: bool,
    /// Bytes written to the sink so far.
    pub written: u64,
    pub source: PaceMeter,
    pub sink: PaceMeter,
}

impl Channel {
    /// Creates a closed channel.
    pub fn new(pace: Pace) -> Channel {
        Channel {
            phase: Phase::Closed,
            held: 0,
            readable: false,
            blocked: false,
            full: false,
            queued: false,
            starved: false,
            written: 0,
            source: PaceMeter::new(pace),
            sink: PaceMeter::new(pace),
        }
    }

    /// Whether the current phase reads the source.
    pub fn reads_source(&self) -> bool {
        matches!(self.phase, Phase::Held | Phase::Open)
    }

    /// Whether the current phase writes to the sink.
    pub fn writes_sink(&self) -> bool {
        matches!(self.phase, Phase::Open | Phase::Draining)
    }

    /// Returns how many more bytes the channel may buffer when `pool_free` bytes are left in the pool.
    pub fn available(&self, window: usize, pool_free: usize) -> usize {
        let guaranteed = MIN_CHANNEL_BYTES.saturating_sub(self.held);
        window.saturating_sub(self.held).min(pool_free.max(guaranteed))
    }

    /// Returns how many bytes the channel may read now.
    pub fn credit(&self, window: usize, pool_free: usize) -> usize {
        if self.reads_source() && self.readable && !self.full { self.available(window, pool_free) } else { 0 }
    }
}
