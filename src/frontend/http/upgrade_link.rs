//! The seam at an upgrade, on sockets: links to the processes beside this one, and the call-backs passed over them.
//!
//! A link is a connection to the address that all share. The kernel deals it to one of them: who answers `GET /up`
//! names itself, and a link that came back to this process is opened anew. The older process keeps its end of a link
//! until it ends, though it has stopped listening by then.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::HttpFrontend;
use crate::core::ListedEndpoint;
use crate::frontend::{Sockets, handover};
use crate::lifecycle::callback_forwarding::{CallbackForwarder, ForwardingAction, PendingCallback};
use crate::lifecycle::warm_state::{MAX_WARM_STATE_BYTES, StoredEndpoint, WarmStateFile};
use crate::net::ConnId;
use crate::net::http::{self, Message};
use crate::routing::{Endpoint, EndpointId, EndpointStatus};

/// Header in which a process names itself, and in which a call that is passed on names who has been asked.
pub(super) const PROCESS: &str = "Lb-Process";
pub(super) const ASKED: &str = "lb-asked";
/// Header by which the process that replaces another asks for its memory.
pub(super) const MEMORY: &str = "lb-memory";
/// How long a process may take to answer on a link, in milliseconds.
const PATIENCE: f64 = 1000.0;
/// Least time between two looks at the note, in milliseconds.
const LOOK: f64 = 100.0;
/// Most processes that a call names.
const NAMED: usize = 4;

/// A connection that was opened to reach a process.
struct UpgradeLink {
    conn: ConnId,
    pid: u32,
    up: bool,
    /// It has been told that it is a link.
    greeted: bool,
    /// By when it is to say more.
    until: f64,
    /// Calls that were written and are not answered.
    out: usize,
}

/// The links.
pub(super) struct UpgradeLinks {
    seam: CallbackForwarder,
    address: SocketAddr,
    note: PathBuf,
    links: Vec<UpgradeLink>,
    look: f64,
    /// PendingCallback-backs that another process has taken.
    passed: u64,
    /// The process that this one replaces, until its memory has been read.
    before: Option<u32>,
}

impl UpgradeLinks {
    pub fn new(address: SocketAddr, note: PathBuf) -> UpgradeLinks {
        UpgradeLinks {
            seam: CallbackForwarder::new(std::process::id()),
            address,
            note,
            links: Vec::new(),
            look: 0.0,
            passed: 0,
            before: None,
        }
    }

    pub fn owns(&self, conn: ConnId) -> bool {
        self.links.iter().any(|l| l.conn == conn)
    }

    pub fn next_deadline(&self) -> f64 {
        self.links.iter().filter(|l| !l.up || l.out > 0).map(|l| l.until).fold(f64::INFINITY, f64::min)
    }
}

impl HttpFrontend {
    /// Sets the seam up at the address that was listened at, beside a process that was there before.
    pub fn join(&mut self, net: &mut Sockets, address: SocketAddr, note: PathBuf, before: Option<u32>) {
        let mut links = UpgradeLinks::new(address, note);
        let first = before.and_then(|pid| links.seam.meet(pid));
        links.before = before;
        self.links = Some(links);
        self.follow(net, first.into_iter().collect());
    }

    /// Whether the seam is settled, so that the process beside may stop listening.
    pub fn joined(&self) -> bool {
        let open =
            |l: &UpgradeLinks, pid| !l.seam.settled() || l.links.iter().any(|k| k.pid == pid && !k.greeted);
        self.links.as_ref().is_none_or(|l| l.before.is_none_or(|pid| !open(l, pid)))
    }

    /// PendingCallback-backs that reached this process and were taken by another.
    pub fn passed_on(&self) -> u64 {
        self.links.as_ref().map_or(0, |links| links.passed)
    }

    /// A process beside this one has opened a link: it is known from now on, whatever its note says.
    pub(super) fn met(&mut self, net: &mut Sockets, pid: &str) {
        let pid = pid.trim().parse().ok().filter(|&pid| handover::lives(pid));
        let step = pid.and_then(|pid| self.links.as_mut()?.seam.meet(pid));
        self.follow(net, step.into_iter().collect());
    }

