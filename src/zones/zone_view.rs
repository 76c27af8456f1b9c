//! Derives a dispatcher's view of the zones from the newest decision that it knows, and defines how the dispatcher acts
//! when it gets no updates.
//!
//! The tracker holds the newest table and the time when the leader term last increased. The leader term increases with
//! every heartbeat round that a majority follows. The caller passes in updates ([`ZoneViewTracker::on_update`]),
//! computes the view at a steady pace ([`ZoneViewTracker::update`]) and applies it. Times are in milliseconds of the
//! caller's clock.
//!
//! | status | condition | what the dispatcher does |
//! | --- | --- | --- |
//! | following | the term increased within [`FOLLOWING_TIMEOUT_MS`] | follows the table |
//! | stale | the term increased within `max_stale_ms` | follows the last table |
//! | isolated | otherwise | follows the last table, but gives no work to zones that its own samples show failing, and less to foreign zones |

use super::failover_controller::FailoverSettings;
use super::outcome_counter::ZoneSample;
use super::{FULL_SHARE, ZoneState, ZoneTable};
use crate::consensus::LeaderTerm;

/// How long a dispatcher counts as following after the last increase of the leader term, in milliseconds.
const FOLLOWING_TIMEOUT_MS: f64 = 3000.0;
/// Maximum share that an isolated dispatcher gives to a foreign zone, in thousandths.
const ISOLATED_FOREIGN_SHARE: u16 = 500;
/// Maximum increase of a share in one update, in thousandths. Decreases take effect immediately.
const MAX_SHARE_RISE: u16 = 250;

/// Whether a dispatcher acts in agreement with the rest of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgreementStatus {
    /// The dispatcher follows a leader that has a majority.
    Following,
    /// The dispatcher gets no updates and continues to follow the last decided table.
    Stale,
    /// The dispatcher has had no updates for longer than `max_stale_ms`. It also acts on its own samples and limits the
    /// use of foreign zones.
    Isolated,
}

/// How a dispatcher must split and admit its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneView {
    /// The epoch of the newest decided table.
    pub epoch: u64,
    /// Whether the dispatcher acts in agreement with the rest of the fleet.
    pub status: AgreementStatus,
    /// The share of its usual work that each zone gets from this dispatcher, in thousandths.
    pub shares: Vec<u16>,
    /// The share of requests that the dispatcher admits, in thousandths.
    pub admit: u16,
}

/// A decided table and its epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecidedTable {
    /// The epoch of the decision, or 0 if nothing has been decided.
    pub epoch: u64,
    /// The decided table.
    pub table: ZoneTable,
}

/// Tracks decided tables and leader terms, and computes a dispatcher's view of the zones.
#[derive(Clone, Debug)]
pub struct ZoneViewTracker {
    own_zone: usize,
    settings: FailoverSettings,
    newest_decision: DecidedTable,
    term: LeaderTerm,
    /// The time when `term` last increased, in milliseconds.
    term_raised_ms: f64,
    view: ZoneView,
}

impl ZoneViewTracker {
    /// Creates a tracker that has received no updates: all zones are open.
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

    /// Records a decided table with its epoch, and the leader term. A table that is not newer than the known one is
    /// ignored. Returns whether the table was accepted as newer.
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

    /// Returns the newest decided table.
    pub fn newest_decision(&self) -> &DecidedTable {
        &self.newest_decision
    }

    /// Returns the newest leader term.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Returns whether the dispatcher acts in agreement with the rest of the fleet, by the age of the newest leader
    /// term.
    pub fn status(&self, now: f64) -> AgreementStatus {
        match now - self.term_raised_ms {
            age_ms if age_ms <= FOLLOWING_TIMEOUT_MS => AgreementStatus::Following,
            age_ms if age_ms <= self.settings.max_stale_ms => AgreementStatus::Stale,
            _ => AgreementStatus::Isolated,
        }
    }

    /// Computes the next view from the newest decision and the dispatcher's own samples. Must be called at a steady
    /// pace: each call can raise a share by up to a quarter of the full share.
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

    /// Returns the share that a zone's current share moves towards.
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

    /// Returns the share that this dispatcher gives a zone according to the decided table. `home_fails` says whether
    /// the dispatcher's own (home) zone is failing for it or lists no endpoints.
    fn agreed_share(&self, zone: usize, home_fails: bool) -> u16 {
        let zones = &self.newest_decision.table.zones;
        let home = zones.get(self.own_zone);
        let home_is_open = home.is_none_or(|home| home.state == ZoneState::Open);
        // If its home zone fails, the dispatcher uses other zones before the fleet has decided to close that zone.
        let stays_local = home_is_open && home.is_none_or(|home| home.local_only) && !home_fails;
        let decision = &zones[zone];
        match decision.state {
            ZoneState::Closed => 0,
            _ if zone != self.own_zone && stays_local => 0,
            _ if zone == self.own_zone || home_is_open => decision.share,
            // Load that the home zone cannot take is split over the other zones by their free capacity.
            _ => decision.share.min(decision.weight),
        }
    }
}

/// Admits a share of the requests, evenly spread: at a constant share, exactly that many of every 1000 consecutive
/// requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionShare {
    /// The credit towards the next admission, in thousandths of a request.
    credit: u32,
}

impl AdmissionShare {
    /// Returns whether the next request is admitted, at a share in thousandths.
    pub fn admits(&mut self, share: u16) -> bool {
        self.credit += u32::from(share.min(FULL_SHARE));
        let is_admitted = self.credit >= u32::from(FULL_SHARE);
        if is_admitted {
            self.credit -= u32::from(FULL_SHARE);
        }
        is_admitted
    }
}
