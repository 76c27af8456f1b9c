//! Guards against leases that count from too late a time, and against followers that are miscounted.

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::ballot_leader_election::{HeartbeatMsg, HeartbeatReply, HeartbeatRequest};

use super::{SimulatedNetwork, TICK_MS};
use crate::consensus::heartbeat::HeartbeatRounds;
use crate::consensus::{VoterId, is_heartbeat};

fn ballot(number: u32, voter: VoterId) -> Ballot {
    Ballot::with(1, number, 0, voter)
}

fn reply(round: u32, own: Ballot, leader: Ballot) -> HeartbeatReply {
    HeartbeatReply { round, ballot: own, leader, happy: true }
}

/// Begins a round at 100 ms and returns its number on the wire.
fn begin_round(rounds: &mut HeartbeatRounds, library_round: u32, own: Ballot) -> u32 {
    let mut request = HeartbeatMsg::Request(HeartbeatRequest { round: library_round });
    rounds.on_send(100.0, &mut request, own);
    let HeartbeatMsg::Request(request) = request else { unreachable!("it was a request") };
    request.round
}

/// A leader is killed and restarts with its former ballot. Late or duplicated replies to rounds of its
/// earlier process carry the same `omnipaxos` round numbers and the same leader. If it counted them, it would
/// confirm a round that no other voter has seen, and grant leases while it is cut off.
#[test]
fn a_reply_to_an_earlier_process_of_a_voter_confirms_none_of_its_rounds() {
    let own = ballot(1, 1);
    let mut earlier = HeartbeatRounds::new(1, 3, 1, 0.0);
    let mut restarted = HeartbeatRounds::new(1, 3, 2, 0.0);
    for library_round in 1..50 {
        let earlier_round = begin_round(&mut earlier, library_round, own);
        begin_round(&mut restarted, library_round, own);
        let mut late = reply(earlier_round, ballot(1, 2), own);
        restarted.on_reply(2, &mut late, own);
        assert!(!restarted.confirm_round(), "round {library_round}");
        assert_ne!(late.round, library_round, "`omnipaxos` would take it for a reply to its own round");
    }
}

/// Guards against leases based on replies that waited in the socket of a leader that was frozen.
#[test]
fn a_round_counts_from_the_time_of_its_requests() {
    let mut net = SimulatedNetwork::new(3, 31);
    net.run(100);
    let leader = net.replicas[&1].leader().unwrap();
    let confirmed = |net: &SimulatedNetwork| net.replicas[&leader].last_confirmed_round().unwrap();
    let before = confirmed(&net);
    // The leader freezes while its requests are in transit, and reads all replies much later.
    let late = net.tick as f64 * TICK_MS + 60_000.0;
    let replies: Vec<_> = net.in_transit.extract_if(.., |m| m.2 == leader).collect();
    let consensus = net.replicas.get_mut(&leader).unwrap();
    for (_, from, _, bytes) in replies {
        let _ = consensus.receive(late, from, &bytes);
    }
    assert!(confirmed(&net) <= before + 8.0 * TICK_MS, "{} after {before}", confirmed(&net));
}

/// Guards against an old leader that counts a voter which has already promised to follow the next leader.
#[test]
fn a_voter_names_no_leader_older_than_the_one_it_promised() {
    let mut rounds = HeartbeatRounds::new(2, 3, 1, 0.0);
    let (old, new) = (ballot(1, 1), ballot(2, 3));
    let mut named_leader = |now: f64, leader: Ballot, promise: Ballot| {
        let mut heartbeat = HeartbeatMsg::Reply(reply(1, ballot(1, 2), leader));
        rounds.on_send(now, &mut heartbeat, promise);
        let HeartbeatMsg::Reply(reply) = heartbeat else { unreachable!("it was a reply") };
        reply.leader
    };
    assert_eq!(named_leader(100.0, old, old), old);
    assert_eq!(named_leader(300.0, old, new), new, "`omnipaxos` still names the old leader");
    assert_eq!(rounds.ms_since_followed_other(1000.0, new.into(), old), None, "no answer before its promise");
    assert_eq!(
        rounds.ms_since_followed_other(1000.0, new.into(), new),
        Some(900),
        "it named the old leader at 100 ms"
    );
}

/// A new leader learns the old leader's last round from any majority, and not from fewer voters.
#[test]
fn a_new_leader_learns_when_the_old_one_was_last_followed() {
    let mut rounds = HeartbeatRounds::new(3, 5, 1, 0.0);
    let new = ballot(2, 3);
    rounds.begin_leading(new);
    assert_eq!(rounds.predecessors_last_round(new), None);
    assert_eq!(rounds.succession_query().voters, [1, 2, 4, 5]);
    rounds.on_followed_reply(1000.0, 1, new.into(), 700);
    rounds.on_followed_reply(1000.0, 1, new.into(), 700);
    assert_eq!(rounds.predecessors_last_round(new), None, "two of five");
    rounds.on_followed_reply(1010.0, 2, ballot(1, 3).into(), 0);
    assert_eq!(rounds.predecessors_last_round(new), None, "a reply to an earlier ballot");
    rounds.on_followed_reply(1010.0, 4, new.into(), 600);
    assert_eq!(rounds.predecessors_last_round(new), Some(410.0));
    assert!(rounds.succession_query().voters.is_empty());
    assert_eq!(rounds.predecessors_last_round(ballot(3, 5)), None, "the query was for another ballot");
}

/// A duplicated reply counts as one voter.
#[test]
fn a_voter_counts_once_in_a_round() {
    let mut rounds = HeartbeatRounds::new(1, 5, 1, 0.0);
    let own = ballot(1, 1);
    let round = begin_round(&mut rounds, 7, own);
    for _ in 0..5 {
        rounds.on_reply(2, &mut reply(round, ballot(1, 2), own), own);
    }
    assert!(!rounds.confirm_round(), "two of five");
    rounds.on_reply(3, &mut reply(round.wrapping_sub(1), ballot(1, 3), own), own);
    rounds.on_reply(4, &mut reply(round, ballot(1, 4), ballot(2, 4)), own);
    assert!(!rounds.confirm_round(), "replies to another round and for another leader do not count");
    let mut third = reply(round, ballot(1, 3), own);
    rounds.on_reply(3, &mut third, own);
    assert_eq!(third.round, 7, "the `omnipaxos` round number is restored");
    assert!(rounds.confirm_round() && !rounds.confirm_round(), "confirmed once per round");
    assert_eq!(rounds.round_started_ms(), 100.0);
}

#[test]
fn heartbeats_are_distinguished_from_messages_that_need_order() {
    let mut net = SimulatedNetwork::new(3, 32);
    let (mut heartbeats, mut others) = (0, 0);
    for _ in 0..40 {
        net.run(5);
        let count = net.in_transit.iter().filter(|m| is_heartbeat(&m.3)).count();
        heartbeats += count;
        others += net.in_transit.len() - count;
    }
    assert!(heartbeats > 10 && others > 10, "{heartbeats} heartbeats, {others} others");
    assert!(!is_heartbeat(&[]) && !is_heartbeat(&[9, 9, 9]));
}
