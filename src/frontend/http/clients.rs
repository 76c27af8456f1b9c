//! Clients: their connections, their requests, and the answers. Call-backs come to the same address.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use super::callbacks::Called;
use super::headers::{PATIENCE, slots, span, work};
use super::policy_gate::RouteDecision;
use super::{ClientJob, HttpFrontend, upgrade_link};
use crate::core::{FinalAnswer, JobRequest};
use crate::frontend::Sockets;
use crate::net::http::{self, Bad, Message};
use crate::net::{Budget, ConnId, head};
use crate::routing::JobId;

/// How long a client may be silent while it owes the rest of a request, or its first byte, in milliseconds.
const SENDS: f64 = 2500.0;
/// How long a client may take to send a whole request from its first byte, however steadily, in milliseconds.
const WHOLE: f64 = 20_000.0;
/// Time between two looks at what clients take too long for, in milliseconds.
const LOOK: f64 = 100.0;
/// How long the end of a connection waits for the peer to end its side, in milliseconds.
const LINGER: f64 = 1000.0;
/// Bytes of a refused request that are read at once, lest they keep its client from its answer.
const DRAINED: usize = 16 << 20;
/// Requests read from a connection before others have their turn.
const TURNS: usize = 64;
/// How long a connection without a request is left alone while the program stops, in milliseconds.
const YOUNG: f64 = 250.0;
/// Headers that are said anew to a backend server, or answered here. All others but those of one hop pass on: what a
/// client and a server agree on, such as a key that drops repeats, is theirs.
const OWN: [&str; 4] = ["host", "expect", "req-id", "req-deadline"];

/// One connection that was accepted.
pub(super) struct Client {
    session: Option<JobId>,
    /// Since when it has had nothing to do.
    idle: f64,
    /// It has brought call-backs, which go on to come while the program stops.
    calls_back: bool,
    /// It is a process of this dispatcher, which passes call-backs on.
    pub link: bool,
    /// Its call-back waits for the word of another process.
    pub waits: bool,
    /// Its last answer is written; it ends by then.
    ends: Option<f64>,
    /// A whole request is to come by then, if one is due.
    sends: Option<f64>,
    /// Since when a request has been coming, and how many of its bytes were there at the last look.
    coming: Option<(f64, usize)>,
    /// A request of it was taken, or a call-back of it read.
    usual: bool,
    /// Bytes held for it: of a request that is not whole, or of its session.
    held: usize,
}

/// All of them.
pub(super) struct Clients {
    pub listener: usize,
    pub budget: Budget,
    /// Bytes held for all of them.
    held: usize,
    conns: FxHashMap<ConnId, Client>,
    /// When to look next whether a client takes too long.
    look: f64,
    /// Connections that were answered and not looked at since.
    pub answered: Vec<ConnId>,
    /// Connections that had their turns and may hold more.
    pub later: Vec<ConnId>,
}

impl Clients {
    pub fn new(listener: usize, budget: Budget) -> Clients {
        let conns = FxHashMap::default();
        let (answered, later) = (Vec::new(), Vec::new());
        Clients { listener, budget, held: 0, conns, look: f64::INFINITY, answered, later }
    }

