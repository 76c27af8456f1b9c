//! The Gearman frontend: serves clients and workers of the Gearman protocol, on the same core as the other
//! frontends.
//!
//! The frontend owns the connections of its listener, their packets and the record of jobs, but makes no
//! scheduling decisions. The core decides which worker gets a job, whether a job is retried and which jobs
//! are rejected. Each worker connection is an endpoint of the core. `docs/gearman.md` describes how
//! rejections and failures look to a client.
//!
//! The caller must call `on_ready` and `accept` when its sockets are ready, and `tick` no later than
//! `next_deadline`.

mod admin;
mod clients;
mod config;
mod denial;
pub mod identity;
pub mod packets;
mod peers;
mod record;
mod workers;

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use thiserror::Error;

use super::Sockets;
use super::shutdown::Shutdown;
use crate::core::{Clock, Command, Core, IncompatibleSettings, ListScope};
use crate::net::ConnId;
use crate::routing::{EndpointId, JobId};

pub use config::{Config, ConfigError, Function};
use identity::{Identity, IdentityError};
use peers::{Peer, READ_TIMEOUT_MS};
use record::{Key, Record};
use workers::Worker;

/// Open jobs per permitted connection; the bound on all open jobs is this number times the connection limit.
const JOBS_PER_CONNECTION: usize = 16;

/// An attempt at a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AttemptId {
    job: JobId,
    /// Number of the attempt among the attempts at its job.
    number: usize,
}

