//! The platform's front: HTTP/1.1 with clients, backend servers and discovery. It decides nothing.

mod callbacks;
mod clients;
mod config;
mod headers;
mod policy_gate;
mod probes;
#[cfg(test)]
mod tests;
mod upgrade_link;
mod upstream;

use std::net::SocketAddr;
use std::rc::Rc;

use rustc_hash::FxHashMap;

use super::discovery::{Discovery, DiscoveryUpdate};
use super::{Shutdown, Sockets};
use crate::core::{Clock, Command, Core};
use crate::net::ConnId;
use crate::routing::{JobId, LoadReport, Outcome};

use clients::Clients;
pub use config::Config;
use policy_gate::PolicyGate;
use upstream::Upstreams;

/// What a session's request looked like on the wire.
struct ClientJob {
    client: ConnId,
    id: Rc<str>,
    target: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// Time between two looks for idle connections while clients are sent away, in milliseconds.
const AWAY_LOOK: f64 = 100.0;

/// The front.
pub struct HttpFrontend {
    core: Core,
    clients: Clients,
    backends: Upstreams,
    discovery: Discovery,
    jobs: FxHashMap<JobId, ClientJob>,
    ids: FxHashMap<Rc<str>, JobId>,
    /// The processes beside this one at an upgrade.
    links: Option<upgrade_link::UpgradeLinks>,
    /// Whether requests may be started now, where a policy is shared.
    gate: Option<Box<PolicyGate>>,
    stopping: Option<Shutdown>,
    /// Its last connections are being ended.
    farewell: bool,
    /// Clients are sent away: `/up` says no, and connections are closed once they are idle.
    evacuating: bool,
    /// When to look next for connections that have become idle while clients are sent away.
    away_look: f64,
}

impl HttpFrontend {
    /// A front on a listener that is open, with the list as last held.
    pub fn new(config: Config, clock: Clock, listener: usize, discovery: SocketAddr) -> HttpFrontend {
        let Config { site, seed, budget, known, .. } = config;
        let mut front = HttpFrontend {
            clients: Clients::new(listener, budget),
            backends: Upstreams::new(site.connection_idle_ms, budget.backends),
            discovery: Discovery::new(discovery, config.discovery, known.0, seed),
            core: Core::new(site, seed, clock, budget.sessions),
            jobs: FxHashMap::default(),
            ids: FxHashMap::default(),
            links: None,
            gate: None,
            stopping: None,
            farewell: false,
            evacuating: false,
            away_look: f64::INFINITY,
        };
        front.core.restore_list(known.1);
        front.discovery.begin(front.core.clock().now(), &front.core.site().settings);
        front
    }

    /// Whether a configuration that was read again can be taken over without a restart.
    pub fn fits(&self, config: &Config) -> Result<(), String> {
        self.core.check_compatible(&config.site).map_err(|e| e.to_string())
    }

    /// Takes over a configuration that fits: its settings and limits, and the discovery service that it names.
    pub fn reload(&mut self, net: &mut Sockets, config: Config) {
        self.clients.budget = config.budget;
        self.backends.adopt(config.site.connection_idle_ms, config.budget.backends);
        self.core.reconfigure(config.site, config.budget.sessions);
        let now = self.core.clock().now();
        let heard = self.discovery.follow(net, now, config.discovery, &self.core.site().settings);
        self.heard(net, heard);
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
        let link = self.links.as_ref().is_some_and(|links| links.owns(conn));
        link || self.clients.owns(conn) || self.backends.owns(conn) || self.discovery.owns(conn)
    }

    /// A connection can be read or written, came up or broke.
    pub fn ready(&mut self, net: &mut Sockets, conn: ConnId) {
        if self.clients.owns(conn) {
            self.client_ready(net, conn);
        } else if self.backends.owns(conn) {
            self.backend_ready(net, conn);
        } else if self.links.as_ref().is_some_and(|links| links.owns(conn)) {
            self.link_ready(net, conn);
        } else {
            let now = self.core.clock().now();
            let heard = self.discovery.ready(net, now, self.core.site());
            self.heard(net, heard);
        }
        self.carry_out(net);
    }

