//! Workers: each worker connection is an endpoint of the core. A worker is offered attempts at jobs and
//! fetches them.
//!
//! The states of a worker:
//!
//! ```text
//! Gone --all functions of a kind--> Ready <--> Draining --the connection ends--> Gone
//! ```
//!
//! An attempt is first offered. It is assigned once the worker has fetched it, and abandoned if it is
//! cancelled or times out while the worker still runs it.

mod endings;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rustc_hash::FxHashMap;

use super::denial::reads_as_denial;
use super::packets::{arguments, kind, reply};
use super::record::Key;
use super::{AttemptId, GearmanFrontend};
use crate::core::{ListScope, ListedEndpoint};
use crate::frontend::Sockets;
use crate::net::ConnId;
use crate::routing::{Endpoint, EndpointId, EndpointStatus, JobId, LoadReport, Outcome};

/// Maximum number of attempts that are offered to a worker at once. The worker fetches them one by one.
const MAX_JOBS_PER_WORKER: usize = 64;

/// An attempt that a worker has fetched.
struct Assigned {
    attempt: AttemptId,
    key: Option<Key>,
    /// Whether the core no longer waits for the result, although the worker still runs the attempt.
    is_abandoned: bool,
    /// When the time limit that the worker set for the function expires, in milliseconds of the clock.
    deadline_ms: f64,
}

/// The state of a worker.
pub(super) struct Worker {
    endpoint: EndpointId,
    /// Slot in the endpoint list, which is reused after the worker has disconnected.
    list_slot: usize,
    name: String,
    /// The functions that the worker can run, by index, each with its time limit in milliseconds.
    functions: BTreeMap<usize, f64>,
    /// Whether the worker sleeps until it gets a NOOP.
    is_asleep: bool,
    /// Attempts that are offered to the worker and not fetched yet, each with the time of the offer.
    offered: VecDeque<(AttemptId, f64)>,
    assigned: FxHashMap<JobId, Assigned>,
    state: EndpointStatus,
    /// How long an idle worker may leave an offer unfetched, in milliseconds.
    offer_timeout_ms: f64,
}

impl Worker {
    /// Returns when the next offer or time limit of this worker expires, in milliseconds of the clock.
    pub fn next_deadline(&self) -> f64 {
        let offer =
            self.offered.front().filter(|_| self.assigned.is_empty()).map(|o| o.1 + self.offer_timeout_ms);
        let assigned = self.assigned.values().filter(|a| !a.is_abandoned).map(|a| a.deadline_ms);
        assigned.chain(offer).fold(f64::INFINITY, f64::min)
    }

    /// Returns the indexes of the functions that the worker can run.
    pub fn functions(&self) -> impl Iterator<Item = usize> + '_ {
        self.functions.keys().copied()
    }

    /// Whether attempts may be offered to the worker.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointStatus::Ready
    }

    /// Returns the jobs that the worker has fetched and not finished.
    pub fn running(&self) -> impl Iterator<Item = JobId> + '_ {
        self.assigned.keys().copied()
    }
}

