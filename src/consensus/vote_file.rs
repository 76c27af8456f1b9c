//! The form of a voter's file.
//!
//! It owns the bytes; the caller reads the file, writes what a `Batch` has, and cuts a torn end. All numbers are
//! little-endian.
//!
//! ```text
//! header, 18 bytes
//!    0  magic        8  "micabeam"
//!    8  version      2  1
//!   10  generation   4  of the fleet
//!   14  checksum     4  CRC-32C of bytes 0 to 13
//! frames, from byte 18 to the end; each a batch of changes that counts as a whole or not at all
//!    0  length       4  of the body
//!    4  checksum     4  CRC-32C of the length's four bytes
//!    8  checksum     4  CRC-32C of the body
//!   12  body            `Vec<Change>` by postcard
//! ```
//!
//! The length has a checksum of its own, so that a damaged length in the middle is not mistaken for a torn last frame.

use thiserror::Error;

use super::storage::{Change, MemoryStorage, Persisted};
use super::types::Write;

const MAGIC: &[u8; 8] = b"micabeam";
/// The version of the form that is written and read.
const VERSION: u16 = 1;
const VERSION_OFFSET: usize = 8;
const GENERATION_OFFSET: usize = 10;
const HEADER_CHECKSUM_OFFSET: usize = 14;
const HEADER_BYTES: usize = 18;
const LENGTH_CHECKSUM_OFFSET: usize = 4;
const BODY_CHECKSUM_OFFSET: usize = 8;
const FRAME_HEADER_BYTES: usize = 12;
/// Largest file that is read, in bytes: many times what is ever written, so that a wrong path does not fill the memory.
pub const MAX_FILE_BYTES: usize = 4 << 20;
/// Length in bytes from which on a file is written anew rather than appended to: many batches, so that this is rare.
pub(super) const REWRITE_FILE_BYTES: usize = 256 << 10;

/// Why a voter's file does not read.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum FileError {
    /// It is something else.
    #[error("it is not a voter's file")]
    Foreign,
    /// It is of a version that this program does not know.
    #[error("it is of version {0}; this program knows {VERSION}")]
    Version(u16),
    /// It is of another generation of the fleet.
    #[error("it is of generation {0}, not of this one")]
    Generation(u32),
    /// It is damaged before its end: other voters rely on what follows, which must not be thrown away.
    #[error("it is damaged at byte {0}, and not at its end")]
    Damaged(usize),
    /// It is longer than what is read.
    #[error("it has more than {MAX_FILE_BYTES} bytes")]
    Long,
}

/// What a file has.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VoteFileContent {
    /// The voter's state; none where the file has never had a whole batch.
    pub persisted: Option<Persisted>,
    /// Bytes up to the end of the last whole batch: what follows is torn, and to be cut.
    pub valid_bytes: usize,
}

/// Decides whether changes are appended to the file or the file is written anew.
#[derive(Debug)]
pub(super) struct VoteFileWriter {
    generation: u32,
    /// Length of the file in bytes; none before this process has written it.
    file_bytes: Option<usize>,
}

impl VoteFileWriter {
    pub(super) fn new(generation: u32) -> VoteFileWriter {
        VoteFileWriter { generation, file_bytes: None }
    }

    /// The write that brings the file up to date, where `changes` lead to what `storage` has.
    pub(super) fn next_write(&mut self, changes: &[Change], storage: &MemoryStorage) -> Write {
        match self.file_bytes {
            Some(length) if length < REWRITE_FILE_BYTES => {
                if changes.is_empty() {
                    return Write::Nothing;
                }
                let bytes = encode_frame(changes);
                self.file_bytes = Some(length + bytes.len());
                Write::Append(bytes)
            }
            _ => {
                let mut bytes = encode_header(self.generation);
                bytes.extend(encode_frame(&[Change::ReplaceAll(Box::new(storage.persisted()))]));
                self.file_bytes = Some(bytes.len());
                Write::Replace(bytes)
            }
        }
    }
}

/// The header of a file.
pub fn encode_header(generation: u32) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(generation.to_le_bytes());
    bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
    bytes
}

