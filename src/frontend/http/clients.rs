//! Client connections: accepting, limiting, sweeping and closing them. Requests are read in `requests`, and
//! responses are written in `responses`.

use rustc_hash::FxHashMap;

use super::HttpFrontend;
use crate::frontend::Sockets;
use crate::net::{AcceptState, Budget, ConnId};
use crate::routing::JobId;

/// How long a client may send nothing while the first byte or the rest of a request is outstanding, in
/// milliseconds.
pub(super) const READ_TIMEOUT_MS: f64 = 2500.0;
/// How long a client may take to send a request from its first byte to its last, even if it sends steadily,
/// in milliseconds.
pub(super) const REQUEST_TIMEOUT_MS: f64 = 20_000.0;
/// Interval between two sweeps for clients past their deadline, in milliseconds.
pub(super) const SWEEP_INTERVAL_MS: f64 = 100.0;
/// How long a connection whose write side is shut down waits for the peer to close its side, in milliseconds.
const LINGER_TIMEOUT_MS: f64 = 1000.0;
/// Idle time before a connection may be closed during a stop or an evacuation, in milliseconds: a new
/// connection may be about to carry its first callback.
const MIN_IDLE_BEFORE_CLOSE_MS: f64 = 250.0;
/// How long a listener that is due to be closed stays open while the system refuses to accept, in
/// milliseconds.
const MAX_LISTENER_CLOSE_MS: f64 = 500.0;
/// Maximum number of connections accepted in one pass, so that other events of the loop are handled as well.
const MAX_ACCEPTS_PER_TURN: usize = 64;

/// A request that has arrived in part.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartialRequest {
    /// When its first bytes were seen, in milliseconds of the clock.
    pub since_ms: f64,
    /// Number of its bytes buffered at the last check.
    pub seen_bytes: usize,
}

/// A client connection. Times are in milliseconds of the clock.
pub(super) struct Client {
    /// The job whose answer the client waits for.
    pub job: Option<JobId>,
    /// Since when the connection has been idle.
    pub idle_since_ms: f64,
    /// Whether the client has sent callbacks. Such connections stay open during a stop, since more callbacks
    /// may follow.
    pub sends_callbacks: bool,
    /// Whether the peer is another process of this dispatcher, which forwards callbacks.
    pub is_upgrade_link: bool,
    /// Whether a message from this connection is waiting without being a job: a callback that another process
    /// is asked about, or a request held by the policy gate.
    pub is_waiting: bool,
    /// When the connection is closed after its last response was written, even if the peer has not closed its
    /// side.
    pub close_deadline_ms: Option<f64>,
    /// When the next complete request must have arrived, if one is due.
    pub read_deadline_ms: Option<f64>,
    pub partial_request: Option<PartialRequest>,
    /// Whether a request on this connection was admitted, or a callback on it read.
    pub has_sent_request: bool,
    /// Bytes buffered for the connection: its incomplete request, or the request of its job.
    pub buffered_bytes: usize,
    /// How long the first request may have waited in the backlog, in milliseconds.
    pub backlog_wait_ms: f64,
}

impl Client {
    /// Creates the state of a connection accepted now, which may have waited `backlog_wait_ms` in the
    /// backlog.
    fn new(now_ms: f64, backlog_wait_ms: f64) -> Client {
        Client {
            job: None,
            idle_since_ms: now_ms,
            sends_callbacks: false,
            is_upgrade_link: false,
            is_waiting: false,
            close_deadline_ms: None,
            read_deadline_ms: Some(now_ms + READ_TIMEOUT_MS),
            partial_request: None,
            has_sent_request: false,
            buffered_bytes: 0,
            backlog_wait_ms,
        }
    }

    /// Whether the connection has no open request and is not being closed.
    pub fn is_idle(&self) -> bool {
        self.job.is_none() && !self.is_waiting && self.close_deadline_ms.is_none()
    }

