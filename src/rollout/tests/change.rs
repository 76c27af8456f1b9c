//! Guards against a change that takes effect on some members only, or that is lost or repeated.

use super::*;

#[test]
fn a_change_is_in_force_everywhere_soon_and_pauses_little() {
    let mut cluster = settled_cluster(1);
    cluster.propose(4, 1).unwrap();
    let took = cluster.wait_for(2000.0, "all run it", |c| c.runs(1));
    assert!(took <= 400.0, "{took}");
    cluster.propose(0, 7).unwrap();
    cluster.wait_for(2000.0, "all run the next", |c| c.runs(7));
    assert!(cluster.pause_lengths.iter().all(|pause| *pause <= 100.0), "{:?}", cluster.pause_lengths);
    assert!(cluster.propose(2, 3).is_err(), "an older version is refused");
    assert!(cluster.propose(2, 7).is_ok(), "the file that is in force is no news");
}

#[test]
fn a_rejected_version_is_given_up_for_all_and_for_good() {
    let mut cluster = settled_cluster(2);
    cluster.rejected.insert((3, 1));
    cluster.propose(1, 1).unwrap();
    cluster.wait_for(3000.0, "given up", |c| c.given_up.contains(&1));
    cluster.run(3000.0);
    assert!(cluster.runs(0));
    cluster.rejected.clear();
    // Neither a restart of all with their disks nor the same file again brings it back.
    (0..5).for_each(|at| cluster.kill(at));
    cluster.run(100.0);
    (0..5).for_each(|at| cluster.start(at));
    cluster.wait_for(15_000.0, "all serve", |c| c.runs(0));
    assert!(cluster.propose(1, 1).is_err());
    cluster.propose(1, 2).unwrap();
    cluster.wait_for(3000.0, "all run a higher one", |c| c.runs(2));
}

/// Shows that the pause guards against members that go on under the old version while others run the new one: without it
/// the model finds the fault.
#[test]
#[should_panic(expected = "ran elsewhere")]
fn without_pauses_some_members_serve_the_old_version() {
    let mut cluster = settled_cluster(1);
    cluster.enforces_pauses = false;
    cluster.propose(4, 1).unwrap();
    cluster.wait_for(2000.0, "all run it", |c| c.newest_served == 1 && c.runs(1));
}

#[test]
fn two_changes_at_both_sides_of_a_partition_do_not_mix() {
    let mut cluster = settled_cluster(5);
    cluster.split(&[0, 3]);
    cluster.propose(3, 1).unwrap();
    cluster.propose(4, 2).unwrap();
    cluster.wait_for(9000.0, "the larger side's is in force", |c| c.newest_served == 2);
    cluster.run(1000.0);
    assert!(
        cluster.fronts[&3].version == 0 && cluster.fronts[&3].lease_until <= cluster.now,
        "cut off, it serves nothing"
    );
    cluster.cut.clear();
    cluster.wait_for(9000.0, "all run it", |c| c.runs(2));
    assert!(!cluster.decided.contains(&1), "the lower one came too late");
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
        cluster.wait_for(15_000.0, "all run the same", |c| c.runs(0) || c.runs(1));
        cluster.wait_for(15_000.0, "and it was decided on", |c| c.given_up.contains(&1) || c.runs(1));
    }
}

#[test]
fn all_killed_at_any_step_of_a_change_restart_with_one_version() {
    for delay in 0..20 {
        let mut cluster = settled_cluster(200 + delay);
        cluster.propose(4, 1).unwrap();
        cluster.run(delay as f64 * 10.0);
        (0..5).for_each(|at| cluster.kill(at));
        cluster.in_transit.clear();
        cluster.run(50.0);
        (0..5).for_each(|at| cluster.start(at));
        cluster.wait_for(20_000.0, "all run the same", |c| c.runs(0) || c.runs(1));
    }
}
