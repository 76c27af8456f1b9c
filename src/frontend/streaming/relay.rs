//! Exchanges: a request and its answer, from the head until both bodies have passed, and their turns.

use super::StreamingFrontend;
use super::config::StreamClass;
use crate::core::{FinalAnswer, JobRequest};
use crate::flow::{Direction, Hold, Moved, Side, StreamId, Turn};
use crate::frontend::Sockets;
use crate::net::body::{BodyError, Decoder, Framing, chunk_head, last_chunk};
use crate::net::head::{self, AnswerHead, RequestHead};
use crate::net::http;
use crate::net::{Conn, ConnId, PIPE_CAPACITY_BYTES, Pipe, Pipes};
use crate::routing::{EndpointId, JobId, LoadReport, Outcome};

/// Interim answers that are passed on for one request.
const MAX_INTERIM_ANSWERS: u8 = 16;
/// Room that a chunk takes beside its payload: a size of 16 digits and two line ends.
const CHUNK_OVERHEAD_BYTES: usize = 20;

/// Bytes left of a body for which a pipe is worth its two calls and descriptors.
const MIN_PIPED_BODY_BYTES: u64 = 256 * 1024;

/// Where the request's body is.
#[derive(Clone, Copy, Debug)]
pub(super) enum Up {
    /// Its prefix is held until it is dispatched.
    Held(Hold),
    /// It is the module's turn, or it goes no further: nothing is read.
    Rests,
    /// It passes to a backend server.
    Passes,
    /// All of it is with the server.
    Done,
}

