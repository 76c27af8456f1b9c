//! Gearman's frontend: clients and workers of the Gearman protocol on the same core as the other frontends.
//!
//! Owns the connections of its listener and their packets, and the record of jobs. It decides nothing: which worker gets a
//! job, whether a job runs again and which jobs are rejected is the core's. The connection of each worker is an endpoint of
//! the core; `docs/gearman.md` says how rejections and failures look to a client.
//!
//! The caller must call `on_ready` and `accept` as its sockets are ready, and `tick` at `next_deadline` at the latest.

mod admin;
mod clients;
mod config;
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

/// Open jobs for each connection that may be open: the bound on all open jobs.
const JOBS_PER_CONNECTION: usize = 16;

/// An attempt at a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AttemptId {
    job: JobId,
    /// Its number among the attempts at the job.
    number: usize,
}

/// Why a file that was read again is not taken over.
#[derive(Debug, Error)]
pub enum IncompatibleConfig {
    /// It has other functions or kinds of workers.
    #[error("other functions or kinds take a restart")]
    Functions,
    /// It begins or ends with identities.
    #[error("to begin or end with `identity` takes a restart")]
    Identity,
    /// Its settings take a restart.
    #[error(transparent)]
    Settings(#[from] IncompatibleSettings),
    /// Its identity files cannot be used.
    #[error(transparent)]
    IdentityFiles(#[from] IdentityError),
}

/// A job that has not been answered.
struct Job {
    function: usize,
    unique: Vec<u8>,
    key: Option<Key>,
    data: Vec<u8>,
    /// Connections that wait for its answer, once for each submission.
    listeners: Vec<ConnId>,
    /// It was assigned to a worker at least once.
    was_assigned: bool,
    /// Numerator and denominator of its progress, as its worker wrote them.
    progress: (Vec<u8>, Vec<u8>),
}

impl Job {
    fn new(function: usize, unique: &[u8], key: Option<Key>, data: &[u8]) -> Job {
        Job {
            function,
            unique: unique.to_vec(),
            key,
            data: data.to_vec(),
            listeners: Vec::new(),
            was_assigned: false,
            progress: (vec![b'0'], vec![b'0']),
        }
    }
}

/// The frontend.
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
    /// Bytes in the outboxes of all peers.
    outbox_bytes: usize,
    /// Connections that may hold packets, to be served before the next event.
    to_serve: VecDeque<ConnId>,
    /// Connections that had their turns and may hold more packets.
    to_serve_next_tick: Vec<ConnId>,
}

impl GearmanFrontend {
    /// A frontend on a listener that is open.
    ///
    /// # Errors
    /// Where the identity files cannot be used.
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

    /// Checks whether a file that was read again can be taken over without a restart: open jobs name functions by their
    /// numbers. Returns the identity that goes with it, for `reload`.
    ///
    /// # Errors
    /// Where a change needs a restart, or the identity files cannot be used.
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

    /// Takes over a compatible file, and its identity.
    pub fn reload(&mut self, config: Config, identity: Option<Identity>) {
        self.core.reconfigure(config.site.clone(), config.peers * JOBS_PER_CONNECTION);
        self.record.reconfigure(config.record.0, config.record.1);
        (self.config, self.identity) = (config, identity);
    }

    /// Its core.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// Most connections that it may hold.
    pub fn peers(&self) -> usize {
        self.config.peers
    }

    /// Accepts the connections that wait. Above the bound a connection is closed at once, so that nothing is taken from it.
    pub fn accept(&mut self, net: &mut Sockets) {
        for _ in 0..64 {
            let Some(id) = net.accept(self.listener) else { return };
            if self.peers.len() >= self.config.peers || self.is_past_last_call() {
                net.close(id);
                continue;
            }
            let since = self.core.clock().now();
            let mut is_identified = true;
            if let Some(identity) = &self.identity {
                is_identified = false;
                let secured = identity.new_tls_session().is_some_and(|tls| net.start_tls(id, tls));
                if !secured {
                    net.close(id);
                    continue;
                }
            }
            let address = net.conn(id).and_then(|c| c.peer_address()).map(|a| a.ip());
            self.peers.insert(id, Peer::new(address, is_identified, since + READ_TIMEOUT_MS));
        }
    }

