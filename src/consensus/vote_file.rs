//! File format of a voter's vote file.
//!
//! This module encodes and decodes the bytes. The caller reads the file and carries out the write of each
//! `Batch`. An incomplete last frame is ignored, and the first write of a process replaces the whole file.
//! All numbers are little-endian.
//!
//! ```text
//! header, 18 bytes
//!    0  magic        8  "micabeam"
//!    8  version      2  1
//!   10  generation   4  of the fleet
//!   14  checksum     4  CRC-32C of bytes 0 to 13
//! frames, from byte 18 to the end; each is a batch of changes that is applied as a whole or not at all
//!    0  length       4  of the body
//!    4  checksum     4  CRC-32C of the length's four bytes
//!    8  checksum     4  CRC-32C of the body
//!   12  body            `Vec<Change>` encoded with `postcard`
//! ```
//!
//! The length has its own checksum, so that a corrupt length in the middle of the file is not mistaken for an
//! incomplete last frame.

use thiserror::Error;

use super::storage::{Change, MemoryStorage, Persisted};
use super::types::Write;

const MAGIC: &[u8; 8] = b"micabeam";
/// The file format version that is written and read.
const VERSION: u16 = 1;
const VERSION_OFFSET: usize = 8;
const GENERATION_OFFSET: usize = 10;
const HEADER_CHECKSUM_OFFSET: usize = 14;
const HEADER_BYTES: usize = 18;
const LENGTH_CHECKSUM_OFFSET: usize = 4;
const BODY_CHECKSUM_OFFSET: usize = 8;
const FRAME_HEADER_BYTES: usize = 12;
/// Maximum size of a file that is read, in bytes. It is many times what is ever written, and keeps a wrong
/// path from exhausting memory.
pub const MAX_FILE_BYTES: usize = 4 << 20;
/// File size in bytes from which on the next write replaces the file instead of appending to it. It holds
/// many batches, so that replacing is rare.
pub(super) const REWRITE_FILE_BYTES: usize = 256 << 10;

/// The reason a vote file cannot be read.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum FileError {
    /// The file is not a vote file, or its header is corrupt.
    #[error("not a vote file, or its header is corrupt")]
    NotVoteFile,
    /// The file has a version that this program does not support.
    #[error("the file has format version {0}; this program supports version {VERSION}")]
    Version(u16),
    /// The file belongs to another generation of the fleet.
    #[error("the file belongs to generation {0} of the fleet, not to the configured one")]
    Generation(u32),
    /// The file is corrupt in a way that an incomplete last write does not explain. Data from there on must
    /// not be discarded, since other voters rely on it.
    #[error("corrupt frame at byte {0} (not an incomplete last write)")]
    Damaged(usize),
    /// The file exceeds the maximum size.
    #[error("the file is larger than {MAX_FILE_BYTES} bytes")]
    TooLong,
}

/// The content of a vote file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VoteFileContent {
    /// The voter's state; `None` if the file has no complete frame.
    pub persisted: Option<Persisted>,
    /// Length in bytes up to the end of the last complete frame. The rest is an incomplete write, which is
    /// ignored.
    pub valid_bytes: usize,
}

/// Decides whether to append changes to the file or to replace it.
#[derive(Debug)]
pub(super) struct VoteFileWriter {
    generation: u32,
    /// Size of the file in bytes; `None` until this process has written it.
    file_bytes: Option<usize>,
}

impl VoteFileWriter {
    pub(super) fn new(generation: u32) -> VoteFileWriter {
        VoteFileWriter { generation, file_bytes: None }
    }

    /// Returns the write that brings the file up to date. `changes` are the changes since the last write,
    /// which led to the state in `storage`.
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

/// Encodes the header of a vote file.
pub fn encode_header(generation: u32) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(generation.to_le_bytes());
    bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
    bytes
}

/// Encodes a batch of changes as a frame.
pub fn encode_frame(changes: &[Change]) -> Vec<u8> {
    // Encoding into a growable vector cannot run out of space.
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

fn is_all_zeros(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}

/// Decodes a vote file of the given generation. An incomplete last frame is not an error.
///
/// # Errors
/// If the file is not a vote file, has another version or generation, is too long, or is corrupt other than
/// by an incomplete last write.
pub fn read(bytes: &[u8], generation: u32) -> Result<VoteFileContent, FileError> {
    if bytes.len() > MAX_FILE_BYTES {
        return Err(FileError::TooLong);
    }
    if bytes.len() < HEADER_BYTES {
        // The first write of a header may be incomplete too.
        let is_torn = is_all_zeros(bytes) || MAGIC.starts_with(&bytes[..bytes.len().min(MAGIC.len())]);
        return if is_torn { Ok(VoteFileContent::default()) } else { Err(FileError::NotVoteFile) };
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

/// Checks the header of a file that has at least `HEADER_BYTES` bytes.
fn check_header(bytes: &[u8], generation: u32) -> Result<(), FileError> {
    let checksum = crc32c::crc32c(&bytes[..HEADER_CHECKSUM_OFFSET]);
    if !bytes.starts_with(MAGIC) || read_u32(bytes, HEADER_CHECKSUM_OFFSET) != Some(checksum) {
        return Err(FileError::NotVoteFile);
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
        /// Length of the frame in bytes.
        length: usize,
    },
    /// An incomplete write at the end of the file. It was never synced, so nobody relies on it.
    Torn,
    /// Data that had been synced is corrupt.
    Damaged,
}

/// Decodes the frame at the start of `bytes`, which extend to the end of the file.
fn read_frame(bytes: &[u8]) -> FrameRead {
    let (Some(body_length), Some(length_checksum), Some(body_checksum)) =
        (read_u32(bytes, 0), read_u32(bytes, LENGTH_CHECKSUM_OFFSET), read_u32(bytes, BODY_CHECKSUM_OFFSET))
    else {
        return FrameRead::Torn;
    };
    if crc32c::crc32c(&body_length.to_le_bytes()) != length_checksum {
        // Preallocated space that was never written consists of zeros up to the end of the file.
        return if is_all_zeros(bytes) { FrameRead::Torn } else { FrameRead::Damaged };
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