    pub fn owns(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    /// One of them.
    pub fn client(&mut self, conn: ConnId) -> Option<&mut Client> {
        self.conns.get_mut(&conn)
    }

    /// When to look again.
    pub fn next_deadline(&self) -> f64 {
        if !self.later.is_empty() {
            return 0.0;
        }
        self.look
    }

    /// Whether every connection has ended.
    pub fn all_ended(&self) -> bool {
        self.conns.is_empty()
    }

    /// Notes what is held for one, and tells whether it fits. Guards against memory that many half-sent bodies
    /// take together, each within its bound. What is small always fits, call-backs above all.
    fn hold(&mut self, id: ConnId, bytes: usize) -> bool {
        if let Some(client) = self.conns.get_mut(&id) {
            self.held = self.held - client.held + bytes;
            client.held = bytes;
        }
        self.held <= self.budget.bytes || bytes <= self.budget.bytes / self.budget.clients
    }

    /// The connection that has had nothing to do for longest. Guards against usual clients who lose their places
    /// to many that connect and send nothing, or nothing that is taken: those go first.
    fn idlest(&self) -> Option<ConnId> {
        let idle = self.conns.iter().filter(|(_, c)| c.session.is_none());
        let order = |a: &Client, b: &Client| a.usual.cmp(&b.usual).then(a.idle.total_cmp(&b.idle));
        idle.min_by(|a, b| order(a.1, b.1)).map(|(&id, _)| id)
    }
}

impl HttpFrontend {
    /// Accepts what waits. At the limit the connection that has been idle longest makes room: the backlog
    /// counts as taken, so that nothing may be left in it.
    pub fn accept(&mut self, net: &mut Sockets) {
        for _ in 0..64 {
            while self.clients.conns.len() >= self.clients.budget.clients {
                let Some(idle) = self.clients.idlest() else { return };
                // A request that has come by now is taken or denied first.
                self.client_ready(net, idle);
                if self.clients.conns.get(&idle).is_some_and(|c| c.session.is_none()) {
                    self.drop_client(net, idle);
                }
            }
            let Some(id) = net.accept(self.clients.listener) else { return };
            let idle = self.core.clock().now();
            let sends = Some(idle + SENDS);
            let client = Client {
                session: None,
                idle,
                calls_back: false,
                link: false,
                waits: false,
                ends: None,
                sends,
                coming: None,
                usual: false,
                held: 0,
            };
            self.clients.conns.insert(id, client);
            self.clients.look = self.clients.look.min(idle + LOOK);
        }
    }

    /// Accepts all that waits, however many.
    pub(super) fn accept_all(&mut self, net: &mut Sockets) {
        loop {
            let before = self.clients.conns.len();
            self.accept(net);
            if self.clients.conns.len() == before {
                return;
            }
        }
    }

    pub(super) fn client_ready(&mut self, net: &mut Sockets, id: ConnId) {
        let (mut drained, mut turns) = (0, 0);
        loop {
            let Some(conn) = net.conn(id) else { return };
            conn.pump();
            let (gone, closing, written) = (conn.eof || conn.broken, conn.closing, conn.tx.is_empty());
            if closing {
                let unread = conn.rx.len();
                conn.rx.consume(unread);
                self.clients.hold(id, 0);
                drained += unread;
                // Guards against a client that is still sending what was refused: unread, it would never be
                // told of it; read without a bound, it would keep the loop.
                if gone || drained > DRAINED {
                    return self.drop_client(net, id);
                }
                if written {
                    self.linger(net, id);
                }
                if unread == 0 {
                    return;
                }
                continue;
            }
            if gone {
                return self.drop_client(net, id);
            }
            let (unread, full) = (conn.rx.len(), conn.rx.room() == 0);
            match self.clients.conns.get(&id) {
                Some(client) if client.session.is_none() && !client.waits => {}
                Some(client) => {
                    let held = client.held.max(unread);
                    self.clients.hold(id, held);
                    if !full {
                        return;
                    }
                    // Guards against an end that is not seen behind more than can be held: a client that sends so much
                    // before it has its answer is read to its end, and its connection is not used again.
                    if let Some(conn) = net.conn(id) {
                        conn.rx.consume(unread);
                        conn.last = true;
                    }
                    turns += 1;
                    if turns > TURNS {
                        return self.clients.later.push(id);
                    }
                    continue;
                }
                None => return,
            }
            // Guards against one client that sends without end and keeps all others waiting.
            turns += 1;
            if turns > TURNS {
                return self.clients.later.push(id);
            }
            let (read, part) = (http::request(&mut conn.rx), conn.rx.len());
            if let Some(client) = self.clients.conns.get_mut(&id) {
                let now = self.core.clock().now();
                match (&read, client.coming) {
                    // Guards against cutting off a client that writes slowly or in pieces but goes on: only
                    // silence, or a request that takes far too long, ends it.
                    (Ok(None), Some((since, seen))) if part > seen => {
                        client.sends = Some((now + SENDS).min(since + WHOLE));
                        client.coming = Some((since, part));
                    }
                    (Ok(None), None) if part > 0 => {
                        client.sends = Some(now + SENDS);
                        client.coming = Some((now, part));
                    }
                    (Ok(None), _) => {}
                    _ => (client.sends, client.coming) = (None, None),
                }
                self.clients.look = self.clients.look.min(now + LOOK);
            }
            let unread = net.conn(id).map_or(0, |conn| conn.rx.len());
            let whole = read.as_ref().map_or(0, |m| m.as_ref().map_or(0, |m| m.body.len()));
            if !self.clients.hold(id, unread + whole) {
                self.reply(net, id, 503, &[], b"", true);
                continue;
            }
            match read {
                Ok(None) => return,
                Ok(Some(message)) => self.request(net, id, message),
                Err(bad) => {
                    let status = match bad {
                        Bad::Malformed => 400,
                        Bad::TooLarge => 413,
                        Bad::Unsupported => 501,
                    };
                    self.reply(net, id, status, &[], b"", true);
                }
            }
        }
    }

