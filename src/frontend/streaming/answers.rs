//! Responses: forwarding of heads, and relaying of bodies from an endpoint to the client.

use super::StreamingFrontend;
use super::exchange::{RequestPhase, ResponseState, Upstream};
use super::transfer::{BodyRelay, Relayed};
use crate::flow::{Direction, StreamId, Turn, TurnResult};
use crate::frontend::Sockets;
use crate::frontend::refusals::{TOO_MANY_REQUESTS, is_refusal, proves_never_ran};
use crate::net::body::{Decoder, Framing};
use crate::net::head::{self, ResponseHead};
use crate::net::{MAX_BUFFERED_BYTES, Pipe, http};
use crate::routing::Outcome;

/// Maximum number of interim (1xx) responses that are forwarded for one request, so that an endpoint cannot
/// flood a client.
const MAX_INTERIM_RESPONSES: u8 = 16;

impl StreamingFrontend {
    /// Handles the head of a final response: forwards it to the client, or ends the attempt.
    pub(super) fn on_response_head(&mut self, net: &mut Sockets, stream: StreamId, response: &ResponseHead) {
        let now = self.now();
        if let Some(outcome) = self.outcome_of_refusal(net, stream, response) {
            return self.end_attempt(net, stream, outcome);
        }
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        let (Some(job), Some(Upstream { conn, .. })) = (exchange.job, exchange.upstream) else { return };
        let Ok(decoder) = Decoder::new(response.framing, exchange.class_rules.max_body_bytes) else {
            return self.end_attempt(net, stream, Outcome::NoRetry);
        };
        let framing = match response.framing {
            Framing::Chunked | Framing::UntilClose if exchange.head.is_http_1_0 => Framing::UntilClose,
            Framing::UntilClose => Framing::Chunked,
            other => other,
        };
        // After a response that comes before the end of the request body, the connections are in the middle
        // of a message and cannot be reused.
        exchange.closes_client |= framing == Framing::UntilClose || !exchange.decoder.is_done();
        let stated_length = match response.framing {
            Framing::Empty if exchange.head.method == "HEAD" => {
                http::header_value(&response.headers, "content-length").and_then(|v| v.parse().ok())
            }
            _ => None,
        };
        // The core ignores a response to an attempt that has already ended.
        if !self.core.on_response_started(job, exchange.attempt) {
            return;
        }
        exchange.response_deadline = f64::INFINITY;
        self.counters.relayed_refusals += u64::from(is_refusal(response.status));
        let bytes = head::write_response(response, framing, stated_length, exchange.closes_client);
        let done = decoder.is_done();
        let closes_upstream = response.close || !matches!(exchange.request, RequestPhase::Done);
        exchange.response = Some(ResponseState {
            decoder,
            framing,
            last_chunk_written: false,
            pipe: None,
            status: response.status,
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

    /// Returns how an attempt ends whose endpoint refused the request, or `None` if the response is to be
    /// forwarded. The client of a refused request sends it again, so a refusal without proof is not forwarded
    /// if the request must not run twice.
    fn outcome_of_refusal(
        &mut self,
        net: &mut Sockets,
        stream: StreamId,
        response: &ResponseHead,
    ) -> Option<Outcome> {
        let exchange = self.exchanges.get(&stream)?;
        if proves_never_ran(response.status, &response.headers) {
            // The request can be sent again, unless a part of it is no longer buffered.
            return exchange.prefix.is_some().then_some(Outcome::Full);
        }
        if !is_refusal(response.status) || self.core.rejection_is_safe(exchange.job?) {
            return None;
        }
        if !self.is_attempt_written(net, stream) {
            return Some(Outcome::Unreachable);
        }
        self.counters.unproven_refusals += 1;
        // A limit on requests concerns the client or its tenant, so the endpoint has not failed.
        Some(if response.status == TOO_MANY_REQUESTS { Outcome::Unknown } else { Outcome::Error })
    }

    /// Relays a part of a response body, in a turn of the downward channel.
    pub(super) fn relay_response(&mut self, net: &mut Sockets, turn: Turn) -> usize {
        let (now, stream) = (self.now(), turn.stream);
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return 0 };
        let (Some(response), Some(Upstream { conn, .. })) = (&mut exchange.response, exchange.upstream)
        else {
            self.flow.on_turn_finished(turn, TurnResult::default(), now);
            return 0;
        };
        let Some([client, upstream]) = net.pair(exchange.client, conn) else { return 0 };
        let sent = client.sent;
        let is_chunked = response.framing == Framing::Chunked;
        let mut relay = BodyRelay {
            decoder: &mut response.decoder,
            is_chunked,
            last_chunk_written: &mut response.last_chunk_written,
            pipe: &mut response.pipe,
            pipes: &self.pipes,
        };
        let relayed = relay.relay(upstream, client, turn.read_limit, |_| ());
        let Ok(Relayed { read, more, mut blocked, full }) = relayed else {
            self.end_attempt(net, stream, Outcome::Error);
            return 0;
        };
        if upstream.eof && upstream.rx.is_empty() && !relay.decoder.is_done() && relay.decoder.on_eof() {
            // The body is delimited by the end of the connection, so it is complete now.
            blocked = relay.relay_buffered(upstream, client, |_| ()).unwrap_or(false);
        }
        let done = response.decoder.is_done();
        let written = (client.sent - sent) as usize;
        let piped = response.pipe.as_ref().map_or(0, Pipe::held);
        let held = client.tx.len() + piped + if done { 0 } else { upstream.rx.len() };
        let (gone, ended) = (client.write_failed || client.broken, upstream.eof || upstream.broken);
        self.counters.bytes_down += written as u64;
        self.flow.on_turn_finished(turn, TurnResult { read, more, written, held, blocked, full }, now);
        if gone {
            self.on_client_left(net, stream);
        } else if done {
            self.flow.on_source_ended(stream, Direction::Down, now);
            if held == 0
                && (!is_chunked
                    || self.exchanges[&stream].response.as_ref().is_some_and(|d| d.last_chunk_written))
            {
                self.on_response_relayed(net, stream);
            }
        } else if ended && !blocked {
            // The response is incomplete, and must not look complete to the client.
            self.end_attempt(net, stream, Outcome::Reset);
        }
        read + written
    }

    /// Reports a completely written response to the core, and releases the upstream connection.
    fn on_response_relayed(&mut self, net: &mut Sockets, stream: StreamId) {
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        exchange.is_complete = true;
        let (job, attempt) = (exchange.job, exchange.attempt);
        let (status, close) = exchange.response.as_ref().map_or((0, true), |d| (d.status, d.closes_upstream));
        let outcome = if status < 500 { Outcome::Served } else { Outcome::Error };
        let report = self.release_upstream(net, stream, !close);
        if let Some(job) = job {
            self.core.on_attempt_ended(job, attempt, outcome, report, Vec::new());
        }
    }

    /// Forwards an interim response. Returns false if it is a 101, there are too many of them, or it does not
    /// fit into the client's buffer. For HTTP/1.0 clients it is dropped, because that version has no interim
    /// responses.
    pub(super) fn forward_interim_response(
        &mut self,
        net: &mut Sockets,
        stream: StreamId,
        response: &ResponseHead,
    ) -> bool {
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return false };
        exchange.interim_responses += 1;
        if response.status == 101 || exchange.interim_responses > MAX_INTERIM_RESPONSES {
            return false;
        }
        if exchange.head.is_http_1_0 {
            return true;
        }
        net.write(exchange.client, &head::write_response(response, Framing::Empty, None, false))
    }

    /// Whether the request of an exchange is a HEAD request.
    pub(super) fn is_head_request(&self, stream: StreamId) -> bool {
        self.exchanges.get(&stream).is_some_and(|e| e.head.method == "HEAD")
    }
}
