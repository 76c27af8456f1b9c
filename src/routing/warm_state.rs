//! State learned by a dispatcher, handed over to the process that replaces it. Restored state counts as if
//! it had been observed here, and decays by the same clocks.
//!
//! Endpoint ids are derived from names, so they are the same in both processes. The state of an endpoint
//! that has restarted since is not used. The order and the types of all fields here are a stored format.

use serde::{Deserialize, Serialize};

use super::MAX_ENDPOINTS;
use super::endpoint_state::EndpointState;
use super::router::Router;
use super::service_time::{KindEstimate, ServiceTime};
use super::types::{EndpointId, Micros};

/// State learned about one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EndpointWarmState {
    id: u64,
    started_at: Micros,
    /// Slow-start tokens: the number of jobs that may be sent while the endpoint warms up.
    slow_start_tokens: f64,
    service_time: ServiceTime,
    queue_wait: f64,
    queue_wait_at: Micros,
    latency_ratio: f64,
    consecutive_failures: u32,
    ejected_until: Micros,
}

/// All learned state. Times are microseconds of the clock that both processes read.
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

/// Largest plausible value: a time of twelve days in microseconds. Sums with the clock stay representable,
/// and no count or ratio is larger.
const MAX_PLAUSIBLE_VALUE: f64 = 1e12;
/// Largest plausible number of consecutive failures of an endpoint.
const MAX_PLAUSIBLE_FAILURES: u32 = 1 << 30;

/// Returns whether a value that cannot be negative is plausible.
pub(super) fn is_plausible_value(value: f64) -> bool {
    (0.0..=MAX_PLAUSIBLE_VALUE).contains(&value)
}

/// Returns whether a value that can be negative is plausible.
fn is_plausible_signed_value(value: f64) -> bool {
    is_plausible_value(value.abs())
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
        is_plausible_signed_value(self.slow_start_tokens)
            && self.consecutive_failures <= MAX_PLAUSIBLE_FAILURES
            && is_plausible_value(self.queue_wait)
            && is_plausible_value(self.latency_ratio)
            && self.service_time.is_valid()
    }
}

impl WarmState {
    /// Returns whether the state is plausible for a dispatcher with this number of classes: every value is
    /// in range, and no list is longer than a list of endpoints may be.
    fn is_valid(&self, classes: usize) -> bool {
        let lens = [self.mean_work.len(), self.probe_latency.len(), self.kinds.len(), self.endpoints.len()];
        let lists = self.mean_work.iter().chain(&self.probe_latency);
        let means = [&self.mean_run, &self.queue_wait, &self.held_per_size];
        lens.iter().all(|&len| len <= MAX_ENDPOINTS)
            && self.mean_work.len() == classes
            && lists.chain(means).all(|&value| is_plausible_value(value))
            && self.mean_run >= 1.0
            && is_plausible_signed_value(self.typical_excess)
            && self.service_time.is_valid()
            && self.kinds.iter().all(KindEstimate::is_valid)
            && self.endpoints.iter().all(EndpointWarmState::is_valid)
    }
}

impl Router {
    /// Returns the state learned so far.
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

    /// Takes over the state learned by the previous process. Returns false and changes nothing if the state
    /// is not plausible here.
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
        // Both processes send for a short time. An endpoint that is warming up must not get its tokens
        // twice.
        endpoint.slow_start_tokens = known.slow_start_tokens.min(endpoint.slow_start_tokens);
        endpoint.service_time = known.service_time;
        endpoint.latency_ratio = known.latency_ratio;
        endpoint.consecutive_failures = known.consecutive_failures;
        endpoint.queue_wait = known.queue_wait;
        // The clocks of the two processes may differ slightly.
        endpoint.queue_wait_at = known.queue_wait_at.min(now);
        endpoint.ejected_until = ejected_until;
    }
}
