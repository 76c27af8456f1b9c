//! Answers: passed on from an endpoint to the client, as they come.

use super::StreamingFrontend;
use super::exchange::{AnswerState, RequestPhase, Upstream};
use super::transfer::{BodyRelay, Relayed};
use crate::flow::{Direction, StreamId, Turn, TurnResult};
use crate::frontend::Sockets;
use crate::net::body::{Decoder, Framing};
use crate::net::head::{self, ResponseHead};
use crate::net::{MAX_BUFFERED_BYTES, Pipe, http};
use crate::routing::Outcome;

/// Interim answers (of status 1xx) that are passed on for one request: a bound on what an endpoint can have a client read.
const MAX_INTERIM_ANSWERS: u8 = 16;

impl StreamingFrontend {
    /// Handles the head of an answer: passes it on, or ends the attempt.
    pub(super) fn begin_answer(&mut self, net: &mut Sockets, stream: StreamId, answer: &ResponseHead) {
        let now = self.now();
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        let (Some(job), Some(Upstream { conn, .. })) = (exchange.job, exchange.upstream) else { return };
        let declined = http::header_value(&answer.headers, "srv-declined") == Some("1");
        if declined && matches!(answer.status, 503 | 504) && exchange.prefix.is_some() {
            return self.end_attempt(net, stream, Outcome::Full);
        }
        let Ok(decoder) = Decoder::new(answer.framing, exchange.class_rules.max_body_bytes) else {
            return self.end_attempt(net, stream, Outcome::NoRetry);
        };
        let framing = match answer.framing {
            Framing::Chunked | Framing::UntilClose if exchange.head.is_http_1_0 => Framing::UntilClose,
            Framing::UntilClose => Framing::Chunked,
            other => other,
        };
        // An answer before the body's end leaves the connections in the middle of a message.
        exchange.closes_client |= framing == Framing::UntilClose || !exchange.decoder.is_done();
        let stated_length = match answer.framing {
            Framing::Empty if exchange.head.method == "HEAD" => {
                http::header_value(&answer.headers, "content-length").and_then(|v| v.parse().ok())
            }
            _ => None,
        };
        // Guards against an answer to an attempt that has ended.
        if !self.core.on_response_started(job, exchange.attempt) {
            return;
        }
        exchange.answer_deadline = f64::INFINITY;
        let bytes = head::write_response(answer, framing, stated_length, exchange.closes_client);
        let done = decoder.is_done();
        let closes_upstream = answer.close || !matches!(exchange.request, RequestPhase::Done);
        exchange.answer = Some(AnswerState {
            decoder,
            framing,
            last_chunk_written: false,
            pipe: None,
            status: answer.status,
            closes_upstream,
        });
        let Some([client, upstream]) = net.pair(exchange.client, conn) else { return };
        if !client.tx.push(&bytes) {
            return self.end_attempt(net, stream, Outcome::Error);
        }
        let window = exchange.class_rules.allowance.window;
        upstream.rx.set_limit((window + http::MAX_HEAD_BYTES + 1).max(MAX_BUFFERED_BYTES), window);
        let held = client.tx.len() + upstream.rx.len();
        self.flow.release(stream, Direction::Down, held, now);
        if done {
            self.flow.on_source_ended(stream, Direction::Down, now);
        }
    }

    /// Takes a turn of the channel down.
    pub(super) fn relay_answer(&mut self, net: &mut Sockets, turn: Turn) -> usize {
        let (now, stream) = (self.now(), turn.stream);
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return 0 };
        let (Some(answer), Some(Upstream { conn, .. })) = (&mut exchange.answer, exchange.upstream) else {
            self.flow.on_turn_finished(turn, TurnResult::default(), now);
            return 0;
        };
        let Some([client, upstream]) = net.pair(exchange.client, conn) else { return 0 };
        let sent = client.sent;
        let is_chunked = answer.framing == Framing::Chunked;
        let mut relay = BodyRelay {
            decoder: &mut answer.decoder,
            is_chunked,
            last_chunk_written: &mut answer.last_chunk_written,
            pipe: &mut answer.pipe,
            pipes: &self.pipes,
        };
        let relayed = relay.relay(upstream, client, turn.read_limit, |_| ());
        let Ok(Relayed { read, more, mut blocked, full }) = relayed else {
            self.end_attempt(net, stream, Outcome::Error);
            return 0;
        };
        if upstream.eof && upstream.rx.is_empty() && !relay.decoder.is_done() && relay.decoder.on_eof() {
            // All that came before the end was the body.
            blocked = relay.relay_buffered(upstream, client, |_| ()).unwrap_or(false);
        }
        let done = answer.decoder.is_done();
        let written = (client.sent - sent) as usize;
        let piped = answer.pipe.as_ref().map_or(0, Pipe::held);
        let held = client.tx.len() + piped + if done { 0 } else { upstream.rx.len() };
        let (gone, ended) = (client.write_failed || client.broken, upstream.eof || upstream.broken);
        self.counters.down += written as u64;
        self.flow.on_turn_finished(turn, TurnResult { read, more, written, held, blocked, full }, now);
        if gone {
            self.on_client_left(net, stream);
        } else if done {
            self.flow.on_source_ended(stream, Direction::Down, now);
            if held == 0
                && (!is_chunked
                    || self.exchanges[&stream].answer.as_ref().is_some_and(|d| d.last_chunk_written))
            {
                self.on_answer_relayed(net, stream);
            }
        } else if ended && !blocked {
            // Guards against an answer that looks complete and is not.
            self.end_attempt(net, stream, Outcome::Reset);
        }
        read + written
    }

    /// All of the answer is written.
    fn on_answer_relayed(&mut self, net: &mut Sockets, stream: StreamId) {
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        exchange.is_complete = true;
        let (job, attempt) = (exchange.job, exchange.attempt);
        let (status, close) = exchange.answer.as_ref().map_or((0, true), |d| (d.status, d.closes_upstream));
        let outcome = if status < 500 { Outcome::Served } else { Outcome::Error };
        let report = self.release_upstream(net, stream, !close);
        if let Some(job) = job {
            self.core.on_attempt_ended(job, attempt, outcome, report, Vec::new());
        }
    }

    /// Passes an interim answer on. False where there are too many, or its client takes none.
    pub(super) fn forward_interim(
        &mut self,
        net: &mut Sockets,
        stream: StreamId,
        answer: &ResponseHead,
    ) -> bool {
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return false };
        exchange.interim_answers += 1;
        if answer.status == 101 || exchange.interim_answers > MAX_INTERIM_ANSWERS {
            return false;
        }
        if exchange.head.is_http_1_0 {
            return true;
        }
        net.write(exchange.client, &head::write_response(answer, Framing::Empty, None, false))
    }

    /// Whether an exchange is a HEAD's.
    pub(super) fn is_to_head(&self, stream: StreamId) -> bool {
        self.exchanges.get(&stream).is_some_and(|e| e.head.method == "HEAD")
    }
}
