//! Consensus among a few voters: a replicated log of decisions by `omnipaxos`, free of I/O.
//!
//! It owns a voter's state machine, its messages, the form of its file and the decisions that the log comes to. It leaves
//! to the caller the clock, the transport and the disk: the caller calls `tick` twenty times a second and `receive` for
//! each message, and carries out each `Batch` in order: the write and its sync first, then the messages. A write that
//! fails must be reported by `fail`.
//!
//! Decisions are by topic, and each has an epoch, one more than the epoch that its proposer knew. A proposal that builds
//! on an older epoch is superseded wherever the log is read, so that of two leaders at a time only one has an effect.
//!
//! # States
//!
//! | state | what it does | left when |
//! | --- | --- | --- |
//! | Recovering | has no file, asks all other voters for their state | all have replied: Voting; the library refuses the settings: Failed |
//! | Voting | takes part in elections and in the log | its disk fails: Failed |
//! | Failed | neither votes nor replies | never: the process must start again |
//!
//! A voter that starts with its file begins in Voting.
//!
//! | message | Recovering | Voting | Failed |
//! | --- | --- | --- | --- |
//! | `Paxos` (log and heartbeats) | ignored | checked, then handled by the library | ignored |
//! | `StateRequest` | replied to with an empty state | replied to with this voter's state | ignored |
//! | `StateReply` | collected; the last one starts the voting | ignored | ignored |
//! | `FollowedRequest` | ignored | replied to once the ballot is promised | ignored |
//! | `FollowedReply` | no effect | counted by a new leader | no effect |
//!
//! # Recovery without the file
//!
//! A voter without its file does not know what it promised. It votes again only when every other voter has sent its
//! state: whoever led a round that this voter was part of is among them, and has what was accepted in it. The first start
//! of a fleet is the same case.

mod heartbeat;
mod library;
mod message;
mod message_checks;
mod recovery;
mod storage;
#[cfg(test)]
mod tests;
mod types;
pub mod vote_file;
mod voter;
#[cfg(test)]
mod wire_tests;

pub use message::is_heartbeat;
pub use storage::{Change, DecisionRef, Decisions, Persisted, Proposal};
pub use types::{
    Batch, ConsensusConfig, ConsensusError, LeaderTerm, MAX_DECISION_BYTES, OutgoingMessage, ReceiveError,
    VoterId, Write,
};
pub use voter::Consensus;
