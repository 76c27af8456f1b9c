//! The simulation: runs the events, faults and policy changes of all dispatchers, and measures them.

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
use super::network::{Event, Fault, HEADER_BYTES, Links, Queue};
use super::plan::{Plan, REGIONS};
use crate::RigError;

/// Start of the simulated clock, in milliseconds.
const START_MS: f64 = 1e6;
/// Time within which all processes are started.
const START_SPREAD_MS: f64 = 500.0;
/// Time limit for the fleet to come up, and for the last changes to come into force.
const TIMEOUT_MS: f64 = 60_000.0;
/// Time until a write is synced to disk.
const SYNC_MS: f64 = 2.0;
/// Time between two proposals: 18,000 policy changes a day.
const CHANGE_INTERVAL_MS: f64 = 4800.0;
/// Time of the first proposal, and minimum time from the end of a change to the next proposal.
const MIN_REST_MS: f64 = 500.0;
/// Times before and after a proposal between which faults around it happen.
const FAULT_WINDOW_MS: (f64, f64) = (300.0, 150.0);
/// Time after which a killed process is restarted.
const RESTART_DELAY_MS: f64 = 300.0;
/// Time after which a killed leader is restarted.
const LEADER_RESTART_DELAY_MS: f64 = 5000.0;
/// Time after the end of a network cut during which a lapsed lease is excused.
const LAPSE_GRACE_MS: f64 = 3000.0;
/// Minimum time between two checks of whether a change is in force.
const CHECK_INTERVAL_MS: f64 = 5.0;

/// A policy change proposed by an operator.
struct Change {
    version: u64,
    proposer: MemberId,
    proposed_at: f64,
    in_force: Option<f64>,
}

/// State of a simulation.
pub(super) struct World<'a> {
    plan: &'a Plan,
    configs: Vec<MemberConfig>,
    now: f64,
    queue: Queue,
    links: Links,
    members: Vec<Dispatcher>,
    checker: Checker,
    rng: fastrand::Rng,
    /// Members that a scheduled fault will kill, suspend or cut off.
    fault_targets: BTreeSet<MemberId>,
    lost_zone: Option<usize>,
    healed_at: f64,
    changes: Vec<Change>,
    version: u64,
    last_proposal: f64,
    next_check: f64,
    term: LeaderTerm,
    leader_changes: u64,
    pause_worst: f64,
    lapsed: usize,
    began: f64,
    resident_before: u64,
}

fn policy(version: u64, bytes: usize) -> Vec<u8> {
    let mut text = format!("version = {version}\n").into_bytes();
    let mut rng = fastrand::Rng::with_seed(version);
    text.resize_with(bytes.max(text.len()), || rng.alphanumeric() as u8);
    text
}

