//! The leader's part: who holds a lease, who has said yes, who holds what comes in, and when a change is decided.

use super::{
    ChangeOutcome, LeaseRequest, Message, Pause, PolicyDecision, PolicyVersion, RolloutSettings, TOPIC, cut,
};
use crate::fleet::{self, FleetNode};

/// Beyond what leases may take, all have so long to fetch and check a document, in milliseconds.
const CHECKS: f64 = 3000.0;
/// Members that a reason names at most.
const MOST_NAMED: usize = 32;
/// After a hold that not all kept, the next one comes so much later, in milliseconds.
const RESTS: f64 = 200.0;
/// A member that was not heard of for so long is waited for before a hold, not during it, in milliseconds.
const HEARD: f64 = 200.0;

/// What is known of a member.
#[derive(Clone, Debug)]
struct MemberSlot {
    incarnation: u64,
    /// When the lease of its present process that this leader granted is over for sure, by the leader's clock.
    leased: f64,
    /// The same of processes before it.
    before: f64,
    heard: f64,
    told: LeaseRequest,
    /// Its present process has left the fleet's address, and may serve until its lease is over.
    leaving: bool,
}

impl MemberSlot {
    /// What is heard from now on is of this process. It speaks from the member's address, which one before it leaves only
    /// as it ends, or after it has told that it leaves.
    fn begin(&mut self, now: f64, incarnation: u64) {
        if incarnation <= self.incarnation {
            return;
        }
        if self.leaving {
            self.before = self.before.max(self.leased);
        }
        (self.incarnation, self.leased, self.leaving) = (incarnation, now, false);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// All are to say yes.
    Checking,
    /// All are to hold.
    Holding { hold: Pause, since: f64 },
    /// What was held for was proposed to the log, or that it is given up.
    Deciding { hold: Option<Pause> },
}

/// The leader's part, from when it began to lead until it does no more.
#[derive(Clone, Debug)]
pub struct Coordinator {
    rules: RolloutSettings,
    slots: Vec<MemberSlot>,
    /// What is staged, and since when it leads that.
    staged: Option<(PolicyVersion, f64)>,
    phase: Phase,
    attempts: u64,
    next_hold: f64,
    /// All that the log had when it began to lead is decided, and known here.
    settled: bool,
    /// When the leases that leaders before this one granted are over for sure.
    inherited: f64,
}

impl Coordinator {
    /// One that begins to lead now. It knows of no lease, and takes every member for one that has one in full: a lease
    /// counts from a round that a majority followed, and no round of an earlier leader began after this one led.
    pub fn new(rules: RolloutSettings, members: usize, now: f64) -> Coordinator {
        let (incarnation, heard) = (0, f64::NEG_INFINITY);
        let told = LeaseRequest::default();
        let slot = MemberSlot { incarnation, leased: now, before: now, heard, told, leaving: false };
        Coordinator {
            inherited: now + rules.over(rules.lease_ms),
            rules,
            slots: vec![slot; members],
            staged: None,
            phase: Phase::Checking,
            attempts: 0,
            next_hold: now,
            settled: false,
        }
    }

    /// A member has told how it stands. It gets a lease, as far as this leader is sure to lead.
    pub(super) fn lease_requested(
        &mut self,
        now: f64,
        node: &mut FleetNode,
        from: u16,
        incarnation: u64,
        told: LeaseRequest,
    ) {
        let Some(slot) = self.slots.get_mut(usize::from(from)) else { return };
        if incarnation < slot.incarnation {
            return;
        }
        slot.begin(now, incarnation);
        let nonce = told.nonce;
        (slot.told, slot.heard) = (told, now);
        let held = match self.phase {
            Phase::Holding { hold, .. } | Phase::Deciding { hold: Some(hold) } => Some(hold),
            Phase::Checking | Phase::Deciding { hold: None } => None,
        };
        let holds = held.is_some() && slot.told.holds == held;
        if let Some(hold) = held.filter(|_| !holds) {
            node.send_message(from, TOPIC, Message::Pause(hold).encode());
        }
        // What is proposed may be decided much later, as when a majority was away: until then no lease is given but to
        // those that hold. The same for what a leader before this one may have proposed and the log still has.
        self.settled |= node.log_is_committed();
        let undecided = matches!(self.phase, Phase::Deciding { hold: Some(_) }) && !holds;
        // A leader that another has followed, and that hears of it, must not give leases on the other's strength.
        let Some(confirmed) = node.last_confirmed_round() else { return };
        let left = self.rules.lease_ms - (now - confirmed);
        if left < 1.0 || undecided || !self.settled {
            return;
        }
        slot.leased = slot.leased.max(now + self.rules.over(left));
        let epoch = node.newest_decision(TOPIC).epoch;
        node.send_message(from, TOPIC, Message::LeaseGrant { nonce, lasts: left as u32, epoch }.encode());
    }

    /// A member's process leaves, and serves on until its lease is over, or not.
    pub(super) fn leave(
        &mut self,
        now: f64,
        node: &mut FleetNode,
        from: u16,
        incarnation: u64,
        serves: bool,
    ) {
        let Some(slot) = self.slots.get_mut(usize::from(from)).filter(|slot| incarnation >= slot.incarnation)
        else {
            return;
        };
        slot.begin(now, incarnation);
        (slot.told, slot.leaving) = (LeaseRequest::default(), serves);
        if !serves {
            slot.leased = slot.leased.min(now);
        }
        node.send_message(from, TOPIC, Message::Left.encode());
    }