    /// Whether the current request must end before the next one is read.
    pub fn is_busy(&self) -> bool {
        self.job.is_some() || self.is_waiting
    }
}

/// All client connections of the frontend.
pub(super) struct Clients {
    pub listener: usize,
    pub budget: Budget,
    pub connections: FxHashMap<ConnId, Client>,
    /// Bytes buffered for all connections.
    buffered_bytes: usize,
    /// When to check next for clients past their deadline.
    next_sweep_ms: f64,
    /// Connections that were just answered and may already have their next request buffered.
    pub answered: Vec<ConnId>,
    /// Connections that used up their turn and may have more data buffered.
    pub deferred: Vec<ConnId>,
    /// Since when the system has refused to accept, in milliseconds of the clock. Stays set until the backlog
    /// is empty again.
    refused_since_ms: Option<f64>,
}

impl Clients {
    pub fn new(listener: usize, budget: Budget) -> Clients {
        Clients {
            listener,
            budget,
            connections: FxHashMap::default(),
            buffered_bytes: 0,
            next_sweep_ms: f64::INFINITY,
            answered: Vec::new(),
            deferred: Vec::new(),
            refused_since_ms: None,
        }
    }

    /// Updates the accept state after an attempt to accept. Returns how long a connection accepted now may
    /// have waited in the backlog, in milliseconds: the time since the system first refused, if the backlog
    /// has not been empty since. Without this, the deadline passed on to an endpoint would be too late, as if
    /// the request had only just arrived.
    fn record_accept_state(&mut self, now_ms: f64, state: AcceptState) -> f64 {
        match state {
            AcceptState::Empty => self.refused_since_ms = None,
            AcceptState::Paused => _ = self.refused_since_ms.get_or_insert(now_ms),
            AcceptState::Waiting => {}
        }
        self.refused_since_ms.map_or(0.0, |since_ms| now_ms - since_ms)
    }

    pub fn owns(&self, conn: ConnId) -> bool {
        self.connections.contains_key(&conn)
    }

    pub fn get_mut(&mut self, conn: ConnId) -> Option<&mut Client> {
        self.connections.get_mut(&conn)
    }

    /// Returns when the connections need attention next.
    pub fn next_deadline(&self) -> f64 {
        if self.deferred.is_empty() { self.next_sweep_ms } else { 0.0 }
    }

    /// Whether no client connection is left.
    pub fn all_ended(&self) -> bool {
        self.connections.is_empty()
    }

    /// Schedules a sweep soon, because a client's deadline was set.
    pub fn schedule_sweep(&mut self, now_ms: f64) {
        self.next_sweep_ms = self.next_sweep_ms.min(now_ms + SWEEP_INTERVAL_MS);
    }

    /// Records the bytes buffered for a client and returns whether they fit the memory budget. Bounds the
    /// total of many half-sent bodies, each of which is within its own limit. Amounts up to one client's
    /// equal share always fit, so that callbacks are never refused.
    pub fn reserve(&mut self, id: ConnId, bytes: usize) -> bool {
        if let Some(client) = self.connections.get_mut(&id) {
            self.buffered_bytes = self.buffered_bytes - client.buffered_bytes + bytes;
            client.buffered_bytes = bytes;
        }
        self.buffered_bytes <= self.budget.bytes || bytes <= self.budget.bytes / self.budget.clients
    }

    /// Returns the connection without a job that has been idle longest, connections without an admitted
    /// request or a callback first. Regular clients thus do not lose their connections to many others that
    /// connect and send nothing useful.
    fn longest_idle(&self) -> Option<ConnId> {
        let order = |a: &Client, b: &Client| {
            let by_use = a.has_sent_request.cmp(&b.has_sent_request);
            by_use.then(a.idle_since_ms.total_cmp(&b.idle_since_ms))
        };
        let without_job = self.connections.iter().filter(|(_, client)| client.job.is_none());
        without_job.min_by(|a, b| order(a.1, b.1)).map(|(&id, _)| id)
    }
}

