//! Service time and waits: how long a unit of work takes at an endpoint, how much work a job is, and how
//! long a job waits before it starts.

use serde::{Deserialize, Serialize};

use super::endpoint_state::EndpointIndex;
use super::job_state::PendingJob;
use super::router::Router;
use super::types::{Job, Micros};
use super::warm_state::is_figure;

/// What of older runs still counts at each new one: some twenty are remembered, so that a machine that has
/// slowed down shows.
const RUN_RETENTION: f64 = 0.95;
/// Runs of average work that the estimate of a more general group counts for beside an endpoint's own: of all
/// endpoints beside speed 1, of all beside a kind's, and of the kind beside the endpoint's.
const PRIOR_RUNS_OF_SPEED_1: f64 = 1.0;
const PRIOR_RUNS_OF_ALL: f64 = 2.0;
const PRIOR_RUNS_OF_KIND: f64 = 3.0;
/// No machine is so unlike speed 1 that a unit of work takes it less or more than this: hints of clients that
/// seem to be so are in another unit.
const MIN_SERVICE_TIME: f64 = 0.4;
const MAX_SERVICE_TIME: f64 = 2.5;
/// Least part of an expected run that a running attempt is taken to have left, however long it has run.
const MIN_REMAINING_SHARE: f64 = 0.2;
/// Most slots of an endpoint that waits are estimated for; bounds the work for each estimate.
const MAX_ESTIMATED_SLOTS: usize = 16;

/// How long runs took, against the work that they were expected to be; both fade.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct ServiceTime {
    run: f64,
    work: f64,
}

impl ServiceTime {
    /// Whether it can come of runs.
    pub(super) fn is_valid(&self) -> bool {
        is_figure(self.run) && is_figure(self.work)
    }

    /// Takes in one run.
    pub(super) fn add(&mut self, run: f64, work: f64) {
        self.run = self.run * RUN_RETENTION + run;
        self.work = self.work * RUN_RETENTION + work;
    }

    /// Time that a unit of work takes, where so much work at the prior's service time counts as seen beside
    /// it.
    pub(super) fn with_prior(&self, prior: f64, work: f64) -> f64 {
        (self.run + prior * work) / (self.work + work).max(f64::MIN_POSITIVE)
    }
}

/// What is known of the endpoints of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct KindEstimate {
    /// Slots of each, as far as reports have shown, or own jobs that ran at once.
    pub(super) slots: f64,
    pub(super) service_time: ServiceTime,
    /// Where sizes are live: the nominal size, and sums of what endpoints held, in all and for each core.
    nominal_size: f64,
    held: f64,
    held_per_core: f64,
}

impl KindEstimate {
    /// Whether it can come of reports and runs.
    pub(super) fn is_valid(&self) -> bool {
        let figures = [self.slots, self.nominal_size, self.held, self.held_per_core];
        figures.into_iter().all(is_figure) && self.service_time.is_valid()
    }

    /// Takes in a live size: the nominal one over 1 + requests held for each core. The highest seen is
    /// nominal, and beside a report of what the endpoint holds it shows its cores. Returns the nominal size.
    pub(super) fn on_live_size(&mut self, size: f64, held: Option<f64>) -> f64 {
        self.nominal_size = self.nominal_size.max(size);
        if let Some(held) = held.filter(|&held| held >= 1.0) {
            self.held += held;
            self.held_per_core += self.nominal_size / size - 1.0;
            let is_measured = self.held_per_core > 1.0;
            self.slots = if is_measured { (self.held / self.held_per_core).max(1.0) } else { 0.0 };
        }
        self.nominal_size
    }
}

/// How long own attempts at an endpoint keep a job waiting that is sent now.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnWait {
    /// Until the first slot is free.
    pub(super) first_free_slot: f64,
    /// Until a slot is free, on average over all.
    pub(super) mean: f64,
}

impl Router {
    /// The work that a job is, as far as is known.
    pub(super) fn expected_work(&self, job: &Job) -> f64 {
        job.work.map_or(self.estimates.mean_work[job.class], |work| work as f64)
    }

    /// Time that an endpoint takes for a unit of work: as its kind does until its own runs show otherwise.
    pub(super) fn service_time(&self, endpoint: EndpointIndex) -> f64 {
        let endpoint = &self.endpoints[endpoint];
        let kind = &self.estimates.kinds[usize::from(endpoint.listed.kind)];
        let mean_run = self.estimates.mean_run;
        let of_all = self.service_time_of_all();
        let of_kind = kind.service_time.with_prior(of_all, mean_run * PRIOR_RUNS_OF_ALL);
        endpoint.service_time.with_prior(of_kind, mean_run * PRIOR_RUNS_OF_KIND)
    }

    fn service_time_of_all(&self) -> f64 {
        self.estimates.service_time.with_prior(1.0, self.estimates.mean_run * PRIOR_RUNS_OF_SPEED_1)
    }

    /// By when a job is wanted: it may wait for its class's objective, and run for a multiple of its own
    /// work. Guards against hints of work in another unit.
    pub(super) fn objective_deadline(&self, pending: &PendingJob) -> f64 {
        let class = &self.settings.classes[pending.job.class];
        let service_time = self.service_time_of_all();
        let stretch = class.stretch * service_time / service_time.clamp(MIN_SERVICE_TIME, MAX_SERVICE_TIME);
        let objective_at = (pending.arrived_at + class.latency_objective) as f64;
        objective_at + stretch * self.expected_work(&pending.job)
    }

    /// How long own attempts at an endpoint keep a job waiting that is sent now: they take its slots in
    /// order.
    pub(super) fn own_wait(&self, now: Micros, endpoint: EndpointIndex) -> OwnWait {
        let service_time = self.service_time(endpoint);
        let endpoint = &self.endpoints[endpoint];
        let kind = &self.estimates.kinds[usize::from(endpoint.listed.kind)];
        let mut free_after = [0.0_f64; MAX_ESTIMATED_SLOTS];
        let slots = (kind.slots as usize).clamp(1, MAX_ESTIMATED_SLOTS);
        let first_free = |free_after: &[f64]| {
            (0..slots).min_by(|&a, &b| free_after[a].total_cmp(&free_after[b])).unwrap_or(0)
        };
        for attempt in &endpoint.in_flight {
            let has_run = attempt.started_at.map_or(0, |started_at| now - started_at) as f64;
            let expected_run = attempt.expected_work * service_time;
            free_after[first_free(&free_after)] +=
                (expected_run - has_run).max(expected_run * MIN_REMAINING_SHARE);
        }
        OwnWait {
            first_free_slot: free_after[first_free(&free_after)],
            mean: free_after.iter().sum::<f64>() / slots as f64,
        }
    }

    /// How long others' jobs at an endpoint keep one waiting: as last measured there, which fades to the
    /// mean, or as an own attempt that has not started shows. The mean fades while no start is reported:
    /// guards against rejecting all for a wait that is over.
    pub(super) fn queue_wait(&self, now: Micros, endpoint: EndpointIndex) -> f64 {
        let endpoint = &self.endpoints[endpoint];
        let fading = |since: Micros| (-((now - since) as f64) / self.estimates.mean_run).exp();
        let unstarted = endpoint.in_flight.iter().find(|attempt| attempt.started_at.is_none());
        let overdue = unstarted.map_or(0.0, |attempt| (now - attempt.sent_at) as f64 - attempt.expected_wait);
        let mean = self.estimates.queue_wait * fading(self.estimates.queue_wait_at);
        (mean + (endpoint.queue_wait - mean) * fading(endpoint.queue_wait_at)).max(overdue)
    }
}
