//! Endpoints: connections to them, new ones or out of the pool, the attempts that they get, and the heads of their answers.

use std::net::SocketAddr;

use super::StreamingFrontend;
use super::exchange::{Exchange, RequestPhase, Upstream};
use crate::flow::{Direction, StreamId};
use crate::frontend::Sockets;
use crate::net::head;
use crate::net::http::MAX_HEAD_BYTES;
use crate::net::{ConnId, MAX_BUFFERED_BYTES};
use crate::routing::{EndpointId, JobId, Outcome};

/// A connection to an endpoint.
pub(super) struct UpstreamConnection {
    endpoint: EndpointId,
    stream: Option<StreamId>,
    /// When it must have come up, in milliseconds of the clock.
    pub connect_deadline: f64,
    /// Bytes that its socket had taken before this attempt.
    sent_before: u64,
}

impl StreamingFrontend {
    /// Sends an attempt, as far as its request's body has come.
    pub(super) fn send(&mut self, net: &mut Sockets, job: JobId, attempt: usize, endpoint: EndpointId) {
        let now = self.now();
        let Some(&stream) = self.streams.get(&job) else { return };
        let opening = self.exchanges.get_mut(&stream).and_then(Exchange::opening);
        // Guards against half a body: what was relayed beyond the prefix is not here any more.
        let Some(opening) = opening else {
            return self.end_unsent_attempt(job, attempt, Outcome::NoRetry, endpoint);
        };
        if !self.slots.acquire(endpoint) {
            return self.end_unsent_attempt(job, attempt, Outcome::Full, endpoint);
        }
        let Some(conn) = self.acquire(net, endpoint, stream) else {
            self.slots.release(endpoint);
            return self.end_unsent_attempt(job, attempt, Outcome::Unreachable, endpoint);
        };
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        (exchange.upstream, exchange.attempt, exchange.request) =
            (Some(Upstream { conn, endpoint }), attempt, RequestPhase::Relaying);
        let waiting = net.conn(exchange.client).map_or(0, |c| c.rx.len());
        let done = exchange.decoder.is_done();
        let Some(conn) = net.conn(conn) else { return };
        if !conn.tx.push(&opening) {
            return self.end_attempt(net, stream, Outcome::NoRetry);
        }
        let held = conn.tx.len() + if done { 0 } else { waiting };
        self.flow.release(stream, Direction::Up, held, now);
        if done {
            self.flow.on_source_ended(stream, Direction::Up, now);
        }
    }

    /// Reports to the core that an attempt ended before anything of it was sent.
    fn end_unsent_attempt(&mut self, job: JobId, attempt: usize, outcome: Outcome, endpoint: EndpointId) {
        let report = self.slots.report(endpoint);
        self.core.on_attempt_ended(job, attempt, outcome, report, Vec::new());
    }

    /// A connection to an endpoint: an idle one that is still usable, or a new one. None proves that nothing was sent.
    fn acquire(&mut self, net: &mut Sockets, endpoint: EndpointId, stream: StreamId) -> Option<ConnId> {
        let now = self.now();
        while let Some(id) = self.pool.take(endpoint, now, false).map(|pooled| pooled.conn) {
            // Guards against a connection that the peer has closed: a request written there would be lost.
            if let Some(conn) = net.conn(id).filter(|conn| conn.is_reusable()) {
                let sent_before = conn.sent;
                let upstream = UpstreamConnection {
                    endpoint,
                    stream: Some(stream),
                    connect_deadline: f64::INFINITY,
                    sent_before,
                };
                self.upstreams.insert(id, upstream);
                return Some(id);
            }
            self.close_upstream(net, id);
        }
        // Idle connections to others make room: there is one for each stream that there may be.
        while self.upstreams.len() >= self.config.bounds.total
            && let Some(idle) = self.pool.take_oldest()
        {
            self.close_upstream(net, idle);
        }
        let address: SocketAddr = self.core.endpoints().get(endpoint)?.address.parse().ok()?;
        let id = net.open(address).ok()?;
        let connect_deadline = now + self.config.site.connect_timeout_ms;
        self.upstreams.insert(
            id,
            UpstreamConnection { endpoint, stream: Some(stream), connect_deadline, sent_before: 0 },
        );
        Some(id)
    }

    /// Cancels an attempt.
    pub(super) fn cancel(&mut self, net: &mut Sockets, job: JobId, attempt: usize) {
        let Some(&stream) = self.streams.get(&job) else { return };
        let Some(exchange) = self.exchanges.get_mut(&stream).filter(|e| e.attempt == attempt) else { return };
        (exchange.request, exchange.answer_deadline) = (RequestPhase::Paused, f64::INFINITY);
        let now = self.now();
        self.flow.pause(stream, Direction::Up, now);
        self.flow.pause(stream, Direction::Down, now);
        self.release_upstream(net, stream, false);
    }

