//! UpstreamConnection servers: dispatches on connections of their own or out of the pool, and what becomes of them.

use std::net::SocketAddr;
use std::rc::Rc;

use rustc_hash::FxHashMap;
use rustix::io::Errno;

use super::HttpFrontend;

use crate::frontend::Sockets;
use crate::net::http::{self, Message};
use crate::net::{ConnId, Pool};
use crate::routing::{EndpointId, JobId, LoadReport, Outcome};

/// How long a probe may take, in milliseconds.
pub(super) const PATIENCE: f64 = 500.0;
/// How long an answer that nobody needs is waited for, so that its connection can be used again.
const SPARE: f64 = 2000.0;
/// How long a connection rests on which a job was turned away, in milliseconds. A second copy of such an answer, some
/// milliseconds late, would say of the next job that it never ran.
const REST: f64 = 50.0;
/// How often an attempt is given up anew whose `DELETE` had no answer.
const GIVES_UP: u32 = 3;

/// A dispatch: its session and its number.
pub(super) type AttemptId = (JobId, usize);

/// What a connection is used for.
#[derive(Clone, Copy, Debug)]
pub(super) enum ConnectionUse {
    Idle,
    /// It was decided and not written: its connection has to come up, or an older attempt to be given up first.
    Decided(AttemptId),
    Dispatch(AttemptId),
    /// Since when it was wanted, and since when its connection has been up.
    Probe {
        asked: f64,
        up: f64,
    },
    /// An answer that nobody needs.
    Draining,
    /// The call that gives an attempt up, until it is answered: written alone, it may go to nobody.
    Cancelling(AttemptId),
    /// It has turned a job away just now.
    CoolingDown,
}

struct UpstreamConnection {
    server: EndpointId,
    work: ConnectionUse,
    until: f64,
    /// It has stood idle in the pool.
    kept: bool,
    /// It has been seen to come up.
    up: bool,
}

/// A dispatch that has not ended: its connection until the job was taken, none after.
pub(super) struct AttemptState {
    pub server: EndpointId,
    pub conn: Option<ConnId>,
    pub id: Rc<str>,
    /// Where its connection leads.
    address: String,
    /// How often it was tried in vain to give it up, where the next attempt waits for that.
    leaves: Option<u32>,
}

/// All connections to backend servers.
pub(super) struct Upstreams {
    conns: FxHashMap<ConnId, UpstreamConnection>,
    pool: Pool<EndpointId>,
    pub flights: FxHashMap<AttemptId, AttemptState>,
    most: usize,
}

impl Upstreams {
    pub fn new(conn_idle: f64, most: usize) -> Upstreams {
        let flights = FxHashMap::default();
        Upstreams { conns: FxHashMap::default(), pool: Pool::new(conn_idle), flights, most }
    }

    /// Takes over another idle time and another bound.
    pub fn adopt(&mut self, conn_idle: f64, most: usize) {
        self.pool.keep_below(conn_idle);
        self.most = most;
    }

    pub fn owns(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    pub fn until(&mut self, conn: ConnId, at: f64) {
        if let Some(backend) = self.conns.get_mut(&conn) {
            backend.until = at;
        }
    }

    /// Attempts of a session that are being given up where no two may be out: whether the next may go, none while
    /// that is not known.
    fn gave_up(&self, session: JobId) -> Option<bool> {
        let leaving = self.flights.iter().filter(|((s, _), _)| *s == session).filter_map(|(_, f)| f.leaves);
        leaving.max().map_or(Some(true), |tries| (tries >= GIVES_UP).then_some(false))
    }

    /// Forgets what a session that is over was still giving up.
    pub fn forget(&mut self, session: JobId) {
        self.flights.retain(|(s, _), flight| *s != session || flight.leaves.is_none());
    }

    pub fn next_deadline(&self) -> f64 {
        self.conns.values().map(|b| b.until).fold(f64::INFINITY, f64::min)
    }
}

impl HttpFrontend {
    pub(super) fn host(&self, server: EndpointId) -> String {
        self.core.endpoints().get(server).map(|s| s.address.clone()).unwrap_or_default()
    }

    /// A connection to a backend server: an idle one that is whole, or a new one. None proves that nothing
    /// was sent, and says whether the server is to blame.
    pub(super) fn acquire(
        &mut self,
        net: &mut Sockets,
        server: EndpointId,
        work: ConnectionUse,
    ) -> Result<ConnId, Outcome> {
        let now = self.core.clock().now();
        while let Some(id) = self.backends.pool.take(server, now) {
            // Guards against a connection that the peer has closed: a request written there would be lost.
            if net.conn(id).is_some_and(|conn| conn.is_fresh()) {
                self.backends.conns.insert(
                    id,
                    UpstreamConnection { server, work, until: f64::INFINITY, kept: true, up: true },
                );
                return Ok(id);
            }
            self.close_backend(net, id);
        }
        self.open_backend(net, server, work)
    }

