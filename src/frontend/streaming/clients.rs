//! Clients: their connections, the heads of their requests, what is rejected before its body is read, and the frontend's own
//! answers.

use super::StreamingFrontend;
use super::exchange::{Exchange, RequestPhase};
use crate::flow::{Direction, DispatchCondition, HeldRequest, StreamId};
use crate::frontend::Sockets;
use crate::net::body::{BodyError, Decoder};
use crate::net::head::{self, RequestHead};
use crate::net::http::{self, MAX_HEAD_BYTES, MessageError};
use crate::net::{ConnId, MAX_BUFFERED_BYTES};

/// How long a client may take to end its side once its last answer is written, in milliseconds.
const LINGER_TIMEOUT_MS: f64 = 1000.0;
/// Bytes of a rejected request that are read and dropped in a turn, lest they keep its client from its answer.
const MAX_DRAINED_BYTES: usize = 1 << 20;
/// Methods that are not passed on: they ask for a tunnel, or for the request back with its secrets.
const REJECTED_METHODS: [&str; 2] = ["CONNECT", "TRACE"];

/// What a client's connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientState {
    /// Between requests.
    Idle,
    /// Some of a head has come.
    ReadingHead,
    /// At a request of this stream.
    Busy(StreamId),
    /// Its last answer is written or queued; what it still sends is dropped.
    Ending,
}

/// A connection that was accepted.
pub(super) struct Client {
    state: ClientState,
    /// When the state that it is in runs out, in milliseconds of the clock.
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
    /// Accepts the connections that wait. At the bound the one that has been idle longest makes room; where all are at a
    /// request, a new one gets a 503 and is closed.
    pub fn accept(&mut self, net: &mut Sockets) {
        for _ in 0..64 {
            if self.clients.len() >= self.config.table.connections {
                let idle = self.clients.iter().filter(|(_, c)| c.state == ClientState::Idle);
                let idle = idle.min_by(|a, b| a.1.deadline.total_cmp(&b.1.deadline)).map(|(&id, _)| id);
                if let Some(idle) = idle {
                    // What has come by now is accepted or rejected first.
                    self.on_client_ready(net, idle);
                    if self.clients.get(&idle).is_some_and(|c| c.state == ClientState::Idle) {
                        self.drop_client(net, idle);
                    }
                }
            }
            let Some(id) = net.accept(self.listener) else { return };
            // Guards against a backlog that keeps the loop awake and its clients without an answer.
            if self.clients.len() >= self.config.table.connections {
                self.counters.rejected_full += 1;
                let advice = [("Retry-After", self.config.table.retry_after_s.ceil().to_string())];
                net.write(id, &http::write_response(503, &advice, b"too many connections\n", true));
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
                // While nobody reads it, only this tells that it is gone.
                if conn.is_reset() {
                    return self.on_client_left(net, stream);
                }
                self.flow.on_readable(stream, Direction::Up, now);
                self.flow.on_writable(stream, Direction::Down, now);
            }
            ClientState::Ending => self.drain(net, id),
            ClientState::Idle | ClientState::ReadingHead => self.read_head(net, id),
        }
    }

    fn read_head(&mut self, net: &mut Sockets, id: ConnId) {
        let now = self.now();
        loop {
            let Some(conn) = net.conn(id) else { return };
            conn.write_queued();
            let more = conn.read_some((MAX_HEAD_BYTES + 1).saturating_sub(conn.rx.len()));
            // Empty lines before a request are passed over (RFC 9112, 2.2).
            while conn.rx.front().starts_with(b"\r\n") {
                conn.rx.consume(2);
            }
            let (gone, begun) = (conn.eof || conn.broken, !conn.rx.is_empty());
            let read = head::read_request(&mut conn.rx);
            let Some(client) = self.clients.get_mut(&id) else { return };
            if begun && client.state == ClientState::Idle {
                (client.state, client.deadline) =
                    (ClientState::ReadingHead, now + self.config.table.head_s * 1e3);
            }
            return match read {
                Ok(Some(head)) => self.request(net, id, head),
                Ok(None) if gone => self.drop_client(net, id),
                Ok(None) if more => continue,
                Ok(None) => {}
                Err(bad) => {
                    let status = match bad {
                        MessageError::Malformed => 400,
                        MessageError::TooLarge => 413,
                        MessageError::Unsupported => 501,
                    };
                    self.reject_unread(net, id, status, "the request does not read\n");
                }
            };
        }
    }