    /// Ends a connection gently: a close with bytes unread would take the answer back.
    fn linger(&mut self, net: &mut Sockets, id: ConnId) {
        let now = self.core.clock().now();
        let Some(client) = self.clients.conns.get_mut(&id).filter(|c| c.ends.is_none()) else { return };
        client.ends = Some(now + LINGER);
        self.clients.look = self.clients.look.min(now + LOOK);
        if let Some(conn) = net.conn(id) {
            conn.end_writing();
        }
    }

    fn drop_client(&mut self, net: &mut Sockets, id: ConnId) {
        net.close(id);
        self.clients.hold(id, 0);
        let Some(client) = self.clients.conns.remove(&id) else { return };
        if let Some(session) = client.session {
            self.forget(session);
            self.core.on_client_left(session);
        }
    }

    /// Whether a session's client has gone, by a look at its connection before anything is sent for it. Guards against an
    /// attempt that begins as its client's end waits to be read in the same turn of the loop.
    pub(super) fn has_left(&mut self, net: &mut Sockets, session: JobId) -> bool {
        let Some(client) = self.jobs.get(&session).map(|job| job.client) else { return true };
        let Some(conn) = net.conn(client) else { return true };
        conn.pump();
        let gone = conn.eof || conn.broken;
        if gone {
            self.drop_client(net, client);
        }
        gone
    }

    /// Ends connections whose peers do not end them, or do not send a whole request in good time.
    pub(super) fn sweep_clients(&mut self, net: &mut Sockets, now: f64) {
        if self.clients.look > now {
            return;
        }
        let due = |at: Option<f64>| at.is_some_and(|at| at <= now);
        let over = self.clients.conns.iter().filter(|(_, c)| due(c.ends) || due(c.sends));
        let over: Vec<(ConnId, bool)> = over.map(|(&id, c)| (id, !due(c.ends))).collect();
        for (id, late) in over {
            if late && net.conn(id).is_some_and(|conn| !conn.closing && !conn.rx.is_empty()) {
                self.reply(net, id, 408, &[], b"", true);
                self.client_ready(net, id);
            } else {
                self.drop_client(net, id);
            }
        }
        let waits = self.clients.conns.values().any(|c| c.ends.is_some() || c.sends.is_some());
        self.clients.look = if waits { now + LOOK } else { f64::INFINITY };
    }

    /// Closes what clients hold without a request, so that they go elsewhere. Guards against closing a new
    /// connection before its first call-back has been read: what is young may yet bring one.
    pub(super) fn close_idle(&mut self, net: &mut Sockets) {
        let young = self.core.clock().now() - YOUNG;
        let idle = |c: &Client| idle_now(c) && !c.calls_back && c.idle <= young;
        let idle = self.clients.conns.iter().filter(|(_, c)| idle(c)).map(|(&id, _)| id);
        for id in idle.collect::<Vec<_>>() {
            // What has come by now is read first, and denied.
            self.client_ready(net, id);
            let done = net.conn(id).is_none_or(|conn| conn.tx.is_empty() && conn.rx.is_empty());
            if done && self.clients.conns.get(&id).is_some_and(idle_now) {
                self.close_gently(net, id);
            }
        }
    }

    /// The last turn of a stop, with no session open: what waits in the backlog is accepted, since it counts as taken,
    /// and what has come is denied; then every connection is ended gently. Guards against an exit that resets them.
    pub(super) fn close_all(&mut self, net: &mut Sockets) {
        self.core.reject_new_jobs();
        self.accept_all(net);
        net.unlisten(self.clients.listener);
        for id in self.clients.conns.keys().copied().collect::<Vec<_>>() {
            self.client_ready(net, id);
            if self.clients.conns.get(&id).is_some_and(idle_now) {
                self.close_gently(net, id);
            }
        }
    }

