//! Voters over a network that delays, loses and cuts by seed, with disks that lose what was not synced.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::ballot_leader_election::{HeartbeatMsg, HeartbeatReply, HeartbeatRequest};

use super::heartbeat::HeartbeatRounds;
use super::vote_file::{self, FileError, REWRITE_FILE_BYTES};
use super::{
    Consensus, ConsensusConfig, DecisionRef, Decisions, LeaderTerm, OutgoingMessage, Proposal, VoterId,
    Write, is_heartbeat,
};

const TOPIC: u8 = 1;
/// Milliseconds of a tick.
const TICK_MS: f64 = 50.0;

/// Voters, their disks, and the messages between them.
struct Net {
    voters: u64,
    replicas: BTreeMap<VoterId, Consensus>,
    disks: BTreeMap<VoterId, Vec<u8>>,
    /// Messages by the tick at which they arrive, in order on each link.
    under_way: Vec<(u64, VoterId, VoterId, Vec<u8>)>,
    last: BTreeMap<(VoterId, VoterId), u64>,
    cut: BTreeSet<(VoterId, VoterId)>,
    draws: fastrand::Rng,
    loss: f64,
    /// One message in ten has a bit changed; agreement is not checked then.
    changed: bool,
    tick: u64,
    starts: u64,
    /// What was decided in an epoch, wherever it was read first.
    decided: BTreeMap<u64, Vec<u8>>,
    /// The newest epoch that each has known.
    known: BTreeMap<VoterId, u64>,
}

impl Net {
    fn new(voters: u64, seed: u64) -> Net {
        let mut net = Net {
            voters,
            replicas: BTreeMap::new(),
            disks: BTreeMap::new(),
            under_way: Vec::new(),
            last: BTreeMap::new(),
            cut: BTreeSet::new(),
            draws: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            changed: false,
            tick: 0,
            starts: 0,
            decided: BTreeMap::new(),
            known: BTreeMap::new(),
        };
        (1..=voters).for_each(|voter| net.start(voter));
        net
    }

    fn start(&mut self, own: VoterId) {
        self.starts += 1;
        let setup =
            ConsensusConfig { voter_id: own, voter_count: self.voters, generation: 1, nonce: self.starts };
        let kept = self
            .disks
            .get(&own)
            .map(|bytes| vote_file::read(bytes, 1).unwrap().persisted)
            .unwrap_or_default();
        self.replicas.insert(own, Consensus::new(setup, kept, self.tick as f64 * TICK_MS).unwrap());
        // A process that starts knows what its disk says at least.
        self.known.remove(&own);
    }

    fn kill(&mut self, voter: VoterId) {
        self.replicas.remove(&voter);
        self.under_way.retain(|m| m.1 != voter && m.2 != voter);
    }

    /// Cuts all links between two groups, both ways.
    fn split(&mut self, groups: &[&[VoterId]]) {
        self.cut.clear();
        for (at, one) in groups.iter().enumerate() {
            for other in groups.iter().enumerate().filter(|g| g.0 != at).flat_map(|g| g.1.iter()) {
                self.cut.extend(one.iter().map(|voter| (*voter, *other)));
            }
        }
    }

    fn step(&mut self) {
        self.tick += 1;
        let ids: Vec<VoterId> = self.replicas.keys().copied().collect();
        let clock = self.tick as f64 * TICK_MS;
        ids.iter().for_each(|id| self.replicas.get_mut(id).unwrap().tick(clock));
        let now = self.tick;
        let mut due: Vec<_> = self.under_way.extract_if(.., |m| m.0 <= now).collect();
        due.sort_by_key(|m| m.0);
        for (_, from, to, mut bytes) in due {
            if let Some(consensus) = self.replicas.get_mut(&to) {
                if self.changed {
                    if self.draws.u8(..10) == 0 && !bytes.is_empty() {
                        let at = self.draws.usize(..bytes.len());
                        bytes[at] ^= 1 << self.draws.u8(..8);
                    }
                    let _ = consensus.receive(clock, from, &bytes);
                    continue;
                }
                assert_eq!(consensus.receive(clock, from, &bytes), Ok(()), "voters understand each other");
            }
        }
        ids.iter().for_each(|id| self.flush(*id));
        for (id, consensus) in self.replicas.iter().filter(|_| !self.changed) {
            let DecisionRef { epoch, body, .. } = consensus.decided().newest(TOPIC);
            let known = self.known.entry(*id).or_default();
            assert!(epoch >= *known, "voter {id} went back from epoch {known} to {epoch}");
            *known = epoch;
            if epoch > 0 {
                let first = self.decided.entry(epoch).or_insert_with(|| body.to_vec());
                assert_eq!(first, body, "two decisions of epoch {epoch}");
            }
        }
    }

