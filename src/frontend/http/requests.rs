//! Requests from clients: reads them from their connections, dispatches them by path and submits jobs to the
//! core.

use std::rc::Rc;

use super::callbacks::CallbackResult;
use super::clients::{Client, PartialRequest, READ_TIMEOUT_MS, REQUEST_TIMEOUT_MS};
use super::headers::{MAX_WAIT_MS, parse_duration_ms, parse_slots, parse_work_ms};
use super::policy_gate::RouteDecision;
use super::{ClientJob, HttpFrontend, upgrade_link};
use crate::core::JobRequest;
use crate::frontend::Sockets;
use crate::net::http::{self, Message, MessageError};
use crate::net::{ConnId, head};
use crate::routing::JobId;

/// Maximum number of bytes of a rejected request that are discarded in one turn; beyond that the connection
/// is dropped. They are discarded so that the client reads its response.
const MAX_DRAINED_BYTES: usize = 16 << 20;
/// Maximum number of requests read from one connection before other connections are served.
const MAX_REQUESTS_PER_TURN: usize = 64;
/// Maximum length of a request ID, which must fit into a path.
const MAX_ID_BYTES: usize = 128;
/// Headers that are replaced in the request to an endpoint, or handled here. All others except hop-by-hop
/// headers are forwarded, since clients and endpoints may have agreed on them, such as an idempotency key.
const REWRITTEN_HEADERS: [&str; 4] = ["host", "expect", "req-id", "req-deadline"];

/// Whether to continue reading a connection in this turn.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    Continue,
    Done,
}

/// The part of its turn that a connection has used.
#[derive(Default)]
struct TurnUsage {
    drained_bytes: usize,
    requests: usize,
}

impl HttpFrontend {
    /// Handles a client connection that became readable or writable, or was closed.
    pub(super) fn on_client_ready(&mut self, net: &mut Sockets, id: ConnId) {
        let mut turn = TurnUsage::default();
        while self.read_client(net, id, &mut turn) == Progress::Continue {}
    }

    /// Performs one read step on a client connection.
    fn read_client(&mut self, net: &mut Sockets, id: ConnId, turn: &mut TurnUsage) -> Progress {
        let Some(conn) = net.conn(id) else { return Progress::Done };
        conn.pump();
        let has_ended = conn.eof || conn.broken;
        if conn.closing {
            return self.drain_closing(net, id, has_ended, turn);
        }
        if has_ended {
            self.drop_client(net, id);
            return Progress::Done;
        }
        let Some(client) = self.clients.connections.get(&id) else { return Progress::Done };
        if client.is_busy() {
            return self.read_ahead(net, id, turn);
        }
        match self.charge_turn(id, turn) {
            Progress::Continue => self.read_request(net, id),
            Progress::Done => Progress::Done,
        }
    }

    /// Counts one request against the connection's turn. Without this limit, a client that sends continuously
    /// would starve all others.
    fn charge_turn(&mut self, id: ConnId, turn: &mut TurnUsage) -> Progress {
        turn.requests += 1;
        if turn.requests <= MAX_REQUESTS_PER_TURN {
            return Progress::Continue;
        }
        self.clients.deferred.push(id);
        Progress::Done
    }

    /// Reads and discards data on a connection that is being closed. Without this, a client still sending a
    /// rejected request would not receive the rejection. The amount is limited, so that one client does not
    /// block the loop.
    fn drain_closing(
        &mut self,
        net: &mut Sockets,
        id: ConnId,
        has_ended: bool,
        turn: &mut TurnUsage,
    ) -> Progress {
        let Some(conn) = net.conn(id) else { return Progress::Done };
        let (unread, is_written) = (conn.rx.len(), conn.tx.is_empty());
        conn.rx.consume(unread);
        self.clients.reserve(id, 0);
        turn.drained_bytes += unread;
        if has_ended || turn.drained_bytes > MAX_DRAINED_BYTES {
            self.drop_client(net, id);
            return Progress::Done;
        }
        if is_written {
            self.linger(net, id);
        }
        if unread == 0 { Progress::Done } else { Progress::Continue }
    }

    /// Leaves data that arrives while a client waits for its answer in the receive buffer. If the buffer is
    /// full, the client's close could not be seen behind the data, so the data is discarded and the
    /// connection is closed after the answer.
    fn read_ahead(&mut self, net: &mut Sockets, id: ConnId, turn: &mut TurnUsage) -> Progress {
        let (Some(conn), Some(client)) = (net.conn(id), self.clients.connections.get(&id)) else {
            return Progress::Done;
        };
        let (unread, is_full) = (conn.rx.len(), conn.rx.free_space() == 0);
        let buffered = client.buffered_bytes.max(unread);
        self.clients.reserve(id, buffered);
        if !is_full {
            return Progress::Done;
        }
        conn.rx.consume(unread);
        conn.closes_after_response = true;
        self.charge_turn(id, turn)
    }

