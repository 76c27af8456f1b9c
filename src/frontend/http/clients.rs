//! Client connections: accepted, bounded, swept and ended here. What comes on them is read in `requests`, and what goes back
//! is written in `responses`.

use rustc_hash::FxHashMap;

use super::HttpFrontend;
use crate::frontend::Sockets;
use crate::net::{AcceptState, Budget, ConnId};
use crate::routing::JobId;

/// How long a client may be silent while it owes the rest of a request, or its first byte, in milliseconds.
pub(super) const READ_TIMEOUT_MS: f64 = 2500.0;
/// How long a client may take to send a request from its first byte to its last, however steadily, in milliseconds.
pub(super) const REQUEST_TIMEOUT_MS: f64 = 20_000.0;
/// Time between two sweeps for clients that take too long, in milliseconds.
pub(super) const SWEEP_INTERVAL_MS: f64 = 100.0;
/// How long the end of a connection waits for the peer to end its side, in milliseconds.
const LINGER_TIMEOUT_MS: f64 = 1000.0;
/// How long a connection without a request is left alone while the program stops, in milliseconds: a new one may yet bring
/// its first callback.
const MIN_IDLE_BEFORE_CLOSE_MS: f64 = 250.0;
/// How long a listener that is to be closed may stay open while the system refuses to accept, in milliseconds.
const MAX_LISTENER_CLOSE_MS: f64 = 500.0;
/// Connections accepted before other events of the loop have their turn.
const MAX_ACCEPTS_PER_TURN: usize = 64;

/// A request of which some bytes have come.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartialRequest {
    /// Since when it has been coming, in milliseconds.
    pub since_ms: f64,
    /// How many of its bytes were there at the last look.
    pub seen_bytes: usize,
}

/// A client connection. Times are milliseconds of the clock.
pub(super) struct Client {
    /// The job that it waits for.
    pub job: Option<JobId>,
    /// Since when it has had nothing to do.
    pub idle_since_ms: f64,
    /// Whether it has brought callbacks, which go on to come while the program stops.
    pub sends_callbacks: bool,
    /// Whether its peer is another process of this dispatcher, which passes callbacks on.
    pub is_upgrade_link: bool,
    /// Whether something of it waits here before it becomes a job: a callback for the answer of another process, or a
    /// request for the policy gate.
    pub is_waiting: bool,
    /// When it is closed, once its last response is written.
    pub close_deadline_ms: Option<f64>,
    /// When a complete request is to have come, if one is due.
    pub read_deadline_ms: Option<f64>,
    pub partial_request: Option<PartialRequest>,
    /// Whether a request of it was taken, or a callback of it read.
    pub has_sent_request: bool,
    /// Bytes held for it: of a request that is not complete, or of its job.
    pub buffered_bytes: usize,
    /// How long its first request may have waited before it was accepted, in milliseconds.
    pub backlog_wait_ms: f64,
}

impl Client {
    /// A connection that was accepted just now, and may have waited so long for that.
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

    /// Whether nothing of it is under way, and it is not being closed.
    pub fn is_idle(&self) -> bool {
        self.job.is_none() && !self.is_waiting && self.close_deadline_ms.is_none()
    }

    /// Whether it can bring no further request before something here has ended.
    pub fn is_busy(&self) -> bool {
        self.job.is_some() || self.is_waiting
    }
}

/// All client connections.
pub(super) struct Clients {
    pub listener: usize,
    pub budget: Budget,
    pub connections: FxHashMap<ConnId, Client>,
    /// Bytes held for all of them.
    buffered_bytes: usize,
    /// When to sweep next for clients that take too long.
    next_sweep_ms: f64,
    /// Connections that have had their answer, and may hold their next request already.
    pub answered: Vec<ConnId>,
    /// Connections that have had their turn, and may hold more.
    pub deferred: Vec<ConnId>,
    /// Since when the system refuses to accept, or what waited since then is not all accepted, in milliseconds.
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

    /// Takes in what an attempt to accept has shown. Gives how long a connection that was accepted now may have waited, in
    /// milliseconds: since the system first refused, where the backlog was not empty after that. Guards against a deadline
    /// that is passed on as if the request had come only now.
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

    /// When to look at them again.
    pub fn next_deadline(&self) -> f64 {
        if self.deferred.is_empty() { self.next_sweep_ms } else { 0.0 }
    }

    /// Whether every connection has ended.
    pub fn all_ended(&self) -> bool {
        self.connections.is_empty()
    }

    /// Has the clients swept soon: a deadline of one of them has been set.
    pub fn schedule_sweep(&mut self, now_ms: f64) {
        self.next_sweep_ms = self.next_sweep_ms.min(now_ms + SWEEP_INTERVAL_MS);
    }

    /// Notes the bytes that are held for a client, and tells whether they fit. Guards against memory that many half-sent
    /// bodies take together, each within its bound. What is small always fits, callbacks above all.
    pub fn reserve(&mut self, id: ConnId, bytes: usize) -> bool {
        if let Some(client) = self.connections.get_mut(&id) {
            self.buffered_bytes = self.buffered_bytes - client.buffered_bytes + bytes;
            client.buffered_bytes = bytes;
        }
        self.buffered_bytes <= self.budget.bytes || bytes <= self.budget.bytes / self.budget.clients
    }

