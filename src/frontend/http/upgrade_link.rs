//! Links between the processes of an upgrade, on sockets. A process forwards callbacks over them that reached
//! it but belong to another process, and the new process asks the old one for its state (see
//! `state_handover`). `crate::lifecycle::callback_forwarding` decides which process is asked.
//!
//! A link is a connection to the address that all processes listen at, so the kernel chooses which process
//! accepts it. The response to `GET /up` names the process that was reached; a link that reached the wrong
//! process is opened again. The older process keeps its end of a link until it exits, although it has stopped
//! listening by then.

mod connection;
mod list_source;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::HttpFrontend;
use crate::frontend::{Sockets, handover};
use crate::lifecycle::callback_forwarding::{
    CallbackForwarder, ForwardingAction, PeerResponse, PendingCallback,
};
use crate::net::ConnId;
use crate::net::http::{self, Message};

use connection::{LinkRequest, LinkState, RESPONSE_TIMEOUT_MS, UpgradeLink};
use list_source::ListSource;

/// Header in which a process states its process ID.
pub(super) const PROCESS_HEADER: &str = "Lb-Process";
/// Header that lists the processes already asked about a forwarded callback.
pub(super) const ASKED_HEADER: &str = "lb-asked";
/// Header by which the new process asks its predecessor for the warm state.
pub(super) const WARM_STATE_HEADER: &str = "lb-memory";
/// Value of `WARM_STATE_HEADER` that asks for the whole warm state.
pub(super) const WANTS_WARM_STATE: &str = "wanted";
/// Value of `WARM_STATE_HEADER` that asks for the endpoint list again.
pub(super) const WANTS_LIST: &str = "list";
/// Minimum time between two reads of the handover note, in milliseconds.
const NOTE_INTERVAL_MS: f64 = 100.0;
/// Maximum number of process IDs read from `ASKED_HEADER`.
const MAX_ASKED_PROCESSES: usize = 4;

/// All upgrade links of this process.
pub(super) struct UpgradeLinks {
    forwarder: CallbackForwarder,
    /// The address that all processes listen at.
    address: SocketAddr,
    /// Path of the handover note for that address.
    note: PathBuf,
    links: Vec<UpgradeLink>,
    next_note_ms: f64,
    /// Number of callbacks that another process accepted.
    forwarded: u64,
    /// The process that this one replaces, until its warm state has been read.
    predecessor: Option<u32>,
    /// The process that this one replaces, while this one still needs its endpoint list.
    list_source: Option<ListSource>,
}

impl UpgradeLinks {
    fn new(address: SocketAddr, note: PathBuf, predecessor: Option<u32>) -> UpgradeLinks {
        UpgradeLinks {
            forwarder: CallbackForwarder::new(std::process::id()),
            address,
            note,
            links: Vec::new(),
            next_note_ms: 0.0,
            forwarded: 0,
            predecessor,
            list_source: None,
        }
    }

    pub fn own_pid(&self) -> u32 {
        self.forwarder.own_pid()
    }

    /// Returns the path of the handover note, next to which the state files are stored.
    pub fn note(&self) -> &Path {
        &self.note
    }

    /// Whether another process of this dispatcher is running.
    pub fn has_peer(&self) -> bool {
        self.forwarder.peers().next().is_some()
    }

    pub fn owns(&self, conn: ConnId) -> bool {
        self.links.iter().any(|link| link.conn == conn)
    }

    /// Returns when the links need attention next, in milliseconds.
    pub fn next_deadline(&self) -> f64 {
        let awaiting = self.links.iter().filter(|link| link.awaits_response());
        let list_ms = self.list_source.map_or(f64::INFINITY, |source| source.ask_at_ms);
        awaiting.map(|link| link.deadline_ms).fold(list_ms, f64::min)
    }

    fn host_header(&self) -> (&'static str, String) {
        ("Host", self.address.to_string())
    }

    /// Whether the link to a process is not ready yet.
    fn is_opening(&self, pid: u32) -> bool {
        let is_unknown = |link: &UpgradeLink| link.pid == pid && link.state != LinkState::Up;
        !self.forwarder.is_settled() || self.links.iter().any(is_unknown)
    }
}

impl HttpFrontend {
    /// Enables the links at the listening address, and opens one to the predecessor, if there is one.
    pub fn start_upgrade_links(
        &mut self,
        net: &mut Sockets,
        address: SocketAddr,
        note: PathBuf,
        predecessor: Option<u32>,
    ) {
        let mut links = UpgradeLinks::new(address, note, predecessor);
        let first = predecessor.and_then(|pid| links.forwarder.on_peer_seen(pid));
        self.links = Some(links);
        self.carry_out_forwarding(net, first);
    }

    /// Whether the link to the predecessor is ready, so that the predecessor may stop listening. True if
    /// there is no predecessor.
    pub fn has_reached_predecessor(&self) -> bool {
        let is_opening = |links: &UpgradeLinks| links.predecessor.is_some_and(|pid| links.is_opening(pid));
        !self.links.as_ref().is_some_and(is_opening)
    }

