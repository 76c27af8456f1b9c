//! Cold servers under the sum of what all processes send, on a set clock: first tries, retries and probes together. Beyond
//! their budget of N calls in a window, 2 x root of N + 2 are put down to chance.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use common::{MS, SECOND, member, probing};
use micabeam::routing::Router;
use micabeam::routing::*;

const START: Micros = 100 * SECOND;
/// The ramp: a server is warm after it, and a server collapses by what it is sent in a window.
const RAMP: Micros = 20 * SECOND;
const WINDOW: Micros = 3 * SECOND;
const FROM: f64 = 0.1;
const MULTIPLE: f64 = 2.5;
/// Each has three slots, and a job takes so long where it is warm.
const TAKES: Micros = 300 * MS;
const EACH: f64 = 10.0;
const SEEDS: u64 = 4;
/// Days on which more comes than all can do: one of so many is cold, and what comes as a part of what all could do warm.
const OVERLOADS: [(u64, f64); 4] = [(2, 1.5), (2, 2.0), (3, 2.0), (1, 1.5)];

#[derive(Clone, Copy)]
struct Day {
    processes: u32,
    servers: u64,
    /// One of so many is cold.
    cold: u64,
    /// What comes, as a part of what all could do warm.
    load: f64,
    seed: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Job,
    Wake,
    Restart,
    Probed(EndpointId),
    Ended(u64, usize, EndpointId, bool),
}

impl Day {
    fn settings(&self, number: u32) -> Settings {
        let mut settings = probing();
        (settings.number, settings.dispatchers, settings.reports_start) = (number, self.processes, true);
        (settings.rules.warm_up, settings.rules.initial_capacity) = (RAMP, FROM);
        settings.rules.overload_multiple = MULTIPLE;
        settings
    }

    fn members(&self) -> Vec<Endpoint> {
        let born = |id: u64| if id.is_multiple_of(self.cold) { START } else { 0 };
        (1..=self.servers)
            .map(|id| Endpoint { started_at: born(id), ..member(id * 7919 % 10_007, 1.0) })
            .collect()
    }

    /// When each cold server was called, and the part of the jobs that was served.
    #[expect(clippy::too_many_lines, reason = "one loop over the events of a simulated day")]
    fn play(&self) -> (BTreeMap<EndpointId, Vec<Micros>>, f64) {
        let (members, mut rng) = (self.members(), fastrand::Rng::with_seed(self.seed));
        let born: BTreeMap<EndpointId, Micros> = members.iter().map(|m| (m.id, m.started_at)).collect();
        let new = |number: u32, life: u64, now: Micros| {
            let mut new = Router::new(self.settings(number), self.seed ^ life << 32 | u64::from(number));
            new.handle(now, Event::Cached(&members), &mut Vec::new());
            new
        };
        let mut fleet: Vec<Router> = (0..self.processes).map(|n| new(n, 0, START)).collect();
        let mut attempts: Vec<BTreeMap<u64, usize>> = vec![BTreeMap::new(); fleet.len()];
        let mut due: BinaryHeap<Reverse<(Micros, usize, Next)>> = BinaryHeap::new();
        // Shares unlike by ten; a third of the processes are replaced within the ramp.
        let weights: Vec<f64> =
            (0..self.processes).map(|n| 10f64.powf(f64::from(n) / f64::from(self.processes))).collect();
        let all: f64 = weights.iter().sum();
        let rate = self.load * EACH * self.servers as f64;
        let mut gap = |n: usize| (-rng.f64().max(1e-9).ln() / (rate * weights[n] / all) * 1e6) as Micros;
        for n in 0..fleet.len() {
            due.push(Reverse((START + gap(n), n, Next::Job)));
            if n % 3 == 0 {
                due.push(Reverse((START + RAMP * (n as u64 % 17) / 17, n, Next::Restart)));
            }
        }
        let (mut calls, mut id, mut came, mut served) =
            (BTreeMap::<EndpointId, Vec<Micros>>::new(), 0u64, 0, 0);
        let mut lives = 0;
        let mut odds = fastrand::Rng::with_seed(self.seed ^ 77);
        while let Some(Reverse((now, n, next))) = due.pop() {
            if now >= START + RAMP {
                break;
            }
            let mut out = Vec::new();
            match next {
                Next::Job => {
                    (id, came) = (id + 1, came + 1);
                    let job =
                        Job { id: JobId(id), class: 0, deadline: now + 5 * SECOND, slots: 1.0, work: None };
                    fleet[n].handle(now, Event::Job(job), &mut out);
                    due.push(Reverse((now + gap(n), n, Next::Job)));
                }
                Next::Wake => fleet[n].handle(now, Event::Wake, &mut out),
                Next::Restart => {
                    lives += 1;
                    fleet[n] = new(n as u32, lives, now);
                    attempts[n].clear();
                }
                Next::Probed(worker) => {
                    let report = LoadReport { free_slots: Some(1.0), ..LoadReport::default() };
                    fleet[n].handle(
                        now,
                        Event::Probed { endpoint: worker, answered: true, latency: 5 * MS, report },
                        &mut out,
                    );
                }
                Next::Ended(id, attempt, worker, fails) => {
                    if !attempts[n].contains_key(&id) {
                        continue;
                    }
                    served += u32::from(!fails);
                    let outcome = if fails { Outcome::Reset } else { Outcome::Served };
                    let (job, report, finished) = (JobId(id), LoadReport::default(), !fails);
                    let ended = AttemptEnd {
                        job,
                        attempt,
                        endpoint: worker,
                        outcome,
                        latency: TAKES,
                        finished,
                        report,
                    };
                    fleet[n].handle(now, Event::Ended(ended), &mut out);
                }
            }
            for action in out {
                match action {
                    Action::WakeAt(at) => due.push(Reverse((at, n, Next::Wake))),
                    Action::Probe { endpoint: worker } => {
                        calls.entry(worker).or_default().push(now);
                        due.push(Reverse((now + 5 * MS, n, Next::Probed(worker))));
                    }
                    Action::Send { job, endpoint: worker } => {
                        calls.entry(worker).or_default().push(now);
                        let attempt = attempts[n].entry(job.0).and_modify(|a| *a += 1).or_insert(0);
                        fleet[n].handle(now, Event::Started { job, attempt: *attempt }, &mut Vec::new());
                        let age = (now - born[&worker].max(START.min(born[&worker]))) as f64 / RAMP as f64;
                        let warmth = if born[&worker] == 0 { 1.0 } else { FROM + (1.0 - FROM) * age };
                        // One in fifty attempts is reset under way, and tried again.
                        let ended = Next::Ended(job.0, *attempt, worker, odds.u32(0..50) == 0);
                        due.push(Reverse((now + (TAKES as f64 / warmth) as Micros, n, ended)));
                    }
                    _ => {}
                }
            }
        }
        calls.retain(|worker, _| born[worker] > 0);
        (calls, f64::from(served) / f64::from(came))
    }
}

