//! A member's part in a change: its lease, its check of what is staged, its pause, and what it runs.
//!
//! The participant owns what the member knows and may do; the caller owns the disk, the frontends and the clock. It
//! carries out all [`Effect`]s in order and answers those that ask for it (`on_…`). Times are milliseconds of the
//! caller's clock.
//!
//! Three state machines run beside each other:
//!
//! | document of the staged version | event | next state |
//! | --- | --- | --- |
//! | missing | the node has it | saving: [`Effect::Save`], [`Effect::Check`] |
//! | saving | `on_saved` without an error | saved |
//! | any | another version is staged, or none | missing |
//!
//! | pause | event | next state |
//! | --- | --- | --- |
//! | running, requested, confirmed | a newer `Pause` for the staged version, which was accepted | requested: [`Effect::Pause`] |
//! | requested | `on_paused` | confirmed |
//! | requested, confirmed | `Resume`, or the version is decided on and carried out | running: [`Effect::Resume`] |
//!
//! | membership | event | next state |
//! | --- | --- | --- |
//! | active | `leave` | leaving: `Leave` to the leader until it answers |
//! | leaving | `Left` | left |

use std::collections::VecDeque;

use super::message::{CheckResult, LeaseRequest, Message, Pause};
use super::participant_state::{
    Membership, ParticipantStatus, PauseState, PendingRequest, ProposeError, StagedDocument,
};
use super::{PolicyDecision, PolicyVersion, RolloutSettings, TOPIC, truncate_reason};
use crate::consensus::DecisionRef;
use crate::fleet::{self, DocumentHash, FleetNode, MemberId};

/// Time between two heartbeats to the leader while nothing changes, in milliseconds: eight in a lease of 2 s.
const HEARTBEAT_MS: f64 = 250.0;
/// The same while a change is made or the lease is over, in milliseconds: a lost message is soon made up for.
const STAGED_HEARTBEAT_MS: f64 = 50.0;
/// Heartbeats whose answer may still arrive: 3.2 s of the most frequent ones.
const MAX_PENDING_REQUESTS: usize = 64;

/// What is to be done. The caller carries out all of it, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write the document to disk, and answer with [`Participant::on_saved`].
    Save(DocumentHash, Vec<u8>),
    /// Check whether this process can run the document, and answer with [`Participant::on_checked`].
    Check(PolicyVersion, Vec<u8>),
    /// Pause incoming requests from now on, and answer with [`Participant::on_paused`].
    Pause(Pause),
    /// The pause is over: paused requests go on under what is in force.
    Resume,
    /// From now on this is in force.
    Apply(PolicyVersion, Vec<u8>),
    /// Requests may be started until then, by the caller's clock.
    Serve(f64),
    /// The newest decision, for the log.
    Decided(PolicyDecision),
}

/// A member's part.
pub struct Participant {
    settings: RolloutSettings,
    /// The newest decision that is known here, and its epoch.
    decision: PolicyDecision,
    epoch: u64,
    /// What it runs; none before it knows what is in force.
    running: Option<PolicyVersion>,
    staged_document: StagedDocument,
    /// Its answer about the staged version.
    checked: Option<CheckResult>,
    pause: PauseState,
    /// The newest pause that a leader asked for or ended: older ones change nothing.
    latest_pause: Option<Pause>,
    lease_until_ms: f64,
    /// Number of the newest heartbeat.
    nonce: u64,
    pending_requests: VecDeque<PendingRequest>,
    /// The leader at the last tick.
    leader: Option<MemberId>,
    next_heartbeat_ms: f64,
    /// The newer version that its operator wants.
    wanted: Option<PolicyVersion>,
    membership: Membership,
    effects: Vec<Effect>,
}

impl Participant {
    /// A member that knows nothing yet, and serves nothing.
    ///
    /// `process_nonce` differs from that of this member's earlier processes: heartbeats are numbered from a number drawn from
    /// it, so that a late grant to an earlier process is no answer to one of this process.
    pub fn new(settings: RolloutSettings, process_nonce: u64) -> Participant {
        Participant {
            settings,
            decision: PolicyDecision::default(),
            epoch: 0,
            running: None,
            staged_document: StagedDocument::Missing,
            checked: None,
            pause: PauseState::Running,
            latest_pause: None,
            lease_until_ms: f64::NEG_INFINITY,
            nonce: u64::from(fastrand::Rng::with_seed(process_nonce).u32(..)),
            pending_requests: VecDeque::new(),
            leader: None,
            next_heartbeat_ms: f64::NEG_INFINITY,
            wanted: None,
            membership: Membership::Active,
            effects: Vec::new(),
        }
    }

