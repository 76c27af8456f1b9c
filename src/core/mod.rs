//! The core: sessions, the server table and the decision module. It knows no socket and no wire. A front
//! hands it plain events and carries out the commands that come of them.

mod clock;
mod counters;
mod endpoint_table;
mod job;
mod partition;
mod stages;
mod traffic_split;

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

pub use clock::{Clock, boot_ms, micros, millis};
pub use counters::Counters;
pub use endpoint_table::{EndpointEntry, EndpointTable, ListedEndpoint, MAX_ENDPOINTS};
pub use job::{ActiveJob, Attempt, FinalAnswer, JobRequest};
pub use partition::{EndpointSelector, PartitionId};
pub use traffic_split::TrafficEvent;

use crate::routing::Router;
use crate::routing::WarmState;
use crate::routing::{
    Action, Endpoint, EndpointId, EndpointStatus, Event, JobId, LoadReport, Micros, Outcome,
};
use crate::settings::Site;
use crate::telemetry::{Gauges, Telemetry};
use partition::PartitionRouter;
use traffic_split::TrafficSplit;

/// What a front is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a dispatch to a backend server.
    Send {
        /// The session.
        job: JobId,
        /// Number of the attempt.
        attempt: usize,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Call a dispatch off; it has ended as far as the core goes.
    Cancel {
        /// The job.
        job: JobId,
        /// Number of the dispatch.
        attempt: usize,
    },
    /// Give a session its one final answer.
    Answer {
        /// The job.
        job: JobId,
        /// The answer.
        answer: FinalAnswer,
    },
    /// Probe a backend server.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Start a watch of the list.
    Subscribe,
}

/// The core of one front.
pub struct Core {
    clock: Clock,
    site: Site,
    router: Router,
    endpoints: EndpointTable,
    jobs: FxHashMap<JobId, ActiveJob>,
    max_jobs: usize,
    last_job: JobId,
    /// When the module is to be woken, on its own clock.
    wake_at: Option<Micros>,
    /// Sessions that ended while the module's present answer is carried out.
    ended: Vec<JobId>,
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    counters: Counters,
    telemetry: Telemetry,
    stopping: bool,
    /// Since when, and by when all that came since is to be over.
    late_deadline: Option<(f64, f64)>,
    /// What each zone may get, where that is steered.
    traffic_split: Option<Box<TrafficSplit>>,
    /// Parts of the servers that some requests are kept to.
    partitions: FxHashMap<PartitionId, PartitionRouter>,
    last_partition: PartitionId,
    seed: u64,
}

impl Core {
    /// A core with an empty server table that holds so many sessions at most.
    pub fn new(site: Site, seed: u64, clock: Clock, limit: usize) -> Core {
        let lanes = site.client_classes.iter().map(|g| g.name.clone()).collect();
        Core {
            telemetry: Telemetry::new(lanes),
            router: Router::new(site.settings.clone(), seed),
            clock,
            site,
            endpoints: EndpointTable::default(),
            jobs: FxHashMap::default(),
            max_jobs: limit,
            last_job: JobId(0),
            wake_at: None,
            ended: Vec::new(),
            actions: Vec::new(),
            commands: VecDeque::new(),
            counters: Counters::default(),
            stopping: false,
            late_deadline: None,
            traffic_split: None,
            partitions: FxHashMap::default(),
            last_partition: 0,
            seed,
        }
    }

    /// Whether settings that were read again can be taken over. Names are numbers in all that is open, so that
    /// other names take a restart.
    pub fn check_compatible(&self, site: &Site) -> Result<(), String> {
        let kinds = |site: &Site| site.settings.classes.iter().map(|c| c.kind).collect::<Vec<_>>();
        let grades = |site: &Site| site.client_classes.iter().map(|g| g.name.clone()).collect::<Vec<_>>();
        let same = grades(site) == grades(&self.site) && kinds(site) == kinds(&self.site);
        if !same || (&site.kinds, &site.zones) != (&self.site.kinds, &self.site.zones) {
            return Err("other `grades`, `kinds` or `zones` take a restart".into());
        }
        Ok(())
    }

