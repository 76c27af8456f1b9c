//! Clients: their jobs, the answers, and the record by which a client that comes back is answered.

use super::packets::{answer, arguments, kind};
use super::record::{Answer, Entry};
use super::{GearmanFrontend, Job};
use crate::core::{FinalAnswer, JobRequest};
use crate::frontend::Sockets;
use crate::net::ConnId;
use crate::routing::{Idempotency, JobId};

/// Jobs that one connection may wait for. Beyond it a client's further packets are left unread, and a worker that
/// submits as well, and must be read, is told so.
pub(super) const MAX_AWAITED_ANSWERS: usize = 256;

impl GearmanFrontend {
    /// Reads a client's packet; false where it does not read.
    pub(super) fn client_packet(&mut self, net: &mut Sockets, id: ConnId, number: u32, body: &[u8]) -> bool {
        match number {
            kind::SUBMIT_JOB | kind::SUBMIT_JOB_HIGH | kind::SUBMIT_JOB_LOW => {
                let Some([function, unique, data]) = arguments::<3>(body) else { return false };
                self.submit(net, id, function, unique, data);
            }
            kind::SUBMIT_JOB_BG
            | kind::SUBMIT_JOB_HIGH_BG
            | kind::SUBMIT_JOB_LOW_BG
            | kind::SUBMIT_JOB_SCHED
            | kind::SUBMIT_JOB_EPOCH
            | kind::SUBMIT_REDUCE_JOB_BACKGROUND => {
                self.error(net, id, "no_background", "a background job could never be answered");
            }
            kind::SUBMIT_REDUCE_JOB => self.error(net, id, "no_reduce", "reducers are not offered"),
            kind::GET_STATUS => {
                let Some([handle]) = arguments::<1>(body) else { return false };
                let [known, running, done, all] = self.status(Self::session(handle));
                let packet = answer(kind::STATUS_RES, &[handle, &known, &running, &done, &all]);
                self.put(net, id, packet);
            }
            kind::GET_STATUS_UNIQUE => {
                let job = self.jobs.iter().find(|(_, j)| !body.is_empty() && j.unique == body);
                let count = job.map_or(0, |(_, j)| j.listeners.len()).to_string();
                let [known, running, done, all] = self.status(job.map(|(&session, _)| session));
                let fields = [body, &known, &running, &done, &all, count.as_bytes()];
                self.put(net, id, answer(kind::STATUS_RES_UNIQUE, &fields));
            }
            _ => self.error(net, id, "unknown_packet", "this kind of packet is not known here"),
        }
        true
    }

    /// Whether a job is known and running, and how far it has got.
    fn status(&self, session: Option<JobId>) -> [Vec<u8>; 4] {
        let digit = |flag: bool| vec![b'0' + u8::from(flag)];
        let job = session.and_then(|session| self.jobs.get(&session));
        let (done, all) = job.map_or((vec![b'0'], vec![b'0']), |j| j.progress.clone());
        [digit(job.is_some()), digit(job.is_some_and(|j| j.assigned)), done, all]
    }

    fn submit(&mut self, net: &mut Sockets, id: ConnId, function: &[u8], unique: &[u8], data: &[u8]) {
        let Some(number) = self.config.function(function) else {
            return self.error(net, id, "unknown_function", "the operator's file has no such function");
        };
        let Some(peer) = self.peers.get(&id) else { return };
        if !peer.role.may_submit(&self.config.functions[number].tenant) {
            return self.error(net, id, "forbidden", "this identity may not submit this function");
        }
        if peer.waits.len() >= MAX_AWAITED_ANSWERS {
            return self.error(net, id, "too_many_jobs", "this connection waits for too many answers");
        }
        // The protocol's `-`: the data themselves tell jobs apart.
        let unique = if unique == b"-" { data } else { unique };
        let key = (!unique.is_empty()).then(|| (number, unique.to_vec()));
        // Guards against a second run: a client that left and submits the same job again joins the one that
        // runs, or gets the answer that it missed.
        if let Some(entry) = key.as_ref().and_then(|key| self.record.get(key)).cloned() {
            return self.join(net, id, entry);
        }
        let now = self.core.clock().now();
        if key.is_some() && !self.record.make_room(now) {
            return self.error(net, id, "record_full", "try again later: nothing was run");
        }
        let request = JobRequest {
            class: number,
            deadline_ms: now + self.config.functions[number].wait,
            slots: 1.0,
            work_ms: None,
            partition: 0,
        };
        match self.core.submit(request) {
            Ok(session) => {
                self.jobs.insert(session, Job::new(number, unique, key.clone(), data));
                if let Some(key) = key {
                    self.record.run(key, session);
                }
                self.put(net, id, answer(kind::JOB_CREATED, &[Self::handle(session).as_bytes()]));
                self.listen(session, id);
            }
            Err(verdict) => {
                // It was turned away before it had a handle that anybody could ask for.
                let handle = Self::handle(JobId(0));
                self.put(net, id, answer(kind::JOB_CREATED, &[handle.as_bytes()]));
                self.say(net, id, handle.as_bytes(), &verdict);
            }
        }
    }

