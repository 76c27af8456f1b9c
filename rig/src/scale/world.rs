//! The hollow dispatchers among each other: what is due, faults, changes of policy, and what is measured.

use std::collections::BTreeSet;

use micabeam::consensus::LeaderTerm;
use micabeam::control_plane::Effect;
use micabeam::fleet::{self, MemberConfig, MemberId};
use micabeam::rollout;

use super::checker::Checker;
use super::dispatcher::{Dispatcher, Usage};
use super::figures::Figures;
use super::lists::ListFigures;
use super::memory::resident_kb;
use super::network::{Event, Fault, HEADERS, Links, Queue};
use super::plan::{Plan, REGIONS};
use crate::RigError;

/// When the set clock begins, in milliseconds.
const START: f64 = 1e6;
/// All processes are started within this time.
const STARTS: f64 = 500.0;
/// How long the fleet has to come up, and a change to come in force.
const PATIENCE: f64 = 60_000.0;
/// A write is synced after so long.
const SYNC: f64 = 2.0;
/// Time between two wishes: 18,000 changes a day.
const CHANGE_EVERY: f64 = 4800.0;
/// The first wish, and the least time from the end of a change to the next wish.
const REST: f64 = 500.0;
/// Faults around a change come from so long before its wish to so long after.
const AROUND: (f64, f64) = (300.0, 150.0);
/// A process that was killed, and is to come back, is started after this time.
const RESTART: f64 = 300.0;
/// A leader that was killed is started after this time.
const LEADER_BACK: f64 = 5000.0;
/// After a cut is mended, so long passes before a lease that ran out counts against the fleet.
const MENDED: f64 = 3000.0;
/// Time between two looks at whether a change is in force.
const LOOK: f64 = 5.0;

/// A wish of an operator.
struct Change {
    version: u64,
    at: MemberId,
    wanted: f64,
    in_force: Option<f64>,
}

/// The world of a run.
pub(super) struct World<'a> {
    plan: &'a Plan,
    places: Vec<MemberConfig>,
    now: f64,
    queue: Queue,
    links: Links,
    members: Vec<Dispatcher>,
    checker: Checker,
    draws: fastrand::Rng,
    /// Members that a fault is going to end or stop.
    doomed: BTreeSet<MemberId>,
    lost_zone: Option<usize>,
    healed: f64,
    changes: Vec<Change>,
    version: u64,
    last_wish: f64,
    next_look: f64,
    term: LeaderTerm,
    leader_changes: u64,
    pause_worst: f64,
    lapsed: usize,
    began: f64,
    resident_before: u64,
}

fn policy(version: u64, bytes: usize) -> Vec<u8> {
    let mut text = format!("version = {version}\n").into_bytes();
    let mut draws = fastrand::Rng::with_seed(version);
    text.resize_with(bytes.max(text.len()), || draws.alphanumeric() as u8);
    text
}

