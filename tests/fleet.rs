//! Many dispatchers at once: stories of a hundred of them on a set clock, counted over the whole fleet.

mod common;

use std::collections::BTreeMap;

use common::*;
use micabeam::routing::Router;
use micabeam::routing::*;

const DISPATCHERS: u32 = 100;
const WORKERS: u64 = 60;

fn fleet_settings(number: u32) -> Settings {
    let mut settings = probing();
    (settings.number, settings.dispatchers) = (number, DISPATCHERS);
    (settings.zone, settings.zones_cost, settings.reports_start) = ((number % 5) as u16, true, true);
    settings
}

fn members() -> Vec<Endpoint> {
    (1..=WORKERS).map(|id| Endpoint { zone: (id % 5) as u16, ..member(id * 7919 % 10_007, 1.0) }).collect()
}

fn fleet(members: &[Endpoint], now: Micros) -> Vec<Router> {
    let one = |number| {
        let mut dispatcher = Router::new(fleet_settings(number), u64::from(number));
        dispatcher.handle(now, Event::List(members), &mut Vec::new());
        dispatcher
    };
    (0..DISPATCHERS).map(one).collect()
}

fn job(id: u64, class: usize, now: Micros) -> Event<'static> {
    Event::Job(Job { id: JobId(id), class, deadline: now + 5 * SECOND, slots: 1.0, work: None })
}

/// A report is a second old by the time it is read, and all dispatchers read the same one. Guards against a hundred
/// that run after the slots that a few workers had free then, past others that have become free since.
#[test]
fn an_old_report_does_not_gather_all_dispatchers_on_a_few_workers() {
    let (members, mut now) = (members(), 100 * SECOND);
    let free: Vec<EndpointId> = members.iter().take(6).map(|m| m.id).collect();
    let mut met: BTreeMap<EndpointId, u32> = BTreeMap::new();
    let mut probes = 0;
    for mut dispatcher in fleet(&members, now) {
        for id in 1..=5 {
            now += 100 * MS;
            let mut out = Vec::new();
            dispatcher.handle(now, job(id, 2, now), &mut out);
            while let Some(worker) = probed_endpoint(&out) {
                (probes, now) = (probes + 1, now + 5 * MS);
                let some = f64::from(u8::from(free.contains(&worker)));
                let report =
                    LoadReport { free_slots: Some(3.0 * some), queue: Some(2.0 - 2.0 * some), held: None };
                out.clear();
                dispatcher.handle(
                    now,
                    Event::Probed { endpoint: worker, answered: true, latency: 5 * MS, report },
                    &mut out,
                );
            }
            let worker = sent(&out).expect("nothing holds the job back");
            *met.entry(worker).or_default() += 1;
            dispatcher.handle(now + MS, Event::Started { job: JobId(id), attempt: 0 }, &mut out);
        }
    }
    let (most, mean) =
        (met.values().max().copied().unwrap_or(0), 5.0 * f64::from(DISPATCHERS) / WORKERS as f64);
    assert!(f64::from(most) <= 3.0 * mean, "one worker got {most} of 500 jobs, {mean:.1} is its part");
    assert!(probes <= 5 * DISPATCHERS, "{probes} probes for 500 jobs");
}

/// Calls that discovery takes in, one after the other; one that would wait for more than 2 s fails when it has.
struct Roster {
    busy: Micros,
    calls: Vec<Micros>,
}

impl Roster {
    const EACH: Micros = 65 * MS;

    /// When a call is answered, or when it fails: to serve it takes its time all the same.
    fn call(&mut self, now: Micros) -> Result<Micros, Micros> {
        self.calls.push(now);
        self.busy = self.busy.max(now) + Roster::EACH;
        if self.busy > now + 2 * SECOND { Err(now + 2 * SECOND) } else { Ok(self.busy) }
    }
}

