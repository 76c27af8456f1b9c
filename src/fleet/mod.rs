//! A dispatcher among the others, free of I/O: who is there (`swim`), what is agreed (`crate::consensus`), frames between
//! the members, and documents too long for a decision (`documents`).
//!
//! It is the transport that parts use. A part has a topic; its messages to other members and its decisions in the
//! consensus travel here, and what they mean is the part's alone. A node is driven by frames and the clock, and gives out
//! effects (what is to be sent and written) and news (what its parts are to be told), each in order.

mod delivery;
mod documents;
mod frame;
mod swim;
#[cfg(test)]
mod tests;
mod types;
#[cfg(test)]
mod wire_tests;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

pub use documents::{DocumentHash, MAX_DOCUMENT_BYTES, hash, short};
pub use frame::{Body, Decision, Frame, FrameError, MAX_FRAME_BYTES};

use crate::consensus::{
    Batch, Consensus, ConsensusConfig, ConsensusError, LeaderTerm, OutgoingMessage, Persisted, VoterId, Write,
};
use delivery::ReorderFilter;
use documents::Documents;
use swim::Swim;
pub use types::{Effect, MemberConfig, MemberId, NodeConfig, NodeCounters, NodeEvent};

/// Most members of a fleet.
pub const MAX_MEMBERS: usize = 4096;
/// Time between two ticks, in milliseconds.
pub const TICK_MS: f64 = 50.0;
/// A member asks voters for news so often, in milliseconds: what was sent to it at once may have been lost.
const ASKS: f64 = 250.0;
/// Most messages that wait for a write.
const WAITING: usize = 4096;
/// Topics that are taken from others at most.
const TOPICS: usize = 16;

/// The node.
pub struct FleetNode {
    setup: NodeConfig,
    /// The members that vote, in order.
    voters: Vec<MemberId>,
    /// Its number among them.
    voter: Option<VoterId>,
    consensus: Option<Consensus>,
    /// Messages that wait for a write, of each batch; the first for the write that is under way.
    held: VecDeque<Vec<OutgoingMessage>>,
    swim: Swim,
    documents: Documents,
    /// The newest decision of each topic, by its epoch.
    decided: BTreeMap<u8, (u64, Vec<u8>)>,
    term: LeaderTerm,
    /// When the term last rose.
    term_raised: f64,
    newest: Vec<ReorderFilter>,
    numbers: Vec<u64>,
    ticked: f64,
    asked: f64,
    /// Times that voters were asked.
    asks: usize,
    effects: Vec<Effect>,
    news: VecDeque<NodeEvent>,
    counters: NodeCounters,
    draws: fastrand::Rng,
}

impl FleetNode {
    /// A node, with what its voter's file says.
    pub fn new(setup: NodeConfig, kept: Option<Persisted>, now: f64) -> Result<FleetNode, ConsensusError> {
        let members = setup.members.len();
        let voters: Vec<MemberId> =
            (0..members).filter(|&at| setup.members[at].is_voter).map(|at| at as MemberId).collect();
        let voter = voters.iter().position(|&member| member == setup.own).map(|at| at as VoterId + 1);
        let consensus = voter.map(|own| {
            let (voters, generation) = (voters.len() as u64, setup.generation);
            Consensus::new(
                ConsensusConfig { voter_id: own, voter_count: voters, generation, nonce: setup.incarnation },
                kept,
                now,
            )
        });
        Ok(FleetNode {
            swim: Swim::new(setup.own, members, setup.incarnation, setup.seed),
            consensus: consensus.transpose()?,
            documents: Documents::default(),
            voters,
            voter,
            held: VecDeque::new(),
            decided: BTreeMap::new(),
            term: LeaderTerm::default(),
            term_raised: now,
            newest: vec![ReorderFilter::default(); members],
            numbers: vec![0; members],
            ticked: f64::NEG_INFINITY,
            asked: f64::NEG_INFINITY,
            asks: 0,
            effects: Vec::new(),
            news: VecDeque::new(),
            counters: NodeCounters::default(),
            draws: fastrand::Rng::with_seed(setup.seed),
            setup,
        })
    }