impl<'a> World<'a> {
    /// A world in which nothing has been started.
    pub(super) fn new(plan: &'a Plan) -> World<'a> {
        let places = plan.places();
        let regions = places.iter().map(|place| plan.region(place.zone)).collect();
        World {
            places,
            now: START,
            queue: Queue::default(),
            links: Links { longest: plan.delay_ms, lost: plan.lost, regions, apart: None },
            resident_before: resident_kb(),
            members: (0..plan.members).map(|_| Dispatcher::new(plan)).collect(),
            checker: Checker::default(),
            draws: fastrand::Rng::with_seed(plan.seed),
            doomed: BTreeSet::new(),
            lost_zone: None,
            healed: f64::NEG_INFINITY,
            changes: Vec::new(),
            version: 0,
            last_wish: f64::INFINITY,
            next_look: f64::NEG_INFINITY,
            term: LeaderTerm::default(),
            leader_changes: 0,
            pause_worst: 0.0,
            lapsed: 0,
            began: START,
            plan,
        }
    }

    /// Starts all dispatchers, and waits until all know of all, all serve, and the first leader has no unknown leases to
    /// wait for.
    pub(super) fn join(&mut self) -> Result<(), RigError> {
        for member in 0..self.plan.members as MemberId {
            let at = START + if self.plan.aligned { 0.0 } else { self.draws.f64() * STARTS };
            self.queue.schedule(at, Event::Fault(Fault::Start(member)));
        }
        let end = START + PATIENCE;
        while !self.members.iter().all(|member| member.front.may_serve(self.now) && member.knows_all()) {
            if self.now > end {
                return Err(RigError::CheckFailed("the fleet does not come up".into()));
            }
            self.run(self.now + 100.0);
        }
        self.run(self.now + self.plan.lease_ms * 1.01 + 2000.0);
        Ok(())
    }

    /// Plays the run: wishes, faults, and what comes of them.
    pub(super) fn play(&mut self) -> Result<(), RigError> {
        self.members.iter_mut().for_each(|member| member.usage = Usage::default());
        (self.began, self.leader_changes, self.pause_worst, self.lapsed) = (self.now, 0, 0.0, 0);
        self.members.iter_mut().for_each(|member| member.lapsed = false);
        let end = self.began + self.plan.seconds as f64 * 1e3;
        self.last_wish = end - CHANGE_EVERY;
        self.plan_faults(end);
        if self.plan.changes {
            self.queue.schedule(self.began + REST, Event::Want);
        }
        self.run(end);
        let patience = end + PATIENCE;
        while self.changes.iter().any(|change| change.in_force.is_none()) && self.now < patience {
            self.run(self.now + 100.0);
        }
        Ok(())
    }

    /// Faults, around the times at which changes are wanted where each is in force before the next.
    fn plan_faults(&mut self, end: f64) {
        let (plan, began) = (self.plan, self.began);
        let rounds = ((end - began) / CHANGE_EVERY).floor().max(1.0) as usize;
        let around = |world: &mut World<'_>, round: usize| {
            let (before, after) = AROUND;
            let wish = began + REST + (round % rounds) as f64 * CHANGE_EVERY;
            wish - before + world.draws.f64() * (before + after)
        };
        let mut members: Vec<MemberId> = (0..plan.members as MemberId).collect();
        self.draws.shuffle(&mut members);
        // Voters are killed by `leader_lost` and `zone_lost` alone: with too many of them gone nothing is decided.
        members.retain(|member| !self.places[usize::from(*member)].is_voter);
        let mut victims = members.into_iter();
        for round in 0..plan.deaths {
            let Some(member) = victims.next() else { break };
            let at = around(self, round);
            self.doomed.insert(member);
            self.queue.schedule(at, Event::Fault(Fault::Kill(member)));
        }
        for round in 0..plan.freezes {
            let Some(member) = victims.next() else { break };
            let at = around(self, round);
            self.doomed.insert(member);
            self.queue.schedule(at, Event::Fault(Fault::Freeze(member)));
            let thaws = at + plan.lease_ms * 1.3 + 1000.0;
            self.queue.schedule(thaws, Event::Fault(Fault::Thaw(member)));
        }
        for _ in 0..plan.restarts {
            let Some(member) = victims.next() else { break };
            let at = began + self.draws.f64() * (end - began);
            self.doomed.insert(member);
            self.queue.schedule(at, Event::Fault(Fault::Restart(member)));
        }
        if plan.leader_lost {
            let at = around(self, 1);
            self.queue.schedule(at, Event::Fault(Fault::KillLeader));
        }
        if plan.zone_lost {
            let zone = plan.zones - 1;
            let lost = (0..plan.members).filter(|at| self.places[*at].zone == zone);
            self.doomed.extend(lost.map(|at| at as MemberId));
            let at = began + (end - began) / 2.0;
            self.queue.schedule(at, Event::Fault(Fault::KillZone(zone)));
        }
        if plan.regions_apart {
            let quarter = (end - began) / 4.0;
            // What is wanted at a member that is cut off is heard of when the cut is mended.
            let apart = (0..plan.members).filter(|at| self.links.regions[*at] == REGIONS - 1);
            self.doomed.extend(apart.map(|at| at as MemberId));
            self.queue.schedule(began + quarter, Event::Fault(Fault::Cut(REGIONS - 1)));
            self.queue.schedule(began + 3.0 * quarter, Event::Fault(Fault::Heal));
        }
    }