impl<'a> World<'a> {
    /// Creates a simulation in which nothing has been started.
    pub(super) fn new(plan: &'a Plan) -> World<'a> {
        let configs = plan.member_configs();
        let regions = configs.iter().map(|config| plan.region(config.zone)).collect();
        World {
            configs,
            now: START_MS,
            queue: Queue::default(),
            links: Links { max_delay_ms: plan.delay_ms, lost: plan.lost, regions, cut_region: None },
            resident_before: resident_kb(),
            members: (0..plan.members).map(|_| Dispatcher::new(plan)).collect(),
            checker: Checker::default(),
            rng: fastrand::Rng::with_seed(plan.seed),
            fault_targets: BTreeSet::new(),
            lost_zone: None,
            healed_at: f64::NEG_INFINITY,
            changes: Vec::new(),
            version: 0,
            last_proposal: f64::INFINITY,
            next_check: f64::NEG_INFINITY,
            term: LeaderTerm::default(),
            leader_changes: 0,
            pause_worst: 0.0,
            lapsed: 0,
            began: START_MS,
            plan,
        }
    }

    /// Starts all dispatchers and waits until each sees all others and serves, and until any leases that the first leader does
    /// not know of have expired.
    pub(super) fn start_fleet(&mut self) -> Result<(), RigError> {
        for member in 0..self.plan.members as MemberId {
            let at = START_MS + if self.plan.aligned { 0.0 } else { self.rng.f64() * START_SPREAD_MS };
            self.queue.schedule(at, Event::Fault(Fault::Start(member)));
        }
        let end = START_MS + TIMEOUT_MS;
        while !self.members.iter().all(|member| member.front.may_serve(self.now) && member.sees_all_members())
        {
            if self.now > end {
                return Err(RigError::CheckFailed("the fleet did not come up in time".into()));
            }
            self.run_until(self.now + 100.0);
        }
        self.run_until(self.now + self.plan.lease_ms * 1.01 + 2000.0);
        Ok(())
    }

    /// Runs the plan: proposals, faults and their effects.
    pub(super) fn run_plan(&mut self) -> Result<(), RigError> {
        self.members.iter_mut().for_each(|member| member.usage = Usage::default());
        (self.began, self.leader_changes, self.pause_worst, self.lapsed) = (self.now, 0, 0.0, 0);
        self.members.iter_mut().for_each(|member| member.lapsed = false);
        let end = self.began + self.plan.seconds as f64 * 1e3;
        self.last_proposal = end - CHANGE_INTERVAL_MS;
        self.schedule_faults(end);
        if self.plan.changes {
            self.queue.schedule(self.began + MIN_REST_MS, Event::ProposeChange);
        }
        self.run_until(end);
        let timeout = end + TIMEOUT_MS;
        while self.changes.iter().any(|change| change.in_force.is_none()) && self.now < timeout {
            self.run_until(self.now + 100.0);
        }
        Ok(())
    }

    /// Schedules the faults around the expected times of the proposals; these assume that each change is in force before the
    /// next is proposed.
    fn schedule_faults(&mut self, end: f64) {
        let (plan, began) = (self.plan, self.began);
        let rounds = ((end - began) / CHANGE_INTERVAL_MS).floor().max(1.0) as usize;
        let around = |world: &mut World<'_>, round: usize| {
            let (before, after) = FAULT_WINDOW_MS;
            let proposed_at = began + MIN_REST_MS + (round % rounds) as f64 * CHANGE_INTERVAL_MS;
            proposed_at - before + world.rng.f64() * (before + after)
        };
        let mut members: Vec<MemberId> = (0..plan.members as MemberId).collect();
        self.rng.shuffle(&mut members);
        // Only `leader_lost` and `zone_lost` kill voters: with too many of them down nothing can be decided.
        members.retain(|member| !self.configs[usize::from(*member)].is_voter);
        let mut victims = members.into_iter();
        for round in 0..plan.deaths {
            let Some(member) = victims.next() else { break };
            let at = around(self, round);
            self.fault_targets.insert(member);
            self.queue.schedule(at, Event::Fault(Fault::Kill(member)));
        }
        for round in 0..plan.freezes {
            let Some(member) = victims.next() else { break };
            let at = around(self, round);
            self.fault_targets.insert(member);
            self.queue.schedule(at, Event::Fault(Fault::Freeze(member)));
            let thaw_at = at + plan.lease_ms * 1.3 + 1000.0;
            self.queue.schedule(thaw_at, Event::Fault(Fault::Thaw(member)));
        }
        for _ in 0..plan.restarts {
            let Some(member) = victims.next() else { break };
            let at = began + self.rng.f64() * (end - began);
            self.fault_targets.insert(member);
            self.queue.schedule(at, Event::Fault(Fault::Restart(member)));
        }
        if plan.leader_lost {
            let at = around(self, 1);
            self.queue.schedule(at, Event::Fault(Fault::KillLeader));
        }
        if plan.zone_lost {
            let zone = plan.zones - 1;
            let lost = (0..plan.members).filter(|at| self.configs[*at].zone == zone);
            self.fault_targets.extend(lost.map(|at| at as MemberId));
            let at = began + (end - began) / 2.0;
            self.queue.schedule(at, Event::Fault(Fault::KillZone(zone)));
        }
        if plan.regions_apart {
            let quarter = (end - began) / 4.0;
            // A proposal from a member that is cut off would reach the others only after the cut, so such members make none.
            let cut_members = (0..plan.members).filter(|at| self.links.regions[*at] == REGIONS - 1);
            self.fault_targets.extend(cut_members.map(|at| at as MemberId));
            self.queue.schedule(began + quarter, Event::Fault(Fault::Cut(REGIONS - 1)));
            self.queue.schedule(began + 3.0 * quarter, Event::Fault(Fault::Heal));
        }
    }

