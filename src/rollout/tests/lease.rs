//! Guards against leases that outlast a change, and against waits for leases that nobody can have.

use super::*;

#[test]
fn a_dead_member_is_waited_for_until_its_lease_is_over() {
    let mut cluster = settled_cluster(3);
    cluster.kill(4);
    cluster.propose(0, 1).unwrap();
    let took = cluster.wait_for(6000.0, "the others run it", |c| c.runs(1));
    assert!(took <= LEASE_MS + 1000.0, "{took}");
    assert!(
        cluster.pause_lengths.iter().all(|pause| *pause <= 500.0),
        "nobody waits meanwhile: {:?}",
        cluster.pause_lengths
    );
    cluster.start(4);
    cluster.wait_for(3000.0, "back, it runs the newest", |c| c.runs(1));
}

/// Guards against a frozen member that wakes with its old version after its lease is over.
#[test]
fn a_frozen_member_serves_nothing_old_when_it_wakes() {
    let mut cluster = settled_cluster(4);
    cluster.frozen.insert(3);
    cluster.propose(0, 1).unwrap();
    cluster.wait_for(6000.0, "in force", |c| c.newest_served == 1);
    cluster.run(500.0);
    cluster.frozen.clear();
    cluster.wait_for(3000.0, "all run it", |c| c.runs(1));
}

/// Shows that the lease is what guards against it: without it the model finds the fault.
#[test]
#[should_panic(expected = "ran elsewhere")]
fn without_leases_a_frozen_member_serves_the_old_version() {
    let mut cluster = settled_cluster(4);
    cluster.enforces_leases = false;
    cluster.frozen.insert(3);
    cluster.propose(0, 1).unwrap();
    cluster.wait_for(6000.0, "in force", |c| c.newest_served == 1);
    cluster.frozen.clear();
    cluster.run(3000.0);
}

#[test]
fn without_a_majority_nothing_changes_and_leases_run_out() {
    let mut cluster = settled_cluster(6);
    (0..2).for_each(|at| cluster.kill(at));
    cluster.propose(3, 1).unwrap();
    cluster.run(LEASE_MS - 800.0);
    assert_eq!(cluster.newest_served, 0);
    let served = cluster.served;
    cluster.run(2000.0);
    let later = cluster.served;
    cluster.run(3000.0);
    assert!(later > served && cluster.served == later, "served until the leases were over, and not beyond");
    (0..2).for_each(|at| cluster.start(at));
    cluster.wait_for(20_000.0, "all serve again", |c| c.runs(1) || c.runs(0) && c.given_up.contains(&1));
}

/// A process that sends from the member's address proves the one before it gone: its lease is not waited for.
#[test]
fn a_restarted_member_is_not_waited_for() {
    let mut cluster = settled_cluster(7);
    cluster.kill(4);
    cluster.run(50.0);
    cluster.start(4);
    cluster.wait_for(1000.0, "it serves", |c| c.fronts[&4].lease_until > c.now);
    cluster.propose(0, 1).unwrap();
    let took = cluster.wait_for(3000.0, "all run it", |c| c.runs(1));
    assert!(took <= 400.0, "{took}");
}

/// Has a member leave, and waits until the leader knows; then another process starts in its place.
fn change_after_leave(seed: u64, serves: bool) -> f64 {
    let mut cluster = settled_cluster(seed);
    let now = cluster.now;
    cluster.nodes.get_mut(&4).unwrap().with_participant(now, |member, _| member.leave(now, serves));
    cluster.wait_for(400.0, "the leader knows", |c| {
        c.nodes[&4].has_left(c.now) && c.fronts[&4].lease_until > c.now
    });
    cluster.kill(4);
    cluster.start(4);
    cluster.propose(0, 1).unwrap();
    cluster.wait_for(3000.0, "all run it", |c| c.runs(1))
}

/// Guards against a process of an upgrade that serves on under the old policy beside the one that has replaced it.
#[test]
fn a_leaving_member_that_serves_on_is_waited_for_and_one_without_a_lease_is_not() {
    assert!(change_after_leave(8, true) >= 1000.0, "the rest of a lease");
    assert!(change_after_leave(9, false) <= 400.0);
}

/// Guards against a new leader that waits for leases which nobody can hold any more.
#[test]
fn a_new_leader_waits_only_for_leases_that_the_old_one_can_have_granted() {
    for seed in 20..30 {
        let mut cluster = settled_cluster(seed);
        let leader = cluster.leader();
        cluster.propose((leader + 1) % MEMBERS as MemberId, 1).unwrap();
        cluster.kill(leader);
        let took = cluster.wait_for(5000.0, "the others run it", |c| c.runs(1));
        assert!(took <= 3000.0, "seed {seed}: {took}");
    }
}

/// Guards against leases that run out before a lost leader is replaced.
#[test]
fn nobody_stops_serving_while_a_leader_is_replaced() {
    for seed in 30..40 {
        let mut cluster = settled_cluster(seed);
        let leader = cluster.leader();
        cluster.kill(leader);
        for _ in 0..400 {
            cluster.step();
            let stopped = cluster.fronts.iter().find(|(_, front)| front.lease_until <= cluster.now);
            assert!(stopped.is_none(), "seed {seed}: {:?} at {}", stopped.map(|(at, _)| at), cluster.now);
        }
    }
}

/// All datagrams that reach a member while the cluster runs, each with the time since the first step.
fn record_datagrams(cluster: &mut Cluster, to: MemberId, ms: f64) -> Vec<(f64, MemberId, Vec<u8>)> {
    let (began, mut recorded, mut last_sent) = (cluster.now, Vec::new(), 0);
    while cluster.now < began + ms {
        cluster.step();
        for (at, sent, from, receiver, bytes) in &cluster.in_transit {
            if *receiver == to && *sent > last_sent {
                recorded.push((at - began, *from, bytes.clone()));
            }
        }
        last_sent = cluster.sent;
    }
    recorded
}

/// A member is killed, starts again and is cut off, and what was sent to its earlier process comes once more. Its requests
/// have the same numbers as those of the earlier process had: a late grant that is believed to answer one of them is a lease
/// that nobody knows of, and it serves an old version while the others go on to the next.
#[test]
fn a_late_grant_to_an_earlier_process_of_a_member_is_no_lease() {
    let mut cluster = Cluster::new(8);
    let recorded = record_datagrams(&mut cluster, 4, 4000.0);
    assert!(cluster.fronts[&4].lease_until > cluster.now, "the earlier process had leases");
    cluster.kill(4);
    cluster.split(&[4]);
    cluster.in_transit.retain(|datagram| datagram.3 != 4);
    cluster.start(4);
    let began = cluster.now;
    for (after, from, bytes) in recorded {
        while cluster.now < began + after {
            cluster.step();
            assert!(
                cluster.fronts[&4].lease_until <= 0.0,
                "a lease {} ms after the start",
                cluster.now - began
            );
        }
        cluster.sent += 1;
        cluster.in_transit.push((cluster.now, cluster.sent, from, 4, bytes));
    }
}