    /// Does all that is due until then.
    fn run(&mut self, end: f64) {
        while let Some((at, event)) = self.queue.next(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Datagram { from, to, bytes } => self.deliver(from, to, bytes),
            Event::Tick { member, process } => self.tick(member, process),
            Event::Written { member, process } => {
                let dispatcher = &mut self.members[usize::from(member)];
                if dispatcher.process == process {
                    let now = self.now;
                    dispatcher.work(|shared| shared.on_written(now, true));
                    self.carry_out(member);
                }
            }
            Event::Want => self.want(),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn deliver(&mut self, from: MemberId, to: MemberId, bytes: Vec<u8>) {
        let dispatcher = &mut self.members[usize::from(to)];
        if dispatcher.frozen {
            return dispatcher.keep_waiting(from, bytes);
        }
        let now = self.now;
        dispatcher.usage.frames += 1;
        dispatcher.usage.bytes += bytes.len() as u64 + HEADERS;
        dispatcher.work(|shared| shared.receive(now, from, &bytes).is_ok());
        self.carry_out(to);
    }

    fn tick(&mut self, member: MemberId, process: u64) {
        let (now, lost) = (self.now, self.lost_zone);
        let home = self.places[usize::from(member)].zone;
        let dispatcher = &mut self.members[usize::from(member)];
        if dispatcher.process != process || !dispatcher.runs() {
            return;
        }
        self.serve(member);
        self.note_lapse(member);
        let dispatcher = &mut self.members[usize::from(member)];
        dispatcher.tick(now, self.plan.zones, home, lost);
        if let Some(shared) = &dispatcher.shared {
            self.queue.schedule(shared.next_deadline().max(now + 1.0), Event::Tick { member, process });
            let term = shared.node().term();
            if term > self.term {
                self.leader_changes += u64::from(term.leader() != self.term.leader());
                self.term = term;
            }
        }
        self.carry_out(member);
        if now >= self.next_look {
            self.next_look = now + LOOK;
            self.look();
        }
    }

    /// Notes a front that runs, is not cut off, and has let its lease run out.
    fn note_lapse(&mut self, member: MemberId) {
        let now = self.now;
        let cut = self.links.apart == Some(self.links.regions[usize::from(member)]);
        let dispatcher = &mut self.members[usize::from(member)];
        let lapses = dispatcher.front.served && now >= dispatcher.front.until;
        if lapses && !dispatcher.lapsed && !dispatcher.excused && !cut && now >= self.healed + MENDED {
            dispatcher.lapsed = true;
            self.lapsed += 1;
        }
    }

    /// Carries out what a dispatcher gave out, until nothing follows from it.
    fn carry_out(&mut self, member: MemberId) {
        loop {
            let effects = self.members[usize::from(member)]
                .work(micabeam::control_plane::ControlPlane::take_effects)
                .unwrap_or_default();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    Effect::Node(fleet::Effect::Send { to, bytes }) => self.send(member, to, bytes),
                    Effect::Node(fleet::Effect::Write(write)) => {
                        let dispatcher = &mut self.members[usize::from(member)];
                        dispatcher.write(write);
                        let written = Event::Written { member, process: dispatcher.process };
                        self.queue.schedule(self.now + SYNC, written);
                    }
                    Effect::Zones(_) => {}
                    Effect::Rollout(effect) => self.carry_out_policy(member, effect),
                }
            }
        }
        self.serve(member);
    }

    fn send(&mut self, from: MemberId, to: MemberId, bytes: Vec<u8>) {
        let usage = &mut self.members[usize::from(from)].usage;
        usage.frames += 1;
        usage.bytes += bytes.len() as u64 + HEADERS;
        if let Some(delay) = self.links.delay(from, to, &mut self.draws) {
            self.queue.schedule(self.now + delay, Event::Datagram { from, to, bytes });
        }
    }

