//! Table of the connections to endpoints, their current use, and the attempts that are open on them.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::net::{ConnId, Pool};
use crate::routing::{EndpointId, JobId};

/// How long an endpoint may take to respond to a probe, or to the request that cancels an attempt, in
/// milliseconds.
pub(in crate::frontend::http) const RESPONSE_TIMEOUT_MS: f64 = 500.0;
/// How long to wait for a response that is no longer needed, so that its connection can be reused, in
/// milliseconds.
const DRAIN_TIMEOUT_MS: f64 = 2000.0;
/// Maximum number of requests to cancel one attempt, if `DELETE` requests get no response.
pub(in crate::frontend::http) const MAX_CANCEL_TRIES: u32 = 3;

/// Identifies an attempt by its job and its number within the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(in crate::frontend::http) struct AttemptId {
    pub job: JobId,
    pub number: usize,
}

/// The current use of a connection.
#[derive(Clone, Copy, Debug)]
pub(in crate::frontend::http) enum ConnectionUse {
    Idle,
    /// Assigned to an attempt that is not written yet: the connection must be established or an older attempt
    /// cancelled first.
    Assigned(AttemptId),
    /// Carries an attempt whose request is written.
    Attempt(AttemptId),
    /// Carries a probe.
    Probe {
        /// When the probe was requested, in milliseconds.
        started_at_ms: f64,
        /// When its connection was established, in milliseconds.
        open_at_ms: f64,
    },
    /// Awaits a response that is no longer needed.
    Draining,
    /// Awaits the response to the `DELETE` that cancels an attempt. Without a response the `DELETE` may not
    /// have reached the endpoint.
    Cancelling(AttemptId),
    /// Not in use, because an attempt was just declined on it.
    CoolingDown,
}

/// A connection to an endpoint.
pub(in crate::frontend::http) struct UpstreamConnection {
    pub endpoint: EndpointId,
    pub purpose: ConnectionUse,
    /// When the connection is given up, in milliseconds.
    pub deadline_ms: f64,
    /// Whether the connection was taken from the pool.
    pub was_pooled: bool,
    /// Whether the connection is known to be established.
    pub is_connected: bool,
    /// The attempt on a reused connection is not written before this time, in milliseconds, because the peer
    /// may be closing the connection; 0 if there is no such wait.
    pub write_after_ms: f64,
}

/// An attempt that has not ended.
pub(in crate::frontend::http) struct AttemptState {
    pub endpoint: EndpointId,
    /// The attempt's connection; `None` once the endpoint has accepted the job.
    pub conn: Option<ConnId>,
    pub request_id: Rc<str>,
    /// The address to which the connection was opened.
    pub address: String,
    /// Number of failed requests to cancel the attempt; `None` unless the next attempt waits for the
    /// cancellation.
    pub cancel_tries: Option<u32>,
}

/// Whether the next attempt of a job may be written, if no two attempts may be open at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::frontend::http) enum WritePermission {
    /// The attempt may be written now.
    Granted,
    /// The attempt may not be written yet: the previous attempt is being cancelled.
    Pending,
    /// The attempt may not be written: the previous attempt could not be cancelled.
    Denied,
}

/// All connections to endpoints.
pub(in crate::frontend::http) struct Upstreams {
    pub connections: FxHashMap<ConnId, UpstreamConnection>,
    pub pool: Pool<EndpointId>,
    pub attempts: FxHashMap<AttemptId, AttemptState>,
    pub max_connections: usize,
}

impl Upstreams {
    pub fn new(connection_idle_ms: f64, max_connections: usize) -> Upstreams {
        Upstreams {
            connections: FxHashMap::default(),
            pool: Pool::new(connection_idle_ms),
            attempts: FxHashMap::default(),
            max_connections,
        }
    }

    /// Applies a new idle time and a new limit on connections.
    pub fn reconfigure(&mut self, connection_idle_ms: f64, max_connections: usize) {
        self.pool.set_idle_limit(connection_idle_ms);
        self.max_connections = max_connections;
    }

