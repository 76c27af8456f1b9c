//! The bytes of a body from one connection to another, framed anew: through the buffers of the process, or through a pipe of
//! the system where the body is long.

use crate::net::body::{BodyError, Decoder, Step, chunk_head, last_chunk};
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

/// What came of a relay.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Relayed {
    /// Bytes read from the source.
    pub read: usize,
    /// The source may have more at once.
    pub more: bool,
    /// The sink takes no more for now.
    pub blocked: bool,
    /// Nothing more can be read until the sink takes some.
    pub full: bool,
}

/// How a body is relayed: what reads it, how it is framed anew, and the pipe that it may go through.
pub(super) struct BodyRelay<'a> {
    /// Reads the body from the source.
    pub decoder: &'a mut Decoder,
    /// The sink gets it in chunks.
    pub is_chunked: bool,
    /// The last chunk was written.
    pub last_chunk_written: &'a mut bool,
    /// The pipe that it goes through by now.
    pub pipe: &'a mut Option<Pipe>,
    /// Where a pipe comes from.
    pub pipes: &'a Pipes,
}

impl BodyRelay<'_> {
    /// Relays for a turn, reading `most` bytes at most: through a pipe where the rest of the body is long, has a length and is
    /// in no buffer, else through the source's buffer. `keep` is shown the payload that does not go through a pipe.
    ///
    /// # Errors
    /// Where the body does not read.
    pub fn relay(
        &mut self,
        source: &mut Conn,
        sink: &mut Conn,
        most: usize,
        keep: impl FnMut(&[u8]),
    ) -> Result<Relayed, BodyError> {
        let is_long = self.pipe.is_some()
            || self.decoder.remaining().is_some_and(|left| left >= MIN_PIPED_BODY_BYTES) && !self.is_chunked;
        if is_long && source.rx.is_empty() {
            sink.write_queued();
            if sink.tx.is_empty() {
                if self.pipe.is_none() {
                    *self.pipe = self.pipes.open();
                }
                if let Some(pipe) = self.pipe {
                    return Ok(relay_piped(source, sink, self.decoder, pipe, most));
                }
            }
        }
        let before = source.rx.len();
        // What is in the buffer goes first, so that the rest can go through a pipe.
        let reads = most > 0 && !(is_long && before > 0);
        let more = !reads || source.read_some(most);
        let read = source.rx.len() - before;
        let blocked = self.relay_buffered(source, sink, keep)?;
        Ok(Relayed { read, more, blocked, full: source.rx.free_space() == 0 })
    }

    /// Relays what is in the source's buffer. True where the sink takes no more for now. `keep` is shown the payload.
    ///
    /// # Errors
    /// Where the body does not read.
    pub fn relay_buffered(
        &mut self,
        source: &mut Conn,
        sink: &mut Conn,
        mut keep: impl FnMut(&[u8]),
    ) -> Result<bool, BodyError> {
        sink.write_queued();
        loop {
            let step = next_step(self.decoder, source)?;
            source.rx.consume(step.skip);
            if self.decoder.is_done() {
                return Ok(self.write_end(sink));
            }
            let at_hand = step.payload.min(source.rx.front().len());
            if at_hand == 0 {
                if step.skip == 0 {
                    return Ok(!sink.tx.is_empty());
                }
                continue;
            }
            let payload = &source.rx.front()[..at_hand];
            let taken = self.write_payload(sink, payload);
            keep(&payload[..taken]);
            self.decoder.consume_payload(taken);
            source.rx.consume(taken);
            // A chunk that was queued and not written stops its source as well.
            if taken < at_hand || self.is_chunked && !sink.tx.is_empty() {
                return Ok(true);
            }
        }
    }

    /// Writes the last chunk, where there is one. True where it, or what was queued before, is not written yet.
    fn write_end(&mut self, sink: &mut Conn) -> bool {
        if self.is_chunked && !*self.last_chunk_written {
            *self.last_chunk_written = sink.tx.push(&last_chunk(self.decoder.trailers()));
            sink.write_queued();
        }
        self.is_chunked && !*self.last_chunk_written || !sink.tx.is_empty()
    }

    /// Writes payload, or queues it as a chunk. Returns the bytes that the sink took.
    fn write_payload(&self, sink: &mut Conn, payload: &[u8]) -> usize {
        if !self.is_chunked {
            return if sink.tx.is_empty() { sink.write_some(payload) } else { 0 };
        }
        let taken = payload.len().min(sink.tx.free_space().saturating_sub(CHUNK_OVERHEAD_BYTES));
        if taken > 0 {
            let is_queued = sink.tx.push(&chunk_head(taken)) && sink.tx.push(&payload[..taken]);
            debug_assert!(is_queued && sink.tx.free_space() >= 2, "the room was reckoned");
            sink.tx.push(b"\r\n");
            sink.write_queued();
        }
        taken
    }
}

/// The next step of the body in the source's buffer.
fn next_step(decoder: &mut Decoder, source: &mut Conn) -> Result<Step, BodyError> {
    let step = decoder.step(source.rx.front())?;
    let has_wrapped = source.rx.front().len() < source.rx.len();
    if step.skip + step.payload == 0 && !decoder.is_done() && has_wrapped {
        // The framing wraps around the end of the buffer.
        return decoder.step(source.rx.bytes());
    }
    Ok(step)
}

/// Relays payload of a body with a length through a pipe.
fn relay_piped(
    source: &mut Conn,
    sink: &mut Conn,
    decoder: &mut Decoder,
    pipe: &mut Pipe,
    most: usize,
) -> Relayed {
    let mut relayed = Relayed { more: true, ..Relayed::default() };
    loop {
        sink.splice_out(pipe);
        if pipe.held() > 0 {
            (relayed.blocked, relayed.full) = (true, true);
            return relayed;
        }
        let left = usize::try_from(decoder.remaining().unwrap_or(0)).unwrap_or(usize::MAX);
        let wanted = left.min(most - relayed.read).min(PIPE_CAPACITY_BYTES);
        if wanted == 0 {
            return relayed;
        }
        let (count, more) = source.splice_in(pipe, wanted);
        decoder.consume_payload(count);
        relayed.read += count;
        relayed.more = more;
        if count == 0 {
            return relayed;
        }
    }
}
