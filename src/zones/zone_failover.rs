//! Zone failover of one member, on top of the fleet's node: it sends the dispatcher's digests to the voters, proposes
//! tables while this node leads, follows what is decided, and gives out the dispatcher's view.
//!
//! The caller records the dispatcher's attempts in [`ZoneFailover::outcome_counter`], calls [`ZoneFailover::tick`]
//! regularly and [`ZoneFailover::apply_newest_decision`] after each decision, hands in messages of [`TOPIC`], and carries out the
//! effects. Times are milliseconds of the caller's clock.

use serde::{Deserialize, Serialize};

use super::{
    DecidedTable, Digest, FailoverController, FailoverSettings, HealthReports, OutcomeCounter, TOPIC,
    ZoneLoad, ZoneSample, ZoneSummary, ZoneTable, ZoneView, ZoneViewTracker,
};
use crate::consensus::DecisionRef;
use crate::fleet::{FleetNode, MemberId};

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Apply the new view.
    View(ZoneView),
    /// Log a decision that is newer than any before.
    Decided(TableChange),
}

/// A decision that was read, and how it came about as far as this member knows.
#[derive(Clone, Debug, PartialEq)]
pub struct TableChange {
    /// Its epoch.
    pub epoch: u64,
    /// The table.
    pub table: ZoneTable,
    /// The voter that leads, as a member.
    pub leader: Option<MemberId>,
    /// Whether this node proposed it.
    pub is_own: bool,
    /// The members that are known to follow the leader; at the leader alone.
    pub voters: Vec<MemberId>,
    /// The reports of each zone; at voters alone.
    pub summaries: Vec<ZoneSummary>,
}

/// A voter that does not lead gets one digest in this many: often enough for [`super::DIGEST_LIFETIME_MS`].
const FOLLOWER_DIGEST_INTERVAL: u64 = 2;

/// The message that members send to voters.
#[derive(Serialize, Deserialize)]
pub(super) struct DigestMessage(pub(super) Digest);

/// Zone failover of one member.
pub struct ZoneFailover {
    zone_count: usize,
    settings: FailoverSettings,
    counter: OutcomeCounter,
    reports: HealthReports,
    tracker: ZoneViewTracker,
    /// Present while this node leads.
    controller: Option<FailoverController>,
    /// The epoch that this node's last proposal has if it is decided.
    last_proposed_epoch: u64,
    view: Option<ZoneView>,
    effects: Vec<Effect>,
}

impl ZoneFailover {
    /// Zone failover of a member in the zone `own_zone` of `zone_count`.
    pub fn new(
        own_zone: usize,
        zone_count: usize,
        settings: FailoverSettings,
        incarnation: u64,
        now: f64,
    ) -> ZoneFailover {
        ZoneFailover {
            zone_count,
            settings,
            counter: OutcomeCounter::new(own_zone as u16, zone_count, incarnation, now),
            reports: HealthReports::default(),
            tracker: ZoneViewTracker::new(own_zone, zone_count, settings, now),
            controller: None,
            last_proposed_epoch: 0,
            view: None,
            effects: Vec::new(),
        }
    }

    /// The counter of the dispatcher's own attempts and arrivals.
    pub fn outcome_counter(&mut self) -> &mut OutcomeCounter {
        &mut self.counter
    }

    /// What is to be done since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Does what is due. `open_requests` are open at the dispatcher, and `zone_load` gives its present load of a zone.
    pub fn tick(
        &mut self,
        now: f64,
        node: &mut FleetNode,
        open_requests: usize,
        zone_load: impl Fn(usize) -> ZoneLoad,
    ) {
        self.apply_newest_decision(now, node);
        if !self.counter.advance(now) {
            return;
        }
        let digest = self.counter.next_digest(open_requests, &zone_load);
        self.send_digest(now, node, digest);
        self.propose_table(now, node);
        let samples = self.counter.samples(&zone_load);
        self.update_view(now, &samples);
    }

    /// Takes a message of another member. Returns false where it is not a valid digest for this member.
    pub fn receive(&mut self, now: f64, node: &FleetNode, from: MemberId, bytes: &[u8]) -> bool {
        let Ok((DigestMessage(digest), [])) = postcard::take_from_bytes(bytes) else { return false };
        let home = node.members().get(usize::from(from)).map(|member| member.zone);
        let is_valid = node.is_voting().is_some() && home == Some(usize::from(digest.zone));
        is_valid && self.reports.record(now, from, digest, self.zone_count)
    }

