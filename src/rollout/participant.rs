//! A dispatcher's part in a change: its lease, its check of what is staged, its hold, and what it runs.

use std::collections::VecDeque;

use super::{LeaseRequest, Message, Pause, PolicyDecision, PolicyVersion, RolloutSettings, TOPIC, cut};
use crate::consensus::DecisionRef;
use crate::fleet::{self, DocumentHash, FleetNode};

/// A member tells the leader how it stands so often while nothing changes, in milliseconds.
const TELLS: f64 = 250.0;
/// The same while something is staged: what was lost is to be made up for soon.
const HURRIES: f64 = 50.0;
/// Messages whose leases may still come.
const ASKED: usize = 64;

/// What is to be done. The caller carries out all of it, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Keep the document on disk, and tell by `saved`.
    Save(DocumentHash, Vec<u8>),
    /// Check a document against what is known here, and tell by `checked`.
    Check(PolicyVersion, Vec<u8>),
    /// Pause what comes in from now on, and tell by `holding`.
    Pause(Pause),
    /// The hold is over: what was held goes on under what is in force.
    Release,
    /// From now on this is in force.
    Apply(PolicyVersion, Vec<u8>),
    /// Requests may be started until then, by the caller's clock.
    Serve(f64),
    /// The newest decision, for the log.
    Decided(PolicyDecision),
}

/// How a member stands, for its operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ParticipantStatus {
    /// What it runs.
    pub version: u64,
    /// What is decided, as far as is known here.
    pub decision: PolicyDecision,
    /// Its epoch.
    pub epoch: u64,
    /// Whether it holds what comes in.
    pub holds: bool,
    /// When its lease ends.
    pub until: f64,
    /// What its operator wants and is not decided on.
    pub wants: Option<u64>,
}

/// The part.
pub struct Participant {
    rules: RolloutSettings,
    /// The newest decision, and its epoch.
    decision: PolicyDecision,
    epoch: u64,
    /// What it runs; none before it knows.
    runs: Option<PolicyVersion>,
    /// The staged version that was handed to the disk, and to the check.
    saved: Option<(DocumentHash, bool)>,
    checked: Option<(u64, Option<String>)>,
    hold: Option<Pause>,
    /// The fronts have said that they hold.
    holds: bool,
    until: f64,
    nonce: u64,
    asked: VecDeque<(u64, f64)>,
    /// The leader that it knew last.
    leader: Option<fleet::MemberId>,
    tells: f64,
    wants: Option<PolicyVersion>,
    /// It leaves: whether it goes on serving, and whether the leader knows.
    leaves: Option<bool>,
    left: bool,
    /// The newest hold or release of a leader: older ones change nothing.
    latest: Option<Pause>,
    effects: Vec<Effect>,
}

impl Participant {
    /// A member that knows nothing yet, and serves nothing.
    pub fn new(rules: RolloutSettings) -> Participant {
        Participant {
            rules,
            decision: PolicyDecision::default(),
            epoch: 0,
            runs: None,
            saved: None,
            checked: None,
            hold: None,
            holds: false,
            until: f64::NEG_INFINITY,
            nonce: 0,
            asked: VecDeque::new(),
            leader: None,
            tells: f64::NEG_INFINITY,
            wants: None,
            leaves: None,
            left: false,
            latest: None,
            effects: Vec::new(),
        }
    }

    /// What is to be done since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The operator's file has this version, in this document.
    pub fn propose(
        &mut self,
        now: f64,
        node: &mut FleetNode,
        version: u64,
        bytes: &[u8],
    ) -> Result<(), String> {
        if version <= self.decision.highest {
            // Its own newest file, read again, is no news.
            let known = self.decision.policy.hash == fleet::hash(bytes);
            let what = if known { "is in force" } else { "was decided on before" };
            self.wants = None;
            return if known {
                Ok(())
            } else {
                Err(format!("version {version} {what}: a higher one is needed"))
            };
        }
        let hash = node.store_document(bytes).ok_or("the policy is too long: 256 KiB at most")?;
        self.wants = Some(PolicyVersion { version, hash });
        self.tells = now;
        Ok(())
    }

    /// Asks for no lease any more, and tells the leader, which `has_left` waits for.
    pub fn leave(&mut self, now: f64, serves: bool) {
        (self.leaves, self.tells) = (Some(serves), now);
    }

    /// Whether the leader knows that this process leaves, or nothing is left for it to know.
    pub fn has_left(&self, now: f64) -> bool {
        self.left || now >= self.until
    }

    /// Does what is due. Gives what is for the leader, where that is this node itself.
    pub(super) fn tick(&mut self, now: f64, node: &mut FleetNode) {
        self.follow(now, node);
        // A new leader is asked for a lease at once: it does not know of the one that is held.
        let replaced = self.leader != node.leader();
        self.leader = node.leader();
        if now < self.tells && !replaced {
            return;
        }
        if let Some(serves) = self.leaves {
            self.tells = now + HURRIES;
            if let Some(leader) = node.leader().filter(|_| !self.left) {
                node.send_message(leader, TOPIC, Message::Leave { serves }.encode());
            }
            return;
        }
        let hurries = self.decision.staged.is_some() || self.wants.is_some() || now >= self.until;
        self.tells = now + if hurries { HURRIES } else { TELLS };
        let Some(leader) = node.leader() else { return };
        self.nonce += 1;
        if self.asked.len() >= ASKED {
            self.asked.pop_front();
        }
        self.asked.push_back((self.nonce, now));
        let told = LeaseRequest {
            nonce: self.nonce,
            epoch: if self.runs == Some(self.decision.policy) { self.epoch } else { 0 },
            checked: self.checked.clone(),
            holds: self.hold.filter(|_| self.holds),
            wants: self.wants,
        };
        node.send_message(leader, TOPIC, Message::LeaseRequest(told).encode());
    }

