//! Failover between zones, free of I/O: what each dispatcher saw (`evidence`), what the leader makes of all of it
//! (`decide`), and what a dispatcher does with the newest decision, or without one (`follow`).
//!
//! Shares are parts of a thousand. A zone's share is what of its usual work it may get; it scales the sizes of the
//! zone's servers as the decision module reads them, and 0 is a drain.

mod failover_controller;
mod health_reports;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod wire_tests;
mod zone_failover;
mod zone_view;

pub use failover_controller::{Decider, Rules};
pub use health_reports::{Digest, End, Evidence, FRESH, STEP, Seen, Sight, Source, Tally, Verdict};
pub use zone_failover::{Decided, Effect, Zones};
pub use zone_view::{Follower, Gate, Standing, View};

use serde::{Deserialize, Serialize};

/// The consensus's topic of zones.
pub const TOPIC: u8 = 1;
/// Most zones of a fleet.
pub const MOST_ZONES: usize = 64;
/// A whole share.
pub const WHOLE: u16 = 1000;

/// What a zone may get.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// All.
    #[default]
    Open,
    /// A share: some find it failing.
    Careful,
    /// Nothing.
    Closed,
    /// A share that rises.
    Returning,
}

/// What is decided of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Its state.
    pub state: State,
    /// What of its usual work it may get.
    pub share: u16,
    /// How it stands among the zones that take what others cannot: by its free capacity.
    pub weight: u16,
    /// What of their requests dispatchers of this zone take while it is not open; the rest has no room anywhere.
    pub admit: u16,
    /// How often it was closed of late: each time it stays closed longer.
    pub closings: u8,
    /// Whether it has room for all that its dispatchers are asked for, so that they need not cross its border.
    pub near: bool,
}

impl Default for Zone {
    fn default() -> Zone {
        Zone { state: State::Open, share: WHOLE, weight: WHOLE, admit: WHOLE, closings: 0, near: true }
    }
}

/// A decision: all zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The zones, in the order of the operator's file.
    pub zones: Vec<Zone>,
}

impl Table {
    /// All open.
    pub fn open(zones: usize) -> Table {
        Table { zones: vec![Zone::default(); zones.min(MOST_ZONES)] }
    }

    /// Its bytes, as the consensus carries it.
    pub fn encode(&self) -> Vec<u8> {
        // Into a vector nothing can fail to fit.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads it back; none where it is not of so many zones or has shares that cannot be.
    pub fn decode(bytes: &[u8], zones: usize) -> Option<Table> {
        let (table, rest) = postcard::take_from_bytes::<Table>(bytes).ok()?;
        let fits = |zone: &Zone| zone.share.max(zone.weight).max(zone.admit) <= WHOLE;
        (rest.is_empty() && table.zones.len() == zones && table.zones.iter().all(fits)).then_some(table)
    }
}