    /// Writes and sends what a voter has given out.
    fn flush(&mut self, id: VoterId) {
        let Some(batch) = self.replicas.get_mut(&id).and_then(Consensus::take_batch) else { return };
        match batch.write {
            Write::Nothing => {}
            Write::Append(bytes) => self.disks.entry(id).or_default().extend(bytes),
            Write::Replace(bytes) => drop(self.disks.insert(id, bytes)),
        }
        for OutgoingMessage { to, bytes } in batch.messages {
            if self.cut.contains(&(id, to)) || self.draws.f64() < self.loss {
                continue;
            }
            let last = self.last.entry((id, to)).or_default();
            // One in ten is late.
            let delay = if self.draws.u8(..10) == 0 { self.draws.u64(2..6) } else { 1 };
            *last = (*last).max(self.tick + delay);
            self.under_way.push((*last, id, to, bytes));
        }
    }

    /// Has whoever leads propose.
    fn propose(&mut self) {
        for consensus in self.replicas.values_mut() {
            let based = consensus.decided().newest(TOPIC).epoch;
            let body = vec![self.draws.u8(..), consensus.config.voter_id as u8];
            consensus.propose(TOPIC, based, body);
        }
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.step();
            if self.tick.is_multiple_of(5) {
                self.propose();
            }
        }
    }

    fn epoch(&self) -> u64 {
        self.decided.keys().max().copied().unwrap_or(0)
    }

    fn of(&self, voter: VoterId) -> u64 {
        self.replicas[&voter].decided().newest(TOPIC).epoch
    }

    /// Epochs decided in so many ticks.
    fn gains(&mut self, ticks: u64) -> u64 {
        let before = self.epoch();
        self.run(ticks);
        self.epoch() - before
    }
}

#[test]
fn five_voters_agree_and_follow_one_leader() {
    let mut net = Net::new(5, 1);
    assert!(net.gains(200) > 10);
    let leader = net.replicas[&1].leader();
    assert!(net.replicas.values().all(|consensus| consensus.leader() == leader));
    assert_eq!(net.replicas.values().filter(|consensus| consensus.is_leader()).count(), 1);
    let mut followers: Vec<VoterId> = net.replicas[&leader.unwrap()].followers().to_vec();
    followers.sort_unstable();
    assert_eq!(followers, [1, 2, 3, 4, 5]);
}

/// Guards against a fleet that stands still since the first one that led has gone.
#[test]
fn a_leader_that_is_killed_is_replaced_and_learns_what_it_missed() {
    let mut net = Net::new(5, 2);
    net.run(100);
    let leader = net.replicas[&1].leader().unwrap();
    net.kill(leader);
    assert!(net.gains(60) > 1, "in three seconds");
    net.start(leader);
    net.run(60);
    assert!(net.epoch() - net.of(leader) <= 1, "it knows {} of {}", net.of(leader), net.epoch());
}

/// 2-3: the three go on and the two stand still; 2-2-1: nobody decides; healed, all know the same.
#[test]
fn only_a_majority_decides() {
    let mut net = Net::new(5, 3);
    net.run(100);
    net.split(&[&[1, 2], &[3, 4, 5]]);
    net.run(40);
    let (few, many) = (net.of(1), net.of(3));
    net.run(60);
    assert_eq!(net.of(1), few, "the two stand still");
    assert!(net.of(3) > many, "the three go on");
    let term = net.replicas[&1].term().max(net.replicas[&2].term());
    net.split(&[&[1, 2], &[3, 4], &[5]]);
    net.run(40);
    let newest = net.epoch();
    let terms: Vec<LeaderTerm> = net.replicas.values().map(Consensus::term).collect();
    net.run(60);
    assert_eq!(net.epoch(), newest, "nobody decides");
    assert_eq!(terms, net.replicas.values().map(Consensus::term).collect::<Vec<_>>(), "nobody is followed");
    assert!(net.replicas[&1].term().max(net.replicas[&2].term()) == term);
    net.split(&[]);
    assert!(net.gains(100) > 2);
}

/// The network that elections by reachability alone do not get through: one voter reaches all, the others it alone.
#[test]
fn the_one_voter_that_reaches_a_majority_leads() {
    for (seed, hub) in [(4, 1), (5, 3), (6, 5)] {
        let mut net = Net::new(5, seed);
        net.run(100);
        net.cut = (1..=5).flat_map(|a| (1..=5).map(move |b| (a, b))).collect();
        net.cut.retain(|(a, b)| *a != hub && *b != hub);
        net.run(60);
        assert!(net.gains(60) > 2, "the hub {hub} leads");
        assert!(net.replicas[&hub].is_leader());
    }
}

