//! Frames: what members send one another in a datagram. A frame is `MB`, a version byte, the CRC-32C of what follows
//! (four bytes, little-endian), and by postcard the cluster's name, its generation, the sender, its incarnation and the
//! frame's number, and a body with its length before it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::MemberId;
use super::documents::DocumentHash;
use crate::consensus::LeaderTerm;

const MAGIC: &[u8; 2] = b"MB";
/// The version of the form that is written and read.
const VERSION: u8 = 3;
/// Longest frame, in bytes.
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
    /// It does not read.
    #[error("a frame that does not read")]
    Damaged,
}

/// A decision on its way to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// What it is about.
    pub topic: u8,
    /// Its epoch.
    pub epoch: u64,
    /// What it says.
    pub body: Vec<u8>,
}

/// What a frame carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A packet of SWIM.
    Swim(Vec<u8>),
    /// A message of the consensus.
    Consensus(Vec<u8>),
    /// A member asks a voter for what is newer than the epochs that it knows, by topic.
    DecisionQuery(Vec<(u8, u64)>),
    /// What a voter knows to be decided and the other may not have, and how far that is confirmed.
    DecisionUpdate {
        /// The decisions.
        decisions: Vec<Decision>,
        /// The newest term.
        term: LeaderTerm,
    },
    /// A message of one part to the same part of another member.
    ModuleMessage {
        /// The part's topic.
        topic: u8,
        /// What it says.
        bytes: Vec<u8>,
    },
    /// A piece of a document is asked for.
    ChunkRequest {
        /// The document.
        hash: DocumentHash,
        /// The piece, from 0.
        at: u16,
    },
    /// A piece of a document.
    DocumentChunk {
        /// The document.
        hash: DocumentHash,
        /// The document's length in bytes.
        length: u32,
        /// The piece, from 0.
        at: u16,
        /// Its bytes.
        bytes: Vec<u8>,
    },
}

#[derive(Serialize, Deserialize)]
struct Head<'a> {
    cluster: &'a str,
    generation: u32,
    from: MemberId,
    incarnation: u64,
    number: u64,
    body: &'a [u8],
}

/// A frame that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The sender's place in the operator's file.
    pub from: MemberId,
    /// When the sender's process started, by its clock.
    pub incarnation: u64,
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
        let Frame { from, incarnation, number, .. } = *self;
        let head = Head { cluster, generation, from, incarnation, number, body: &body };
        let head = postcard::to_stdvec(&head).unwrap_or_default();
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        bytes.extend(crc32c::crc32c(&head).to_le_bytes());
        bytes.extend(head);
        bytes
    }

    /// Reads one. Whatever the bytes, it does not panic.
    pub fn decode(bytes: &[u8], cluster: &str, generation: u32) -> Result<Frame, FrameError> {
        if bytes.len() > MAX_FRAME_BYTES {
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
        Ok(Frame { from: head.from, incarnation: head.incarnation, number: head.number, body })
    }
}
