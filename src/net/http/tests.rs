//! Tests of `http`.

use super::*;

fn ring(bytes: &[u8]) -> Ring {
    let mut ring = Ring::new(4 * MAX_BODY_BYTES);
    assert!(ring.push(bytes));
    ring
}

/// Clients that write in pieces send chunked bodies. Such a request is read in full however it is split, and
/// the bytes after it stay for the next request.
#[test]
fn a_chunked_request_is_read_in_full_however_it_is_split() {
    let text = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n6\r\n world\r\n0\r\nT: 1\r\n\r\nGET";
    for cut in 1..text.len() - 3 {
        let mut ring = ring(&text[..cut]);
        assert!(read_request(&mut ring).unwrap().is_none(), "complete after {cut} bytes");
    }
    let mut ring = ring(text);
    let message = read_request(&mut ring).unwrap().unwrap();
    assert_eq!((message.method.as_str(), message.body.as_slice()), ("POST", b"hello world".as_slice()));
    assert_eq!(ring.bytes(), b"GET");
    let long = format!("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n", MAX_BODY_BYTES + 1);
    assert_eq!(read_request(&mut self::tests::ring(long.as_bytes())).unwrap_err(), MessageError::TooLarge);
}
