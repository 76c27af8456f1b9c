//! The core of one frontend: its jobs, its endpoint table, its routers and what it counts. It knows no socket and no wire.
//!
//! A frontend calls the core with plain events (`submit`, `on_…`, `tick`) and then carries out all commands that
//! `next_command` gives, in their order. It must tell the end of each attempt that it was told to send, once; and it calls
//! `tick` when `next_deadline` has come.
//!
//! Who owns what: `jobs::Jobs` the jobs and their attempts, [`EndpointTable`] the endpoints' names and addresses,
//! `routers::Routers` the routers with their wake-ups and the partitions, `statistics::Statistics` the counters. An event
//! goes one way: `accept`, `admit` or `complete` takes it in, `route` hands it to a router, `send` and `answer` turn the
//! router's actions into commands, and jobs that are finished are closed (`Core::drive`).

mod clock;
mod command;
mod counters;
mod endpoint_list;
mod endpoint_table;
mod hold_counts;
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

use crate::routing::{Action, AttemptEnd, Event, JobId, ListFreshness, LoadReport, Outcome, WarmState};
use crate::settings::Site;
use crate::telemetry::{Gauges, Telemetry};
use jobs::Jobs;
use routers::Routers;
use stages::admit::{AdmissionLimits, ShutdownDeadline};
use stages::complete::ResponseStart;
use stages::{accept, admit, answer, complete, route, send};
use statistics::Statistics;
use traffic_split::TrafficSplit;

/// Settings that cannot be taken over while the program runs: names are numbers in all that is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("other `grades`, `kinds` or `zones` take a restart")]
pub struct IncompatibleSettings;

/// The core of one frontend.
pub struct Core {
    clock: Clock,
    site: Site,
    jobs: Jobs,
    endpoints: EndpointTable,
    routers: Routers,
    /// Whether the list may be acted on.
    list_freshness: ListFreshness,
    /// What the routers were told last of that.
    attempts_allowed: bool,
    limits: AdmissionLimits,
    /// What each zone may get, where a fleet decides on that.
    traffic_split: Option<Box<TrafficSplit>>,
    statistics: Statistics,
    commands: VecDeque<Command>,
    /// Room for a router's actions, empty between two events.
    actions: Vec<Action>,
}

impl Core {
    /// A core with an empty endpoint table that holds `max_jobs` open jobs at most. All its randomness comes from `seed`.
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

    /// Checks whether settings that were read again can be taken over.
    ///
    /// # Errors
    /// Where they name other classes, kinds or zones than those that the program was started with.
    pub fn check_compatible(&self, site: &Site) -> Result<(), IncompatibleSettings> {
        let kinds = |site: &Site| site.settings.classes.iter().map(|class| class.kind).collect::<Vec<_>>();
        let names =
            |site: &Site| site.client_classes.iter().map(|class| class.name.clone()).collect::<Vec<_>>();
        let same_classes = names(site) == names(&self.site) && kinds(site) == kinds(&self.site);
        let same_places = (&site.kinds, &site.zones) == (&self.site.kinds, &self.site.zones);
        if same_classes && same_places { Ok(()) } else { Err(IncompatibleSettings) }
    }

    /// Takes over compatible settings and another bound on open jobs; what is open goes on under them.
    pub fn reconfigure(&mut self, site: Site, max_jobs: usize) {
        self.routers.reconfigure(&site.settings);
        self.list_freshness.reconfigure(&site.settings);
        self.site = site;
        self.limits.max_jobs = max_jobs;
    }

