//! HTTP/1.1 frontend of the platform: serves clients, connects to endpoints and watches discovery. It owns
//! the connections and the wire form of each request. Jobs, endpoints and all decisions belong to the core;
//! this module carries them out.
//!
//! | file | contents |
//! | --- | --- |
//! | `clients` | accepting, limiting, sweeping and closing client connections |
//! | `requests`, `responses` | reading requests and writing responses |
//! | `policy_gate` | whether a request may be started, and in which partition |
//! | `upstream` | connections to endpoints |
//! | `attempts`, `probes`, `callbacks` | requests to endpoints, and the callbacks that endpoints send |
//! | `upgrade_link`, `state_handover` | links between the processes of an upgrade, and the state that the old process saves for the new one |

mod attempts;
mod callbacks;
mod clients;
mod config;
mod headers;
mod policy_gate;
mod probes;
mod requests;
mod responses;
mod state_handover;
#[cfg(test)]
mod tests;
mod upgrade_link;
mod upstream;

use std::net::SocketAddr;
use std::rc::Rc;

use rustc_hash::FxHashMap;

use super::Sockets;
use super::discovery::{Discovery, DiscoveryUpdate};
use super::shutdown::Shutdown;
use crate::core::{Clock, Command, Core, IncompatibleSettings};
use crate::net::ConnId;
use crate::routing::{JobId, ListState};
use crate::telemetry::ListFigures;

use clients::Clients;
pub use config::{Config, ConfigError};
use policy_gate::PolicyGate;
use upstream::{AttemptId, Upstreams};

/// Interval between two passes that close idle connections while clients are evacuated, in milliseconds.
const EVACUATION_INTERVAL_MS: f64 = 100.0;
/// Time after its start at which a process reports ready even without a usable list, in milliseconds, in a
/// large fleet. Nine in ten starting processes are to be ready within 10 s, and within 6 s in a small fleet.
const MAX_LARGE_FLEET_START_MS: f64 = 9_000.0;
/// Same limit as `MAX_LARGE_FLEET_START_MS`, for a small fleet.
const MAX_START_MS: f64 = 5_500.0;
/// Interval between two checks whether a stop is complete, once new requests are no longer accepted, in
/// milliseconds.
const STOP_INTERVAL_MS: f64 = 20.0;

/// The wire form of the client request behind a job.
struct ClientJob {
    client: ConnId,
    id: Rc<str>,
    target: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// The platform's HTTP frontend.
pub struct HttpFrontend {
    core: Core,
    clients: Clients,
    upstreams: Upstreams,
    discovery: Discovery,
    jobs: FxHashMap<JobId, ClientJob>,
    /// Open jobs, by the request ID that the client chose.
    jobs_by_request_id: FxHashMap<Rc<str>, JobId>,
    /// Links to the other processes of an upgrade.
    links: Option<upgrade_link::UpgradeLinks>,
    /// Decides whether requests may be started; `None` where no policy is shared.
    gate: Option<Box<PolicyGate>>,
    shutdown: Option<Shutdown>,
    /// Whether the final close of all client connections has begun.
    is_closing_all: bool,
    /// Whether the listener is due to be closed but its backlog could not be emptied yet.
    is_closing_listener: bool,
    /// When the listener is closed even if its backlog is not empty, in milliseconds of the clock.
    listener_close_by_ms: Option<f64>,
    /// Whether clients are being evacuated: `/up` responds 503, and connections are closed once they are
    /// idle.
    evacuating: bool,
    /// When the process started, in milliseconds of the clock.
    started_at_ms: f64,
    /// When idle connections are closed next during an evacuation, in milliseconds of the clock.
    next_evacuation_ms: f64,
}

impl HttpFrontend {
    /// Creates a frontend on an open listener, starting from the endpoint list in the configuration.
    pub fn new(config: Config, clock: Clock, listener: usize, discovery: SocketAddr) -> HttpFrontend {
        let Config { site, seed, budget, initial_list, .. } = config;
        let mut frontend = HttpFrontend {
            clients: Clients::new(listener, budget),
            upstreams: Upstreams::new(site.connection_idle_ms, budget.upstreams),
            discovery: Discovery::new(discovery, config.discovery, initial_list.version, seed),
            core: Core::new(site, seed, clock, budget.jobs),
            jobs: FxHashMap::default(),
            jobs_by_request_id: FxHashMap::default(),
            links: None,
            gate: None,
            shutdown: None,
            is_closing_all: false,
            is_closing_listener: false,
            listener_close_by_ms: None,
            evacuating: false,
            started_at_ms: 0.0,
            next_evacuation_ms: f64::INFINITY,
        };
        frontend.core.restore_list(initial_list.lines);
        frontend.started_at_ms = frontend.core.clock().now();
        frontend.discovery.start(frontend.started_at_ms, &frontend.core.site().settings);
        frontend
    }

