//! All decisions of a dispatcher; the types it speaks in are in `src/api.rs`, what it remembers in
//! `src/state.rs`.
//!
//! Cyclic routing with overflow (Boel and van Schuppen, 1988): the job count walks an evenly interleaved
//! period in which each worker has turns in proportion to its speed. If the scheduled worker's queue is past
//! k, the job steps on to the next worker in fixed order.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use rustc_hash::FxHashMap;

use super::state::*;
use super::types::*;

/// Turns of a worker of average speed in one period: enough to tell speeds a tenth apart.
const TURNS: f64 = 8.0;
/// Workers asked for one job before it takes the best of them.
const STEPS: usize = 4;
/// The golden section.
const GOLDEN: f64 = 0.618_033_988_75;
/// Dispatchers that each worker should be in the part of, so that uneven ones even out, and fewest workers of
/// a part, so that some are free.
const COVER: f64 = 4.0;
const FEW: f64 = 8.0;
/// Weight of the newest sample in a running mean.
const GAIN: f64 = 0.05;
/// A worker whose probes take this many times its zone's usual is slow: none of like make differ so much.
const SLOW: f64 = 1.75;
/// A job late by its wait is kept if it still has this part of its worth: it may cost a fresh one all of it.
const LATE: f64 = 0.5;
/// Advice to the client of a refused job: by then the jobs that wait now are over. Guards against retries
/// that come at once and take the place of jobs still in time.
const COME_BACK: Micros = 2_000_000;
/// Turns that one job may hand on to the next worker and still count for those that warm up.
const CREDITS: usize = 2;
/// How long a worker that was heard of counts as well where dispatchers are many.
const HEARD: Micros = 1_000_000;
/// Attempts of a safe job that are called off at once where they do not start.
const QUICK: usize = 3;
/// Where workers report nothing: wait from which a job is late there and held here instead; part of a run
/// that is no wait; workers looked at, and slots of each, at most; least part of a run taken to be left.
const LATE_THERE: f64 = 1e12;
const FREE: f64 = 0.1;
const MOST: usize = 16;
const OVERRUN: f64 = 0.2;
/// What a worker that turned a job away counts as holding until its next report.
const FULL: f64 = 1000.0;

/// One dispatcher.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    rng: fastrand::Rng,
    pub(crate) workers: Vec<EndpointState>,
    pub(crate) index: FxHashMap<EndpointId, usize>,
    /// The first is over workers of all kinds.
    cycles: Vec<Cycle>,
    jobs: FxHashMap<JobId, PendingJob>,
    wakes: BinaryHeap<Reverse<(Micros, Timer)>>,
    armed: Micros,
    /// Running median of how long a probe takes, by zone.
    pub(crate) prompt: Vec<f64>,
    /// Running mean of how long a job runs: of attempts that met a free slot.
    pub(crate) run: f64,
    /// Running mean of the work of a job, by class, where clients do not tell.
    pub(crate) usual: Vec<f64>,
    /// How long a unit of work takes anywhere, and running mean of the wait beyond that for own attempts.
    pub(crate) pace: ServiceTime,
    pub(crate) lag: f64,
    pub(crate) seen: Micros,
    /// Running mean of how far workers are past k.
    pub(crate) typical: f64,
    /// Running mean of jobs held, to size.
    pub(crate) pressure: f64,
    pub(crate) kinds: Vec<KindEstimate>,
    /// Jobs held here as all workers met were too far past k, by the time they came.
    held: BTreeSet<(Micros, JobId)>,
    call_failures: u32,
    /// When the list may be asked for again as it seems to be old.
    doubt: Micros,
}

