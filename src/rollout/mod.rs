//! A change of policy that takes hold everywhere or nowhere, free of I/O. The policy itself is a document that this part
//! does not read: it has a version and a hash.
//!
//! The log of the consensus has what is in force and what is staged. A version that is staged is fetched and checked by
//! every dispatcher that may serve; when all have said yes, all hold what comes in; when all hold, the change is decided
//! in the log, and each lets what it held go on under the new version as it learns of that. A dispatcher serves only
//! while it holds a lease by its own clock, which counts suspended time: one that does not answer is waited for until
//! its lease is over, so that the dead, the frozen and the cut off cannot go on under the old version.
//! `docs/design/rollout.md` has the ways weighed.
//!
//! `Participant` is every dispatcher's part; `Coordinator` is the part of the consensus's leader.

mod coordinator;
mod participant;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod wire_tests;

pub use coordinator::Coordinator;
pub use participant::{Effect, Participant, ParticipantStatus};

use serde::{Deserialize, Serialize};

use crate::consensus::LeaderTerm;
use crate::fleet::{self, DocumentHash, FleetNode};

/// The consensus's topic of policies.
pub const TOPIC: u8 = 2;
/// Longest reason that is told, in bytes.
const REASON: usize = 240;

/// How changes are made. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// How long a dispatcher serves without news: also how long a change may have to wait for one that does not answer. It
    /// is to be longer than a leader takes to be replaced, and short enough for a change to be in force in time.
    pub lease_ms: f64,
    /// How long what comes in may be held for a change before the leader lets it go on.
    pub pause_ms: f64,
}

impl Default for RolloutSettings {
    fn default() -> RolloutSettings {
        RolloutSettings { lease_ms: 2000.0, pause_ms: 400.0 }
    }
}

impl RolloutSettings {
    /// By when a lease of so long is over by another clock: clocks may run apart by a hundredth.
    fn over(&self, left: f64) -> f64 {
        left * 1.01 + 50.0
    }
}

/// A version and the document that it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyVersion {
    /// The version, as its document has it; 0: none was ever in force.
    pub version: u64,
    /// The document.
    pub hash: DocumentHash,
}

/// What became of a version that was staged last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeOutcome {
    /// The version.
    pub version: u64,
    /// Whether it came in force; if not it was given up, for good.
    pub in_force: bool,
    /// Why it was given up.
    pub reason: String,
}

/// A decision of the log.
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
        // Into a vector nothing can fail to fit.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads one; the first where it does not read, as where nothing was decided.
    pub fn decode(bytes: &[u8]) -> PolicyDecision {
        match postcard::take_from_bytes(bytes) {
            Ok((decision, [])) => decision,
            _ => PolicyDecision::default(),
        }
    }
}

/// A hold of what comes in: of two the greater is the later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Pause {
    term: LeaderTerm,
    attempt: u64,
    /// The version that it is for.
    pub version: u64,
}

/// How a member stands, as it tells the leader each time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct LeaseRequest {
    /// Of this message; a lease counts from when it was sent.
    nonce: u64,
    /// The newest decision that the member has carried out.
    epoch: u64,
    /// The version that it has checked, and why not, where it said no.
    checked: Option<(u64, Option<String>)>,
    /// The hold that it keeps.
    holds: Option<Pause>,
    /// A newer version that its operator wants.
    wants: Option<PolicyVersion>,
}

/// What members say to one another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    /// To the leader.
    LeaseRequest(LeaseRequest),
    /// From the leader: what was told is answered with a lease.
    LeaseGrant {
        /// The message that it answers.
        nonce: u64,
        /// So many milliseconds from when that was sent.
        lasts: u32,
        /// It counts at a member that has carried this decision out.
        epoch: u64,
    },
    /// From the leader: hold what comes in, until the version is decided on or the leader lets it go on.
    Pause(Pause),
    /// From the leader: a hold is over, and nothing has changed.
    Resume(Pause),
    /// To the leader: this process asks for no lease any more. Until the leader has answered it keeps the fleet's address,
    /// so that a later process that speaks from there without such a message before proves this one gone.
    Leave {
        /// Whether it goes on serving until its lease is over; if not, the lease is given back.
        serves: bool,
    },
    /// From the leader: it knows.
    Left,
}

impl Message {
    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    fn decode(bytes: &[u8]) -> Option<Message> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}

/// A reason that fits a decision.
fn cut(reason: &str) -> String {
    let mut end = reason.len().min(REASON);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason[..end].to_string()
}

/// The part: a member's, and the leader's while this node leads.
pub struct Rollout {
    rules: RolloutSettings,
    member: Participant,
    lead: Option<Coordinator>,
}

impl Rollout {
    /// The part of a node that has just started.
    pub fn new(rules: RolloutSettings) -> Rollout {
        Rollout { rules, member: Participant::new(rules), lead: None }
    }

    /// The member's part.
    pub fn participant(&mut self) -> &mut Participant {
        &mut self.member
    }

    /// How the member stands.
    pub fn status(&self) -> ParticipantStatus {
        self.member.status()
    }

    /// Whether the leader knows that this process leaves, or nothing is left for it to know.
    pub fn has_left(&self, now: f64) -> bool {
        self.member.has_left(now)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64, node: &mut FleetNode) {
        if !node.is_leader() {
            self.lead = None;
        } else if self.lead.is_none() {
            self.lead = Some(Coordinator::new(self.rules, node.members().len(), now));
        }
        self.member.tick(now, node);
        if let Some(lead) = &mut self.lead {
            lead.tick(now, node);
        }
    }

    /// Follows the newest decision that the node knows.
    pub fn follow(&mut self, now: f64, node: &mut FleetNode) {
        self.member.follow(now, node);
    }

    /// A message of another member, or of this one to itself. False where it is none that this part can take.
    pub fn receive(
        &mut self,
        now: f64,
        node: &mut FleetNode,
        from: fleet::MemberId,
        incarnation: u64,
        bytes: &[u8],
    ) -> bool {
        match Message::decode(bytes) {
            None => return false,
            Some(Message::LeaseRequest(told)) => {
                if let Some(lead) = self.lead.as_mut().filter(|_| node.is_leader()) {
                    lead.lease_requested(now, node, from, incarnation, told);
                    lead.tick(now, node);
                }
            }
            Some(Message::Leave { serves }) => {
                if let Some(lead) = self.lead.as_mut().filter(|_| node.is_leader()) {
                    lead.leave(now, node, from, incarnation, serves);
                }
            }
            // Leases and holds are a leader's to give: an older one of another leader does no harm.
            Some(message) if node.voters().contains(&from) => self.member.receive(now, message),
            Some(_) => return false,
        }
        // What has changed here is told at once.
        self.member.tick(now, node);
        true
    }
}
