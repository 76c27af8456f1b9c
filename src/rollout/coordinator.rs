//! The leader's part: which members may hold a lease, which have accepted what is staged, which have paused, and when a
//! change is decided.
//!
//! A coordinator lives from when its node begins to lead until it leads no more. `Rollout` calls it at each tick and with
//! each message of a member; it keeps nothing on disk, and a new leader asks all members anew.
//!
//! | phase | event | message or proposal | next phase |
//! | --- | --- | --- | --- |
//! | any | nothing is staged in the log | stages the lowest version that a member wants | checking |
//! | any | another version is staged than before | | checking |
//! | checking | a member rejects the version | proposes to give it up | deciding |
//! | checking | all that may serve have accepted it lately | `Pause` to all | pausing |
//! | checking | a lease and [`VALIDATION_TIMEOUT_MS`] passed | proposes to give it up | deciding |
//! | pausing | all that may serve have paused | proposes to put it in force | deciding |
//! | pausing | `pause_ms` passed | `Resume` to all, no new pause for [`PAUSE_BACKOFF_MS`] | checking |
//! | deciding | the log has the decision | | checking |
//!
//! A proposal that the node does not take leaves the phase as it is, and is tried again at the next tick. The
//! transitions stand in [`Coordinator::tick`] and the methods `while_…` that it calls.

use super::message::{LeaseRequest, Message, Pause};
use super::{PolicyDecision, PolicyVersion, RolloutSettings, TOPIC};
use crate::fleet::{FleetNode, MemberId};

/// How long members have to fetch and check a document, on top of what leases may take, in milliseconds.
const VALIDATION_TIMEOUT_MS: f64 = 3000.0;
/// How long after a pause that not all members confirmed the next one may start, in milliseconds.
const PAUSE_BACKOFF_MS: f64 = 200.0;
/// A member without a heartbeat for this long is waited for before a pause, not during it, in milliseconds.
const MAX_READY_AGE_MS: f64 = 200.0;
/// How long after a member's heartbeat the version that it wants counts, in milliseconds.
const WANTED_LIFETIME_MS: f64 = 2000.0;
/// Most members that a reason names: it is bounded by [`super::MAX_REASON_BYTES`].
const MAX_NAMED_MEMBERS: usize = 32;
/// A lease that has less than this left is not granted, in milliseconds: the wire form has whole ones.
const MIN_LEASE_MS: f64 = 1.0;

/// What the leader knows of a member. Times are milliseconds of the leader's clock.
#[derive(Clone, Debug)]
struct MemberState {
    /// The incarnation of its present process.
    incarnation: u64,
    /// When the lease that this leader granted to the present process is over for sure.
    lease_until_ms: f64,
    /// The same for processes before it.
    earlier_lease_until_ms: f64,
    last_request_at_ms: f64,
    last_request: LeaseRequest,
    /// The present process has left the fleet's address and may serve until its lease is over.
    serves_after_leaving: bool,
}

impl MemberState {
    /// Notes which process a message is from. It sends from the member's address, which an earlier process gives up only
    /// when it ends, or after it has announced that it leaves.
    fn observe_incarnation(&mut self, now: f64, incarnation: u64) {
        if incarnation <= self.incarnation {
            return;
        }
        if self.serves_after_leaving {
            self.earlier_lease_until_ms = self.earlier_lease_until_ms.max(self.lease_until_ms);
        }
        (self.incarnation, self.lease_until_ms, self.serves_after_leaving) = (incarnation, now, false);
    }

    /// Whether the member has accepted a version, and was heard of recently enough to be paused.
    fn is_ready(&self, now: f64, version: u64) -> bool {
        self.last_request.accepts(version) && now - self.last_request_at_ms <= MAX_READY_AGE_MS
    }

    /// Whether the member has paused.
    fn has_paused(&self, pause: Pause) -> bool {
        self.last_request.paused == Some(pause)
    }
}

/// What the coordinator waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// All that may serve are to accept what is staged.
    Checking,
    /// All that may serve are to pause.
    Pausing { pause: Pause, since_ms: f64 },
    /// The log is to decide what was proposed: the change under a pause, or that it is given up.
    Deciding { pause: Option<Pause> },
}

impl Phase {
    /// The pause that members are to keep.
    fn pause(self) -> Option<Pause> {
        match self {
            Phase::Pausing { pause, .. } => Some(pause),
            Phase::Deciding { pause } => pause,
            Phase::Checking => None,
        }
    }
}

/// A staged version, and since when this leader coordinates it, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct StagedVersion {
    policy: PolicyVersion,
    since_ms: f64,
}

/// The leader's part, from when it begins to lead until it leads no more.
#[derive(Clone, Debug)]
pub struct Coordinator {
    settings: RolloutSettings,
    members: Vec<MemberState>,
    /// What is staged, or was proposed to be.
    staged: Option<StagedVersion>,
    phase: Phase,
    /// Pauses that were asked for.
    attempts: u64,
    next_pause_ms: f64,
    /// All that the log had when this leader began is decided, and known here.
    log_is_committed: bool,
    /// When the leases that earlier leaders granted are over for sure, in milliseconds.
    inherited_lease_until_ms: f64,
}

