//! Overflow past k: a job is sent to its scheduled endpoint, or to the first endpoint after it in the fixed
//! order whose queue is not past k. Where endpoints can be probed, each is probed when the
//! search reaches it.

use super::endpoint_state::{EndpointIndex, InFlightAttempt};
use super::job_state::{Attempt, PendingJob, Search};
use super::load_estimate::WOULD_BE_LATE_EXCESS;
use super::router::Router;
use super::spread::golden_ratio_point;
use super::timers::Timer;
use super::types::{Action, HoldReason, Idempotency, Job, JobId, Micros};

/// Number of endpoints tried for a job before it takes the best of them.
const MAX_STEPS: usize = 4;
/// Same limit as `MAX_STEPS`, if endpoints report no load, so that trying an endpoint costs nothing.
const MAX_STEPS_WITHOUT_REPORTS: usize = 16;
/// How long a load report counts as fresh in a large fleet, which could not afford a probe for each job.
const REPORT_LIFETIME_LARGE_FLEET: Micros = 1_000_000;
/// A job is not kept past its objective if its class retains less than this fraction of its value for late
/// answers: serving it could make a fresh job late, which then loses all of its value.
const MIN_LATE_VALUE: f64 = 0.5;
/// Number of searches per mean run time for a held job, if endpoints report no load.
const HELD_SEARCHES_PER_RUN: f64 = 4.0;

/// Limits of the search for one job.
#[derive(Clone, Copy, Debug)]
struct SearchLimits {
    /// The job is held if the best endpoint's queue is further past k than this, because it would be late
    /// there.
    max_excess: f64,
    max_steps: usize,
    /// Whether the best endpoint is taken however far its queue is past k.
    accepts_any_excess: bool,
    /// Endpoints whose report is older than this are probed first; `None` means that no endpoint is probed.
    report_lifetime: Option<Micros>,
    /// How long to wait for the result of a probe.
    probe_timeout: Micros,
    /// How long a held job waits before it searches again.
    held_retry_delay: Micros,
}

impl Router {
    /// Accepts a job: schedules its endpoint, and sets the timers for the case that it is not answered.
    pub(super) fn on_job(&mut self, now: Micros, mut job: Job, out: &mut Vec<Action>) {
        job.class = job.class.min(self.settings.classes.len().saturating_sub(1));
        let class = &self.settings.classes[job.class];
        let (idempotency, late_value) = (class.idempotency, class.late_value);
        let objective_at = (now + class.latency_objective) as f64;
        let cycle = self.cycles.iter().position(|cycle| cycle.kind == class.kind).unwrap_or(0);
        let answer_by = job.deadline.saturating_sub(self.settings.quantum);
        self.timers.set(answer_by, Timer::Deadline { job: job.id });
        let next_position = self.next_scheduled(now, cycle);
        let mut pending = PendingJob::new(job, idempotency, now, cycle, next_position);
        // After this time, no endpoint can finish the job within its objective.
        let order = self.cycles[cycle].order.iter();
        let quickest = order.map(|&endpoint| self.service_time(endpoint)).fold(f64::MAX, f64::min);
        let latest_start = self.objective_deadline(&pending) - self.expected_work(&job) * quickest;
        let latest_start = latest_start.max(objective_at) as Micros;
        pending.held_key = if self.settings.lacks_load_reports() { latest_start } else { now };
        if late_value < MIN_LATE_VALUE {
            self.timers.set(latest_start, Timer::ObjectiveMissed { job: job.id });
        }
        self.jobs.insert(job.id, pending);
        self.try_next_endpoint(now, job.id, out);
    }

