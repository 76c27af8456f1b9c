//! What a dispatcher does with the newest epoch that it has seen, and without news.

use super::failover_controller::FailoverSettings;
use super::health_reports::ZoneSample;
use super::{FULL_SHARE, ZoneState, ZoneTable};
use crate::consensus::LeaderTerm;

/// News are taken for current for so long, in milliseconds.
const CURRENT: f64 = 3000.0;
/// What of its use a foreign zone keeps with a dispatcher that is alone.
const ALONE: u16 = 500;
/// Shares rise by so much in a view at most; they fall at once.
const RISE: u16 = 250;

/// How a dispatcher stands to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgreementStatus {
    /// It follows a leader that has a majority.
    Common,
    /// It has no news, and keeps the last epoch.
    Kept,
    /// It has had none for long, and decides by its own evidence, more carefully.
    Alone,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneView {
    /// The newest epoch.
    pub epoch: u64,
    /// How the dispatcher stands.
    pub status: AgreementStatus,
    /// What each zone may get of its usual work.
    pub shares: Vec<u16>,
    /// What of its requests the dispatcher takes.
    pub admit: u16,
}

/// A dispatcher among the others.
#[derive(Clone, Debug)]
pub struct ZoneViewTracker {
    own: usize,
    rules: FailoverSettings,
    epoch: u64,
    table: ZoneTable,
    term: LeaderTerm,
    /// When the term last rose.
    heard: f64,
    view: ZoneView,
}

impl ZoneViewTracker {
    /// One that has heard nothing yet: all zones are open to it.
    pub fn new(own: usize, zones: usize, rules: FailoverSettings, now: f64) -> ZoneViewTracker {
        let shares = vec![FULL_SHARE; zones];
        let view = ZoneView { epoch: 0, status: AgreementStatus::Kept, shares, admit: FULL_SHARE };
        let table = ZoneTable::open(zones);
        ZoneViewTracker { own, rules, epoch: 0, table, term: LeaderTerm::default(), heard: now, view }
    }

    /// News of a voter: the newest epoch that it knows, and how far that is confirmed. An older epoch changes nothing.
    /// True where the epoch is new.
    pub fn on_update(&mut self, now: f64, epoch: u64, table: Option<ZoneTable>, term: LeaderTerm) -> bool {
        if term > self.term {
            (self.term, self.heard) = (term, now);
        }
        match table {
            Some(table) if epoch > self.epoch && table.zones.len() == self.table.zones.len() => {
                (self.epoch, self.table) = (epoch, table);
                true
            }
            _ => false,
        }
    }

    /// The newest epoch and its table.
    pub fn newest(&self) -> (u64, &ZoneTable) {
        (self.epoch, &self.table)
    }

    /// The newest term.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// How it stands.
    pub fn status(&self, now: f64) -> AgreementStatus {
        match now - self.heard {
            silent if silent <= CURRENT => AgreementStatus::Common,
            silent if silent <= self.rules.keep_ms => AgreementStatus::Kept,
            _ => AgreementStatus::Alone,
        }
    }

    /// What is to be done by now, with what it has seen itself. Called at a steady pace.
    pub fn update(&mut self, now: f64, seen: &[ZoneSample]) -> &ZoneView {
        let standing = self.status(now);
        let admit = self.table.zones.get(self.own).map_or(FULL_SHARE, |zone| zone.admit);
        let listed = seen.iter().any(|seen| seen.slots > 0);
        let fails_at_home = seen.get(self.own).is_some_and(|seen| seen.fails() || listed && seen.slots == 0);
        for at in 0..self.table.zones.len() {
            let target = self.target(at, standing, seen.get(at), fails_at_home);
            let share = &mut self.view.shares[at];
            *share = target.min(share.saturating_add(RISE));
        }
        (self.view.epoch, self.view.status) = (self.epoch, standing);
        self.view.admit = if standing == AgreementStatus::Alone { FULL_SHARE } else { admit };
        &self.view
    }

    /// What a zone may get from this dispatcher in the end.
    fn target(
        &self,
        at: usize,
        standing: AgreementStatus,
        seen: Option<&ZoneSample>,
        fails_at_home: bool,
    ) -> u16 {
        let zone = &self.table.zones[at];
        let own = self.table.zones.get(self.own);
        let own_open = own.is_none_or(|own| own.state == ZoneState::Open);
        // Near while that is safe: what fails it at home goes over the border before the fleet has decided.
        let near = own_open && own.is_none_or(|own| own.local_only) && !fails_at_home;
        let common = match zone.state {
            ZoneState::Closed => 0,
            _ if at != self.own && near => 0,
            _ if at == self.own || own_open => zone.share,
            // What its own zone cannot take is split over the others by their free capacity.
            _ => zone.share.min(zone.weight),
        };
        if standing != AgreementStatus::Alone {
            return common;
        }
        match seen {
            Some(seen) if seen.fails() => 0,
            _ if at == self.own => common,
            _ => common.min(ALONE),
        }
    }
}

/// Takes a share of the requests, evenly: of a thousand in a row exactly the share.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionShare {
    owed: u32,
}

impl AdmissionShare {
    /// Whether the next request is taken.
    pub fn admits(&mut self, share: u16) -> bool {
        self.owed += u32::from(share.min(FULL_SHARE));
        let takes = self.owed >= u32::from(FULL_SHARE);
        if takes {
            self.owed -= u32::from(FULL_SHARE);
        }
        takes
    }
}