    /// A new connection to a backend server.
    pub(super) fn open_backend(
        &mut self,
        net: &mut Sockets,
        server: EndpointId,
        work: ConnectionUse,
    ) -> Result<ConnId, Outcome> {
        let now = self.core.clock().now();
        if self.backends.conns.len() >= self.backends.most {
            // Guards against servers that are held to have failed as all connections here are in use.
            let idle = self.backends.pool.oldest().ok_or(Outcome::NotSent)?;
            self.close_backend(net, idle);
        }
        let address: Option<SocketAddr> =
            self.core.endpoints().get(server).and_then(|s| s.address.parse().ok());
        let id =
            net.open(address.ok_or(Outcome::Unreachable)?).map_err(|e| match Errno::from_io_error(&e) {
                Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::ADDRNOTAVAIL) => Outcome::NotSent,
                _ => Outcome::Unreachable,
            })?;
        let until = now + self.core.site().connect_timeout_ms;
        self.backends.conns.insert(id, UpstreamConnection { server, work, until, kept: false, up: false });
        Ok(id)
    }

    /// Finds a connection for a dispatch. It is written once that is up, which may be much later.
    pub(super) fn send(&mut self, net: &mut Sockets, session: JobId, attempt: usize, server: EndpointId) {
        let flight = (session, attempt);
        if self.has_left(net, session) {
            return;
        }
        let conn = match self.acquire(net, server, ConnectionUse::Decided(flight)) {
            Ok(conn) => conn,
            Err(outcome) => return self.unserved(flight, outcome, LoadReport::default()),
        };
        let (id, address) = (Rc::clone(&self.jobs[&session].id), self.host(server));
        self.backends
            .flights
            .insert(flight, AttemptState { server, conn: Some(conn), id, address, leaves: None });
        self.backend_ready(net, conn);
    }

    /// Writes a dispatch whose connection is up. Much can have come between its decision and now: the client has
    /// left, the server drains, has moved or was started anew, the time for a repeat is over. Then it never ran.
    fn launch(&mut self, net: &mut Sockets, conn: ConnId, flight: AttemptId) {
        let (session, attempt) = flight;
        if self.has_left(net, session) {
            return;
        }
        let Some(AttemptState { server, address, .. }) = self.backends.flights.get(&flight) else { return };
        let host = self.host(*server);
        let stands = host == *address && self.core.attempt_is_valid(session, attempt);
        let given_up =
            if self.core.site().allows_copies { Some(true) } else { self.backends.gave_up(session) };
        // A connection that has ended says of a server that took it just now that it fails.
        let whole = net.conn(conn).is_some_and(|c| c.is_fresh());
        let kept = self.backends.conns.get(&conn).is_none_or(|b| b.kept || b.until == f64::INFINITY);
        let outcome = match (stands && given_up != Some(false), whole) {
            (true, true) if given_up.is_none() => {
                // A second copy must not be out beside the first: it waits until that is given up.
                return self.backends.until(conn, f64::INFINITY);
            }
            (true, true) => None,
            (true, false) if !kept => Some(Outcome::Unreachable),
            _ => Some(Outcome::NotSent),
        };
        if let Some(outcome) = outcome {
            self.close_backend(net, conn);
            return self.unserved(flight, outcome, LoadReport::default());
        }
        let left = self.core.job(session).map_or(0.0, |s| s.request.deadline_ms) - self.core.clock().now();
        let job = &self.jobs[&session];
        let mut headers = vec![
            ("Host", host),
            ("Req-Id", job.id.to_string()),
            ("Req-Deadline", format!("{}u", (left * 1e3).max(0.0) as u64)),
        ];
        headers.extend(job.headers.iter().map(|(name, value)| (name.as_str(), value.clone())));
        let bytes = http::ask("POST", &job.target, &headers, Some(&job.body));
        if let Some(backend) = self.backends.conns.get_mut(&conn) {
            (backend.work, backend.until, backend.up) =
                (ConnectionUse::Dispatch(flight), f64::INFINITY, true);
        }
        net.write(conn, &bytes);
        self.backend_ready(net, conn);
    }

    /// Calls a dispatch off: before the job was taken by closing the connection, after that by a DELETE.
    pub(super) fn cancel(&mut self, net: &mut Sockets, session: JobId, attempt: usize) {
        let Some(flight) = self.backends.flights.remove(&(session, attempt)) else { return };
        // While the session goes on its next attempt waits where no two may be out together.
        let waits = !self.core.site().allows_copies && self.jobs.contains_key(&session);
        if let Some(conn) = flight.conn {
            let work = self.backends.conns.get(&conn).map(|b| b.work);
            self.close_backend(net, conn);
            // A 202 that was lost on its way is one for the server: then the close gives nothing up.
            if !(waits && matches!(work, Some(ConnectionUse::Dispatch(_)))) {
                return;
            }
        }
        let (server, id) = (flight.server, Rc::clone(&flight.id));
        if waits {
            let flight = AttemptState { leaves: Some(0), conn: None, ..flight };
            self.backends.flights.insert((session, attempt), flight);
        }
        self.give_up(net, (session, attempt), server, &id);
    }

