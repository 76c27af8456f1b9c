//! A model of members and their frontends, with a simulated network and clock. In each step, every frontend that may
//! serve does so, and the version that it runs is checked against the versions that any frontend has run before.

mod change;
mod faults;
mod lease;

use std::collections::{BTreeMap, BTreeSet};

use super::*;
use crate::consensus::{Write, vote_file};
use crate::control_plane::{self, ControlPlane};
use crate::fleet::{self, MemberConfig, MemberId};

const MEMBERS: usize = 5;
const LEASE_MS: f64 = 2000.0;

/// The state of a frontend that the participant controls.
#[derive(Default)]
struct Frontend {
    version: u64,
    is_paused: bool,
    lease_until: f64,
    /// The time of the last pause.
    paused_at: f64,
}

struct Cluster {
    now: f64,
    nodes: BTreeMap<MemberId, ControlPlane>,
    frontends: BTreeMap<MemberId, Frontend>,
    frozen: BTreeSet<MemberId>,
    disks: BTreeMap<MemberId, Vec<u8>>,
    documents: BTreeMap<MemberId, Vec<Vec<u8>>>,
    /// Datagrams: arrival time, number, sender, receiver, bytes.
    in_transit: Vec<(f64, u64, MemberId, MemberId, Vec<u8>)>,
    sent_count: u64,
    cut_links: BTreeSet<(MemberId, MemberId)>,
    loss_rate: f64,
    rng: fastrand::Rng,
    /// Pairs of a member and a version that its frontend rejects.
    rejections: BTreeSet<(MemberId, u64)>,
    /// The newest version that any frontend has served.
    newest_served: u64,
    decided: BTreeSet<u64>,
    given_up: BTreeSet<u64>,
    pause_lengths: Vec<f64>,
    served: u64,
    /// Whether frontends stop at the end of a lease, and during a pause. A test disables one of these to show that the
    /// model detects the resulting fault.
    enforces_leases: bool,
    enforces_pauses: bool,
}

fn policy(version: u64) -> Vec<u8> {
    format!("version = {version}\n{}", "# a long one\n".repeat(2000)).into_bytes()
}

impl Cluster {
    fn new(seed: u64) -> Cluster {
        let mut cluster = Cluster {
            now: 1e6,
            nodes: BTreeMap::new(),
            frontends: BTreeMap::new(),
            frozen: BTreeSet::new(),
            disks: BTreeMap::new(),
            documents: BTreeMap::new(),
            in_transit: Vec::new(),
            sent_count: 0,
            cut_links: BTreeSet::new(),
            loss_rate: 0.0,
            rng: fastrand::Rng::with_seed(seed),
            rejections: BTreeSet::new(),
            newest_served: 0,
            decided: BTreeSet::from([0]),
            given_up: BTreeSet::new(),
            pause_lengths: Vec::new(),
            served: 0,
            enforces_leases: true,
            enforces_pauses: true,
        };
        (0..MEMBERS as MemberId).for_each(|member_id| cluster.start(member_id));
        cluster
    }

    fn start(&mut self, member: MemberId) {
        let members =
            (0..MEMBERS).map(|member_id| MemberConfig { zone: 0, is_voter: member_id < 3 }).collect();
        let (incarnation, seed) = (self.now as u64, self.rng.u64(..));
        let fleet = fleet::NodeConfig {
            cluster: "test".into(),
            generation: 1,
            members,
            member_id: member,
            incarnation,
            seed,
        };
        let rollout = Some(RolloutSettings { lease_ms: LEASE_MS, pause_ms: 400.0 });
        let config = control_plane::ControlPlaneConfig {
            fleet,
            zones: 1,
            failover: crate::zones::FailoverSettings::default(),
            rollout,
        };
        let persisted = self
            .disks
            .get(&member)
            .map(|bytes| vote_file::read(bytes, 1).unwrap().persisted)
            .unwrap_or_default();
        let mut node = ControlPlane::new(config, persisted, self.now).unwrap();
        for document in self.documents.get(&member).into_iter().flatten() {
            node.with_participant(self.now, |_, node| node.store_document(document));
        }
        self.nodes.insert(member, node);
        self.frontends.insert(member, Frontend::default());
    }

    fn kill(&mut self, member_id: MemberId) {
        self.nodes.remove(&member_id);
        self.frontends.remove(&member_id);
        self.frozen.remove(&member_id);
    }

    fn split(&mut self, one: &[MemberId]) {
        for a in 0..MEMBERS as MemberId {
            for b in 0..MEMBERS as MemberId {
                if one.contains(&a) != one.contains(&b) {
                    self.cut_links.insert((a, b));
                }
            }
        }
    }

    fn propose(&mut self, member_id: MemberId, version: u64) -> Result<(), ProposeError> {
        let now = self.now;
        let node = self.nodes.get_mut(&member_id).unwrap();
        node.with_participant(now, |member, node| member.propose(now, node, version, &policy(version)))
            .unwrap()
    }

