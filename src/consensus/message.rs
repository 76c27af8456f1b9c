//! The messages between voters. On the wire they are `postcard`, so that variants and fields keep their order.

use omnipaxos::messages::Message as PaxosMessage;
use serde::{Deserialize, Serialize};

use super::heartbeat::LeaderBallot;
use super::storage::{Persisted, Proposal};
use super::types::ReceiveError;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// A message of the library: the log's or the leader election's.
    Paxos(Box<PaxosMessage<Proposal>>),
    /// A voter without its file asks another one for its state.
    StateRequest {
        /// Of the process that asks.
        nonce: u64,
    },
    /// The state of a voter.
    StateReply {
        /// Of the process that asked.
        nonce: u64,
        state: Box<Persisted>,
    },
    /// A new leader asks a voter that has promised to follow it when that voter last named another leader.
    FollowedRequest { ballot: LeaderBallot },
    /// The time since then, in milliseconds.
    FollowedReply { ballot: LeaderBallot, ago_ms: u32 },
}

impl Message {
    pub(super) fn encode(&self) -> Vec<u8> {
        // Encoding into a vector cannot run out of space.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a message that takes up all of `bytes`.
    pub(super) fn decode(bytes: &[u8]) -> Result<Message, ReceiveError> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Ok(message),
            _ => Err(ReceiveError::Malformed),
        }
    }
}

/// Whether an encoded message is a heartbeat. Heartbeats carry the number of their round, so that one which another
/// message has overtaken is still valid.
pub fn is_heartbeat(bytes: &[u8]) -> bool {
    match Message::decode(bytes) {
        Ok(Message::Paxos(message)) => matches!(*message, PaxosMessage::BLE(_)),
        _ => false,
    }
}
