//! Overflow past k: a job is sent to its scheduled endpoint, or to the first after it in fixed order whose
//! queue is not past k. Where endpoints can be probed each is asked at its turn.

use super::endpoint_state::{EndpointIndex, InFlightAttempt};
use super::job_state::{Attempt, PendingJob, Search};
use super::load_estimate::WOULD_BE_LATE_EXCESS;
use super::router::Router;
use super::spread::golden_section_point;
use super::timers::Timer;
use super::types::{Action, HoldReason, Idempotency, Job, JobId, Micros};

/// Endpoints tried for one job before it takes the best of them.
const MAX_STEPS: usize = 4;
/// The same where endpoints report nothing, so that trying one costs nothing.
const MAX_STEPS_WITHOUT_REPORTS: usize = 16;
/// How long a report counts as fresh in a large fleet, which could not bear a probe for each job.
const REPORT_LIFETIME_LARGE_FLEET: Micros = 1_000_000;
/// A job whose class has less than this part of its value left when it is late is not kept waiting past its
/// objective: it may cost a fresh one all of its value.
const MIN_LATE_VALUE: f64 = 0.5;
/// A held job of a fleet without reports searches again after this part of a mean run.
const SEARCHES_PER_RUN: f64 = 4.0;

/// What bounds the search for one job.
#[derive(Clone, Copy, Debug)]
struct SearchLimits {
    /// The job is held if the best endpoint's queue is further past k: it would wait there until it is late.
    max_excess: f64,
    max_steps: usize,
    /// The best endpoint is taken however far its queue is past k.
    takes_any_best: bool,
    /// Endpoints whose report is older than this are probed first, if any are.
    report_lifetime: Option<Micros>,
    /// How long the answer of a probe is waited for.
    probe_timeout: Micros,
    /// How long a job is held before it searches again.
    held_retry_delay: Micros,
}