    /// Follows the newest decision that the node knows.
    pub fn apply_newest_decision(&mut self, now: f64, node: &FleetNode) {
        let DecisionRef { epoch, body, .. } = node.newest_decision(TOPIC);
        let is_newer = epoch > self.tracker.newest_decision().epoch;
        let table = if is_newer { ZoneTable::decode(body, self.zone_count) } else { None };
        let term = node.term();
        if !self.tracker.on_update(now, epoch, table, term) {
            return;
        }
        let newest = self.tracker.newest_decision();
        self.effects.push(Effect::Decided(TableChange {
            epoch: newest.epoch,
            table: newest.table.clone(),
            leader: node.leader(),
            is_own: self.last_proposed_epoch == newest.epoch,
            voters: node.followers(),
            summaries: self.summaries(now, node),
        }));
    }

    /// The reports of each zone; empty where this member is no voter.
    pub fn summaries(&self, now: f64, node: &FleetNode) -> Vec<ZoneSummary> {
        let zones = if node.is_voting().is_some() { self.zone_count } else { 0 };
        (0..zones).map(|zone| self.reports.summary(now, zone)).collect()
    }

    /// Sends a digest to the voters, itself among them: to the leader each time, and to the others now and then, so that
    /// one of them that begins to lead has recent reports.
    fn send_digest(&mut self, now: f64, node: &mut FleetNode, digest: Digest) {
        let number = digest.number;
        if node.is_voting().is_some() {
            self.reports.record(now, node.member_id(), digest.clone(), self.zone_count);
        }
        // Serializing into a vector cannot fail.
        let bytes = postcard::to_stdvec(&DigestMessage(digest)).unwrap_or_default();
        let (own, leader, voters) = (node.member_id(), node.leader(), node.voters().to_vec());
        for (position, voter) in voters.into_iter().enumerate() {
            let leads = leader.is_none_or(|leader| leader == voter);
            let is_turn = (number + position as u64).is_multiple_of(FOLLOWER_DIGEST_INTERVAL);
            if voter != own && (leads || is_turn) {
                node.send_message(voter, TOPIC, bytes.clone());
            }
        }
    }

    /// As the leader, proposes the table that the reports ask for.
    fn propose_table(&mut self, now: f64, node: &mut FleetNode) {
        if !node.is_leader() {
            self.controller = None;
            return;
        }
        let DecidedTable { epoch, table } = self.tracker.newest_decision();
        let controller =
            self.controller.get_or_insert_with(|| FailoverController::new(self.settings, now, table));
        let half_down = zones_half_down(node, self.zone_count);
        // The node may know a newer decision than the tracker; that is to be followed first.
        if let Some(next) = controller.next_table(now, table, &self.reports, &half_down)
            && node.newest_decision(TOPIC).epoch == *epoch
            && node.propose(now, TOPIC, next.encode())
        {
            self.last_proposed_epoch = epoch + 1;
        }
        self.apply_newest_decision(now, node);
    }

    fn update_view(&mut self, now: f64, samples: &[ZoneSample]) {
        let view = self.tracker.update(now, samples);
        if self.view.as_ref() != Some(view) {
            self.view = Some(view.clone());
            self.effects.push(Effect::View(view.clone()));
        }
    }

    /// The newest decision.
    pub fn newest_decision(&self) -> &DecidedTable {
        self.tracker.newest_decision()
    }

    /// What the dispatcher is to do; none before the first digest.
    pub fn view(&self) -> Option<&ZoneView> {
        self.view.as_ref()
    }
}

/// The zones with members of which at least half are down by the membership. A zone whose digests are missing is only
/// closed as unreachable if it is one of these.
fn zones_half_down(node: &FleetNode, zone_count: usize) -> Vec<bool> {
    let is_half_down = |zone: usize| {
        let members = || node.members().iter().zip(node.alive()).filter(|(member, _)| member.zone == zone);
        let down = members().filter(|(_, is_alive)| !**is_alive).count();
        members().count() > 0 && down * 2 >= members().count()
    };
    (0..zone_count).map(is_half_down).collect()
}
