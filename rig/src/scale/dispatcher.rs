//! A hollow dispatcher: the state machines of one member, its front, its disk, and what it has used.

use std::time::{Duration, Instant};

use micabeam::consensus::{Write, vote_file};
use micabeam::control_plane::{ControlPlane, ControlPlaneConfig};
use micabeam::fleet::{self, DocumentHash, MemberConfig, MemberId};
use micabeam::rollout;
use micabeam::zones::{self, AttemptResult, ZoneLoad};

use super::checker::Front;
use super::plan::Plan;

/// The cluster's name.
const CLUSTER: &str = "scale";
/// Datagrams that the system keeps for a process that stands still.
const SOCKET_BUFFER: usize = 256;
/// Slots of a zone's workers, as its dispatchers see them.
const SLOTS: u16 = 1000;
/// Requests that are open with a dispatcher.
const OPEN: usize = 20;

/// What a dispatcher has used.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Datagrams, both ways.
    pub(super) frames: u64,
    /// Their bytes, headers among them.
    pub(super) bytes: u64,
    /// Processor time.
    pub(super) busy: Duration,
}

/// One member.
pub(super) struct Dispatcher {
    /// Its process; none while it is down.
    pub(super) shared: Option<ControlPlane>,
    /// Number of its process.
    pub(super) process: u64,
    /// Its front.
    pub(super) front: Front,
    /// It stands still.
    pub(super) frozen: bool,
    /// Datagrams that came since.
    pub(super) waiting: Vec<(MemberId, Vec<u8>)>,
    /// The voter's file.
    disk: Vec<u8>,
    /// Policies on its disk.
    documents: Vec<(DocumentHash, Vec<u8>)>,
    /// What it has used.
    pub(super) usage: Usage,
    /// Since when it has been there without a break.
    pub(super) up_since: f64,
    /// It has let its lease run out since it first served.
    pub(super) lapsed: bool,
    /// It was frozen or cut off since it last got a lease.
    pub(super) excused: bool,
}

impl Dispatcher {
    /// One that was never started.
    pub(super) fn new(plan: &Plan) -> Dispatcher {
        Dispatcher {
            shared: None,
            process: 0,
            front: Front::new(plan.keeps_leases),
            frozen: false,
            waiting: Vec::new(),
            disk: Vec::new(),
            documents: Vec::new(),
            usage: Usage::default(),
            up_since: f64::INFINITY,
            lapsed: false,
            excused: false,
        }
    }

    /// Starts its process, with what its disk has.
    pub(super) fn start(&mut self, plan: &Plan, places: &[MemberConfig], own: MemberId, now: f64, seed: u64) {
        let fleet = fleet::NodeConfig {
            cluster: CLUSTER.into(),
            generation: 1,
            members: places.to_vec(),
            member_id: own,
            incarnation: now as u64,
            seed,
        };
        let rollout =
            Some(rollout::RolloutSettings { lease_ms: plan.lease_ms, ..rollout::RolloutSettings::default() });
        let setup = ControlPlaneConfig {
            fleet,
            zones: plan.zones,
            failover: zones::FailoverSettings::default(),
            rollout,
        };
        let kept = vote_file::read(&self.disk, 1).ok().and_then(|read| read.persisted);
        let mut shared = ControlPlane::new(setup, kept, now).expect("the plan was checked");
        for (_, document) in &self.documents {
            shared.with_participant(now, |_, node| node.store_document(document));
        }
        self.shared = Some(shared);
        self.process += 1;
        self.front = Front::new(plan.keeps_leases);
        self.up_since = now;
        (self.frozen, self.lapsed, self.excused) = (false, false, false);
        self.waiting.clear();
    }

    /// Ends its process at once.
    pub(super) fn kill(&mut self) {
        self.shared = None;
        self.process += 1;
        self.front = Front::new(self.front.keeps_lease);
        self.up_since = f64::INFINITY;
        self.frozen = false;
        self.waiting.clear();
    }

    /// Whether it knows of all other members that they are there.
    pub(super) fn knows_all(&self) -> bool {
        self.shared.as_ref().is_some_and(|shared| shared.node().alive().iter().all(|up| *up))
    }

    /// Whether it does anything.
    pub(super) fn runs(&self) -> bool {
        self.shared.is_some() && !self.frozen
    }

    /// A datagram for one that stands still waits in its socket, if there is room.
    pub(super) fn keep_waiting(&mut self, from: MemberId, bytes: Vec<u8>) {
        if self.shared.is_some() && self.waiting.len() < SOCKET_BUFFER {
            self.waiting.push((from, bytes));
        }
    }

    /// Has the process do something, and counts the time that it takes.
    pub(super) fn work<T>(&mut self, with: impl FnOnce(&mut ControlPlane) -> T) -> Option<T> {
        let shared = self.shared.as_mut()?;
        let began = Instant::now();
        let result = with(shared);
        self.usage.busy += began.elapsed();
        Some(result)
    }

    /// Does what is due, with some work at the dispatcher; `lost` is a zone whose workers refuse.
    pub(super) fn tick(&mut self, now: f64, zones: usize, home: usize, lost: Option<usize>) {
        self.work(|shared| {
            let zone = now as usize / 50 % 8 % zones;
            let zone = if zone == 0 { home } else { (home + zone) % zones };
            let end = if lost == Some(zone) { AttemptResult::Refused } else { AttemptResult::Answered };
            shared.zones_mut().outcome_counter().record_arrival(false);
            shared.zones_mut().outcome_counter().record_attempt(zone, end, 20.0);
            shared.tick(now, OPEN, |_| ZoneLoad { in_flight: OPEN as u16, slots: SLOTS });
        });
    }

    /// Writes to its disk.
    pub(super) fn write(&mut self, write: Write) {
        match write {
            Write::Nothing => {}
            Write::Append(bytes) => self.disk.extend(bytes),
            Write::Replace(bytes) => self.disk = bytes,
        }
    }

    /// Keeps a policy on its disk.
    pub(super) fn save(&mut self, hash: DocumentHash, bytes: Vec<u8>) {
        self.documents.retain(|(known, _)| *known != hash);
        self.documents.push((hash, bytes));
        // As many as a real one keeps.
        if self.documents.len() > 8 {
            self.documents.remove(0);
        }
    }
}
