//! Recovery of a voter without its vote file, from the states of all other voters.

use std::collections::BTreeMap;

use super::storage::Persisted;
use super::types::VoterId;

/// The states received from other voters so far.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    states: BTreeMap<VoterId, Persisted>,
}

impl Recovery {
    /// Records the state of another voter. Once all others have sent theirs, returns the merged state to vote
    /// with and clears the collected ones.
    pub(super) fn record(&mut self, from: VoterId, state: Persisted, voter_count: u64) -> Option<Persisted> {
        self.states.insert(from, state);
        let is_complete = self.states.len() as u64 + 1 == voter_count;
        is_complete.then(|| merge(std::mem::take(&mut self.states).into_values()))
    }

    /// Returns the voters that have not sent their state.
    pub(super) fn missing(&self, voter_id: VoterId, voter_count: u64) -> Vec<VoterId> {
        let others = (1..=voter_count).filter(|&voter| voter != voter_id);
        others.filter(|voter| !self.states.contains_key(voter)).collect()
    }
}

/// Merges the states of all other voters: the newest log, and the highest promised ballot.
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
