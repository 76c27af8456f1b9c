//! Incremental decoder and encoder for the bodies of HTTP/1.1 messages (RFC 9112, sections 6 and 7).
//!
//! Sans-I/O: it owns the position in a body, but no buffer, socket or clock. The caller passes in the bytes
//! it has and learns how many of them are framing, to be dropped, and how many are payload, to be forwarded.

use std::io::Write;

use thiserror::Error;

/// Longest chunk header line (size and extensions), in bytes. Extensions are dropped; longer ones are treated
/// as an attack.
pub const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Bytes of chunk extensions that any body may have. Rejects bodies that consist almost only of extensions.
pub const MAX_EXTENSION_BYTES: usize = 16 * 1024;
/// Payload bytes that allow one more byte of extensions, for long bodies with a short extension in each
/// chunk.
const PAYLOAD_BYTES_PER_EXTENSION_BYTE: u64 = 16;
/// Longest trailer section, in bytes.
pub const MAX_TRAILER_BYTES: usize = 8 * 1024;
/// Maximum number of trailer fields in a section.
const MAX_TRAILERS: usize = 32;
/// Trailer fields that would change the framing, routing or authentication of a message. They are never
/// forwarded (RFC 9110, 6.5.1).
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
    /// A body of the given number of bytes.
    Length(u64),
    /// Chunks, the last of them empty, and a trailer section.
    Chunked,
    /// All bytes until the peer ends its side of the connection; responses only.
    UntilClose,
}

/// Why a body is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// A chunk header line is not a hexadecimal size of at most 15 digits followed by valid extensions or CR
    /// LF.
    #[error("chunk header is not a hexadecimal size followed by extensions or CR LF")]
    ChunkSize,
    /// A chunk header line exceeds `MAX_CHUNK_LINE_BYTES`, or all extensions together exceed the limit.
    #[error("chunk extensions exceed the size limit")]
    Extension,
    /// The data of a chunk is not followed by CR LF.
    #[error("chunk data is not followed by CR LF")]
    ChunkEnd,
    /// The trailer section is malformed, or exceeds `MAX_TRAILER_BYTES` or `MAX_TRAILERS`.
    #[error("trailer section is malformed or too long")]
    Trailers,
    /// The body exceeds the maximum that the caller allows.
    #[error("body exceeds the size limit")]
    TooLong,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This many bytes are left of a body with a length.
    Length(u64),
    /// At the start of a chunk header line.
    ChunkLine,
    /// This many bytes are left of a chunk.
    Chunk(u64),
    /// At the CR LF after the data of a chunk.
    ChunkEnd,
    /// After the last chunk.
    Trailers,
    UntilClose,
    Done,
}

/// Instruction for the available bytes: drop `skip` bytes, then forward up to `payload` bytes and call
/// `consume_payload` with the number forwarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Bytes of framing.
    pub skip: usize,
    /// Bytes of payload that follow the framing.
    pub payload: usize,
}

/// Decodes one body; holds the position in it.
#[derive(Clone, Debug)]
pub struct Decoder {
    state: State,
    max_bytes: u64,
    payload_bytes: u64,
    extension_bytes: usize,
    trailers: Vec<u8>,
}

