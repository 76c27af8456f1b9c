//! Workers: each connection of one is an endpoint of the core, is offered attempts at jobs, and fetches them.
//!
//! ```text
//! Gone --all functions of a kind--> Ready <--> Draining --the connection ends--> Gone
//! ```
//!
//! An attempt is offered, then assigned once the worker has fetched it, and abandoned once nobody waits for its result while
//! the worker is still at it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rustc_hash::FxHashMap;

use super::packets::{answer, arguments, kind};
use super::record::{Answer, Entry, Key};
use super::{AttemptId, GearmanFrontend};
use crate::core::{ListScope, ListedEndpoint};
use crate::frontend::Sockets;
use crate::net::ConnId;
use crate::routing::{Endpoint, EndpointId, EndpointStatus, JobId, LoadReport, Outcome};

/// Attempts that a worker may be offered at once: it fetches them one by one.
const MAX_JOBS_PER_WORKER: usize = 64;

/// An attempt that a worker has fetched.
struct Assigned {
    attempt: AttemptId,
    key: Option<Key>,
    /// Nobody waits for its result any more, but the worker is still at it.
    abandoned: bool,
    /// When the worker's own time limit is over, in milliseconds of the clock.
    deadline_ms: f64,
}

/// What is known of a worker.
pub(super) struct Worker {
    endpoint: EndpointId,
    /// Its slot in the endpoint list, free again when it leaves.
    list_slot: usize,
    name: String,
    /// The functions that it can run, by number, each with its time limit in milliseconds.
    functions: BTreeMap<usize, f64>,
    /// It has said that it sleeps until it is woken by a NOOP.
    is_asleep: bool,
    /// Attempts that it was offered and has not fetched, each with the time of its offer.
    offered: VecDeque<(AttemptId, f64)>,
    assigned: FxHashMap<JobId, Assigned>,
    state: EndpointStatus,
    /// How long it may leave an offer while it has nothing else to do, in milliseconds.
    offer_timeout_ms: f64,
}

impl Worker {
    /// When its next offer or time limit runs out, in milliseconds of the clock.
    pub fn next_deadline(&self) -> f64 {
        let offer =
            self.offered.front().filter(|_| self.assigned.is_empty()).map(|o| o.1 + self.offer_timeout_ms);
        let assigned = self.assigned.values().filter(|a| !a.abandoned).map(|a| a.deadline_ms);
        assigned.chain(offer).fold(f64::INFINITY, f64::min)
    }

    /// The numbers of the functions that it can run.
    pub fn functions(&self) -> impl Iterator<Item = usize> + '_ {
        self.functions.keys().copied()
    }

    /// Whether it is offered attempts.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointStatus::Ready
    }

    /// The jobs that it has fetched.
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

/// The load report of a worker: one slot for the decision module, which subtracts its own attempts itself.
fn one_free_slot() -> LoadReport {
    LoadReport { free_slots: Some(1.0), ..LoadReport::default() }
}

