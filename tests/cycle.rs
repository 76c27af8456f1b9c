//! The cycle: shares of turns, evenness, offsets, kinds, overflow.

mod common;

use common::*;
use micabeam::routing::*;
use std::collections::BTreeMap;

/// Sends `count` jobs, each served at once, and lists where they went.
fn route(world: &mut World, class: usize, count: usize) -> Vec<u64> {
    let mut workers = Vec::new();
    for _ in 0..count {
        world.now += 10 * MS;
        let (job, actions) = world.job(class);
        let worker = sent(&actions).expect("an idle fleet takes every job at once");
        world.ended(job, 0, worker, Outcome::Served);
        workers.push(worker.0);
    }
    workers
}

fn counts(workers: &[u64]) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    workers.iter().for_each(|&w| *counts.entry(w).or_default() += 1);
    counts
}

#[test]
fn turns_follow_speed() {
    let members = [member(1, 1.0), member(2, 2.0), member(3, 3.0)];
    let workers = route(&mut World::new(settings(), &members), 0, 600);
    let counts = counts(&workers);
    for (worker, share) in [(1, 100.0), (2, 200.0), (3, 300.0)] {
        let ratio = counts[&worker] as f64 / share;
        assert!((0.9..1.1).contains(&ratio), "worker {worker} has {} turns of {share}", counts[&worker]);
    }
}

#[test]
fn turns_are_evenly_spread() {
    let members: Vec<Endpoint> = (1..=5).map(|id| member(id, 1.0)).collect();
    let workers = route(&mut World::new(settings(), &members), 0, 100);
    for at in 0..95 {
        let window = counts(&workers[at..at + 5]);
        assert!(window.values().all(|&n| n <= 2), "five jobs from {at} on went {window:?}");
    }
}

#[test]
fn dispatchers_start_at_different_workers() {
    let members: Vec<Endpoint> = (1..=20).map(|id| member(id, 1.0)).collect();
    let first = (0..20).map(|number| {
        let settings = Settings { number, dispatchers: 20, ..settings() };
        route(&mut World::new(settings, &members), 0, 1)[0]
    });
    let met = counts(&first.collect::<Vec<_>>()).len();
    assert!(met >= 12, "the first jobs of 20 dispatchers meet only {met} of 20 workers");
}

