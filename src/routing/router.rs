//! One dispatcher's router: dispatches events and timers to the decisions. The decisions are in the other
//! files of this module, each of which adds its own `impl` block to [`Router`].

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::cycle::Cycle;
use super::endpoint_state::{EndpointIndex, EndpointState};
use super::held_jobs::HeldJobs;
use super::job_state::PendingJob;
use super::service_time::{KindEstimate, ServiceTime};
use super::timers::{Timer, TimerQueue};
use super::types::{Action, EndpointId, Event, JobId, Micros, Settings};

/// Weight of the newest sample in a running mean, which makes the mean cover about the last twenty samples.
pub(super) const RUNNING_MEAN_WEIGHT: f64 = 0.05;

/// One dispatcher's routing state.
pub struct Router {
    pub(super) settings: Settings,
    pub(super) rng: fastrand::Rng,
    /// Endpoints in the order in which they were first listed. None is ever removed, so indices stay valid.
    pub(super) endpoints: Vec<EndpointState>,
    pub(super) endpoint_index: FxHashMap<EndpointId, EndpointIndex>,
    /// One cycle for each kind of endpoint that a class requires; the first covers all kinds.
    pub(super) cycles: Vec<Cycle>,
    /// The pending jobs.
    pub(super) jobs: FxHashMap<JobId, PendingJob>,
    pub(super) held_jobs: HeldJobs,
    pub(super) timers: TimerQueue,
    pub(super) estimates: Estimates,
    /// Number of consecutive failed calls for the endpoint list.
    pub(super) list_failures: u32,
    /// Until when a list that may be stale is not requested again.
    pub(super) list_refresh_blocked_until: Micros,
    /// Whether attempts may be made with the current list.
    pub(super) attempts_allowed: bool,
}

/// Running estimates over all endpoints.
pub(super) struct Estimates {
    /// Running median of the probe latency by zone; 0 if there is no sample yet.
    pub(super) probe_latency: Vec<f64>,
    /// Running mean of the latency of attempts that were expected to find a free slot.
    pub(super) mean_run: f64,
    /// Running mean of the work of a job by class, used if the client does not say how much it is.
    pub(super) mean_work: Vec<f64>,
    /// Time that a unit of work takes, averaged over all endpoints.
    pub(super) service_time: ServiceTime,
    /// Running mean of the part of an own attempt's wait that is not due to other own attempts.
    pub(super) queue_wait: f64,
    /// When an attempt last started, which is also when `queue_wait` was last measured.
    pub(super) queue_wait_at: Micros,
    /// Running mean of how far the queues of probed endpoints are past k.
    pub(super) typical_excess: f64,
    /// Running mean of the requests that an endpoint holds, divided by its size; 0 if none was reported yet.
    pub(super) held_per_size: f64,
    /// Estimates by kind of endpoint.
    pub(super) kinds: Vec<KindEstimate>,
}

impl Estimates {
    /// Returns the initial estimates. Until a job has run, the latency objectives of the classes stand in
    /// for run times.
    fn new(settings: &Settings) -> Estimates {
        let longest = settings.classes.iter().map(|class| class.latency_objective).max().unwrap_or(0);
        let work_of_class = settings.classes.iter().map(|class| class.latency_objective.max(1) as f64);
        Estimates {
            probe_latency: Vec::new(),
            mean_run: longest.max(1) as f64,
            mean_work: work_of_class.collect(),
            service_time: ServiceTime::default(),
            queue_wait: 0.0,
            queue_wait_at: 0,
            typical_excess: 0.0,
            held_per_size: 0.0,
            kinds: Vec::new(),
        }
    }
}

impl Router {
    /// Creates a router that knows no endpoints yet. All randomness is derived from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let kinds: BTreeSet<_> = settings.classes.iter().map(|class| class.kind).chain([None]).collect();
        Router {
            rng: fastrand::Rng::with_seed(seed),
            endpoints: Vec::new(),
            endpoint_index: FxHashMap::default(),
            cycles: kinds.into_iter().map(Cycle::new).collect(),
            jobs: FxHashMap::default(),
            held_jobs: HeldJobs::default(),
            timers: TimerQueue::new(),
            estimates: Estimates::new(&settings),
            list_failures: 0,
            list_refresh_blocked_until: 0,
            attempts_allowed: true,
            settings,
        }
    }

    /// Replaces the settings after a configuration reload. The classes must stay the same.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.settings = settings;
        self.rebuild_cycles();
    }

    /// Processes one event at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        self.on_event(now, event, out);
        while let Some(timer) = self.timers.pop_expired(now) {
            self.on_timer(now, timer, out);
        }
        if let Some(deadline) = self.timers.new_deadline(now) {
            out.push(Action::WakeAt(deadline));
        }
    }

    fn on_event(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::List(endpoints) => self.on_list(now, endpoints),
            Event::Changes(endpoints) => self.on_list_changes(now, endpoints),
            Event::Cached(endpoints) => self.on_cached_list(now, endpoints),
            Event::ListFailed { is_cheap } => self.on_list_failure(now, is_cheap),
            Event::AttemptsAllowed(allowed) => self.on_attempts_allowed(now, allowed),
            Event::ListWanted => self.on_list_wanted(now),
            Event::Job(job) => self.on_job(now, job, out),
            Event::ClientLeft(job) => self.remove_job(job, out),
            Event::Ended(end) => {
                self.on_report(now, end.endpoint, &end.report);
                self.on_attempt_end(now, &end, out);
            }
            Event::Started { job, attempt } => self.on_attempt_start(now, job, attempt),
            Event::Streaming(job) => self.on_streaming(job),
            Event::Probed { endpoint, answered, latency, report } => {
                self.on_report(now, endpoint, &report);
                self.on_probe_result(now, endpoint, answered.then_some(latency), out);
            }
            Event::Wake => {}
        }
    }

    fn on_timer(&mut self, now: Micros, timer: Timer, out: &mut Vec<Action>) {
        match timer {
            Timer::Subscribe => out.push(Action::Subscribe),
            Timer::TryNextEndpoint { job, search_count } => {
                if self.jobs.get(&job).is_some_and(|pending| pending.search_count == search_count) {
                    self.try_next_endpoint(now, job, out);
                }
            }
            Timer::StartTimeout { job, attempt } => self.on_start_timeout(now, job, attempt, out),
            Timer::Deadline { job } => {
                if self.jobs.get(&job).is_some_and(|pending| !pending.streaming) {
                    self.give_up(job, out);
                }
            }
            Timer::ObjectiveMissed { job } => {
                if self.jobs.get(&job).is_some_and(|pending| pending.is_waiting) {
                    self.give_up(job, out);
                }
            }
        }
    }
}
