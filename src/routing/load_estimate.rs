//! How far an endpoint's queue is past the threshold k, from its reports and from own attempts there.

use super::endpoint_state::{EndpointIndex, EndpointState};
use super::job_state::PendingJob;
use super::router::{RUNNING_MEAN_WEIGHT, Router};
use super::types::{EndpointId, LoadReport, Micros};

/// Added to the queue excess where a job would be late only as it waits there, so that it is held here
/// instead. Larger than any wait: twelve days in microseconds.
pub(super) const WOULD_BE_LATE_EXCESS: f64 = 1e12;
/// Part of a mean run that counts as no wait.
const NEGLIGIBLE_WAIT_SHARE: f64 = 0.1;
/// Own attempts at an endpoint that are within k, which is 2 in the report of Boel and van Schuppen, and the
/// job itself.
const ATTEMPTS_WITHIN_K: f64 = 3.0;
/// An endpoint whose probes take this many times the median of its zone is slow: endpoints of one make do not
/// differ so much.
const SLOW_LATENCY_RATIO: f64 = 1.75;

/// Slots that endpoints of a kind are taken to have.
#[derive(Clone, Copy, Debug)]
struct SlotEstimate {
    /// As reports or runs have shown; 0: not yet.
    measured: f64,
    /// What an endpoint of this size holds on average.
    typically_held: f64,
}

impl SlotEstimate {
    /// Slots as measured, or as guessed.
    fn slots(&self) -> f64 {
        if self.measured > 0.0 { self.measured } else { self.typically_held }
    }
}

impl Router {
    /// How far an endpoint's queue is past k, as a wait: 0 or less if the job can start.
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
        // What others sent outweighs an old report, and one that warms up is not probed: own jobs are sure.
        let counts_own_only = self.settings.is_large_fleet() || !self.is_warm(now, endpoint);
        let mut queue = if counts_own_only {
            endpoint.queued_attempts - slots_needed
        } else {
            reported_queue(endpoint, estimate)
        };
        // Guards against a report that is too old to show the attempts in flight: own attempts take their
        // slots whatever it says.
        if estimate.measured > 0.0 {
            queue = queue.max(endpoint.reserved_slots - estimate.measured);
        }
        let (slots, mean_run) = (estimate.slots(), self.estimates.mean_run);
        let queue_excess = (queue + slots_needed) / slots * mean_run;
        // Guards against machines that crawl or share their cores: a free slot there is no gain.
        if endpoint.latency_ratio > SLOW_LATENCY_RATIO {
            queue_excess.max(mean_run / slots) * endpoint.latency_ratio
        } else {
            queue_excess
        }
    }

    /// The same where own starts and ends are the only evidence. Guards against short jobs behind long ones:
    /// what would wait for own jobs waits here instead.
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

    /// Takes in an endpoint's report; one without any figure is none.
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

/// The queue of an endpoint in slots, by its last report and what was sent since; negative: slots are free.
fn reported_queue(endpoint: &EndpointState, estimate: SlotEstimate) -> f64 {
    let (report, since_report) = (&endpoint.report, endpoint.slots_since_report);
    match (report.free_slots, report.queue, report.held) {
        (Some(free), Some(queue), _) => since_report + if queue >= 1.0 { queue } else { -free },
        // More held than slots are taken: some wait, though a slot may be free that the first does not fit.
        (Some(free), None, Some(held)) => {
            let queued = held - (estimate.slots() - free).max(0.0);
            since_report + if free < 1.0 || queued > free { queued.max(0.0) } else { -free }
        }
        (Some(free), None, None) => since_report - free,
        (None, Some(queue), _) => since_report + queue,
        // Slots are a guess here: past k is also what holds more than the mean for its size.
        (None, None, Some(held)) => since_report + held - estimate.typically_held.min(estimate.slots()),
        (None, None, None) => endpoint.queued_attempts - ATTEMPTS_WITHIN_K,
    }
}
