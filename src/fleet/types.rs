//! Configuration, output and counters of a node.

use super::documents::DocumentHash;
use crate::consensus::Write;

/// Identifies a member: its 0-based position among the members of the operator's file.
pub type MemberId = u16;

/// Configuration of a member in the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    /// The member's zone.
    pub zone: usize,
    /// Whether the member is a voter.
    pub is_voter: bool,
}

/// Configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The cluster's name.
    pub cluster: String,
    /// The fleet's generation.
    pub generation: u32,
    /// All members, in the order of the operator's file.
    pub members: Vec<MemberConfig>,
    /// The ID of this member.
    pub member_id: MemberId,
    /// Start time of this process, in milliseconds of its clock. It distinguishes this process from an
    /// earlier one of the same member.
    pub incarnation: u64,
    /// Seed of the node's random number generator.
    pub seed: u64,
}

/// An action that the caller carries out for a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram to a member.
    Send {
        /// The receiving member.
        to: MemberId,
        /// The encoded frame.
        bytes: Vec<u8>,
    },
    /// Write to the voter's vote file and sync it. The caller carries out writes in order and reports each by
    /// `FleetNode::on_written`.
    Write(Write),
}

/// An event for a control-plane module.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// A message from the same module of another member.
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
    /// A topic has a newer decision, available from `FleetNode::newest_decision`.
    Decided {
        /// The topic.
        topic: u8,
    },
    /// A requested document has arrived.
    Document(DocumentHash),
}

/// Counters of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounters {
    /// Frames accepted.
    pub frames: u64,
    /// Frames rejected: they belong to another cluster, are corrupt or too long, or their sender may not send
    /// them.
    pub dropped: u64,
    /// Frames ignored because they were late or repeated.
    pub stale: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Decisions learned.
    pub decisions: u64,
    /// Decisions proposed by this node.
    pub proposed: u64,
}
