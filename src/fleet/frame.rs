//! Frames: the datagrams that members exchange, one frame each.
//!
//! This module encodes and decodes frames. The node checks who may send which frame. A frame is
//!
//! ```text
//!    0  magic      2  "MB"
//!    2  version    1  3
//!    3  checksum   4  CRC-32C of everything after it, little-endian
//!    7  header        `postcard`: cluster name, generation, from, incarnation, number,
//!                     and the body prefixed with its length
//! ```
//!
//! and the body is a `Body` encoded with `postcard`, so the order of its variants and fields is part of the
//! wire format.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::documents::{Chunk, DocumentHash};
use super::types::MemberId;
use crate::consensus::LeaderTerm;

const MAGIC: &[u8; 2] = b"MB";
/// The frame format version that is written and read.
const VERSION: u8 = 3;
/// Maximum frame size, in bytes. It fits in a UDP datagram.
pub const MAX_FRAME_BYTES: usize = 60_000;

/// The reason a frame is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The frame is longer than any frame that is sent.
    #[error("frame larger than {MAX_FRAME_BYTES} bytes")]
    TooLong,
    /// The frame has another format version.
    #[error("frame with an unsupported version")]
    Version,
    /// The frame belongs to another cluster, or to another generation of it.
    #[error("frame of another cluster or generation")]
    Cluster,
    /// The frame does not decode, does not come from the member that owns its source address, or carries a
    /// SWIM packet or consensus message that is rejected.
    #[error("malformed frame, frame from the wrong sender, or rejected content")]
    Invalid,
    /// The sender may not send this kind of body, or the body has more topics than allowed.
    #[error("frame with a body that its sender may not send")]
    Unexpected,
}

/// A decision sent to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The topic.
    pub topic: u8,
    /// The epoch.
    pub epoch: u64,
    /// The encoded decision, in the format of the topic's module.
    pub body: Vec<u8>,
}

/// The epoch of the newest decision of a topic that a member knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownEpoch {
    /// The topic.
    pub topic: u8,
    /// The epoch.
    pub epoch: u64,
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A SWIM packet.
    Swim(Vec<u8>),
    /// A message between voters, as encoded by `crate::consensus`.
    Consensus(Vec<u8>),
    /// Asks a voter for decisions newer than those that the sender knows.
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
        /// The encoded message, in the format of the module.
        bytes: Vec<u8>,
    },
    /// Requests a chunk of a document.
    ChunkRequest {
        /// The hash of the document.
        hash: DocumentHash,
        /// The index of the chunk, from 0.
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

/// A decoded frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The sender.
    pub from: MemberId,
    /// Start time of the sender's process, by its clock.
    pub incarnation: u64,
    /// Sequence number of the frame among those from the sender to the receiver.
    pub number: u64,
    /// The content.
    pub body: Body,
}

impl Frame {
    /// Encodes this frame as a datagram.
    pub fn encode(&self, cluster: &str, generation: u32) -> Vec<u8> {
        // Encoding into a growable vector cannot run out of space.
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

    /// Decodes a datagram as a frame of a cluster and generation. It never panics, whatever the bytes.
    ///
    /// # Errors
    /// If the datagram is not such a frame.
    pub fn decode(bytes: &[u8], cluster: &str, generation: u32) -> Result<Frame, FrameError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong);
        }
        let rest = bytes.strip_prefix(MAGIC).ok_or(FrameError::Invalid)?;
        let (version, rest) = rest.split_first().ok_or(FrameError::Invalid)?;
        if *version != VERSION {
            return Err(FrameError::Version);
        }
        let (checksum, rest) = rest.split_first_chunk::<4>().ok_or(FrameError::Invalid)?;
        if crc32c::crc32c(rest) != u32::from_le_bytes(*checksum) {
            return Err(FrameError::Invalid);
        }
        let Ok((header, [])) = postcard::take_from_bytes::<Header<'_>>(rest) else {
            return Err(FrameError::Invalid);
        };
        if header.cluster != cluster || header.generation != generation {
            return Err(FrameError::Cluster);
        }
        let Ok((body, [])) = postcard::take_from_bytes(header.body) else {
            return Err(FrameError::Invalid);
        };
        Ok(Frame { from: header.from, incarnation: header.incarnation, number: header.number, body })
    }
}
