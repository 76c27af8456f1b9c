//! The core of one frontend: its jobs, its endpoint table, its routers and what it counts. It knows no socket and no wire.
//!
//! A frontend calls the core with plain events (`submit`, `on_…`, `tick`) and then carries out all commands that
//! `next_command` gives, in their order. It must tell the end of each attempt that it was told to send, once; and it calls
//! `tick` when `next_deadline` has come.
//!
//! Who owns what: [`jobs::Jobs`] the jobs and their attempts, [`EndpointTable`] the endpoints' names and addresses,
//! [`routers::Routers`] the routers with their wake-ups and the partitions, [`statistics::Statistics`] the counters. An event
//! goes one way: `accept`, `admit` or `complete` takes it in, `route` hands it to a router, `send` and `answer` turn the
//! router's actions into commands, and jobs that are finished are closed (`Core::drive`).

mod clock;
mod command;
mod counters;
mod endpoint_table;
mod job;
mod jobs;
mod partition;
mod routers;
mod stages;
mod statistics;
mod traffic_split;

use std::collections::VecDeque;

use thiserror::Error;

pub use clock::{Clock, boot_ms, micros, millis};
pub use command::Command;
pub use counters::Counters;
pub use endpoint_table::{EndpointTable, ListScope, ListedEndpoint, MAX_ENDPOINTS};
pub use job::{ActiveJob, Attempt, FinalAnswer, JobRequest};
pub use partition::{ALL_ENDPOINTS, EndpointSelector, PartitionId};
pub use traffic_split::{Admission, TrafficEvent};

use crate::routing::{
    Action, AttemptEnd, Endpoint, EndpointId, EndpointStatus, Event, JobId, LoadReport, Outcome, WarmState,
};
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

/// What a zone has at one moment, as its dispatcher knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// Attempts that are open there.
    pub open_attempts: usize,
    /// The sizes of its listed endpoints that take work, in sum.
    pub ready_size: f64,
}

