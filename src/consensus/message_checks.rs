//! Checks and repairs of the library's messages before the library gets them.

use omnipaxos::messages::Message as PaxosMessage;
use omnipaxos::messages::sequence_paxos::{Compaction, PaxosMsg};
use omnipaxos::storage::SnapshotType;

use super::storage::Proposal;
use super::types::MAX_DECISION_BYTES;

/// Most log entries of one message: a voter compacts its log after far fewer, and a peer must not make it allocate more.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;
/// Highest log index that is believed: no log gets there, and sums of indexes below it cannot overflow.
const MAX_LOG_INDEX: usize = 1 << 40;

/// Whether a message is of a kind and size that voters of this program send.
pub(super) fn is_within_bounds(message: &PaxosMessage<Proposal>) -> bool {
    let PaxosMessage::SequencePaxos(message) = message else { return true };
    let message = &message.msg;
    log_indexes(message).into_iter().all(|index| index <= MAX_LOG_INDEX) && has_valid_entries(message)
}

/// The log indexes that a message names; 0 in place of those that it has not.
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

/// Whether a message changes neither the set of voters nor another voter's log by a trim, and its entries are few and
/// short enough.
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

/// Whether a message may be handled by a voter that has so many decided entries. A delayed one could overwrite them:
/// such an `AcceptSync` is dropped, and a `Promise` loses its log. The library would ignore both: it takes no `AcceptSync` once
/// it accepts, and reads no log of a `Promise` once it leads.
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

/// Replaces a partial snapshot by its entries, as the beginning of the log suffix that it precedes. The library (0.2.4)
/// merges such a snapshot with what its own log has up to the new count of decided entries, among it what was never
/// decided.
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
