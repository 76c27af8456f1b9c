//! What a dispatcher has learned, handed from a process to the one that replaces it. It decides nothing: what is
//! recalled counts as if it had been seen here, and fades by the same clocks.
//!
//! The ids of workers are made of their names, alike in both processes; a worker that has started anew since is not
//! the one that was known.

use serde::{Deserialize, Serialize};

use super::router::Router;
use super::state::{KindEstimate, ServiceTime};
use super::types::{EndpointId, Job, Micros};

/// Most workers, kinds, zones and classes that are recalled: as many as the server table holds.
const MOST: usize = crate::core::MAX_ENDPOINTS;

/// What was learned of one worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EndpointWarmState {
    id: u64,
    born: Micros,
    /// What it may be sent while it warms up, in jobs.
    budget: f64,
    pace: ServiceTime,
    lag: f64,
    lag_at: Micros,
    slowness: f64,
    failures: u32,
    rest: Micros,
}

/// All that was learned. Times are microseconds of the clock that both processes read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmState {
    run: f64,
    usual: Vec<f64>,
    pace: ServiceTime,
    lag: f64,
    seen: Micros,
    typical: f64,
    pressure: f64,
    prompt: Vec<f64>,
    kinds: Vec<KindEstimate>,
    workers: Vec<EndpointWarmState>,
}

impl WarmState {
    /// Whether it can be true of these classes: each figure is one, and none is negative that cannot be.
    fn holds(&self, classes: usize) -> bool {
        let figure = |f: f64| f.is_finite() && f >= 0.0;
        let lists = [self.usual.len(), self.prompt.len(), self.kinds.len(), self.workers.len()];
        let workers = self
            .workers
            .iter()
            .all(|w| w.budget.is_finite() && figure(w.lag) && figure(w.slowness) && w.pace.holds());
        lists.iter().all(|&n| n <= MOST)
            && self.usual.len() == classes
            && self
                .usual
                .iter()
                .chain(&self.prompt)
                .chain([&self.run, &self.lag, &self.pressure])
                .all(|&f| figure(f))
            && self.run >= 1.0
            && self.typical.is_finite()
            && self.pace.holds()
            && self.kinds.iter().all(KindEstimate::holds)
            && workers
    }
}

impl Router {
    /// Whether a worker is given no turns now: draining, off the list, or resting after failures.
    pub fn is_unavailable(&self, now: Micros, worker: EndpointId) -> bool {
        self.index.get(&worker).is_none_or(|&i| !self.workers[i].ready || self.workers[i].rest > now)
    }

    /// The work that a job is, as far as can be told.
    pub(crate) fn work(&self, job: &Job) -> f64 {
        job.work.map_or(self.usual[job.class], |work| work as f64)
    }

    /// Time that a worker takes for a unit of work: as its kind does until its own runs say otherwise.
    pub(crate) fn pace(&self, i: usize) -> f64 {
        let w = &self.workers[i];
        let kind = &self.kinds[usize::from(w.member.kind)];
        w.pace.beside(kind.pace.beside(self.pace.beside(1.0, self.run), self.run * 2.0), self.run * 3.0)
    }

    /// What it has learned so far.
    pub fn warm_state(&self) -> WarmState {
        let workers = self.workers.iter().filter(|w| w.ready).take(MOST).map(|w| EndpointWarmState {
            id: w.member.id.0,
            born: w.member.started_at,
            budget: w.budget,
            pace: w.pace,
            lag: w.lag,
            lag_at: w.lag_at,
            slowness: w.slowness,
            failures: w.failures,
            rest: w.rest,
        });
        WarmState {
            run: self.run,
            usual: self.usual.clone(),
            pace: self.pace,
            lag: self.lag,
            seen: self.seen,
            typical: self.typical,
            pressure: self.pressure,
            prompt: self.prompt.clone(),
            kinds: self.kinds.clone(),
            workers: workers.collect(),
        }
    }

    /// Takes over what the process before has learned. False, and nothing is changed, where it cannot be true here.
    pub fn restore(&mut self, now: Micros, learned: WarmState) -> bool {
        if !learned.holds(self.usual.len()) {
            return false;
        }
        for known in learned.workers {
            let at = self.index.get(&EndpointId(known.id)).copied();
            let Some(w) = at.map(|at| &mut self.workers[at]).filter(|w| w.member.started_at == known.born)
            else {
                continue;
            };
            // Both send for a moment: one that warms up has what it was owed once, not twice.
            w.budget = known.budget.min(w.budget);
            (w.pace, w.slowness, w.failures) = (known.pace, known.slowness, known.failures);
            // The clocks of two processes may be a little apart.
            (w.lag, w.lag_at) = (known.lag, known.lag_at.min(now));
            w.rest = known.rest.min(now + self.run as Micros * 16);
        }
        let kinds = self.kinds.len().max(learned.kinds.len());
        self.kinds = learned.kinds;
        self.kinds.resize_with(kinds, KindEstimate::default);
        (self.run, self.usual, self.pace) = (learned.run, learned.usual, learned.pace);
        (self.lag, self.seen) = (learned.lag, learned.seen.min(now));
        (self.typical, self.pressure, self.prompt) = (learned.typical, learned.pressure, learned.prompt);
        true
    }
}
