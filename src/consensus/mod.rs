//! Agreement among a few voters: a replicated log of decisions by `omnipaxos`, free of I/O. It is driven by messages
//! and ticks, and gives out batches: what is to be on disk first, and what may be sent then.
//!
//! Decisions are by topic, and each has an epoch, one more than the epoch that its proposer knew. A proposal that
//! builds on an older epoch is void wherever the log is read, so that of two that lead for a moment only one acts.
//!
//! A voter without its file has forgotten what it promised. It votes again only when every other voter has told what
//! it remembers: whoever led a round that the forgetful one was part of is among them, and has what was accepted in
//! it. The first start of a fleet is the same case.

pub mod file;
mod rounds;
mod store;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod wire_tests;

use std::collections::BTreeMap;
use std::mem;

use omnipaxos::messages::Message as PaxosMessage;
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use omnipaxos::messages::sequence_paxos::{Compaction, PaxosMsg};
use omnipaxos::storage::SnapshotType;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use rounds::{LeaderBallot, Rounds};
use store::Store;
pub use store::{Change, Decisions, Persisted, Proposal};

/// A voter's number: its place among the voters of the operator's file, from 1.
pub type VoterId = u64;

/// Longest body of a decision, in bytes.
pub const MAX_DECISION_BYTES: usize = 1024;
/// Most decisions of one message.
const ENTRIES: usize = 256;
/// No log comes to so many entries.
const INDEX: usize = 1 << 40;
/// Ticks of a round of heartbeats. A leader that is silent for two or three rounds is replaced.
const ROUND: u64 = 4;
/// Ticks after which what was not answered is sent again.
const AGAIN: u64 = 8;
/// Ticks after which a new leader asks voters again whom they followed before.
const ASK_AGAIN: u64 = 2;
/// Decisions entries after which the log is folded.
const FOLD: usize = 32;
/// A file is written anew when it has come to so many bytes.
const REWRITE: usize = 256 << 10;

/// What a consensus is.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// This voter.
    pub own: VoterId,
    /// How many voters there are: 3, 5 or 7.
    pub voters: u64,
    /// The fleet's generation: raised by operators who start anew after a majority's disks were lost.
    pub generation: u32,
    /// Differs at each start.
    pub nonce: u64,
}

/// Why there is no consensus.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum ConsensusError {
    /// The number of voters cannot be.
    #[error("{0} voters: 3, 5 or 7 are needed")]
    Voters(u64),
    /// The library refuses the settings.
    #[error("the consensus's settings: {0}")]
    Settings(String),
}

/// How far the agreement is known to hold: of two terms the greater is newer. A leader raises it with each round in
/// which a majority follows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaderTerm {
    /// The leader's ballot.
    ballot: u32,
    /// The leader.
    leader: VoterId,
    /// Its rounds.
    round: u64,
}

impl LeaderTerm {
    /// The leader whose rounds it counts; none before the first.
    pub fn leader(&self) -> Option<VoterId> {
        (self.leader > 0).then_some(self.leader)
    }
}

/// What is to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Nothing.
    Nothing,
    /// These bytes, at the file's end.
    Append(Vec<u8>),
    /// The whole file, by a new one and a rename.
    Replace(Vec<u8>),
}