    /// Takes a request in, and gives its id.
    ///
    /// # Errors
    /// Where it is not admitted, with its final answer: no command follows for it.
    pub fn submit(&mut self, request: JobRequest) -> Result<JobId, FinalAnswer> {
        let id = accept::accept(&mut self.jobs, &mut self.statistics.counters);
        let class = request.class;
        let traffic_split = self.traffic_split.as_deref_mut();
        let admitted = admit::admit(&self.limits, traffic_split, self.jobs.len(), self.clock.now(), request);
        let request = admitted.map_err(|refusal| {
            self.statistics.count_not_admitted(class);
            let retry_after_ms = if refusal.is_worth_a_retry() { self.site.max_retry_after_ms } else { 0.0 };
            FinalAnswer::Rejected { retry_after_ms }
        })?;
        self.jobs.insert(id, request);
        self.routers.job_opened(request.partition);
        self.count_withheld_job();
        self.drive(request.partition, route::job_event(id, &request));
        Ok(id)
    }

    /// A job's client has left: it gets no answer, and its open attempts are cancelled.
    pub fn on_client_left(&mut self, job: JobId) {
        if let Some(request) = complete::client_left(&mut self.jobs, &mut self.statistics.counters, job) {
            self.drive(request.partition, Event::ClientLeft(job));
        }
    }

