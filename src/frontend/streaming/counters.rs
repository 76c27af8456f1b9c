//! What this frontend counts beside its core: why streams ended without a complete answer.

use std::fmt;

use crate::flow::{Direction, FailedPeer, PaceFailure, Side};

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Streams whose answer was written completely.
    pub completed: u64,
    /// Streams whose answer had begun, and was broken off so that the client sees it.
    pub cut: u64,
    /// Requests rejected before their body was read: they do not read, or are too large or of no class.
    pub rejected_unread: u64,
    /// Requests rejected by a bound on streams or connections.
    pub rejected_full: u64,
    /// Clients given up as too slow.
    pub slow_clients: u64,
    /// Clients given up as silent.
    pub silent_clients: u64,
    /// Endpoints given up as too slow.
    pub slow_servers: u64,
    /// Endpoints given up as silent.
    pub silent_servers: u64,
    /// Bytes of requests' bodies that endpoints took.
    pub up: u64,
    /// Bytes of answers' bodies that clients took.
    pub down: u64,
}

impl Counters {
    /// Counts a peer that was given up.
    pub fn count_given_up(&mut self, given: &FailedPeer) {
        let is_client = (given.direction == Direction::Up) == (given.side == Side::Source);
        let count = match (is_client, given.failure) {
            (true, PaceFailure::Slow) => &mut self.slow_clients,
            (true, PaceFailure::Silent) => &mut self.silent_clients,
            (false, PaceFailure::Slow) => &mut self.slow_servers,
            (false, PaceFailure::Silent) => &mut self.silent_servers,
        };
        *count += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("whole", self.completed),
            ("cut", self.cut),
            ("unread", self.rejected_unread),
            ("full", self.rejected_full),
            ("slow_clients", self.slow_clients),
            ("silent_clients", self.silent_clients),
            ("slow_servers", self.slow_servers),
            ("silent_servers", self.silent_servers),
            ("bytes_up", self.up),
            ("bytes_down", self.down),
        ];
        rows.iter().try_for_each(|(name, count)| writeln!(f, "{name} {count}"))
    }
}
