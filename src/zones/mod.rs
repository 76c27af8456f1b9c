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

pub use failover_controller::{FailoverController, FailoverSettings};
pub use health_reports::{
    AttemptResult, DIGEST_LIFETIME_MS, Digest, HealthReports, MemberId, OutcomeCounter, WINDOW_STEP_MS,
    ZoneHealth, ZoneSample, ZoneSummary,
};
pub use zone_failover::{Effect, TableChange, ZoneFailover};
pub use zone_view::{AdmissionShare, AgreementStatus, ZoneView, ZoneViewTracker};

use serde::{Deserialize, Serialize};

/// The consensus's topic of zones.
pub const TOPIC: u8 = 1;
/// Most zones of a fleet.
pub const MAX_ZONES: usize = 64;
/// A whole share.
pub const FULL_SHARE: u16 = 1000;

/// What a zone may get.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneState {
    /// All.
    #[default]
    Open,
    /// A share: some find it failing.
    Degraded,
    /// Nothing.
    Closed,
    /// A share that rises.
    Recovering,
}

/// What is decided of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDecision {
    /// Its state.
    pub state: ZoneState,
    /// What of its usual work it may get.
    pub share: u16,
    /// How it stands among the zones that take what others cannot: by its free capacity.
    pub weight: u16,
    /// What of their requests dispatchers of this zone take while it is not open; the rest has no room anywhere.
    pub admit: u16,
    /// How often it was closed of late: each time it stays closed longer.
    pub closings: u8,
    /// Whether it has room for all that its dispatchers are asked for, so that they need not cross its border.
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

/// A decision: all zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneTable {
    /// The zones, in the order of the operator's file.
    pub zones: Vec<ZoneDecision>,
}

impl ZoneTable {
    /// All open.
    pub fn open(zones: usize) -> ZoneTable {
        ZoneTable { zones: vec![ZoneDecision::default(); zones.min(MAX_ZONES)] }
    }

    /// Its bytes, as the consensus carries it.
    pub fn encode(&self) -> Vec<u8> {
        // Into a vector nothing can fail to fit.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads it back; none where it is not of so many zones or has shares that cannot be.
    pub fn decode(bytes: &[u8], zones: usize) -> Option<ZoneTable> {
        let (table, rest) = postcard::take_from_bytes::<ZoneTable>(bytes).ok()?;
        let fits = |zone: &ZoneDecision| zone.share.max(zone.weight).max(zone.admit) <= FULL_SHARE;
        (rest.is_empty() && table.zones.len() == zones && table.zones.iter().all(fits)).then_some(table)
    }
}
