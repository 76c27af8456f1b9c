//! Workers: each connection is a backend server that is offered dispatches and fetches them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rustc_hash::FxHashMap;

use super::packets::{answer, arguments, kind};
use super::record::{Answer, Key};
use super::{FlightId, GearmanFrontend};
use crate::core::{ListScope, ListedEndpoint};
use crate::frontend::Sockets;
use crate::net::ConnId;
use crate::routing::{Endpoint, EndpointId, EndpointStatus, JobId, LoadReport, Outcome};

/// Jobs that a worker may hold or be offered.
const MAX_JOBS_PER_WORKER: usize = 64;

/// A dispatch that a worker has fetched.
struct Assigned {
    flight: FlightId,
    key: Option<Key>,
    /// Nobody waits for it any more, but the worker is still at it.
    abandoned: bool,
    until: f64,
}

/// What is known of a worker.
pub(super) struct Worker {
    server: EndpointId,
    /// Its place in the server table, free again when it leaves.
    place: usize,
    name: String,
    /// What it can do, by number, and within which time, in milliseconds.
    functions: BTreeMap<usize, f64>,
    sleeps: bool,
    /// Dispatches that it was offered and has not fetched, with the time of the offer.
    offered: VecDeque<(FlightId, f64)>,
    assigned: FxHashMap<JobId, Assigned>,
    state: EndpointStatus,
    /// How long it may leave an offer while it has nothing else to do.
    patience: f64,
}

impl Worker {
    /// When something of it is due.
    pub fn next(&self) -> f64 {
        let offer = self.offered.front().filter(|_| self.assigned.is_empty()).map(|o| o.1 + self.patience);
        let assigned = self.assigned.values().filter(|a| !a.abandoned).map(|a| a.until);
        assigned.chain(offer).fold(f64::INFINITY, f64::min)
    }

    pub fn functions(&self) -> impl Iterator<Item = usize> + '_ {
        self.functions.keys().copied()
    }

    pub fn takes_work(&self) -> bool {
        self.state == EndpointStatus::Ready
    }

    pub fn running(&self) -> impl Iterator<Item = JobId> + '_ {
        self.assigned.keys().copied()
    }
}

/// Whether a kind of packet is a worker's.
pub(super) fn is_worker_kind(number: u32) -> bool {
    matches!(
        number,
        kind::CAN_DO
            | kind::CAN_DO_TIMEOUT
            | kind::CANT_DO
            | kind::RESET_ABILITIES
            | kind::PRE_SLEEP
            | kind::ALL_YOURS
            | kind::GRAB_JOB
            | kind::GRAB_JOB_UNIQ
            | kind::GRAB_JOB_ALL
            | kind::WORK_STATUS
            | kind::WORK_DATA
            | kind::WORK_WARNING
            | kind::WORK_COMPLETE
            | kind::WORK_FAIL
            | kind::WORK_EXCEPTION
    )
}

/// A worker holds one job at a time as far as the module goes; what it holds are own dispatches all, which the
/// module subtracts itself.
fn one_slot() -> LoadReport {
    LoadReport { free_slots: Some(1.0), ..LoadReport::default() }
}

