//! What the leader makes of the evidence: the next table, if it is to change.

use super::health_reports::{HealthReports, ZoneHealth};
use super::{FULL_SHARE, ZoneDecision, ZoneState, ZoneTable};

/// How it is decided. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverSettings {
    /// How long a zone must be found failing before it is closed.
    pub close_after_ms: f64,
    /// How long it stays closed the first time; twice as long each time that follows soon.
    pub closed_for_ms: f64,
    /// How long each share of a returning zone is held.
    pub step_ms: f64,
    /// After so long open, an earlier closing counts no more.
    pub forgive_ms: f64,
    /// What of the free capacity is given out.
    pub margin: f64,
    /// How long a dispatcher that has no news keeps the last epoch.
    pub keep_ms: f64,
}

impl Default for FailoverSettings {
    fn default() -> FailoverSettings {
        let (close_after, closed_for, step) = (600.0, 5000.0, 1000.0);
        FailoverSettings {
            close_after_ms: close_after,
            closed_for_ms: closed_for,
            step_ms: step,
            forgive_ms: 60_000.0,
            margin: 0.9,
            keep_ms: 10_000.0,
        }
    }
}

/// Shares of a zone that returns, one after the other.
const RETURN: [u16; 4] = [50, 200, 500, FULL_SHARE];
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
pub struct FailoverController {
    rules: FailoverSettings,
    /// Since when each zone is in its state and share.
    since: Vec<f64>,
    /// Since when each zone is found failing without a break.
    failing: Vec<Option<f64>>,
    known: ZoneTable,
    balanced: f64,
}

impl FailoverController {
    /// A leader that begins now.
    pub fn new(rules: FailoverSettings, now: f64, table: &ZoneTable) -> FailoverController {
        let zones = table.zones.len();
        FailoverController {
            rules,
            since: vec![now; zones],
            failing: vec![None; zones],
            known: table.clone(),
            balanced: now,
        }
    }

    /// The next table, where it is to change. `peopled` tells which zones have dispatchers in the operator's file.
    pub fn next_table(
        &mut self,
        now: f64,
        table: &ZoneTable,
        evidence: &HealthReports,
        peopled: &[bool],
    ) -> Option<ZoneTable> {
        if self.known.zones.len() != table.zones.len() {
            *self = FailoverController::new(self.rules, now, table);
        }
        for (at, (zone, known)) in table.zones.iter().zip(&self.known.zones).enumerate() {
            if (zone.state, zone.share) != (known.state, known.share) {
                self.since[at] = now;
            }
        }
        self.known = table.clone();
        let home = |at: usize| peopled.get(at).copied().unwrap_or(false);
        let verdicts: Vec<ZoneHealth> =
            (0..table.zones.len()).map(|at| evidence.health(now, at, home(at))).collect();
        let room = Capacity::of(now, evidence, table);
        let open = table.zones.iter().filter(|zone| zone.state != ZoneState::Closed).count();
        let silent = |verdict: &&ZoneHealth| matches!(verdict, ZoneHealth::Down { dead: false });
        // What is slow everywhere is not the zones' fault, and closing one makes the others slower.
        let common = verdicts.iter().filter(silent).count() * 2 > open;
        let mut next = table.clone();
        for (at, &verdict) in verdicts.iter().enumerate() {
            let fails = matches!(verdict, ZoneHealth::Down { .. } | ZoneHealth::Cut);
            let since = fails.then(|| *self.failing[at].get_or_insert(now));
            self.failing[at] = since;
            let ripe = since.is_some_and(|since| now - since >= self.rules.close_after_ms);
            let slow = silent(&&verdict);
            let may = ripe && !(slow && common) && room.can_fail_over(&next, at, slow);
            next.zones[at] = self.turn(now, at, next.zones[at], verdict, may);
        }
        let states = |t: &ZoneTable| t.zones.iter().map(|z| (z.state, z.share)).collect::<Vec<_>>();
        let turned = states(&next) != states(table);
        room.spread_load(&mut next, self.rules.margin);
        let moved = next.zones.iter().zip(&table.zones);
        let moved = moved.into_iter().any(|(new, old)| {
            new.weight.abs_diff(old.weight) >= MOVED || new.admit.abs_diff(old.admit) >= MOVED
        });
        let nears = |t: &ZoneTable| t.zones.iter().map(|z| z.local_only).collect::<Vec<_>>();
        let turned = turned || nears(&next) != nears(table);
        if turned || moved && now >= self.balanced + self.rules.step_ms {
            self.balanced = now;
            return Some(next);
        }
        None
    }