/// How far a request's body has got after a turn.
#[derive(Clone, Copy, Debug)]
enum RequestProgress {
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
    fn of(client: &Conn, server: &Conn, unwritten: Option<usize>, blocked: bool) -> RequestProgress {
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
pub(super) struct Down {
    decoder: Decoder,
    framing: Framing,
    /// The last chunk was written.
    ended: bool,
    /// Through which a long body goes, where it may.
    pipe: Option<Pipe>,
    status: u16,
    /// The server ends the connection after it.
    close: bool,
}

/// One of them.
pub(super) struct Exchange {
    pub client: ConnId,
    class: usize,
    of: StreamClass,
    tenant: String,
    head: RequestHead,
    /// Reads the request's body.
    pub decoder: Decoder,
    /// What was read of it so far, while that is all there was: it can be sent (again).
    pub prefix: Option<Vec<u8>>,
    pub up: Up,
    /// The last chunk of the request was written.
    up_ended: bool,
    /// Through which a long body goes, where it may.
    pipe: Option<Pipe>,
    pub session: Option<JobId>,
    pub attempt: usize,
    pub server: Option<(ConnId, EndpointId)>,
    pub down: Option<Down>,
    interim: u8,
    /// The answer is to begin by then.
    pub answer_by: f64,
    /// The client's connection ends with it.
    close: bool,
    /// The answer went out whole.
    complete: bool,
}

impl Exchange {
    #[expect(clippy::too_many_arguments, reason = "all that a request's head tells")]
    pub fn new(
        client: ConnId,
        class: usize,
        of: StreamClass,
        tenant: String,
        head: RequestHead,
        decoder: Decoder,
        hold: Hold,
        close: bool,
    ) -> Exchange {
        Exchange {
            client,
            class,
            of,
            tenant,
            head,
            decoder,
            prefix: Some(Vec::new()),
            up: Up::Held(hold),
            up_ended: false,
            pipe: None,
            session: None,
            attempt: 0,
            server: None,
            down: None,
            interim: 0,
            answer_by: f64::INFINITY,
            close,
            complete: false,
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
            self.up_ended = self.decoder.is_done();
        } else {
            out.extend(prefix);
        }
        Some(out)
    }
}

/// Adds bytes that pass to the prefix that can be sent again. What is more than `limit` bytes cannot: the prefix is dropped.
fn extend_prefix(prefix: &mut Option<Vec<u8>>, bytes: &[u8], limit: usize) {
    *prefix = prefix.take().filter(|held| held.len() + bytes.len() <= limit).map(|mut held| {
        held.extend_from_slice(bytes);
        held
    });
}

/// Passes payload from one connection on to another, framed anew. True where the sink takes no more for now. `keep`
/// is shown what passes.
fn pour(
    source: &mut Conn,
    sink: &mut Conn,
    decoder: &mut Decoder,
    (chunked, ended): (bool, &mut bool),
    mut keep: impl FnMut(&[u8]),
) -> Result<bool, BodyError> {
    sink.write_queued();
    loop {
        let mut step = decoder.step(source.rx.front())?;
        if step.skip + step.payload == 0 && !decoder.is_done() && source.rx.front().len() < source.rx.len() {
            // Framing that wraps in the buffer.
            step = decoder.step(source.rx.bytes())?;
        }
        source.rx.consume(step.skip);
        if decoder.is_done() {
            if chunked && !*ended {
                *ended = sink.tx.push(&last_chunk(decoder.trailers()));
                sink.write_queued();
            }
            return Ok(chunked && !*ended || !sink.tx.is_empty());
        }
        let at_hand = step.payload.min(source.rx.front().len());
        if at_hand == 0 {
            if step.skip == 0 {
                return Ok(!sink.tx.is_empty());
            }
            continue;
        }
        let payload = &source.rx.front()[..at_hand];
        let taken = if chunked {
            let taken = at_hand.min(sink.tx.room().saturating_sub(CHUNK_OVERHEAD_BYTES));
            if taken > 0 {
                let fits = sink.tx.push(&chunk_head(taken)) && sink.tx.push(&payload[..taken]);
                debug_assert!(fits && sink.tx.room() >= 2, "the room was reckoned");
                sink.tx.push(b"\r\n");
                sink.write_queued();
            }
            taken
        } else if sink.tx.is_empty() {
            sink.write_some(payload)
        } else {
            0
        };
        keep(&payload[..taken]);
        decoder.took(taken);
        source.rx.consume(taken);
        // A chunk that was queued and not written stops its source as well.
        if taken < at_hand || chunked && !sink.tx.is_empty() {
            return Ok(true);
        }
    }
}

/// What came of a channel's turn at its two connections.
#[derive(Clone, Copy, Debug, Default)]
struct Passed {
    read: usize,
    more: bool,
    blocked: bool,
    full: bool,
}

/// Takes payload of a body with a length through a pipe.
fn pipe_through(
    source: &mut Conn,
    sink: &mut Conn,
    decoder: &mut Decoder,
    pipe: &mut Pipe,
    most: usize,
) -> Passed {
    let mut passed = Passed { more: true, ..Passed::default() };
    loop {
        sink.splice_out(pipe);
        if pipe.held() > 0 {
            (passed.blocked, passed.full) = (true, true);
            return passed;
        }
        let left = usize::try_from(decoder.left().unwrap_or(0)).unwrap_or(usize::MAX);
        let wanted = left.min(most - passed.read).min(PIPE_CAPACITY_BYTES);
        if wanted == 0 {
            return passed;
        }
        let (count, more) = source.splice_in(pipe, wanted);
        decoder.took(count);
        passed.read += count;
        passed.more = more;
        if count == 0 {
            return passed;
        }
    }
}

/// A channel's turn: through a pipe where the rest of the body is long, has a length and is in no buffer, else through
/// the source's ring.
fn pass(
    source: &mut Conn,
    sink: &mut Conn,
    decoder: &mut Decoder,
    pipe: &mut Option<Pipe>,
    (pipes, framing): (&Pipes, (bool, &mut bool)),
    most: usize,
    keep: impl FnMut(&[u8]),
) -> Result<Passed, BodyError> {
    let long =
        pipe.is_some() || decoder.left().is_some_and(|left| left >= MIN_PIPED_BODY_BYTES) && !framing.0;
    if long && source.rx.is_empty() {
        sink.write_queued();
        if sink.tx.is_empty() {
            if pipe.is_none() {
                *pipe = pipes.open();
            }
            if let Some(pipe) = pipe {
                return Ok(pipe_through(source, sink, decoder, pipe, most));
            }
        }
    }
    let before = source.rx.len();
    // What is in the ring goes first, so that the rest can go through a pipe.
    let reads = most > 0 && !(long && before > 0);
    let more = !reads || source.read_some(most);
    let read = source.rx.len() - before;
    let blocked = pour(source, sink, decoder, framing, keep)?;
    Ok(Passed { read, more, blocked, full: source.rx.room() == 0 })
}

/// The status that tells a client what is wrong with its body.
fn status_of(error: BodyError) -> (u16, &'static str) {
    match error {
        BodyError::TooLong => (413, "the body is longer than its class allows\n"),
        _ => (400, "the body does not read\n"),
    }
}

impl StreamingFrontend {
    /// Hands a request to the module.
    pub(super) fn route(&mut self, net: &mut Sockets, stream: StreamId) {
        let now = self.now();
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        exchange.up = Up::Rests;
        self.flow.pause(stream, Direction::Up, now);
        let request = JobRequest {
            class: exchange.class,
            deadline_ms: now + exchange.of.longest,
            slots: 1.0,
            work_ms: None,
            partition: 0,
        };
        match self.core.submit(request) {
            Ok(session) => {
                exchange.session = Some(session);
                self.sessions.insert(session, stream);
            }
            Err(FinalAnswer::Rejected { retry_after_ms: retry_after }) => {
                self.refuse(net, stream, 503, retry_after);
            }
            Err(_) => self.refuse(net, stream, 502, 0.0),
        }
    }

    /// A channel's turn; the bytes that it moved.
    pub(super) fn take_turn(&mut self, net: &mut Sockets, turn: Turn) -> usize {
        match turn.direction {
            Direction::Up => self.turn_up(net, turn),
            Direction::Down => self.turn_down(net, turn),
        }
    }

    fn turn_up(&mut self, net: &mut Sockets, turn: Turn) -> usize {
        let (now, stream) = (self.now(), turn.stream);
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return 0 };
        match (exchange.up, exchange.server) {
            (Up::Held(_), _) => return self.turn_held(net, turn),
            (Up::Passes, Some(_)) => {}
            _ => {
                self.flow.on_moved(turn, Moved::default(), now);
                return 0;
            }
        }
        let Some((server, _)) = exchange.server else { return 0 };
        let Some([client, server]) = net.pair(exchange.client, server) else { return 0 };
        if !server.come_up() {
            let held = client.rx.len() + server.tx.len();
            let moved = Moved { more: true, held, blocked: true, full: true, ..Moved::default() };
            self.flow.on_moved(turn, moved, now);
            return 0;
        }
        let sent = server.sent;
        let framing = (exchange.head.framing == Framing::Chunked, &mut exchange.up_ended);
        let (prefix, hold) = (&mut exchange.prefix, exchange.of.hold);
        // A prefix that is still whole is kept as it passes, which a pipe would hide.
        let pipes = if prefix.is_some() { &Pipes::new(0) } else { &self.pipes };
        let passed = pass(
            client,
            server,
            &mut exchange.decoder,
            &mut exchange.pipe,
            (pipes, framing),
            turn.read,
            |bytes| extend_prefix(prefix, bytes, hold),
        );
        let Passed { read, more, blocked, full } = match passed {
            Ok(passed) => passed,
            Err(error) => {
                let (status, _) = status_of(error);
                self.refuse(net, stream, status, 0.0);
                return 0;
            }
        };
        let done = exchange.decoder.is_done();
        let taken = (server.sent - sent) as usize;
        let piped = exchange.pipe.as_ref().map_or(0, Pipe::held);
        let held = server.tx.len() + piped + if done { 0 } else { client.rx.len() };
        let progress = RequestProgress::of(client, server, done.then_some(held), blocked);
        self.counters.up += taken as u64;
        self.flow.on_moved(turn, Moved { read, more, taken, held, blocked, full }, now);
        self.on_request_progress(net, stream, progress, now);
        read + taken
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
            RequestProgress::ClientGone => self.client_gone(net, stream),
            RequestProgress::NotTaken => {
                let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
                exchange.up = Up::Rests;
                exchange.close = true;
                self.flow.pause(stream, Direction::Up, now);
                // The server may have answered why before it stopped to read.
                self.read_answer(net, stream);
            }
            RequestProgress::Ended { is_written } => {
                self.flow.on_source_ended(stream, Direction::Up, now);
                if is_written {
                    self.request_relayed(stream, now);
                }
            }
            // Half a body is no body: the server sees its connection break off, the client an error.
            RequestProgress::CutShort => self.refuse(net, stream, 400, 0.0),
        }
    }

