//! Service times and waits: how long an endpoint takes for a unit of work, how much work a job is, and how
//! long a job waits before it starts.

use serde::{Deserialize, Serialize};

use super::endpoint_state::EndpointIndex;
use super::job_state::PendingJob;
use super::router::Router;
use super::types::{Job, Micros};
use super::warm_state::is_plausible_value;

/// Factor by which the weight of earlier runs shrinks with each new run. About twenty runs count, so that a
/// machine that has become slower shows.
const RUN_RETENTION: f64 = 0.95;
/// Weight of each prior, in runs of average work: the prior of speed 1 in the estimate of all endpoints,
/// that of all endpoints in the estimate of a kind, and that of the kind in the estimate of an endpoint.
const PRIOR_RUNS_OF_SPEED_1: f64 = 1.0;
const PRIOR_RUNS_OF_ALL: f64 = 2.0;
const PRIOR_RUNS_OF_KIND: f64 = 3.0;
/// Plausible range of the time for a unit of work, relative to speed 1. A value outside of it means that the
/// clients' work hints are in another unit.
const MIN_SERVICE_TIME: f64 = 0.4;
const MAX_SERVICE_TIME: f64 = 2.5;
/// Minimum fraction of the expected run that a running attempt is assumed to have left, however long it has
/// run.
const MIN_REMAINING_SHARE: f64 = 0.2;
/// Maximum number of slots for which waits are estimated; bounds the cost of each estimate.
const MAX_ESTIMATED_SLOTS: usize = 16;

/// Sum of run times and sum of the expected work of the same runs, both with decaying weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct ServiceTime {
    run: f64,
    work: f64,
}

impl ServiceTime {
    /// Returns whether the values can result from runs.
    pub(super) fn is_valid(&self) -> bool {
        is_plausible_value(self.run) && is_plausible_value(self.work)
    }

    /// Adds one run.
    pub(super) fn add(&mut self, run: f64, work: f64) {
        self.run = self.run * RUN_RETENTION + run;
        self.work = self.work * RUN_RETENTION + work;
    }

    /// Returns the time for a unit of work. The prior counts as if `work` had been seen at its service time.
    pub(super) fn with_prior(&self, prior: f64, work: f64) -> f64 {
        (self.run + prior * work) / (self.work + work).max(f64::MIN_POSITIVE)
    }
}

/// Estimates for the endpoints of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct KindEstimate {
    /// Number of slots of each endpoint, as far as reports or concurrent own attempts have shown.
    pub(super) slots: f64,
    pub(super) service_time: ServiceTime,
    /// If sizes are live: the nominal size, and sums of the requests held, in total and per core.
    nominal_size: f64,
    held: f64,
    held_per_core: f64,
}

impl KindEstimate {
    /// Returns whether the values can result from reports and runs.
    pub(super) fn is_valid(&self) -> bool {
        let values = [self.slots, self.nominal_size, self.held, self.held_per_core];
        values.into_iter().all(is_plausible_value) && self.service_time.is_valid()
    }

    /// Adds a live size, which is the nominal size divided by 1 + requests held per core. The largest size
    /// seen counts as nominal; with a report of the requests held, the live size shows the number of cores.
    /// Returns the nominal size.
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

/// How long a job that is sent now waits for own attempts at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnWait {
    /// Time until the first slot is free.
    pub(super) first_free_slot: f64,
    /// Time until a slot is free, averaged over all slots.
    pub(super) mean: f64,
}

impl Router {
    /// Returns the expected work of a job: the client's hint, or the mean of the class.
    pub(super) fn expected_work(&self, job: &Job) -> f64 {
        job.work.map_or(self.estimates.mean_work[job.class], |work| work as f64)
    }

    /// Returns the time that an endpoint takes for a unit of work. Until its own runs show otherwise, this
    /// is the estimate for its kind.
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

    /// Returns the time by which a job should be finished: it may wait for the latency objective of its
    /// class, and run for a multiple of its own work. Corrects for work hints that are in another unit.
    pub(super) fn objective_deadline(&self, pending: &PendingJob) -> f64 {
        let class = &self.settings.classes[pending.job.class];
        let service_time = self.service_time_of_all();
        let stretch = class.stretch * service_time / service_time.clamp(MIN_SERVICE_TIME, MAX_SERVICE_TIME);
        let objective_at = (pending.arrived_at + class.latency_objective) as f64;
        objective_at + stretch * self.expected_work(&pending.job)
    }

    /// Returns how long a job that is sent now waits for own attempts at an endpoint, which use its slots in
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
            let elapsed = attempt.started_at.map_or(0, |started_at| now - started_at) as f64;
            let expected_run = attempt.expected_work * service_time;
            free_after[first_free(&free_after)] +=
                (expected_run - elapsed).max(expected_run * MIN_REMAINING_SHARE);
        }
        OwnWait {
            first_free_slot: free_after[first_free(&free_after)],
            mean: free_after.iter().sum::<f64>() / slots as f64,
        }
    }

    /// Returns how long jobs of other dispatchers delay a job at an endpoint. This is the wait last measured
    /// there, which decays to the mean over all endpoints, or more if an own attempt is overdue to start.
    /// The mean decays as well while no start is reported; otherwise all jobs would be rejected because of a
    /// wait that is over.
    pub(super) fn queue_wait(&self, now: Micros, endpoint: EndpointIndex) -> f64 {
        let endpoint = &self.endpoints[endpoint];
        let fading = |since: Micros| (-((now - since) as f64) / self.estimates.mean_run).exp();
        let unstarted = endpoint.in_flight.iter().find(|attempt| attempt.started_at.is_none());
        let overdue = unstarted.map_or(0.0, |attempt| (now - attempt.sent_at) as f64 - attempt.expected_wait);
        let mean = self.estimates.queue_wait * fading(self.estimates.queue_wait_at);
        (mean + (endpoint.queue_wait - mean) * fading(endpoint.queue_wait_at)).max(overdue)
    }
}
