//! Frames: what members send one another in a datagram. A frame is `MB`, a version byte, the CRC-32C of what follows
//! (four bytes, little-endian), and by postcard the cluster's name, its generation, the sender, its session and the
//! frame's number, and a body with its length before it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::Member;
use crate::council::Mark;
use crate::zones::Digest;

const MAGIC: &[u8; 2] = b"MB";
/// The version of the form that is written and read.
const VERSION: u8 = 1;
/// Longest frame, in bytes.
pub const LONGEST: usize = 60_000;

/// Why a frame is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// It is longer than any that is sent.
    #[error("a frame of more than {LONGEST} bytes")]
    Long,
    /// It is of another version.
    #[error("a frame of another version")]
    Version,
    /// It is of another cluster, or of another generation of it.
    #[error("a frame of another cluster or generation")]
    Cluster,
    /// It does not read.
    #[error("a frame that does not read")]
    Damaged,
}

/// What a frame carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A packet of SWIM.
    Swim(Vec<u8>),
    /// A message of the council.
    Council(Vec<u8>),
    /// What a dispatcher saw, and the epoch that it knows.
    Digest {
        /// The epoch.
        epoch: u64,
        /// What it saw.
        digest: Digest,
    },
    /// The newest epoch that a voter knows, its table where the other may not have it, and how far it is confirmed.
    News {
        /// The epoch.
        epoch: u64,
        /// Its table, encoded.
        table: Option<Vec<u8>>,
        /// The newest mark.
        mark: Mark,
    },
}

#[derive(Serialize, Deserialize)]
struct Head<'a> {
    cluster: &'a str,
    generation: u32,
    from: Member,
    session: u64,
    number: u64,
    body: &'a [u8],
}

/// A frame that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The sender's place in the operator's file.
    pub from: Member,
    /// When the sender's process started, by its clock.
    pub session: u64,
    /// The frame's number on its way from the one to the other.
    pub number: u64,
    /// What it carries.
    pub body: Body,
}

impl Frame {
    /// Its bytes.
    pub fn encode(&self, cluster: &str, generation: u32) -> Vec<u8> {
        // Into vectors nothing can fail to fit.
        let body = postcard::to_stdvec(&self.body).unwrap_or_default();
        let Frame { from, session, number, .. } = *self;
        let head = Head { cluster, generation, from, session, number, body: &body };
        let head = postcard::to_stdvec(&head).unwrap_or_default();
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        bytes.extend(crc32c::crc32c(&head).to_le_bytes());
        bytes.extend(head);
        bytes
    }

    /// Reads one. Whatever the bytes, it does not panic.
    pub fn decode(bytes: &[u8], cluster: &str, generation: u32) -> Result<Frame, FrameError> {
        if bytes.len() > LONGEST {
            return Err(FrameError::Long);
        }
        let rest = bytes.strip_prefix(MAGIC).ok_or(FrameError::Damaged)?;
        let (version, rest) = rest.split_first().ok_or(FrameError::Damaged)?;
        if *version != VERSION {
            return Err(FrameError::Version);
        }
        let (sum, rest) = rest.split_first_chunk::<4>().ok_or(FrameError::Damaged)?;
        if crc32c::crc32c(rest) != u32::from_le_bytes(*sum) {
            return Err(FrameError::Damaged);
        }
        let Ok((head, [])) = postcard::take_from_bytes::<Head<'_>>(rest) else {
            return Err(FrameError::Damaged);
        };
        if head.cluster != cluster || head.generation != generation {
            return Err(FrameError::Cluster);
        }
        let Ok((body, [])) = postcard::take_from_bytes(head.body) else {
            return Err(FrameError::Damaged);
        };
        Ok(Frame { from: head.from, session: head.session, number: head.number, body })
    }
}