    /// Continues a job's search from the scheduled endpoint in the fixed order, until a queue is not past k.
    /// The job is sent, or an endpoint is probed for it, or it is held. If a probe is not answered in time,
    /// the search continues with the next endpoint.
    pub(super) fn try_next_endpoint(&mut self, now: Micros, id: JobId, out: &mut Vec<Action>) {
        let Some(pending) = self.jobs.get(&id).filter(|pending| pending.is_waiting) else { return };
        let (cycle, held_key, mut search) = (pending.cycle, pending.held_key, pending.search);
        let limits = self.search_limits(now, pending);
        if self.settings.is_large_fleet() {
            search.steps = search.steps.max(pending.attempts.len());
        }
        let mut remaining = if self.attempts_allowed { self.cycles[cycle].order.len() } else { 0 };
        let mut first_obstacle = None;
        let delay = loop {
            if search.steps >= limits.max_steps || remaining == 0 {
                if let Some(endpoint) = self.best_endpoint(now, id, &search, &limits) {
                    return self.send(now, id, endpoint, out);
                }
                let reason = self.hold_reason(&search, first_obstacle);
                self.hold(id, reason, out);
                search.restart();
                self.held_jobs.insert(held_key, id);
                break limits.held_retry_delay;
            }
            remaining -= 1;
            let endpoint = self.next_endpoint(cycle, remaining, &limits, &mut search);
            let is_probed = self.endpoints[endpoint].probe_in_flight_for.is_some();
            let obstacle = self.send_obstacle(now, id, endpoint).or(is_probed.then_some(HoldReason::Probed));
            if obstacle.is_some() {
                first_obstacle = first_obstacle.or(obstacle);
                continue;
            }
            search.steps += 1;
            if self.needs_probe(now, endpoint, &limits) {
                self.endpoints[endpoint].probe_in_flight_for = Some(id);
                out.push(Action::Probe { endpoint: self.endpoints[endpoint].listed.id });
                break limits.probe_timeout;
            }
            let queue_excess = self.queue_excess(now, endpoint, &self.jobs[&id]);
            if self.is_acceptable(queue_excess) {
                return self.send(now, id, endpoint, out);
            }
            search.consider(endpoint, queue_excess);
        };
        let pending = self.jobs.get_mut(&id).expect("a job that was not sent is pending");
        pending.search = search;
        pending.search_count += 1;
        let search_count = pending.search_count;
        self.timers.set(now + delay, Timer::TryNextEndpoint { job: id, search_count });
    }

    /// Returns why a search that ends here has found no endpoint.
    fn hold_reason(&self, search: &Search, first_obstacle: Option<HoldReason>) -> HoldReason {
        if !self.attempts_allowed {
            HoldReason::ListUnusable
        } else if search.best.is_some() {
            HoldReason::QueueFull
        } else {
            first_obstacle.unwrap_or(HoldReason::NoEndpoint)
        }
    }

    /// Reports to the caller why a job is held, if it was not held before or the reason has changed.
    fn hold(&mut self, id: JobId, reason: HoldReason, out: &mut Vec<Action>) {
        let Some(pending) = self.jobs.get_mut(&id) else { return };
        if pending.reported_hold_reason.replace(reason) != Some(reason) {
            out.push(Action::Hold { job: id, reason });
        }
    }

    /// Returns whether a queue is short enough to end the search there.
    pub(super) fn is_acceptable(&self, queue_excess: f64) -> bool {
        queue_excess <= self.estimates.typical_excess.min(0.0)
    }

    fn search_limits(&self, now: Micros, pending: &PendingJob) -> SearchLimits {
        let class = &self.settings.classes[pending.job.class];
        let lacks_reports = self.settings.lacks_load_reports();
        let large_fleet = self.settings.is_large_fleet();
        let time_left = (pending.arrived_at + class.latency_objective).saturating_sub(now) as f64;
        // In a large fleet, an idempotent job that hits a bad endpoint is simply retried, and its failure
        // exposes the endpoint for the jobs of other classes. Only those probe first.
        let probes = !large_fleet || class.idempotency != Idempotency::Idempotent;
        let probes = probes && self.settings.capabilities.may_probe && self.settings.reports_load;
        let lifetime = if large_fleet { REPORT_LIFETIME_LARGE_FLEET } else { self.settings.quantum };
        let slowest_probe = self.estimates.probe_latency.iter().fold(0.0, |a: f64, &b| a.max(b));
        let mean_run = self.estimates.mean_run;
        SearchLimits {
            max_excess: if lacks_reports { WOULD_BE_LATE_EXCESS } else { time_left },
            max_steps: if lacks_reports { MAX_STEPS_WITHOUT_REPORTS } else { MAX_STEPS },
            accepts_any_excess: large_fleet && !lacks_reports,
            report_lifetime: probes.then_some(lifetime),
            probe_timeout: self.settings.quantum * 2 + slowest_probe as Micros * 2,
            held_retry_delay: if lacks_reports { mean_run / HELD_SEARCHES_PER_RUN } else { mean_run }
                as Micros,
        }
    }

