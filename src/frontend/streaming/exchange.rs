//! What is remembered of an exchange: a request and its answer, from the request's head until both bodies have passed.

use super::config::StreamClass;
use crate::flow::Hold;
use crate::net::body::{Decoder, Framing, chunk_head, last_chunk};
use crate::net::head::{self, RequestHead};
use crate::net::{Conn, ConnId, Pipe};
use crate::routing::{EndpointId, JobId};

/// Where the request's body is.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestPhase {
    /// Its prefix is held until it is dispatched.
    Held(Hold),
    /// It is the module's turn, or it goes no further: nothing is read.
    Paused,
    /// It passes to a backend server.
    Relaying,
    /// All of it is with the server.
    Done,
}

/// How far a request's body has got after a turn.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestProgress {
    /// More of it is to come, or to be written.
    Underway,
    /// The client's connection broke.
    ClientGone,
    /// The server reads no more of it.
    NotTaken,
    /// All of it was read; `is_written` once the server's socket has taken all.
    Ended { is_written: bool },
    /// The client ended its side before the body's end.
    CutShort,
}

impl RequestProgress {
    /// `unwritten` are the bytes still to be written of a body whose end was read; `blocked` tells that the server's socket
    /// takes no more for now.
    pub fn of(client: &Conn, server: &Conn, unwritten: Option<usize>, blocked: bool) -> RequestProgress {
        if client.broken {
            RequestProgress::ClientGone
        } else if server.mute {
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

/// The answer, once its head was passed on.
pub(super) struct AnswerState {
    pub decoder: Decoder,
    pub framing: Framing,
    /// The last chunk was written.
    pub last_chunk_written: bool,
    /// Through which a long body goes, where it may.
    pub pipe: Option<Pipe>,
    pub status: u16,
    /// The server ends the connection after it.
    pub closes_upstream: bool,
}

/// One of them.
pub(super) struct Exchange {
    pub client: ConnId,
    pub class: usize,
    pub class_rules: StreamClass,
    pub tenant: String,
    pub head: RequestHead,
    /// Reads the request's body.
    pub decoder: Decoder,
    /// What was read of it so far, while that is all there was: it can be sent (again).
    pub prefix: Option<Vec<u8>>,
    pub request: RequestPhase,
    /// The last chunk of the request was written.
    pub last_chunk_written: bool,
    /// Through which a long body goes, where it may.
    pub pipe: Option<Pipe>,
    pub job: Option<JobId>,
    pub attempt: usize,
    pub upstream: Option<(ConnId, EndpointId)>,
    pub answer: Option<AnswerState>,
    pub interim_answers: u8,
    /// The answer is to begin by then.
    pub answer_deadline: f64,
    /// The client's connection ends with it.
    pub closes_client: bool,
    /// The answer went out whole.
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
        hold: Hold,
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

    /// The request as far as it can be sent now: its head and what was read of its body. None where some of that is
    /// not there any more.
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
