//! Heads of HTTP/1.1 messages that are relayed: read off a buffer without their bodies, and written anew for the next
//! hop (RFC 9110, section 7.6; RFC 9112, sections 3 and 6).

use super::Ring;
use super::body::Framing;
use super::http::{
    Headers, MAX_HEADERS, MessageError, ParsedRequest, closes, head, header_value, owned, parse_request,
    reason,
};

/// Headers of one hop, which are never passed on. `Expect` is passed on, as the endpoint may answer it.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "transfer-encoding",
    "content-length",
    "upgrade",
];

/// A request's head.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The target, in origin form.
    pub target: String,
    /// All its headers.
    pub headers: Headers,
    /// How its body is delimited.
    pub framing: Framing,
    /// The client wants no further message on the connection.
    pub close: bool,
    /// It is of HTTP/1.0: no chunks and no interim answers are understood.
    pub is_http_1_0: bool,
}

/// An answer's head.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The status.
    pub status: u16,
    /// All its headers.
    pub headers: Headers,
    /// How its body is delimited.
    pub framing: Framing,
    /// The server wants no further message on the connection.
    pub close: bool,
}

fn values<'a>(headers: &'a Headers, name: &'a str) -> impl Iterator<Item = &'a str> {
    headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// Takes a request's head off the buffer, if it is complete.
///
/// Rejected, since two readers could see different messages in it: a length beside a transfer coding, two lengths, one that
/// is no plain number, a coding other than `chunked`, a coding in HTTP/1.0, no or two `Host`s.
///
/// # Errors
/// Where the bytes cannot become a valid head.
pub fn read_request(ring: &mut Ring) -> Result<Option<RequestHead>, MessageError> {
    let Some(parsed) = parse_request(ring.bytes())? else { return Ok(None) };
    let ParsedRequest { length, method, target, headers, version } = parsed;
    let is_http_1_0 = version == Some(0);
    if !(target.starts_with('/') || target == "*") {
        return Err(MessageError::Malformed);
    }
    if values(&headers, "host").count() != 1 && !(is_http_1_0 && header_value(&headers, "host").is_none()) {
        return Err(MessageError::Malformed);
    }
    let read = RequestHead {
        method,
        target,
        framing: framing(&headers, is_http_1_0)?.unwrap_or(Framing::Empty),
        close: closes(&headers, version),
        headers,
        is_http_1_0,
    };
    ring.consume(length);
    Ok(Some(read))
}

/// Takes an answer's head off the buffer, if it is complete; `to_head` tells that it answers a HEAD.
///
/// # Errors
/// Where the bytes cannot become a valid head.
pub fn read_answer(ring: &mut Ring, to_head: bool) -> Result<Option<AnswerHead>, MessageError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let bytes = ring.bytes();
    let Some(length) = head(parsed.parse(bytes), bytes.len())? else { return Ok(None) };
    let (status, headers) = (parsed.code.unwrap_or(0), owned(parsed.headers)?);
    let stated = framing(&headers, parsed.version == Some(0))?;
    let framing = match stated {
        _ if to_head || status < 200 || matches!(status, 204 | 304) => Framing::Empty,
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    let close = closes(&headers, parsed.version) || framing == Framing::UntilClose;
    ring.consume(length);
    Ok(Some(AnswerHead { status, headers, framing, close }))
}

fn framing(headers: &Headers, is_http_1_0: bool) -> Result<Option<Framing>, MessageError> {
    let mut codings = values(headers, "transfer-encoding");
    let mut lengths = values(headers, "content-length");
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(None),
        (Some(coding), None) if codings.next().is_none() && !is_http_1_0 => {
            if coding.eq_ignore_ascii_case("chunked") {
                Ok(Some(Framing::Chunked))
            } else {
                Err(MessageError::Unsupported)
            }
        }
        (None, Some(length)) if lengths.next().is_none() => {
            let plain = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
            let length = if plain {
                length.parse().map_err(|_| MessageError::TooLarge)
            } else {
                Err(MessageError::Malformed)
            };
            Ok(Some(Framing::Length(length?)))
        }
        _ => Err(MessageError::Malformed),
    }
}

/// Headers that go on to the next hop: all but those of one hop and those that `Connection` names.
pub fn onward(headers: &Headers) -> impl Iterator<Item = &(String, String)> {
    let named: Vec<String> = values(headers, "connection")
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers.iter().filter(move |(name, _)| {
        let name = name.to_ascii_lowercase();
        !HOP_BY_HOP_HEADERS.contains(&name.as_str()) && !named.contains(&name)
    })
}

/// Writes a request's head for the next hop, over a connection that is kept.
pub fn write_request(request: &RequestHead, framing: Framing) -> Vec<u8> {
    let mut out = format!("{} {} HTTP/1.1\r\n", request.method, request.target).into_bytes();
    put(&mut out, onward(&request.headers), framing);
    out.extend_from_slice(b"\r\n");
    out
}

/// Writes an answer's head for the client. `stated_length` is given where no body follows but its length is stated: to HEAD.
pub fn write_answer(
    answer: &AnswerHead,
    framing: Framing,
    stated_length: Option<u64>,
    close: bool,
) -> Vec<u8> {
    let words = reason(answer.status);
    let mut out = format!("HTTP/1.1 {} {words}\r\n", answer.status).into_bytes();
    put(&mut out, onward(&answer.headers), framing);
    if let Some(length) = stated_length {
        out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    } else if framing == Framing::Empty && !(answer.status < 200 || matches!(answer.status, 204 | 304)) {
        out.extend_from_slice(b"Content-Length: 0\r\n");
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn put<'a>(out: &mut Vec<u8>, headers: impl Iterator<Item = &'a (String, String)>, framing: Framing) {
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    match framing {
        Framing::Length(length) => out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes()),
        Framing::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        Framing::Empty | Framing::UntilClose => {}
    }
}

#[cfg(test)]
mod tests;
