//! The interleaved cycle, its subset, and the scheduled endpoint of a job.
//!
//! The job count indexes a period in which each endpoint of the subset has turns in proportion to its size,
//! evenly spaced (cyclic routing of Boel and van Schuppen). Each dispatcher starts at a different offset.

use super::endpoint_state::{EndpointIndex, EndpointState};
use super::router::Router;
use super::spread::golden_ratio_point;
use super::types::{Micros, Settings};

/// Turns per period of an endpoint of average size: enough to distinguish sizes that differ by a tenth.
pub(super) const AVERAGE_TURNS: f64 = 8.0;
/// Average number of dispatchers that have an endpoint in their subset, so that differences between the
/// loads of dispatchers average out.
const DISPATCHERS_PER_ENDPOINT: f64 = 4.0;
/// Minimum number of endpoints in a subset, so that some of them are free.
const MIN_SUBSET: f64 = 8.0;
/// Maximum number of turns taken by one job that add slow-start tokens. A job also consumes the turns of
/// ineligible endpoints; if all of those added tokens, a fleet in which every endpoint is cold would be
/// overloaded.
const MAX_TOKEN_TURNS_PER_JOB: usize = 2;

/// The cycle over the endpoints that one kind of job may use.
#[derive(Debug)]
pub(super) struct Cycle {
    /// The kind of endpoint; `None` means any kind.
    pub(super) kind: Option<u16>,
    /// The endpoint of each turn, as a position in `order`.
    period: Vec<usize>,
    /// The endpoints in the fixed order in which a job overflows.
    pub(super) order: Vec<EndpointIndex>,
    /// Number of endpoints at the head of `order` that have turns; the others get only overflow.
    pub(super) subset_len: usize,
    /// Number of turns taken so far.
    turn_count: usize,
    /// Number of overflow steps that went to endpoints outside the subset.
    pub(super) overflow_position: usize,
}

/// A turn of an endpoint, used while the period is laid out.
#[derive(Clone, Copy, Debug)]
struct Turn {
    /// Position of the turn in the period, from 0 to 1.
    point: f64,
    /// The position of the turn's endpoint in the order.
    position: usize,
}

impl Cycle {
    pub(super) fn new(kind: Option<u16>) -> Cycle {
        Cycle { kind, period: vec![], order: vec![], subset_len: 0, turn_count: 0, overflow_position: 0 }
    }

    /// Returns whether endpoints of a kind belong to this cycle.
    pub(super) fn includes_kind(&self, kind: u16) -> bool {
        self.kind.is_none_or(|own| own == kind)
    }

    fn rebuild(&mut self, settings: &Settings, endpoints: &[EndpointState]) {
        self.rebuild_order(settings, endpoints);
        self.subset_len = subset_len(settings, &self.order, endpoints);
        self.rebuild_period(endpoints);
    }

    /// Sorts the endpoints into the overflow order. Each dispatcher starts at a different point of the
    /// order, and the points are evenly spread for any number of dispatchers, so that neither subsets nor
    /// overflow concentrate on the same endpoints.
    fn rebuild_order(&mut self, settings: &Settings, endpoints: &[EndpointState]) {
        let belongs =
            |endpoint: &EndpointState| endpoint.is_ready && self.includes_kind(endpoint.listed.kind);
        let mut order: Vec<_> = (0..endpoints.len()).filter(|&index| belongs(&endpoints[index])).collect();
        order.sort_unstable_by_key(|&index| endpoints[index].listed.id);
        let len = order.len();
        let start = (golden_ratio_point(f64::from(settings.number)) * len as f64) as usize;
        order.rotate_left(start % len.max(1));
        if settings.zones_cost {
            order.sort_by_key(|&index| endpoints[index].listed.zone.wrapping_sub(settings.zone));
        }
        self.order = order;
    }

    /// Lays out the period: an endpoint with n turns has them evenly spaced. The endpoints' first turns are
    /// spread by multiples of the golden ratio, so that the turns of neighbours in the order do not cluster.
    fn rebuild_period(&mut self, endpoints: &[EndpointState]) {
        let subset = &self.order[..self.subset_len];
        let total: f64 = subset.iter().map(|&index| endpoints[index].listed.size).sum();
        let mean = (total / self.subset_len as f64).max(f64::MIN_POSITIVE);
        let mut layout = Vec::new();
        for (position, &index) in subset.iter().enumerate() {
            let turns = (endpoints[index].listed.size / mean * AVERAGE_TURNS).round().max(1.0);
            let phase = golden_ratio_point(position as f64);
            layout.extend(
                (0..turns as usize).map(|turn| Turn { point: (turn as f64 + phase) / turns, position }),
            );
        }
        layout.sort_unstable_by(|a: &Turn, b| a.point.total_cmp(&b.point).then(a.position.cmp(&b.position)));
        self.period = layout.into_iter().map(|turn| turn.position).collect();
    }

    /// Takes the next turn and returns its endpoint's position in the order. `offset` differs between
    /// dispatchers.
    fn take_turn(&mut self, offset: usize) -> usize {
        self.turn_count += 1;
        self.period[(self.turn_count + offset) % self.period.len()]
    }
}

/// Returns how many endpoints at the head of an order have turns. Without a subset, a dispatcher of a large
/// fleet would open a connection for nearly every job, and its own attempts would say little about an
/// endpoint's load because each endpoint would serve all dispatchers.
fn subset_len(settings: &Settings, order: &[EndpointIndex], endpoints: &[EndpointState]) -> usize {
    let len = order.len();
    let share = DISPATCHERS_PER_ENDPOINT * len as f64 / f64::from(settings.dispatchers.max(1));
    // In a large fleet where crossing zones costs, the whole zone is the subset: a busy dispatcher would
    // keep a smaller one full.
    let in_zone = |index: &&EndpointIndex| endpoints[**index].listed.zone == settings.zone;
    let zone_len = if settings.is_large_fleet() && settings.zones_cost {
        order.iter().filter(in_zone).count()
    } else {
        0
    };
    (share.max(MIN_SUBSET) as usize).max(zone_len).clamp(len.min(1), len)
}

impl Router {
    /// Rebuilds every cycle.
    pub(super) fn rebuild_cycles(&mut self) {
        for cycle in &mut self.cycles {
            cycle.rebuild(&self.settings, &self.endpoints);
        }
    }

    /// Returns the position of the scheduled endpoint. The job count determines it, and turns of endpoints
    /// that are not eligible are skipped.
    pub(super) fn next_scheduled(&mut self, now: Micros, cycle: usize) -> usize {
        let offset = self.settings.number as usize;
        for passed in 0..self.cycles[cycle].period.len() {
            let position = self.cycles[cycle].take_turn(offset);
            let endpoint = self.cycles[cycle].order[position];
            if passed < MAX_TOKEN_TURNS_PER_JOB {
                self.add_turn_tokens(now, endpoint);
            }
            if self.is_eligible(now, &self.endpoints[endpoint]) {
                return position;
            }
        }
        0
    }
}