/// By how many calls the worst window is over N, as a part of 2 x root of N + 2.
fn worst(calls: &[Micros]) -> f64 {
    let part = |at: usize| {
        let from = calls[at];
        let within = calls[at..].iter().take_while(|&&t| t < from + WINDOW).count() as f64;
        let can = EACH * (FROM + (1.0 - FROM) * (from - START) as f64 / RAMP as f64);
        let n = MULTIPLE * can * WINDOW as f64 / 1e6;
        (within - n) / (2.0 * n.sqrt() + 2.0)
    };
    (0..calls.len()).map(part).fold(f64::MIN, f64::max)
}

/// What was seen: servers that had just started were sent more than pushes them over, in the first seconds of their ramp, while
/// jobs came faster than all servers can do.
///
/// Why: a turn was worth the capacity of its moment, and what is sent within a window is counted against the capacity at its
/// beginning. Early in the ramp capacity grows by two thirds within one window. What showed it: the worst window of each of
/// these days began 0.0 to 1.9 s after the start, and with tokens that lag behind by the window all are within the bound.
#[test]
fn the_ramp_holds_while_more_comes_than_all_can_do() {
    for (cold, load) in OVERLOADS {
        let mut most = f64::MIN;
        for seed in 0..SEEDS {
            let (calls, _) = Day { processes: 30, servers: 12, cold, load, seed }.play();
            most = calls.values().map(|calls| worst(calls)).fold(most, f64::max);
        }
        let place = format!("one in {cold} of 12 cold, load {load}: {most:.2} of the chance");
        println!("{place}");
        assert!(most <= 1.0, "{place}");
    }
}

/// The same days by more seeds. Known red: a turn is worth as much however many turns there are, and no process knows what a
/// server can do, so that at 1.5 to 2 times what all can do nothing is left for chance.
#[test]
fn the_ramp_holds_by_more_seeds_while_more_comes_than_all_can_do() {
    let mut over = Vec::new();
    for (cold, load) in OVERLOADS {
        let mut most = f64::MIN;
        for seed in 100..100 + 4 * SEEDS {
            let (calls, _) = Day { processes: 30, servers: 12, cold, load, seed }.play();
            most = calls.values().map(|calls| worst(calls)).fold(most, f64::max);
        }
        let place = format!("one in {cold} of 12 cold, load {load}: {most:.2} of the chance");
        println!("{place}");
        if most > 1.0 {
            over.push(place);
        }
    }
    assert!(over.is_empty(), "{over:?}");
}

/// Guards against a ramp that holds for each process and not for the fleet: every new process begins with what it may
/// send, and every restart draws anew; and against probes that go to a cold server without a bound.
#[test]
fn the_ramp_of_a_cold_server_holds_for_all_processes_together() {
    for (processes, servers) in [(4, 12), (20, 15), (30, 20), (300, 60)] {
        for (cold, load) in [(5, 0.55), (5, 0.95), (2, 0.55), (2, 0.95), (1, 0.4)] {
            let (mut most, mut used, mut share) = (f64::MIN, 0, 0.0);
            for seed in 0..SEEDS {
                let (calls, served) = Day { processes, servers, cold, load, seed }.play();
                used += calls.values().map(Vec::len).sum::<usize>();
                most = calls.values().map(|calls| worst(calls)).fold(most, f64::max);
                share += served / SEEDS as f64;
            }
            let place = format!(
                "{processes} processes, one in {cold} of {servers} cold, load {load}: {most:.2} of the chance, \
                 {used} calls, {share:.2} served"
            );
            println!("{place}");
            assert!(most <= 1.0, "{place}");
            // It is used: some calls a server, of those that it could serve.
            assert!(used as u64 > SEEDS * servers / cold * 10, "{place}");
        }
    }
}
