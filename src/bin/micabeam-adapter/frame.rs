//! Reading and writing of frames and their fields: big-endian, without padding.

use std::io::{ErrorKind, Read};

/// Reads the next frame into `batch` and returns its clock, or `None` if the input ends between frames.
pub fn read_batch(input: &mut impl Read, batch: &mut Vec<u8>) -> Result<Option<u64>, String> {
    let mut header = [0u8; 12];
    let mut filled = 0;
    while filled < header.len() {
        match input.read(&mut header[filled..]) {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) => return Err(format!("input ends after {filled} of {} header bytes", header.len())),
            Ok(n) => filled += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("cannot read the header: {e}")),
        }
    }
    let mut fields = Reader::new(&header);
    let length = fields.u32()?;
    let now = fields.u64()?;
    batch.clear();
    // `take` grows the buffer as bytes arrive, so a wrong length allocates no more than what is sent.
    let read =
        input.take(length.into()).read_to_end(batch).map_err(|e| format!("cannot read the body: {e}"))?;
    if read < length as usize {
        return Err(format!("input ends after {read} of {length} body bytes"));
    }
    Ok(Some(now))
}

/// Reads the fields of a record in order.
pub struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes, at: 0 }
    }

    pub fn is_empty(&self) -> bool {
        self.at == self.bytes.len()
    }

    pub fn position(&self) -> usize {
        self.at
    }

    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], String> {
        let left = self.bytes.len() - self.at;
        if count > left {
            return Err(format!("byte {}: {count} bytes wanted, {left} left", self.at));
        }
        self.at += count;
        Ok(&self.bytes[self.at - count..self.at])
    }

    /// Returns a reader for the fields of a record, which follow their size as a u32.
    pub fn length_prefixed(&mut self) -> Result<Reader<'a>, String> {
        let count = self.u32()? as usize;
        Ok(Reader::new(self.bytes(count)?))
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    pub fn u8(&mut self) -> Result<u8, String> {
        self.array().map(u8::from_be_bytes)
    }

    pub fn u16(&mut self) -> Result<u16, String> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, String> {
        self.array().map(u32::from_be_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, String> {
        self.array().map(u64::from_be_bytes)
    }

    pub fn f32(&mut self) -> Result<f64, String> {
        self.array().map(f32::from_be_bytes).map(f64::from)
    }
}

/// Builds a reply frame, which starts with its size.
pub struct Writer(Vec<u8>);

impl Default for Writer {
    fn default() -> Self {
        Writer(vec![0; 4])
    }
}

impl Writer {
    pub fn clear(&mut self) {
        self.0.truncate(4);
    }

    /// Fills in the size and returns the whole frame.
    pub fn finish(&mut self) -> &[u8] {
        let size = (self.0.len() - 4) as u32;
        self.0[..4].copy_from_slice(&size.to_be_bytes());
        &self.0
    }

    /// Writes a record: its code, the size of its fields, and the fields.
    pub fn record(&mut self, code: u8, fields: impl FnOnce(&mut Writer) -> &mut Writer) {
        self.0.push(code);
        let at = self.0.len();
        self.0.extend([0; 4]);
        fields(self);
        let size = (self.0.len() - at - 4) as u32;
        self.0[at..at + 4].copy_from_slice(&size.to_be_bytes());
    }

    pub fn raw(&mut self, bytes: &[u8]) -> &mut Writer {
        self.0.extend_from_slice(bytes);
        self
    }

    pub fn u8(&mut self, value: u8) -> &mut Writer {
        self.raw(&[value])
    }

    pub fn u16(&mut self, value: u16) -> &mut Writer {
        self.raw(&value.to_be_bytes())
    }

    pub fn u32(&mut self, value: u32) -> &mut Writer {
        self.raw(&value.to_be_bytes())
    }

    pub fn u64(&mut self, value: u64) -> &mut Writer {
        self.raw(&value.to_be_bytes())
    }

    /// Writes a worker's address and port.
    pub fn worker(&mut self, id: u64) -> &mut Writer {
        self.raw(&id.to_be_bytes()[2..])
    }
}
