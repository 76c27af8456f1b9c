//! What a node is configured with, what it gives out, and what it counts.

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

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The cluster's name.
    pub cluster: String,
    /// The fleet's generation.
    pub generation: u32,
    /// All members.
    pub members: Vec<MemberConfig>,
    /// This one.
    pub member_id: MemberId,
    /// When this process started, in milliseconds of its clock: it distinguishes this process from an earlier one.
    pub incarnation: u64,
    /// For random numbers.
    pub seed: u64,
}

/// What the caller is to do for a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram to a member.
    Send {
        /// The member.
        to: MemberId,
        /// The encoded frame.
        bytes: Vec<u8>,
    },
    /// Write and sync to the voter's file, in order, and report each by `FleetNode::on_written`.
    Write(Write),
}

/// An event for a control-plane module.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// A message of the same module of another member.
    Message {
        /// The module's topic.
        topic: u8,
        /// The sender.
        from: MemberId,
        /// The sender's incarnation.
        incarnation: u64,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A topic has a newer decision: `FleetNode::newest_decision` has it.
    Decided {
        /// The topic.
        topic: u8,
    },
    /// A document that was requested is here.
    Document(DocumentHash),
}

/// What a node has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounters {
    /// Frames that were taken.
    pub frames: u64,
    /// Frames that were dropped: of another cluster, damaged, too long, or from nobody.
    pub dropped: u64,
    /// Frames that were late or repeated.
    pub stale: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Decisions learned.
    pub decisions: u64,
    /// Decisions proposed here.
    pub proposed: u64,
}
