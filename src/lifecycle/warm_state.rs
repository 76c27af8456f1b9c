//! The warm state that a process leaves to its successor, encoded as bytes: the endpoint list and the learned
//! state.
//!
//! ```text
//! 0   8  magic, "micamem\n"
//! 8   2  version, little-endian
//! 10  4  length of the payload
//! 14  4  CRC-32C of the payload
//! 18  …  payload: `WarmStateFile` by postcard
//! ```
//!
//! A file that is truncated, too old, from another process, written under other settings or of an unknown
//! version is ignored: the process then starts cold.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::routing::WarmState;

const MAGIC: &[u8; 8] = b"micamem\n";
/// Version of the format that is written, and the only one that is read.
pub const VERSION: u16 = 1;
/// Size of the header before the payload.
const HEADER_BYTES: usize = 18;
/// Largest file that is read, in bytes.
pub const MAX_WARM_STATE_BYTES: usize = 8 << 20;
/// Largest age of a state that is used, in milliseconds. Entries of an older list may have changed since.
const MAX_AGE_MS: f64 = 10_000.0;
/// How far in the future a state may lie, in milliseconds: the clocks of the two processes may differ
/// slightly.
const MAX_CLOCK_LEAD_MS: f64 = 1000.0;

/// An endpoint of the list, with the address for the frontend and the properties for the router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredEndpoint {
    /// Name.
    pub name: String,
    /// Address.
    pub address: String,
    /// Kind, by index in the settings.
    pub kind: u16,
    /// Zone, by index in the settings.
    pub zone: u16,
    /// Cell.
    pub cell: u32,
    /// Size.
    pub size: f64,
    /// Time at which it last started, in microseconds; 0 for long ago.
    pub started_at_us: u64,
    /// Whether it finishes its jobs and accepts no new ones.
    pub is_draining: bool,
}

/// Contents of a warm-state file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmStateFile {
    /// Id of the process that wrote the state.
    pub pid: u32,
    /// Time at which it was written, in milliseconds since the Unix epoch.
    pub left_at_ms: f64,
    /// Names of classes, kinds and zones. The learned state refers to them by index.
    pub names: Vec<String>,
    /// The endpoint list.
    pub endpoints: Vec<StoredEndpoint>,
    /// The learned state of the router.
    pub learned: WarmState,
}

/// Reason why bytes are not a usable warm state.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum WarmStateError {
    /// The magic bytes are missing.
    #[error("not a warm-state file")]
    UnknownFormat,
    /// The version of the format is not supported.
    #[error("unsupported warm-state version {0}; this program reads version {VERSION}")]
    Version(u16),
    /// The file is truncated or corrupt.
    #[error("the warm-state file is truncated or corrupt")]
    Damaged,
    /// The state is too old, or too far in the future.
    #[error("the warm state is {0} ms old, which is outside the accepted range")]
    Stale(i64),
    /// The state is from a process other than the one replaced, or was written under other settings.
    #[error("the warm state is from another process or was written under other settings")]
    ProcessOrSettingsMismatch,
}

impl WarmStateFile {
    /// Encodes the state as bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing these types into a vector cannot fail.
        let payload = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = MAGIC.to_vec();
        bytes.extend(VERSION.to_le_bytes());
        bytes.extend((payload.len() as u32).to_le_bytes());
        bytes.extend(crc32c::crc32c(&payload).to_le_bytes());
        bytes.extend(payload);
        bytes
    }

    /// Decodes the state that the process `pid` has left under the same names, at `now_ms`.
    ///
    /// # Errors
    /// Returns an error if the bytes are in another format, corrupt, too old, or from another process or
    /// other settings.
    pub fn decode(
        bytes: &[u8],
        pid: u32,
        names: &[String],
        now_ms: f64,
    ) -> Result<WarmStateFile, WarmStateError> {
        let (head, payload) = bytes.split_at_checked(HEADER_BYTES).ok_or(WarmStateError::Damaged)?;
        if &head[..8] != MAGIC {
            return Err(WarmStateError::UnknownFormat);
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
            return Err(WarmStateError::ProcessOrSettingsMismatch);
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
