//! Backend servers: dispatches on connections of their own or out of the pool, and what becomes of them.

use std::net::SocketAddr;
use std::rc::Rc;

use rustc_hash::FxHashMap;

use super::Platform;
use crate::api::{Outcome, Report, WorkerId};
use crate::core::SessionId;
use crate::front::Sockets;
use crate::net::http::{self, Message};
use crate::net::{ConnId, Pool};

/// How long a probe may take, in milliseconds.
pub(super) const PATIENCE: f64 = 500.0;
/// How long an answer that nobody needs is waited for, so that its connection can be used again.
const SPARE: f64 = 2000.0;

/// A dispatch: its session and its number.
pub(super) type FlightId = (SessionId, usize);

/// What a connection is used for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Work {
    Idle,
    Dispatch(FlightId),
    /// Since when it was wanted, and since when its connection has been up.
    Probe {
        asked: f64,
        up: f64,
    },
    /// An answer that nobody needs.
    Spent,
}

struct Backend {
    server: WorkerId,
    work: Work,
    until: f64,
    /// It has stood idle in the pool.
    kept: bool,
    /// It has been seen to come up.
    up: bool,
}

/// A dispatch that has not ended: its connection until the job was taken, none after.
pub(super) struct Flight {
    pub server: WorkerId,
    pub conn: Option<ConnId>,
    pub id: Rc<str>,
}

/// All connections to backend servers.
pub(super) struct Backends {
    conns: FxHashMap<ConnId, Backend>,
    pool: Pool<WorkerId>,
    pub flights: FxHashMap<FlightId, Flight>,
    most: usize,
}

impl Backends {
    pub fn new(conn_idle: f64, most: usize) -> Backends {
        let flights = FxHashMap::default();
        Backends { conns: FxHashMap::default(), pool: Pool::new(conn_idle), flights, most }
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

    pub fn next(&self) -> f64 {
        self.conns.values().map(|b| b.until).fold(f64::INFINITY, f64::min)
    }
}

impl Platform {
    pub(super) fn host(&self, server: WorkerId) -> String {
        self.core.table().get(server).map(|s| s.line.address.clone()).unwrap_or_default()
    }

    /// A connection to a backend server: an idle one that is whole, or a new one. None proves that nothing
    /// was sent.
    pub(super) fn acquire(&mut self, net: &mut Sockets, server: WorkerId, work: Work) -> Option<ConnId> {
        let now = self.core.clock().now();
        while let Some(id) = self.backends.pool.take(server, now) {
            // Guards against a connection that the peer has closed: a request written there would be lost.
            if net.conn(id).is_some_and(|conn| conn.is_fresh()) {
                self.backends
                    .conns
                    .insert(id, Backend { server, work, until: f64::INFINITY, kept: true, up: true });
                return Some(id);
            }
            self.close_backend(net, id);
        }
        self.open_backend(net, server, work)
    }

    /// A new connection to a backend server.
    pub(super) fn open_backend(&mut self, net: &mut Sockets, server: WorkerId, work: Work) -> Option<ConnId> {
        let now = self.core.clock().now();
        if self.backends.conns.len() >= self.backends.most {
            let idle = self.backends.pool.oldest()?;
            self.close_backend(net, idle);
        }
        let address: SocketAddr = self.core.table().get(server)?.line.address.parse().ok()?;
        let id = net.open(address).ok()?;
        let until = now + self.core.site().connect_timeout;
        self.backends.conns.insert(id, Backend { server, work, until, kept: false, up: false });
        Some(id)
    }

    pub(super) fn send(&mut self, net: &mut Sockets, session: SessionId, attempt: usize, server: WorkerId) {
        let flight = (session, attempt);
        let due = self.core.session(session).map(|s| s.request.due);
        let (Some(due), true) = (due, self.jobs.contains_key(&session)) else { return };
        let Some(conn) = self.acquire(net, server, Work::Dispatch(flight)) else {
            return self.unserved(flight, Outcome::Unreachable, Report::default());
        };
        let (left, host) = (due - self.core.clock().now(), self.host(server));
        let job = &self.jobs[&session];
        let mut headers = vec![
            ("Host", host),
            ("Req-Id", job.id.to_string()),
            ("Req-Deadline", format!("{}u", (left * 1e3).max(0.0) as u64)),
        ];
        headers.extend(job.headers.iter().map(|(name, value)| (name.as_str(), value.clone())));
        let bytes = http::ask("POST", &job.target, &headers, Some(&job.body));
        let id = Rc::clone(&job.id);
        self.backends.flights.insert(flight, Flight { server, conn: Some(conn), id });
        net.write(conn, &bytes);
        self.backend_ready(net, conn);
    }

    /// Calls a dispatch off: before the job was taken by closing the connection, after that by a DELETE.
    pub(super) fn cancel(&mut self, net: &mut Sockets, session: SessionId, attempt: usize) {
        let Some(flight) = self.backends.flights.remove(&(session, attempt)) else { return };
        if let Some(conn) = flight.conn {
            return self.close_backend(net, conn);
        }
        let now = self.core.clock().now();
        let Some(conn) = self.acquire(net, flight.server, Work::Spent) else { return };
        if net.conn(conn).is_some_and(|c| !c.connecting) {
            self.backends.until(conn, now + SPARE);
        }
        let host = [("Host", self.host(flight.server))];
        net.write(conn, &http::ask("DELETE", &format!("/jobs/{}", flight.id), &host, None));
        self.backend_ready(net, conn);
    }

