//! The leader's state machine: it closes zones that fail and opens them step by step.
//!
//! It owns the times since which each zone is in its state and since which it fails; what zones can carry is
//! `capacity`'s, the health of a zone `health_reports`'. The caller proposes each table that it returns and hands in the
//! newest decided table each time; nothing changes here until that has changed. Times are milliseconds of the caller's
//! clock.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | open, degraded | may be closed (below) | closed, one more closing |
//! | open | health is mixed | degraded, at [`DEGRADED_SHARE`] |
//! | open | `forgive_ms` since it opened | open, its closings forgotten |
//! | degraded | `step_ms` passed, health is healthy or unknown | open |
//! | closed | its time passed, and the zone is not unreachable | recovering, at the first of [`RECOVERY_SHARES`] |
//! | recovering | down or unreachable | closed, one more closing |
//! | recovering | `step_ms` passed, health is not mixed | the next share; at the full share open |
//!
//! A zone may be closed when it has been down or unreachable for `close_after_ms` without a break, the others can carry
//! on (`Capacity::can_close`), and, where it may only be slow, at most half of the zones that are not closed are
//! slow.

use super::capacity::Capacity;
use super::health_reports::{FailureMode, HealthReports, ZoneHealth};
use super::{FULL_SHARE, ZoneDecision, ZoneState, ZoneTable};

/// How zones are failed over. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverSettings {
    /// How long a zone must be found failing before it is closed.
    pub close_after_ms: f64,
    /// How long it stays closed the first time; twice as long each time that follows soon.
    pub closed_for_ms: f64,
    /// How long each share of a recovering zone lasts.
    pub step_ms: f64,
    /// After so long open, earlier closings count no more.
    pub forgive_ms: f64,
    /// The part of the free capacity that is given out.
    pub margin: f64,
    /// How long a dispatcher without news follows the last epoch.
    pub max_stale_ms: f64,
}

impl Default for FailoverSettings {
    fn default() -> FailoverSettings {
        FailoverSettings {
            close_after_ms: 600.0,
            closed_for_ms: 5000.0,
            step_ms: 1000.0,
            forgive_ms: 60_000.0,
            margin: 0.9,
            max_stale_ms: 10_000.0,
        }
    }
}

/// Shares of a recovering zone, one after the other.
const RECOVERY_SHARES: [u16; 4] = [50, 200, 500, FULL_SHARE];
/// Share of a degraded zone.
const DEGRADED_SHARE: u16 = 500;
/// A zone stays closed at most this many times as long as the first time: a minute by default.
const MAX_BACKOFF_FACTOR: f64 = 12.0;
/// Most times that the time closed is doubled: 2^8 is past [`MAX_BACKOFF_FACTOR`], and the power stays small.
const MAX_BACKOFF_DOUBLINGS: u8 = 8;
/// Weights and admission shares are decided anew where one has changed by this many thousandths.
const MIN_WEIGHT_CHANGE: u16 = 150;

/// What the leader remembers between two decisions. A new leader starts with all times at its own start, so that a
/// change of leaders makes nothing sooner.
#[derive(Clone, Debug)]
pub struct FailoverController {
    settings: FailoverSettings,
    /// Since when each zone is in its state and share, in milliseconds.
    unchanged_since_ms: Vec<f64>,
    /// Since when each zone is down or unreachable without a break, in milliseconds.
    failing_since_ms: Vec<Option<f64>>,
    /// The table at the last call.
    last_table: ZoneTable,
    /// When a table was last returned, in milliseconds.
    last_change_ms: f64,
}

impl FailoverController {
    /// The controller of a leader that starts now.
    pub fn new(settings: FailoverSettings, now: f64, table: &ZoneTable) -> FailoverController {
        let zones = table.zones.len();
        FailoverController {
            settings,
            unchanged_since_ms: vec![now; zones],
            failing_since_ms: vec![None; zones],
            last_table: table.clone(),
            last_change_ms: now,
        }
    }

    /// The next table, where it is to change. `zones_half_down` has the zones with members of which the membership has
    /// at least half down; a zone without an entry counts as up.
    pub fn next_table(
        &mut self,
        now: f64,
        table: &ZoneTable,
        reports: &HealthReports,
        zones_half_down: &[bool],
    ) -> Option<ZoneTable> {
        self.observe_table(now, table);
        let half_down = |zone: usize| zones_half_down.get(zone).copied().unwrap_or(false);
        let health: Vec<ZoneHealth> =
            (0..table.zones.len()).map(|zone| reports.health(now, zone, half_down(zone))).collect();
        let capacity = Capacity::from_reports(now, reports, table);
        let mut next = table.clone();
        self.advance_states(now, &mut next, &health, &capacity);
        capacity.spread_load(&mut next, self.settings.margin);
        let is_due = now >= self.last_change_ms + self.settings.step_ms;
        if changes_routes(table, &next) || changes_weights(table, &next) && is_due {
            self.last_change_ms = now;
            return Some(next);
        }
        None
    }

