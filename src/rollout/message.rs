//! What members send to one another about a change of policy, in `postcard`'s form: the order of fields and variants is
//! the wire form.

use serde::{Deserialize, Serialize};

use super::PolicyVersion;
use crate::consensus::LeaderTerm;

/// A pause of incoming requests: of two the greater is the later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Pause {
    pub(super) term: LeaderTerm,
    /// Number of the pause within the term.
    pub(super) attempt: u64,
    /// The version that it is for.
    pub version: u64,
}

/// A member's answer about the staged version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct CheckResult {
    /// The version that was checked.
    pub(super) version: u64,
    /// Why the member cannot run it; none where it can.
    pub(super) error: Option<String>,
}

/// A member's heartbeat to the leader: its state, and the request for a lease.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct LeaseRequest {
    /// Number of this request; a lease counts from when it was sent.
    pub(super) nonce: u64,
    /// The newest decision that the member has carried out.
    pub(super) epoch: u64,
    /// The answer about the staged version.
    pub(super) checked: Option<CheckResult>,
    /// The pause that the member's frontends have confirmed.
    pub(super) paused: Option<Pause>,
    /// A newer version that the member's operator wants.
    pub(super) wanted: Option<PolicyVersion>,
}

impl LeaseRequest {
    /// Whether the member can run this version.
    pub(super) fn accepts(&self, version: u64) -> bool {
        self.checked.as_ref().is_some_and(|checked| checked.version == version && checked.error.is_none())
    }

    /// Why the member cannot run this version, if it has said so.
    pub(super) fn rejection(&self, version: u64) -> Option<&str> {
        let checked = self.checked.as_ref().filter(|checked| checked.version == version)?;
        checked.error.as_deref()
    }
}

/// What members send to one another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    /// To the leader: a heartbeat.
    LeaseRequest(LeaseRequest),
    /// From the leader: the answer to a heartbeat.
    LeaseGrant {
        /// The request that it answers.
        nonce: u64,
        /// How long the lease lasts from when that was sent, in milliseconds.
        duration_ms: u32,
        /// It counts at a member that has carried this decision out.
        epoch: u64,
    },
    /// From the leader: pause incoming requests until the version is decided on or the leader resumes them.
    Pause(Pause),
    /// From the leader: the pause is over, and nothing has changed.
    Resume(Pause),
    /// To the leader: this process asks for no lease any more. It keeps the fleet's address until the leader has
    /// answered, so that a later process that sends from there without such a message before proves this one gone.
    Leave {
        /// Whether it goes on serving until its lease is over; if not, the lease is given back.
        serves: bool,
    },
    /// From the leader: it knows that the process leaves.
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
