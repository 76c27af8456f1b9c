//! The state machine of one voter. It drives `omnipaxos` and returns the resulting writes and messages. The
//! parent module documents its states and messages.

use std::mem;

use omnipaxos::messages::Message as PaxosMessage;
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use omnipaxos::util::LogEntry;

use super::heartbeat::{HeartbeatRounds, LeaderBallot};
use super::library::{self, Paxos, RESEND_INTERVAL_TICKS, is_led_by};
use super::message::Message;
use super::message_checks::{expand_partial_snapshot, is_within_bounds, preserves_decided_entries};
use super::recovery::Recovery;
use super::storage::{Decisions, MemoryStorage, Persisted, Proposal};
use super::types::{
    Batch, ConsensusConfig, ConsensusError, LeaderTerm, MAX_DECISION_BYTES, OutgoingMessage, ReceiveError,
    VoterId, Write,
};
use super::vote_file::VoteFileWriter;

/// Interval at which a new leader repeats `FollowedRequest`, in ticks: 100 ms. It is shorter than the resend
/// interval because a rollout waits for the replies.
const FOLLOWED_REQUEST_INTERVAL_TICKS: u64 = 2;
/// Number of decided entries after which the log is compacted into a snapshot. This many entries of
/// `MAX_DECISION_BYTES` each fit in one frame.
const SNAPSHOT_AFTER_ENTRIES: usize = 32;
/// A filler is proposed only while fewer entries than this are undecided, so that a leader without a majority
/// does not fill its log with fillers.
const MAX_UNDECIDED_FOR_FILLER: usize = SNAPSHOT_AFTER_ENTRIES;

/// States of a voter. All transitions are made by `Consensus::start_voting` and `Consensus::fail`.
enum Phase {
    /// The vote file was lost or never written; the voter collects the states of the other voters.
    Recovering(Recovery),
    Voting(Box<Paxos>),
    /// A write failed or `omnipaxos` rejected the configuration; the voter no longer votes.
    Failed,
}

/// A voter.
pub struct Consensus {
    pub(super) config: ConsensusConfig,
    phase: Phase,
    storage: MemoryStorage,
    file: VoteFileWriter,
    outgoing: Vec<OutgoingMessage>,
    decided: Decisions,
    /// The number of log entries applied to `decided`.
    applied_entries: usize,
    ticks: u64,
    /// Consecutive ticks during which the log has held undecided entries.
    undecided_ticks: u64,
    term: LeaderTerm,
    /// Start of the last round in which a majority followed this voter.
    confirmed_round_ms: f64,
    heartbeat: HeartbeatRounds,
    /// The caller's time at the last tick or message.
    now_ms: f64,
    superseded: u64,
}

impl Consensus {
    /// Creates a voter from the state in its vote file; without a state it first recovers from the other
    /// voters.
    ///
    /// # Errors
    /// `Voters` if the number of voters is not supported, `Settings` if `omnipaxos` rejects the
    /// configuration.
    pub fn new(
        config: ConsensusConfig,
        persisted: Option<Persisted>,
        now_ms: f64,
    ) -> Result<Consensus, ConsensusError> {
        if ![3, 5, 7].contains(&config.voter_count) {
            return Err(ConsensusError::Voters(config.voter_count));
        }
        let mut consensus = Consensus {
            heartbeat: HeartbeatRounds::new(config.voter_id, config.voter_count, config.nonce, now_ms),
            file: VoteFileWriter::new(config.generation),
            config,
            phase: Phase::Recovering(Recovery::default()),
            storage: MemoryStorage::default(),
            outgoing: Vec::new(),
            decided: Decisions::default(),
            applied_entries: 0,
            ticks: 0,
            undecided_ticks: 0,
            term: LeaderTerm::default(),
            confirmed_round_ms: f64::NEG_INFINITY,
            now_ms,
            superseded: 0,
        };
        if let Some(persisted) = persisted {
            consensus.start_voting(persisted)?;
        }
        Ok(consensus)
    }

