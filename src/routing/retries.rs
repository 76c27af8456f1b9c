//! Retries and hedging: whether and where a job may run again, when an attempt that has not started is
//! cancelled in favour of another, and the final answer of a job that is not served.

use super::endpoint_state::{EndpointIndex, EndpointState};
use super::job_state::PendingJob;
use super::router::Router;
use super::timers::Timer;
use super::types::{Action, DeduplicationScope, HoldReason, Idempotency, JobId, Micros, Outcome};

/// Time after which the client of a rejected job is advised to retry; the jobs that wait now will be over by
/// then. Immediate retries would take the slots of jobs that can still be in time.
const RETRY_AFTER: Micros = 2_000_000;
/// Number of attempts of an idempotent job in a large fleet that get a short start timeout, because
/// endpoints that serve many dispatchers are often full.
const SHORT_START_TIMEOUT_ATTEMPTS: usize = 3;
/// A short start timeout is the latency objective divided by this.
const SHORT_START_TIMEOUT_DIVISOR: Micros = 10;

impl Router {
    /// Returns whether a job may not simply be retried if its connection breaks, because it may have run.
    /// Such a job is not sent on a connection that the endpoint may already be closing.
    pub fn is_harmed_by_reset(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|pending| pending.idempotency != Idempotency::Idempotent)
    }

    /// Returns whether a job may be sent to an endpoint now.
    pub(super) fn may_send(&self, now: Micros, id: JobId, index: EndpointIndex) -> bool {
        self.send_obstacle(now, id, index).is_none()
    }

    /// Returns why a job may not be sent to an endpoint now, or `None` if it may.
    pub(super) fn send_obstacle(&self, now: Micros, id: JobId, index: EndpointIndex) -> Option<HoldReason> {
        let endpoint = &self.endpoints[index];
        if let Some(reason) = self.ineligibility(now, endpoint) {
            return Some(reason);
        }
        let pending =
            self.jobs.get(&id).filter(|job| self.cycles[job.cycle].includes_kind(endpoint.listed.kind));
        let Some(pending) = pending else { return Some(HoldReason::NoEndpoint) };
        let may_run =
            !pending.is_excluded(index) && self.retry_allowed(now, pending, pending.attempts.len(), endpoint);
        (!may_run).then_some(HoldReason::RetryForbidden)
    }

    /// Returns whether an attempt may still be written now that its connection is up. Until its first byte
    /// is written it can be withdrawn, and then it never ran.
    pub fn attempt_is_valid(&self, now: Micros, id: JobId, attempt: usize) -> bool {
        let Some(pending) = self.jobs.get(&id) else { return false };
        if now + self.settings.quantum >= pending.job.deadline {
            return false;
        }
        let Some(sent) = pending.attempts.get(attempt).filter(|sent| sent.in_flight) else { return false };
        let endpoint = &self.endpoints[sent.endpoint];
        endpoint.is_ready
            && endpoint.listed.started_at == sent.endpoint_started_at
            && self.retry_allowed(now, pending, attempt, endpoint)
    }

    /// Returns whether a job may run at an endpoint after its first `attempts` attempts.
    fn retry_allowed(
        &self,
        now: Micros,
        pending: &PendingJob,
        attempts: usize,
        endpoint: &EndpointState,
    ) -> bool {
        let possible_run = pending.attempts[..attempts].iter().find(|attempt| !attempt.never_ran);
        let Some(first_run) = possible_run else { return true };
        match pending.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let first = &self.endpoints[first_run.endpoint].listed;
                let shares_keys = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.zone == endpoint.listed.zone,
                    DeduplicationScope::Cell => first.cell == endpoint.listed.cell,
                };
                shares_keys && now < first_run.sent_at + window
            }
        }
    }

    /// Sets the time by which an attempt that is sent now has to start, if cancelling it does no harm.
    pub(super) fn set_start_timeout(&mut self, now: Micros, id: JobId, attempt: usize) {
        let Some(pending) = self.jobs.get(&id) else { return };
        let class = &self.settings.classes[pending.job.class];
        let capabilities = &self.settings.capabilities;
        let cancel_frees = capabilities.may_cancel && capabilities.cancel_frees_slot;
        let is_idempotent = pending.idempotency == Idempotency::Idempotent;
        if !self.settings.reports_start || !cancel_frees || !is_idempotent {
            return;
        }
        let is_short = self.settings.is_large_fleet() && attempt < SHORT_START_TIMEOUT_ATTEMPTS;
        let timeout = class.latency_objective / if is_short { SHORT_START_TIMEOUT_DIVISOR } else { 1 };
        self.timers.set(now + timeout, Timer::StartTimeout { job: id, attempt });
    }

    /// Cancels an attempt that has not started in time, and continues the job's search. Such an attempt is
    /// queued behind others, or its connection or endpoint does not respond; without the timeout it would
    /// wait until the deadline.
    pub(super) fn on_start_timeout(&mut self, now: Micros, id: JobId, number: usize, out: &mut Vec<Action>) {
        let Some(pending) = self.jobs.get_mut(&id).filter(|pending| !pending.streaming) else { return };
        let has_other_endpoints = self.cycles[pending.cycle].order.len() > 1;
        let has_attempts_left = pending.attempts.len() < self.settings.capabilities.max_attempts;
        if !has_other_endpoints || !has_attempts_left {
            return;
        }
        let attempt = pending.attempts.get_mut(number);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight && !attempt.started) else { return };
        self.endpoints[attempt.endpoint].release_after_start_timeout(attempt, id, number, pending.job.slots);
        attempt.may_report_late = true;
        pending.wait_again();
        out.push(Action::Cancel { job: id, attempt: number });
        self.try_next_endpoint(now, id, out);
    }

    /// Continues a job after an attempt has ended without an answer, unless other attempts are in flight.
    pub(super) fn retry_or_answer(
        &mut self,
        now: Micros,
        id: JobId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.jobs.get_mut(&id) else { return };
        if pending.is_waiting || pending.attempts.iter().any(|attempt| attempt.in_flight) {
            return;
        }
        // Otherwise one bad job would be sent to endpoint after endpoint.
        if outcome == Outcome::NoRetry {
            out.push(Action::Fail { job: id });
            return self.remove_job(id, out);
        }
        let must_not_rerun =
            pending.idempotency == Idempotency::NotIdempotent && pending.first_possible_run().is_some();
        let no_attempts_left = pending.attempts.len() >= self.settings.capabilities.max_attempts;
        let no_time_left = now + self.settings.quantum >= pending.job.deadline;
        pending.wait_again();
        if must_not_rerun || no_attempts_left || no_time_left || self.all_endpoints_excluded(id) {
            self.give_up(id, out);
        } else {
            self.try_next_endpoint(now, id, out);
        }
    }

    /// Returns whether earlier attempts keep a job from every endpoint that takes work. Holding it would only
    /// delay its rejection, and a new request of its client may run at any endpoint.
    fn all_endpoints_excluded(&self, id: JobId) -> bool {
        let Some(pending) = self.jobs.get(&id) else { return false };
        let order = &self.cycles[pending.cycle].order;
        !order.is_empty() && order.iter().all(|&endpoint| pending.is_excluded(endpoint))
    }

    /// Ends a job that is not served: with a rejection if its client may safely retry it, else with a
    /// failure.
    pub(super) fn give_up(&mut self, id: JobId, out: &mut Vec<Action>) {
        if !self.jobs.contains_key(&id) {
            return;
        }
        out.push(if self.rejection_is_safe(id) {
            Action::Reject { job: id, retry_after: RETRY_AFTER }
        } else {
            Action::Fail { job: id }
        });
        self.remove_job(id, out);
    }

    /// Returns whether a pending job may be rejected now. The client of a rejected job sends it again, so
    /// it must never have run, or must be one that any endpoint may run again. An attempt in flight may have
    /// run.
    pub fn rejection_is_safe(&self, id: JobId) -> bool {
        let Some(pending) = self.jobs.get(&id) else { return false };
        match pending.idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::NotIdempotent => pending.first_possible_run().is_none(),
        }
    }

    /// Removes a job that is over, and cancels its attempts that are still in flight.
    pub(super) fn remove_job(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(mut pending) = self.jobs.remove(&id) else { return };
        self.held_jobs.remove(pending.held_key, id);
        for (number, attempt) in pending.attempts.iter_mut().enumerate() {
            if !attempt.in_flight {
                continue;
            }
            self.endpoints[attempt.endpoint].release(attempt, id, number, pending.job.slots);
            if self.settings.capabilities.may_cancel {
                out.push(Action::Cancel { job: id, attempt: number });
            }
        }
    }
}
