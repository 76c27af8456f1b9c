//! Dispatchers over a network on a set clock, with zones whose servers fail.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;

use super::*;
use crate::consensus::{Write, file};
use crate::fleet::{self, Body, Decision, Frame, MAX_FRAME_BYTES, MemberConfig};
use crate::zones::{AgreementStatus, AttemptResult, ZoneState, ZoneTable};

const ZONES: usize = 3;
const EACH: usize = 3;

fn places() -> Vec<MemberConfig> {
    // Five voters: two in each of the first zones, one in the last.
    (0..ZONES * EACH)
        .map(|m| MemberConfig { zone: m / EACH, is_voter: m % EACH < 2 && m != ZONES * EACH - 2 })
        .collect()
}

struct World {
    now: f64,
    nodes: BTreeMap<MemberId, ControlPlane>,
    frozen: BTreeSet<MemberId>,
    disks: BTreeMap<MemberId, Vec<u8>>,
    under_way: Vec<(f64, u64, MemberId, MemberId, Vec<u8>)>,
    sent: u64,
    cut: BTreeSet<(MemberId, MemberId)>,
    loss: f64,
    dead: [bool; ZONES],
    draws: fastrand::Rng,
    /// The table of each epoch.
    decided: BTreeMap<u64, ZoneTable>,
    epochs: BTreeMap<MemberId, u64>,
    /// Clocks of members are apart by so much.
    skew: f64,
    late: bool,
}

impl World {
    fn new(seed: u64) -> World {
        World::with(seed, 0.0)
    }

    fn with(seed: u64, skew: f64) -> World {
        let mut world = World {
            now: 1e6,
            nodes: BTreeMap::new(),
            frozen: BTreeSet::new(),
            disks: BTreeMap::new(),
            under_way: Vec::new(),
            sent: 0,
            cut: BTreeSet::new(),
            loss: 0.0,
            dead: [false; ZONES],
            draws: fastrand::Rng::with_seed(seed),
            decided: BTreeMap::new(),
            epochs: BTreeMap::new(),
            skew,
            late: false,
        };
        (0..(ZONES * EACH) as MemberId).for_each(|member| world.start(member));
        world
    }

    fn clock(&self, member: MemberId) -> f64 {
        self.now + f64::from(member) * self.skew
    }

    fn start(&mut self, own: MemberId) {
        let now = self.clock(own);
        let fleet = fleet::NodeConfig {
            cluster: "test".into(),
            generation: 1,
            members: places(),
            own,
            incarnation: now as u64,
            seed: self.draws.u64(..),
        };
        let setup =
            ControlPlaneConfig { fleet, zones: ZONES, failover: FailoverSettings::default(), rollout: None };
        let kept = self.disks.get(&own).map(|bytes| file::read(bytes, 1).unwrap().0).unwrap_or_default();
        self.nodes.insert(own, ControlPlane::new(setup, kept, now).unwrap());
        self.epochs.remove(&own);
    }

    fn kill(&mut self, member: MemberId) {
        self.nodes.remove(&member);
        self.frozen.remove(&member);
    }

    /// Cuts all links between members of two groups, both ways.
    fn split(&mut self, one: &[MemberId], other: &[MemberId]) {
        for a in one {
            for b in other {
                self.cut.extend([(*a, *b), (*b, *a)]);
            }
        }
    }

