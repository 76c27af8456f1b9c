//! Client connections: reading request heads, rejecting requests before their bodies are read, and sending
//! the frontend's own responses.

use super::StreamingFrontend;
use super::exchange::{Exchange, RequestPhase};
use super::rejection::Rejection;
use crate::flow::{Direction, DispatchCondition, HeldRequest, StreamId};
use crate::frontend::Sockets;
use crate::net::body::Decoder;
use crate::net::head::{self, RequestHead};
use crate::net::http::{self, MAX_HEAD_BYTES};
use crate::net::{ConnId, MAX_BUFFERED_BYTES};

/// How long a lingering close waits for the client to close its side after the last response, in
/// milliseconds.
const LINGER_TIMEOUT_MS: f64 = 1000.0;
/// Bytes that a lingering close reads and discards per call. Unread bytes in the socket would reset the
/// connection on close, and the client would lose the response.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Methods that are not forwarded: CONNECT asks for a tunnel, and TRACE echoes the request,
/// including its credentials.
const REJECTED_METHODS: [&str; 2] = ["CONNECT", "TRACE"];

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientState {
    /// No request is in progress.
    Idle,
    /// A part of a request head has been received.
    ReadingHead,
    /// The exchange with this id is in progress.
    Busy(StreamId),
    /// Lingering close: the last response is written or queued, and further input is discarded.
    Lingering,
}

/// An accepted client connection.
pub(super) struct Client {
    state: ClientState,
    /// When the current state times out, in milliseconds of the clock.
    pub deadline: f64,
}

impl Client {
    pub fn stream(&self) -> Option<StreamId> {
        match self.state {
            ClientState::Busy(stream) => Some(stream),
            _ => None,
        }
    }
}

impl StreamingFrontend {
    /// Accepts waiting connections. At the connection limit, the connection that has been idle longest is
    /// closed in favour of the new one. If none is idle, the new connection gets a 503 and is closed.
    pub fn accept(&mut self, net: &mut Sockets) {
        for _ in 0..64 {
            if self.clients.len() >= self.config.table.connections {
                let idle = self.clients.iter().filter(|(_, c)| c.state == ClientState::Idle);
                let idle = idle.min_by(|a, b| a.1.deadline.total_cmp(&b.1.deadline)).map(|(&id, _)| id);
                if let Some(idle) = idle {
                    // A request that has already arrived on the idle connection is handled instead of lost.
                    self.on_client_ready(net, idle);
                    if self.clients.get(&idle).is_some_and(|c| c.state == ClientState::Idle) {
                        self.disconnect_client(net, idle);
                    }
                }
            }
            let Some(id) = net.accept(self.listener) else { return };
            // Connections left in the backlog would keep the listener readable, so that the event loop spins,
            // and their clients would get no response.
            if self.clients.len() >= self.config.table.connections {
                self.counters.rejected_full += 1;
                let retry_after = [("Retry-After", self.config.table.retry_after_s.ceil().to_string())];
                net.write(id, &http::write_response(503, &retry_after, b"too many connections\n", true));
                net.close(id);
                continue;
            }
            let deadline = self.now() + self.config.table.head_s * 1e3;
            self.clients.insert(id, Client { state: ClientState::Idle, deadline });
        }
    }

    pub(super) fn on_client_ready(&mut self, net: &mut Sockets, id: ConnId) {
        let now = self.now();
        let Some(state) = self.clients.get(&id).map(|c| c.state) else { return };
        let Some(conn) = net.conn(id) else { return };
        match state {
            ClientState::Busy(stream) => {
                // While flow control does not read the connection, only this check detects a reset by the
                // client.
                if conn.is_reset() {
                    return self.on_client_left(net, stream);
                }
                self.flow.on_readable(stream, Direction::Up, now);
                self.flow.on_writable(stream, Direction::Down, now);
            }
            ClientState::Lingering => self.discard_input(net, id),
            ClientState::Idle | ClientState::ReadingHead => self.read_head(net, id),
        }
    }

