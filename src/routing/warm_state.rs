//! What a dispatcher has learned, handed from a process to the one that replaces it. It decides nothing: what
//! is restored counts as if it had been seen here, and fades by the same clocks.
//!
//! The ids of endpoints are made of their names, alike in both processes; an endpoint that has started anew
//! since is not the one that was known. The order and the types of all fields here are a stored format.

use serde::{Deserialize, Serialize};

use super::MAX_ENDPOINTS;
use super::endpoint_state::EndpointState;
use super::router::Router;
use super::service_time::{KindEstimate, ServiceTime};
use super::types::{EndpointId, Micros};

/// What was learned of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EndpointWarmState {
    id: u64,
    started_at: Micros,
    /// What it may be sent while it warms up, in jobs.
    slow_start_tokens: f64,
    service_time: ServiceTime,
    queue_wait: f64,
    queue_wait_at: Micros,
    latency_ratio: f64,
    consecutive_failures: u32,
    ejected_until: Micros,
}

/// All that was learned. Times are microseconds of the clock that both processes read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmState {
    mean_run: f64,
    mean_work: Vec<f64>,
    service_time: ServiceTime,
    queue_wait: f64,
    queue_wait_at: Micros,
    typical_excess: f64,
    held_per_size: f64,
    probe_latency: Vec<f64>,
    kinds: Vec<KindEstimate>,
    endpoints: Vec<EndpointWarmState>,
}

/// Largest figure that can have been learned: a time of twelve days in microseconds, which sums of the clock
/// bear, and more than any count or ratio.
const MAX_FIGURE: f64 = 1e12;
/// Most failures in a row that an endpoint can have had.
const MAX_FAILURES: u32 = 1 << 30;

/// Whether a figure that cannot be negative can have been learned.
pub(super) fn is_figure(figure: f64) -> bool {
    (0.0..=MAX_FIGURE).contains(&figure)
}

/// Whether one that can be can.
fn is_signed_figure(figure: f64) -> bool {
    is_figure(figure.abs())
}

impl EndpointWarmState {
    fn of(endpoint: &EndpointState) -> EndpointWarmState {
        EndpointWarmState {
            id: endpoint.listed.id.0,
            started_at: endpoint.listed.started_at,
            slow_start_tokens: endpoint.slow_start_tokens,
            service_time: endpoint.service_time,
            queue_wait: endpoint.queue_wait,
            queue_wait_at: endpoint.queue_wait_at,
            latency_ratio: endpoint.latency_ratio,
            consecutive_failures: endpoint.consecutive_failures,
            ejected_until: endpoint.ejected_until,
        }
    }

    fn is_valid(&self) -> bool {
        is_signed_figure(self.slow_start_tokens)
            && self.consecutive_failures <= MAX_FAILURES
            && is_figure(self.queue_wait)
            && is_figure(self.latency_ratio)
            && self.service_time.is_valid()
    }
}

impl WarmState {
    /// Whether it can be true of so many classes: each figure is one, and none is negative that cannot be.
    /// Bounds its lists too, by what a list of endpoints may hold.
    fn is_valid(&self, classes: usize) -> bool {
        let lens = [self.mean_work.len(), self.probe_latency.len(), self.kinds.len(), self.endpoints.len()];
        let lists = self.mean_work.iter().chain(&self.probe_latency);
        let means = [&self.mean_run, &self.queue_wait, &self.held_per_size];
        lens.iter().all(|&len| len <= MAX_ENDPOINTS)
            && self.mean_work.len() == classes
            && lists.chain(means).all(|&figure| is_figure(figure))
            && self.mean_run >= 1.0
            && is_signed_figure(self.typical_excess)
            && self.service_time.is_valid()
            && self.kinds.iter().all(KindEstimate::is_valid)
            && self.endpoints.iter().all(EndpointWarmState::is_valid)
    }
}

impl Router {
    /// What it has learned so far.
    pub fn warm_state(&self) -> WarmState {
        let ready = self.endpoints.iter().filter(|endpoint| endpoint.is_ready);
        let estimates = &self.estimates;
        WarmState {
            mean_run: estimates.mean_run,
            mean_work: estimates.mean_work.clone(),
            service_time: estimates.service_time,
            queue_wait: estimates.queue_wait,
            queue_wait_at: estimates.queue_wait_at,
            typical_excess: estimates.typical_excess,
            held_per_size: estimates.held_per_size,
            probe_latency: estimates.probe_latency.clone(),
            kinds: estimates.kinds.clone(),
            endpoints: ready.take(MAX_ENDPOINTS).map(EndpointWarmState::of).collect(),
        }
    }

    /// Takes over what the process before has learned. False, and nothing is changed, where it cannot be true
    /// here.
    pub fn restore(&mut self, now: Micros, learned: WarmState) -> bool {
        if !learned.is_valid(self.estimates.mean_work.len()) {
            return false;
        }
        for known in &learned.endpoints {
            self.restore_endpoint(now, known);
        }
        let estimates = &mut self.estimates;
        let kinds = estimates.kinds.len().max(learned.kinds.len());
        estimates.kinds = learned.kinds;
        estimates.kinds.resize_with(kinds, KindEstimate::default);
        estimates.mean_run = learned.mean_run;
        estimates.mean_work = learned.mean_work;
        estimates.service_time = learned.service_time;
        estimates.queue_wait = learned.queue_wait;
        estimates.queue_wait_at = learned.queue_wait_at.min(now);
        estimates.typical_excess = learned.typical_excess;
        estimates.held_per_size = learned.held_per_size;
        estimates.probe_latency = learned.probe_latency;
        true
    }

    fn restore_endpoint(&mut self, now: Micros, known: &EndpointWarmState) {
        let Some(&index) = self.endpoint_index.get(&EndpointId(known.id)) else { return };
        if self.endpoints[index].listed.started_at != known.started_at {
            return;
        }
        let ejected_until = self.restored_ejection(now, known.ejected_until);
        let endpoint = &mut self.endpoints[index];
        // Both processes send for a moment: one that warms up has what it was owed once, not twice.
        endpoint.slow_start_tokens = known.slow_start_tokens.min(endpoint.slow_start_tokens);
        endpoint.service_time = known.service_time;
        endpoint.latency_ratio = known.latency_ratio;
        endpoint.consecutive_failures = known.consecutive_failures;
        endpoint.queue_wait = known.queue_wait;
        // The clocks of two processes may be a little apart.
        endpoint.queue_wait_at = known.queue_wait_at.min(now);
        endpoint.ejected_until = ejected_until;
    }
}