    /// Notes which zones have changed in the decided table since the last call.
    fn observe_table(&mut self, now: f64, table: &ZoneTable) {
        if self.last_table.zones.len() != table.zones.len() {
            *self = FailoverController::new(self.settings, now, table);
        }
        for (index, (zone, last)) in table.zones.iter().zip(&self.last_table.zones).enumerate() {
            if (zone.state, zone.share) != (last.state, last.share) {
                self.unchanged_since_ms[index] = now;
            }
        }
        self.last_table = table.clone();
    }

    /// Brings each zone to its next state. Zones are taken in order: one that is closed here counts as closed for the
    /// capacity of those after it.
    fn advance_states(&mut self, now: f64, next: &mut ZoneTable, health: &[ZoneHealth], capacity: &Capacity) {
        let not_closed = next.zones.iter().filter(|zone| zone.state != ZoneState::Closed).count();
        let slow = health.iter().filter(|health| is_slow(**health)).count();
        // What is slow everywhere is not the zones' fault, and closing one makes the others slower.
        let most_are_slow = slow * 2 > not_closed;
        for (zone, &health) in health.iter().enumerate() {
            let failing_since = is_failing(health).then(|| *self.failing_since_ms[zone].get_or_insert(now));
            self.failing_since_ms[zone] = failing_since;
            let fails_long_enough =
                failing_since.is_some_and(|since| now - since >= self.settings.close_after_ms);
            let may_close = fails_long_enough
                && !(is_slow(health) && most_are_slow)
                && capacity.can_close(next, zone, is_slow(health));
            next.zones[zone] = self.next_decision(now, zone, next.zones[zone], health, may_close);
        }
    }

    /// The transitions of one zone, as the head of this file lists them.
    fn next_decision(
        &self,
        now: f64,
        index: usize,
        zone: ZoneDecision,
        health: ZoneHealth,
        may_close: bool,
    ) -> ZoneDecision {
        let unchanged_ms = now - self.unchanged_since_ms[index];
        let step_is_over = unchanged_ms >= self.settings.step_ms;
        let open = ZoneDecision { state: ZoneState::Open, share: FULL_SHARE, ..zone };
        match zone.state {
            ZoneState::Open | ZoneState::Degraded if may_close => close_zone(zone),
            ZoneState::Open if health == ZoneHealth::Mixed => {
                ZoneDecision { state: ZoneState::Degraded, share: DEGRADED_SHARE, ..zone }
            }
            ZoneState::Open if zone.closings > 0 && unchanged_ms >= self.settings.forgive_ms => {
                ZoneDecision { closings: 0, ..open }
            }
            ZoneState::Degraded
                if step_is_over && matches!(health, ZoneHealth::Healthy | ZoneHealth::Unknown) =>
            {
                open
            }
            ZoneState::Closed
                if unchanged_ms >= self.closed_for_ms(zone) && health != ZoneHealth::Unreachable =>
            {
                ZoneDecision { state: ZoneState::Recovering, share: RECOVERY_SHARES[0], ..zone }
            }
            ZoneState::Recovering if is_failing(health) => close_zone(zone),
            // A share is also raised where nobody has tried the zone.
            ZoneState::Recovering if step_is_over && health != ZoneHealth::Mixed => {
                match RECOVERY_SHARES.iter().find(|share| **share > zone.share) {
                    Some(&FULL_SHARE) | None => open,
                    Some(&share) => ZoneDecision { share, ..zone },
                }
            }
            ZoneState::Open | ZoneState::Degraded | ZoneState::Closed | ZoneState::Recovering => zone,
        }
    }

    /// How long a zone stays closed, in milliseconds: twice as long each time.
    fn closed_for_ms(&self, zone: ZoneDecision) -> f64 {
        let doublings = zone.closings.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let factor = f64::from(doublings).exp2().min(MAX_BACKOFF_FACTOR);
        self.settings.closed_for_ms * factor
    }
}

fn close_zone(zone: ZoneDecision) -> ZoneDecision {
    let closings = zone.closings.saturating_add(1);
    ZoneDecision { state: ZoneState::Closed, share: 0, closings, ..zone }
}

fn is_failing(health: ZoneHealth) -> bool {
    matches!(health, ZoneHealth::Down(_) | ZoneHealth::Unreachable)
}

fn is_slow(health: ZoneHealth) -> bool {
    health == ZoneHealth::Down(FailureMode::Slow)
}

/// Whether a state, a share or `local_only` of a zone differs: such a change is decided at once.
fn changes_routes(table: &ZoneTable, next: &ZoneTable) -> bool {
    let routes = |zone: &ZoneDecision| (zone.state, zone.share, zone.local_only);
    let mut pairs = table.zones.iter().zip(&next.zones);
    pairs.any(|(old, new)| routes(old) != routes(new))
}

/// Whether a weight or an admission share of a zone differs by enough.
fn changes_weights(table: &ZoneTable, next: &ZoneTable) -> bool {
    let mut pairs = table.zones.iter().zip(&next.zones);
    pairs.any(|(old, new)| {
        new.weight.abs_diff(old.weight) >= MIN_WEIGHT_CHANGE
            || new.admit.abs_diff(old.admit) >= MIN_WEIGHT_CHANGE
    })
}
