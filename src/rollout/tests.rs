//! Members and their fronts over a network on a set clock. At each step every front that may serve does, and what it
//! runs is set beside what ran before anywhere.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;

use super::*;
use crate::consensus::{Write, file};
use crate::control_plane::{self, ControlPlane};
use crate::fleet::{self, MemberConfig, MemberId as At};

const MEMBERS: usize = 5;
const LEASE: f64 = 2000.0;

/// A front as the part sees it.
#[derive(Default)]
struct Front {
    version: u64,
    holds: bool,
    until: f64,
    /// Since when it holds.
    since: f64,
}

struct World {
    now: f64,
    nodes: BTreeMap<At, ControlPlane>,
    fronts: BTreeMap<At, Front>,
    frozen: BTreeSet<At>,
    disks: BTreeMap<At, Vec<u8>>,
    documents: BTreeMap<At, Vec<Vec<u8>>>,
    under_way: Vec<(f64, u64, At, At, Vec<u8>)>,
    sent: u64,
    cut: BTreeSet<(At, At)>,
    loss: f64,
    draws: fastrand::Rng,
    /// Fronts that say no, and to which version.
    refuse: BTreeSet<(At, u64)>,
    /// The newest version that anybody has served.
    newest: u64,
    decided: BTreeSet<u64>,
    given_up: BTreeSet<u64>,
    pauses: Vec<f64>,
    served: u64,
    /// Guards that a test leaves out to see that the world finds it: leases that end, and holds that are kept.
    leases: bool,
    holds: bool,
}