    /// What is to be done since the last call, in order. The caller carries out all of it.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.flush();
        std::mem::take(&mut self.effects)
    }

    /// What a part is to be told next. The caller asks until there is none.
    pub fn next_event(&mut self) -> Option<NodeEvent> {
        self.news.pop_front()
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> f64 {
        self.ticked + TICK_MS
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) {
        self.ticked = now;
        let draws = &mut self.draws;
        self.swim.tick(now, |others| draws.usize(..others.max(1)));
        if let Some(consensus) = &mut self.consensus {
            consensus.tick(now);
        }
        self.step(now);
        if now >= self.asked + ASKS {
            self.asked = now;
            let known: Vec<(u8, u64)> =
                self.decided.iter().map(|(topic, (epoch, _))| (*topic, *epoch)).collect();
            for voter in self.voters_to_ask() {
                self.send(voter, Body::DecisionQuery(known.clone()));
            }
        }
        self.ask_documents(now);
    }

    /// The voters to ask for news now: the leader, and the others in turn. All of them where nobody is known to lead.
    fn voters_to_ask(&mut self) -> Vec<MemberId> {
        let voters = self.others(&self.voters);
        let Some(leader) = self.leader() else { return voters };
        self.asks += 1;
        let turn = self.asks % voters.len().max(1);
        let asked = |(at, voter): (usize, MemberId)| (at == turn || voter == leader).then_some(voter);
        voters.into_iter().enumerate().filter_map(asked).collect()
    }

    fn others(&self, members: &[MemberId]) -> Vec<MemberId> {
        members.iter().copied().filter(|member| *member != self.setup.own).collect()
    }

    /// A datagram from a member's address. What cannot be taken is counted and dropped.
    pub fn receive(&mut self, now: f64, from: MemberId, bytes: &[u8]) -> Result<(), FrameError> {
        self.counters.received_bytes += bytes.len() as u64;
        let frame = Frame::decode(bytes, &self.setup.cluster, self.setup.generation);
        let frame = match frame {
            Ok(frame) if frame.from == from && from != self.setup.own => frame,
            other => {
                self.counters.dropped += 1;
                return other.and(Err(FrameError::Damaged));
            }
        };
        let Some(newest) = self.newest.get_mut(usize::from(from)) else {
            self.counters.dropped += 1;
            return Err(FrameError::Damaged);
        };
        // What comes late or twice is dropped: parts above see each link in order.
        if !newest.takes(&frame) {
            self.counters.stale += 1;
            return Ok(());
        }
        let taken = self.take(now, from, frame.incarnation, frame.body);
        let count = if taken { &mut self.counters.frames } else { &mut self.counters.dropped };
        *count += 1;
        self.step(now);
        if taken { Ok(()) } else { Err(FrameError::Damaged) }
    }

    fn take(&mut self, now: f64, from: MemberId, incarnation: u64, body: Body) -> bool {
        match body {
            Body::Swim(packet) => self.swim.receive(now, &packet),
            Body::Consensus(message) => {
                let Some(voter) = self.voters.iter().position(|member| *member == from) else { return false };
                self.consensus
                    .as_mut()
                    .is_some_and(|consensus| consensus.receive(now, voter as VoterId + 1, &message).is_ok())
            }
            Body::DecisionQuery(known) => {
                if self.voter.is_none() || known.len() > TOPICS {
                    return false;
                }
                self.send_news(from, &known);
                true
            }
            Body::DecisionUpdate { decisions, term } => {
                if !self.voters.contains(&from) || decisions.len() > TOPICS {
                    return false;
                }
                self.raise_term(now, term);
                for Decision { topic, epoch, body } in decisions {
                    self.learn(topic, epoch, &body);
                }
                true
            }
            Body::ModuleMessage { topic, bytes } => {
                if self.news.len() < WAITING {
                    self.news.push_back(NodeEvent::Message { topic, from, incarnation, bytes });
                }
                true
            }
            Body::ChunkRequest { hash, at } => {
                if let Some((length, bytes)) = self.documents.piece(&hash, at) {
                    self.send(from, Body::DocumentChunk { hash, length, at, bytes });
                }
                true
            }
            Body::DocumentChunk { hash, length, at, bytes } => {
                if self.documents.take(from, &hash, length, at, bytes) {
                    self.news.push_back(NodeEvent::Document(hash));
                }
                self.ask_documents(now);
                true
            }
        }
    }

    /// A write has been done, and synced, or has failed.
    pub fn on_written(&mut self, done: bool) {
        if !done {
            self.held.clear();
            if let Some(consensus) = &mut self.consensus {
                consensus.fail();
            }
            return;
        }
        let messages = self.held.pop_front().unwrap_or_default();
        self.post(messages);
    }

    /// Follows what the consensus has decided.
    fn step(&mut self, now: f64) {
        let Some(consensus) = &self.consensus else { return };
        let term = consensus.term();
        let begins_to_lead = term > self.term && term.leader() != self.term.leader();
        let known = |topic: u8| self.decided.get(&topic).map_or(0, |(epoch, _)| *epoch);
        let fresh: Vec<(u8, u64, Vec<u8>)> = consensus
            .decided()
            .all()
            .filter(|decision| decision.epoch > known(decision.topic))
            .map(|decision| (decision.topic, decision.epoch, decision.body.to_vec()))
            .collect();
        self.raise_term(now, term);
        if begins_to_lead {
            // Guards against leases that run out while members still ask a leader that has gone.
            self.announce();
        }
        for (topic, epoch, body) in fresh {
            self.learn(topic, epoch, &body);
        }
    }

    /// Tells all members who leads.
    fn announce(&mut self) {
        for member in 0..self.setup.members.len() as MemberId {
            if member != self.setup.own {
                self.send(member, Body::DecisionUpdate { decisions: Vec::new(), term: self.term });
            }
        }
    }

    fn raise_term(&mut self, now: f64, term: LeaderTerm) {
        if term > self.term {
            (self.term, self.term_raised) = (term, now);
        }
    }

    fn learn(&mut self, topic: u8, epoch: u64, body: &[u8]) {
        let known = self.decided.entry(topic).or_default();
        if epoch <= known.0 {
            return;
        }
        *known = (epoch, body.to_vec());
        self.counters.decisions += 1;
        self.news.push_back(NodeEvent::Decided { topic });
        // What is new goes to all at once; voters alone have it first.
        if self.voter.is_some() {
            let decision = Decision { topic, epoch, body: body.to_vec() };
            for member in 0..self.setup.members.len() as MemberId {
                if member != self.setup.own {
                    let decisions = vec![decision.clone()];
                    self.send(member, Body::DecisionUpdate { decisions, term: self.term });
                }
            }
        }
    }

    /// Tells a member that knows these epochs what is newer.
    fn send_news(&mut self, to: MemberId, known: &[(u8, u64)]) {
        let old = |topic: u8, epoch: u64| {
            known.iter().find(|(t, _)| *t == topic).is_none_or(|(_, known)| *known < epoch)
        };
        let newer = self.decided.iter().filter(|(topic, (epoch, _))| old(**topic, *epoch));
        let decisions = newer
            .map(|(topic, (epoch, body))| Decision { topic: *topic, epoch: *epoch, body: body.clone() })
            .collect();
        self.send(to, Body::DecisionUpdate { decisions, term: self.term });
    }

    /// Sends a message to the same part of another member, or tells it the part of this one.
    pub fn send_message(&mut self, to: MemberId, topic: u8, bytes: Vec<u8>) {
        if to == self.setup.own {
            let incarnation = self.setup.incarnation;
            return self.news.push_back(NodeEvent::Message { topic, from: to, incarnation, bytes });
        }
        self.send(to, Body::ModuleMessage { topic, bytes });
    }

    /// Proposes a decision that builds on the newest epoch known of its topic. False where this node does not lead, or
    /// has not decided what it proposed before.
    pub fn propose(&mut self, now: f64, topic: u8, body: Vec<u8>) -> bool {
        let based = self.newest_decision(topic).0;
        let Some(consensus) = &mut self.consensus else { return false };
        if !consensus.propose(topic, based, body) {
            return false;
        }
        self.counters.proposed += 1;
        self.step(now);
        true
    }

    /// Keeps a document for others to ask for; its name, or none where it is too long.
    pub fn store_document(&mut self, bytes: &[u8]) -> Option<DocumentHash> {
        self.documents.keep(bytes)
    }

    /// A document, where it is here.
    pub fn document(&mut self, hash: &DocumentHash) -> Option<Arc<[u8]>> {
        self.documents.get(hash)
    }

    /// Has a document asked for until it is here, or given up by `forget`, first of a member that should have it.
    pub fn request_document(&mut self, now: f64, hash: DocumentHash, source: Option<MemberId>) {
        self.documents.want(hash, source);
        self.ask_documents(now);
    }

    fn ask_documents(&mut self, now: f64) {
        let there: Vec<MemberId> = (0..self.setup.members.len() as MemberId)
            .filter(|m| *m != self.setup.own && self.swim.up().get(usize::from(*m)) == Some(&true))
            .collect();
        for (member, hash, at) in self.documents.due(now, &there) {
            self.send(member, Body::ChunkRequest { hash, at });
        }
    }

    /// Gives a document up that was wanted.
    pub fn cancel_document_request(&mut self, hash: &DocumentHash) {
        self.documents.forget(hash);
    }

    /// The newest decision of a topic, with its epoch; 0 where there is none.
    pub fn newest_decision(&self, topic: u8) -> (u64, &[u8]) {
        self.decided.get(&topic).map_or((0, &[]), |(epoch, body)| (*epoch, body))
    }

    /// How far agreement is known to hold, and when that last rose.
    pub fn term(&self) -> (LeaderTerm, f64) {
        (self.term, self.term_raised)
    }

    /// When the last round began in which a majority followed this node as the leader; none where the newest term known
    /// is another leader's.
    pub fn last_confirmed_round(&self) -> Option<f64> {
        let own = self.term.leader() == self.voter;
        self.consensus.as_ref().filter(|_| own)?.last_confirmed_round()
    }

    /// The latest time at which a leader before this one may have begun a round that a majority followed; none where this
    /// node does not lead, or does not know yet.
    pub fn predecessors_last_round(&self) -> Option<f64> {
        self.consensus.as_ref()?.predecessors_last_round()
    }

    /// The voter that leads, as a member, as far as is known here: the one that a majority was last known to follow. A
    /// voter that was away may not know that by its own log for long.
    pub fn leader(&self) -> Option<MemberId> {
        let leader = self.term.leader().or_else(|| self.consensus.as_ref()?.leader());
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

    /// This member.
    pub fn own(&self) -> MemberId {
        self.setup.own
    }

    /// All members' places.
    pub fn members(&self) -> &[MemberConfig] {
        &self.setup.members
    }

    /// Gives out what the parts want written and sent.
    fn flush(&mut self) {
        for (to, packet) in self.swim.take() {
            self.send(to, Body::Swim(packet));
        }
        let Some(Batch { write, messages: send }) = self.consensus.as_mut().and_then(Consensus::take_batch)
        else {
            return;
        };
        if write == Write::Nothing && self.held.is_empty() {
            return self.post(send);
        }
        match self.held.back_mut() {
            // Nothing to write: it goes with what is written before it.
            Some(last) if write == Write::Nothing => {
                if last.len() < WAITING {
                    last.extend(send);
                }
            }
            _ => {
                self.held.push_back(send);
                self.effects.push(Effect::Write(write));
            }
        }
    }

    fn post(&mut self, messages: Vec<OutgoingMessage>) {
        for message in messages {
            if let Some(&to) = self.voters.get(message.to as usize - 1) {
                self.send(to, Body::Consensus(message.bytes));
            }
        }
    }

    fn send(&mut self, to: MemberId, body: Body) {
        let Some(number) = self.numbers.get_mut(usize::from(to)) else { return };
        *number += 1;
        let frame =
            Frame { from: self.setup.own, incarnation: self.setup.incarnation, number: *number, body };
        let bytes = frame.encode(&self.setup.cluster, self.setup.generation);
        if bytes.len() <= MAX_FRAME_BYTES {
            self.counters.sent_bytes += bytes.len() as u64;
            self.effects.push(Effect::Send { to, bytes });
        }
    }

    /// What it has counted.
    pub fn counters(&self) -> &NodeCounters {
        &self.counters
    }

    /// Which members are there.
    pub fn alive(&self) -> &[bool] {
        self.swim.up()
    }

    /// Whether it votes: none where it is no voter.
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

    /// Proposals that were void, as another was decided before them.
    pub fn superseded(&self) -> u64 {
        self.consensus.as_ref().map_or(0, Consensus::superseded)
    }
}