/// What a step comes to: first the write and its sync, then the messages. Batches are in order.
#[derive(Clone, Debug)]
pub struct Batch {
    /// What must be on disk before anything is sent.
    pub write: Write,
    /// Messages to other voters.
    pub send: Vec<(VoterId, Vec<u8>)>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Message {
    Paxos(Box<PaxosMessage<Proposal>>),
    Ask {
        nonce: u64,
    },
    Told {
        nonce: u64,
        kept: Box<Persisted>,
    },
    /// A new leader asks a voter that has promised to follow it when that last named another one.
    FollowedRequest {
        ballot: LeaderBallot,
    },
    /// So many milliseconds ago.
    FollowedReply {
        ballot: LeaderBallot,
        ago: u32,
    },
}

enum Phase {
    /// Nothing is remembered: what the others have told so far.
    Asking(BTreeMap<VoterId, Persisted>),
    Voting(Box<OmniPaxos<Proposal, Store>>),
    /// Its disk failed: it votes no more.
    Silent,
}

/// One voter.
pub struct Consensus {
    setup: ConsensusConfig,
    phase: Phase,
    store: Store,
    /// Bytes of the file; none where it is not there.
    file: Option<usize>,
    send: Vec<(VoterId, Vec<u8>)>,
    decided: Decisions,
    read: usize,
    ticks: u64,
    /// Ticks for which a proposal has waited for a majority.
    waits: u64,
    term: LeaderTerm,
    /// When the last round began that a majority followed this voter in, by the caller's clock.
    confirmed: f64,
    rounds: Rounds,
    /// The caller's clock.
    now: f64,
    superseded: u64,
}

impl Consensus {
    /// A voter that remembers what its file says, or nothing.
    pub fn new(
        setup: ConsensusConfig,
        kept: Option<Persisted>,
        now: f64,
    ) -> Result<Consensus, ConsensusError> {
        if ![3, 5, 7].contains(&setup.voters) {
            return Err(ConsensusError::Voters(setup.voters));
        }
        let mut consensus = Consensus {
            rounds: Rounds::new(setup.own, setup.voters, now),
            setup,
            phase: Phase::Asking(BTreeMap::new()),
            store: Store::default(),
            file: None,
            send: Vec::new(),
            decided: Decisions::default(),
            read: 0,
            ticks: 0,
            waits: 0,
            term: LeaderTerm::default(),
            confirmed: f64::NEG_INFINITY,
            now,
            superseded: 0,
        };
        if let Some(kept) = kept {
            consensus.vote(kept)?;
        }
        Ok(consensus)
    }

    /// Begins to vote. The whole state is written first, whatever the file was.
    fn vote(&mut self, kept: Persisted) -> Result<(), ConsensusError> {
        let config = OmniPaxosConfig {
            cluster_config: ClusterConfig {
                configuration_id: self.setup.generation.max(1),
                nodes: (1..=self.setup.voters).collect(),
                flexible_quorum: None,
            },
            server_config: ServerConfig {
                pid: self.setup.own,
                election_tick_timeout: ROUND,
                resend_message_tick_timeout: AGAIN,
                buffer_size: 64,
                ..ServerConfig::default()
            },
        };
        self.store = Store::new(kept);
        let omni = config.build(self.store.clone()).map_err(|e| ConsensusError::Settings(e.to_string()))?;
        self.phase = Phase::Voting(Box::new(omni));
        self.read_on();
        Ok(())
    }

    /// Whether it votes.
    pub fn is_voting(&self) -> bool {
        matches!(self.phase, Phase::Voting(_))
    }

    /// Its disk failed: it must not answer for what it cannot remember.
    pub fn fail(&mut self) {
        self.phase = Phase::Silent;
        self.send.clear();
    }

    /// The voter that leads, as far as is known here.
    pub fn leader(&self) -> Option<VoterId> {
        match &self.phase {
            Phase::Voting(omni) => omni.get_current_leader().map(|(leader, _)| leader),
            _ => None,
        }
    }

    /// Whether this voter leads and can propose.
    pub fn is_leader(&self) -> bool {
        match &self.phase {
            Phase::Voting(omni) => leads(omni, self.setup.own),
            _ => false,
        }
    }

    /// What is decided.
    pub fn decided(&self) -> &Decisions {
        &self.decided
    }

    /// How far this voter, as the leader, knows that a majority follows it.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// The voters that followed this one in the last round; none where it does not lead.
    pub fn followers(&self) -> Vec<VoterId> {
        if self.is_leader() { self.rounds.followers() } else { Vec::new() }
    }

    /// When the last round began that a majority followed this voter in; none where it does not lead, or was not followed
    /// under this ballot yet.
    pub fn last_confirmed_round(&self) -> Option<f64> {
        let Phase::Voting(omni) = &self.phase else { return None };
        let promise = omni.get_promise();
        let own = self.term.ballot == promise.n && self.term.leader == promise.pid;
        (own && self.is_leader()).then_some(self.confirmed)
    }

