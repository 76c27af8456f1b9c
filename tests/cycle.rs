//! Tests of the cycle: turns by size, even spacing, offsets, kinds and overflow.

mod common;

use common::*;
use micabeam::routing::*;
use std::collections::BTreeMap;

/// Sends `count` jobs, each of which is served at once, and returns the endpoints they were sent to.
fn route(world: &mut World, class: usize, count: usize) -> Vec<u64> {
    let mut endpoint_ids = Vec::new();
    for _ in 0..count {
        world.now += 10 * MS;
        let (job, actions) = world.job(class);
        let endpoint_id = sent(&actions).expect("an idle fleet accepts every job immediately");
        world.ended(job, 0, endpoint_id, Outcome::Served);
        endpoint_ids.push(endpoint_id.0);
    }
    endpoint_ids
}

fn counts(endpoint_ids: &[u64]) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    endpoint_ids.iter().for_each(|&w| *counts.entry(w).or_default() += 1);
    counts
}

#[test]
fn turns_are_proportional_to_size() {
    let members = [member(1, 1.0), member(2, 2.0), member(3, 3.0)];
    let endpoint_ids = route(&mut World::new(settings(), &members), 0, 600);
    let counts = counts(&endpoint_ids);
    for (endpoint_id, share) in [(1, 100.0), (2, 200.0), (3, 300.0)] {
        let ratio = counts[&endpoint_id] as f64 / share;
        assert!(
            (0.9..1.1).contains(&ratio),
            "endpoint {endpoint_id} has {} turns of {share}",
            counts[&endpoint_id]
        );
    }
}

#[test]
fn turns_are_evenly_spread() {
    let members: Vec<Endpoint> = (1..=5).map(|id| member(id, 1.0)).collect();
    let endpoint_ids = route(&mut World::new(settings(), &members), 0, 100);
    for at in 0..95 {
        let window = counts(&endpoint_ids[at..at + 5]);
        assert!(window.values().all(|&n| n <= 2), "five jobs from {at} on went to {window:?}");
    }
}

#[test]
fn dispatchers_start_at_different_endpoints() {
    let members: Vec<Endpoint> = (1..=20).map(|id| member(id, 1.0)).collect();
    let first = (0..20).map(|number| {
        let settings = Settings { number, dispatchers: 20, ..settings() };
        route(&mut World::new(settings, &members), 0, 1)[0]
    });
    let met = counts(&first.collect::<Vec<_>>()).len();
    assert!(met >= 12, "the first jobs of 20 dispatchers meet only {met} of 20 endpoints");
}

#[test]
fn jobs_that_need_a_kind_cycle_over_its_endpoints() {
    let mut settings = settings();
    settings.classes[2].kind = Some(1);
    let members: Vec<Endpoint> =
        (1..=6).map(|id| Endpoint { kind: u16::from(id % 3 == 0), ..member(id, 1.0) }).collect();
    let endpoint_ids = route(&mut World::new(settings, &members), 2, 40);
    assert_eq!(counts(&endpoint_ids), BTreeMap::from([(3, 20), (6, 20)]));
}

#[test]
fn a_changed_list_rebuilds_the_cycle() {
    let members: Vec<Endpoint> = (1..=4).map(|id| member(id, 1.0)).collect();
    let mut world = World::new(settings(), &members);
    route(&mut world, 0, 3);
    world.handle(Event::Changes(&[Endpoint { status: EndpointStatus::Gone, ..members[1] }, member(9, 1.0)]));
    let counts = counts(&route(&mut world, 0, 40));
    assert_eq!(counts.keys().copied().collect::<Vec<_>>(), [1, 3, 4, 9]);
    assert!(counts.values().all(|&n| n == 10), "{counts:?}");
}

#[test]
fn jobs_overflow_from_a_full_endpoint_in_fixed_order() {
    let members: Vec<Endpoint> = (1..=3).map(|id| member(id, 1.0)).collect();
    let mut world = World::new(probing(), &members);
    let mut followers: BTreeMap<EndpointId, EndpointId> = BTreeMap::new();
    for _ in 0..12 {
        world.now += 20 * MS;
        let (job, actions) = world.job(0);
        let scheduled = probed_endpoint(&actions).expect("the scheduled endpoint is probed");
        let next =
            probed_endpoint(&world.probed(scheduled, 0.0)).expect("the job overflows from a full endpoint");
        assert_eq!(sent(&world.probed(next, 1.0)), Some(next));
        world.ended(job, 0, next, Outcome::Served);
        assert_eq!(*followers.entry(scheduled).or_insert(next), next, "the order changed");
    }
    // Every endpoint has a successor and is a successor: the order wraps around.
    let mut targets: Vec<_> = followers.values().collect();
    targets.sort();
    targets.dedup();
    assert_eq!((followers.len(), targets.len()), (3, 3));
}

#[test]
fn a_free_scheduled_endpoint_gets_the_job() {
    let (mut world, scheduled) = world_with_one_probe();
    assert_eq!(sent(&world.probed(scheduled, 2.0)), Some(scheduled));
}

/// Returns three endpoints that can be probed, with a probe of one of them in flight for a job, and that
/// endpoint.
fn world_with_one_probe() -> (World, EndpointId) {
    let members: Vec<Endpoint> = (1..=3).map(|id| member(id, 1.0)).collect();
    let mut world = World::new(probing(), &members);
    let (_, actions) = world.job(0);
    (world, probed_endpoint(&actions).unwrap())
}