    /// Makes the transition from Recovering to Voting. The first write replaces the whole file, whatever its
    /// content.
    fn start_voting(&mut self, persisted: Persisted) -> Result<(), ConsensusError> {
        self.storage = MemoryStorage::new(persisted);
        let paxos = library::build(&self.config, self.storage.clone())?;
        self.phase = Phase::Voting(Box::new(paxos));
        self.apply_decided();
        Ok(())
    }

    /// Makes the transition from any state to Failed. After a failed write the voter must not make promises
    /// that it could lose.
    pub fn fail(&mut self) {
        self.phase = Phase::Failed;
        self.outgoing.clear();
    }

    /// Whether this voter votes.
    pub fn is_voting(&self) -> bool {
        self.paxos().is_some()
    }

    /// Returns the `omnipaxos` replica, or `None` unless this voter votes.
    fn paxos(&self) -> Option<&Paxos> {
        match &self.phase {
            Phase::Voting(paxos) => Some(paxos),
            Phase::Recovering(_) | Phase::Failed => None,
        }
    }

    /// Returns the voter that this one has promised to follow, which leads or is about to lead.
    pub fn leader(&self) -> Option<VoterId> {
        self.paxos()?.get_current_leader().map(|(leader, _)| leader)
    }

    /// Whether this voter leads and may propose.
    pub fn is_leader(&self) -> bool {
        self.paxos().is_some_and(|paxos| is_led_by(paxos, self.config.voter_id))
    }

    /// Returns the newest decision of each topic.
    pub fn decided(&self) -> &Decisions {
        &self.decided
    }

    /// Returns the newest term in which a majority followed this voter as the leader.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Returns the voters, including this one, that followed this voter in the last round that a majority
    /// followed; empty if it does not lead.
    pub fn followers(&self) -> Vec<VoterId> {
        if self.is_leader() { self.heartbeat.followers() } else { Vec::new() }
    }

    /// Returns the start of the last round in which a majority followed this voter, in milliseconds of the
    /// caller's clock; `None` if it does not lead or no round was confirmed under its current ballot.
    pub fn last_confirmed_round(&self) -> Option<f64> {
        let promise = self.paxos()?.get_promise();
        let is_own_term = self.term.ballot == promise.n && self.term.leader == promise.pid;
        (is_own_term && self.is_leader()).then_some(self.confirmed_round_ms)
    }

    /// Returns the latest time, in milliseconds of the caller's clock, at which an earlier leader may have
    /// begun a round that a majority followed; `None` if this voter does not lead or does not know yet.
    pub fn predecessors_last_round(&self) -> Option<f64> {
        let promise = self.paxos()?.get_promise();
        self.heartbeat.predecessors_last_round(promise).filter(|_| self.is_leader())
    }

    /// Whether every entry of this voter's log is decided.
    pub fn log_is_committed(&self) -> bool {
        self.paxos().is_some_and(|paxos| paxos.get_accepted_idx() <= paxos.get_decided_idx())
    }

    /// Returns the number of proposals, among the log entries applied here, that were superseded by an
    /// earlier entry.
    pub fn superseded(&self) -> u64 {
        self.superseded
    }

    /// Proposes a decision based on `based_on_epoch`, the newest epoch known to the caller. Returns false if
    /// this voter does not lead, if its log has undecided entries, or if the body is longer than
    /// `MAX_DECISION_BYTES`.
    pub fn propose(&mut self, topic: u8, based_on_epoch: u64, body: Vec<u8>) -> bool {
        if !self.is_leader() || body.len() > MAX_DECISION_BYTES {
            return false;
        }
        let Phase::Voting(paxos) = &mut self.phase else { return false };
        let is_committed = paxos.get_accepted_idx() <= paxos.get_decided_idx();
        let is_accepted = is_committed && paxos.append(Proposal { topic, based_on_epoch, body }).is_ok();
        self.process_library_output();
        is_accepted
    }

