//! An exchange: a request and its response, from the head of the request until both bodies are relayed.
//!
//! The phases of a request:
//!
//! ```text
//! Held --dispatched--> Paused --the core sends an attempt--> Relaying --request fully written--> Done
//!                        ^----the attempt ended or was cancelled----/
//! ```

use super::config::StreamClass;
use crate::flow::HeldRequest;
use crate::net::body::{Decoder, Framing, chunk_head, last_chunk};
use crate::net::head::{self, RequestHead};
use crate::net::{Conn, ConnId, Pipe};
use crate::routing::{EndpointId, JobId};

/// The phase of a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestPhase {
    /// The request is not dispatched yet; a prefix of its body is collected.
    Held(HeldRequest),
    /// The body is not read: the core has not sent an attempt yet, or no endpoint accepts more of the body.
    Paused,
    /// The body is relayed to an endpoint.
    Relaying,
    /// The whole request is written to the endpoint.
    Done,
}

/// The progress of a request body after a turn.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestProgress {
    /// More of the body must be received or written.
    InProgress,
    /// The client's connection failed.
    ClientDisconnected,
    /// The endpoint accepts no more of the body.
    UpstreamWriteFailed,
    /// The whole body was read; `is_written` once it is also written to the endpoint's socket.
    Complete { is_written: bool },
    /// The client shut down its side of the connection before the end of the body.
    Truncated,
}

impl RequestProgress {
    /// Returns the progress after a turn. `unwritten` is the number of bytes still to be written if the end
    /// of the body was read. `blocked` means that the endpoint's socket accepts no more bytes for now.
    pub fn of(client: &Conn, upstream: &Conn, unwritten: Option<usize>, blocked: bool) -> RequestProgress {
        if client.broken {
            RequestProgress::ClientDisconnected
        } else if upstream.write_failed {
            RequestProgress::UpstreamWriteFailed
        } else if let Some(unwritten) = unwritten {
            RequestProgress::Complete { is_written: unwritten == 0 }
        } else if client.eof && !blocked {
            RequestProgress::Truncated
        } else {
            RequestProgress::InProgress
        }
    }
}

/// The state of a response whose head was forwarded.
pub(super) struct ResponseState {
    pub decoder: Decoder,
    pub framing: Framing,
    /// Whether the last chunk is written or queued.
    pub last_chunk_written: bool,
    /// The pipe through which a long body is spliced.
    pub pipe: Option<Pipe>,
    pub status: u16,
    /// Whether the connection to the endpoint cannot be reused after this response.
    pub closes_upstream: bool,
}

/// The connection of an attempt, and its endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Upstream {
    pub conn: ConnId,
    pub endpoint: EndpointId,
}

/// A request, its attempts and its response.
pub(super) struct Exchange {
    pub client: ConnId,
    pub class: usize,
    pub class_rules: StreamClass,
    pub tenant: String,
    pub head: RequestHead,
    /// Decoder of the request body.
    pub decoder: Decoder,
    /// All payload read of the request body so far, as long as it is short enough to be kept. With it the
    /// request can be sent, or sent again; without it no further attempt is possible.
    pub prefix: Option<Vec<u8>>,
    pub request: RequestPhase,
    /// Whether the last chunk of the request is written or queued.
    pub last_chunk_written: bool,
    /// The pipe through which a long request body is spliced.
    pub pipe: Option<Pipe>,
    /// The job, once the core has accepted it.
    pub job: Option<JobId>,
    /// Number of the latest attempt at the job.
    pub attempt: usize,
    /// The connection of the current attempt.
    pub upstream: Option<Upstream>,
    pub response: Option<ResponseState>,
    pub interim_responses: u8,
    /// Deadline for the start of the response, in milliseconds of the clock.
    pub response_deadline: f64,
    /// Whether the client's connection is closed after the exchange.
    pub closes_client: bool,
    /// Whether the whole response is written.
    pub is_complete: bool,
}

impl Exchange {
    #[expect(clippy::too_many_arguments, reason = "all of it comes from the head of the request")]
    pub fn new(
        client: ConnId,
        class: usize,
        class_rules: StreamClass,
        tenant: String,
        head: RequestHead,
        decoder: Decoder,
        held: HeldRequest,
        closes_client: bool,
    ) -> Exchange {
        Exchange {
            client,
            class,
            class_rules,
            tenant,
            head,
            decoder,
            prefix: Some(Vec::new()),
            request: RequestPhase::Held(held),
            last_chunk_written: false,
            pipe: None,
            job: None,
            attempt: 0,
            upstream: None,
            response: None,
            interim_responses: 0,
            response_deadline: f64::INFINITY,
            closes_client,
            is_complete: false,
        }
    }

    /// Serializes the request as far as it has been received: its head and the prefix of its body. Returns
    /// `None` if payload that was already read is no longer buffered.
    pub fn available_request_bytes(&mut self) -> Option<Vec<u8>> {
        let prefix = self.prefix.as_ref()?;
        let mut out = head::write_request(&self.head, self.head.framing);
        if self.head.framing == Framing::Chunked {
            if !prefix.is_empty() {
                out.extend(chunk_head(prefix.len()));
                out.extend(prefix);
                out.extend(b"\r\n");
            }
            if self.decoder.is_done() {
                out.extend(last_chunk(self.decoder.trailers()));
            }
            self.last_chunk_written = self.decoder.is_done();
        } else {
            out.extend(prefix);
        }
        Some(out)
    }
}