    /// What is to be done since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The operator's file has this version, in this document. The file that is in force is accepted and changes
    /// nothing.
    ///
    /// # Errors
    ///
    /// Where a version as high was staged before, or the document is too long.
    pub fn propose(
        &mut self,
        now: f64,
        node: &mut FleetNode,
        version: u64,
        bytes: &[u8],
    ) -> Result<(), ProposeError> {
        if version <= self.decision.highest {
            self.wanted = None;
            let is_in_force = self.decision.policy.hash == fleet::hash(bytes);
            return if is_in_force { Ok(()) } else { Err(ProposeError::NotNewer { version }) };
        }
        let hash = node.store_document(bytes).ok_or(ProposeError::TooLong)?;
        self.wanted = Some(PolicyVersion { version, hash });
        self.next_heartbeat_ms = now;
        Ok(())
    }

    /// Asks for no lease any more, and announces it to the leader, which [`Participant::has_left`] waits for. The process
    /// `serves` on until its lease is over, or gives the lease back.
    pub fn leave(&mut self, now: f64, serves: bool) {
        if self.membership != Membership::Left {
            self.membership = Membership::Leaving { serves };
        }
        self.next_heartbeat_ms = now;
    }

    /// Whether the leader knows that this process leaves, or its lease is over so that nobody needs to.
    pub fn has_left(&self, now: f64) -> bool {
        self.membership == Membership::Left || now >= self.lease_until_ms
    }

    /// Does what is due.
    pub(super) fn tick(&mut self, now: f64, node: &mut FleetNode) {
        self.follow(now, node);
        // A new leader is asked for a lease at once: it does not know of the one that this member has.
        let leader_changed = self.leader != node.leader();
        self.leader = node.leader();
        if now < self.next_heartbeat_ms && !leader_changed {
            return;
        }
        match self.membership {
            Membership::Active => self.send_heartbeat(now, node),
            Membership::Leaving { serves } => {
                self.next_heartbeat_ms = now + STAGED_HEARTBEAT_MS;
                if let Some(leader) = node.leader() {
                    node.send_message(leader, TOPIC, Message::Leave { serves }.encode());
                }
            }
            Membership::Left => self.next_heartbeat_ms = now + STAGED_HEARTBEAT_MS,
        }
    }

    fn send_heartbeat(&mut self, now: f64, node: &mut FleetNode) {
        let is_urgent = self.decision.staged.is_some() || self.wanted.is_some() || now >= self.lease_until_ms;
        self.next_heartbeat_ms = now + if is_urgent { STAGED_HEARTBEAT_MS } else { HEARTBEAT_MS };
        let Some(leader) = node.leader() else { return };
        self.nonce += 1;
        if self.pending_requests.len() >= MAX_PENDING_REQUESTS {
            self.pending_requests.pop_front();
        }
        self.pending_requests.push_back(PendingRequest { nonce: self.nonce, sent_at_ms: now });
        let request = LeaseRequest {
            nonce: self.nonce,
            epoch: if self.runs_decided_policy() { self.epoch } else { 0 },
            checked: self.checked.clone(),
            paused: self.pause.confirmed(),
            wanted: self.wanted,
        };
        node.send_message(leader, TOPIC, Message::LeaseRequest(request).encode());
    }

    /// Follows the newest decision that the node knows.
    pub(super) fn follow(&mut self, now: f64, node: &mut FleetNode) {
        self.read_decision(now, node);
        self.apply_decided_policy(now, node);
        self.fetch_staged_document(now, node);
        if let Some(pause) = self.pause.pause()
            && self.has_carried_out(pause.version)
        {
            self.resume();
        }
    }

    fn read_decision(&mut self, now: f64, node: &mut FleetNode) {
        let DecisionRef { epoch, body, .. } = node.newest_decision(TOPIC);
        if epoch <= self.epoch {
            return;
        }
        let decision = PolicyDecision::decode(body);
        if decision.staged != self.decision.staged {
            (self.staged_document, self.checked) = (StagedDocument::Missing, None);
            if let Some(old) = self.decision.staged.filter(|old| old.hash != decision.policy.hash) {
                node.cancel_document_request(&old.hash);
            }
        }
        (self.epoch, self.decision, self.next_heartbeat_ms) = (epoch, decision, now);
        self.wanted = self.wanted.filter(|wanted| wanted.version > self.decision.highest);
        self.effects.push(Effect::Decided(self.decision.clone()));
    }

    /// Runs what is in force, once its document is here. Version 0 has none.
    fn apply_decided_policy(&mut self, now: f64, node: &mut FleetNode) {
        let policy = self.decision.policy;
        if self.runs_decided_policy() {
            return;
        }
        let bytes = if policy.version == 0 { Some(Vec::new()) } else { document(now, node, &policy.hash) };
        if let Some(bytes) = bytes {
            self.running = Some(policy);
            self.next_heartbeat_ms = now;
            self.effects.push(Effect::Save(policy.hash, bytes.clone()));
            self.effects.push(Effect::Apply(policy, bytes));
        }
    }

