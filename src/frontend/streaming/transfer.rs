//! Transfers a body from one connection to another and rewrites its framing. Bytes are copied through the
//! buffers of the process, or spliced through a kernel pipe if the body is long.

use crate::net::body::{BodyError, Decoder, Step, chunk_head, last_chunk};
use crate::net::{Conn, PIPE_CAPACITY_BYTES, Pipe, Pipes};

/// Upper bound on the framing of a chunk, in bytes: a size of 16 digits and two line ends.
const CHUNK_OVERHEAD_BYTES: usize = 20;
/// Least number of remaining bytes of a body for which a pipe is worth its two system calls and two
/// descriptors.
const MIN_PIPED_BODY_BYTES: u64 = 256 * 1024;

/// Adds relayed payload to the prefix that is kept for a retry. A prefix that would exceed `limit` bytes is
/// dropped.
pub(super) fn extend_prefix(prefix: &mut Option<Vec<u8>>, bytes: &[u8], limit: usize) {
    *prefix = prefix.take().filter(|held| held.len() + bytes.len() <= limit).map(|mut held| {
        held.extend_from_slice(bytes);
        held
    });
}

/// Result of relaying a part of a body.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Relayed {
    /// Number of bytes read from the source.
    pub read: usize,
    /// Whether the source may have more bytes available right now.
    pub more: bool,
    /// Whether the sink accepts no more bytes for now.
    pub blocked: bool,
    /// Whether the buffer or pipe is full, so that nothing can be read until the sink accepts bytes.
    pub full: bool,
}

/// The state needed to relay a body: its decoder, its framing towards the sink, and its pipe.
pub(super) struct BodyRelay<'a> {
    /// Decoder of the body as the source sends it.
    pub decoder: &'a mut Decoder,
    /// Whether the body is sent to the sink with chunked transfer coding.
    pub is_chunked: bool,
    /// Whether the last chunk is written or queued.
    pub last_chunk_written: &'a mut bool,
    /// The pipe that the body is spliced through, once one was opened for it.
    pub pipe: &'a mut Option<Pipe>,
    /// The supply of pipes.
    pub pipes: &'a Pipes,
}

impl BodyRelay<'_> {
    /// Relays the body for a turn, and reads at most `max_read` bytes. The body is spliced through a pipe
    /// if the rest of it is long, has a known length and is not buffered yet; otherwise it is copied through
    /// the source's buffer. `on_payload` is called with the payload that is copied.
    ///
    /// # Errors
    /// If the body is malformed or too long.
    pub fn relay(
        &mut self,
        source: &mut Conn,
        sink: &mut Conn,
        max_read: usize,
        on_payload: impl FnMut(&[u8]),
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
                    return Ok(relay_piped(source, sink, self.decoder, pipe, max_read));
                }
            }
        }
        let before = source.rx.len();
        // If the rest can be spliced, the buffered bytes are written first and nothing is read.
        let reads = max_read > 0 && !(is_long && before > 0);
        let more = !reads || source.read_some(max_read);
        let read = source.rx.len() - before;
        let blocked = self.relay_buffered(source, sink, on_payload)?;
        Ok(Relayed { read, more, blocked, full: source.rx.free_space() == 0 })
    }

    /// Relays the bytes in the source's buffer, and calls `on_payload` with their payload. Returns whether
    /// the sink accepts no more bytes for now.
    ///
    /// # Errors
    /// If the body is malformed or too long.
    pub fn relay_buffered(
        &mut self,
        source: &mut Conn,
        sink: &mut Conn,
        mut on_payload: impl FnMut(&[u8]),
    ) -> Result<bool, BodyError> {
        sink.write_queued();
        loop {
            let step = next_step(self.decoder, source)?;
            source.rx.consume(step.skip);
            if self.decoder.is_done() {
                return Ok(self.write_end(sink));
            }
            let available = step.payload.min(source.rx.front().len());
            if available == 0 {
                if step.skip == 0 {
                    return Ok(!sink.tx.is_empty());
                }
                continue;
            }
            let payload = &source.rx.front()[..available];
            let written = self.write_payload(sink, payload);
            on_payload(&payload[..written]);
            self.decoder.consume_payload(written);
            source.rx.consume(written);
            // A chunk that is queued but not yet written also blocks the source.
            if written < available || self.is_chunked && !sink.tx.is_empty() {
                return Ok(true);
            }
        }
    }

    /// Writes the last chunk if the framing has one. Returns whether it or earlier bytes are not written yet.
    fn write_end(&mut self, sink: &mut Conn) -> bool {
        if self.is_chunked && !*self.last_chunk_written {
            *self.last_chunk_written = sink.tx.push(&last_chunk(self.decoder.trailers()));
            sink.write_queued();
        }
        self.is_chunked && !*self.last_chunk_written || !sink.tx.is_empty()
    }

    /// Writes payload, or queues it as a chunk. Returns the number of payload bytes that the sink accepted.
    fn write_payload(&self, sink: &mut Conn, payload: &[u8]) -> usize {
        if !self.is_chunked {
            return if sink.tx.is_empty() { sink.write_some(payload) } else { 0 };
        }
        let written = payload.len().min(sink.tx.free_space().saturating_sub(CHUNK_OVERHEAD_BYTES));
        if written > 0 {
            let is_queued = sink.tx.push(&chunk_head(written)) && sink.tx.push(&payload[..written]);
            debug_assert!(
                is_queued && sink.tx.free_space() >= 2,
                "the free space was computed with the framing"
            );
            sink.tx.push(b"\r\n");
            sink.write_queued();
        }
        written
    }
}

/// Returns the next decoding step for the bytes in the source's buffer.
fn next_step(decoder: &mut Decoder, source: &mut Conn) -> Result<Step, BodyError> {
    let step = decoder.step(source.rx.front())?;
    let has_wrapped = source.rx.front().len() < source.rx.len();
    if step.skip + step.payload == 0 && !decoder.is_done() && has_wrapped {
        // The bytes of the framing wrap around the end of the ring buffer, so they are decoded as one slice.
        return decoder.step(source.rx.bytes());
    }
    Ok(step)
}

/// Splices payload of a body with a known length through a pipe.
fn relay_piped(
    source: &mut Conn,
    sink: &mut Conn,
    decoder: &mut Decoder,
    pipe: &mut Pipe,
    max_read: usize,
) -> Relayed {
    let mut relayed = Relayed { more: true, ..Relayed::default() };
    loop {
        sink.splice_out(pipe);
        if pipe.held() > 0 {
            (relayed.blocked, relayed.full) = (true, true);
            return relayed;
        }
        let left = usize::try_from(decoder.remaining().unwrap_or(0)).unwrap_or(usize::MAX);
        let wanted = left.min(max_read - relayed.read).min(PIPE_CAPACITY_BYTES);
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
