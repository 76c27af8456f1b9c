//! Guards against leases that are still valid after a change, and against waiting for leases that no member can hold.

use super::*;

#[test]
fn a_dead_member_is_waited_for_until_its_lease_is_over() {
    let mut cluster = settled_cluster(3);
    cluster.kill(4);
    cluster.propose(0, 1).unwrap();
    let took = cluster.wait_for(6000.0, "the other members run it", |c| c.all_run(1));
    assert!(took <= LEASE_MS + 1000.0, "{took}");
    assert!(
        cluster.pause_lengths.iter().all(|pause| *pause <= 500.0),
        "requests are not paused while the leader waits for the lease: {:?}",
        cluster.pause_lengths
    );
    cluster.start(4);
    cluster.wait_for(3000.0, "the restarted member runs the newest version", |c| c.all_run(1));
}

/// Guards against a frozen member that serves its old version when it resumes after its lease has expired.
#[test]
fn a_frozen_member_serves_nothing_old_when_it_wakes() {
    let mut cluster = settled_cluster(4);
    cluster.frozen.insert(3);
    cluster.propose(0, 1).unwrap();
    cluster.wait_for(6000.0, "in force", |c| c.newest_served == 1);
    cluster.run(500.0);
    cluster.frozen.clear();
    cluster.wait_for(3000.0, "all run it", |c| c.all_run(1));
}

/// Shows that the lease prevents a frozen member from serving the old version: without leases, the model detects that
/// fault.
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
    (0..2).for_each(|member_id| cluster.kill(member_id));
    cluster.propose(3, 1).unwrap();
    cluster.run(LEASE_MS - 800.0);
    assert_eq!(cluster.newest_served, 0);
    let served = cluster.served;
    cluster.run(2000.0);
    let later = cluster.served;
    cluster.run(3000.0);
    assert!(
        later > served && cluster.served == later,
        "members serve until their leases expire, and not after that"
    );
    (0..2).for_each(|member_id| cluster.start(member_id));
    cluster
        .wait_for(20_000.0, "all serve again", |c| c.all_run(1) || c.all_run(0) && c.given_up.contains(&1));
}

/// Guards against waiting for the lease of a process that has ended: a new process that sends from the member's address
/// proves that the earlier one is gone.
#[test]
fn a_restarted_member_is_not_waited_for() {
    let mut cluster = settled_cluster(7);
    cluster.kill(4);
    cluster.run(50.0);
    cluster.start(4);
    cluster.wait_for(1000.0, "the restarted member serves", |c| c.frontends[&4].lease_until > c.now);
    cluster.propose(0, 1).unwrap();
    let took = cluster.wait_for(3000.0, "all run it", |c| c.all_run(1));
    assert!(took <= 400.0, "{took}");
}

/// Makes a member leave, waits for the leader's acknowledgement, and starts a new process in its place. Returns how
/// long the next change takes.
fn change_after_leave(seed: u64, serves: bool) -> f64 {
    let mut cluster = settled_cluster(seed);
    let now = cluster.now;
    cluster.nodes.get_mut(&4).unwrap().with_participant(now, |member, _| member.leave(now, serves));
    cluster.wait_for(400.0, "the leader acknowledges the leave", |c| {
        c.nodes[&4].has_left(c.now) && c.frontends[&4].lease_until > c.now
    });
    cluster.kill(4);
    cluster.start(4);
    cluster.propose(0, 1).unwrap();
    cluster.wait_for(3000.0, "all run it", |c| c.all_run(1))
}

/// Guards against the old process of an upgrade that continues to serve under the old policy while its replacement
/// already serves under the new one.
#[test]
fn a_leaving_member_that_serves_on_is_waited_for_and_one_without_a_lease_is_not() {
    assert!(change_after_leave(8, true) >= 1000.0, "the change waits for the rest of the lease");
    assert!(change_after_leave(9, false) <= 400.0);
}

/// Guards against a new leader that waits for leases that no member can still hold.
#[test]
fn a_new_leader_waits_only_for_leases_that_the_old_one_can_have_granted() {
    for seed in 20..30 {
        let mut cluster = settled_cluster(seed);
        let leader = cluster.leader();
        cluster.propose((leader + 1) % MEMBERS as MemberId, 1).unwrap();
        cluster.kill(leader);
        let took = cluster.wait_for(5000.0, "the other members run it", |c| c.all_run(1));
        assert!(took <= 3000.0, "seed {seed}: {took}");
    }
}

/// Guards against leases that expire before a failed leader is replaced.
#[test]
fn nobody_stops_serving_while_a_leader_is_replaced() {
    for seed in 30..40 {
        let mut cluster = settled_cluster(seed);
        let leader = cluster.leader();
        cluster.kill(leader);
        for _ in 0..400 {
            cluster.step();
            let stopped = cluster.frontends.iter().find(|(_, frontend)| frontend.lease_until <= cluster.now);
            assert!(stopped.is_none(), "seed {seed}: {:?} at {}", stopped.map(|(at, _)| at), cluster.now);
        }
    }
}

/// Runs the cluster for `ms` and returns the datagrams that are sent to a member, each with its arrival time since the
/// start, and its sender.
fn record_datagrams(cluster: &mut Cluster, to: MemberId, ms: f64) -> Vec<(f64, MemberId, Vec<u8>)> {
    let (began, mut recorded, mut last_sent) = (cluster.now, Vec::new(), 0);
    while cluster.now < began + ms {
        cluster.step();
        for (arrives_at, sent_number, from, receiver, bytes) in &cluster.in_transit {
            if *receiver == to && *sent_number > last_sent {
                recorded.push((arrives_at - began, *from, bytes.clone()));
            }
        }
        last_sent = cluster.sent_count;
    }
    recorded
}

/// Guards against a late grant to a member's earlier process that is taken for a grant to its new process. The member
/// is killed, restarted and partitioned, and all datagrams to the earlier process arrive again. If the request numbers
/// of both processes were the same, a late grant would give the new process a lease that no leader knows of, and it
/// would serve an old version while the others change to the next.
#[test]
fn a_late_grant_to_an_earlier_process_of_a_member_is_no_lease() {
    let mut cluster = Cluster::new(8);
    let recorded = record_datagrams(&mut cluster, 4, 4000.0);
    assert!(cluster.frontends[&4].lease_until > cluster.now, "the earlier process holds a lease");
    cluster.kill(4);
    cluster.split(&[4]);
    cluster.in_transit.retain(|datagram| datagram.3 != 4);
    cluster.start(4);
    let began = cluster.now;
    for (after, from, bytes) in recorded {
        while cluster.now < began + after {
            cluster.step();
            assert!(
                cluster.frontends[&4].lease_until <= 0.0,
                "the new process got a lease {} ms after its start",
                cluster.now - began
            );
        }
        cluster.sent_count += 1;
        cluster.in_transit.push((cluster.now, cluster.sent_count, from, 4, bytes));
    }
}