/// A link that fails one way only must not stop the fleet for longer than an election.
#[test]
fn a_link_cut_one_way_costs_an_election_at_most() {
    let mut net = Net::new(5, 7);
    net.run(100);
    let leader = net.replicas[&1].leader().unwrap();
    let others: Vec<VoterId> = (1..=5).filter(|v| *v != leader).collect();
    // The leader is heard by one alone, and hears all.
    net.cut = others[1..].iter().map(|v| (leader, *v)).collect();
    net.run(60);
    assert!(net.gains(60) > 2);
}

/// Guards against a voter that votes twice in a round since it has forgotten its first vote.
#[test]
fn a_voter_without_its_file_votes_only_when_all_others_have_told() {
    let mut net = Net::new(3, 8);
    net.run(100);
    net.kill(1);
    net.disks.remove(&1);
    net.start(1);
    net.split(&[&[1, 2], &[3]]);
    let before = net.epoch();
    net.run(100);
    assert!(!net.replicas[&1].is_voting(), "one of two has told");
    assert_eq!(net.epoch(), before, "no majority among those that remember");
    net.split(&[]);
    assert!(net.gains(100) > 2);
    assert!(net.replicas[&1].is_voting());
}

/// All disks but one lost: epochs go on where the one that remembers knows them.
#[test]
fn epochs_go_on_from_the_one_file_that_is_left() {
    let mut net = Net::new(3, 9);
    net.run(100);
    let before = net.epoch();
    (1..=3).for_each(|voter| net.kill(voter));
    let keeper = (1..=3).find(|v| net.known[v] == before).unwrap();
    net.disks.retain(|voter, _| *voter == keeper);
    (1..=3).for_each(|voter| net.start(voter));
    net.run(100);
    assert!(net.epoch() > before);
}

#[test]
fn a_failed_disk_ends_a_vote() {
    let mut net = Net::new(3, 10);
    net.run(100);
    net.replicas.get_mut(&2).unwrap().fail();
    assert!(net.gains(100) > 2, "two of three go on");
    assert!(!net.replicas[&2].is_voting() && net.replicas.get_mut(&2).unwrap().take_batch().is_none());
    net.kill(1);
    net.run(40);
    assert_eq!(net.gains(60), 0);
}

/// Found by seed: a voter that had an undecided entry took it for decided as it was sent a partial snapshot.
#[test]
fn an_undecided_entry_is_not_folded_into_what_is_decided() {
    faults(3, 360401);
}

/// Found by seed: the messages of the one open proposal were lost, nothing showed it, and the fleet stood still.
#[test]
fn a_proposal_whose_messages_were_lost_is_decided_all_the_same() {
    faults(5, 686117);
}

/// Two that lead for a moment propose on the same epoch: one of them acts.
#[test]
fn a_decision_that_builds_on_an_older_epoch_is_void() {
    let mut decided = Decisions::default();
    let proposal = |based_on_epoch, body: u8| Proposal { topic: TOPIC, based_on_epoch, body: vec![body] };
    let newest = |topic, epoch, body| DecisionRef { topic, epoch, body };
    assert!(decided.apply(&proposal(0, 1)));
    assert!(!decided.apply(&proposal(0, 2)));
    assert_eq!(decided.newest(TOPIC), newest(TOPIC, 1, &[1]));
    assert!(decided.apply(&proposal(7, 3)), "a log that was lost goes on where epochs were");
    assert_eq!(decided.newest(TOPIC), newest(TOPIC, 8, &[3]));
    assert_eq!(decided.newest(2), newest(2, 0, &[]));
}

#[test]
fn the_file_is_folded_and_written_anew() {
    let mut net = Net::new(3, 11);
    net.run(4000);
    assert!(net.epoch() > 200);
    let most = net.disks.values().map(Vec::len).max().unwrap();
    assert!(most < REWRITE_FILE_BYTES + 8192, "{most} bytes");
    let voter = net.replicas.keys().copied().next().unwrap();
    let content = vote_file::read(&net.disks[&voter], 1).unwrap();
    assert_eq!(content.valid_bytes, net.disks[&voter].len());
    assert!(content.persisted.unwrap().log_length() > 200);
}

