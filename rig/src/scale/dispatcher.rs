//! A simulated dispatcher: the control plane of one member, its frontend state, its disk, and the resources that it used.

use std::time::{Duration, Instant};

use micabeam::consensus::{Write, vote_file};
use micabeam::control_plane::{ControlPlane, ControlPlaneConfig};
use micabeam::fleet::{self, DocumentHash, MemberConfig, MemberId};
use micabeam::rollout;
use micabeam::zones::{self, AttemptResult, ZoneLoad};

use super::checker::FrontState;
use super::plan::Plan;

/// Name of the cluster.
const CLUSTER_NAME: &str = "scale";
/// Datagrams that the kernel queues for a suspended process.
const SOCKET_BUFFER: usize = 256;
/// Total worker slots of a zone, as its dispatchers see them.
const ZONE_SLOTS: u16 = 1000;
/// Open requests at each dispatcher.
const OPEN_REQUESTS: usize = 20;

/// Resources that a dispatcher has used.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Datagrams sent and received.
    pub(super) frames: u64,
    /// Bytes of these datagrams, including IP and UDP headers.
    pub(super) bytes: u64,
    /// Processor time spent in its state machine.
    pub(super) cpu_time: Duration,
}

/// A simulated dispatcher (one member of the fleet).
pub(super) struct Dispatcher {
    /// State machine of its process; `None` while it is down.
    pub(super) control_plane: Option<ControlPlane>,
    /// Number of its current process; events of earlier processes are ignored.
    pub(super) process: u64,
    /// State of its frontend.
    pub(super) front: FrontState,
    /// Whether it is suspended.
    pub(super) frozen: bool,
    /// Datagrams that arrived while it was suspended.
    pub(super) queued: Vec<(MemberId, Vec<u8>)>,
    /// Content of the vote file.
    disk: Vec<u8>,
    /// Policy documents on its disk.
    documents: Vec<(DocumentHash, Vec<u8>)>,
    /// Resources that it has used.
    pub(super) usage: Usage,
    /// Start time of its current process; infinite while it is down.
    pub(super) up_since: f64,
    /// Whether its lease has lapsed in this process.
    pub(super) lapsed: bool,
    /// Whether it was suspended or cut off since it last got a lease, which excuses a lapse.
    pub(super) lapse_excused: bool,
}

impl Dispatcher {
    /// Creates a dispatcher that has not been started.
    pub(super) fn new(plan: &Plan) -> Dispatcher {
        Dispatcher {
            control_plane: None,
            process: 0,
            front: FrontState::new(plan.keeps_leases),
            frozen: false,
            queued: Vec::new(),
            disk: Vec::new(),
            documents: Vec::new(),
            usage: Usage::default(),
            up_since: f64::INFINITY,
            lapsed: false,
            lapse_excused: false,
        }
    }

    /// Starts its process with the state on its disk.
    pub(super) fn start(
        &mut self,
        plan: &Plan,
        member_configs: &[MemberConfig],
        own: MemberId,
        now: f64,
        seed: u64,
    ) {
        let fleet = fleet::NodeConfig {
            cluster: CLUSTER_NAME.into(),
            generation: 1,
            members: member_configs.to_vec(),
            member_id: own,
            incarnation: now as u64,
            seed,
        };
        let rollout =
            Some(rollout::RolloutSettings { lease_ms: plan.lease_ms, ..rollout::RolloutSettings::default() });
        let config = ControlPlaneConfig {
            fleet,
            zones: plan.zones,
            failover: zones::FailoverSettings::default(),
            rollout,
        };
        let persisted_votes = vote_file::read(&self.disk, 1).ok().and_then(|read| read.persisted);
        let mut control_plane =
            ControlPlane::new(config, persisted_votes, now).expect("the plan was checked");
        for (_, document) in &self.documents {
            control_plane.with_participant(now, |_, node| node.store_document(document));
        }
        self.control_plane = Some(control_plane);
        self.process += 1;
        self.front = FrontState::new(plan.keeps_leases);
        self.up_since = now;
        (self.frozen, self.lapsed, self.lapse_excused) = (false, false, false);
        self.queued.clear();
    }

    /// Ends its process at once, as SIGKILL does.
    pub(super) fn kill(&mut self) {
        self.control_plane = None;
        self.process += 1;
        self.front = FrontState::new(self.front.keeps_lease);
        self.up_since = f64::INFINITY;
        self.frozen = false;
        self.queued.clear();
    }

    /// Whether it sees all other members as alive.
    pub(super) fn sees_all_members(&self) -> bool {
        self.control_plane.as_ref().is_some_and(|plane| plane.node().alive().iter().all(|up| *up))
    }

    /// Whether its process is up and not suspended.
    pub(super) fn is_running(&self) -> bool {
        self.control_plane.is_some() && !self.frozen
    }

    /// Queues a datagram for a suspended process, as its socket buffer does; drops it if the buffer is full.
    pub(super) fn queue_datagram(&mut self, from: MemberId, bytes: Vec<u8>) {
        if self.control_plane.is_some() && self.queued.len() < SOCKET_BUFFER {
            self.queued.push((from, bytes));
        }
    }

    /// Calls into the state machine, if the process is up, and adds the elapsed time to its processor time.
    pub(super) fn timed<T>(&mut self, with: impl FnOnce(&mut ControlPlane) -> T) -> Option<T> {
        let control_plane = self.control_plane.as_mut()?;
        let began = Instant::now();
        let result = with(control_plane);
        self.usage.cpu_time += began.elapsed();
        Some(result)
    }

    /// Handles a timer tick with a synthetic load of attempts; `lost` is a zone whose workers refuse connections.
    pub(super) fn tick(&mut self, now: f64, zones: usize, home: usize, lost: Option<usize>) {
        self.timed(|plane| {
            let zone = now as usize / 50 % 8 % zones;
            let zone = if zone == 0 { home } else { (home + zone) % zones };
            let end = if lost == Some(zone) { AttemptResult::Refused } else { AttemptResult::Answered };
            plane.zones_mut().outcome_counter().record_arrival(false);
            plane.zones_mut().outcome_counter().record_attempt(zone, end, 20.0);
            plane.tick(now, OPEN_REQUESTS, |_| ZoneLoad {
                in_flight: OPEN_REQUESTS as u16,
                slots: ZONE_SLOTS,
            });
        });
    }

    /// Applies a write to the vote file.
    pub(super) fn write_votes(&mut self, write: Write) {
        match write {
            Write::Nothing => {}
            Write::Append(bytes) => self.disk.extend(bytes),
            Write::Replace(bytes) => self.disk = bytes,
        }
    }

    /// Stores a policy document on its disk.
    pub(super) fn store_policy(&mut self, hash: DocumentHash, bytes: Vec<u8>) {
        self.documents.retain(|(known, _)| *known != hash);
        self.documents.push((hash, bytes));
        // A real dispatcher keeps the same number.
        if self.documents.len() > 8 {
            self.documents.remove(0);
        }
    }
}