    /// The latest time at which a leader before this one may have begun a round that a majority followed; none where this
    /// voter does not lead, or does not know yet.
    pub fn predecessors_last_round(&self) -> Option<f64> {
        let Phase::Voting(omni) = &self.phase else { return None };
        self.rounds.succeeded(omni.get_promise()).filter(|_| self.is_leader())
    }

    /// Whether all that is in its log is decided.
    pub fn log_is_committed(&self) -> bool {
        match &self.phase {
            Phase::Voting(omni) => omni.get_accepted_idx() <= omni.get_decided_idx(),
            _ => false,
        }
    }

    /// Proposals that were void.
    pub fn superseded(&self) -> u64 {
        self.superseded
    }

    /// Proposes a decision that builds on `based`, the newest epoch known. False where this voter does not lead, where
    /// it has not decided what it proposed before, or where the body is too long.
    pub fn propose(&mut self, topic: u8, based: u64, body: Vec<u8>) -> bool {
        if !self.is_leader() || body.len() > MAX_DECISION_BYTES {
            return false;
        }
        let Phase::Voting(omni) = &mut self.phase else { return false };
        let free = omni.get_accepted_idx() <= omni.get_decided_idx();
        let taken = free && omni.append(Proposal { topic, based, body }).is_ok();
        self.collect();
        taken
    }

    /// A tick of the clock, twenty a second.
    pub fn tick(&mut self, now: f64) {
        self.now = now;
        self.ticks += 1;
        match &mut self.phase {
            Phase::Voting(omni) => {
                omni.tick();
                let open = omni.get_accepted_idx().saturating_sub(omni.get_decided_idx());
                self.waits = if open == 0 { 0 } else { self.waits + 1 };
                // A voter sees that a message was lost by the next one only; what is proposed one by one has none.
                if self.waits > 0
                    && self.waits.is_multiple_of(AGAIN)
                    && open < FOLD
                    && leads(omni, self.setup.own)
                {
                    let _ = omni.append(Proposal::filler());
                }
                if self.ticks.is_multiple_of(ASK_AGAIN) {
                    self.ask_followed();
                }
            }
            Phase::Asking(told) if self.ticks % AGAIN == 1 => {
                let others = (1..=self.setup.voters).filter(|&v| v != self.setup.own);
                let missing: Vec<VoterId> = others.filter(|v| !told.contains_key(v)).collect();
                for voter in missing {
                    self.note(voter, &Message::Ask { nonce: self.setup.nonce });
                }
            }
            _ => {}
        }
        self.collect();
    }

    /// As a new leader, asks voters when they last followed another one.
    fn ask_followed(&mut self) {
        if !self.is_leader() {
            return;
        }
        let (ballot, voters) = self.rounds.to_ask();
        for voter in voters {
            self.note(voter, &Message::FollowedRequest { ballot });
        }
    }

    /// Counts the round under way, once a majority follows in it.
    fn confirm(&mut self) {
        let Phase::Voting(omni) = &self.phase else { return };
        if !leads(omni, self.setup.own) {
            return;
        }
        let ballot = omni.get_promise();
        self.rounds.lead(ballot);
        if !self.rounds.count() {
            return;
        }
        self.confirmed = self.rounds.began();
        let goes_on = self.term.ballot == ballot.n && self.term.leader == ballot.pid;
        let round = if goes_on { self.term.round + 1 } else { 1 };
        self.term = LeaderTerm { ballot: ballot.n, leader: ballot.pid, round };
    }