    /// Reads a request if it has arrived completely.
    fn read_request(&mut self, net: &mut Sockets, id: ConnId) -> Progress {
        let Some(conn) = net.conn(id) else { return Progress::Done };
        let read = http::read_request(&mut conn.rx);
        let unread = conn.rx.len();
        let now_ms = self.core.clock().now();
        if let Some(client) = self.clients.get_mut(id) {
            if let Ok(None) = &read {
                extend_read_deadline(client, unread, now_ms);
            } else {
                (client.read_deadline_ms, client.partial_request) = (None, None);
            }
            self.clients.schedule_sweep(now_ms);
        }
        let body_bytes = read.as_ref().map_or(0, |message| message.as_ref().map_or(0, |m| m.body.len()));
        if !self.clients.reserve(id, unread + body_bytes) {
            self.respond_and_close(net, id, 503);
            return Progress::Continue;
        }
        match read {
            Ok(None) => return Progress::Done,
            Ok(Some(message)) => self.on_request(net, id, message),
            Err(MessageError::Malformed) => self.respond_and_close(net, id, 400),
            Err(MessageError::TooLarge) => self.respond_and_close(net, id, 413),
            Err(MessageError::Unsupported) => self.respond_and_close(net, id, 501),
        }
        Progress::Continue
    }

    /// Dispatches a complete request by method and path.
    fn on_request(&mut self, net: &mut Sockets, id: ConnId, message: Message) {
        let path = message.target.split('?').next().unwrap_or("").to_string();
        match (message.method.as_str(), path.as_str()) {
            ("GET", "/up") => self.on_health_check(net, id, message.close),
            ("GET", "/v1/seam") => self.on_upgrade_link(net, id, &message),
            ("GET", "/counters") => {
                let text = self.core.counters().to_string();
                self.respond(net, id, 200, &[], text.as_bytes(), message.close);
            }
            ("POST", "/v1/job-events") => self.on_callback_request(net, id, &message),
            ("POST", _) => self.on_job_request(net, id, message),
            _ => self.respond(net, id, 405, &[("Allow", "POST".into())], b"", message.close),
        }
    }

    /// Responds to `GET /up`, by which clients check whether they may connect here.
    fn on_health_check(&mut self, net: &mut Sockets, id: ConnId, close: bool) {
        let (status, body) = if self.is_evacuating_or_stopping() || !self.gate_is_open() {
            (503, "evacuating\n")
        } else if !self.has_usable_list() {
            (503, "waiting for the list\n")
        } else {
            (200, "ready\n")
        };
        let process = [(upgrade_link::PROCESS_HEADER, std::process::id().to_string())];
        self.respond(net, id, status, &process, body.as_bytes(), close);
    }

    /// Handles a request by which another process of an upgrade marks this connection as its link.
    fn on_upgrade_link(&mut self, net: &mut Sockets, id: ConnId, message: &Message) {
        if let Some(client) = self.clients.get_mut(id) {
            (client.sends_callbacks, client.is_upgrade_link, client.has_sent_request) = (true, true, true);
        }
        let wanted = message.header(upgrade_link::WARM_STATE_HEADER);
        if matches!(wanted, Some(upgrade_link::WANTS_WARM_STATE | upgrade_link::WANTS_LIST)) {
            self.save_warm_state();
        }
        self.respond(net, id, 204, &[], b"", message.close);
        if let Some(pid) = message.header(upgrade_link::ASKED_HEADER) {
            self.on_link_opened_by(net, pid);
        }
    }

    fn on_callback_request(&mut self, net: &mut Sockets, id: ConnId, message: &Message) {
        if let Some(client) = self.clients.get_mut(id) {
            (client.sends_callbacks, client.has_sent_request) = (true, true);
        }
        let asked = message.header(upgrade_link::ASKED_HEADER);
        let status = match self.on_callback(&message.body) {
            CallbackResult::Malformed => 400,
            CallbackResult::Accepted => 204,
            CallbackResult::Unknown if self.forward_callback(net, id, &message.body, asked) => return,
            CallbackResult::Unknown if asked.is_some() => 410,
            // No process knows the job; the sender would only retry, so it is told that the callback was
            // accepted.
            CallbackResult::Unknown => 204,
        };
        self.respond(net, id, status, &[], b"", message.close);
    }

