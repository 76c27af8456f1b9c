//! Counters of this frontend, in addition to those of its core: how streams ended, and bytes of bodies.

use std::fmt;

use crate::flow::{Direction, FailedPeer, PaceFailure, Side};

/// Counts since the start of the program.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Exchanges whose response was written completely.
    pub completed: u64,
    /// Exchanges aborted after the response had begun, in a way that the client can detect.
    pub aborted: u64,
    /// Requests rejected before their body was read: malformed, too large, too slow, or with an unknown class
    /// or a rejected method.
    pub rejected_unread: u64,
    /// Requests and connections rejected because of a bound on streams or connections.
    pub rejected_full: u64,
    /// Clients given up because they were slower than the least pace.
    pub slow_clients: u64,
    /// Clients given up because they transferred no byte for too long.
    pub silent_clients: u64,
    /// Endpoints given up because they were slower than the least pace.
    pub slow_servers: u64,
    /// Endpoints given up because they transferred no byte for too long, or did not begin the response in
    /// time.
    pub silent_servers: u64,
    /// Refusals (429 and 503) of endpoints that were relayed to their clients.
    pub relayed_refusals: u64,
    /// Refusals of endpoints that were not relayed: the request may have run, and must not run again.
    pub unproven_refusals: u64,
    /// Bytes of requests written to endpoints during relays.
    pub bytes_up: u64,
    /// Bytes of responses written to clients during relays.
    pub bytes_down: u64,
}

impl Counters {
    /// Counts a peer that was given up, by its role and the reason.
    pub fn count_failed_peer(&mut self, failed_peer: &FailedPeer) {
        let is_client = (failed_peer.direction == Direction::Up) == (failed_peer.side == Side::Source);
        let count = match (is_client, failed_peer.failure) {
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
            ("cut", self.aborted),
            ("unread", self.rejected_unread),
            ("full", self.rejected_full),
            ("slow_clients", self.slow_clients),
            ("silent_clients", self.silent_clients),
            ("slow_servers", self.slow_servers),
            ("silent_servers", self.silent_servers),
            ("relayed_refusals", self.relayed_refusals),
            ("unproven_refusals", self.unproven_refusals),
            ("bytes_up", self.bytes_up),
            ("bytes_down", self.bytes_down),
        ];
        rows.iter().try_for_each(|(name, count)| writeln!(f, "{name} {count}"))
    }
}
