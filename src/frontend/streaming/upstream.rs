//! Upstream connections: opening and pooling them, sending attempts, and reading response heads.

use std::net::SocketAddr;

use super::StreamingFrontend;
use super::exchange::{Exchange, RequestPhase, Upstream};
use crate::flow::{Direction, StreamId};
use crate::frontend::Sockets;
use crate::net::head;
use crate::net::http::MAX_HEAD_BYTES;
use crate::net::{ConnId, MAX_BUFFERED_BYTES};
use crate::routing::{EndpointId, JobId, Outcome};

/// An open connection to an endpoint, in use by a stream or idle in the pool.
pub(super) struct UpstreamConnection {
    endpoint: EndpointId,
    stream: Option<StreamId>,
    /// Deadline for establishing the connection, in milliseconds of the clock.
    pub connect_deadline: f64,
    /// Bytes written to the socket before the current attempt.
    sent_before_attempt: u64,
}

impl StreamingFrontend {
    /// Starts an attempt: acquires a connection and queues the request as far as it has been received.
    pub(super) fn send(&mut self, net: &mut Sockets, job: JobId, attempt: usize, endpoint: EndpointId) {
        let now = self.now();
        let Some(&stream) = self.streams.get(&job) else { return };
        let request_bytes = self.exchanges.get_mut(&stream).and_then(Exchange::available_request_bytes);
        // The endpoint must not get an incomplete body: payload that was relayed beyond the prefix is no
        // longer buffered.
        let Some(request_bytes) = request_bytes else {
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
        let buffered = net.conn(exchange.client).map_or(0, |c| c.rx.len());
        let done = exchange.decoder.is_done();
        let Some(conn) = net.conn(conn) else { return };
        if !conn.tx.push(&request_bytes) {
            return self.end_attempt(net, stream, Outcome::NoRetry);
        }
        let held = conn.tx.len() + if done { 0 } else { buffered };
        self.flow.release(stream, Direction::Up, held, now);
        if done {
            self.flow.on_source_ended(stream, Direction::Up, now);
        }
    }

    /// Reports to the core that an attempt ended before any byte of it was sent.
    fn end_unsent_attempt(&mut self, job: JobId, attempt: usize, outcome: Outcome, endpoint: EndpointId) {
        let report = self.slots.report(endpoint);
        self.core.on_attempt_ended(job, attempt, outcome, report, Vec::new());
    }

    /// Returns a connection to an endpoint: a pooled one that is still usable, or a new one. If it returns
    /// `None`, nothing was sent.
    fn acquire(&mut self, net: &mut Sockets, endpoint: EndpointId, stream: StreamId) -> Option<ConnId> {
        let now = self.now();
        while let Some(id) = self.pool.take(endpoint, now, false).map(|pooled| pooled.conn) {
            // A request written to a connection that the peer has already closed would be lost.
            if let Some(conn) = net.conn(id).filter(|conn| conn.is_reusable()) {
                let sent_before_attempt = conn.sent;
                let upstream = UpstreamConnection {
                    endpoint,
                    stream: Some(stream),
                    connect_deadline: f64::INFINITY,
                    sent_before_attempt,
                };
                self.upstreams.insert(id, upstream);
                return Some(id);
            }
            self.close_upstream(net, id);
        }
        // The limit is one connection per permitted stream, so idle connections to other endpoints are
        // closed.
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
            UpstreamConnection { endpoint, stream: Some(stream), connect_deadline, sent_before_attempt: 0 },
        );
        Some(id)
    }

    /// Cancels an attempt and closes its connection. Does nothing if a later attempt has replaced it.
    pub(super) fn cancel(&mut self, net: &mut Sockets, job: JobId, attempt: usize) {
        let Some(&stream) = self.streams.get(&job) else { return };
        let Some(exchange) = self.exchanges.get_mut(&stream).filter(|e| e.attempt == attempt) else { return };
        (exchange.request, exchange.response_deadline) = (RequestPhase::Paused, f64::INFINITY);
        let now = self.now();
        self.flow.pause(stream, Direction::Up, now);
        self.flow.pause(stream, Direction::Down, now);
        self.release_upstream(net, stream, false);
    }

    /// Returns a connection without an attempt to the pool if `keep` is set and it is usable, and closes it
    /// otherwise.
    pub(super) fn pool_or_close_upstream(&mut self, net: &mut Sockets, id: ConnId, keep: bool) {
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

    /// Closes the idle connections to an endpoint that has moved or restarted.
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
            // An idle connection that receives bytes or is closed by the peer cannot be reused. A late event
            // for bytes that were already read is harmless.
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
        // `relay_request` may have found the connection established already, without clearing the deadline.
        upstream.connect_deadline = f64::INFINITY;
        self.flow.on_writable(stream, Direction::Up, now);
        if self.exchanges.get(&stream).is_some_and(|e| e.response.is_some()) {
            self.flow.on_readable(stream, Direction::Down, now);
        } else {
            self.read_response_heads(net, stream);
        }
    }

    /// Reads response heads from the endpoint, up to and including the final one.
    pub(super) fn read_response_heads(&mut self, net: &mut Sockets, stream: StreamId) {
        let is_head_request = self.is_head_request(stream);
        loop {
            let Some(exchange) = self.exchanges.get(&stream).filter(|e| e.response.is_none()) else { return };
            let Some(Upstream { conn, .. }) = exchange.upstream else { return };
            let Some(conn) = net.conn(conn) else { return };
            let more = conn.read_some((MAX_HEAD_BYTES + 1).saturating_sub(conn.rx.len()));
            let ended = conn.eof || conn.broken;
            match head::read_response(&mut conn.rx, is_head_request) {
                Ok(Some(head)) if head.status >= 200 => return self.on_response_head(net, stream, &head),
                Ok(Some(head)) => {
                    if !self.forward_interim_response(net, stream, &head) {
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

    /// Ends an attempt whose connection failed before the response.
    fn on_upstream_broken(&mut self, net: &mut Sockets, stream: StreamId) {
        let is_written = self.is_attempt_written(net, stream);
        self.end_attempt(net, stream, if is_written { Outcome::Reset } else { Outcome::Unreachable });
    }

    /// Whether a byte of the current attempt was written to its connection. Only if none was, the request
    /// certainly has not run, because an HTTP server may start processing at the first byte.
    pub(super) fn is_attempt_written(&self, net: &mut Sockets, stream: StreamId) -> bool {
        let exchange = self.exchanges.get(&stream);
        let Some(id) = exchange.and_then(|e| e.upstream).map(|upstream| upstream.conn) else { return true };
        let (Some(upstream), Some(conn)) = (self.upstreams.get(&id), net.conn(id)) else { return true };
        conn.sent > upstream.sent_before_attempt
    }

    pub(super) fn expire_upstreams(&mut self, net: &mut Sockets, now: f64) {
        let expired =
            self.upstreams.iter().filter(|(_, s)| s.connect_deadline <= now).map(|(&id, s)| (id, s.stream));
        let mut expired: Vec<(ConnId, Option<StreamId>)> = expired.collect();
        expired.sort_unstable_by_key(|&(id, _)| id);
        for (id, stream) in expired {
            match stream {
                // `connect_deadline` is finite only while the connection is being established.
                Some(stream) => self.on_upstream_broken(net, stream),
                None => self.close_upstream(net, id),
            }
        }
        for id in self.pool.take_expired(now) {
            self.close_upstream(net, id);
        }
    }
}
