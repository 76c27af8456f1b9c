//! Frames: what members send one another, each in a datagram.
//!
//! It owns the form; who may send what is the node's to check. A frame is
//!
//! ```text
//!    0  magic      2  "MB"
//!    2  version    1  3
//!    3  checksum   4  CRC-32C of all that follows, little-endian
//!    7  header        by postcard: cluster (its name), generation, from, incarnation, number,
//!                     and the body with its length before it
//! ```
//!
//! and the body is a `Body` by postcard, so that its variants and fields keep their order.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::documents::{Chunk, DocumentHash};
use super::types::MemberId;
use crate::consensus::LeaderTerm;

const MAGIC: &[u8; 2] = b"MB";
/// The version of the form that is written and read.
const VERSION: u8 = 3;
/// Longest frame, in bytes: it fits a UDP datagram.
pub const MAX_FRAME_BYTES: usize = 60_000;

/// Why a frame is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// It is longer than any that is sent.
    #[error("a frame of more than {MAX_FRAME_BYTES} bytes")]
    Long,
    /// It is of another version.
    #[error("a frame of another version")]
    Version,
    /// It is of another cluster, or of another generation of it.
    #[error("a frame of another cluster or generation")]
    Cluster,
    /// It does not decode, or is not from the member whose address it came from.
    #[error("a frame that does not read")]
    Damaged,
    /// Its sender may not send this body, or the body has more than a frame may.
    #[error("a frame that its sender may not send")]
    Unexpected,
}

/// A decision on its way to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The topic.
    pub topic: u8,
    /// Its epoch.
    pub epoch: u64,
    /// The decision itself; its form is the topic's module's.
    pub body: Vec<u8>,
}

/// The epoch of the newest decision that a member knows of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownEpoch {
    /// The topic.
    pub topic: u8,
    /// The epoch.
    pub epoch: u64,
}

/// What a frame carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A packet of SWIM.
    Swim(Vec<u8>),
    /// A message of the consensus.
    Consensus(Vec<u8>),
    /// A member asks a voter for decisions that are newer than those that it knows.
    DecisionQuery(Vec<KnownEpoch>),
    /// Decisions that the receiver may not know.
    DecisionUpdate {
        /// The decisions.
        decisions: Vec<Decision>,
        /// The newest term that the sender knows.
        term: LeaderTerm,
    },
    /// A message of a control-plane module to the same module of another member.
    ModuleMessage {
        /// The module's topic.
        topic: u8,
        /// The message; its form is the module's.
        bytes: Vec<u8>,
    },
    /// Asks for a chunk of a document.
    ChunkRequest {
        /// The document.
        hash: DocumentHash,
        /// The chunk's place in the document, from 0.
        index: u16,
    },
    /// A chunk of a document.
    DocumentChunk(Chunk),
}

#[derive(Serialize, Deserialize)]
struct Header<'a> {
    cluster: &'a str,
    generation: u32,
    from: MemberId,
    incarnation: u64,
    number: u64,
    body: &'a [u8],
}

/// A frame with what its header says of the sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The sender's place in the operator's file.
    pub from: MemberId,
    /// When the sender's process started, by its clock.
    pub incarnation: u64,
    /// Counts the frames from the sender to the receiver.
    pub number: u64,
    /// What it carries.
    pub body: Body,
}

impl Frame {
    /// The datagram of this frame.
    pub fn encode(&self, cluster: &str, generation: u32) -> Vec<u8> {
        // Encoding into a vector cannot run out of space.
        let body = postcard::to_stdvec(&self.body).unwrap_or_default();
        let Frame { from, incarnation, number, .. } = *self;
        let header = Header { cluster, generation, from, incarnation, number, body: &body };
        let header = postcard::to_stdvec(&header).unwrap_or_default();
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        bytes.extend(crc32c::crc32c(&header).to_le_bytes());
        bytes.extend(header);
        bytes
    }

    /// Reads a datagram as a frame of a cluster and its generation. Whatever the bytes, it does not panic.
    ///
    /// # Errors
    /// Where the datagram is no such frame.
    pub fn decode(bytes: &[u8], cluster: &str, generation: u32) -> Result<Frame, FrameError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::Long);
        }
        let rest = bytes.strip_prefix(MAGIC).ok_or(FrameError::Damaged)?;
        let (version, rest) = rest.split_first().ok_or(FrameError::Damaged)?;
        if *version != VERSION {
            return Err(FrameError::Version);
        }
        let (checksum, rest) = rest.split_first_chunk::<4>().ok_or(FrameError::Damaged)?;
        if crc32c::crc32c(rest) != u32::from_le_bytes(*checksum) {
            return Err(FrameError::Damaged);
        }
        let Ok((header, [])) = postcard::take_from_bytes::<Header<'_>>(rest) else {
            return Err(FrameError::Damaged);
        };
        if header.cluster != cluster || header.generation != generation {
            return Err(FrameError::Cluster);
        }
        let Ok((body, [])) = postcard::take_from_bytes(header.body) else {
            return Err(FrameError::Damaged);
        };
        Ok(Frame { from: header.from, incarnation: header.incarnation, number: header.number, body })
    }
}
