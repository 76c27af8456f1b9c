//! The ledger: the states of durable jobs, and a write-ahead log of their changes.
//!
//! Sans-I/O: it owns the life cycle of each job and the order between records and effects, but no disk and no
//! socket, and it does not choose endpoints (the decision module does). The caller reports events, stores the
//! `Record`s that they return, and carries out the `Effect`s. An effect that depends on a record is returned
//! only once `on_synced` has confirmed that the record is on disk. So a job is sent or answered only after
//! the record of that step is durable.
//!
//! Requirements on the caller:
//! - Store records in the order in which they were returned, and confirm to `on_synced` only records that are
//!   durable.
//! - After a crash, pass all stored records to `replay` in order, and then call `recover` once.
//! - Pass times of a clock that also runs while the program is down (milliseconds since the Unix epoch). If
//!   the clock steps back, the ledger keeps the latest time seen, so that leases do not become longer.
//!
//! The states of a job:
//!
//! ```text
//! Accepted --lease--> Leased --report--> Finished --(stored)--> answered
//!    ^                  |  \--lapse, may run twice or never ran--> Accepted
//!    |                  \----lapse, must not run twice-----------> Adrift --report--> Finished
//!    \--- never ran ----/                                             \--grace over--> Finished (failed)
//! any unfinished, past its due time --> Finished (denied if it never ran or may run twice, else failed)
//! ```

mod record;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub use record::{Outcome, Record};

/// The number of a job, which is never reused.
pub type JobNo = u64;
/// The fencing token of a lease. Tokens increase, so that a report under an old lease can be recognized.
pub type Fence = u64;
/// The sequence number of a record, counted from 1.
pub type Seq = u64;

/// The rules for a class of jobs. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassRules {
    /// Duration of a lease that its worker does not renew.
    pub lease_ms: f64,
    /// How long a job that may have run and must not run twice waits for its worker's report after the lease
    /// has expired.
    pub grace_ms: f64,
    /// How long the answer is kept for clients that submit the job again.
    pub keep_ms: f64,
    /// Whether jobs of the class may run any number of times.
    pub is_idempotent: bool,
}

/// Bounds on the contents of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of jobs, including finished jobs whose answers are kept.
    pub jobs: usize,
    /// Maximum total bytes of keys, bodies and results.
    pub bytes: usize,
}

/// The reason why a job is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AcceptError {
    /// A bound on jobs or bytes is reached, and no entry may be dropped.
    #[error("the ledger is full")]
    Full,
    /// The store has failed. Its confirmations are not trusted until it is opened again.
    #[error("the ledger's store has failed")]
    StoreFailed,
    /// The deadline of the job has already passed.
    #[error("the deadline of the job has already passed")]
    DeadlinePassed,
}

/// An action for the caller to carry out. Effects must be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Let the decision module choose an endpoint for the job.
    Route(JobNo),
    /// Send the job to its worker under this lease.
    Send(JobNo, Fence),
    /// Tell the worker of an expired lease to cancel the job, if possible.
    Cancel(JobNo, Fence),
    /// Send the job's final answer to its client.
    Answer(JobNo, Outcome),
}

impl Effect {
    /// Returns the job that the effect belongs to.
    pub fn job(&self) -> JobNo {
        match *self {
            Effect::Route(no) | Effect::Send(no, _) | Effect::Cancel(no, _) | Effect::Answer(no, _) => no,
        }
    }
}

/// The state of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// The job waits for an endpoint, and no worker holds a valid lease on it.
    Accepted,
    /// The job is leased to a worker, which may have received it.
    Leased {
        /// Fencing token of the lease.
        fence: Fence,
        /// Name of the worker.
        worker: String,
        /// When the lease expires unless the worker renews it.
        until: f64,
    },
    /// The lease has expired, and the job may have run and must not run twice. Only the worker's report can
    /// settle it.
    Adrift {
        /// Fencing token of the expired lease.
        fence: Fence,
        /// When the job fails unless the worker reports.
        until: f64,
    },
    /// The job has ended.
    Finished {
        /// The final answer.
        outcome: Outcome,
        /// Time until which the answer is kept.
        keep: f64,
    },
}

