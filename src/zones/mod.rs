//! Failover between zones, free of I/O.
//!
//! | file | what it owns |
//! | --- | --- |
//! | `outcome_counter` | what one dispatcher counts of its own attempts, and the digest of it |
//! | `health_reports` | the digests of all dispatchers, and the health of a zone by them |
//! | `capacity` | what the zones can carry by the same digests |
//! | `failover_controller` | the leader's state machine, which closes and opens zones |
//! | `zone_view` | what a dispatcher does with the newest decision, or without one |
//! | `zone_failover` | all of it joined for one member, on the fleet's node |
//!
//! Tables are agreed on by `crate::consensus` under [`TOPIC`]; `core/traffic_split.rs` applies the view to the endpoint
//! list. `docs/design/zones.md` has the alternatives weighed.
//!
//! Shares are thousandths. A zone's share is the part of its usual work that it may get; it scales the sizes of the
//! zone's endpoints as the router reads them, and 0 is a drain.

mod capacity;
mod failover_controller;
mod health_reports;
mod outcome_counter;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod wire_tests;
mod zone_failover;
mod zone_view;

pub use failover_controller::{FailoverController, FailoverSettings};
pub use health_reports::{DIGEST_LIFETIME_MS, FailureMode, HealthReports, ZoneHealth, ZoneSummary};
pub use outcome_counter::{AttemptResult, Digest, OutcomeCounter, WINDOW_STEP_MS, ZoneLoad, ZoneSample};
pub use zone_failover::{Effect, TableChange, ZoneFailover};
pub use zone_view::{AdmissionShare, AgreementStatus, DecidedTable, ZoneView, ZoneViewTracker};

use serde::{Deserialize, Serialize};

/// The consensus's topic of zones.
pub const TOPIC: u8 = 1;
/// Most zones of a fleet: a table of so many fits a decision.
pub const MAX_ZONES: usize = 64;
/// The full share, in thousandths.
pub const FULL_SHARE: u16 = 1000;

/// The state of a zone. The order of the variants is the wire form and that of the figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneState {
    /// It gets all of its work.
    #[default]
    Open,
    /// It gets a part, as some dispatchers find it failing. `careful` in log lines and figures.
    Degraded,
    /// It gets nothing.
    Closed,
    /// It gets a part that rises. `returning` in log lines and figures.
    Recovering,
}

/// What is decided of a zone. The order of the fields is the wire form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDecision {
    /// Its state.
    pub state: ZoneState,
    /// The part of its usual work that it may get, in thousandths.
    pub share: u16,
    /// Its weight among the zones that take what others cannot, by free capacity, in thousandths.
    pub weight: u16,
    /// The part of their requests that dispatchers of this zone admit while it is not open, in thousandths; no zone has
    /// capacity for the rest.
    pub admit: u16,
    /// How often it was closed lately: each time it stays closed longer.
    pub closings: u8,
    /// Whether it has capacity for all that its dispatchers are offered, so that they need no other zone.
    pub local_only: bool,
}

impl Default for ZoneDecision {
    fn default() -> ZoneDecision {
        ZoneDecision {
            state: ZoneState::Open,
            share: FULL_SHARE,
            weight: FULL_SHARE,
            admit: FULL_SHARE,
            closings: 0,
            local_only: true,
        }
    }
}

impl ZoneDecision {
    fn has_valid_shares(&self) -> bool {
        self.share.max(self.weight).max(self.admit) <= FULL_SHARE
    }
}

/// A decision: what is decided of all zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneTable {
    /// The zones, in the order of the operator's file.
    pub zones: Vec<ZoneDecision>,
}

impl ZoneTable {
    /// A table with all zones open.
    pub fn open(zones: usize) -> ZoneTable {
        ZoneTable { zones: vec![ZoneDecision::default(); zones.min(MAX_ZONES)] }
    }

    /// The bytes that the consensus carries.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing into a vector cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a table; none where it is not of `zones` zones, or has shares above [`FULL_SHARE`].
    pub fn decode(bytes: &[u8], zones: usize) -> Option<ZoneTable> {
        let (table, rest) = postcard::take_from_bytes::<ZoneTable>(bytes).ok()?;
        let is_valid = rest.is_empty()
            && table.zones.len() == zones
            && table.zones.iter().all(ZoneDecision::has_valid_shares);
        is_valid.then_some(table)
    }
}