/// Incident ifc9b7b: a job that needs several slots waits at the head of a queue and leaves one slot free,
/// which no job behind it can use.
#[test]
fn an_endpoint_with_a_queue_is_past_k_despite_a_free_slot() {
    let (mut world, scheduled) = world_with_one_probe();
    world.probed(scheduled, 4.0);
    world.now += 20 * MS;
    let scheduled = probed_endpoint(&world.job(0).1).expect("the next turn");
    let report = LoadReport { free_slots: Some(2.0), held: Some(11.0), ..LoadReport::default() };
    let probed = Event::Probed { endpoint: scheduled, answered: true, latency: MS, report };
    let actions = world.handle(probed);
    assert_eq!(sent(&actions), None);
    assert!(probed_endpoint(&actions).is_some_and(|next| next != scheduled));
}

/// Sends `jobs` jobs to the first of two endpoints with two slots each, then one job for each entry of
/// `reports`, which is the number of free slots that the first endpoint reports. Returns where the last of
/// these jobs went.
fn endpoint_after_reports(jobs: usize, reports: &[f64]) -> Option<EndpointId> {
    let mut world = World::new(probing(), &[member(1, 1.0), member(2, 1.0)]);
    let mut job = |free: f64| {
        world.now += 20 * MS;
        let (_, actions) = world.job(0);
        let asked = probed_endpoint(&actions).unwrap();
        let free = |endpoint_id| if endpoint_id == EndpointId(1) { free } else { 0.5 };
        let actions = world.probed(asked, free(asked));
        let next = EndpointId(3 - asked.0);
        sent(&actions).or_else(|| sent(&world.probed(next, free(next))))
    };
    for _ in 0..jobs {
        assert_eq!(job(2.0), Some(EndpointId(1)));
    }
    reports.iter().map(|&free| job(free)).last().unwrap()
}

/// An old report may not show the slots that own jobs occupy.
#[test]
fn own_jobs_occupy_their_slots_despite_an_old_report() {
    assert_ne!(
        endpoint_after_reports(2, &[1.0, 1.1, 1.0]),
        Some(EndpointId(1)),
        "a job was sent to occupied slots"
    );
}

/// Jobs sent before a report changed are included in it. Counting them twice would make a free endpoint look
/// full.
#[test]
fn a_new_report_includes_jobs_sent_before_it() {
    assert_eq!(endpoint_after_reports(1, &[1.0]), Some(EndpointId(1)));
}

#[test]
fn an_endpoint_with_a_slow_probe_is_past_k() {
    let (mut world, scheduled) = world_with_one_probe();
    let others: Vec<EndpointId> = (1..=3).map(EndpointId).filter(|&w| w != scheduled).collect();
    others.iter().for_each(|&w| assert!(world.probed(w, 4.0).is_empty()));
    let report = LoadReport { free_slots: Some(4.0), ..LoadReport::default() };
    let slow = Event::Probed { endpoint: scheduled, answered: true, latency: 3 * MS, report };
    assert_eq!(sent(&world.handle(slow)).filter(|&w| w == scheduled), None);
}

/// A dispatcher that had just started assumed one slot per endpoint and held its jobs.
#[test]
fn reports_of_held_requests_alone_do_not_block_a_dispatcher_that_knows_no_slots() {
    let (mut world, scheduled) = world_with_one_probe();
    let report = LoadReport { held: Some(3.0), ..LoadReport::default() };
    let mut actions = vec![Action::Probe { endpoint: scheduled }];
    for _ in 0..4 {
        if let Some(endpoint_id) = probed_endpoint(&actions) {
            actions =
                world.handle(Event::Probed { endpoint: endpoint_id, answered: true, latency: MS, report });
        }
        if sent(&actions).is_some() {
            return;
        }
    }
    panic!("every endpoint holds three jobs, and this one is not sent: {actions:?}");
}

#[test]
fn jobs_stay_in_their_zone_if_crossing_zones_costs() {
    let mut settings = Settings { zone: 1, dispatchers: 40, zones_cost: true, ..settings() };
    settings.number = 5;
    let members: Vec<Endpoint> =
        (0..40).map(|id| Endpoint { zone: (id % 4) as u16, ..member(id, 1.0) }).collect();
    let endpoint_ids = route(&mut World::new(settings, &members), 0, 64);
    assert!(endpoint_ids.iter().all(|w| w % 4 == 1), "{endpoint_ids:?}");
}

#[test]
fn a_dispatcher_of_a_large_fleet_uses_a_subset() {
    let members: Vec<Endpoint> = (1..=100).map(|id| member(id, 1.0)).collect();
    let mut met = BTreeMap::new();
    for number in 0..100 {
        let settings = Settings { number, dispatchers: 100, ..settings() };
        let endpoint_ids = counts(&route(&mut World::new(settings, &members), 0, 100));
        assert!(endpoint_ids.len() <= 8, "dispatcher {number} uses {} endpoints", endpoint_ids.len());
        endpoint_ids.keys().for_each(|&w| *met.entry(w).or_insert(0) += 1);
    }
    let (least, most) = (met.values().min().unwrap(), met.values().max().unwrap());
    assert!(met.len() == 100 && most - least <= 8, "endpoints are in {least} to {most} of 100 subsets");
}
