//! Tests the ledger in a simulated environment: a disk that keeps what was synced, workers that run what they
//! are sent, clients that receive answers, and crashes between any two steps.

use proptest::prelude::*;
use proptest::strategy::ValueTree;

use super::*;

/// A fault that can be injected, to verify that the simulation detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Effects do not wait for their records.
    SendsUnsynced,
    /// A job that must not run twice is sent again when its lease expires.
    UnsafeRunsAgain,
}

const CLASS_RULES: [ClassRules; 2] = [
    ClassRules { lease_ms: 100.0, grace_ms: 200.0, keep_ms: 10_000.0, is_idempotent: false },
    ClassRules { lease_ms: 100.0, grace_ms: 200.0, keep_ms: 10_000.0, is_idempotent: true },
];
const BOUNDS: Bounds = Bounds { jobs: 64, bytes: 1 << 20 };
const DEADLINE_MS: f64 = 1_000.0;

struct Simulation {
    ledger: Ledger,
    fault: Option<Fault>,
    now: f64,
    /// Records returned by the ledger. The first `disk` of them are durable.
    log: Vec<Record>,
    disk: usize,
    /// Length of the log at the last restart, where the ledger's sequence numbers start again.
    log_base: usize,
    /// The leases under which jobs were sent to workers.
    sent: Vec<(JobNo, Fence)>,
    runs: BTreeMap<JobNo, usize>,
    answers: BTreeMap<JobNo, Vec<Outcome>>,
    accepted: Vec<JobNo>,
    routes: Vec<JobNo>,
    crashes: usize,
}