    /// Takes over settings that fit, and a bound on sessions; what is open goes on under them.
    pub fn reconfigure(&mut self, site: Site, limit: usize) {
        self.router.reconfigure(site.settings.clone());
        self.partitions.values_mut().for_each(|pool| pool.adopt(site.settings.clone()));
        (self.site, self.max_jobs) = (site, limit);
    }

    /// Takes a request in. Without an id it was turned away, and the verdict is its answer.
    pub fn submit(&mut self, request: JobRequest) -> Result<JobId, FinalAnswer> {
        let id = stages::accept::accept(self);
        let request = stages::admit::admit(self, request)?;
        stages::route::arrive(self, id, request);
        Ok(id)
    }

    /// A session's client has left.
    pub fn on_client_left(&mut self, session: JobId) {
        stages::complete::client_left(self, session);
    }

    /// A dispatch has ended; `result` is what it served. False if it was over already.
    pub fn on_attempt_ended(
        &mut self,
        session: JobId,
        attempt: usize,
        outcome: Outcome,
        report: LoadReport,
        result: Vec<u8>,
    ) -> bool {
        stages::complete::ended(self, session, attempt, outcome, report, result)
    }

    /// A dispatch's job was started by its backend server.
    pub fn on_attempt_started(&mut self, session: JobId, attempt: usize) {
        stages::complete::started(self, session, attempt);
    }

    /// All of a dispatch's request, relayed as it came, is with its server.
    pub fn on_body_relayed(&mut self, session: JobId, attempt: usize) {
        stages::complete::written(self, session, attempt);
    }

    /// The answer of a dispatch has begun, and is relayed as it comes: from now on the session has no deadline, and
    /// ends as the dispatch does. False if the dispatch is over already, and its answer must not be passed on.
    pub fn on_response_started(&mut self, session: JobId, attempt: usize) -> bool {
        stages::complete::streaming(self, session, attempt)
    }

    /// Takes lines into the server table, and gives members as the module is to see them.
    fn take_lines(&mut self, lines: Vec<ListedEndpoint>, whole: bool) -> Vec<Endpoint> {
        let (before, mut members) = (self.endpoints.dropped(), self.endpoints.apply(lines, whole));
        let dropped = self.endpoints.dropped() - before;
        if dropped > 0 {
            self.counters.lines_dropped += dropped;
            crate::say(format_args!(
                "the list has {dropped} servers more than the {MAX_ENDPOINTS} that are held"
            ));
        }
        if let Some(steer) = &self.traffic_split {
            steer.fit(&mut members);
        }
        members
    }

    /// From now on its zones are steered, and what they do is kept for `seen`.
    pub fn enable_traffic_split(&mut self) {
        self.traffic_split = Some(Box::new(TrafficSplit::new(self.site.zones.len())));
    }

    /// What each zone may get from now on, in thousandths, and what of the requests is taken.
    pub fn set_traffic_split(&mut self, shares: Vec<u16>, admit: u16) {
        let Some(steer) = self.traffic_split.as_mut() else { return };
        steer.admit = admit;
        if steer.shares == shares {
            return;
        }
        steer.shares = shares;
        let mut members: Vec<Endpoint> = self.endpoints.listed().iter().map(|s| s.line.endpoint).collect();
        steer.fit(&mut members);
        self.notify_routers(&members, false);
    }

