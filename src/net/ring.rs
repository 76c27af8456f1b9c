//! A ring buffer with a bound, one a direction of a connection.

use std::collections::VecDeque;

/// What an empty buffer keeps of its room.
const KEPT: usize = 4096;

/// Bytes in order, at most so many.
pub struct Ring {
    bytes: VecDeque<u8>,
    limit: usize,
}

impl Ring {
    /// An empty buffer; room is made as bytes come.
    pub fn new(limit: usize) -> Ring {
        Ring { bytes: VecDeque::new(), limit }
    }

    /// Bytes that still fit.
    pub fn room(&self) -> usize {
        self.limit - self.bytes.len()
    }

    /// Bytes held.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// True if it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds all of `bytes`, or nothing where they do not fit.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let fits = bytes.len() <= self.room();
        if fits {
            self.bytes.extend(bytes);
        }
        fits
    }

    /// All bytes, as one piece.
    pub fn bytes(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    /// The bytes up to where the buffer wraps.
    pub fn front(&self) -> &[u8] {
        self.bytes.as_slices().0
    }

    /// Drops bytes off the front.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        // Guards against every connection keeping the room of its largest message for good.
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT {
            self.bytes.shrink_to(KEPT);
        }
    }
}
