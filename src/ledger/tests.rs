//! The ledger against a model: a disk that keeps what was synced, workers that run what they are sent, clients that
//! hear answers, and a crash between any two steps.

use proptest::prelude::*;
use proptest::strategy::ValueTree;

use super::*;

/// A fault that can be planted, to see that the model finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Effects do not wait for their records.
    SendsUnsynced,
    /// A job that must not run twice goes again when its lease runs out.
    UnsafeRunsAgain,
}

const TERMS: [Terms; 2] = [
    Terms { lease: 100.0, grace: 200.0, keep: 10_000.0, safe: false },
    Terms { lease: 100.0, grace: 200.0, keep: 10_000.0, safe: true },
];
const BOUNDS: Bounds = Bounds { jobs: 64, bytes: 1 << 20 };
const DUE: f64 = 1_000.0;

struct World {
    ledger: Ledger,
    fault: Option<Fault>,
    now: f64,
    /// Records handed out, and how many of them are on disk.
    log: Vec<Record>,
    disk: usize,
    /// Where the numbers of this run of the program begin in the log.
    base: usize,
    /// What workers hold: job, lease, and whether they have run it.
    sent: Vec<(JobNo, Fence)>,
    runs: BTreeMap<JobNo, usize>,
    answers: BTreeMap<JobNo, Vec<Outcome>>,
    taken: Vec<JobNo>,
    routes: Vec<JobNo>,
    crashes: usize,
}

