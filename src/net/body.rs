//! Bodies of HTTP/1.1 messages, read and written piece by piece as they come (RFC 9112, sections 6 and 7).
//!
//! Owns the position in a body, and nothing else: no buffer, no socket, no time. The caller hands in the bytes that it has,
//! and gets how many of them are framing, to be dropped, and how many are payload, to be passed on.

use std::io::Write;

use thiserror::Error;

/// Longest line of a chunk: its size and its extensions, in bytes. Extensions are dropped; longer ones are an attack.
pub const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Bytes of chunk extensions that any body may have. Guards against a body that is all extensions.
pub const MAX_EXTENSION_BYTES: usize = 16 * 1024;
/// Bytes of payload that allow for one more byte of extensions, for long bodies whose chunks each have a short one.
const PAYLOAD_BYTES_PER_EXTENSION_BYTE: u64 = 16;
/// Longest trailer section, in bytes.
pub const MAX_TRAILER_BYTES: usize = 8 * 1024;
/// Most trailers in one section.
const MAX_TRAILERS: usize = 32;
/// Trailers that would change how a message is read, where it goes or who sent it: never passed on (RFC 9110, 6.5.1).
const FORBIDDEN_TRAILERS: [&str; 10] = [
    "transfer-encoding",
    "content-length",
    "content-encoding",
    "content-type",
    "host",
    "connection",
    "trailer",
    "te",
    "authorization",
    "expect",
];

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// A body of so many bytes.
    Length(u64),
    /// Chunks, the last of them empty, and trailers.
    Chunked,
    /// All bytes until the peer ends its side; answers only.
    UntilClose,
}

/// What is wrong with a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// A chunk's size is no hexadecimal number, or too large for one.
    #[error("a chunk's size does not read")]
    ChunkSize,
    /// A chunk's line is longer than `MAX_CHUNK_LINE_BYTES`, or all extensions longer than `MAX_EXTENSION_BYTES`.
    #[error("a chunk's extensions are too long")]
    Extension,
    /// A chunk does not end where its size says.
    #[error("a chunk does not end where its size says")]
    ChunkEnd,
    /// The trailers do not read, or are longer than `MAX_TRAILER_BYTES`.
    #[error("the trailers do not read")]
    Trailers,
    /// It is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// So many bytes are left of a body with a length.
    Length(u64),
    /// At the start of a chunk's line.
    Line,
    /// So many bytes are left of a chunk.
    Chunk(u64),
    /// At the line end behind a chunk.
    ChunkEnd,
    /// Behind the last chunk.
    Trailers,
    UntilClose,
    Done,
}

/// What is to be done with the bytes at hand: first drop `skip`, then pass on up to `payload` and call `consume_payload`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Bytes of framing.
    pub skip: usize,
    /// Bytes of payload behind them.
    pub payload: usize,
}

/// The position in a body that is being read.
#[derive(Clone, Debug)]
pub struct Decoder {
    state: State,
    max_bytes: u64,
    payload_bytes: u64,
    extensions: usize,
    trailers: Vec<u8>,
}

impl Decoder {
    /// At the start of a body of `max_bytes` bytes at most; a longer stated length is rejected at once.
    ///
    /// # Errors
    /// Where the stated length is above `max_bytes`.
    pub fn new(framing: Framing, max_bytes: u64) -> Result<Decoder, BodyError> {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) if length > max_bytes => return Err(BodyError::TooLong),
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Line,
            Framing::UntilClose => State::UntilClose,
        };
        Ok(Decoder { state, max_bytes, payload_bytes: 0, extensions: 0, trailers: Vec::new() })
    }

    /// Whether all of it has been read.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Bytes of payload that are left of a body with a length, which has no framing between them.
    pub fn remaining(&self) -> Option<u64> {
        match self.state {
            State::Length(left) => Some(left),
            _ => None,
        }
    }

    /// Bytes of payload consumed so far.
    pub fn payload_bytes(&self) -> u64 {
        self.payload_bytes
    }

    /// The trailers that came behind a chunked body and may be passed on, each with its line end.
    pub fn trailers(&self) -> &[u8] {
        &self.trailers
    }

    /// Looks at the bytes at hand, which start where the last call and `consume_payload` left off. Moves past framing; payload
    /// is only counted off by `consume_payload`. A step of nothing asks for more bytes, unless the body `is_done`.
    ///
    /// # Errors
    /// Where the bytes are not a body of this framing, or a bound on lines, trailers or payload is exceeded.
    pub fn step(&mut self, bytes: &[u8]) -> Result<Step, BodyError> {
        let mut skip = 0;
        loop {
            let rest = &bytes[skip..];
            match self.state {
                State::Done => return Ok(Step { skip, payload: 0 }),
                State::UntilClose => return self.payload(skip, rest.len() as u64, rest.len()),
                State::Length(left) | State::Chunk(left) => {
                    return self.payload(skip, left, rest.len());
                }
                State::ChunkEnd => match rest {
                    [] | [b'\r'] => return Ok(Step { skip, payload: 0 }),
                    [b'\r', b'\n', ..] => {
                        skip += 2;
                        self.state = State::Line;
                    }
                    _ => return Err(BodyError::ChunkEnd),
                },
                State::Line => {
                    let Some(length) = self.step_chunk_line(rest)? else {
                        return Ok(Step { skip, payload: 0 });
                    };
                    skip += length;
                }
                State::Trailers => {
                    let Some(length) = trailer_section(rest)? else {
                        return Ok(Step { skip, payload: 0 });
                    };
                    self.trailers = trailers(&rest[..length])?;
                    skip += length;
                    self.state = State::Done;
                }
            }
        }
    }

    /// Moves past a chunk's line. Returns its length with its line end; none where its end has not come.
    fn step_chunk_line(&mut self, rest: &[u8]) -> Result<Option<usize>, BodyError> {
        let Some(end) = line_end(rest, MAX_CHUNK_LINE_BYTES, BodyError::Extension)? else {
            // What has come of the line must be able to become a size.
            chunk_size(rest, false)?;
            return Ok(None);
        };
        let line = &rest[..end];
        let size = chunk_size(line, true)?;
        self.extensions += if line.contains(&b';') { line.len() } else { 0 };
        let allowed = MAX_EXTENSION_BYTES as u64 + self.payload_bytes / PAYLOAD_BYTES_PER_EXTENSION_BYTE;
        if self.extensions as u64 > allowed {
            return Err(BodyError::Extension);
        }
        self.state = match size {
            0 => State::Trailers,
            _ if size > self.max_bytes.saturating_sub(self.payload_bytes) => return Err(BodyError::TooLong),
            _ => State::Chunk(size),
        };
        Ok(Some(end + 2))
    }

    fn payload(&self, skip: usize, left: u64, at_hand: usize) -> Result<Step, BodyError> {
        if self.state == State::UntilClose && left > self.max_bytes.saturating_sub(self.payload_bytes) {
            return Err(BodyError::TooLong);
        }
        let payload = usize::try_from(left).unwrap_or(usize::MAX).min(at_hand);
        Ok(Step { skip, payload })
    }

    /// Moves past `count` bytes of payload, as many as the last step gave at most.
    pub fn consume_payload(&mut self, count: usize) {
        self.payload_bytes += count as u64;
        let count = count as u64;
        self.state = match self.state {
            State::Length(left) if left <= count => State::Done,
            State::Length(left) => State::Length(left - count),
            State::Chunk(left) if left <= count => State::ChunkEnd,
            State::Chunk(left) => State::Chunk(left - count),
            other => other,
        };
    }

    /// The peer has ended its side, and all bytes were stepped over. False where the body is cut short by that.
    pub fn on_peer_ended(&mut self) -> bool {
        if self.state == State::UntilClose {
            self.state = State::Done;
        }
        self.is_done()
    }
}