    fn carry_out_policy(&mut self, member: MemberId, effect: rollout::Effect) {
        let now = self.now;
        let dispatcher = &mut self.members[usize::from(member)];
        match effect {
            rollout::Effect::Save(hash, bytes) => {
                dispatcher.save(hash, bytes);
                dispatcher.work(|shared| shared.with_participant(now, |part, _| part.on_saved(hash, None)));
            }
            rollout::Effect::Check(policy, _) => {
                dispatcher.work(|shared| {
                    shared.with_participant(now, |part, _| part.on_checked(now, policy.version, None))
                });
            }
            rollout::Effect::Pause(hold) => {
                dispatcher.front.held_since = Some(now);
                dispatcher.work(|shared| shared.with_participant(now, |part, _| part.on_paused(now, hold)));
            }
            rollout::Effect::Resume => {
                let since = dispatcher.front.held_since.take();
                self.pause_worst = self.pause_worst.max(now - since.unwrap_or(now));
            }
            rollout::Effect::Apply(policy, _) => dispatcher.front.version = policy.version,
            rollout::Effect::ServeUntil(until) => {
                self.note_lapse(member);
                let dispatcher = &mut self.members[usize::from(member)];
                dispatcher.front.until = until;
                (dispatcher.front.served, dispatcher.excused) = (true, false);
            }
            rollout::Effect::Decided(decision) => {
                let given_up = decision.last.filter(|last| !last.in_force).map(|last| last.version);
                self.checker.decided(decision.policy.version, given_up);
            }
        }
    }

    /// A front serves what it may at this moment.
    fn serve(&mut self, member: MemberId) {
        let front = self.members[usize::from(member)].front.clone();
        if self.members[usize::from(member)].runs() && front.may_serve(self.now) {
            let all = self.members.iter().filter(|other| other.runs()).map(|other| &other.front);
            self.checker.serves(self.now, &front, all);
        }
    }

    /// An operator wants the next version, at a dispatcher that is there and goes on.
    fn want(&mut self) {
        let able = |member: &MemberId| {
            let at = usize::from(*member);
            let cut = self.links.apart == Some(self.links.regions[at]);
            let away = self.doomed.contains(member) || self.places[at].is_voter;
            self.members[at].runs() && !cut && !away
        };
        let able: Vec<MemberId> = (0..self.plan.members as MemberId).filter(able).collect();
        let Some(&at) = self.draws.choice(&able) else { return };
        self.version += 1;
        self.changes.push(Change { version: self.version, at, wanted: self.now, in_force: None });
        self.wish(at, self.version);
    }

    fn wish(&mut self, at: MemberId, version: u64) {
        let (now, bytes) = (self.now, policy(version, self.plan.policy_bytes));
        let dispatcher = &mut self.members[usize::from(at)];
        let wants = |part: &mut rollout::Participant, node: &mut fleet::FleetNode| {
            part.propose(now, node, version, &bytes)
        };
        dispatcher.work(|shared| shared.with_participant(now, wants));
        self.carry_out(at);
    }

    /// Looks whether the newest change is in force at all that serve, or was given up.
    fn look(&mut self) {
        let now = self.now;
        let Some(change) = self.changes.last().filter(|change| change.in_force.is_none()) else { return };
        let (version, at) = (change.version, change.at);
        if self.checker.was_given_up(version) {
            // The operator mends the file and wants it under the next version.
            self.version += 1;
            if let Some(change) = self.changes.last_mut() {
                change.version = self.version;
            }
            return self.wish(at, self.version);
        }
        let running = || self.members.iter().filter(|member| member.runs());
        let runs_it = |member: &&Dispatcher| member.front.version == version && member.front.may_serve(now);
        let silent = |member: &&Dispatcher| now >= member.front.until;
        let runs = running().filter(runs_it).count();
        if runs * 2 < self.plan.members || running().any(|member| !runs_it(&member) && !silent(&member)) {
            return;
        }
        if let Some(change) = self.changes.last_mut() {
            change.in_force = Some(now);
            let next = (change.wanted + CHANGE_EVERY).max(now + REST);
            if next <= self.last_wish {
                self.queue.schedule(next, Event::Want);
            }
        }
    }