/// A job in the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Class of the job, as an index into the class rules.
    pub class: usize,
    /// The key by which the client can submit the job again, if it gave one.
    pub key: Option<Vec<u8>>,
    /// When the client stops waiting for the answer.
    pub due: f64,
    /// The body that is sent to the worker.
    pub body: Vec<u8>,
    /// Whether a lease was recorded whose dispatch may have run.
    pub may_have_run: bool,
    /// State of the job.
    pub state: State,
}

impl Job {
    /// Applies a record to the job's state. Records that add or drop a job are applied by the ledger.
    fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted { .. } | Record::Dropped { .. } => {}
            Record::Leased { fence, worker, until, .. } => {
                (self.state, self.may_have_run) = (State::Leased { fence, worker, until }, true);
            }
            Record::Returned { .. } => (self.state, self.may_have_run) = (State::Accepted, false),
            Record::Lapsed { .. } => self.state = State::Accepted,
            Record::Adrift { fence, until, .. } => self.state = State::Adrift { fence, until },
            Record::Finished { outcome, keep, .. } => {
                self.state = State::Finished { outcome, keep };
                // The job is not sent again, so only its answer is kept.
                self.body = Vec::new();
            }
        }
    }

    fn bytes(&self) -> usize {
        let result = match &self.state {
            State::Finished { outcome: Outcome::Served(result), .. } => result.len(),
            _ => 0,
        };
        self.body.len() + self.key.as_ref().map_or(0, Vec::len) + result
    }
}

/// The result of accepting a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Acceptance {
    /// The job is new, and is now recorded.
    New(JobNo),
    /// A job with this key is recorded, and has not ended.
    Running(JobNo),
    /// A job with this key is recorded, and has this answer.
    Finished(JobNo, Outcome),
}

/// The ledger of durable jobs.
pub struct Ledger {
    class_rules: Vec<ClassRules>,
    bounds: Bounds,
    jobs: BTreeMap<JobNo, Job>,
    keys: BTreeMap<Vec<u8>, JobNo>,
    used_bytes: usize,
    last_job: JobNo,
    last_fence: Fence,
    /// The latest time seen.
    now: f64,
    /// Sequence number of the last record that was returned to be stored.
    last_stored: Seq,
    /// Sequence number of the last record that is durable.
    last_synced: Seq,
    /// Effects that wait for a record to become durable, in order of the records.
    waiting_effects: VecDeque<(Seq, Effect)>,
    /// When jobs have their next deadline, ordered by time (as its bits) and job number.
    deadlines: BTreeSet<(u64, JobNo)>,
    failed: bool,
    #[cfg(test)]
    fault: Option<tests::Fault>,
}

/// Returns the bits of a time. They are ordered like the times, because times are not negative.
fn time_bits(time: f64) -> u64 {
    time.max(0.0).to_bits()
}

impl Ledger {
    /// Creates an empty ledger. The class of a job is an index into `class_rules`.
    pub fn new(class_rules: Vec<ClassRules>, bounds: Bounds) -> Ledger {
        Ledger {
            class_rules,
            bounds,
            jobs: BTreeMap::new(),
            keys: BTreeMap::new(),
            used_bytes: 0,
            last_job: 0,
            last_fence: 0,
            now: 0.0,
            last_stored: 0,
            last_synced: 0,
            waiting_effects: VecDeque::new(),
            deadlines: BTreeSet::new(),
            failed: false,
            #[cfg(test)]
            fault: None,
        }
    }

    /// Returns a job in the ledger.
    pub fn job(&self, no: JobNo) -> Option<&Job> {
        self.jobs.get(&no)
    }

    /// Returns the number of jobs in the ledger and their total bytes.
    pub fn usage(&self) -> (usize, usize) {
        (self.jobs.len(), self.used_bytes)
    }

    /// Returns when `tick` must be called next, or infinity if no deadline is pending.
    pub fn next_deadline(&self) -> f64 {
        self.deadlines.first().map_or(f64::INFINITY, |&(at, _)| f64::from_bits(at))
    }

    fn advance_clock(&mut self, now: f64) -> f64 {
        self.now = self.now.max(now);
        self.now
    }

