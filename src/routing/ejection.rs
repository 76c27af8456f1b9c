//! Outlier ejection: an endpoint that fails loses its turns for a while; and what the answer of a probe, or
//! its absence, shows of an endpoint.

use super::endpoint_state::EndpointIndex;
use super::router::{RUNNING_MEAN_WEIGHT, Router};
use super::types::{Action, EndpointId, JobId, Micros};

/// How often the time of an ejection doubles, at most, as failures follow on each other.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Longest ejection that is taken over from another process, in mean runs: that of the most doublings,
/// without what is drawn beside it.
const MAX_RESTORED_EJECTION_RUNS: Micros = 1 << MAX_BACKOFF_DOUBLINGS;

impl Router {
    /// Whether an endpoint is given no turns now: draining, off the list, or ejected after failures.
    pub fn is_unavailable(&self, now: Micros, endpoint: EndpointId) -> bool {
        let Some(&index) = self.endpoint_index.get(&endpoint) else { return true };
        let endpoint = &self.endpoints[index];
        !endpoint.is_ready || endpoint.ejected_until > now
    }

    /// An endpoint that failed loses its turns for a while, longer each time, and is then tried by one job.
    pub(super) fn eject(&mut self, now: Micros, endpoint: EndpointIndex) {
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.consecutive_failures += 1;
        let backoff = f64::from(1u32 << endpoint.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS));
        let duration = self.estimates.mean_run * backoff * (0.5 + self.rng.f64());
        endpoint.ejected_until = now + duration as Micros;
        self.refresh_doubtful_list(now);
    }

    /// An endpoint that turned a job away is full until its next report. Guards against sending on and on to
    /// one whose report, still old, shows free slots.
    pub(super) fn mark_full(&mut self, now: Micros, endpoint: EndpointIndex) {
        /// What it counts as holding, in slots: more than any endpoint has.
        const FULL_SLOTS: f64 = 1000.0;
        let endpoint = &mut self.endpoints[endpoint];
        if self.settings.stale_reports() {
            endpoint.ejected_until = now + self.estimates.mean_run as Micros;
        } else {
            endpoint.slots_since_report += FULL_SLOTS;
        }
    }

    /// Until when an endpoint is ejected that the process before had ejected.
    pub(super) fn restored_ejection(&self, now: Micros, ejected_until: Micros) -> Micros {
        ejected_until.min(now + self.estimates.mean_run as Micros * MAX_RESTORED_EJECTION_RUNS)
    }

    /// A probe has come back after `latency`, or has not been answered. The job that waited for it goes on.
    pub(super) fn on_health_check(
        &mut self,
        now: Micros,
        id: EndpointId,
        latency: Option<Micros>,
        out: &mut Vec<Action>,
    ) {
        let Some(&endpoint) = self.endpoint_index.get(&id) else { return };
        let waiting_job = self.endpoints[endpoint].health_check_in_flight.take();
        match latency {
            Some(latency) => self.record_probe_latency(now, endpoint, latency),
            None => self.eject(now, endpoint),
        }
        let Some(job) = waiting_job.filter(|job| self.jobs.contains_key(job)) else { return };
        if latency.is_some() && self.take_probed_endpoint(now, job, endpoint) {
            self.send(now, job, endpoint, out);
        } else {
            self.try_next_endpoint(now, job, out);
        }
    }

    fn record_probe_latency(&mut self, now: Micros, endpoint: EndpointIndex, latency: Micros) {
        let zone = usize::from(self.endpoints[endpoint].listed.zone);
        let medians = &mut self.estimates.probe_latency;
        if medians.len() <= zone {
            medians.resize(zone + 1, 0.0);
        }
        // One that warms up is as slow as it is cold, and gets its part by that already.
        let latency = latency as f64 * self.slow_start_fraction(now, &self.endpoints[endpoint]);
        let median = &mut self.estimates.probe_latency[zone];
        *median = updated_median(*median, latency);
        self.endpoints[endpoint].latency_ratio = latency / median.max(1.0);
    }

    /// Offers an endpoint whose report is new to the job that waited for it. Returns whether the job's search
    /// ends there.
    fn take_probed_endpoint(&mut self, now: Micros, job: JobId, endpoint: EndpointIndex) -> bool {
        let queue_excess = self.queue_excess(now, endpoint, &self.jobs[&job]);
        let typical_excess = &mut self.estimates.typical_excess;
        *typical_excess += RUNNING_MEAN_WEIGHT * (queue_excess - *typical_excess);
        let pending = self.jobs.get_mut(&job).expect("the caller has seen it");
        pending.search.offer(endpoint, queue_excess);
        pending.is_waiting && self.is_acceptable(queue_excess) && self.may_send(now, job, endpoint)
    }
}

/// A running median moved by one sample; 0 is none yet.
fn updated_median(median: f64, sample: f64) -> f64 {
    if median == 0.0 {
        return sample;
    }
    median * if sample > median { 1.0 + RUNNING_MEAN_WEIGHT } else { 1.0 - RUNNING_MEAN_WEIGHT }
}
