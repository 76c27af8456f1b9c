//! Tests of documents transferred in chunks, including corrupt ones.

use super::*;

fn transfer_due_chunks(from: &mut Documents, to: &mut Documents, now: f64) -> bool {
    let mut is_complete = false;
    for request in to.due_requests(now, &[1]) {
        if let Some(chunk) = from.chunk(&request.hash, request.index) {
            is_complete |= to.receive_chunk(1, chunk);
        }
    }
    is_complete
}

#[test]
fn a_document_of_many_chunks_arrives_complete_or_not_at_all() {
    let (mut from, mut to) = (Documents::default(), Documents::default());
    let bytes: Vec<u8> = (0..100_000u32).map(|n| (n / 7) as u8).collect();
    let hash = from.store(&bytes).unwrap();
    to.request(hash, None);
    assert!(
        !transfer_due_chunks(&mut from, &mut to, 0.0),
        "only the first chunk, which states the size, has arrived"
    );
    // A corrupt chunk: the right length, but other content.
    let mut chunk = from.chunk(&hash, 3).unwrap();
    chunk.bytes[7] ^= 1;
    assert!(!to.receive_chunk(1, chunk));
    assert!(
        !transfer_due_chunks(&mut from, &mut to, 1000.0),
        "the hash mismatch is detected and the transfer starts over"
    );
    assert!(to.get(&hash).is_none());
    assert!((2..6).any(|turn| transfer_due_chunks(&mut from, &mut to, f64::from(turn) * 1000.0)));
    assert_eq!(to.get(&hash).as_deref(), Some(&bytes[..]));
    assert!(from.store(&vec![0; MAX_DOCUMENT_BYTES + 1]).is_none(), "too long");
}

#[test]
fn an_empty_document_and_one_of_an_exact_number_of_chunks_arrive() {
    for length in [0, CHUNK_BYTES, 2 * CHUNK_BYTES] {
        let (mut from, mut to) = (Documents::default(), Documents::default());
        let hash = from.store(&vec![9; length]).unwrap();
        to.request(hash, None);
        assert!(
            (0..4).any(|turn| transfer_due_chunks(&mut from, &mut to, f64::from(turn) * 1000.0)),
            "{length} bytes"
        );
    }
}
