//! Outlier ejection: an endpoint that fails gets no turns for some time. Also evaluates probe results.

use super::endpoint_state::EndpointIndex;
use super::router::{RUNNING_MEAN_WEIGHT, Router};
use super::types::{Action, EndpointId, JobId, Micros};

/// Maximum number of times that the ejection time doubles after consecutive failures.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Longest ejection that is taken over from another process, in mean run times: the one after the most
/// doublings, without random jitter.
const MAX_RESTORED_EJECTION_RUNS: Micros = 1 << MAX_BACKOFF_DOUBLINGS;

impl Router {
    /// Returns whether an endpoint gets no turns now: it drains, is not listed, or is ejected after
    /// failures.
    pub fn is_unavailable(&self, now: Micros, endpoint: EndpointId) -> bool {
        let Some(&index) = self.endpoint_index.get(&endpoint) else { return true };
        let endpoint = &self.endpoints[index];
        !endpoint.is_ready || endpoint.ejected_until > now
    }

    /// Ejects an endpoint after a failure, for a time that doubles with each consecutive failure up to a
    /// limit. Afterwards the endpoint is eligible again; only an attempt that is served resets the count of
    /// failures.
    pub(super) fn eject(&mut self, now: Micros, endpoint: EndpointIndex) {
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.consecutive_failures += 1;
        let backoff = f64::from(1u32 << endpoint.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS));
        let duration = self.estimates.mean_run * backoff * (0.5 + self.rng.f64());
        endpoint.ejected_until = now + duration as Micros;
        self.request_list_refresh(now);
    }

    /// Treats an endpoint that refused a job as full until its next report. Otherwise jobs would keep going
    /// to an endpoint whose outdated report still shows free slots. Where reports are missing or stale, the
    /// endpoint is ejected for one mean run time instead.
    pub(super) fn mark_full(&mut self, now: Micros, endpoint: EndpointIndex) {
        /// Slots added to the endpoint's estimated load: more than any endpoint has.
        const FULL_SLOTS: f64 = 1000.0;
        let endpoint = &mut self.endpoints[endpoint];
        if self.settings.stale_reports() {
            endpoint.ejected_until = now + self.estimates.mean_run as Micros;
        } else {
            endpoint.slots_since_report += FULL_SLOTS;
        }
    }

    /// Returns until when an endpoint stays ejected that the previous process had ejected.
    pub(super) fn restored_ejection(&self, now: Micros, ejected_until: Micros) -> Micros {
        ejected_until.min(now + self.estimates.mean_run as Micros * MAX_RESTORED_EJECTION_RUNS)
    }

    /// Processes a probe result: the latency, or `None` if the probe was not answered. Then continues the
    /// search of the job that waited for it.
    pub(super) fn on_probe_result(
        &mut self,
        now: Micros,
        id: EndpointId,
        latency: Option<Micros>,
        out: &mut Vec<Action>,
    ) {
        let Some(&endpoint) = self.endpoint_index.get(&id) else { return };
        let waiting_job = self.endpoints[endpoint].probe_in_flight_for.take();
        match latency {
            Some(latency) => self.record_probe_latency(now, endpoint, latency),
            None => self.eject(now, endpoint),
        }
        let Some(job) = waiting_job.filter(|job| self.jobs.contains_key(job)) else { return };
        if latency.is_some() && self.evaluate_probed_endpoint(now, job, endpoint) {
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
        // A cold endpoint answers slowly in proportion. Slow start already limits its jobs, so this must not
        // count against it twice.
        let latency = latency as f64 * self.slow_start_fraction(now, &self.endpoints[endpoint]);
        let median = &mut self.estimates.probe_latency[zone];
        *median = updated_median(*median, latency);
        self.endpoints[endpoint].latency_ratio = latency / median.max(1.0);
    }

    /// Offers an endpoint with a new report to the job that waited for it. Returns whether the job's search
    /// ends there.
    fn evaluate_probed_endpoint(&mut self, now: Micros, job: JobId, endpoint: EndpointIndex) -> bool {
        let queue_excess = self.queue_excess(now, endpoint, &self.jobs[&job]);
        let typical_excess = &mut self.estimates.typical_excess;
        *typical_excess += RUNNING_MEAN_WEIGHT * (queue_excess - *typical_excess);
        let pending = self.jobs.get_mut(&job).expect("the caller checked that the job is pending");
        pending.search.consider(endpoint, queue_excess);
        pending.is_waiting && self.is_acceptable(queue_excess) && self.may_send(now, job, endpoint)
    }
}

/// Returns a running median moved by one sample; a median of 0 means that there is no sample yet.
fn updated_median(median: f64, sample: f64) -> f64 {
    if median == 0.0 {
        return sample;
    }
    median * if sample > median { 1.0 + RUNNING_MEAN_WEIGHT } else { 1.0 - RUNNING_MEAN_WEIGHT }
}