    fn read_head(&mut self, net: &mut Sockets, id: ConnId) {
        let now = self.now();
        loop {
            let Some(conn) = net.conn(id) else { return };
            conn.write_queued();
            let more = conn.read_some((MAX_HEAD_BYTES + 1).saturating_sub(conn.rx.len()));
            // Empty lines before a request are ignored (RFC 9112, 2.2).
            while conn.rx.front().starts_with(b"\r\n") {
                conn.rx.consume(2);
            }
            let (is_closed, has_input) = (conn.eof || conn.broken, !conn.rx.is_empty());
            let read = head::read_request(&mut conn.rx);
            let Some(client) = self.clients.get_mut(&id) else { return };
            if has_input && client.state == ClientState::Idle {
                (client.state, client.deadline) =
                    (ClientState::ReadingHead, now + self.config.table.head_s * 1e3);
            }
            return match read {
                Ok(Some(head)) => self.on_request_head(net, id, head),
                Ok(None) if is_closed => self.disconnect_client(net, id),
                Ok(None) if more => continue,
                Ok(None) => {}
                Err(error) => {
                    self.reject_unread(net, id, Rejection::UnreadableHead(error));
                }
            };
        }
    }

    /// Rejects a request whose body was not read, and closes the connection, since the body would be read as
    /// the next request.
    fn reject_unread(&mut self, net: &mut Sockets, id: ConnId, rejection: Rejection) {
        self.counters.rejected_unread += 1;
        self.reply(net, id, rejection, true);
    }

    fn on_request_head(&mut self, net: &mut Sockets, id: ConnId, head: RequestHead) {
        let now = self.now();
        let name = head.target.split(['/', '?']).nth(1).unwrap_or("");
        let Some(class) = self.config.table.class.iter().position(|c| c.name == name) else {
            return self.reject_unread(net, id, Rejection::UnknownClass);
        };
        if REJECTED_METHODS.contains(&head.method.as_str()) {
            return self.reject_unread(net, id, Rejection::MethodNotAllowed);
        }
        let class_rules = &self.config.classes[class];
        let decoder = match Decoder::new(head.framing, class_rules.max_body_bytes) {
            Ok(decoder) => decoder,
            Err(error) => return self.reject_unread(net, id, error.into()),
        };
        let tenant =
            http::header_value(&head.headers, &self.config.table.tenant_header).unwrap_or("").to_string();
        if self.has_stopped_accepting() {
            return self.reply(net, id, Rejection::Stopping, true);
        }
        if let Err(limit) = self.admission.enter(&tenant) {
            self.counters.rejected_full += 1;
            let close = !decoder.is_done();
            let retry_after_ms = self.config.table.retry_after_s * 1e3;
            return self.reply(net, id, Rejection::AtLimit { limit, retry_after_ms }, close);
        }
        // With `Expect: 100-continue` a client sends no body before the endpoint asks for it, so there
        // is no prefix to wait for.
        let expects_continue = http::header_value(&head.headers, "expect").is_some();
        let when = if expects_continue { DispatchCondition::Head } else { class_rules.dispatch };
        let held =
            HeldRequest::new(when, class_rules.prefix_bytes, class_rules.allowance.pace.min_bytes_per_s, now);
        let (class_rules, close) = (class_rules.clone(), head.close);
        self.last_stream += 1;
        let stream = self.last_stream;
        self.flow.open(stream, class_rules.allowance);
        if let Some(client) = self.clients.get_mut(&id) {
            (client.state, client.deadline) = (ClientState::Busy(stream), f64::INFINITY);
        }
        if let Some(conn) = net.conn(id) {
            // A window of body bytes, in addition to those that arrived together with the head.
            let limit = class_rules.allowance.window + MAX_HEAD_BYTES + 1;
            conn.rx.set_limit(limit.max(MAX_BUFFERED_BYTES), class_rules.allowance.window);
        }
        let is_body_received = decoder.is_done();
        let exchange = Exchange::new(id, class, class_rules, tenant, head, decoder, held, close);
        self.exchanges.insert(stream, exchange);
        if is_body_received || expects_continue {
            return self.submit_job(net, stream);
        }
        self.flow.hold(stream, Direction::Up, now);
    }

    /// Sends one of the frontend's own responses to a client that has no exchange, or whose exchange was
    /// removed.
    pub(super) fn reply(&mut self, net: &mut Sockets, id: ConnId, rejection: Rejection, close: bool) {
        let close = close || self.has_stopped_accepting();
        let mut headers = vec![("Content-Type", "text/plain".to_string())];
        if let Some(retry_after_ms) = rejection.retry_after_ms() {
            headers.push(("Retry-After", format!("{}", (retry_after_ms / 1e3).ceil())));
        }
        let body = rejection.text();
        if !net.write(id, &http::write_response(rejection.status(), &headers, body.as_bytes(), close)) {
            return self.disconnect_client(net, id);
        }
        if close { self.start_lingering_close(net, id) } else { self.set_client_idle(net, id) }
    }

