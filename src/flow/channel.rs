//! One direction of a stream: its phase, the bytes that it holds, and the pace of its two peers.

use super::meter::{Meter, Pace};

/// Bytes that a channel may always hold, however full the pool is. Guards a small request against all windows being full:
/// it needs no more than this to pass.
pub const MIN_CHANNEL_BYTES: usize = 4 * 1024;

/// What a channel is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It has not begun, or it waits for something that is no byte.
    Closed,
    /// Bytes are read, and none may leave yet.
    Held,
    /// Bytes are read and passed on.
    Open,
    /// The source has ended; what is held is passed on.
    Draining,
}

/// The state of one direction of a stream.
#[derive(Debug)]
pub(super) struct Channel {
    pub phase: Phase,
    /// Bytes that it holds in all its buffers.
    pub held: usize,
    /// The source may have bytes.
    pub readable: bool,
    /// The sink takes no bytes for now.
    pub blocked: bool,
    /// Nothing more can be read until the sink takes bytes.
    pub full: bool,
    /// It has a turn waiting.
    pub queued: bool,
    /// It waits for room in the pool.
    pub starved: bool,
    /// Bytes that its sink has taken.
    pub passed: u64,
    pub source: Meter,
    pub sink: Meter,
}

impl Channel {
    /// A channel that has not begun.
    pub fn new(pace: Pace) -> Channel {
        Channel {
            phase: Phase::Closed,
            held: 0,
            readable: false,
            blocked: false,
            full: false,
            queued: false,
            starved: false,
            passed: 0,
            source: Meter::new(pace),
            sink: Meter::new(pace),
        }
    }

    /// Whether its source is read.
    pub fn reads(&self) -> bool {
        matches!(self.phase, Phase::Held | Phase::Open)
    }

    /// Whether its bytes may leave to its sink.
    pub fn passes(&self) -> bool {
        matches!(self.phase, Phase::Open | Phase::Draining)
    }

    /// Bytes that it may hold beyond those it holds; `pooled` bytes are left in the pool.
    pub fn room(&self, window: usize, pooled: usize) -> usize {
        let least = MIN_CHANNEL_BYTES.saturating_sub(self.held);
        window.saturating_sub(self.held).min(pooled.max(least))
    }

    /// Bytes that it may read now.
    pub fn credit(&self, window: usize, pooled: usize) -> usize {
        if self.reads() && self.readable && !self.full { self.room(window, pooled) } else { 0 }
    }
}