impl World {
    fn new(fault: Option<Fault>) -> World {
        let mut ledger = Ledger::new(TERMS.to_vec(), BOUNDS);
        ledger.fault = fault;
        World {
            ledger,
            fault,
            now: 1_000_000.0,
            log: Vec::new(),
            disk: 0,
            base: 0,
            sent: Vec::new(),
            runs: BTreeMap::new(),
            answers: BTreeMap::new(),
            taken: Vec::new(),
            routes: Vec::new(),
            crashes: 0,
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Route(no) => self.routes.push(no),
                Effect::Send(no, fence) => {
                    // The worker runs it at once; when it says so is another matter.
                    *self.runs.entry(no).or_default() += 1;
                    self.sent.push((no, fence));
                }
                Effect::CallOff(..) => {}
                Effect::Answer(no, outcome) => self.answers.entry(no).or_default().push(outcome),
            }
        }
    }

    fn with(&mut self, act: impl FnOnce(&mut Ledger, f64, &mut Vec<Record>)) {
        let mut out = Vec::new();
        act(&mut self.ledger, self.now, &mut out);
        // The form on disk is part of it.
        self.log.extend(out.iter().map(|r| Record::decode(&r.encode()).unwrap()));
        if self.fault == Some(Fault::SendsUnsynced) {
            let mut effects = Vec::new();
            self.ledger.synced(0, &mut effects);
            self.carry_out(effects);
        }
    }

    fn sync(&mut self, share: usize) {
        let news = self.log.len() - self.disk;
        self.disk += news.min(share);
        let mut effects = Vec::new();
        self.ledger.synced((self.disk - self.base) as Seq, &mut effects);
        self.carry_out(effects);
    }

    /// The program is killed: what was not on disk is gone; what workers hold and clients heard is not.
    fn crash(&mut self, away: f64) {
        self.crashes += 1;
        self.log.truncate(self.disk);
        self.base = self.disk;
        self.routes.clear();
        self.now += away;
        self.ledger = Ledger::new(TERMS.to_vec(), BOUNDS);
        self.ledger.fault = self.fault;
        for record in &self.log {
            self.ledger.replay(record);
        }
        let mut out = Vec::new();
        let effects = self.ledger.recover(self.now, &mut out);
        self.log.extend(out);
        self.carry_out(effects);
    }

    fn step(&mut self, (what, pick, size): (u8, usize, u16)) {
        let some = |list: &[JobNo]| list.get(pick % list.len().max(1)).copied();
        match what {
            0 => {
                let (key, class) = (vec![pick as u8 % 8], pick % 2);
                let due = self.now + DUE;
                let mut taken = None;
                self.with(|l, now, out| taken = l.accept(now, class, Some(key), due, vec![7; 9], out).ok());
                if let Some(Taken::New(no)) = taken {
                    self.taken.push(no);
                }
            }
            1 | 2 => {
                if let Some(no) = some(&self.routes) {
                    self.routes.retain(|&other| other != no);
                    self.with(|l, now, out| {
                        let _ = l.lease(now, no, "w", out);
                    });
                }
            }
            3 => {
                if let Some(&(no, fence)) = self.sent.get(pick % self.sent.len().max(1)) {
                    self.with(|l, now, out| {
                        let _ = l.report(now, no, fence, Outcome::Served(vec![1]), out);
                    });
                }
            }
            4 => {
                if let Some(&(no, fence)) = self.sent.get(pick % self.sent.len().max(1)) {
                    self.with(|l, now, _| {
                        let _ = l.beat(now, no, fence);
                    });
                }
            }
            5 => {
                self.now += f64::from(size % 150);
                self.with(Ledger::tick);
            }
            6 => self.crash(f64::from(size % 300)),
            _ => self.sync(usize::from(size % 8)),
        }
    }

    /// What must hold at any time.
    fn check(&self) -> Result<(), String> {
        for (no, runs) in &self.runs {
            let class = self.log.iter().find_map(|r| match r {
                Record::Accepted { no: other, class, .. } if other == no => Some(*class),
                _ => None,
            });
            match class {
                None => return Err(format!("job {no} ran and is not on record")),
                Some(class) if !TERMS[class].safe && *runs > 1 => {
                    return Err(format!("job {no} ran {runs} times"));
                }
                _ => {}
            }
        }
        for (no, answers) in &self.answers {
            if answers.iter().any(|a| a != &answers[0]) {
                return Err(format!("job {no} had unlike answers: {answers:?}"));
            }
        }
        Ok(())
    }

    /// Lets all time pass, with a disk that works: each job on record has its answer.
    fn settle(&mut self) -> Result<(), String> {
        for _ in 0..40 {
            self.now += 100.0;
            self.with(Ledger::tick);
            self.sync(usize::MAX);
        }
        self.check()?;
        let on_record = self.taken.iter().filter(|&&no| self.ledger.job(no).is_some());
        for no in on_record {
            if !matches!(self.ledger.job(*no).unwrap().state, State::Finished { .. }) {
                return Err(format!("job {no} never ends"));
            }
            // One that was answered in a crash has its answer on record for whoever asks.
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
    let mut world = World::new(fault);
    for &step in steps {
        world.step(step);
        world.check()?;
    }
    world.settle()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Whatever happens, a crash between any two steps among it: no unsafe job runs twice, no job has two unlike
    /// answers, each ends, and none runs that is not on record.
    #[test]
    fn nothing_unsafe_runs_twice_and_no_answer_is_taken_back(steps in steps()) {
        let result = run(&steps, None);
        prop_assert!(result.is_ok(), "{result:?}");
    }

    #[test]
    fn any_bytes_read_or_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..60)) {
        if let Ok(record) = Record::decode(&bytes) {
            prop_assert_eq!(Record::decode(&record.encode()), Ok(record));
        }
    }
}

/// Guards the model itself: it finds faults planted in the ledger.
#[test]
fn the_model_finds_faults_that_are_planted() {
    for fault in [Fault::SendsUnsynced, Fault::UnsafeRunsAgain] {
        let mut runner = proptest::test_runner::TestRunner::deterministic();
        let found = (0..2_000).any(|_| {
            let steps = steps().new_tree(&mut runner).unwrap().current();
            run(&steps, Some(fault)).is_err()
        });
        assert!(found, "{fault:?} was not found");
    }
}

