//! A member's node. It handles frames, drives membership, consensus and documents, and collects effects and
//! events for the caller.

use std::collections::VecDeque;
use std::sync::Arc;

use super::decision_exchange::KnownDecisions;
use super::delivery::ReorderFilter;
use super::documents::{DocumentHash, Documents};
use super::frame::{Body, Frame, FrameError, MAX_FRAME_BYTES};
use super::swim::Swim;
use super::types::{Effect, MemberConfig, MemberId, NodeConfig, NodeCounters, NodeEvent};
use crate::consensus::{
    Batch, Consensus, ConsensusConfig, ConsensusError, OutgoingMessage, Persisted, VoterId, Write,
};

/// Maximum number of members of a fleet.
pub const MAX_MEMBERS: usize = 4096;
/// Interval between two ticks, in milliseconds.
pub const TICK_MS: f64 = 50.0;
/// Maximum number of events queued for the caller, so that peers cannot exhaust memory. Further module
/// messages are dropped.
const MAX_QUEUED_EVENTS: usize = 4096;
/// Maximum number of messages queued behind one write, which matters with a slow disk. Further ones are
/// dropped, and `omnipaxos` sends them again.
const MAX_MESSAGES_PER_WRITE: usize = 4096;
/// Maximum number of topics in a frame: several times the number of control-plane modules.
const MAX_TOPICS_PER_FRAME: usize = 16;

/// A member's node.
pub struct FleetNode {
    config: NodeConfig,
    /// The voters, in the order of the operator's file.
    voters: Vec<MemberId>,
    /// This member's voter ID; `None` if it is not a voter.
    voter_id: Option<VoterId>,
    /// This member's consensus voter; `None` if it is not a voter.
    pub(super) consensus: Option<Consensus>,
    /// Messages that wait for a write to be synced, one entry per pending write; the first entry belongs to
    /// the oldest write.
    awaiting_write: VecDeque<Vec<OutgoingMessage>>,
    swim: Swim,
    documents: Documents,
    pub(super) known: KnownDecisions,
    /// One filter for each member.
    filters: Vec<ReorderFilter>,
    /// The number of the last frame sent to each member.
    sent_frames: Vec<u64>,
    last_tick_ms: f64,
    effects: Vec<Effect>,
    pub(super) events: VecDeque<NodeEvent>,
    pub(super) counters: NodeCounters,
    random: fastrand::Rng,
}

impl FleetNode {
    /// Creates a node, with the state read from its vote file.
    ///
    /// # Errors
    /// If the member is a voter and its consensus cannot be set up, for example because the number of voters
    /// is not supported.
    pub fn new(
        config: NodeConfig,
        persisted: Option<Persisted>,
        now_ms: f64,
    ) -> Result<FleetNode, ConsensusError> {
        let members = config.members.len();
        let voters: Vec<MemberId> =
            (0..members).filter(|&at| config.members[at].is_voter).map(|at| at as MemberId).collect();
        let voter_id = voter_id(&voters, config.member_id);
        let consensus = voter_id.map(|voter_id| {
            let consensus = ConsensusConfig {
                voter_id,
                voter_count: voters.len() as u64,
                generation: config.generation,
                nonce: config.incarnation,
            };
            Consensus::new(consensus, persisted, now_ms)
        });
        Ok(FleetNode {
            swim: Swim::new(config.member_id, members, config.incarnation, config.seed),
            consensus: consensus.transpose()?,
            documents: Documents::default(),
            voters,
            voter_id,
            awaiting_write: VecDeque::new(),
            known: KnownDecisions::new(now_ms),
            filters: vec![ReorderFilter::default(); members],
            sent_frames: vec![0; members],
            last_tick_ms: f64::NEG_INFINITY,
            effects: Vec::new(),
            events: VecDeque::new(),
            counters: NodeCounters::default(),
            random: fastrand::Rng::with_seed(config.seed),
            config,
        })
    }

