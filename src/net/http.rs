//! Complete HTTP/1.1 messages on top of httparse: read out of a ring buffer, and written.

use thiserror::Error;

use super::Ring;
use super::body::{BodyError, Decoder, Framing};

/// Longest head that is read, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest body that is read, in bytes: a job of 64 KiB.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Most headers of a message.
pub(super) const MAX_HEADERS: usize = 64;

/// Headers by name and value.
pub type Headers = Vec<(String, String)>;

/// A header's value.
pub fn header_value<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// Why a message cannot be read; each has a status of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Status 400.
    #[error("the message is malformed")]
    Malformed,
    /// Status 413.
    #[error("the message is too large")]
    TooLarge,
    /// Status 501.
    #[error("this framing of a body is not offered")]
    Unsupported,
}

/// A complete message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// A request's method.
    pub method: String,
    /// A request's target.
    pub target: String,
    /// An answer's status.
    pub status: u16,
    /// Names and values of its headers.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection ends after it.
    pub close: bool,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        header_value(&self.headers, name)
    }
}

/// Takes a complete request off the buffer. None while more bytes are to come.
///
/// # Errors
/// Where the bytes cannot become a valid request.
pub fn read_request(ring: &mut Ring) -> Result<Option<Message>, MessageError> {
    let bytes = ring.bytes();
    let Some(parsed) = parse_request(bytes)? else { return Ok(None) };
    let ParsedRequest { length: head, method, target, headers, version } = parsed;
    let close = closes(&headers, version);
    let mut message = Message { method, target, headers, close, ..Message::default() };
    if chunked(&message)? {
        let Some((body, length)) = dechunk(&bytes[head..])? else { return Ok(None) };
        message.body = body;
        ring.consume(head + length);
        return Ok(Some(message));
    }
    let length = length(&message)?.unwrap_or(0);
    if bytes.len() < head + length {
        return Ok(None);
    }
    message.body = bytes[head..head + length].to_vec();
    ring.consume(head + length);
    Ok(Some(message))
}

/// Whether a request's body comes in chunks. Only `chunked` alone is offered; beside a length it could make two
/// readers see different messages in the same bytes.
fn chunked(message: &Message) -> Result<bool, MessageError> {
    let Some(coding) = message.header("transfer-encoding") else { return Ok(false) };
    if message.header("content-length").is_some() {
        return Err(MessageError::Malformed);
    }
    if !coding.trim().eq_ignore_ascii_case("chunked") {
        return Err(MessageError::Unsupported);
    }
    Ok(true)
}

/// The payload of a chunked body and the bytes that it took on the wire, once it is complete.
fn dechunk(mut bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, MessageError> {
    let mut decoder =
        Decoder::new(Framing::Chunked, MAX_BODY_BYTES as u64).map_err(|_| MessageError::TooLarge)?;
    let (mut body, mut taken) = (Vec::new(), 0);
    loop {
        let step = decoder.step(bytes).map_err(|e| match e {
            BodyError::TooLong => MessageError::TooLarge,
            _ => MessageError::Malformed,
        })?;
        let payload = &bytes[step.skip..step.skip + step.payload];
        body.extend_from_slice(payload);
        decoder.consume_payload(payload.len());
        (bytes, taken) = (&bytes[step.skip + step.payload..], taken + step.skip + step.payload);
        if decoder.is_done() {
            return Ok(Some((body, taken)));
        }
        if step.skip + step.payload == 0 {
            return Ok(None);
        }
    }
}

/// Takes a complete answer off the buffer. None while more bytes are to come; `ended` tells that none will.
///
/// # Errors
/// Where the bytes cannot become a valid answer, or it is cut short by the end.
pub fn read_response(ring: &mut Ring, ended: bool) -> Result<Option<Message>, MessageError> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let bytes = ring.bytes();
        let Some(head) = head(parsed.parse(bytes), bytes.len())? else { return Ok(None) };
        let status = parsed.code.unwrap_or(0);
        if (100..200).contains(&status) {
            ring.consume(head);
            continue;
        }
        let mut message = Message { status, headers: owned(parsed.headers)?, ..Message::default() };
        message.close = closes(&message.headers, parsed.version);
        let length = match length(&message)? {
            _ if status == 204 || status == 304 => 0,
            Some(length) => length,
            // Without a length the body is all that comes before the end.
            None if ended => bytes.len() - head,
            None => return Ok(None),
        };
        if bytes.len() < head + length {
            return Ok(None);
        }
        message.body = bytes[head..head + length].to_vec();
        ring.consume(head + length);
        return Ok(Some(message));
    }
}

