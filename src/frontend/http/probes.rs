//! Probes: requests for an endpoint's load report, sent independently of jobs.

use super::HttpFrontend;
use super::upstream::{ConnectionUse, RESPONSE_TIMEOUT_MS};
use crate::frontend::Sockets;
use crate::json;
use crate::net::ConnId;
use crate::net::http::{self, Message};
use crate::routing::{EndpointId, LoadReport};

impl HttpFrontend {
    /// Probes an endpoint. Every probe's end is reported to the router, which sends no second probe to an
    /// endpoint meanwhile.
    pub(super) fn probe(&mut self, net: &mut Sockets, endpoint: EndpointId) {
        let now_ms = self.core.clock().now();
        let purpose = ConnectionUse::Probe { started_at_ms: now_ms, open_at_ms: now_ms };
        let Ok(conn) = self.acquire(net, endpoint, purpose) else {
            return self.core.on_probe_ended(endpoint, false, 0.0, LoadReport::default());
        };
        self.request_load(net, endpoint, conn, now_ms);
    }

    /// Repeats a probe on a new connection, within the time that is left for the probe.
    pub(super) fn probe_again(&mut self, net: &mut Sockets, endpoint: EndpointId, started_at_ms: f64) {
        let now_ms = self.core.clock().now();
        let purpose = ConnectionUse::Probe { started_at_ms, open_at_ms: now_ms };
        let Ok(conn) = self.open_upstream(net, endpoint, purpose) else {
            let latency_ms = now_ms - started_at_ms;
            return self.core.on_probe_ended(endpoint, false, latency_ms, LoadReport::default());
        };
        self.request_load(net, endpoint, conn, started_at_ms);
    }

    fn request_load(&mut self, net: &mut Sockets, endpoint: EndpointId, conn: ConnId, started_at_ms: f64) {
        self.upstreams.set_deadline(conn, started_at_ms + RESPONSE_TIMEOUT_MS);
        let host = [("Host", self.address(endpoint))];
        net.write(conn, &http::write_request("GET", "/metrics/load", &host, None));
        self.on_upstream_ready(net, conn);
    }

    /// Handles the response to a probe on a connection that was established at `open_at_ms`.
    pub(super) fn on_probe_response(&mut self, endpoint: EndpointId, open_at_ms: f64, message: &Message) {
        let report = match message.body.first() {
            Some(b'{') => {
                json::parse(&message.body).map_or(LoadReport::default(), |load| self.load_from_json(&load))
            }
            _ => self.load_from_text(&String::from_utf8_lossy(&message.body)),
        };
        let latency_ms = self.core.clock().now() - open_at_ms;
        self.core.on_probe_ended(endpoint, message.status == 200, latency_ms, report);
    }
}