    /// Carries out what the core has decided, until nothing follows from it any more.
    fn carry_out(&mut self, net: &mut Sockets) {
        loop {
            let Some(command) = self.core.next_command() else {
                // A client that was answered may have sent its next request already. Read in this loop and not
                // from within the answer: a peer that sends many at once must not nest calls.
                match self.clients.answered.pop() {
                    Some(conn) => self.client_ready(net, conn),
                    None => return,
                }
                continue;
            };
            match command {
                Command::Send { job: session, attempt, endpoint: server } => {
                    self.send(net, session, attempt, server)
                }
                Command::Cancel { job: session, attempt } => self.cancel(net, session, attempt),
                Command::Answer { job: session, answer: verdict } => self.answer(net, session, verdict),
                Command::Probe { endpoint: server } => self.probe(net, server),
                Command::Subscribe => {
                    let heard = self.discovery.call(net, self.core.clock().now(), &self.core.site().settings);
                    self.heard(net, heard);
                }
            }
        }
    }

    /// Tells the core what discovery has brought.
    fn heard(&mut self, net: &mut Sockets, heard: Option<DiscoveryUpdate>) {
        for server in heard.map(|heard| heard.tell(&mut self.core)).unwrap_or_default() {
            self.drop_idle(net, server);
        }
    }

    /// Tells the core how a dispatch ended other than served.
    fn unserved(&mut self, flight: (JobId, usize), outcome: Outcome, report: LoadReport) {
        self.backends.flights.remove(&flight);
        self.core.on_attempt_ended(flight.0, flight.1, outcome, report, Vec::new());
    }

    /// Does what is due by now.
    pub fn tick(&mut self, net: &mut Sockets) {
        self.core.tick();
        for conn in std::mem::take(&mut self.clients.later) {
            self.client_ready(net, conn);
        }
        self.expire_backends(net);
        let heard = self.discovery.tick(net, self.core.clock().now(), &self.core.site().settings);
        self.heard(net, heard);
        self.carry_out(net);
        let now = self.core.clock().now();
        self.sweep_clients(net, now);
        self.sweep_gate(net, now);
        self.sweep_links(net, now);
        if self.evacuating && !self.closes() && now >= self.away_look {
            // New connections are left alone a while, lest a first call-back be cut off: look again for them.
            self.close_idle(net);
            self.carry_out(net);
            self.away_look = now + AWAY_LOOK;
        }
        if self.closes() {
            self.core.reject_new_jobs();
            self.close_idle(net);
            // What was read there may have ended a session: it is answered before the program looks whether
            // all is finished.
            self.carry_out(net);
        }
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> f64 {
        let last_call = self.stopping.map_or(f64::INFINITY, |leaving| {
            let end = leaving.last_call;
            // Past it, look again and again whether all is finished.
            if self.core.clock().now() < end { end } else { self.core.clock().now() + 20.0 }
        });
        let wake = self.core.next_deadline().unwrap_or(f64::INFINITY);
        let away = if self.evacuating { self.away_look } else { f64::INFINITY };
        let front = self
            .backends
            .next_deadline()
            .min(self.discovery.next_deadline())
            .min(self.clients.next_deadline());
        let links = self.links.as_ref().map_or(f64::INFINITY, |links| links.next_deadline());
        wake.min(front).min(last_call).min(away).min(links).min(self.gate_next())
    }

    /// Sends clients away, or takes them again. What is open is finished, and answered with a close.
    pub fn evacuate(&mut self, net: &mut Sockets, on: bool) {
        self.evacuating = on;
        if on {
            self.close_idle(net);
            self.carry_out(net);
            self.away_look = self.core.clock().now() + AWAY_LOOK;
        }
    }

    /// Whether clients are being sent away, by an operator or since the program stops.
    fn sends_away(&self) -> bool {
        self.evacuating || self.closes()
    }

    /// Begins to stop. Where a successor listens at the same address, nothing new is accepted: what waits in the
    /// backlog is taken first, lest it be reset, and clients are sent away as by `evacuate`.
    pub fn stop(&mut self, net: &mut Sockets, successor: bool) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(Shutdown::begin(&mut self.core));
        if successor {
            self.accept_all(net);
            net.unlisten(self.clients.listener);
            self.evacuate(net, true);
        }
    }

    /// Whether it is past its last call.
    pub fn closes(&self) -> bool {
        self.stopping.is_some_and(|leaving| self.core.clock().now() >= leaving.last_call)
    }

    /// Whether all that was taken is answered, written as far as peers read, and every connection ended as far as
    /// peers end theirs.
    pub fn stopped(&mut self, net: &mut Sockets) -> bool {
        if !self.closes() || self.core.open_jobs() > 0 || self.gate_next() < f64::INFINITY {
            return false;
        }
        if !std::mem::replace(&mut self.farewell, true) {
            self.close_all(net);
            self.carry_out(net);
        }
        let now = self.core.clock().now();
        self.stopping.as_mut().is_some_and(|leaving| leaving.is_over(now, || self.clients.all_ended()))
    }
}