impl Coordinator {
    /// A coordinator that begins to lead now. It knows of no lease, and takes every member for one that has a full one:
    /// a lease counts from a round that a majority followed, and no round of an earlier leader began after this one led.
    pub fn new(settings: RolloutSettings, members: usize, now: f64) -> Coordinator {
        let member = MemberState {
            incarnation: 0,
            lease_until_ms: now,
            earlier_lease_until_ms: now,
            last_request_at_ms: f64::NEG_INFINITY,
            last_request: LeaseRequest::default(),
            serves_after_leaving: false,
        };
        Coordinator {
            inherited_lease_until_ms: now + settings.full_lease_bound_ms(),
            settings,
            members: vec![member; members],
            staged: None,
            phase: Phase::Checking,
            attempts: 0,
            next_pause_ms: now,
            log_is_committed: false,
        }
    }

    /// Takes a member's heartbeat. It gets a lease for as long as this leader is sure to lead.
    pub(super) fn on_lease_request(
        &mut self,
        now: f64,
        node: &mut FleetNode,
        from: MemberId,
        incarnation: u64,
        request: LeaseRequest,
    ) {
        let Some(member) = self.members.get_mut(usize::from(from)) else { return };
        if incarnation < member.incarnation {
            return;
        }
        member.observe_incarnation(now, incarnation);
        let nonce = request.nonce;
        (member.last_request, member.last_request_at_ms) = (request, now);
        let unconfirmed_pause = self.phase.pause().filter(|pause| !member.has_paused(*pause));
        if let Some(pause) = unconfirmed_pause {
            node.send_message(from, TOPIC, Message::Pause(pause).encode());
        }
        // A proposal may be decided much later, as when a majority was away: until then only members that have paused get
        // leases. The same for what an earlier leader may have proposed and the log still has.
        self.log_is_committed |= node.log_is_committed();
        let may_miss_change = matches!(self.phase, Phase::Deciding { .. }) && unconfirmed_pause.is_some();
        // A leader that was replaced, and knows of it, has no confirmed round: it must grant no lease on the strength of its
        // successor's majority.
        let Some(confirmed_round_ms) = node.last_confirmed_round() else { return };
        let duration_ms = self.settings.lease_ms - (now - confirmed_round_ms);
        if duration_ms < MIN_LEASE_MS || may_miss_change || !self.log_is_committed {
            return;
        }
        member.lease_until_ms = member.lease_until_ms.max(now + self.settings.lease_bound_ms(duration_ms));
        let epoch = node.newest_decision(TOPIC).epoch;
        let grant = Message::LeaseGrant { nonce, duration_ms: duration_ms as u32, epoch };
        node.send_message(from, TOPIC, grant.encode());
    }

    /// A member's process leaves; it `serves` on until its lease is over, or gives the lease back.
    pub(super) fn on_leave(
        &mut self,
        now: f64,
        node: &mut FleetNode,
        from: MemberId,
        incarnation: u64,
        serves: bool,
    ) {
        let Some(member) = self.members.get_mut(usize::from(from)) else { return };
        if incarnation < member.incarnation {
            return;
        }
        member.observe_incarnation(now, incarnation);
        (member.last_request, member.serves_after_leaving) = (LeaseRequest::default(), serves);
        if !serves {
            member.lease_until_ms = member.lease_until_ms.min(now);
        }
        node.send_message(from, TOPIC, Message::Left.encode());
    }

    /// Does what is due: the transitions that the head of this file lists.
    pub(super) fn tick(&mut self, now: f64, node: &mut FleetNode) {
        self.bound_inherited_leases(node);
        let decision = PolicyDecision::decode(node.newest_decision(TOPIC).body);
        let Some(policy) = decision.staged else {
            return self.while_nothing_is_staged(now, node, decision);
        };
        // What another leader staged is taken over: all members are asked anew, and pauses for it do not count.
        if self.staged.unwrap_or_default().policy != policy {
            self.staged = Some(StagedVersion { policy, since_ms: now });
            self.phase = Phase::Checking;
        }
        match self.phase {
            Phase::Checking => self.while_checking(now, node, decision, policy),
            Phase::Pausing { pause, since_ms } => {
                self.while_pausing(now, node, decision, policy, pause, since_ms);
            }
            Phase::Deciding { .. } => {}
        }
    }

    /// Stages what members want: the lowest version first, so that of two that are wanted both come in force.
    fn while_nothing_is_staged(&mut self, now: f64, node: &mut FleetNode, decision: PolicyDecision) {
        // What was proposed to be staged may not be decided yet.
        self.staged = self.staged.filter(|staged| staged.policy.version > decision.highest);
        self.phase = Phase::Checking;
        let Some((member, policy)) = self.lowest_wanted(now, decision.highest) else { return };
        if node.document(&policy.hash).is_none() {
            return node.request_document(now, policy.hash, Some(member));
        }
        if node.propose(now, TOPIC, decision.stage(policy).encode()) {
            self.staged = Some(StagedVersion { policy, since_ms: now });
        }
    }

