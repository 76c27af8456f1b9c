//! A model of dispatchers with a simulated network and clock, and with zones whose endpoints can fail.

mod failover;
mod frames;
mod leadership;

use std::collections::{BTreeMap, BTreeSet};

use super::*;
use crate::consensus::{Write, vote_file};
use crate::fleet::{self, Body, Decision, Frame, MAX_FRAME_BYTES, MemberConfig};
use crate::zones::{AgreementStatus, AttemptResult, ZoneState, ZoneTable};

const ZONES: usize = 3;
const MEMBERS_PER_ZONE: usize = 3;

fn members() -> Vec<MemberConfig> {
    // Five voters: two in each of the first two zones, and one in the last.
    (0..ZONES * MEMBERS_PER_ZONE)
        .map(|m| MemberConfig {
            zone: m / MEMBERS_PER_ZONE,
            is_voter: m % MEMBERS_PER_ZONE < 2 && m != ZONES * MEMBERS_PER_ZONE - 2,
        })
        .collect()
}

struct Cluster {
    now: f64,
    nodes: BTreeMap<MemberId, ControlPlane>,
    frozen: BTreeSet<MemberId>,
    disks: BTreeMap<MemberId, Vec<u8>>,
    /// Datagrams: arrival time, number, sender, receiver, bytes.
    in_transit: Vec<(f64, u64, MemberId, MemberId, Vec<u8>)>,
    sent_count: u64,
    cut_links: BTreeSet<(MemberId, MemberId)>,
    loss_rate: f64,
    dead_zones: [bool; ZONES],
    rng: fastrand::Rng,
    /// The table that was decided in each epoch.
    decided_tables: BTreeMap<u64, ZoneTable>,
    /// The newest epoch that each member has applied.
    member_epochs: BTreeMap<MemberId, u64>,
    /// The clock difference between members with consecutive ids, in milliseconds.
    clock_skew: f64,
    has_delays: bool,
}

impl Cluster {
    fn new(seed: u64) -> Cluster {
        Cluster::with_clock_skew(seed, 0.0)
    }

    fn with_clock_skew(seed: u64, clock_skew: f64) -> Cluster {
        let mut cluster = Cluster {
            now: 1e6,
            nodes: BTreeMap::new(),
            frozen: BTreeSet::new(),
            disks: BTreeMap::new(),
            in_transit: Vec::new(),
            sent_count: 0,
            cut_links: BTreeSet::new(),
            loss_rate: 0.0,
            dead_zones: [false; ZONES],
            rng: fastrand::Rng::with_seed(seed),
            decided_tables: BTreeMap::new(),
            member_epochs: BTreeMap::new(),
            clock_skew,
            has_delays: false,
        };
        (0..(ZONES * MEMBERS_PER_ZONE) as MemberId).for_each(|member| cluster.start(member));
        cluster
    }

    fn clock(&self, member: MemberId) -> f64 {
        self.now + f64::from(member) * self.clock_skew
    }

    fn start(&mut self, member: MemberId) {
        let now = self.clock(member);
        let fleet = fleet::NodeConfig {
            cluster: "test".into(),
            generation: 1,
            members: members(),
            member_id: member,
            incarnation: now as u64,
            seed: self.rng.u64(..),
        };
        let config =
            ControlPlaneConfig { fleet, zones: ZONES, failover: FailoverSettings::default(), rollout: None };
        let persisted = self
            .disks
            .get(&member)
            .map(|bytes| vote_file::read(bytes, 1).unwrap().persisted)
            .unwrap_or_default();
        self.nodes.insert(member, ControlPlane::new(config, persisted, now).unwrap());
        self.member_epochs.remove(&member);
    }

    fn kill(&mut self, member: MemberId) {
        self.nodes.remove(&member);
        self.frozen.remove(&member);
    }

    /// Cuts all links between members of two groups, both ways.
    fn split(&mut self, one: &[MemberId], other: &[MemberId]) {
        for a in one {
            for b in other {
                self.cut_links.extend([(*a, *b), (*b, *a)]);
            }
        }
    }