    /// Returns the endpoint of the next step. The second half of the steps goes beyond the subset, so that
    /// jobs are not held when all endpoints of the subset are full or lost.
    fn next_endpoint(
        &mut self,
        cycle: usize,
        remaining: usize,
        limits: &SearchLimits,
        search: &mut Search,
    ) -> EndpointIndex {
        let cycle = &mut self.cycles[cycle];
        let (len, subset_len) = (cycle.order.len(), cycle.subset_len);
        let overflow_len = len - subset_len;
        if overflow_len == 0 || search.steps < limits.max_steps / 2 && remaining >= overflow_len {
            search.next_position += 1;
            return cycle.order[(search.next_position - 1) % subset_len];
        }
        cycle.overflow_position += 1;
        // Each dispatcher starts at a different endpoint, so that dispatchers that lose a zone do not all
        // move on to the same next one.
        let start = golden_ratio_point(f64::from(self.settings.number)) * overflow_len as f64;
        cycle.order[subset_len + (cycle.overflow_position + start as usize) % overflow_len]
    }

    /// Returns whether an endpoint's report is too old to use. An endpoint that is warming up is not probed:
    /// a probe is a call too, which it could not bear.
    fn needs_probe(&self, now: Micros, endpoint: EndpointIndex, limits: &SearchLimits) -> bool {
        let Some(lifetime) = limits.report_lifetime else { return false };
        let endpoint = &self.endpoints[endpoint];
        self.is_warm(now, endpoint) && now > endpoint.report_at + lifetime
    }

    /// Returns the best endpoint of a search, if the job is to be sent there instead of being held. The
    /// endpoint's queue is estimated again, so that jobs that found it at the same time do not all go there.
    fn best_endpoint(
        &self,
        now: Micros,
        id: JobId,
        search: &Search,
        limits: &SearchLimits,
    ) -> Option<EndpointIndex> {
        let endpoint = search.best?.endpoint;
        let is_within_limit = limits.accepts_any_excess
            || self.queue_excess(now, endpoint, &self.jobs[&id]) <= limits.max_excess;
        (is_within_limit && self.may_send(now, id, endpoint)).then_some(endpoint)
    }

    /// Sends the next attempt of a job.
    pub(super) fn send(&mut self, now: Micros, id: JobId, endpoint: EndpointIndex, out: &mut Vec<Action>) {
        let had_free_slot = self.queue_excess(now, endpoint, &self.jobs[&id]) <= 0.0;
        let expected_wait = self.own_wait(now, endpoint).first_free_slot;
        let expected_work = self.expected_work(&self.jobs[&id].job);
        let pending = self.jobs.get_mut(&id).expect("a job that is sent is pending");
        pending.is_waiting = false;
        pending.reported_hold_reason = None;
        self.held_jobs.remove(pending.held_key, id);
        let attempt = pending.attempts.len();
        let endpoint_state = &mut self.endpoints[endpoint];
        let endpoint_started_at = endpoint_state.listed.started_at;
        pending.attempts.push(Attempt::new(endpoint, now, endpoint_started_at, had_free_slot));
        let in_flight = InFlightAttempt {
            job: id,
            attempt,
            sent_at: now,
            started_at: None,
            expected_work,
            expected_wait,
        };
        endpoint_state.on_send(in_flight, pending.job.slots);
        out.push(Action::Send { job: id, endpoint: endpoint_state.listed.id });
        self.set_start_timeout(now, id, attempt);
    }
}