fn policy(version: u64) -> Vec<u8> {
    format!("version = {version}\n{}", "# a long one\n".repeat(2000)).into_bytes()
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            now: 1e6,
            nodes: BTreeMap::new(),
            fronts: BTreeMap::new(),
            frozen: BTreeSet::new(),
            disks: BTreeMap::new(),
            documents: BTreeMap::new(),
            under_way: Vec::new(),
            sent: 0,
            cut: BTreeSet::new(),
            loss: 0.0,
            draws: fastrand::Rng::with_seed(seed),
            refuse: BTreeSet::new(),
            newest: 0,
            decided: BTreeSet::from([0]),
            given_up: BTreeSet::new(),
            pauses: Vec::new(),
            served: 0,
            leases: true,
            holds: true,
        };
        (0..MEMBERS as At).for_each(|at| world.start(at));
        world
    }

    fn start(&mut self, own: At) {
        let places = (0..MEMBERS).map(|at| MemberConfig { zone: 0, is_voter: at < 3 }).collect();
        let (incarnation, seed) = (self.now as u64, self.draws.u64(..));
        let fleet = fleet::NodeConfig {
            cluster: "test".into(),
            generation: 1,
            members: places,
            own,
            incarnation,
            seed,
        };
        let rollout = Some(RolloutSettings { lease_ms: LEASE, pause_ms: 400.0 });
        let setup = control_plane::ControlPlaneConfig {
            fleet,
            zones: 1,
            failover: crate::zones::FailoverSettings::default(),
            rollout,
        };
        let kept = self.disks.get(&own).map(|bytes| file::read(bytes, 1).unwrap().0).unwrap_or_default();
        let mut node = ControlPlane::new(setup, kept, self.now).unwrap();
        for document in self.documents.get(&own).into_iter().flatten() {
            node.with_participant(self.now, |_, node| node.store_document(document));
        }
        self.nodes.insert(own, node);
        self.fronts.insert(own, Front::default());
    }

    fn kill(&mut self, at: At) {
        self.nodes.remove(&at);
        self.fronts.remove(&at);
        self.frozen.remove(&at);
    }

    fn split(&mut self, one: &[At]) {
        for a in 0..MEMBERS as At {
            for b in 0..MEMBERS as At {
                if one.contains(&a) != one.contains(&b) {
                    self.cut.insert((a, b));
                }
            }
        }
    }

    fn want(&mut self, at: At, version: u64) -> Result<(), ProposeError> {
        let now = self.now;
        let node = self.nodes.get_mut(&at).unwrap();
        node.with_participant(now, |member, node| member.propose(now, node, version, &policy(version)))
            .unwrap()
    }

    fn step(&mut self) {
        self.now += 10.0;
        let now = self.now;
        let live: Vec<At> = self.nodes.keys().copied().filter(|m| !self.frozen.contains(m)).collect();
        let mut due: Vec<_> = self.under_way.extract_if(.., |m| m.0 <= now && live.contains(&m.3)).collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, _, from, to, bytes) in due {
            let _ = self.nodes.get_mut(&to).unwrap().receive(now, from, &bytes);
        }
        for at in live {
            // A front serves between any two things that its node does.
            self.serve(at);
            self.nodes.get_mut(&at).unwrap().tick(now, 0, |_| crate::zones::ZoneLoad::default());
            for effect in self.nodes.get_mut(&at).unwrap().take_effects() {
                self.carry_out(at, effect);
            }
            self.serve(at);
        }
    }

    fn serve(&mut self, at: At) {
        let front = &self.fronts[&at];
        if front.holds && self.holds || self.leases && self.now >= front.until || front.until <= 0.0 {
            return;
        }
        self.served += 1;
        assert!(self.decided.contains(&front.version), "{at} runs {} undecided", front.version);
        assert!(!self.given_up.contains(&front.version), "{at} runs {}, which was given up", front.version);
        assert!(
            front.version >= self.newest,
            "{at} runs {} at {} after {} ran elsewhere",
            front.version,
            self.now,
            self.newest
        );
        self.newest = front.version;
    }

    fn carry_out(&mut self, at: At, effect: control_plane::Effect) {
        let now = self.now;
        let front = self.fronts.get_mut(&at).unwrap();
        let effect = match effect {
            control_plane::Effect::Rollout(effect) => effect,
            control_plane::Effect::Node(fleet::Effect::Send { to, bytes }) => {
                if !self.cut.contains(&(at, to)) && self.draws.f64() >= self.loss {
                    self.sent += 1;
                    let late = if self.loss > 0.0 { self.draws.u64(0..60) as f64 } else { 0.0 };
                    self.under_way.push((now + 1.0 + late, self.sent, at, to, bytes.clone()));
                    // Some come again, much later.
                    if self.loss > 0.0 && self.draws.u8(..20) == 0 {
                        self.under_way.push((now + 10_000.0, self.sent, at, to, bytes));
                    }
                }
                return;
            }
            control_plane::Effect::Node(fleet::Effect::Write(write)) => {
                match write {
                    Write::Nothing => {}
                    Write::Append(bytes) => self.disks.entry(at).or_default().extend(bytes),
                    Write::Replace(bytes) => drop(self.disks.insert(at, bytes)),
                }
                return self.nodes.get_mut(&at).unwrap().on_written(now, true);
            }
            control_plane::Effect::Zones(_) => return,
        };
        let node = self.nodes.get_mut(&at).unwrap();
        match effect {
            Effect::Save(hash, bytes) => {
                self.documents.entry(at).or_default().push(bytes);
                node.with_participant(now, |member, _| member.on_saved(hash, None));
            }
            Effect::Check(policy, bytes) => {
                assert!(bytes.starts_with(format!("version = {}\n", policy.version).as_bytes()));
                let no = self.refuse.contains(&(at, policy.version)).then(|| "line 3: no such".to_string());
                node.with_participant(now, |member, _| member.on_checked(now, policy.version, no));
            }
            Effect::Pause(hold) => {
                (front.holds, front.since) = (true, now);
                node.with_participant(now, |member, _| member.on_paused(now, hold));
            }
            Effect::Resume => {
                self.pauses.push(now - front.since);
                front.holds = false;
            }
            Effect::Apply(policy, _) => front.version = policy.version,
            Effect::Serve(until) => front.until = until,
            Effect::Decided(decision) => {
                self.decided.insert(decision.policy.version);
                if let Some(last) = decision.last.filter(|last| !last.in_force) {
                    assert!(!self.decided.contains(&last.version), "{last:?} was in force");
                    self.given_up.insert(last.version);
                }
            }
        }
    }

    fn run(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn until(&mut self, most: f64, what: &str, holds: impl Fn(&World) -> bool) -> f64 {
        let began = self.now;
        while !holds(self) {
            assert!(self.now < began + most, "{what} within {most} ms");
            self.step();
        }
        self.now - began
    }

    fn runs(&self, version: u64) -> bool {
        let serves = |f: &Front| f.version == version && !f.holds && f.until > self.now;
        self.fronts.values().all(serves)
    }

    fn leader(&self) -> At {
        *self.nodes.iter().find(|(at, n)| n.node().is_leader() && !self.frozen.contains(at)).unwrap().0
    }
}