    /// Handles all events that are due by `end`.
    fn run_until(&mut self, end: f64) {
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
                    dispatcher.timed(|plane| plane.on_written(now, true));
                    self.run_effects(member);
                }
            }
            Event::ProposeChange => self.propose_next_version(),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn deliver(&mut self, from: MemberId, to: MemberId, bytes: Vec<u8>) {
        let dispatcher = &mut self.members[usize::from(to)];
        if dispatcher.frozen {
            return dispatcher.queue_datagram(from, bytes);
        }
        let now = self.now;
        dispatcher.usage.frames += 1;
        dispatcher.usage.bytes += bytes.len() as u64 + HEADER_BYTES;
        dispatcher.timed(|plane| plane.receive(now, from, &bytes).is_ok());
        self.run_effects(to);
    }

    fn tick(&mut self, member: MemberId, process: u64) {
        let (now, lost) = (self.now, self.lost_zone);
        let home_zone = self.configs[usize::from(member)].zone;
        let dispatcher = &mut self.members[usize::from(member)];
        if dispatcher.process != process || !dispatcher.is_running() {
            return;
        }
        self.check_serving(member);
        self.record_lapse(member);
        let dispatcher = &mut self.members[usize::from(member)];
        dispatcher.tick(now, self.plan.zones, home_zone, lost);
        if let Some(plane) = &dispatcher.control_plane {
            self.queue.schedule(plane.next_deadline().max(now + 1.0), Event::Tick { member, process });
            let term = plane.node().term();
            if term > self.term {
                self.leader_changes += u64::from(term.leader() != self.term.leader());
                self.term = term;
            }
        }
        self.run_effects(member);
        if now >= self.next_check {
            self.next_check = now + CHECK_INTERVAL_MS;
            self.check_change();
        }
    }

    /// Counts a frontend whose lease has lapsed although its process runs and is not cut off.
    fn record_lapse(&mut self, member: MemberId) {
        let now = self.now;
        let cut = self.links.cut_region == Some(self.links.regions[usize::from(member)]);
        let dispatcher = &mut self.members[usize::from(member)];
        let has_lapsed = dispatcher.front.served && now >= dispatcher.front.until;
        if has_lapsed
            && !dispatcher.lapsed
            && !dispatcher.lapse_excused
            && !cut
            && now >= self.healed_at + LAPSE_GRACE_MS
        {
            dispatcher.lapsed = true;
            self.lapsed += 1;
        }
    }

    /// Executes the effects that a dispatcher has returned, until there are no more.
    fn run_effects(&mut self, member: MemberId) {
        loop {
            let effects = self.members[usize::from(member)]
                .timed(micabeam::control_plane::ControlPlane::take_effects)
                .unwrap_or_default();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    Effect::Node(fleet::Effect::Send { to, bytes }) => self.send(member, to, bytes),
                    Effect::Node(fleet::Effect::Write(write)) => {
                        let dispatcher = &mut self.members[usize::from(member)];
                        dispatcher.write_votes(write);
                        let written = Event::Written { member, process: dispatcher.process };
                        self.queue.schedule(self.now + SYNC_MS, written);
                    }
                    Effect::Zones(_) => {}
                    Effect::Rollout(effect) => self.run_policy_effect(member, effect),
                }
            }
        }
        self.check_serving(member);
    }

    fn send(&mut self, from: MemberId, to: MemberId, bytes: Vec<u8>) {
        let usage = &mut self.members[usize::from(from)].usage;
        usage.frames += 1;
        usage.bytes += bytes.len() as u64 + HEADER_BYTES;
        if let Some(delay) = self.links.delay(from, to, &mut self.rng) {
            self.queue.schedule(self.now + delay, Event::Datagram { from, to, bytes });
        }
    }

    fn run_policy_effect(&mut self, member: MemberId, effect: rollout::Effect) {
        let now = self.now;
        let dispatcher = &mut self.members[usize::from(member)];
        match effect {
            rollout::Effect::Save(hash, bytes) => {
                dispatcher.store_policy(hash, bytes);
                dispatcher.timed(|plane| plane.with_participant(now, |part, _| part.on_saved(hash, None)));
            }
            rollout::Effect::Check(policy, _) => {
                dispatcher.timed(|plane| {
                    plane.with_participant(now, |part, _| part.on_checked(now, policy.version, None))
                });
            }
            rollout::Effect::Pause(hold) => {
                dispatcher.front.paused_since = Some(now);
                dispatcher.timed(|plane| plane.with_participant(now, |part, _| part.on_paused(now, hold)));
            }
            rollout::Effect::Resume => {
                let since = dispatcher.front.paused_since.take();
                self.pause_worst = self.pause_worst.max(now - since.unwrap_or(now));
            }
            rollout::Effect::Apply(policy, _) => dispatcher.front.version = policy.version,
            rollout::Effect::ServeUntil(until) => {
                self.record_lapse(member);
                let dispatcher = &mut self.members[usize::from(member)];
                dispatcher.front.until = until;
                (dispatcher.front.served, dispatcher.lapse_excused) = (true, false);
            }
            rollout::Effect::Decided(decision) => {
                let given_up = decision.last.filter(|last| !last.in_force).map(|last| last.version);
                self.checker.on_decision(decision.policy.version, given_up);
            }
        }
    }

    /// Checks what a frontend may serve at this moment.
    fn check_serving(&mut self, member: MemberId) {
        let front = self.members[usize::from(member)].front.clone();
        if self.members[usize::from(member)].is_running() && front.may_serve(self.now) {
            let all = self.members.iter().filter(|other| other.is_running()).map(|other| &other.front);
            self.checker.on_serving(self.now, &front, all);
        }
    }

    /// Proposes the next version at a random dispatcher that is running and that no fault will affect.
    fn propose_next_version(&mut self) {
        let is_candidate = |member: &MemberId| {
            let at = usize::from(*member);
            let cut = self.links.cut_region == Some(self.links.regions[at]);
            let excluded = self.fault_targets.contains(member) || self.configs[at].is_voter;
            self.members[at].is_running() && !cut && !excluded
        };
        let candidates: Vec<MemberId> = (0..self.plan.members as MemberId).filter(is_candidate).collect();
        let Some(&proposer) = self.rng.choice(&candidates) else { return };
        self.version += 1;
        self.changes.push(Change { version: self.version, proposer, proposed_at: self.now, in_force: None });
        self.propose(proposer, self.version);
    }

    fn propose(&mut self, proposer: MemberId, version: u64) {
        let (now, bytes) = (self.now, policy(version, self.plan.policy_bytes));
        let dispatcher = &mut self.members[usize::from(proposer)];
        let propose_version = |part: &mut rollout::Participant, node: &mut fleet::FleetNode| {
            part.propose(now, node, version, &bytes)
        };
        dispatcher.timed(|plane| plane.with_participant(now, propose_version));
        self.run_effects(proposer);
    }

    /// Checks whether the newest change is in force at every serving dispatcher, or was abandoned.
    fn check_change(&mut self) {
        let now = self.now;
        let Some(change) = self.changes.last().filter(|change| change.in_force.is_none()) else { return };
        let (version, proposer) = (change.version, change.proposer);
        if self.checker.was_given_up(version) {
            // The operator corrects the file and proposes it as the next version.
            self.version += 1;
            if let Some(change) = self.changes.last_mut() {
                change.version = self.version;
            }
            return self.propose(proposer, self.version);
        }
        let running = || self.members.iter().filter(|member| member.is_running());
        let has_version =
            |member: &&Dispatcher| member.front.version == version && member.front.may_serve(now);
        let lease_ended = |member: &&Dispatcher| now >= member.front.until;
        let up_to_date = running().filter(has_version).count();
        if up_to_date * 2 < self.plan.members
            || running().any(|member| !has_version(&member) && !lease_ended(&member))
        {
            return;
        }
        if let Some(change) = self.changes.last_mut() {
            change.in_force = Some(now);
            let next = (change.proposed_at + CHANGE_INTERVAL_MS).max(now + MIN_REST_MS);
            if next <= self.last_proposal {
                self.queue.schedule(next, Event::ProposeChange);
            }
        }
    }

    fn fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill(member) => self.members[usize::from(member)].kill(),
            Fault::Restart(member) => {
                self.members[usize::from(member)].kill();
                self.queue.schedule(now + RESTART_DELAY_MS, Event::Fault(Fault::Start(member)));
            }
            Fault::Start(member) => {
                let seed = self.rng.u64(..);
                let dispatcher = &mut self.members[usize::from(member)];
                dispatcher.start(self.plan, &self.configs, member, now, seed);
                let process = dispatcher.process;
                self.queue.schedule(now, Event::Tick { member, process });
            }
            Fault::Freeze(member) => self.members[usize::from(member)].frozen = true,
            Fault::Thaw(member) => self.thaw(member),
            Fault::KillLeader => {
                let leader = self.members.iter().filter(|member| member.is_running()).find_map(|member| {
                    let node = member.control_plane.as_ref()?.node();
                    (node.term() == self.term).then(|| node.leader())?
                });
                if let Some(leader) = leader {
                    self.members[usize::from(leader)].kill();
                    self.queue.schedule(now + LEADER_RESTART_DELAY_MS, Event::Fault(Fault::Start(leader)));
                }
            }
            Fault::KillZone(zone) => {
                self.lost_zone = Some(zone);
                for at in (0..self.plan.members).filter(|at| self.configs[*at].zone == zone) {
                    self.members[at].kill();
                }
            }
            Fault::Cut(region) => {
                self.links.cut_region = Some(region);
                for at in (0..self.plan.members).filter(|at| self.links.regions[*at] == region) {
                    self.members[at].lapse_excused = true;
                }
            }
            Fault::Heal => (self.links.cut_region, self.healed_at) = (None, now),
        }
    }

    /// Resumes a suspended dispatcher: first its frontend serves, then it receives the datagrams queued in its socket.
    fn thaw(&mut self, member: MemberId) {
        let dispatcher = &mut self.members[usize::from(member)];
        if dispatcher.control_plane.is_none() || !dispatcher.frozen {
            return;
        }
        (dispatcher.frozen, dispatcher.lapse_excused) = (false, true);
        let (queued, process) = (std::mem::take(&mut dispatcher.queued), dispatcher.process);
        self.check_serving(member);
        for (from, bytes) in queued {
            self.deliver(from, member, bytes);
        }
        self.queue.schedule(self.now, Event::Tick { member, process });
    }

    /// Returns the figures of the run.
    pub(super) fn figures(&self, lists: &ListFigures) -> Figures {
        let seconds = (self.now - self.began) / 1e3;
        let surviving: Vec<usize> =
            (0..self.plan.members).filter(|at| self.members[*at].up_since <= self.began).collect();
        let leader = self.term.leader().map(|voter| voter as usize);
        let voters: Vec<usize> = (0..self.plan.members).filter(|at| self.configs[*at].is_voter).collect();
        let leader = leader.and_then(|voter| voters.get(voter - 1).copied());
        let mean = |list: &[usize], metric: &dyn Fn(&Usage) -> f64| {
            list.iter().map(|at| metric(&self.members[*at].usage)).sum::<f64>()
                / list.len().max(1) as f64
                / seconds
        };
        let highest = |metric: &dyn Fn(&Usage) -> f64| {
            let each = surviving.iter().map(|at| metric(&self.members[*at].usage));
            each.fold(0.0, f64::max) / seconds
        };
        let bytes = |usage: &Usage| usage.bytes as f64;
        let frames = |usage: &Usage| usage.frames as f64;
        let cpu_time = |usage: &Usage| usage.cpu_time.as_secs_f64() * 1e3;
        let non_voters: Vec<usize> =
            surviving.iter().copied().filter(|at| !self.configs[*at].is_voter).collect();
        let is_follower = |at: &usize| self.configs[*at].is_voter && Some(*at) != leader;
        let followers: Vec<usize> = surviving.iter().copied().filter(is_follower).collect();
        let mut change_times: Vec<f64> =
            self.changes.iter().filter_map(|change| Some(change.in_force? - change.proposed_at)).collect();
        change_times.sort_by(f64::total_cmp);
        let counts =
            self.members.iter().filter_map(|m| Some(m.control_plane.as_ref()?.node().counters().stale));
        Figures {
            members: self.plan.members,
            workers: self.plan.workers,
            member_bytes_s: mean(&non_voters, &bytes),
            busiest_bytes_s: highest(&bytes),
            busiest_frames_s: highest(&frames),
            busiest_cpu_ms_s: highest(&cpu_time),
            member_cpu_ms_s: mean(&non_voters, &cpu_time),
            state_kb: resident_kb().saturating_sub(self.resident_before) / self.plan.members as u64,
            changes: change_times.len(),
            change_ms_p50: change_times.get(change_times.len() / 2).copied().unwrap_or(0.0),
            change_ms_worst: change_times.last().copied().unwrap_or(0.0),
            dropped_workers: lists.dropped,
            half_applied: self.checker.half_applied,
            old_after_new: self.checker.old_after_new,
            voter_bytes_s: mean(&followers, &bytes),
            leader_changes: self.leader_changes,
            lapsed: self.lapsed,
            pause_ms_worst: self.pause_worst,
            given_up: self.checker.given_up(),
            unfinished: self.changes.len() - change_times.len(),
            stale: counts.sum(),
        }
    }
}