    /// Accepts a job from a client. The caller stores the records at once; `Route` follows when they are
    /// durable. Only then may the client be informed that its job is accepted.
    ///
    /// # Errors
    /// If a bound is reached, the store has failed, or the job's deadline has passed.
    pub fn accept(
        &mut self,
        now: f64,
        class: usize,
        key: Option<Vec<u8>>,
        due: f64,
        body: Vec<u8>,
        out: &mut Vec<Record>,
    ) -> Result<Acceptance, AcceptError> {
        let now = self.advance_clock(now);
        if let Some(&no) = key.as_ref().and_then(|key| self.keys.get(key)) {
            // A client that submits its job again must not start a second run. It joins the job, or gets the
            // answer.
            return Ok(match &self.jobs[&no].state {
                State::Finished { outcome, .. } => Acceptance::Finished(no, outcome.clone()),
                _ => Acceptance::Running(no),
            });
        }
        if self.failed {
            return Err(AcceptError::StoreFailed);
        }
        if due <= now {
            return Err(AcceptError::DeadlinePassed);
        }
        let size = body.len() + key.as_ref().map_or(0, Vec::len);
        if !self.make_room(now, size, out) {
            return Err(AcceptError::Full);
        }
        let no = self.last_job + 1;
        let record = Record::Accepted { no, class, key, due, body };
        self.append(record, Some(Effect::Route(no)), out);
        Ok(Acceptance::New(no))
    }

    /// Drops answers that need not be kept any longer, oldest job first, until a job of `size` bytes fits.
    /// Returns false if it does not fit.
    fn make_room(&mut self, now: f64, size: usize, out: &mut Vec<Record>) -> bool {
        let fits = |l: &Ledger| l.jobs.len() < l.bounds.jobs && l.used_bytes + size <= l.bounds.bytes;
        while !fits(self) {
            let expired = self
                .jobs
                .iter()
                .find(|(_, j)| matches!(&j.state, State::Finished { keep, .. } if *keep <= now));
            let Some((&no, _)) = expired else { return false };
            self.append(Record::Dropped { no }, None, out);
        }
        true
    }

    /// Leases a waiting job to the worker that the decision module has chosen. `Send` follows once the lease
    /// is durable. Returns false if the job no longer waits.
    pub fn lease(&mut self, now: f64, no: JobNo, worker: &str, out: &mut Vec<Record>) -> bool {
        let now = self.advance_clock(now);
        let Some(job) = self.jobs.get(&no).filter(|j| j.state == State::Accepted && j.due > now) else {
            return false;
        };
        let until = now + self.class_rules[job.class].lease_ms;
        let fence = self.last_fence + 1;
        let record = Record::Leased { no, fence, worker: worker.into(), until };
        self.append(record, Some(Effect::Send(no, fence)), out);
        true
    }

    /// Renews a lease, after a sign of life from its worker: the start of the job, progress, or a heartbeat.
    /// The renewal is not stored. After a crash, the lease expires as last recorded unless the worker renews
    /// it again. Returns false if the lease is not current.
    pub fn renew(&mut self, now: f64, no: JobNo, fence: Fence) -> bool {
        let now = self.advance_clock(now);
        let Some(job) = self.jobs.get_mut(&no) else { return false };
        let (lease, due) = (self.class_rules[job.class].lease_ms, job.due);
        let State::Leased { fence: own, until, .. } = &mut job.state else { return false };
        if *own != fence {
            return false;
        }
        let before = *until;
        *until = until.max(now + lease).min(due.max(before));
        let after = *until;
        self.deadlines.remove(&(time_bits(before.min(due)), no));
        self.deadlines.insert((time_bits(after.min(due)), no));
        true
    }

    /// Returns a job to the waiting state, because the dispatch under this lease certainly never ran. Returns
    /// false if the lease is not current.
    pub fn return_job(&mut self, now: f64, no: JobNo, fence: Fence, out: &mut Vec<Record>) -> bool {
        self.advance_clock(now);
        let is_leased = |j: &&Job| matches!(j.state, State::Leased { fence: own, .. } if own == fence);
        if self.jobs.get(&no).filter(is_leased).is_none() {
            return false;
        }
        self.append(Record::Returned { no, fence }, Some(Effect::Route(no)), out);
        true
    }

