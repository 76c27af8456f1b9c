//! The participant: a member's role in a rollout. It holds the member's lease, checks the staged version, pauses
//! requests for a change, and tracks which version the member runs.
//!
//! The participant holds only state; the caller owns the disk, the frontends and the clock. The caller carries out all
//! [`Effect`]s in order and reports the result of `Save`, `Check` and `Pause` through the `on_…` methods. Times are in
//! milliseconds of the caller's clock.
//!
//! Three independent state machines:
//!
//! | staged document | event | next state and effects |
//! | --- | --- | --- |
//! | missing | the node has the document | saving: [`Effect::Save`], [`Effect::Check`] |
//! | saving | `on_saved` without an error | saved |
//! | any | a different version is staged, or none | missing |
//!
//! | pause | event | next state and effects |
//! | --- | --- | --- |
//! | running, requested, confirmed | a newer `Pause` for the staged version, which this member has accepted | requested: [`Effect::Pause`] |
//! | requested | `on_paused` | confirmed |
//! | requested, confirmed | `Resume` for this pause, or the version is decided on and the decision applied | running: [`Effect::Resume`] |
//!
//! | membership | event | next state and messages |
//! | --- | --- | --- |
//! | active | `leave` | leaving: repeats `Leave` to the leader until it is acknowledged |
//! | leaving | `Left` | left |

use std::collections::VecDeque;

use super::message::{CheckResult, LeaseRequest, Message, Pause};
use super::participant_state::{
    Membership, ParticipantStatus, PauseState, PendingRequest, ProposeError, StagedDocument,
};
use super::{PolicyDecision, PolicyVersion, RolloutSettings, TOPIC, truncate_reason};
use crate::consensus::DecisionRef;
use crate::fleet::{self, DocumentHash, FleetNode, MemberId};

/// The heartbeat interval in steady state, in milliseconds: eight heartbeats per lease of 2 s.
const HEARTBEAT_MS: f64 = 250.0;
/// The heartbeat interval, in milliseconds, during a change, without a lease or while leaving. It is short so that a
/// lost message is soon replaced by the next one.
const URGENT_HEARTBEAT_MS: f64 = 50.0;
/// Maximum number of heartbeats that can still be answered: covers 3.2 s at the shortest interval.
const MAX_PENDING_REQUESTS: usize = 64;

/// An action for the caller, which carries out all effects in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write the document to disk, then call [`Participant::on_saved`].
    Save(DocumentHash, Vec<u8>),
    /// Check whether this process can run the policy document, then call [`Participant::on_checked`].
    Check(PolicyVersion, Vec<u8>),
    /// Pause incoming requests, then call [`Participant::on_paused`].
    Pause(Pause),
    /// End the pause: process the paused requests under the policy that is in force.
    Resume,
    /// Put this policy into effect.
    Apply(PolicyVersion, Vec<u8>),
    /// Allow new requests to start until this time, in milliseconds of the caller's clock.
    ServeUntil(f64),
    /// Log this decision, which is newer than all earlier ones.
    Decided(PolicyDecision),
}

/// The rollout participant of one member.
pub struct Participant {
    settings: RolloutSettings,
    /// The newest decision that this member knows.
    decision: PolicyDecision,
    /// The epoch of `decision`.
    epoch: u64,
    /// The version that this member runs, or `None` before the first version was applied.
    running: Option<PolicyVersion>,
    staged_document: StagedDocument,
    /// This member's check result for the staged version.
    checked: Option<CheckResult>,
    pause: PauseState,
    /// The newest pause that was accepted from a leader or ended by one. Messages about older pauses are ignored.
    latest_pause: Option<Pause>,
    lease_until_ms: f64,
    /// The number of the newest heartbeat.
    nonce: u64,
    pending_requests: VecDeque<PendingRequest>,
    /// The leader as of the last tick.
    leader: Option<MemberId>,
    next_heartbeat_ms: f64,
    /// The newer version that this member's operator has proposed and that has not been staged yet.
    wanted: Option<PolicyVersion>,
    membership: Membership,
    effects: Vec<Effect>,
}

impl Participant {
    /// Creates a participant that knows no decision and holds no lease, so it must not serve yet.
    ///
    /// `process_nonce` must differ from those of the member's earlier processes. It seeds the number of the first
    /// heartbeat, so that a late grant to an earlier process does not match a heartbeat of this process.
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

    /// Returns the effects that were added since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Proposes the policy of the operator's file to the fleet. Proposing the document that is already in force
    /// succeeds and changes nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if this version or a higher one has been staged before, or if the document is too long.
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

    /// Stops requesting leases and announces this to the leader; [`Participant::has_left`] says when that is done. If
    /// `serves`, the process continues to serve until its lease expires; otherwise the leader ends the lease
    /// immediately.
    pub fn leave(&mut self, now: f64, serves: bool) {
        if self.membership != Membership::Left {
            self.membership = Membership::Leaving { serves };
        }
        self.next_heartbeat_ms = now;
    }