#[test]
fn bound_jobs_cycle_over_their_kind() {
    let mut settings = settings();
    settings.classes[2].kind = Some(1);
    let members: Vec<Endpoint> =
        (1..=6).map(|id| Endpoint { kind: u16::from(id % 3 == 0), ..member(id, 1.0) }).collect();
    let workers = route(&mut World::new(settings, &members), 2, 40);
    assert_eq!(counts(&workers), BTreeMap::from([(3, 20), (6, 20)]));
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
fn a_full_worker_sends_the_job_on_in_fixed_order() {
    let members: Vec<Endpoint> = (1..=3).map(|id| member(id, 1.0)).collect();
    let mut world = World::new(probing(), &members);
    let mut followers: BTreeMap<EndpointId, EndpointId> = BTreeMap::new();
    for _ in 0..12 {
        world.now += 20 * MS;
        let (job, actions) = world.job(0);
        let scheduled = asked(&actions).expect("the scheduled worker is asked");
        let next = asked(&world.probed(scheduled, 0.0)).expect("one that is full sends the job on");
        assert_eq!(sent(&world.probed(next, 1.0)), Some(next));
        world.ended(job, 0, next, Outcome::Served);
        assert_eq!(*followers.entry(scheduled).or_insert(next), next, "the order changed");
    }
    // Every worker has a follower and is one: the order wraps.
    let mut targets: Vec<_> = followers.values().collect();
    targets.sort();
    targets.dedup();
    assert_eq!((followers.len(), targets.len()), (3, 3));
}

#[test]
fn a_free_scheduled_worker_keeps_the_job() {
    let (mut world, scheduled) = asked_first();
    assert_eq!(sent(&world.probed(scheduled, 2.0)), Some(scheduled));
}

/// Three workers that can be probed, the first of them asked for a job.
fn asked_first() -> (World, EndpointId) {
    let members: Vec<Endpoint> = (1..=3).map(|id| member(id, 1.0)).collect();
    let mut world = World::new(probing(), &members);
    let (_, actions) = world.job(0);
    (world, asked(&actions).unwrap())
}

/// Incident ifc9b7b: a wide job at the head of a queue leaves a slot free that nothing behind it can use.
#[test]
fn a_free_slot_beside_a_queue_is_past_k() {
    let (mut world, scheduled) = asked_first();
    world.probed(scheduled, 4.0);
    world.now += 20 * MS;
    let scheduled = asked(&world.job(0).1).expect("the next turn");
    let report = LoadReport { free_slots: Some(2.0), held: Some(11.0), ..LoadReport::default() };
    let probed = Event::Probed { endpoint: scheduled, answered: true, latency: MS, report };
    let actions = world.handle(probed);
    assert_eq!(sent(&actions), None);
    assert!(asked(&actions).is_some_and(|next| next != scheduled));
}

/// Two workers of two slots; the jobs so far are at the first, whose report then shows one slot free.
fn after(jobs: usize, reports: &[f64]) -> Option<EndpointId> {
    let mut world = World::new(probing(), &[member(1, 1.0), member(2, 1.0)]);
    let mut job = |free: f64| {
        world.now += 20 * MS;
        let (_, actions) = world.job(0);
        let asked = asked(&actions).unwrap();
        let free = |worker| if worker == EndpointId(1) { free } else { 0.5 };
        let actions = world.probed(asked, free(asked));
        let next = EndpointId(3 - asked.0);
        sent(&actions).or_else(|| sent(&world.probed(next, free(next))))
    };
    for _ in 0..jobs {
        assert_eq!(job(2.0), Some(EndpointId(1)));
    }
    reports.iter().map(|&free| job(free)).last().unwrap()
}

/// A report shows what was true a while ago: it may not know of the slots that own jobs hold.
#[test]
fn own_jobs_hold_their_slots_whatever_an_old_report_says() {
    assert_ne!(after(2, &[1.0, 1.1, 1.0]), Some(EndpointId(1)), "a job was sent to slots that are taken");
}

/// What was sent before a report changed is in it: counted twice, a free worker looks full.
#[test]
fn a_new_report_shows_what_was_sent_before_it() {
    assert_eq!(after(1, &[1.0]), Some(EndpointId(1)));
}

#[test]
fn a_worker_whose_probe_takes_long_is_past_k() {
    let (mut world, scheduled) = asked_first();
    let others: Vec<EndpointId> = (1..=3).map(EndpointId).filter(|&w| w != scheduled).collect();
    others.iter().for_each(|&w| assert!(world.probed(w, 4.0).is_empty()));
    let report = LoadReport { free_slots: Some(4.0), ..LoadReport::default() };
    let slow = Event::Probed { endpoint: scheduled, answered: true, latency: 3 * MS, report };
    assert_eq!(sent(&world.handle(slow)).filter(|&w| w == scheduled), None);
}

/// A dispatcher just started took one slot a worker for all and held its jobs.
#[test]
fn held_work_alone_does_not_stop_a_dispatcher_that_knows_no_slots_yet() {
    let (mut world, scheduled) = asked_first();
    let report = LoadReport { held: Some(3.0), ..LoadReport::default() };
    let mut actions = vec![Action::Probe { endpoint: scheduled }];
    for _ in 0..4 {
        if let Some(worker) = asked(&actions) {
            actions = world.handle(Event::Probed { endpoint: worker, answered: true, latency: MS, report });
        }
        if sent(&actions).is_some() {
            return;
        }
    }
    panic!("all workers hold three jobs, and this one is held as well: {actions:?}");
}

#[test]
fn the_own_zone_comes_first_where_crossing_costs() {
    let mut settings = Settings { zone: 1, dispatchers: 40, zones_cost: true, ..settings() };
    settings.number = 5;
    let members: Vec<Endpoint> =
        (0..40).map(|id| Endpoint { zone: (id % 4) as u16, ..member(id, 1.0) }).collect();
    let workers = route(&mut World::new(settings, &members), 0, 64);
    assert!(workers.iter().all(|w| w % 4 == 1), "{workers:?}");
}

#[test]
fn a_large_fleet_is_taken_in_part() {
    let members: Vec<Endpoint> = (1..=100).map(|id| member(id, 1.0)).collect();
    let mut met = BTreeMap::new();
    for number in 0..100 {
        let settings = Settings { number, dispatchers: 100, ..settings() };
        let workers = counts(&route(&mut World::new(settings, &members), 0, 100));
        assert!(workers.len() <= 8, "dispatcher {number} meets {} workers", workers.len());
        workers.keys().for_each(|&w| *met.entry(w).or_insert(0) += 1);
    }
    let (least, most) = (met.values().min().unwrap(), met.values().max().unwrap());
    assert!(met.len() == 100 && most - least <= 8, "workers are in {least} to {most} parts of 100");
}