    /// Answers a request that was not accepted, and ends the connection: what comes behind its head is not read.
    fn reject_unread(&mut self, net: &mut Sockets, id: ConnId, status: u16, why: &str) {
        self.counters.rejected_unread += 1;
        self.reply(net, id, status, 0.0, why, true);
    }

    fn request(&mut self, net: &mut Sockets, id: ConnId, head: RequestHead) {
        let now = self.now();
        let name = head.target.split(['/', '?']).nth(1).unwrap_or("");
        let Some(class) = self.config.table.class.iter().position(|c| c.name == name) else {
            return self.reject_unread(net, id, 404, "no such class\n");
        };
        if REJECTED_METHODS.contains(&head.method.as_str()) {
            return self.reject_unread(net, id, 405, "no such method here\n");
        }
        let class_rules = &self.config.classes[class];
        let up = match Decoder::new(head.framing, class_rules.max_body_bytes) {
            Ok(up) => up,
            Err(BodyError::TooLong) => {
                return self.reject_unread(net, id, 413, "the body is longer than its class allows\n");
            }
            Err(_) => return self.reject_unread(net, id, 400, "the body does not read\n"),
        };
        let tenant =
            http::header_value(&head.headers, &self.config.table.tenant_header).unwrap_or("").to_string();
        if self.is_past_last_call() {
            return self.reply(net, id, 503, 0.0, "stopping\n", true);
        }
        if let Err(full) = self.admission.enter(&tenant) {
            self.counters.rejected_full += 1;
            let close = !up.is_done();
            let advice = self.config.table.retry_after_s * 1e3;
            return self.reply(net, id, 503, advice, &format!("{full}\n"), close);
        }
        // The endpoint is to say whether it wants the body: there is nothing to hold the request for.
        let asks = http::header_value(&head.headers, "expect").is_some();
        let when = if asks { DispatchCondition::Head } else { class_rules.dispatch };
        let hold =
            HeldRequest::new(when, class_rules.prefix_bytes, class_rules.allowance.pace.min_bytes_per_s, now);
        let (class_rules, close) = (class_rules.clone(), head.close);
        self.last_stream += 1;
        let stream = self.last_stream;
        self.flow.open(stream, class_rules.allowance);
        if let Some(client) = self.clients.get_mut(&id) {
            (client.state, client.deadline) = (ClientState::Busy(stream), f64::INFINITY);
        }
        if let Some(conn) = net.conn(id) {
            // What a window lets in beside what came with the head.
            let most = class_rules.allowance.window + MAX_HEAD_BYTES + 1;
            conn.rx.set_limit(most.max(MAX_BUFFERED_BYTES), class_rules.allowance.window);
        }
        let whole = up.is_done();
        let exchange = Exchange::new(id, class, class_rules, tenant, head, up, hold, close);
        self.exchanges.insert(stream, exchange);
        if whole || asks {
            return self.route(net, stream);
        }
        self.flow.hold(stream, Direction::Up, now);
    }

    /// Writes the frontend's own answer to a client that is at no stream (any more). `retry_after` is in milliseconds; 0
    /// gives no advice.
    pub(super) fn reply(
        &mut self,
        net: &mut Sockets,
        id: ConnId,
        status: u16,
        retry_after: f64,
        why: &str,
        close: bool,
    ) {
        let close = close || self.is_past_last_call();
        let mut headers = vec![("Content-Type", "text/plain".to_string())];
        if retry_after > 0.0 {
            headers.push(("Retry-After", format!("{}", (retry_after / 1e3).ceil())));
        }
        if !net.write(id, &http::write_response(status, &headers, why.as_bytes(), close)) {
            return self.drop_client(net, id);
        }
        if close { self.end_client(net, id) } else { self.free_client(net, id) }
    }

    /// A client's connection is between requests again; its next one may have come.
    pub(super) fn free_client(&mut self, net: &mut Sockets, id: ConnId) {
        let deadline = self.now() + self.config.table.idle_s * 1e3;
        let (Some(client), Some(conn)) = (self.clients.get_mut(&id), net.conn(id)) else { return };
        (client.state, client.deadline) = (ClientState::Idle, deadline);
        conn.rx.set_limit(MAX_BUFFERED_BYTES, 0);
        self.clients_to_read.push(id);
    }