    fn step(&mut self) {
        self.now += 10.0;
        let live: Vec<MemberId> = self.nodes.keys().copied().filter(|m| !self.frozen.contains(m)).collect();
        let now = self.now;
        let mut due: Vec<_> = self.in_transit.extract_if(.., |m| m.0 <= now && live.contains(&m.3)).collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, _, from, to, bytes) in due {
            let clock = self.clock(to);
            let _ = self.nodes.get_mut(&to).unwrap().receive(clock, from, &bytes);
        }
        for member in live {
            let clock = self.clock(member);
            self.send_request(member);
            let node = self.nodes.get_mut(&member).unwrap();
            node.tick(clock, 10, |_| ZoneLoad { in_flight: 0, slots: 60 });
            for effect in node.take_effects() {
                match effect {
                    Effect::Node(fleet::Effect::Send { to, bytes }) => {
                        if self.cut_links.contains(&(member, to)) || self.rng.f64() < self.loss_rate {
                            continue;
                        }
                        self.sent_count += 1;
                        let delay = if self.has_delays { self.rng.u64(0..40) } else { 0 };
                        self.in_transit.push((now + 1.0 + delay as f64, self.sent_count, member, to, bytes));
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
                        let first = self.decided_tables.entry(epoch).or_insert_with(|| table.clone());
                        assert_eq!(*first, table, "two decisions of epoch {epoch}");
                        let known = self.member_epochs.insert(member, epoch).unwrap_or(0);
                        assert!(epoch > known, "member {member} went from epoch {known} to {epoch}");
                    }
                    Effect::Zones(zones::Effect::View(_)) | Effect::Rollout(_) => {}
                }
            }
        }
    }

    /// Sends one request every 20 ms: to the member's own zone with the probability of its share, and otherwise to
    /// another zone with a share.
    fn send_request(&mut self, member: MemberId) {
        if !(self.now as u64 / 10).is_multiple_of(2) {
            return;
        }
        let own = members()[usize::from(member)].zone;
        let node = self.nodes.get_mut(&member).unwrap();
        let shares = node.zones().view().map_or(vec![1000; ZONES], |view| view.shares.clone());
        let is_local = self.rng.u16(..1000) < shares[own];
        let others: Vec<usize> = (0..ZONES).filter(|z| *z != own && shares[*z] > 0).collect();
        let zone = match others.get(self.rng.usize(..others.len().max(1))) {
            Some(other) if !is_local => *other,
            _ if is_local => own,
            _ => return,
        };
        let result = if self.dead_zones[zone] { AttemptResult::Refused } else { AttemptResult::Answered };
        node.zones_mut().outcome_counter().record_arrival(false);
        node.zones_mut().outcome_counter().record_attempt(zone, result, 20.0);
    }

    fn run(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition is met. Returns how long that took.
    fn wait_for(&mut self, limit_ms: f64, what: &str, condition: impl Fn(&Cluster) -> bool) -> f64 {
        let began = self.now;
        while !condition(self) {
            assert!(self.now < began + limit_ms, "{what} within {limit_ms} ms");
            self.step();
        }
        self.now - began
    }

    fn state(&self, member: MemberId, zone: usize) -> ZoneState {
        self.nodes[&member].zones().newest_decision().table.zones[zone].state
    }

    fn is_closed(&self, zone: usize, members: &[MemberId]) -> bool {
        members.iter().all(|m| self.state(*m, zone) == ZoneState::Closed)
    }

    fn leader(&self) -> MemberId {
        *self.nodes.iter().find(|(m, n)| n.node().is_leader() && !self.frozen.contains(m)).unwrap().0
    }
}

const ZONE_0_MEMBERS: [MemberId; 3] = [0, 1, 2];
const ZONE_1_MEMBERS: [MemberId; 3] = [3, 4, 5];
const ZONE_2_MEMBERS: [MemberId; 3] = [6, 7, 8];
const ALL_MEMBERS: [MemberId; 9] = [0, 1, 2, 3, 4, 5, 6, 7, 8];
const ZONES_0_AND_1_MEMBERS: [MemberId; 6] = [0, 1, 2, 3, 4, 5];

fn settled_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed);
    let all = |c: &Cluster| c.nodes.values().all(|n| n.node().alive().iter().all(|up| *up));
    cluster.wait_for(10_000.0, "all members know each other", all);
    cluster.run(3000.0);
    assert!(all(&cluster), "no member is lost again");
    assert_eq!(cluster.nodes.values().filter(|n| n.node().is_leader()).count(), 1);
    assert!(cluster.decided_tables.is_empty(), "a healthy fleet decides nothing");
    assert!(cluster.nodes.values().all(|n| n.zones().view().unwrap().status == AgreementStatus::Following));
    cluster
}
