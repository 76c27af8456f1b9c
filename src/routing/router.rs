//! One dispatcher's router: which decision an event or a timer calls for. The decisions themselves are in the
//! other files of this folder, each of which adds its part to [`Router`].

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::cycle::Cycle;
use super::endpoint_state::{EndpointIndex, EndpointState};
use super::held_jobs::HeldJobs;
use super::job_state::PendingJob;
use super::service_time::{KindEstimate, ServiceTime};
use super::timers::{Timer, TimerQueue};
use super::types::{Action, EndpointId, Event, JobId, Micros, Settings};

/// Weight of the newest sample in a running mean: some twenty samples are remembered.
pub(super) const RUNNING_MEAN_WEIGHT: f64 = 0.05;

/// One dispatcher.
pub struct Router {
    pub(super) settings: Settings,
    pub(super) rng: fastrand::Rng,
    /// Endpoints in the order they were first listed; none is ever removed.
    pub(super) endpoints: Vec<EndpointState>,
    pub(super) endpoint_index: FxHashMap<EndpointId, EndpointIndex>,
    /// The first is over endpoints of all kinds.
    pub(super) cycles: Vec<Cycle>,
    /// The jobs that are not over.
    pub(super) jobs: FxHashMap<JobId, PendingJob>,
    pub(super) held_jobs: HeldJobs,
    pub(super) timers: TimerQueue,
    pub(super) estimates: Estimates,
    /// Calls for the endpoint list that have failed since the last that did not.
    pub(super) list_failures: u32,
    /// Until when the list is not asked for again though it seems to be old.
    pub(super) list_refresh_blocked_until: Micros,
    /// Whether attempts may be made by the list that is held.
    pub(super) attempts_allowed: bool,
}

/// Running estimates over all endpoints.
pub(super) struct Estimates {
    /// Running median of how long a probe takes, by zone; 0: none yet.
    pub(super) probe_latency: Vec<f64>,
    /// Running mean of how long a job runs: of attempts that met a free slot.
    pub(super) mean_run: f64,
    /// Running mean of the work of a job by class, where clients do not say what it is.
    pub(super) mean_work: Vec<f64>,
    /// How long a unit of work takes at any endpoint.
    pub(super) service_time: ServiceTime,
    /// Running mean of the wait of own attempts that was not for other own attempts.
    pub(super) queue_wait: f64,
    /// When an attempt last started, which is when `queue_wait` was last measured.
    pub(super) queue_wait_at: Micros,
    /// Running mean of how far probed endpoints are past k.
    pub(super) typical_excess: f64,
    /// Running mean of the requests that an endpoint holds, divided by its size; 0: none reported yet.
    pub(super) held_per_size: f64,
    /// By kind of endpoint.
    pub(super) kinds: Vec<KindEstimate>,
}

impl Estimates {
    /// Until a job has run, the objectives of the classes stand for how long jobs take.
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
    /// A dispatcher that knows no endpoints yet. All its randomness comes from `seed`.
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

    /// Takes over settings that were read again. The classes must be the same ones.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.settings = settings;
        self.rebuild_cycles();
    }

    /// Takes one event at time `now` and adds what follows from it to `out`.
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
            Event::ClientLeft(job) => self.forget_job(job, out),
            Event::Ended(end) => {
                self.on_report(now, end.endpoint, &end.report);
                self.on_attempt_end(now, &end, out);
            }
            Event::Started { job, attempt } => self.on_attempt_start(now, job, attempt),
            Event::Streaming(job) => self.on_streaming(job),
            Event::Probed { endpoint, answered, latency, report } => {
                self.on_report(now, endpoint, &report);
                self.on_health_check(now, endpoint, answered.then_some(latency), out);
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