fn calm(seed: u64) -> World {
    let mut world = World::new(seed);
    world.until(15_000.0, "all serve", |w| w.runs(0));
    // A new leader takes all for leased at first.
    world.run(2.0 * LEASE);
    world
}

#[test]
fn a_change_is_in_force_everywhere_soon_and_pauses_little() {
    let mut world = calm(1);
    world.want(4, 1).unwrap();
    let took = world.until(2000.0, "all run it", |w| w.runs(1));
    assert!(took <= 400.0, "{took}");
    world.want(0, 7).unwrap();
    world.until(2000.0, "all run the next", |w| w.runs(7));
    assert!(world.pauses.iter().all(|pause| *pause <= 100.0), "{:?}", world.pauses);
    assert!(world.want(2, 3).is_err(), "an older version is refused");
    assert!(world.want(2, 7).is_ok(), "the file that is in force is no news");
}

#[test]
fn one_that_says_no_has_it_given_up_for_all_and_for_good() {
    let mut world = calm(2);
    world.refuse.insert((3, 1));
    world.want(1, 1).unwrap();
    world.until(3000.0, "given up", |w| w.given_up.contains(&1));
    world.run(3000.0);
    assert!(world.runs(0));
    world.refuse.clear();
    // Neither a restart of all with their disks nor the same file again brings it back.
    (0..5).for_each(|at| world.kill(at));
    world.run(100.0);
    (0..5).for_each(|at| world.start(at));
    world.until(15_000.0, "all serve", |w| w.runs(0));
    assert!(world.want(1, 1).is_err());
    world.want(1, 2).unwrap();
    world.until(3000.0, "all run a higher one", |w| w.runs(2));
}

#[test]
fn a_dead_one_is_waited_for_until_its_lease_is_over() {
    let mut world = calm(3);
    world.kill(4);
    world.want(0, 1).unwrap();
    let took = world.until(6000.0, "the others run it", |w| w.runs(1));
    assert!(took <= LEASE + 1000.0, "{took}");
    assert!(world.pauses.iter().all(|pause| *pause <= 500.0), "nobody waits meanwhile: {:?}", world.pauses);
    world.start(4);
    world.until(3000.0, "back, it runs the newest", |w| w.runs(1));
}

/// It wakes with its old version, past its lease.
#[test]
fn a_frozen_one_serves_nothing_old_when_it_wakes() {
    let mut world = calm(4);
    world.frozen.insert(3);
    world.want(0, 1).unwrap();
    world.until(6000.0, "in force", |w| w.newest == 1);
    world.run(500.0);
    world.frozen.clear();
    world.until(3000.0, "all run it", |w| w.runs(1));
}

/// The guard that the frozen one's lease is: without it the world finds the fault.
#[test]
#[should_panic(expected = "ran elsewhere")]
fn without_leases_a_frozen_one_runs_what_is_old() {
    let mut world = calm(4);
    world.leases = false;
    world.frozen.insert(3);
    world.want(0, 1).unwrap();
    world.until(6000.0, "in force", |w| w.newest == 1);
    world.frozen.clear();
    world.run(3000.0);
}

