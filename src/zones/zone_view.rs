//! What a dispatcher does with the newest epoch that it has seen, and without news.

use super::failover_controller::Rules;
use super::health_reports::Seen;
use super::{State, Table, WHOLE};
use crate::consensus::LeaderTerm;

/// News are taken for current for so long, in milliseconds.
const CURRENT: f64 = 3000.0;
/// What of its use a foreign zone keeps with a dispatcher that is alone.
const ALONE: u16 = 500;
/// Shares rise by so much in a view at most; they fall at once.
const RISE: u16 = 250;

/// How a dispatcher stands to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It follows a leader that has a majority.
    Common,
    /// It has no news, and keeps the last epoch.
    Kept,
    /// It has had none for long, and decides by its own evidence, more carefully.
    Alone,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The newest epoch.
    pub epoch: u64,
    /// How the dispatcher stands.
    pub standing: Standing,
    /// What each zone may get of its usual work.
    pub shares: Vec<u16>,
    /// What of its requests the dispatcher takes.
    pub admit: u16,
}

/// A dispatcher among the others.
#[derive(Clone, Debug)]
pub struct Follower {
    own: usize,
    rules: Rules,
    epoch: u64,
    table: Table,
    term: LeaderTerm,
    /// When the term last rose.
    heard: f64,
    view: View,
}

impl Follower {
    /// One that has heard nothing yet: all zones are open to it.
    pub fn new(own: usize, zones: usize, rules: Rules, now: f64) -> Follower {
        let shares = vec![WHOLE; zones];
        let view = View { epoch: 0, standing: Standing::Kept, shares, admit: WHOLE };
        let table = Table::open(zones);
        Follower { own, rules, epoch: 0, table, term: LeaderTerm::default(), heard: now, view }
    }

    /// News of a voter: the newest epoch that it knows, and how far that is confirmed. An older epoch changes nothing.
    /// True where the epoch is new.
    pub fn news(&mut self, now: f64, epoch: u64, table: Option<Table>, term: LeaderTerm) -> bool {
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
    pub fn newest(&self) -> (u64, &Table) {
        (self.epoch, &self.table)
    }

    /// The newest term.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// How it stands.
    pub fn standing(&self, now: f64) -> Standing {
        match now - self.heard {
            silent if silent <= CURRENT => Standing::Common,
            silent if silent <= self.rules.keep => Standing::Kept,
            _ => Standing::Alone,
        }
    }

    /// What is to be done by now, with what it has seen itself. Called at a steady pace.
    pub fn view(&mut self, now: f64, seen: &[Seen]) -> &View {
        let standing = self.standing(now);
        let admit = self.table.zones.get(self.own).map_or(WHOLE, |zone| zone.admit);
        let listed = seen.iter().any(|seen| seen.slots > 0);
        let fails_at_home = seen.get(self.own).is_some_and(|seen| seen.fails() || listed && seen.slots == 0);
        for at in 0..self.table.zones.len() {
            let target = self.target(at, standing, seen.get(at), fails_at_home);
            let share = &mut self.view.shares[at];
            *share = target.min(share.saturating_add(RISE));
        }
        (self.view.epoch, self.view.standing) = (self.epoch, standing);
        self.view.admit = if standing == Standing::Alone { WHOLE } else { admit };
        &self.view
    }

    /// What a zone may get from this dispatcher in the end.
    fn target(&self, at: usize, standing: Standing, seen: Option<&Seen>, fails_at_home: bool) -> u16 {
        let zone = &self.table.zones[at];
        let own = self.table.zones.get(self.own);
        let own_open = own.is_none_or(|own| own.state == State::Open);
        // Near while that is safe: what fails it at home goes over the border before the fleet has decided.
        let near = own_open && own.is_none_or(|own| own.near) && !fails_at_home;
        let common = match zone.state {
            State::Closed => 0,
            _ if at != self.own && near => 0,
            _ if at == self.own || own_open => zone.share,
            // What its own zone cannot take is split over the others by their free capacity.
            _ => zone.share.min(zone.weight),
        };
        if standing != Standing::Alone {
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
pub struct Gate {
    owed: u32,
}

impl Gate {
    /// Whether the next request is taken.
    pub fn takes(&mut self, share: u16) -> bool {
        self.owed += u32::from(share.min(WHOLE));
        let takes = self.owed >= u32::from(WHOLE);
        if takes {
            self.owed -= u32::from(WHOLE);
        }
        takes
    }
}
