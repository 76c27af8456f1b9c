//! What the leader makes of the evidence: the next table, if it is to change.

use super::health_reports::{Evidence, Verdict};
use super::{State, Table, WHOLE, Zone};

/// How it is decided. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// How long a zone must be found failing before it is closed.
    pub close_after: f64,
    /// How long it stays closed the first time; twice as long each time that follows soon.
    pub closed_for: f64,
    /// How long each share of a returning zone is held.
    pub step: f64,
    /// After so long open, an earlier closing counts no more.
    pub forgive: f64,
    /// What of the free capacity is given out.
    pub margin: f64,
    /// How long a dispatcher that has no news keeps the last epoch.
    pub keep: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        let (close_after, closed_for, step) = (600.0, 5000.0, 1000.0);
        Rules { close_after, closed_for, step, forgive: 60_000.0, margin: 0.9, keep: 10_000.0 }
    }
}

/// Shares of a zone that returns, one after the other.
const RETURN: [u16; 4] = [50, 200, 500, WHOLE];
/// Share of a zone that some find failing.
const CAREFUL: u16 = 500;
/// A zone stays closed so many times as long as the first time at most.
const LONGEST: f64 = 12.0;
/// Dispatchers of a zone that is asked for more than this part of its slots may cross its border, until it is asked for
/// less than the other.
const FULL: f64 = 0.85;
const ROOMY: f64 = 0.7;
/// Weights are decided anew where one has moved by this much.
const MOVED: u16 = 150;

/// What the leader remembers between two decisions. A new leader begins with all times at its start, so that a change
/// of leaders makes nothing sooner.
#[derive(Clone, Debug)]
pub struct Decider {
    rules: Rules,
    /// Since when each zone is in its state and share.
    since: Vec<f64>,
    /// Since when each zone is found failing without a break.
    failing: Vec<Option<f64>>,
    known: Table,
    balanced: f64,
}

impl Decider {
    /// A leader that begins now.
    pub fn new(rules: Rules, now: f64, table: &Table) -> Decider {
        let zones = table.zones.len();
        Decider {
            rules,
            since: vec![now; zones],
            failing: vec![None; zones],
            known: table.clone(),
            balanced: now,
        }
    }

    /// The next table, where it is to change. `peopled` tells which zones have dispatchers in the operator's file.
    pub fn decide(
        &mut self,
        now: f64,
        table: &Table,
        evidence: &Evidence,
        peopled: &[bool],
    ) -> Option<Table> {
        if self.known.zones.len() != table.zones.len() {
            *self = Decider::new(self.rules, now, table);
        }
        for (at, (zone, known)) in table.zones.iter().zip(&self.known.zones).enumerate() {
            if (zone.state, zone.share) != (known.state, known.share) {
                self.since[at] = now;
            }
        }
        self.known = table.clone();
        let home = |at: usize| peopled.get(at).copied().unwrap_or(false);
        let verdicts: Vec<Verdict> =
            (0..table.zones.len()).map(|at| evidence.judge(now, at, home(at))).collect();
        let room = Room::of(now, evidence, table);
        let open = table.zones.iter().filter(|zone| zone.state != State::Closed).count();
        let silent = |verdict: &&Verdict| matches!(verdict, Verdict::Down { dead: false });
        // What is slow everywhere is not the zones' fault, and closing one makes the others slower.
        let common = verdicts.iter().filter(silent).count() * 2 > open;
        let mut next = table.clone();
        for (at, &verdict) in verdicts.iter().enumerate() {
            let fails = matches!(verdict, Verdict::Down { .. } | Verdict::Cut);
            let since = fails.then(|| *self.failing[at].get_or_insert(now));
            self.failing[at] = since;
            let ripe = since.is_some_and(|since| now - since >= self.rules.close_after);
            let slow = silent(&&verdict);
            let may = ripe && !(slow && common) && room.can_lose(&next, at, slow);
            next.zones[at] = self.turn(now, at, next.zones[at], verdict, may);
        }
        let states = |t: &Table| t.zones.iter().map(|z| (z.state, z.share)).collect::<Vec<_>>();
        let turned = states(&next) != states(table);
        room.balance(&mut next, self.rules.margin);
        let moved = next.zones.iter().zip(&table.zones);
        let moved = moved.into_iter().any(|(new, old)| {
            new.weight.abs_diff(old.weight) >= MOVED || new.admit.abs_diff(old.admit) >= MOVED
        });
        let nears = |t: &Table| t.zones.iter().map(|z| z.near).collect::<Vec<_>>();
        let turned = turned || nears(&next) != nears(table);
        if turned || moved && now >= self.balanced + self.rules.step {
            self.balanced = now;
            return Some(next);
        }
        None
    }

