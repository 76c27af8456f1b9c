//! Messages between voters. They are encoded with `postcard`, so the order of variants and fields is part of
//! the wire format.

use omnipaxos::messages::Message as PaxosMessage;
use serde::{Deserialize, Serialize};

use super::heartbeat::LeaderBallot;
use super::storage::{Persisted, Proposal};
use super::types::ReceiveError;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// A message of `omnipaxos`: replication or leader election.
    Paxos(Box<PaxosMessage<Proposal>>),
    /// Sent by a voter without its vote file to request another voter's state.
    StateRequest {
        /// Identifies the requesting process.
        nonce: u64,
    },
    /// Reply to `StateRequest` with the sender's state.
    StateReply {
        /// Nonce of the request, which identifies the requesting process.
        nonce: u64,
        state: Box<Persisted>,
    },
    /// Sent by a new leader to ask a voter that has promised its ballot when that voter last named another
    /// leader.
    FollowedRequest { ballot: LeaderBallot },
    /// Reply to `FollowedRequest` with the time since then, in milliseconds.
    FollowedReply { ballot: LeaderBallot, ago_ms: u32 },
}

impl Message {
    pub(super) fn encode(&self) -> Vec<u8> {
        // Encoding into a growable vector cannot run out of space.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message; trailing bytes are an error.
    pub(super) fn decode(bytes: &[u8]) -> Result<Message, ReceiveError> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Ok(message),
            _ => Err(ReceiveError::Malformed),
        }
    }
}

/// Whether an encoded message is a heartbeat. A heartbeat carries its round number, so it remains valid when
/// it arrives after a message that was sent later.
pub fn is_heartbeat(bytes: &[u8]) -> bool {
    match Message::decode(bytes) {
        Ok(Message::Paxos(message)) => matches!(*message, PaxosMessage::BLE(_)),
        _ => false,
    }
}
