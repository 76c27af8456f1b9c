//! Connections to endpoints: opens them, reuses idle ones and handles their events. Requests are written in
//! `attempts` and `probes`.

mod table;

use std::net::SocketAddr;

use rustix::io::Errno;

use super::HttpFrontend;
use crate::frontend::Sockets;
use crate::frontend::refusals::proves_never_ran;
use crate::net::ConnId;
use crate::net::http::{self, Message};
use crate::routing::{EndpointId, LoadReport, Outcome};

use table::UpstreamConnection;
pub(super) use table::{
    AttemptId, AttemptState, ConnectionUse, MAX_CANCEL_TRIES, RESPONSE_TIMEOUT_MS, Upstreams, WritePermission,
};

/// How long a connection is not reused after an attempt was declined on it, in milliseconds. A duplicate of
/// such a response that arrives some milliseconds late would be taken to say that the next job never ran.
const COOL_DOWN_MS: f64 = 50.0;

impl HttpFrontend {
    /// Returns an endpoint's address, which is also the value of the `Host` header.
    pub(super) fn address(&self, endpoint: EndpointId) -> String {
        self.core.endpoints().get(endpoint).map(|line| line.address.clone()).unwrap_or_default()
    }

    /// Returns a connection to an endpoint: an idle one that is still open, or a new one.
    ///
    /// # Errors
    /// If no connection could be opened. Nothing was sent then; the outcome says whether the endpoint is to
    /// blame.
    pub(super) fn acquire(
        &mut self,
        net: &mut Sockets,
        endpoint: EndpointId,
        purpose: ConnectionUse,
    ) -> Result<ConnId, Outcome> {
        let now_ms = self.core.clock().now();
        let is_harmed_by_reset = match purpose {
            ConnectionUse::Assigned(attempt) => self.core.is_harmed_by_reset(attempt.job),
            _ => false,
        };
        while let Some(pooled) = self.upstreams.pool.take(endpoint, now_ms, is_harmed_by_reset) {
            let id = pooled.conn;
            let is_open = net.conn(id).is_some_and(|conn| conn.is_reusable());
            self.upstreams.pool.on_checked(endpoint, pooled.idle_ms, is_open);
            // The peer may have closed the idle connection; a request written to it would be lost.
            if is_open {
                self.reuse(id, endpoint, purpose, 0.0);
                return Ok(id);
            }
            self.close_upstream(net, id);
        }
        // Delaying the write by some milliseconds, once for each endpoint, costs less than a new connection
        // costs both sides.
        if let Some((id, write_after_ms)) = self.upstreams.pool.take_unconfirmed(endpoint, now_ms) {
            if net.conn(id).is_some_and(|conn| conn.is_reusable()) {
                self.reuse(id, endpoint, purpose, write_after_ms);
                return Ok(id);
            }
            self.close_upstream(net, id);
        }
        self.open_upstream(net, endpoint, purpose)
    }

    /// Assigns an idle connection to a new purpose. `write_after_ms` is the time before which nothing may be
    /// written, or 0.
    fn reuse(&mut self, id: ConnId, endpoint: EndpointId, purpose: ConnectionUse, write_after_ms: f64) {
        let deadline_ms = if write_after_ms > 0.0 { write_after_ms } else { f64::INFINITY };
        let connection = UpstreamConnection {
            endpoint,
            purpose,
            deadline_ms,
            was_pooled: true,
            is_connected: true,
            write_after_ms,
        };
        self.upstreams.connections.insert(id, connection);
    }