    /// A call-back whose job this process does not know. False where nobody is beside that may know it.
    pub(super) fn pass_on(
        &mut self,
        net: &mut Sockets,
        from: ConnId,
        body: &[u8],
        asked: Option<&str>,
    ) -> bool {
        let now = self.core.clock().now();
        let Some(links) = &mut self.links else { return false };
        let mut steps = Vec::new();
        if now >= links.look {
            links.look = now + LOOK;
            let gone: Vec<u32> = links.seam.peers().filter(|&pid| !handover::lives(pid)).collect();
            steps.extend(gone.into_iter().flat_map(|pid| links.seam.lost(pid, false)));
            steps
                .extend(handover::beside(&links.note, links.seam.own()).and_then(|pid| links.seam.meet(pid)));
        }
        if links.seam.peers().next().is_none() {
            self.follow(net, steps);
            return false;
        }
        let asked = asked.unwrap_or("").split(',').filter_map(|pid| pid.trim().parse().ok()).take(NAMED);
        let call = PendingCallback { from, body: body.to_vec(), asked: asked.collect() };
        if let Some(client) = self.clients.client(from) {
            client.waits = true;
        }
        steps.extend(links.seam.pass(call));
        self.follow(net, steps);
        true
    }

    /// Does what the seam says.
    fn follow(&mut self, net: &mut Sockets, steps: Vec<ForwardingAction>) {
        for step in steps {
            match step {
                ForwardingAction::Open(pid) => self.open_link(net, pid),
                ForwardingAction::Pass(pid, body, asked) => {
                    let now = self.core.clock().now();
                    let Some(links) = &mut self.links else { return };
                    let Some(link) = links.links.iter_mut().find(|l| l.pid == pid && l.up) else { continue };
                    let asked: Vec<String> = asked.iter().map(u32::to_string).collect();
                    let headers = [("Host", links.address.to_string()), (ASKED, asked.join(","))];
                    let bytes = http::ask("POST", "/v1/job-events", &headers, Some(&body));
                    if link.out == 0 || link.until == f64::INFINITY {
                        link.until = now + PATIENCE;
                    }
                    link.out += 1;
                    // A full buffer ends the link: the calls are repeated by their senders.
                    if !net.write(link.conn, &bytes) {
                        link.until = now;
                    }
                }
                ForwardingAction::Taken(from) => {
                    if let Some(links) = &mut self.links {
                        links.passed += 1;
                    }
                    self.acknowledge(net, from, 204);
                }
                ForwardingAction::Unknown(from) => {
                    let passed = self.clients.client(from).is_some_and(|client| client.link);
                    self.acknowledge(net, from, if passed { 410 } else { 204 });
                }
                ForwardingAction::Later(from) => self.acknowledge(net, from, 503),
            }
        }
    }

    /// Answers a call-back that waited.
    fn acknowledge(&mut self, net: &mut Sockets, from: ConnId, status: u16) {
        let Some(client) = self.clients.client(from).filter(|client| client.waits) else { return };
        client.waits = false;
        self.reply(net, from, status, &[], b"", false);
        self.clients.answered.push(from);
    }

    fn open_link(&mut self, net: &mut Sockets, pid: u32) {
        let now = self.core.clock().now();
        let Some(links) = &mut self.links else { return };
        let Ok(conn) = net.open(links.address) else {
            let steps = links.seam.lost(pid, handover::lives(pid));
            return self.follow(net, steps);
        };
        links.links.push(UpgradeLink { conn, pid, up: false, greeted: false, until: now + PATIENCE, out: 0 });
        let host = [("Host", links.address.to_string())];
        net.write(conn, &http::ask("GET", "/up", &host, None));
    }

    /// Something came over a link, or it broke.
    pub(super) fn link_ready(&mut self, net: &mut Sockets, id: ConnId) {
        loop {
            let Some(conn) = net.conn(id) else { return };
            conn.pump();
            let ended = conn.eof || conn.broken;
            match http::response(&mut conn.rx, ended) {
                Ok(Some(message)) => self.link_says(net, id, &message),
                Ok(None) if !ended => return,
                _ => return self.drop_link(net, id),
            }
        }
    }