    /// Checks whether a newly read configuration can be applied without a restart.
    ///
    /// # Errors
    /// If it has other classes, kinds or zones than the configuration in force.
    pub fn check_compatible(&self, config: &Config) -> Result<(), IncompatibleSettings> {
        self.core.check_compatible(&config.site)
    }

    /// Applies a compatible configuration: its settings, its limits and the discovery service that it names.
    pub fn reload(&mut self, net: &mut Sockets, config: Config) {
        self.clients.budget = config.budget;
        self.upstreams.reconfigure(config.site.connection_idle_ms, config.budget.upstreams);
        self.core.reconfigure(config.site, config.budget.jobs);
        let now_ms = self.core.clock().now();
        if self.discovery.names_other_service(config.discovery) {
            self.core.on_discovery_changed();
        }
        let update = self.discovery.switch_service(net, now_ms, config.discovery, &self.core.site().settings);
        self.on_discovery_update(net, update);
        self.carry_out(net);
    }

    /// Returns the frontend's core.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// Returns the frontend's core for modification.
    pub fn core_mut(&mut self) -> &mut Core {
        &mut self.core
    }

    /// Returns the index of the frontend's listener.
    pub fn listener(&self) -> usize {
        self.clients.listener
    }

    /// Whether this frontend owns the connection.
    pub fn owns(&self, conn: ConnId) -> bool {
        let is_link = self.links.as_ref().is_some_and(|links| links.owns(conn));
        is_link || self.clients.owns(conn) || self.upstreams.owns(conn) || self.discovery.owns(conn)
    }

    /// Handles a connection that became readable or writable, was established, or failed.
    pub fn on_ready(&mut self, net: &mut Sockets, conn: ConnId) {
        if self.clients.owns(conn) {
            self.on_client_ready(net, conn);
        } else if self.upstreams.owns(conn) {
            self.on_upstream_ready(net, conn);
        } else if self.links.as_ref().is_some_and(|links| links.owns(conn)) {
            self.on_link_ready(net, conn);
        } else {
            let now_ms = self.core.clock().now();
            let update = self.discovery.on_ready(net, conn, now_ms, self.core.site());
            self.on_discovery_update(net, update);
        }
        self.carry_out(net);
    }

    /// Carries out the core's commands and reads requests that clients have already sent, until neither is
    /// left.
    fn carry_out(&mut self, net: &mut Sockets) {
        loop {
            if let Some(command) = self.core.next_command() {
                self.carry_out_command(net, command);
            } else if let Some(conn) = self.clients.answered.pop() {
                // An answered client may already have sent its next request. It is read in this loop rather
                // than from within the answer, so that a client that pipelines many requests does not cause
                // deep recursion.
                self.on_client_ready(net, conn);
            } else {
                return;
            }
        }
    }

    fn carry_out_command(&mut self, net: &mut Sockets, command: Command) {
        match command {
            Command::Send { job, attempt, endpoint } => {
                self.send(net, AttemptId { job, number: attempt }, endpoint);
            }
            Command::Cancel { job, attempt } => self.cancel(net, AttemptId { job, number: attempt }),
            Command::Answer { job, answer } => self.answer(net, job, answer),
            Command::Probe { endpoint } => self.probe(net, endpoint),
            Command::Subscribe => {
                let now_ms = self.core.clock().now();
                let update = self.discovery.call(net, now_ms, &self.core.site().settings);
                self.on_discovery_update(net, update);
            }
        }
    }

    /// Passes a discovery update on to the core, and closes idle connections to endpoints that restarted or
    /// moved.
    fn on_discovery_update(&mut self, net: &mut Sockets, update: Option<DiscoveryUpdate>) {
        let restarted = update.map(|update| update.apply(&mut self.core));
        for endpoint in restarted.unwrap_or_default() {
            self.drop_idle(net, endpoint);
        }
        if let Some(wait_ms) = self.discovery.take_started_call() {
            self.core.on_list_call(wait_ms);
        }
    }

    /// Whether the process has a list that attempts may rely on, or has waited for one as long as a start may
    /// take. A process that reports "not ready" for longer would be treated as failed.
    pub fn has_usable_list(&self) -> bool {
        let limit_ms =
            if self.core.site().settings.is_large_fleet() { MAX_LARGE_FLEET_START_MS } else { MAX_START_MS };
        self.core.list_status().allows_attempts || self.core.clock().now() >= self.started_at_ms + limit_ms
    }

    /// Returns the list figures shown to operators.
    pub fn list_figures(&self) -> ListFigures {
        let status = self.core.list_status();
        let counters = self.core.counters();
        ListFigures {
            version: self.discovery.version().unwrap_or(0),
            age_seconds: status.age_ms / 1e3,
            is_confirmed: !matches!(status.state, ListState::Unconfirmed { .. }),
            answers: counters.lists,
            failures: counters.list_failures,
            sent_unconfirmed: counters.sent_unconfirmed,
            withheld: counters.withheld,
        }
    }