    /// All of the request is with its server: the time until its answer begins counts from now.
    fn request_relayed(&mut self, stream: StreamId, now: f64) {
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        exchange.up = Up::Done;
        let answer_has_begun = exchange.down.is_some();
        exchange.answer_by = if answer_has_begun { f64::INFINITY } else { now + exchange.of.answer };
        let (session, attempt) = (exchange.session, exchange.attempt);
        self.flow.pause(stream, Direction::Up, now);
        if let Some(session) = session {
            self.core.on_body_relayed(session, attempt);
        }
    }

    /// A turn of a request that is held: what came goes to its prefix.
    fn turn_held(&mut self, net: &mut Sockets, turn: Turn) -> usize {
        let (now, stream) = (self.now(), turn.stream);
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return 0 };
        let Some(conn) = net.conn(exchange.client) else { return 0 };
        let prefix = exchange.prefix.get_or_insert_default();
        let before = conn.rx.len();
        let more = turn.read == 0 || conn.read_some(turn.read);
        let read = conn.rx.len() - before;
        let error = loop {
            let step = match exchange.decoder.step(conn.rx.bytes()) {
                Ok(step) => step,
                Err(error) => break Some(error),
            };
            conn.rx.consume(step.skip);
            let some = step.payload.min(exchange.of.hold - prefix.len().min(exchange.of.hold));
            prefix.extend_from_slice(&conn.rx.bytes()[..some]);
            exchange.decoder.took(some);
            conn.rx.consume(some);
            if some == 0 && step.skip == 0 || exchange.decoder.is_done() {
                break None;
            }
        };
        let done = exchange.decoder.is_done();
        let held = prefix.len() + if done { 0 } else { conn.rx.len() };
        let (broken, ended) = (conn.broken, conn.eof);
        self.flow.on_moved(turn, Moved { read, more, held, ..Moved::default() }, now);
        if let Some(error) = error {
            let (status, _) = status_of(error);
            self.refuse(net, stream, status, 0.0);
        } else if broken {
            self.client_gone(net, stream);
        } else if ended && !done {
            self.refuse(net, stream, 400, 0.0);
        } else {
            self.consider(net, stream, now);
        }
        read
    }

    /// The answer's head has come.
    pub(super) fn begin_answer(&mut self, net: &mut Sockets, stream: StreamId, answer: &AnswerHead) {
        let now = self.now();
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        let (Some(session), Some((server, _))) = (exchange.session, exchange.server) else { return };
        let declined = http::value(&answer.headers, "srv-declined") == Some("1");
        if declined && matches!(answer.status, 503 | 504) && exchange.prefix.is_some() {
            return self.attempt_over(net, stream, Outcome::Full);
        }
        let Ok(decoder) = Decoder::new(answer.framing, exchange.of.body) else {
            return self.attempt_over(net, stream, Outcome::Unfit);
        };
        let framing = match answer.framing {
            Framing::Chunked | Framing::UntilClose if exchange.head.old => Framing::UntilClose,
            Framing::UntilClose => Framing::Chunked,
            other => other,
        };
        // An answer before the body's end leaves the connections in the middle of a message.
        exchange.close |= framing == Framing::UntilClose || !exchange.decoder.is_done();
        let spoken_of = match answer.framing {
            Framing::Empty if exchange.head.method == "HEAD" => {
                http::value(&answer.headers, "content-length").and_then(|v| v.parse().ok())
            }
            _ => None,
        };
        // Guards against an answer to a dispatch that is over.
        if !self.core.on_response_started(session, exchange.attempt) {
            return;
        }
        exchange.answer_by = f64::INFINITY;
        let bytes = head::write_answer(answer, framing, spoken_of, exchange.close);
        let done = decoder.is_done();
        let (status, close) = (answer.status, answer.close || !matches!(exchange.up, Up::Done));
        exchange.down = Some(Down { decoder, framing, ended: false, pipe: None, status, close });
        let Some([client, server]) = net.pair(exchange.client, server) else { return };
        if !client.tx.push(&bytes) {
            return self.attempt_over(net, stream, Outcome::Error);
        }
        let window = exchange.of.allowance.window;
        server.rx.bound((window + http::MAX_HEAD_BYTES + 1).max(crate::net::MAX_BUFFERED_BYTES), window);
        let held = client.tx.len() + server.rx.len();
        self.flow.release(stream, Direction::Down, held, now);
        if done {
            self.flow.on_source_ended(stream, Direction::Down, now);
        }
    }

    fn turn_down(&mut self, net: &mut Sockets, turn: Turn) -> usize {
        let (now, stream) = (self.now(), turn.stream);
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return 0 };
        let (Some(down), Some((server, _))) = (&mut exchange.down, exchange.server) else {
            self.flow.on_moved(turn, Moved::default(), now);
            return 0;
        };
        let Some([client, server]) = net.pair(exchange.client, server) else { return 0 };
        let sent = client.sent;
        let chunked = down.framing == Framing::Chunked;
        let framing = (chunked, &mut down.ended);
        let passed = pass(
            server,
            client,
            &mut down.decoder,
            &mut down.pipe,
            (&self.pipes, framing),
            turn.read,
            |_| (),
        );
        let Ok(Passed { read, more, mut blocked, full }) = passed else {
            self.attempt_over(net, stream, Outcome::Error);
            return 0;
        };
        if server.eof && server.rx.is_empty() && !down.decoder.is_done() && down.decoder.end() {
            // All that came before the end was the body.
            let ended = pour(server, client, &mut down.decoder, (chunked, &mut down.ended), |_| ());
            blocked = ended.unwrap_or(false);
        }
        let done = down.decoder.is_done();
        let taken = (client.sent - sent) as usize;
        let piped = down.pipe.as_ref().map_or(0, Pipe::held);
        let held = client.tx.len() + piped + if done { 0 } else { server.rx.len() };
        let (gone, ended) = (client.mute || client.broken, server.eof || server.broken);
        self.counters.down += taken as u64;
        self.flow.on_moved(turn, Moved { read, more, taken, held, blocked, full }, now);
        if gone {
            self.client_gone(net, stream);
        } else if done {
            self.flow.on_source_ended(stream, Direction::Down, now);
            if held == 0 && (!chunked || self.exchanges[&stream].down.as_ref().is_some_and(|d| d.ended)) {
                self.completed(net, stream);
            }
        } else if ended && !blocked {
            // Guards against an answer that looks whole and is not.
            self.attempt_over(net, stream, Outcome::Reset);
        }
        read + taken
    }

    /// The answer is out, all of it.
    fn completed(&mut self, net: &mut Sockets, stream: StreamId) {
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        exchange.complete = true;
        let (session, attempt) = (exchange.session, exchange.attempt);
        let (status, close) = exchange.down.as_ref().map_or((0, true), |d| (d.status, d.close));
        let outcome = if status < 500 { Outcome::Served } else { Outcome::Error };
        let report = self.release(net, stream, !close);
        if let Some(session) = session {
            self.core.on_attempt_ended(session, attempt, outcome, report, Vec::new());
        }
    }

    /// A dispatch has ended otherwise than with a whole answer. What follows is the module's to say.
    pub(super) fn attempt_over(&mut self, net: &mut Sockets, stream: StreamId, outcome: Outcome) {
        let now = self.now();
        let report = self.release(net, stream, false);
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return };
        exchange.answer_by = f64::INFINITY;
        exchange.up = Up::Rests;
        exchange.pipe = None;
        let (session, attempt) = (exchange.session, exchange.attempt);
        self.flow.pause(stream, Direction::Up, now);
        self.flow.pause(stream, Direction::Down, now);
        if let Some(session) = session {
            self.core.on_attempt_ended(session, attempt, outcome, report, Vec::new());
        }
    }

    /// Takes the backend server's connection off an exchange, and gives its slot back: to be used again, or closed.
    pub(super) fn release(&mut self, net: &mut Sockets, stream: StreamId, keep: bool) -> LoadReport {
        let server = self.exchanges.get_mut(&stream).and_then(|e| e.server.take());
        let Some((conn, worker)) = server else { return LoadReport::default() };
        self.slots.give_back(worker);
        self.free_server(net, conn, keep);
        self.slots.report(worker)
    }

    /// Takes an exchange out, with all that it holds but its client's connection and its session.
    fn remove(&mut self, net: &mut Sockets, stream: StreamId) -> Option<Exchange> {
        self.release(net, stream, false);
        let exchange = self.exchanges.remove(&stream)?;
        self.flow.close(stream);
        self.admission.leave(&exchange.tenant);
        if let Some(session) = exchange.session {
            self.sessions.remove(&session);
            // Where it is not over already.
            self.core.on_client_left(session);
        }
        Some(exchange)
    }

    /// An answer that was relayed whole is over.
    pub(super) fn finish(&mut self, net: &mut Sockets, stream: StreamId) {
        let Some(exchange) = self.remove(net, stream) else { return };
        self.counters.whole += 1;
        if exchange.close {
            self.end_client(net, exchange.client);
        } else {
            self.free_client(net, exchange.client);
        }
    }

    /// The front's own final answer: a status, or where the answer has begun, a cut that the client sees.
    pub(super) fn refuse(&mut self, net: &mut Sockets, stream: StreamId, status: u16, retry_after: f64) {
        if self.exchanges.get(&stream).is_some_and(|e| e.complete) {
            return self.finish(net, stream);
        }
        let Some(exchange) = self.remove(net, stream) else { return };
        let Some(down) = exchange.down else {
            let why = match status {
                400 => "the body does not read\n",
                408 => "too slow\n",
                413 => "the body is longer than its class allows\n",
                503 => "denied\n",
                _ => "failed\n",
            };
            let close = exchange.close || !exchange.decoder.is_done();
            return self.reply(net, exchange.client, status, retry_after, why, close);
        };
        self.counters.cut += 1;
        if down.framing == Framing::UntilClose
            && let Some(conn) = net.conn(exchange.client)
        {
            conn.break_off();
        }
        self.cut_client(net, exchange.client);
    }

    /// The client is gone: nothing is owed any more.
    pub(super) fn client_gone(&mut self, net: &mut Sockets, stream: StreamId) {
        if let Some(exchange) = self.remove(net, stream) {
            self.cut_client(net, exchange.client);
        }
    }

    /// Gives up who is too slow or too silent, and servers that do not begin to answer.
    pub(super) fn expire_streams(&mut self, net: &mut Sockets, now: f64) {
        for given in self.flow.expire(now) {
            self.counters.give_up(&given);
            let client = (given.direction == Direction::Up) == (given.side == Side::Source);
            if client {
                self.refuse(net, given.stream, 408, 0.0);
            } else {
                self.attempt_over(net, given.stream, Outcome::TimedOut);
            }
        }
        let late = self.exchanges.iter().filter(|(_, e)| e.answer_by <= now).map(|(&stream, _)| stream);
        let mut late: Vec<StreamId> = late.collect();
        late.sort_unstable();
        for stream in late {
            self.counters.silent_servers += 1;
            self.attempt_over(net, stream, Outcome::TimedOut);
        }
    }

    /// Ends all streams: the span of a stop is over.
    pub(super) fn cut_all(&mut self, net: &mut Sockets) {
        let mut streams: Vec<StreamId> = self.exchanges.keys().copied().collect();
        streams.sort_unstable();
        for stream in streams {
            let taken = self.exchanges.get(&stream).is_some_and(|e| e.session.is_some());
            self.refuse(net, stream, if taken { 502 } else { 503 }, 0.0);
        }
    }

    /// Passes an interim answer on. False where there are too many, or its client takes none.
    pub(super) fn interim(&mut self, net: &mut Sockets, stream: StreamId, answer: &AnswerHead) -> bool {
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return false };
        exchange.interim += 1;
        if answer.status == 101 || exchange.interim > MAX_INTERIM_ANSWERS {
            return false;
        }
        if exchange.head.old {
            return true;
        }
        net.write(exchange.client, &head::write_answer(answer, Framing::Empty, None, false))
    }

    /// Whether an exchange is a HEAD's.
    pub(super) fn is_to_head(&self, stream: StreamId) -> bool {
        self.exchanges.get(&stream).is_some_and(|e| e.head.method == "HEAD")
    }
}