/// Whether packets of this kind are sent by workers.
pub(super) fn is_worker_kind(packet_kind: u32) -> bool {
    matches!(
        packet_kind,
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

/// Returns the load report of a worker: one free slot, from which the decision module subtracts its open
/// attempts.
fn one_free_slot() -> LoadReport {
    LoadReport { free_slots: Some(1.0), ..LoadReport::default() }
}

impl GearmanFrontend {
    /// Handles a packet from a worker. Returns false if its arguments are not valid.
    pub(super) fn on_worker_packet(
        &mut self,
        net: &mut Sockets,
        id: ConnId,
        packet_kind: u32,
        body: &[u8],
    ) -> bool {
        let Some(peer) = self.peers.get(&id) else { return true };
        if !peer.role.may_work() {
            self.send_error(net, id, "forbidden", "this identity is no worker's");
            return true;
        }
        match packet_kind {
            kind::CAN_DO => self.can_do(net, id, body, f64::INFINITY),
            kind::CAN_DO_TIMEOUT => {
                let Some([name, seconds]) = arguments::<2>(body) else { return false };
                let seconds = std::str::from_utf8(seconds).ok().and_then(|s| s.parse::<u32>().ok());
                let Some(seconds) = seconds else { return false };
                let time_limit_ms = if seconds == 0 { f64::INFINITY } else { f64::from(seconds) * 1e3 };
                self.can_do(net, id, name, time_limit_ms);
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
                        self.send(net, id, reply(kind::NOOP, &[]));
                    }
                }
            }
            kind::ALL_YOURS => {}
            kind::GRAB_JOB | kind::GRAB_JOB_UNIQ | kind::GRAB_JOB_ALL => self.assign(net, id, packet_kind),
            kind::WORK_STATUS => {
                let Some([handle, done, all]) = arguments::<3>(body) else { return false };
                self.on_progress(net, id, packet_kind, &[handle, done, all]);
            }
            kind::WORK_DATA | kind::WORK_WARNING => {
                let Some([handle, data]) = arguments::<2>(body) else { return false };
                self.on_progress(net, id, packet_kind, &[handle, data]);
            }
            kind::WORK_COMPLETE => {
                let Some([handle, data]) = arguments::<2>(body) else { return false };
                self.on_finished(id, handle, Outcome::Served, data.to_vec());
            }
            kind::WORK_EXCEPTION => {
                let Some([handle, data]) = arguments::<2>(body) else { return false };
                self.on_progress(net, id, packet_kind, &[handle, data]);
                // Only some workers send a WORK_FAIL after a WORK_EXCEPTION. Therefore this packet already
                // ends the attempt, and a WORK_FAIL that follows is ignored. The job does not return to this
                // worker, where that packet would end the later attempt.
                self.expect_late_failure(id, handle);
                self.on_finished(id, handle, Outcome::Error, Vec::new());
            }
            _ => self.on_finished(id, body, Outcome::Error, Vec::new()),
        }
        true
    }

    fn worker(&mut self, id: ConnId) -> Option<&mut Worker> {
        self.peers.get_mut(&id)?.worker.as_mut()
    }

    fn can_do(&mut self, net: &mut Sockets, id: ConnId, name: &[u8], time_limit_ms: f64) {
        let Some(function) = self.config.function(name) else {
            return self.send_error(net, id, "unknown_function", "the operator's file has no such function");
        };
        let kind = self.config.functions[function].kind;
        let worker = self.peers.get(&id).and_then(|p| p.worker.as_ref());
        if worker.is_some_and(|w| w.functions().any(|f| self.config.functions[f].kind != kind)) {
            return self.send_error(net, id, "other_kind", "a worker's functions are of one kind");
        }
        let offer_timeout_ms = self.config.site.connect_timeout_ms;
        // The slots of disconnected workers are reused, so that the endpoint list does not grow with each
        // reconnect.
        let used: BTreeSet<usize> =
            self.peers.values().filter_map(|p| Some(p.worker.as_ref()?.list_slot)).collect();
        let list_slot = (0..).find(|list_slot| !used.contains(list_slot)).unwrap_or(0);
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
        self.update_worker(id, |w| w.functions.insert(function, time_limit_ms));
    }

    /// Changes a worker, and updates its state in the endpoint list. A worker is ready if it can run all
    /// functions of its kind and runs no abandoned attempt.
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
        let is_running_abandoned = worker.assigned.values().any(|a| a.is_abandoned);
        let state = match kind {
            Some(kind) if can_all(kind) && !is_running_abandoned => EndpointStatus::Ready,
            _ if worker.state == EndpointStatus::Gone => return,
            _ => EndpointStatus::Draining,
        };
        if state == worker.state {
            return;
        }
        let endpoint = self.core.endpoints().get(worker.endpoint).map(|s| s.endpoint).unwrap_or_default();
        let kind = kind.map_or(endpoint.kind, |kind| kind as u16);
        // `started_at` is the connection's id, which differs from that of the worker that had this slot
        // before. As a time it is long past, so the endpoint is not in slow start: a worker that fetches
        // one job at a time cannot be overloaded.
        let endpoint = Endpoint { kind, size: 1.0, status: state, started_at: id, ..endpoint };
        let listed = ListedEndpoint { name: worker.name.clone(), address: String::new(), endpoint };
        worker.state = state;
        let name = worker.name.clone();
        // Offers that a draining worker has not fetched are returned, so that other workers get the jobs at
        // once.
        let withdrawn: Vec<AttemptId> = match state {
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
        for attempt in withdrawn {
            self.end_attempt(attempt, Outcome::NotSent);
        }
    }

    /// Reports to the core that an attempt ended without a result.
    fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        let AttemptId { job, number } = attempt;
        self.core.on_attempt_ended(job, number, outcome, LoadReport::default(), Vec::new());
    }

    /// Offers an attempt to a worker, and wakes the worker with a NOOP if it sleeps.
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
            self.send(net, id, reply(kind::NOOP, &[]));
        }
    }

    /// Assigns the oldest offered attempt to a worker that asks for a job.
    fn assign(&mut self, net: &mut Sockets, id: ConnId, packet_kind: u32) {
        let now = self.core.clock().now();
        loop {
            let Some((attempt, _)) = self.worker(id).and_then(|w| w.offered.pop_front()) else {
                return self.send(net, id, reply(kind::NO_JOB, &[]));
            };
            let Some(job) = self.jobs.get_mut(&attempt.job) else { continue };
            // Once the packet is sent, the job may have run.
            job.was_assigned = true;
            let (function, key) = (job.function, job.key.clone());
            let handle = Self::handle(attempt.job);
            let name = &self.config.functions[function].name;
            let (handle, unique, data) = (handle.as_bytes(), &job.unique, &job.data);
            let packet = match packet_kind {
                kind::GRAB_JOB => reply(kind::JOB_ASSIGN, &[handle, name, data]),
                kind::GRAB_JOB_UNIQ => reply(kind::JOB_ASSIGN_UNIQ, &[handle, name, unique, data]),
                _ => reply(kind::JOB_ASSIGN_ALL, &[handle, name, unique, b"", data]),
            };
            if let Some(worker) = self.worker(id) {
                let deadline_ms = now + worker.functions.get(&function).copied().unwrap_or(f64::INFINITY);
                worker
                    .assigned
                    .insert(attempt.job, Assigned { attempt, key, is_abandoned: false, deadline_ms });
            }
            self.send(net, id, packet);
            self.core.on_request_sent(attempt.job, attempt.number);
            return self.core.on_attempt_started(attempt.job, attempt.number);
        }
    }

    /// Forwards a worker's progress packet to the clients of a job that is assigned to it and not abandoned.
    fn on_progress(&mut self, net: &mut Sockets, id: ConnId, packet_kind: u32, fields: &[&[u8]]) {
        let Some(job_id) = Self::job_of_handle(fields[0]) else { return };
        // Only the core rejects jobs. A client that took a worker's words for a rejection would submit a job
        // again that may have run.
        if reads_as_denial(packet_kind, fields) && !self.core.rejection_is_safe(job_id) {
            return;
        }
        if self.worker(id).and_then(|w| w.assigned.get(&job_id)).is_some_and(|a| !a.is_abandoned) {
            self.forward(net, job_id, packet_kind, fields);
        }
    }
}
