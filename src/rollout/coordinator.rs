//! The coordinator: the leader's role in a rollout. It tracks which members may hold a lease, which have accepted the
//! staged version and which have paused, and it proposes the decisions.
//!
//! A coordinator exists only while its node is the leader. `Rollout` calls it on each tick and for each message from a
//! member. It persists nothing: a new leader collects the state of all members again.
//!
//! | phase | event | message or proposal | next phase |
//! | --- | --- | --- | --- |
//! | any | nothing is staged in the log | proposes to stage the lowest version that a member wants | checking |
//! | any | a different version is staged than before | | checking |
//! | checking | a member rejects the version | proposes to give it up | deciding |
//! | checking | all members that may serve have recently confirmed that they accept it | `Pause` to all | pausing |
//! | checking | a full lease and [`VALIDATION_TIMEOUT_MS`] have passed | proposes to give it up | deciding |
//! | pausing | all members that may serve have paused | proposes to put it in force | deciding |
//! | pausing | `pause_ms` has passed | `Resume` to all, no new pause for [`PAUSE_BACKOFF_MS`] | checking |
//! | deciding | the log has the decision | | checking |
//!
//! If the node does not accept a proposal, the phase stays the same and the next tick tries again. The transitions are
//! implemented in [`Coordinator::tick`] and the `tick_…` methods that it calls.

use super::message::{LeaseRequest, Message, Pause};
use super::{PolicyDecision, PolicyVersion, RolloutSettings, TOPIC};
use crate::fleet::{FleetNode, MemberId};

/// Time that members have to fetch and check a document, in addition to the duration of a lease, in milliseconds.
const VALIDATION_TIMEOUT_MS: f64 = 3000.0;
/// Delay before the next pause after a pause that not all members confirmed, in milliseconds.
const PAUSE_BACKOFF_MS: f64 = 200.0;
/// Maximum age of a member's last heartbeat, in milliseconds, for the member to count as ready to pause. The leader
/// waits for a silent member before the pause starts, so that requests are not paused during that wait.
const MAX_READY_AGE_MS: f64 = 200.0;
/// How long after a member's last heartbeat the version that it proposed is considered, in milliseconds.
const WANTED_LIFETIME_MS: f64 = 2000.0;
/// Maximum number of members listed in a reason, whose length is limited by [`super::MAX_REASON_BYTES`].
const MAX_NAMED_MEMBERS: usize = 32;
/// Minimum remaining duration of a granted lease, in milliseconds. The wire format carries whole milliseconds.
const MIN_LEASE_MS: f64 = 1.0;

/// The leader's knowledge of one member. Times are in milliseconds of the leader's clock.
#[derive(Clone, Debug)]
struct MemberState {
    /// The incarnation of the member's current process.
    incarnation: u64,
    /// The time when the lease that this leader granted to the current process has certainly expired.
    lease_until_ms: f64,
    /// The time when the leases that this leader granted to earlier processes of the member have certainly expired.
    earlier_lease_until_ms: f64,
    last_request_at_ms: f64,
    last_request: LeaseRequest,
    /// Whether the current process has announced that it leaves but continues to serve until its lease expires.
    serves_after_leaving: bool,
}

impl MemberState {
    /// Records the incarnation of the process that sent a message. A process keeps the member's address until it ends
    /// or has announced that it leaves. So when a newer incarnation sends from that address, the earlier process can
    /// still hold a lease only if it announced that it would continue to serve.
    fn observe_incarnation(&mut self, now: f64, incarnation: u64) {
        if incarnation <= self.incarnation {
            return;
        }
        if self.serves_after_leaving {
            self.earlier_lease_until_ms = self.earlier_lease_until_ms.max(self.lease_until_ms);
        }
        (self.incarnation, self.lease_until_ms, self.serves_after_leaving) = (incarnation, now, false);
    }

    /// Returns whether the member has accepted `version` and its last heartbeat is recent enough to start a pause.
    fn is_ready(&self, now: f64, version: u64) -> bool {
        self.last_request.accepts(version) && now - self.last_request_at_ms <= MAX_READY_AGE_MS
    }

    /// Returns whether the member has confirmed `pause`.
    fn has_paused(&self, pause: Pause) -> bool {
        self.last_request.paused == Some(pause)
    }
}

/// The phase of a rollout, which determines what the coordinator waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Waiting until all members that may serve have accepted the staged version. Also the phase when nothing is
    /// staged.
    Checking,
    /// Waiting until all members that may serve have paused.
    Pausing { pause: Pause, since_ms: f64 },
    /// Waiting until the log has decided the proposal: to put the version in force (with a pause) or to discard it
    /// (without one).
    Deciding { pause: Option<Pause> },
}

impl Phase {
    /// Returns the pause that members must observe in this phase, if any.
    fn pause(self) -> Option<Pause> {
        match self {
            Phase::Pausing { pause, .. } => Some(pause),
            Phase::Deciding { pause } => pause,
            Phase::Checking => None,
        }
    }
}

/// A staged version, and the time when this leader started to coordinate it, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct StagedVersion {
    policy: PolicyVersion,
    since_ms: f64,
}

