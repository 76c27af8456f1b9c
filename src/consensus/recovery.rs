//! Recovery of a voter without its file, from the states of all other voters.

use std::collections::BTreeMap;

use super::storage::Persisted;
use super::types::VoterId;

/// The states that other voters have sent so far.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    states: BTreeMap<VoterId, Persisted>,
}

impl Recovery {
    /// Records the state of another voter. The state to vote with, once all of the others have sent theirs: then the
    /// collected states are used up.
    pub(super) fn record(&mut self, from: VoterId, state: Persisted, voter_count: u64) -> Option<Persisted> {
        self.states.insert(from, state);
        let is_complete = self.states.len() as u64 + 1 == voter_count;
        is_complete.then(|| merge(std::mem::take(&mut self.states).into_values()))
    }

    /// The voters that have not sent their state.
    pub(super) fn missing(&self, voter_id: VoterId, voter_count: u64) -> Vec<VoterId> {
        let others = (1..=voter_count).filter(|&voter| voter != voter_id);
        others.filter(|voter| !self.states.contains_key(voter)).collect()
    }
}

/// What a voter without its file takes from all the others: the newest log, and the highest promise.
fn merge(states: impl Iterator<Item = Persisted>) -> Persisted {
    let (mut newest, mut promise) = (Persisted::default(), None);
    for state in states {
        promise = promise.max(state.promise);
        let is_newer =
            (state.accepted_ballot, state.log_length()) > (newest.accepted_ballot, newest.log_length());
        if is_newer {
            newest = state;
        }
    }
    newest.promise = promise;
    newest
}
