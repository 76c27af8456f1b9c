//! Atomic policy rollout: a new policy version takes effect on all members of the fleet or on none. Performs no I/O.
//!
//! | file | responsibility |
//! | --- | --- |
//! | `coordinator` | the leader's role: grants leases, collects check results and pauses, proposes decisions |
//! | `participant` | every member's role: holds the lease, checks and applies policies, pauses requests |
//! | `participant_state` | the state types of the participant |
//! | `message` | the messages between coordinator and participant |
//!
//! A policy is an opaque document that is identified by a version and a hash. The consensus log records, under
//! [`TOPIC`], which version is in force and which is staged.
//!
//! 1. Every member that may serve fetches and checks the staged version.
//! 2. Once all of them have accepted it, all pause incoming requests.
//! 3. Once all of them have paused, the leader proposes to put the version in force, and the log decides it.
//! 4. Each member that learns of the decision applies the new version and resumes its paused requests.
//!
//! A member serves only while it holds a lease, measured by its own clock, which includes time that the process is
//! suspended. The leader waits for an unresponsive member until that member's lease has expired, so a dead, frozen or
//! partitioned member cannot continue to serve the old version after the change. `docs/design/rollout.md` compares the
//! alternatives.
//!
//! The caller calls [`Rollout::tick`] and [`Rollout::apply_newest_decision`], passes messages of [`TOPIC`] to
//! [`Rollout::receive`], and carries out the effects of [`Rollout::participant`]. Times are in milliseconds of the
//! caller's clock.

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

/// The consensus topic of policy decisions and rollout messages.
pub const TOPIC: u8 = 2;
/// Maximum length, in bytes, of a reason in a decision or of an error in a check result, so that a decision stays
/// within its size limit and a check result fits in a datagram.
const MAX_REASON_BYTES: usize = 240;
/// Maximum rate of another member's clock relative to this one.
const MAX_CLOCK_RATE: f64 = 1.01;
/// Allowance, in milliseconds, for the time between the readings of two clocks and for rounding.
const CLOCK_SLACK_MS: f64 = 50.0;

/// Settings of the rollout protocol. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// The lease duration: how long a member continues to serve without contact to the leader, and therefore how long a
    /// change may wait for an unresponsive member. Must exceed the time that it takes to replace a failed leader.
    pub lease_ms: f64,
    /// The maximum time that requests are paused for a change before the leader tells members to resume.
    pub pause_ms: f64,
}

impl Default for RolloutSettings {
    fn default() -> RolloutSettings {
        RolloutSettings { lease_ms: 2000.0, pause_ms: 400.0 }
    }
}

impl RolloutSettings {
    /// Returns the time on this clock, in milliseconds, after which a lease of `duration_ms` on another member's clock
    /// has certainly expired.
    fn lease_bound_ms(&self, duration_ms: f64) -> f64 {
        duration_ms * MAX_CLOCK_RATE + CLOCK_SLACK_MS
    }

    /// Returns the time, in milliseconds, after which a lease of full length has certainly expired.
    fn full_lease_bound_ms(&self) -> f64 {
        self.lease_bound_ms(self.lease_ms)
    }
}

/// A policy version and the hash that identifies its document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyVersion {
    /// The version number from the document, or 0 if no policy has ever been in force.
    pub version: u64,
    /// The hash of the policy document.
    pub hash: DocumentHash,
}

/// The outcome of the most recently staged version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeOutcome {
    /// The version that was staged.
    pub version: u64,
    /// Whether the version was put in force. If false, it was given up permanently.
    pub in_force: bool,
    /// The reason why the version was given up. Empty if it was put in force.
    pub reason: String,
}

/// A policy decision in the consensus log. The field order determines the encoding in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyDecision {
    /// The version that is in force.
    pub policy: PolicyVersion,
    /// The staged version, if any.
    pub staged: Option<PolicyVersion>,
    /// The highest version that was ever staged. Only higher versions can be staged, so a version that was given up
    /// is never retried.
    pub highest: u64,
    /// The outcome of the most recently staged version, once decided.
    pub last: Option<ChangeOutcome>,
}

impl PolicyDecision {
    fn encode(&self) -> Vec<u8> {
        // Serializing into a vector cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a decision. Returns the default decision (nothing in force, nothing staged) if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> PolicyDecision {
        match postcard::take_from_bytes(bytes) {
            Ok((decision, [])) => decision,
            _ => PolicyDecision::default(),
        }
    }

    /// Returns the decision that puts the staged version in force.
    fn put_in_force(self, staged: PolicyVersion) -> PolicyDecision {
        let last = ChangeOutcome { version: staged.version, in_force: true, reason: String::new() };
        PolicyDecision { policy: staged, staged: None, highest: self.highest, last: Some(last) }
    }

    /// Returns the decision that gives up the staged version for `reason`.
    fn give_up(self, staged: PolicyVersion, reason: &str) -> PolicyDecision {
        let reason = truncate_reason(reason);
        let last = ChangeOutcome { version: staged.version, in_force: false, reason };
        PolicyDecision { staged: None, last: Some(last), ..self }
    }

    /// Returns the decision that stages `policy`.
    fn stage(self, policy: PolicyVersion) -> PolicyDecision {
        PolicyDecision { staged: Some(policy), highest: policy.version, ..self }
    }
}

/// Truncates a reason to at most [`MAX_REASON_BYTES`], at a character boundary.
fn truncate_reason(reason: &str) -> String {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason[..end].to_string()
}

/// The rollout state of one member: its participant, and a coordinator while this node is the leader.
pub struct Rollout {
    settings: RolloutSettings,
    participant: Participant,
    coordinator: Option<Coordinator>,
}

impl Rollout {
    /// Creates the state of a process that has just started. `process_nonce` must differ between processes of the same
    /// member; see [`Participant::new`].
    pub fn new(settings: RolloutSettings, process_nonce: u64) -> Rollout {
        let participant = Participant::new(settings, process_nonce);
        Rollout { settings, participant, coordinator: None }
    }

    /// Returns the participant of this member.
    pub fn participant(&mut self) -> &mut Participant {
        &mut self.participant
    }

    /// Returns the status of this member's participant.
    pub fn status(&self) -> ParticipantStatus {
        self.participant.status()
    }

    /// Returns whether this process can exit without delaying a change: the leader has acknowledged that it leaves, or
    /// its lease has expired.
    pub fn has_left(&self, now: f64) -> bool {
        self.participant.has_left(now)
    }

    /// Creates or drops the coordinator as this node gains or loses leadership, and runs all work that is due.
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

    /// Applies the newest policy decision that the node knows.
    pub fn apply_newest_decision(&mut self, now: f64, node: &mut FleetNode) {
        self.participant.apply_newest_decision(now, node);
    }

    /// Handles a message from another member, or from this member to itself. Returns false if the message is malformed
    /// or if the sender may not send it.
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
            // Only voters can be leaders. A late message from an earlier leader is harmless: grants are matched by
            // nonce, and pauses are ordered by leader term.
            Message::LeaseGrant { .. } | Message::Pause(_) | Message::Resume(_) | Message::Left => {
                if !node.voters().contains(&from) {
                    return false;
                }
                self.participant.receive(now, &message);
            }
        }
        // Changed state is reported to the leader immediately.
        self.participant.tick(now, node);
        true
    }
}