impl GearmanFrontend {
    /// Reads a worker's packet; false where it does not read.
    pub(super) fn worker_packet(&mut self, net: &mut Sockets, id: ConnId, number: u32, body: &[u8]) -> bool {
        let Some(peer) = self.peers.get(&id) else { return true };
        if !peer.role.may_work() {
            self.error(net, id, "forbidden", "this identity is no worker's");
            return true;
        }
        match number {
            kind::CAN_DO => self.can_do(net, id, body, f64::INFINITY),
            kind::CAN_DO_TIMEOUT => {
                let Some([name, seconds]) = arguments::<2>(body) else { return false };
                let seconds = std::str::from_utf8(seconds).ok().and_then(|s| s.parse::<u32>().ok());
                let Some(seconds) = seconds else { return false };
                let limit = if seconds == 0 { f64::INFINITY } else { f64::from(seconds) * 1e3 };
                self.can_do(net, id, name, limit);
            }
            kind::CANT_DO => {
                let function = self.config.function(body);
                self.change(id, |w| function.map(|f| w.functions.remove(&f)));
            }
            kind::RESET_ABILITIES => self.change(id, |w| w.functions.clear()),
            kind::PRE_SLEEP => {
                if let Some(worker) = self.worker(id) {
                    worker.sleeps = worker.offered.is_empty();
                    if !worker.sleeps {
                        self.put(net, id, answer(kind::NOOP, &[]));
                    }
                }
            }
            kind::ALL_YOURS => {}
            kind::GRAB_JOB | kind::GRAB_JOB_UNIQ | kind::GRAB_JOB_ALL => self.grab(net, id, number),
            kind::WORK_STATUS => {
                let Some([handle, done, all]) = arguments::<3>(body) else { return false };
                self.told(net, id, number, &[handle, done, all]);
            }
            kind::WORK_DATA | kind::WORK_WARNING => {
                let Some([handle, data]) = arguments::<2>(body) else { return false };
                self.told(net, id, number, &[handle, data]);
            }
            kind::WORK_COMPLETE => {
                let Some([handle, data]) = arguments::<2>(body) else { return false };
                self.finished(id, handle, Outcome::Served, data.to_vec());
            }
            kind::WORK_EXCEPTION => {
                let Some([handle, data]) = arguments::<2>(body) else { return false };
                self.told(net, id, number, &[handle, data]);
                // Some workers send a WORK_FAIL behind it and some do not: this ends the dispatch, and what
                // comes behind it names one that is over.
                self.finished(id, handle, Outcome::Error, Vec::new());
            }
            _ => self.finished(id, body, Outcome::Error, Vec::new()),
        }
        true
    }

    fn worker(&mut self, id: ConnId) -> Option<&mut Worker> {
        self.peers.get_mut(&id)?.worker.as_mut()
    }

