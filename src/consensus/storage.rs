//! What a voter must remember, and the storage that the log library writes it to.
//!
//! It owns the replicated log's decisions, its snapshots and the voter's state in memory. What has changed is collected
//! until the voter gives it out to be written; the form of the file is `vote_file`'s.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::mem;
use std::rc::Rc;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, Snapshot as LogSnapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};

/// The epoch that fillers build on: no log gets there.
const FILLER_EPOCH: u64 = u64::MAX;

/// A decision that is proposed: an entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// What it is about; each topic has epochs of its own.
    pub topic: u8,
    /// The newest epoch that its proposer knew. Where a newer one has been decided meanwhile, the proposal is superseded.
    pub based_on_epoch: u64,
    /// The decision.
    pub body: Vec<u8>,
}

impl Proposal {
    /// A proposal without effect, for a leader that has nothing to propose and needs a next entry.
    pub(super) fn filler() -> Proposal {
        Proposal { topic: 0, based_on_epoch: FILLER_EPOCH, body: Vec::new() }
    }

    pub(super) fn is_filler(&self) -> bool {
        self.based_on_epoch == FILLER_EPOCH
    }
}

impl Entry for Proposal {
    type Snapshot = Snapshot;
}

/// A topic's newest decision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TopicDecision {
    epoch: u64,
    body: Vec<u8>,
}

/// A decision as it is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionRef<'a> {
    /// The topic.
    pub topic: u8,
    /// Its epoch; 0 where the topic has no decision yet.
    pub epoch: u64,
    /// The decision; empty where there is none.
    pub body: &'a [u8],
}

/// The newest decision of each topic, with its epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decisions {
    topics: BTreeMap<u8, TopicDecision>,
}

impl Decisions {
    /// Applies the next proposal of the log. Whether it has an effect: one that builds on an older epoch is superseded.
    /// One that builds on a newer epoch than the log's has an effect, so that epochs go on after a log was lost.
    pub fn apply(&mut self, proposal: &Proposal) -> bool {
        if proposal.is_filler() {
            return false;
        }
        let newest = self.topics.entry(proposal.topic).or_default();
        let has_effect = proposal.based_on_epoch >= newest.epoch;
        if has_effect {
            *newest = TopicDecision { epoch: proposal.based_on_epoch + 1, body: proposal.body.clone() };
        }
        has_effect
    }

    /// The newest decision of each topic, in the order of topics.
    pub fn all(&self) -> impl Iterator<Item = DecisionRef<'_>> {
        self.topics.iter().map(|(&topic, newest)| DecisionRef {
            topic,
            epoch: newest.epoch,
            body: &newest.body,
        })
    }

    /// The newest decision of a topic.
    pub fn newest(&self, topic: u8) -> DecisionRef<'_> {
        let newest = self.topics.get(&topic);
        newest.map_or(DecisionRef { topic, epoch: 0, body: &[] }, |newest| DecisionRef {
            topic,
            epoch: newest.epoch,
            body: &newest.body,
        })
    }
}

/// A compacted part of the log. A part from the log's middle cannot be compacted alone: its proposals stay until they are
/// merged with what was before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    decided: Decisions,
    /// Proposals that come after `decided`.
    uncompacted: Vec<Proposal>,
}

impl Snapshot {
    /// The newest decision of each topic.
    pub fn decided(&self) -> Decisions {
        let mut decided = self.decided.clone();
        for proposal in &self.uncompacted {
            decided.apply(proposal);
        }
        decided
    }

    /// The entries that are not compacted yet.
    pub(super) fn into_uncompacted(self) -> Vec<Proposal> {
        self.uncompacted
    }
}

impl LogSnapshot<Proposal> for Snapshot {
    fn create(entries: &[Proposal]) -> Snapshot {
        Snapshot { decided: Decisions::default(), uncompacted: entries.to_vec() }
    }

    fn merge(&mut self, delta: Snapshot) {
        self.decided = self.decided();
        self.uncompacted = Vec::new();
        for proposal in &delta.uncompacted {
            self.decided.apply(proposal);
        }
    }

    fn use_snapshots() -> bool {
        true
    }
}

/// A change of a voter's state, as its file has it: `postcard`, so that variants and fields keep their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The whole state.
    ReplaceAll(Box<Persisted>),
    /// The log from an index on.
    Entries {
        /// The index of the first of `entries`.
        from_index: u64,
        /// All entries from there on.
        entries: Vec<Proposal>,
    },
    /// The ballot that is promised.
    Promise(Ballot),
    /// The newest ballot in which an entry was accepted.
    AcceptedBallot(Ballot),
    /// How many entries are decided.
    DecidedEntries(u64),
    /// The log before this index was removed.
    Trim(u64),
    /// The log before its first entry, compacted.
    Snapshot(Option<Snapshot>),
}

/// What a voter must remember.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Persisted {
    pub(super) promise: Option<Ballot>,
    pub(super) accepted_ballot: Option<Ballot>,
    decided_entries: u64,
    /// The index of the first of `entries`.
    first_index: u64,
    entries: Vec<Proposal>,
    /// The log before `first_index`.
    snapshot: Option<Snapshot>,
}

impl Persisted {
    /// How many entries the log has had.
    pub(super) fn log_length(&self) -> u64 {
        self.first_index + self.entries.len() as u64
    }

