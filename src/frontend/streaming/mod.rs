//! The streaming frontend: HTTP/1.1 whose endpoints answer on the same connection, with bodies of any length relayed as
//! they come.
//!
//! Owns the connections of its listener and those to its endpoints, and the exchanges between them. It decides nothing: which
//! endpoint gets a request, whether it is sent again and which requests are rejected is the core's; which connection is read
//! next, how much, and which peer is too slow is `flow`'s.
//!
//! The caller must call `on_ready` and `accept` as its sockets are ready, and `tick` at `next_deadline` at the latest.

mod answers;
mod clients;
mod config;
mod counters;
mod endings;
mod exchange;
mod relay;
mod table;
mod transfer;
mod upstream;

use rustc_hash::FxHashMap;
use thiserror::Error;

use super::Sockets;
use super::discovery::{Discovery, DiscoveryUpdate};
use super::shutdown::Shutdown;
use crate::core::{Clock, Command, Core, FinalAnswer, IncompatibleSettings, ListScope};
use crate::flow::{Admission, Flow, Slots, StreamId};
use crate::net::{ConnId, Pipes, Pool};
use crate::routing::{EndpointId, JobId};

use clients::Client;
pub use config::{Config, ConfigError, Table};
use counters::Counters;
use exchange::Exchange;
use upstream::UpstreamConnection;

/// Bytes moved before the loop polls the sockets again: it bounds what small requests wait for beside full-speed streams.
const MAX_BYTES_PER_TICK: usize = 1 << 20;

/// Why a file that was read again is not taken over.
#[derive(Debug, Error)]
pub enum IncompatibleConfig {
    /// It begins or ends with discovery.
    #[error("to begin or end with `discovery` takes a restart")]
    Discovery,
    /// It has other classes.
    #[error("other classes take a restart")]
    Classes,
    /// Its settings take a restart.
    #[error(transparent)]
    Settings(#[from] IncompatibleSettings),
}

/// The frontend.
pub struct StreamingFrontend {
    core: Core,
    config: Config,
    listener: usize,
    clients: FxHashMap<ConnId, Client>,
    upstreams: FxHashMap<ConnId, UpstreamConnection>,
    pool: Pool<EndpointId>,
    exchanges: FxHashMap<StreamId, Exchange>,
    streams: FxHashMap<JobId, StreamId>,
    flow: Flow,
    admission: Admission,
    slots: Slots,
    pipes: Pipes,
    discovery: Option<Discovery>,
    counters: Counters,
    /// The last stream's id.
    last_stream: StreamId,
    /// Client connections that may hold a next request.
    clients_to_read: Vec<ConnId>,
    shutdown: Option<Shutdown>,
    /// When streams that still run are cut, in milliseconds of the clock.
    cut_at_ms: f64,
}

impl StreamingFrontend {
    /// A frontend on a listener that is open.
    pub fn new(config: Config, seed: u64, clock: Clock, listener: usize) -> StreamingFrontend {
        let discovery = config.table.discovery.map(|address| Discovery::new(address, Some(address), 0, seed));
        let mut core = Core::new(config.site.clone(), seed, clock, config.bounds.total);
        if discovery.is_some() {
            core.restore_list(Vec::new());
        } else {
            core.on_list(config.endpoints.clone(), ListScope::Complete);
        }
        StreamingFrontend {
            core,
            listener,
            clients: FxHashMap::default(),
            upstreams: FxHashMap::default(),
            pool: Pool::new(config.site.connection_idle_ms),
            exchanges: FxHashMap::default(),
            streams: FxHashMap::default(),
            flow: Flow::new(config.pool_bytes, config.turn_bytes),
            admission: Admission::new(config.bounds),
            slots: Slots::new(config.bounds.endpoint),
            pipes: Pipes::new(config.table.pipes),
            discovery,
            counters: Counters::default(),
            last_stream: 0,
            clients_to_read: Vec::new(),
            shutdown: None,
            cut_at_ms: f64::INFINITY,
            config,
        }
    }