    fn step(&mut self) {
        self.now += 10.0;
        let now = self.now;
        let live: Vec<MemberId> = self.nodes.keys().copied().filter(|m| !self.frozen.contains(m)).collect();
        let mut due: Vec<_> = self.in_transit.extract_if(.., |m| m.0 <= now && live.contains(&m.3)).collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, _, from, to, bytes) in due {
            let _ = self.nodes.get_mut(&to).unwrap().receive(now, from, &bytes);
        }
        for member_id in live {
            // A frontend may serve at any time between two actions of its node.
            self.serve(member_id);
            self.nodes.get_mut(&member_id).unwrap().tick(now, 0, |_| crate::zones::ZoneLoad::default());
            for effect in self.nodes.get_mut(&member_id).unwrap().take_effects() {
                self.carry_out(member_id, effect);
            }
            self.serve(member_id);
        }
    }

    fn serve(&mut self, member_id: MemberId) {
        let frontend = &self.frontends[&member_id];
        if frontend.is_paused && self.enforces_pauses
            || self.enforces_leases && self.now >= frontend.lease_until
            || frontend.lease_until <= 0.0
        {
            return;
        }
        self.served += 1;
        assert!(self.decided.contains(&frontend.version), "{member_id} runs {} undecided", frontend.version);
        assert!(
            !self.given_up.contains(&frontend.version),
            "{member_id} runs {}, which was given up",
            frontend.version
        );
        assert!(
            frontend.version >= self.newest_served,
            "{member_id} runs {} at {} after {} ran elsewhere",
            frontend.version,
            self.now,
            self.newest_served
        );
        self.newest_served = frontend.version;
    }

    fn carry_out(&mut self, member_id: MemberId, effect: control_plane::Effect) {
        match effect {
            control_plane::Effect::Rollout(effect) => self.carry_out_rollout(member_id, effect),
            control_plane::Effect::Node(fleet::Effect::Send { to, bytes }) => self.send(member_id, to, bytes),
            control_plane::Effect::Node(fleet::Effect::Write(write)) => self.write(member_id, write),
            control_plane::Effect::Zones(_) => {}
        }
    }

    fn send(&mut self, member_id: MemberId, to: MemberId, bytes: Vec<u8>) {
        let now = self.now;
        if !self.cut_links.contains(&(member_id, to)) && self.rng.f64() >= self.loss_rate {
            self.sent_count += 1;
            let delay = if self.loss_rate > 0.0 { self.rng.u64(0..60) as f64 } else { 0.0 };
            self.in_transit.push((now + 1.0 + delay, self.sent_count, member_id, to, bytes.clone()));
            // One datagram in 20 is duplicated and arrives again 10 s later.
            if self.loss_rate > 0.0 && self.rng.u8(..20) == 0 {
                self.in_transit.push((now + 10_000.0, self.sent_count, member_id, to, bytes));
            }
        }
    }

    fn write(&mut self, member_id: MemberId, write: Write) {
        let now = self.now;
        match write {
            Write::Nothing => {}
            Write::Append(bytes) => self.disks.entry(member_id).or_default().extend(bytes),
            Write::Replace(bytes) => drop(self.disks.insert(member_id, bytes)),
        }
        self.nodes.get_mut(&member_id).unwrap().on_written(now, true);
    }

    fn carry_out_rollout(&mut self, member_id: MemberId, effect: Effect) {
        let now = self.now;
        let frontend = self.frontends.get_mut(&member_id).unwrap();
        let node = self.nodes.get_mut(&member_id).unwrap();
        match effect {
            Effect::Save(hash, bytes) => {
                self.documents.entry(member_id).or_default().push(bytes);
                node.with_participant(now, |member, _| member.on_saved(hash, None));
            }
            Effect::Check(policy, bytes) => {
                assert!(bytes.starts_with(format!("version = {}\n", policy.version).as_bytes()));
                let error = self
                    .rejections
                    .contains(&(member_id, policy.version))
                    .then(|| "line 3: no such".to_string());
                node.with_participant(now, |member, _| member.on_checked(now, policy.version, error));
            }
            Effect::Pause(pause) => {
                (frontend.is_paused, frontend.paused_at) = (true, now);
                node.with_participant(now, |member, _| member.on_paused(now, pause));
            }
            Effect::Resume => {
                self.pause_lengths.push(now - frontend.paused_at);
                frontend.is_paused = false;
            }
            Effect::Apply(policy, _) => frontend.version = policy.version,
            Effect::ServeUntil(until) => frontend.lease_until = until,
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

    fn wait_for(&mut self, limit_ms: f64, what: &str, condition: impl Fn(&Cluster) -> bool) -> f64 {
        let began = self.now;
        while !condition(self) {
            assert!(self.now < began + limit_ms, "{what} within {limit_ms} ms");
            self.step();
        }
        self.now - began
    }

    fn all_run(&self, version: u64) -> bool {
        let serves = |f: &Frontend| f.version == version && !f.is_paused && f.lease_until > self.now;
        self.frontends.values().all(serves)
    }

    fn leader(&self) -> MemberId {
        *self
            .nodes
            .iter()
            .find(|(member_id, n)| n.node().is_leader() && !self.frozen.contains(member_id))
            .unwrap()
            .0
    }
}

fn settled_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed);
    cluster.wait_for(15_000.0, "all members serve", |c| c.all_run(0));
    // A new leader first assumes that every member holds a full lease. Wait until that has passed.
    cluster.run(2.0 * LEASE_MS);
    cluster
}