impl HttpFrontend {
    /// Accepts pending connections. At the limit, the connection that has been idle longest is closed to make
    /// space: the kernel has already accepted those in the backlog on our behalf, so none may be left there.
    pub fn accept(&mut self, net: &mut Sockets) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            while self.clients.connections.len() >= self.clients.budget.clients {
                let Some(idle) = self.clients.longest_idle() else { return };
                // A request that has already arrived is accepted or rejected first.
                self.on_client_ready(net, idle);
                if self.clients.connections.get(&idle).is_some_and(|client| client.job.is_none()) {
                    self.drop_client(net, idle);
                }
            }
            let accepted = net.accept(self.clients.listener);
            let now_ms = self.core.clock().now();
            let state = net.accept_state(self.clients.listener);
            let backlog_wait_ms = self.clients.record_accept_state(now_ms, state);
            let Some(id) = accepted else { return };
            self.clients.connections.insert(id, Client::new(now_ms, backlog_wait_ms));
            self.clients.schedule_sweep(now_ms);
        }
    }

    /// Accepts all pending connections, regardless of their number.
    pub(super) fn accept_all(&mut self, net: &mut Sockets) {
        loop {
            let before = self.clients.connections.len();
            self.accept(net);
            if self.clients.connections.len() == before {
                return;
            }
        }
    }

    /// Closes the listener once its backlog is accepted, since closing it resets the connections left in the
    /// backlog. While the system refuses to accept, the listener stays open and `tick` retries, for
    /// `MAX_LISTENER_CLOSE_MS` at most.
    pub(super) fn close_listener_when_empty(&mut self, net: &mut Sockets) {
        let now_ms = self.core.clock().now();
        let close_by_ms = *self.listener_close_by_ms.get_or_insert(now_ms + MAX_LISTENER_CLOSE_MS);
        self.accept_all(net);
        let is_paused = net.accept_state(self.clients.listener) == AcceptState::Paused;
        self.is_closing_listener = is_paused && now_ms < close_by_ms;
        if !self.is_closing_listener {
            net.close_listener(self.clients.listener);
        }
    }

    /// Shuts down the write side of a connection after its last response was written. Closing it at once with
    /// unread bytes in its receive buffer would reset it and lose the response.
    pub(super) fn linger(&mut self, net: &mut Sockets, id: ConnId) {
        let now_ms = self.core.clock().now();
        let Some(client) = self.clients.get_mut(id).filter(|client| client.close_deadline_ms.is_none())
        else {
            return;
        };
        client.close_deadline_ms = Some(now_ms + LINGER_TIMEOUT_MS);
        self.clients.schedule_sweep(now_ms);
        if let Some(conn) = net.conn(id) {
            conn.shut_down_write();
        }
    }

    /// Closes a connection and reports to the core that the client of its job has left.
    pub(super) fn drop_client(&mut self, net: &mut Sockets, id: ConnId) {
        net.close(id);
        self.clients.reserve(id, 0);
        let Some(client) = self.clients.connections.remove(&id) else { return };
        if let Some(job) = client.job {
            self.forget_job(job);
            self.core.on_client_left(job);
        }
    }

    /// Checks on the socket whether a job's client has left, before anything is sent for the job. Without
    /// this check an attempt could start although the client's close is already waiting to be read in the
    /// same turn of the loop.
    pub(super) fn client_has_left(&mut self, net: &mut Sockets, job: JobId) -> bool {
        let Some(client) = self.jobs.get(&job).map(|job| job.client) else { return true };
        let Some(conn) = net.conn(client) else { return true };
        conn.pump();
        let has_left = conn.eof || conn.broken;
        if has_left {
            self.drop_client(net, client);
        }
        has_left
    }

    /// Closes connections whose peers neither close them nor send a complete request in time.
    pub(super) fn sweep_clients(&mut self, net: &mut Sockets, now_ms: f64) {
        if self.clients.next_sweep_ms > now_ms {
            return;
        }
        let is_due = |deadline: Option<f64>| deadline.is_some_and(|at| at <= now_ms);
        let mut due = Vec::new();
        for (&id, client) in &self.clients.connections {
            if is_due(client.close_deadline_ms) || is_due(client.read_deadline_ms) {
                due.push((id, is_due(client.close_deadline_ms)));
            }
        }
        for (id, is_closed) in due {
            let owes_request =
                !is_closed && net.conn(id).is_some_and(|conn| !conn.closing && !conn.rx.is_empty());
            if owes_request {
                self.respond_and_close(net, id, 408);
                self.on_client_ready(net, id);
            } else {
                self.drop_client(net, id);
            }
        }
        let has_deadline =
            |client: &Client| client.close_deadline_ms.is_some() || client.read_deadline_ms.is_some();
        let is_needed = self.clients.connections.values().any(has_deadline);
        self.clients.next_sweep_ms = if is_needed { now_ms + SWEEP_INTERVAL_MS } else { f64::INFINITY };
    }

    /// Closes idle connections of clients, so that they connect elsewhere. New connections are spared for
    /// `MIN_IDLE_BEFORE_CLOSE_MS`, since their first callback may not have been read yet.
    pub(super) fn close_idle(&mut self, net: &mut Sockets) {
        let idle_before_ms = self.core.clock().now() - MIN_IDLE_BEFORE_CLOSE_MS;
        let is_closable = |client: &Client| {
            client.is_idle() && !client.sends_callbacks && client.idle_since_ms <= idle_before_ms
        };
        let closable = self.clients.connections.iter().filter(|(_, client)| is_closable(client));
        for id in closable.map(|(&id, _)| id).collect::<Vec<_>>() {
            // Data that has already arrived is read first, and its request rejected.
            self.on_client_ready(net, id);
            let is_empty = net.conn(id).is_none_or(|conn| conn.tx.is_empty() && conn.rx.is_empty());
            if is_empty && self.clients.connections.get(&id).is_some_and(Client::is_idle) {
                self.close_gracefully(net, id);
            }
        }
    }

    /// Runs the final step of a stop, with no job open: accepts the connections in the backlog, whose clients
    /// consider themselves connected, rejects the requests that have arrived, and closes every connection
    /// gracefully. Exiting without this would reset them.
    pub(super) fn close_all(&mut self, net: &mut Sockets) {
        self.core.reject_new_jobs();
        self.close_listener_when_empty(net);
        for id in self.clients.connections.keys().copied().collect::<Vec<_>>() {
            self.on_client_ready(net, id);
            if self.clients.connections.get(&id).is_some_and(Client::is_idle) {
                self.close_gracefully(net, id);
            }
        }
    }

    /// Closes a connection between requests: the write side at once, the rest when the peer has closed its
    /// side. Bytes that the peer sends meanwhile must be read, since unread bytes would reset the connection
    /// and lose a response in flight. They are neither answered nor processed, so that the client retries
    /// elsewhere.
    fn close_gracefully(&mut self, net: &mut Sockets, id: ConnId) {
        self.start_closing(net, id);
        self.on_client_ready(net, id);
    }

    /// Stops processing requests on a connection, which is closed once all responses are written.
    pub(super) fn start_closing(&mut self, net: &mut Sockets, id: ConnId) {
        if let Some(conn) = net.conn(id) {
            conn.closing = true;
        }
        // The peer must also read its response in time.
        let now_ms = self.core.clock().now();
        if let Some(client) = self.clients.get_mut(id) {
            client.read_deadline_ms = Some(now_ms + READ_TIMEOUT_MS);
        }
        self.clients.schedule_sweep(now_ms);
    }
}