    fn link_says(&mut self, net: &mut Sockets, id: ConnId, message: &Message) {
        let now = self.core.clock().now();
        let Some(links) = &mut self.links else { return };
        let Some(link) = links.links.iter_mut().find(|l| l.conn == id) else { return };
        let pid = link.pid;
        let steps = if link.up && !std::mem::replace(&mut link.greeted, true) {
            (link.out, link.until) = (link.out.saturating_sub(1), now + PATIENCE);
            if links.before.take_if(|before| *before == pid).is_some() {
                self.remember(pid);
            }
            Vec::new()
        } else if link.up {
            (link.out, link.until) = (link.out.saturating_sub(1), now + PATIENCE);
            let taken = match message.status {
                200 | 204 => Some(true),
                410 => Some(false),
                _ => None,
            };
            links.seam.word(pid, taken).into_iter().collect()
        } else {
            let reached = message.header(PROCESS).and_then(|text| text.parse().ok()).unwrap_or(0);
            link.up = reached == pid;
            if !link.up {
                links.links.retain(|l| l.conn != id);
                net.close(id);
            } else {
                // The other side learns that this connection is a link, before it closes idle ones.
                let wants = if links.before == Some(pid) { "wanted" } else { "" };
                let headers = [
                    ("Host", links.address.to_string()),
                    (ASKED, links.seam.own().to_string()),
                    (MEMORY, wants.to_string()),
                ];
                link.out += 1;
                net.write(id, &http::ask("GET", "/v1/seam", &headers, None));
                link.until = now + PATIENCE;
            }
            links.seam.reached(pid, reached)
        };
        self.follow(net, steps);
    }

    /// Names by which what was learned is counted.
    fn names(&self) -> Vec<String> {
        let site = self.core.site();
        let grades = site.client_classes.iter().map(|g| &g.name);
        grades.chain(&site.kinds).chain(&site.zones).cloned().collect()
    }

    /// Leaves what this process knows for the one that replaces it.
    pub(super) fn leave_memory(&self) {
        let Some(links) = &self.links else { return };
        let listed = |s: &&ListedEndpoint| {
            let ListedEndpoint { name, address, endpoint: member } = (*s).clone();
            let Endpoint { kind, zone, cell, size, started_at: born, status: state, .. } = member;
            let draining = state != EndpointStatus::Ready;
            StoredEndpoint { name, address, kind, zone, cell, size, born, draining }
        };
        let memory = WarmStateFile {
            pid: links.seam.own(),
            at: self.core.clock().now(),
            names: self.names(),
            lines: self.core.endpoints().listed().iter().map(listed).collect(),
            learned: self.core.warm_state(),
        };
        if let Err(e) = handover::leave_memory(&links.note, memory.pid, &memory.encode()) {
            crate::say(format_args!("the next process starts cold: {e}"));
        }
    }

    /// Takes over what the process before has left. What is not there or not believed costs one line.
    fn remember(&mut self, pid: u32) {
        let Some(links) = &self.links else { return };
        let read = handover::take_memory(&links.note, MAX_WARM_STATE_BYTES).map_err(|e| e.to_string());
        let now = self.core.clock().now();
        let memory = read.and_then(|bytes| {
            WarmStateFile::decode(&bytes, pid, &self.names(), now).map_err(|e| e.to_string())
        });
        let recalled = memory.map(|memory| {
            let line = |l: StoredEndpoint| {
                let state = if l.draining { EndpointStatus::Draining } else { EndpointStatus::Ready };
                let StoredEndpoint { name, address, kind, zone, cell, size, born, .. } = l;
                let member =
                    Endpoint { id: EndpointId(0), kind, zone, cell, size, started_at: born, status: state };
                ListedEndpoint { name, address, endpoint: member }
            };
            self.core.restore_warm_state(memory.lines.into_iter().map(line).collect(), memory.learned)
        });
        match recalled {
            Ok(true) => {}
            Ok(false) => crate::say("a cold start: what the process before has learned cannot be true here"),
            Err(e) => crate::say(format_args!("a cold start, without what the process before knows: {e}")),
        }
    }

    fn drop_link(&mut self, net: &mut Sockets, id: ConnId) {
        net.close(id);
        let Some(links) = &mut self.links else { return };
        let Some(at) = links.links.iter().position(|l| l.conn == id) else { return };
        let link = links.links.remove(at);
        let steps = links.seam.lost(link.pid, handover::lives(link.pid));
        self.follow(net, steps);
    }

    /// Gives up links whose processes are silent.
    pub(super) fn sweep_links(&mut self, net: &mut Sockets, now: f64) {
        let Some(links) = &self.links else { return };
        let late = links.links.iter().filter(|l| (!l.up || l.out > 0) && l.until <= now).map(|l| l.conn);
        for id in late.collect::<Vec<_>>() {
            let Some(links) = &mut self.links else { return };
            match links.links.iter_mut().find(|l| l.conn == id) {
                Some(link) if link.greeted => {
                    link.until = f64::INFINITY;
                    let steps = links.seam.silent(link.pid);
                    self.follow(net, steps);
                }
                _ => self.drop_link(net, id),
            }
        }
    }
}