    /// Returns whether the leader has acknowledged that this process leaves, or the lease has expired so that no
    /// acknowledgement is needed.
    pub fn has_left(&self, now: f64) -> bool {
        self.membership == Membership::Left || now >= self.lease_until_ms
    }

    /// Applies the newest decision, and sends a heartbeat or `Leave` to the leader if one is due.
    pub(super) fn tick(&mut self, now: f64, node: &mut FleetNode) {
        self.apply_newest_decision(now, node);
        // Request a lease from a new leader immediately: it does not know about the lease that this member holds.
        let leader_changed = self.leader != node.leader();
        self.leader = node.leader();
        if now < self.next_heartbeat_ms && !leader_changed {
            return;
        }
        match self.membership {
            Membership::Active => self.send_heartbeat(now, node),
            Membership::Leaving { serves } => {
                self.next_heartbeat_ms = now + URGENT_HEARTBEAT_MS;
                if let Some(leader) = node.leader() {
                    node.send_message(leader, TOPIC, Message::Leave { serves }.encode());
                }
            }
            Membership::Left => self.next_heartbeat_ms = now + URGENT_HEARTBEAT_MS,
        }
    }

    fn send_heartbeat(&mut self, now: f64, node: &mut FleetNode) {
        let is_urgent = self.decision.staged.is_some() || self.wanted.is_some() || now >= self.lease_until_ms;
        self.next_heartbeat_ms = now + if is_urgent { URGENT_HEARTBEAT_MS } else { HEARTBEAT_MS };
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

    /// Applies the newest decision that the node knows.
    pub(super) fn apply_newest_decision(&mut self, now: f64, node: &mut FleetNode) {
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

    /// Applies the policy in force once its document is available. Version 0 has no document.
    fn apply_decided_policy(&mut self, now: f64, node: &mut FleetNode) {
        let policy = self.decision.policy;
        if self.runs_decided_policy() {
            return;
        }
        let bytes = if policy.version == 0 {
            Some(Vec::new())
        } else {
            find_or_request_document(now, node, &policy.hash)
        };
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
            && let Some(bytes) = find_or_request_document(now, node, &staged.hash)
        {
            self.staged_document = StagedDocument::Saving;
            self.effects.push(Effect::Save(staged.hash, bytes.clone()));
            self.effects.push(Effect::Check(staged, bytes));
        }
    }

    /// Returns whether this member runs the policy that is in force by the newest decision it knows.
    fn runs_decided_policy(&self) -> bool {
        self.running == Some(self.decision.policy)
    }

    /// Returns whether the staged version `version` was decided on (put in force or given up) and this member has
    /// applied the result.
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

    /// Reports that a document was written to disk, or why that failed. A failed write rejects the staged version: a
    /// member accepts a version only if its document is on disk.
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

    /// Reports that a version was checked. `error` is the reason why this process cannot run it, if any.
    pub fn on_checked(&mut self, now: f64, version: u64, error: Option<String>) {
        let is_answer = self.staged_document == StagedDocument::Saved || error.is_some();
        if self.is_staged(version) && is_answer && self.checked.is_none() {
            let error = error.map(|error| truncate_reason(&error));
            self.checked = Some(CheckResult { version, error });
            self.next_heartbeat_ms = now;
        }
    }

    /// Reports that the frontends have paused incoming requests.
    pub fn on_paused(&mut self, now: f64, pause: Pause) {
        if self.pause.pause() == Some(pause) {
            self.pause = PauseState::Confirmed(pause);
            self.next_heartbeat_ms = now;
        }
    }

    /// Handles a message from a leader.
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
        // Ignore a lease that was granted under a newer decision than this member has applied.
        let is_current = self.epoch >= epoch && self.runs_decided_policy();
        if is_current && until_ms > self.lease_until_ms && until_ms > now {
            self.lease_until_ms = until_ms;
            self.effects.push(Effect::ServeUntil(until_ms));
        }
    }

    fn on_pause(&mut self, pause: Pause) {
        if self.latest_pause.is_some_and(|latest| pause <= latest) {
            return;
        }
        // A pause that arrives before the decision that stages its version is ignored here; the leader sends it again
        // with the next heartbeat.
        if self.is_staged(pause.version) && self.accepts(pause.version) {
            self.latest_pause = Some(pause);
            self.pause = PauseState::Requested(pause);
            self.effects.push(Effect::Pause(pause));
        }
    }

    /// Returns the status of this participant.
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

/// Returns a document if this node has it, and requests it from the leader otherwise.
fn find_or_request_document(now: f64, node: &mut FleetNode, hash: &DocumentHash) -> Option<Vec<u8>> {
    let document = node.document(hash);
    if document.is_none() {
        // The leader has it: it stages a version only if it has the document.
        node.request_document(now, *hash, node.leader());
    }
    document.map(|bytes| bytes.to_vec())
}

#[cfg(test)]
mod tests;