    /// Returns the effects since the last call, in order. The caller must carry out all of them.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.flush();
        std::mem::take(&mut self.effects)
    }

    /// Returns the next event for a module. The caller must call this until it returns `None`.
    pub fn next_event(&mut self) -> Option<NodeEvent> {
        self.events.pop_front()
    }

    /// Returns the time at which `tick` is due next, in milliseconds.
    pub fn next_deadline(&self) -> f64 {
        self.last_tick_ms + TICK_MS
    }

    /// Advances everything that depends on the clock.
    pub fn tick(&mut self, now_ms: f64) {
        self.last_tick_ms = now_ms;
        let random = &mut self.random;
        self.swim.tick(now_ms, |members| random.usize(..members.max(1)));
        if let Some(consensus) = &mut self.consensus {
            consensus.tick(now_ms);
        }
        self.follow_consensus(now_ms);
        self.query_decisions(now_ms);
        self.send_chunk_requests(now_ms);
    }

    /// Handles a datagram from a member's address. A rejected datagram is counted and dropped.
    ///
    /// # Errors
    /// If the datagram is not a frame of this cluster from that member, or its body is rejected. A frame that
    /// is late or repeated is not an error.
    pub fn receive(&mut self, now_ms: f64, from: MemberId, bytes: &[u8]) -> Result<(), FrameError> {
        self.counters.received_bytes += bytes.len() as u64;
        let result = self.decode(from, bytes).and_then(|frame| self.receive_frame(now_ms, frame));
        if result.is_err() {
            self.counters.dropped += 1;
        }
        result
    }

    fn decode(&self, from: MemberId, bytes: &[u8]) -> Result<Frame, FrameError> {
        let frame = Frame::decode(bytes, &self.config.cluster, self.config.generation)?;
        let is_from_member = frame.from == from && from != self.config.member_id;
        if is_from_member { Ok(frame) } else { Err(FrameError::Invalid) }
    }

    fn receive_frame(&mut self, now_ms: f64, frame: Frame) -> Result<(), FrameError> {
        let filter = self.filters.get_mut(usize::from(frame.from)).ok_or(FrameError::Invalid)?;
        // Modules rely on in-order delivery on each link.
        if !filter.accept(&frame) {
            self.counters.stale += 1;
            return Ok(());
        }
        let result = self.dispatch(now_ms, frame);
        if result.is_ok() {
            self.counters.frames += 1;
        }
        self.follow_consensus(now_ms);
        result
    }

    fn dispatch(&mut self, now_ms: f64, frame: Frame) -> Result<(), FrameError> {
        let Frame { from, incarnation, body, .. } = frame;
        match body {
            Body::Swim(packet) => self.swim.receive(now_ms, &packet).map_err(|_| FrameError::Invalid)?,
            Body::Consensus(message) => {
                let voter = voter_id(&self.voters, from).ok_or(FrameError::Unexpected)?;
                let consensus = self.consensus.as_mut().ok_or(FrameError::Unexpected)?;
                consensus.receive(now_ms, voter, &message).map_err(|_| FrameError::Invalid)?;
            }
            Body::DecisionQuery(epochs) => {
                if !self.is_voter() || epochs.len() > MAX_TOPICS_PER_FRAME {
                    return Err(FrameError::Unexpected);
                }
                self.reply_to_query(from, &epochs);
            }
            Body::DecisionUpdate { decisions, term } => {
                if !self.voters.contains(&from) || decisions.len() > MAX_TOPICS_PER_FRAME {
                    return Err(FrameError::Unexpected);
                }
                self.known.raise_term(now_ms, term);
                for decision in decisions {
                    self.learn_decision(decision);
                }
            }
            Body::ModuleMessage { topic, bytes } => {
                if self.events.len() < MAX_QUEUED_EVENTS {
                    self.events.push_back(NodeEvent::Message { topic, from, incarnation, bytes });
                }
            }
            Body::ChunkRequest { hash, index } => {
                if let Some(chunk) = self.documents.chunk(&hash, index) {
                    self.send(from, Body::DocumentChunk(chunk));
                }
            }
            Body::DocumentChunk(chunk) => {
                let hash = chunk.hash;
                if self.documents.receive_chunk(from, chunk) {
                    self.events.push_back(NodeEvent::Document(hash));
                }
                self.send_chunk_requests(now_ms);
            }
        }
        Ok(())
    }

    /// Reports that the oldest pending `Effect::Write` has been synced or has failed. After a failure this
    /// voter no longer votes.
    pub fn on_written(&mut self, is_synced: bool) {
        if !is_synced {
            self.awaiting_write.clear();
            if let Some(consensus) = &mut self.consensus {
                consensus.fail();
            }
            return;
        }
        let messages = self.awaiting_write.pop_front().unwrap_or_default();
        self.send_to_voters(messages);
    }

    /// Sends a message to the same module of another member. A message to this member itself is delivered as
    /// an event.
    pub fn send_message(&mut self, to: MemberId, topic: u8, bytes: Vec<u8>) {
        if to == self.config.member_id {
            let incarnation = self.config.incarnation;
            return self.events.push_back(NodeEvent::Message { topic, from: to, incarnation, bytes });
        }
        self.send(to, Body::ModuleMessage { topic, bytes });
    }

    /// Stores a document for others to request, and returns its hash; `None` if the document is too long.
    pub fn store_document(&mut self, bytes: &[u8]) -> Option<DocumentHash> {
        self.documents.store(bytes)
    }

    /// Returns a stored document, or `None` if it is not stored here.
    pub fn document(&mut self, hash: &DocumentHash) -> Option<Arc<[u8]>> {
        self.documents.get(hash)
    }

    /// Requests a document until it arrives or `cancel_document_request` is called. `source` is a member
    /// expected to have it, which is asked first.
    pub fn request_document(&mut self, now_ms: f64, hash: DocumentHash, source: Option<MemberId>) {
        self.documents.request(hash, source);
        self.send_chunk_requests(now_ms);
    }

    fn send_chunk_requests(&mut self, now_ms: f64) {
        let alive = self.swim.alive();
        let others: Vec<MemberId> =
            self.other_members().filter(|member| alive.get(usize::from(*member)) == Some(&true)).collect();
        for request in self.documents.due_requests(now_ms, &others) {
            self.send(request.member, Body::ChunkRequest { hash: request.hash, index: request.index });
        }
    }

    /// Stops requesting a document.
    pub fn cancel_document_request(&mut self, hash: &DocumentHash) {
        self.documents.cancel_request(hash);
    }

    /// Returns the start of the last round in which a majority followed this node as the leader, in
    /// milliseconds; `None` if the newest known term is another leader's.
    pub fn last_confirmed_round(&self) -> Option<f64> {
        let is_own_term = self.term().leader() == self.voter_id;
        self.consensus.as_ref().filter(|_| is_own_term)?.last_confirmed_round()
    }

    /// Returns the latest time, in milliseconds, at which an earlier leader may have begun a round that a
    /// majority followed; `None` if this node does not lead or does not know yet.
    pub fn predecessors_last_round(&self) -> Option<f64> {
        self.consensus.as_ref()?.predecessors_last_round()
    }

    /// Returns the member that leads: the one last known to be followed by a majority. This is preferred to
    /// the voter's own log, which in a voter that was cut off may name an outdated leader for some time.
    pub fn leader(&self) -> Option<MemberId> {
        let leader = self.term().leader().or_else(|| self.consensus.as_ref()?.leader());
        self.voters.get((leader? as usize).checked_sub(1)?).copied()
    }

    /// Returns the members that follow this node as the leader; empty if it does not lead.
    pub fn followers(&self) -> Vec<MemberId> {
        let followers = self.consensus.as_ref().map(Consensus::followers).unwrap_or_default();
        followers.iter().filter_map(|voter| self.voters.get(*voter as usize - 1).copied()).collect()
    }

    /// Returns the members that are voters, in the order of the operator's file.
    pub fn voters(&self) -> &[MemberId] {
        &self.voters
    }

    /// Whether the operator's file makes this member a voter.
    pub(super) fn is_voter(&self) -> bool {
        self.voter_id.is_some()
    }

    /// Returns the ID of this member.
    pub fn member_id(&self) -> MemberId {
        self.config.member_id
    }

    /// Returns the configuration of all members.
    pub fn members(&self) -> &[MemberConfig] {
        &self.config.members
    }

    /// Returns all members except this one.
    pub(super) fn other_members(&self) -> impl Iterator<Item = MemberId> + use<> {
        let own = self.config.member_id;
        (0..self.config.members.len() as MemberId).filter(move |member| *member != own)
    }

    /// Turns the output of membership and consensus into effects.
    fn flush(&mut self) {
        for packet in self.swim.take_packets() {
            self.send(packet.to, Body::Swim(packet.bytes));
        }
        let Some(Batch { write, messages }) = self.consensus.as_mut().and_then(Consensus::take_batch) else {
            return;
        };
        if write != Write::Nothing {
            self.awaiting_write.push_back(messages);
            return self.effects.push(Effect::Write(write));
        }
        match self.awaiting_write.back_mut() {
            None => self.send_to_voters(messages),
            // Batches must stay in order, so these messages wait for the last pending write.
            Some(last) if last.len() < MAX_MESSAGES_PER_WRITE => last.extend(messages),
            Some(_) => {}
        }
    }

    fn send_to_voters(&mut self, messages: Vec<OutgoingMessage>) {
        for message in messages {
            if let Some(&to) = self.voters.get(message.to as usize - 1) {
                self.send(to, Body::Consensus(message.bytes));
            }
        }
    }

    pub(super) fn send(&mut self, to: MemberId, body: Body) {
        let Some(number) = self.sent_frames.get_mut(usize::from(to)) else { return };
        *number += 1;
        let (from, incarnation) = (self.config.member_id, self.config.incarnation);
        let frame = Frame { from, incarnation, number: *number, body };
        let bytes = frame.encode(&self.config.cluster, self.config.generation);
        if bytes.len() <= MAX_FRAME_BYTES {
            self.counters.sent_bytes += bytes.len() as u64;
            self.effects.push(Effect::Send { to, bytes });
        }
    }

    /// Returns the node's counters.
    pub fn counters(&self) -> &NodeCounters {
        &self.counters
    }

    /// Returns whether each member is up, in the order of the operator's file.
    pub fn alive(&self) -> &[bool] {
        self.swim.alive()
    }

    /// Whether this member votes now; `None` if it is not a voter.
    pub fn is_voting(&self) -> Option<bool> {
        self.consensus.as_ref().map(Consensus::is_voting)
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::is_leader)
    }

    /// Whether every entry of this voter's log is decided; false if this member is not a voter.
    pub fn log_is_committed(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::log_is_committed)
    }

    /// Returns the number of proposals, among the log entries applied here, that were superseded by an
    /// earlier entry; 0 if this member is not a voter.
    pub fn superseded(&self) -> u64 {
        self.consensus.as_ref().map_or(0, Consensus::superseded)
    }
}

/// Returns a member's voter ID, from 1; `None` if it is not a voter.
fn voter_id(voters: &[MemberId], member: MemberId) -> Option<VoterId> {
    voters.iter().position(|voter| *voter == member).map(|position| position as VoterId + 1)
}
