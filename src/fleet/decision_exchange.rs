//! The exchange of decisions: the decisions and the leader term that a member knows. Voters learn decisions
//! from the log and forward them; every member queries voters for decisions that it may have missed.

use std::collections::BTreeMap;

use super::frame::{Body, Decision, KnownEpoch};
use super::node::FleetNode;
use super::types::{MemberId, NodeEvent};
use crate::consensus::{DecisionRef, LeaderTerm};

/// Interval between two decision queries of a member, in milliseconds. A new decision is sent to all members
/// at once, but that frame may be lost.
const DECISION_QUERY_INTERVAL_MS: f64 = 250.0;

/// The decisions and the term that a member knows.
#[derive(Debug)]
pub(super) struct KnownDecisions {
    /// The newest decision of each topic.
    newest: BTreeMap<u8, Decision>,
    /// The newest known term.
    term: LeaderTerm,
    /// When the newest term became known.
    term_raised_ms: f64,
    last_query_ms: f64,
    /// The number of times that voters were queried while a leader was known.
    queries: usize,
}

impl KnownDecisions {
    pub(super) fn new(now_ms: f64) -> KnownDecisions {
        KnownDecisions {
            newest: BTreeMap::new(),
            term: LeaderTerm::default(),
            term_raised_ms: now_ms,
            last_query_ms: f64::NEG_INFINITY,
            queries: 0,
        }
    }

    pub(super) fn raise_term(&mut self, now_ms: f64, term: LeaderTerm) {
        if term > self.term {
            (self.term, self.term_raised_ms) = (term, now_ms);
        }
    }

    /// Records a decision if it is newer than the known one of its topic, and returns whether it was.
    fn learn(&mut self, decision: &Decision) -> bool {
        let topic = decision.topic;
        let known = self.newest.entry(topic).or_insert(Decision { topic, epoch: 0, body: Vec::new() });
        let is_newer = decision.epoch > known.epoch;
        if is_newer {
            *known = decision.clone();
        }
        is_newer
    }

    fn epochs(&self) -> Vec<KnownEpoch> {
        self.newest.values().map(|known| KnownEpoch { topic: known.topic, epoch: known.epoch }).collect()
    }

    /// Returns the decisions that are newer than the given epochs, which another member knows.
    fn newer_than(&self, epochs: &[KnownEpoch]) -> Vec<Decision> {
        let is_unknown = |decision: &&Decision| {
            let known = epochs.iter().find(|known| known.topic == decision.topic);
            known.is_none_or(|known| known.epoch < decision.epoch)
        };
        self.newest.values().filter(is_unknown).cloned().collect()
    }

    fn newest(&self, topic: u8) -> DecisionRef<'_> {
        match self.newest.get(&topic) {
            Some(known) => DecisionRef { topic, epoch: known.epoch, body: &known.body },
            None => DecisionRef { topic, epoch: 0, body: &[] },
        }
    }
}

impl FleetNode {
    /// Queries voters for newer decisions if the query interval has passed.
    pub(super) fn query_decisions(&mut self, now_ms: f64) {
        if now_ms < self.known.last_query_ms + DECISION_QUERY_INTERVAL_MS {
            return;
        }
        self.known.last_query_ms = now_ms;
        let epochs = self.known.epochs();
        for voter in self.voters_to_query() {
            self.send(voter, Body::DecisionQuery(epochs.clone()));
        }
    }

    /// Returns the voters to query now: the leader and one of the others in rotation, or all others if no
    /// leader is known.
    fn voters_to_query(&mut self) -> Vec<MemberId> {
        let own = self.member_id();
        let others: Vec<MemberId> = self.voters().iter().copied().filter(|voter| *voter != own).collect();
        let Some(leader) = self.leader() else { return others };
        self.known.queries += 1;
        let turn = self.known.queries % others.len().max(1);
        let is_queried = |(position, voter): &(usize, MemberId)| *position == turn || *voter == leader;
        others.into_iter().enumerate().filter(is_queried).map(|(_, voter)| voter).collect()
    }

    /// Replies to a decision query of another member.
    pub(super) fn reply_to_query(&mut self, to: MemberId, epochs: &[KnownEpoch]) {
        let decisions = self.known.newer_than(epochs);
        self.send(to, Body::DecisionUpdate { decisions, term: self.known.term });
    }

    /// Learns the decisions in this voter's log, and its term.
    pub(super) fn follow_consensus(&mut self, now_ms: f64) {
        let Some(consensus) = &self.consensus else { return };
        let term = consensus.term();
        let begins_to_lead = term > self.known.term && term.leader() != self.known.term.leader();
        let newer: Vec<Decision> = consensus
            .decided()
            .all()
            .filter(|decided| decided.epoch > self.known.newest(decided.topic).epoch)
            .map(|decided| Decision {
                topic: decided.topic,
                epoch: decided.epoch,
                body: decided.body.to_vec(),
            })
            .collect();
        self.known.raise_term(now_ms, term);
        if begins_to_lead {
            // Tells members of the new leader at once, so that their leases do not expire while they still
            // ask the previous one.
            self.send_update_to_all(&[]);
        }
        for decision in newer {
            self.learn_decision(decision);
        }
    }

    /// Learns a decision; a voter also forwards it to all members.
    pub(super) fn learn_decision(&mut self, decision: Decision) {
        if !self.known.learn(&decision) {
            return;
        }
        self.counters.decisions += 1;
        self.events.push_back(NodeEvent::Decided { topic: decision.topic });
        // A new decision first becomes known to voters, from the log, so they must forward it.
        if self.is_voter() {
            self.send_update_to_all(&[decision]);
        }
    }

    /// Sends decisions and the newest term to all other members.
    fn send_update_to_all(&mut self, decisions: &[Decision]) {
        let term = self.known.term;
        for member in self.other_members() {
            self.send(member, Body::DecisionUpdate { decisions: decisions.to_vec(), term });
        }
    }

    /// Proposes a decision based on the newest known epoch of its topic. Returns false if this node does not
    /// lead or its log has undecided entries.
    pub fn propose(&mut self, now_ms: f64, topic: u8, body: Vec<u8>) -> bool {
        let based_on_epoch = self.newest_decision(topic).epoch;
        let Some(consensus) = &mut self.consensus else { return false };
        if !consensus.propose(topic, based_on_epoch, body) {
            return false;
        }
        self.counters.proposed += 1;
        self.follow_consensus(now_ms);
        true
    }

    /// Returns the newest decision of a topic; its epoch is 0 if there is none.
    pub fn newest_decision(&self, topic: u8) -> DecisionRef<'_> {
        self.known.newest(topic)
    }

    /// Returns the newest known term.
    pub fn term(&self) -> LeaderTerm {
        self.known.term
    }

    /// Returns the time at which the newest term became known, in milliseconds.
    pub fn term_raised_ms(&self) -> f64 {
        self.known.term_raised_ms
    }
}
