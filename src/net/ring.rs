//! A ring buffer with a bound: one for each direction of a connection.

/// Bytes of room that an empty buffer keeps, so that small messages do not allocate each time.
const RETAINED_BYTES: usize = 4096;

/// Bytes in order, `limit` at most.
pub struct Ring {
    /// All of it may be read into: it holds zeros or bytes that were dropped.
    store: Vec<u8>,
    head: usize,
    len: usize,
    limit: usize,
    retained: usize,
}

impl Ring {
    /// An empty buffer; room is made as bytes come.
    pub fn new(limit: usize) -> Ring {
        Ring { store: Vec::new(), head: 0, len: 0, limit, retained: RETAINED_BYTES }
    }

    /// Sets another bound, and the bytes of room that it keeps when it is empty. Bytes that it holds above the bound stay.
    pub fn set_limit(&mut self, limit: usize, retained: usize) {
        (self.limit, self.retained) = (limit, retained);
        self.trim();
    }

    /// Bytes that still fit.
    pub fn room(&self) -> usize {
        self.limit.saturating_sub(self.len)
    }

    /// Bytes held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds all of `bytes`. False, and nothing is added, where they do not fit.
    pub fn push(&mut self, mut bytes: &[u8]) -> bool {
        if bytes.len() > self.room() {
            return false;
        }
        while !bytes.is_empty() {
            let spare = self.spare(bytes.len());
            let count = spare.len().min(bytes.len());
            spare[..count].copy_from_slice(&bytes[..count]);
            self.filled(count);
            bytes = &bytes[count..];
        }
        true
    }

    /// A piece of free room of `most` bytes at most, to be written to; empty only where nothing fits. The caller must call
    /// `filled` with the bytes that it has written.
    pub fn spare(&mut self, most: usize) -> &mut [u8] {
        let most = most.min(self.room());
        if self.len + most > self.store.len() {
            self.make_contiguous();
            let size = (self.len + most).next_power_of_two().min(self.limit.max(self.len + most));
            self.store.resize(size, 0);
        }
        let size = self.store.len().max(1);
        let tail = (self.head + self.len) % size;
        let end = if tail < self.head { self.head } else { self.store.len() };
        let end = end.min(tail + most);
        &mut self.store[tail..end]
    }

    /// Adds `count` bytes that were written to the spare room.
    pub fn filled(&mut self, count: usize) {
        self.len = (self.len + count).min(self.store.len());
    }

    fn make_contiguous(&mut self) {
        if self.head + self.len > self.store.len() {
            self.store.rotate_left(self.head);
            self.head = 0;
        }
    }

    /// All bytes, as one piece.
    pub fn bytes(&mut self) -> &[u8] {
        self.make_contiguous();
        &self.store[self.head..self.head + self.len]
    }

    /// The bytes up to where the buffer wraps.
    pub fn front(&self) -> &[u8] {
        &self.store[self.head..(self.head + self.len).min(self.store.len())]
    }

    /// Drops the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        self.head = if self.len == 0 { 0 } else { (self.head + count) % self.store.len() };
        self.trim();
    }

    /// Guards against every connection keeping the room of its largest message for good.
    fn trim(&mut self) {
        if self.len == 0 && self.store.len() > self.retained {
            self.store = Vec::new();
        }
    }
}

#[cfg(test)]
mod tests;