    /// A client's connection ends once its answer is written. What it still sends is read and dropped for a while: a
    /// close with bytes unread would take the answer back.
    pub(super) fn end_client(&mut self, net: &mut Sockets, id: ConnId) {
        let deadline = self.now() + LINGER_TIMEOUT_MS;
        let (Some(client), Some(conn)) = (self.clients.get_mut(&id), net.conn(id)) else { return };
        if client.state != ClientState::Ending {
            (client.state, client.deadline) = (ClientState::Ending, deadline);
            conn.rx.consume(conn.rx.len());
            conn.rx.set_limit(MAX_BUFFERED_BYTES, 0);
            self.clients_to_read.push(id);
        }
    }

    fn drain(&mut self, net: &mut Sockets, id: ConnId) {
        let Some(conn) = net.conn(id) else { return };
        conn.write_queued();
        if conn.is_written() && !conn.closing {
            conn.closing = true;
            conn.shut_down_write();
        }
        let mut drained = 0;
        loop {
            let more = conn.read_some(MAX_BUFFERED_BYTES);
            drained += conn.rx.len();
            conn.rx.consume(conn.rx.len());
            if conn.eof && conn.closing || conn.broken {
                return self.drop_client(net, id);
            }
            if !more {
                return;
            }
            // Guards against a client that sends without end: others have their turn.
            if drained >= MAX_DRAINED_BYTES {
                return self.clients_to_read.push(id);
            }
        }
    }

    pub(super) fn drop_client(&mut self, net: &mut Sockets, id: ConnId) {
        let stream = self.clients.get(&id).and_then(Client::stream);
        // Its stream may have ended, and the frontend's own answer have found no room.
        match stream.filter(|stream| self.exchanges.contains_key(stream)) {
            Some(stream) => self.on_client_left(net, stream),
            None => self.cut_client(net, id),
        }
    }

    /// Forgets a client's connection whose stream is over.
    pub(super) fn cut_client(&mut self, net: &mut Sockets, id: ConnId) {
        self.clients.remove(&id);
        net.close(id);
    }

    pub(super) fn expire_clients(&mut self, net: &mut Sockets, now: f64) {
        let over = self.clients.iter().filter(|(_, c)| c.deadline <= now).map(|(&id, c)| (id, c.state));
        let mut over: Vec<(ConnId, ClientState)> = over.collect();
        over.sort_unstable_by_key(|&(id, _)| id);
        for (id, at) in over {
            match at {
                ClientState::ReadingHead => {
                    self.reject_unread(net, id, 408, "the request's head took too long\n");
                }
                _ => self.drop_client(net, id),
            }
        }
    }

    /// Closes connections between requests, once the program stops.
    pub(super) fn close_idle(&mut self, net: &mut Sockets) {
        let idle = self.clients.iter().filter(|(_, c)| c.state == ClientState::Idle).map(|(&id, _)| id);
        for id in idle.collect::<Vec<_>>() {
            // What has come by now is read first, and rejected.
            self.on_client_ready(net, id);
            let written = net.conn(id).is_none_or(|conn| conn.tx.is_empty());
            if written && self.clients.get(&id).is_some_and(|c| c.state == ClientState::Idle) {
                self.drop_client(net, id);
            }
        }
    }

    /// Dispatches a request whose body is held, once it is time to.
    pub(super) fn dispatch_if_ready(&mut self, net: &mut Sockets, stream: StreamId, now: f64) {
        let Some(exchange) = self.exchanges.get(&stream) else { return };
        let RequestPhase::Held(hold) = &exchange.request else { return };
        let received = exchange.prefix.as_ref().map_or(0, Vec::len);
        match hold.decide(received, exchange.decoder.is_done(), now) {
            crate::flow::HoldDecision::Wait => {}
            crate::flow::HoldDecision::Dispatch => self.route(net, stream),
            crate::flow::HoldDecision::GiveUp => {
                self.counters.slow_clients += 1;
                self.reject(net, stream, 408, 0.0);
            }
        }
    }
}