    /// The next state of a zone.
    fn turn(&self, now: f64, at: usize, zone: Zone, verdict: Verdict, may_close: bool) -> Zone {
        let held = now - self.since[at];
        let closed =
            Zone { state: State::Closed, share: 0, closings: zone.closings.saturating_add(1), ..zone };
        let open = Zone { state: State::Open, share: WHOLE, ..zone };
        match zone.state {
            State::Open | State::Careful if may_close => closed,
            State::Open if verdict == Verdict::Mixed => {
                Zone { state: State::Careful, share: CAREFUL, ..zone }
            }
            State::Open if zone.closings > 0 && held >= self.rules.forgive => Zone { closings: 0, ..open },
            State::Careful
                if held >= self.rules.step && matches!(verdict, Verdict::Good | Verdict::Unknown) =>
            {
                open
            }
            State::Closed => {
                let times = f64::from(zone.closings.saturating_sub(1).min(8)).exp2().min(LONGEST);
                let over = held >= self.rules.closed_for * times && verdict != Verdict::Cut;
                if over { Zone { state: State::Returning, share: RETURN[0], ..zone } } else { zone }
            }
            State::Returning if matches!(verdict, Verdict::Down { .. } | Verdict::Cut) => closed,
            // A share is raised on good news, or where nobody has tried it.
            State::Returning if held >= self.rules.step && verdict != Verdict::Mixed => {
                match RETURN.iter().find(|share| **share > zone.share) {
                    Some(&WHOLE) | None => open,
                    Some(&share) => Zone { share, ..zone },
                }
            }
            _ => zone,
        }
    }
}

/// What the zones can carry, as the fleet knows it.
struct Room {
    slots: Vec<f64>,
    /// What is out there for dispatchers whose own zone is open.
    settled: Vec<f64>,
    /// What dispatchers of the zone are asked for.
    offered: Vec<f64>,
}

impl Room {
    fn of(now: f64, evidence: &Evidence, table: &Table) -> Room {
        let zones = table.zones.len();
        let mut room = Room { slots: vec![0.0; zones], settled: vec![0.0; zones], offered: vec![0.0; zones] };
        for digest in evidence.fresh(now) {
            let home = usize::from(digest.zone);
            let settled = table.zones.get(home).is_some_and(|zone| zone.state == State::Open);
            for (at, seen) in digest.seen.iter().enumerate().take(zones) {
                room.slots[at] = room.slots[at].max(f64::from(seen.slots));
                room.settled[at] += if settled { f64::from(seen.out) } else { 0.0 };
            }
            if home < zones {
                room.offered[home] += digest.offered();
            }
        }
        room
    }

    /// Whether a zone can be closed: half of all slots must stay open, and where it still does some of its work, what
    /// is left must have room for more than it does.
    fn can_lose(&self, table: &Table, zone: usize, working: bool) -> bool {
        let all: f64 = self.slots.iter().sum();
        let others =
            || (0..self.slots.len()).filter(|&at| at != zone && table.zones[at].state != State::Closed);
        let left: f64 = others().map(|at| self.slots[at]).sum();
        let free: f64 = others().map(|at| (self.slots[at] - self.settled[at]).max(0.0)).sum();
        let half = if all > 0.0 { left * 2.0 >= all } else { others().count() * 2 >= self.slots.len() };
        half && (!working || free * 2.0 >= self.offered[zone])
    }

    /// Splits what zones cannot take over the others by their free capacity, and tells how much of it there is room
    /// for.
    fn balance(&self, table: &mut Table, margin: f64) {
        let free: Vec<f64> = table
            .zones
            .iter()
            .enumerate()
            .map(|(at, zone)| {
                let share = f64::from(zone.share) / f64::from(WHOLE);
                (self.slots[at] * share - self.settled[at]).max(0.0) * margin
            })
            .collect();
        let (most, all) = (free.iter().copied().fold(0.0, f64::max), free.iter().sum::<f64>());
        let need: f64 = table
            .zones
            .iter()
            .zip(&self.offered)
            .map(|(zone, offered)| offered * (1.0 - f64::from(zone.share) / f64::from(WHOLE)))
            .sum();
        // In steps of a twentieth: small moves are not worth a decision.
        let part = |part: f64| ((part.clamp(0.0, 1.0) * 20.0).round() * 50.0) as u16;
        let known = self.slots.iter().any(|slots| *slots > 0.0);
        for ((zone, free), (slots, offered)) in
            table.zones.iter_mut().zip(&free).zip(self.slots.iter().zip(&self.offered))
        {
            // With a gap between, lest it go to and fro.
            let bound = if zone.near { FULL } else { ROOMY };
            zone.near = *offered <= slots * bound;
            zone.weight = if known && most > 0.0 { part(free / most) } else { WHOLE };
            let short = known && need > 0.0 && zone.state != State::Open;
            zone.admit = if short {
                let kept = f64::from(zone.share) / f64::from(WHOLE);
                part(kept + (1.0 - kept) * (all / need).min(1.0)).max(50)
            } else {
                WHOLE
            };
        }
    }
}