    /// Answers a submission whose job is on record: the client joins the run, or gets the answer that is kept.
    fn join(&mut self, net: &mut Sockets, id: ConnId, entry: Entry) {
        match entry {
            Entry::Running(session) => {
                self.put(net, id, answer(kind::JOB_CREATED, &[Self::handle(session).as_bytes()]));
                self.listen(session, id);
            }
            Entry::Over { handle, answer: last } => {
                self.put(net, id, answer(kind::JOB_CREATED, &[handle.as_bytes()]));
                let packet = match &last {
                    Answer::Complete(result) => answer(kind::WORK_COMPLETE, &[handle.as_bytes(), result]),
                    Answer::Failed => answer(kind::WORK_FAIL, &[handle.as_bytes()]),
                };
                self.put(net, id, packet);
            }
        }
    }

    fn listen(&mut self, session: JobId, id: ConnId) {
        if let (Some(job), Some(peer)) = (self.jobs.get_mut(&session), self.peers.get_mut(&id)) {
            // Each submission is owed an answer, also where one connection submits the same job twice.
            job.listeners.push(id);
            peer.waits.push(session);
        }
    }

    /// A client has left. A job that it can come back for goes on.
    pub(super) fn stop_listening(&mut self, session: JobId, id: ConnId) {
        let Some(job) = self.jobs.get_mut(&session) else { return };
        job.listeners.retain(|&other| other != id);
        if job.listeners.is_empty() && job.key.is_none() {
            self.jobs.remove(&session);
            self.core.on_client_left(session);
        }
    }

    /// Gives a session its final answer: to each of its clients, and to the record.
    pub(super) fn answer(&mut self, net: &mut Sockets, session: JobId, verdict: &FinalAnswer) {
        let Some(job) = self.jobs.remove(&session) else { return };
        let handle = Self::handle(session);
        let is_unsafe =
            self.config.site.settings.classes[job.function].idempotency != Idempotency::Idempotent;
        // A safe job may make room at any time: it can run again.
        let keep = self.core.clock().now() + if is_unsafe { self.config.keep } else { 0.0 };
        if let Some(key) = &job.key {
            match verdict {
                FinalAnswer::Served(result) => {
                    self.record.over(key, handle.clone(), Answer::Complete(result.clone()), keep);
                }
                FinalAnswer::Failed if is_unsafe && job.assigned => {
                    self.record.over(key, handle.clone(), Answer::Failed, keep);
                }
                _ => self.record.remove(key),
            }
        }
        for id in job.listeners {
            if let Some(peer) = self.peers.get_mut(&id)
                && let Some(at) = peer.waits.iter().position(|&s| s == session)
            {
                peer.waits.swap_remove(at);
            }
            self.say(net, id, handle.as_bytes(), verdict);
            // It may have packets that were left unread until now.
            self.again.push_back(id);
        }
    }

    fn say(&mut self, net: &mut Sockets, id: ConnId, handle: &[u8], verdict: &FinalAnswer) {
        match verdict {
            FinalAnswer::Served(result) => self.put(net, id, answer(kind::WORK_COMPLETE, &[handle, result])),
            FinalAnswer::Rejected { retry_after_ms: retry_after } => {
                let text = format!("denied retry-after-ms={}", retry_after.ceil());
                self.put(net, id, answer(kind::WORK_WARNING, &[handle, text.as_bytes()]));
                self.put(net, id, answer(kind::WORK_FAIL, &[handle]));
            }
            FinalAnswer::Failed => self.put(net, id, answer(kind::WORK_FAIL, &[handle])),
        }
    }

    /// Passes on what a worker tells of a job that is not over.
    pub(super) fn pass_on(&mut self, net: &mut Sockets, session: JobId, number: u32, fields: &[&[u8]]) {
        let Some(job) = self.jobs.get_mut(&session) else { return };
        if let (kind::WORK_STATUS, [_, done, all]) = (number, fields) {
            job.progress = (done.to_vec(), all.to_vec());
        }
        for id in job.listeners.clone() {
            let wants = number != kind::WORK_EXCEPTION || self.peers.get(&id).is_some_and(|p| p.exceptions);
            if wants {
                self.put(net, id, answer(number, fields));
            }
        }
    }
}