    /// Returns the number of callbacks that reached this process and were accepted by another.
    pub fn forwarded_callbacks(&self) -> u64 {
        self.links.as_ref().map_or(0, |links| links.forwarded)
    }

    /// Handles a link that another process opened: the process is known from now on, whatever the handover
    /// note says.
    pub(super) fn on_link_opened_by(&mut self, net: &mut Sockets, pid: &str) {
        let pid = pid.trim().parse().ok().filter(|&pid| handover::is_alive(pid));
        let action = pid.and_then(|pid| self.links.as_mut()?.forwarder.on_peer_seen(pid));
        self.carry_out_forwarding(net, action);
    }

    /// Forwards a callback whose job this process does not know. Returns false if no other process is running
    /// that may know it.
    pub(super) fn forward_callback(
        &mut self,
        net: &mut Sockets,
        from: ConnId,
        body: &[u8],
        asked: Option<&str>,
    ) -> bool {
        let now_ms = self.core.clock().now();
        let Some(links) = &mut self.links else { return false };
        let mut actions = Vec::new();
        if now_ms >= links.next_note_ms {
            links.next_note_ms = now_ms + NOTE_INTERVAL_MS;
            actions = links.find_peers();
        }
        if links.forwarder.peers().next().is_none() {
            self.carry_out_forwarding(net, actions);
            return false;
        }
        let asked = asked.unwrap_or("").split(',').filter_map(|pid| pid.trim().parse().ok());
        let asked = asked.take(MAX_ASKED_PROCESSES).collect();
        if let Some(client) = self.clients.get_mut(from) {
            client.is_waiting = true;
        }
        actions.extend(links.forwarder.forward(PendingCallback { from, body: body.to_vec(), asked }));
        self.carry_out_forwarding(net, actions);
        true
    }

    /// Carries out the forwarder's actions.
    fn carry_out_forwarding(
        &mut self,
        net: &mut Sockets,
        actions: impl IntoIterator<Item = ForwardingAction>,
    ) {
        for action in actions {
            match action {
                ForwardingAction::OpenLink(pid) => self.open_link(net, pid),
                ForwardingAction::Forward(pid, body, asked) => {
                    let now_ms = self.core.clock().now();
                    let Some(links) = &mut self.links else { return };
                    links.write_callback(net, now_ms, pid, &body, &asked);
                }
                ForwardingAction::ReplyAccepted(from) => {
                    if let Some(links) = &mut self.links {
                        links.forwarded += 1;
                    }
                    self.respond_to_callback(net, from, 204);
                }
                ForwardingAction::ReplyUnknown(from) => {
                    let was_forwarded =
                        self.clients.get_mut(from).is_some_and(|client| client.is_upgrade_link);
                    self.respond_to_callback(net, from, if was_forwarded { 410 } else { 204 });
                }
                ForwardingAction::ReplyRetry(from) => self.respond_to_callback(net, from, 503),
            }
        }
    }

    /// Responds to a callback that waited for another process.
    fn respond_to_callback(&mut self, net: &mut Sockets, from: ConnId, status: u16) {
        let Some(client) = self.clients.get_mut(from).filter(|client| client.is_waiting) else { return };
        client.is_waiting = false;
        self.respond(net, from, status, &[], b"", false);
        self.clients.answered.push(from);
    }

    fn open_link(&mut self, net: &mut Sockets, pid: u32) {
        let now_ms = self.core.clock().now();
        let Some(links) = &mut self.links else { return };
        let Ok(conn) = net.open(links.address) else {
            let actions = links.forwarder.on_link_lost(pid, handover::is_alive(pid));
            return self.carry_out_forwarding(net, actions);
        };
        let (state, deadline_ms) = (LinkState::Reaching, now_ms + RESPONSE_TIMEOUT_MS);
        let open_requests = VecDeque::new();
        links.links.push(UpgradeLink { conn, pid, state, deadline_ms, open_requests });
        net.write(conn, &http::write_request("GET", "/up", &[links.host_header()], None));
    }

    /// Handles a link that received data or failed.
    pub(super) fn on_link_ready(&mut self, net: &mut Sockets, id: ConnId) {
        loop {
            let Some(conn) = net.conn(id) else { return };
            conn.pump();
            let has_ended = conn.eof || conn.broken;
            match http::read_response(&mut conn.rx, has_ended) {
                Ok(Some(message)) => self.on_link_response(net, id, &message),
                Ok(None) if !has_ended => return,
                _ => return self.drop_link(net, id),
            }
        }
    }

