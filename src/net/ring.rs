//! A ring buffer with a size limit; a connection has one for each direction.

/// Capacity in bytes that an empty buffer keeps by default, so that small messages do not allocate each time.
const RETAINED_BYTES: usize = 4096;

/// A byte queue that holds up to `limit` bytes.
pub struct Ring {
    /// Always initialized (zeros or consumed bytes), so that callers can read into any free part of it.
    store: Vec<u8>,
    head: usize,
    len: usize,
    limit: usize,
    retained: usize,
}

impl Ring {
    /// Creates an empty buffer. It allocates as bytes arrive.
    pub fn new(limit: usize) -> Ring {
        Ring { store: Vec::new(), head: 0, len: 0, limit, retained: RETAINED_BYTES }
    }

    /// Sets the size limit and the capacity that the buffer keeps while empty. Bytes held above a lower limit
    /// stay.
    pub fn set_limit(&mut self, limit: usize, retained: usize) {
        (self.limit, self.retained) = (limit, retained);
        self.release_if_empty();
    }

    /// Returns how many bytes can be added.
    pub fn free_space(&self) -> usize {
        self.limit.saturating_sub(self.len)
    }

    /// Returns the number of bytes held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the buffer holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds all of `bytes`. Returns false, and adds nothing, if they do not fit.
    pub fn push(&mut self, mut bytes: &[u8]) -> bool {
        if bytes.len() > self.free_space() {
            return false;
        }
        while !bytes.is_empty() {
            let spare = self.spare(bytes.len());
            let count = spare.len().min(bytes.len());
            spare[..count].copy_from_slice(&bytes[..count]);
            self.commit(count);
            bytes = &bytes[count..];
        }
        true
    }

    /// Returns a contiguous free part of the buffer of up to `max_bytes` bytes, to be written to; it is empty
    /// only if `max_bytes` is 0 or the buffer is full. The caller must call `commit` with the number of bytes
    /// written.
    pub fn spare(&mut self, max_bytes: usize) -> &mut [u8] {
        let max_bytes = max_bytes.min(self.free_space());
        if self.len + max_bytes > self.store.len() {
            self.make_contiguous();
            let size = (self.len + max_bytes).next_power_of_two().min(self.limit.max(self.len + max_bytes));
            self.store.resize(size, 0);
        }
        let size = self.store.len().max(1);
        let tail = (self.head + self.len) % size;
        let end = if tail < self.head { self.head } else { self.store.len() };
        let end = end.min(tail + max_bytes);
        &mut self.store[tail..end]
    }

    /// Adds `count` bytes that were written to the part returned by `spare`.
    pub fn commit(&mut self, count: usize) {
        self.len = (self.len + count).min(self.store.len());
    }

    fn make_contiguous(&mut self) {
        if self.head + self.len > self.store.len() {
            self.store.rotate_left(self.head);
            self.head = 0;
        }
    }

    /// Returns all bytes as one contiguous slice.
    pub fn bytes(&mut self) -> &[u8] {
        self.make_contiguous();
        &self.store[self.head..self.head + self.len]
    }

    /// Returns the bytes up to the point where the buffer wraps around.
    pub fn front(&self) -> &[u8] {
        &self.store[self.head..(self.head + self.len).min(self.store.len())]
    }

    /// Drops the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        self.head = if self.len == 0 { 0 } else { (self.head + count) % self.store.len() };
        self.release_if_empty();
    }

    /// Frees the storage of an empty buffer if it has grown, so that a connection does not keep the memory of
    /// its largest message.
    fn release_if_empty(&mut self) {
        if self.len == 0 && self.store.len() > self.retained {
            self.store = Vec::new();
        }
    }
}

#[cfg(test)]
mod tests;
