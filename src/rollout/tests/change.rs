//! Guards against a change that takes effect on only some of the members, is lost, or is repeated.

use super::*;

#[test]
fn a_change_is_in_force_everywhere_soon_and_pauses_little() {
    let mut cluster = settled_cluster(1);
    cluster.propose(4, 1).unwrap();
    let took = cluster.wait_for(2000.0, "all members run version 1", |c| c.all_run(1));
    assert!(took <= 400.0, "{took}");
    cluster.propose(0, 7).unwrap();
    cluster.wait_for(2000.0, "all members run version 7", |c| c.all_run(7));
    assert!(cluster.pause_lengths.iter().all(|pause| *pause <= 100.0), "{:?}", cluster.pause_lengths);
    assert!(cluster.propose(2, 3).is_err(), "a lower version is refused");
    assert!(cluster.propose(2, 7).is_ok(), "proposing the policy in force again is accepted");
}

#[test]
fn a_rejected_version_is_given_up_for_all_and_for_good() {
    let mut cluster = settled_cluster(2);
    cluster.rejections.insert((3, 1));
    cluster.propose(1, 1).unwrap();
    cluster.wait_for(3000.0, "given up", |c| c.given_up.contains(&1));
    cluster.run(3000.0);
    assert!(cluster.all_run(0));
    cluster.rejections.clear();
    // Neither a restart of all members from their disks nor proposing the same version again brings it back.
    (0..5).for_each(|member_id| cluster.kill(member_id));
    cluster.run(100.0);
    (0..5).for_each(|member_id| cluster.start(member_id));
    cluster.wait_for(15_000.0, "all members serve", |c| c.all_run(0));
    assert!(cluster.propose(1, 1).is_err());
    cluster.propose(1, 2).unwrap();
    cluster.wait_for(3000.0, "all members run version 2", |c| c.all_run(2));
}

/// Shows that pauses prevent members from serving the old version while others serve the new one: without pauses, the
/// model detects that fault.
#[test]
#[should_panic(expected = "ran elsewhere")]
fn without_pauses_some_members_serve_the_old_version() {
    let mut cluster = settled_cluster(1);
    cluster.enforces_pauses = false;
    cluster.propose(4, 1).unwrap();
    cluster.wait_for(2000.0, "all run it", |c| c.newest_served == 1 && c.all_run(1));
}

#[test]
fn two_changes_at_both_sides_of_a_partition_do_not_mix() {
    let mut cluster = settled_cluster(5);
    cluster.split(&[0, 3]);
    cluster.propose(3, 1).unwrap();
    cluster.propose(4, 2).unwrap();
    cluster.wait_for(9000.0, "the majority side's version is in force", |c| c.newest_served == 2);
    cluster.run(1000.0);
    assert!(
        cluster.frontends[&3].version == 0 && cluster.frontends[&3].lease_until <= cluster.now,
        "a member on the minority side serves nothing"
    );
    cluster.cut_links.clear();
    cluster.wait_for(9000.0, "all members run version 2", |c| c.all_run(2));
    assert!(!cluster.decided.contains(&1), "the lower version is proposed too late");
}

#[test]
fn a_leader_killed_at_any_step_of_a_change_leaves_all_or_nothing() {
    for delay in 0..25 {
        let mut cluster = settled_cluster(100 + delay);
        let leader = cluster.leader();
        cluster.propose(4, 1).unwrap();
        cluster.run(delay as f64 * 10.0);
        cluster.kill(leader);
        cluster.run(LEASE_MS + 3000.0);
        cluster.start(leader);
        cluster.wait_for(15_000.0, "all run the same", |c| c.all_run(0) || c.all_run(1));
        cluster.wait_for(15_000.0, "version 1 is decided on", |c| c.given_up.contains(&1) || c.all_run(1));
    }
}

#[test]
fn all_killed_at_any_step_of_a_change_restart_with_one_version() {
    for delay in 0..20 {
        let mut cluster = settled_cluster(200 + delay);
        cluster.propose(4, 1).unwrap();
        cluster.run(delay as f64 * 10.0);
        (0..5).for_each(|member_id| cluster.kill(member_id));
        cluster.in_transit.clear();
        cluster.run(50.0);
        (0..5).for_each(|member_id| cluster.start(member_id));
        cluster.wait_for(20_000.0, "all run the same", |c| c.all_run(0) || c.all_run(1));
    }
}
