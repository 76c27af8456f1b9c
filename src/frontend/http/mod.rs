//! The platform's frontend: HTTP/1.1 with clients, endpoints and discovery. It owns their connections and what requests
//! looked like on the wire; jobs, endpoints and decisions are the core's. It decides nothing.
//!
//! | file | what it does |
//! | --- | --- |
//! | `clients` | client connections: accepted, bounded, swept, ended |
//! | `requests`, `responses` | what comes on them, and what goes back |
//! | `policy_gate` | whether a request may be started, and in which partition |
//! | `upstream` | connections to endpoints |
//! | `attempts`, `probes`, `callbacks` | what is sent to endpoints, and what they tell |
//! | `upgrade_link`, `state_handover` | links between the processes of an upgrade, and what one leaves to the other |

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

/// Time between two looks for idle connections while clients are sent away, in milliseconds.
const EVACUATION_INTERVAL_MS: f64 = 100.0;
/// Within which a process that starts says that clients may come, whatever its list, in milliseconds. Nine in ten of those that
/// start are to be ready within 10 s, and within 6 s on short days, as they come with few dispatchers.
const MAX_LARGE_FLEET_START_MS: f64 = 9_000.0;
/// The same where dispatchers are few.
const MAX_START_MS: f64 = 5_500.0;
/// Time between two looks whether all is finished once the last call of a stop is past, in milliseconds.
const STOP_INTERVAL_MS: f64 = 20.0;

