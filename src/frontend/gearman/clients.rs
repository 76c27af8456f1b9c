//! Clients: submission of jobs, delivery of answers, and answers from the record to jobs that are submitted
//! again.

use super::denial::denial_text;
use super::packets::{arguments, kind, reply};
use super::record::{Answer, Entry};
use super::{GearmanFrontend, Job};
use crate::core::{FinalAnswer, JobRequest};
use crate::frontend::Sockets;
use crate::net::ConnId;
use crate::routing::{Idempotency, JobId};

/// Maximum number of jobs that a connection waits for. It bounds the answers that can be queued for the
/// connection. At the limit, a client's packets are not read. A worker that also submits jobs must be read,
/// and gets an error instead.
pub(super) const MAX_AWAITED_ANSWERS: usize = 256;

impl GearmanFrontend {
    /// Handles a packet from a client. Returns false if its arguments are not valid.
    pub(super) fn on_client_packet(
        &mut self,
        net: &mut Sockets,
        id: ConnId,
        packet_kind: u32,
        body: &[u8],
    ) -> bool {
        match packet_kind {
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
                let packet = reply(kind::STATUS_RES, &[handle, &known, &running, &done, &all]);
                self.send(net, id, packet);
            }
            kind::GET_STATUS_UNIQUE => {
                let job = self.jobs.iter().find(|(_, j)| !body.is_empty() && j.unique == body);
                let count = job.map_or(0, |(_, j)| j.listeners.len()).to_string();
                let [known, running, done, all] = self.status(job.map(|(&job_id, _)| job_id));
                let fields = [body, &known, &running, &done, &all, count.as_bytes()];
                self.send(net, id, reply(kind::STATUS_RES_UNIQUE, &fields));
            }
            _ => self.send_error(net, id, "unknown_packet", "this kind of packet is not known here"),
        }
        true
    }

    /// Returns the fields of a status packet: whether the job is known, whether it was assigned, and its
    /// progress.
    fn status(&self, job_id: Option<JobId>) -> [Vec<u8>; 4] {
        let digit = |flag: bool| vec![b'0' + u8::from(flag)];
        let job = job_id.and_then(|job_id| self.jobs.get(&job_id));
        let (done, all) = job.map_or((vec![b'0'], vec![b'0']), |j| j.progress.clone());
        [digit(job.is_some()), digit(job.is_some_and(|j| j.was_assigned)), done, all]
    }

    /// Handles the submission of a job.
    fn submit(&mut self, net: &mut Sockets, id: ConnId, function: &[u8], unique: &[u8], data: &[u8]) {
        let Some(function_index) = self.config.function(function) else {
            return self.send_error(net, id, "unknown_function", "the operator's file has no such function");
        };
        let Some(peer) = self.peers.get(&id) else { return };
        if !peer.role.may_submit(&self.config.functions[function_index].tenant) {
            return self.send_error(net, id, "forbidden", "this identity may not submit this function");
        }
        if peer.awaited_jobs.len() >= MAX_AWAITED_ANSWERS {
            return self.send_error(net, id, "too_many_jobs", "this connection waits for too many answers");
        }
        // In the protocol, a `unique` of `-` means that jobs with the same data are the same job.
        let unique = if unique == b"-" { data } else { unique };
        let key = (!unique.is_empty()).then(|| (function_index, unique.to_vec()));
        // A client that disconnected and submits the same job again must not start a second run. It joins the
        // running job, or gets the recorded answer.
        if let Some(entry) = key.as_ref().and_then(|key| self.record.get(key)).cloned() {
            return self.answer_from_record(net, id, entry);
        }
        let now = self.core.clock().now();
        if key.is_some() && !self.record.make_room(now) {
            return self.send_error(net, id, "record_full", "try again later: nothing was run");
        }
        let request = JobRequest {
            class: function_index,
            deadline_ms: now + self.config.functions[function_index].max_wait_ms,
            slots: 1.0,
            work_ms: None,
            partition: 0,
        };
        match self.core.submit(request) {
            Ok(job_id) => {
                let class = &self.config.site.settings.classes[function_index];
                let is_idempotent = class.idempotency == Idempotency::Idempotent;
                let job = Job::new(function_index, is_idempotent, unique, key.clone(), data);
                self.jobs.insert(job_id, job);
                if let Some(key) = key {
                    self.record.start(key, job_id);
                }
                self.send(net, id, reply(kind::JOB_CREATED, &[Self::handle(job_id).as_bytes()]));
                self.add_listener(job_id, id);
            }
            Err(final_answer) => {
                // The job was rejected before it got a handle, so the handle of no job is sent.
                let handle = Self::handle(JobId(0));
                self.send(net, id, reply(kind::JOB_CREATED, &[handle.as_bytes()]));
                self.send_final_answer(net, id, handle.as_bytes(), &final_answer);
            }
        }
    }

    /// Answers a submission whose job is recorded: the client waits for the running job, or gets the recorded
    /// answer.
    fn answer_from_record(&mut self, net: &mut Sockets, id: ConnId, entry: Entry) {
        match entry {
            Entry::Running(job_id) => {
                self.send(net, id, reply(kind::JOB_CREATED, &[Self::handle(job_id).as_bytes()]));
                self.add_listener(job_id, id);
            }
            Entry::Answered { handle, answer: last } => {
                self.send(net, id, reply(kind::JOB_CREATED, &[handle.as_bytes()]));
                let packet = match &last {
                    Answer::Complete(result) => reply(kind::WORK_COMPLETE, &[handle.as_bytes(), result]),
                    Answer::Failed => reply(kind::WORK_FAIL, &[handle.as_bytes()]),
                };
                self.send(net, id, packet);
            }
        }
    }

    /// Makes a connection wait for a job's final answer.
    fn add_listener(&mut self, job_id: JobId, id: ConnId) {
        if let (Some(job), Some(peer)) = (self.jobs.get_mut(&job_id), self.peers.get_mut(&id)) {
            // Each submission gets an answer, even if one connection submits the same job twice.
            job.listeners.push(id);
            peer.awaited_jobs.push(job_id);
        }
    }

    /// Removes a disconnected client from a job. A job without listeners is cancelled unless it has a key, by
    /// which a client can submit it again.
    pub(super) fn remove_listener(&mut self, job_id: JobId, id: ConnId) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        job.listeners.retain(|&other| other != id);
        if job.listeners.is_empty() && job.key.is_none() {
            self.jobs.remove(&job_id);
            self.core.on_client_left(job_id);
        }
    }

    /// Handles the core's final answer to a job: records it, and sends it to each waiting client.
    pub(super) fn on_final_answer(&mut self, net: &mut Sockets, job_id: JobId, final_answer: &FinalAnswer) {
        let Some(job) = self.jobs.remove(&job_id) else { return };
        let handle = Self::handle(job_id);
        // The entry of an idempotent job may be evicted at any time, because the job can run again.
        let keep_until = self.core.clock().now() + if job.is_idempotent { 0.0 } else { self.config.keep_ms };
        if let Some(key) = &job.key {
            match final_answer {
                FinalAnswer::Served(result) => {
                    self.record.finish(key, handle.clone(), Answer::Complete(result.clone()), keep_until);
                }
                FinalAnswer::Failed if !job.is_idempotent && job.was_assigned => {
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
            // The connection may have packets that were not read while it waited for too many answers.
            self.to_serve.push_back(id);
        }
    }

    /// Sends a final answer to a client.
    fn send_final_answer(
        &mut self,
        net: &mut Sockets,
        id: ConnId,
        handle: &[u8],
        final_answer: &FinalAnswer,
    ) {
        match final_answer {
            FinalAnswer::Served(result) => self.send(net, id, reply(kind::WORK_COMPLETE, &[handle, result])),
            FinalAnswer::Rejected { retry_after_ms: retry_after } => {
                let text = denial_text(*retry_after);
                self.send(net, id, reply(kind::WORK_WARNING, &[handle, text.as_bytes()]));
                self.send(net, id, reply(kind::WORK_FAIL, &[handle]));
            }
            FinalAnswer::Failed => self.send(net, id, reply(kind::WORK_FAIL, &[handle])),
        }
    }

    /// Forwards a worker's packet to the clients that wait for the job.
    pub(super) fn forward(&mut self, net: &mut Sockets, job_id: JobId, packet_kind: u32, fields: &[&[u8]]) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        if let (kind::WORK_STATUS, [_, done, all]) = (packet_kind, fields) {
            job.progress = (done.to_vec(), all.to_vec());
        }
        for id in job.listeners.clone() {
            let wants = packet_kind != kind::WORK_EXCEPTION
                || self.peers.get(&id).is_some_and(|p| p.wants_exceptions);
            if wants {
                self.send(net, id, reply(packet_kind, fields));
            }
        }
    }
}
