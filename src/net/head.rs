//! Heads of relayed HTTP/1.1 messages: parsed without their bodies, and serialized for the next hop (RFC
//! 9110, section 7.6; RFC 9112, sections 3 and 6).

use super::Ring;
use super::body::Framing;
use super::http::{
    Headers, MAX_HEADERS, MessageError, ParsedRequest, closes_connection, head_length, header_value,
    parse_request, reason_phrase, to_owned_headers,
};

/// Hop-by-hop headers, which are never forwarded. `Expect` is forwarded, because the endpoint may answer it.
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

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The target, in origin form.
    pub target: String,
    /// All headers.
    pub headers: Headers,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the client wants the connection closed after this request.
    pub close: bool,
    /// Whether the client uses HTTP/1.0, and so understands neither chunked bodies nor interim responses.
    pub is_http_1_0: bool,
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// All headers.
    pub headers: Headers,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the server closes the connection after this response.
    pub close: bool,
}

fn header_values<'a>(headers: &'a Headers, name: &'a str) -> impl Iterator<Item = &'a str> {
    headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// Takes the head of a request out of the buffer, if it is complete.
///
/// Rejects heads in which two parsers could see different messages: a length beside a transfer coding, two
/// lengths, a length that is not a plain number, a coding other than `chunked`, a coding in HTTP/1.0, and a
/// missing (except in HTTP/1.0) or repeated `Host`.
///
/// # Errors
/// Returns an error if the bytes cannot become a valid head.
pub fn read_request(ring: &mut Ring) -> Result<Option<RequestHead>, MessageError> {
    let Some(parsed) = parse_request(ring.bytes())? else { return Ok(None) };
    let ParsedRequest { length, method, target, headers, version } = parsed;
    let is_http_1_0 = version == Some(0);
    if !(target.starts_with('/') || target == "*") {
        return Err(MessageError::Malformed);
    }
    if header_values(&headers, "host").count() != 1
        && !(is_http_1_0 && header_value(&headers, "host").is_none())
    {
        return Err(MessageError::Malformed);
    }
    let read = RequestHead {
        method,
        target,
        framing: framing(&headers, is_http_1_0)?.unwrap_or(Framing::Empty),
        close: closes_connection(&headers, version),
        headers,
        is_http_1_0,
    };
    ring.consume(length);
    Ok(Some(read))
}

/// Takes the head of a response out of the buffer, if it is complete; `is_head_request` says that it answers
/// a HEAD request.
///
/// # Errors
/// Returns an error if the bytes cannot become a valid head.
pub fn read_response(ring: &mut Ring, is_head_request: bool) -> Result<Option<ResponseHead>, MessageError> {
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut header_slots);
    let bytes = ring.bytes();
    let Some(length) = head_length(parsed.parse(bytes), bytes.len())? else { return Ok(None) };
    let (status, headers) = (parsed.code.unwrap_or(0), to_owned_headers(parsed.headers)?);
    let declared = framing(&headers, parsed.version == Some(0))?;
    let framing = match declared {
        _ if is_head_request || status < 200 || matches!(status, 204 | 304) => Framing::Empty,
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    let close = closes_connection(&headers, parsed.version) || framing == Framing::UntilClose;
    ring.consume(length);
    Ok(Some(ResponseHead { status, headers, framing, close }))
}

fn framing(headers: &Headers, is_http_1_0: bool) -> Result<Option<Framing>, MessageError> {
    let mut codings = header_values(headers, "transfer-encoding");
    let mut lengths = header_values(headers, "content-length");
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

/// Returns the headers to forward to the next hop: all but hop-by-hop headers and those named in
/// `Connection`.
pub fn end_to_end_headers(headers: &Headers) -> impl Iterator<Item = &(String, String)> {
    let named: Vec<String> = header_values(headers, "connection")
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers.iter().filter(move |(name, _)| {
        let name = name.to_ascii_lowercase();
        !HOP_BY_HOP_HEADERS.contains(&name.as_str()) && !named.contains(&name)
    })
}

/// Serializes the head of a request for the next hop, over a persistent connection.
pub fn write_request(request: &RequestHead, framing: Framing) -> Vec<u8> {
    let mut out = format!("{} {} HTTP/1.1\r\n", request.method, request.target).into_bytes();
    write_header_fields(&mut out, end_to_end_headers(&request.headers), framing);
    out.extend_from_slice(b"\r\n");
    out
}

/// Serializes the head of a response for the client. `declared_length` is the `Content-Length` of a response
/// to HEAD, which has no body.
pub fn write_response(
    response: &ResponseHead,
    framing: Framing,
    declared_length: Option<u64>,
    close: bool,
) -> Vec<u8> {
    let phrase = reason_phrase(response.status);
    let mut out = format!("HTTP/1.1 {} {phrase}\r\n", response.status).into_bytes();
    write_header_fields(&mut out, end_to_end_headers(&response.headers), framing);
    if let Some(length) = declared_length {
        out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    } else if framing == Framing::Empty && !(response.status < 200 || matches!(response.status, 204 | 304)) {
        out.extend_from_slice(b"Content-Length: 0\r\n");
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn write_header_fields<'a>(
    out: &mut Vec<u8>,
    headers: impl Iterator<Item = &'a (String, String)>,
    framing: Framing,
) {
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