    fn fetch_staged_document(&mut self, now: f64, node: &mut FleetNode) {
        if let Some(staged) = self.decision.staged
            && self.staged_document == StagedDocument::Missing
            && let Some(bytes) = document(now, node, &staged.hash)
        {
            self.staged_document = StagedDocument::Saving;
            self.effects.push(Effect::Save(staged.hash, bytes.clone()));
            self.effects.push(Effect::Check(staged, bytes));
        }
    }

    /// Whether it runs what is in force as far as is known here.
    fn runs_decided_policy(&self) -> bool {
        self.running == Some(self.decision.policy)
    }

    /// Whether a version was decided on, and this member runs what followed from that.
    fn has_carried_out(&self, version: u64) -> bool {
        self.runs_decided_policy() && !self.is_staged(version) && self.decision.highest >= version
    }

    fn is_staged(&self, version: u64) -> bool {
        self.decision.staged.is_some_and(|staged| staged.version == version)
    }

    fn accepts(&self, version: u64) -> bool {
        self.checked == Some(CheckResult { version, error: None })
    }

    fn resume(&mut self) {
        self.pause = PauseState::Running;
        self.effects.push(Effect::Resume);
    }

    /// A document is on disk, or could not be written: what is staged is accepted only with its document on disk.
    pub fn on_saved(&mut self, hash: DocumentHash, error: Option<String>) {
        let Some(staged) = self.decision.staged.filter(|staged| staged.hash == hash) else { return };
        match error {
            None => self.staged_document = StagedDocument::Saved,
            Some(error) => {
                let error = Some(truncate_reason(&error));
                self.checked = Some(CheckResult { version: staged.version, error });
            }
        }
    }

    /// A version was checked; `error` is why this process cannot run it.
    pub fn on_checked(&mut self, now: f64, version: u64, error: Option<String>) {
        let is_answer = self.staged_document == StagedDocument::Saved || error.is_some();
        if self.is_staged(version) && is_answer && self.checked.is_none() {
            let error = error.map(|error| truncate_reason(&error));
            self.checked = Some(CheckResult { version, error });
            self.next_heartbeat_ms = now;
        }
    }

    /// The frontends have paused incoming requests.
    pub fn on_paused(&mut self, now: f64, pause: Pause) {
        if self.pause.pause() == Some(pause) {
            self.pause = PauseState::Confirmed(pause);
            self.next_heartbeat_ms = now;
        }
    }

    /// Takes a message of a leader.
    pub(super) fn receive(&mut self, now: f64, message: &Message) {
        match *message {
            Message::LeaseGrant { nonce, duration_ms, epoch } => {
                self.on_lease_grant(now, nonce, f64::from(duration_ms), epoch);
            }
            Message::Pause(pause) => self.on_pause(pause),
            Message::Resume(pause) if self.pause.pause() == Some(pause) => self.resume(),
            Message::Resume(pause) => self.latest_pause = self.latest_pause.max(Some(pause)),
            Message::Left => {
                if self.membership != Membership::Active {
                    self.membership = Membership::Left;
                }
            }
            Message::LeaseRequest(_) | Message::Leave { .. } => {}
        }
    }

    fn on_lease_grant(&mut self, now: f64, nonce: u64, duration_ms: f64, epoch: u64) {
        let Some(request) = self.pending_requests.iter().find(|request| request.nonce == nonce) else {
            return;
        };
        let until_ms = request.sent_at_ms + duration_ms.min(self.settings.lease_ms);
        // A lease under a newer decision than the one that this member runs does not count.
        let is_current = self.epoch >= epoch && self.runs_decided_policy();
        if is_current && until_ms > self.lease_until_ms && until_ms > now {
            self.lease_until_ms = until_ms;
            self.effects.push(Effect::Serve(until_ms));
        }
    }

    fn on_pause(&mut self, pause: Pause) {
        if self.latest_pause.is_some_and(|latest| pause <= latest) {
            return;
        }
        // One that arrives before the decision that staged its version is sent again.
        if self.is_staged(pause.version) && self.accepts(pause.version) {
            self.latest_pause = Some(pause);
            self.pause = PauseState::Requested(pause);
            self.effects.push(Effect::Pause(pause));
        }
    }

    /// The state of the member's part.
    pub fn status(&self) -> ParticipantStatus {
        ParticipantStatus {
            version: self.running.map_or(0, |policy| policy.version),
            decision: self.decision.clone(),
            epoch: self.epoch,
            is_paused: self.pause.pause().is_some(),
            lease_until_ms: self.lease_until_ms,
            wanted: self.wanted.map(|wanted| wanted.version),
        }
    }
}

/// A document, which is asked for where it is not here.
fn document(now: f64, node: &mut FleetNode, hash: &DocumentHash) -> Option<Vec<u8>> {
    let document = node.document(hash);
    if document.is_none() {
        // The leader had it before it staged the version.
        node.request_document(now, *hash, node.leader());
    }
    document.map(|bytes| bytes.to_vec())
}

#[cfg(test)]
mod tests;
