//! Validation and correction of incoming `omnipaxos` messages before they are handled.

use omnipaxos::messages::Message as PaxosMessage;
use omnipaxos::messages::sequence_paxos::{Compaction, PaxosMsg};
use omnipaxos::storage::SnapshotType;

use super::storage::Proposal;
use super::types::MAX_DECISION_BYTES;

/// Maximum number of log entries in a message. A voter compacts its log long before it has this many, and a
/// peer must not be able to force larger allocations.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;
/// Maximum log index accepted from a peer. No log reaches it, and sums of indexes up to it cannot overflow.
const MAX_LOG_INDEX: usize = 1 << 40;

/// Whether voters send messages of this kind and size.
pub(super) fn is_within_bounds(message: &PaxosMessage<Proposal>) -> bool {
    let PaxosMessage::SequencePaxos(message) = message else { return true };
    let message = &message.msg;
    log_indexes(message).into_iter().all(|index| index <= MAX_LOG_INDEX) && has_valid_entries(message)
}

/// Returns the log indexes in a message, padded with 0.
fn log_indexes(message: &PaxosMsg<Proposal>) -> [usize; 3] {
    match message {
        PaxosMsg::Prepare(m) => [m.decided_idx, m.accepted_idx, 0],
        PaxosMsg::Promise(m) => {
            [m.decided_idx, m.accepted_idx, m.log_sync.as_ref().map_or(0, |sync| sync.sync_idx)]
        }
        PaxosMsg::AcceptSync(m) => [m.decided_idx, m.log_sync.sync_idx, 0],
        PaxosMsg::AcceptDecide(m) => [m.decided_idx, 0, 0],
        PaxosMsg::Accepted(m) => [m.accepted_idx, 0, 0],
        PaxosMsg::Decide(m) => [m.decided_idx, 0, 0],
        _ => [0; 3],
    }
}

/// Whether a message neither reconfigures the voters nor trims another voter's log, and its entries are
/// within the limits on number and length.
fn has_valid_entries(message: &PaxosMsg<Proposal>) -> bool {
    match message {
        PaxosMsg::AcceptStopSign(_) | PaxosMsg::ForwardStopSign(_) => false,
        PaxosMsg::Compaction(Compaction::Trim(_)) => false,
        PaxosMsg::Promise(promise) => promise
            .log_sync
            .as_ref()
            .is_none_or(|sync| sync.stopsign.is_none() && are_entries_valid(&sync.suffix)),
        PaxosMsg::AcceptSync(accept) => {
            accept.log_sync.stopsign.is_none() && are_entries_valid(&accept.log_sync.suffix)
        }
        PaxosMsg::AcceptDecide(accept) => are_entries_valid(&accept.entries),
        PaxosMsg::ProposalForward(entries) => are_entries_valid(entries),
        _ => true,
    }
}

fn are_entries_valid(entries: &[Proposal]) -> bool {
    entries.len() <= MAX_ENTRIES_PER_MESSAGE
        && entries.iter().all(|proposal| proposal.body.len() <= MAX_DECISION_BYTES)
}

/// Whether a voter with `decided_entries` decided entries may handle a message. A delayed message could
/// overwrite decided entries: such an `AcceptSync` is rejected, and a `Promise` has its log removed. Neither
/// changes what `omnipaxos` does: it ignores an `AcceptSync` once it is in the accept phase, and the log of a
/// `Promise` once it leads.
pub(super) fn preserves_decided_entries(
    message: &mut PaxosMessage<Proposal>,
    decided_entries: usize,
) -> bool {
    let PaxosMessage::SequencePaxos(message) = message else { return true };
    match &mut message.msg {
        PaxosMsg::Promise(promise) => {
            promise.log_sync = promise.log_sync.take().filter(|sync| sync.sync_idx >= decided_entries);
            true
        }
        PaxosMsg::AcceptSync(accept) => accept.log_sync.sync_idx >= decided_entries,
        _ => true,
    }
}

/// Replaces a partial snapshot with its entries, prepended to the log suffix that follows it. `omnipaxos`
/// 0.2.4 merges such a snapshot with its own log up to the new decided index, including entries that were
/// never decided.
pub(super) fn expand_partial_snapshot(message: &mut PaxosMessage<Proposal>) {
    let PaxosMessage::SequencePaxos(message) = message else { return };
    let sync = match &mut message.msg {
        PaxosMsg::Promise(promise) => promise.log_sync.as_mut(),
        PaxosMsg::AcceptSync(accept) => Some(&mut accept.log_sync),
        _ => None,
    };
    let Some(sync) = sync else { return };
    match sync.decided_snapshot.take() {
        Some(SnapshotType::Delta(part)) => {
            let mut entries = part.into_uncompacted();
            sync.sync_idx = sync.sync_idx.saturating_sub(entries.len());
            entries.append(&mut sync.suffix);
            sync.suffix = entries;
        }
        other => sync.decided_snapshot = other,
    }
}