    /// Tells the modules of the list, or of its changes.
    fn notify_routers(&mut self, members: &[Endpoint], whole: bool) {
        fn event(members: &[Endpoint], whole: bool) -> Event<'_> {
            if whole { Event::List(members) } else { Event::Changes(members) }
        }
        stages::route::drive(self, event(members, whole));
        for id in self.partitions.keys().copied().collect::<Vec<_>>() {
            let own =
                self.partitions.get(&id).map(|pool| pool.own(&self.endpoints, members)).unwrap_or_default();
            stages::route::drive_in(self, id, event(&own, whole));
        }
    }

    /// Pools of these servers, in order, and no others from now on: those there are and are not among them end with
    /// their last requests.
    pub fn set_partitions<'a>(
        &mut self,
        selectors: impl IntoIterator<Item = &'a EndpointSelector>,
    ) -> Vec<PartitionId> {
        self.partitions.values_mut().for_each(|pool| pool.wanted = false);
        let ids = selectors.into_iter().map(|selector| self.partition(selector)).collect();
        self.drop_unused_partitions();
        ids
    }

    /// A pool of these servers: the one that there is, or a new one that knows what the other modules have learned.
    fn partition(&mut self, selector: &EndpointSelector) -> PartitionId {
        if let Some((id, pool)) = self.partitions.iter_mut().find(|(_, pool)| pool.selector == *selector) {
            pool.wanted = true;
            return *id;
        }
        self.last_partition += 1;
        let (id, settings) = (self.last_partition, self.site.settings.clone());
        let known: Vec<WarmState> = self.partitions.values().map(|pool| pool.module.warm_state()).collect();
        let pool = PartitionRouter::new(selector.clone(), settings, self.seed ^ u64::from(id) << 32);
        self.partitions.insert(id, pool);
        let mut members: Vec<Endpoint> = self.endpoints.listed().iter().map(|s| s.line.endpoint).collect();
        if let Some(steer) = &self.traffic_split {
            steer.fit(&mut members);
        }
        let own = self.partitions[&id].own(&self.endpoints, &members);
        stages::route::drive_in(self, id, Event::List(&own));
        // The whole's first; of those that have sent to the same servers the least budget counts.
        let (now, learned) = (micros(self.clock.now()), self.router.warm_state());
        if let Some(pool) = self.partitions.get_mut(&id) {
            [learned].into_iter().chain(known).for_each(|learned| pool.recall(now, learned));
        }
        id
    }

    /// Drops pools that nothing leads to any more. What they have learned and spent goes on in the module of the whole.
    fn drop_unused_partitions(&mut self) {
        let now = micros(self.clock.now());
        for (_, pool) in self.partitions.extract_if(|_, pool| !pool.wanted && pool.open == 0) {
            self.router.restore(now, pool.module.warm_state());
        }
    }

    /// Pools that there are.
    pub fn partition_count(&self) -> usize {
        self.partitions.len()
    }

    /// Whether a listed server that takes work is one of these.
    pub fn has_ready_endpoint(&self, selector: &EndpointSelector) -> bool {
        partition::has(&self.endpoints, selector)
    }

    /// Tells what has happened since the last look.
    pub fn drain_traffic_events(&mut self, mut tell: impl FnMut(TrafficEvent)) {
        if let Some(steer) = &mut self.traffic_split {
            steer.seen.drain(..).for_each(&mut tell);
        }
    }

    /// Of each zone: dispatches that are out there, and the sizes of its listed servers.
    pub fn zone_loads(&self, zones: usize) -> Vec<(usize, f64)> {
        let mut loads = vec![(0, 0.0); zones];
        for server in self.endpoints.listed() {
            let member = &server.line.endpoint;
            if let Some(load) = loads.get_mut(usize::from(member.zone))
                && member.status == EndpointStatus::Ready
            {
                load.1 += member.size;
            }
        }
        let out = self.jobs.values().flat_map(|s| s.attempts.iter().filter(|d| d.out));
        for dispatch in out {
            let zone = self.endpoints.get(dispatch.endpoint).map(|s| usize::from(s.line.endpoint.zone));
            if let Some(load) = zone.and_then(|zone| loads.get_mut(zone)) {
                load.0 += 1;
            }
        }
        loads
    }

    /// The list as last held before a restart.
    pub fn restore_list(&mut self, lines: Vec<ListedEndpoint>) {
        let members = self.take_lines(lines, true);
        stages::route::drive(self, Event::Cached(&members));
    }

    /// The whole list, or its changes.
    pub fn on_list(&mut self, lines: Vec<ListedEndpoint>, whole: bool) {
        self.counters.lists += 1;
        let members = self.take_lines(lines, whole);
        self.notify_routers(&members, whole);
    }

    /// A call to discovery has failed, or the watch broke.
    pub fn on_list_failed(&mut self) {
        self.counters.list_failures += 1;
        stages::route::drive(self, Event::ListFailed);
    }

    /// A probe has come back, or has not in good time.
    pub fn on_probe_ended(&mut self, worker: EndpointId, answered: bool, latency: f64, report: LoadReport) {
        let probed = Event::Probed { endpoint: worker, answered, latency: micros(latency), report };
        stages::route::drive(self, probed);
        for id in self.partitions.keys().copied().collect::<Vec<_>>() {
            stages::route::drive_in(self, id, probed);
        }
    }

    /// Lets the module know that time has passed, if it asked for that.
    pub fn tick(&mut self) {
        if self.wake_at.is_some_and(|at| at <= micros(self.clock.now())) {
            stages::route::drive(self, Event::Wake);
        }
        let now = micros(self.clock.now());
        let due = self.partitions.iter().filter(|(_, pool)| pool.wake_at.is_some_and(|at| at <= now));
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            stages::route::drive_in(self, id, Event::Wake);
        }
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> Option<f64> {
        let pools = self.partitions.values().filter_map(|pool| pool.wake_at);
        pools.chain(self.wake_at).min().map(millis)
    }

    /// The next command for the front.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// What is taken in from one time on is to be over by another.
    pub fn limit_late_deadlines(&mut self, from: f64, end: f64) {
        self.late_deadline = Some((from, end));
    }

    /// From now on new requests are denied.
    pub fn reject_new_jobs(&mut self) {
        self.stopping = true;
    }

    /// Sessions that have had no answer.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// A session that is open.
    pub fn job(&self, id: JobId) -> Option<&ActiveJob> {
        self.jobs.get(&id)
    }

    /// The server table.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// The settings.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// What the module has learned.
    pub fn warm_state(&self) -> WarmState {
        self.router.warm_state()
    }

    /// Takes over the list and what was learned of a process that this one replaces. The list only where none has
    /// been read here; false where what was learned cannot be true here.
    pub fn restore_warm_state(&mut self, lines: Vec<ListedEndpoint>, learned: WarmState) -> bool {
        if self.counters.lists == 0 {
            let members = self.take_lines(lines, true);
            self.notify_routers(&members, true);
        }
        self.router.restore(micros(self.clock.now()), learned)
    }

    /// The clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The counts.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Whether a dispatch may be written now that its connection is up. What has happened since it was decided is
    /// looked at again: if it may not, it never ran, and the front ends it so.
    pub fn attempt_is_valid(&self, session: JobId, attempt: usize) -> bool {
        let Some(open) = self.jobs.get(&session).filter(|s| !s.over) else { return false };
        let module = self.partitions.get(&open.request.partition).map_or(&self.router, |pool| &pool.module);
        let out = open.attempts.get(attempt).is_some_and(|d| d.out);
        out && module.attempt_is_valid(micros(self.clock.now()), session, attempt)
    }

    /// A dispatch's request was written whole to its backend server, where its body was not relayed as it came.
    pub fn on_request_sent(&mut self, session: JobId, attempt: usize) {
        stages::complete::whole(self, session, attempt);
    }

    /// The operators' counters.
    pub fn telemetry(&self) -> &Telemetry {
        &self.telemetry
    }

    /// The operators' gauges as they are now: sessions open, backend servers listed, those that are avoided.
    pub fn gauges(&self) -> Gauges {
        let now = micros(self.clock.now());
        let listed = self.endpoints.listed();
        let avoided = listed.iter().filter(|s| self.router.is_unavailable(now, s.line.endpoint.id)).count();
        Gauges {
            pending: self.jobs.len() as u64,
            members: listed.len() as u64,
            members_unavailable: avoided as u64,
        }
    }
}