    fn step(&mut self) {
        self.now += 10.0;
        let live: Vec<MemberId> = self.nodes.keys().copied().filter(|m| !self.frozen.contains(m)).collect();
        let now = self.now;
        let mut due: Vec<_> = self.under_way.extract_if(.., |m| m.0 <= now && live.contains(&m.3)).collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, _, from, to, bytes) in due {
            let clock = self.clock(to);
            let _ = self.nodes.get_mut(&to).unwrap().receive(clock, from, &bytes);
        }
        for member in live {
            let clock = self.clock(member);
            self.work(member);
            let node = self.nodes.get_mut(&member).unwrap();
            node.tick(clock, 10, |_| ZoneLoad { in_flight: 0, slots: 60 });
            for effect in node.take_effects() {
                match effect {
                    Effect::Node(fleet::Effect::Send { to, bytes }) => {
                        if self.cut.contains(&(member, to)) || self.draws.f64() < self.loss {
                            continue;
                        }
                        self.sent += 1;
                        let slow = if self.late { self.draws.u64(0..40) } else { 0 };
                        self.under_way.push((now + 1.0 + slow as f64, self.sent, member, to, bytes));
                    }
                    Effect::Node(fleet::Effect::Write(write)) => {
                        match write {
                            Write::Nothing => {}
                            Write::Append(bytes) => self.disks.entry(member).or_default().extend(bytes),
                            Write::Replace(bytes) => drop(self.disks.insert(member, bytes)),
                        }
                        self.nodes.get_mut(&member).unwrap().on_written(clock, true);
                    }
                    Effect::Zones(zones::Effect::Decided(zones::TableChange { epoch, table, .. })) => {
                        let first = self.decided.entry(epoch).or_insert_with(|| table.clone());
                        assert_eq!(*first, table, "two decisions of epoch {epoch}");
                        let known = self.epochs.insert(member, epoch).unwrap_or(0);
                        assert!(epoch > known, "member {member} went from epoch {known} to {epoch}");
                    }
                    Effect::Zones(zones::Effect::View(_)) | Effect::Rollout(_) => {}
                }
            }
        }
    }

    /// A request each 20 ms: near first, elsewhere as the shares say.
    fn work(&mut self, member: MemberId) {
        if !(self.now as u64 / 10).is_multiple_of(2) {
            return;
        }
        let own = places()[usize::from(member)].zone;
        let node = self.nodes.get_mut(&member).unwrap();
        let shares = node.zones().view().map_or(vec![1000; ZONES], |view| view.shares.clone());
        let near = self.draws.u16(..1000) < shares[own];
        let others: Vec<usize> = (0..ZONES).filter(|z| *z != own && shares[*z] > 0).collect();
        let zone = match others.get(self.draws.usize(..others.len().max(1))) {
            Some(other) if !near => *other,
            _ if near => own,
            _ => return,
        };
        let end = if self.dead[zone] { AttemptResult::Refused } else { AttemptResult::Answered };
        node.zones_mut().outcome_counter().record_arrival(false);
        node.zones_mut().outcome_counter().record_attempt(zone, end, 20.0);
    }

    fn run(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Time until a condition holds.
    fn until(&mut self, most: f64, what: &str, holds: impl Fn(&World) -> bool) -> f64 {
        let began = self.now;
        while !holds(self) {
            assert!(self.now < began + most, "{what} within {most} ms");
            self.step();
        }
        self.now - began
    }

    fn state(&self, member: MemberId, zone: usize) -> ZoneState {
        self.nodes[&member].zones().newest().table.zones[zone].state
    }

    fn shut(&self, zone: usize, members: &[MemberId]) -> bool {
        members.iter().all(|m| self.state(*m, zone) == ZoneState::Closed)
    }

    fn leader(&self) -> MemberId {
        *self.nodes.iter().find(|(m, n)| n.node().is_leader() && !self.frozen.contains(m)).unwrap().0
    }
}

const A: [MemberId; 3] = [0, 1, 2];
const B: [MemberId; 3] = [3, 4, 5];
const C: [MemberId; 3] = [6, 7, 8];
const ALL: [MemberId; 9] = [0, 1, 2, 3, 4, 5, 6, 7, 8];
const AB: [MemberId; 6] = [0, 1, 2, 3, 4, 5];

fn calm(seed: u64) -> World {
    let mut world = World::new(seed);
    let all = |w: &World| w.nodes.values().all(|n| n.node().alive().iter().all(|up| *up));
    world.until(10_000.0, "all know all", all);
    world.run(3000.0);
    assert!(all(&world), "and go on knowing");
    assert_eq!(world.nodes.values().filter(|n| n.node().is_leader()).count(), 1);
    assert!(world.decided.is_empty(), "calm decides nothing");
    assert!(world.nodes.values().all(|n| n.zones().view().unwrap().status == AgreementStatus::Following));
    world
}

