//! Start and end of an attempt: the resulting changes to its endpoint, to the estimates and to its job.

use super::endpoint_state::EndpointIndex;
use super::router::{RUNNING_MEAN_WEIGHT, Router};
use super::types::{Action, AttemptEnd, JobId, Micros, Outcome};

impl Router {
    /// Marks that the response to a job has begun, after which the job has no deadline.
    pub(super) fn on_streaming(&mut self, id: JobId) {
        if let Some(pending) = self.jobs.get_mut(&id) {
            pending.streaming = true;
        }
    }

    /// Records that an endpoint has started an attempt.
    pub(super) fn on_attempt_start(&mut self, now: Micros, id: JobId, number: usize) {
        let Some(pending) = self.jobs.get_mut(&id) else { return };
        let attempt = pending.attempts.get_mut(number);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight && !attempt.started) else { return };
        attempt.started = true;
        let endpoint = &mut self.endpoints[attempt.endpoint];
        endpoint.queued_attempts -= 1.0;
        endpoint.on_start(now, id, number);
        let estimates = &mut self.estimates;
        estimates.queue_wait += RUNNING_MEAN_WEIGHT * (endpoint.queue_wait - estimates.queue_wait);
        estimates.queue_wait_at = now;
        if self.settings.lacks_load_reports() {
            let kind = &mut estimates.kinds[usize::from(endpoint.listed.kind)];
            kind.slots = kind.slots.max(endpoint.concurrent_runs(now));
        }
    }

    /// Processes the end of an attempt: its job is over or goes on, and a slot may have become free.
    pub(super) fn on_attempt_end(&mut self, now: Micros, end: &AttemptEnd, out: &mut Vec<Action>) {
        let Some(&endpoint) = self.endpoint_index.get(&end.endpoint) else { return };
        self.record_outcome(now, endpoint, end.outcome);
        if self.record_attempt_end(now, endpoint, end) {
            if end.finished {
                self.remove_job(end.job, out);
            } else {
                self.retry_or_answer(now, end.job, end.outcome, out);
            }
        }
        if end.outcome == Outcome::Served {
            self.fill_freed_slot(now, endpoint, out);
        }
    }

    fn record_outcome(&mut self, now: Micros, endpoint: EndpointIndex, outcome: Outcome) {
        match outcome {
            Outcome::Served => self.endpoints[endpoint].consecutive_failures = 0,
            Outcome::Full => self.mark_full(now, endpoint),
            Outcome::Error | Outcome::Unreachable | Outcome::Reset => self.eject(now, endpoint),
            Outcome::NoRetry
            | Outcome::TimedOut
            | Outcome::Cancelled
            | Outcome::NotSent
            | Outcome::Unknown => {}
        }
    }

    /// Updates the estimates from an ended attempt and frees its slots. Returns whether the attempt belonged
    /// to a job that is still pending.
    fn record_attempt_end(&mut self, now: Micros, endpoint: EndpointIndex, end: &AttemptEnd) -> bool {
        let Some(pending) = self.jobs.get_mut(&end.job) else { return false };
        let Some(attempt) = pending.attempts.get_mut(end.attempt) else { return false };
        let is_served = end.outcome == Outcome::Served;
        let estimates = &mut self.estimates;
        if attempt.had_free_slot && is_served {
            estimates.mean_run += RUNNING_MEAN_WEIGHT * (end.latency as f64 - estimates.mean_run);
        }
        attempt.never_ran = end.outcome.never_ran();
        attempt.may_report_late |= end.may_report_late;
        let endpoint = &mut self.endpoints[endpoint];
        if is_served && let Some(run) = endpoint.finished_run(now, end.job, end.attempt) {
            let kind = &mut estimates.kinds[usize::from(endpoint.listed.kind)];
            for service_time in
                [&mut endpoint.service_time, &mut kind.service_time, &mut estimates.service_time]
            {
                service_time.add(run.duration, run.expected_work);
            }
            let mean_work = &mut estimates.mean_work[pending.job.class];
            *mean_work += RUNNING_MEAN_WEIGHT * (run.duration - *mean_work);
        }
        endpoint.release(attempt, end.job, end.attempt, pending.job.slots);
        true
    }
}