    /// Follows the newest decision that the node knows.
    pub(super) fn follow(&mut self, now: f64, node: &mut FleetNode) {
        let DecisionRef { epoch, body, .. } = node.newest_decision(TOPIC);
        if epoch > self.epoch {
            let decision = PolicyDecision::decode(body);
            if decision.staged != self.decision.staged {
                (self.saved, self.checked) = (None, None);
                if let Some(old) = self.decision.staged.filter(|old| old.hash != decision.policy.hash) {
                    node.cancel_document_request(&old.hash);
                }
            }
            (self.epoch, self.decision, self.tells) = (epoch, decision, now);
            self.wants = self.wants.filter(|wants| wants.version > self.decision.highest);
            self.effects.push(Effect::Decided(self.decision.clone()));
        }
        let policy = self.decision.policy;
        if self.runs != Some(policy) {
            let bytes =
                if policy.version == 0 { Some(Vec::new()) } else { document(now, node, &policy.hash) };
            if let Some(bytes) = bytes {
                self.runs = Some(policy);
                self.tells = now;
                self.effects.push(Effect::Save(policy.hash, bytes.clone()));
                self.effects.push(Effect::Apply(policy, bytes));
            }
        }
        if let Some(staged) = self.decision.staged
            && self.saved.is_none()
            && let Some(bytes) = document(now, node, &staged.hash)
        {
            self.saved = Some((staged.hash, false));
            self.effects.push(Effect::Save(staged.hash, bytes.clone()));
            self.effects.push(Effect::Check(staged, bytes));
        }
        // What a hold was for has been decided on, and is carried out here.
        if let Some(hold) = self.hold
            && self.runs == Some(policy)
            && self.decision.staged.is_none_or(|staged| staged.version != hold.version)
            && self.decision.highest >= hold.version
        {
            self.release();
        }
    }

    fn release(&mut self) {
        (self.hold, self.holds) = (None, false);
        self.effects.push(Effect::Release);
    }

    /// A document is on disk, or could not be written: without it nothing is said yes to.
    pub fn on_saved(&mut self, hash: DocumentHash, error: Option<String>) {
        if let Some(staged) = self.decision.staged.filter(|staged| staged.hash == hash) {
            match error {
                None => self.saved = Some((hash, true)),
                Some(error) => self.checked = Some((staged.version, Some(cut(&error)))),
            }
        }
    }

    /// What is staged was checked: nothing, or why it cannot be.
    pub fn on_checked(&mut self, now: f64, version: u64, error: Option<String>) {
        let ours = self.decision.staged.is_some_and(|staged| staged.version == version);
        let written = self.saved.is_some_and(|(_, written)| written);
        if ours && (written || error.is_some()) && self.checked.is_none() {
            self.checked = Some((version, error.map(|error| cut(&error))));
            self.tells = now;
        }
    }

    /// The fronts hold what comes in.
    pub fn on_paused(&mut self, now: f64, hold: Pause) {
        if self.hold == Some(hold) {
            self.holds = true;
            self.tells = now;
        }
    }

    /// A message of the leader.
    pub(super) fn receive(&mut self, now: f64, message: Message) {
        match message {
            Message::LeaseGrant { nonce, lasts, epoch } => {
                let Some(&(_, sent)) = self.asked.iter().find(|asked| asked.0 == nonce) else { return };
                // What was granted for a newer decision than the one that runs here does not count.
                let carried_out = self.epoch >= epoch && self.runs == Some(self.decision.policy);
                let until = sent + f64::from(lasts).min(self.rules.lease_ms);
                if carried_out && until > self.until && until > now {
                    self.until = until;
                    self.effects.push(Effect::Serve(until));
                }
            }
            Message::Pause(hold) if self.latest.is_none_or(|latest| hold > latest) => {
                self.latest = Some(hold);
                let ours = self.decision.staged.is_some_and(|staged| staged.version == hold.version);
                // One that comes before the news of what is staged is sent again.
                if ours && self.checked == Some((hold.version, None)) {
                    (self.hold, self.holds) = (Some(hold), false);
                    self.effects.push(Effect::Pause(hold));
                } else {
                    self.latest = None;
                }
            }
            Message::Resume(hold) if self.hold == Some(hold) => self.release(),
            Message::Resume(hold) => self.latest = self.latest.max(Some(hold)),
            Message::Left => self.left = self.leaves.is_some(),
            Message::Pause(_) | Message::LeaseRequest(_) | Message::Leave { .. } => {}
        }
    }

    /// How it stands.
    pub fn status(&self) -> ParticipantStatus {
        ParticipantStatus {
            version: self.runs.map_or(0, |policy| policy.version),
            decision: self.decision.clone(),
            epoch: self.epoch,
            holds: self.hold.is_some(),
            until: self.until,
            wants: self.wants.map(|wants| wants.version),
        }
    }
}

/// A document, which is asked for where it is not here.
fn document(now: f64, node: &mut FleetNode, hash: &DocumentHash) -> Option<Vec<u8>> {
    let document = node.document(hash);
    if document.is_none() {
        // The leader had it before it staged it.
        node.request_document(now, *hash, node.leader());
    }
    document.map(|bytes| bytes.to_vec())
}