    /// Learns when earlier leaders can have granted their last lease, once enough voters have told.
    fn inherit(&mut self, node: &FleetNode) {
        if let Some(last_round) = node.predecessors_last_round() {
            self.inherited = self.inherited.min(last_round + self.rules.over(self.rules.lease_ms));
        }
    }

    /// Members that may serve and of which something does not hold.
    fn missing<'a>(
        &'a self,
        now: f64,
        holds: impl Fn(&MemberSlot) -> bool + 'a,
    ) -> impl Iterator<Item = usize> + 'a {
        let open = move |slot: &MemberSlot| slot.before > now || slot.leased > now && !holds(slot);
        (0..self.slots.len()).filter(move |at| self.inherited > now || open(&self.slots[*at]))
    }

    /// Does what is due.
    pub(super) fn tick(&mut self, now: f64, node: &mut FleetNode) {
        self.inherit(node);
        let decision = PolicyDecision::decode(node.newest_decision(TOPIC).body);
        let Some(staged) = decision.staged else {
            // What was proposed to be staged may not be decided yet.
            self.staged = self.staged.filter(|(own, _)| own.version > decision.highest);
            self.phase = Phase::Checking;
            return self.stage(now, node, decision);
        };
        // What another leader staged is taken over: all that it was told is asked anew, and holds for it do not count.
        let (own, mut since) = self.staged.unwrap_or_default();
        if own != staged {
            (self.staged, self.phase, since) = (Some((staged, now)), Phase::Checking, now);
        }
        match self.phase {
            Phase::Deciding { .. } => {}
            Phase::Checking => {
                let no = self.slots.iter().position(|slot| {
                    let checked = slot.told.checked.as_ref();
                    checked.is_some_and(|(version, no)| *version == staged.version && no.is_some())
                });
                if let Some(at) = no {
                    let why = self.slots[at].told.checked.clone().and_then(|checked| checked.1);
                    let why = format!("member {at}: {}", why.unwrap_or_default());
                    return self.give_up(now, node, decision, &why);
                }
                let yes = |slot: &MemberSlot| {
                    slot.told.checked == Some((staged.version, None)) && now - slot.heard <= HEARD
                };
                let ready = self.missing(now, yes).next().is_none();
                let own = yes(&self.slots[usize::from(node.member_id())]);
                if ready && own && now >= self.next_hold {
                    self.attempts += 1;
                    let hold = Pause { term: node.term(), attempt: self.attempts, version: staged.version };
                    self.phase = Phase::Holding { hold, since: now };
                    self.to_all(node, &Message::Pause(hold));
                } else if now - since > self.rules.over(self.rules.lease_ms) + CHECKS {
                    let missing: Vec<usize> = self.missing(now, yes).take(MOST_NAMED).collect();
                    let why = format!("no yes in time of members {missing:?}");
                    self.give_up(now, node, decision, &why);
                }
            }
            Phase::Holding { hold, since } => {
                if self.missing(now, |slot| slot.told.holds == Some(hold)).next().is_none() {
                    let last =
                        ChangeOutcome { version: staged.version, in_force: true, reason: String::new() };
                    let next = PolicyDecision { policy: staged, staged: None, last: Some(last), ..decision };
                    // Where it is not proposed nobody can decide it, and it is tried again.
                    if node.propose(now, TOPIC, next.encode()) {
                        self.phase = Phase::Deciding { hold: Some(hold) };
                    }
                } else if now - since > self.rules.pause_ms {
                    // Only this leader could have had it decided on this hold, and it did not propose it.
                    self.to_all(node, &Message::Resume(hold));
                    (self.phase, self.next_hold) = (Phase::Checking, now + RESTS);
                }
            }
        }
    }

    /// Stages what members want: the lowest version first, so that two that are wanted come one after the other.
    fn stage(&mut self, now: f64, node: &mut FleetNode, decision: PolicyDecision) {
        let fresh = |slot: &MemberSlot| now - slot.heard < 2000.0;
        let slots = self.slots.iter().enumerate().filter(|(_, slot)| fresh(slot));
        let wanted = slots.filter_map(|(at, slot)| Some((at, slot.told.wants?)));
        let newer = wanted.filter(|(_, p)| p.version > decision.highest);
        let Some((at, policy)) = newer.min_by_key(|(_, p)| p.version) else { return };
        if node.document(&policy.hash).is_none() {
            return node.request_document(now, policy.hash, Some(at as fleet::MemberId));
        }
        let next = PolicyDecision { staged: Some(policy), highest: policy.version, ..decision };
        if node.propose(now, TOPIC, next.encode()) {
            (self.staged, self.phase) = (Some((policy, now)), Phase::Checking);
        }
    }

    fn give_up(&mut self, now: f64, node: &mut FleetNode, decision: PolicyDecision, reason: &str) {
        let Some(staged) = decision.staged else { return };
        let last = ChangeOutcome { version: staged.version, in_force: false, reason: cut(reason) };
        let next = PolicyDecision { staged: None, last: Some(last), ..decision };
        if node.propose(now, TOPIC, next.encode()) {
            self.phase = Phase::Deciding { hold: None };
        }
    }

    fn to_all(&self, node: &mut FleetNode, message: &Message) {
        for member in 0..self.slots.len() as fleet::MemberId {
            node.send_message(member, TOPIC, message.encode());
        }
    }
}