    /// Advances the timers by one tick. Called twenty times a second.
    pub fn tick(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        self.ticks += 1;
        match &self.phase {
            Phase::Voting(_) => self.tick_voting(),
            Phase::Recovering(recovery) if self.ticks % RESEND_INTERVAL_TICKS == 1 => {
                for voter in recovery.missing(self.config.voter_id, self.config.voter_count) {
                    self.send(voter, &Message::StateRequest { nonce: self.config.nonce });
                }
            }
            Phase::Recovering(_) | Phase::Failed => {}
        }
        self.process_library_output();
    }

    fn tick_voting(&mut self) {
        let Phase::Voting(paxos) = &mut self.phase else { return };
        paxos.tick();
        let undecided = paxos.get_accepted_idx().saturating_sub(paxos.get_decided_idx());
        self.undecided_ticks = if undecided == 0 { 0 } else { self.undecided_ticks + 1 };
        // A voter detects a lost message only when the next one arrives. Proposals are made one at a time, so
        // the leader has to append a filler to produce that next message.
        if self.undecided_ticks > 0
            && self.undecided_ticks.is_multiple_of(RESEND_INTERVAL_TICKS)
            && undecided < MAX_UNDECIDED_FOR_FILLER
            && is_led_by(paxos, self.config.voter_id)
        {
            let _ = paxos.append(Proposal::filler());
        }
        if self.ticks.is_multiple_of(FOLLOWED_REQUEST_INTERVAL_TICKS) {
            self.send_followed_requests();
        }
    }

    /// If this voter is a new leader, asks other voters when they last followed another leader.
    fn send_followed_requests(&mut self) {
        if !self.is_leader() {
            return;
        }
        let query = self.heartbeat.succession_query();
        for voter in query.voters {
            self.send(voter, &Message::FollowedRequest { ballot: query.ballot });
        }
    }

    /// Handles a message from another voter.
    ///
    /// # Errors
    /// If the message is rejected; it then has no effect.
    pub fn receive(&mut self, now_ms: f64, from: VoterId, bytes: &[u8]) -> Result<(), ReceiveError> {
        self.now_ms = now_ms;
        if from == self.config.voter_id || !(1..=self.config.voter_count).contains(&from) {
            return Err(ReceiveError::UnknownSender(from));
        }
        match Message::decode(bytes)? {
            Message::Paxos(message) => self.receive_paxos(from, message)?,
            Message::FollowedRequest { ballot } => self.reply_to_followed_request(from, ballot),
            Message::FollowedReply { ballot, ago_ms } => {
                self.heartbeat.on_followed_reply(now_ms, from, ballot, ago_ms);
            }
            Message::StateRequest { nonce } => self.reply_to_state_request(from, nonce),
            // A reply to an earlier process of this voter.
            Message::StateReply { nonce, .. } if nonce != self.config.nonce => return Ok(()),
            Message::StateReply { state, .. } => self.receive_state(from, *state),
        }
        self.process_library_output();
        Ok(())
    }

    fn receive_paxos(
        &mut self,
        from: VoterId,
        mut message: Box<PaxosMessage<Proposal>>,
    ) -> Result<(), ReceiveError> {
        if message.get_sender() != from || message.get_receiver() != self.config.voter_id {
            return Err(ReceiveError::Misaddressed);
        }
        if !is_within_bounds(&message) {
            return Err(ReceiveError::OutOfBounds);
        }
        expand_partial_snapshot(&mut message);
        let Phase::Voting(paxos) = &mut self.phase else { return Ok(()) };
        if !preserves_decided_entries(&mut message, paxos.get_decided_idx()) {
            return Ok(());
        }
        if let PaxosMessage::BLE(heartbeat) = &mut *message
            && let HeartbeatMsg::Reply(reply) = &mut heartbeat.msg
        {
            self.heartbeat.on_reply(from, reply, paxos.get_promise());
        }
        paxos.handle_incoming(*message);
        Ok(())
    }

