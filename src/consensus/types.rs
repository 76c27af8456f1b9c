//! Configuration, output and errors of a voter.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Identifies a voter: its 1-based position among the voters of the operator's file.
pub type VoterId = u64;

/// Maximum length of a decision's body, in bytes. The log entries that are not compacted yet must fit in one
/// frame between members; longer content is transferred as a document.
pub const MAX_DECISION_BYTES: usize = 1024;

/// Configuration of a voter.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// The ID of this voter.
    pub voter_id: VoterId,
    /// The number of voters: 3, 5 or 7.
    pub voter_count: u64,
    /// The fleet's generation. Operators raise it to start over after a majority of the voters has lost its
    /// disks.
    pub generation: u32,
    /// A number that differs between starts. It distinguishes replies to this process from replies to an
    /// earlier one.
    pub nonce: u64,
}

/// The reason a voter cannot be started.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum ConsensusError {
    /// The number of voters is not supported.
    #[error("{0} voters configured; 3, 5 or 7 are required")]
    Voters(u64),
    /// `omnipaxos` rejects the configuration.
    #[error("invalid consensus configuration: {0}")]
    Settings(String),
}

/// The reason a received message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReceiveError {
    /// The sender is this voter itself or not a voter.
    #[error("message from {0}, which is not another voter")]
    UnknownSender(VoterId),
    /// The bytes do not decode to a message.
    #[error("malformed message")]
    Malformed,
    /// The sender or receiver in the message differs from the link on which it arrived.
    #[error("sender or receiver of the message differs from its link")]
    Misaddressed,
    /// The kind or size of the message is one that voters never send.
    #[error("unexpected kind or size of message")]
    OutOfBounds,
}

/// A leader together with the number of its heartbeat rounds that a majority has followed. The greater of two
/// terms is the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaderTerm {
    /// The number of the leader's ballot.
    pub(super) ballot: u32,
    /// The leader's voter ID; 0 before the first leader.
    pub(super) leader: VoterId,
    /// The number of the leader's rounds that a majority has followed.
    pub(super) round: u64,
}

impl LeaderTerm {
    /// Returns the leader of this term, or `None` before the first leader.
    pub fn leader(&self) -> Option<VoterId> {
        (self.leader > 0).then_some(self.leader)
    }
}

/// A write to a voter's vote file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// No write.
    Nothing,
    /// Append these bytes to the file.
    Append(Vec<u8>),
    /// Replace the whole file: write a new one and rename it over the old one.
    Replace(Vec<u8>),
}

/// An encoded message to another voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiving voter.
    pub to: VoterId,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// The output of a voter's step. The caller carries out batches in order.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The write that must be synced before any message is sent.
    pub write: Write,
    /// The messages to other voters.
    pub messages: Vec<OutgoingMessage>,
}
