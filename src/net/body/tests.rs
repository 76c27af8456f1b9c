//! Tests of `body`.

use proptest::prelude::*;

use super::*;

/// Decodes a body that arrives in pieces of the given sizes. Returns its payload, the bytes after it, and
/// whether it is complete.
fn read(framing: Framing, wire: &[u8], pieces: &[usize]) -> Result<(Vec<u8>, Vec<u8>, bool), BodyError> {
    let (mut decoder, mut out, mut held) = (Decoder::new(framing, 1 << 20)?, Vec::new(), Vec::new());
    let (mut at, mut sizes) = (0, pieces.iter().cycle());
    loop {
        let step = decoder.step(&held)?;
        held.drain(..step.skip);
        // Consume one byte less than offered, so that a piece of payload takes two steps.
        let some = if step.payload > 1 { step.payload - 1 } else { step.payload };
        out.extend(held.drain(..some));
        decoder.consume_payload(some);
        if step.skip + step.payload > 0 && !decoder.is_done() {
            continue;
        }
        if decoder.is_done() || at == wire.len() {
            held.extend_from_slice(&wire[at..]);
            return Ok((out, held, decoder.is_done()));
        }
        let end = (at + sizes.next().unwrap()).min(wire.len());
        held.extend_from_slice(&wire[at..end]);
        at = end;
    }
}

#[test]
fn a_chunked_body_decodes_alike_however_it_is_split() {
    let wire = b"5;name=\"v\"\r\nlakes\r\n00a \r\n0123456789\r\n0;x\r\nEtag: 7\r\nHost: evil\r\n\r\nNEXT";
    // Whitespace between a chunk size and CR LF is rejected.
    assert_eq!(read(Framing::Chunked, wire, &[9]), Err(BodyError::ChunkSize));
    let wire = b"5;name=\"v\"\r\nlakes\r\n00a\r\n0123456789\r\n0;x\r\nEtag: 7\r\nHost: evil\r\n\r\nNEXT";
    for piece in 1..=wire.len() {
        let read = read(Framing::Chunked, wire, &[piece]).unwrap();
        assert_eq!(read, (b"lakes0123456789".to_vec(), b"NEXT".to_vec(), true), "pieces of {piece}");
    }
    let mut decoder = Decoder::new(Framing::Chunked, 100).unwrap();
    decoder.step(b"0\r\nEtag: 7\r\nHost: evil\r\nContent-Length: 3\r\n\r\n").unwrap();
    assert_eq!(decoder.trailers(), b"Etag: 7\r\n");
}

#[test]
fn ambiguous_chunked_bodies_are_rejected() {
    for (wire, error) in [
        (&b"x\r\n"[..], BodyError::ChunkSize),
        (b"-1\r\n", BodyError::ChunkSize),
        (b"+5\r\nlakes\r\n", BodyError::ChunkSize),
        (b"0x5\r\nlakes\r\n", BodyError::ChunkSize),
        (b"5\nlakes\r\n", BodyError::ChunkSize),
        (b"\r\n5\r\nlakes\r\n", BodyError::ChunkSize),
        (b" 5\r\nlakes\r\n", BodyError::ChunkSize),
        (b"5\r \nlakes\r\n", BodyError::ChunkSize),
        (b"5;a\rb\r\nlakes\r\n", BodyError::ChunkSize),
        (b"fffffffffffffffff\r\n", BodyError::ChunkSize),
        (b"ffffffffff\r\n", BodyError::TooLong),
        (b"5\r\nlakes!\r\n", BodyError::ChunkEnd),
        (b"5\r\nlakes\n", BodyError::ChunkEnd),
        (b"0\r\nno colon\r\n\r\n", BodyError::Trailers),
        (b"0\r\nA: b\n\r\n", BodyError::Trailers),
    ] {
        for piece in [1, 2, 64] {
            let read = read(Framing::Chunked, wire, &[piece]);
            assert_eq!(read, Err(error), "{:?}", String::from_utf8_lossy(wire));
        }
    }
}

#[test]
fn oversized_extensions_and_trailers_are_rejected() {
    let long = [b"5;".as_slice(), &[b'a'; MAX_CHUNK_LINE_BYTES]].concat();
    assert_eq!(read(Framing::Chunked, &long, &[1]), Err(BodyError::Extension));
    let many = b"1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n".repeat(400);
    assert_eq!(read(Framing::Chunked, &many, &[7]), Err(BodyError::Extension));
    // A long body with a short extension in each chunk is valid.
    let chunk = [b"400;at=000000000000\r\n".as_slice(), &[b'x'; 1024], b"\r\n"].concat();
    let long = [chunk.repeat(2000), b"0\r\n\r\n".to_vec()].concat();
    let mut decoder = Decoder::new(Framing::Chunked, u64::MAX).unwrap();
    let mut rest = &long[..];
    while !decoder.is_done() {
        let step = decoder.step(rest).unwrap();
        decoder.consume_payload(step.payload);
        rest = &rest[step.skip + step.payload..];
    }
    assert_eq!(decoder.payload_bytes(), 2000 * 1024);
    let trailers = [b"0\r\n".as_slice(), &b"Etag: 7\r\n".repeat(MAX_TRAILER_BYTES / 9 + 1)].concat();
    assert_eq!(read(Framing::Chunked, &trailers, &[1000]), Err(BodyError::Trailers));
    assert_eq!(Decoder::new(Framing::Length(11), 10).err(), Some(BodyError::TooLong));
}

#[test]
fn a_truncated_body_is_distinguished_from_one_delimited_by_close() {
    for (framing, whole) in
        [(Framing::Length(9), false), (Framing::Chunked, false), (Framing::UntilClose, true)]
    {
        let mut decoder = Decoder::new(framing, 100).unwrap();
        let step = decoder.step(b"5\r\nlake").unwrap();
        decoder.consume_payload(step.payload);
        assert_eq!(decoder.on_eof(), whole, "{framing:?}");
    }
    assert_eq!(read(Framing::Length(5), b"lakesGET", &[3]).unwrap().1, b"GET");
}

proptest! {
    /// Arbitrary bytes never cause a panic, and decode to the same result however they are split.
    #[test]
    fn arbitrary_bytes_decode_alike_however_they_are_split(
        wire in proptest::collection::vec(prop_oneof![Just(b'\r'), Just(b'\n'), Just(b'0'), Just(b'3'), Just(b';'), any::<u8>()], 0..80),
        pieces in proptest::collection::vec(1usize..9, 1..9),
    ) {
        let whole = read(Framing::Chunked, &wire, &[80]);
        let cut = read(Framing::Chunked, &wire, &pieces);
        prop_assert_eq!(whole.is_ok(), cut.is_ok());
        if let (Ok(whole), Ok(cut)) = (whole, cut) {
            prop_assert_eq!(whole, cut);
        }
    }

    /// Encoded chunks decode to the original payload.
    #[test]
    fn encoded_chunks_decode_to_the_original_payload(chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..300), 0..9), piece in 1usize..50) {
        let mut wire = Vec::new();
        for chunk in &chunks {
            wire.extend(chunk_head(chunk.len()));
            wire.extend(chunk);
            wire.extend(b"\r\n");
        }
        wire.extend(last_chunk(b"Etag: 1\r\n"));
        prop_assert_eq!(read(Framing::Chunked, &wire, &[piece]).unwrap(), (chunks.concat(), Vec::new(), true));
    }
}
