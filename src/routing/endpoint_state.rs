//! State kept for one endpoint. The decisions based on it are in the other files.

use super::job_state::Attempt;
use super::service_time::ServiceTime;
use super::types::{Endpoint, JobId, LoadReport, Micros};

/// Index of an endpoint in [`super::Router`]'s list; it never changes.
pub(super) type EndpointIndex = usize;

/// When an attempt starts, other attempts that started less than this ago are not counted as running at the
/// same time: the report of a start may arrive before the report of the end that freed its slot.
const START_REORDER_WINDOW: Micros = 20_000;

/// One of this dispatcher's own attempts at an endpoint that has not ended, as far as is known.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    pub(super) job: JobId,
    pub(super) attempt: usize,
    pub(super) sent_at: Micros,
    /// When the endpoint started it; `None` if no start was reported.
    pub(super) started_at: Option<Micros>,
    /// Work that the attempt was expected to be.
    pub(super) expected_work: f64,
    /// How long the attempt was expected to wait for other own attempts when it was sent.
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

/// State of one endpoint.
#[derive(Debug, Default)]
pub(super) struct EndpointState {
    /// The endpoint's list entry; its size determines the endpoint's share of turns.
    pub(super) listed: Endpoint,
    pub(super) is_ready: bool,
    /// Slow-start tokens: the number of jobs that may be sent while the endpoint warms up.
    pub(super) slow_start_tokens: f64,
    /// The job for which a probe is in flight.
    pub(super) probe_in_flight_for: Option<JobId>,
    pub(super) report: LoadReport,
    pub(super) report_at: Micros,
    /// Slots taken by own attempts less those given back since the report last changed, which the report
    /// does not show yet.
    pub(super) slots_since_report: f64,
    /// Number of own attempts that have not ended, or that have not started if starts are reported.
    pub(super) queued_attempts: f64,
    /// Number of slots that own attempts are known to hold.
    pub(super) reserved_slots: f64,
    /// Latency of the last probe, as a multiple of the median of the endpoint's zone.
    pub(super) latency_ratio: f64,
    /// Own attempts that have not ended, in the order in which they were sent.
    pub(super) in_flight: Vec<InFlightAttempt>,
    pub(super) service_time: ServiceTime,
    /// The part of an own attempt's wait that was not due to other own attempts, as last measured, and when.
    pub(super) queue_wait: f64,
    pub(super) queue_wait_at: Micros,
    /// Number of failures since the last success.
    pub(super) consecutive_failures: u32,
    /// Until when the endpoint is ejected.
    pub(super) ejected_until: Micros,
}

impl EndpointState {
    /// Creates the state of a newly listed endpoint.
    pub(super) fn new(listed: Endpoint, slow_start_tokens: f64) -> EndpointState {
        EndpointState { listed, slow_start_tokens, latency_ratio: 1.0, ..EndpointState::default() }
    }

    /// Records an attempt sent to this endpoint, for a job that occupies `slots`.
    pub(super) fn on_send(&mut self, attempt: InFlightAttempt, slots: f64) {
        self.in_flight.push(attempt);
        self.queued_attempts += 1.0;
        self.slots_since_report += slots.max(1.0);
        self.reserved_slots += slots.max(1.0);
        self.slow_start_tokens -= 1.0;
    }

    /// Frees the slots and the in-flight entry of an attempt that is over or whose result is no longer
    /// needed.
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

    /// Releases an attempt that is cancelled because it did not start in time. This costs a second
    /// slow-start token: an endpoint that is warming up had more jobs than it could start.
    pub(super) fn release_after_start_timeout(
        &mut self,
        attempt: &mut Attempt,
        job: JobId,
        number: usize,
        slots: f64,
    ) {
        self.release(attempt, job, number, slots);
        self.slow_start_tokens -= 1.0;
    }

    /// Records the start of an attempt and measures how long it waited beyond the wait for other own
    /// attempts.
    pub(super) fn on_start(&mut self, now: Micros, job: JobId, number: usize) {
        if let Some(attempt) = self.in_flight.iter_mut().find(|attempt| attempt.is(job, number)) {
            attempt.started_at = Some(now);
            self.queue_wait = ((now - attempt.sent_at) as f64 - attempt.expected_wait).max(0.0);
            self.queue_wait_at = now;
        }
    }

    /// Returns how many own attempts run at the same time, including the one that has just started.
    pub(super) fn concurrent_runs(&self, now: Micros) -> f64 {
        let is_past_reorder_window = |started_at: Micros| now > started_at + START_REORDER_WINDOW;
        let others =
            self.in_flight.iter().filter(|attempt| attempt.started_at.is_some_and(is_past_reorder_window));
        others.count() as f64 + 1.0
    }

    /// Returns how long an attempt has run and its expected work, or `None` if no start was reported.
    pub(super) fn finished_run(&self, now: Micros, job: JobId, number: usize) -> Option<FinishedRun> {
        let attempt = self.in_flight.iter().find(|attempt| attempt.is(job, number))?;
        let duration = (now - attempt.started_at?) as f64;
        Some(FinishedRun { duration, expected_work: attempt.expected_work })
    }
}