    /// A connection can be read or written, or broke.
    pub fn on_ready(&mut self, net: &mut Sockets, conn: ConnId) {
        self.serve(net, conn);
        self.carry_out(net);
    }

    /// Carries out the core's commands, and serves connections, until nothing follows any more.
    fn carry_out(&mut self, net: &mut Sockets) {
        loop {
            if let Some(command) = self.core.next_command() {
                match command {
                    Command::Send { job, attempt: number, endpoint } => {
                        self.offer(net, AttemptId { job, number }, endpoint);
                    }
                    Command::Cancel { job, attempt: number } => self.cancel(AttemptId { job, number }),
                    Command::Answer { job, answer } => self.answer(net, job, &answer),
                    Command::Probe { .. } | Command::Subscribe => {}
                }
            } else if let Some(id) = self.to_serve.pop_front() {
                self.serve(net, id);
            } else {
                return;
            }
        }
    }

    /// Does what is due by now.
    pub fn tick(&mut self, net: &mut Sockets) {
        let now = self.core.clock().now();
        if let Some(identity) = &mut self.identity {
            identity.reread(now);
        }
        self.core.tick();
        for conn in std::mem::take(&mut self.to_serve_next_tick) {
            self.serve(net, conn);
        }
        self.carry_out(net);
        self.expire_workers(now);
        self.carry_out(net);
        let over = |p: &Peer| [p.close_deadline, p.read_deadline].into_iter().flatten().any(|at| at <= now);
        let over = self.peers.iter().filter(|(_, p)| over(p)).map(|(&id, _)| id);
        for id in over.collect::<Vec<_>>() {
            self.on_peer_left(net, id);
        }
        if self.is_past_last_call() {
            self.core.reject_new_jobs();
        }
        self.carry_out(net);
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> f64 {
        let now = self.core.clock().now();
        if !self.to_serve_next_tick.is_empty() {
            return now;
        }
        let wake = self.core.next_deadline().unwrap_or(f64::INFINITY);
        let peers = self.peers.values().flat_map(|p| [p.close_deadline, p.read_deadline]).flatten();
        let stop = self.shutdown.map_or(f64::INFINITY, |shutdown| shutdown.accepts_until_ms.max(now + 20.0));
        let workers = self.peers.values().filter_map(|p| p.worker.as_ref()).map(Worker::next_deadline);
        peers.chain(workers).fold(wake.min(stop), f64::min)
    }

    /// Begins to stop.
    pub fn stop(&mut self) {
        self.shutdown.get_or_insert_with(|| Shutdown::begin(&mut self.core));
    }

    /// Whether it is past its last call.
    fn is_past_last_call(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| self.core.clock().now() >= shutdown.accepts_until_ms)
    }

    /// Whether all jobs are answered, and the answers are written as far as the peers read.
    pub fn is_stopped(&mut self, net: &mut Sockets) -> bool {
        let now = self.core.clock().now();
        let Some(shutdown) = self.shutdown.as_mut().filter(|_| self.core.open_jobs() == 0) else {
            return false;
        };
        let mut written = |(id, peer): (&ConnId, &Peer)| {
            net.conn(*id).is_none_or(|c| c.is_written() && peer.outbox.is_empty() || c.broken)
        };
        shutdown.is_over(now, || self.peers.iter().all(&mut written))
    }

    /// The handle by which clients and workers name a job.
    fn handle(job_id: JobId) -> String {
        format!("H:micabeam:{}", job_id.0)
    }

    /// The job that a handle names, if it is a valid handle.
    fn job_of_handle(handle: &[u8]) -> Option<JobId> {
        std::str::from_utf8(handle).ok()?.strip_prefix("H:micabeam:")?.parse().ok().map(JobId)
    }
}
