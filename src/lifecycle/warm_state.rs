//! What a process leaves to the one that replaces it, as bytes: the list that it holds and what it has learned.
//!
//! ```text
//! 0   8  magic, "micamem\n"
//! 8   2  version, little-endian
//! 10  4  length of the payload
//! 14  4  CRC-32C of the payload
//! 18  …  payload: `WarmStateFile` by postcard
//! ```
//!
//! A file that is torn, too old, of another process or settings, or of a version that this program does not know is
//! not used: the process starts cold.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::routing::WarmState;

const MAGIC: &[u8; 8] = b"micamem\n";
/// The version that is written, and the only one that is read.
pub const VERSION: u16 = 1;
/// Bytes before the payload.
const HEADER_BYTES: usize = 18;
/// Longest file that is read.
pub const MAX_WARM_STATE_BYTES: usize = 8 << 20;
/// Oldest state that is used, in milliseconds: what an older list said may be undone.
const MAX_AGE_MS: f64 = 10_000.0;
/// How far in the future a state may lie, in milliseconds: the clocks of two processes may be a little apart.
const MAX_CLOCK_LEAD_MS: f64 = 1000.0;

/// An endpoint of the list: what a frontend needs to find it, and what the router is told of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredEndpoint {
    /// Its name.
    pub name: String,
    /// Where it is.
    pub address: String,
    /// Its kind.
    pub kind: u16,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u32,
    /// Its size.
    pub size: f64,
    /// When it last started, in microseconds; 0: long ago.
    pub started_at_us: u64,
    /// Whether it finishes what it has, and takes nothing new.
    pub is_draining: bool,
}

/// What a process leaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmStateFile {
    /// The process that left it.
    pub pid: u32,
    /// When it did, in milliseconds since the Unix epoch.
    pub left_at_ms: f64,
    /// Names of classes, kinds and zones, by which what was learned is counted.
    pub names: Vec<String>,
    /// The list.
    pub endpoints: Vec<StoredEndpoint>,
    /// What was learned.
    pub learned: WarmState,
}

/// Why bytes are no state that can be used.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum WarmStateError {
    /// Not of this form.
    #[error("it is no memory of a process")]
    Foreign,
    /// Of a version that this program does not read.
    #[error("it is of version {0}; this program reads {VERSION}")]
    Version(u16),
    /// Cut or damaged.
    #[error("it is damaged")]
    Damaged,
    /// Too old, or from the future.
    #[error("it is {0} ms old")]
    Stale(i64),
    /// Of a process that is not the one replaced, or under other settings.
    #[error("it is of another process or of other settings")]
    Other,
}

impl WarmStateFile {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Into a vector nothing can fail to fit.
        let payload = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = MAGIC.to_vec();
        bytes.extend(VERSION.to_le_bytes());
        bytes.extend((payload.len() as u32).to_le_bytes());
        bytes.extend(crc32c::crc32c(&payload).to_le_bytes());
        bytes.extend(payload);
        bytes
    }

    /// Reads what the process `pid` has left under the same names, at `now_ms`.
    ///
    /// # Errors
    /// Where the bytes are of another form, damaged, too old, or of another process or other settings.
    pub fn decode(
        bytes: &[u8],
        pid: u32,
        names: &[String],
        now_ms: f64,
    ) -> Result<WarmStateFile, WarmStateError> {
        let (head, payload) = bytes.split_at_checked(HEADER_BYTES).ok_or(WarmStateError::Damaged)?;
        if &head[..8] != MAGIC {
            return Err(WarmStateError::Foreign);
        }
        let version = u16::from_le_bytes([head[8], head[9]]);
        if version != VERSION {
            return Err(WarmStateError::Version(version));
        }
        let number = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        if number(10) as usize != payload.len() || number(14) != crc32c::crc32c(payload) {
            return Err(WarmStateError::Damaged);
        }
        let Ok((file, [])) = postcard::take_from_bytes::<WarmStateFile>(payload) else {
            return Err(WarmStateError::Damaged);
        };
        if file.pid != pid || file.names != names {
            return Err(WarmStateError::Other);
        }
        let age_ms = now_ms - file.left_at_ms;
        if !(-MAX_CLOCK_LEAD_MS..=MAX_AGE_MS).contains(&age_ms) {
            return Err(WarmStateError::Stale(age_ms as i64));
        }
        Ok(file)
    }
}

#[cfg(test)]
mod tests;