    fn fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill(member) => self.members[usize::from(member)].kill(),
            Fault::Restart(member) => {
                self.members[usize::from(member)].kill();
                self.queue.schedule(now + RESTART, Event::Fault(Fault::Start(member)));
            }
            Fault::Start(member) => {
                let seed = self.draws.u64(..);
                let dispatcher = &mut self.members[usize::from(member)];
                dispatcher.start(self.plan, &self.places, member, now, seed);
                let process = dispatcher.process;
                self.queue.schedule(now, Event::Tick { member, process });
            }
            Fault::Freeze(member) => self.members[usize::from(member)].frozen = true,
            Fault::Thaw(member) => self.thaw(member),
            Fault::KillLeader => {
                let leader = self.members.iter().filter(|member| member.runs()).find_map(|member| {
                    let node = member.shared.as_ref()?.node();
                    (node.term() == self.term).then(|| node.leader())?
                });
                if let Some(leader) = leader {
                    self.members[usize::from(leader)].kill();
                    self.queue.schedule(now + LEADER_BACK, Event::Fault(Fault::Start(leader)));
                }
            }
            Fault::KillZone(zone) => {
                self.lost_zone = Some(zone);
                for at in (0..self.plan.members).filter(|at| self.places[*at].zone == zone) {
                    self.members[at].kill();
                }
            }
            Fault::Cut(region) => {
                self.links.apart = Some(region);
                for at in (0..self.plan.members).filter(|at| self.links.regions[*at] == region) {
                    self.members[at].excused = true;
                }
            }
            Fault::Heal => (self.links.apart, self.healed) = (None, now),
        }
    }

    /// One that stood still goes on: its front first, then what waits in its socket.
    fn thaw(&mut self, member: MemberId) {
        let dispatcher = &mut self.members[usize::from(member)];
        if dispatcher.shared.is_none() || !dispatcher.frozen {
            return;
        }
        (dispatcher.frozen, dispatcher.excused) = (false, true);
        let (waiting, process) = (std::mem::take(&mut dispatcher.waiting), dispatcher.process);
        self.serve(member);
        for (from, bytes) in waiting {
            self.deliver(from, member, bytes);
        }
        self.queue.schedule(self.now, Event::Tick { member, process });
    }

    /// What the run came to.
    pub(super) fn figures(&self, lists: &ListFigures) -> Figures {
        let seconds = (self.now - self.began) / 1e3;
        let lasting: Vec<usize> =
            (0..self.plan.members).filter(|at| self.members[*at].up_since <= self.began).collect();
        let leader = self.term.leader().map(|voter| voter as usize);
        let voters: Vec<usize> = (0..self.plan.members).filter(|at| self.places[*at].is_voter).collect();
        let leader = leader.and_then(|voter| voters.get(voter - 1).copied());
        let mean = |list: &[usize], of: &dyn Fn(&Usage) -> f64| {
            list.iter().map(|at| of(&self.members[*at].usage)).sum::<f64>()
                / list.len().max(1) as f64
                / seconds
        };
        let most = |of: &dyn Fn(&Usage) -> f64| {
            let each = lasting.iter().map(|at| of(&self.members[*at].usage));
            each.fold(0.0, f64::max) / seconds
        };
        let bytes = |usage: &Usage| usage.bytes as f64;
        let frames = |usage: &Usage| usage.frames as f64;
        let busy = |usage: &Usage| usage.busy.as_secs_f64() * 1e3;
        let plain: Vec<usize> = lasting.iter().copied().filter(|at| !self.places[*at].is_voter).collect();
        let following = |at: &usize| self.places[*at].is_voter && Some(*at) != leader;
        let followers: Vec<usize> = lasting.iter().copied().filter(following).collect();
        let mut spans: Vec<f64> =
            self.changes.iter().filter_map(|change| Some(change.in_force? - change.wanted)).collect();
        spans.sort_by(f64::total_cmp);
        let counts =
            self.members.iter().filter_map(|member| Some(member.shared.as_ref()?.node().counters().stale));
        Figures {
            members: self.plan.members,
            workers: self.plan.workers,
            member_bytes_s: mean(&plain, &bytes),
            busiest_bytes_s: most(&bytes),
            busiest_frames_s: most(&frames),
            busiest_cpu_ms_s: most(&busy),
            member_cpu_ms_s: mean(&plain, &busy),
            state_kb: resident_kb().saturating_sub(self.resident_before) / self.plan.members as u64,
            changes: spans.len(),
            change_ms_p50: spans.get(spans.len() / 2).copied().unwrap_or(0.0),
            change_ms_worst: spans.last().copied().unwrap_or(0.0),
            dropped_workers: lists.dropped,
            half_applied: self.checker.half_applied,
            old_after_new: self.checker.old_after_new,
            voter_bytes_s: mean(&followers, &bytes),
            leader_changes: self.leader_changes,
            lapsed: self.lapsed,
            pause_ms_worst: self.pause_worst,
            given_up: self.checker.given_up(),
            unfinished: self.changes.len() - spans.len(),
            stale: counts.sum(),
        }
    }
}