/// Where a line ends, without its CR LF; none where its end has not come. A line feed alone ends nothing: two readers
/// that disagree on that see different messages.
fn line_end(bytes: &[u8], max_bytes: usize, too_long: BodyError) -> Result<Option<usize>, BodyError> {
    match bytes.iter().position(|&b| b == b'\n') {
        Some(at) if at > max_bytes => Err(too_long),
        Some(at) if at > 0 && bytes[at - 1] == b'\r' => Ok(Some(at - 1)),
        Some(_) => Err(if too_long == BodyError::Extension { BodyError::ChunkSize } else { too_long }),
        None if bytes.len() > max_bytes => Err(too_long),
        None => Ok(None),
    }
}

/// The size at the start of a chunk's line, of 15 digits at the most.
fn chunk_size(line: &[u8], is_complete: bool) -> Result<u64, BodyError> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let rest = &line[digits..];
    let blank = rest.iter().take_while(|b| matches!(b, b' ' | b'\t')).count();
    // A CR whose LF has not come, or control characters in an extension.
    let behind = match rest.get(blank) {
        None => blank == 0 || !is_complete,
        Some(b';') => {
            rest[blank..].iter().all(|&b| b == b'\t' || b >= b' ' && b != 0x7f || !is_complete && b == b'\r')
        }
        Some(b'\r') => !is_complete && rest.len() == blank + 1 && blank == 0,
        Some(_) => false,
    };
    if digits > 15 || !behind || digits == 0 && (is_complete || !line.is_empty()) {
        return Err(BodyError::ChunkSize);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| BodyError::ChunkSize)?;
    if text.is_empty() { Ok(0) } else { u64::from_str_radix(text, 16).map_err(|_| BodyError::ChunkSize) }
}

/// The length of a trailer section with the empty line that ends it; none where that line has not come.
fn trailer_section(bytes: &[u8]) -> Result<Option<usize>, BodyError> {
    let mut at = 0;
    loop {
        let Some(end) = line_end(&bytes[at..], MAX_TRAILER_BYTES, BodyError::Trailers)? else {
            if bytes.len() > MAX_TRAILER_BYTES {
                return Err(BodyError::Trailers);
            }
            return Ok(None);
        };
        at += end + 2;
        if end == 0 {
            break;
        }
    }
    if at > MAX_TRAILER_BYTES {
        return Err(BodyError::Trailers);
    }
    Ok(Some(at))
}

/// The trailers of a section that may be passed on.
fn trailers(section: &[u8]) -> Result<Vec<u8>, BodyError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_TRAILERS];
    let Ok(httparse::Status::Complete((_, lines))) = httparse::parse_headers(section, &mut lines) else {
        return Err(BodyError::Trailers);
    };
    let mut out = Vec::new();
    for line in
        lines.iter().filter(|l| !FORBIDDEN_TRAILERS.iter().any(|name| name.eq_ignore_ascii_case(l.name)))
    {
        out.extend_from_slice(line.name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(line.value);
        out.extend_from_slice(b"\r\n");
    }
    Ok(out)
}

/// What goes before `payload` bytes of a chunk, and behind them.
pub fn chunk_head(payload: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(18);
    // Writing to a vector cannot fail.
    let _ = write!(out, "{payload:x}\r\n");
    out
}

/// The end of a chunked body.
pub fn last_chunk(trailers: &[u8]) -> Vec<u8> {
    [b"0\r\n", trailers, b"\r\n"].concat()
}

#[cfg(test)]
mod tests;