    /// Handles a worker's report that a job has ended. Only the first report counts, and only under the
    /// newest lease, so that a late report does not change an answer. Returns false if the report is ignored.
    pub fn on_report(
        &mut self,
        now: f64,
        no: JobNo,
        fence: Fence,
        outcome: Outcome,
        out: &mut Vec<Record>,
    ) -> bool {
        let now = self.advance_clock(now);
        let is_current = |j: &&Job| match j.state {
            State::Leased { fence: own, .. } | State::Adrift { fence: own, .. } => own == fence,
            _ => false,
        };
        let Some(job) = self.jobs.get(&no).filter(is_current) else { return false };
        // The ledger finishes a failed job, too. Whether such a job is retried is decided by the caller's
        // decision module.
        let keep = now + self.class_rules[job.class].keep_ms;
        self.append(
            Record::Finished { no, outcome: outcome.clone(), keep },
            Some(Effect::Answer(no, outcome)),
            out,
        );
        true
    }

    /// Gives up a waiting job on behalf of the decision module. The job is denied if it never ran or may run
    /// twice, and failed otherwise. Returns false if the job does not wait.
    pub fn give_up(&mut self, now: f64, no: JobNo, out: &mut Vec<Record>) -> bool {
        let now = self.advance_clock(now);
        if !self.jobs.get(&no).is_some_and(|j| j.state == State::Accepted) {
            return false;
        }
        self.finish_unserved(now, no, out);
        true
    }

    fn finish_unserved(&mut self, now: f64, no: JobNo, out: &mut Vec<Record>) {
        let Some(job) = self.jobs.get(&no) else { return };
        let class_rules = self.class_rules[job.class];
        let outcome =
            if job.may_have_run && !class_rules.is_idempotent { Outcome::Failed } else { Outcome::Denied };
        let keep = now + class_rules.keep_ms;
        self.append(
            Record::Finished { no, outcome: outcome.clone(), keep },
            Some(Effect::Answer(no, outcome)),
            out,
        );
    }

    /// Confirms that all records up to `seq` are durable. The effects that waited for them are added to
    /// `out`.
    pub fn on_synced(&mut self, seq: Seq, out: &mut Vec<Effect>) {
        if self.failed {
            return;
        }
        self.last_synced = self.last_synced.max(seq.min(self.last_stored));
        while self.waiting_effects.front().is_some_and(|(at, _)| *at <= self.last_synced) {
            let Some((_, effect)) = self.waiting_effects.pop_front() else { return };
            // An effect is skipped if the job has changed meanwhile: a lease may expire before its record is
            // durable.
            let state = self.jobs.get(&effect.job()).map(|job| &job.state);
            let is_current = match (&effect, state) {
                (Effect::Route(_), state) => state == Some(&State::Accepted),
                (Effect::Send(_, fence), Some(State::Leased { fence: own, .. })) => own == fence,
                (Effect::Send(..), _) => false,
                (Effect::Cancel(..) | Effect::Answer(..), _) => true,
            };
            if is_current {
                out.push(effect);
            }
        }
    }

    /// Handles a failure of the store: waiting effects are discarded and no new job is accepted. Records that
    /// were durable before are safe, and their jobs are settled when the store is opened again.
    pub fn on_store_failed(&mut self) {
        self.failed = true;
        self.waiting_effects.clear();
    }

    /// Handles expired leases, deadlines of jobs, and grace periods.
    pub fn tick(&mut self, now: f64, out: &mut Vec<Record>) {
        let now = self.advance_clock(now);
        while let Some(&(at, no)) = self.deadlines.first().filter(|(at, _)| *at <= time_bits(now)) {
            self.deadlines.remove(&(at, no));
            self.on_deadline(now, no, out);
        }
    }

    fn on_deadline(&mut self, now: f64, no: JobNo, out: &mut Vec<Record>) {
        let Some(job) = self.jobs.get(&no) else { return };
        let class_rules = self.class_rules[job.class];
        match job.state.clone() {
            State::Accepted if job.due <= now => self.finish_unserved(now, no, out),
            State::Leased { fence, until, .. } if until <= now || job.due <= now => {
                if job.due <= now || self.may_run_again(class_rules) {
                    // Past its deadline the job is finished, so that its client gets an answer in time.
                    // Otherwise it may run twice, and waits for another worker.
                    if job.due <= now {
                        self.finish_unserved(now, no, out);
                        self.waiting_effects.push_back((self.last_stored, Effect::Cancel(no, fence)));
                    } else {
                        self.append(Record::Lapsed { no, fence }, Some(Effect::Cancel(no, fence)), out);
                        self.waiting_effects.push_back((self.last_stored, Effect::Route(no)));
                    }
                } else {
                    self.append(Record::Adrift { no, fence, until: now + class_rules.grace_ms }, None, out);
                }
            }
            State::Adrift { until, .. } if until <= now || job.due <= now => {
                self.finish_unserved(now, no, out);
            }
            _ => {}
        }
    }

