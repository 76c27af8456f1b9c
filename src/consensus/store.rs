//! What a voter must remember, and the storage that the log library writes it to. It is kept in memory; what changed
//! is collected until the consensus gives it out to be written.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::mem;
use std::rc::Rc;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, Snapshot as LogSnapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};

/// A decision that is proposed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// What it is about; each topic has epochs of its own.
    pub topic: u8,
    /// The epoch that its proposer knew. Where a newer one has been decided meanwhile, the proposal is void.
    pub based: u64,
    /// The decision.
    pub body: Vec<u8>,
}

impl Proposal {
    /// One that is void wherever it is read.
    pub(super) fn filler() -> Proposal {
        Proposal { topic: 0, based: u64::MAX, body: Vec::new() }
    }

    pub(super) fn fills(&self) -> bool {
        self.based == u64::MAX
    }
}

impl Entry for Proposal {
    type Snapshot = Snapshot;
}

/// The newest decision of each topic, with its epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decisions {
    topics: BTreeMap<u8, (u64, Vec<u8>)>,
}

impl Decisions {
    /// Takes the next proposal of the log. Whether it holds: one that builds on an older epoch is void. One that
    /// builds on a newer epoch than the log's holds, so that epochs go on after a log was lost.
    pub fn apply(&mut self, proposal: &Proposal) -> bool {
        if proposal.fills() {
            return false;
        }
        let (epoch, body) = self.topics.entry(proposal.topic).or_default();
        let holds = proposal.based >= *epoch;
        if holds {
            (*epoch, *body) = (proposal.based + 1, proposal.body.clone());
        }
        holds
    }

    /// The newest decision of each topic, as its topic, its epoch and what it says.
    pub fn all(&self) -> impl Iterator<Item = (u8, u64, &[u8])> {
        self.topics.iter().map(|(topic, (epoch, body))| (*topic, *epoch, body.as_slice()))
    }

    /// The epoch of a topic's newest decision, 0 where there is none, and the decision.
    pub fn newest(&self, topic: u8) -> (u64, &[u8]) {
        self.topics.get(&topic).map_or((0, &[]), |(epoch, body)| (*epoch, body))
    }
}

/// A part of the log, folded. A part from the log's middle cannot be folded alone: its proposals are kept until they
/// are merged with what was before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    decided: Decisions,
    rest: Vec<Proposal>,
}

impl Snapshot {
    /// The newest decisions.
    pub fn decided(&self) -> Decisions {
        let mut decided = self.decided.clone();
        for proposal in &self.rest {
            decided.apply(proposal);
        }
        decided
    }

    /// The entries of a part that is not folded yet.
    pub(super) fn into_entries(self) -> Vec<Proposal> {
        self.rest
    }
}

impl LogSnapshot<Proposal> for Snapshot {
    fn create(entries: &[Proposal]) -> Snapshot {
        Snapshot { decided: Decisions::default(), rest: entries.to_vec() }
    }

    fn merge(&mut self, delta: Snapshot) {
        self.decided = self.decided();
        self.rest = Vec::new();
        for proposal in &delta.rest {
            self.decided.apply(proposal);
        }
    }

    fn use_snapshots() -> bool {
        true
    }
}

/// A change of what a voter remembers, as its file has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// All of it.
    Whole(Box<Persisted>),
    /// The log from this index on is these.
    Prefix(u64, Vec<Proposal>),
    /// The ballot that is promised.
    Promise(Ballot),
    /// The newest ballot in which something was accepted.
    Accepted(Ballot),
    /// So many entries are decided.
    Decided(u64),
    /// The log before this index has gone.
    Trim(u64),
    /// What the log before its first entry came to.
    Folded(Option<Snapshot>),
}

/// What a voter must remember.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Persisted {
    pub(super) promise: Option<Ballot>,
    pub(super) accepted: Option<Ballot>,
    decided: u64,
    /// The index of the first entry.
    first: u64,
    entries: Vec<Proposal>,
    folded: Option<Snapshot>,
}