    /// Handles a request for a job: submits it now unless the policy gate holds it.
    fn on_job_request(&mut self, net: &mut Sockets, id: ConnId, message: Message) {
        if let Some(message) = self.pass_gate(net, id, message) {
            let now_ms = self.core.clock().now();
            self.submit(net, id, message, now_ms);
        }
    }

    /// Validates a request that arrived at `arrived_at_ms` and submits it to the core.
    pub(super) fn submit(&mut self, net: &mut Sockets, id: ConnId, message: Message, arrived_at_ms: f64) {
        let close = message.close;
        let path = message.target.split('?').next().unwrap_or("");
        let name = path.split('/').nth(1).unwrap_or("");
        let mut classes = self.core.site().client_classes.iter();
        let Some(class) = classes.position(|class| class.name == name && !name.is_empty()) else {
            return self.respond(net, id, 404, &[], b"unknown class\n", close);
        };
        let wait_ms = match message.header("req-deadline") {
            Some(text) => parse_duration_ms(text),
            None => Some(self.core.site().client_classes[class].max_wait_ms),
        };
        let request_id = message
            .header("req-id")
            .filter(|id| is_request_id(id) && !self.jobs_by_request_id.contains_key(*id));
        let (Some(wait_ms), Some(request_id)) = (wait_ms, request_id) else {
            return self.respond(net, id, 400, &[], b"Req-Id or Req-Deadline does not read\n", close);
        };
        let request_id: Rc<str> = request_id.into();
        let RouteDecision::Partition(partition) = self.route(class, &message) else {
            return self.reject(net, id, close);
        };
        let backlog_wait_ms =
            self.clients.get_mut(id).map_or(0.0, |client| std::mem::take(&mut client.backlog_wait_ms));
        let request = JobRequest {
            class,
            deadline_ms: arrived_at_ms - backlog_wait_ms + wait_ms.min(MAX_WAIT_MS),
            slots: message.header("req-extra").and_then(parse_slots).unwrap_or(1.0),
            work_ms: message.header("req-cost").and_then(parse_work_ms),
            partition,
        };
        match self.core.submit(request) {
            Ok(job) => self.on_admitted(net, id, job, request_id, message),
            Err(answer) => self.respond_with_answer(net, id, answer, close),
        }
    }

    /// Stores the parts of an admitted request that its attempts need.
    fn on_admitted(
        &mut self,
        net: &mut Sockets,
        id: ConnId,
        job: JobId,
        request_id: Rc<str>,
        message: Message,
    ) {
        let is_rewritten =
            |name: &str| REWRITTEN_HEADERS.iter().any(|rewritten| name.eq_ignore_ascii_case(rewritten));
        let passed_on = head::end_to_end_headers(&message.headers).filter(|(name, _)| !is_rewritten(name));
        let headers = passed_on.cloned().collect();
        let (target, body) = (message.target, message.body);
        self.jobs_by_request_id.insert(Rc::clone(&request_id), job);
        self.jobs.insert(job, ClientJob { client: id, id: request_id, target, headers, body });
        if let Some(conn) = net.conn(id).filter(|_| message.close) {
            conn.closes_after_response = true;
        }
        if let Some(client) = self.clients.get_mut(id) {
            (client.job, client.has_sent_request) = (Some(job), true);
        }
    }
}

/// Sets the read deadline of a request of which `unread` bytes have arrived. A client that sends slowly or in
/// pieces is kept as long as it makes progress; only silence, or a request that takes longer than
/// `REQUEST_TIMEOUT_MS`, ends it.
fn extend_read_deadline(client: &mut Client, unread: usize, now_ms: f64) {
    match client.partial_request {
        Some(PartialRequest { since_ms, seen_bytes }) if unread > seen_bytes => {
            let deadline_ms = (now_ms + READ_TIMEOUT_MS).min(since_ms + REQUEST_TIMEOUT_MS);
            client.read_deadline_ms = Some(deadline_ms);
            client.partial_request = Some(PartialRequest { since_ms, seen_bytes: unread });
        }
        None if unread > 0 => {
            client.read_deadline_ms = Some(now_ms + READ_TIMEOUT_MS);
            client.partial_request = Some(PartialRequest { since_ms: now_ms, seen_bytes: unread });
        }
        Some(_) | None => {}
    }
}

/// Whether a request ID can be part of a path, which the request that cancels an attempt requires.
fn is_request_id(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'/' | b'?' | b'#' | b'%');
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(is_allowed)
}