    fn give_up(&mut self, net: &mut Sockets, flight: AttemptId, server: EndpointId, id: &str) {
        let now = self.core.clock().now();
        let Ok(conn) = self.acquire(net, server, ConnectionUse::Cancelling(flight)) else {
            return self.not_given_up(net, flight);
        };
        if net.conn(conn).is_some_and(|c| !c.connecting) {
            self.backends.until(conn, now + PATIENCE);
        }
        let host = [("Host", self.host(server))];
        net.write(conn, &http::ask("DELETE", &format!("/jobs/{id}"), &host, None));
        self.backend_ready(net, conn);
    }

    /// A `DELETE` had no answer: it may not have come, and is made again where the next attempt waits for it.
    fn not_given_up(&mut self, net: &mut Sockets, flight: AttemptId) {
        let Some(leaving) = self.backends.flights.get_mut(&flight) else { return };
        let Some(tries) = &mut leaving.leaves else { return };
        *tries += 1;
        let (tries, server, id) = (*tries, leaving.server, Rc::clone(&leaving.id));
        if tries < GIVES_UP {
            self.give_up(net, flight, server, &id);
        } else {
            self.resume(net, flight.0);
        }
    }

    /// Lets a session's next attempt go on that waited for an older one to be given up.
    fn resume(&mut self, net: &mut Sockets, session: JobId) {
        let own = self.backends.flights.iter().filter(|((s, _), _)| *s == session);
        for conn in own.filter_map(|(_, f)| f.conn).collect::<Vec<_>>() {
            self.backend_ready(net, conn);
        }
    }

    /// Takes a dispatch that has ended off its connection, which still awaits an answer.
    pub(super) fn detach(&mut self, flight: AttemptId) {
        let now = self.core.clock().now();
        let conn = self.backends.flights.remove(&flight).and_then(|f| f.conn);
        if let Some(backend) = conn.and_then(|conn| self.backends.conns.get_mut(&conn)) {
            (backend.work, backend.until) = (ConnectionUse::Draining, now + SPARE);
        }
    }

    fn close_backend(&mut self, net: &mut Sockets, id: ConnId) {
        net.close(id);
        if let Some(backend) = self.backends.conns.remove(&id) {
            self.backends.pool.remove(backend.server, id);
        }
    }

    pub(super) fn backend_ready(&mut self, net: &mut Sockets, id: ConnId) {
        let now = self.core.clock().now();
        let (Some(conn), Some(backend)) = (net.conn(id), self.backends.conns.get_mut(&id)) else { return };
        if let ConnectionUse::Decided(flight) = backend.work {
            if conn.come_up() {
                return self.launch(net, id, flight);
            }
            return if conn.broken {
                self.broke(net, id, false)
            };
        }
        conn.pump();
        // Guards against a connection that came up within the write of its request, as on loopback: seen up only
        // by the state of the socket, it kept its time limit to connect.
        if !backend.up && !conn.connecting && !conn.broken {
            backend.up = true;
            match &mut backend.work {
                ConnectionUse::Draining => backend.until = now + SPARE,
                ConnectionUse::Cancelling(_) => backend.until = now + PATIENCE,
                ConnectionUse::Probe { up, .. } => *up = now,
                ConnectionUse::Idle
                | ConnectionUse::CoolingDown
                | ConnectionUse::Decided(_)
                | ConnectionUse::Dispatch(_) => {}
            }
        }
        let ended = conn.eof || conn.broken;
        // What came before a break counts; a whole answer is an answer. What a reset cut off is none.
        let message = http::response(&mut conn.rx, conn.eof && !conn.broken);
        let stray = !conn.rx.is_empty();
        let written = !conn.connecting && conn.tx.is_empty();
        let (server, work) = (backend.server, backend.work);
        if let (ConnectionUse::Dispatch((session, attempt)), true) = (work, written) {
            // An attempt counts once its last byte has gone to the socket.
            self.core.on_request_sent(session, attempt);
        }
        match message {
            Ok(Some(message)) if !matches!(work, ConnectionUse::Idle | ConnectionUse::CoolingDown) => {
                let reusable = !(ended || stray || message.close) && written;
                let declined = matches!(work, ConnectionUse::Dispatch(_)) && declines(&message);
                (backend.work, backend.until) = if declined {
                    (ConnectionUse::CoolingDown, now + REST)
                } else {
                    (ConnectionUse::Idle, f64::INFINITY)
                };
                if !reusable {
                    self.close_backend(net, id);
                } else if !declined {
                    self.backends.pool.put(server, id, now);
                }
                match work {
                    ConnectionUse::Cancelling(flight) => self.given_up(net, flight),
                    _ => self.answered(server, work, &message),
                }
            }
            Ok(None) if !ended => {}
            // An end, bytes that nobody asked for, or an answer that does not read.
            _ => self.broke(net, id, written),
        }
    }

