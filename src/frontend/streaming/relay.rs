//! Requests: handed to the core, held until they are dispatched, and relayed to the endpoint that it has chosen.

use super::StreamingFrontend;
use super::exchange::{RequestPhase, RequestProgress, Upstream};
use super::transfer::{BodyRelay, Relayed, extend_prefix};
use crate::core::{FinalAnswer, JobRequest};
use crate::flow::{Direction, StreamId, Turn, TurnResult};
use crate::frontend::Sockets;
use crate::net::body::{BodyError, Framing};
use crate::net::{Pipe, Pipes};

/// The status that tells a client what is wrong with its body.
fn status_of(error: BodyError) -> (u16, &'static str) {
    match error {
        BodyError::TooLong => (413, "the body is longer than its class allows\n"),
        _ => (400, "the body does not read\n"),
    }
}
impl StreamingFrontend {
    /// Hands a request to the core, which sends an attempt or rejects it.
    pub(super) fn route(&mut self, net: &mut Sockets, stream: StreamId) {
        let now = self.now();
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        exchange.request = RequestPhase::Paused;
        self.flow.pause(stream, Direction::Up, now);
        let request = JobRequest {
            class: exchange.class,
            deadline_ms: now + exchange.class_rules.answer_start_limit_ms,
            slots: 1.0,
            work_ms: None,
            partition: 0,
        };
        match self.core.submit(request) {
            Ok(job) => {
                exchange.job = Some(job);
                self.streams.insert(job, stream);
            }
            Err(FinalAnswer::Rejected { retry_after_ms: retry_after }) => {
                self.reject(net, stream, 503, retry_after);
            }
            Err(_) => self.reject(net, stream, 502, 0.0),
        }
    }

    /// Takes a channel's turn. Returns the bytes that it moved.
    pub(super) fn take_turn(&mut self, net: &mut Sockets, turn: Turn) -> usize {
        match turn.direction {
            Direction::Up => self.relay_request(net, turn),
            Direction::Down => self.relay_answer(net, turn),
        }
    }

