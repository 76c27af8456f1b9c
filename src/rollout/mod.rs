//! A change of policy that takes effect on all members or on none, free of I/O.
//!
//! | file | what it owns |
//! | --- | --- |
//! | `coordinator` | the leader's part: leases, checks, pauses, and when a change is decided |
//! | `participant` | every member's part: its lease, its check, its pause, and what it runs |
//! | `participant_state` | the states of that part |
//! | `message` | what the two send to each other |
//!
//! The policy is a document that this module does not read: it has a version and a hash. The consensus's log has, under
//! [`TOPIC`], what is in force and what is staged.
//!
//! 1. A version that is staged is fetched and checked by every member that may serve.
//! 2. When all have accepted it, all pause incoming requests.
//! 3. When all have paused, the change is decided in the log.
//! 4. Each member resumes its paused requests under the new version as it learns of the decision.
//!
//! A member serves only while it has a lease by its own clock, which counts suspended time. One that does not answer is
//! waited for until its lease is over, so that a dead, frozen or partitioned member cannot go on under the old version.
//! `docs/design/rollout.md` has the alternatives weighed.
//!
//! The caller calls [`Rollout::tick`] and [`Rollout::follow`], hands in messages of [`TOPIC`], and carries out the
//! effects of [`Rollout::participant`]. Times are milliseconds of the caller's clock.

mod coordinator;
mod message;
mod participant;
mod participant_state;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod wire_tests;

pub use coordinator::Coordinator;
pub use message::Pause;
pub use participant::{Effect, Participant};
pub use participant_state::{ParticipantStatus, ProposeError};

use serde::{Deserialize, Serialize};

use crate::fleet::{DocumentHash, FleetNode, MemberId};
use message::Message;

/// The consensus's topic of policies.
pub const TOPIC: u8 = 2;
/// Longest reason in a decision or a check result, in bytes: both must fit a datagram and a decision.
const MAX_REASON_BYTES: usize = 240;
/// How fast another clock may run against this one.
const MAX_CLOCK_RATE: f64 = 1.01;
/// Allowance for reading two clocks and for rounding, in milliseconds.
const CLOCK_SLACK_MS: f64 = 50.0;

/// How changes are made. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// How long a member serves without news, and so how long a change may have to wait for one that does not answer. It
    /// is to be longer than a leader takes to be replaced.
    pub lease_ms: f64,
    /// How long requests may be paused for a change before the leader resumes them.
    pub pause_ms: f64,
}

impl Default for RolloutSettings {
    fn default() -> RolloutSettings {
        RolloutSettings { lease_ms: 2000.0, pause_ms: 400.0 }
    }
}

impl RolloutSettings {
    /// After how long a lease of `duration_ms` by another clock is over for sure by this one, in milliseconds.
    fn lease_bound_ms(&self, duration_ms: f64) -> f64 {
        duration_ms * MAX_CLOCK_RATE + CLOCK_SLACK_MS
    }

    /// After how long any lease is over for sure, in milliseconds.
    fn full_lease_bound_ms(&self) -> f64 {
        self.lease_bound_ms(self.lease_ms)
    }
}

/// A version and its document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyVersion {
    /// The version, as its document has it; 0: none was ever in force.
    pub version: u64,
    /// The hash of the document.
    pub hash: DocumentHash,
}

/// What became of the version that was staged last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeOutcome {
    /// The version.
    pub version: u64,
    /// Whether it is in force; if not it was given up, for good.
    pub in_force: bool,
    /// Why it was given up.
    pub reason: String,
}

/// A decision of the log. The order of the fields is the stored form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyDecision {
    /// What is in force.
    pub policy: PolicyVersion,
    /// What is staged, if anything is.
    pub staged: Option<PolicyVersion>,
    /// The highest version that was ever staged: none up to it is staged again, so that what was given up stays so.
    pub highest: u64,
    /// What became of the last one.
    pub last: Option<ChangeOutcome>,
}

