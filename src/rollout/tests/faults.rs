//! Guards against violations under random faults: members die, freeze, are partitioned and restart while versions are
//! proposed.

use proptest::prelude::*;

use super::*;

/// Injects random faults while random members propose versions. After all faults are removed, all members must run the
/// same version, and then the next one.
fn run_with_faults(seed: u64) {
    let mut cluster = Cluster::new(seed);
    cluster.run(4000.0);
    for version in 1..12 {
        let member_id = cluster.rng.u16(..MEMBERS as u16);
        match cluster.rng.u8(..10) {
            0 | 1 => cluster.kill(member_id),
            2 => drop(cluster.frozen.insert(member_id)),
            3 => cluster.frozen.clear(),
            4 => cluster.split(&[member_id, (member_id + 1) % 5]),
            5 => drop(cluster.cut_links.insert((member_id, (member_id + 2) % 5))),
            6 => cluster.loss_rate = 0.3 - cluster.loss_rate,
            7 => drop(cluster.rejections.insert((member_id, version))),
            _ => cluster.cut_links.clear(),
        }
        let from = cluster.rng.u16(..MEMBERS as u16);
        if cluster.nodes.contains_key(&from) && !cluster.frozen.contains(&from) {
            let _ = cluster.propose(from, version);
        }
        let ms = cluster.rng.u64(50..3000);
        cluster.run(ms as f64);
        for member_id in 0..MEMBERS as MemberId {
            if !cluster.nodes.contains_key(&member_id) && cluster.rng.bool() {
                cluster.start(member_id);
            }
        }
    }
    cluster.cut_links.clear();
    cluster.frozen.clear();
    cluster.rejections.clear();
    cluster.loss_rate = 0.0;
    for member_id in 0..MEMBERS as MemberId {
        if !cluster.nodes.contains_key(&member_id) {
            cluster.start(member_id);
        }
    }
    cluster.wait_for(60_000.0, "all members run the same version", |c| c.all_run(c.newest_served));
    let next = 50;
    cluster.propose(0, next).unwrap();
    cluster.wait_for(30_000.0, "all members run the next version", |c| c.all_run(next));
}

/// Guards against a change that is decided while members that have not paused hold leases. The change was proposed just
/// before a majority became unreachable, and decided when it came back; in between, other members got leases. Found by
/// a random seed.
#[test]
fn a_change_that_is_decided_late_finds_no_leases_granted_meanwhile() {
    run_with_faults(141_697);
}

/// Guards against a leader that knows it has been replaced and still grants leases based on the majority that follows
/// its successor. Found by a random seed.
#[test]
fn a_replaced_leader_grants_no_leases() {
    run_with_faults(774_560);
}

/// Each step checks that no member serves an older version after any member has served a newer one, and that only
/// decided versions are served. After all faults are removed, all members run the same version.
///
/// The fixed seed was found by a run of 300 seeds: a voter that was killed, restarted and partitioned from the others
/// continued to serve its version while they decided the next. It took late replies to its earlier process (a lease
/// grant and heartbeat replies) for replies to the new process.
#[test]
fn a_change_is_everywhere_or_nowhere_under_any_faults() {
    let config = ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() };
    proptest!(config, |(seed in 0u64..1_000_000)| run_with_faults(seed));
    run_with_faults(376_097);
}
