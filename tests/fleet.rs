//! Many dispatchers at once: stories of a hundred of them on a set clock, counted over the whole fleet.

mod common;

use std::collections::BTreeMap;

use common::*;
use micabeam::Dispatcher;
use micabeam::api::*;

const DISPATCHERS: u32 = 100;
const WORKERS: u64 = 60;

fn fleet_settings(number: u32) -> Settings {
    let mut settings = probing();
    (settings.number, settings.dispatchers) = (number, DISPATCHERS);
    (settings.zone, settings.zones_cost, settings.tells_start) = ((number % 5) as u16, true, true);
    settings
}

fn members() -> Vec<Member> {
    (1..=WORKERS).map(|id| Member { zone: (id % 5) as u16, ..member(id * 7919 % 10_007, 1.0) }).collect()
}

fn fleet(members: &[Member], now: Micros) -> Vec<Dispatcher> {
    let one = |number| {
        let mut dispatcher = Dispatcher::new(fleet_settings(number), u64::from(number));
        dispatcher.handle(now, Event::List(members), &mut Vec::new());
        dispatcher
    };
    (0..DISPATCHERS).map(one).collect()
}

fn job(id: u64, class: usize, now: Micros) -> Event<'static> {
    Event::Job(Job { id: JobId(id), class, due: now + 5 * SECOND, slots: 1.0 })
}

/// A report is a second old by the time it is read, and all dispatchers read the same one. Guards against a hundred
/// that run after the slots that a few workers had free then, past others that have become free since.
#[test]
fn an_old_report_does_not_gather_all_dispatchers_on_a_few_workers() {
    let (members, mut now) = (members(), 100 * SECOND);
    let free: Vec<WorkerId> = members.iter().take(6).map(|m| m.worker).collect();
    let mut met: BTreeMap<WorkerId, u32> = BTreeMap::new();
    let mut probes = 0;
    for mut dispatcher in fleet(&members, now) {
        for id in 1..=5 {
            now += 100 * MS;
            let mut out = Vec::new();
            dispatcher.handle(now, job(id, 2, now), &mut out);
            while let Some(worker) = asked(&out) {
                (probes, now) = (probes + 1, now + 5 * MS);
                let some = f64::from(u8::from(free.contains(&worker)));
                let report =
                    Report { free_slots: Some(3.0 * some), queue: Some(2.0 - 2.0 * some), held: None };
                out.clear();
                dispatcher.handle(
                    now,
                    Event::Probed { worker, answered: true, latency: 5 * MS, report },
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