    /// The next state of a zone.
    fn turn(
        &self,
        now: f64,
        at: usize,
        zone: ZoneDecision,
        verdict: ZoneHealth,
        may_close: bool,
    ) -> ZoneDecision {
        let held = now - self.since[at];
        let closed = ZoneDecision {
            state: ZoneState::Closed,
            share: 0,
            closings: zone.closings.saturating_add(1),
            ..zone
        };
        let open = ZoneDecision { state: ZoneState::Open, share: FULL_SHARE, ..zone };
        match zone.state {
            ZoneState::Open | ZoneState::Degraded if may_close => closed,
            ZoneState::Open if verdict == ZoneHealth::Mixed => {
                ZoneDecision { state: ZoneState::Degraded, share: CAREFUL, ..zone }
            }
            ZoneState::Open if zone.closings > 0 && held >= self.rules.forgive_ms => {
                ZoneDecision { closings: 0, ..open }
            }
            ZoneState::Degraded
                if held >= self.rules.step_ms
                    && matches!(verdict, ZoneHealth::Good | ZoneHealth::Unknown) =>
            {
                open
            }
            ZoneState::Closed => {
                let times = f64::from(zone.closings.saturating_sub(1).min(8)).exp2().min(LONGEST);
                let over = held >= self.rules.closed_for_ms * times && verdict != ZoneHealth::Cut;
                if over {
                    ZoneDecision { state: ZoneState::Recovering, share: RETURN[0], ..zone }
                } else {
                    zone
                }
            }
            ZoneState::Recovering if matches!(verdict, ZoneHealth::Down { .. } | ZoneHealth::Cut) => closed,
            // A share is raised on good news, or where nobody has tried it.
            ZoneState::Recovering if held >= self.rules.step_ms && verdict != ZoneHealth::Mixed => {
                match RETURN.iter().find(|share| **share > zone.share) {
                    Some(&FULL_SHARE) | None => open,
                    Some(&share) => ZoneDecision { share, ..zone },
                }
            }
            _ => zone,
        }
    }
}

/// What the zones can carry, as the fleet knows it.
struct Capacity {
    slots: Vec<f64>,
    /// What is out there for dispatchers whose own zone is open.
    settled: Vec<f64>,
    /// What dispatchers of the zone are asked for.
    offered: Vec<f64>,
}

impl Capacity {
    fn of(now: f64, evidence: &HealthReports, table: &ZoneTable) -> Capacity {
        let zones = table.zones.len();
        let mut room =
            Capacity { slots: vec![0.0; zones], settled: vec![0.0; zones], offered: vec![0.0; zones] };
        for digest in evidence.fresh(now) {
            let home = usize::from(digest.zone);
            let settled = table.zones.get(home).is_some_and(|zone| zone.state == ZoneState::Open);
            for (at, seen) in digest.samples.iter().enumerate().take(zones) {
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
    fn can_fail_over(&self, table: &ZoneTable, zone: usize, working: bool) -> bool {
        let all: f64 = self.slots.iter().sum();
        let others =
            || (0..self.slots.len()).filter(|&at| at != zone && table.zones[at].state != ZoneState::Closed);
        let left: f64 = others().map(|at| self.slots[at]).sum();
        let free: f64 = others().map(|at| (self.slots[at] - self.settled[at]).max(0.0)).sum();
        let half = if all > 0.0 { left * 2.0 >= all } else { others().count() * 2 >= self.slots.len() };
        half && (!working || free * 2.0 >= self.offered[zone])
    }

    /// Splits what zones cannot take over the others by their free capacity, and tells how much of it there is room
    /// for.
    fn spread_load(&self, table: &mut ZoneTable, margin: f64) {
        let free: Vec<f64> = table
            .zones
            .iter()
            .enumerate()
            .map(|(at, zone)| {
                let share = f64::from(zone.share) / f64::from(FULL_SHARE);
                (self.slots[at] * share - self.settled[at]).max(0.0) * margin
            })
            .collect();
        let (most, all) = (free.iter().copied().fold(0.0, f64::max), free.iter().sum::<f64>());
        let need: f64 = table
            .zones
            .iter()
            .zip(&self.offered)
            .map(|(zone, offered)| offered * (1.0 - f64::from(zone.share) / f64::from(FULL_SHARE)))
            .sum();
        // In steps of a twentieth: small moves are not worth a decision.
        let part = |part: f64| ((part.clamp(0.0, 1.0) * 20.0).round() * 50.0) as u16;
        let known = self.slots.iter().any(|slots| *slots > 0.0);
        for ((zone, free), (slots, offered)) in
            table.zones.iter_mut().zip(&free).zip(self.slots.iter().zip(&self.offered))
        {
            // With a gap between, lest it go to and fro.
            let bound = if zone.local_only { FULL } else { ROOMY };
            zone.local_only = *offered <= slots * bound;
            zone.weight = if known && most > 0.0 { part(free / most) } else { FULL_SHARE };
            let short = known && need > 0.0 && zone.state != ZoneState::Open;
            zone.admit = if short {
                let kept = f64::from(zone.share) / f64::from(FULL_SHARE);
                part(kept + (1.0 - kept) * (all / need).min(1.0)).max(50)
            } else {
                FULL_SHARE
            };
        }
    }
}