    /// Takes a dispatch that has ended off its connection, which still awaits an answer.
    pub(super) fn detach(&mut self, flight: FlightId) {
        let now = self.core.clock().now();
        let conn = self.backends.flights.remove(&flight).and_then(|f| f.conn);
        if let Some(backend) = conn.and_then(|conn| self.backends.conns.get_mut(&conn)) {
            (backend.work, backend.until) = (Work::Spent, now + SPARE);
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
        conn.pump();
        // Guards against a connection that came up within the write of its request, as on loopback: seen up only
        // by the state of the socket, it kept its time limit to connect, and a server that took longer than that
        // to say 202 had its job held never to have run.
        if !backend.up && !conn.connecting && !conn.broken {
            backend.up = true;
            match &mut backend.work {
                Work::Dispatch(_) => backend.until = f64::INFINITY,
                Work::Spent => backend.until = now + SPARE,
                Work::Probe { up, .. } => *up = now,
                Work::Idle => {}
            }
        }
        let ended = conn.eof || conn.broken;
        // What came before a break counts; a whole answer is an answer.
        let message = http::response(&mut conn.rx, ended);
        let stray = !conn.rx.is_empty();
        let written = !conn.connecting && conn.tx.is_empty();
        let (server, work) = (backend.server, backend.work);
        if let (Work::Dispatch((session, attempt)), true) = (work, written) {
            // An attempt counts once its last byte has gone to the socket.
            self.core.written_whole(session, attempt);
        }
        match message {
            Ok(Some(message)) if !matches!(work, Work::Idle) => {
                let reusable = !(ended || stray || message.close) && written;
                backend.work = Work::Idle;
                backend.until = f64::INFINITY;
                if reusable {
                    self.backends.pool.put(server, id, now);
                } else {
                    self.close_backend(net, id);
                }
                self.answered(server, work, &message);
            }
            Ok(None) if !ended => {}
            // An end, bytes that nobody asked for, or an answer that does not read.
            _ => self.broke(net, id, written),
        }
    }

    fn answered(&mut self, server: WorkerId, work: Work, message: &Message) {
        match work {
            Work::Probe { up, .. } => self.probed(server, up, message),
            Work::Dispatch(flight) => {
                let declined = message.header("srv-declined") == Some("1");
                let report = message.header("srv-load").map_or(Report::default(), |t| self.load_text(t));
                match message.status {
                    202 => {
                        if let Some(flight) = self.backends.flights.get_mut(&flight) {
                            flight.conn = None;
                        }
                    }
                    503 | 504 if declined => self.unserved(flight, Outcome::Full, report),
                    // What is wrong with the request is not its server's failure; to come too late, too early or
                    // too often is nothing wrong with it.
                    400..500 if !matches!(message.status, 408 | 425 | 429) => {
                        self.unserved(flight, Outcome::Unfit, report)
                    }
                    _ => self.unserved(flight, Outcome::Error, report),
                }
            }
            Work::Spent | Work::Idle => {}
        }
    }

    /// A connection broke. By what was written: a dispatch whose last byte was not never ran.
    fn broke(&mut self, net: &mut Sockets, id: ConnId, written: bool) {
        let Some(backend) = self.backends.conns.get(&id) else { return };
        let (server, work, kept) = (backend.server, backend.work, backend.kept);
        self.close_backend(net, id);
        match work {
            Work::Dispatch(flight) => {
                let outcome = if written { Outcome::Reset } else { Outcome::Unreachable };
                self.unserved(flight, outcome, Report::default());
            }
            // Guards against a healthy server that is held to have failed: a connection that broke after it stood
            // idle tells nothing of its server, and a probe does no harm twice.
            Work::Probe { asked, .. } if kept && self.core.clock().now() < asked + PATIENCE => {
                self.drop_idle(net, server);
                self.probe_anew(net, server, asked);
            }
            Work::Probe { asked, .. } => {
                let latency = self.core.clock().now() - asked;
                self.core.probed(server, false, latency, Report::default());
            }
            Work::Idle | Work::Spent => {}
        }
    }

    /// Gives up what has taken too long: to connect, to answer a probe, or to stand idle.
    pub(super) fn expire_backends(&mut self, net: &mut Sockets) {
        let now = self.core.clock().now();
        if self.backends.next() <= now {
            let over = self.backends.conns.iter().filter(|(_, b)| b.until <= now).map(|(&id, _)| id);
            for id in over.collect::<Vec<_>>() {
                // A dispatch has a time limit only while it connects, so that nothing of it was written.
                self.broke(net, id, false);
            }
        }
        for id in self.backends.pool.expired(now) {
            self.close_backend(net, id);
        }
    }

    /// Closes idle connections to a backend server that has moved or was started again.
    pub(super) fn drop_idle(&mut self, net: &mut Sockets, server: WorkerId) {
        while let Some(id) = self.backends.pool.take(server, f64::NEG_INFINITY) {
            self.close_backend(net, id);
        }
    }
}