/// The same of the hold: without it some go on under the old version while others run the new one.
#[test]
#[should_panic(expected = "ran elsewhere")]
fn without_holds_some_run_what_is_old() {
    let mut world = calm(1);
    world.holds = false;
    world.want(4, 1).unwrap();
    world.until(2000.0, "all run it", |w| w.newest == 1 && w.runs(1));
}

#[test]
fn two_changes_at_both_sides_of_a_split_do_not_mix() {
    let mut world = calm(5);
    world.split(&[0, 3]);
    world.want(3, 1).unwrap();
    world.want(4, 2).unwrap();
    world.until(9000.0, "the larger side's is in force", |w| w.newest == 2);
    world.run(1000.0);
    assert!(
        world.fronts[&3].version == 0 && world.fronts[&3].until <= world.now,
        "cut off, it serves nothing"
    );
    world.cut.clear();
    world.until(9000.0, "all run it", |w| w.runs(2));
    assert!(!world.decided.contains(&1), "the lower one came too late");
}

#[test]
fn a_leader_killed_at_any_step_of_a_change_leaves_all_or_nothing() {
    for delay in 0..25 {
        let mut world = calm(100 + delay);
        let leader = world.leader();
        world.want(4, 1).unwrap();
        world.run(delay as f64 * 10.0);
        world.kill(leader);
        world.run(LEASE + 3000.0);
        world.start(leader);
        world.until(15_000.0, "all run the same", |w| w.runs(0) || w.runs(1));
        world.until(15_000.0, "and it was decided on", |w| w.given_up.contains(&1) || w.runs(1));
    }
}

#[test]
fn all_killed_at_any_step_of_a_change_come_back_to_one_version() {
    for delay in 0..20 {
        let mut world = calm(200 + delay);
        world.want(4, 1).unwrap();
        world.run(delay as f64 * 10.0);
        (0..5).for_each(|at| world.kill(at));
        world.under_way.clear();
        world.run(50.0);
        (0..5).for_each(|at| world.start(at));
        world.until(20_000.0, "all run the same", |w| w.runs(0) || w.runs(1));
    }
}

#[test]
fn without_a_majority_nothing_changes_and_leases_run_out() {
    let mut world = calm(6);
    (0..2).for_each(|at| world.kill(at));
    world.want(3, 1).unwrap();
    world.run(LEASE - 800.0);
    assert_eq!(world.newest, 0);
    let served = world.served;
    world.run(2000.0);
    let later = world.served;
    world.run(3000.0);
    assert!(later > served && world.served == later, "served until the leases were over, and not beyond");
    (0..2).for_each(|at| world.start(at));
    world.until(20_000.0, "all serve again", |w| w.runs(1) || w.runs(0) && w.given_up.contains(&1));
}

/// A process that speaks from the member's address proves the one before it gone: its lease is not waited for.
#[test]
fn one_that_was_killed_and_is_back_is_not_waited_for() {
    let mut world = calm(7);
    world.kill(4);
    world.run(50.0);
    world.start(4);
    world.until(1000.0, "it serves", |w| w.fronts[&4].until > w.now);
    world.want(0, 1).unwrap();
    let took = world.until(3000.0, "all run it", |w| w.runs(1));
    assert!(took <= 400.0, "{took}");
}

/// Has a member leave, and waits until the leader knows; then another process starts in its place.
fn replaced(seed: u64, serves: bool) -> f64 {
    let mut world = calm(seed);
    let now = world.now;
    world.nodes.get_mut(&4).unwrap().with_participant(now, |member, _| member.leave(now, serves));
    world.until(400.0, "the leader knows", |w| w.nodes[&4].has_left(w.now) && w.fronts[&4].until > w.now);
    world.kill(4);
    world.start(4);
    world.want(0, 1).unwrap();
    world.until(3000.0, "all run it", |w| w.runs(1))
}

