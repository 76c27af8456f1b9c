//! What a node is, what it gives out, and what it counts.

use super::documents::DocumentHash;
use crate::consensus::Write;

/// A dispatcher's place among the members of the operator's file, from 0.
pub type MemberId = u16;

/// What the operator's file says of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    /// Its zone.
    pub zone: usize,
    /// Whether it is a voter.
    pub is_voter: bool,
}

/// What a node is.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The cluster's name.
    pub cluster: String,
    /// The fleet's generation.
    pub generation: u32,
    /// All members.
    pub members: Vec<MemberConfig>,
    /// This one.
    pub own: MemberId,
    /// When this process started, in milliseconds of its clock: it tells it from an earlier one.
    pub incarnation: u64,
    /// For random numbers.
    pub seed: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram to a member.
    Send {
        /// The member.
        to: MemberId,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// Write and sync, in order, and tell by `written`.
    Write(Write),
}

/// What parts are to be told.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// A message of the same part of another member.
    Message {
        /// The part.
        topic: u8,
        /// Who sent it.
        from: MemberId,
        /// The process that sent it, by its start.
        incarnation: u64,
        /// What it says.
        bytes: Vec<u8>,
    },
    /// A decision was read that is newer than any before: `newest` has it.
    Decided {
        /// What it is about.
        topic: u8,
    },
    /// A document that was wanted is here.
    Document(DocumentHash),
}

/// What a node has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounters {
    /// Frames that were taken.
    pub frames: u64,
    /// Frames that were dropped: of another cluster, damaged, too long, or from nobody.
    pub dropped: u64,
    /// Frames that came late or twice.
    pub stale: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Decisions read.
    pub decisions: u64,
    /// Decisions proposed here.
    pub proposed: u64,
}
