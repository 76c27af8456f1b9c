//! Guards against zones that are wrongly closed or opened while members, links and clocks fail.

use super::*;

#[test]
fn a_dead_zone_is_closed_by_all_within_three_seconds_and_reopened() {
    let mut cluster = settled_cluster(1);
    cluster.dead_zones[1] = true;
    let took = cluster.wait_for(3000.0, "closed by all", |c| c.is_closed(1, &ALL_MEMBERS));
    assert!(took > 600.0, "the zone is not closed at the first failure: {took}");
    assert!(
        cluster
            .nodes
            .values()
            .all(|n| n.zones().view().unwrap().shares[1] == 0 || n.zones().view().unwrap().epoch == 0)
    );
    cluster.run(1000.0);
    cluster.dead_zones[1] = false;
    cluster
        .wait_for(15_000.0, "open to all", |c| ALL_MEMBERS.iter().all(|m| c.state(*m, 1) == ZoneState::Open));
}

/// Guards against an outage inside a partitioned zone: its endpoints and dispatchers are alive, but nothing from them
/// reaches the other zones.
#[test]
fn a_partitioned_zone_is_closed_outside_and_serves_on_inside() {
    let mut cluster = settled_cluster(2);
    cluster.split(&ZONES_0_AND_1_MEMBERS, &ZONE_2_MEMBERS);
    cluster.wait_for(3500.0, "closed outside", |c| c.is_closed(2, &ZONES_0_AND_1_MEMBERS));
    cluster.run(14_000.0);
    for inside in ZONE_2_MEMBERS {
        let view = cluster.nodes[&inside].zones().view().unwrap();
        assert_eq!((view.status, view.shares[2]), (AgreementStatus::Isolated, 1000));
    }
    cluster.cut_links.clear();
    cluster.wait_for(3000.0, "the zone's dispatchers follow again", |c| {
        ZONE_2_MEMBERS.iter().all(|m| c.nodes[m].zones().view().unwrap().status == AgreementStatus::Following)
    });
    cluster
        .wait_for(20_000.0, "open to all", |c| ALL_MEMBERS.iter().all(|m| c.state(*m, 2) == ZoneState::Open));
}

/// Guards against a single unreachable dispatcher that closes a zone for the others.
#[test]
fn a_single_partitioned_dispatcher_changes_nothing_for_the_others() {
    let mut cluster = settled_cluster(3);
    let others: Vec<MemberId> = ALL_MEMBERS.into_iter().filter(|m| *m != 2).collect();
    cluster.split(&[2], &others);
    cluster.run(20_000.0);
    assert!(cluster.decided_tables.is_empty(), "{:?}", cluster.decided_tables);
    assert_eq!(cluster.nodes[&2].zones().view().unwrap().status, AgreementStatus::Isolated);
    assert!(!cluster.nodes[&0].node().alive()[2]);
    cluster.cut_links.clear();
    cluster.wait_for(4000.0, "the partition is over", |c| {
        c.nodes[&0].node().alive()[2] && c.nodes[&2].node().alive().iter().all(|up| *up)
    });
}

#[test]
fn packet_loss_delays_and_breaks_nothing() {
    let mut cluster = settled_cluster(7);
    (cluster.loss_rate, cluster.has_delays) = (0.3, true);
    cluster.run(10_000.0);
    assert!(cluster.decided_tables.is_empty(), "loss alone closes nothing: {:?}", cluster.decided_tables);
    cluster.dead_zones[0] = true;
    cluster.wait_for(8000.0, "closed by all", |c| c.is_closed(0, &ALL_MEMBERS));
}

#[test]
fn clock_skew_changes_nothing() {
    let mut cluster = Cluster::with_clock_skew(8, 5000.0);
    cluster.run(4000.0);
    assert!(cluster.decided_tables.is_empty());
    cluster.dead_zones[2] = true;
    cluster.wait_for(3000.0, "closed by all", |c| c.is_closed(2, &ALL_MEMBERS));
    cluster.dead_zones[2] = false;
    cluster
        .wait_for(15_000.0, "open to all", |c| ALL_MEMBERS.iter().all(|m| c.state(*m, 2) == ZoneState::Open));
}

/// Guards against a restarted or frozen member that stays marked as down. A restarted process is recognized by its
/// higher incarnation.
#[test]
fn a_restarted_member_is_known_again() {
    let mut cluster = settled_cluster(10);
    cluster.kill(8);
    cluster.wait_for(5000.0, "known to be down", |c| c.nodes.values().all(|n| !n.node().alive()[8]));
    cluster.start(8);
    cluster
        .wait_for(5000.0, "known again", |c| c.nodes.values().all(|n| n.node().alive().iter().all(|up| *up)));
    cluster.frozen.insert(7);
    cluster.run(10_000.0);
    assert!(!cluster.nodes[&0].node().alive()[7]);
    cluster.frozen.clear();
    cluster.wait_for(5000.0, "known again after the freeze", |c| {
        c.nodes.values().all(|n| n.node().alive().iter().all(|up| *up))
    });
}
