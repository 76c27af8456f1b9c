//! The interleaved cycle, its subset, and the scheduled endpoint of a job.
//!
//! The job count indexes a period in which each endpoint of the subset has turns in proportion to its size,
//! evenly spaced (cyclic routing of Boel and van Schuppen). Dispatchers start at different places.

use super::endpoint_state::{EndpointIndex, EndpointState};
use super::router::Router;
use super::spread::golden_section_point;
use super::types::{Micros, Settings};

/// Turns of an endpoint of average size in one period: enough to tell sizes a tenth apart.
pub(super) const AVERAGE_TURNS: f64 = 8.0;
/// Dispatchers that have each endpoint in their subset on average, so that uneven ones even out.
const DISPATCHERS_PER_ENDPOINT: f64 = 4.0;
/// Fewest endpoints of a subset, so that some of them are free.
const MIN_SUBSET: f64 = 8.0;
/// Turns that one job may pass on to the next endpoint and still add to the tokens of those that warm up:
/// more would push over a fleet that is all cold.
const TOKEN_TURNS_PER_JOB: usize = 2;

/// The endpoints that one kind of job may use.
#[derive(Debug)]
pub(super) struct Cycle {
    /// The kind of endpoint; none: any.
    pub(super) kind: Option<u16>,
    /// Places in `order`, one for each turn.
    period: Vec<usize>,
    /// The fixed order in which a job overflows.
    pub(super) order: Vec<EndpointIndex>,
    /// So many endpoints at the head of the order have turns; the others get overflow alone.
    pub(super) subset_len: usize,
    /// Turns taken.
    turn_count: usize,
    /// Jobs that overflowed out of the subset.
    pub(super) overflow_position: usize,
}

/// A turn of an endpoint, as it is laid out.
#[derive(Clone, Copy, Debug)]
struct Turn {
    /// Where in the period it is, from 0 to 1.
    point: f64,
    /// The place of its endpoint in the order.
    position: usize,
}

impl Cycle {
    pub(super) fn new(kind: Option<u16>) -> Cycle {
        Cycle { kind, period: vec![], order: vec![], subset_len: 0, turn_count: 0, overflow_position: 0 }
    }

    /// Whether endpoints of a kind belong to it.
    pub(super) fn admits(&self, kind: u16) -> bool {
        self.kind.is_none_or(|own| own == kind)
    }

    fn rebuild(&mut self, settings: &Settings, endpoints: &[EndpointState]) {
        self.rebuild_order(settings, endpoints);
        self.subset_len = subset_len(settings, &self.order, endpoints);
        self.rebuild_period(endpoints);
    }

    /// Orders the endpoints. Dispatchers start spread over the order, which stays even for any number of
    /// them: so that neither subsets nor overflow gather on the same endpoints.
    fn rebuild_order(&mut self, settings: &Settings, endpoints: &[EndpointState]) {
        let belongs = |endpoint: &EndpointState| endpoint.is_ready && self.admits(endpoint.listed.kind);
        let mut order: Vec<_> = (0..endpoints.len()).filter(|&index| belongs(&endpoints[index])).collect();
        order.sort_unstable_by_key(|&index| endpoints[index].listed.id);
        let len = order.len();
        let start = (golden_section_point(f64::from(settings.number)) * len as f64) as usize;
        order.rotate_left(start % len.max(1));
        if settings.zones_cost {
            order.sort_by_key(|&index| endpoints[index].listed.zone.wrapping_sub(settings.zone));
        }
        self.order = order;
    }

    /// Lays out the period: an endpoint with n turns has them evenly spaced, and endpoints start at points
    /// spread by the golden section so that neighbours in the order do not bunch.
    fn rebuild_period(&mut self, endpoints: &[EndpointState]) {
        let subset = &self.order[..self.subset_len];
        let total: f64 = subset.iter().map(|&index| endpoints[index].listed.size).sum();
        let mean = (total / self.subset_len as f64).max(f64::MIN_POSITIVE);
        let mut layout = Vec::new();
        for (position, &index) in subset.iter().enumerate() {
            let turns = (endpoints[index].listed.size / mean * AVERAGE_TURNS).round().max(1.0);
            let phase = golden_section_point(position as f64);
            layout.extend(
                (0..turns as usize).map(|turn| Turn { point: (turn as f64 + phase) / turns, position }),
            );
        }
        layout.sort_unstable_by(|a: &Turn, b| a.point.total_cmp(&b.point).then(a.position.cmp(&b.position)));
        self.period = layout.into_iter().map(|turn| turn.position).collect();
    }

    /// The place in the order of the next turn, where dispatchers count from different offsets.
    fn take_turn(&mut self, offset: usize) -> usize {
        self.turn_count += 1;
        self.period[(self.turn_count + offset) % self.period.len()]
    }
}

/// How many endpoints at the head of an order have turns. Guards against two dangers of a large fleet: a
/// connection opened for nearly every job, and own counts that say nothing as each endpoint serves all
/// dispatchers.
fn subset_len(settings: &Settings, order: &[EndpointIndex], endpoints: &[EndpointState]) -> usize {
    let len = order.len();
    let share = DISPATCHERS_PER_ENDPOINT * len as f64 / f64::from(settings.dispatchers.max(1));
    // Guards against a few endpoints that one busy dispatcher keeps full: the whole zone is its subset.
    let in_zone = |index: &&EndpointIndex| endpoints[**index].listed.zone == settings.zone;
    let zone_len = if settings.is_large_fleet() && settings.zones_cost {
        order.iter().filter(in_zone).count()
    } else {
        0
    };
    (share.max(MIN_SUBSET) as usize).max(zone_len).clamp(len.min(1), len)
}

impl Router {
    /// Lays out every cycle anew.
    pub(super) fn rebuild_cycles(&mut self) {
        for cycle in &mut self.cycles {
            cycle.rebuild(&self.settings, &self.endpoints);
        }
    }

    /// The place of the scheduled endpoint: the job count names it, and a turn of an endpoint that is not
    /// eligible moves the count on.
    pub(super) fn next_scheduled(&mut self, now: Micros, cycle: usize) -> usize {
        let offset = self.settings.number as usize;
        for passed in 0..self.cycles[cycle].period.len() {
            let position = self.cycles[cycle].take_turn(offset);
            let endpoint = self.cycles[cycle].order[position];
            if passed < TOKEN_TURNS_PER_JOB {
                self.add_turn_tokens(now, endpoint);
            }
            if self.is_eligible(now, &self.endpoints[endpoint]) {
                return position;
            }
        }
        0
    }
}
