//! A model of members and their frontends over a network on a set clock. At each step every frontend that may serve does,
//! and the version that it runs is compared with what has run before anywhere.

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

/// A frontend as the participant sees it.
#[derive(Default)]
struct Front {
    version: u64,
    is_paused: bool,
    lease_until: f64,
    /// When it was paused.
    paused_at: f64,
}

struct Cluster {
    now: f64,
    nodes: BTreeMap<MemberId, ControlPlane>,
    fronts: BTreeMap<MemberId, Front>,
    frozen: BTreeSet<MemberId>,
    disks: BTreeMap<MemberId, Vec<u8>>,
    documents: BTreeMap<MemberId, Vec<Vec<u8>>>,
    in_transit: Vec<(f64, u64, MemberId, MemberId, Vec<u8>)>,
    sent: u64,
    cut: BTreeSet<(MemberId, MemberId)>,
    loss: f64,
    draws: fastrand::Rng,
    /// Frontends that reject a version, and which.
    rejected: BTreeSet<(MemberId, u64)>,
    /// The newest version that anybody has served.
    newest_served: u64,
    decided: BTreeSet<u64>,
    given_up: BTreeSet<u64>,
    pause_lengths: Vec<f64>,
    served: u64,
    /// Guards that a test switches off to see that the model finds the fault: leases that end, and pauses that are kept.
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
            fronts: BTreeMap::new(),
            frozen: BTreeSet::new(),
            disks: BTreeMap::new(),
            documents: BTreeMap::new(),
            in_transit: Vec::new(),
            sent: 0,
            cut: BTreeSet::new(),
            loss: 0.0,
            draws: fastrand::Rng::with_seed(seed),
            rejected: BTreeSet::new(),
            newest_served: 0,
            decided: BTreeSet::from([0]),
            given_up: BTreeSet::new(),
            pause_lengths: Vec::new(),
            served: 0,
            enforces_leases: true,
            enforces_pauses: true,
        };
        (0..MEMBERS as MemberId).for_each(|at| cluster.start(at));
        cluster
    }

    fn start(&mut self, own: MemberId) {
        let members = (0..MEMBERS).map(|at| MemberConfig { zone: 0, is_voter: at < 3 }).collect();
        let (incarnation, seed) = (self.now as u64, self.draws.u64(..));
        let fleet = fleet::NodeConfig {
            cluster: "test".into(),
            generation: 1,
            members,
            member_id: own,
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
            .get(&own)
            .map(|bytes| vote_file::read(bytes, 1).unwrap().persisted)
            .unwrap_or_default();
        let mut node = ControlPlane::new(config, persisted, self.now).unwrap();
        for document in self.documents.get(&own).into_iter().flatten() {
            node.with_participant(self.now, |_, node| node.store_document(document));
        }
        self.nodes.insert(own, node);
        self.fronts.insert(own, Front::default());
    }

    fn kill(&mut self, at: MemberId) {
        self.nodes.remove(&at);
        self.fronts.remove(&at);
        self.frozen.remove(&at);
    }

    fn split(&mut self, one: &[MemberId]) {
        for a in 0..MEMBERS as MemberId {
            for b in 0..MEMBERS as MemberId {
                if one.contains(&a) != one.contains(&b) {
                    self.cut.insert((a, b));
                }
            }
        }
    }

    fn propose(&mut self, at: MemberId, version: u64) -> Result<(), ProposeError> {
        let now = self.now;
        let node = self.nodes.get_mut(&at).unwrap();
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

    fn serve(&mut self, at: MemberId) {
        let front = &self.fronts[&at];
        if front.is_paused && self.enforces_pauses
            || self.enforces_leases && self.now >= front.lease_until
            || front.lease_until <= 0.0
        {
            return;
        }
        self.served += 1;
        assert!(self.decided.contains(&front.version), "{at} runs {} undecided", front.version);
        assert!(!self.given_up.contains(&front.version), "{at} runs {}, which was given up", front.version);
        assert!(
            front.version >= self.newest_served,
            "{at} runs {} at {} after {} ran elsewhere",
            front.version,
            self.now,
            self.newest_served
        );
        self.newest_served = front.version;
    }

    fn carry_out(&mut self, at: MemberId, effect: control_plane::Effect) {
        match effect {
            control_plane::Effect::Rollout(effect) => self.carry_out_rollout(at, effect),
            control_plane::Effect::Node(fleet::Effect::Send { to, bytes }) => self.send(at, to, bytes),
            control_plane::Effect::Node(fleet::Effect::Write(write)) => self.write(at, write),
            control_plane::Effect::Zones(_) => {}
        }
    }

    fn send(&mut self, at: MemberId, to: MemberId, bytes: Vec<u8>) {
        let now = self.now;
        if !self.cut.contains(&(at, to)) && self.draws.f64() >= self.loss {
            self.sent += 1;
            let delay = if self.loss > 0.0 { self.draws.u64(0..60) as f64 } else { 0.0 };
            self.in_transit.push((now + 1.0 + delay, self.sent, at, to, bytes.clone()));
            // Some come again, much later.
            if self.loss > 0.0 && self.draws.u8(..20) == 0 {
                self.in_transit.push((now + 10_000.0, self.sent, at, to, bytes));
            }
        }
    }

    fn write(&mut self, at: MemberId, write: Write) {
        let now = self.now;
        match write {
            Write::Nothing => {}
            Write::Append(bytes) => self.disks.entry(at).or_default().extend(bytes),
            Write::Replace(bytes) => drop(self.disks.insert(at, bytes)),
        }
        self.nodes.get_mut(&at).unwrap().on_written(now, true);
    }

    fn carry_out_rollout(&mut self, at: MemberId, effect: Effect) {
        let now = self.now;
        let front = self.fronts.get_mut(&at).unwrap();
        let node = self.nodes.get_mut(&at).unwrap();
        match effect {
            Effect::Save(hash, bytes) => {
                self.documents.entry(at).or_default().push(bytes);
                node.with_participant(now, |member, _| member.on_saved(hash, None));
            }
            Effect::Check(policy, bytes) => {
                assert!(bytes.starts_with(format!("version = {}\n", policy.version).as_bytes()));
                let error =
                    self.rejected.contains(&(at, policy.version)).then(|| "line 3: no such".to_string());
                node.with_participant(now, |member, _| member.on_checked(now, policy.version, error));
            }
            Effect::Pause(pause) => {
                (front.is_paused, front.paused_at) = (true, now);
                node.with_participant(now, |member, _| member.on_paused(now, pause));
            }
            Effect::Resume => {
                self.pause_lengths.push(now - front.paused_at);
                front.is_paused = false;
            }
            Effect::Apply(policy, _) => front.version = policy.version,
            Effect::Serve(until) => front.lease_until = until,
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

    fn runs(&self, version: u64) -> bool {
        let serves = |f: &Front| f.version == version && !f.is_paused && f.lease_until > self.now;
        self.fronts.values().all(serves)
    }

    fn leader(&self) -> MemberId {
        *self.nodes.iter().find(|(at, n)| n.node().is_leader() && !self.frozen.contains(at)).unwrap().0
    }
}

fn settled_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed);
    cluster.wait_for(15_000.0, "all serve", |c| c.runs(0));
    // A new leader takes all for leased at first.
    cluster.run(2.0 * LEASE_MS);
    cluster
}
