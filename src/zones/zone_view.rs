//! What a dispatcher does with the newest decision that it knows, and how it goes on without news.
//!
//! The tracker owns the newest table and when the leader's term last rose. The caller hands in what arrives
//! ([`ZoneViewTracker::on_update`]) and asks for the view at a steady pace ([`ZoneViewTracker::update`]); it carries the
//! view out. Times are milliseconds of the caller's clock.
//!
//! | status | while | what the dispatcher does |
//! | --- | --- | --- |
//! | following | the term rose within [`FOLLOWING_TIMEOUT_MS`] | follows the table |
//! | stale | the term rose within `max_stale_ms` | follows the last table |
//! | isolated | otherwise | as before, but it also closes zones that fail itself and uses foreign zones less |

use super::failover_controller::FailoverSettings;
use super::outcome_counter::ZoneSample;
use super::{FULL_SHARE, ZoneState, ZoneTable};
use crate::consensus::LeaderTerm;

/// How long a dispatcher counts as following after the leader's term rose, in milliseconds.
const FOLLOWING_TIMEOUT_MS: f64 = 3000.0;
/// Highest share that a foreign zone gets from an isolated dispatcher, in thousandths.
const ISOLATED_FOREIGN_SHARE: u16 = 500;
/// A share rises by this much in one update at most, in thousandths; it falls at once.
const MAX_SHARE_RISE: u16 = 250;

/// Whether a dispatcher acts in agreement with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgreementStatus {
    /// It follows a leader that has a majority.
    Following,
    /// It has no news, and follows the last epoch.
    Stale,
    /// It has had no news for long, and acts on its own samples as well, more carefully.
    Isolated,
}

/// What a dispatcher is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneView {
    /// The newest epoch.
    pub epoch: u64,
    /// Whether the dispatcher acts in agreement with the others.
    pub status: AgreementStatus,
    /// The share of its usual work that each zone may get, in thousandths.
    pub shares: Vec<u16>,
    /// The share of its requests that the dispatcher admits, in thousandths.
    pub admit: u16,
}

/// A decided table and its epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecidedTable {
    /// The epoch; 0: nothing was decided yet.
    pub epoch: u64,
    /// The table.
    pub table: ZoneTable,
}

/// A dispatcher's view of the zones.
#[derive(Clone, Debug)]
pub struct ZoneViewTracker {
    own_zone: usize,
    settings: FailoverSettings,
    newest_decision: DecidedTable,
    term: LeaderTerm,
    /// When the term last rose, in milliseconds.
    term_raised_ms: f64,
    view: ZoneView,
}

impl ZoneViewTracker {
    /// A tracker without any news: all zones are open.
    pub fn new(own_zone: usize, zones: usize, settings: FailoverSettings, now: f64) -> ZoneViewTracker {
        let shares = vec![FULL_SHARE; zones];
        ZoneViewTracker {
            own_zone,
            settings,
            newest_decision: DecidedTable { epoch: 0, table: ZoneTable::open(zones) },
            term: LeaderTerm::default(),
            term_raised_ms: now,
            view: ZoneView { epoch: 0, status: AgreementStatus::Stale, shares, admit: FULL_SHARE },
        }
    }

    /// Takes a voter's news: the newest epoch that it knows with its table, and the leader's term. An older epoch
    /// changes nothing. Returns whether the epoch is new.
    pub fn on_update(&mut self, now: f64, epoch: u64, table: Option<ZoneTable>, term: LeaderTerm) -> bool {
        if term > self.term {
            (self.term, self.term_raised_ms) = (term, now);
        }
        match table {
            Some(table)
                if epoch > self.newest_decision.epoch
                    && table.zones.len() == self.newest_decision.table.zones.len() =>
            {
                self.newest_decision = DecidedTable { epoch, table };
                true
            }
            _ => false,
        }
    }

    /// The newest decision.
    pub fn newest_decision(&self) -> &DecidedTable {
        &self.newest_decision
    }

    /// The newest term.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Whether the dispatcher acts in agreement with the others.
    pub fn status(&self, now: f64) -> AgreementStatus {
        match now - self.term_raised_ms {
            age_ms if age_ms <= FOLLOWING_TIMEOUT_MS => AgreementStatus::Following,
            age_ms if age_ms <= self.settings.max_stale_ms => AgreementStatus::Stale,
            _ => AgreementStatus::Isolated,
        }
    }

    /// The next view, from the newest decision and the dispatcher's own samples. To be called at a steady pace: each call
    /// may raise shares by a quarter.
    pub fn update(&mut self, now: f64, samples: &[ZoneSample]) -> &ZoneView {
        let status = self.status(now);
        let has_endpoints = samples.iter().any(|sample| sample.slots > 0);
        let home_fails = samples
            .get(self.own_zone)
            .is_some_and(|home| home.is_failing() || has_endpoints && home.slots == 0);
        for zone in 0..self.newest_decision.table.zones.len() {
            let target = self.target_share(zone, status, samples.get(zone), home_fails);
            let share = &mut self.view.shares[zone];
            *share = target.min(share.saturating_add(MAX_SHARE_RISE));
        }
        let admit = self.newest_decision.table.zones.get(self.own_zone).map_or(FULL_SHARE, |zone| zone.admit);
        self.view.epoch = self.newest_decision.epoch;
        self.view.status = status;
        self.view.admit = if status == AgreementStatus::Isolated { FULL_SHARE } else { admit };
        &self.view
    }

    /// The share that a zone is to get from this dispatcher in the end.
    fn target_share(
        &self,
        zone: usize,
        status: AgreementStatus,
        sample: Option<&ZoneSample>,
        home_fails: bool,
    ) -> u16 {
        let agreed = self.agreed_share(zone, home_fails);
        if status != AgreementStatus::Isolated {
            return agreed;
        }
        match sample {
            Some(sample) if sample.is_failing() => 0,
            _ if zone == self.own_zone => agreed,
            _ => agreed.min(ISOLATED_FOREIGN_SHARE),
        }
    }

    /// The share that the table gives a zone.
    fn agreed_share(&self, zone: usize, home_fails: bool) -> u16 {
        let zones = &self.newest_decision.table.zones;
        let home = zones.get(self.own_zone);
        let home_is_open = home.is_none_or(|home| home.state == ZoneState::Open);
        // A home zone that fails this dispatcher is left before the fleet has decided on it.
        let stays_local = home_is_open && home.is_none_or(|home| home.local_only) && !home_fails;
        let decision = &zones[zone];
        match decision.state {
            ZoneState::Closed => 0,
            _ if zone != self.own_zone && stays_local => 0,
            _ if zone == self.own_zone || home_is_open => decision.share,
            // What the home zone cannot take is split over the others by their free capacity.
            _ => decision.share.min(decision.weight),
        }
    }
}

/// Admits a share of the requests, evenly spread: of a thousand in a row exactly the share.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionShare {
    /// Thousandths of a request that were not admitted yet.
    credit: u32,
}

impl AdmissionShare {
    /// Whether the next request is admitted, at a share in thousandths.
    pub fn admits(&mut self, share: u16) -> bool {
        self.credit += u32::from(share.min(FULL_SHARE));
        let is_admitted = self.credit >= u32::from(FULL_SHARE);
        if is_admitted {
            self.credit -= u32::from(FULL_SHARE);
        }
        is_admitted
    }
}
