//! The form of a voter's file: a head (`micabeam`, a version of two bytes, the generation of four, and their CRC-32C),
//! then frames, each a batch of changes that counts whole or not at all. A frame is the length of its body, the
//! CRC-32C of that length, the CRC-32C of the body (four bytes each, little-endian), and the body by postcard.

use thiserror::Error;

use super::store::{Change, Persisted};

const MAGIC: &[u8; 8] = b"micabeam";
/// The version of the form that is written and read.
const VERSION: u16 = 1;
const HEAD: usize = 18;
const FRAME: usize = 12;
/// Largest file that is read, in bytes.
pub const MAX_FILE_BYTES: usize = 4 << 20;

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
    /// It is damaged before its end: what follows was answered for, and is not thrown away.
    #[error("it is damaged at byte {0}, and not at its end")]
    Damaged(usize),
    /// It is longer than what is read.
    #[error("it has more than {MAX_FILE_BYTES} bytes")]
    Long,
}

/// The head of a file.
pub fn head(generation: u32) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(generation.to_le_bytes());
    bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
    bytes
}

/// A batch of changes as a frame.
pub fn frame(changes: &[Change]) -> Vec<u8> {
    // Into a vector nothing can fail to fit.
    let body = postcard::to_stdvec(changes).unwrap_or_default();
    let length = (body.len() as u32).to_le_bytes();
    let mut bytes = length.to_vec();
    bytes.extend(crc32c::crc32c(&length).to_le_bytes());
    bytes.extend(crc32c::crc32c(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Four bytes at a place, as a number.
fn word(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// What a file says, and how many bytes of it hold: a torn end is to be cut. `None` where it has never held a batch.
pub fn read(bytes: &[u8], generation: u32) -> Result<(Option<Persisted>, usize), FileError> {
    if bytes.len() > MAX_FILE_BYTES {
        return Err(FileError::Long);
    }
    if bytes.len() < HEAD {
        // The first write of a head may be torn too.
        let torn = bytes.iter().all(|b| *b == 0) || MAGIC.starts_with(&bytes[..bytes.len().min(8)]);
        return if torn { Ok((None, 0)) } else { Err(FileError::Foreign) };
    }
    if !bytes.starts_with(MAGIC) || word(bytes, 14) != Some(crc32c::crc32c(&bytes[..14])) {
        return Err(FileError::Foreign);
    }
    match u16::from_le_bytes([bytes[8], bytes[9]]) {
        VERSION => {}
        version => return Err(FileError::Version(version)),
    }
    match word(bytes, 10) {
        Some(found) if found != generation => return Err(FileError::Generation(found)),
        _ => {}
    }
    let (mut kept, mut at) = (None, HEAD);
    while at < bytes.len() {
        let rest = &bytes[at..];
        let (Some(length), Some(check), Some(sum)) = (word(rest, 0), word(rest, 4), word(rest, 8)) else {
            break;
        };
        if crc32c::crc32c(&length.to_le_bytes()) != check {
            // Room that was given to the file and never written is zeros to its end.
            if rest.iter().all(|b| *b == 0) {
                break;
            }
            return Err(FileError::Damaged(at));
        }
        let end = FRAME + length as usize;
        let Some(body) = rest.get(FRAME..end) else {
            break;
        };
        let changes: Option<Vec<Change>> =
            (crc32c::crc32c(body) == sum).then(|| postcard::from_bytes(body).ok()).flatten();
        let Some(changes) = changes else {
            if end == rest.len() {
                break;
            }
            return Err(FileError::Damaged(at));
        };
        let kept = kept.get_or_insert_with(Persisted::default);
        changes.into_iter().for_each(|change| kept.apply(change));
        at += end;
    }
    Ok((kept, at))
}