    /// Takes a turn of the channel up.
    fn relay_request(&mut self, net: &mut Sockets, turn: Turn) -> usize {
        let (now, stream) = (self.now(), turn.stream);
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return 0 };
        match (exchange.request, exchange.upstream) {
            (RequestPhase::Held(_), _) => return self.hold_request(net, turn),
            (RequestPhase::Relaying, Some(_)) => {}
            _ => {
                self.flow.on_turn_finished(turn, TurnResult::default(), now);
                return 0;
            }
        }
        let Some(Upstream { conn, .. }) = exchange.upstream else { return 0 };
        let Some([client, upstream]) = net.pair(exchange.client, conn) else { return 0 };
        if !upstream.poll_connected() {
            let held = client.rx.len() + upstream.tx.len();
            let moved = TurnResult { more: true, held, blocked: true, full: true, ..TurnResult::default() };
            self.flow.on_turn_finished(turn, moved, now);
            return 0;
        }
        let sent = upstream.sent;
        let (prefix, limit) = (&mut exchange.prefix, exchange.class_rules.prefix_bytes);
        let mut relay = BodyRelay {
            decoder: &mut exchange.decoder,
            is_chunked: exchange.head.framing == Framing::Chunked,
            last_chunk_written: &mut exchange.last_chunk_written,
            pipe: &mut exchange.pipe,
            // A prefix that is still complete is kept as it passes, which a pipe would hide.
            pipes: if prefix.is_some() { &Pipes::new(0) } else { &self.pipes },
        };
        let relayed =
            relay.relay(client, upstream, turn.read_limit, |payload| extend_prefix(prefix, payload, limit));
        let Relayed { read, more, blocked, full } = match relayed {
            Ok(relayed) => relayed,
            Err(error) => {
                let (status, _) = status_of(error);
                self.reject(net, stream, status, 0.0);
                return 0;
            }
        };
        let done = exchange.decoder.is_done();
        let written = (upstream.sent - sent) as usize;
        let piped = exchange.pipe.as_ref().map_or(0, Pipe::held);
        let held = upstream.tx.len() + piped + if done { 0 } else { client.rx.len() };
        let progress = RequestProgress::of(client, upstream, done.then_some(held), blocked);
        self.counters.up += written as u64;
        self.flow.on_turn_finished(turn, TurnResult { read, more, written, held, blocked, full }, now);
        self.on_request_progress(net, stream, progress, now);
        read + written
    }

    /// Does what follows from how far a request's body has got.
    fn on_request_progress(
        &mut self,
        net: &mut Sockets,
        stream: StreamId,
        progress: RequestProgress,
        now: f64,
    ) {
        match progress {
            RequestProgress::Underway => {}
            RequestProgress::ClientGone => self.on_client_left(net, stream),
            RequestProgress::NotTaken => {
                let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
                exchange.request = RequestPhase::Paused;
                exchange.closes_client = true;
                self.flow.pause(stream, Direction::Up, now);
                // The endpoint may have answered why before it stopped to read.
                self.read_answer(net, stream);
            }
            RequestProgress::Ended { is_written } => {
                self.flow.on_source_ended(stream, Direction::Up, now);
                if is_written {
                    self.on_request_relayed(stream, now);
                }
            }
            // Half a body is no body: the endpoint sees its connection break off, the client an error.
            RequestProgress::CutShort => self.reject(net, stream, 400, 0.0),
        }
    }

    /// All of the request is with its endpoint: the time until its answer begins counts from now.
    fn on_request_relayed(&mut self, stream: StreamId, now: f64) {
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        exchange.request = RequestPhase::Done;
        let answer_has_begun = exchange.answer.is_some();
        exchange.answer_deadline =
            if answer_has_begun { f64::INFINITY } else { now + exchange.class_rules.answer_timeout_ms };
        let (job, attempt) = (exchange.job, exchange.attempt);
        self.flow.pause(stream, Direction::Up, now);
        if let Some(job) = job {
            self.core.on_body_relayed(job, attempt);
        }
    }

    /// Takes a turn of a request that is held: what has come goes to its prefix.
    fn hold_request(&mut self, net: &mut Sockets, turn: Turn) -> usize {
        let (now, stream) = (self.now(), turn.stream);
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return 0 };
        let Some(conn) = net.conn(exchange.client) else { return 0 };
        let prefix = exchange.prefix.get_or_insert_default();
        let before = conn.rx.len();
        let more = turn.read_limit == 0 || conn.read_some(turn.read_limit);
        let read = conn.rx.len() - before;
        let error = loop {
            let step = match exchange.decoder.step(conn.rx.bytes()) {
                Ok(step) => step,
                Err(error) => break Some(error),
            };
            conn.rx.consume(step.skip);
            let some = step
                .payload
                .min(exchange.class_rules.prefix_bytes - prefix.len().min(exchange.class_rules.prefix_bytes));
            prefix.extend_from_slice(&conn.rx.bytes()[..some]);
            exchange.decoder.consume_payload(some);
            conn.rx.consume(some);
            if some == 0 && step.skip == 0 || exchange.decoder.is_done() {
                break None;
            }
        };
        let done = exchange.decoder.is_done();
        let held = prefix.len() + if done { 0 } else { conn.rx.len() };
        let (broken, ended) = (conn.broken, conn.eof);
        self.flow.on_turn_finished(turn, TurnResult { read, more, held, ..TurnResult::default() }, now);
        if let Some(error) = error {
            let (status, _) = status_of(error);
            self.reject(net, stream, status, 0.0);
        } else if broken {
            self.on_client_left(net, stream);
        } else if ended && !done {
            self.reject(net, stream, 400, 0.0);
        } else {
            self.dispatch_if_ready(net, stream, now);
        }
        read
    }
}