    /// A message of another voter. False where it is none that this voter can take.
    pub fn receive(&mut self, now: f64, from: VoterId, bytes: &[u8]) -> bool {
        self.now = now;
        if from == self.setup.own || !(1..=self.setup.voters).contains(&from) {
            return false;
        }
        let Ok((note, [])) = postcard::take_from_bytes::<Message>(bytes) else {
            return false;
        };
        match note {
            Message::Paxos(mut message) => {
                if message.get_sender() != from || message.get_receiver() != self.setup.own || !fits(&message)
                {
                    return false;
                }
                unfold(&mut message);
                if let Phase::Voting(omni) = &mut self.phase
                    && keeps(&mut message, omni.get_decided_idx())
                {
                    if let PaxosMessage::BLE(heartbeat) = &*message
                        && let HeartbeatMsg::Reply(reply) = &heartbeat.msg
                    {
                        self.rounds.replied(from, reply, omni.get_promise());
                    }
                    omni.handle_incoming(*message);
                }
            }
            Message::FollowedRequest { ballot } => {
                if let Phase::Voting(omni) = &self.phase
                    && let Some(ago) = self.rounds.followed_other(now, ballot, omni.get_promise())
                {
                    self.note(from, &Message::FollowedReply { ballot, ago });
                }
            }
            Message::FollowedReply { ballot, ago } => self.rounds.answered(now, from, ballot, ago),
            Message::Ask { nonce } => {
                let kept = match &self.phase {
                    Phase::Voting(_) => self.store.kept(),
                    Phase::Asking(_) => Persisted::default(),
                    Phase::Silent => return true,
                };
                self.note(from, &Message::Told { nonce, kept: Box::new(kept) });
            }
            Message::Told { nonce, kept } => {
                if nonce != self.setup.nonce {
                    return true;
                }
                if let Phase::Asking(told) = &mut self.phase {
                    told.insert(from, *kept);
                    if told.len() as u64 + 1 == self.setup.voters {
                        let told = mem::take(told);
                        if self.vote(remembered(told.into_values())).is_err() {
                            self.fail();
                        }
                    }
                }
            }
        }
        self.collect();
        true
    }

    fn note(&mut self, to: VoterId, note: &Message) {
        // Into a vector nothing can fail to fit.
        self.send.push((to, postcard::to_stdvec(note).unwrap_or_default()));
    }

    /// Takes what the library wants to send, and what it has decided.
    fn collect(&mut self) {
        let Phase::Voting(omni) = &mut self.phase else { return };
        let mut messages = Vec::new();
        omni.take_outgoing_messages(&mut messages);
        let promise = omni.get_promise();
        for mut message in messages {
            if let PaxosMessage::BLE(heartbeat) = &mut message {
                self.rounds.sending(self.now, &mut heartbeat.msg, promise);
            }
            let to = message.get_receiver();
            self.note(to, &Message::Paxos(Box::new(message)));
        }
        self.confirm();
        self.read_on();
    }

    /// Reads the log on from where it was read to.
    fn read_on(&mut self) {
        let Phase::Voting(omni) = &mut self.phase else { return };
        for entry in omni.read_decided_suffix(self.read).unwrap_or_default() {
            match entry {
                LogEntry::Decided(proposal) => {
                    self.superseded += u64::from(!self.decided.apply(&proposal) && !proposal.fills());
                }
                LogEntry::Snapshotted(folded) => self.decided = folded.snapshot.decided(),
                _ => {}
            }
        }
        self.read = omni.get_decided_idx();
        if self.read > omni.get_compacted_idx() + FOLD {
            // Without effect where it cannot be done now; it is tried again.
            let _ = omni.snapshot(Some(self.read), true);
        }
    }

    /// What is to be written and sent since the last batch.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let changes = self.store.take_changes();
        let send = mem::take(&mut self.send);
        let write = match self.file {
            _ if !self.is_voting() => Write::Nothing,
            Some(length) if length < REWRITE && changes.is_empty() => Write::Nothing,
            Some(length) if length < REWRITE => Write::Append(file::frame(&changes)),
            _ => {
                let mut bytes = file::head(self.setup.generation);
                bytes.extend(file::frame(&[Change::Whole(Box::new(self.store.kept()))]));
                Write::Replace(bytes)
            }
        };
        match &write {
            Write::Nothing if send.is_empty() => return None,
            Write::Nothing => {}
            Write::Append(bytes) => self.file = self.file.map(|length| length + bytes.len()),
            Write::Replace(bytes) => self.file = Some(bytes.len()),
        }
        Some(Batch { write, send })
    }
}

/// Whether a voter's message is a heartbeat: those are numbered by their round, so that one that another has overtaken is
/// as good as before.
pub fn is_heartbeat(bytes: &[u8]) -> bool {
    matches!(postcard::take_from_bytes::<Message>(bytes), Ok((Message::Paxos(message), [])) if matches!(*message, PaxosMessage::BLE(_)))
}

