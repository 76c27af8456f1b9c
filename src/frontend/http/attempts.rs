//! Attempts: written once their connections are up, cancelled, and ended by what their endpoints respond.

use std::rc::Rc;

use super::HttpFrontend;
use super::upstream::{
    AttemptId, AttemptState, Clearance, ConnectionUse, MAX_CANCEL_TRIES, RESPONSE_TIMEOUT_MS, declines,
};
use crate::frontend::Sockets;
use crate::net::ConnId;
use crate::net::http::{self, Message};
use crate::routing::{EndpointId, JobId, LoadReport, Outcome};

impl HttpFrontend {
    /// Finds a connection for an attempt. It is written once that is up, which may be much later.
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

    /// Writes an attempt whose connection is up. Much can have come between its decision and now: the client has left, the
    /// endpoint drains, has moved or was started anew, the time for a repeat is over. Then it never ran.
    pub(super) fn write_attempt(&mut self, net: &mut Sockets, conn: ConnId, id: AttemptId) {
        if self.client_has_left(net, id.job) {
            return;
        }
        let Some(AttemptState { endpoint, address, .. }) = self.upstreams.attempts.get(&id) else { return };
        let host = self.address(*endpoint);
        let is_valid = host == *address && self.core.attempt_is_valid(id.job, id.number);
        let clearance = match self.core.site().allows_copies {
            true => Clearance::Cleared,
            false => self.upstreams.clearance(id.job),
        };
        let is_intact = net.conn(conn).is_some_and(|conn| conn.is_reusable());
        if is_valid && is_intact && self.upstreams.is_resting(conn) {
            // Guards against a request that crosses the end of a connection that was used just before: it may have run,
            // and is answered as failed.
            return;
        }
        let outcome = match (is_valid && clearance != Clearance::Refused, is_intact) {
            (true, true) if clearance == Clearance::Waiting => {
                // A second copy must not be open beside the first: it waits until that is cancelled.
                return self.upstreams.set_deadline(conn, f64::INFINITY);
            }
            (true, true) => None,
            // Guards against a job that is decided anew, and held, as an idle connection has ended: nothing was sent.
            (true, false) if self.upstreams.was_pooled(conn) => {
                return self.move_to_new_connection(net, conn, id);
            }
            // A connection that has ended says of an endpoint that took it just now that it fails.
            (true, false) if !self.upstreams.was_up_before(conn) => Some(Outcome::Unreachable),
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

    /// Goes on with an attempt on a new connection, as the idle one that it was to be written on has ended.
    fn move_to_new_connection(&mut self, net: &mut Sockets, ended: ConnId, id: AttemptId) {
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

    /// An attempt's request, with the time that is left to its client.
    fn attempt_bytes(&self, id: JobId, host: String) -> Vec<u8> {
        let deadline_ms = self.core.job(id).map_or(0.0, |job| job.request.deadline_ms);
        let left_us = ((deadline_ms - self.core.clock().now()) * 1e3).max(0.0) as u64;
        let job = &self.jobs[&id];
        let mut headers =
            vec![("Host", host), ("Req-Id", job.id.to_string()), ("Req-Deadline", format!("{left_us}u"))];
        headers.extend(job.headers.iter().map(|(name, value)| (name.as_str(), value.clone())));
        http::write_request("POST", &job.target, &headers, Some(&job.body))
    }

    /// Cancels an attempt: before the job was taken by closing the connection, after that by a `DELETE`.
    pub(super) fn cancel(&mut self, net: &mut Sockets, id: AttemptId) {
        let Some(attempt) = self.upstreams.attempts.remove(&id) else { return };
        // While the job goes on its next attempt waits where no two may be open together.
        let next_waits = !self.core.site().allows_copies && self.jobs.contains_key(&id.job);
        if let Some(conn) = attempt.conn {
            let purpose = self.upstreams.purpose(conn);
            self.close_upstream(net, conn);
            // A 202 that was lost on its way is one for the endpoint: then the close cancels nothing.
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

    /// A `DELETE` had no response: it may not have come, and is made again where the next attempt waits for it.
    pub(super) fn on_cancel_failed(&mut self, net: &mut Sockets, id: AttemptId) {
        let Some(cancelling) = self.upstreams.attempts.get_mut(&id) else { return };
        let Some(tries) = &mut cancelling.cancel_tries else { return };
        *tries += 1;
        let (tries, endpoint) = (*tries, cancelling.endpoint);
        let request_id = Rc::clone(&cancelling.request_id);
        if tries < MAX_CANCEL_TRIES {
            self.send_cancel(net, id, endpoint, &request_id);
        } else {
            self.resume_waiting(net, id.job);
        }
    }

    /// An endpoint has confirmed that an attempt is cancelled: what waited for that goes on.
    pub(super) fn on_cancelled(&mut self, net: &mut Sockets, id: AttemptId) {
        if self.upstreams.attempts.get(&id).is_some_and(|attempt| attempt.cancel_tries.is_some()) {
            self.upstreams.attempts.remove(&id);
            self.resume_waiting(net, id.job);
        }
    }

    /// Lets a job's next attempt go on that waited for an older one to be cancelled.
    fn resume_waiting(&mut self, net: &mut Sockets, job: JobId) {
        let of_job = self.upstreams.attempts.iter().filter(|(id, _)| id.job == job);
        for conn in of_job.filter_map(|(_, attempt)| attempt.conn).collect::<Vec<_>>() {
            self.on_upstream_ready(net, conn);
        }
    }

    /// Takes an attempt that has ended by a callback off its connection, which still awaits a response.
    pub(super) fn detach(&mut self, id: AttemptId) {
        let now_ms = self.core.clock().now();
        if let Some(conn) = self.upstreams.attempts.remove(&id).and_then(|attempt| attempt.conn) {
            self.upstreams.start_draining(conn, now_ms);
        }
    }

    /// An endpoint has responded to an attempt.
    pub(super) fn on_attempt_response(&mut self, id: AttemptId, message: &Message) {
        let report =
            message.header("srv-load").map_or(LoadReport::default(), |text| self.load_from_text(text));
        match message.status {
            202 => {
                if let Some(attempt) = self.upstreams.attempts.get_mut(&id) {
                    attempt.conn = None;
                }
            }
            _ if declines(message) => self.end_unserved(id, Outcome::Full, report),
            // What is wrong with the request is not its endpoint's failure; to come too late, too early or too often is
            // nothing wrong with it.
            400..500 if !matches!(message.status, 408 | 425 | 429) => {
                self.end_unserved(id, Outcome::Unfit, report);
            }
            _ => self.end_unserved(id, Outcome::Error, report),
        }
    }

    /// Tells the core how an attempt ended other than served.
    pub(super) fn end_unserved(&mut self, id: AttemptId, outcome: Outcome, report: LoadReport) {
        self.upstreams.attempts.remove(&id);
        self.core.on_attempt_ended(id.job, id.number, outcome, report, Vec::new());
    }
}
