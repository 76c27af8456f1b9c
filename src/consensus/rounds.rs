//! Rounds of heartbeats and their times: since when a majority is known to follow this voter as its leader, and when this
//! voter last followed another leader.
//!
//! What rests on them: a leader grants leases that count from the start of a round in which a majority named it. A voter
//! that has promised to follow a later leader names no earlier one any more, so that each such round began before the
//! later leader had its majority of promises, and before some voter of that majority last named the earlier leader.

use std::collections::BTreeSet;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::ballot_leader_election::{HeartbeatMsg, HeartbeatReply};
use serde::{Deserialize, Serialize};

use super::VoterId;

/// A leader's ballot, as far as it differs among the voters of one generation.
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
pub(super) struct Rounds {
    own: VoterId,
    voters: u64,
    /// The round under way: the library's number of it, and when its requests were made.
    number: u32,
    began: f64,
    /// The voters that named this one as their leader in it.
    followers: BTreeSet<VoterId>,
    counted: bool,
    /// Those of the last round that a majority followed.
    last_followers: BTreeSet<VoterId>,
    /// The leader that this voter named last, and when; and when it last named another one.
    named: LeaderBallot,
    named_at: f64,
    named_other_at: f64,
    succession: Succession,
}

/// What a new leader learns of the leaders before it.
#[derive(Debug, Default)]
struct Succession {
    ballot: LeaderBallot,
    /// The latest time at which a voter that answered may have named another leader.
    latest: f64,
    answered: BTreeSet<VoterId>,
}

impl Rounds {
    /// Those of a voter that has just started: what it named before it does not know, and takes to be just now.
    pub(super) fn new(own: VoterId, voters: u64, now: f64) -> Rounds {
        Rounds {
            own,
            voters,
            number: 0,
            began: now,
            followers: BTreeSet::new(),
            counted: false,
            last_followers: BTreeSet::new(),
            named: LeaderBallot::default(),
            named_at: now,
            named_other_at: now,
            succession: Succession::default(),
        }
    }

    fn is_majority(&self, voters: usize) -> bool {
        voters as u64 * 2 > self.voters
    }

    fn name(&mut self, now: f64, leader: Ballot) {
        if self.named != leader.into() {
            (self.named, self.named_other_at) = (leader.into(), self.named_at);
        }
        self.named_at = now;
    }

    /// A heartbeat that is about to be sent. A reply names no leader before the one that this voter has promised to follow.
    pub(super) fn sending(&mut self, now: f64, heartbeat: &mut HeartbeatMsg, promise: Ballot) {
        match heartbeat {
            HeartbeatMsg::Request(request) if request.round != self.number => {
                if self.is_majority(self.followers.len() + 1) {
                    self.last_followers = std::mem::take(&mut self.followers);
                }
                (self.number, self.began, self.counted) = (request.round, now, false);
                self.followers.clear();
                // A leader follows itself.
                if promise.pid == self.own {
                    self.name(now, promise);
                }
            }
            HeartbeatMsg::Request(_) => {}
            HeartbeatMsg::Reply(reply) => {
                reply.leader = reply.leader.max(promise);
                self.name(now, reply.leader);
            }
        }
    }

    /// A reply to the round under way.
    pub(super) fn replied(&mut self, from: VoterId, reply: &HeartbeatReply, promise: Ballot) {
        if reply.round == self.number && reply.leader == promise && promise.pid == self.own {
            self.followers.insert(from);
        }
    }

    /// Whether a majority follows in the round under way, which was not counted before.
    pub(super) fn count(&mut self) -> bool {
        let counts = !self.counted && self.is_majority(self.followers.len() + 1);
        self.counted |= counts;
        counts
    }

    /// When the round under way began.
    pub(super) fn began(&self) -> f64 {
        self.began
    }

    /// The voters that followed this one in its last round, itself among them.
    pub(super) fn followers(&self) -> Vec<VoterId> {
        let followers = if self.last_followers.is_empty() { &self.followers } else { &self.last_followers };
        followers.iter().copied().chain([self.own]).collect()
    }

    /// When this voter last named a leader other than the one of this ballot.
    fn named_other(&self, ballot: LeaderBallot) -> f64 {
        if self.named == ballot { self.named_other_at } else { self.named_at }
    }

    /// How long ago, in milliseconds, this voter last named a leader other than the one of this ballot; none where it has
    /// not promised to follow that one.
    pub(super) fn followed_other(&self, now: f64, ballot: LeaderBallot, promise: Ballot) -> Option<u32> {
        (ballot == promise.into()).then(|| (now - self.named_other(ballot)).max(0.0) as u32)
    }

    /// Begins to ask on whom others followed, where this voter leads under a ballot that it did not ask for yet.
    pub(super) fn lead(&mut self, promise: Ballot) {
        let ballot = LeaderBallot::from(promise);
        if self.succession.ballot != ballot {
            self.last_followers.clear();
            self.succession =
                Succession { ballot, latest: self.named_other(ballot), answered: BTreeSet::from([self.own]) };
        }
    }

    /// The voters to ask when they last named another leader, and the ballot to ask them with; nobody once a majority has
    /// answered.
    pub(super) fn to_ask(&self) -> (LeaderBallot, Vec<VoterId>) {
        let missing = |voter: &VoterId| !self.succession.answered.contains(voter);
        let voters = match self.is_majority(self.succession.answered.len()) {
            true => Vec::new(),
            false => (1..=self.voters).filter(missing).collect(),
        };
        (self.succession.ballot, voters)
    }

    /// A voter that has promised to follow this one last named another leader so long ago.
    pub(super) fn answered(&mut self, now: f64, from: VoterId, ballot: LeaderBallot, ago: u32) {
        if self.succession.ballot == ballot {
            self.succession.latest = self.succession.latest.max(now - f64::from(ago));
            self.succession.answered.insert(from);
        }
    }

    /// The latest time at which a leader before this one may have begun a round that a majority followed; none before
    /// enough voters have answered.
    pub(super) fn succeeded(&self, promise: Ballot) -> Option<f64> {
        let own = self.succession.ballot == promise.into();
        (own && self.is_majority(self.succession.answered.len())).then_some(self.succession.latest)
    }
}