/// The reason why a configuration that was read again cannot be applied.
#[derive(Debug, Error)]
pub enum IncompatibleConfig {
    /// The functions or the kinds of workers changed.
    #[error("changes to the functions or their kinds need a restart")]
    Functions,
    /// `identity` was added or removed.
    #[error("adding or removing `identity` needs a restart")]
    Identity,
    /// A change in the core's settings needs a restart.
    #[error(transparent)]
    Settings(#[from] IncompatibleSettings),
    /// The identity files are unusable.
    #[error(transparent)]
    IdentityFiles(#[from] IdentityError),
}

/// A job without a final answer.
struct Job {
    function: usize,
    /// Whether the job may run more than once, by the settings in force at its submission.
    is_idempotent: bool,
    unique: Vec<u8>,
    key: Option<Key>,
    data: Vec<u8>,
    /// Client connections that wait for the final answer, once per submission.
    listeners: Vec<ConnId>,
    /// Whether the job was assigned to a worker at least once.
    was_assigned: bool,
    /// Numerator and denominator of the progress, as the worker sent them.
    progress: (Vec<u8>, Vec<u8>),
}

impl Job {
    fn new(function: usize, is_idempotent: bool, unique: &[u8], key: Option<Key>, data: &[u8]) -> Job {
        Job {
            function,
            is_idempotent,
            unique: unique.to_vec(),
            key,
            data: data.to_vec(),
            listeners: Vec::new(),
            was_assigned: false,
            progress: (vec![b'0'], vec![b'0']),
        }
    }
}

/// The Gearman frontend, driven by the event loop of its caller.
pub struct GearmanFrontend {
    core: Core,
    config: Config,
    listener: usize,
    peers: FxHashMap<ConnId, Peer>,
    endpoints: FxHashMap<EndpointId, ConnId>,
    jobs: FxHashMap<JobId, Job>,
    record: Record,
    identity: Option<Identity>,
    shutdown: Option<Shutdown>,
    /// Total bytes in the outboxes of all peers.
    outbox_bytes: usize,
    /// Connections that may have buffered packets, to be served before the next event.
    to_serve: VecDeque<ConnId>,
    /// Connections that used up their turn and may have more buffered packets.
    to_serve_next_tick: Vec<ConnId>,
}

impl GearmanFrontend {
    /// Creates a frontend on an open listener.
    ///
    /// # Errors
    /// If the identity files are unusable.
    pub fn new(
        config: Config,
        seed: u64,
        clock: Clock,
        listener: usize,
    ) -> Result<GearmanFrontend, IdentityError> {
        let identity = config.identity.clone().map(Identity::load).transpose()?;
        let mut core = Core::new(config.site.clone(), seed, clock, config.peers * JOBS_PER_CONNECTION);
        core.on_list(Vec::new(), ListScope::Complete);
        Ok(GearmanFrontend {
            core,
            listener,
            peers: FxHashMap::default(),
            endpoints: FxHashMap::default(),
            jobs: FxHashMap::default(),
            record: Record::new(config.record.0, config.record.1),
            identity,
            config,
            shutdown: None,
            outbox_bytes: 0,
            to_serve: VecDeque::new(),
            to_serve_next_tick: Vec::new(),
        })
    }

    /// Checks whether a configuration that was read again can be applied without a restart. The functions
    /// must stay the same, because open jobs refer to them by index. Returns the identity for `reload`.
    ///
    /// # Errors
    /// If a change needs a restart, or the identity files are unusable.
    pub fn check_compatible(&self, config: &Config) -> Result<Option<Identity>, IncompatibleConfig> {
        let names = |c: &Config| c.functions.iter().map(|f| (f.name.clone(), f.kind)).collect::<Vec<_>>();
        if names(config) != names(&self.config) || config.kinds != self.config.kinds {
            return Err(IncompatibleConfig::Functions);
        }
        if config.identity.is_some() != self.identity.is_some() {
            return Err(IncompatibleConfig::Identity);
        }
        self.core.check_compatible(&config.site)?;
        Ok(config.identity.clone().map(Identity::load).transpose()?)
    }

    /// Applies a configuration that `check_compatible` has accepted, with the identity that it returned.
    pub fn reload(&mut self, config: Config, identity: Option<Identity>) {
        self.core.reconfigure(config.site.clone(), config.peers * JOBS_PER_CONNECTION);
        self.record.reconfigure(config.record.0, config.record.1);
        (self.config, self.identity) = (config, identity);
    }

    /// Returns the core of this frontend.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// Returns the connection limit.
    pub fn peers(&self) -> usize {
        self.config.peers
    }

    /// Accepts waiting connections. Above the connection limit, a connection is closed at once, before a
    /// packet of it is read.
    pub fn accept(&mut self, net: &mut Sockets) {
        for _ in 0..64 {
            let Some(id) = net.accept(self.listener) else { return };
            if self.peers.len() >= self.config.peers || self.has_stopped_accepting() {
                net.close(id);
                continue;
            }
            let now = self.core.clock().now();
            let mut is_identified = true;
            if let Some(identity) = &self.identity {
                is_identified = false;
                let is_tls_started = identity.new_tls_session().is_some_and(|tls| net.start_tls(id, tls));
                if !is_tls_started {
                    net.close(id);
                    continue;
                }
            }
            let address = net.conn(id).and_then(|c| c.peer_address()).map(|a| a.ip());
            self.peers.insert(id, Peer::new(address, is_identified, now + READ_TIMEOUT_MS));
        }
    }

    /// Handles a connection that became readable or writable, or failed.
    pub fn on_ready(&mut self, net: &mut Sockets, conn: ConnId) {
        self.serve(net, conn);
        self.carry_out(net);
    }

    /// Carries out the core's commands and serves connections until there are no more of either.
    fn carry_out(&mut self, net: &mut Sockets) {
        loop {
            if let Some(command) = self.core.next_command() {
                match command {
                    Command::Send { job, attempt: number, endpoint } => {
                        self.offer(net, AttemptId { job, number }, endpoint);
                    }
                    Command::Cancel { job, attempt: number } => self.cancel(AttemptId { job, number }),
                    Command::Answer { job, answer } => self.on_final_answer(net, job, &answer),
                    Command::Probe { .. } | Command::Subscribe => {}
                }
            } else if let Some(id) = self.to_serve.pop_front() {
                self.serve(net, id);
            } else {
                return;
            }
        }
    }

    /// Handles expired deadlines.
    pub fn tick(&mut self, net: &mut Sockets) {
        let now = self.core.clock().now();
        if let Some(identity) = &mut self.identity {
            identity.reload_if_changed(now);
        }
        self.core.tick();
        for conn in std::mem::take(&mut self.to_serve_next_tick) {
            self.serve(net, conn);
        }
        self.carry_out(net);
        self.expire_workers(now);
        self.carry_out(net);
        let is_expired =
            |p: &Peer| [p.close_deadline, p.read_deadline].into_iter().flatten().any(|at| at <= now);
        let expired = self.peers.iter().filter(|(_, p)| is_expired(p)).map(|(&id, _)| id);
        for id in expired.collect::<Vec<_>>() {
            self.on_peer_left(net, id);
        }
        if self.has_stopped_accepting() {
            self.core.reject_new_jobs();
        }
        self.carry_out(net);
    }

    /// Returns when `tick` must be called next, in milliseconds of the clock.
    pub fn next_deadline(&self) -> f64 {
        let now = self.core.clock().now();
        if !self.to_serve_next_tick.is_empty() {
            return now;
        }
        let wake = self.core.next_deadline().unwrap_or(f64::INFINITY);
        let peers = self.peers.values().flat_map(|p| [p.close_deadline, p.read_deadline]).flatten();
        let shutdown =
            self.shutdown.map_or(f64::INFINITY, |shutdown| shutdown.accepts_until_ms.max(now + 20.0));
        let workers = self.peers.values().filter_map(|p| p.worker.as_ref()).map(Worker::next_deadline);
        peers.chain(workers).fold(wake.min(shutdown), f64::min)
    }

    /// Begins a graceful shutdown.
    pub fn stop(&mut self) {
        self.shutdown.get_or_insert_with(|| Shutdown::begin(&mut self.core));
    }

    /// Whether a shutdown has reached the time from which new connections and jobs are rejected.
    fn has_stopped_accepting(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| self.core.clock().now() >= shutdown.accepts_until_ms)
    }

    /// Whether the shutdown is complete: all jobs have ended, and all packets are written or the peers have
    /// had their time to read them.
    pub fn is_stopped(&mut self, net: &mut Sockets) -> bool {
        let now = self.core.clock().now();
        let Some(shutdown) = self.shutdown.as_mut().filter(|_| self.core.open_jobs() == 0) else {
            return false;
        };
        let mut is_written = |(id, peer): (&ConnId, &Peer)| {
            net.conn(*id).is_none_or(|c| c.is_written() && peer.outbox.is_empty() || c.broken)
        };
        shutdown.is_over(now, || self.peers.iter().all(&mut is_written))
    }

    /// Returns the handle of a job on the wire.
    fn handle(job_id: JobId) -> String {
        format!("H:micabeam:{}", job_id.0)
    }

    /// Parses a handle; `None` if it is not valid.
    fn job_of_handle(handle: &[u8]) -> Option<JobId> {
        std::str::from_utf8(handle).ok()?.strip_prefix("H:micabeam:")?.parse().ok().map(JobId)
    }
}