#[test]
fn another_generation_version_or_file_is_refused() {
    let mut net = Net::new(3, 12);
    net.run(60);
    let good = net.disks[&1].clone();
    assert_eq!(vote_file::read(&good, 2), Err(FileError::Generation(1)));
    assert_eq!(vote_file::read(b"what is this? a text", 1), Err(FileError::Foreign));
    let mut newer = good.clone();
    newer[8] = 9;
    let sum = crc32c::crc32c(&newer[..14]).to_le_bytes();
    newer[14..18].copy_from_slice(&sum);
    assert_eq!(vote_file::read(&newer, 1), Err(FileError::Version(9)));
    assert_eq!(vote_file::read(&vec![0; vote_file::MAX_FILE_BYTES + 1], 1), Err(FileError::Long));
}

/// Plays faults by seed.
fn faults(voters: u64, seed: u64) {
    let mut net = Net::new(voters, seed);
    net.run(60);
    for _ in 0..12 {
        let voter = net.draws.u64(1..=voters);
        match net.draws.u8(..8) {
            0 => net.kill(voter),
            1 if !net.replicas.contains_key(&voter) => net.start(voter),
            2 if net.replicas.values().all(Consensus::is_voting)
                && (1..=voters).all(|v| net.disks.contains_key(&v)) =>
            {
                // A voter loses its file; all the others have theirs.
                net.kill(voter);
                net.disks.remove(&voter);
                net.start(voter);
            }
            3 => {
                // A torn end: a batch that was written and not synced was not answered for.
                net.kill(voter);
                if let Some(disk) = net.disks.get_mut(&voter) {
                    disk.extend([1, 2, 3]);
                }
                net.start(voter);
            }
            4 => {
                let cut: Vec<_> = (0..net.draws.usize(1..8))
                    .map(|_| (net.draws.u64(1..=voters), net.draws.u64(1..=voters)))
                    .collect();
                net.cut.extend(cut);
            }
            5 => net.cut.clear(),
            6 => net.loss = 0.3,
            _ => net.loss = 0.0,
        }
        let ticks = net.draws.u64(1..60);
        net.run(ticks);
    }
    net.cut.clear();
    net.loss = 0.0;
    for voter in 1..=voters {
        if !net.replicas.contains_key(&voter) {
            net.start(voter);
        }
    }
    net.run(100);
    let known = net.epoch();
    net.run(200);
    assert!(net.epoch() > known, "healed, it decides again");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// A file cut anywhere reads up to its last whole batch; with a byte changed it is refused, or only its last batch
    /// is lost.
    #[test]
    fn a_torn_end_is_cut_and_a_damaged_middle_refused(seed in 0u64..8, at in 0.0..1.0f64, bit in 0u32..8) {
        let mut net = Net::new(3, seed);
        net.run(60);
        let good = net.disks[&1].clone();
        let at = (at * good.len() as f64) as usize;
        let length = vote_file::read(&good[..at], 1).unwrap().valid_bytes;
        prop_assert!(length <= at);
        let mut zeros = good[..length.max(18)].to_vec();
        zeros.extend([0; 40]);
        prop_assert_eq!(vote_file::read(&zeros, 1).map(|read| read.valid_bytes), Ok(length.max(18)));
        let mut damaged = good.clone();
        damaged[at] ^= 1 << bit;
        if let Ok(content) = vote_file::read(&damaged, 1) {
            let before = vote_file::read(&good[..good.len() - 1], 1).unwrap().valid_bytes;
            prop_assert_eq!(content.valid_bytes, before, "only the last batch may be taken for torn");
        }
    }

    /// A message with a bit changed, past the frame's checksum, panics nothing. (What it says may be believed: frames are
    /// not signed.)
    #[test]
    fn a_changed_message_panics_nothing(seed in 0u64..1_000_000) {
        let mut net = Net::new(3, seed);
        net.changed = true;
        net.run(150);
    }

    /// Whatever is cut, lost, killed and started, epochs never go back and no epoch has two decisions (the net checks
    /// each step); healed, the fleet decides again.
    #[test]
    fn epochs_never_go_back(seed in 0u64..1_000_000, voters in prop::sample::select(vec![3u64, 5, 7])) {
        faults(voters, seed);
    }
}

fn ballot(number: u32, voter: VoterId) -> Ballot {
    Ballot::with(1, number, 0, voter)
}

fn reply(round: u32, own: Ballot, leader: Ballot) -> HeartbeatReply {
    HeartbeatReply { round, ballot: own, leader, happy: true }
}

