//! The log library's settings for a voter.

use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};

use super::storage::{MemoryStorage, Proposal};
use super::types::{ConsensusConfig, ConsensusError, VoterId};

/// Ticks of a heartbeat round, 200 ms: a leader that is silent for two or three rounds is replaced.
const HEARTBEAT_ROUND_TICKS: u64 = 4;
/// Ticks after which what was not answered is sent again, 400 ms: two heartbeat rounds, so that a reply has had its time.
pub(super) const RESEND_INTERVAL_TICKS: u64 = 8;
/// Capacity of the library's queue of outgoing messages at the start; it grows where more are sent at a time.
const MESSAGE_BUFFER_SIZE: usize = 64;

/// The library's replica of the log.
pub(super) type Paxos = OmniPaxos<Proposal, MemoryStorage>;

/// A replica that goes on from what `storage` has.
pub(super) fn build(config: &ConsensusConfig, storage: MemoryStorage) -> Result<Paxos, ConsensusError> {
    let library_config = OmniPaxosConfig {
        cluster_config: ClusterConfig {
            configuration_id: config.generation.max(1),
            nodes: (1..=config.voter_count).collect(),
            flexible_quorum: None,
        },
        server_config: ServerConfig {
            pid: config.voter_id,
            election_tick_timeout: HEARTBEAT_ROUND_TICKS,
            resend_message_tick_timeout: RESEND_INTERVAL_TICKS,
            buffer_size: MESSAGE_BUFFER_SIZE,
            ..ServerConfig::default()
        },
    };
    library_config.build(storage).map_err(|e| ConsensusError::Settings(e.to_string()))
}

/// Whether `voter` leads, has finished its prepare phase, and so can propose.
pub(super) fn is_led_by(paxos: &Paxos, voter: VoterId) -> bool {
    paxos.get_current_leader() == Some((voter, true))
}
