//! The load and capacity of the zones according to the fresh digests: whether a zone can be closed, and how the load
//! that other zones cannot take is spread. The controller builds a new `Capacity` for each decision.

use super::health_reports::HealthReports;
use super::{FULL_SHARE, ZoneDecision, ZoneState, ZoneTable};

/// The dispatchers of a zone may use other zones when the load offered to them exceeds this fraction of the zone's
/// slots.
const CROSS_ABOVE_UTILIZATION: f64 = 0.85;
/// The dispatchers of a zone stay in it again when the offered load is at most this fraction of its slots. The gap to
/// [`CROSS_ABOVE_UTILIZATION`] prevents flapping between the two.
const LOCAL_BELOW_UTILIZATION: f64 = 0.7;
/// The number of equal steps that weights and admission shares are rounded to. Smaller changes are not worth a
/// decision.
const SHARE_STEPS: f64 = 20.0;
/// The size of one such step, in thousandths.
const SHARE_STEP: f64 = 50.0;
/// Minimum admission share of a zone, in thousandths, so that some requests are always tried.
const MIN_ADMIT: u16 = 50;

/// The slots and load of each zone.
pub(super) struct Capacity {
    slots: Vec<f64>,
    /// Attempts in flight to each zone from dispatchers whose own zone is open.
    base_load: Vec<f64>,
    /// Requests that would be open at the dispatchers of each zone if none were rejected.
    offered_load: Vec<f64>,
}

impl Capacity {
    pub(super) fn from_reports(now: f64, reports: &HealthReports, table: &ZoneTable) -> Capacity {
        let zones = table.zones.len();
        let mut capacity =
            Capacity { slots: vec![0.0; zones], base_load: vec![0.0; zones], offered_load: vec![0.0; zones] };
        for digest in reports.fresh(now) {
            let home = usize::from(digest.zone);
            let home_is_open = table.zones.get(home).is_some_and(|zone| zone.state == ZoneState::Open);
            for (zone, sample) in digest.samples.iter().enumerate().take(zones) {
                capacity.slots[zone] = capacity.slots[zone].max(f64::from(sample.slots));
                capacity.base_load[zone] += if home_is_open { f64::from(sample.in_flight) } else { 0.0 };
            }
            if home < zones {
                capacity.offered_load[home] += digest.offered();
            }
        }
        capacity
    }

    /// Returns whether a zone can be closed. At least half of all slots must stay open; if no slots are known, at least
    /// half of the zones. If the zone still does part of its work (`is_working`), the free slots of the zones that are
    /// not closed must also cover at least half of its offered load.
    pub(super) fn can_close(&self, table: &ZoneTable, zone: usize, is_working: bool) -> bool {
        let stays_open = |other: &usize| *other != zone && table.zones[*other].state != ZoneState::Closed;
        let others = || (0..self.slots.len()).filter(stays_open);
        let all_slots: f64 = self.slots.iter().sum();
        let other_slots: f64 = others().map(|other| self.slots[other]).sum();
        let free_slots: f64 =
            others().map(|other| (self.slots[other] - self.base_load[other]).max(0.0)).sum();
        let half_stays_open = if all_slots > 0.0 {
            other_slots * 2.0 >= all_slots
        } else {
            others().count() * 2 >= self.slots.len()
        };
        half_stays_open && (!is_working || free_slots * 2.0 >= self.offered_load[zone])
    }

    /// Sets the weight, admission share and `local_only` of each zone. Load that a zone cannot take is split over the
    /// others in proportion to their free capacity. Only the fraction `margin` of the free capacity is used.
    pub(super) fn spread_load(&self, table: &mut ZoneTable, margin: f64) {
        let free = self.free_slots(table, margin);
        let most_free = free.iter().copied().fold(0.0, f64::max);
        let all_free: f64 = free.iter().sum();
        let displaced = self.displaced_load(table);
        let is_known = self.slots.iter().any(|slots| *slots > 0.0);
        for (index, zone) in table.zones.iter_mut().enumerate() {
            zone.local_only = self.is_local_only(index, zone);
            zone.weight =
                if is_known && most_free > 0.0 { rounded_share(free[index] / most_free) } else { FULL_SHARE };
            let is_short = is_known && displaced > 0.0 && zone.state != ZoneState::Open;
            zone.admit = if is_short {
                let local = share_fraction(zone);
                rounded_share(local + (1.0 - local) * (all_free / displaced).min(1.0)).max(MIN_ADMIT)
            } else {
                FULL_SHARE
            };
        }
    }

    /// Returns the slots of each zone that dispatchers of other zones can use.
    fn free_slots(&self, table: &ZoneTable, margin: f64) -> Vec<f64> {
        let zones = table.zones.iter().enumerate();
        zones
            .map(|(index, zone)| {
                (self.slots[index] * share_fraction(zone) - self.base_load[index]).max(0.0) * margin
            })
            .collect()
    }

    /// Returns the total load that zones cannot take because their share is not full.
    fn displaced_load(&self, table: &ZoneTable) -> f64 {
        let zones = table.zones.iter().zip(&self.offered_load);
        zones.map(|(zone, offered)| offered * (1.0 - share_fraction(zone))).sum()
    }

    /// Returns whether a zone has capacity for the whole load offered to its dispatchers, with hysteresis.
    fn is_local_only(&self, index: usize, zone: &ZoneDecision) -> bool {
        let bound = if zone.local_only { CROSS_ABOVE_UTILIZATION } else { LOCAL_BELOW_UTILIZATION };
        self.offered_load[index] <= self.slots[index] * bound
    }
}

fn share_fraction(zone: &ZoneDecision) -> f64 {
    f64::from(zone.share) / f64::from(FULL_SHARE)
}

fn rounded_share(fraction: f64) -> u16 {
    ((fraction.clamp(0.0, 1.0) * SHARE_STEPS).round() * SHARE_STEP) as u16
}