/// A batch of changes as a frame.
pub fn encode_frame(changes: &[Change]) -> Vec<u8> {
    // Encoding into a vector cannot run out of space.
    let body = postcard::to_stdvec(changes).unwrap_or_default();
    let length = (body.len() as u32).to_le_bytes();
    let mut bytes = length.to_vec();
    bytes.extend(crc32c::crc32c(&length).to_le_bytes());
    bytes.extend(crc32c::crc32c(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(offset..offset + 4)?.try_into().ok()?))
}

fn is_zeros(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}

/// Reads a file of a generation. A torn end is no error.
///
/// # Errors
/// Where the file is another one's, of another version or generation, too long, or damaged before its end.
pub fn read(bytes: &[u8], generation: u32) -> Result<VoteFileContent, FileError> {
    if bytes.len() > MAX_FILE_BYTES {
        return Err(FileError::Long);
    }
    if bytes.len() < HEADER_BYTES {
        // The first write of a header may be torn too.
        let is_torn = is_zeros(bytes) || MAGIC.starts_with(&bytes[..bytes.len().min(MAGIC.len())]);
        return if is_torn { Ok(VoteFileContent::default()) } else { Err(FileError::Foreign) };
    }
    check_header(bytes, generation)?;
    let mut content = VoteFileContent { persisted: None, valid_bytes: HEADER_BYTES };
    while content.valid_bytes < bytes.len() {
        match read_frame(&bytes[content.valid_bytes..]) {
            FrameRead::Whole { changes, length } => {
                let persisted = content.persisted.get_or_insert_with(Persisted::default);
                changes.into_iter().for_each(|change| persisted.apply(change));
                content.valid_bytes += length;
            }
            FrameRead::Torn => break,
            FrameRead::Damaged => return Err(FileError::Damaged(content.valid_bytes)),
        }
    }
    Ok(content)
}

/// Checks the header of a file that is long enough for one.
fn check_header(bytes: &[u8], generation: u32) -> Result<(), FileError> {
    let checksum = crc32c::crc32c(&bytes[..HEADER_CHECKSUM_OFFSET]);
    if !bytes.starts_with(MAGIC) || read_u32(bytes, HEADER_CHECKSUM_OFFSET) != Some(checksum) {
        return Err(FileError::Foreign);
    }
    let version = u16::from_le_bytes([bytes[VERSION_OFFSET], bytes[VERSION_OFFSET + 1]]);
    if version != VERSION {
        return Err(FileError::Version(version));
    }
    match read_u32(bytes, GENERATION_OFFSET) {
        Some(found) if found != generation => Err(FileError::Generation(found)),
        _ => Ok(()),
    }
}

enum FrameRead {
    Whole {
        changes: Vec<Change>,
        /// Of the frame, in bytes.
        length: usize,
    },
    /// The end of a write that was not finished, and so not synced: nobody relies on it.
    Torn,
    /// What was synced has changed.
    Damaged,
}

/// Reads the frame that `bytes` begin with; they go on to the file's end.
fn read_frame(bytes: &[u8]) -> FrameRead {
    let (Some(body_length), Some(length_checksum), Some(body_checksum)) =
        (read_u32(bytes, 0), read_u32(bytes, LENGTH_CHECKSUM_OFFSET), read_u32(bytes, BODY_CHECKSUM_OFFSET))
    else {
        return FrameRead::Torn;
    };
    if crc32c::crc32c(&body_length.to_le_bytes()) != length_checksum {
        // Space that was reserved for the file and never written is zeros to its end.
        return if is_zeros(bytes) { FrameRead::Torn } else { FrameRead::Damaged };
    }
    let length = FRAME_HEADER_BYTES + body_length as usize;
    let Some(body) = bytes.get(FRAME_HEADER_BYTES..length) else {
        return FrameRead::Torn;
    };
    let is_intact = crc32c::crc32c(body) == body_checksum;
    let changes = is_intact.then(|| postcard::from_bytes(body).ok()).flatten();
    match changes {
        Some(changes) => FrameRead::Whole { changes, length },
        None if length == bytes.len() => FrameRead::Torn,
        None => FrameRead::Damaged,
    }
}