impl Router {
    /// A dispatcher that knows no workers yet. All its randomness comes from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let kinds: BTreeSet<_> = settings.classes.iter().map(|c| c.kind).chain([None]).collect();
        let cycles = kinds.into_iter().map(|kind| Cycle { kind, ..Cycle::default() }).collect();
        Router {
            run: settings.classes.iter().map(|c| c.latency_objective).max().unwrap_or(0).max(1) as f64,
            usual: settings.classes.iter().map(|c| c.latency_objective.max(1) as f64).collect(),
            rng: fastrand::Rng::with_seed(seed),
            armed: Micros::MAX,
            settings,
            cycles,
            ..Router::default()
        }
    }

    /// Takes over settings that were read again. The classes are the same ones.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.settings = settings;
        self.rebuild();
    }

    /// Takes one event at time `now` and adds what follows from it to `out`.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::List(members) => self.list(now, members, true),
            Event::Changes(members) => self.list(now, members, false),
            Event::Cached(members) => {
                self.list(now, members, true);
                if self.settings.must_subscribe {
                    self.call(now);
                }
            }
            Event::ListFailed => {
                self.call_failures += 1;
                self.call(now);
            }
            Event::Job(job) => self.arrive(now, job, out),
            Event::ClientLeft(id) => self.end(id, out),
            Event::Ended(ended) => {
                self.read(now, ended.endpoint, &ended.report);
                self.ended(now, &ended, out);
            }
            Event::Started { job, attempt } => self.started(now, job, attempt),
            Event::Streaming(id) => {
                self.jobs.entry(id).and_modify(|p| p.streaming = true);
            }
            Event::Probed { endpoint: worker, answered, latency, report } => {
                self.read(now, worker, &report);
                self.probed(now, worker, answered, latency, out)
            }
            Event::Wake => {}
        }
        while let Some(&Reverse((at, wake))) = self.wakes.peek()
            && at <= now
        {
            self.wakes.pop();
            self.wake(now, wake, out);
        }
        self.armed = if self.armed <= now { Micros::MAX } else { self.armed };
        if let Some(&Reverse((at, _))) = self.wakes.peek()
            && at < self.armed
        {
            self.armed = at;
            out.push(Action::WakeAt(at));
        }
    }

    /// Has discovery called at this dispatcher's own next time: one in every `NOTIFICATION_BOUND`; where few
    /// call, six before any failed and two after one. Guards against calls that come together, and late ones.
    fn call(&mut self, now: Micros) {
        let few = [6, 2, 1][self.call_failures.min(2) as usize];
        let period = Settings::NOTIFICATION_BOUND / if self.settings.is_large_fleet() { 1 } else { few };
        let own = ((f64::from(self.settings.number) * GOLDEN).fract() * Settings::NOTIFICATION_BOUND as f64)
            as Micros;
        let slot = now + period - (now + Settings::NOTIFICATION_BOUND - own) % period;
        self.wakes.push(Reverse((slot, Timer::Subscribe)));
    }

    fn wake(&mut self, now: Micros, wake: Timer, out: &mut Vec<Action>) {
        match wake {
            Timer::Subscribe => out.push(Action::Subscribe),
            Timer::Step(id, walk) if self.jobs.get(&id).is_some_and(|p| p.walk == walk) => {
                self.step(now, id, out)
            }
            Timer::Unheard(id, attempt) => self.unheard(now, id, attempt, out),
            Timer::Due(id) if self.jobs.get(&id).is_some_and(|p| !p.streaming) => self.give_up(id, out),
            // Worth little now, and waiting.
            Timer::Stale(id) if self.jobs.get(&id).is_some_and(|p| p.waits) => self.give_up(id, out),
            _ => {}
        }
    }

    fn list(&mut self, now: Micros, members: &[Endpoint], whole: bool) {
        self.call_failures = 0;
        let mut changed = false;
        if whole {
            let named: BTreeSet<EndpointId> = members.iter().map(|m| m.id).collect();
            for w in self.workers.iter_mut().filter(|w| w.ready && !named.contains(&w.member.id)) {
                (w.ready, changed) = (false, true);
            }
        }
        for m in members {
            let ready = m.status == EndpointStatus::Ready;
            let budget = head_start(self.settings.number, m.id);
            let at = *self.index.entry(m.id).or_insert_with(|| {
                self.workers.push(EndpointState::new(Endpoint { size: 0.0, ..*m }, budget));
                self.workers.len() - 1
            });
            let kind = usize::from(m.kind);
            if self.kinds.len() <= kind {
                self.kinds.resize_with(kind + 1, KindEstimate::default);
            }
            let (w, k) = (&mut self.workers[at], &mut self.kinds[kind]);
            let mut size = if m.size > 0.0 { m.size.min(1e6) } else { 1.0 };
            if self.settings.live_sizes {
                size = k.live(size, w.report.held.filter(|_| w.report.free_slots.is_none()));
            }
            if m.started_at != w.member.started_at {
                (w.failures, w.rest, w.budget) = (0, 0, budget);
                (w.report, w.drift) = (LoadReport::default(), 0.0);
            }
            // A listed size that wavers does not rebuild the cycle.
            let resized = (size - w.member.size).abs() > size / TURNS;
            changed |= resized || w.ready != ready;
            let size = if resized { size } else { w.member.size };
            (w.member, w.ready) = (Endpoint { size, ..*m }, ready);
        }
        if changed {
            let bare: Vec<bool> = self.cycles.iter().map(|c| c.order.is_empty()).collect();
            self.rebuild();
            // Guards against jobs that wait out their time while the first worker for them stands idle.
            for (_, id) in &self.held {
                if let Some(p) = self.jobs.get(id).filter(|p| bare[p.cycle]) {
                    self.wakes.push(Reverse((now, Timer::Step(*id, p.walk))));
                }
            }
        }
    }

    /// Lays out every period anew: a worker with n turns has them evenly spaced, and workers start at points
    /// spread by the golden section so that neighbours in the order do not bunch.
    fn rebuild(&mut self) {
        let (number, zone) = (self.settings.number, self.settings.zone);
        let many = self.settings.is_large_fleet();
        for cycle in &mut self.cycles {
            let fits = |w: &EndpointState| w.ready && cycle.kind.is_none_or(|kind| kind == w.member.kind);
            cycle.order = (0..self.workers.len()).filter(|&i| fits(&self.workers[i])).collect();
            let order = &mut cycle.order;
            order.sort_unstable_by_key(|&i| self.workers[i].member.id);
            // Dispatchers start spread over the order by the golden section, which stays even for any number
            // of them: so that neither parts nor overflow gather on the same workers.
            let n = order.len();
            order.rotate_left(((f64::from(number) * GOLDEN).fract() * n as f64) as usize % n.max(1));
            if self.settings.zones_cost {
                order.sort_by_key(|&i| self.workers[i].member.zone.wrapping_sub(zone));
            }
            // Guards against two dangers of a large fleet: a connection opened for nearly every job, and own
            // counts that say nothing as each worker serves all dispatchers (the paper's small subsets K_i).
            let part = (COVER * n as f64 / f64::from(self.settings.dispatchers.max(1))).max(FEW) as usize;
            // Guards against a few workers that one busy dispatcher keeps full: the whole zone is its part.
            let near = |&&i: &&usize| self.workers[i].member.zone == zone;
            let zoned = if many && self.settings.zones_cost { order.iter().filter(near).count() } else { 0 };
            cycle.part = part.max(zoned).clamp(n.min(1), n);
            let total: f64 = order[..cycle.part].iter().map(|&i| self.workers[i].member.size).sum();
            let mean = (total / cycle.part as f64).max(f64::MIN_POSITIVE);
            let mut entries = Vec::new();
            for (rank, &i) in cycle.order[..cycle.part].iter().enumerate() {
                let turns = (self.workers[i].member.size / mean * TURNS).round().max(1.0);
                let phase = (rank as f64 * GOLDEN).fract();
                entries.extend((0..turns as usize).map(|j| ((j as f64 + phase) / turns, rank)));
            }
            entries.sort_unstable_by(|a: &(f64, usize), b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            cycle.period = entries.into_iter().map(|(_, rank)| rank).collect();
        }
    }

    /// The part of its capacity that a worker has for sure: one that has just started warms up evenly.
    fn warmth(&self, now: Micros, w: &EndpointState) -> f64 {
        let rules = &self.settings.rules;
        let age = now.saturating_sub(w.member.started_at) as f64 / rules.warm_up.max(1) as f64;
        if w.member.started_at == 0 {
            1.0
        } else {
            (rules.initial_capacity + (1.0 - rules.initial_capacity) * age).min(1.0)
        }
    }

    /// Whether a worker can be given its turn now. A warming one has to have saved up for it.
    fn open(&self, now: Micros, i: usize) -> bool {
        let w = &self.workers[i];
        w.ready && w.rest <= now && (w.budget >= 1.0 || self.warmth(now, w) == 1.0)
    }

    fn arrive(&mut self, now: Micros, mut job: Job, out: &mut Vec<Action>) {
        job.class = job.class.min(self.settings.classes.len().saturating_sub(1));
        let class = &self.settings.classes[job.class];
        let cycle = self.cycles.iter().position(|c| c.kind == class.kind).unwrap_or(0);
        let due = job.deadline.saturating_sub(self.settings.quantum);
        self.wakes.push(Reverse((due, Timer::Due(job.id))));
        let (late_worth, least) = (class.late_value, (now + class.latency_objective) as f64);
        let next = self.turn(now, cycle);
        let mut pending = PendingJob { job, came: now, cycle, next, waits: true, ..PendingJob::default() };
        // By then no machine does it in time any more.
        let quickest = self.cycles[cycle].order.iter().map(|&i| self.pace(i)).fold(f64::MAX, f64::min);
        let latest = (self.aim(&pending) - self.work(&job) * quickest).max(least) as Micros;
        pending.key = if self.settings.lacks_load_reports() { latest } else { now };
        if late_worth < LATE {
            self.wakes.push(Reverse((latest, Timer::Stale(job.id))));
        }
        self.jobs.insert(job.id, pending);
        self.step(now, job.id, out);
    }

    /// The scheduled worker: the job count names it, and a turn that is not open moves the count on.
    fn turn(&mut self, now: Micros, cycle: usize) -> usize {
        let offset = self.settings.number as usize;
        let length = self.cycles[cycle].period.len();
        for passed in 0..length {
            let c = &mut self.cycles[cycle];
            c.count += 1;
            let rank = c.period[(c.count + offset) % length];
            let worker = c.order[rank];
            // A turn of a warming worker is worth its warmth: it gets its part of what there is to do,
            // however unlike dispatchers are. `CREDITS` a job, lest a fleet that is all cold be pushed over.
            if passed < CREDITS {
                let warmth = self.warmth(now, &self.workers[worker]);
                self.workers[worker].budget = (self.workers[worker].budget + credit(warmth)).min(1.5);
            }
            if self.open(now, worker) {
                return rank;
            }
        }
        0
    }

    /// Walks on from the scheduled worker in fixed order until a queue is not past k. Where workers can be
    /// probed each is asked at its turn; no answer in good time sends the job on as well.
    fn step(&mut self, now: Micros, id: JobId, out: &mut Vec<Action>) {
        let Some(p) = self.jobs.get(&id).filter(|p| p.waits) else { return };
        let (cycle, came, key) = (p.cycle, p.came, p.key);
        let (mut next, mut steps, mut best) = (p.next, p.steps, p.best);
        let (length, part) = (self.cycles[cycle].order.len(), self.cycles[cycle].part);
        // Past this a job is held here: it would wait there until it is late.
        let (blind, of) = (self.settings.lacks_load_reports(), &self.settings.classes[p.job.class]);
        let aim = (came + of.latency_objective).saturating_sub(now) as f64;
        let (bound, most) = if blind { (LATE_THERE, MOST) } else { (aim, STEPS) };
        // A safe job that meets a bad worker of many goes on, and tells of it: only others look first.
        let looks = !self.settings.is_large_fleet() || of.idempotency != Idempotency::Idempotent;
        let looks = looks && self.settings.capabilities.may_probe && self.settings.reports_load;
        let slowest = self.prompt.iter().fold(0.0, |a: f64, &b| a.max(b));
        let mut wait = self.settings.quantum * 2 + slowest as Micros * 2;
        let (mut left, many) = (length, self.settings.is_large_fleet());
        if many {
            steps = steps.max(p.attempts.len());
        }
        loop {
            if steps >= most || left == 0 {
                // Read anew, lest jobs that met it together all settle there.
                if let Some((_, i)) = best
                    && (many && !blind || self.past(now, i, &self.jobs[&id]) <= bound)
                    && self.may_send(now, id, i)
                {
                    return self.send(now, id, i, out);
                }
                (steps, best, wait) = (0, None, if blind { self.run / 4.0 } else { self.run } as Micros);
                self.held.insert((key, id));
                break;
            }
            left -= 1;
            // Half of the steps look beyond the part, lest one whose workers are all full or lost hold its
            // jobs.
            let at = if part == length || steps < most / 2 && left >= length - part {
                next += 1;
                (next - 1) % part
            } else {
                self.cycles[cycle].beyond += 1;
                // Each starts elsewhere, lest all that lose a zone go on to the same next one.
                let start = (f64::from(self.settings.number) * GOLDEN).fract() * (length - part) as f64;
                part + (self.cycles[cycle].beyond + start as usize) % (length - part)
            };
            let i = self.cycles[cycle].order[at];
            if self.workers[i].asked.is_some() || !self.may_send(now, id, i) {
                continue;
            }
            steps += 1;
            let fresh = if many { HEARD } else { self.settings.quantum };
            // A probe is a call too, which one that warms up could not bear.
            if looks && self.warmth(now, &self.workers[i]) == 1.0 && now > self.workers[i].read + fresh {
                self.workers[i].asked = Some(id);
                out.push(Action::Probe { endpoint: self.workers[i].member.id });
                break;
            }
            let past = self.past(now, i, &self.jobs[&id]);
            if past <= self.typical.min(0.0) {
                return self.send(now, id, i, out);
            }
            best = best.filter(|&(least, _)| least <= past).or(Some((past, i)));
        }
        let p = self.jobs.get_mut(&id).expect("it waits");
        (p.next, p.steps, p.best, p.walk) = (next, steps, best, p.walk + 1);
        self.wakes.push(Reverse((now + wait, Timer::Step(id, p.walk))));
    }

    /// Gives the place of an attempt that has ended to the newest job held here: that it is free is surer
    /// than any report, and keeps all dispatchers from running after the one slot that an old report shows.
    /// Without reports the one that must start first looks again: others' jobs may wait there.
    fn replace(&mut self, now: Micros, i: usize, out: &mut Vec<Action>) {
        let blind = self.settings.lacks_load_reports();
        let next = if blind { self.held.pop_first() } else { self.held.pop_last() };
        let Some((_, id)) = next else { return };
        if !blind && self.may_send(now, id, i) {
            self.send(now, id, i, out);
        } else {
            self.step(now, id, out);
        }
    }

    /// How far a worker's queue is past k, as a wait: 0 or less if a job that takes `slots` can start.
    fn past(&self, now: Micros, i: usize, p: &PendingJob) -> f64 {
        let (w, r, slots) = (&self.workers[i], &self.workers[i].report, p.job.slots);
        if self.settings.lacks_load_reports() {
            let ((own, held), lag) = (self.own_wait(now, i), self.lag(now, i));
            // Guards against short jobs behind long ones: what would wait for own jobs waits here instead.
            let ends = now as f64 + own + lag + self.work(&p.job) * self.pace(i);
            return match (ends - self.aim(p)).max(own) {
                late if late > 0.0 && own + lag > self.run * FREE => LATE_THERE + late,
                late if late > 0.0 => late,
                _ => held + (lag - self.lag.max(self.run * FREE / 2.0)).max(0.0),
            };
        }
        let usual = (self.pressure * w.member.size).max(1.0);
        let slots_seen = self.kinds[usize::from(w.member.kind)].slots;
        let places = if slots_seen > 0.0 { slots_seen } else { usual };
        let drift = w.drift;
        let queue = match (r.free_slots, r.queue, r.held) {
            (Some(free), Some(queue), _) => drift + if queue >= 1.0 { queue } else { -free },
            // More held than slots are taken: some wait, though a slot may be free that the first does not
            // fit.
            (Some(free), None, Some(held)) => {
                let waiting = held - (places - free).max(0.0);
                drift + if free < 1.0 || waiting > free { waiting.max(0.0) } else { -free }
            }
            (Some(free), None, None) => drift - free,
            (None, Some(queue), _) => drift + queue,
            // Slots are a guess here: past k is also what holds more than the mean for its size.
            (None, None, Some(held)) => drift + held - usual.min(places),
            // No reports: own attempts past the paper's k of 2.
            (None, None, None) => w.waiting - 3.0,
        };
        // What others sent outweighs an old report, and one that warms up is not probed: own jobs are sure.
        let own = self.settings.is_large_fleet() || self.warmth(now, w) < 1.0;
        let queue = if own { w.waiting - slots.max(1.0) } else { queue };
        // Guards against a report that is too old to show what is out there: own attempts take their slots
        // whatever it says.
        let queue = if slots_seen > 0.0 { queue.max(w.own - slots_seen) } else { queue };
        let past = (queue + slots.max(1.0)) / places * self.run;
        // Guards against machines that crawl or share their cores: a free slot there is no gain.
        if w.slowness > SLOW { past.max(self.run / places) * w.slowness } else { past }
    }

    /// By when a job is wanted. Guards against hints in another unit: no machine is so unlike speed 1.
    fn aim(&self, p: &PendingJob) -> f64 {
        let class = &self.settings.classes[p.job.class];
        let pace = self.pace.beside(1.0, self.run);
        let stretch = class.stretch * pace / pace.clamp(0.4, 2.5);
        (p.came + class.latency_objective) as f64 + stretch * self.work(&p.job)
    }

    /// How long own attempts at a worker keep a job waiting that is sent now: they take its slots in order.
    fn own_wait(&self, now: Micros, i: usize) -> (f64, f64) {
        let (w, pace) = (&self.workers[i], self.pace(i));
        let mut free = [0.0_f64; MOST];
        let slots = (self.kinds[usize::from(w.member.kind)].slots as usize).clamp(1, MOST);
        let first = |free: &[f64]| (0..slots).min_by(|&a, &b| free[a].total_cmp(&free[b])).unwrap_or(0);
        for o in &w.out {
            let ran = o.since.map_or(0, |since| now - since) as f64;
            free[first(&free)] += (o.work * pace - ran).max(o.work * pace * OVERRUN);
        }
        (free[first(&free)], free.iter().sum::<f64>() / slots as f64)
    }

    /// How long others' jobs at a worker keep one waiting: as last seen there, which fades to what is usual,
    /// or as an own attempt that has not started shows. What is usual fades while no start is told: guards
    /// against refusing all for a wait that is over.
    fn lag(&self, now: Micros, i: usize) -> f64 {
        let (w, faded) = (&self.workers[i], |at: Micros| (-((now - at) as f64) / self.run).exp());
        let waits = w.out.iter().find(|o| o.since.is_none());
        let silent = waits.map_or(0.0, |o| (now - o.sent) as f64 - o.expected);
        let usual = self.lag * faded(self.seen);
        (usual + (w.lag - usual) * faded(w.lag_at)).max(silent)
    }

    /// Takes in a worker's report.
    fn read(&mut self, now: Micros, id: EndpointId, report: &LoadReport) {
        let Some(&i) = self.index.get(&id).filter(|_| *report != LoadReport::default()) else { return };
        let w = &mut self.workers[i];
        if *report != w.report {
            w.drift = 0.0;
        }
        (w.report, w.read) = (*report, now);
        let held = report.held.unwrap_or(0.0) / w.member.size;
        self.pressure += if self.pressure > 0.0 { GAIN * (held - self.pressure) } else { held };
        let kind = &mut self.kinds[usize::from(w.member.kind)];
        if let Some(free) = report.free_slots.filter(|&free| free >= 1.0) {
            kind.slots = kind.slots.max(free.round());
        }
    }

    fn probed(
        &mut self,
        now: Micros,
        id: EndpointId,
        answered: bool,
        latency: Micros,
        out: &mut Vec<Action>,
    ) {
        let Some(&i) = self.index.get(&id) else { return };
        let asked = self.workers[i].asked.take();
        if answered {
            let zone = usize::from(self.workers[i].member.zone);
            if self.prompt.len() <= zone {
                self.prompt.resize(zone + 1, 0.0);
            }
            // One that warms up is as slow as it is cold, and gets its part by that already.
            let latency = latency as f64 * self.warmth(now, &self.workers[i]);
            self.workers[i].slowness = latency / median(&mut self.prompt[zone], latency, GAIN).max(1.0);
        } else {
            self.failed(now, i);
        }
        let Some((id, p)) = asked.and_then(|id| Some((id, self.jobs.get(&id)?))) else { return };
        if answered {
            let past = self.past(now, i, p);
            self.typical += GAIN * (past - self.typical);
            let p = self.jobs.get_mut(&id).expect("just seen");
            p.best = p.best.filter(|&(least, _)| least <= past).or(Some((past, i)));
            if p.waits && past <= self.typical.min(0.0) && self.may_send(now, id, i) {
                return self.send(now, id, i, out);
            }
        }
        self.step(now, id, out);
    }

    /// A worker that failed loses its turns for a while, longer each time, and is then tried by one.
    fn failed(&mut self, now: Micros, i: usize) {
        let w = &mut self.workers[i];
        w.failures += 1;
        let rest = self.run * f64::from(1u32 << w.failures.min(4)) * (0.5 + self.rng.f64());
        w.rest = now + rest as Micros;
        // Guards against a watch that has fallen silent: a worker that fails may have left the list.
        if self.settings.must_subscribe && self.doubt <= now && !self.settings.is_large_fleet() {
            self.doubt = now + Settings::NOTIFICATION_BOUND;
            self.wakes
                .push(Reverse((now + self.rng.u64(0..=Settings::NOTIFICATION_BOUND / 12), Timer::Subscribe)));
        }
    }

    fn may_send(&self, now: Micros, id: JobId, i: usize) -> bool {
        let open = self.open(now, i);
        let Some(p) = self.jobs.get(&id).filter(|_| open) else { return false };
        let w = &self.workers[i];
        let kind = self.cycles[p.cycle].kind;
        let left = p.attempts.iter().any(|a| a.left && a.worker == i);
        !left && kind.is_none_or(|kind| kind == w.member.kind) && self.repeats(now, p, p.attempts.len(), w)
    }

    /// Whether an attempt stands now that its connection is up: until its first byte is written it can be
    /// taken back, and then it never ran.
    pub fn attempt_is_valid(&self, now: Micros, id: JobId, attempt: usize) -> bool {
        let in_time = |p: &&PendingJob| now + self.settings.quantum < p.job.deadline;
        let Some(p) = self.jobs.get(&id).filter(in_time) else { return false };
        let Some(a) = p.attempts.get(attempt).filter(|a| a.out) else { return false };
        let w = &self.workers[a.worker];
        w.ready && w.member.started_at == a.born && self.repeats(now, p, attempt, w)
    }

    /// Whether a job may run at a worker after so many of its attempts.
    fn repeats(&self, now: Micros, p: &PendingJob, after: usize, w: &EndpointState) -> bool {
        let Some(first) = p.attempts[..after].iter().find(|a| !a.never_ran) else { return true };
        match self.settings.classes[p.job.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let there = &self.workers[first.worker].member;
                let same = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => there.zone == w.member.zone,
                    DeduplicationScope::Cell => there.cell == w.member.cell,
                };
                same && now < first.sent + window
            }
        }
    }

    fn send(&mut self, now: Micros, id: JobId, i: usize, out: &mut Vec<Action>) {
        let free = self.past(now, i, &self.jobs[&id]) <= 0.0;
        let (expected, work) = (self.own_wait(now, i).0, self.work(&self.jobs[&id].job));
        let p = self.jobs.get_mut(&id).expect("it waits");
        p.waits = false;
        self.held.remove(&(p.key, id));
        let class = &self.settings.classes[p.job.class];
        let frees = self.settings.capabilities.may_cancel && self.settings.capabilities.cancel_frees_slot;
        if self.settings.reports_start && frees && class.idempotency == Idempotency::Idempotent {
            let patience = if self.settings.is_large_fleet() && p.attempts.len() < QUICK {
                class.latency_objective / 10
            } else {
                class.latency_objective
            };
            self.wakes.push(Reverse((now + patience, Timer::Unheard(id, p.attempts.len()))));
        }
        let (w, attempt) = (&mut self.workers[i], p.attempts.len());
        p.attempts.push(Attempt::new(i, now, w.member.started_at, free));
        w.out.push(InFlightAttempt { job: id, attempt, sent: now, since: None, work, expected });
        w.waiting += 1.0;
        w.drift += p.job.slots.max(1.0);
        w.own += p.job.slots.max(1.0);
        w.budget -= 1.0;
        out.push(Action::Send { job: id, endpoint: w.member.id });
    }

    fn ended(&mut self, now: Micros, e: &AttemptEnd, out: &mut Vec<Action>) {
        let Some(&i) = self.index.get(&e.endpoint) else { return };
        match e.outcome {
            Outcome::Served => self.workers[i].failures = 0,
            // Guards against sending on and on to a worker whose report, still old, shows room.
            Outcome::Full if self.settings.stale_reports() => self.workers[i].rest = now + self.run as Micros,
            Outcome::Full => self.workers[i].drift += FULL,
            Outcome::Error | Outcome::Unreachable | Outcome::Reset => self.failed(now, i),
            _ => {}
        }
        if let Some(p) = self.jobs.get_mut(&e.job)
            && let Some(a) = p.attempts.get_mut(e.attempt)
        {
            if a.free && e.outcome == Outcome::Served {
                self.run += GAIN * (e.latency as f64 - self.run);
            }
            a.never_ran = e.outcome.never_ran();
            let w = &mut self.workers[i];
            if let Some((run, work)) = w.ran(now, e.job, e.attempt).filter(|_| e.outcome == Outcome::Served) {
                let paces = [&mut w.pace, &mut self.kinds[usize::from(w.member.kind)].pace, &mut self.pace];
                paces.into_iter().for_each(|pace| pace.add(run, work));
                self.usual[p.job.class] += GAIN * (run - self.usual[p.job.class]);
            }
            w.give_back(a, e.job, e.attempt, p.job.slots);
            if e.finished {
                self.end(e.job, out);
            } else if !p.waits && !p.attempts.iter().any(|a| a.out) {
                // Guards against one bad job that is sent to worker after worker.
                if e.outcome == Outcome::Unfit {
                    out.push(Action::Fail { job: e.job });
                    return self.end(e.job, out);
                }
                let repeat = self.settings.classes[p.job.class].idempotency;
                let unsafe_now = repeat == Idempotency::NotIdempotent && p.may_have_run().is_some();
                let spent = p.attempts.len() >= self.settings.capabilities.max_attempts;
                if unsafe_now || spent || now + self.settings.quantum >= p.job.deadline {
                    self.give_up(e.job, out);
                } else {
                    (p.waits, p.steps, p.best) = (true, 0, None);
                    self.step(now, e.job, out);
                }
            }
        }
        if e.outcome == Outcome::Served {
            self.replace(now, i, out);
        }
    }

    /// An attempt that has not started by its aim waits behind others, or its connection or worker is silent.
    /// Guards against a wait to the deadline: where that does no harm it is called off and the job goes on.
    fn unheard(&mut self, now: Micros, id: JobId, attempt: usize, out: &mut Vec<Action>) {
        let Some(p) = self.jobs.get_mut(&id).filter(|p| !p.streaming) else { return };
        let others = self.cycles[p.cycle].order.len() > 1;
        let spent = p.attempts.len() >= self.settings.capabilities.max_attempts || !others;
        let Some(a) = p.attempts.get_mut(attempt).filter(|a| a.out && !a.started && !spent) else { return };
        self.workers[a.worker].leave(a, id, attempt, p.job.slots);
        (a.left, p.waits, p.steps, p.best) = (true, true, 0, None);
        out.push(Action::Cancel { job: id, attempt });
        self.step(now, id, out);
    }

    fn started(&mut self, now: Micros, id: JobId, attempt: usize) {
        let Some(p) = self.jobs.get_mut(&id) else { return };
        let Some(a) = p.attempts.get_mut(attempt).filter(|a| a.out && !a.started) else { return };
        a.started = true;
        let w = &mut self.workers[a.worker];
        w.waiting -= 1.0;
        let runs = w.start(now, id, attempt);
        (self.lag, self.seen) = (self.lag + GAIN * (w.lag - self.lag), now);
        let kind = &mut self.kinds[usize::from(w.member.kind)];
        kind.slots = if self.settings.lacks_load_reports() { kind.slots.max(runs) } else { kind.slots };
    }

    /// Ends a job unserved: by a refusal where that is allowed, else by a failure.
    fn give_up(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(p) = self.jobs.get(&id) else { return };
        let harmless = match self.settings.classes[p.job.class].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => true,
            _ => p.may_have_run().is_none(),
        };
        let refusal = Action::Reject { job: id, retry_after: COME_BACK };
        out.push(if harmless { refusal } else { Action::Fail { job: id } });
        self.end(id, out);
    }

    /// Forgets a job that is over and calls off what is still out for it.
    fn end(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(mut p) = self.jobs.remove(&id) else { return };
        self.held.remove(&(p.key, id));
        for (attempt, a) in p.attempts.iter_mut().enumerate().filter(|(_, a)| a.out) {
            self.workers[a.worker].give_back(a, id, attempt, p.job.slots);
            if self.settings.capabilities.may_cancel {
                out.push(Action::Cancel { job: id, attempt });
            }
        }
    }
}