impl GearmanFrontend {
    /// Handles a worker's packet. False where its arguments are not valid.
    pub(super) fn worker_packet(&mut self, net: &mut Sockets, id: ConnId, number: u32, body: &[u8]) -> bool {
        let Some(peer) = self.peers.get(&id) else { return true };
        if !peer.role.may_work() {
            self.send_error(net, id, "forbidden", "this identity is no worker's");
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
                self.update_worker(id, |w| function.map(|f| w.functions.remove(&f)));
            }
            kind::RESET_ABILITIES => self.update_worker(id, |w| w.functions.clear()),
            kind::PRE_SLEEP => {
                if let Some(worker) = self.worker(id) {
                    worker.is_asleep = worker.offered.is_empty();
                    if !worker.is_asleep {
                        self.send(net, id, answer(kind::NOOP, &[]));
                    }
                }
            }
            kind::ALL_YOURS => {}
            kind::GRAB_JOB | kind::GRAB_JOB_UNIQ | kind::GRAB_JOB_ALL => self.assign(net, id, number),
            kind::WORK_STATUS => {
                let Some([handle, done, all]) = arguments::<3>(body) else { return false };
                self.on_progress(net, id, number, &[handle, done, all]);
            }
            kind::WORK_DATA | kind::WORK_WARNING => {
                let Some([handle, data]) = arguments::<2>(body) else { return false };
                self.on_progress(net, id, number, &[handle, data]);
            }
            kind::WORK_COMPLETE => {
                let Some([handle, data]) = arguments::<2>(body) else { return false };
                self.on_finished(id, handle, Outcome::Served, data.to_vec());
            }
            kind::WORK_EXCEPTION => {
                let Some([handle, data]) = arguments::<2>(body) else { return false };
                self.on_progress(net, id, number, &[handle, data]);
                // Some workers send a WORK_FAIL behind it and some do not: this packet ends the attempt, and what
                // comes behind it names one that has ended.
                self.on_finished(id, handle, Outcome::Error, Vec::new());
            }
            _ => self.on_finished(id, body, Outcome::Error, Vec::new()),
        }
        true
    }

    fn worker(&mut self, id: ConnId) -> Option<&mut Worker> {
        self.peers.get_mut(&id)?.worker.as_mut()
    }

    fn can_do(&mut self, net: &mut Sockets, id: ConnId, name: &[u8], limit: f64) {
        let Some(function) = self.config.function(name) else {
            return self.send_error(net, id, "unknown_function", "the operator's file has no such function");
        };
        let kind = self.config.functions[function].kind;
        let known = self.peers.get(&id).and_then(|p| p.worker.as_ref());
        if known.is_some_and(|w| w.functions().any(|f| self.config.functions[f].kind != kind)) {
            return self.send_error(net, id, "other_kind", "a worker's functions are of one kind");
        }
        let offer_timeout_ms = self.config.site.connect_timeout_ms;
        // Guards against a list that grows with each worker that connects again: slots are used again.
        let taken: BTreeSet<usize> =
            self.peers.values().filter_map(|p| Some(p.worker.as_ref()?.list_slot)).collect();
        let list_slot = (0..).find(|list_slot| !taken.contains(list_slot)).unwrap_or(0);
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.worker.get_or_insert_with(|| Worker {
                endpoint: EndpointId::default(),
                list_slot,
                name: format!("worker-{list_slot}"),
                functions: BTreeMap::new(),
                is_asleep: false,
                offered: VecDeque::new(),
                assigned: FxHashMap::default(),
                state: EndpointStatus::Gone,
                offer_timeout_ms,
            });
        }
        self.update_worker(id, |w| w.functions.insert(function, limit));
    }

    /// Changes a worker's state, and its entry in the endpoint list with it. It is ready once it can run all functions of
    /// its kind, unless it is still at a job that nobody waits for.
    fn update_worker<T>(&mut self, id: ConnId, change: impl FnOnce(&mut Worker) -> T) {
        let Some(worker) = self.peers.get_mut(&id).and_then(|p| p.worker.as_mut()) else { return };
        change(worker);
        let functions = &self.config.functions;
        let kind = worker.functions.keys().next().map(|&f| functions[f].kind);
        let can_all = |kind| {
            functions
                .iter()
                .enumerate()
                .all(|(f, function)| function.kind != kind || worker.functions.contains_key(&f))
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
        let endpoint = self.core.endpoints().get(worker.endpoint).map(|s| s.endpoint).unwrap_or_default();
        let kind = kind.map_or(endpoint.kind, |kind| kind as u16);
        // The time of its start tells it apart from the worker that had its slot before. It is long ago, so that there is
        // no slow start: a worker that fetches one job at a time cannot be overloaded.
        let endpoint = Endpoint { kind, size: 1.0, status: state, started_at: id, ..endpoint };
        let listed = ListedEndpoint { name: worker.name.clone(), address: String::new(), endpoint };
        worker.state = state;
        let name = worker.name.clone();
        // Guards the drain: attempts that it was offered and has not fetched go elsewhere at once.
        let returned: Vec<AttemptId> = match state {
            EndpointStatus::Ready => Vec::new(),
            _ => worker.offered.drain(..).map(|(attempt, _)| attempt).collect(),
        };
        self.core.on_list(vec![listed], ListScope::Changes);
        if let Some(endpoint) = self.core.endpoints().id(&name) {
            self.endpoints.insert(endpoint, id);
            if let Some(worker) = self.worker(id) {
                worker.endpoint = endpoint;
            }
        }
        for attempt in returned {
            self.end_attempt(attempt, Outcome::NotSent);
        }
    }

    /// Reports to the core that an attempt ended without a result.
    fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        let AttemptId { job, number } = attempt;
        self.core.on_attempt_ended(job, number, outcome, LoadReport::default(), Vec::new());
    }

    /// Offers an attempt to a worker, and wakes it if it sleeps.
    pub(super) fn offer(&mut self, net: &mut Sockets, attempt: AttemptId, endpoint: EndpointId) {
        let now = self.core.clock().now();
        let id = self.endpoints.get(&endpoint).copied();
        let worker = id
            .and_then(|id| self.worker(id))
            .filter(|w| w.is_ready() && w.offered.len() < MAX_JOBS_PER_WORKER);
        let (Some(id), Some(worker)) = (id, worker) else {
            self.end_attempt(attempt, Outcome::NotSent);
            return;
        };
        worker.offered.push_back((attempt, now));
        if std::mem::take(&mut worker.is_asleep) {
            self.send(net, id, answer(kind::NOOP, &[]));
        }
    }

    /// Assigns the oldest offer to a worker that asks for a job.
    fn assign(&mut self, net: &mut Sockets, id: ConnId, number: u32) {
        let now = self.core.clock().now();
        loop {
            let Some((attempt, _)) = self.worker(id).and_then(|w| w.offered.pop_front()) else {
                return self.send(net, id, answer(kind::NO_JOB, &[]));
            };
            let Some(job) = self.jobs.get_mut(&attempt.job) else { continue };
            // From here on the job may have run.
            job.was_assigned = true;
            let (function, key) = (job.function, job.key.clone());
            let handle = Self::handle(attempt.job);
            let name = &self.config.functions[function].name;
            let (handle, unique, data) = (handle.as_bytes(), &job.unique, &job.data);
            let packet = match number {
                kind::GRAB_JOB => answer(kind::JOB_ASSIGN, &[handle, name, data]),
                kind::GRAB_JOB_UNIQ => answer(kind::JOB_ASSIGN_UNIQ, &[handle, name, unique, data]),
                _ => answer(kind::JOB_ASSIGN_ALL, &[handle, name, unique, b"", data]),
            };
            if let Some(worker) = self.worker(id) {
                let deadline_ms = now + worker.functions.get(&function).copied().unwrap_or(f64::INFINITY);
                worker.assigned.insert(attempt.job, Assigned { attempt, key, abandoned: false, deadline_ms });
            }
            self.send(net, id, packet);
            self.core.on_request_sent(attempt.job, attempt.number);
            return self.core.on_attempt_started(attempt.job, attempt.number);
        }
    }

    /// Forwards a worker's packet on a job that it has and that has not ended.
    fn on_progress(&mut self, net: &mut Sockets, id: ConnId, number: u32, fields: &[&[u8]]) {
        let Some(job_id) = Self::job_of_handle(fields[0]) else { return };
        if self.worker(id).and_then(|w| w.assigned.get(&job_id)).is_some_and(|a| !a.abandoned) {
            self.forward(net, job_id, number, fields);
        }
    }

    /// A worker has finished a job. One that it does not have, or that has ended, changes nothing.
    fn on_finished(&mut self, id: ConnId, handle: &[u8], outcome: Outcome, result: Vec<u8>) {
        let job_id = Self::job_of_handle(handle);
        let assigned = job_id.and_then(|job_id| self.worker(id)?.assigned.remove(&job_id));
        let Some(Assigned { attempt, key, abandoned, .. }) = assigned else { return };
        if !abandoned {
            self.core.on_attempt_ended(attempt.job, attempt.number, outcome, one_free_slot(), result);
            return;
        }
        // The client was answered that it failed. One that submits it again gets the result.
        if let (Some(key), Outcome::Served) = (key, outcome)
            && matches!(self.record.get(&key), Some(Entry::Answered { answer: Answer::Failed, .. }))
        {
            let keep_until = self.core.clock().now() + self.config.keep_ms;
            self.record.finish(&key, Self::handle(attempt.job), Answer::Complete(result), keep_until);
        }
        self.update_worker(id, |_| ());
    }

    /// Cancels an attempt: one that was not fetched is taken back; for any other its worker gets no job until it has
    /// finished.
    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        let id = self.peers.iter().find_map(|(&id, p)| {
            let worker = p.worker.as_ref()?;
            let is_offered = worker.offered.iter().any(|(f, _)| *f == attempt);
            let is_assigned = worker.assigned.get(&attempt.job).is_some_and(|a| a.attempt == attempt);
            (is_offered || is_assigned).then_some(id)
        });
        let Some(id) = id else { return };
        self.update_worker(id, |worker| {
            worker.offered.retain(|(f, _)| *f != attempt);
            if let Some(assigned) = worker.assigned.get_mut(&attempt.job) {
                assigned.abandoned = true;
            }
        });
    }

    /// A worker's connection has ended: attempts that it had not fetched never ran, those that it had may have.
    pub(super) fn on_worker_left(&mut self, worker: Worker) {
        self.endpoints.remove(&worker.endpoint);
        if worker.state != EndpointStatus::Gone {
            let endpoint = self.core.endpoints().get(worker.endpoint).map(|s| s.endpoint).unwrap_or_default();
            let endpoint = Endpoint { status: EndpointStatus::Gone, ..endpoint };
            self.core.on_list(
                vec![ListedEndpoint { name: worker.name, address: String::new(), endpoint }],
                ListScope::Changes,
            );
        }
        for (attempt, _) in worker.offered {
            self.end_attempt(attempt, Outcome::Unreachable);
        }
        for Assigned { attempt, .. } in worker.assigned.into_values().filter(|a| !a.abandoned) {
            self.end_attempt(attempt, Outcome::Reset);
        }
    }

    /// Takes back offers that idle workers do not fetch, and ends attempts whose workers' time limit is over.
    pub(super) fn expire_workers(&mut self, now: f64) {
        let due =
            self.peers.iter().filter(|(_, p)| p.worker.as_ref().is_some_and(|w| w.next_deadline() <= now));
        for id in due.map(|(&id, _)| id).collect::<Vec<_>>() {
            let Some(worker) = self.worker(id) else { continue };
            let mut ended = Vec::new();
            if worker.assigned.is_empty() {
                while worker.offered.front().is_some_and(|o| o.1 + worker.offer_timeout_ms <= now) {
                    ended.extend(worker.offered.pop_front().map(|(f, _)| (f, Outcome::Unreachable)));
                }
            }
            for assigned in worker.assigned.values_mut().filter(|a| !a.abandoned && a.deadline_ms <= now) {
                assigned.abandoned = true;
                ended.push((assigned.attempt, Outcome::TimedOut));
            }
            self.update_worker(id, |_| ());
            for (attempt, outcome) in ended {
                self.end_attempt(attempt, outcome);
            }
        }
    }
}