/// The rollout coordinator of the leader. It exists only while its node is the leader.
#[derive(Clone, Debug)]
pub struct Coordinator {
    settings: RolloutSettings,
    members: Vec<MemberState>,
    /// The version that is staged, or that this leader has proposed to stage.
    staged: Option<StagedVersion>,
    phase: Phase,
    /// The number of pauses that this coordinator has started.
    attempts: u64,
    /// The earliest time at which the next pause may start, in milliseconds.
    next_pause_ms: f64,
    /// Whether this leader knows that all entries that were in the log when it became the leader are decided.
    log_is_committed: bool,
    /// The time when all leases granted by earlier leaders have certainly expired, in milliseconds.
    inherited_lease_until_ms: f64,
}

impl Coordinator {
    /// Creates the coordinator of a node that becomes the leader now. It does not know which leases earlier leaders
    /// have granted, so it assumes that every member holds a full lease that starts now. This bound is safe: the
    /// duration of a lease counts from the start of a heartbeat round that a majority followed, and no such round of an
    /// earlier leader started after this node became the leader.
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

    /// Handles a member's heartbeat. Grants a lease that ends `lease_ms` after the start of the last heartbeat round
    /// that a majority followed: a successor of this leader waits that long before it has a change decided.
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
        // A proposal may be decided much later, for example after a majority was unreachable. While it is pending, only
        // members that have paused get leases. No member gets a lease while an earlier leader's proposal may still be
        // in the log undecided.
        self.log_is_committed |= node.log_is_committed();
        let may_miss_change = matches!(self.phase, Phase::Deciding { .. }) && unconfirmed_pause.is_some();
        // A leader that knows it has been replaced has no confirmed round. It must not grant leases based on the
        // majority that follows its successor.
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

    /// Handles the announcement that a member's process leaves. If `serves`, it continues to serve until its lease
    /// expires; otherwise its lease ends now.
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

    /// Runs the transitions that are due; see the table in the module documentation.
    pub(super) fn tick(&mut self, now: f64, node: &mut FleetNode) {
        self.bound_inherited_leases(node);
        let decision = PolicyDecision::decode(node.newest_decision(TOPIC).body);
        let Some(policy) = decision.staged else {
            return self.tick_idle(now, node, decision);
        };
        // Take over a version that another leader staged: start at the checking phase, and ignore pauses that the other
        // leader started for it.
        if self.staged.unwrap_or_default().policy != policy {
            self.staged = Some(StagedVersion { policy, since_ms: now });
            self.phase = Phase::Checking;
        }
        match self.phase {
            Phase::Checking => self.tick_checking(now, node, decision, policy),
            Phase::Pausing { pause, since_ms } => {
                self.tick_pausing(now, node, decision, policy, pause, since_ms);
            }
            Phase::Deciding { .. } => {}
        }
    }

    /// Proposes to stage a version that a member wants. The lowest version goes first, so that if members want two
    /// versions, both are staged, one after the other.
    fn tick_idle(&mut self, now: f64, node: &mut FleetNode, decision: PolicyDecision) {
        // Keep a version that this leader has proposed to stage until the log has decided the proposal.
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

    /// Starts a pause once all members that may serve have accepted the staged version. Proposes to give the version up
    /// if a member rejects it or the time for the check is over.
    fn tick_checking(
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

    /// Proposes to put the version in force once all members that may serve have paused. Ends the pause if that takes
    /// longer than `pause_ms`.
    fn tick_pausing(
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
            // If the node does not accept the proposal, it cannot be decided, and the next tick tries again.
            if node.propose(now, TOPIC, decision.put_in_force(policy).encode()) {
                self.phase = Phase::Deciding { pause: Some(pause) };
            }
        } else if now - since_ms > self.settings.pause_ms {
            // It is safe to resume: only this leader could propose the change under this pause, and it did not.
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

    /// Lowers the bound on inherited leases once a majority of voters has replied, which bounds when earlier leaders
    /// can have granted their last lease.
    fn bound_inherited_leases(&mut self, node: &FleetNode) {
        if let Some(last_round_ms) = node.predecessors_last_round() {
            let bound_ms = last_round_ms + self.settings.full_lease_bound_ms();
            self.inherited_lease_until_ms = self.inherited_lease_until_ms.min(bound_ms);
        }
    }

    /// Returns the indexes of the members that the leader must wait for: those that may hold a lease and have not met
    /// `is_done`. Leases from earlier leaders or to earlier processes count whatever `is_done` returns.
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
        (0..self.members.len()).filter(move |index| is_awaited(&self.members[*index]))
    }

    /// Returns the first member that has rejected `version`, and its reason, as text.
    fn first_rejection(&self, version: u64) -> Option<String> {
        let mut members = self.members.iter().enumerate();
        members.find_map(|(index, member)| {
            let error = member.last_request.rejection(version)?;
            Some(format!("member {index}: {error}"))
        })
    }

    /// Returns the lowest version above `highest` that a member has recently proposed, and that member.
    fn lowest_wanted(&self, now: f64, highest: u64) -> Option<(MemberId, PolicyVersion)> {
        let members = self.members.iter().enumerate();
        let recent = members.filter(|(_, member)| now - member.last_request_at_ms < WANTED_LIFETIME_MS);
        let wanted =
            recent.filter_map(|(index, member)| Some((index as MemberId, member.last_request.wanted?)));
        let newer = wanted.filter(|(_, policy)| policy.version > highest);
        newer.min_by_key(|(_, policy)| policy.version)
    }

    fn send_to_all(&self, node: &mut FleetNode, message: &Message) {
        for member in 0..self.members.len() as MemberId {
            node.send_message(member, TOPIC, message.encode());
        }
    }
}
