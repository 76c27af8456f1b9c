//! What a dispatcher remembers: of workers, kinds, cycles, jobs and attempts. What follows from it is decided
//! in `src/logic.rs`.

use crate::api::*;

#[derive(Default)]
pub struct Worker {
    pub member: Member,
    pub ready: bool,
    /// What a warming worker may be sent, in jobs.
    pub budget: f64,
    /// The job for which a probe is out.
    pub asked: Option<JobId>,
    pub report: Report,
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
    /// Failures since the last success, and until when they cost it its turns.
    pub failures: u32,
    pub rest: Micros,
}

/// What is known of the workers of one kind.
#[derive(Default)]
pub struct Kind {
    /// Slots of each, as far as reports have shown.
    pub slots: f64,
    /// Nominal size, and sums of what workers held, in all and a core, where sizes are live.
    pub nominal: f64,
    pub held: f64,
    pub held_a_core: f64,
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

pub struct Attempt {
    pub worker: usize,
    pub sent: Micros,
    pub out: bool,
    /// It met a free slot.
    pub free: bool,
    pub started: bool,
    pub never_ran: bool,
    /// It was called off as it did not start: the job does not go back there.
    pub left: bool,
}

#[derive(Default)]
pub struct Pending {
    pub job: Job,
    pub came: Micros,
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

impl Pending {
    /// The first attempt that is not known never to have run.
    pub fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.never_ran)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wake {
    Subscribe,
    Step(JobId, u32),
    Unheard(JobId, usize),
    Stale(JobId),
    Due(JobId),
}
