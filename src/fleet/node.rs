//! The node of a member: it takes frames, drives membership, consensus and documents, and collects effects and events for the caller.

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

/// Most members of a fleet.
pub const MAX_MEMBERS: usize = 4096;
/// Time between two ticks, in milliseconds.
pub const TICK_MS: f64 = 50.0;
/// Most events that wait for the caller, so that peers cannot fill the memory; further module messages are dropped.
const MAX_QUEUED_EVENTS: usize = 4096;
/// Most messages that wait for one write, where a disk is slow; further ones are dropped, and sent again by the library.
const MAX_MESSAGES_PER_WRITE: usize = 4096;
/// Most topics of a frame: several times as many as the control plane has modules.
const MAX_TOPICS_PER_FRAME: usize = 16;

/// The node of one member.
pub struct FleetNode {
    config: NodeConfig,
    /// The members that vote, in order.
    voters: Vec<MemberId>,
    /// This member's number among them.
    voter_id: Option<VoterId>,
    /// Where this member is a voter.
    pub(super) consensus: Option<Consensus>,
    /// Messages that wait for a write, of each batch; the first for the write that is under way.
    awaiting_write: VecDeque<Vec<OutgoingMessage>>,
    swim: Swim,
    documents: Documents,
    pub(super) known: KnownDecisions,
    /// One for each member.
    filters: Vec<ReorderFilter>,
    /// The number of the last frame to each member.
    sent_frames: Vec<u64>,
    last_tick_ms: f64,
    effects: Vec<Effect>,
    pub(super) events: VecDeque<NodeEvent>,
    pub(super) counters: NodeCounters,
    random: fastrand::Rng,
}

impl FleetNode {
    /// A node, with the state that its voter's file has.
    ///
    /// # Errors
    /// Where the member is a voter and its consensus cannot be set up, as with an unsupported number of voters.
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

