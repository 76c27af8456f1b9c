//! Zone failover: moves traffic away from failing zones and back in steps. Performs no I/O.
//!
//! | file | responsibility |
//! | --- | --- |
//! | `outcome_counter` | counts the outcomes of one dispatcher's attempts and builds its digests |
//! | `health_reports` | collects the digests of all dispatchers and derives the health of each zone |
//! | `capacity` | derives the load and free capacity of the zones from the same digests |
//! | `failover_controller` | the leader's state machine, which closes and reopens zones |
//! | `zone_view` | derives a dispatcher's shares from the newest decision, or without recent decisions |
//! | `zone_failover` | combines the above for one member, on top of the fleet node |
//!
//! The dispatchers agree on zone tables through `crate::consensus`, under [`TOPIC`]. `core/traffic_split.rs` applies
//! the resulting view to the endpoint list. `docs/design/zones.md` compares the alternatives.
//!
//! Shares are in thousandths. The share of a zone is the fraction of its usual work that it may get. It scales the
//! sizes of the zone's endpoints as the router sees them; a share of 0 drains the zone.

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

/// The consensus topic of zone tables and digests.
pub const TOPIC: u8 = 1;
/// Maximum number of zones in a fleet. A table with this many zones fits in one decision.
pub const MAX_ZONES: usize = 64;
/// A full share, in thousandths.
pub const FULL_SHARE: u16 = 1000;

/// The state of a zone. The order of the variants determines the wire format and the numbers in metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneState {
    /// The zone gets all of its usual work.
    #[default]
    Open,
    /// The zone gets a reduced share because some dispatchers find it failing. Shown as `careful` in logs and metrics.
    Degraded,
    /// The zone gets no work.
    Closed,
    /// The zone was closed and gets a share that rises in steps. Shown as `returning` in logs and metrics.
    Recovering,
}

/// The decided settings of one zone. The field order determines the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDecision {
    /// The state of the zone.
    pub state: ZoneState,
    /// The fraction of its usual work that the zone may get, in thousandths.
    pub share: u16,
    /// The weight of the zone among the zones that take over work from others, by its free capacity, in thousandths.
    pub weight: u16,
    /// The fraction of requests that dispatchers in this zone admit while the zone is not open, in thousandths. No zone
    /// has capacity for the rest.
    pub admit: u16,
    /// The number of recent closings. The zone stays closed longer each time.
    pub closings: u8,
    /// Whether the zone has capacity for the whole load offered to its dispatchers, so that they do not use other
    /// zones.
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

/// The decided settings of all zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneTable {
    /// The decisions per zone, in the order of the operator's configuration file.
    pub zones: Vec<ZoneDecision>,
}

impl ZoneTable {
    /// Returns a table with all zones open.
    pub fn open(zones: usize) -> ZoneTable {
        ZoneTable { zones: vec![ZoneDecision::default(); zones.min(MAX_ZONES)] }
    }

    /// Encodes the table as the body of a consensus decision.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing into a vector cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a table. Returns `None` if the bytes are malformed, the number of zones is not `zones`, or a share is
    /// above [`FULL_SHARE`].
    pub fn decode(bytes: &[u8], zones: usize) -> Option<ZoneTable> {
        let (table, rest) = postcard::take_from_bytes::<ZoneTable>(bytes).ok()?;
        let is_valid = rest.is_empty()
            && table.zones.len() == zones
            && table.zones.iter().all(ZoneDecision::has_valid_shares);
        is_valid.then_some(table)
    }
}
