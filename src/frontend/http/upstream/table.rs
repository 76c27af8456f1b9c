//! Which connections to endpoints there are, what each is used for, and which attempts are out on them.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::net::{ConnId, Pool};
use crate::routing::{EndpointId, JobId};

/// How long an endpoint may take to answer a probe, or the call that cancels an attempt, in milliseconds.
pub(in crate::frontend::http) const RESPONSE_TIMEOUT_MS: f64 = 500.0;
/// How long a response that nobody needs is waited for, so that its connection can be used again, in milliseconds.
const DRAIN_TIMEOUT_MS: f64 = 2000.0;
/// How often the cancelling of an attempt is tried again whose `DELETE` had no response.
pub(in crate::frontend::http) const MAX_CANCEL_TRIES: u32 = 3;

/// An attempt: its job, and its number within the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(in crate::frontend::http) struct AttemptId {
    pub job: JobId,
    pub number: usize,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug)]
pub(in crate::frontend::http) enum ConnectionUse {
    Idle,
    /// For an attempt that is not written yet: its connection has to come up, or an older attempt to be cancelled first.
    Assigned(AttemptId),
    /// For an attempt that is written.
    Attempt(AttemptId),
    /// For a probe.
    Probe {
        /// Since when it was wanted, in milliseconds.
        started_at_ms: f64,
        /// Since when its connection has been up, in milliseconds.
        connected_at_ms: f64,
    },
    /// For a response that nobody needs.
    Draining,
    /// For the call that cancels an attempt, until its response: written alone, it may go to nobody.
    Cancelling(AttemptId),
    /// For nothing, since an attempt has just been declined on it.
    CoolingDown,
}

/// A connection to an endpoint.
pub(in crate::frontend::http) struct UpstreamConnection {
    pub endpoint: EndpointId,
    pub purpose: ConnectionUse,
    /// When it is given up, in milliseconds.
    pub deadline_ms: f64,
    /// Whether it has been idle in the pool.
    pub was_pooled: bool,
    /// Whether it has been seen to come up.
    pub is_connected: bool,
    /// Its end may be on the way until this time, in milliseconds: its attempt waits. 0: it does not.
    pub write_after_ms: f64,
}

/// An attempt that has not ended.
pub(in crate::frontend::http) struct AttemptState {
    pub endpoint: EndpointId,
    /// Its connection until the job was taken, none after.
    pub conn: Option<ConnId>,
    pub request_id: Rc<str>,
    /// Where its connection leads.
    pub address: String,
    /// How often it was tried in vain to cancel it, where the next attempt waits for that.
    pub cancel_tries: Option<u32>,
}

/// Whether the next attempt of a job may be written, where no two may be open together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::frontend::http) enum WritePermission {
    /// It may.
    Granted,
    /// Not yet: the attempt before it is being cancelled.
    Pending,
    /// It may not: the attempt before it could not be cancelled.
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

    /// Takes over another idle time and another bound.
    pub fn reconfigure(&mut self, connection_idle_ms: f64, max_connections: usize) {
        self.pool.set_idle_limit(connection_idle_ms);
        self.max_connections = max_connections;
    }

    pub fn owns(&self, conn: ConnId) -> bool {
        self.connections.contains_key(&conn)
    }

    /// Gives a connection up at this time, in milliseconds.
    pub fn set_deadline(&mut self, conn: ConnId, deadline_ms: f64) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.deadline_ms = deadline_ms;
        }
    }

    /// What a connection is used for.
    pub fn purpose(&self, conn: ConnId) -> Option<ConnectionUse> {
        self.connections.get(&conn).map(|connection| connection.purpose)
    }

    /// Whether a connection proved itself before: it was in the pool, or has come up without a time limit.
    pub fn was_connected_before(&self, conn: ConnId) -> bool {
        let is_known = |connection: &UpstreamConnection| {
            connection.was_pooled || connection.deadline_ms == f64::INFINITY
        };
        self.connections.get(&conn).is_none_or(is_known)
    }

    /// Whether a connection was taken out of the pool.
    pub fn was_pooled(&self, conn: ConnId) -> bool {
        self.connections.get(&conn).is_some_and(|connection| connection.was_pooled)
    }

    /// Whether the attempt on a connection waits as its end may be on the way.
    pub fn is_write_delayed(&self, conn: ConnId) -> bool {
        self.connections.get(&conn).is_some_and(|connection| connection.write_after_ms > 0.0)
    }

    /// An attempt is being written on a connection.
    pub fn start_attempt(&mut self, conn: ConnId, attempt: AttemptId) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.purpose = ConnectionUse::Attempt(attempt);
            connection.deadline_ms = f64::INFINITY;
            connection.is_connected = true;
        }
    }

    /// A connection's response is not needed any more, but for the next use of the connection.
    pub fn start_draining(&mut self, conn: ConnId, now_ms: f64) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.purpose = ConnectionUse::Draining;
            connection.deadline_ms = now_ms + DRAIN_TIMEOUT_MS;
        }
    }

    /// Whether the next attempt of a job may go, by the attempts of it that are being cancelled.
    pub fn write_permission(&self, job: JobId) -> WritePermission {
        let of_job = self.attempts.iter().filter(|(id, _)| id.job == job);
        match of_job.filter_map(|(_, attempt)| attempt.cancel_tries).max() {
            None => WritePermission::Granted,
            Some(tries) if tries >= MAX_CANCEL_TRIES => WritePermission::Denied,
            Some(_) => WritePermission::Pending,
        }
    }

    /// Forgets what a job that is over was still cancelling.
    pub fn forget_cancelling(&mut self, job: JobId) {
        self.attempts.retain(|id, attempt| id.job != job || attempt.cancel_tries.is_none());
    }

    /// When to look at them again.
    pub fn next_deadline(&self) -> f64 {
        self.connections.values().map(|connection| connection.deadline_ms).fold(f64::INFINITY, f64::min)
    }
}

impl UpstreamConnection {
    /// The connection is seen to be up. Guards against a connection that came up within the write of its request, as on
    /// loopback: seen up only by the state of the socket, it kept its time limit to connect.
    pub fn mark_connected(&mut self, now_ms: f64) {
        if std::mem::replace(&mut self.is_connected, true) {
            return;
        }
        match &mut self.purpose {
            ConnectionUse::Draining => self.deadline_ms = now_ms + DRAIN_TIMEOUT_MS,
            ConnectionUse::Cancelling(_) => self.deadline_ms = now_ms + RESPONSE_TIMEOUT_MS,
            ConnectionUse::Probe { connected_at_ms, .. } => *connected_at_ms = now_ms,
            ConnectionUse::Idle
            | ConnectionUse::CoolingDown
            | ConnectionUse::Assigned(_)
            | ConnectionUse::Attempt(_) => {}
        }
    }
}
