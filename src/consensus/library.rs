//! Configuration of `omnipaxos` for a voter.

use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};

use super::storage::{MemoryStorage, Proposal};
use super::types::{ConsensusConfig, ConsensusError, VoterId};

/// Ticks in a heartbeat round, 200 ms. A leader that is silent for two or three rounds is replaced.
const HEARTBEAT_ROUND_TICKS: u64 = 4;
/// Ticks after which an unanswered message is sent again, 400 ms: two heartbeat rounds, which leaves time for
/// a reply.
pub(super) const RESEND_INTERVAL_TICKS: u64 = 8;
/// Initial capacity of the `omnipaxos` queue of outgoing messages; the queue grows when more messages are
/// sent at once.
const MESSAGE_BUFFER_SIZE: usize = 64;

/// The `omnipaxos` replica of the log.
pub(super) type Paxos = OmniPaxos<Proposal, MemoryStorage>;

/// Builds a replica that continues from the state in `storage`.
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

/// Whether `voter` leads and has finished its prepare phase, so that it can propose.
pub(super) fn is_led_by(paxos: &Paxos, voter: VoterId) -> bool {
    paxos.get_current_leader() == Some((voter, true))
}
