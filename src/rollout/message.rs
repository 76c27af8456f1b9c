//! The messages of the rollout protocol. They are encoded with `postcard`, so the order of fields and variants
//! determines the wire format.

use serde::{Deserialize, Serialize};

use super::PolicyVersion;
use crate::consensus::LeaderTerm;

/// Identifies one pause of incoming requests. Pauses are ordered: a later pause compares greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Pause {
    pub(super) term: LeaderTerm,
    /// The number of the pause within the leadership of one coordinator.
    pub(super) attempt: u64,
    /// The policy version that the pause is for.
    pub version: u64,
}

/// The result of a member's check of the staged version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct CheckResult {
    /// The version that was checked.
    pub(super) version: u64,
    /// The reason why the member cannot run the version, or `None` if it can.
    pub(super) error: Option<String>,
}

/// A member's heartbeat to the leader: reports the member's state and requests a lease.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct LeaseRequest {
    /// The number of this request. A lease starts at the time the request was sent, not when the grant arrives.
    pub(super) nonce: u64,
    /// The epoch of the newest decision that the member has applied, or 0 if its newest known decision is not applied
    /// yet.
    pub(super) epoch: u64,
    /// The check result for the staged version, if the check has finished.
    pub(super) checked: Option<CheckResult>,
    /// The pause that the member's frontends have confirmed, if any.
    pub(super) paused: Option<Pause>,
    /// The newer version that the member's operator has proposed, if any.
    pub(super) wanted: Option<PolicyVersion>,
}

impl LeaseRequest {
    /// Returns whether the member has checked and accepted this version.
    pub(super) fn accepts(&self, version: u64) -> bool {
        self.checked.as_ref().is_some_and(|checked| checked.version == version && checked.error.is_none())
    }

    /// Returns the member's reason for rejecting this version, if it has rejected it.
    pub(super) fn rejection(&self, version: u64) -> Option<&str> {
        let checked = self.checked.as_ref().filter(|checked| checked.version == version)?;
        checked.error.as_deref()
    }
}

/// A rollout message between a participant and the coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    /// Participant to leader: a heartbeat that requests a lease.
    LeaseRequest(LeaseRequest),
    /// Leader to participant: grants the lease that a heartbeat requested.
    LeaseGrant {
        /// The number of the request that this grant answers.
        nonce: u64,
        /// The duration of the lease, in milliseconds, from the time the request was sent.
        duration_ms: u32,
        /// The epoch of the leader's newest decision. The lease is valid only if the member has applied this decision.
        epoch: u64,
    },
    /// Leader to participant: pause incoming requests until the version is decided on or the leader sends `Resume`.
    Pause(Pause),
    /// Leader to participant: end the pause; the policy in force has not changed.
    Resume(Pause),
    /// Participant to leader: this process requests no further leases. It keeps its fleet address until the leader has
    /// acknowledged this message. Therefore, if a new process sends from the address and no `Leave` came before, the
    /// earlier process has ended.
    Leave {
        /// Whether the process continues to serve until its lease expires. If false, the lease ends immediately.
        serves: bool,
    },
    /// Leader to participant: acknowledges `Leave`.
    Left,
}

impl Message {
    pub(super) fn encode(&self) -> Vec<u8> {
        // Serializing into a vector cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Message> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
