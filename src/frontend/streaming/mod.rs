//! The streaming frontend: an HTTP/1.1 reverse proxy that relays request and response bodies of any length
//! while they arrive. Endpoints respond on the connection that carried the request.
//!
//! The frontend owns the client connections of its listener, the connections to its endpoints and the
//! exchanges between them, but makes no routing decisions. The core decides which endpoint gets a request,
//! whether a request is retried and which requests are rejected. `flow` decides which connection
//! is read next, how much is read, and which peer is too slow.
//!
//! The caller must call `on_ready` and `accept` when its sockets are ready, and `tick` no later than
//! `next_deadline`.

mod answers;
mod clients;
mod config;
mod counters;
mod endings;
mod exchange;
mod rejection;
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
use rejection::Rejection;
use upstream::UpstreamConnection;

/// Bytes that one tick transfers before the event loop polls the sockets again. It bounds how long small
/// requests wait while other streams transfer at full speed.
const MAX_BYTES_PER_TICK: usize = 1 << 20;

/// The reason why a configuration that was read again cannot be applied without a restart.
#[derive(Debug, Error)]
pub enum IncompatibleConfig {
    /// `discovery` was added or removed.
    #[error("adding or removing `discovery` needs a restart")]
    Discovery,
    /// Classes were added, removed, renamed or reordered.
    #[error("changes to the list of classes need a restart")]
    Classes,
    /// A change in the core's settings needs a restart.
    #[error(transparent)]
    Settings(#[from] IncompatibleSettings),
}

/// The streaming frontend, driven by the event loop of its caller.
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
    /// Id of the stream that was opened last; ids are never reused.
    last_stream: StreamId,
    /// Client connections that may have buffered input, to be read in the next tick.
    clients_to_read: Vec<ConnId>,
    shutdown: Option<Shutdown>,
    /// When a shutdown aborts the streams that are still open, in milliseconds of the clock.
    abort_at_ms: f64,
}