/// Guards against a lease on the strength of replies that waited in the socket of a leader that stood still.
#[test]
fn a_round_counts_from_when_it_was_asked_for() {
    let mut net = Net::new(3, 31);
    net.run(100);
    let leader = net.replicas[&1].leader().unwrap();
    let confirmed = |net: &Net| net.replicas[&leader].last_confirmed_round().unwrap();
    let before = confirmed(&net);
    // The leader stands still with its requests on their way, and reads all replies much later.
    let late = net.tick as f64 * TICK_MS + 60_000.0;
    let replies: Vec<_> = net.under_way.extract_if(.., |m| m.2 == leader).collect();
    let consensus = net.replicas.get_mut(&leader).unwrap();
    for (_, from, _, bytes) in replies {
        let _ = consensus.receive(late, from, &bytes);
    }
    assert!(confirmed(&net) <= before + 8.0 * TICK_MS, "{} after {before}", confirmed(&net));
}

/// Guards against an old leader that counts a voter which has promised to follow the next one.
#[test]
fn a_voter_names_no_leader_before_the_one_that_it_has_promised_to_follow() {
    let mut rounds = HeartbeatRounds::new(2, 3, 0.0);
    let (old, new) = (ballot(1, 1), ballot(2, 3));
    let mut named = |now: f64, leader: Ballot, promise: Ballot| {
        let mut heartbeat = HeartbeatMsg::Reply(reply(1, ballot(1, 2), leader));
        rounds.on_send(now, &mut heartbeat, promise);
        let HeartbeatMsg::Reply(reply) = heartbeat else { unreachable!("it was a reply") };
        reply.leader
    };
    assert_eq!(named(100.0, old, old), old);
    assert_eq!(named(300.0, old, new), new, "the library still names the old one");
    assert_eq!(rounds.ms_since_followed_other(1000.0, new.into(), old), None, "not before its promise");
    assert_eq!(
        rounds.ms_since_followed_other(1000.0, new.into(), new),
        Some(900),
        "it named the old one at 100"
    );
}

/// A new leader knows the last round of the old one from any majority, and not from fewer.
#[test]
fn a_new_leader_learns_when_the_old_one_was_last_followed() {
    let mut rounds = HeartbeatRounds::new(3, 5, 0.0);
    let new = ballot(2, 3);
    rounds.begin_leading(new);
    assert_eq!(rounds.predecessors_last_round(new), None);
    assert_eq!(rounds.succession_query().voters, [1, 2, 4, 5]);
    rounds.on_followed_reply(1000.0, 1, new.into(), 700);
    rounds.on_followed_reply(1000.0, 1, new.into(), 700);
    assert_eq!(rounds.predecessors_last_round(new), None, "two of five");
    rounds.on_followed_reply(1010.0, 2, ballot(1, 3).into(), 0);
    assert_eq!(rounds.predecessors_last_round(new), None, "an answer to an earlier ballot");
    rounds.on_followed_reply(1010.0, 4, new.into(), 600);
    assert_eq!(rounds.predecessors_last_round(new), Some(410.0));
    assert!(rounds.succession_query().voters.is_empty());
    assert_eq!(rounds.predecessors_last_round(ballot(3, 5)), None, "another leads now");
}

/// A reply that comes twice is one voter.
#[test]
fn a_voter_counts_once_in_a_round() {
    let mut rounds = HeartbeatRounds::new(1, 5, 0.0);
    let own = ballot(1, 1);
    rounds.on_send(100.0, &mut HeartbeatMsg::Request(HeartbeatRequest { round: 7 }), own);
    for _ in 0..5 {
        rounds.on_reply(2, &reply(7, ballot(1, 2), own), own);
    }
    assert!(!rounds.confirm_round(), "two of five");
    rounds.on_reply(3, &reply(6, ballot(1, 3), own), own);
    rounds.on_reply(4, &reply(7, ballot(1, 4), ballot(2, 4)), own);
    assert!(!rounds.confirm_round(), "another round, and another leader");
    rounds.on_reply(3, &reply(7, ballot(1, 3), own), own);
    assert!(rounds.confirm_round() && !rounds.confirm_round(), "once a round");
    assert_eq!(rounds.round_started_ms(), 100.0);
}

#[test]
fn heartbeats_are_told_from_what_needs_order() {
    let mut net = Net::new(3, 32);
    let (mut heartbeats, mut others) = (0, 0);
    for _ in 0..40 {
        net.run(5);
        let count = net.under_way.iter().filter(|m| is_heartbeat(&m.3)).count();
        heartbeats += count;
        others += net.under_way.len() - count;
    }
    assert!(heartbeats > 10 && others > 10, "{heartbeats} heartbeats, {others} others");
    assert!(!is_heartbeat(&[]) && !is_heartbeat(&[9, 9, 9]));
}