impl Simulation {
    fn new(fault: Option<Fault>) -> Simulation {
        let mut ledger = Ledger::new(CLASS_RULES.to_vec(), BOUNDS);
        ledger.fault = fault;
        Simulation {
            ledger,
            fault,
            now: 1_000_000.0,
            log: Vec::new(),
            disk: 0,
            log_base: 0,
            sent: Vec::new(),
            runs: BTreeMap::new(),
            answers: BTreeMap::new(),
            accepted: Vec::new(),
            routes: Vec::new(),
            crashes: 0,
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Route(no) => self.routes.push(no),
                Effect::Send(no, fence) => {
                    // The worker runs the job at once, but may report it later.
                    *self.runs.entry(no).or_default() += 1;
                    self.sent.push((no, fence));
                }
                Effect::Cancel(..) => {}
                Effect::Answer(no, outcome) => self.answers.entry(no).or_default().push(outcome),
            }
        }
    }

    fn call(&mut self, event: impl FnOnce(&mut Ledger, f64, &mut Vec<Record>)) {
        let mut out = Vec::new();
        event(&mut self.ledger, self.now, &mut out);
        // Records are encoded and decoded, so that the encoding is tested as well.
        self.log.extend(out.iter().map(|r| Record::decode(&r.encode()).unwrap()));
        if self.fault == Some(Fault::SendsUnsynced) {
            let mut effects = Vec::new();
            self.ledger.on_synced(0, &mut effects);
            self.carry_out(effects);
        }
    }

    fn sync(&mut self, max_records: usize) {
        let unsynced = self.log.len() - self.disk;
        self.disk += unsynced.min(max_records);
        let mut effects = Vec::new();
        self.ledger.on_synced((self.disk - self.log_base) as Seq, &mut effects);
        self.carry_out(effects);
    }

    /// Kills and restarts the program after `downtime`. Records that were not durable are lost; leases of
    /// workers and answers to clients are not.
    fn crash(&mut self, downtime: f64) {
        self.crashes += 1;
        self.log.truncate(self.disk);
        self.log_base = self.disk;
        self.routes.clear();
        self.now += downtime;
        self.ledger = Ledger::new(CLASS_RULES.to_vec(), BOUNDS);
        self.ledger.fault = self.fault;
        for record in &self.log {
            self.ledger.replay(record);
        }
        let mut out = Vec::new();
        let effects = self.ledger.recover(self.now, &mut out);
        self.log.extend(out);
        self.carry_out(effects);
    }

    fn step(&mut self, (action, pick, size): (u8, usize, u16)) {
        let some = |list: &[JobNo]| list.get(pick % list.len().max(1)).copied();
        match action {
            0 => {
                let (key, class) = (vec![pick as u8 % 8], pick % 2);
                let due = self.now + DEADLINE_MS;
                let mut reply = None;
                self.call(|l, now, out| reply = l.accept(now, class, Some(key), due, vec![7; 9], out).ok());
                if let Some(Acceptance::New(no)) = reply {
                    self.accepted.push(no);
                }
            }
            1 | 2 => {
                if let Some(no) = some(&self.routes) {
                    self.routes.retain(|&other| other != no);
                    self.call(|l, now, out| {
                        let _ = l.lease(now, no, "w", out);
                    });
                }
            }
            3 => {
                if let Some(&(no, fence)) = self.sent.get(pick % self.sent.len().max(1)) {
                    self.call(|l, now, out| {
                        let _ = l.on_report(now, no, fence, Outcome::Served(vec![1]), out);
                    });
                }
            }
            4 => {
                if let Some(&(no, fence)) = self.sent.get(pick % self.sent.len().max(1)) {
                    self.call(|l, now, _| {
                        let _ = l.renew(now, no, fence);
                    });
                }
            }
            5 => {
                self.now += f64::from(size % 150);
                self.call(Ledger::tick);
            }
            6 => self.crash(f64::from(size % 300)),
            _ => self.sync(usize::from(size % 8)),
        }
    }

    /// Checks the invariants that hold at any time.
    fn check(&self) -> Result<(), String> {
        for (no, runs) in &self.runs {
            let class = self.log.iter().find_map(|r| match r {
                Record::Accepted { no: other, class, .. } if other == no => Some(*class),
                _ => None,
            });
            match class {
                None => return Err(format!("job {no} ran and is not recorded")),
                Some(class) if !CLASS_RULES[class].is_idempotent && *runs > 1 => {
                    return Err(format!("job {no} ran {runs} times"));
                }
                _ => {}
            }
        }
        for (no, answers) in &self.answers {
            if answers.iter().any(|a| a != &answers[0]) {
                return Err(format!("job {no} had different answers: {answers:?}"));
            }
        }
        Ok(())
    }

    /// Lets all deadlines pass with a working disk, and checks that each recorded job has ended and was
    /// answered.
    fn settle(&mut self) -> Result<(), String> {
        for _ in 0..40 {
            self.now += 100.0;
            self.call(Ledger::tick);
            self.sync(usize::MAX);
        }
        self.check()?;
        let recorded = self.accepted.iter().filter(|&&no| self.ledger.job(no).is_some());
        for no in recorded {
            if !matches!(self.ledger.job(*no).unwrap().state, State::Finished { .. }) {
                return Err(format!("job {no} never ends"));
            }
            // After a crash, a job may have a recorded answer that is not sent, because its deadline has
            // passed.
            if !self.answers.contains_key(no) && self.crashes == 0 {
                return Err(format!("job {no} was never answered"));
            }
        }
        Ok(())
    }
}

type Steps = Vec<(u8, usize, u16)>;

fn steps() -> impl Strategy<Value = Steps> {
    proptest::collection::vec((0u8..9, any::<usize>(), any::<u16>()), 1..120)
}

fn run(steps: &Steps, fault: Option<Fault>) -> Result<(), String> {
    let mut simulation = Simulation::new(fault);
    for &step in steps {
        simulation.step(step);
        simulation.check()?;
    }
    simulation.settle()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// For any sequence of events, with crashes between any two steps: no unsafe job runs twice, no job has
    /// two different answers, every job ends, and no job runs without a record.
    #[test]
    fn no_unsafe_job_runs_twice_and_no_answer_changes(steps in steps()) {
        let result = run(&steps, None);
        prop_assert!(result.is_ok(), "{result:?}");
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..60)) {
        if let Ok(record) = Record::decode(&bytes) {
            prop_assert_eq!(Record::decode(&record.encode()), Ok(record));
        }
    }
}

/// Checks the simulation itself: it detects faults injected into the ledger.
#[test]
fn the_simulation_detects_injected_faults() {
    for fault in [Fault::SendsUnsynced, Fault::UnsafeRunsAgain] {
        let mut runner = proptest::test_runner::TestRunner::deterministic();
        let found = (0..2_000).any(|_| {
            let steps = steps().new_tree(&mut runner).unwrap().current();
            run(&steps, Some(fault)).is_err()
        });
        assert!(found, "{fault:?} was not detected");
    }
}