    fn reply_to_followed_request(&mut self, from: VoterId, ballot: LeaderBallot) {
        let Some(paxos) = self.paxos() else { return };
        let ago_ms = self.heartbeat.ms_since_followed_other(self.now_ms, ballot, paxos.get_promise());
        if let Some(ago_ms) = ago_ms {
            self.send(from, &Message::FollowedReply { ballot, ago_ms });
        }
    }

    fn reply_to_state_request(&mut self, from: VoterId, nonce: u64) {
        let state = match &self.phase {
            Phase::Voting(_) => self.storage.persisted(),
            Phase::Recovering(_) => Persisted::default(),
            Phase::Failed => return,
        };
        self.send(from, &Message::StateReply { nonce, state: Box::new(state) });
    }

    fn receive_state(&mut self, from: VoterId, state: Persisted) {
        let Phase::Recovering(recovery) = &mut self.phase else { return };
        if let Some(persisted) = recovery.record(from, state, self.config.voter_count)
            && self.start_voting(persisted).is_err()
        {
            self.fail();
        }
    }

    fn send(&mut self, to: VoterId, message: &Message) {
        self.outgoing.push(OutgoingMessage { to, bytes: message.encode() });
    }

    /// Collects the messages and decided entries that `omnipaxos` has produced.
    fn process_library_output(&mut self) {
        let Phase::Voting(paxos) = &mut self.phase else { return };
        let mut messages = Vec::new();
        paxos.take_outgoing_messages(&mut messages);
        let promise = paxos.get_promise();
        for mut message in messages {
            if let PaxosMessage::BLE(heartbeat) = &mut message {
                self.heartbeat.on_send(self.now_ms, &mut heartbeat.msg, promise);
            }
            let to = message.get_receiver();
            self.send(to, &Message::Paxos(Box::new(message)));
        }
        self.confirm_round();
        self.apply_decided();
    }

    /// Advances the term once per round, when a majority has followed this voter in the current round.
    fn confirm_round(&mut self) {
        let Some(ballot) = self.paxos().map(Paxos::get_promise).filter(|_| self.is_leader()) else {
            return;
        };
        self.heartbeat.begin_leading(ballot);
        if !self.heartbeat.confirm_round() {
            return;
        }
        self.confirmed_round_ms = self.heartbeat.round_started_ms();
        let is_same_ballot = self.term.ballot == ballot.n && self.term.leader == ballot.pid;
        let round = if is_same_ballot { self.term.round + 1 } else { 1 };
        self.term = LeaderTerm { ballot: ballot.n, leader: ballot.pid, round };
    }

    /// Applies the entries decided since the last call and compacts the log when it is long enough.
    fn apply_decided(&mut self) {
        let Phase::Voting(paxos) = &mut self.phase else { return };
        for entry in paxos.read_decided_suffix(self.applied_entries).unwrap_or_default() {
            match entry {
                LogEntry::Decided(proposal) => {
                    let has_effect = self.decided.apply(&proposal);
                    self.superseded += u64::from(!has_effect && !proposal.is_filler());
                }
                LogEntry::Snapshotted(compacted) => self.decided = compacted.snapshot.decided(),
                _ => {}
            }
        }
        self.applied_entries = paxos.get_decided_idx();
        if self.applied_entries > paxos.get_compacted_idx() + SNAPSHOT_AFTER_ENTRIES {
            // Has no effect if it is not possible now; the next call tries again.
            let _ = paxos.snapshot(Some(self.applied_entries), true);
        }
    }

    /// Returns the write and the messages produced since the last call, or `None` if there are none.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let changes = self.storage.take_unwritten();
        let messages = mem::take(&mut self.outgoing);
        let write = match &self.phase {
            Phase::Voting(_) => self.file.next_write(&changes, &self.storage),
            Phase::Recovering(_) | Phase::Failed => Write::Nothing,
        };
        let is_empty = write == Write::Nothing && messages.is_empty();
        (!is_empty).then_some(Batch { write, messages })
    }
}
