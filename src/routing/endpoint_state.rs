//! What is remembered of one endpoint. What follows from it is decided in the other files.

use super::job_state::Attempt;
use super::service_time::ServiceTime;
use super::types::{Endpoint, JobId, LoadReport, Micros};

/// The place of an endpoint in [`super::Router`]'s list; it never changes.
pub(super) type EndpointIndex = usize;

/// Attempts that have run beside each other for less than this are not counted as running at once: news of a
/// start may come before those of the end that freed its slot.
const START_REORDER_WINDOW: Micros = 20_000;

/// An own attempt at an endpoint that has not ended, as far as is known.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    pub(super) job: JobId,
    pub(super) attempt: usize,
    pub(super) sent_at: Micros,
    /// Since when it runs.
    pub(super) started_at: Option<Micros>,
    /// Work that it was expected to be.
    pub(super) expected_work: f64,
    /// How long it was expected to wait for own attempts, as it was sent.
    pub(super) expected_wait: f64,
}

impl InFlightAttempt {
    fn is(&self, job: JobId, attempt: usize) -> bool {
        (self.job, self.attempt) == (job, attempt)
    }
}

/// A run that has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct FinishedRun {
    pub(super) duration: f64,
    pub(super) expected_work: f64,
}

/// An endpoint.
#[derive(Debug, Default)]
pub(super) struct EndpointState {
    /// Its line of the list; the size is the one that its turns are in proportion to.
    pub(super) listed: Endpoint,
    pub(super) is_ready: bool,
    /// What it may be sent while it warms up, in jobs.
    pub(super) slow_start_tokens: f64,
    /// The job for which a probe is in flight.
    pub(super) health_check_in_flight: Option<JobId>,
    pub(super) report: LoadReport,
    pub(super) report_at: Micros,
    /// Slots that own attempts took, less those that they gave back, since the report last changed: what it
    /// does not show yet.
    pub(super) slots_since_report: f64,
    /// Own attempts there that have not ended, nor started where starts are reported.
    pub(super) queued_attempts: f64,
    /// Slots that own attempts hold there, as far as is known of them.
    pub(super) reserved_slots: f64,
    /// How long its last probe took, as a multiple of the median of its zone.
    pub(super) latency_ratio: f64,
    /// Own attempts there, in the order they were sent.
    pub(super) in_flight: Vec<InFlightAttempt>,
    pub(super) service_time: ServiceTime,
    /// Wait of an own attempt that was not for other own attempts, as last measured, and when.
    pub(super) queue_wait: f64,
    pub(super) queue_wait_at: Micros,
    /// Failures since the last success.
    pub(super) consecutive_failures: u32,
    /// Until when failures cost it its turns.
    pub(super) ejected_until: Micros,
}

impl EndpointState {
    /// One that is met for the first time.
    pub(super) fn new(listed: Endpoint, slow_start_tokens: f64) -> EndpointState {
        EndpointState { listed, slow_start_tokens, latency_ratio: 1.0, ..EndpointState::default() }
    }

    /// An attempt is sent here, for a job that takes `slots`.
    pub(super) fn on_send(&mut self, attempt: InFlightAttempt, slots: f64) {
        self.in_flight.push(attempt);
        self.queued_attempts += 1.0;
        self.slots_since_report += slots.max(1.0);
        self.reserved_slots += slots.max(1.0);
        self.slow_start_tokens -= 1.0;
    }

    /// An attempt is over, or nobody waits for it any more.
    pub(super) fn release(&mut self, attempt: &mut Attempt, job: JobId, number: usize, slots: f64) {
        if !attempt.in_flight {
            return;
        }
        attempt.in_flight = false;
        self.in_flight.retain(|other| !other.is(job, number));
        self.queued_attempts -= f64::from(u8::from(!attempt.started));
        self.slots_since_report -= slots.max(1.0);
        self.reserved_slots -= slots.max(1.0);
    }

    /// An attempt that did not start in time is cancelled. An endpoint that warms up has to save for its next
    /// one twice: it had more than it could start.
    pub(super) fn release_unstarted(&mut self, attempt: &mut Attempt, job: JobId, number: usize, slots: f64) {
        self.release(attempt, job, number, slots);
        self.slow_start_tokens -= 1.0;
    }

    /// An attempt has started: measures how much longer it waited than for own attempts.
    pub(super) fn on_start(&mut self, now: Micros, job: JobId, number: usize) {
        if let Some(attempt) = self.in_flight.iter_mut().find(|attempt| attempt.is(job, number)) {
            attempt.started_at = Some(now);
            self.queue_wait = ((now - attempt.sent_at) as f64 - attempt.expected_wait).max(0.0);
            self.queue_wait_at = now;
        }
    }

    /// How many own attempts run side by side, with the one that has just started.
    pub(super) fn concurrent_runs(&self, now: Micros) -> f64 {
        let runs_for_long = |started_at: Micros| now > started_at + START_REORDER_WINDOW;
        let others = self.in_flight.iter().filter(|attempt| attempt.started_at.is_some_and(runs_for_long));
        others.count() as f64 + 1.0
    }

    /// How long an attempt has run, if it has started, and the work that it was expected to be.
    pub(super) fn finished_run(&self, now: Micros, job: JobId, number: usize) -> Option<FinishedRun> {
        let attempt = self.in_flight.iter().find(|attempt| attempt.is(job, number))?;
        let duration = (now - attempt.started_at?) as f64;
        Some(FinishedRun { duration, expected_work: attempt.expected_work })
    }
}
