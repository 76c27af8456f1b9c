//! An exchange: a request and its answer, from the request's head until both bodies have passed.
//!
//! ```text
//! Held --dispatched--> Paused --the core sends an attempt--> Relaying --all is with the endpoint--> Done
//!                        ^------the attempt ended or was cancelled------/
//! ```

use super::config::StreamClass;
use crate::flow::HeldRequest;
use crate::net::body::{Decoder, Framing, chunk_head, last_chunk};
use crate::net::head::{self, RequestHead};
use crate::net::{Conn, ConnId, Pipe};
use crate::routing::{EndpointId, JobId};

/// What the request's body is at.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestPhase {
    /// Its prefix is held until it is dispatched.
    Held(HeldRequest),
    /// The core is to send an attempt, or the body goes no further: nothing of it is read.
    Paused,
    /// It is relayed to an endpoint.
    Relaying,
    /// All of it is with the endpoint.
    Done,
}

/// How far a request's body has got after a turn.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestProgress {
    /// More of it is to come, or to be written.
    Underway,
    /// The client's connection broke.
    ClientGone,
    /// The endpoint reads no more of it.
    NotTaken,
    /// All of it was read; `is_written` once the endpoint's socket has taken all.
    Ended { is_written: bool },
    /// The client ended its side before the body's end.
    CutShort,
}

impl RequestProgress {
    /// The progress after a turn. `unwritten` are the bytes still to be written of a body whose end was read; `blocked` tells
    /// that the endpoint's socket takes no more for now.
    pub fn of(client: &Conn, upstream: &Conn, unwritten: Option<usize>, blocked: bool) -> RequestProgress {
        if client.broken {
            RequestProgress::ClientGone
        } else if upstream.write_failed {
            RequestProgress::NotTaken
        } else if let Some(unwritten) = unwritten {
            RequestProgress::Ended { is_written: unwritten == 0 }
        } else if client.eof && !blocked {
            RequestProgress::CutShort
        } else {
            RequestProgress::Underway
        }
    }
}

/// The answer, from when its head was passed on.
pub(super) struct AnswerState {
    pub decoder: Decoder,
    pub framing: Framing,
    /// The last chunk was written.
    pub last_chunk_written: bool,
    /// Through which a long body goes, where it may.
    pub pipe: Option<Pipe>,
    pub status: u16,
    /// The connection to the endpoint cannot be used again after it.
    pub closes_upstream: bool,
}

/// The connection of an attempt, and the endpoint at its other end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Upstream {
    pub conn: ConnId,
    pub endpoint: EndpointId,
}

/// An exchange.
pub(super) struct Exchange {
    pub client: ConnId,
    pub class: usize,
    pub class_rules: StreamClass,
    pub tenant: String,
    pub head: RequestHead,
    /// Reads the request's body.
    pub decoder: Decoder,
    /// What was read of the request's body so far, while all of that is here: then the request can be sent (again).
    pub prefix: Option<Vec<u8>>,
    pub request: RequestPhase,
    /// The last chunk of the request was written.
    pub last_chunk_written: bool,
    /// Through which a long body goes, where it may.
    pub pipe: Option<Pipe>,
    /// The job, once the core has taken it.
    pub job: Option<JobId>,
    /// The number of the last attempt at the job.
    pub attempt: usize,
    /// The connection that the attempt has, and its endpoint.
    pub upstream: Option<Upstream>,
    pub answer: Option<AnswerState>,
    pub interim_answers: u8,
    /// When the answer must have begun, in milliseconds of the clock.
    pub answer_deadline: f64,
    /// The client's connection ends with the exchange.
    pub closes_client: bool,
    /// All of the answer was written.
    pub is_complete: bool,
}

impl Exchange {
    #[expect(clippy::too_many_arguments, reason = "all that a request's head tells")]
    pub fn new(
        client: ConnId,
        class: usize,
        class_rules: StreamClass,
        tenant: String,
        head: RequestHead,
        decoder: Decoder,
        hold: HeldRequest,
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
            request: RequestPhase::Held(hold),
            last_chunk_written: false,
            pipe: None,
            job: None,
            attempt: 0,
            upstream: None,
            answer: None,
            interim_answers: 0,
            answer_deadline: f64::INFINITY,
            closes_client,
            is_complete: false,
        }
    }

    /// The request as far as it can be sent now: its head and what was read of its body. None where some of that is not
    /// here any more.
    pub fn opening(&mut self) -> Option<Vec<u8>> {
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
