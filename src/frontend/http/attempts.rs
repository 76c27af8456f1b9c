//! Attempts: sent once their connection is established, cancelled, and ended by the endpoint's response.

use std::rc::Rc;

use super::HttpFrontend;
use super::upstream::{
    AttemptId, AttemptState, ConnectionUse, MAX_CANCEL_TRIES, RESPONSE_TIMEOUT_MS, WritePermission,
};
use crate::frontend::Sockets;
use crate::frontend::refusals::proves_never_ran;
use crate::net::ConnId;
use crate::net::http::{self, Message};
use crate::routing::{EndpointId, JobId, LoadReport, Outcome};

impl HttpFrontend {
    /// Assigns a connection to an attempt. The request is written once the connection is established, which
    /// may be much later.
    pub(super) fn send(&mut self, net: &mut Sockets, id: AttemptId, endpoint: EndpointId) {
        if self.client_has_left(net, id.job) {
            return;
        }
        let conn = match self.acquire(net, endpoint, ConnectionUse::Assigned(id)) {
            Ok(conn) => conn,
            Err(outcome) => return self.end_unserved(id, outcome, LoadReport::default()),
        };
        let (request_id, address) = (Rc::clone(&self.jobs[&id.job].id), self.address(endpoint));
        let attempt = AttemptState { endpoint, conn: Some(conn), request_id, address, cancel_tries: None };
        self.upstreams.attempts.insert(id, attempt);
        self.on_upstream_ready(net, conn);
    }

    /// Writes an attempt whose connection is established. The situation may have changed since the core's
    /// decision: the client has left, the endpoint drains, has moved or was restarted, or the time for a
    /// retry is over. In these cases the attempt never ran.
    pub(super) fn write_attempt(&mut self, net: &mut Sockets, conn: ConnId, id: AttemptId) {
        if self.client_has_left(net, id.job) {
            return;
        }
        let Some(AttemptState { endpoint, address, .. }) = self.upstreams.attempts.get(&id) else { return };
        let host = self.address(*endpoint);
        let is_valid = host == *address && self.core.attempt_is_valid(id.job, id.number);
        let permission = match self.core.site().allows_copies {
            true => WritePermission::Granted,
            false => self.upstreams.write_permission(id.job),
        };
        let is_intact = net.conn(conn).is_some_and(|conn| conn.is_reusable());
        if is_valid && is_intact && self.upstreams.is_write_delayed(conn) {
            // The endpoint may be closing a connection that was used just before. A request that crosses the
            // close may have run, and would have to be answered as failed; so the attempt waits (see
            // `write_after_ms`).
            return;
        }
        let outcome = match (is_valid && permission != WritePermission::Denied, is_intact) {
            (true, true) if permission == WritePermission::Pending => {
                // The previous attempt of the job must be cancelled before this one is written, since no two
                // may be open at once.
                return self.upstreams.set_deadline(conn, f64::INFINITY);
            }
            (true, true) => None,
            // The idle connection was closed and nothing was sent, so the attempt moves to a new connection.
            // Ending it instead would hold the job for another decision.
            (true, false) if self.upstreams.was_pooled(conn) => {
                return self.retry_on_new_connection(net, conn, id);
            }
            // A connection that ended right after it was established shows that the endpoint is failing.
            (true, false) if !self.upstreams.was_connected_before(conn) => Some(Outcome::Unreachable),
            _ => Some(Outcome::NotSent),
        };
        if let Some(outcome) = outcome {
            self.close_upstream(net, conn);
            return self.end_unserved(id, outcome, LoadReport::default());
        }
        let bytes = self.attempt_bytes(id.job, host);
        self.upstreams.start_attempt(conn, id);
        net.write(conn, &bytes);
        self.on_upstream_ready(net, conn);
    }

    /// Continues an attempt on a new connection, because the idle one chosen for it was closed.
    fn retry_on_new_connection(&mut self, net: &mut Sockets, ended: ConnId, id: AttemptId) {
        self.close_upstream(net, ended);
        let Some(attempt) = self.upstreams.attempts.get(&id) else { return };
        let opened = self.open_upstream(net, attempt.endpoint, ConnectionUse::Assigned(id));
        let conn = match opened {
            Ok(conn) => conn,
            Err(outcome) => return self.end_unserved(id, outcome, LoadReport::default()),
        };
        if let Some(attempt) = self.upstreams.attempts.get_mut(&id) {
            attempt.conn = Some(conn);
        }
        self.on_upstream_ready(net, conn);
    }

    /// Builds an attempt's request, with the client's remaining time as its deadline.
    fn attempt_bytes(&self, id: JobId, host: String) -> Vec<u8> {
        let deadline_ms = self.core.job(id).map_or(0.0, |job| job.request.deadline_ms);
        let left_us = ((deadline_ms - self.core.clock().now()) * 1e3).max(0.0) as u64;
        let job = &self.jobs[&id];
        let mut headers =
            vec![("Host", host), ("Req-Id", job.id.to_string()), ("Req-Deadline", format!("{left_us}u"))];
        headers.extend(job.headers.iter().map(|(name, value)| (name.as_str(), value.clone())));
        http::write_request("POST", &job.target, &headers, Some(&job.body))
    }