#[test]
fn a_dead_zone_is_closed_by_all_within_three_seconds_and_returns() {
    let mut world = calm(1);
    world.dead[1] = true;
    let took = world.until(3000.0, "closed by all", |w| w.shut(1, &ALL));
    assert!(took > 600.0, "not at the first failure: {took}");
    assert!(
        world
            .nodes
            .values()
            .all(|n| n.zones().view().unwrap().shares[1] == 0 || n.zones().view().unwrap().epoch == 0)
    );
    world.run(1000.0);
    world.dead[1] = false;
    world.until(15_000.0, "open to all", |w| ALL.iter().all(|m| w.state(*m, 1) == ZoneState::Open));
}

/// Its servers and dispatchers live, but nobody outside hears of them.
#[test]
fn a_zone_that_is_cut_off_is_closed_outside_and_goes_on_inside() {
    let mut world = calm(2);
    world.split(&AB, &C);
    world.until(3500.0, "closed outside", |w| w.shut(2, &AB));
    world.run(14_000.0);
    for inside in C {
        let view = world.nodes[&inside].zones().view().unwrap();
        assert_eq!((view.status, view.shares[2]), (AgreementStatus::Isolated, 1000));
    }
    world.cut.clear();
    world.until(3000.0, "heard again", |w| {
        C.iter().all(|m| w.nodes[m].zones().view().unwrap().status == AgreementStatus::Following)
    });
    world.until(20_000.0, "open to all", |w| ALL.iter().all(|m| w.state(*m, 2) == ZoneState::Open));
}

/// One dispatcher that nobody hears closes nothing for the others.
#[test]
fn one_dispatcher_cut_off_alone_changes_nothing_for_the_others() {
    let mut world = calm(3);
    let others: Vec<MemberId> = ALL.into_iter().filter(|m| *m != 2).collect();
    world.split(&[2], &others);
    world.run(20_000.0);
    assert!(world.decided.is_empty(), "{:?}", world.decided);
    assert_eq!(world.nodes[&2].zones().view().unwrap().status, AgreementStatus::Isolated);
    assert!(!world.nodes[&0].node().alive()[2]);
    world.cut.clear();
    world.until(4000.0, "back", |w| {
        w.nodes[&0].node().alive()[2] && w.nodes[&2].node().alive().iter().all(|up| *up)
    });
}

#[test]
fn a_leader_that_is_killed_while_it_decides_costs_a_few_seconds() {
    let mut world = calm(4);
    let leader = world.leader();
    let zone = (usize::from(leader) / EACH + 1) % ZONES;
    world.dead[zone] = true;
    world.run(900.0);
    world.kill(leader);
    let rest: Vec<MemberId> = ALL.into_iter().filter(|m| *m != leader).collect();
    world.until(4000.0, "closed by the rest", |w| w.shut(zone, &rest));
    world.start(leader);
    world.until(4000.0, "the one that was killed follows", |w| w.shut(zone, &[leader]));
}

/// It comes back with its old view, and believes that it leads.
#[test]
fn a_leader_frozen_and_thawed_does_not_act_on_what_it_knew() {
    let mut world = calm(5);
    let leader = world.leader();
    let zone = (usize::from(leader) / EACH + 1) % ZONES;
    world.frozen.insert(leader);
    world.run(3000.0);
    world.dead[zone] = true;
    let rest: Vec<MemberId> = ALL.into_iter().filter(|m| *m != leader).collect();
    world.until(4000.0, "closed by the rest", |w| w.shut(zone, &rest));
    world.run(3000.0);
    world.frozen.clear();
    world.until(3000.0, "the thawed one follows", |w| w.shut(zone, &[leader]));
    world.run(1000.0);
    assert_eq!(world.nodes.values().filter(|n| n.node().is_leader()).count(), 1);
    world.until(4000.0, "all know it again", |w| {
        w.nodes.values().all(|n| n.node().alive()[usize::from(leader)])
    });
}