    fn answered(&mut self, server: EndpointId, work: ConnectionUse, message: &Message) {
        match work {
            ConnectionUse::Probe { up, .. } => self.probed(server, up, message),
            ConnectionUse::Dispatch(flight) => {
                let report = message.header("srv-load").map_or(LoadReport::default(), |t| self.load_text(t));
                match message.status {
                    202 => {
                        if let Some(flight) = self.backends.flights.get_mut(&flight) {
                            flight.conn = None;
                        }
                    }
                    _ if declines(message) => self.unserved(flight, Outcome::Full, report),
                    // What is wrong with the request is not its server's failure; to come too late, too early or
                    // too often is nothing wrong with it.
                    400..500 if !matches!(message.status, 408 | 425 | 429) => {
                        self.unserved(flight, Outcome::Unfit, report)
                    }
                    _ => self.unserved(flight, Outcome::Error, report),
                }
            }
            ConnectionUse::Draining
            | ConnectionUse::Idle
            | ConnectionUse::CoolingDown
            | ConnectionUse::Cancelling(_)
            | ConnectionUse::Decided(_) => {}
        }
    }

    /// A server has answered that an attempt is given up: what waited for that goes on.
    fn given_up(&mut self, net: &mut Sockets, flight: AttemptId) {
        if self.backends.flights.get(&flight).is_some_and(|f| f.leaves.is_some()) {
            self.backends.flights.remove(&flight);
            self.resume(net, flight.0);
        }
    }

    /// A connection broke. By what was written: a dispatch whose last byte was not never ran.
    fn broke(&mut self, net: &mut Sockets, id: ConnId, written: bool) {
        let Some(backend) = self.backends.conns.get(&id) else { return };
        let (server, work, kept) = (backend.server, backend.work, backend.kept);
        self.close_backend(net, id);
        match work {
            ConnectionUse::Decided(flight) => {
                self.unserved(flight, Outcome::Unreachable, LoadReport::default())
            }
            ConnectionUse::Cancelling(flight) => self.not_given_up(net, flight),
            ConnectionUse::Dispatch(flight) => {
                let outcome = if written { Outcome::Reset } else { Outcome::Unreachable };
                self.unserved(flight, outcome, LoadReport::default());
            }
            // Guards against a healthy server that is held to have failed: a connection that broke after it stood
            // idle tells nothing of its server, and a probe does no harm twice.
            ConnectionUse::Probe { asked, .. } if kept && self.core.clock().now() < asked + PATIENCE => {
                self.drop_idle(net, server);
                self.probe_anew(net, server, asked);
            }
            ConnectionUse::Probe { asked, .. } => {
                let latency = self.core.clock().now() - asked;
                self.core.on_probe_ended(server, false, latency, LoadReport::default());
            }
            ConnectionUse::Idle | ConnectionUse::CoolingDown | ConnectionUse::Draining => {}
        }
    }

    /// Gives up what has taken too long: to connect, to answer a probe, or to stand idle.
    pub(super) fn expire_backends(&mut self, net: &mut Sockets) {
        let now = self.core.clock().now();
        if self.backends.next_deadline() <= now {
            let over = self.backends.conns.iter().filter(|(_, b)| b.until <= now).map(|(&id, _)| id);
            for id in over.collect::<Vec<_>>() {
                match self.backends.conns.get_mut(&id) {
                    Some(backend) if matches!(backend.work, ConnectionUse::CoolingDown) => {
                        (backend.work, backend.until) = (ConnectionUse::Idle, f64::INFINITY);
                        self.backends.pool.put(backend.server, id, now);
                    }
                    // A dispatch has a time limit only while it connects, so that nothing of it was written.
                    _ => self.broke(net, id, false),
                }
            }
        }
        for id in self.backends.pool.expired(now) {
            self.close_backend(net, id);
        }
    }

    /// Closes idle connections to a backend server that has moved or was started again.
    pub(super) fn drop_idle(&mut self, net: &mut Sockets, server: EndpointId) {
        while let Some(id) = self.backends.pool.take(server, f64::NEG_INFINITY) {
            self.close_backend(net, id);
        }
    }
}

/// Whether an answer says that the job was turned away, and never ran.
fn declines(message: &Message) -> bool {
    matches!(message.status, 503 | 504) && message.header("srv-declined") == Some("1")
}
