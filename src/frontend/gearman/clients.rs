//! Clients: the jobs that they submit, the answers, and the record by which a client that submits a job again is answered.

use super::packets::{answer, arguments, kind};
use super::record::{Answer, Entry};
use super::{GearmanFrontend, Job};
use crate::core::{FinalAnswer, JobRequest};
use crate::frontend::Sockets;
use crate::net::ConnId;
use crate::routing::{Idempotency, JobId};

/// Jobs that one connection may wait for: it bounds the answers that can be queued for it. Above it a client's packets are
/// left unread; a worker that submits as well, and must be read, gets an error.
pub(super) const MAX_AWAITED_ANSWERS: usize = 256;

impl GearmanFrontend {
    /// Handles a client's packet. False where its arguments are not valid.
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
                self.send_error(net, id, "no_background", "a background job could never be answered");
            }
            kind::SUBMIT_REDUCE_JOB => self.send_error(net, id, "no_reduce", "reducers are not offered"),
            kind::GET_STATUS => {
                let Some([handle]) = arguments::<1>(body) else { return false };
                let [known, running, done, all] = self.status(Self::job_of_handle(handle));
                let packet = answer(kind::STATUS_RES, &[handle, &known, &running, &done, &all]);
                self.send(net, id, packet);
            }
            kind::GET_STATUS_UNIQUE => {
                let job = self.jobs.iter().find(|(_, j)| !body.is_empty() && j.unique == body);
                let count = job.map_or(0, |(_, j)| j.listeners.len()).to_string();
                let [known, running, done, all] = self.status(job.map(|(&job_id, _)| job_id));
                let fields = [body, &known, &running, &done, &all, count.as_bytes()];
                self.send(net, id, answer(kind::STATUS_RES_UNIQUE, &fields));
            }
            _ => self.send_error(net, id, "unknown_packet", "this kind of packet is not known here"),
        }
        true
    }

    /// The fields of a status packet: whether the job is known, whether it runs, and its progress.
    fn status(&self, job_id: Option<JobId>) -> [Vec<u8>; 4] {
        let digit = |flag: bool| vec![b'0' + u8::from(flag)];
        let job = job_id.and_then(|job_id| self.jobs.get(&job_id));
        let (done, all) = job.map_or((vec![b'0'], vec![b'0']), |j| j.progress.clone());
        [digit(job.is_some()), digit(job.is_some_and(|j| j.was_assigned)), done, all]
    }

    /// Takes a job from a client.
    fn submit(&mut self, net: &mut Sockets, id: ConnId, function: &[u8], unique: &[u8], data: &[u8]) {
        let Some(number) = self.config.function(function) else {
            return self.send_error(net, id, "unknown_function", "the operator's file has no such function");
        };
        let Some(peer) = self.peers.get(&id) else { return };
        if !peer.role.may_submit(&self.config.functions[number].tenant) {
            return self.send_error(net, id, "forbidden", "this identity may not submit this function");
        }
        if peer.awaited_jobs.len() >= MAX_AWAITED_ANSWERS {
            return self.send_error(net, id, "too_many_jobs", "this connection waits for too many answers");
        }
        // `-` in the protocol: jobs are the same where their data are.
        let unique = if unique == b"-" { data } else { unique };
        let key = (!unique.is_empty()).then(|| (number, unique.to_vec()));
        // Guards against a second run: a client that left and submits the same job again joins the one that
        // runs, or gets the answer that it missed.
        if let Some(entry) = key.as_ref().and_then(|key| self.record.get(key)).cloned() {
            return self.join(net, id, entry);
        }
        let now = self.core.clock().now();
        if key.is_some() && !self.record.make_room(now) {
            return self.send_error(net, id, "record_full", "try again later: nothing was run");
        }
        let request = JobRequest {
            class: number,
            deadline_ms: now + self.config.functions[number].max_wait_ms,
            slots: 1.0,
            work_ms: None,
            partition: 0,
        };
        match self.core.submit(request) {
            Ok(job_id) => {
                self.jobs.insert(job_id, Job::new(number, unique, key.clone(), data));
                if let Some(key) = key {
                    self.record.start(key, job_id);
                }
                self.send(net, id, answer(kind::JOB_CREATED, &[Self::handle(job_id).as_bytes()]));
                self.add_listener(job_id, id);
            }
            Err(final_answer) => {
                // It was rejected before it had a handle that anybody could ask for.
                let handle = Self::handle(JobId(0));
                self.send(net, id, answer(kind::JOB_CREATED, &[handle.as_bytes()]));
                self.send_final_answer(net, id, handle.as_bytes(), &final_answer);
            }
        }
    }

    /// Answers a submission whose job is on record: the client joins the run, or gets the answer that is kept.
    fn join(&mut self, net: &mut Sockets, id: ConnId, entry: Entry) {
        match entry {
            Entry::Running(job_id) => {
                self.send(net, id, answer(kind::JOB_CREATED, &[Self::handle(job_id).as_bytes()]));
                self.add_listener(job_id, id);
            }
            Entry::Answered { handle, answer: last } => {
                self.send(net, id, answer(kind::JOB_CREATED, &[handle.as_bytes()]));
                let packet = match &last {
                    Answer::Complete(result) => answer(kind::WORK_COMPLETE, &[handle.as_bytes(), result]),
                    Answer::Failed => answer(kind::WORK_FAIL, &[handle.as_bytes()]),
                };
                self.send(net, id, packet);
            }
        }
    }

    /// Has a connection wait for a job's answer.
    fn add_listener(&mut self, job_id: JobId, id: ConnId) {
        if let (Some(job), Some(peer)) = (self.jobs.get_mut(&job_id), self.peers.get_mut(&id)) {
            // Each submission gets an answer, also where one connection submits the same job twice.
            job.listeners.push(id);
            peer.awaited_jobs.push(job_id);
        }
    }

    /// A client has left. A job that a client can submit again by its key goes on.
    pub(super) fn remove_listener(&mut self, job_id: JobId, id: ConnId) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        job.listeners.retain(|&other| other != id);
        if job.listeners.is_empty() && job.key.is_none() {
            self.jobs.remove(&job_id);
            self.core.on_client_left(job_id);
        }
    }

    /// Gives a job's final answer to each of its clients and to the record.
    pub(super) fn answer(&mut self, net: &mut Sockets, job_id: JobId, final_answer: &FinalAnswer) {
        let Some(job) = self.jobs.remove(&job_id) else { return };
        let handle = Self::handle(job_id);
        let is_not_idempotent =
            self.config.site.settings.classes[job.function].idempotency != Idempotency::Idempotent;
        // An idempotent job may leave the record at any time: it can run again.
        let keep_until = self.core.clock().now() + if is_not_idempotent { self.config.keep_ms } else { 0.0 };
        if let Some(key) = &job.key {
            match final_answer {
                FinalAnswer::Served(result) => {
                    self.record.finish(key, handle.clone(), Answer::Complete(result.clone()), keep_until);
                }
                FinalAnswer::Failed if is_not_idempotent && job.was_assigned => {
                    self.record.finish(key, handle.clone(), Answer::Failed, keep_until);
                }
                _ => self.record.forget(key),
            }
        }
        for id in job.listeners {
            if let Some(peer) = self.peers.get_mut(&id)
                && let Some(at) = peer.awaited_jobs.iter().position(|&s| s == job_id)
            {
                peer.awaited_jobs.swap_remove(at);
            }
            self.send_final_answer(net, id, handle.as_bytes(), final_answer);
            // It may have packets that were left unread while it waited for too many answers.
            self.to_serve.push_back(id);
        }
    }

    /// Writes a final answer to a client.
    fn send_final_answer(
        &mut self,
        net: &mut Sockets,
        id: ConnId,
        handle: &[u8],
        final_answer: &FinalAnswer,
    ) {
        match final_answer {
            FinalAnswer::Served(result) => self.send(net, id, answer(kind::WORK_COMPLETE, &[handle, result])),
            FinalAnswer::Rejected { retry_after_ms: retry_after } => {
                let text = format!("denied retry-after-ms={}", retry_after.ceil());
                self.send(net, id, answer(kind::WORK_WARNING, &[handle, text.as_bytes()]));
                self.send(net, id, answer(kind::WORK_FAIL, &[handle]));
            }
            FinalAnswer::Failed => self.send(net, id, answer(kind::WORK_FAIL, &[handle])),
        }
    }

    /// Forwards a worker's packet to the clients of a job that has not ended.
    pub(super) fn forward(&mut self, net: &mut Sockets, job_id: JobId, number: u32, fields: &[&[u8]]) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        if let (kind::WORK_STATUS, [_, done, all]) = (number, fields) {
            job.progress = (done.to_vec(), all.to_vec());
        }
        for id in job.listeners.clone() {
            let wants =
                number != kind::WORK_EXCEPTION || self.peers.get(&id).is_some_and(|p| p.wants_exceptions);
            if wants {
                self.send(net, id, answer(number, fields));
            }
        }
    }
}