impl PolicyDecision {
    fn encode(&self) -> Vec<u8> {
        // Serializing into a vector cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a decision; bytes that cannot be read count as if nothing was decided.
    pub fn decode(bytes: &[u8]) -> PolicyDecision {
        match postcard::take_from_bytes(bytes) {
            Ok((decision, [])) => decision,
            _ => PolicyDecision::default(),
        }
    }

    /// The decision that puts the staged version in force.
    fn put_in_force(self, staged: PolicyVersion) -> PolicyDecision {
        let last = ChangeOutcome { version: staged.version, in_force: true, reason: String::new() };
        PolicyDecision { policy: staged, staged: None, highest: self.highest, last: Some(last) }
    }

    /// The decision that gives the staged version up.
    fn give_up(self, staged: PolicyVersion, reason: &str) -> PolicyDecision {
        let reason = truncate_reason(reason);
        let last = ChangeOutcome { version: staged.version, in_force: false, reason };
        PolicyDecision { staged: None, last: Some(last), ..self }
    }

    /// The decision that stages a version.
    fn stage(self, policy: PolicyVersion) -> PolicyDecision {
        PolicyDecision { staged: Some(policy), highest: policy.version, ..self }
    }
}

/// The longest start of a reason that has at most [`MAX_REASON_BYTES`].
fn truncate_reason(reason: &str) -> String {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason[..end].to_string()
}

/// Rollouts at one member: the participant, and the coordinator while this node leads.
pub struct Rollout {
    settings: RolloutSettings,
    participant: Participant,
    coordinator: Option<Coordinator>,
}

impl Rollout {
    /// The state of a node that has just started.
    pub fn new(settings: RolloutSettings, process_nonce: u64) -> Rollout {
        let participant = Participant::new(settings, process_nonce);
        Rollout { settings, participant, coordinator: None }
    }

    /// The member's part.
    pub fn participant(&mut self) -> &mut Participant {
        &mut self.participant
    }

    /// The state of the member's part.
    pub fn status(&self) -> ParticipantStatus {
        self.participant.status()
    }

    /// Whether the leader knows that this process leaves, or its lease is over so that nobody needs to.
    pub fn has_left(&self, now: f64) -> bool {
        self.participant.has_left(now)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64, node: &mut FleetNode) {
        if !node.is_leader() {
            self.coordinator = None;
        } else if self.coordinator.is_none() {
            self.coordinator = Some(Coordinator::new(self.settings, node.members().len(), now));
        }
        self.participant.tick(now, node);
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.tick(now, node);
        }
    }

    /// Follows the newest decision that the node knows.
    pub fn follow(&mut self, now: f64, node: &mut FleetNode) {
        self.participant.follow(now, node);
    }

    /// Takes a message of another member, or of this one to itself. Returns false where it cannot be read, or is of a
    /// member that may not send it.
    pub fn receive(
        &mut self,
        now: f64,
        node: &mut FleetNode,
        from: MemberId,
        incarnation: u64,
        bytes: &[u8],
    ) -> bool {
        let Some(message) = Message::decode(bytes) else { return false };
        let coordinator = self.coordinator.as_mut().filter(|_| node.is_leader());
        match message {
            Message::LeaseRequest(request) => {
                if let Some(coordinator) = coordinator {
                    coordinator.on_lease_request(now, node, from, incarnation, request);
                    coordinator.tick(now, node);
                }
            }
            Message::Leave { serves } => {
                if let Some(coordinator) = coordinator {
                    coordinator.on_leave(now, node, from, incarnation, serves);
                }
            }
            // Only voters lead. An older message of another leader does no harm.
            Message::LeaseGrant { .. } | Message::Pause(_) | Message::Resume(_) | Message::Left => {
                if !node.voters().contains(&from) {
                    return false;
                }
                self.participant.receive(now, &message);
            }
        }
        // What has changed here is sent at once.
        self.participant.tick(now, node);
        true
    }
}
