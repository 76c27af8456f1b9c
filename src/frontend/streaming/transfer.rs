//! The bytes of a body from one connection to another, framed anew: through the buffers of the process, or through a pipe of
//! the system where the body is long.

use crate::net::body::{BodyError, Decoder, chunk_head, last_chunk};
use crate::net::{Conn, PIPE_CAPACITY_BYTES, Pipe, Pipes};

/// Bytes of framing that a chunk takes beside its payload: a size of 16 digits and two line ends.
const CHUNK_OVERHEAD_BYTES: usize = 20;
/// Bytes left of a body from which on a pipe is worth its two calls and descriptors.
const MIN_PIPED_BODY_BYTES: u64 = 256 * 1024;

/// Adds bytes that pass to the prefix that can be sent again. What is more than `limit` bytes cannot: the prefix is dropped.
pub(super) fn extend_prefix(prefix: &mut Option<Vec<u8>>, bytes: &[u8], limit: usize) {
    *prefix = prefix.take().filter(|held| held.len() + bytes.len() <= limit).map(|mut held| {
        held.extend_from_slice(bytes);
        held
    });
}

/// Passes payload from one connection on to another, framed anew. True where the sink takes no more for now. `keep`
/// is shown what passes.
pub(super) fn relay_buffered(
    source: &mut Conn,
    sink: &mut Conn,
    decoder: &mut Decoder,
    (chunked, ended): (bool, &mut bool),
    mut keep: impl FnMut(&[u8]),
) -> Result<bool, BodyError> {
    sink.write_queued();
    loop {
        let mut step = decoder.step(source.rx.front())?;
        if step.skip + step.payload == 0 && !decoder.is_done() && source.rx.front().len() < source.rx.len() {
            // Framing that wraps in the buffer.
            step = decoder.step(source.rx.bytes())?;
        }
        source.rx.consume(step.skip);
        if decoder.is_done() {
            if chunked && !*ended {
                *ended = sink.tx.push(&last_chunk(decoder.trailers()));
                sink.write_queued();
            }
            return Ok(chunked && !*ended || !sink.tx.is_empty());
        }
        let at_hand = step.payload.min(source.rx.front().len());
        if at_hand == 0 {
            if step.skip == 0 {
                return Ok(!sink.tx.is_empty());
            }
            continue;
        }
        let payload = &source.rx.front()[..at_hand];
        let taken = if chunked {
            let taken = at_hand.min(sink.tx.room().saturating_sub(CHUNK_OVERHEAD_BYTES));
            if taken > 0 {
                let fits = sink.tx.push(&chunk_head(taken)) && sink.tx.push(&payload[..taken]);
                debug_assert!(fits && sink.tx.room() >= 2, "the room was reckoned");
                sink.tx.push(b"\r\n");
                sink.write_queued();
            }
            taken
        } else if sink.tx.is_empty() {
            sink.write_some(payload)
        } else {
            0
        };
        keep(&payload[..taken]);
        decoder.took(taken);
        source.rx.consume(taken);
        // A chunk that was queued and not written stops its source as well.
        if taken < at_hand || chunked && !sink.tx.is_empty() {
            return Ok(true);
        }
    }
}

/// What came of a channel's turn at its two connections.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Relayed {
    pub read: usize,
    pub more: bool,
    pub blocked: bool,
    pub full: bool,
}

/// Takes payload of a body with a length through a pipe.
fn relay_piped(
    source: &mut Conn,
    sink: &mut Conn,
    decoder: &mut Decoder,
    pipe: &mut Pipe,
    most: usize,
) -> Relayed {
    let mut passed = Relayed { more: true, ..Relayed::default() };
    loop {
        sink.splice_out(pipe);
        if pipe.held() > 0 {
            (passed.blocked, passed.full) = (true, true);
            return passed;
        }
        let left = usize::try_from(decoder.left().unwrap_or(0)).unwrap_or(usize::MAX);
        let wanted = left.min(most - passed.read).min(PIPE_CAPACITY_BYTES);
        if wanted == 0 {
            return passed;
        }
        let (count, more) = source.splice_in(pipe, wanted);
        decoder.took(count);
        passed.read += count;
        passed.more = more;
        if count == 0 {
            return passed;
        }
    }
}

/// A channel's turn: through a pipe where the rest of the body is long, has a length and is in no buffer, else through
/// the source's ring.
pub(super) fn relay_body(
    source: &mut Conn,
    sink: &mut Conn,
    decoder: &mut Decoder,
    pipe: &mut Option<Pipe>,
    (pipes, framing): (&Pipes, (bool, &mut bool)),
    most: usize,
    keep: impl FnMut(&[u8]),
) -> Result<Relayed, BodyError> {
    let is_long =
        pipe.is_some() || decoder.left().is_some_and(|left| left >= MIN_PIPED_BODY_BYTES) && !framing.0;
    if is_long && source.rx.is_empty() {
        sink.write_queued();
        if sink.tx.is_empty() {
            if pipe.is_none() {
                *pipe = pipes.open();
            }
            if let Some(pipe) = pipe {
                return Ok(relay_piped(source, sink, decoder, pipe, most));
            }
        }
    }
    let before = source.rx.len();
    // What is in the ring goes first, so that the rest can go through a pipe.
    let reads = most > 0 && !(is_long && before > 0);
    let more = !reads || source.read_some(most);
    let read = source.rx.len() - before;
    let blocked = relay_buffered(source, sink, decoder, framing, keep)?;
    Ok(Relayed { read, more, blocked, full: source.rx.room() == 0 })
}
