//! What a dispatcher remembers: of workers, kinds, cycles, jobs and attempts. What follows from it is decided
//! in `src/logic.rs`.

use serde::{Deserialize, Serialize};

use super::types::*;

#[derive(Default)]
pub struct EndpointState {
    pub member: Endpoint,
    pub ready: bool,
    /// What a warming worker may be sent, in jobs.
    pub budget: f64,
    /// The job for which a probe is out.
    pub asked: Option<JobId>,
    pub report: LoadReport,
    pub read: Micros,
    /// Slots that own attempts took, less those that they gave back, since the report last changed: what it
    /// does not show yet.
    pub drift: f64,
    /// Own attempts there that have not ended, nor started where starts are told.
    pub waiting: f64,
    /// Slots that own attempts hold there, by what has been heard of them.
    pub own: f64,
    /// How long its last probe took, as a multiple of the usual.
    pub slowness: f64,
    /// Own attempts out there, in the order they were sent.
    pub out: Vec<InFlightAttempt>,
    pub pace: ServiceTime,
    /// Wait beyond that for own attempts, as it was last seen, and when.
    pub lag: f64,
    pub lag_at: Micros,
    /// Failures since the last success, and until when they cost it its turns.
    pub failures: u32,
    pub rest: Micros,
}

impl EndpointState {
    /// One that is met for the first time.
    pub fn new(member: Endpoint, budget: f64) -> EndpointState {
        EndpointState { member, budget, slowness: 1.0, ..EndpointState::default() }
    }

    /// An attempt is over, or nobody waits for it any more.
    pub fn give_back(&mut self, a: &mut Attempt, job: JobId, attempt: usize, slots: f64) {
        if a.out {
            a.out = false;
            self.out.retain(|o| (o.job, o.attempt) != (job, attempt));
            self.waiting -= f64::from(u8::from(!a.started));
            self.drift -= slots.max(1.0);
            self.own -= slots.max(1.0);
        }
    }

    /// An attempt that did not start in time is called off. A worker that warms up has to save for its next one twice: it
    /// had more than it could start.
    pub fn leave(&mut self, a: &mut Attempt, job: JobId, attempt: usize, slots: f64) {
        self.give_back(a, job, attempt, slots);
        self.budget -= 1.0;
    }

    /// An attempt has started: notes how much longer it waited than for own attempts, and returns how many run
    /// side by side. News of a start may come before those of the end that made room for it, so that only what
    /// has run beside others for a while counts.
    pub fn start(&mut self, now: Micros, job: JobId, attempt: usize) -> f64 {
        const CROSSING: Micros = 20_000;
        if let Some(o) = self.out.iter_mut().find(|o| (o.job, o.attempt) == (job, attempt)) {
            o.since = Some(now);
            (self.lag, self.lag_at) = (((now - o.sent) as f64 - o.expected).max(0.0), now);
        }
        let beside = self.out.iter().filter(|o| o.since.is_some_and(|since| now > since + CROSSING));
        beside.count() as f64 + 1.0
    }

    /// How long an attempt has run, if it has started, and the work that it was expected to be.
    pub fn ran(&self, now: Micros, job: JobId, attempt: usize) -> Option<(f64, f64)> {
        let o = self.out.iter().find(|o| (o.job, o.attempt) == (job, attempt))?;
        Some(((now - o.since?) as f64, o.work))
    }
}

/// What a process has saved up for a worker as it meets it, in calls. Spread over processes by their numbers: drawn, all
/// of a fleet that starts at once would now and then have much of it together. The root of 2 has nothing in common with
/// the golden section, by which processes take their turns.
pub fn head_start(number: u32, worker: EndpointId) -> f64 {
    const GOLDEN: f64 = 0.618_033_988_75;
    (f64::from(number) * std::f64::consts::SQRT_2 + (worker.0 % 997) as f64 * GOLDEN).fract()
}

/// What a turn of a worker adds to what it may be sent, in jobs: its warmth, less a margin that grows with it. The warmer
/// it is, the less of its bound is left for chance, while jobs come faster than all can do.
pub fn credit(warmth: f64) -> f64 {
    const MARGIN: f64 = 0.2;
    warmth * (1.0 - MARGIN * warmth)
}

/// Moves a running median by one sample, and returns it.
pub fn median(median: &mut f64, sample: f64, gain: f64) -> f64 {
    *median = match *median {
        0.0 => sample,
        usual => usual * if sample > usual { 1.0 + gain } else { 1.0 - gain },
    };
    *median
}

