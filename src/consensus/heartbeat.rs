//! Heartbeat rounds and their times: since when a majority is known to follow this voter as its leader, and when this voter
//! last followed another leader.
//!
//! It owns the times of the rounds; elections are the library's, and its caller passes on each heartbeat that is sent and
//! each reply that is received. What relies on it: a leader grants leases that count from the start of a round in which a
//! majority named it. A voter that has promised to follow a later leader names no earlier one any more, so that each such
//! round began before the later leader had its majority of promises, and before some voter of that majority last named
//! the earlier leader.
//!
//! The library counts rounds from 0 in each process, and a reply says which round it answers and not which process asked. On
//! the wire rounds therefore count from a number that each process draws: a late reply to an earlier process of this voter
//! answers none of its rounds.

use std::collections::BTreeSet;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::ballot_leader_election::{HeartbeatMsg, HeartbeatReply};
use serde::{Deserialize, Serialize};

use super::types::VoterId;

/// What of a leader's ballot differs among the voters of one generation.
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

/// The rounds of one voter. Times are the caller's, in milliseconds.
#[derive(Debug)]
pub(super) struct HeartbeatRounds {
    voter_id: VoterId,
    voter_count: u64,
    /// What is added to the library's numbers of rounds on the wire.
    round_offset: u32,
    /// The number on the wire of the current round.
    round: u32,
    /// When the current round's requests were made.
    round_started_ms: f64,
    /// The voters that named this one as their leader in the current round.
    followers: BTreeSet<VoterId>,
    /// Whether the current round was confirmed.
    is_confirmed: bool,
    /// The followers of the last round that a majority followed.
    last_followers: BTreeSet<VoterId>,
    /// The leader that this voter named last.
    named: LeaderBallot,
    named_at_ms: f64,
    /// When this voter last named another leader than `named`.
    named_other_at_ms: f64,
    succession: Succession,
}

/// What a new leader learns of the leaders before it.
#[derive(Debug, Default)]
struct Succession {
    /// The new leader's ballot.
    ballot: LeaderBallot,
    /// The latest time at which a voter that replied may have named another leader.
    latest_ms: f64,
    replied: BTreeSet<VoterId>,
}

/// Whom a new leader asks when they last named another leader.
#[derive(Debug)]
pub(super) struct SuccessionQuery {
    /// The new leader's ballot.
    pub(super) ballot: LeaderBallot,
    /// The voters to ask.
    pub(super) voters: Vec<VoterId>,
}

impl HeartbeatRounds {
    /// The rounds of a voter that has just started: it does not know what it named before, and assumes just now.
    /// `process_nonce` differs from that of its earlier processes.
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
            named: LeaderBallot::default(),
            named_at_ms: now_ms,
            named_other_at_ms: now_ms,
            succession: Succession::default(),
        }
    }

    fn is_majority(&self, voters: usize) -> bool {
        voters as u64 * 2 > self.voter_count
    }

    /// Whether a majority follows in the current round; a leader follows itself.
    fn has_majority(&self) -> bool {
        self.is_majority(self.followers.len() + 1)
    }

    fn record_named_leader(&mut self, now_ms: f64, leader: Ballot) {
        if self.named != leader.into() {
            (self.named, self.named_other_at_ms) = (leader.into(), self.named_at_ms);
        }
        self.named_at_ms = now_ms;
    }

    /// A heartbeat that is about to be sent. A request gets its round's number on the wire. A reply is changed to name no
    /// leader before the one that this voter has promised to follow.
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

    /// A reply to a heartbeat; one to an earlier round, or that names another leader, has no effect. It gets back the
    /// library's number of its round.
    pub(super) fn on_reply(&mut self, from: VoterId, reply: &mut HeartbeatReply, promise: Ballot) {
        if reply.round == self.round && reply.leader == promise && promise.pid == self.voter_id {
            self.followers.insert(from);
        }
        reply.round = reply.round.wrapping_sub(self.round_offset);
    }

    /// Confirms the current round where a majority follows in it. True once a round.
    pub(super) fn confirm_round(&mut self) -> bool {
        let is_newly_confirmed = !self.is_confirmed && self.has_majority();
        self.is_confirmed |= is_newly_confirmed;
        is_newly_confirmed
    }

    /// When the current round's requests were made.
    pub(super) fn round_started_ms(&self) -> f64 {
        self.round_started_ms
    }

    /// The voters that followed this one in the last finished round that a majority followed, itself among them; those of
    /// the current round so far where no such round has finished under this ballot.
    pub(super) fn followers(&self) -> Vec<VoterId> {
        let followers = if self.last_followers.is_empty() { &self.followers } else { &self.last_followers };
        followers.iter().copied().chain([self.voter_id]).collect()
    }

    /// When this voter last named a leader other than the one of `ballot`.
    fn named_other_than_ms(&self, ballot: LeaderBallot) -> f64 {
        if self.named == ballot { self.named_other_at_ms } else { self.named_at_ms }
    }

    /// How long ago, in milliseconds, this voter last named a leader other than the one of `ballot`; none where it has not
    /// promised to follow that one.
    pub(super) fn ms_since_followed_other(
        &self,
        now_ms: f64,
        ballot: LeaderBallot,
        promise: Ballot,
    ) -> Option<u32> {
        let has_promised = ballot == promise.into();
        has_promised.then(|| (now_ms - self.named_other_than_ms(ballot)).max(0.0) as u32)
    }

    /// Starts to ask whom others followed, where this voter leads under a ballot that it did not ask for yet.
    pub(super) fn begin_leading(&mut self, promise: Ballot) {
        let ballot = LeaderBallot::from(promise);
        if self.succession.ballot != ballot {
            self.last_followers.clear();
            self.succession = Succession {
                ballot,
                latest_ms: self.named_other_than_ms(ballot),
                replied: BTreeSet::from([self.voter_id]),
            };
        }
    }

    /// The voters to ask when they last named another leader; nobody once a majority has replied.
    pub(super) fn succession_query(&self) -> SuccessionQuery {
        let replied = &self.succession.replied;
        let voters = if self.is_majority(replied.len()) {
            Vec::new()
        } else {
            (1..=self.voter_count).filter(|voter| !replied.contains(voter)).collect()
        };
        SuccessionQuery { ballot: self.succession.ballot, voters }
    }

    /// A voter that has promised to follow this one last named another leader `ago_ms` milliseconds ago.
    pub(super) fn on_followed_reply(
        &mut self,
        now_ms: f64,
        from: VoterId,
        ballot: LeaderBallot,
        ago_ms: u32,
    ) {
        if self.succession.ballot == ballot {
            self.succession.latest_ms = self.succession.latest_ms.max(now_ms - f64::from(ago_ms));
            self.succession.replied.insert(from);
        }
    }

    /// The latest time, in milliseconds, at which a leader before this one may have begun a round that a majority
    /// followed; none before a majority has replied.
    pub(super) fn predecessors_last_round(&self, promise: Ballot) -> Option<f64> {
        let is_current = self.succession.ballot == promise.into();
        let is_known = is_current && self.is_majority(self.succession.replied.len());
        is_known.then_some(self.succession.latest_ms)
    }
}