    /// Cancels an attempt: by closing its connection before the endpoint has accepted the job, by a `DELETE`
    /// after that.
    pub(super) fn cancel(&mut self, net: &mut Sockets, id: AttemptId) {
        let Some(attempt) = self.upstreams.attempts.remove(&id) else { return };
        // Where no two attempts of a job may be open at once, the next attempt of an unfinished job waits for
        // the cancellation.
        let next_waits = !self.core.site().allows_copies && self.jobs.contains_key(&id.job);
        if let Some(conn) = attempt.conn {
            let purpose = self.upstreams.purpose(conn);
            self.close_upstream(net, conn);
            // The endpoint may have accepted the job with a 202 that has not arrived; closing the connection
            // does not cancel the job then.
            let may_be_taken = matches!(purpose, Some(ConnectionUse::Attempt(_)));
            if !(next_waits && may_be_taken) {
                return;
            }
        }
        let (endpoint, request_id) = (attempt.endpoint, Rc::clone(&attempt.request_id));
        if next_waits {
            let cancelling = AttemptState { cancel_tries: Some(0), conn: None, ..attempt };
            self.upstreams.attempts.insert(id, cancelling);
        }
        self.send_cancel(net, id, endpoint, &request_id);
    }

    fn send_cancel(&mut self, net: &mut Sockets, id: AttemptId, endpoint: EndpointId, request_id: &str) {
        let now_ms = self.core.clock().now();
        let Ok(conn) = self.acquire(net, endpoint, ConnectionUse::Cancelling(id)) else {
            return self.on_cancel_failed(net, id);
        };
        if net.conn(conn).is_some_and(|conn| !conn.connecting) {
            self.upstreams.set_deadline(conn, now_ms + RESPONSE_TIMEOUT_MS);
        }
        let host = [("Host", self.address(endpoint))];
        net.write(conn, &http::write_request("DELETE", &format!("/jobs/{request_id}"), &host, None));
        self.on_upstream_ready(net, conn);
    }

    /// Handles a `DELETE` without a response, which may not have arrived. It is sent again if the next
    /// attempt waits for it.
    pub(super) fn on_cancel_failed(&mut self, net: &mut Sockets, id: AttemptId) {
        let Some(cancelling) = self.upstreams.attempts.get_mut(&id) else { return };
        let Some(tries) = &mut cancelling.cancel_tries else { return };
        *tries += 1;
        let (tries, endpoint) = (*tries, cancelling.endpoint);
        let request_id = Rc::clone(&cancelling.request_id);
        if tries < MAX_CANCEL_TRIES {
            self.send_cancel(net, id, endpoint, &request_id);
        } else {
            self.resume_next_attempt(net, id.job);
        }
    }

    /// Handles an endpoint's confirmation that an attempt is cancelled: the next attempt may be written.
    pub(super) fn on_cancelled(&mut self, net: &mut Sockets, id: AttemptId) {
        if self.upstreams.attempts.get(&id).is_some_and(|attempt| attempt.cancel_tries.is_some()) {
            self.upstreams.attempts.remove(&id);
            self.resume_next_attempt(net, id.job);
        }
    }

    /// Resumes the attempts of a job that waited for an older one to be cancelled.
    fn resume_next_attempt(&mut self, net: &mut Sockets, job: JobId) {
        let of_job = self.upstreams.attempts.iter().filter(|(id, _)| id.job == job);
        for conn in of_job.filter_map(|(_, attempt)| attempt.conn).collect::<Vec<_>>() {
            self.on_upstream_ready(net, conn);
        }
    }

    /// Detaches an attempt that was ended by a callback from its connection, which still awaits a response.
    pub(super) fn detach(&mut self, id: AttemptId) {
        let now_ms = self.core.clock().now();
        if let Some(conn) = self.upstreams.attempts.remove(&id).and_then(|attempt| attempt.conn) {
            self.upstreams.start_draining(conn, now_ms);
        }
    }

    /// Handles an endpoint's response to an attempt.
    pub(super) fn on_attempt_response(&mut self, id: AttemptId, message: &Message) {
        let report =
            message.header("srv-load").map_or(LoadReport::default(), |text| self.load_from_text(text));
        match message.status {
            202 => {
                if let Some(attempt) = self.upstreams.attempts.get_mut(&id) {
                    attempt.conn = None;
                }
            }
            _ if proves_never_ran(message.status, &message.headers) => {
                self.end_unserved(id, Outcome::Full, report);
            }
            // A client error is the request's fault and not the endpoint's, except for 408, 425 and 429,
            // which depend on timing and rate.
            400..500 if !matches!(message.status, 408 | 425 | 429) => {
                self.end_unserved(id, Outcome::NoRetry, report);
            }
            _ => self.end_unserved(id, Outcome::Error, report),
        }
    }

    /// Reports to the core an attempt that ended without being served.
    pub(super) fn end_unserved(&mut self, id: AttemptId, outcome: Outcome, report: LoadReport) {
        self.upstreams.attempts.remove(&id);
        self.core.on_attempt_ended(id.job, id.number, outcome, report, Vec::new());
    }
}