/// Most dispatchers are killed at once and come back with an old list. Guards against calls that come faster than
/// discovery works through them, and come back faster when they fail, so that for 15 s nobody got a list.
#[test]
fn a_hundred_dispatchers_that_start_together_all_get_the_list() {
    let (members, start) = (members(), 100 * SECOND);
    let mut roster = Roster { busy: start, calls: Vec::new() };
    let mut fleet: Vec<Router> = (0..DISPATCHERS)
        .map(|number| {
            let settings = Settings { must_subscribe: true, ..fleet_settings(number) };
            Router::new(settings, u64::from(number))
        })
        .collect();
    // What happens next at each: a wake-up, an answer, or a failure.
    let mut due: Vec<(Micros, usize, u8)> = (0..fleet.len()).map(|n| (start, n, 0)).collect();
    let mut told: BTreeMap<usize, Micros> = BTreeMap::new();
    while let Some(at) = (0..due.len()).min_by_key(|&at| due[at]) {
        let (now, n, what) = due.swap_remove(at);
        if now > start + 60 * SECOND {
            break;
        }
        let mut out = Vec::new();
        match what {
            0 => fleet[n].handle(now, Event::Cached(&members), &mut out),
            1 => fleet[n].handle(now, Event::Wake, &mut out),
            2 => fleet[n].handle(now, Event::ListFailed { is_cheap: false }, &mut out),
            _ => {
                told.entry(n).or_insert(now);
                fleet[n].handle(now, Event::List(&members), &mut out);
            }
        }
        for action in out {
            match action {
                Action::WakeAt(at) => due.push((at, n, 1)),
                Action::Subscribe => due.push(match roster.call(now) {
                    Ok(at) => (at, n, 3),
                    Err(at) => (at, n, 2),
                }),
                _ => {}
            }
        }
    }
    let last = told.values().max().map_or(0, |&at| at - start);
    let most = (0..60).map(|s| roster.calls.iter().filter(|&&at| (at - start) / SECOND == s).count()).max();
    assert_eq!(told.len(), fleet.len(), "some never had a list; {} calls", roster.calls.len());
    assert!(last <= 15 * SECOND, "the last list came after {last} us");
    assert!(most <= Some(25), "{most:?} calls in one second");
}

/// A lost zone made every dispatcher that met it ask for the list at once. Guards against that: the watch tells.
#[test]
fn failures_of_workers_do_not_call_discovery_where_dispatchers_are_many() {
    let (members, now) = (members(), 100 * SECOND);
    let mut calls = 0;
    for number in 0..DISPATCHERS {
        let settings = Settings { must_subscribe: true, ..fleet_settings(number) };
        let mut dispatcher = Router::new(settings, u64::from(number));
        let mut out = Vec::new();
        dispatcher.handle(now, Event::List(&members), &mut out);
        dispatcher.handle(now, job(1, 0, now), &mut out);
        let worker = sent(&out).expect("all are idle");
        let report = LoadReport::default();
        let (job, outcome) = (JobId(1), Outcome::Unreachable);
        let end =
            AttemptEnd { job, attempt: 0, endpoint: worker, outcome, latency: MS, finished: false, report };
        dispatcher.handle(now + MS, Event::Ended(end), &mut out);
        out.clear();
        dispatcher.handle(now + SECOND, Event::Wake, &mut out);
        calls += out.iter().filter(|a| **a == Action::Subscribe).count();
    }
    assert_eq!(calls, 0, "a dead worker costs the fleet calls for the list");
}

/// Sixty workers of three slots, jobs of 300 ms: 180 at a time, 600 a second. So many jobs a second come for 6 s, 13 % of
/// them to one dispatcher, and little to most. When each worker was sent its jobs, and how many there were.
fn sends(members: &[Endpoint], start: Micros, rate: f64) -> (BTreeMap<EndpointId, Vec<Micros>>, usize) {
    let mut fleet = fleet(members, start);
    let mut jobs: Vec<(Micros, usize)> = Vec::new();
    for n in 0..100_usize {
        let part = if n == 0 { 43.0 } else { 68.0 / (n as f64 + 1.0) };
        let count = (part * rate / 330.0 * 6.0) as u64;
        jobs.extend((0..count).map(|i| (start + (i * 6_000_000 + n as u64 * 9973) / count.max(1), n)));
    }
    jobs.sort_unstable();
    let total = jobs.len();
    let mut taken: BTreeMap<EndpointId, Vec<Micros>> = BTreeMap::new();
    let mut ends: Vec<(Micros, usize, u64, EndpointId)> = Vec::new();
    for (id, (now, n)) in jobs.into_iter().enumerate() {
        ends.sort_unstable();
        while let Some(&(at, n, id, worker)) = ends.first().filter(|end| end.0 <= now) {
            ends.remove(0);
            let (job, report) = (JobId(id), LoadReport::default());
            let outcome = Outcome::Served;
            let end = AttemptEnd {
                job,
                attempt: 0,
                endpoint: worker,
                outcome,
                latency: 300 * MS,
                finished: true,
                report,
            };
            fleet[n].handle(at, Event::Ended(end), &mut Vec::new());
        }
        let (id, mut out) = (id as u64 + 1, Vec::new());
        fleet[n].handle(now, job(id, 0, now), &mut out);
        let Some(worker) = sent(&out) else { continue };
        fleet[n].handle(now, Event::Started { job: JobId(id), attempt: 0 }, &mut Vec::new());
        ends.push((now + 300 * MS, n, id, worker));
        taken.entry(worker).or_default().push(now);
    }
    (taken, total)
}