    /// Ends a connection between requests: this side at once, the whole of it once the peer has ended its own. Guards
    /// against bytes that cross the closing: left unread they would reset the connection, and an answer under way with it.
    /// What is read from now on is not answered nor sent on, so that its client sends it elsewhere.
    fn close_gently(&mut self, net: &mut Sockets, id: ConnId) {
        self.closing(net, id);
        self.client_ready(net, id);
    }

    /// From now on nothing is taken on a connection, which ends once all is written.
    fn closing(&mut self, net: &mut Sockets, id: ConnId) {
        if let Some(conn) = net.conn(id) {
            conn.closing = true;
        }
        // Its peer is to take its answer in good time as well.
        let now = self.core.clock().now();
        if let Some(client) = self.clients.conns.get_mut(&id) {
            client.sends = Some(now + SENDS);
        }
        self.clients.look = self.clients.look.min(now + LOOK);
    }

    fn request(&mut self, net: &mut Sockets, id: ConnId, message: Message) {
        let path = message.target.split('?').next().unwrap_or("").to_string();
        let close = message.close;
        match (message.method.as_str(), path.as_str()) {
            ("GET", "/up") => {
                let (status, says) = if self.sends_away() || !self.gate_open() {
                    (503, "evacuating\n")
                } else {
                    (200, "ready\n")
                };
                let process = [(upgrade_link::PROCESS, std::process::id().to_string())];
                self.reply(net, id, status, &process, says.as_bytes(), close);
            }
            ("GET", "/v1/seam") => {
                if let Some(client) = self.clients.conns.get_mut(&id) {
                    (client.calls_back, client.link, client.usual) = (true, true, true);
                }
                if message.header(upgrade_link::MEMORY) == Some("wanted") {
                    self.leave_memory();
                }
                self.reply(net, id, 204, &[], b"", close);
                if let Some(pid) = message.header(upgrade_link::ASKED) {
                    self.met(net, pid);
                }
            }
            ("GET", "/counters") => {
                let text = self.core.counters().to_string();
                self.reply(net, id, 200, &[], text.as_bytes(), close);
            }
            ("POST", "/v1/job-events") => {
                if let Some(client) = self.clients.conns.get_mut(&id) {
                    (client.calls_back, client.usual) = (true, true);
                }
                let asked = message.header(upgrade_link::ASKED);
                let status = match self.call_back(&message.body) {
                    Called::Malformed => 400,
                    Called::Taken => 204,
                    Called::Unknown if self.pass_on(net, id, &message.body, asked) => return,
                    Called::Unknown if asked.is_some() => 410,
                    // Nobody knows it: its sender would only try again.
                    Called::Unknown => 204,
                };
                self.reply(net, id, status, &[], b"", close);
            }
            ("POST", _) => self.job(net, id, message),
            _ => self.reply(net, id, 405, &[("Allow", "POST".into())], b"", close),
        }
    }

    /// A request has come; it goes on at once where nothing holds it.
    fn job(&mut self, net: &mut Sockets, id: ConnId, message: Message) {
        if let Some(message) = self.admits(net, id, message) {
            let now = self.core.clock().now();
            self.submit(net, id, message, now);
        }
    }

