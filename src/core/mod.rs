//! The core of one frontend: open jobs, the endpoint table, the routers and the counters. Sans-I/O: the
//! frontend feeds it events and carries out its commands.
//!
//! A frontend reports events to the core (`submit`, `on_…`, `tick`) and then carries out all commands that
//! `next_command` returns, in order. It must report the end of each attempt that it was asked to send exactly
//! once, and must call `tick` when `next_deadline` is reached.
//!
//! Ownership: `jobs::Jobs` holds the jobs and their attempts, [`EndpointTable`] the endpoints' names and
//! addresses, `routers::Routers` the routers, their wake-ups and the partitions, `statistics::Statistics` the
//! counters. Each event passes through the stages in one direction: `accept`, `admit` or `complete` records
//! it, `route` hands it to a router, `send` and `answer` turn the router's actions into commands, and
//! finished jobs are removed (`Core::process_event`).

mod clock;
mod command;
mod counters;
mod endpoint_list;
mod endpoint_table;
mod hold_counts;
mod inspection;
mod job;
mod jobs;
mod list_status;
mod partition;
mod partitions;
mod routers;
mod stages;
mod statistics;
mod traffic_split;
mod zone_traffic;

use std::collections::VecDeque;

use thiserror::Error;

pub use clock::{Clock, boot_ms, micros, millis};
pub use command::Command;
pub use counters::Counters;
pub use endpoint_table::{EndpointTable, ListScope, ListedEndpoint, MAX_ENDPOINTS};
pub use hold_counts::HoldCounts;
pub use job::{ActiveJob, Attempt, FinalAnswer, JobRequest};
pub use list_status::ListStatus;
pub use partition::{ALL_ENDPOINTS, EndpointSelector, PartitionId};
pub use traffic_split::{Admission, TrafficEvent};
pub use zone_traffic::ZoneLoad;

use crate::routing::{Action, AttemptEnd, Event, JobId, ListFreshness, LoadReport, Outcome};
use crate::settings::Site;
use jobs::Jobs;
use routers::Routers;
use stages::admit::{AdmissionLimits, ShutdownDeadline};
use stages::complete::{EndedAttempt, ResponseStart};
use stages::{accept, admit, answer, complete, route, send};
use statistics::Statistics;
use traffic_split::TrafficSplit;

/// Error for settings that cannot be applied without a restart: open jobs refer to classes, kinds and zones
/// by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("changes to `grades`, `kinds` or `zones` need a restart")]
pub struct IncompatibleSettings;

/// Decision logic and state of one frontend.
pub struct Core {
    clock: Clock,
    site: Site,
    jobs: Jobs,
    endpoints: EndpointTable,
    routers: Routers,
    /// Tracks whether the endpoint list is recent enough to send attempts.
    list_freshness: ListFreshness,
    /// The value last sent to the routers with `Event::AttemptsAllowed`.
    attempts_allowed: bool,
    limits: AdmissionLimits,
    /// Share of the traffic for each zone; present only where a fleet decides on it.
    traffic_split: Option<Box<TrafficSplit>>,
    statistics: Statistics,
    commands: VecDeque<Command>,
    /// Reusable buffer for router actions; empty between events.
    actions: Vec<Action>,
}

impl Core {
    /// Returns a core with an empty endpoint table that holds at most `max_jobs` open jobs. `seed` determines
    /// all its randomness.
    pub fn new(site: Site, seed: u64, clock: Clock, max_jobs: usize) -> Core {
        let class_names = site.client_classes.iter().map(|class| class.name.clone()).collect();
        Core {
            clock,
            jobs: Jobs::default(),
            endpoints: EndpointTable::default(),
            routers: Routers::new(site.settings.clone(), seed),
            list_freshness: ListFreshness::fixed(&site.settings),
            attempts_allowed: true,
            limits: AdmissionLimits { max_jobs, is_stopping: false, shutdown_deadline: None },
            traffic_split: None,
            statistics: Statistics::new(class_names),
            commands: VecDeque::new(),
            actions: Vec::new(),
            site,
        }
    }

    /// Checks whether reloaded settings can be applied to the running core.
    ///
    /// # Errors
    /// Returns [`IncompatibleSettings`] if they name other classes, kinds or zones than the settings in use.
    pub fn check_compatible(&self, site: &Site) -> Result<(), IncompatibleSettings> {
        let kinds = |site: &Site| site.settings.classes.iter().map(|class| class.kind).collect::<Vec<_>>();
        let names =
            |site: &Site| site.client_classes.iter().map(|class| class.name.clone()).collect::<Vec<_>>();
        let same_classes = names(site) == names(&self.site) && kinds(site) == kinds(&self.site);
        let same_places = (&site.kinds, &site.zones) == (&self.site.kinds, &self.site.zones);
        if same_classes && same_places { Ok(()) } else { Err(IncompatibleSettings) }
    }