    /// An attempt has ended; `result` is what it served. False if it was over already: then nothing changes.
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
            && let Some(line) = self.endpoints.get(ended.endpoint)
        {
            split.record_attempt(line.endpoint.zone, outcome, millis(ended.latency));
        }
        let finished = outcome == Outcome::Served || ended.was_streaming;
        if outcome == Outcome::Served {
            self.answer(job, FinalAnswer::Served(result));
        } else {
            complete::count_unserved(&mut self.statistics.counters, &ended, outcome);
            // Bytes of its response are out: nothing else can follow.
            if ended.was_streaming {
                self.answer(job, FinalAnswer::Failed);
            }
        }
        let (endpoint, latency) = (ended.endpoint, ended.latency);
        let end = AttemptEnd { job, attempt, endpoint, outcome, latency, finished, report };
        self.drive(self.partition_of(job), Event::Ended(end));
        true
    }

    /// An attempt's job was started by its endpoint.
    pub fn on_attempt_started(&mut self, job: JobId, attempt: usize) {
        let known = self.jobs.get(job).and_then(|job| job.attempts.get(attempt));
        if known.is_some_and(|attempt| attempt.is_open) {
            self.drive(self.partition_of(job), Event::Started { job, attempt });
        }
    }

    /// An attempt's request was written to its endpoint to the last byte, where its body was not relayed as it came.
    pub fn on_request_sent(&mut self, job: JobId, attempt: usize) {
        complete::request_sent(&mut self.jobs, &mut self.statistics, job, attempt);
    }

    /// All of an attempt's request, relayed as it came, is at its endpoint.
    pub fn on_body_relayed(&mut self, job: JobId, attempt: usize) {
        complete::request_sent(&mut self.jobs, &mut self.statistics, job, attempt);
        complete::body_relayed(&mut self.jobs, self.clock.now(), job, attempt);
    }

    /// The response of an attempt has begun, and is relayed as it comes: from now on the job has no deadline, and ends as
    /// the attempt does. False if the attempt is over already, and its response must not be passed on.
    pub fn on_response_started(&mut self, job: JobId, attempt: usize) -> bool {
        match complete::response_started(&mut self.jobs, self.clock.now(), job, attempt) {
            ResponseStart::Stale => false,
            ResponseStart::Repeated => true,
            ResponseStart::First => {
                self.drive(self.partition_of(job), Event::Streaming(job));
                true
            }
        }
    }

    /// Whether an attempt may be written now that its connection is up. What has happened since it was decided is looked at
    /// again: if it may not, it never ran, and the frontend ends it so.
    pub fn attempt_is_valid(&self, job: JobId, attempt: usize) -> bool {
        let Some(open) = self.jobs.get(job).filter(|job| job.phase != job::JobPhase::Finished) else {
            return false;
        };
        let is_open = open.attempts.get(attempt).is_some_and(|attempt| attempt.is_open)
            && self.list_freshness.allows_attempts(micros(self.clock.now()));
        let router = self.routers.router(open.request.partition);
        is_open && router.attempt_is_valid(micros(self.clock.now()), job, attempt)
    }

    /// Whether a job whose connection breaks under its attempt may not simply be tried again.
    pub fn is_harmed_by_reset(&self, job: JobId) -> bool {
        self.routers.router(self.partition_of(job)).is_harmed_by_reset(job)
    }

    /// Lets routers know that the time has come for which they asked.
    pub fn tick(&mut self) {
        self.refresh_attempts_allowed();
        if self.routers.all_is_due(micros(self.clock.now())) {
            self.drive(ALL_ENDPOINTS, Event::Wake);
        }
        for partition in self.routers.due_partitions(micros(self.clock.now())) {
            self.drive(partition, Event::Wake);
        }
    }

    /// When `tick` is to be called next, in milliseconds of the clock.
    pub fn next_deadline(&self) -> Option<f64> {
        let freshness_change = self.list_freshness.next_change(micros(self.clock.now()));
        self.routers.next_wake().into_iter().chain(freshness_change).min().map(millis)
    }

    /// The next command for the frontend.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// What is taken in from one time on is to be over by another, in milliseconds of the clock.
    pub fn limit_late_deadlines(&mut self, from_ms: f64, until_ms: f64) {
        self.limits.shutdown_deadline = Some(ShutdownDeadline { from_ms, until_ms });
    }

    /// From now on new requests are rejected.
    pub fn reject_new_jobs(&mut self) {
        self.limits.is_stopping = true;
    }

    /// What the router of all endpoints has learned.
    pub fn warm_state(&self) -> WarmState {
        self.routers.router(ALL_ENDPOINTS).warm_state()
    }

    /// How many jobs have had no final answer.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// A job that is open.
    pub fn job(&self, id: JobId) -> Option<&ActiveJob> {
        self.jobs.get(id)
    }

    /// The endpoint table.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// The settings.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// The clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.statistics.counters
    }

    /// The operators' counters.
    pub fn telemetry(&self) -> &Telemetry {
        &self.statistics.telemetry
    }

    /// How often jobs began to wait here, by reason.
    pub fn holds(&self) -> HoldCounts {
        self.statistics.holds
    }

    /// The operators' gauges as they are now: open jobs, listed endpoints, and those that get no jobs.
    pub fn gauges(&self) -> Gauges {
        let (now, listed) = (micros(self.clock.now()), self.endpoints.listed());
        let router = self.routers.router(ALL_ENDPOINTS);
        let unavailable = listed.iter().filter(|line| router.is_unavailable(now, line.endpoint.id)).count();
        Gauges {
            pending: self.jobs.len() as u64,
            members: listed.len() as u64,
            members_unavailable: unavailable as u64,
        }
    }

    /// The partition that a job is kept to.
    fn partition_of(&self, job: JobId) -> PartitionId {
        self.jobs.get(job).map_or(ALL_ENDPOINTS, |job| job.request.partition)
    }

    fn answer(&mut self, job: JobId, final_answer: FinalAnswer) {
        answer::answer(&mut self.jobs, &mut self.statistics, &mut self.commands, job, final_answer);
    }

    /// Hands one event to the router of a partition, turns its actions into commands, and closes the jobs that are
    /// finished. Every event that concerns a router comes through here, once.
    fn drive(&mut self, partition: PartitionId, event: Event<'_>) {
        self.refresh_attempts_allowed();
        self.hand_to_router(partition, event);
    }

    fn hand_to_router(&mut self, partition: PartitionId, event: Event<'_>) {
        let now = micros(self.clock.now());
        let mut actions = std::mem::take(&mut self.actions);
        route::route(&mut self.routers, partition, now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(&action);
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

    fn carry_out(&mut self, action: &Action) {
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
            // The routers have taken it.
            Action::WakeAt(_) => {}
        }
    }
}
