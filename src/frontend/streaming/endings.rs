//! How attempts and exchanges end: served, rejected, cut, or given up.

use super::StreamingFrontend;
use super::exchange::{Exchange, RequestPhase, Upstream};
use crate::flow::{Direction, Side, StreamId};
use crate::frontend::Sockets;
use crate::net::body::Framing;
use crate::routing::{LoadReport, Outcome};

impl StreamingFrontend {
    /// An attempt has ended otherwise than with a complete answer. The core decides what follows.
    pub(super) fn end_attempt(&mut self, net: &mut Sockets, stream: StreamId, outcome: Outcome) {
        let now = self.now();
        let report = self.release_upstream(net, stream, false);
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        exchange.answer_deadline = f64::INFINITY;
        exchange.request = RequestPhase::Paused;
        exchange.pipe = None;
        let (job, attempt) = (exchange.job, exchange.attempt);
        self.flow.pause(stream, Direction::Up, now);
        self.flow.pause(stream, Direction::Down, now);
        if let Some(job) = job {
            self.core.on_attempt_ended(job, attempt, outcome, report, Vec::new());
        }
    }

    /// Takes the connection to the endpoint off an exchange, and gives its slot back. The connection is used again where
    /// `keep` allows it, or closed.
    pub(super) fn release_upstream(&mut self, net: &mut Sockets, stream: StreamId, keep: bool) -> LoadReport {
        let upstream = self.exchanges.get_mut(&stream).and_then(|e| e.upstream.take());
        let Some(Upstream { conn, endpoint }) = upstream else { return LoadReport::default() };
        self.slots.release(endpoint);
        self.free_upstream(net, conn, keep);
        self.slots.report(endpoint)
    }

    /// Takes an exchange out, with all that it holds but its client's connection.
    fn remove(&mut self, net: &mut Sockets, stream: StreamId) -> Option<Exchange> {
        self.release_upstream(net, stream, false);
        let exchange = self.exchanges.remove(&stream)?;
        self.flow.close(stream);
        self.admission.leave(&exchange.tenant);
        if let Some(job) = exchange.job {
            self.streams.remove(&job);
            // Where the job has not ended already.
            self.core.on_client_left(job);
        }
        Some(exchange)
    }

    /// Ends an exchange whose answer was relayed completely.
    pub(super) fn finish(&mut self, net: &mut Sockets, stream: StreamId) {
        let Some(exchange) = self.remove(net, stream) else { return };
        self.counters.completed += 1;
        if exchange.closes_client {
            self.end_client(net, exchange.client);
        } else {
            self.free_client(net, exchange.client);
        }
    }

    /// Gives the frontend's own final answer: a status, or where the answer has begun, a break that the client sees.
    /// `retry_after` is in milliseconds; 0 gives no advice.
    pub(super) fn reject(&mut self, net: &mut Sockets, stream: StreamId, status: u16, retry_after: f64) {
        if self.exchanges.get(&stream).is_some_and(|e| e.is_complete) {
            return self.finish(net, stream);
        }
        let Some(exchange) = self.remove(net, stream) else { return };
        let Some(answer) = exchange.answer else {
            let why = match status {
                400 => "the body does not read\n",
                408 => "too slow\n",
                413 => "the body is longer than its class allows\n",
                503 => "denied\n",
                _ => "failed\n",
            };
            let close = exchange.closes_client || !exchange.decoder.is_done();
            return self.reply(net, exchange.client, status, retry_after, why, close);
        };
        self.counters.cut += 1;
        if answer.framing == Framing::UntilClose
            && let Some(conn) = net.conn(exchange.client)
        {
            conn.reset_on_close();
        }
        self.cut_client(net, exchange.client);
    }

    /// The client has gone: the exchange ends without an answer.
    pub(super) fn on_client_left(&mut self, net: &mut Sockets, stream: StreamId) {
        if let Some(exchange) = self.remove(net, stream) {
            self.cut_client(net, exchange.client);
        }
    }

    /// Gives up peers that are too slow or too silent, and endpoints that do not begin to answer.
    pub(super) fn expire_streams(&mut self, net: &mut Sockets, now: f64) {
        for given in self.flow.expire(now) {
            self.counters.count_given_up(&given);
            let is_client = (given.direction == Direction::Up) == (given.side == Side::Source);
            if is_client {
                self.reject(net, given.stream, 408, 0.0);
            } else {
                self.end_attempt(net, given.stream, Outcome::TimedOut);
            }
        }
        let late = self.exchanges.iter().filter(|(_, e)| e.answer_deadline <= now).map(|(&stream, _)| stream);
        let mut late: Vec<StreamId> = late.collect();
        late.sort_unstable();
        for stream in late {
            self.counters.silent_servers += 1;
            self.end_attempt(net, stream, Outcome::TimedOut);
        }
    }

    /// Ends all streams: the time that a stop leaves them is over.
    pub(super) fn cut_all(&mut self, net: &mut Sockets) {
        let mut streams: Vec<StreamId> = self.exchanges.keys().copied().collect();
        streams.sort_unstable();
        for stream in streams {
            let taken = self.exchanges.get(&stream).is_some_and(|e| e.job.is_some());
            self.reject(net, stream, if taken { 502 } else { 503 }, 0.0);
        }
    }
}
