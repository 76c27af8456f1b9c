//! Consensus among a small set of voters: a replicated log of decisions, built on `omnipaxos`. Sans-I/O.
//!
//! This module owns a voter's state machine, its messages, the format of its vote file and the decisions read
//! from the log. The caller owns the clock, the transport and the disk: it calls `tick` every 50 ms (twenty
//! times a second) and `receive` for each message, and carries out each `Batch` in order: first the write and
//! its sync, then the messages. It must report a failed write by calling `fail`.
//!
//! Each decision belongs to a topic and has an epoch: the epoch on which its proposal is based, plus one. A
//! proposal based on an epoch older than the topic's newest one is superseded: every reader of the log
//! ignores it. If two voters lead at the same time and propose on the same epoch, only one of the two
//! proposals takes effect.
//!
//! # States
//!
//! | state | behaviour | exit |
//! | --- | --- | --- |
//! | Recovering | has no vote file; requests the state of all other voters | all have replied: Voting; `omnipaxos` rejects the configuration: Failed |
//! | Voting | takes part in elections and in the log | a write to its file fails: Failed |
//! | Failed | neither votes nor replies | none: the process must be restarted |
//!
//! A voter that starts with an existing vote file begins in Voting.
//!
//! | message | Recovering | Voting | Failed |
//! | --- | --- | --- | --- |
//! | `Paxos` (log and heartbeats) | ignored | validated, then handled by `omnipaxos` | ignored |
//! | `StateRequest` | replied to with an empty state | replied to with this voter's state | ignored |
//! | `StateReply` | collected; the last one completes the recovery | ignored | ignored |
//! | `FollowedRequest` | ignored | replied to if its ballot is the promised one | ignored |
//! | `FollowedReply` | no effect | counted by a new leader | no effect |
//!
//! # Recovery without the file
//!
//! A voter without its vote file does not know which ballots it has promised. It votes again only after every
//! other voter has sent its state: the leader of any ballot in which this voter took part is one of them, and
//! its state holds every entry accepted in that ballot. The first start of a fleet is handled the same way.

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
