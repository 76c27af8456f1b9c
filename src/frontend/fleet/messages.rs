//! Messages between the frontends and the fleet thread. They travel over two bounded channels, and neither
//! side blocks on the other.

use crate::rollout;
use crate::zones::{AttemptResult, ZoneLoad};

/// A policy from an operator's policy file, which the operator wants to be in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedPolicy {
    /// The version.
    pub version: u64,
    /// The text.
    pub text: String,
}

/// An attempt that ended in a zone of the fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedAttempt {
    /// The index of the zone, in the fleet's order.
    pub zone: usize,
    /// The result, as far as it concerns the zone.
    pub result: AttemptResult,
    /// The endpoint's response time, in milliseconds.
    pub latency_ms: f64,
}

/// Traffic at the frontends since the last report.
#[derive(Debug, Default)]
pub(super) struct TrafficReport {
    /// Requests that were admitted.
    pub admitted: usize,
    /// Requests that were rejected because no zone had capacity.
    pub rejected: usize,
    /// Attempts that ended.
    pub ended: Vec<EndedAttempt>,
    /// Jobs that are open now.
    pub open_jobs: usize,
    /// The current load of each zone, in the fleet's order.
    pub zones: Vec<ZoneLoad>,
}

/// Whether the frontends keep serving when the process leaves the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The frontends keep serving until the lease expires.
    KeepsServing,
    /// The frontends start no new requests, so the lease can be returned.
    Stopped,
}

/// A command from the frontends to the fleet thread.
#[derive(Debug)]
pub(super) enum FleetCommand {
    /// The traffic since the last report.
    Report(TrafficReport),
    /// Propose the operator's policy.
    Propose(WantedPolicy),
    /// The result of checking a policy: `None`, or what is wrong with it on this member.
    Checked { version: u64, error: Option<String> },
    /// The frontends have paused and hold incoming requests.
    Paused(rollout::Pause),
    /// The process leaves the fleet.
    Leave(Departure),
}

/// The traffic that this dispatcher may send to each zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ZoneShares {
    /// The share of each zone, in thousandths, in the fleet's order.
    pub zones: Vec<u16>,
    /// The share of requests that is admitted, in thousandths.
    pub admitted: u16,
}

/// An event from the fleet thread to the frontends.
#[derive(Debug)]
pub(super) enum FleetEvent {
    /// New shares of the zones.
    Shares(ZoneShares),
    /// The rendered metrics.
    Metrics(String),
    /// The status line of the policy, for operators.
    PolicyStatus(String),
    /// A policy command to carry out.
    Policy(PolicyCommand),
}

/// A command to the frontends concerning the policy. Commands are carried out in order.
#[derive(Clone, Debug)]
pub enum PolicyCommand {
    /// Check a policy against this member's state and report the result.
    Check(WantedPolicy),
    /// Hold incoming requests and report that they are held.
    Pause(rollout::Pause),
    /// Resume: process the held requests.
    Resume,
    /// Apply a policy that is now in force.
    Apply {
        /// The text of the policy.
        text: String,
    },
    /// Allow requests to start until this time, in milliseconds of `core::boot_ms`.
    ServeUntil(f64),
}