    /// Checks whether a file that was read again can be taken over without a restart: open streams name classes by their
    /// numbers.
    ///
    /// # Errors
    /// Where a change needs a restart.
    pub fn check_compatible(&self, config: &Config) -> Result<(), IncompatibleConfig> {
        if config.table.discovery.is_some() != self.discovery.is_some() {
            return Err(IncompatibleConfig::Discovery);
        }
        let names = |c: &Config| c.table.class.iter().map(|c| c.name.clone()).collect::<Vec<_>>();
        if names(config) != names(&self.config) {
            return Err(IncompatibleConfig::Classes);
        }
        Ok(self.core.check_compatible(&config.site)?)
    }

    /// Takes over a compatible file. Open streams go on under the class that they began with.
    pub fn reload(&mut self, net: &mut Sockets, config: Config) {
        self.core.reconfigure(config.site.clone(), config.bounds.total);
        self.pool.set_idle_limit(config.site.connection_idle_ms);
        self.flow.reconfigure(config.pool_bytes, config.turn_bytes);
        self.admission.reconfigure(config.bounds);
        self.slots.reconfigure(config.bounds.endpoint);
        self.pipes.reconfigure(config.table.pipes);
        let now = self.now();
        if let Some(discovery) = &mut self.discovery {
            if discovery.names_other_service(config.table.discovery) {
                self.core.on_discovery_changed();
            }
            let update =
                discovery.switch_service(net, now, config.table.discovery, &self.core.site().settings);
            self.apply_discovery(net, update);
        } else {
            let lines = config.endpoints.clone();
            self.apply_discovery(net, Some(DiscoveryUpdate::List { lines, scope: ListScope::Complete }));
        }
        self.config = config;
        self.carry_out(net);
    }

    /// Its core.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// Its listener.
    pub fn listener(&self) -> usize {
        self.listener
    }

    /// Descriptors that a configuration may take: one for each client's connection, one to an endpoint for each stream, and
    /// two for each pipe.
    pub fn descriptors(config: &Config) -> usize {
        config.table.connections + config.bounds.total + 2 * config.table.pipes
    }

    /// What it counts beside its core.
    pub fn counters(&self) -> String {
        format!("{}{}held {}\n", self.core.counters(), self.counters, self.flow.held())
    }

    fn now(&self) -> f64 {
        self.core.clock().now()
    }

    /// Whether a connection is one of its own.
    pub fn owns(&self, conn: ConnId) -> bool {
        let discovery = self.discovery.as_ref().is_some_and(|d| d.owns(conn));
        discovery || self.clients.contains_key(&conn) || self.upstreams.contains_key(&conn)
    }

    /// A connection can be read or written, came up or broke.
    pub fn on_ready(&mut self, net: &mut Sockets, conn: ConnId) {
        if self.clients.contains_key(&conn) {
            self.on_client_ready(net, conn);
        } else if self.upstreams.contains_key(&conn) {
            self.on_upstream_ready(net, conn);
        } else if let Some(discovery) = &mut self.discovery {
            let update = discovery.on_ready(net, self.core.clock().now(), self.core.site());
            self.apply_discovery(net, update);
        }
        self.carry_out(net);
    }

    /// Hands the core what discovery has brought.
    fn apply_discovery(&mut self, net: &mut Sockets, update: Option<DiscoveryUpdate>) {
        for endpoint in update.map(|update| update.apply(&mut self.core)).unwrap_or_default() {
            self.close_idle_upstreams(net, endpoint);
        }
        if let Some(wait_ms) = self.discovery.as_mut().and_then(Discovery::take_started_call) {
            self.core.on_list_call(wait_ms);
        }
    }

