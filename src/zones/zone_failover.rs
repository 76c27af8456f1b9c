//! Zone failover of one member, on top of the fleet node: sends the dispatcher's digests to the voters, proposes zone
//! tables while this node is the leader, applies decided tables, and provides the dispatcher's view of the zones.
//!
//! The caller records the dispatcher's attempts in [`ZoneFailover::outcome_counter`], calls [`ZoneFailover::tick`]
//! regularly and [`ZoneFailover::apply_newest_decision`] after each decision, passes messages of [`TOPIC`] to
//! [`ZoneFailover::receive`], and carries out the effects. Times are in milliseconds of the caller's clock.

use serde::{Deserialize, Serialize};

use super::{
    DecidedTable, Digest, FailoverController, FailoverSettings, HealthReports, OutcomeCounter, TOPIC,
    ZoneLoad, ZoneSample, ZoneSummary, ZoneTable, ZoneView, ZoneViewTracker,
};
use crate::consensus::DecisionRef;
use crate::fleet::{FleetNode, MemberId};

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Apply this view, which differs from the last one.
    View(ZoneView),
    /// Log this decision, which is newer than all earlier ones.
    Decided(TableChange),
}

/// A newly decided table, and what this member knows about how it was decided.
#[derive(Clone, Debug, PartialEq)]
pub struct TableChange {
    /// The epoch of the decision.
    pub epoch: u64,
    /// The decided table.
    pub table: ZoneTable,
    /// The member that is the current leader, if known.
    pub leader: Option<MemberId>,
    /// Whether this node proposed the table.
    pub is_own: bool,
    /// The members that are known to follow the leader. Empty unless this node is the leader.
    pub voters: Vec<MemberId>,
    /// The summed reports of each zone. Empty unless this node is a voter.
    pub summaries: Vec<ZoneSummary>,
}

/// A voter that is not the leader gets one digest in this many, which is often enough for
/// [`super::DIGEST_LIFETIME_MS`].
const FOLLOWER_DIGEST_INTERVAL: u64 = 2;

/// The message in which members send digests to voters.
#[derive(Serialize, Deserialize)]
pub(super) struct DigestMessage(pub(super) Digest);

/// The zone failover state of one member.
pub struct ZoneFailover {
    zone_count: usize,
    settings: FailoverSettings,
    counter: OutcomeCounter,
    reports: HealthReports,
    tracker: ZoneViewTracker,
    /// The controller, present while this node is the leader.
    controller: Option<FailoverController>,
    /// The epoch that this node's last proposal gets if it is decided.
    last_proposed_epoch: u64,
    view: Option<ZoneView>,
    effects: Vec<Effect>,
}

impl ZoneFailover {
    /// Creates the state of a member in the zone with index `own_zone`, out of `zone_count` zones.
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

    /// Returns the counter for the dispatcher's own attempts and arrivals.
    pub fn outcome_counter(&mut self) -> &mut OutcomeCounter {
        &mut self.counter
    }

    /// Returns the effects that were added since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Applies the newest decision. At the end of a window step, also sends a digest, proposes a table if this node is
    /// the leader, and updates the view. `open_requests` is the number of requests open at the dispatcher, and
    /// `zone_load` returns its current load of a zone.
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

    /// Handles a message from another member. Returns false if it is not a valid new digest, or if this node is not a
    /// voter.
    pub fn receive(&mut self, now: f64, node: &FleetNode, from: MemberId, bytes: &[u8]) -> bool {
        let Ok((DigestMessage(digest), [])) = postcard::take_from_bytes(bytes) else { return false };
        let home = node.members().get(usize::from(from)).map(|member| member.zone);
        let is_valid = node.is_voting().is_some() && home == Some(usize::from(digest.zone));
        is_valid && self.reports.record(now, from, digest, self.zone_count)
    }

    /// Applies the newest table and leader term that the node knows.
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

    /// Returns the summed reports of each zone, or nothing if this node is not a voter.
    pub fn summaries(&self, now: f64, node: &FleetNode) -> Vec<ZoneSummary> {
        let zones = if node.is_voting().is_some() { self.zone_count } else { 0 };
        (0..zones).map(|zone| self.reports.summary(now, zone)).collect()
    }

    /// Sends a digest to the voters, or records it directly if this node is one. The leader gets every digest, and the
    /// other voters one in [`FOLLOWER_DIGEST_INTERVAL`], so that a new leader has recent reports. While no leader is
    /// known, all voters get every digest.
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

    /// Proposes the controller's next table if this node is the leader.
    fn propose_table(&mut self, now: f64, node: &mut FleetNode) {
        if !node.is_leader() {
            self.controller = None;
            return;
        }
        let DecidedTable { epoch, table } = self.tracker.newest_decision();
        let controller =
            self.controller.get_or_insert_with(|| FailoverController::new(self.settings, now, table));
        let half_down = zones_half_down(node, self.zone_count);
        // The node may know a newer decision than the tracker. That one must be applied first.
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

    /// Returns the newest decided table that this member knows.
    pub fn newest_decision(&self) -> &DecidedTable {
        self.tracker.newest_decision()
    }

    /// Returns the dispatcher's current view, or `None` before the first window step has ended.
    pub fn view(&self) -> Option<&ZoneView> {
        self.view.as_ref()
    }
}

/// Returns for each zone whether it has members and the membership reports at least half of them as down. Only such a
/// zone can be closed as unreachable when its digests are missing.
fn zones_half_down(node: &FleetNode, zone_count: usize) -> Vec<bool> {
    let is_half_down = |zone: usize| {
        let members = || node.members().iter().zip(node.alive()).filter(|(member, _)| member.zone == zone);
        let down = members().filter(|(_, is_alive)| !**is_alive).count();
        members().count() > 0 && down * 2 >= members().count()
    };
    (0..zone_count).map(is_half_down).collect()
}