impl Decoder {
    /// Creates a decoder at the start of a body of up to `max_bytes` bytes.
    ///
    /// # Errors
    /// Returns an error if the declared length exceeds `max_bytes`.
    pub fn new(framing: Framing, max_bytes: u64) -> Result<Decoder, BodyError> {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) if length > max_bytes => return Err(BodyError::TooLong),
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkLine,
            Framing::UntilClose => State::UntilClose,
        };
        Ok(Decoder { state, max_bytes, payload_bytes: 0, extension_bytes: 0, trailers: Vec::new() })
    }

    /// Whether the whole body has been read.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns the payload bytes left of a body with a length, which has no framing between them.
    pub fn remaining(&self) -> Option<u64> {
        match self.state {
            State::Length(left) => Some(left),
            _ => None,
        }
    }

    /// Returns the payload bytes consumed so far.
    pub fn payload_bytes(&self) -> u64 {
        self.payload_bytes
    }

    /// Returns the trailer fields of a chunked body that may be forwarded, each with its CR LF.
    pub fn trailers(&self) -> &[u8] {
        &self.trailers
    }

    /// Examines the available bytes, which must start where the last call and `consume_payload` left off.
    /// Advances past framing, but not past payload: `consume_payload` does that. An empty step means that
    /// more bytes are needed, unless the body `is_done`.
    ///
    /// # Errors
    /// Returns an error if the bytes are not valid for the body's framing, or exceed a limit on lines,
    /// trailers or payload.
    pub fn step(&mut self, bytes: &[u8]) -> Result<Step, BodyError> {
        let mut skip = 0;
        loop {
            let rest = &bytes[skip..];
            match self.state {
                State::Done => return Ok(Step { skip, payload: 0 }),
                State::UntilClose => return self.payload_step(skip, rest.len() as u64, rest.len()),
                State::Length(left) | State::Chunk(left) => {
                    return self.payload_step(skip, left, rest.len());
                }
                State::ChunkEnd => match rest {
                    [] | [b'\r'] => return Ok(Step { skip, payload: 0 }),
                    [b'\r', b'\n', ..] => {
                        skip += 2;
                        self.state = State::ChunkLine;
                    }
                    _ => return Err(BodyError::ChunkEnd),
                },
                State::ChunkLine => {
                    let Some(length) = self.step_chunk_line(rest)? else {
                        return Ok(Step { skip, payload: 0 });
                    };
                    skip += length;
                }
                State::Trailers => {
                    let Some(length) = trailer_section(rest)? else {
                        return Ok(Step { skip, payload: 0 });
                    };
                    self.trailers = forwardable_trailers(&rest[..length])?;
                    skip += length;
                    self.state = State::Done;
                }
            }
        }
    }

    /// Advances past a chunk header line. Returns its length including the CR LF, or `None` if the line is
    /// incomplete.
    fn step_chunk_line(&mut self, rest: &[u8]) -> Result<Option<usize>, BodyError> {
        let Some(end) = line_end(rest, MAX_CHUNK_LINE_BYTES, BodyError::Extension)? else {
            // Reject an incomplete line that cannot become a valid chunk header.
            chunk_size(rest, false)?;
            return Ok(None);
        };
        let line = &rest[..end];
        let size = chunk_size(line, true)?;
        self.extension_bytes += if line.contains(&b';') { line.len() } else { 0 };
        let allowed = MAX_EXTENSION_BYTES as u64 + self.payload_bytes / PAYLOAD_BYTES_PER_EXTENSION_BYTE;
        if self.extension_bytes as u64 > allowed {
            return Err(BodyError::Extension);
        }
        self.state = match size {
            0 => State::Trailers,
            _ if size > self.max_bytes.saturating_sub(self.payload_bytes) => return Err(BodyError::TooLong),
            _ => State::Chunk(size),
        };
        Ok(Some(end + 2))
    }

    fn payload_step(&self, skip: usize, left: u64, available: usize) -> Result<Step, BodyError> {
        if self.state == State::UntilClose && left > self.max_bytes.saturating_sub(self.payload_bytes) {
            return Err(BodyError::TooLong);
        }
        let payload = usize::try_from(left).unwrap_or(usize::MAX).min(available);
        Ok(Step { skip, payload })
    }

    /// Advances past `count` bytes of payload, at most as many as the last step returned.
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

    /// Handles the end of the peer's side, after all bytes were stepped over. Returns whether the body is
    /// complete; false means that it was truncated.
    pub fn on_eof(&mut self) -> bool {
        if self.state == State::UntilClose {
            self.state = State::Done;
        }
        self.is_done()
    }
}

/// Returns the length of the first line without its CR LF, or `None` if the line is incomplete. A bare line
/// feed is an error: parsers disagree on whether it ends a line, and would see different messages.
fn line_end(bytes: &[u8], max_bytes: usize, too_long: BodyError) -> Result<Option<usize>, BodyError> {
    match bytes.iter().position(|&b| b == b'\n') {
        Some(at) if at > max_bytes => Err(too_long),
        Some(at) if at > 0 && bytes[at - 1] == b'\r' => Ok(Some(at - 1)),
        Some(_) => Err(if too_long == BodyError::Extension { BodyError::ChunkSize } else { too_long }),
        None if bytes.len() > max_bytes => Err(too_long),
        None => Ok(None),
    }
}

/// Parses the size at the start of a chunk header line, at most 15 digits.
fn chunk_size(line: &[u8], is_complete: bool) -> Result<u64, BodyError> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let rest = &line[digits..];
    let blanks = rest.iter().take_while(|b| matches!(b, b' ' | b'\t')).count();
    // An incomplete line may end with a CR whose LF has not arrived yet. Control characters in an extension
    // are invalid.
    let is_rest_valid = match rest.get(blanks) {
        None => blanks == 0 || !is_complete,
        Some(b';') => {
            rest[blanks..].iter().all(|&b| b == b'\t' || b >= b' ' && b != 0x7f || !is_complete && b == b'\r')
        }
        Some(b'\r') => !is_complete && rest.len() == blanks + 1 && blanks == 0,
        Some(_) => false,
    };
    if digits > 15 || !is_rest_valid || digits == 0 && (is_complete || !line.is_empty()) {
        return Err(BodyError::ChunkSize);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| BodyError::ChunkSize)?;
    if text.is_empty() { Ok(0) } else { u64::from_str_radix(text, 16).map_err(|_| BodyError::ChunkSize) }
}

/// Returns the length of a trailer section including the empty line that ends it, or `None` if it is
/// incomplete.
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

/// Returns the trailer fields of a section that may be forwarded.
fn forwardable_trailers(section: &[u8]) -> Result<Vec<u8>, BodyError> {
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

/// Returns the chunk header line for `payload` bytes. The caller writes CR LF after the payload.
pub fn chunk_head(payload: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(18);
    // Writing to a vector cannot fail.
    let _ = write!(out, "{payload:x}\r\n");
    out
}

/// Returns the last chunk and the trailer section that end a chunked body.
pub fn last_chunk(trailers: &[u8]) -> Vec<u8> {
    [b"0\r\n", trailers, b"\r\n"].concat()
}

#[cfg(test)]
mod tests;