impl Persisted {
    /// How many entries the log has had.
    pub(super) fn length(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    /// Makes a change. What cannot be true changes nothing.
    pub(super) fn apply(&mut self, change: Change) {
        match change {
            Change::Whole(kept) => *self = *kept,
            Change::Prefix(from, entries) => {
                let from = from.saturating_sub(self.first) as usize;
                if from <= self.entries.len() {
                    self.entries.truncate(from);
                    self.entries.extend(entries);
                }
            }
            Change::Promise(ballot) => self.promise = Some(ballot),
            Change::Accepted(ballot) => self.accepted = Some(ballot),
            Change::Decided(count) => self.decided = count,
            Change::Trim(first) => {
                let gone = first.saturating_sub(self.first).min(self.entries.len() as u64);
                self.entries.drain(..gone as usize);
                self.first = self.first.max(first);
            }
            Change::Folded(folded) => self.folded = folded,
        }
    }

    fn between(&self, from: u64, to: u64) -> Vec<Proposal> {
        let at = |index: u64| index.checked_sub(self.first).map(|index| index as usize);
        match (at(from), at(to)) {
            (Some(from), Some(to)) => self.entries.get(from..to).unwrap_or_default().to_vec(),
            _ => Vec::new(),
        }
    }
}

/// The storage: what is kept, and what of it has changed since it was last given out.
#[derive(Clone, Debug, Default)]
pub(super) struct Store(Rc<RefCell<(Persisted, Vec<Change>)>>);

impl Store {
    pub(super) fn new(kept: Persisted) -> Store {
        Store(Rc::new(RefCell::new((kept, Vec::new()))))
    }

    pub(super) fn kept(&self) -> Persisted {
        self.0.borrow().0.clone()
    }

    pub(super) fn take_changes(&self) -> Vec<Change> {
        mem::take(&mut self.0.borrow_mut().1)
    }

    fn change(&self, change: Change) -> StorageResult<()> {
        let (kept, changes) = &mut *self.0.borrow_mut();
        kept.apply(change.clone());
        changes.push(change);
        Ok(())
    }

    fn read<T>(&self, of: impl FnOnce(&Persisted) -> T) -> StorageResult<T> {
        Ok(of(&self.0.borrow().0))
    }
}

impl Storage<Proposal> for Store {
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
            StorageOp::SetStopsign(sign) => self.set_stopsign(sign),
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
        let length = self.0.borrow().0.length();
        self.change(Change::Prefix(length, entries))
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Proposal>) -> StorageResult<()> {
        self.change(Change::Prefix(from as u64, entries))
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.change(Change::Promise(ballot))
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.change(Change::Decided(index as u64))
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        self.read(|kept| kept.decided as usize)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.change(Change::Accepted(ballot))
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        self.read(|kept| kept.accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Proposal>> {
        self.read(|kept| kept.between(from as u64, to as u64))
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        self.read(|kept| kept.entries.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Proposal>> {
        self.read(|kept| kept.between(from as u64, kept.length()))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        self.read(|kept| kept.promise)
    }

    /// The voters are those of the operator's file: the log never changes them.
    fn set_stopsign(&mut self, _: Option<StopSign>) -> StorageResult<()> {
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    fn trim(&mut self, index: usize) -> StorageResult<()> {
        self.change(Change::Trim(index as u64))
    }

    /// A trim says so as well.
    fn set_compacted_idx(&mut self, index: usize) -> StorageResult<()> {
        self.change(Change::Trim(index as u64))
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        self.read(|kept| kept.first as usize)
    }

    fn set_snapshot(&mut self, snapshot: Option<Snapshot>) -> StorageResult<()> {
        self.change(Change::Folded(snapshot))
    }

    fn get_snapshot(&self) -> StorageResult<Option<Snapshot>> {
        self.read(|kept| kept.folded.clone())
    }
}
