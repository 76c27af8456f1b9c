//! Ending of attempts and exchanges: complete responses, rejections, aborts and timeouts.

use super::StreamingFrontend;
use super::exchange::{Exchange, RequestPhase, Upstream};
use super::rejection::Rejection;
use crate::flow::{Direction, Side, StreamId};
use crate::frontend::Sockets;
use crate::net::body::Framing;
use crate::routing::{LoadReport, Outcome};

impl StreamingFrontend {
    /// Ends an attempt that has no complete response. The core decides whether the job is retried or fails.
    pub(super) fn end_attempt(&mut self, net: &mut Sockets, stream: StreamId, outcome: Outcome) {
        let now = self.now();
        let report = self.release_upstream(net, stream, false);
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        exchange.response_deadline = f64::INFINITY;
        exchange.request = RequestPhase::Paused;
        exchange.pipe = None;
        let (job, attempt) = (exchange.job, exchange.attempt);
        self.flow.pause(stream, Direction::Up, now);
        self.flow.pause(stream, Direction::Down, now);
        if let Some(job) = job {
            self.core.on_attempt_ended(job, attempt, outcome, report, Vec::new());
        }
    }

    /// Detaches the upstream connection from an exchange and releases the endpoint's slot. The connection is
    /// pooled if `keep` is set and it is usable, and closed otherwise. Returns the load of the endpoint.
    pub(super) fn release_upstream(&mut self, net: &mut Sockets, stream: StreamId, keep: bool) -> LoadReport {
        let upstream = self.exchanges.get_mut(&stream).and_then(|e| e.upstream.take());
        let Some(Upstream { conn, endpoint }) = upstream else { return LoadReport::default() };
        self.slots.release(endpoint);
        self.pool_or_close_upstream(net, conn, keep);
        self.slots.report(endpoint)
    }

    /// Removes an exchange and releases all its resources except the client's connection.
    fn remove(&mut self, net: &mut Sockets, stream: StreamId) -> Option<Exchange> {
        self.release_upstream(net, stream, false);
        let exchange = self.exchanges.remove(&stream)?;
        self.flow.close(stream);
        self.admission.leave(&exchange.tenant);
        if let Some(job) = exchange.job {
            self.streams.remove(&job);
            // Cancels the job if it has not ended yet.
            self.core.on_client_left(job);
        }
        Some(exchange)
    }

    /// Ends an exchange whose response was relayed completely.
    pub(super) fn finish(&mut self, net: &mut Sockets, stream: StreamId) {
        let Some(exchange) = self.remove(net, stream) else { return };
        self.counters.completed += 1;
        if exchange.closes_client {
            self.start_lingering_close(net, exchange.client);
        } else {
            self.set_client_idle(net, exchange.client);
        }
    }

    /// Ends an exchange with a response of the frontend's own. If the endpoint's response has already begun,
    /// the client connection is closed such that the client recognizes the response as incomplete.
    pub(super) fn reject(&mut self, net: &mut Sockets, stream: StreamId, rejection: Rejection) {
        if self.exchanges.get(&stream).is_some_and(|e| e.is_complete) {
            return self.finish(net, stream);
        }
        let Some(exchange) = self.remove(net, stream) else { return };
        let Some(response) = exchange.response else {
            let close = exchange.closes_client || !exchange.decoder.is_done();
            return self.reply(net, exchange.client, rejection, close);
        };
        self.counters.aborted += 1;
        if response.framing == Framing::UntilClose
            && let Some(conn) = net.conn(exchange.client)
        {
            conn.reset_on_close();
        }
        self.close_client(net, exchange.client);
    }

    /// Ends an exchange without a response, because its client has disconnected.
    pub(super) fn on_client_left(&mut self, net: &mut Sockets, stream: StreamId) {
        if let Some(exchange) = self.remove(net, stream) {
            self.close_client(net, exchange.client);
        }
    }

    /// Ends exchanges and attempts whose peer is too slow or silent, or whose response has not begun in time.
    pub(super) fn expire_streams(&mut self, net: &mut Sockets, now: f64) {
        for failed_peer in self.flow.expire(now) {
            self.counters.count_failed_peer(&failed_peer);
            let is_client = (failed_peer.direction == Direction::Up) == (failed_peer.side == Side::Source);
            if is_client {
                self.reject(net, failed_peer.stream, Rejection::SlowBody);
            } else {
                self.end_attempt(net, failed_peer.stream, Outcome::TimedOut);
            }
        }
        let overdue =
            self.exchanges.iter().filter(|(_, e)| e.response_deadline <= now).map(|(&stream, _)| stream);
        let mut overdue: Vec<StreamId> = overdue.collect();
        overdue.sort_unstable();
        for stream in overdue {
            self.counters.silent_servers += 1;
            self.end_attempt(net, stream, Outcome::TimedOut);
        }
    }

    /// Aborts all exchanges when the time limit of a shutdown is reached.
    pub(super) fn abort_all(&mut self, net: &mut Sockets) {
        let mut streams: Vec<StreamId> = self.exchanges.keys().copied().collect();
        streams.sort_unstable();
        for stream in streams {
            let was_accepted = self.exchanges.get(&stream).is_some_and(|e| e.job.is_some());
            let not_sent = Rejection::Denied { retry_after_ms: 0.0 };
            self.reject(net, stream, if was_accepted { Rejection::Failed } else { not_sent });
        }
    }
}