/// The core of one frontend.
pub struct Core {
    clock: Clock,
    site: Site,
    jobs: Jobs,
    endpoints: EndpointTable,
    routers: Routers,
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
            let retry_after_ms = if refusal.is_worth_a_retry() { self.site.max_retry_after } else { 0.0 };
            FinalAnswer::Rejected { retry_after_ms }
        })?;
        self.jobs.insert(id, request);
        self.routers.job_opened(request.partition);
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
        let is_open = open.attempts.get(attempt).is_some_and(|attempt| attempt.is_open);
        let router = self.routers.router(open.request.partition);
        is_open && router.attempt_is_valid(micros(self.clock.now()), job, attempt)
    }

    /// The list as last held before a restart.
    pub fn restore_list(&mut self, lines: Vec<ListedEndpoint>) {
        let endpoints = self.apply_lines(lines, ListScope::Complete);
        self.drive(ALL_ENDPOINTS, Event::Cached(&endpoints));
    }

    /// The list, or its changes.
    pub fn on_list(&mut self, lines: Vec<ListedEndpoint>, scope: ListScope) {
        self.statistics.counters.lists += 1;
        let endpoints = self.apply_lines(lines, scope);
        self.notify_routers(&endpoints, scope);
    }

    /// A call to discovery has failed, or the watch broke.
    pub fn on_list_failed(&mut self) {
        self.statistics.counters.list_failures += 1;
        self.drive(ALL_ENDPOINTS, Event::ListFailed);
    }

    /// A probe has come back, or has not in time.
    pub fn on_probe_ended(
        &mut self,
        endpoint: EndpointId,
        answered: bool,
        latency_ms: f64,
        report: LoadReport,
    ) {
        let event = Event::Probed { endpoint, answered, latency: micros(latency_ms), report };
        self.drive(ALL_ENDPOINTS, event);
        for partition in self.routers.partition_ids() {
            self.drive(partition, event);
        }
    }

    /// Lets routers know that the time has come for which they asked.
    pub fn tick(&mut self) {
        if self.routers.all_is_due(micros(self.clock.now())) {
            self.drive(ALL_ENDPOINTS, Event::Wake);
        }
        for partition in self.routers.due_partitions(micros(self.clock.now())) {
            self.drive(partition, Event::Wake);
        }
    }

    /// When `tick` is to be called next, in milliseconds of the clock.
    pub fn next_deadline(&self) -> Option<f64> {
        self.routers.next_wake().map(millis)
    }

    /// The next command for the frontend.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Takes lines into the endpoint table, and gives them as routers are to see them.
    fn apply_lines(&mut self, lines: Vec<ListedEndpoint>, scope: ListScope) -> Vec<Endpoint> {
        let dropped_before = self.endpoints.dropped_lines();
        let mut endpoints = self.endpoints.apply(lines, scope);
        let dropped = self.endpoints.dropped_lines() - dropped_before;
        if dropped > 0 {
            self.statistics.counters.lines_dropped += dropped;
            crate::say(format_args!(
                "the list has {dropped} servers more than the {MAX_ENDPOINTS} that are held"
            ));
        }
        if let Some(split) = &self.traffic_split {
            split.scale(&mut endpoints);
        }
        endpoints
    }

    /// All listed endpoints as routers are to see them.
    fn scaled_endpoints(&self) -> Vec<Endpoint> {
        let mut endpoints: Vec<Endpoint> = self.endpoints.listed().iter().map(|line| line.endpoint).collect();
        if let Some(split) = &self.traffic_split {
            split.scale(&mut endpoints);
        }
        endpoints
    }

    /// Tells all routers of the list, or of its changes.
    fn notify_routers(&mut self, endpoints: &[Endpoint], scope: ListScope) {
        self.drive(ALL_ENDPOINTS, list_event(endpoints, scope));
        for partition in self.routers.partition_ids() {
            let selector = self.routers.selector(partition);
            let selected = selector.map(|selector| selector.select(&self.endpoints, endpoints));
            self.drive(partition, list_event(&selected.unwrap_or_default(), scope));
        }
    }

    /// From now on the sizes of its zones' endpoints are scaled, and what the zones do is recorded.
    pub fn enable_traffic_split(&mut self) {
        self.traffic_split = Some(Box::new(TrafficSplit::new(self.site.zones.len())));
    }

    /// What each zone may get from now on, and which share of requests is admitted, in thousandths.
    pub fn set_traffic_split(&mut self, zone_shares: Vec<u16>, admitted_share: u16) {
        let split = self.traffic_split.as_mut();
        if split.is_some_and(|split| split.set(zone_shares, admitted_share)) {
            let endpoints = self.scaled_endpoints();
            self.notify_routers(&endpoints, ListScope::Changes);
        }
    }

    /// Names what has happened in its zones since the last call.
    pub fn drain_traffic_events(&mut self, consume: impl FnMut(TrafficEvent)) {
        if let Some(split) = &mut self.traffic_split {
            split.drain_events(consume);
        }
    }

    /// The load of each of so many zones, by the site's order.
    pub fn zone_loads(&self, zones: usize) -> Vec<ZoneLoad> {
        let mut loads = vec![ZoneLoad::default(); zones];
        for line in self.endpoints.listed() {
            let endpoint = &line.endpoint;
            if let Some(load) = loads.get_mut(usize::from(endpoint.zone))
                && endpoint.status == EndpointStatus::Ready
            {
                load.ready_size += endpoint.size;
            }
        }
        let attempts = self.jobs.iter().flat_map(|job| &job.attempts);
        for attempt in attempts.filter(|attempt| attempt.is_open) {
            let zone = self.endpoints.get(attempt.endpoint).map(|line| usize::from(line.endpoint.zone));
            if let Some(load) = zone.and_then(|zone| loads.get_mut(zone)) {
                load.open_attempts += 1;
            }
        }
        loads
    }

    /// Partitions of these endpoints, in order, and no others from now on: those that are not among them end with their
    /// last jobs. A new one starts with what the other routers have learned.
    pub fn set_partitions<'a>(
        &mut self,
        selectors: impl IntoIterator<Item = &'a EndpointSelector>,
    ) -> Vec<PartitionId> {
        self.routers.unwant_all();
        let ids = selectors.into_iter().map(|selector| self.partition(selector)).collect();
        self.routers.drop_unused(micros(self.clock.now()));
        ids
    }

    fn partition(&mut self, selector: &EndpointSelector) -> PartitionId {
        if let Some(id) = self.routers.want(selector) {
            return id;
        }
        let others = self.routers.partition_states();
        let id = self.routers.add(selector, &self.site.settings);
        let selected = selector.select(&self.endpoints, &self.scaled_endpoints());
        self.drive(id, Event::List(&selected));
        self.routers.inherit(id, micros(self.clock.now()), others);
        id
    }

    /// How many partitions there are.
    pub fn partition_count(&self) -> usize {
        self.routers.partition_count()
    }

    /// Whether a listed endpoint that takes work belongs to these.
    pub fn has_ready_endpoint(&self, selector: &EndpointSelector) -> bool {
        selector.has_ready_endpoint(&self.endpoints)
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

    /// Takes over the list and what was learned of a process that this one replaces. The list only where none has been
    /// read here; false where what was learned cannot be true here, and then it is not taken over.
    pub fn restore_warm_state(&mut self, lines: Vec<ListedEndpoint>, state: WarmState) -> bool {
        if self.statistics.counters.lists == 0 {
            let endpoints = self.apply_lines(lines, ListScope::Complete);
            self.notify_routers(&endpoints, ListScope::Complete);
        }
        self.routers.restore(micros(self.clock.now()), state)
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
        let now = micros(self.clock.now());
        let mut actions = std::mem::take(&mut self.actions);
        route::route(&mut self.routers, partition, now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
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

    fn carry_out(&mut self, action: Action) {
        let (counters, commands) = (&mut self.statistics.counters, &mut self.commands);
        match action {
            Action::Send { job, endpoint } => {
                send::start_attempt(&mut self.jobs, counters, commands, self.clock.now(), job, endpoint);
            }
            Action::Cancel { job, attempt } => {
                send::cancel_attempt(&mut self.jobs, counters, commands, job, attempt);
            }
            Action::Reject { job, retry_after } => {
                let retry_after_ms = millis(retry_after).min(self.site.max_retry_after);
                self.answer(job, FinalAnswer::Rejected { retry_after_ms });
            }
            Action::Fail { job } => self.answer(job, FinalAnswer::Failed),
            Action::Probe { endpoint } => send::probe(counters, commands, endpoint),
            Action::Subscribe => send::subscribe(commands),
            // The routers have taken it.
            Action::WakeAt(_) => {}
        }
    }
}

/// The event that tells a router of the list, or of its changes.
fn list_event(endpoints: &[Endpoint], scope: ListScope) -> Event<'_> {
    match scope {
        ListScope::Complete => Event::List(endpoints),
        ListScope::Changes => Event::Changes(endpoints),
    }
}