/// A request's head as it was parsed.
pub(super) struct ParsedRequest {
    /// Bytes of the head.
    pub length: usize,
    pub method: String,
    pub target: String,
    pub headers: Headers,
    /// The minor version of HTTP/1.
    pub version: Option<u8>,
}

/// Parses the head of a request, if it is complete.
pub(super) fn parse_request(bytes: &[u8]) -> Result<Option<ParsedRequest>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let Some(length) = head(parsed.parse(bytes), bytes.len())? else { return Ok(None) };
    Ok(Some(ParsedRequest {
        length,
        method: parsed.method.unwrap_or("").to_string(),
        target: parsed.path.unwrap_or("").to_string(),
        headers: owned(parsed.headers)?,
        version: parsed.version,
    }))
}

/// The length of a head that was parsed out of `bytes` bytes, if it is complete.
pub(super) fn head(parsed: httparse::Result<usize>, bytes: usize) -> Result<Option<usize>, MessageError> {
    match parsed {
        Ok(httparse::Status::Complete(head)) if head <= MAX_HEAD_BYTES => Ok(Some(head)),
        Ok(httparse::Status::Partial) if bytes <= MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(MessageError::TooLarge),
        Err(_) => Err(MessageError::Malformed),
    }
}

/// Headers as text, without the blanks around their values.
pub(super) fn owned(headers: &[httparse::Header<'_>]) -> Result<Vec<(String, String)>, MessageError> {
    let one = |h: &httparse::Header<'_>| {
        let value = std::str::from_utf8(h.value).map_err(|_| MessageError::Malformed)?;
        Ok((h.name.to_string(), value.trim().to_string()))
    };
    headers.iter().map(one).collect()
}

/// Whether the connection ends after a message.
pub(super) fn closes(headers: &Headers, version: Option<u8>) -> bool {
    let connection = header_value(headers, "connection").unwrap_or("").to_ascii_lowercase();
    connection.contains("close") || version == Some(0) && !connection.contains("keep-alive")
}

/// The length of the body. Two lengths, or one that is no plain number, could make two readers see different
/// messages in the same bytes.
fn length(message: &Message) -> Result<Option<usize>, MessageError> {
    if message.header("transfer-encoding").is_some() {
        // Of answers, which come from endpoints: chunks are not read there.
        return Err(MessageError::Unsupported);
    }
    let mut lengths = message.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let Some((_, value)) = lengths.next() else { return Ok(None) };
    if lengths.next().is_some() || value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
        return Err(MessageError::Malformed);
    }
    match value.parse::<usize>() {
        Ok(length) if length <= MAX_BODY_BYTES => Ok(Some(length)),
        _ => Err(MessageError::TooLarge),
    }
}

/// The reason phrase of a status, for people alone.
pub(super) fn reason(status: u16) -> &'static str {
    ::http::StatusCode::from_u16(status).ok().and_then(|status| status.canonical_reason()).unwrap_or("")
}

/// Writes an answer.
pub fn write_response(status: u16, headers: &[(&str, String)], body: &[u8], close: bool) -> Vec<u8> {
    let reason = reason(status);
    let mut out = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    finish(&mut out, headers, (status != 204).then_some(body), close);
    out
}

/// Writes a request.
pub fn write_request(method: &str, target: &str, headers: &[(&str, String)], body: Option<&[u8]>) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    finish(&mut out, headers, body, false);
    out
}

fn finish(out: &mut Vec<u8>, headers: &[(&str, String)], body: Option<&[u8]>, close: bool) {
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    if let Some(body) = body {
        out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body.unwrap_or(b""));
}

#[cfg(test)]
mod tests;
