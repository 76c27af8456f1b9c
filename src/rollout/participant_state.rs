//! The state types of a participant, its status for operators, and the errors of a proposal. The transitions between
//! the states are in `participant`.

use super::PolicyDecision;
use super::message::Pause;
use crate::fleet::MAX_DOCUMENT_BYTES;

/// The reason why a proposed version is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This version or a higher one has been staged before.
    #[error("version {version} is not higher than the last staged version: increase the version number")]
    NotNewer {
        /// The refused version.
        version: u64,
    },
    /// The document exceeds the maximum size of a shared document.
    #[error("the policy document is too long: the limit is {} KiB", MAX_DOCUMENT_BYTES >> 10)]
    TooLong,
}

/// The status of a participant, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ParticipantStatus {
    /// The version that this member runs, or 0 if it runs none.
    pub version: u64,
    /// The newest decision that this member knows.
    pub decision: PolicyDecision,
    /// The epoch of `decision`.
    pub epoch: u64,
    /// Whether a pause of incoming requests has been requested or confirmed.
    pub is_paused: bool,
    /// The time when this member's lease expires, in milliseconds.
    pub lease_until_ms: f64,
    /// The version that this member's operator has proposed and that has not been staged yet.
    pub wanted: Option<u64>,
}

/// Whether the document of the staged version is on this member's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StagedDocument {
    /// This member does not have the document, or nothing is staged.
    Missing,
    /// The caller has been asked to save and check the document.
    Saving,
    /// The document is on disk.
    Saved,
}

/// Whether incoming requests are paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PauseState {
    /// Incoming requests are not paused.
    Running,
    /// The leader has requested a pause, and the frontends have not confirmed it yet.
    Requested(Pause),
    /// The frontends have paused incoming requests.
    Confirmed(Pause),
}

impl PauseState {
    /// Returns the current pause, confirmed or not.
    pub(super) fn pause(self) -> Option<Pause> {
        match self {
            PauseState::Running => None,
            PauseState::Requested(pause) | PauseState::Confirmed(pause) => Some(pause),
        }
    }

    /// Returns the current pause if the frontends have confirmed it.
    pub(super) fn confirmed(self) -> Option<Pause> {
        match self {
            PauseState::Confirmed(pause) => Some(pause),
            PauseState::Running | PauseState::Requested(_) => None,
        }
    }
}

/// Whether this process requests leases or leaves the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Membership {
    /// The process requests leases.
    Active,
    /// The process requests no more leases, and the leader has not acknowledged that yet. If `serves`, it continues to
    /// serve until its lease expires.
    Leaving { serves: bool },
    /// The leader has acknowledged that the process leaves.
    Left,
}

/// A heartbeat that may still be answered by a lease grant.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRequest {
    pub(super) nonce: u64,
    pub(super) sent_at_ms: f64,
}