    /// A connection has no attempt any more: it goes to the pool where `keep` allows it and it is usable, or is closed.
    pub(super) fn free_upstream(&mut self, net: &mut Sockets, id: ConnId, keep: bool) {
        let now = self.now();
        let (Some(upstream), Some(conn)) = (self.upstreams.get_mut(&id), net.conn(id)) else { return };
        let is_usable =
            conn.rx.is_empty() && conn.tx.is_empty() && !(conn.eof || conn.broken || conn.write_failed);
        if !(keep && is_usable) {
            return self.close_upstream(net, id);
        }
        conn.rx.set_limit(MAX_BUFFERED_BYTES, 0);
        (upstream.stream, upstream.connect_deadline) = (None, f64::INFINITY);
        self.pool.put(upstream.endpoint, id, now);
    }

    fn close_upstream(&mut self, net: &mut Sockets, id: ConnId) {
        net.close(id);
        if let Some(upstream) = self.upstreams.remove(&id) {
            self.pool.remove(upstream.endpoint, id);
        }
    }

    /// Closes idle connections to an endpoint that has another address or was started again.
    pub(super) fn close_idle_upstreams(&mut self, net: &mut Sockets, endpoint: EndpointId) {
        while let Some(id) = self.pool.take_any(endpoint) {
            self.close_upstream(net, id);
        }
    }

    pub(super) fn on_upstream_ready(&mut self, net: &mut Sockets, id: ConnId) {
        let now = self.now();
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        let (stream, Some(conn)) = (upstream.stream, net.conn(id)) else { return };
        let Some(stream) = stream else {
            // An idle one that sends bytes, or ends. An event for bytes that were read meanwhile is neither.
            if !conn.is_reusable() {
                self.close_upstream(net, id);
            }
            return;
        };
        if conn.connecting && !conn.poll_connected() {
            if conn.broken {
                self.on_upstream_broken(net, stream);
            }
            return;
        }
        // It may have been found connected elsewhere: the limit on connecting no longer counts all the same.
        upstream.connect_deadline = f64::INFINITY;
        self.flow.on_writable(stream, Direction::Up, now);
        if self.exchanges.get(&stream).is_some_and(|e| e.answer.is_some()) {
            self.flow.on_readable(stream, Direction::Down, now);
        } else {
            self.read_answer(net, stream);
        }
    }

    /// Reads what the endpoint sends before the answer's body.
    pub(super) fn read_answer(&mut self, net: &mut Sockets, stream: StreamId) {
        let to_head = self.is_to_head(stream);
        loop {
            let Some(exchange) = self.exchanges.get(&stream).filter(|e| e.answer.is_none()) else { return };
            let Some(Upstream { conn, .. }) = exchange.upstream else { return };
            let Some(conn) = net.conn(conn) else { return };
            let more = conn.read_some((MAX_HEAD_BYTES + 1).saturating_sub(conn.rx.len()));
            let ended = conn.eof || conn.broken;
            match head::read_response(&mut conn.rx, to_head) {
                Ok(Some(answer)) if answer.status >= 200 => return self.begin_answer(net, stream, &answer),
                Ok(Some(answer)) => {
                    if !self.forward_interim(net, stream, &answer) {
                        return self.end_attempt(net, stream, Outcome::Error);
                    }
                }
                Ok(None) if more => {}
                Ok(None) if ended => return self.on_upstream_broken(net, stream),
                Ok(None) => return,
                Err(_) => return self.end_attempt(net, stream, Outcome::Error),
            }
        }
    }

    /// The connection of an attempt broke before an answer. Only where no byte of the attempt was written is it sure that it
    /// never ran: an HTTP server may begin with the first.
    fn on_upstream_broken(&mut self, net: &mut Sockets, stream: StreamId) {
        let id = self.exchanges.get(&stream).and_then(|e| e.upstream).map(|upstream| upstream.conn);
        let Some(id) = id else { return };
        let sent_before = self.upstreams.get(&id).map_or(0, |s| s.sent_before);
        let sent = net.conn(id).map_or(0, |c| c.sent);
        let outcome = if sent > sent_before { Outcome::Reset } else { Outcome::Unreachable };
        self.end_attempt(net, stream, outcome);
    }

    pub(super) fn expire_upstreams(&mut self, net: &mut Sockets, now: f64) {
        let over =
            self.upstreams.iter().filter(|(_, s)| s.connect_deadline <= now).map(|(&id, s)| (id, s.stream));
        let mut over: Vec<(ConnId, Option<StreamId>)> = over.collect();
        over.sort_unstable_by_key(|&(id, _)| id);
        for (id, stream) in over {
            match stream {
                // Only connecting has a time limit of its own.
                Some(stream) => self.on_upstream_broken(net, stream),
                None => self.close_upstream(net, id),
            }
        }
        for id in self.pool.take_expired(now) {
            self.close_upstream(net, id);
        }
    }
}
