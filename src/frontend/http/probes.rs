//! Probes: a backend server's load report, asked for beside the jobs.

use super::HttpFrontend;
use super::upstream::{ConnectionUse, PATIENCE};
use crate::frontend::Sockets;
use crate::json;
use crate::net::ConnId;
use crate::net::http::{self, Message};
use crate::routing::{EndpointId, LoadReport};

impl HttpFrontend {
    /// Probes a backend server. The module always hears of the end: it asks nobody twice meanwhile.
    pub(super) fn probe(&mut self, net: &mut Sockets, server: EndpointId) {
        let now = self.core.clock().now();
        let Ok(conn) = self.acquire(net, server, ConnectionUse::Probe { asked: now, up: now }) else {
            return self.core.on_probe_ended(server, false, 0.0, LoadReport::default());
        };
        self.ask_load(net, server, conn, now);
    }

    /// Probes a backend server on a new connection, within what is left of a probe's time.
    pub(super) fn probe_anew(&mut self, net: &mut Sockets, server: EndpointId, asked: f64) {
        let now = self.core.clock().now();
        match self.open_backend(net, server, ConnectionUse::Probe { asked, up: now }) {
            Ok(conn) => self.ask_load(net, server, conn, asked),
            Err(_) => self.core.on_probe_ended(server, false, now - asked, LoadReport::default()),
        }
    }

    fn ask_load(&mut self, net: &mut Sockets, server: EndpointId, conn: ConnId, asked: f64) {
        self.backends.until(conn, asked + PATIENCE);
        let host = [("Host", self.host(server))];
        net.write(conn, &http::ask("GET", "/metrics/load", &host, None));
        self.backend_ready(net, conn);
    }

    /// A probe's answer.
    pub(super) fn probed(&mut self, server: EndpointId, up: f64, message: &Message) {
        let report = match message.body.first() {
            Some(b'{') => json::parse(&message.body).map_or(LoadReport::default(), |load| self.load(&load)),
            _ => self.load_text(&String::from_utf8_lossy(&message.body)),
        };
        let latency = self.core.clock().now() - up;
        self.core.on_probe_ended(server, message.status == 200, latency, report);
    }
}