fn leased(safe: bool) -> (Simulation, JobNo, Fence) {
    let mut simulation = Simulation::new(None);
    simulation.step((0, usize::from(safe), 0));
    simulation.sync(9);
    simulation.step((1, 0, 0));
    simulation.sync(9);
    let (no, fence) = simulation.sent[0];
    (simulation, no, fence)
}

#[test]
fn effects_wait_for_their_records_to_be_durable() {
    let mut simulation = Simulation::new(None);
    simulation.step((0, 0, 0));
    assert!(simulation.routes.is_empty(), "the record is not durable, so the job is not routed");
    simulation.sync(9);
    let no = simulation.routes[0];
    simulation.step((1, 0, 0));
    assert!(simulation.sent.is_empty());
    simulation.crash(0.0);
    assert_eq!(simulation.routes, [no], "the lease was lost before it was sent, so the job waits again");
    simulation.step((1, 0, 0));
    simulation.sync(9);
    assert_eq!(simulation.runs[&no], 1);
}

#[test]
fn an_unsafe_job_with_an_expired_lease_waits_for_its_worker_and_fails_without_a_report() {
    for reports in [true, false] {
        let (mut simulation, no, fence) = leased(false);
        simulation.now += 150.0;
        simulation.call(Ledger::tick);
        simulation.sync(9);
        assert!(matches!(simulation.ledger.job(no).unwrap().state, State::Adrift { .. }));
        assert!(simulation.answers.is_empty() && simulation.routes.is_empty());
        if reports {
            simulation.step((3, 0, 0));
        } else {
            simulation.now += 250.0;
            simulation.call(Ledger::tick);
        }
        simulation.sync(9);
        let expected = if reports { Outcome::Served(vec![1]) } else { Outcome::Failed };
        assert_eq!(simulation.answers[&no], [expected]);
        // A later report under the lease is ignored.
        assert!(!simulation.ledger.on_report(
            simulation.now,
            no,
            fence,
            Outcome::Served(vec![2]),
            &mut Vec::new()
        ));
    }
}

#[test]
fn a_slow_worker_that_renews_its_lease_keeps_it_up_to_the_deadline() {
    let (mut simulation, no, fence) = leased(false);
    for _ in 0..9 {
        simulation.now += 90.0;
        assert!(simulation.ledger.renew(simulation.now, no, fence));
        simulation.call(Ledger::tick);
        assert!(matches!(simulation.ledger.job(no).unwrap().state, State::Leased { .. }));
    }
    simulation.now = 1_000_000.0 + DEADLINE_MS;
    simulation.call(Ledger::tick);
    simulation.sync(9);
    assert_eq!(simulation.answers[&no], [Outcome::Failed], "the client is answered in time");
}

#[test]
fn a_finished_job_whose_answer_is_lost_in_a_crash_is_answered_after_the_restart() {
    let (mut simulation, no, _) = leased(false);
    simulation.step((3, 0, 0));
    simulation.disk = simulation.log.len();
    simulation.crash(10.0);
    assert_eq!((&simulation.answers[&no][..], simulation.runs[&no]), (&[Outcome::Served(vec![1])][..], 1));
}

#[test]
fn a_clock_that_steps_back_does_not_extend_a_lease() {
    let (mut simulation, no, fence) = leased(true);
    simulation.now -= 1e6;
    assert!(simulation.ledger.renew(simulation.now, no, fence));
    assert!(simulation.ledger.next_deadline() <= 1_000_000.0 + 100.0);
}

#[test]
fn jobs_are_rejected_at_the_bounds_and_after_a_store_failure() {
    let mut ledger = Ledger::new(CLASS_RULES.to_vec(), Bounds { jobs: 1, bytes: 100 });
    let mut out = Vec::new();
    let mut accept = |ledger: &mut Ledger, now, size: usize| {
        ledger.accept(now, 0, None, now + DEADLINE_MS, vec![0; size], &mut out).err()
    };
    assert_eq!(accept(&mut ledger, 1.0, 101), Some(AcceptError::Full));
    assert_eq!(accept(&mut ledger, 1.0, 100), None);
    assert_eq!(accept(&mut ledger, 1.0, 1), Some(AcceptError::Full));
    ledger.on_store_failed();
    assert_eq!(accept(&mut ledger, 1.0, 1), Some(AcceptError::StoreFailed));
}