    /// Applies compatible settings and a new limit on open jobs; open jobs continue under them.
    pub fn reconfigure(&mut self, site: Site, max_jobs: usize) {
        self.routers.reconfigure(&site.settings);
        self.list_freshness.reconfigure(&site.settings);
        self.site = site;
        self.limits.max_jobs = max_jobs;
    }

    /// Submits a request and returns its job id.
    ///
    /// # Errors
    /// Returns the final answer if the request is not admitted; no command follows for it.
    pub fn submit(&mut self, request: JobRequest) -> Result<JobId, FinalAnswer> {
        let id = accept::accept(&mut self.jobs, &mut self.statistics.counters);
        let class = request.class;
        let traffic_split = self.traffic_split.as_deref_mut();
        let admitted = admit::admit(&self.limits, traffic_split, self.jobs.len(), self.clock.now(), request);
        let request = admitted.map_err(|refusal| {
            self.statistics.count_rejected_on_admission(class);
            let retry_after_ms = if refusal.is_retryable() { self.site.max_retry_after_ms } else { 0.0 };
            FinalAnswer::Rejected { retry_after_ms }
        })?;
        self.jobs.insert(id, request);
        self.routers.job_opened(request.partition);
        self.count_withheld_job();
        self.process_event(request.partition, route::job_event(id, &request));
        Ok(id)
    }

    /// Records that a job's client has disconnected: the job gets no answer, and its open attempts are
    /// cancelled.
    pub fn on_client_left(&mut self, job: JobId) {
        if let Some(request) = complete::client_left(&mut self.jobs, &mut self.statistics.counters, job) {
            self.process_event(request.partition, Event::ClientLeft(job));
        }
    }

    /// Records the end of an attempt; `result` is the response body if it was served. Returns false, and
    /// changes nothing, if the attempt had already ended.
    pub fn on_attempt_ended(
        &mut self,
        job: JobId,
        attempt: usize,
        outcome: Outcome,
        report: LoadReport,
        result: Vec<u8>,
    ) -> bool {
        let (now_ms, counters) = (self.clock.now(), &mut self.statistics.counters);
        let Some(ended) = complete::end_attempt(&mut self.jobs, counters, now_ms, job, attempt) else {
            return false;
        };
        if let Some(split) = &mut self.traffic_split
            && let Some(entry) = self.endpoints.get(ended.endpoint)
        {
            split.record_attempt(entry.endpoint.zone, outcome, millis(ended.latency));
        }
        let finished = outcome == Outcome::Served || ended.was_streaming;
        if outcome == Outcome::Served {
            self.answer(job, FinalAnswer::Served(result));
        } else {
            complete::count_unserved(&mut self.statistics.counters, &ended, outcome);
            // Part of the response has been sent to the client, so no other attempt can answer the job.
            if ended.was_streaming {
                self.answer(job, FinalAnswer::Failed);
            }
        }
        let EndedAttempt { endpoint, latency, may_report_late, .. } = ended;
        let end = AttemptEnd { job, attempt, endpoint, outcome, latency, finished, may_report_late, report };
        self.process_event(self.partition_of(job), Event::Ended(end));
        true
    }

    /// Records that the endpoint of an open attempt reports events that name the job and the endpoint, but no
    /// attempt, and that it may report them again after the attempt has ended. The job is not sent to the
    /// endpoint again, since such an event would be taken for one of the later attempt.
    pub fn expect_late_reports(&mut self, job: JobId, attempt: usize) {
        complete::expect_late_reports(&mut self.jobs, job, attempt);
    }

    /// Counts a report that belongs to no open attempt.
    pub fn on_stray_report(&mut self) {
        self.statistics.counters.stray += 1;
    }

    /// Records that an endpoint has started the job of an attempt.
    pub fn on_attempt_started(&mut self, job: JobId, attempt: usize) {
        let known = self.jobs.get(job).and_then(|job| job.attempts.get(attempt));
        if known.is_some_and(|attempt| attempt.is_open) {
            self.process_event(self.partition_of(job), Event::Started { job, attempt });
        }
    }

    /// Records that the whole request of an attempt was written to its endpoint. For requests whose body was
    /// not streamed; see [`Core::on_body_relayed`].
    pub fn on_request_sent(&mut self, job: JobId, attempt: usize) {
        complete::request_sent(&mut self.jobs, &mut self.statistics, job, attempt);
    }

    /// Records that a streamed request of an attempt was written to its endpoint completely.
    pub fn on_body_relayed(&mut self, job: JobId, attempt: usize) {
        complete::request_sent(&mut self.jobs, &mut self.statistics, job, attempt);
        complete::body_relayed(&mut self.jobs, self.clock.now(), job, attempt);
    }

    /// Records that the response of an attempt has started and is streamed to the client: from now on the job
    /// has no deadline and ends when the attempt ends. Returns false if the attempt has already ended; its
    /// response must then not be forwarded.
    pub fn on_response_started(&mut self, job: JobId, attempt: usize) -> bool {
        match complete::response_started(&mut self.jobs, self.clock.now(), job, attempt) {
            ResponseStart::Stale => false,
            ResponseStart::Repeated => true,
            ResponseStart::First => {
                self.process_event(self.partition_of(job), Event::Streaming(job));
                true
            }
        }
    }