/// Voters 0 1 | 3 4 6, then 0 1 | 3 4 | 6: the larger side decides, and with no majority nobody does.
#[test]
fn without_a_majority_nothing_is_decided_and_dispatchers_go_on_alone() {
    let mut world = calm(6);
    world.split(&A, &[3, 4, 5, 6, 7, 8]);
    world.until(4000.0, "the three voters close the zone they cannot hear", |w| {
        w.shut(0, &[3, 4, 5, 6, 7, 8])
    });
    assert!(A.iter().all(|m| world.state(*m, 0) == ZoneState::Open), "the two have decided nothing");
    world.split(&B, &C);
    world.run(2000.0);
    let newest = world.decided.keys().max().copied();
    world.run(15_000.0);
    assert_eq!(world.decided.keys().max().copied(), newest);
    assert!(world.nodes.values().all(|n| n.zones().view().unwrap().status == AgreementStatus::Isolated));
    assert!(
        B.iter().chain(&C).all(|m| world.nodes[m].zones().view().unwrap().shares[0] == 0),
        "stays closed to them"
    );
    world.cut.clear();
    world.until(30_000.0, "open to all", |w| {
        (0..ZONES).all(|z| ALL.iter().all(|m| w.state(*m, z) == ZoneState::Open))
    });
}

#[test]
fn a_third_of_the_packets_lost_delays_and_breaks_nothing() {
    let mut world = calm(7);
    (world.loss, world.late) = (0.3, true);
    world.run(10_000.0);
    assert!(world.decided.is_empty(), "loss alone closes nothing: {:?}", world.decided);
    world.dead[0] = true;
    world.until(8000.0, "closed by all", |w| w.shut(0, &ALL));
}

#[test]
fn clocks_apart_by_five_seconds_change_nothing() {
    let mut world = World::with(8, 5000.0);
    world.run(4000.0);
    assert!(world.decided.is_empty());
    world.dead[2] = true;
    world.until(3000.0, "closed by all", |w| w.shut(2, &ALL));
    world.dead[2] = false;
    world.until(15_000.0, "open to all", |w| ALL.iter().all(|m| w.state(*m, 2) == ZoneState::Open));
}

#[test]
fn all_restarted_at_once_go_on_from_their_disks() {
    let mut world = calm(9);
    world.dead[0] = true;
    world.until(3000.0, "closed by all", |w| w.shut(0, &ALL));
    let epoch = world.decided.keys().max().copied().unwrap();
    ALL.iter().for_each(|m| world.kill(*m));
    world.under_way.clear();
    world.run(100.0);
    ALL.iter().for_each(|m| world.start(*m));
    world.until(4000.0, "closed again", |w| w.shut(0, &ALL));
    assert!(world.nodes.values().all(|n| n.zones().newest().epoch >= epoch));
}

/// A process that is killed and started under its name is known again, by its later incarnation.
#[test]
fn a_member_killed_and_started_again_is_known_again() {
    let mut world = calm(10);
    world.kill(8);
    world.until(5000.0, "known to be gone", |w| w.nodes.values().all(|n| !n.node().alive()[8]));
    world.start(8);
    world.until(5000.0, "known again", |w| w.nodes.values().all(|n| n.node().alive().iter().all(|up| *up)));
    world.frozen.insert(7);
    world.run(10_000.0);
    assert!(!world.nodes[&0].node().alive()[7]);
    world.frozen.clear();
    world.until(5000.0, "thawed and known", |w| {
        w.nodes.values().all(|n| n.node().alive().iter().all(|up| *up))
    });
}

/// What a dispatcher sends is bounded.
#[test]
fn calm_costs_a_few_kilobytes_a_second() {
    let mut world = calm(11);
    let before: Vec<u64> = world.nodes.values().map(|n| n.node().counters().sent_bytes).collect();
    world.run(10_000.0);
    for (node, before) in world.nodes.values().zip(before) {
        let rate = (node.node().counters().sent_bytes - before) / 10;
        assert!(rate < 16_000, "{rate} bytes a second");
    }
}

fn frame(number: u64) -> Frame {
    Frame { from: 1, incarnation: 5, number, body: Body::Swim(vec![1, 2, 3]) }
}