    /// The connection that has been idle longest. Guards against usual clients who lose their places to many that connect
    /// and send nothing, or nothing that is taken: those go first.
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
    /// Accepts what waits. At the limit the connection that has been idle longest makes room: the backlog counts as taken,
    /// so that nothing may be left in it.
    pub fn accept(&mut self, net: &mut Sockets) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            while self.clients.connections.len() >= self.clients.budget.clients {
                let Some(idle) = self.clients.longest_idle() else { return };
                // A request that has come by now is taken or rejected first.
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

    /// Accepts all that waits, however many.
    pub(super) fn accept_all(&mut self, net: &mut Sockets) {
        loop {
            let before = self.clients.connections.len();
            self.accept(net);
            if self.clients.connections.len() == before {
                return;
            }
        }
    }

    /// Closes the listener once what waits there is accepted: at the close the system resets the rest. Where it refuses to
    /// accept for a while, the listener stays open until `tick` has tried again, for a bounded time.
    pub(super) fn close_listener_when_empty(&mut self, net: &mut Sockets) {
        let now_ms = self.core.clock().now();
        let give_up_ms = *self.listener_close_by_ms.get_or_insert(now_ms + MAX_LISTENER_CLOSE_MS);
        self.accept_all(net);
        let is_paused = net.accept_state(self.clients.listener) == AcceptState::Paused;
        self.is_closing_listener = is_paused && now_ms < give_up_ms;
        if !self.is_closing_listener {
            net.close_listener(self.clients.listener);
        }
    }

    /// Ends a connection once its last response is written: this side first, since a close with bytes unread would take the
    /// response back.
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

    /// Closes a connection; its client has left.
    pub(super) fn drop_client(&mut self, net: &mut Sockets, id: ConnId) {
        net.close(id);
        self.clients.reserve(id, 0);
        let Some(client) = self.clients.connections.remove(&id) else { return };
        if let Some(job) = client.job {
            self.forget_job(job);
            self.core.on_client_left(job);
        }
    }

    /// Whether a job's client has gone, by a look at its connection before anything is sent for it. Guards against an attempt
    /// that begins as its client's end waits to be read in the same turn of the loop.
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

    /// Ends connections whose peers do not end them, or do not send a complete request in time.
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

    /// Closes what clients hold without a request, so that they go elsewhere. Guards against closing a new connection before
    /// its first callback has been read.
    pub(super) fn close_idle(&mut self, net: &mut Sockets) {
        let idle_before_ms = self.core.clock().now() - MIN_IDLE_BEFORE_CLOSE_MS;
        let is_closable = |client: &Client| {
            client.is_idle() && !client.sends_callbacks && client.idle_since_ms <= idle_before_ms
        };
        let closable = self.clients.connections.iter().filter(|(_, client)| is_closable(client));
        for id in closable.map(|(&id, _)| id).collect::<Vec<_>>() {
            // What has come by now is read first, and rejected.
            self.on_client_ready(net, id);
            let is_empty = net.conn(id).is_none_or(|conn| conn.tx.is_empty() && conn.rx.is_empty());
            if is_empty && self.clients.connections.get(&id).is_some_and(Client::is_idle) {
                self.close_gently(net, id);
            }
        }
    }

    /// The last turn of a stop, with no job open: what waits in the backlog is accepted, since it counts as taken, and what
    /// has come is rejected; then every connection is ended gently. Guards against an exit that resets them.
    pub(super) fn close_all(&mut self, net: &mut Sockets) {
        self.core.reject_new_jobs();
        self.close_listener_when_empty(net);
        for id in self.clients.connections.keys().copied().collect::<Vec<_>>() {
            self.on_client_ready(net, id);
            if self.clients.connections.get(&id).is_some_and(Client::is_idle) {
                self.close_gently(net, id);
            }
        }
    }

    /// Ends a connection between requests: this side at once, the whole of it once the peer has ended its own. Guards against
    /// bytes that cross the closing: left unread they would reset the connection, and a response under way with it. What is
    /// read from now on is not answered nor sent on, so that its client sends it elsewhere.
    fn close_gently(&mut self, net: &mut Sockets, id: ConnId) {
        self.start_closing(net, id);
        self.on_client_ready(net, id);
    }

    /// From now on nothing is taken on a connection, which ends once all is written.
    pub(super) fn start_closing(&mut self, net: &mut Sockets, id: ConnId) {
        if let Some(conn) = net.conn(id) {
            conn.closing = true;
        }
        // Its peer is to take its response in time as well.
        let now_ms = self.core.clock().now();
        if let Some(client) = self.clients.get_mut(id) {
            client.read_deadline_ms = Some(now_ms + READ_TIMEOUT_MS);
        }
        self.clients.schedule_sweep(now_ms);
    }
}