    /// Opens a new connection to an endpoint.
    ///
    /// # Errors
    /// As for `acquire`.
    pub(super) fn open_upstream(
        &mut self,
        net: &mut Sockets,
        endpoint: EndpointId,
        purpose: ConnectionUse,
    ) -> Result<ConnId, Outcome> {
        let now_ms = self.core.clock().now();
        if self.upstreams.connections.len() >= self.upstreams.max_connections {
            // Running out of connections here must not count as a failure of the endpoint, so the oldest idle
            // connection is closed.
            let idle = self.upstreams.pool.take_oldest().ok_or(Outcome::NotSent)?;
            self.close_upstream(net, idle);
        }
        let line = self.core.endpoints().get(endpoint);
        let address: Option<SocketAddr> = line.and_then(|line| line.address.parse().ok());
        let opened = net.open(address.ok_or(Outcome::Unreachable)?);
        let id = opened.map_err(|e| match Errno::from_io_error(&e) {
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::ADDRNOTAVAIL) => Outcome::NotSent,
            _ => Outcome::Unreachable,
        })?;
        let deadline_ms = now_ms + self.core.site().connect_timeout_ms;
        let connection = UpstreamConnection {
            endpoint,
            purpose,
            deadline_ms,
            was_pooled: false,
            is_connected: false,
            write_after_ms: 0.0,
        };
        self.upstreams.connections.insert(id, connection);
        Ok(id)
    }

    pub(super) fn close_upstream(&mut self, net: &mut Sockets, id: ConnId) {
        net.close(id);
        if let Some(connection) = self.upstreams.connections.remove(&id) {
            self.upstreams.pool.remove(connection.endpoint, id);
        }
    }

    /// Handles an endpoint's connection that became readable or writable, was established, or failed.
    pub(super) fn on_upstream_ready(&mut self, net: &mut Sockets, id: ConnId) {
        let now_ms = self.core.clock().now();
        let Some(conn) = net.conn(id) else { return };
        let Some(connection) = self.upstreams.connections.get_mut(&id) else { return };
        if let ConnectionUse::Assigned(attempt) = connection.purpose {
            if conn.poll_connected() {
                self.write_attempt(net, id, attempt);
            } else if conn.broken {
                self.on_upstream_broken(net, id, false);
            }
            return;
        }
        conn.pump();
        if !conn.connecting && !conn.broken {
            connection.mark_connected(now_ms);
        }
        let has_ended = conn.eof || conn.broken;
        // A complete response that arrived before the connection failed counts; one that a reset cut off does
        // not.
        let message = http::read_response(&mut conn.rx, conn.eof && !conn.broken);
        let has_stray_bytes = !conn.rx.is_empty();
        let is_written = !conn.connecting && conn.tx.is_empty();
        let purpose = connection.purpose;
        if let (ConnectionUse::Attempt(attempt), true) = (purpose, is_written) {
            // An attempt counts as sent once its last byte was written to the socket.
            self.core.on_request_sent(attempt.job, attempt.number);
        }
        match message {
            Ok(Some(message)) if !matches!(purpose, ConnectionUse::Idle | ConnectionUse::CoolingDown) => {
                if has_ended && !message.close {
                    self.upstreams.pool.on_checked(connection.endpoint, 0.0, false);
                }
                let is_reusable = !(has_ended || has_stray_bytes || message.close) && is_written;
                self.on_response(net, id, &message, is_reusable);
            }
            Ok(None) if !has_ended => {}
            // The connection was closed, sent unexpected bytes or sent a malformed response.
            _ => self.on_upstream_broken(net, id, is_written),
        }
    }

    /// Handles a complete response: returns its connection to the pool or closes it, and processes the
    /// response.
    fn on_response(&mut self, net: &mut Sockets, id: ConnId, message: &Message, is_reusable: bool) {
        let now_ms = self.core.clock().now();
        let Some(connection) = self.upstreams.connections.get_mut(&id) else { return };
        let (endpoint, purpose) = (connection.endpoint, connection.purpose);
        let is_declined = matches!(purpose, ConnectionUse::Attempt(_))
            && proves_never_ran(message.status, &message.headers);
        if is_declined {
            connection.purpose = ConnectionUse::CoolingDown;
            connection.deadline_ms = now_ms + COOL_DOWN_MS;
        } else {
            connection.purpose = ConnectionUse::Idle;
            connection.deadline_ms = f64::INFINITY;
        }
        if !is_reusable {
            self.close_upstream(net, id);
        } else if !is_declined {
            self.upstreams.pool.put(endpoint, id, now_ms);
        }
        match purpose {
            ConnectionUse::Cancelling(attempt) => self.on_cancelled(net, attempt),
            ConnectionUse::Probe { open_at_ms, .. } => self.on_probe_response(endpoint, open_at_ms, message),
            ConnectionUse::Attempt(attempt) => self.on_attempt_response(attempt, message),
            ConnectionUse::Draining
            | ConnectionUse::Idle
            | ConnectionUse::CoolingDown
            | ConnectionUse::Assigned(_) => {}
        }
    }

    /// Handles a failed connection. An attempt whose last byte was not written never ran.
    fn on_upstream_broken(&mut self, net: &mut Sockets, id: ConnId, is_written: bool) {
        let Some(connection) = self.upstreams.connections.get(&id) else { return };
        let UpstreamConnection { endpoint, purpose, was_pooled, .. } = *connection;
        let now_ms = self.core.clock().now();
        self.upstreams.pool.on_closed_by_peer(endpoint, id, now_ms);
        self.close_upstream(net, id);
        match purpose {
            ConnectionUse::Assigned(attempt) => {
                self.end_unserved(attempt, Outcome::Unreachable, LoadReport::default());
            }
            ConnectionUse::Cancelling(attempt) => self.on_cancel_failed(net, attempt),
            ConnectionUse::Attempt(attempt) => {
                let outcome = if is_written { Outcome::Reset } else { Outcome::Unreachable };
                if is_written {
                    // The endpoint may have accepted the job, and report its events.
                    self.core.expect_late_reports(attempt.job, attempt.number);
                }
                self.end_unserved(attempt, outcome, LoadReport::default());
            }
            // A failure of a connection that had been idle says nothing about the endpoint, and a probe can
            // safely be repeated. Without the retry a healthy endpoint could be regarded as failed.
            ConnectionUse::Probe { started_at_ms, .. }
                if was_pooled && now_ms < started_at_ms + RESPONSE_TIMEOUT_MS =>
            {
                self.drop_idle(net, endpoint);
                self.probe_again(net, endpoint, started_at_ms);
            }
            ConnectionUse::Probe { started_at_ms, .. } => {
                let latency_ms = now_ms - started_at_ms;
                self.core.on_probe_ended(endpoint, false, latency_ms, LoadReport::default());
            }
            ConnectionUse::Idle | ConnectionUse::CoolingDown | ConnectionUse::Draining => {}
        }
    }

    /// Handles connections past their deadline: to connect, to answer a probe, or to be idle.
    pub(super) fn sweep_upstreams(&mut self, net: &mut Sockets) {
        let now_ms = self.core.clock().now();
        if self.upstreams.next_deadline() <= now_ms {
            let connections = self.upstreams.connections.iter();
            let due = connections.filter(|(_, connection)| connection.deadline_ms <= now_ms);
            for id in due.map(|(&id, _)| id).collect::<Vec<_>>() {
                self.on_upstream_deadline(net, id, now_ms);
            }
        }
        for id in self.upstreams.pool.take_expired(now_ms) {
            self.close_upstream(net, id);
        }
    }

    fn on_upstream_deadline(&mut self, net: &mut Sockets, id: ConnId, now_ms: f64) {
        match self.upstreams.connections.get_mut(&id) {
            Some(connection) if matches!(connection.purpose, ConnectionUse::CoolingDown) => {
                connection.purpose = ConnectionUse::Idle;
                connection.deadline_ms = f64::INFINITY;
                self.upstreams.pool.put(connection.endpoint, id, now_ms);
            }
            Some(connection) if connection.write_after_ms > 0.0 => {
                connection.write_after_ms = 0.0;
                connection.deadline_ms = f64::INFINITY;
                let endpoint = connection.endpoint;
                if net.conn(id).is_some_and(|conn| conn.is_reusable()) {
                    self.upstreams.pool.on_kept_alive(endpoint);
                }
                self.on_upstream_ready(net, id);
            }
            // An attempt has a deadline only while its connection is being established, so nothing of it was
            // written.
            _ => self.on_upstream_broken(net, id, false),
        }
    }

    /// Closes the idle connections to an endpoint that has moved or restarted.
    pub(super) fn drop_idle(&mut self, net: &mut Sockets, endpoint: EndpointId) {
        while let Some(id) = self.upstreams.pool.take_any(endpoint) {
            self.close_upstream(net, id);
        }
    }
}
