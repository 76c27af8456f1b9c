//! Estimates how far an endpoint's queue is past the threshold k, from its load reports and own attempts
//! there.

use super::endpoint_state::{EndpointIndex, EndpointState};
use super::job_state::PendingJob;
use super::router::{RUNNING_MEAN_WEIGHT, Router};
use super::types::{EndpointId, LoadReport, Micros};

/// Added to the queue excess if a job would be late only because it waits at the endpoint, so that it is
/// held in the dispatcher instead. Larger than any wait: twelve days in microseconds.
pub(super) const WOULD_BE_LATE_EXCESS: f64 = 1e12;
/// Fraction of a mean run time up to which a wait is negligible.
const NEGLIGIBLE_WAIT_SHARE: f64 = 0.1;
/// Own attempts at an endpoint that are within k, which is 2 in the report of Boel and van Schuppen, plus
/// the job itself.
const ATTEMPTS_WITHIN_K: f64 = 3.0;
/// An endpoint counts as slow if its probe latency is this multiple of its zone's median. Endpoints on the
/// same kind of machine do not differ by so much.
const SLOW_LATENCY_RATIO: f64 = 1.75;

/// Estimated number of slots of the endpoints of one kind.
#[derive(Clone, Copy, Debug)]
struct SlotEstimate {
    /// Slots shown by reports or runs; 0 if not known yet.
    measured: f64,
    /// Average number of requests held by an endpoint of this size.
    typically_held: f64,
}

impl SlotEstimate {
    /// Returns the measured number of slots, or the estimate from held requests if there is none.
    fn slots(&self) -> f64 {
        if self.measured > 0.0 { self.measured } else { self.typically_held }
    }
}

impl Router {
    /// Returns how far an endpoint's queue is past k, as a wait: 0 or less if the job can start.
    pub(super) fn queue_excess(&self, now: Micros, endpoint: EndpointIndex, pending: &PendingJob) -> f64 {
        if self.settings.lacks_load_reports() {
            return self.queue_excess_without_reports(now, endpoint, pending);
        }
        let endpoint = &self.endpoints[endpoint];
        let slots_needed = pending.job.slots.max(1.0);
        let estimate = SlotEstimate {
            measured: self.estimates.kinds[usize::from(endpoint.listed.kind)].slots,
            typically_held: (self.estimates.held_per_size * endpoint.listed.size).max(1.0),
        };
        // In a large fleet, jobs of other dispatchers outweigh an old report, and an endpoint that is
        // warming up is not probed. Only own attempts are certain then.
        let counts_own_only = self.settings.is_large_fleet() || !self.is_warm(now, endpoint);
        let mut queue = if counts_own_only {
            endpoint.queued_attempts - slots_needed
        } else {
            reported_queue(endpoint, estimate)
        };
        // A report may be too old to show the attempts in flight: own attempts occupy their slots whatever
        // it says.
        if estimate.measured > 0.0 {
            queue = queue.max(endpoint.reserved_slots - estimate.measured);
        }
        let (slots, mean_run) = (estimate.slots(), self.estimates.mean_run);
        let queue_excess = (queue + slots_needed) / slots * mean_run;
        // On machines that are very slow or share their cores, a free slot is not an advantage.
        if endpoint.latency_ratio > SLOW_LATENCY_RATIO {
            queue_excess.max(mean_run / slots) * endpoint.latency_ratio
        } else {
            queue_excess
        }
    }

    /// Returns the queue excess if starts and ends of own attempts are the only evidence. A job that would
    /// wait behind own jobs is held in the dispatcher instead, so that short jobs do not queue behind long
    /// ones.
    fn queue_excess_without_reports(
        &self,
        now: Micros,
        endpoint: EndpointIndex,
        pending: &PendingJob,
    ) -> f64 {
        let own_wait = self.own_wait(now, endpoint);
        let first_free_slot = own_wait.first_free_slot;
        let queue_wait = self.queue_wait(now, endpoint);
        let run = self.expected_work(&pending.job) * self.service_time(endpoint);
        let ends_at = now as f64 + first_free_slot + queue_wait + run;
        let lateness = (ends_at - self.objective_deadline(pending)).max(first_free_slot);
        let negligible_wait = self.estimates.mean_run * NEGLIGIBLE_WAIT_SHARE;
        if lateness > 0.0 && first_free_slot + queue_wait > negligible_wait {
            WOULD_BE_LATE_EXCESS + lateness
        } else if lateness > 0.0 {
            lateness
        } else {
            let typical_wait = self.estimates.queue_wait.max(negligible_wait / 2.0);
            own_wait.mean + (queue_wait - typical_wait).max(0.0)
        }
    }

    /// Applies an endpoint's load report. A report without any value is ignored.
    pub(super) fn on_report(&mut self, now: Micros, id: EndpointId, report: &LoadReport) {
        let is_report = *report != LoadReport::default();
        let Some(&index) = self.endpoint_index.get(&id).filter(|_| is_report) else { return };
        let endpoint = &mut self.endpoints[index];
        if *report != endpoint.report {
            endpoint.slots_since_report = 0.0;
        }
        (endpoint.report, endpoint.report_at) = (*report, now);
        let held = report.held.unwrap_or(0.0) / endpoint.listed.size;
        let held_per_size = &mut self.estimates.held_per_size;
        *held_per_size +=
            if *held_per_size > 0.0 { RUNNING_MEAN_WEIGHT * (held - *held_per_size) } else { held };
        let kind = &mut self.estimates.kinds[usize::from(endpoint.listed.kind)];
        if let Some(free_slots) = report.free_slots.filter(|&free_slots| free_slots >= 1.0) {
            kind.slots = kind.slots.max(free_slots.round());
        }
    }
}

/// Returns an endpoint's queue in slots, from its last report and what was sent since. Negative if slots are
/// free.
fn reported_queue(endpoint: &EndpointState, estimate: SlotEstimate) -> f64 {
    let (report, since_report) = (&endpoint.report, endpoint.slots_since_report);
    match (report.free_slots, report.queue, report.held) {
        (Some(free), Some(queue), _) => since_report + if queue >= 1.0 { queue } else { -free },
        // If more requests are held than slots are taken, some are waiting, although a slot may be free that
        // is too small for the first of them.
        (Some(free), None, Some(held)) => {
            let queued = held - (estimate.slots() - free).max(0.0);
            since_report + if free < 1.0 || queued > free { queued.max(0.0) } else { -free }
        }
        (Some(free), None, None) => since_report - free,
        (None, Some(queue), _) => since_report + queue,
        // The number of slots is a guess here, so more requests than the average for the size also count as
        // past k.
        (None, None, Some(held)) => since_report + held - estimate.typically_held.min(estimate.slots()),
        (None, None, None) => endpoint.queued_attempts - ATTEMPTS_WITHIN_K,
    }
}