impl Router {
    /// Takes in a job: schedules its endpoint and what is done where it stays without an answer.
    pub(super) fn on_job(&mut self, now: Micros, mut job: Job, out: &mut Vec<Action>) {
        job.class = job.class.min(self.settings.classes.len().saturating_sub(1));
        let class = &self.settings.classes[job.class];
        let late_value = class.late_value;
        let objective_at = (now + class.latency_objective) as f64;
        let cycle = self.cycles.iter().position(|cycle| cycle.kind == class.kind).unwrap_or(0);
        let answer_by = job.deadline.saturating_sub(self.settings.quantum);
        self.timers.set(answer_by, Timer::Deadline { job: job.id });
        let next_position = self.next_scheduled(now, cycle);
        let mut pending = PendingJob::new(job, now, cycle, next_position);
        // By then no endpoint does it in time any more.
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

    /// Searches on from the scheduled endpoint in fixed order until a queue is not past k. The job is sent,
    /// or an endpoint is probed for it, or it is held; without an answer in good time it searches on as
    /// well.
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
            let is_probed = self.endpoints[endpoint].health_check_in_flight.is_some();
            let obstacle = self.send_obstacle(now, id, endpoint).or(is_probed.then_some(HoldReason::Probed));
            if obstacle.is_some() {
                first_obstacle = first_obstacle.or(obstacle);
                continue;
            }
            search.steps += 1;
            if self.needs_probe(now, endpoint, &limits) {
                self.endpoints[endpoint].health_check_in_flight = Some(id);
                out.push(Action::Probe { endpoint: self.endpoints[endpoint].listed.id });
                break limits.probe_timeout;
            }
            let queue_excess = self.queue_excess(now, endpoint, &self.jobs[&id]);
            if self.is_acceptable(queue_excess) {
                return self.send(now, id, endpoint, out);
            }
            search.offer(endpoint, queue_excess);
        };
        let pending = self.jobs.get_mut(&id).expect("a job that was not sent waits");
        pending.search = search;
        pending.search_count += 1;
        let search_count = pending.search_count;
        self.timers.set(now + delay, Timer::TryNextEndpoint { job: id, search_count });
    }

    /// Why a search that ends here has found no endpoint.
    fn hold_reason(&self, search: &Search, first_obstacle: Option<HoldReason>) -> HoldReason {
        if !self.attempts_allowed {
            HoldReason::ListUnusable
        } else if search.best.is_some() {
            HoldReason::QueueFull
        } else {
            first_obstacle.unwrap_or(HoldReason::NoEndpoint)
        }
    }

    /// Tells the caller why a job is held, where it was not or for another reason.
    fn hold(&mut self, id: JobId, reason: HoldReason, out: &mut Vec<Action>) {
        let Some(pending) = self.jobs.get_mut(&id) else { return };
        if pending.held_for.replace(reason) != Some(reason) {
            out.push(Action::Hold { job: id, reason });
        }
    }

    /// Whether a queue is so little past k that the search ends there.
    pub(super) fn is_acceptable(&self, queue_excess: f64) -> bool {
        queue_excess <= self.estimates.typical_excess.min(0.0)
    }

    fn search_limits(&self, now: Micros, pending: &PendingJob) -> SearchLimits {
        let class = &self.settings.classes[pending.job.class];
        let lacks_reports = self.settings.lacks_load_reports();
        let large_fleet = self.settings.is_large_fleet();
        let time_left = (pending.arrived_at + class.latency_objective).saturating_sub(now) as f64;
        // In a large fleet an idempotent job that meets a bad endpoint goes on, and that shows it to the
        // others: only jobs of other classes probe first.
        let probes = !large_fleet || class.idempotency != Idempotency::Idempotent;
        let probes = probes && self.settings.capabilities.may_probe && self.settings.reports_load;
        let lifetime = if large_fleet { REPORT_LIFETIME_LARGE_FLEET } else { self.settings.quantum };
        let slowest_probe = self.estimates.probe_latency.iter().fold(0.0, |a: f64, &b| a.max(b));
        let mean_run = self.estimates.mean_run;
        SearchLimits {
            max_excess: if lacks_reports { WOULD_BE_LATE_EXCESS } else { time_left },
            max_steps: if lacks_reports { MAX_STEPS_WITHOUT_REPORTS } else { MAX_STEPS },
            takes_any_best: large_fleet && !lacks_reports,
            report_lifetime: probes.then_some(lifetime),
            probe_timeout: self.settings.quantum * 2 + slowest_probe as Micros * 2,
            held_retry_delay: if lacks_reports { mean_run / SEARCHES_PER_RUN } else { mean_run } as Micros,
        }
    }

    /// The endpoint of the next step. Half of the steps look beyond the subset, so that one whose endpoints
    /// are all full or lost does not hold its jobs.
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
        // Each dispatcher starts elsewhere, so that not all that lose a zone go on to the same next one.
        let start = golden_section_point(f64::from(self.settings.number)) * overflow_len as f64;
        cycle.order[subset_len + (cycle.overflow_position + start as usize) % overflow_len]
    }

    /// Whether an endpoint's report is too old to go by. A probe is a call too, which one that warms up could
    /// not bear.
    fn needs_probe(&self, now: Micros, endpoint: EndpointIndex, limits: &SearchLimits) -> bool {
        let Some(lifetime) = limits.report_lifetime else { return false };
        let endpoint = &self.endpoints[endpoint];
        self.is_warm(now, endpoint) && now > endpoint.report_at + lifetime
    }

    /// The best endpoint of a search, if the job is to be sent there rather than held. Its queue is estimated
    /// anew, so that jobs that met it together do not all settle there.
    fn best_endpoint(
        &self,
        now: Micros,
        id: JobId,
        search: &Search,
        limits: &SearchLimits,
    ) -> Option<EndpointIndex> {
        let endpoint = search.best?.endpoint;
        let is_near_enough =
            limits.takes_any_best || self.queue_excess(now, endpoint, &self.jobs[&id]) <= limits.max_excess;
        (is_near_enough && self.may_send(now, id, endpoint)).then_some(endpoint)
    }

    /// Sends the next attempt of a job.
    pub(super) fn send(&mut self, now: Micros, id: JobId, endpoint: EndpointIndex, out: &mut Vec<Action>) {
        let met_free_slot = self.queue_excess(now, endpoint, &self.jobs[&id]) <= 0.0;
        let expected_wait = self.own_wait(now, endpoint).first_free_slot;
        let expected_work = self.expected_work(&self.jobs[&id].job);
        let pending = self.jobs.get_mut(&id).expect("a job that is sent was waiting");
        pending.is_waiting = false;
        pending.held_for = None;
        self.held_jobs.remove(pending.held_key, id);
        let attempt = pending.attempts.len();
        let endpoint_state = &mut self.endpoints[endpoint];
        let endpoint_started_at = endpoint_state.listed.started_at;
        pending.attempts.push(Attempt::new(endpoint, now, endpoint_started_at, met_free_slot));
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
        let class = pending.job.class;
        self.set_start_timeout(now, id, class, attempt);
    }
}
