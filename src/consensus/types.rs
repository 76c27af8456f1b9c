//! What a voter is configured with, what it gives out, and its errors.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A voter's number: its place among the voters of the operator's file, from 1.
pub type VoterId = u64;

/// Longest body of a decision, in bytes: the entries of a log that is not compacted yet fit one frame between members.
/// What is longer travels as a document.
pub const MAX_DECISION_BYTES: usize = 1024;

/// The settings of a voter.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// This voter.
    pub voter_id: VoterId,
    /// How many voters there are: 3, 5 or 7.
    pub voter_count: u64,
    /// The fleet's generation: raised by operators who start anew after a majority's disks were lost.
    pub generation: u32,
    /// Differs at each start: it distinguishes replies to this process from those to an earlier one.
    pub nonce: u64,
}

/// Why a voter cannot be started.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum ConsensusError {
    /// The number of voters is not supported.
    #[error("{0} voters: 3, 5 or 7 are needed")]
    Voters(u64),
    /// The library refuses the settings.
    #[error("the consensus's settings: {0}")]
    Settings(String),
}

/// Why a message was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReceiveError {
    /// The sender is this voter itself, or no voter.
    #[error("a message from {0}, which is not another voter")]
    UnknownSender(VoterId),
    /// The bytes are no message.
    #[error("a message that does not decode")]
    Malformed,
    /// The message names another sender or receiver than the link that it arrived on.
    #[error("a message whose sender or receiver differs from its link")]
    Misaddressed,
    /// The message is of a kind or size that voters of this program do not send.
    #[error("a message of an unexpected kind or size")]
    OutOfBounds,
}

/// A leader and how many of its heartbeat rounds a majority has followed. Of two terms the greater is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaderTerm {
    /// The number of the leader's ballot.
    pub(super) ballot: u32,
    /// The leader; 0 before the first.
    pub(super) leader: VoterId,
    /// How many of its rounds a majority has followed.
    pub(super) round: u64,
}

impl LeaderTerm {
    /// The leader whose rounds are counted; none before the first.
    pub fn leader(&self) -> Option<VoterId> {
        (self.leader > 0).then_some(self.leader)
    }
}

/// What is to be written to the voter's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Nothing.
    Nothing,
    /// These bytes, at the file's end.
    Append(Vec<u8>),
    /// The whole file, by a new one and a rename.
    Replace(Vec<u8>),
}

/// An encoded message for another voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: VoterId,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// The output of a step. Batches are to be carried out in order.
#[derive(Clone, Debug)]
pub struct Batch {
    /// What must be on disk before anything is sent.
    pub write: Write,
    /// Messages to other voters.
    pub messages: Vec<OutgoingMessage>,
}