/// An own attempt that is out at a worker, as far as it has been heard of.
pub struct InFlightAttempt {
    pub job: JobId,
    pub attempt: usize,
    pub sent: Micros,
    /// Since when it runs.
    pub since: Option<Micros>,
    /// Work that it was expected to be.
    pub work: f64,
    /// Wait for own attempts that it was sent to.
    pub expected: f64,
}

/// How long runs took, against the work that they were expected to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceTime {
    run: f64,
    work: f64,
}

impl ServiceTime {
    /// What of older runs still counts at each new one: some twenty are remembered, so that a machine that has
    /// slowed down shows.
    const FADES: f64 = 0.95;

    /// Whether it can come of runs.
    pub fn holds(&self) -> bool {
        [self.run, self.work].iter().all(|f| f.is_finite() && *f >= 0.0)
    }

    /// Takes in one run.
    pub fn add(&mut self, run: f64, work: f64) {
        (self.run, self.work) = (self.run * ServiceTime::FADES + run, self.work * ServiceTime::FADES + work);
    }

    /// Time that a unit of work takes, where so much work at the usual pace counts as seen beside it.
    pub fn beside(&self, usual: f64, work: f64) -> f64 {
        (self.run + usual * work) / (self.work + work).max(f64::MIN_POSITIVE)
    }
}

/// What is known of the workers of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KindEstimate {
    /// Slots of each, as far as reports have shown, or own jobs that ran at once.
    pub slots: f64,
    pub pace: ServiceTime,
    /// Nominal size, and sums of what workers held, in all and a core, where sizes are live.
    pub nominal: f64,
    pub held: f64,
    pub held_a_core: f64,
}

impl KindEstimate {
    /// Whether it can come of reports and runs.
    pub fn holds(&self) -> bool {
        let figures = [self.slots, self.nominal, self.held, self.held_a_core];
        figures.iter().all(|f| f.is_finite() && *f >= 0.0) && self.pace.holds()
    }

    /// Takes in a live size: the nominal one over 1 + requests held a core. The highest seen is nominal, and beside
    /// a report of what the worker holds it tells its cores. Returns the nominal size.
    pub fn live(&mut self, size: f64, held: Option<f64>) -> f64 {
        self.nominal = self.nominal.max(size);
        if let Some(held) = held.filter(|&held| held >= 1.0) {
            self.held += held;
            self.held_a_core += self.nominal / size - 1.0;
            self.slots = if self.held_a_core > 1.0 { (self.held / self.held_a_core).max(1.0) } else { 0.0 };
        }
        self.nominal
    }
}

/// The workers that one kind of job may use: the period, and the fixed order in which a job steps on.
#[derive(Default)]
pub struct Cycle {
    pub kind: Option<u16>,
    pub period: Vec<usize>,
    pub order: Vec<usize>,
    /// So many workers at the head of the order have turns; the others take overflow alone.
    pub part: usize,
    pub count: usize,
    /// The count of jobs that went on beyond the part.
    pub beyond: usize,
}

#[derive(Default)]
pub struct Attempt {
    pub worker: usize,
    pub sent: Micros,
    /// When its worker had last started as it was decided.
    pub born: Micros,
    pub out: bool,
    /// It met a free slot.
    pub free: bool,
    pub started: bool,
    pub never_ran: bool,
    /// It was called off as it did not start: the job does not go back there.
    pub left: bool,
}

impl Attempt {
    /// One that is decided now.
    pub fn new(worker: usize, sent: Micros, born: Micros, free: bool) -> Attempt {
        Attempt { worker, sent, born, free, out: true, ..Attempt::default() }
    }
}

#[derive(Default)]
pub struct PendingJob {
    pub job: Job,
    pub came: Micros,
    /// Its place among jobs held.
    pub key: Micros,
    pub cycle: usize,
    pub attempts: Vec<Attempt>,
    /// It waits for a worker: on a walk, or held.
    pub waits: bool,
    /// Where in the part its next step goes, steps taken on this walk, and the best worker met with its wait.
    pub next: usize,
    pub steps: usize,
    pub best: Option<(f64, usize)>,
    /// Tells old wake-ups from the newest.
    pub walk: u32,
    pub streaming: bool,
}

impl PendingJob {
    /// The first attempt that is not known never to have run.
    pub fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.never_ran)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    Subscribe,
    Step(JobId, u32),
    Unheard(JobId, usize),
    Stale(JobId),
    Due(JobId),
}