    fn on_link_response(&mut self, net: &mut Sockets, id: ConnId, message: &Message) {
        let now_ms = self.core.clock().now();
        let Some(links) = &mut self.links else { return };
        let Some(link) = links.links.iter_mut().find(|link| link.conn == id) else { return };
        let pid = link.pid;
        if link.state == LinkState::Reaching {
            return self.on_link_reached(net, id, pid, message);
        }
        link.deadline_ms = now_ms + RESPONSE_TIMEOUT_MS;
        link.state = LinkState::Up;
        match link.open_requests.pop_front() {
            None => {}
            Some(LinkRequest::Introduction { sent_at_ms })
                if links.predecessor.take_if(|predecessor| *predecessor == pid).is_some() =>
            {
                self.restore_warm_state(pid, sent_at_ms);
                self.schedule_list_request(pid);
            }
            Some(LinkRequest::Introduction { .. }) => {}
            Some(LinkRequest::List { sent_at_ms }) => {
                self.restore_list(pid, sent_at_ms);
                self.schedule_list_request(pid);
            }
            Some(LinkRequest::Callback) => {
                let response = match message.status {
                    200 | 204 => PeerResponse::Accepted,
                    410 => PeerResponse::Unknown,
                    _ => PeerResponse::Retry,
                };
                let action = links.forwarder.on_response(pid, response);
                self.carry_out_forwarding(net, action);
            }
        }
    }

    /// Handles the first response on a link, in which the process that was reached names itself.
    fn on_link_reached(&mut self, net: &mut Sockets, id: ConnId, pid: u32, message: &Message) {
        let now_ms = self.core.clock().now();
        let Some(links) = &mut self.links else { return };
        let reached = message.header(PROCESS_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0);
        if reached == pid {
            links.introduce(net, now_ms, id, pid);
        } else {
            links.links.retain(|link| link.conn != id);
            net.close(id);
        }
        let actions = links.forwarder.on_link_reached(pid, reached);
        self.carry_out_forwarding(net, actions);
    }

    fn drop_link(&mut self, net: &mut Sockets, id: ConnId) {
        net.close(id);
        let Some(links) = &mut self.links else { return };
        let Some(at) = links.links.iter().position(|link| link.conn == id) else { return };
        let pid = links.links.remove(at).pid;
        // The process may have exited, and saved its list for the last time.
        if let Some(source) = links.list_source.take_if(|source| source.pid == pid)
            && !self.core.has_read_list()
        {
            self.restore_list(pid, source.answered_at_ms);
            self.remove_saved_state(pid);
        }
        let Some(links) = &mut self.links else { return };
        let actions = links.forwarder.on_link_lost(pid, handover::is_alive(pid));
        self.carry_out_forwarding(net, actions);
    }

    /// Handles links whose processes have not responded in time.
    pub(super) fn sweep_links(&mut self, net: &mut Sockets, now_ms: f64) {
        self.sweep_list_source(net, now_ms);
        let Some(links) = &self.links else { return };
        let is_late = |link: &&UpgradeLink| link.awaits_response() && link.deadline_ms <= now_ms;
        for id in links.links.iter().filter(is_late).map(|link| link.conn).collect::<Vec<_>>() {
            let Some(links) = &mut self.links else { return };
            match links.links.iter_mut().find(|link| link.conn == id) {
                Some(link) if link.state == LinkState::Up => {
                    link.deadline_ms = f64::INFINITY;
                    let actions = links.forwarder.on_peer_silent(link.pid);
                    self.carry_out_forwarding(net, actions);
                }
                _ => self.drop_link(net, id),
            }
        }
    }
}

impl UpgradeLinks {
    /// Updates the set of known processes: removes those that have exited, and adds the one that the handover
    /// note names.
    fn find_peers(&mut self) -> Vec<ForwardingAction> {
        let gone: Vec<u32> = self.forwarder.peers().filter(|&pid| !handover::is_alive(pid)).collect();
        let lost = gone.into_iter().flat_map(|pid| self.forwarder.on_link_lost(pid, false));
        let mut actions: Vec<ForwardingAction> = lost.collect();
        let named = handover::live_peer(&self.note, self.forwarder.own_pid());
        actions.extend(named.and_then(|pid| self.forwarder.on_peer_seen(pid)));
        actions
    }

    /// Forwards a callback to a process whose link is established.
    fn write_callback(&mut self, net: &mut Sockets, now_ms: f64, pid: u32, body: &[u8], asked: &[u32]) {
        let asked: Vec<String> = asked.iter().map(u32::to_string).collect();
        let headers = [self.host_header(), (ASKED_HEADER, asked.join(","))];
        let is_up = |link: &&mut UpgradeLink| link.pid == pid && link.state != LinkState::Reaching;
        let Some(link) = self.links.iter_mut().find(is_up) else { return };
        let bytes = http::write_request("POST", "/v1/job-events", &headers, Some(body));
        link.write(net, now_ms, LinkRequest::Callback, &bytes);
    }

    /// Announces to a process that a connection is a link, so that the process does not close it as idle.
    fn introduce(&mut self, net: &mut Sockets, now_ms: f64, id: ConnId, pid: u32) {
        let wants_warm_state = if self.predecessor == Some(pid) { WANTS_WARM_STATE } else { "" };
        let headers = [
            self.host_header(),
            (ASKED_HEADER, self.forwarder.own_pid().to_string()),
            (WARM_STATE_HEADER, wants_warm_state.to_string()),
        ];
        let Some(link) = self.links.iter_mut().find(|link| link.conn == id) else { return };
        link.state = LinkState::Introducing;
        let bytes = http::write_request("GET", "/v1/seam", &headers, None);
        link.write(net, now_ms, LinkRequest::Introduction { sent_at_ms: now_ms }, &bytes);
    }
}
