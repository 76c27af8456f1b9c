//! Timing of heartbeat rounds: when the last round began in which a majority followed this voter, and when
//! this voter last followed another leader.
//!
//! This module owns the timing only. `omnipaxos` runs the elections, and the caller passes on every heartbeat
//! sent and every reply received. Leases depend on it: a leader grants leases that count from the start of a
//! round in which a majority named it. Once a voter has promised to follow a later leader, it no longer names
//! an earlier one. Every round confirmed for the earlier leader therefore began before the later leader had
//! its majority of promises, and before some voter of that majority last named the earlier leader.
//!
//! `omnipaxos` counts rounds from 0 in each process, and a reply carries the round number but not the process
//! that asked. On the wire, rounds therefore count from a random offset that each process draws, so that a
//! late reply to an earlier process of this voter matches none of its rounds.

use std::collections::BTreeSet;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::ballot_leader_election::{HeartbeatMsg, HeartbeatReply};
use serde::{Deserialize, Serialize};

use super::types::VoterId;

/// The parts of a leader's ballot that can differ between voters of the same generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct LeaderBallot {
    number: u32,
    voter: VoterId,
}

impl From<Ballot> for LeaderBallot {
    fn from(ballot: Ballot) -> LeaderBallot {
        LeaderBallot { number: ballot.n, voter: ballot.pid }
    }
}

/// Heartbeat rounds of one voter. Times are in milliseconds of the caller's clock.
#[derive(Debug)]
pub(super) struct HeartbeatRounds {
    voter_id: VoterId,
    voter_count: u64,
    /// Offset between the round numbers of `omnipaxos` and those on the wire.
    round_offset: u32,
    /// The current round's number on the wire.
    round: u32,
    /// Start of the current round, when its requests were sent.
    round_started_ms: f64,
    /// The voters that named this one as their leader in the current round.
    followers: BTreeSet<VoterId>,
    /// Whether a majority has followed in the current round and `confirm_round` has reported it.
    is_confirmed: bool,
    /// The followers of the last finished round that a majority followed.
    last_followers: BTreeSet<VoterId>,
    /// The leader that this voter named most recently.
    named_leader: LeaderBallot,
    named_leader_at_ms: f64,
    /// Last time at which this voter named a leader other than `named_leader`.
    named_other_leader_at_ms: f64,
    succession: Succession,
}

/// Information that a new leader has collected about its predecessors.
#[derive(Debug, Default)]
struct Succession {
    /// The new leader's ballot.
    ballot: LeaderBallot,
    /// The latest time at which any of the voters that replied may have named another leader.
    latest_followed_ms: f64,
    replied: BTreeSet<VoterId>,
}

/// The voters that a new leader has to ask when they last named another leader.
#[derive(Debug)]
pub(super) struct SuccessionQuery {
    /// The new leader's ballot.
    pub(super) ballot: LeaderBallot,
    /// The voters to ask.
    pub(super) voters: Vec<VoterId>,
}

impl HeartbeatRounds {
    /// Creates the state of a voter that has just started. It does not know which leader it named before, and
    /// assumes that it named one at `now_ms`. `process_nonce` must differ from those of earlier processes of
    /// this voter.
    pub(super) fn new(
        voter_id: VoterId,
        voter_count: u64,
        process_nonce: u64,
        now_ms: f64,
    ) -> HeartbeatRounds {
        let round_offset = fastrand::Rng::with_seed(process_nonce).u32(..);
        HeartbeatRounds {
            voter_id,
            voter_count,
            round_offset,
            round: round_offset,
            round_started_ms: now_ms,
            followers: BTreeSet::new(),
            is_confirmed: false,
            last_followers: BTreeSet::new(),
            named_leader: LeaderBallot::default(),
            named_leader_at_ms: now_ms,
            named_other_leader_at_ms: now_ms,
            succession: Succession::default(),
        }
    }

    fn is_majority(&self, voters: usize) -> bool {
        voters as u64 * 2 > self.voter_count
    }

    /// Whether a majority follows in the current round, counting the leader itself.
    fn has_majority(&self) -> bool {
        self.is_majority(self.followers.len() + 1)
    }

    fn record_named_leader(&mut self, now_ms: f64, leader: Ballot) {
        if self.named_leader != leader.into() {
            (self.named_leader, self.named_other_leader_at_ms) = (leader.into(), self.named_leader_at_ms);
        }
        self.named_leader_at_ms = now_ms;
    }