fn leased(safe: bool) -> (World, JobNo, Fence) {
    let mut world = World::new(None);
    world.step((0, usize::from(safe), 0));
    world.sync(9);
    world.step((1, 0, 0));
    world.sync(9);
    let (no, fence) = world.sent[0];
    (world, no, fence)
}

#[test]
fn nothing_leaves_before_its_intent_is_on_disk() {
    let mut world = World::new(None);
    world.step((0, 0, 0));
    assert!(world.routes.is_empty(), "not on disk, not taken on");
    world.sync(9);
    let no = world.routes[0];
    world.step((1, 0, 0));
    assert!(world.sent.is_empty());
    world.crash(0.0);
    assert_eq!(world.routes, [no], "its intent was lost, and nothing had left");
    world.step((1, 0, 0));
    world.sync(9);
    assert_eq!(world.runs[&no], 1);
}

#[test]
fn an_unsafe_job_whose_lease_ran_out_waits_for_its_worker_and_fails_without() {
    for reports in [true, false] {
        let (mut world, no, fence) = leased(false);
        world.now += 150.0;
        world.with(Ledger::tick);
        world.sync(9);
        assert!(matches!(world.ledger.job(no).unwrap().state, State::Adrift { .. }));
        assert!(world.answers.is_empty() && world.routes.is_empty());
        if reports {
            world.step((3, 0, 0));
        } else {
            world.now += 250.0;
            world.with(Ledger::tick);
        }
        world.sync(9);
        let wanted = if reports { Outcome::Served(vec![1]) } else { Outcome::Failed };
        assert_eq!(world.answers[&no], [wanted]);
        // Later news of the lease change nothing.
        assert!(!world.ledger.report(world.now, no, fence, Outcome::Served(vec![2]), &mut Vec::new()));
    }
}

#[test]
fn a_slow_worker_that_beats_keeps_its_lease_up_to_the_deadline() {
    let (mut world, no, fence) = leased(false);
    for _ in 0..9 {
        world.now += 90.0;
        assert!(world.ledger.beat(world.now, no, fence));
        world.with(Ledger::tick);
        assert!(matches!(world.ledger.job(no).unwrap().state, State::Leased { .. }));
    }
    world.now = 1_000_000.0 + DUE;
    world.with(Ledger::tick);
    world.sync(9);
    assert_eq!(world.answers[&no], [Outcome::Failed], "its client is answered in time");
}

#[test]
fn a_finished_job_whose_answer_was_lost_in_the_crash_is_answered_after_it() {
    let (mut world, no, _) = leased(false);
    world.step((3, 0, 0));
    world.disk = world.log.len();
    world.crash(10.0);
    assert_eq!((&world.answers[&no][..], world.runs[&no]), (&[Outcome::Served(vec![1])][..], 1));
}

#[test]
fn a_clock_that_steps_back_makes_no_lease_longer() {
    let (mut world, no, fence) = leased(true);
    world.now -= 1e6;
    assert!(world.ledger.beat(world.now, no, fence));
    assert!(world.ledger.next() <= 1_000_000.0 + 100.0);
}

#[test]
fn at_its_bounds_a_job_is_refused_and_a_failed_store_takes_none() {
    let mut ledger = Ledger::new(TERMS.to_vec(), Bounds { jobs: 1, bytes: 100 });
    let mut out = Vec::new();
    let mut accept = |ledger: &mut Ledger, now, size: usize| {
        ledger.accept(now, 0, None, now + DUE, vec![0; size], &mut out).err()
    };
    assert_eq!(accept(&mut ledger, 1.0, 101), Some(Refusal::Full));
    assert_eq!(accept(&mut ledger, 1.0, 100), None);
    assert_eq!(accept(&mut ledger, 1.0, 1), Some(Refusal::Full));
    ledger.store_failed();
    assert_eq!(accept(&mut ledger, 1.0, 1), Some(Refusal::Failed));
}
