//! What the frontends and the fleet's thread send each other, over two bounded channels. Neither waits for the other.

use crate::rollout;
use crate::zones::{AttemptResult, ZoneLoad};

/// A policy as an operator's file has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedPolicy {
    /// Its version.
    pub version: u64,
    /// Its text.
    pub text: String,
}

/// An attempt that has ended in a zone of the fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedAttempt {
    /// The zone, by the fleet's order.
    pub zone: usize,
    /// How it ended, as far as the zone goes.
    pub result: AttemptResult,
    /// How long its endpoint took, in milliseconds.
    pub latency_ms: f64,
}

/// What happened at the frontends since the last report.
#[derive(Debug, Default)]
pub(super) struct TrafficReport {
    /// Requests that were admitted.
    pub admitted: usize,
    /// Requests that were rejected, since no zone has room.
    pub rejected: usize,
    /// Attempts that ended.
    pub ended: Vec<EndedAttempt>,
    /// Jobs that are open now.
    pub open_jobs: usize,
    /// Each zone as it is now, by the fleet's order.
    pub zones: Vec<ZoneLoad>,
}

/// Whether the frontends go on serving as the process leaves the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// They do, until the lease is over.
    ServesOn,
    /// They start nothing new: the lease can be given back.
    Stopped,
}

/// What the frontends tell the thread.
#[derive(Debug)]
pub(super) enum FleetCommand {
    /// What happened since the last time.
    Report(TrafficReport),
    /// The operator wants this policy.
    Propose(WantedPolicy),
    /// A policy was checked: nothing, or what is wrong with it here.
    Checked { version: u64, error: Option<String> },
    /// The frontends hold what comes in.
    Paused(rollout::Pause),
    /// The process leaves the fleet.
    Leave(Departure),
}

/// What each zone may get from this dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ZoneShares {
    /// The share of each zone, by the fleet's order, in thousandths.
    pub zones: Vec<u16>,
    /// The share of requests that is admitted, in thousandths.
    pub admitted: u16,
}

/// What the thread tells the frontends.
#[derive(Debug)]
pub(super) enum FleetEvent {
    /// What each zone may get.
    Shares(ZoneShares),
    /// The figures, rendered.
    Figures(String),
    /// Where the policy stands, in a line for operators.
    PolicyStatus(String),
    /// What is to be done with the policy.
    Policy(PolicyCommand),
}

/// What the frontends are to do with the policy, in order.
#[derive(Clone, Debug)]
pub enum PolicyCommand {
    /// Check a policy against what is known here, and tell the result.
    Check(WantedPolicy),
    /// Hold what comes in, and tell that.
    Pause(rollout::Pause),
    /// Let what was held go on.
    Resume,
    /// A policy is in force.
    Apply {
        /// Its text.
        text: String,
    },
    /// Requests may be started until then, in milliseconds of `core::boot_ms`.
    ServeUntil(f64),
}
