//! Complete HTTP/1.1 messages: parsed from a ring buffer with httparse, and serialized.

use thiserror::Error;

use super::Ring;
use super::body::{BodyError, Decoder, Framing};

/// Longest head that is accepted, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest body that is accepted, in bytes: the body of a job has up to 64 KiB.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of headers in a message.
pub(super) const MAX_HEADERS: usize = 64;

/// Names and values of headers.
pub type Headers = Vec<(String, String)>;

/// Returns the first value of a header.
pub fn header_value<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// Why a message cannot be read. Each variant has its own status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Status 400.
    #[error("malformed HTTP message")]
    Malformed,
    /// Status 413.
    #[error("HTTP message exceeds the size limit")]
    TooLarge,
    /// Status 501.
    #[error("unsupported transfer coding")]
    Unsupported,
}

/// A complete message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The method of a request.
    pub method: String,
    /// The target of a request.
    pub target: String,
    /// The status of a response.
    pub status: u16,
    /// Names and values of the headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection is closed after this message.
    pub close: bool,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header_value(&self.headers, name)
    }
}

/// Takes a complete request out of the buffer. Returns `None` while bytes are missing.
///
/// # Errors
/// Returns an error if the bytes cannot become a valid request.
pub fn read_request(ring: &mut Ring) -> Result<Option<Message>, MessageError> {
    let bytes = ring.bytes();
    let Some(parsed) = parse_request(bytes)? else { return Ok(None) };
    let ParsedRequest { length: head, method, target, headers, version } = parsed;
    let close = closes_connection(&headers, version);
    let mut message = Message { method, target, headers, close, ..Message::default() };
    if is_chunked(&message)? {
        let Some((body, length)) = decode_chunked(&bytes[head..])? else { return Ok(None) };
        message.body = body;
        ring.consume(head + length);
        return Ok(Some(message));
    }
    let length = content_length(&message)?.unwrap_or(0);
    if bytes.len() < head + length {
        return Ok(None);
    }
    message.body = bytes[head..head + length].to_vec();
    ring.consume(head + length);
    Ok(Some(message))
}

/// Whether the body of a request is chunked. No other transfer coding is supported. A length beside a
/// transfer coding is an error: two parsers could see different messages in the same bytes.
fn is_chunked(message: &Message) -> Result<bool, MessageError> {
    let Some(coding) = message.header("transfer-encoding") else { return Ok(false) };
    if message.header("content-length").is_some() {
        return Err(MessageError::Malformed);
    }
    if !coding.trim().eq_ignore_ascii_case("chunked") {
        return Err(MessageError::Unsupported);
    }
    Ok(true)
}

/// Returns the payload of a chunked body and its encoded length, once it is complete.
fn decode_chunked(mut bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, MessageError> {
    let mut decoder =
        Decoder::new(Framing::Chunked, MAX_BODY_BYTES as u64).map_err(|_| MessageError::TooLarge)?;
    let (mut body, mut consumed) = (Vec::new(), 0);
    loop {
        let step = decoder.step(bytes).map_err(|e| match e {
            BodyError::TooLong => MessageError::TooLarge,
            _ => MessageError::Malformed,
        })?;
        let payload = &bytes[step.skip..step.skip + step.payload];
        body.extend_from_slice(payload);
        decoder.consume_payload(payload.len());
        (bytes, consumed) = (&bytes[step.skip + step.payload..], consumed + step.skip + step.payload);
        if decoder.is_done() {
            return Ok(Some((body, consumed)));
        }
        if step.skip + step.payload == 0 {
            return Ok(None);
        }
    }
}

/// Takes a complete response out of the buffer. Returns `None` while bytes are missing. `at_eof` says that no
/// more bytes will arrive, which ends a body without a length; a response truncated by the end yields `None`
/// as well.
///
/// # Errors
/// Returns an error if the bytes cannot become a valid response.
pub fn read_response(ring: &mut Ring, at_eof: bool) -> Result<Option<Message>, MessageError> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let bytes = ring.bytes();
        let Some(head) = head_length(parsed.parse(bytes), bytes.len())? else { return Ok(None) };
        let status = parsed.code.unwrap_or(0);
        if (100..200).contains(&status) {
            ring.consume(head);
            continue;
        }
        let mut message =
            Message { status, headers: to_owned_headers(parsed.headers)?, ..Message::default() };
        message.close = closes_connection(&message.headers, parsed.version);
        let length = match content_length(&message)? {
            _ if status == 204 || status == 304 => 0,
            Some(length) => length,
            // Without a length the body extends to the end of the connection.
            None if at_eof => bytes.len() - head,
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

/// The parsed head of a request.
pub(super) struct ParsedRequest {
    /// Length of the head in bytes.
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
    let Some(length) = head_length(parsed.parse(bytes), bytes.len())? else { return Ok(None) };
    Ok(Some(ParsedRequest {
        length,
        method: parsed.method.unwrap_or("").to_string(),
        target: parsed.path.unwrap_or("").to_string(),
        headers: to_owned_headers(parsed.headers)?,
        version: parsed.version,
    }))
}

/// Returns the length of a head parsed from `bytes` bytes, if it is complete.
pub(super) fn head_length(
    parsed: httparse::Result<usize>,
    bytes: usize,
) -> Result<Option<usize>, MessageError> {
    match parsed {
        Ok(httparse::Status::Complete(head)) if head <= MAX_HEAD_BYTES => Ok(Some(head)),
        Ok(httparse::Status::Partial) if bytes <= MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(MessageError::TooLarge),
        Err(_) => Err(MessageError::Malformed),
    }
}

/// Converts headers to owned text and trims the whitespace around their values.
pub(super) fn to_owned_headers(
    headers: &[httparse::Header<'_>],
) -> Result<Vec<(String, String)>, MessageError> {
    let one = |h: &httparse::Header<'_>| {
        let value = std::str::from_utf8(h.value).map_err(|_| MessageError::Malformed)?;
        Ok((h.name.to_string(), value.trim().to_string()))
    };
    headers.iter().map(one).collect()
}

/// Whether the connection is closed after a message.
pub(super) fn closes_connection(headers: &Headers, version: Option<u8>) -> bool {
    let connection = header_value(headers, "connection").unwrap_or("").to_ascii_lowercase();
    connection.contains("close") || version == Some(0) && !connection.contains("keep-alive")
}

/// Returns the length of the body. Two lengths, or one that is not a plain decimal number, are errors: two
/// parsers could see different messages in the same bytes.
fn content_length(message: &Message) -> Result<Option<usize>, MessageError> {
    if message.header("transfer-encoding").is_some() {
        // Only responses of endpoints get here; chunked responses are not supported.
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

/// Returns the reason phrase of a status, which is informational only.
pub(super) fn reason_phrase(status: u16) -> &'static str {
    ::http::StatusCode::from_u16(status).ok().and_then(|status| status.canonical_reason()).unwrap_or("")
}

/// Serializes a response.
pub fn write_response(status: u16, headers: &[(&str, String)], body: &[u8], close: bool) -> Vec<u8> {
    let reason = reason_phrase(status);
    let mut out = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    write_fields_and_body(&mut out, headers, (status != 204).then_some(body), close);
    out
}

/// Serializes a request.
pub fn write_request(method: &str, target: &str, headers: &[(&str, String)], body: Option<&[u8]>) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    write_fields_and_body(&mut out, headers, body, false);
    out
}

fn write_fields_and_body(out: &mut Vec<u8>, headers: &[(&str, String)], body: Option<&[u8]>, close: bool) {
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