    /// Adjusts a heartbeat that is about to be sent. A request gets the wire number of its round. A reply is
    /// changed so that it never names a leader older than the one that this voter has promised to follow.
    pub(super) fn on_send(&mut self, now_ms: f64, heartbeat: &mut HeartbeatMsg, promise: Ballot) {
        match heartbeat {
            HeartbeatMsg::Request(request) => {
                request.round = request.round.wrapping_add(self.round_offset);
                if request.round != self.round {
                    self.begin_round(now_ms, request.round, promise);
                }
            }
            HeartbeatMsg::Reply(reply) => {
                reply.leader = reply.leader.max(promise);
                self.record_named_leader(now_ms, reply.leader);
            }
        }
    }

    fn begin_round(&mut self, now_ms: f64, round: u32, promise: Ballot) {
        if self.has_majority() {
            self.last_followers = std::mem::take(&mut self.followers);
        }
        (self.round, self.round_started_ms, self.is_confirmed) = (round, now_ms, false);
        self.followers.clear();
        // A leader follows itself.
        if promise.pid == self.voter_id {
            self.record_named_leader(now_ms, promise);
        }
    }

    /// Records a heartbeat reply and restores the `omnipaxos` number of its round. A reply to an earlier
    /// round, or one that names another leader, is not counted.
    pub(super) fn on_reply(&mut self, from: VoterId, reply: &mut HeartbeatReply, promise: Ballot) {
        if reply.round == self.round && reply.leader == promise && promise.pid == self.voter_id {
            self.followers.insert(from);
        }
        reply.round = reply.round.wrapping_sub(self.round_offset);
    }

    /// Confirms the current round if a majority follows in it. Returns true at most once per round.
    pub(super) fn confirm_round(&mut self) -> bool {
        let is_newly_confirmed = !self.is_confirmed && self.has_majority();
        self.is_confirmed |= is_newly_confirmed;
        is_newly_confirmed
    }

    /// Returns the start of the current round, when its requests were sent.
    pub(super) fn round_started_ms(&self) -> f64 {
        self.round_started_ms
    }

    /// Returns the voters, including this one, that followed this voter in the last finished round that a
    /// majority followed; if no such round has finished under the current ballot, those of the current round
    /// so far.
    pub(super) fn followers(&self) -> Vec<VoterId> {
        let followers = if self.last_followers.is_empty() { &self.followers } else { &self.last_followers };
        followers.iter().copied().chain([self.voter_id]).collect()
    }

    /// Returns the last time at which this voter named a leader other than that of `ballot`.
    fn last_named_other_ms(&self, ballot: LeaderBallot) -> f64 {
        if self.named_leader == ballot { self.named_other_leader_at_ms } else { self.named_leader_at_ms }
    }

    /// Returns the time in milliseconds since this voter last named a leader other than that of `ballot`;
    /// `None` if `ballot` is not the one that it has promised.
    pub(super) fn ms_since_followed_other(
        &self,
        now_ms: f64,
        ballot: LeaderBallot,
        promise: Ballot,
    ) -> Option<u32> {
        let has_promised = ballot == promise.into();
        has_promised.then(|| (now_ms - self.last_named_other_ms(ballot)).max(0.0) as u32)
    }

    /// Starts a succession query if this voter leads under a ballot for which it has not started one.
    pub(super) fn begin_leading(&mut self, promise: Ballot) {
        let ballot = LeaderBallot::from(promise);
        if self.succession.ballot != ballot {
            self.last_followers.clear();
            self.succession = Succession {
                ballot,
                latest_followed_ms: self.last_named_other_ms(ballot),
                replied: BTreeSet::from([self.voter_id]),
            };
        }
    }

    /// Returns the voters to ask when they last named another leader; empty once a majority has replied.
    pub(super) fn succession_query(&self) -> SuccessionQuery {
        let replied = &self.succession.replied;
        let voters = if self.is_majority(replied.len()) {
            Vec::new()
        } else {
            (1..=self.voter_count).filter(|voter| !replied.contains(voter)).collect()
        };
        SuccessionQuery { ballot: self.succession.ballot, voters }
    }

    /// Records the reply of a voter that has promised to follow this one: it last named another leader
    /// `ago_ms` milliseconds ago.
    pub(super) fn on_followed_reply(
        &mut self,
        now_ms: f64,
        from: VoterId,
        ballot: LeaderBallot,
        ago_ms: u32,
    ) {
        if self.succession.ballot == ballot {
            self.succession.latest_followed_ms =
                self.succession.latest_followed_ms.max(now_ms - f64::from(ago_ms));
            self.succession.replied.insert(from);
        }
    }

    /// Returns the latest time, in milliseconds, at which an earlier leader may have begun a round that a
    /// majority followed; `None` until a majority has replied.
    pub(super) fn predecessors_last_round(&self, promise: Ballot) -> Option<f64> {
        let is_current = self.succession.ballot == promise.into();
        let is_known = is_current && self.is_majority(self.succession.replied.len());
        is_known.then_some(self.succession.latest_followed_ms)
    }
}