/// Guards against a process of an upgrade that serves on under the old policy beside the one that has replaced it.
#[test]
fn one_that_leaves_and_serves_on_is_waited_for_and_one_that_gives_its_lease_back_is_not() {
    assert!(replaced(8, true) >= 1000.0, "the rest of a lease");
    assert!(replaced(9, false) <= 400.0);
}

/// Guards against a new leader that waits for leases which nobody can hold any more.
#[test]
fn a_new_leader_waits_for_the_last_lease_that_the_old_one_can_have_granted() {
    for seed in 20..30 {
        let mut world = calm(seed);
        let leader = world.leader();
        world.want((leader + 1) % MEMBERS as At, 1).unwrap();
        world.kill(leader);
        let took = world.until(5000.0, "the others run it", |w| w.runs(1));
        assert!(took <= 3000.0, "seed {seed}: {took}");
    }
}

/// Guards against leases that run out before a lost leader is replaced.
#[test]
fn nobody_stops_serving_while_a_leader_is_replaced() {
    for seed in 30..40 {
        let mut world = calm(seed);
        let leader = world.leader();
        world.kill(leader);
        for _ in 0..400 {
            world.step();
            let stopped = world.fronts.iter().find(|(_, front)| front.until <= world.now);
            assert!(stopped.is_none(), "seed {seed}: {:?} at {}", stopped.map(|(at, _)| at), world.now);
        }
    }
}

/// Faults by seed while versions are wanted anywhere; healed, all run one version, and then the next.
fn faults(seed: u64) {
    let mut world = World::new(seed);
    world.run(4000.0);
    for version in 1..12 {
        let at = world.draws.u16(..MEMBERS as u16);
        match world.draws.u8(..10) {
            0 | 1 => world.kill(at),
            2 => drop(world.frozen.insert(at)),
            3 => world.frozen.clear(),
            4 => world.split(&[at, (at + 1) % 5]),
            5 => drop(world.cut.insert((at, (at + 2) % 5))),
            6 => world.loss = 0.3 - world.loss,
            7 => drop(world.refuse.insert((at, version))),
            _ => world.cut.clear(),
        }
        let from = world.draws.u16(..MEMBERS as u16);
        if world.nodes.contains_key(&from) && !world.frozen.contains(&from) {
            let _ = world.want(from, version);
        }
        let ms = world.draws.u64(50..3000);
        world.run(ms as f64);
        for at in 0..MEMBERS as At {
            if !world.nodes.contains_key(&at) && world.draws.bool() {
                world.start(at);
            }
        }
    }
    world.cut.clear();
    world.frozen.clear();
    world.refuse.clear();
    world.loss = 0.0;
    for at in 0..MEMBERS as At {
        if !world.nodes.contains_key(&at) {
            world.start(at);
        }
    }
    world.until(60_000.0, "all run one version", |w| w.runs(w.newest));
    let next = 50;
    world.want(0, next).unwrap();
    world.until(30_000.0, "and the next", |w| w.runs(next));
}

/// Found by a seed: a change that was proposed as a majority went away was decided when it came back, beside leases that
/// others had got meanwhile.
#[test]
fn what_is_decided_late_finds_no_leases_given_meanwhile() {
    faults(141_697);
}

/// Found by a seed: a leader that had been replaced, and heard of it, gave leases as if the majority followed it.
#[test]
fn a_leader_that_was_replaced_gives_no_leases() {
    faults(774_560);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Faults by seed while versions are wanted anywhere: each step checks that nothing old runs after what is new, and
    /// that only what is decided runs; healed, all run one version.
    #[test]
    fn whatever_fails_a_change_is_everywhere_or_nowhere(seed in 0u64..1_000_000) {
        faults(seed);
    }
}
