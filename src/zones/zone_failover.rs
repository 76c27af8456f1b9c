//! The part of zones: what a dispatcher tells the voters of its own work, what the leader proposes, and what the
//! dispatcher does with what is decided. It stands on the fleet's node.

use serde::{Deserialize, Serialize};

use super::{
    Digest, FailoverController, FailoverSettings, HealthReports, OutcomeCounter, TOPIC, ZoneSample,
    ZoneSummary, ZoneTable, ZoneView, ZoneViewTracker,
};
use crate::consensus::DecisionRef;
use crate::fleet::{FleetNode, MemberId};

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// What the zones may get has changed.
    View(ZoneView),
    /// A decision was read that is newer than any before.
    Decided(TableChange),
}

/// A decision that was read, and how it came about as far as is known here.
#[derive(Clone, Debug, PartialEq)]
pub struct TableChange {
    /// Its epoch.
    pub epoch: u64,
    /// What it says.
    pub table: ZoneTable,
    /// The voter that leads, as a member.
    pub leader: Option<MemberId>,
    /// Whether this node proposed it.
    pub is_own: bool,
    /// The members whose votes are known to have carried its leader; at the leader alone.
    pub voters: Vec<MemberId>,
    /// What the fleet's dispatchers saw of each zone, at a voter.
    pub summaries: Vec<ZoneSummary>,
}

/// Voters that do not lead get one digest in so many: within the time for which one counts.
const FOLLOWERS_EVERY: u64 = 2;

/// What members say to voters.
#[derive(Serialize, Deserialize)]
pub(super) struct DigestMessage(pub(super) Digest);

/// The part.
pub struct ZoneFailover {
    count: usize,
    rules: FailoverSettings,
    tally: OutcomeCounter,
    evidence: HealthReports,
    follower: ZoneViewTracker,
    decider: Option<FailoverController>,
    last_proposed: u64,
    view: Option<ZoneView>,
    effects: Vec<Effect>,
}

impl ZoneFailover {
    /// The part of a member of this zone, among so many.
    pub fn new(
        home: usize,
        count: usize,
        rules: FailoverSettings,
        incarnation: u64,
        now: f64,
    ) -> ZoneFailover {
        ZoneFailover {
            count,
            rules,
            tally: OutcomeCounter::new(home as u16, count, incarnation, now),
            evidence: HealthReports::default(),
            follower: ZoneViewTracker::new(home, count, rules, now),
            decider: None,
            last_proposed: 0,
            view: None,
            effects: Vec::new(),
        }
    }

    /// What the dispatcher's own work adds to the evidence.
    pub fn outcome_counter(&mut self) -> &mut OutcomeCounter {
        &mut self.tally
    }

    /// What is to be done since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Does what is due; `open` requests are open with the dispatcher, and `there` tells of a zone what is out there
    /// and how many slots are listed.
    pub fn tick(&mut self, now: f64, node: &mut FleetNode, open: usize, there: impl Fn(usize) -> (u16, u16)) {
        self.follow(now, node);
        if !self.tally.advance(now) {
            return;
        }
        let digest = self.tally.next_digest(open, &there);
        self.send_digest(now, node, digest);
        self.decide(now, node);
        let seen = self.tally.samples(&there);
        self.look(now, &seen);
    }

    /// A message of another member. False where it is none that this part can take.
    pub fn receive(&mut self, now: f64, node: &FleetNode, from: MemberId, bytes: &[u8]) -> bool {
        let Ok((DigestMessage(digest), [])) = postcard::take_from_bytes(bytes) else { return false };
        let home = node.members().get(usize::from(from)).map(|place| place.zone);
        let fits = node.is_voting().is_some() && home == Some(usize::from(digest.zone));
        fits && self.evidence.record(now, from, digest, self.count)
    }

    /// Follows the newest decision that the node knows.
    pub fn follow(&mut self, now: f64, node: &FleetNode) {
        let DecisionRef { epoch, body, .. } = node.newest_decision(TOPIC);
        let known = self.follower.newest().0;
        let table = if epoch > known { ZoneTable::decode(body, self.count) } else { None };
        let term = node.term();
        if !self.follower.on_update(now, epoch, table, term) {
            return;
        }
        let (epoch, table) = self.follower.newest();
        self.effects.push(Effect::Decided(TableChange {
            epoch,
            table: table.clone(),
            leader: node.leader(),
            is_own: self.last_proposed == epoch,
            voters: node.followers(),
            summaries: self.summaries(now, node),
        }));
    }

    /// What the fleet's dispatchers saw of each zone; nothing where it is no voter.
    pub fn summaries(&self, now: f64, node: &FleetNode) -> Vec<ZoneSummary> {
        let zones = if node.is_voting().is_some() { self.count } else { 0 };
        (0..zones).map(|zone| self.evidence.summary(now, zone)).collect()
    }

    /// Sends its sums to the voters, itself among them: to the leader each time, and to the others now and then, so that
    /// one of them that begins to lead knows what was seen lately.
    fn send_digest(&mut self, now: f64, node: &mut FleetNode, digest: Digest) {
        let number = digest.number;
        if node.is_voting().is_some() {
            self.evidence.record(now, node.member_id(), digest.clone(), self.count);
        }
        // Into a vector nothing can fail to fit.
        let bytes = postcard::to_stdvec(&DigestMessage(digest)).unwrap_or_default();
        let (own, leader, voters) = (node.member_id(), node.leader(), node.voters().to_vec());
        let due = |(at, voter): &(usize, MemberId)| {
            let turn = (number + *at as u64).is_multiple_of(FOLLOWERS_EVERY);
            *voter != own && (turn || leader.is_none_or(|leader| leader == *voter))
        };
        for (_, voter) in voters.into_iter().enumerate().filter(due) {
            node.send_message(voter, TOPIC, bytes.clone());
        }
    }

    /// As the leader, proposes what the evidence asks for.
    fn decide(&mut self, now: f64, node: &mut FleetNode) {
        if !node.is_leader() {
            self.decider = None;
            return;
        }
        let (epoch, table) = self.follower.newest();
        let decider = self.decider.get_or_insert_with(|| FailoverController::new(self.rules, now, table));
        // A zone is cut off for the others only where half of its dispatchers are not there either.
        let gone: Vec<bool> = (0..self.count)
            .map(|zone| {
                let here = || node.members().iter().zip(node.alive()).filter(|(place, _)| place.zone == zone);
                let down = here().filter(|(_, up)| !**up).count();
                here().count() > 0 && down * 2 >= here().count()
            })
            .collect();
        // What the node knows may be newer than what is followed here; then it is looked at first.
        if let Some(next) = decider.next_table(now, table, &self.evidence, &gone)
            && node.newest_decision(TOPIC).epoch == epoch
            && node.propose(now, TOPIC, next.encode())
        {
            self.last_proposed = epoch + 1;
        }
        self.follow(now, node);
    }

    /// What the dispatcher is to do by now.
    fn look(&mut self, now: f64, seen: &[ZoneSample]) {
        let view = self.follower.update(now, seen);
        if self.view.as_ref() != Some(view) {
            self.view = Some(view.clone());
            self.effects.push(Effect::View(view.clone()));
        }
    }

    /// The newest epoch and its table.
    pub fn newest(&self) -> (u64, &ZoneTable) {
        self.follower.newest()
    }

    /// What the dispatcher is to do; none before the first look.
    pub fn view(&self) -> Option<&ZoneView> {
        self.view.as_ref()
    }
}
