//! The persistent state of a voter, and the storage through which `omnipaxos` updates it.
//!
//! This module owns the decisions and snapshots of the replicated log and the voter's state in memory.
//! Changes are collected until the voter takes them to be written; `vote_file` defines the file format.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::mem;
use std::rc::Rc;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, Snapshot as LogSnapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};

/// The epoch that marks a filler. No log reaches it.
const FILLER_EPOCH: u64 = u64::MAX;

/// A proposed decision: an entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The topic of the decision. Each topic has its own epochs.
    pub topic: u8,
    /// The newest epoch known to the proposer. The proposal is superseded if a newer epoch has been decided
    /// in the meantime.
    pub based_on_epoch: u64,
    /// The encoded decision.
    pub body: Vec<u8>,
}

impl Proposal {
    /// Returns a proposal without effect, for a leader that needs another log entry and has nothing to
    /// propose.
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

/// The newest decision of a topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TopicDecision {
    epoch: u64,
    body: Vec<u8>,
}

/// A borrowed decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionRef<'a> {
    /// The topic.
    pub topic: u8,
    /// The epoch; 0 if the topic has no decision yet.
    pub epoch: u64,
    /// The encoded decision; empty if there is none.
    pub body: &'a [u8],
}

/// The newest decision of each topic, with its epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decisions {
    topics: BTreeMap<u8, TopicDecision>,
}

impl Decisions {
    /// Applies the next proposal of the log and returns whether it took effect. A proposal based on an older
    /// epoch is superseded. A proposal based on a newer epoch than the log's takes effect, so that epochs
    /// continue after a log was lost.
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

    /// Returns the newest decision of each topic, ordered by topic.
    pub fn all(&self) -> impl Iterator<Item = DecisionRef<'_>> {
        self.topics.iter().map(|(&topic, newest)| DecisionRef {
            topic,
            epoch: newest.epoch,
            body: &newest.body,
        })
    }

    /// Returns the newest decision of a topic.
    pub fn newest(&self, topic: u8) -> DecisionRef<'_> {
        let newest = self.topics.get(&topic);
        newest.map_or(DecisionRef { topic, epoch: 0, body: &[] }, |newest| DecisionRef {
            topic,
            epoch: newest.epoch,
            body: &newest.body,
        })
    }
}

/// A compacted part of the log. A part that does not start at the beginning of the log cannot be compacted on
/// its own: its proposals are kept until it is merged with the preceding part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    decided: Decisions,
    /// Proposals that follow `decided` in the log.
    uncompacted: Vec<Proposal>,
}

impl Snapshot {
    /// Returns the newest decision of each topic.
    pub fn decided(&self) -> Decisions {
        let mut decided = self.decided.clone();
        for proposal in &self.uncompacted {
            decided.apply(proposal);
        }
        decided
    }

    /// Returns the entries that are not compacted yet.
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

/// A change to a voter's state, as stored in its vote file. It is encoded with `postcard`, so the order of
/// variants and fields is part of the file format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Replaces the whole state.
    ReplaceAll(Box<Persisted>),
    /// Replaces the log from an index on.
    Entries {
        /// The index of the first of `entries`.
        from_index: u64,
        /// All entries from `from_index` on.
        entries: Vec<Proposal>,
    },
    /// Sets the promised ballot.
    Promise(Ballot),
    /// Sets the newest ballot in which an entry was accepted.
    AcceptedBallot(Ballot),
    /// Sets the number of decided entries.
    DecidedEntries(u64),
    /// Removes the log before this index.
    Trim(u64),
    /// Sets the snapshot that replaces the log before its first entry.
    Snapshot(Option<Snapshot>),
}

/// The state that a voter must keep across restarts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Persisted {
    pub(super) promise: Option<Ballot>,
    pub(super) accepted_ballot: Option<Ballot>,
    decided_entries: u64,
    /// The index of the first of `entries`.
    first_index: u64,
    entries: Vec<Proposal>,
    /// The compacted log before `first_index`.
    snapshot: Option<Snapshot>,
}

impl Persisted {
    /// Returns the length of the log, including compacted entries.
    pub(super) fn log_length(&self) -> u64 {
        self.first_index + self.entries.len() as u64
    }

    /// Applies a change. Entries that would leave a gap in the log are ignored.
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

    /// Returns the entries from index `from` up to but not including `to`; empty if the log does not hold all
    /// of them.
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
    /// Changes that have not been taken to be written.
    unwritten: Vec<Change>,
}

/// In-memory storage for `omnipaxos`. `omnipaxos` holds one handle to it and the voter holds another.
#[derive(Clone, Debug, Default)]
pub(super) struct MemoryStorage(Rc<RefCell<StorageState>>);

impl MemoryStorage {
    pub(super) fn new(persisted: Persisted) -> MemoryStorage {
        MemoryStorage(Rc::new(RefCell::new(StorageState { persisted, unwritten: Vec::new() })))
    }

    pub(super) fn persisted(&self) -> Persisted {
        self.0.borrow().persisted.clone()
    }

    /// Returns and clears the changes since the last call.
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

    /// Does nothing. A stop sign reconfigures the set of voters; here the operator's file defines the voters
    /// and the log never changes them.
    fn set_stopsign(&mut self, _: Option<StopSign>) -> StorageResult<()> {
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    fn trim(&mut self, index: usize) -> StorageResult<()> {
        self.change(Change::Trim(index as u64))
    }

    /// Stores the same change as `trim`, because the log's first index is stored only once.
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
