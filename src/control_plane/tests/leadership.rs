//! Guards against decisions that are lost, made twice or reverted when leaders or majorities fail or members restart.

use proptest::prelude::*;

use super::*;

#[test]
fn a_leader_killed_while_it_decides_delays_a_few_seconds() {
    let mut cluster = settled_cluster(4);
    let leader = cluster.leader();
    let zone = (usize::from(leader) / MEMBERS_PER_ZONE + 1) % ZONES;
    cluster.dead_zones[zone] = true;
    cluster.run(900.0);
    cluster.kill(leader);
    let rest: Vec<MemberId> = ALL_MEMBERS.into_iter().filter(|m| *m != leader).collect();
    cluster.wait_for(4000.0, "closed by the rest", |c| c.is_closed(zone, &rest));
    cluster.start(leader);
    cluster.wait_for(4000.0, "the restarted leader follows", |c| c.is_closed(zone, &[leader]));
}

/// Guards against a leader that was frozen, resumes with an outdated view and still acts as the leader.
#[test]
fn a_frozen_leader_does_not_act_on_outdated_state() {
    let mut cluster = settled_cluster(5);
    let leader = cluster.leader();
    let zone = (usize::from(leader) / MEMBERS_PER_ZONE + 1) % ZONES;
    cluster.frozen.insert(leader);
    cluster.run(3000.0);
    cluster.dead_zones[zone] = true;
    let rest: Vec<MemberId> = ALL_MEMBERS.into_iter().filter(|m| *m != leader).collect();
    cluster.wait_for(4000.0, "closed by the rest", |c| c.is_closed(zone, &rest));
    cluster.run(3000.0);
    cluster.frozen.clear();
    cluster.wait_for(3000.0, "the frozen leader follows", |c| c.is_closed(zone, &[leader]));
    cluster.run(1000.0);
    assert_eq!(cluster.nodes.values().filter(|n| n.node().is_leader()).count(), 1);
    cluster.wait_for(4000.0, "all members see it as up again", |c| {
        c.nodes.values().all(|n| n.node().alive()[usize::from(leader)])
    });
}

/// Guards against decisions without a majority. The voters are partitioned into 0 1 | 3 4 6, where the larger side
/// decides, and then into 0 1 | 3 4 | 6, where no side has a majority and none decides.
#[test]
fn without_a_majority_nothing_is_decided_and_dispatchers_serve_on() {
    let mut cluster = settled_cluster(6);
    cluster.split(&ZONE_0_MEMBERS, &[3, 4, 5, 6, 7, 8]);
    cluster.wait_for(4000.0, "the three voters close the unreachable zone", |c| {
        c.is_closed(0, &[3, 4, 5, 6, 7, 8])
    });
    assert!(
        ZONE_0_MEMBERS.iter().all(|m| cluster.state(*m, 0) == ZoneState::Open),
        "the minority has decided nothing"
    );
    cluster.split(&ZONE_1_MEMBERS, &ZONE_2_MEMBERS);
    cluster.run(2000.0);
    let newest = cluster.decided_tables.keys().max().copied();
    cluster.run(15_000.0);
    assert_eq!(cluster.decided_tables.keys().max().copied(), newest);
    assert!(cluster.nodes.values().all(|n| n.zones().view().unwrap().status == AgreementStatus::Isolated));
    assert!(
        ZONE_1_MEMBERS
            .iter()
            .chain(&ZONE_2_MEMBERS)
            .all(|m| cluster.nodes[m].zones().view().unwrap().shares[0] == 0),
        "the zone stays closed to the other side"
    );
    cluster.cut_links.clear();
    cluster.wait_for(30_000.0, "open to all", |c| {
        (0..ZONES).all(|z| ALL_MEMBERS.iter().all(|m| c.state(*m, z) == ZoneState::Open))
    });
}

#[test]
fn all_restarted_at_once_go_on_from_their_disks() {
    let mut cluster = settled_cluster(9);
    cluster.dead_zones[0] = true;
    cluster.wait_for(3000.0, "closed by all", |c| c.is_closed(0, &ALL_MEMBERS));
    let epoch = cluster.decided_tables.keys().max().copied().unwrap();
    ALL_MEMBERS.iter().for_each(|m| cluster.kill(*m));
    cluster.in_transit.clear();
    cluster.run(100.0);
    ALL_MEMBERS.iter().for_each(|m| cluster.start(*m));
    cluster.wait_for(4000.0, "closed again", |c| c.is_closed(0, &ALL_MEMBERS));
    assert!(cluster.nodes.values().all(|n| n.zones().newest_decision().epoch >= epoch));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, failure_persistence: None, ..ProptestConfig::default() })]

    /// Injects random faults. Each step checks that no epoch has two tables and that no member's epoch decreases. After
    /// all faults are removed, all members follow the leader and all zones open.
    #[test]
    fn all_agree_after_any_faults(seed in 0u64..1_000_000) {
        let mut cluster = Cluster::new(seed);
        cluster.run(3000.0);
        for _ in 0..8 {
            let member = cluster.rng.u16(..9);
            match cluster.rng.u8(..9) {
                0 | 1 => cluster.kill(member),
                2 => drop(cluster.frozen.insert(member)),
                3 => cluster.frozen.clear(),
                4 => cluster.dead_zones[usize::from(member) / MEMBERS_PER_ZONE] ^= true,
                5 => {
                    let other = cluster.rng.u16(..9);
                    cluster.cut_links.insert((member, other));
                }
                6 => {
                    let zone: Vec<MemberId> = ALL_MEMBERS.into_iter().filter(|m| m / 3 == member / 3).collect();
                    let rest: Vec<MemberId> = ALL_MEMBERS.into_iter().filter(|m| m / 3 != member / 3).collect();
                    cluster.split(&zone, &rest);
                }
                7 => cluster.loss_rate = 0.3 - cluster.loss_rate,
                _ => cluster.cut_links.clear(),
            }
            let ms = cluster.rng.u64(100..4000);
            cluster.run(ms as f64);
            for m in ALL_MEMBERS {
                if !cluster.nodes.contains_key(&m) && cluster.rng.bool() {
                    cluster.start(m);
                }
            }
        }
        cluster.cut_links.clear();
        cluster.frozen.clear();
        (cluster.loss_rate, cluster.dead_zones) = (0.0, [false; ZONES]);
        for m in ALL_MEMBERS {
            if !cluster.nodes.contains_key(&m) {
                cluster.start(m);
            }
        }
        cluster.wait_for(90_000.0, "all zones are open and all members agree", |c| {
            let epoch = c.nodes[&0].zones().newest_decision().epoch;
            c.nodes.values().all(|n| {
                let open = n.zones().newest_decision().table.zones.iter().all(|zone| zone.state == ZoneState::Open);
                n.zones().newest_decision().epoch == epoch && open && n.zones().view().is_some_and(|v| v.status == AgreementStatus::Following)
            })
        });
    }
}
