//! Responses to clients: final answers of jobs, and responses to all other requests.

use super::{ClientJob, HttpFrontend};
use crate::core::FinalAnswer;
use crate::frontend::Sockets;
use crate::net::ConnId;
use crate::net::http;
use crate::routing::JobId;

impl HttpFrontend {
    /// Removes a job's client request and returns it.
    pub(super) fn forget_job(&mut self, job: JobId) -> Option<ClientJob> {
        let client_job = self.jobs.remove(&job)?;
        self.jobs_by_request_id.remove(&client_job.id);
        if !self.core.site().allows_copies {
            self.upstreams.forget_cancelling(job);
        }
        Some(client_job)
    }

    /// Sends a job's final answer to its client.
    pub(super) fn answer(&mut self, net: &mut Sockets, job: JobId, answer: FinalAnswer) {
        let Some(ClientJob { client: id, .. }) = self.forget_job(job) else { return };
        let now_ms = self.core.clock().now();
        if let Some(client) = self.clients.get_mut(id) {
            (client.job, client.idle_since_ms) = (None, now_ms);
        }
        let close = net.conn(id).is_some_and(|conn| conn.closes_after_response);
        self.respond_with_answer(net, id, answer, close);
        self.clients.answered.push(id);
    }

    /// Rejects a request that was not passed to the core, with a `Retry-After` header.
    pub(super) fn reject(&mut self, net: &mut Sockets, id: ConnId, close: bool) {
        let retry_after_ms = self.core.site().max_retry_after_ms;
        self.respond_with_answer(net, id, FinalAnswer::Rejected { retry_after_ms }, close);
    }

    pub(super) fn respond_with_answer(
        &mut self,
        net: &mut Sockets,
        id: ConnId,
        answer: FinalAnswer,
        close: bool,
    ) {
        match answer {
            FinalAnswer::Served(result) => self.respond(net, id, 200, &[], &result, close),
            FinalAnswer::Rejected { retry_after_ms } if retry_after_ms > 0.0 => {
                let advice = [("Retry-After", format!("{:.3}", retry_after_ms / 1e3))];
                self.respond(net, id, 503, &advice, b"", close);
            }
            FinalAnswer::Rejected { .. } => self.respond(net, id, 503, &[], b"", close),
            FinalAnswer::Failed => self.respond(net, id, 500, &[], b"", close),
        }
    }

    /// Responds with a status and an empty body, and closes the connection.
    pub(super) fn respond_and_close(&mut self, net: &mut Sockets, id: ConnId, status: u16) {
        self.respond(net, id, status, &[], b"", true);
    }

    /// Responds to a client. The connection is dropped if the response does not fit its write buffer, because
    /// the client does not read its responses.
    pub(super) fn respond(
        &mut self,
        net: &mut Sockets,
        id: ConnId,
        status: u16,
        headers: &[(&str, String)],
        body: &[u8],
        close: bool,
    ) {
        let close = close || self.closes_after(net, id, status);
        if !net.write(id, &http::write_response(status, headers, body, close)) {
            return self.drop_client(net, id);
        }
        if close {
            self.start_closing(net, id);
        }
    }

    /// Whether the server closes a connection after a response even if its client wants to keep it alive.
    fn closes_after(&self, net: &mut Sockets, id: ConnId, status: u16) -> bool {
        let client = self.clients.connections.get(&id);
        // An evacuated client's connection is closed once it is answered; connections that carry endpoints'
        // callbacks stay open.
        let is_sent_away = self.evacuating && client.is_some_and(|client| !client.sends_callbacks);
        // An upgrade link stays open until the process ends: the process at its other end could not open
        // another one.
        let is_ending = self.has_stopped_accepting() && client.is_none_or(|client| !client.is_upgrade_link);
        let is_last = net.conn(id).is_some_and(|conn| conn.closes_after_response);
        is_last || is_sent_away || is_ending || matches!(status, 400 | 413 | 501)
    }
}