    /// Carries out what the core has decided, until nothing follows from it any more.
    fn carry_out(&mut self, net: &mut Sockets) {
        while let Some(command) = self.core.next_command() {
            match command {
                Command::Send { job, attempt, endpoint } => {
                    self.send(net, job, attempt, endpoint);
                }
                Command::Cancel { job, attempt } => self.cancel(net, job, attempt),
                Command::Answer { job, answer } => self.answer(net, job, &answer),
                // What a probe would ask is counted here: the streams at each endpoint.
                Command::Probe { endpoint } => {
                    let report = self.slots.report(endpoint);
                    self.core.on_probe_ended(endpoint, true, 0.0, report);
                }
                Command::Subscribe => {
                    if let Some(discovery) = &mut self.discovery {
                        let update = discovery.call(net, self.core.clock().now(), &self.core.site().settings);
                        self.apply_discovery(net, update);
                    }
                }
            }
        }
    }

    /// Gives a job's final answer, where it was not given already.
    fn answer(&mut self, net: &mut Sockets, job: JobId, answer: &FinalAnswer) {
        let Some(&stream) = self.streams.get(&job) else { return };
        match answer {
            FinalAnswer::Served(_) => self.finish(net, stream),
            FinalAnswer::Rejected { retry_after_ms: retry_after } => {
                self.reject(net, stream, 503, *retry_after);
            }
            FinalAnswer::Failed => self.reject(net, stream, 502, 0.0),
        }
    }

    /// Does what is due by now, and moves bytes for a while.
    pub fn tick(&mut self, net: &mut Sockets) {
        let now = self.now();
        self.core.tick();
        self.carry_out(net);
        for conn in std::mem::take(&mut self.clients_to_read) {
            self.on_client_ready(net, conn);
        }
        self.expire_clients(net, now);
        self.expire_upstreams(net, now);
        self.expire_streams(net, now);
        if let Some(discovery) = &mut self.discovery {
            let update = discovery.tick(net, now, &self.core.site().settings);
            self.apply_discovery(net, update);
        }
        self.carry_out(net);
        let mut moved = 0;
        while moved < MAX_BYTES_PER_TICK
            && let Some(turn) = self.flow.next_turn()
        {
            // A turn that moves nothing costs a call or two: as much as some bytes do.
            moved += self.take_turn(net, turn).max(4096);
            self.carry_out(net);
        }
        if self.is_past_last_call() {
            self.core.reject_new_jobs();
            self.close_idle(net);
            if now >= self.cut_at_ms {
                self.cut_all(net);
            }
            self.carry_out(net);
        }
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> f64 {
        let now = self.now();
        if self.flow.has_turns() || !self.clients_to_read.is_empty() {
            return now;
        }
        let clients = self.clients.values().map(|c| c.deadline);
        let servers = self.upstreams.values().map(|s| s.connect_deadline);
        let stop = self.shutdown.map_or(f64::INFINITY, |shutdown| shutdown.accepts_until_ms.max(now + 20.0));
        let wake = self.core.next_deadline().unwrap_or(f64::INFINITY);
        let discovery = self.discovery.as_ref().map_or(f64::INFINITY, Discovery::next_deadline);
        let due = wake.min(stop).min(discovery).min(self.flow.next_deadline());
        let answers = self.exchanges.values().map(|e| e.answer_deadline);
        clients.chain(servers).chain(answers).fold(due, f64::min)
    }

    /// Begins to stop.
    pub fn stop(&mut self) {
        let span = self.config.table.stop_s * 1e3;
        self.cut_at_ms = self.cut_at_ms.min(self.now() + span);
        self.shutdown.get_or_insert_with(|| Shutdown::begin_with_kill_after(&mut self.core, span));
    }

    /// Whether it is past its last call.
    fn is_past_last_call(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| self.core.clock().now() >= shutdown.accepts_until_ms)
    }

    /// Whether all requests are answered, and the answers are written as far as the peers read.
    pub fn is_stopped(&mut self, net: &mut Sockets) -> bool {
        let now = self.now();
        let open = self.core.open_jobs() + self.exchanges.len();
        let Some(shutdown) = self.shutdown.as_mut().filter(|_| open == 0) else { return false };
        shutdown.is_over(now, || {
            self.clients.keys().all(|&id| net.conn(id).is_none_or(|c| c.is_written() || c.broken))
        })
    }
}