    /// Runs all work that is due.
    pub fn tick(&mut self, net: &mut Sockets) {
        self.core.tick();
        for conn in std::mem::take(&mut self.clients.deferred) {
            self.on_client_ready(net, conn);
        }
        self.sweep_upstreams(net);
        let update = self.discovery.tick(net, self.core.clock().now(), &self.core.site().settings);
        self.on_discovery_update(net, update);
        self.carry_out(net);
        if self.is_closing_listener {
            self.close_listener_when_empty(net);
        }
        let now_ms = self.core.clock().now();
        self.sweep_clients(net, now_ms);
        self.sweep_gate(net, now_ms);
        self.sweep_links(net, now_ms);
        if self.evacuating && !self.has_stopped_accepting() && now_ms >= self.next_evacuation_ms {
            // New connections are not closed at once, so that a first callback on them is not lost; this pass
            // closes the ones that have become idle since.
            self.close_idle(net);
            self.carry_out(net);
            self.next_evacuation_ms = now_ms + EVACUATION_INTERVAL_MS;
        }
        if self.has_stopped_accepting() {
            self.core.reject_new_jobs();
            self.close_idle(net);
            // Reading those connections may have ended a job; it is answered before the caller checks whether
            // the stop is complete.
            self.carry_out(net);
        }
    }

    /// Returns when `tick` must be called next, in milliseconds of the clock.
    pub fn next_deadline(&self) -> f64 {
        let router_ms = self.core.next_deadline().unwrap_or(f64::INFINITY);
        let evacuation_ms = if self.evacuating { self.next_evacuation_ms } else { f64::INFINITY };
        let links_ms = self.links.as_ref().map_or(f64::INFINITY, upgrade_link::UpgradeLinks::next_deadline);
        [
            router_ms,
            self.upstreams.next_deadline(),
            self.discovery.next_deadline(),
            self.clients.next_deadline(),
            self.stop_deadline(),
            evacuation_ms,
            links_ms,
            self.gate_deadline(),
        ]
        .into_iter()
        .fold(f64::INFINITY, f64::min)
    }

    /// Returns when a stop needs its next `tick`: at the time at which new requests are no longer accepted,
    /// and every `STOP_INTERVAL_MS` after that, or while the listener is still to be closed.
    fn stop_deadline(&self) -> f64 {
        let Some(shutdown) = self.shutdown else { return f64::INFINITY };
        let now_ms = self.core.clock().now();
        if now_ms < shutdown.accepts_until_ms && !self.is_closing_listener {
            shutdown.accepts_until_ms
        } else {
            now_ms + STOP_INTERVAL_MS
        }
    }

    /// Starts or ends an evacuation. Open requests are finished and answered with `Connection: close`.
    pub fn evacuate(&mut self, net: &mut Sockets, on: bool) {
        self.evacuating = on;
        if on {
            self.close_idle(net);
            self.carry_out(net);
            self.next_evacuation_ms = self.core.clock().now() + EVACUATION_INTERVAL_MS;
        }
    }

    /// Whether clients are told to go elsewhere, because of an operator's evacuation or because the stop no
    /// longer accepts requests.
    fn is_evacuating_or_stopping(&self) -> bool {
        self.evacuating || self.has_stopped_accepting()
    }

    /// Begins to stop. If a successor listens at the same address, this process stops accepting connections:
    /// it first accepts those in its backlog, since closing the listener would reset them, and then evacuates
    /// its clients.
    pub fn stop(&mut self, net: &mut Sockets, has_successor: bool) {
        if self.shutdown.is_some() {
            return;
        }
        self.shutdown = Some(Shutdown::begin(&mut self.core));
        if has_successor {
            self.close_listener_when_empty(net);
            self.evacuate(net, true);
        }
    }

    /// Whether the process is stopping and no longer accepts new requests.
    pub fn has_stopped_accepting(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| self.core.clock().now() >= shutdown.accepts_until_ms)
    }

    /// Whether the stop is complete: all accepted requests are answered, and every connection is closed or
    /// its peer has had its time to read and close.
    pub fn is_stopped(&mut self, net: &mut Sockets) -> bool {
        if !self.has_stopped_accepting() || self.core.open_jobs() > 0 || self.gate_deadline() < f64::INFINITY
        {
            return false;
        }
        if !std::mem::replace(&mut self.is_closing_all, true) {
            self.save_final_list(net);
            self.close_all(net);
            self.carry_out(net);
        }
        if self.is_closing_listener {
            return false;
        }
        let now_ms = self.core.clock().now();
        let clients = &self.clients;
        self.shutdown.as_mut().is_some_and(|shutdown| shutdown.is_over(now_ms, || clients.all_ended()))
    }
}