    fn may_run_again(&self, class_rules: ClassRules) -> bool {
        #[cfg(test)]
        if self.fault == Some(tests::Fault::UnsafeRunsAgain) {
            return true;
        }
        class_rules.is_idempotent
    }

    /// Applies a stored record after a restart. Records must be replayed in order.
    pub fn replay(&mut self, record: &Record) {
        self.apply(record);
    }

    /// Completes a recovery after all records were replayed: settles the jobs whose deadlines passed while
    /// the program was down, and returns effects for the others. Waiting jobs are to be routed oldest first,
    /// at a pace that the caller chooses. Answers are sent again, since it is not known whether clients
    /// received them.
    pub fn recover(&mut self, now: f64, out: &mut Vec<Record>) -> Vec<Effect> {
        let now = self.advance_clock(now);
        (self.last_stored, self.last_synced) = (0, 0);
        self.tick(now, out);
        let mut effects = Vec::new();
        for (&no, job) in &self.jobs {
            match &job.state {
                State::Accepted => effects.push(Effect::Route(no)),
                State::Finished { outcome, keep } if *keep > now && job.due > now => {
                    effects.push(Effect::Answer(no, outcome.clone()));
                }
                _ => {}
            }
        }
        // Effects of jobs that `tick` has just settled must wait until their records are durable.
        effects.retain(|e| !self.waiting_effects.iter().any(|(_, waiting)| waiting == e));
        effects
    }

    fn append(&mut self, record: Record, then: Option<Effect>, out: &mut Vec<Record>) {
        self.apply(&record);
        self.last_stored += 1;
        if let Some(effect) = then {
            #[cfg(test)]
            let at = if self.fault == Some(tests::Fault::SendsUnsynced) { 0 } else { self.last_stored };
            #[cfg(not(test))]
            let at = self.last_stored;
            self.waiting_effects.push_back((at, effect));
        }
        out.push(record);
    }

    /// Applies a record. This is the only place that changes the jobs, both in operation and during a replay.
    fn apply(&mut self, record: &Record) {
        let no = record.job();
        if let Some(job) = self.jobs.get(&no) {
            self.used_bytes -= job.bytes();
            self.deadlines.remove(&(time_bits(Self::next_job_deadline(job)), no));
        }
        match record.clone() {
            Record::Accepted { no, class, key, due, body } => {
                self.last_job = self.last_job.max(no);
                if let Some(key) = &key {
                    self.keys.insert(key.clone(), no);
                }
                // If the class no longer exists in the configuration, the last class applies.
                let class = class.min(self.class_rules.len().saturating_sub(1));
                let state = State::Accepted;
                self.jobs.insert(no, Job { class, key, due, body, may_have_run: false, state });
            }
            Record::Dropped { no } => {
                if let Some(job) = self.jobs.remove(&no)
                    && let Some(key) = job.key
                {
                    self.keys.remove(&key);
                }
            }
            change => {
                if let Record::Leased { fence, .. } = change {
                    self.last_fence = self.last_fence.max(fence);
                }
                if let Some(job) = self.jobs.get_mut(&no) {
                    job.apply(change);
                }
            }
        }
        if let Some(job) = self.jobs.get(&no) {
            self.used_bytes += job.bytes();
            let due = Self::next_job_deadline(job);
            if due.is_finite() {
                self.deadlines.insert((time_bits(due), no));
            }
        }
    }

    /// Returns the next deadline of a job.
    fn next_job_deadline(job: &Job) -> f64 {
        match job.state {
            State::Accepted => job.due,
            State::Leased { until, .. } | State::Adrift { until, .. } => until.min(job.due),
            State::Finished { .. } => f64::INFINITY,
        }
    }
}

#[cfg(test)]
mod tests;
#[cfg(test)]
mod wire_tests;