    /// Hands a request to the core that came at a time.
    pub(super) fn submit(&mut self, net: &mut Sockets, id: ConnId, message: Message, now: f64) {
        let close = message.close;
        let path = message.target.split('?').next().unwrap_or("");
        let name = path.split('/').nth(1).unwrap_or("");
        let Some(class) =
            self.core.site().client_classes.iter().position(|g| g.name == name && !name.is_empty())
        else {
            return self.reply(net, id, 404, &[], b"unknown class\n", close);
        };
        let wait = match message.header("req-deadline") {
            Some(text) => span(text),
            None => Some(self.core.site().client_classes[class].max_wait_ms),
        };
        let req_id = message.header("req-id").filter(|id| is_id(id) && !self.ids.contains_key(*id));
        let (Some(wait), Some(req_id)) = (wait, req_id) else {
            return self.reply(net, id, 400, &[], b"Req-Id or Req-Deadline does not read\n", close);
        };
        let slots = message.header("req-extra").and_then(slots).unwrap_or(1.0);
        let work = message.header("req-cost").and_then(work);
        let req_id: Rc<str> = req_id.into();
        let RouteDecision::To(pool) = self.way(class, &message) else {
            return self.turn_away(net, id, close);
        };
        let due = now + wait.min(PATIENCE);
        match self.core.submit(JobRequest { class, deadline_ms: due, slots, work_ms: work, partition: pool })
        {
            Err(verdict) => self.say(net, id, verdict, close),
            Ok(session) => {
                let own = |name: &str| OWN.iter().any(|own| name.eq_ignore_ascii_case(own));
                let headers =
                    head::onward(&message.headers).filter(|(name, _)| !own(name)).cloned().collect();
                let (target, body) = (message.target, message.body);
                self.ids.insert(Rc::clone(&req_id), session);
                self.jobs.insert(session, ClientJob { client: id, id: req_id, target, headers, body });
                if let (Some(conn), true) = (net.conn(id), close) {
                    conn.last = true;
                }
                if let Some(client) = self.clients.conns.get_mut(&id) {
                    (client.session, client.usual) = (Some(session), true);
                }
            }
        }
    }

    fn forget(&mut self, session: JobId) -> Option<ClientJob> {
        let job = self.jobs.remove(&session)?;
        self.ids.remove(&job.id);
        if !self.core.site().allows_copies {
            self.backends.forget(session);
        }
        Some(job)
    }

    /// Gives a session its final answer.
    pub(super) fn answer(&mut self, net: &mut Sockets, session: JobId, verdict: FinalAnswer) {
        let Some(job) = self.forget(session) else { return };
        let now = self.core.clock().now();
        if let Some(client) = self.clients.conns.get_mut(&job.client) {
            (client.session, client.idle) = (None, now);
        }
        let close = net.conn(job.client).is_some_and(|conn| conn.last);
        self.say(net, job.client, verdict, close);
        self.clients.answered.push(job.client);
    }

    /// Denies a request that the core has not seen, with a time to come back.
    pub(super) fn turn_away(&mut self, net: &mut Sockets, id: ConnId, close: bool) {
        let retry_after = self.core.site().max_retry_after_ms;
        self.say(net, id, FinalAnswer::Rejected { retry_after_ms: retry_after }, close);
    }

    fn say(&mut self, net: &mut Sockets, id: ConnId, verdict: FinalAnswer, close: bool) {
        match verdict {
            FinalAnswer::Served(result) => self.reply(net, id, 200, &[], &result, close),
            FinalAnswer::Rejected { retry_after_ms: retry_after } if retry_after > 0.0 => {
                let advice = [("Retry-After", format!("{:.3}", retry_after / 1e3))];
                self.reply(net, id, 503, &advice, b"", close);
            }
            FinalAnswer::Rejected { .. } => self.reply(net, id, 503, &[], b"", close),
            FinalAnswer::Failed => self.reply(net, id, 500, &[], b"", close),
        }
    }

    pub(super) fn reply(
        &mut self,
        net: &mut Sockets,
        id: ConnId,
        status: u16,
        headers: &[(&str, String)],
        body: &[u8],
        close: bool,
    ) {
        // A client sent away is closed once answered; call-backs of backend servers go on.
        let client = self.clients.conns.get(&id);
        let away = self.evacuating && client.is_some_and(|c| !c.calls_back);
        // A link stays to the end: the process at its other end could not open another.
        let ends = self.closes() && client.is_none_or(|c| !c.link);
        let last = net.conn(id).is_some_and(|conn| conn.last);
        let close = close || last || away || ends || matches!(status, 400 | 413 | 501);
        if !net.write(id, &http::answer(status, headers, body, close)) {
            return self.drop_client(net, id);
        }
        if close {
            self.closing(net, id);
        }
    }
}

fn idle_now(client: &Client) -> bool {
    client.session.is_none() && !client.waits && client.ends.is_none()
}

/// Whether an id can stand in a path, as it must to call a dispatch off.
fn is_id(id: &str) -> bool {
    let fits = |b: u8| b.is_ascii_graphic() && !matches!(b, b'/' | b'?' | b'#' | b'%');
    (1..=128).contains(&id.len()) && id.bytes().all(fits)
}