/// What a job's request looked like on the wire.
struct ClientJob {
    client: ConnId,
    id: Rc<str>,
    target: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// The frontend.
pub struct HttpFrontend {
    core: Core,
    clients: Clients,
    upstreams: Upstreams,
    discovery: Discovery,
    jobs: FxHashMap<JobId, ClientJob>,
    /// Jobs by the jobs_by_request_id that their clients gave them.
    jobs_by_request_id: FxHashMap<Rc<str>, JobId>,
    /// The processes beside this one at an upgrade.
    links: Option<upgrade_link::UpgradeLinks>,
    /// Whether requests may be started now, where a policy is shared.
    gate: Option<Box<PolicyGate>>,
    shutdown: Option<Shutdown>,
    /// Whether the last connections are being ended.
    is_closing_all: bool,
    /// Whether the listener is to be closed and could not be emptied yet.
    is_closing_listener: bool,
    /// When the listener is closed whatever waits there, in milliseconds of the clock.
    listener_close_by_ms: Option<f64>,
    /// Whether clients are sent away: `/up` says no, and connections are closed once they are idle.
    evacuating: bool,
    /// When the process started, in milliseconds of the clock.
    started_at_ms: f64,
    /// When to look next for connections that have become idle while clients are sent away.
    next_evacuation_ms: f64,
}

impl HttpFrontend {
    /// A frontend on a listener that is open, with the list as last held.
    pub fn new(config: Config, clock: Clock, listener: usize, discovery: SocketAddr) -> HttpFrontend {
        let Config { site, seed, budget, known_list, .. } = config;
        let mut frontend = HttpFrontend {
            clients: Clients::new(listener, budget),
            upstreams: Upstreams::new(site.connection_idle_ms, budget.upstreams),
            discovery: Discovery::new(discovery, config.discovery, known_list.version, seed),
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
        frontend.core.restore_list(known_list.lines);
        frontend.started_at_ms = frontend.core.clock().now();
        frontend.discovery.start(frontend.started_at_ms, &frontend.core.site().settings);
        frontend
    }

    /// Checks whether a configuration that was read again can be taken over without a restart.
    ///
    /// # Errors
    /// Where it names other classes, kinds or zones.
    pub fn check_compatible(&self, config: &Config) -> Result<(), IncompatibleSettings> {
        self.core.check_compatible(&config.site)
    }

    /// Takes over a compatible configuration: its settings and limits, and the discovery service that it names.
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

    /// Its core.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// Its core, to be steered.
    pub fn core_mut(&mut self) -> &mut Core {
        &mut self.core
    }

    /// Its listener.
    pub fn listener(&self) -> usize {
        self.clients.listener
    }

    /// Whether a connection is one of its own.
    pub fn owns(&self, conn: ConnId) -> bool {
        let is_link = self.links.as_ref().is_some_and(|links| links.owns(conn));
        is_link || self.clients.owns(conn) || self.upstreams.owns(conn) || self.discovery.owns(conn)
    }

    /// A connection can be read or written, came up or broke.
    pub fn on_ready(&mut self, net: &mut Sockets, conn: ConnId) {
        if self.clients.owns(conn) {
            self.on_client_ready(net, conn);
        } else if self.upstreams.owns(conn) {
            self.on_upstream_ready(net, conn);
        } else if self.links.as_ref().is_some_and(|links| links.owns(conn)) {
            self.on_link_ready(net, conn);
        } else {
            let now_ms = self.core.clock().now();
            let update = self.discovery.on_ready(net, now_ms, self.core.site());
            self.on_discovery_update(net, update);
        }
        self.carry_out(net);
    }

    /// Carries out what the core has decided, until nothing follows from it any more.
    fn carry_out(&mut self, net: &mut Sockets) {
        loop {
            if let Some(command) = self.core.next_command() {
                self.carry_out_command(net, command);
            } else if let Some(conn) = self.clients.answered.pop() {
                // A client that was answered may have sent its next request already. Read in this loop and not from within
                // the answer: a peer that sends many at once must not nest calls.
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

    /// Tells the core what discovery has brought.
    fn on_discovery_update(&mut self, net: &mut Sockets, update: Option<DiscoveryUpdate>) {
        let renewed = update.map(|update| update.apply(&mut self.core));
        for endpoint in renewed.unwrap_or_default() {
            self.drop_idle(net, endpoint);
        }
        if let Some(wait_ms) = self.discovery.take_started_call() {
            self.core.on_list_call(wait_ms);
        }
    }

    /// Whether it serves by a list that may be acted on, or has waited for one as long as a start may take: a process that
    /// says no for longer is taken for one that failed.
    pub fn has_usable_list(&self) -> bool {
        let limit_ms =
            if self.core.site().settings.is_large_fleet() { MAX_LARGE_FLEET_START_MS } else { MAX_START_MS };
        self.core.list_status().allows_attempts || self.core.clock().now() >= self.started_at_ms + limit_ms
    }

    /// What operators see of the list.
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

    /// Does what is due by now.
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
            // New connections are left alone a while, lest a first callback be cut off: look again for them.
            self.close_idle(net);
            self.carry_out(net);
            self.next_evacuation_ms = now_ms + EVACUATION_INTERVAL_MS;
        }
        if self.has_stopped_accepting() {
            self.core.reject_new_jobs();
            self.close_idle(net);
            // What was read there may have ended a job: it is answered before the program looks whether all is finished.
            self.carry_out(net);
        }
    }

    /// When `tick` is to be called next.
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

    /// When a stop goes on: at its last call, and past it again and again until all is finished.
    fn stop_deadline(&self) -> f64 {
        let Some(shutdown) = self.shutdown else { return f64::INFINITY };
        let now_ms = self.core.clock().now();
        if now_ms < shutdown.accepts_until_ms && !self.is_closing_listener {
            shutdown.accepts_until_ms
        } else {
            now_ms + STOP_INTERVAL_MS
        }
    }

    /// Sends clients away, or takes them again. What is open is finished, and answered with a close.
    pub fn evacuate(&mut self, net: &mut Sockets, on: bool) {
        self.evacuating = on;
        if on {
            self.close_idle(net);
            self.carry_out(net);
            self.next_evacuation_ms = self.core.clock().now() + EVACUATION_INTERVAL_MS;
        }
    }

    /// Whether clients are being sent away, by an operator or since the program stops.
    fn is_evacuating_or_stopping(&self) -> bool {
        self.evacuating || self.has_stopped_accepting()
    }

    /// Begins to stop. Where a successor listens at the same address, nothing new is accepted: what waits in the backlog is
    /// taken first, lest it be reset, and clients are sent away as by `evacuate`.
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

    /// Whether a stop is past its last call: nothing new is taken any more.
    pub fn has_stopped_accepting(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| self.core.clock().now() >= shutdown.accepts_until_ms)
    }

    /// Whether all that was taken is answered, written as far as peers read, and every connection ended as far as peers end
    /// theirs.
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
