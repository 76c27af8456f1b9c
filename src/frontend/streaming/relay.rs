//! Request bodies: held until the request is dispatched, and relayed to the endpoint that the core has
//! chosen.

use super::StreamingFrontend;
use super::exchange::{RequestPhase, RequestProgress, Upstream};
use super::rejection::Rejection;
use super::transfer::{BodyRelay, Relayed, extend_prefix};
use crate::core::{FinalAnswer, JobRequest};
use crate::flow::{Direction, StreamId, Turn, TurnResult};
use crate::frontend::Sockets;
use crate::net::body::Framing;
use crate::net::{Pipe, Pipes};

impl StreamingFrontend {
    /// Submits a request to the core as a job. The core commands an attempt, or rejects the job.
    pub(super) fn submit_job(&mut self, net: &mut Sockets, stream: StreamId) {
        let now = self.now();
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        exchange.request = RequestPhase::Paused;
        self.flow.pause(stream, Direction::Up, now);
        let request = JobRequest {
            class: exchange.class,
            deadline_ms: now + exchange.class_rules.response_start_limit_ms,
            slots: 1.0,
            work_ms: None,
            partition: 0,
        };
        match self.core.submit(request) {
            Ok(job) => {
                exchange.job = Some(job);
                self.streams.insert(job, stream);
            }
            Err(FinalAnswer::Rejected { retry_after_ms }) => {
                self.reject(net, stream, Rejection::Denied { retry_after_ms });
            }
            Err(_) => self.reject(net, stream, Rejection::Failed),
        }
    }

    /// Carries out a turn of a channel. Returns the bytes that were read and written.
    pub(super) fn take_turn(&mut self, net: &mut Sockets, turn: Turn) -> usize {
        match turn.direction {
            Direction::Up => self.relay_request(net, turn),
            Direction::Down => self.relay_response(net, turn),
        }
    }

    /// Relays a part of a request body, in a turn of the upward channel.
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
            let result = TurnResult { more: true, held, blocked: true, full: true, ..TurnResult::default() };
            self.flow.on_turn_finished(turn, result, now);
            return 0;
        }
        let sent = upstream.sent;
        let (prefix, limit) = (&mut exchange.prefix, exchange.class_rules.prefix_bytes);
        let mut relay = BodyRelay {
            decoder: &mut exchange.decoder,
            is_chunked: exchange.head.framing == Framing::Chunked,
            last_chunk_written: &mut exchange.last_chunk_written,
            pipe: &mut exchange.pipe,
            // While the prefix is still complete, the relayed payload is added to it. Bytes in a kernel pipe
            // could not be copied.
            pipes: if prefix.is_some() { &Pipes::new(0) } else { &self.pipes },
        };
        let relayed =
            relay.relay(client, upstream, turn.read_limit, |payload| extend_prefix(prefix, payload, limit));
        let Relayed { read, more, blocked, full } = match relayed {
            Ok(relayed) => relayed,
            Err(error) => {
                self.reject(net, stream, error.into());
                return 0;
            }
        };
        let done = exchange.decoder.is_done();
        let written = (upstream.sent - sent) as usize;
        let piped = exchange.pipe.as_ref().map_or(0, Pipe::held);
        let held = upstream.tx.len() + piped + if done { 0 } else { client.rx.len() };
        let progress = RequestProgress::of(client, upstream, done.then_some(held), blocked);
        self.counters.bytes_up += written as u64;
        self.flow.on_turn_finished(turn, TurnResult { read, more, written, held, blocked, full }, now);
        self.on_request_progress(net, stream, progress, now);
        read + written
    }

    /// Reacts to the progress of a request body after a turn.
    fn on_request_progress(
        &mut self,
        net: &mut Sockets,
        stream: StreamId,
        progress: RequestProgress,
        now: f64,
    ) {
        match progress {
            RequestProgress::InProgress => {}
            RequestProgress::ClientDisconnected => self.on_client_left(net, stream),
            RequestProgress::UpstreamWriteFailed => {
                let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
                exchange.request = RequestPhase::Paused;
                exchange.closes_client = true;
                self.flow.pause(stream, Direction::Up, now);
                // The endpoint may have sent an error response before it closed the connection.
                self.read_response_heads(net, stream);
            }
            RequestProgress::Complete { is_written } => {
                self.flow.on_source_ended(stream, Direction::Up, now);
                if is_written {
                    self.on_request_relayed(stream, now);
                }
            }
            // An incomplete body must not look complete to the endpoint: its connection is closed before the
            // end of the message, and the client gets an error.
            RequestProgress::Truncated => self.reject(net, stream, Rejection::MalformedBody),
        }
    }

    /// Handles a request that is fully written to its endpoint, and starts the time limit for the response.
    fn on_request_relayed(&mut self, stream: StreamId, now: f64) {
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        exchange.request = RequestPhase::Done;
        let response_has_begun = exchange.response.is_some();
        exchange.response_deadline =
            if response_has_begun { f64::INFINITY } else { now + exchange.class_rules.response_timeout_ms };
        let (job, attempt) = (exchange.job, exchange.attempt);
        self.flow.pause(stream, Direction::Up, now);
        if let Some(job) = job {
            self.core.on_body_relayed(job, attempt);
        }
    }

    /// Adds received body bytes to the prefix of a held request, in a turn of the upward channel.
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
            let payload_len = step
                .payload
                .min(exchange.class_rules.prefix_bytes - prefix.len().min(exchange.class_rules.prefix_bytes));
            prefix.extend_from_slice(&conn.rx.bytes()[..payload_len]);
            exchange.decoder.consume_payload(payload_len);
            conn.rx.consume(payload_len);
            if payload_len == 0 && step.skip == 0 || exchange.decoder.is_done() {
                break None;
            }
        };
        let done = exchange.decoder.is_done();
        let held = prefix.len() + if done { 0 } else { conn.rx.len() };
        let (broken, ended) = (conn.broken, conn.eof);
        self.flow.on_turn_finished(turn, TurnResult { read, more, held, ..TurnResult::default() }, now);
        if let Some(error) = error {
            self.reject(net, stream, error.into());
        } else if broken {
            self.on_client_left(net, stream);
        } else if ended && !done {
            self.reject(net, stream, Rejection::MalformedBody);
        } else {
            self.dispatch_if_ready(net, stream, now);
        }
        read
    }
}