/// Three slots at 0.1 of their speed, warm after 20 s: jobs a second, 1 at first and 3.7 after 6 s.
fn can(start: Micros, at: Micros) -> f64 {
    10.0 * (0.1 + 0.9 * (at - start) as f64 / 20e6)
}

/// The most jobs that came within 3 s, as a part of what pushes the worker over: N + 3 root N + 3, N being what the
/// settings allow.
fn worst(taken: &[Micros], start: Micros) -> f64 {
    let part = |&from: &Micros| {
        let within = taken.iter().filter(|&&at| at >= from && at < from + 3 * SECOND).count() as f64;
        let allowed = 2.5 * can(start, from) * 3.0;
        within / (allowed + 3.0 * allowed.sqrt() + 3.0)
    };
    taken.iter().map(part).fold(0.0, f64::max)
}

/// Guards against a new worker that is pushed over by all together, and against one that stands idle since each keeps a
/// part of what it can take for itself.
#[test]
fn a_worker_just_born_gets_its_part_from_a_hundred_unlike_dispatchers() {
    let (mut members, start) = (members(), 100 * SECOND);
    let cold = members[7].id;
    members[7].started_at = start;
    // 55 % of what all can do.
    let (all, total) = sends(&members, start, 330.0);
    let taken = all.get(&cold).cloned().unwrap_or_default();
    for &from in &taken {
        let within = taken.iter().filter(|&&at| at >= from && at < from + 3 * SECOND).count() as f64;
        let most = 2.5 * can(start, from) * 3.0;
        assert!(within <= most + 1.0, "{within} jobs within 3 s where {most:.1} push it over");
    }
    let allowed = can(start, start + 3 * SECOND) * 6.0;
    assert!(
        taken.len() as f64 >= 0.3 * allowed,
        "{} of {total} jobs where it can do {allowed:.1}",
        taken.len()
    );
}

/// All workers have just started, and all are asked for what they could do warm. Guards against two turns a job, which
/// are meant for one cold worker among warm ones, that push a whole fleet over together.
#[test]
fn a_fleet_that_is_all_cold_is_not_pushed_over() {
    let (mut members, start) = (members(), 100 * SECOND);
    members.iter_mut().for_each(|member| member.started_at = start);
    let (all, total) = sends(&members, start, 600.0);
    let sent: usize = all.values().map(Vec::len).sum();
    assert!(sent * 10 > total, "it is used: {sent} of {total}");
    for (worker, taken) in &all {
        let part = worst(taken, start);
        assert!(part <= 1.0, "{worker:?} got {part:.2} of what pushes it over");
    }
}

/// One worker of the own zone fails all it gets within milliseconds, and answers no probe. Guards against a fleet that
/// pays one job that may not run twice for each dispatcher's first meeting with it, and against a probe for each job.
#[test]
fn a_bad_worker_costs_the_fleet_no_job_that_may_not_run_twice() {
    let (members, now) = (members(), 100 * SECOND);
    let bad = members[0].id;
    let (mut lost, mut probes) = (0, 0);
    for mut dispatcher in fleet(&members, now) {
        for id in 1..=30 {
            let (at, safe) = (now + id * 300 * MS, id % 2 == 0);
            let mut out = Vec::new();
            dispatcher.handle(at, job(id, if safe { 0 } else { 2 }, at), &mut out);
            while let Some(worker) = probed_endpoint(&out) {
                probes += 1;
                let (answered, report) =
                    (worker != bad, LoadReport { free_slots: Some(1.0), ..LoadReport::default() });
                out.clear();
                let probed = Event::Probed { endpoint: worker, answered, latency: 4 * MS, report };
                dispatcher.handle(at + 5 * MS, probed, &mut out);
            }
            let worker = sent(&out).expect("others are idle");
            lost += u32::from(worker == bad && !safe);
            let (job, outcome) = (JobId(id), if worker == bad { Outcome::Error } else { Outcome::Served });
            let (finished, report) = (worker != bad, LoadReport::default());
            let end =
                AttemptEnd { job, attempt: 0, endpoint: worker, outcome, latency: 50 * MS, finished, report };
            dispatcher.handle(at + 60 * MS, Event::Ended(end), &mut out);
        }
    }
    assert_eq!(lost, 0, "unsafe jobs met a worker that answers no probe");
    assert!(probes <= 1700, "{probes} probes for 1500 unsafe and 1500 safe jobs");
}