impl StreamingFrontend {
    /// Creates a frontend on an open listener.
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
            abort_at_ms: f64::INFINITY,
            config,
        }
    }

    /// Checks whether a configuration that was read again can be applied without a restart. The classes must
    /// stay the same, because open streams refer to them by index.
    ///
    /// # Errors
    /// If a change needs a restart.
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

    /// Applies a configuration that `check_compatible` has accepted. Open streams keep the class rules that
    /// they started with.
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

    /// Returns the core of this frontend.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// Returns the listener that was given to `new`.
    pub fn listener(&self) -> usize {
        self.listener
    }

    /// Returns the number of file descriptors that a configuration can use: one per client connection, one
    /// upstream connection per stream, and two per pipe.
    pub fn descriptors(config: &Config) -> usize {
        config.table.connections + config.bounds.total + 2 * config.table.pipes
    }

    /// Returns the counters of the core and of this frontend as text, one per line.
    pub fn counters(&self) -> String {
        format!("{}{}held {}\n", self.core.counters(), self.counters, self.flow.held())
    }

    fn now(&self) -> f64 {
        self.core.clock().now()
    }

    /// Whether a connection belongs to this frontend.
    pub fn owns(&self, conn: ConnId) -> bool {
        let discovery = self.discovery.as_ref().is_some_and(|d| d.owns(conn));
        discovery || self.clients.contains_key(&conn) || self.upstreams.contains_key(&conn)
    }

    /// Handles a connection that became readable or writable, was established, or failed.
    pub fn on_ready(&mut self, net: &mut Sockets, conn: ConnId) {
        if self.clients.contains_key(&conn) {
            self.on_client_ready(net, conn);
        } else if self.upstreams.contains_key(&conn) {
            self.on_upstream_ready(net, conn);
        } else if let Some(discovery) = &mut self.discovery {
            let update = discovery.on_ready(net, conn, self.core.clock().now(), self.core.site());
            self.apply_discovery(net, update);
        }
        self.carry_out(net);
    }

    /// Passes a discovery update on to the core, and closes idle connections to endpoints that restarted or
    /// moved.
    fn apply_discovery(&mut self, net: &mut Sockets, update: Option<DiscoveryUpdate>) {
        for endpoint in update.map(|update| update.apply(&mut self.core)).unwrap_or_default() {
            self.close_idle_upstreams(net, endpoint);
        }
        if let Some(wait_ms) = self.discovery.as_mut().and_then(Discovery::take_started_call) {
            self.core.on_list_call(wait_ms);
        }
    }

    /// Carries out the core's commands, including those that result from them, until there are none left.
    fn carry_out(&mut self, net: &mut Sockets) {
        while let Some(command) = self.core.next_command() {
            match command {
                Command::Send { job, attempt, endpoint } => {
                    self.send(net, job, attempt, endpoint);
                }
                Command::Cancel { job, attempt } => self.cancel(net, job, attempt),
                Command::Answer { job, answer } => self.on_final_answer(net, job, &answer),
                // A probe asks an endpoint for its load. This frontend counts the streams of each endpoint
                // itself, so it answers the probe at once.
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

    /// Handles the core's final answer to a job. Does nothing if the job's exchange has already ended.
    fn on_final_answer(&mut self, net: &mut Sockets, job: JobId, answer: &FinalAnswer) {
        let Some(&stream) = self.streams.get(&job) else { return };
        match answer {
            FinalAnswer::Served(_) => self.finish(net, stream),
            &FinalAnswer::Rejected { retry_after_ms } => {
                self.reject(net, stream, Rejection::Denied { retry_after_ms });
            }
            FinalAnswer::Failed => self.reject(net, stream, Rejection::Failed),
        }
    }

    /// Handles expired deadlines, and then transfers about `MAX_BYTES_PER_TICK` bytes of bodies.
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
        let mut transferred = 0;
        while transferred < MAX_BYTES_PER_TICK
            && let Some(turn) = self.flow.next_turn()
        {
            // A turn without bytes still costs a system call or two, so it is charged a minimum.
            transferred += self.take_turn(net, turn).max(4096);
            self.carry_out(net);
        }
        if self.has_stopped_accepting() {
            self.core.reject_new_jobs();
            self.close_idle(net);
            if now >= self.abort_at_ms {
                self.abort_all(net);
            }
            self.carry_out(net);
        }
    }

    /// Returns when `tick` must be called next, in milliseconds of the clock.
    pub fn next_deadline(&self) -> f64 {
        let now = self.now();
        if self.flow.has_turns() || !self.clients_to_read.is_empty() {
            return now;
        }
        let clients = self.clients.values().map(|client| client.deadline);
        let upstreams = self.upstreams.values().map(|upstream| upstream.connect_deadline);
        let shutdown =
            self.shutdown.map_or(f64::INFINITY, |shutdown| shutdown.accepts_until_ms.max(now + 20.0));
        let wake = self.core.next_deadline().unwrap_or(f64::INFINITY);
        let discovery = self.discovery.as_ref().map_or(f64::INFINITY, Discovery::next_deadline);
        let due = wake.min(shutdown).min(discovery).min(self.flow.next_deadline());
        let responses = self.exchanges.values().map(|e| e.response_deadline);
        clients.chain(upstreams).chain(responses).fold(due, f64::min)
    }

    /// Begins a graceful shutdown, which ends after `stop_s` at the latest.
    pub fn stop(&mut self) {
        let span_ms = self.config.table.stop_s * 1e3;
        self.abort_at_ms = self.abort_at_ms.min(self.now() + span_ms);
        self.shutdown.get_or_insert_with(|| Shutdown::begin_with_kill_after(&mut self.core, span_ms));
    }

    /// Whether a shutdown has reached the time from which new requests are rejected.
    fn has_stopped_accepting(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| self.core.clock().now() >= shutdown.accepts_until_ms)
    }

    /// Whether the shutdown is complete: all exchanges have ended, and all responses are written or their
    /// clients have had their time to read them.
    pub fn is_stopped(&mut self, net: &mut Sockets) -> bool {
        let now = self.now();
        let open = self.core.open_jobs() + self.exchanges.len();
        let Some(shutdown) = self.shutdown.as_mut().filter(|_| open == 0) else { return false };
        shutdown.is_over(now, || {
            self.clients.keys().all(|&id| net.conn(id).is_none_or(|c| c.is_written() || c.broken))
        })
    }
}