    /// Makes a change. Entries that would leave a gap in the log change nothing.
    pub(super) fn apply(&mut self, change: Change) {
        match change {
            Change::ReplaceAll(state) => *self = *state,
            Change::Entries { from_index, entries } => {
                let from = from_index.saturating_sub(self.first_index) as usize;
                if from <= self.entries.len() {
                    self.entries.truncate(from);
                    self.entries.extend(entries);
                }
            }
            Change::Promise(ballot) => self.promise = Some(ballot),
            Change::AcceptedBallot(ballot) => self.accepted_ballot = Some(ballot),
            Change::DecidedEntries(count) => self.decided_entries = count,
            Change::Trim(first_index) => {
                let removed = first_index.saturating_sub(self.first_index).min(self.entries.len() as u64);
                self.entries.drain(..removed as usize);
                self.first_index = self.first_index.max(first_index);
            }
            Change::Snapshot(snapshot) => self.snapshot = snapshot,
        }
    }

    /// The entries from the index `from` on and before `to`; none where the log has not all of them.
    fn entries_between(&self, from: u64, to: u64) -> Vec<Proposal> {
        let offset = |index: u64| index.checked_sub(self.first_index).map(|offset| offset as usize);
        match (offset(from), offset(to)) {
            (Some(from), Some(to)) => self.entries.get(from..to).unwrap_or_default().to_vec(),
            _ => Vec::new(),
        }
    }
}

#[derive(Debug, Default)]
struct StorageState {
    persisted: Persisted,
    /// What has changed since it was last given out to be written.
    unwritten: Vec<Change>,
}

/// The library's storage, in memory. The library has one handle of it, the voter another.
#[derive(Clone, Debug, Default)]
pub(super) struct MemoryStorage(Rc<RefCell<StorageState>>);

impl MemoryStorage {
    pub(super) fn new(persisted: Persisted) -> MemoryStorage {
        MemoryStorage(Rc::new(RefCell::new(StorageState { persisted, unwritten: Vec::new() })))
    }

    pub(super) fn persisted(&self) -> Persisted {
        self.0.borrow().persisted.clone()
    }

    /// The changes since the last call.
    pub(super) fn take_unwritten(&self) -> Vec<Change> {
        mem::take(&mut self.0.borrow_mut().unwritten)
    }

    fn change(&self, change: Change) -> StorageResult<()> {
        let state = &mut *self.0.borrow_mut();
        state.persisted.apply(change.clone());
        state.unwritten.push(change);
        Ok(())
    }

    fn read<T>(&self, field: impl FnOnce(&Persisted) -> T) -> StorageResult<T> {
        Ok(field(&self.0.borrow().persisted))
    }
}

impl Storage<Proposal> for MemoryStorage {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Proposal>>) -> StorageResult<()> {
        ops.into_iter().try_for_each(|op| match op {
            StorageOp::AppendEntry(entry) => self.append_entry(entry),
            StorageOp::AppendEntries(entries) => self.append_entries(entries),
            StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries),
            StorageOp::SetPromise(ballot) => self.set_promise(ballot),
            StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index),
            StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot),
            StorageOp::SetCompactedIdx(index) => self.set_compacted_idx(index),
            StorageOp::Trim(index) => self.trim(index),
            StorageOp::SetStopsign(stop_sign) => self.set_stopsign(stop_sign),
            StorageOp::SetSnapshot(snapshot) => self.set_snapshot(snapshot),
        })
    }

    fn append_entry(&mut self, entry: Proposal) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Proposal>) -> StorageResult<()> {
        if entries.is_empty() {
            return Ok(());
        }
        let from_index = self.0.borrow().persisted.log_length();
        self.change(Change::Entries { from_index, entries })
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Proposal>) -> StorageResult<()> {
        self.change(Change::Entries { from_index: from as u64, entries })
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.change(Change::Promise(ballot))
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.change(Change::DecidedEntries(index as u64))
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        self.read(|state| state.decided_entries as usize)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.change(Change::AcceptedBallot(ballot))
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        self.read(|state| state.accepted_ballot)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Proposal>> {
        self.read(|state| state.entries_between(from as u64, to as u64))
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        self.read(|state| state.entries.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Proposal>> {
        self.read(|state| state.entries_between(from as u64, state.log_length()))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        self.read(|state| state.promise)
    }

    /// Stop signs reconfigure the voters; here they are those of the operator's file, and the log never changes them.
    fn set_stopsign(&mut self, _: Option<StopSign>) -> StorageResult<()> {
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    fn trim(&mut self, index: usize) -> StorageResult<()> {
        self.change(Change::Trim(index as u64))
    }

    /// The same as a trim: the log's first index is stored once.
    fn set_compacted_idx(&mut self, index: usize) -> StorageResult<()> {
        self.change(Change::Trim(index as u64))
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        self.read(|state| state.first_index as usize)
    }

    fn set_snapshot(&mut self, snapshot: Option<Snapshot>) -> StorageResult<()> {
        self.change(Change::Snapshot(snapshot))
    }

    fn get_snapshot(&self) -> StorageResult<Option<Snapshot>> {
        self.read(|state| state.snapshot.clone())
    }
}
