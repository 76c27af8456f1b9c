//! The leader's state machine, which closes failing zones and reopens them step by step.
//!
//! The controller tracks since when each zone has been in its state and since when it has been failing. `capacity`
//! determines how much load the zones can take, and `health_reports` the health of each zone. The caller passes in the
//! newest decided table and proposes each table that the controller returns; a zone changes state only when the decided
//! table does. Times are in milliseconds of the caller's clock.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | open, degraded | the zone may be closed (see below) | closed, `closings` + 1 |
//! | open | health is mixed | degraded, at [`DEGRADED_SHARE`] |
//! | open | `forgive_ms` passed since the zone opened | open, `closings` reset to 0 |
//! | degraded | `step_ms` passed, health is healthy or unknown | open |
//! | closed | the closed time passed and the zone is not unreachable | recovering, at the first of [`RECOVERY_SHARES`] |
//! | recovering | down or unreachable | closed, `closings` + 1 |
//! | recovering | `step_ms` passed, health is not mixed | the next share; open at the full share |
//!
//! A zone may be closed if it has been down or unreachable for `close_after_ms` without interruption and the remaining
//! zones have enough capacity (`Capacity::can_close`). A zone that may only be slow is closed only if the number of
//! slow zones is at most half the number of zones that are not closed.

use super::capacity::Capacity;
use super::health_reports::{FailureMode, HealthReports, ZoneHealth};
use super::{FULL_SHARE, ZoneDecision, ZoneState, ZoneTable};

/// Settings of zone failover. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverSettings {
    /// How long a zone must be failing without interruption before it is closed.
    pub close_after_ms: f64,
    /// How long a zone stays closed the first time. The time doubles with each further closing until `forgive_ms`
    /// resets the count.
    pub closed_for_ms: f64,
    /// How long a recovering zone stays at each share. Also the minimum time in the degraded state, and between any
    /// change and a following one that changes only weights or admission shares.
    pub step_ms: f64,
    /// How long a zone must be open before its earlier closings are no longer counted.
    pub forgive_ms: f64,
    /// The fraction of the free capacity that other zones' load may use.
    pub margin: f64,
    /// How long a dispatcher without contact to a leader follows the last decided table unmodified, before it also acts
    /// on its own samples.
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

/// The successive shares of a recovering zone, in thousandths.
const RECOVERY_SHARES: [u16; 4] = [50, 200, 500, FULL_SHARE];
/// The share of a degraded zone, in thousandths.
const DEGRADED_SHARE: u16 = 500;
/// Maximum factor by which the closed time grows over its first value: a minute by default.
const MAX_BACKOFF_FACTOR: f64 = 12.0;
/// Maximum number of doublings of the closed time. 2^8 exceeds [`MAX_BACKOFF_FACTOR`], and the limit keeps the exponent
/// small.
const MAX_BACKOFF_DOUBLINGS: u8 = 8;
/// Minimum change of a weight or an admission share that is worth a new decision, in thousandths.
const MIN_WEIGHT_CHANGE: u16 = 150;

/// The leader's state between two decisions. A new leader counts all durations from its own start, so a change of
/// leader never makes a transition happen earlier.
#[derive(Clone, Debug)]
pub struct FailoverController {
    settings: FailoverSettings,
    /// The time since when each zone has had its current state and share, in milliseconds.
    unchanged_since_ms: Vec<f64>,
    /// The time since when each zone has been down or unreachable without interruption, in milliseconds.
    failing_since_ms: Vec<Option<f64>>,
    /// The decided table at the last call.
    last_table: ZoneTable,
    /// The time when a table was last returned, in milliseconds.
    last_change_ms: f64,
}

impl FailoverController {
    /// Creates the controller of a leader that starts now.
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

    /// Returns the next table to propose, or `None` if nothing needs to change. `zones_half_down` says for each zone
    /// whether the membership reports at least half of its members as down; a missing entry counts as false.
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

    /// Records which zones have changed in the decided table since the last call.
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

    /// Advances each zone to its next state. Zones are processed in order: a zone that is closed here counts as closed
    /// when the capacity for the zones after it is determined.
    fn advance_states(&mut self, now: f64, next: &mut ZoneTable, health: &[ZoneHealth], capacity: &Capacity) {
        let not_closed = next.zones.iter().filter(|zone| zone.state != ZoneState::Closed).count();
        let slow = health.iter().filter(|health| is_slow(**health)).count();
        // If most zones are slow, the cause is not in a single zone, and closing one would make the others slower.
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

    /// Returns the next decision for one zone; see the table of transitions in the module documentation.
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
            // Raise the share even if no dispatcher has tried the zone yet.
            ZoneState::Recovering if step_is_over && health != ZoneHealth::Mixed => {
                match RECOVERY_SHARES.iter().find(|share| **share > zone.share) {
                    Some(&FULL_SHARE) | None => open,
                    Some(&share) => ZoneDecision { share, ..zone },
                }
            }
            ZoneState::Open | ZoneState::Degraded | ZoneState::Closed | ZoneState::Recovering => zone,
        }
    }

    /// Returns how long a zone stays closed, in milliseconds: twice as long with each closing, up to a maximum.
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

/// Returns whether the state, share or `local_only` of a zone differs. Such a change is proposed immediately.
fn changes_routes(table: &ZoneTable, next: &ZoneTable) -> bool {
    let routes = |zone: &ZoneDecision| (zone.state, zone.share, zone.local_only);
    let mut pairs = table.zones.iter().zip(&next.zones);
    pairs.any(|(old, new)| routes(old) != routes(new))
}

/// Returns whether the weight or admission share of a zone differs by at least [`MIN_WEIGHT_CHANGE`].
fn changes_weights(table: &ZoneTable, next: &ZoneTable) -> bool {
    let mut pairs = table.zones.iter().zip(&next.zones);
    pairs.any(|(old, new)| {
        new.weight.abs_diff(old.weight) >= MIN_WEIGHT_CHANGE
            || new.admit.abs_diff(old.admit) >= MIN_WEIGHT_CHANGE
    })
}
