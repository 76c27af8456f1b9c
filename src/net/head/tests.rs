//! Tests of `head`.

use super::*;

fn read(text: &str) -> Result<Option<RequestHead>, MessageError> {
    let mut ring = Ring::new(1 << 16);
    ring.push(text.as_bytes());
    read_request(&mut ring)
}

#[test]
fn heads_that_allow_request_smuggling_are_rejected() {
    for lines in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 0x3\r\n",
        "Content-Length:\r\n",
        "Content-Length : 3\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding:\u{b}chunked\r\n",
        " Transfer-Encoding: chunked\r\n",
        "Host: b\r\n",
    ] {
        let text = format!("POST /export/x HTTP/1.1\r\nHost: a\r\n{lines}\r\n");
        assert!(read(&text).is_err(), "{lines:?}");
    }
    assert!(read("POST /x HTTP/1.1\r\n\r\n").is_err(), "no Host header");
    assert!(read("POST http://a/x HTTP/1.1\r\nHost: a\r\n\r\n").is_err(), "target not in origin form");
    assert!(
        read("POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n").is_err(),
        "transfer coding in HTTP/1.0"
    );
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let text = "PUT /x HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, X-Here\r\nX-Here: 1\r\nX-There: 2\r\n\
                TE: trailers\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n";
    let head = read(text).unwrap().unwrap();
    assert_eq!(head.framing, Framing::Chunked);
    let out = String::from_utf8(write_request(&head, Framing::Length(7))).unwrap();
    let expected =
        "PUT /x HTTP/1.1\r\nHost: a\r\nX-There: 2\r\nExpect: 100-continue\r\nContent-Length: 7\r\n\r\n";
    assert_eq!(out, expected);
}

#[test]
fn responses_without_a_body_have_empty_framing() {
    let read = |text: &str, is_head_request| {
        let mut ring = Ring::new(1 << 16);
        ring.push(text.as_bytes());
        read_response(&mut ring, is_head_request).unwrap().unwrap()
    };
    assert_eq!(read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", true).framing, Framing::Empty);
    assert_eq!(read("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", false).framing, Framing::Empty);
    assert_eq!(read("HTTP/1.1 103 Early Hints\r\n\r\n", false).framing, Framing::Empty);
    let until = read("HTTP/1.0 200 OK\r\n\r\n", false);
    assert_eq!((until.framing, until.close), (Framing::UntilClose, true));
}