/// Whether this voter leads and can propose.
fn leads(omni: &OmniPaxos<Proposal, Store>, own: VoterId) -> bool {
    omni.get_current_leader() == Some((own, true))
}

/// Whether a message is of a kind and size that voters of this program send.
fn fits(message: &PaxosMessage<Proposal>) -> bool {
    let all = |entries: &[Proposal]| {
        entries.len() <= ENTRIES && entries.iter().all(|proposal| proposal.body.len() <= MAX_DECISION_BYTES)
    };
    let PaxosMessage::SequencePaxos(message) = message else { return true };
    let indexes = match &message.msg {
        PaxosMsg::Prepare(m) => [m.decided_idx, m.accepted_idx, 0],
        PaxosMsg::Promise(m) => {
            [m.decided_idx, m.accepted_idx, m.log_sync.as_ref().map_or(0, |s| s.sync_idx)]
        }
        PaxosMsg::AcceptSync(m) => [m.decided_idx, m.log_sync.sync_idx, 0],
        PaxosMsg::AcceptDecide(m) => [m.decided_idx, 0, 0],
        PaxosMsg::Accepted(m) => [m.accepted_idx, 0, 0],
        PaxosMsg::Decide(m) => [m.decided_idx, 0, 0],
        _ => [0; 3],
    };
    if indexes.into_iter().any(|index| index > INDEX) {
        return false;
    }
    match &message.msg {
        PaxosMsg::AcceptStopSign(_) | PaxosMsg::ForwardStopSign(_) => false,
        PaxosMsg::Compaction(Compaction::Trim(_)) => false,
        PaxosMsg::Promise(promise) => {
            promise.log_sync.as_ref().is_none_or(|sync| sync.stopsign.is_none() && all(&sync.suffix))
        }
        PaxosMsg::AcceptSync(sync) => sync.log_sync.stopsign.is_none() && all(&sync.log_sync.suffix),
        PaxosMsg::AcceptDecide(accept) => all(&accept.entries),
        PaxosMsg::ProposalForward(entries) => all(entries),
        _ => true,
    }
}

/// Whether a message leaves what is decided as it is. One that came late may not, and the library passes it over: it
/// takes no AcceptSync once it accepts, and reads no log of a Promise once it leads.
fn keeps(message: &mut PaxosMessage<Proposal>, decided: usize) -> bool {
    let PaxosMessage::SequencePaxos(message) = message else { return true };
    match &mut message.msg {
        PaxosMsg::Promise(promise) => {
            promise.log_sync = promise.log_sync.take().filter(|sync| sync.sync_idx >= decided);
            true
        }
        PaxosMsg::AcceptSync(accept) => accept.log_sync.sync_idx >= decided,
        _ => true,
    }
}

/// Puts the entries of a partial snapshot back into the log that it is to complete. The library (0.2.4) merges such a
/// snapshot with what its own log has up to the new count of decided entries, among it what was never decided.
fn unfold(message: &mut PaxosMessage<Proposal>) {
    let PaxosMessage::SequencePaxos(message) = message else { return };
    let sync = match &mut message.msg {
        PaxosMsg::Promise(promise) => promise.log_sync.as_mut(),
        PaxosMsg::AcceptSync(accept) => Some(&mut accept.log_sync),
        _ => None,
    };
    let Some(sync) = sync else { return };
    match sync.decided_snapshot.take() {
        Some(SnapshotType::Delta(part)) => {
            let mut entries = part.into_entries();
            sync.sync_idx = sync.sync_idx.saturating_sub(entries.len());
            entries.append(&mut sync.suffix);
            sync.suffix = entries;
        }
        other => sync.decided_snapshot = other,
    }
}

/// What a voter that has forgotten takes from all the others: the newest log, and the highest promise.
fn remembered(told: impl Iterator<Item = Persisted>) -> Persisted {
    let (mut best, mut promise) = (Persisted::default(), None);
    for kept in told {
        promise = promise.max(kept.promise);
        if (kept.accepted, kept.length()) > (best.accepted, best.length()) {
            best = kept;
        }
    }
    best.promise = promise;
    best
}