    pub fn owns(&self, conn: ConnId) -> bool {
        self.connections.contains_key(&conn)
    }

    /// Sets the time at which a connection is given up, in milliseconds.
    pub fn set_deadline(&mut self, conn: ConnId, deadline_ms: f64) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.deadline_ms = deadline_ms;
        }
    }

    /// Returns the current use of a connection.
    pub fn purpose(&self, conn: ConnId) -> Option<ConnectionUse> {
        self.connections.get(&conn).map(|connection| connection.purpose)
    }

    /// Whether a connection was known to work before: it came from the pool, or no longer has a time limit to
    /// connect.
    pub fn was_connected_before(&self, conn: ConnId) -> bool {
        let is_known = |connection: &UpstreamConnection| {
            connection.was_pooled || connection.deadline_ms == f64::INFINITY
        };
        self.connections.get(&conn).is_none_or(is_known)
    }

    /// Whether a connection was taken from the pool.
    pub fn was_pooled(&self, conn: ConnId) -> bool {
        self.connections.get(&conn).is_some_and(|connection| connection.was_pooled)
    }

    /// Whether the attempt on a connection waits because the peer may be closing the connection.
    pub fn is_write_delayed(&self, conn: ConnId) -> bool {
        self.connections.get(&conn).is_some_and(|connection| connection.write_after_ms > 0.0)
    }

    /// Records that an attempt is written on a connection.
    pub fn start_attempt(&mut self, conn: ConnId, attempt: AttemptId) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.purpose = ConnectionUse::Attempt(attempt);
            connection.deadline_ms = f64::INFINITY;
            connection.is_connected = true;
        }
    }

    /// Records that a connection's response is only awaited in order to reuse the connection.
    pub fn start_draining(&mut self, conn: ConnId, now_ms: f64) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.purpose = ConnectionUse::Draining;
            connection.deadline_ms = now_ms + DRAIN_TIMEOUT_MS;
        }
    }

    /// Returns whether the next attempt of a job may be written, given which of its attempts are being
    /// cancelled.
    pub fn write_permission(&self, job: JobId) -> WritePermission {
        let of_job = self.attempts.iter().filter(|(id, _)| id.job == job);
        match of_job.filter_map(|(_, attempt)| attempt.cancel_tries).max() {
            None => WritePermission::Granted,
            Some(tries) if tries >= MAX_CANCEL_TRIES => WritePermission::Denied,
            Some(_) => WritePermission::Pending,
        }
    }

    /// Removes the attempts of a finished job that were still being cancelled.
    pub fn forget_cancelling(&mut self, job: JobId) {
        self.attempts.retain(|id, attempt| id.job != job || attempt.cancel_tries.is_none());
    }

    /// Returns the earliest deadline of all connections, in milliseconds.
    pub fn next_deadline(&self) -> f64 {
        self.connections.values().map(|connection| connection.deadline_ms).fold(f64::INFINITY, f64::min)
    }
}

impl UpstreamConnection {
    /// Records that the connection is established. This includes connections established within the first
    /// write, as happens on loopback; relying on the socket state alone would keep their time limit to
    /// connect.
    pub fn mark_connected(&mut self, now_ms: f64) {
        if std::mem::replace(&mut self.is_connected, true) {
            return;
        }
        match &mut self.purpose {
            ConnectionUse::Draining => self.deadline_ms = now_ms + DRAIN_TIMEOUT_MS,
            ConnectionUse::Cancelling(_) => self.deadline_ms = now_ms + RESPONSE_TIMEOUT_MS,
            ConnectionUse::Probe { open_at_ms, .. } => *open_at_ms = now_ms,
            ConnectionUse::Idle
            | ConnectionUse::CoolingDown
            | ConnectionUse::Assigned(_)
            | ConnectionUse::Attempt(_) => {}
        }
    }
}