    /// Waits until all that may serve have accepted what is staged, and asks for a pause.
    fn while_checking(
        &mut self,
        now: f64,
        node: &mut FleetNode,
        decision: PolicyDecision,
        policy: PolicyVersion,
    ) {
        if let Some(reason) = self.first_rejection(policy.version) {
            return self.give_up(now, node, decision, policy, &reason);
        }
        let is_ready = |member: &MemberState| member.is_ready(now, policy.version);
        let all_are_ready = self.awaited_members(now, is_ready).next().is_none();
        let own_is_ready = is_ready(&self.members[usize::from(node.member_id())]);
        let since_ms = self.staged.unwrap_or_default().since_ms;
        if all_are_ready && own_is_ready && now >= self.next_pause_ms {
            self.attempts += 1;
            let pause = Pause { term: node.term(), attempt: self.attempts, version: policy.version };
            self.phase = Phase::Pausing { pause, since_ms: now };
            self.send_to_all(node, &Message::Pause(pause));
        } else if now - since_ms > self.settings.full_lease_bound_ms() + VALIDATION_TIMEOUT_MS {
            let unready: Vec<usize> = self.awaited_members(now, is_ready).take(MAX_NAMED_MEMBERS).collect();
            let reason = format!("no yes in time of members {unready:?}");
            self.give_up(now, node, decision, policy, &reason);
        }
    }

    /// Waits until all that may serve have paused, and proposes the change; not for longer than `pause_ms`.
    fn while_pausing(
        &mut self,
        now: f64,
        node: &mut FleetNode,
        decision: PolicyDecision,
        policy: PolicyVersion,
        pause: Pause,
        since_ms: f64,
    ) {
        let all_have_paused = self.awaited_members(now, |member| member.has_paused(pause)).next().is_none();
        if all_have_paused {
            // Where it is not proposed nobody can decide it, and it is tried again.
            if node.propose(now, TOPIC, decision.put_in_force(policy).encode()) {
                self.phase = Phase::Deciding { pause: Some(pause) };
            }
        } else if now - since_ms > self.settings.pause_ms {
            // Only this leader could have had the change decided under this pause, and it did not propose it.
            self.send_to_all(node, &Message::Resume(pause));
            (self.phase, self.next_pause_ms) = (Phase::Checking, now + PAUSE_BACKOFF_MS);
        }
    }

    fn give_up(
        &mut self,
        now: f64,
        node: &mut FleetNode,
        decision: PolicyDecision,
        policy: PolicyVersion,
        reason: &str,
    ) {
        if node.propose(now, TOPIC, decision.give_up(policy, reason).encode()) {
            self.phase = Phase::Deciding { pause: None };
        }
    }

    /// Learns when earlier leaders can have granted their last lease, once enough voters have answered.
    fn bound_inherited_leases(&mut self, node: &FleetNode) {
        if let Some(last_round_ms) = node.predecessors_last_round() {
            let bound_ms = last_round_ms + self.settings.full_lease_bound_ms();
            self.inherited_lease_until_ms = self.inherited_lease_until_ms.min(bound_ms);
        }
    }

    /// Members that may serve and are not done, in order.
    fn awaited_members<'a>(
        &'a self,
        now: f64,
        is_done: impl Fn(&MemberState) -> bool + 'a,
    ) -> impl Iterator<Item = usize> + 'a {
        let inherited = self.inherited_lease_until_ms > now;
        let is_awaited = move |member: &MemberState| {
            inherited
                || member.earlier_lease_until_ms > now
                || member.lease_until_ms > now && !is_done(member)
        };
        (0..self.members.len()).filter(move |at| is_awaited(&self.members[*at]))
    }

    /// The first member that has rejected a version, and why.
    fn first_rejection(&self, version: u64) -> Option<String> {
        let mut members = self.members.iter().enumerate();
        members.find_map(|(at, member)| {
            let error = member.last_request.rejection(version)?;
            Some(format!("member {at}: {error}"))
        })
    }

    /// The lowest version above `highest` that a member wants, and the member.
    fn lowest_wanted(&self, now: f64, highest: u64) -> Option<(MemberId, PolicyVersion)> {
        let members = self.members.iter().enumerate();
        let recent = members.filter(|(_, member)| now - member.last_request_at_ms < WANTED_LIFETIME_MS);
        let wanted = recent.filter_map(|(at, member)| Some((at as MemberId, member.last_request.wanted?)));
        let newer = wanted.filter(|(_, policy)| policy.version > highest);
        newer.min_by_key(|(_, policy)| policy.version)
    }

    fn send_to_all(&self, node: &mut FleetNode, message: &Message) {
        for member in 0..self.members.len() as MemberId {
            node.send_message(member, TOPIC, message.encode());
        }
    }
}