#[test]
fn frames_of_others_are_dropped_and_counted() {
    let mut world = World::new(12);
    let node = world.nodes.get_mut(&0).unwrap();
    let good = frame(1).encode("test", 1);
    assert_eq!(Frame::decode(&good, "test", 1), Ok(frame(1)));
    for (bytes, why) in [
        (frame(2).encode("prod", 1), FrameError::Cluster),
        (frame(2).encode("test", 2), FrameError::Cluster),
        (vec![0; MAX_FRAME_BYTES + 1], FrameError::Long),
        (b"MB\x09rest".to_vec(), FrameError::Version),
        (b"GET / HTTP/1.1".to_vec(), FrameError::Damaged),
        (good[..good.len() - 1].to_vec(), FrameError::Damaged),
        (good.iter().enumerate().map(|(at, b)| b ^ u8::from(at == 9)).collect(), FrameError::Damaged),
    ] {
        assert_eq!(node.receive(1e6, 1, &bytes), Err(why));
    }
    assert_eq!(node.receive(1e6, 2, &good), Err(FrameError::Damaged), "under another's name");
    assert_eq!(node.node().counters().dropped, 8);
    let decisions = vec![Decision { topic: zones::TOPIC, epoch: 9, body: vec![0xff; 9] }];
    let news = Body::DecisionUpdate { decisions, term: crate::consensus::LeaderTerm::default() };
    let news = Frame { body: news, ..frame(3) }.encode("test", 1);
    assert_eq!(node.receive(1e6, 1, &news), Ok(()), "whether it reads is the part's to say");
    assert_eq!(node.receive(1e6, 1, &news), Ok(()), "late or twice");
    assert_eq!(node.node().counters().stale, 1);
    assert_eq!(node.zones().newest().epoch, 0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever bytes come from a member's address, nothing panics and no epoch is taken.
    #[test]
    fn no_bytes_harm(list in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 1..20)) {
        let mut world = World::new(13);
        let node = world.nodes.get_mut(&0).unwrap();
        for (number, bytes) in list.into_iter().enumerate() {
            let _ = node.receive(1e6, 1, &bytes);
            for body in [Body::Swim(bytes.clone()), Body::Consensus(bytes)] {
                let frame = Frame { body, ..frame(number as u64 * 2 + 1) };
                let _ = node.receive(1e6, 1, &frame.encode("test", 1));
            }
        }
        node.tick(2e6, 0, |_| ZoneLoad::default());
        prop_assert_eq!(node.zones().newest().epoch, 0);
    }

    /// Faults by seed: no epoch has two tables and none goes back (each step checks); healed, all follow and all zones
    /// open.
    #[test]
    fn whatever_fails_all_agree_in_the_end(seed in 0u64..1_000_000) {
        let mut world = World::new(seed);
        world.run(3000.0);
        for _ in 0..8 {
            let member = world.draws.u16(..9);
            match world.draws.u8(..9) {
                0 | 1 => world.kill(member),
                2 => drop(world.frozen.insert(member)),
                3 => world.frozen.clear(),
                4 => world.dead[usize::from(member) / EACH] ^= true,
                5 => {
                    let other = world.draws.u16(..9);
                    world.cut.insert((member, other));
                }
                6 => {
                    let zone: Vec<MemberId> = ALL.into_iter().filter(|m| m / 3 == member / 3).collect();
                    let rest: Vec<MemberId> = ALL.into_iter().filter(|m| m / 3 != member / 3).collect();
                    world.split(&zone, &rest);
                }
                7 => world.loss = 0.3 - world.loss,
                _ => world.cut.clear(),
            }
            let ms = world.draws.u64(100..4000);
            world.run(ms as f64);
            for m in ALL {
                if !world.nodes.contains_key(&m) && world.draws.bool() {
                    world.start(m);
                }
            }
        }
        world.cut.clear();
        world.frozen.clear();
        (world.loss, world.dead) = (0.0, [false; ZONES]);
        for m in ALL {
            if !world.nodes.contains_key(&m) {
                world.start(m);
            }
        }
        world.until(90_000.0, "all open and all agree", |w| {
            let epoch = w.nodes[&0].zones().newest().epoch;
            w.nodes.values().all(|n| {
                let open = n.zones().newest().table.zones.iter().all(|zone| zone.state == ZoneState::Open);
                n.zones().newest().epoch == epoch && open && n.zones().view().is_some_and(|v| v.status == AgreementStatus::Following)
            })
        });
    }
}