    /// What is to be done since the last call, in order. The caller must carry out all of it.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.flush();
        std::mem::take(&mut self.effects)
    }

    /// The next event for a module. The caller must ask until there is none.
    pub fn next_event(&mut self) -> Option<NodeEvent> {
        self.events.pop_front()
    }

    /// When `tick` is to be called next, in milliseconds.
    pub fn next_deadline(&self) -> f64 {
        self.last_tick_ms + TICK_MS
    }

    /// Drives all that depends on the clock.
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

    /// A datagram from a member's address. What is not accepted is counted and dropped.
    ///
    /// # Errors
    /// Where the datagram is no frame of this cluster from that member, or its body is not accepted. A frame that is late
    /// or repeated is no error.
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
        if is_from_member { Ok(frame) } else { Err(FrameError::Damaged) }
    }

    fn receive_frame(&mut self, now_ms: f64, frame: Frame) -> Result<(), FrameError> {
        let filter = self.filters.get_mut(usize::from(frame.from)).ok_or(FrameError::Damaged)?;
        // Modules rely on the order of each link.
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
            Body::Swim(packet) => self.swim.receive(now_ms, &packet).map_err(|_| FrameError::Damaged)?,
            Body::Consensus(message) => {
                let voter = voter_id(&self.voters, from).ok_or(FrameError::Unexpected)?;
                let consensus = self.consensus.as_mut().ok_or(FrameError::Unexpected)?;
                consensus.receive(now_ms, voter, &message).map_err(|_| FrameError::Damaged)?;
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

    /// The oldest `Effect::Write` has been written and synced, or has failed: then this voter votes no more.
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

    /// Sends a message to the same module of another member; one to this member is delivered as an event.
    pub fn send_message(&mut self, to: MemberId, topic: u8, bytes: Vec<u8>) {
        if to == self.config.member_id {
            let incarnation = self.config.incarnation;
            return self.events.push_back(NodeEvent::Message { topic, from: to, incarnation, bytes });
        }
        self.send(to, Body::ModuleMessage { topic, bytes });
    }

    /// Stores a document for others to request, and gives its hash; none where it is too long.
    pub fn store_document(&mut self, bytes: &[u8]) -> Option<DocumentHash> {
        self.documents.store(bytes)
    }

    /// A document, where it is here.
    pub fn document(&mut self, hash: &DocumentHash) -> Option<Arc<[u8]>> {
        self.documents.get(hash)
    }

    /// Has a document requested until it is here or `cancel_document_request` is called, first of a member that should
    /// have it.
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

    /// Requests a document no more.
    pub fn cancel_document_request(&mut self, hash: &DocumentHash) {
        self.documents.cancel_request(hash);
    }

    /// When the last round began in which a majority followed this node as the leader, in milliseconds; none where the
    /// newest term known is another leader's.
    pub fn last_confirmed_round(&self) -> Option<f64> {
        let is_own_term = self.term().leader() == self.voter_id;
        self.consensus.as_ref().filter(|_| is_own_term)?.last_confirmed_round()
    }

    /// The latest time, in milliseconds, at which a leader before this one may have begun a round that a majority
    /// followed; none where this node does not lead, or does not know yet.
    pub fn predecessors_last_round(&self) -> Option<f64> {
        self.consensus.as_ref()?.predecessors_last_round()
    }

    /// The voter that leads, as a member: the one that a majority was last known to follow. A voter that was cut off may
    /// not know that by its own log for long.
    pub fn leader(&self) -> Option<MemberId> {
        let leader = self.term().leader().or_else(|| self.consensus.as_ref()?.leader());
        self.voters.get((leader? as usize).checked_sub(1)?).copied()
    }

    /// The members whose votes carry this leader; none where it does not lead.
    pub fn followers(&self) -> Vec<MemberId> {
        let followers = self.consensus.as_ref().map(Consensus::followers).unwrap_or_default();
        followers.iter().filter_map(|voter| self.voters.get(*voter as usize - 1).copied()).collect()
    }

    /// The members that vote.
    pub fn voters(&self) -> &[MemberId] {
        &self.voters
    }

    /// Whether this member is a voter by the operator's file.
    pub(super) fn is_voter(&self) -> bool {
        self.voter_id.is_some()
    }

    /// This member.
    pub fn member_id(&self) -> MemberId {
        self.config.member_id
    }

    /// What the operator's file says of all members.
    pub fn members(&self) -> &[MemberConfig] {
        &self.config.members
    }

    /// All members but this one.
    pub(super) fn other_members(&self) -> impl Iterator<Item = MemberId> + use<> {
        let own = self.config.member_id;
        (0..self.config.members.len() as MemberId).filter(move |member| *member != own)
    }

    /// Gives out what membership and consensus want sent and written.
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
            // Batches stay in order: these messages wait for the last write before them.
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

    /// What it has counted.
    pub fn counters(&self) -> &NodeCounters {
        &self.counters
    }

    /// Whether each member is up, in the order of the operator's file.
    pub fn alive(&self) -> &[bool] {
        self.swim.alive()
    }

    /// Whether it votes now; none where it is no voter.
    pub fn is_voting(&self) -> Option<bool> {
        self.consensus.as_ref().map(Consensus::is_voting)
    }

    /// Whether it leads.
    pub fn is_leader(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::is_leader)
    }

    /// Whether all that this voter has in its log is decided.
    pub fn log_is_committed(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::log_is_committed)
    }

    /// How many proposals of the log, as far as it was applied here, had no effect since another decision was made before
    /// them; 0 where this member is no voter.
    pub fn superseded(&self) -> u64 {
        self.consensus.as_ref().map_or(0, Consensus::superseded)
    }
}

/// A member's number among the voters, from 1.
fn voter_id(voters: &[MemberId], member: MemberId) -> Option<VoterId> {
    voters.iter().position(|voter| *voter == member).map(|position| position as VoterId + 1)
}
