//! The states that a participant's machines are in, what its operators see of them, and why it refuses a version. The
//! transitions are in `participant`.

use super::PolicyDecision;
use super::message::Pause;
use crate::fleet::MAX_DOCUMENT_BYTES;

/// Why a version is not proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The version, or a higher one, was staged before.
    #[error("version {version} was decided on before: a higher one is needed")]
    NotNewer {
        /// The version.
        version: u64,
    },
    /// The document is longer than a fleet shares.
    #[error("the policy is too long: {} KiB at most", MAX_DOCUMENT_BYTES >> 10)]
    TooLong,
}

/// The state of a member's part, for its operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ParticipantStatus {
    /// The version that it runs.
    pub version: u64,
    /// What is decided, as far as is known here.
    pub decision: PolicyDecision,
    /// The epoch of the decision.
    pub epoch: u64,
    /// Whether incoming requests are to be paused.
    pub is_paused: bool,
    /// When its lease ends, in milliseconds.
    pub lease_until_ms: f64,
    /// The version that its operator wants and that is not decided on.
    pub wanted: Option<u64>,
}

/// The document of the staged version, on this member's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StagedDocument {
    /// It is not here, or nothing is staged.
    Missing,
    /// It was given out to be saved and checked.
    Saving,
    /// It is on disk.
    Saved,
}

/// Whether incoming requests are paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PauseState {
    /// They are not.
    Running,
    /// The leader asked for a pause.
    Requested(Pause),
    /// The frontends have paused.
    Confirmed(Pause),
}

impl PauseState {
    /// The pause that was asked for, confirmed or not.
    pub(super) fn pause(self) -> Option<Pause> {
        match self {
            PauseState::Running => None,
            PauseState::Requested(pause) | PauseState::Confirmed(pause) => Some(pause),
        }
    }

    /// The pause that the frontends have confirmed.
    pub(super) fn confirmed(self) -> Option<Pause> {
        match self {
            PauseState::Confirmed(pause) => Some(pause),
            PauseState::Running | PauseState::Requested(_) => None,
        }
    }
}

/// Whether this process takes part in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Membership {
    /// It asks for leases.
    Active,
    /// It asks for none any more; `serves` until its lease is over.
    Leaving { serves: bool },
    /// The leader knows that it leaves.
    Left,
}

/// A heartbeat whose answer may still arrive.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRequest {
    pub(super) nonce: u64,
    pub(super) sent_at_ms: f64,
}