    /// Whether an attempt may still be written once its connection is established. Checks again what may have
    /// changed since the router chose the endpoint. If it returns false, the attempt never ran, and the
    /// frontend ends it accordingly.
    pub fn attempt_is_valid(&self, job: JobId, attempt: usize) -> bool {
        let Some(open) = self.jobs.get(job).filter(|job| job.phase != job::JobPhase::Finished) else {
            return false;
        };
        let is_open = open.attempts.get(attempt).is_some_and(|attempt| attempt.is_open)
            && self.list_freshness.allows_attempts(micros(self.clock.now()));
        let router = self.routers.router(open.request.partition);
        is_open && router.attempt_is_valid(micros(self.clock.now()), job, attempt)
    }

    /// Whether retrying a job after its connection was reset under an attempt could do harm.
    pub fn is_harmed_by_reset(&self, job: JobId) -> bool {
        self.routers.router(self.partition_of(job)).is_harmed_by_reset(job)
    }

    /// Whether a job without a final answer may be rejected now, or an endpoint's rejection of it relayed:
    /// its client will send it again. An attempt that has not ended may have run.
    pub fn rejection_is_safe(&self, job: JobId) -> bool {
        self.routers.router(self.partition_of(job)).rejection_is_safe(job)
    }

    /// Wakes the routers whose requested wake-up time has been reached.
    pub fn tick(&mut self) {
        self.refresh_attempts_allowed();
        if self.routers.all_is_due(micros(self.clock.now())) {
            self.process_event(ALL_ENDPOINTS, Event::Wake);
        }
        for partition in self.routers.due_partitions(micros(self.clock.now())) {
            self.process_event(partition, Event::Wake);
        }
    }

    /// Returns when `tick` must be called next, in milliseconds of the clock.
    pub fn next_deadline(&self) -> Option<f64> {
        let freshness_change = self.list_freshness.next_change(micros(self.clock.now()));
        self.routers.next_wake().into_iter().chain(freshness_change).min().map(millis)
    }

    /// Returns the next command for the frontend.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Limits the deadline of requests submitted at or after `from_ms` to `until_ms`, both in milliseconds of
    /// the clock.
    pub fn set_shutdown_deadline(&mut self, from_ms: f64, until_ms: f64) {
        self.limits.shutdown_deadline = Some(ShutdownDeadline { from_ms, until_ms });
    }

    /// Rejects all further requests.
    pub fn reject_new_jobs(&mut self) {
        self.limits.is_stopping = true;
    }

    /// Returns the partition that a job is restricted to.
    fn partition_of(&self, job: JobId) -> PartitionId {
        self.jobs.get(job).map_or(ALL_ENDPOINTS, |job| job.request.partition)
    }

    fn answer(&mut self, job: JobId, final_answer: FinalAnswer) {
        answer::answer(&mut self.jobs, &mut self.statistics, &mut self.commands, job, final_answer);
    }

    /// Checks whether attempts are still allowed, then hands an event to the router of a partition, turns its
    /// actions into commands, and removes the jobs that are finished.
    fn process_event(&mut self, partition: PartitionId, event: Event<'_>) {
        self.refresh_attempts_allowed();
        self.hand_to_router(partition, event);
    }

    fn hand_to_router(&mut self, partition: PartitionId, event: Event<'_>) {
        let now = micros(self.clock.now());
        let mut actions = std::mem::take(&mut self.actions);
        route::route(&mut self.routers, partition, now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(&action);
        }
        self.actions = actions;
        let mut has_unused_partition = false;
        self.jobs.close_finished(|request| {
            has_unused_partition |= self.routers.job_closed(request.partition);
        });
        if has_unused_partition {
            self.routers.drop_unused(micros(self.clock.now()));
        }
    }

    fn apply_action(&mut self, action: &Action) {
        let (counters, commands) = (&mut self.statistics.counters, &mut self.commands);
        match *action {
            Action::Send { job, endpoint } => {
                send::start_attempt(&mut self.jobs, counters, commands, self.clock.now(), job, endpoint);
                self.count_unconfirmed_attempt();
            }
            Action::Cancel { job, attempt } => {
                send::cancel_attempt(&mut self.jobs, counters, commands, job, attempt);
            }
            Action::Reject { job, retry_after } => {
                let retry_after_ms = millis(retry_after).min(self.site.max_retry_after_ms);
                self.answer(job, FinalAnswer::Rejected { retry_after_ms });
            }
            Action::Fail { job } => self.answer(job, FinalAnswer::Failed),
            Action::Probe { endpoint } => send::probe(counters, commands, endpoint),
            Action::Hold { reason, .. } => self.statistics.holds.count(reason),
            Action::Subscribe => send::subscribe(commands),
            // `Routers::handle` has already recorded the wake-up.
            Action::WakeAt(_) => {}
        }
    }
}