    fn can_do(&mut self, net: &mut Sockets, id: ConnId, name: &[u8], limit: f64) {
        let Some(function) = self.config.function(name) else {
            return self.error(net, id, "unknown_function", "the operator's file has no such function");
        };
        let kind = self.config.functions[function].kind;
        let known = self.peers.get(&id).and_then(|p| p.worker.as_ref());
        if known.is_some_and(|w| w.functions().any(|f| self.config.functions[f].kind != kind)) {
            return self.error(net, id, "other_kind", "a worker's functions are of one kind");
        }
        let patience = self.config.site.connect_timeout_ms;
        // Guards against a table that grows with each worker that comes back: places are used again.
        let taken: BTreeSet<usize> =
            self.peers.values().filter_map(|p| Some(p.worker.as_ref()?.place)).collect();
        let place = (0..).find(|place| !taken.contains(place)).unwrap_or(0);
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.worker.get_or_insert_with(|| Worker {
                server: EndpointId::default(),
                place,
                name: format!("worker-{place}"),
                functions: BTreeMap::new(),
                sleeps: false,
                offered: VecDeque::new(),
                assigned: FxHashMap::default(),
                state: EndpointStatus::Gone,
                patience,
            });
        }
        self.change(id, |w| w.functions.insert(function, limit));
    }

    /// Changes what is known of a worker, and its line in the server table with it. It takes work once it can
    /// do all functions of its kind, unless it is still at a job that nobody waits for.
    fn change<T>(&mut self, id: ConnId, change: impl FnOnce(&mut Worker) -> T) {
        let Some(worker) = self.peers.get_mut(&id).and_then(|p| p.worker.as_mut()) else { return };
        change(worker);
        let functions = &self.config.functions;
        let kind = worker.functions.keys().next().map(|&f| functions[f].kind);
        let can_all = |kind| {
            functions
                .iter()
                .enumerate()
                .all(|(f, line)| line.kind != kind || worker.functions.contains_key(&f))
        };
        let busy = worker.assigned.values().any(|a| a.abandoned);
        let state = match kind {
            Some(kind) if can_all(kind) && !busy => EndpointStatus::Ready,
            _ if worker.state == EndpointStatus::Gone => return,
            _ => EndpointStatus::Draining,
        };
        if state == worker.state {
            return;
        }
        let member = self.core.endpoints().get(worker.server).map(|s| s.endpoint).unwrap_or_default();
        let kind = kind.map_or(member.kind, |kind| kind as u16);
        // Told apart from the one that had its place before by when it started, which is long ago: a worker
        // that fetches one job at a time cannot be pushed over, and is not held to be cold.
        let member = Endpoint { kind, size: 1.0, status: state, started_at: id, ..member };
        let line = ListedEndpoint { name: worker.name.clone(), address: String::new(), endpoint: member };
        worker.state = state;
        let name = worker.name.clone();
        // Guards the drain: what it was offered and has not fetched goes elsewhere at once.
        let returned: Vec<FlightId> = match state {
            EndpointStatus::Ready => Vec::new(),
            _ => worker.offered.drain(..).map(|(flight, _)| flight).collect(),
        };
        self.core.on_list(vec![line], ListScope::Changes);
        if let Some(server) = self.core.endpoints().id(&name) {
            self.servers.insert(server, id);
            if let Some(worker) = self.worker(id) {
                worker.server = server;
            }
        }
        for (session, attempt) in returned {
            self.core.on_attempt_ended(session, attempt, Outcome::NotSent, LoadReport::default(), Vec::new());
        }
    }

    /// Offers a dispatch to a worker, and wakes it if it sleeps.
    pub(super) fn offer(&mut self, net: &mut Sockets, flight: FlightId, server: EndpointId) {
        let now = self.core.clock().now();
        let id = self.servers.get(&server).copied();
        let worker = id
            .and_then(|id| self.worker(id))
            .filter(|w| w.takes_work() && w.offered.len() < MAX_JOBS_PER_WORKER);
        let (Some(id), Some(worker)) = (id, worker) else {
            self.core.on_attempt_ended(
                flight.0,
                flight.1,
                Outcome::NotSent,
                LoadReport::default(),
                Vec::new(),
            );
            return;
        };
        worker.offered.push_back((flight, now));
        if std::mem::take(&mut worker.sleeps) {
            self.put(net, id, answer(kind::NOOP, &[]));
        }
    }

    /// A worker fetches a job.
    fn grab(&mut self, net: &mut Sockets, id: ConnId, number: u32) {
        let now = self.core.clock().now();
        loop {
            let Some((flight, _)) = self.worker(id).and_then(|w| w.offered.pop_front()) else {
                return self.put(net, id, answer(kind::NO_JOB, &[]));
            };
            let Some(job) = self.jobs.get_mut(&flight.0) else { continue };
            // From here on it may have run.
            job.assigned = true;
            let (function, key) = (job.function, job.key.clone());
            let handle = Self::handle(flight.0);
            let name = &self.config.functions[function].name;
            let (handle, unique, data) = (handle.as_bytes(), &job.unique, &job.data);
            let packet = match number {
                kind::GRAB_JOB => answer(kind::JOB_ASSIGN, &[handle, name, data]),
                kind::GRAB_JOB_UNIQ => answer(kind::JOB_ASSIGN_UNIQ, &[handle, name, unique, data]),
                _ => answer(kind::JOB_ASSIGN_ALL, &[handle, name, unique, b"", data]),
            };
            if let Some(worker) = self.worker(id) {
                let until = now + worker.functions.get(&function).copied().unwrap_or(f64::INFINITY);
                worker.assigned.insert(flight.0, Assigned { flight, key, abandoned: false, until });
            }
            self.put(net, id, packet);
            self.core.on_request_sent(flight.0, flight.1);
            return self.core.on_attempt_started(flight.0, flight.1);
        }
    }

    /// Passes on what a worker tells of a job that it has and that is not over.
    fn told(&mut self, net: &mut Sockets, id: ConnId, number: u32, fields: &[&[u8]]) {
        let Some(session) = Self::session(fields[0]) else { return };
        if self.worker(id).and_then(|w| w.assigned.get(&session)).is_some_and(|a| !a.abandoned) {
            self.pass_on(net, session, number, fields);
        }
    }

    /// A worker has finished a job that it had. One that it had not, or that is over, changes nothing.
    fn finished(&mut self, id: ConnId, handle: &[u8], outcome: Outcome, result: Vec<u8>) {
        let session = Self::session(handle);
        let assigned = session.and_then(|session| self.worker(id)?.assigned.remove(&session));
        let Some(Assigned { flight, key, abandoned, .. }) = assigned else { return };
        if !abandoned {
            self.core.on_attempt_ended(flight.0, flight.1, outcome, one_slot(), result);
            return;
        }
        // The client was told that it failed. One that asks again hears what really came of it.
        if let (Some(key), Outcome::Served) = (key, outcome)
            && matches!(
                self.record.get(&key),
                Some(super::record::Entry::Over { answer: Answer::Failed, .. })
            )
        {
            let keep = self.core.clock().now() + self.config.keep;
            self.record.over(&key, Self::handle(flight.0), Answer::Complete(result), keep);
        }
        self.change(id, |_| ());
    }

    /// Calls a dispatch off: one that was not fetched is taken back, for any other its worker is left alone
    /// until it has finished.
    pub(super) fn call_off(&mut self, flight: FlightId) {
        let id = self.peers.iter().find_map(|(&id, p)| {
            let worker = p.worker.as_ref()?;
            let has = worker.offered.iter().any(|(f, _)| *f == flight);
            let at = worker.assigned.get(&flight.0).is_some_and(|a| a.flight == flight);
            (has || at).then_some(id)
        });
        let Some(id) = id else { return };
        self.change(id, |worker| {
            worker.offered.retain(|(f, _)| *f != flight);
            if let Some(assigned) = worker.assigned.get_mut(&flight.0) {
                assigned.abandoned = true;
            }
        });
    }

    /// A worker has gone: what it had not fetched never ran, what it had may have.
    pub(super) fn worker_left(&mut self, worker: Worker) {
        self.servers.remove(&worker.server);
        if worker.state != EndpointStatus::Gone {
            let member = self.core.endpoints().get(worker.server).map(|s| s.endpoint).unwrap_or_default();
            let member = Endpoint { status: EndpointStatus::Gone, ..member };
            self.core.on_list(
                vec![ListedEndpoint { name: worker.name, address: String::new(), endpoint: member }],
                ListScope::Changes,
            );
        }
        for (flight, _) in worker.offered {
            self.core.on_attempt_ended(
                flight.0,
                flight.1,
                Outcome::Unreachable,
                LoadReport::default(),
                Vec::new(),
            );
        }
        for Assigned { flight, .. } in worker.assigned.into_values().filter(|a| !a.abandoned) {
            self.core.on_attempt_ended(flight.0, flight.1, Outcome::Reset, LoadReport::default(), Vec::new());
        }
    }

    /// Takes back what idle workers do not fetch, and gives up jobs whose workers' own time is over.
    pub(super) fn expire_workers(&mut self, now: f64) {
        let due = self.peers.iter().filter(|(_, p)| p.worker.as_ref().is_some_and(|w| w.next() <= now));
        for id in due.map(|(&id, _)| id).collect::<Vec<_>>() {
            let Some(worker) = self.worker(id) else { continue };
            let mut ended = Vec::new();
            if worker.assigned.is_empty() {
                while worker.offered.front().is_some_and(|o| o.1 + worker.patience <= now) {
                    ended.extend(worker.offered.pop_front().map(|(f, _)| (f, Outcome::Unreachable)));
                }
            }
            for assigned in worker.assigned.values_mut().filter(|a| !a.abandoned && a.until <= now) {
                assigned.abandoned = true;
                ended.push((assigned.flight, Outcome::TimedOut));
            }
            self.change(id, |_| ());
            for (flight, outcome) in ended {
                self.core.on_attempt_ended(flight.0, flight.1, outcome, LoadReport::default(), Vec::new());
            }
        }
    }
}