    /// Makes a client connection idle after an exchange. Its next request may already be buffered.
    pub(super) fn set_client_idle(&mut self, net: &mut Sockets, id: ConnId) {
        let deadline = self.now() + self.config.table.idle_s * 1e3;
        let (Some(client), Some(conn)) = (self.clients.get_mut(&id), net.conn(id)) else { return };
        (client.state, client.deadline) = (ClientState::Idle, deadline);
        conn.rx.set_limit(MAX_BUFFERED_BYTES, 0);
        self.clients_to_read.push(id);
    }

    /// Starts the lingering close of a client connection: once the response is written, input is read and
    /// discarded until the client closes its side or `LINGER_TIMEOUT_MS` has passed. A close with unread
    /// input would reset the connection, and the client could lose the response.
    pub(super) fn start_lingering_close(&mut self, net: &mut Sockets, id: ConnId) {
        let deadline = self.now() + LINGER_TIMEOUT_MS;
        let (Some(client), Some(conn)) = (self.clients.get_mut(&id), net.conn(id)) else { return };
        if client.state != ClientState::Lingering {
            (client.state, client.deadline) = (ClientState::Lingering, deadline);
            conn.rx.consume(conn.rx.len());
            conn.rx.set_limit(MAX_BUFFERED_BYTES, 0);
            self.clients_to_read.push(id);
        }
    }

    fn discard_input(&mut self, net: &mut Sockets, id: ConnId) {
        let Some(conn) = net.conn(id) else { return };
        conn.write_queued();
        if conn.is_written() && !conn.closing {
            conn.closing = true;
            conn.shut_down_write();
        }
        let mut discarded = 0;
        loop {
            let more = conn.read_some(MAX_BUFFERED_BYTES);
            discarded += conn.rx.len();
            conn.rx.consume(conn.rx.len());
            if conn.eof && conn.closing || conn.broken {
                return self.disconnect_client(net, id);
            }
            if !more {
                return;
            }
            // A client that sends without end must not keep the event loop from other connections.
            if discarded >= MAX_DISCARDED_BYTES {
                return self.clients_to_read.push(id);
            }
        }
    }

    pub(super) fn disconnect_client(&mut self, net: &mut Sockets, id: ConnId) {
        let stream = self.clients.get(&id).and_then(Client::stream);
        // The exchange may already be gone, if the frontend's own response did not fit into the buffer.
        match stream.filter(|stream| self.exchanges.contains_key(stream)) {
            Some(stream) => self.on_client_left(net, stream),
            None => self.close_client(net, id),
        }
    }

    /// Closes a client connection that has no exchange.
    pub(super) fn close_client(&mut self, net: &mut Sockets, id: ConnId) {
        self.clients.remove(&id);
        net.close(id);
    }

    pub(super) fn expire_clients(&mut self, net: &mut Sockets, now: f64) {
        let expired = self.clients.iter().filter(|(_, c)| c.deadline <= now).map(|(&id, c)| (id, c.state));
        let mut expired: Vec<(ConnId, ClientState)> = expired.collect();
        expired.sort_unstable_by_key(|&(id, _)| id);
        for (id, state) in expired {
            match state {
                ClientState::ReadingHead => {
                    self.reject_unread(net, id, Rejection::SlowHead);
                }
                _ => self.disconnect_client(net, id),
            }
        }
    }

    /// Closes idle client connections during a shutdown.
    pub(super) fn close_idle(&mut self, net: &mut Sockets) {
        let idle = self.clients.iter().filter(|(_, c)| c.state == ClientState::Idle).map(|(&id, _)| id);
        for id in idle.collect::<Vec<_>>() {
            // A request that has already arrived is read and rejected first.
            self.on_client_ready(net, id);
            let written = net.conn(id).is_none_or(|conn| conn.tx.is_empty());
            if written && self.clients.get(&id).is_some_and(|c| c.state == ClientState::Idle) {
                self.disconnect_client(net, id);
            }
        }
    }

    /// Dispatches a held request once its dispatch condition is met, or rejects it if the client is too slow.
    pub(super) fn dispatch_if_ready(&mut self, net: &mut Sockets, stream: StreamId, now: f64) {
        let Some(exchange) = self.exchanges.get(&stream) else { return };
        let RequestPhase::Held(hold) = &exchange.request else { return };
        let received = exchange.prefix.as_ref().map_or(0, Vec::len);
        match hold.decide(received, exchange.decoder.is_done(), now) {
            crate::flow::HoldDecision::Wait => {}
            crate::flow::HoldDecision::Dispatch => self.submit_job(net, stream),
            crate::flow::HoldDecision::GiveUp => {
                self.counters.slow_clients += 1;
                self.reject(net, stream, Rejection::SlowBody);
            }
        }
    }
}
