//! A small world for the tests: settings, a list, and a dispatcher whose actions are kept.
#![allow(dead_code)]

use micabeam::routing::Dispatcher;
use micabeam::routing::*;
use std::collections::BTreeMap;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub fn class(repeat: Repeat) -> Class {
    Class { aim: 250 * MS, stretch: 0.0, gain: 1.0, late_worth: 0.0, repeat, kind: None }
}

/// One class of each way to repeat: 0 safe, 1 keyed within a cell, 2 unsafe.
pub fn settings() -> Settings {
    let window = 2 * SECOND;
    Settings {
        number: 0,
        dispatchers: 1,
        zone: 0,
        quantum: MS,
        classes: vec![
            class(Repeat::Safe),
            class(Repeat::Keyed { scope: Scope::Cell, window }),
            class(Repeat::Unsafe),
        ],
        live_sizes: false,
        must_subscribe: false,
        limits: Limits { attempts: 4, cancel: true, cancel_frees: true, probe: false },
        zones_cost: false,
        rules: Rules { cold_from: 0.1, cold: 20 * SECOND, fall_multiple: 2.5, ask_within: 10 * SECOND },
        tells_start: false,
        reports: true,
    }
}

/// The same where workers can be probed.
pub fn probing() -> Settings {
    let mut settings = settings();
    settings.limits.probe = true;
    settings
}

pub fn member(id: u64, size: f64) -> Member {
    let state = MemberState::Ready;
    Member { worker: WorkerId(id), kind: 0, zone: 0, cell: (id % 2) as u32, size, born: 0, state }
}

pub struct World {
    pub dispatcher: Dispatcher,
    pub now: Micros,
    jobs: u64,
    sends: BTreeMap<JobId, usize>,
}

impl World {
    pub fn new(settings: Settings, members: &[Member]) -> World {
        let mut world = World {
            dispatcher: Dispatcher::new(settings, 1),
            now: 100 * SECOND,
            jobs: 0,
            sends: BTreeMap::new(),
        };
        world.handle(Event::List(members));
        world
    }

    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions
    }

    /// The number of the next attempt of a job that was sent, counted by the calls of this.
    pub fn attempts(&mut self, job: JobId) -> usize {
        let sends = self.sends.entry(job).or_default();
        *sends += 1;
        *sends - 1
    }

    /// Lets time pass and answers what it brings.
    pub fn wait(&mut self, span: Micros) -> Vec<Action> {
        self.now += span;
        self.handle(Event::Wake)
    }

    pub fn job(&mut self, class: usize) -> (JobId, Vec<Action>) {
        self.jobs += 1;
        let id = JobId(self.jobs);
        let job = Job { id, class, due: self.now + 5 * SECOND, slots: 1.0, work: None };
        (id, self.handle(Event::Job(job)))
    }

    pub fn ended(&mut self, job: JobId, attempt: usize, worker: WorkerId, outcome: Outcome) -> Vec<Action> {
        let finished = outcome == Outcome::Served;
        let report = Report::default();
        let latency = 50 * MS;
        self.handle(Event::Ended(Ended { job, attempt, worker, outcome, latency, finished, report }))
    }

    /// Answers a probe at once with so many free slots.
    pub fn probed(&mut self, worker: WorkerId, free: f64) -> Vec<Action> {
        let report = Report { free_slots: Some(free), ..Report::default() };
        self.handle(Event::Probed { worker, answered: true, latency: MS, report })
    }
}

/// Where the actions send a job first.
pub fn sent(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { worker, .. } => Some(*worker),
        _ => None,
    })
}

/// Which worker the actions probe first.
pub fn asked(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Probe { worker } => Some(*worker),
        _ => None,
    })
}

/// The final answer among the actions.
pub fn answer(actions: &[Action]) -> Option<Action> {
    actions.iter().find(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })).cloned()
}
