//! Peers: the state of each connection, its authentication, and reading and writing its packets.

use std::collections::VecDeque;
use std::net::IpAddr;

use super::GearmanFrontend;
use super::clients::MAX_AWAITED_ANSWERS;
use super::identity::{Identity, Role};
use super::packets::{Incoming, kind, read_next, reply};
use super::workers::{Worker, is_worker_kind};
use crate::frontend::Sockets;
use crate::net::{Conn, ConnId, MAX_BUFFERED_BYTES};
use crate::routing::JobId;

/// How long a peer may take to close its side after this side was shut down, in milliseconds.
const LINGER_TIMEOUT_MS: f64 = 1000.0;
/// Packets read from a connection before other connections have their turn, so that one peer cannot starve
/// the others.
const MAX_PACKETS_PER_TURN: usize = 64;
/// Bytes queued for a client above which its submissions are not read.
const HIGH_WATER_BYTES: usize = 32 * 1024;
/// Bound on the bytes in the outboxes of all peers together. A client waits for at most `MAX_AWAITED_ANSWERS`
/// answers of `MAX_BUFFERED_BYTES` bytes each, and few clients are that slow at the same time.
const MAX_OUTBOX_BYTES: usize = 64 << 20;
/// Time limit for a peer to authenticate and to send a complete packet, in milliseconds.
pub(super) const READ_TIMEOUT_MS: f64 = 5000.0;

/// The state of a connection, of a client, a worker, or both.
pub(super) struct Peer {
    pub role: Role,
    /// The id that the peer set with `SET_CLIENT_ID`, or empty.
    pub client_id: Vec<u8>,
    /// IP address of the peer, for the admin command `workers`.
    pub address: Option<IpAddr>,
    /// Whether the client gets `WORK_EXCEPTION` packets.
    pub wants_exceptions: bool,
    /// Jobs whose final answers the client waits for, once per submission.
    pub awaited_jobs: Vec<JobId>,
    pub worker: Option<Worker>,
    /// Packets that do not fit into the connection's write buffer yet.
    pub outbox: VecDeque<Vec<u8>>,
    /// Whether the peer is authenticated, or does not need to be.
    pub is_identified: bool,
    /// Deadline for the first packet or for the rest of an incomplete one, in milliseconds of the clock.
    pub read_deadline: Option<f64>,
    /// When the connection, whose write side is shut down, is closed, in milliseconds of the clock.
    pub close_deadline: Option<f64>,
}

impl Peer {
    /// Returns the state of a new connection, which must send its first packet by `read_deadline`.
    pub fn new(address: Option<IpAddr>, is_identified: bool, read_deadline: f64) -> Peer {
        Peer {
            role: Role::default(),
            client_id: Vec::new(),
            address,
            wants_exceptions: false,
            awaited_jobs: Vec::new(),
            worker: None,
            outbox: VecDeque::new(),
            is_identified,
            read_deadline: Some(read_deadline),
            close_deadline: None,
        }
    }

    /// Moves packets from the outbox to the connection's write buffer while they fit. Returns the number of
    /// bytes moved.
    pub fn write_outbox(&mut self, conn: &mut Conn) -> usize {
        let mut moved = 0;
        while let Some(packet) = self.outbox.front().filter(|packet| packet.len() <= conn.tx.free_space()) {
            conn.tx.push(packet);
            moved += packet.len();
            self.outbox.pop_front();
            conn.pump();
        }
        moved
    }

    /// Whether the peer's packets are not read until it has received some of its answers.
    ///
    /// Without this backpressure, a client that reads more slowly than answers arrive would fill the outboxes
    /// and be disconnected. Workers are always read, because their results complete jobs.
    fn is_backpressured(&self, conn: &Conn) -> bool {
        let queued = conn.tx.len() + self.outbox.iter().map(Vec::len).sum::<usize>();
        self.worker.is_none() && (queued > HIGH_WATER_BYTES || self.awaited_jobs.len() >= MAX_AWAITED_ANSWERS)
    }

    /// Authenticates the peer by its certificate, and sets its role.
    pub fn identify(&mut self, conn: &Conn, identity: Option<&Identity>) -> Identification {
        let Some(chain) = conn.peer_certificates() else {
            return if conn.eof { Identification::Rejected } else { Identification::Pending };
        };
        // A peer with a valid certificate whose identity is not allowed is rejected before any of its packets
        // is read.
        match identity.map(|identity| identity.role(&chain)) {
            Some(Ok(role)) => {
                (self.role, self.is_identified) = (role, true);
                Identification::Done
            }
            Some(Err(error)) => {
                crate::say(format_args!("a peer was refused: {error}"));
                Identification::Rejected
            }
            None => Identification::Rejected,
        }
    }
}

/// The result of authenticating a peer.
pub(super) enum Identification {
    /// The peer is authenticated and has its role.
    Done,
    /// The certificate has not been received yet.
    Pending,
    /// The peer closed its side before it sent a certificate, or its certificate names no role.
    Rejected,
}

impl GearmanFrontend {
    /// Writes the packets queued for a peer, and handles those received from it.
    pub(super) fn serve(&mut self, net: &mut Sockets, id: ConnId) {
        let mut packets = 0;
        loop {
            // A peer that sends without end must not starve the others.
            packets += 1;
            if packets > MAX_PACKETS_PER_TURN {
                return self.to_serve_next_tick.push(id);
            }
            let (Some(conn), Some(peer)) = (net.conn(id), self.peers.get_mut(&id)) else { return };
            conn.pump();
            self.outbox_bytes -= peer.write_outbox(conn);
            if conn.closing {
                return self.close_when_written(net, id);
            }
            if conn.broken {
                return self.on_peer_left(net, id);
            }
            if !peer.is_identified {
                match peer.identify(conn, self.identity.as_ref()) {
                    Identification::Done => {}
                    Identification::Pending => return,
                    Identification::Rejected => return self.on_peer_left(net, id),
                }
            }
            if peer.is_backpressured(conn) {
                peer.read_deadline = None;
                return;
            }
            let is_eof = conn.eof;
            let (read, has_partial) = (read_next(&mut conn.rx), !conn.rx.is_empty());
            // Peers that send nothing or only a part of a packet must not occupy connections that others
            // need.
            match &read {
                Ok(None) if has_partial && peer.read_deadline.is_none() => {
                    peer.read_deadline = Some(self.core.clock().now() + READ_TIMEOUT_MS);
                }
                Ok(None) => {}
                _ => peer.read_deadline = None,
            }
            match read {
                Ok(None) if is_eof => return self.on_peer_left(net, id),
                Ok(None) => return,
                Ok(Some(Incoming::Line(line))) => self.on_admin_line(net, id, &line),
                Ok(Some(Incoming::Packet { kind, body })) => self.on_packet(net, id, kind, &body),
                Err(code) => {
                    self.send_error(net, id, code, "the connection ends");
                    if let Some(conn) = net.conn(id) {
                        conn.closing = true;
                    }
                }
            }
        }
    }

    /// Shuts down the write side of a connection once all queued packets are written, and closes the
    /// connection once the peer has closed its side.
    fn close_when_written(&mut self, net: &mut Sockets, id: ConnId) {
        let (Some(conn), Some(peer)) = (net.conn(id), self.peers.get_mut(&id)) else { return };
        conn.rx.consume(conn.rx.len());
        if conn.eof || conn.broken {
            self.on_peer_left(net, id);
        } else if conn.is_written() && peer.close_deadline.is_none() {
            peer.close_deadline = Some(self.core.clock().now() + LINGER_TIMEOUT_MS);
            conn.shut_down_write();
        }
    }

    /// Handles a packet, and replies with an error if its arguments are not valid.
    fn on_packet(&mut self, net: &mut Sockets, id: ConnId, packet_kind: u32, body: &[u8]) {
        let is_valid = match packet_kind {
            kind::ECHO_REQ => {
                self.send(net, id, reply(kind::ECHO_RES, &[body]));
                true
            }
            kind::OPTION_REQ if body == b"exceptions" => {
                if let Some(peer) = self.peers.get_mut(&id) {
                    peer.wants_exceptions = true;
                }
                self.send(net, id, reply(kind::OPTION_RES, &[body]));
                true
            }
            kind::OPTION_REQ => {
                self.send_error(net, id, "unknown_option", "only exceptions is known");
                true
            }
            kind::SET_CLIENT_ID => {
                if let Some(peer) = self.peers.get_mut(&id) {
                    peer.client_id = body.iter().copied().filter(u8::is_ascii_graphic).take(64).collect();
                }
                true
            }
            _ if is_worker_kind(packet_kind) => self.on_worker_packet(net, id, packet_kind, body),
            _ => self.on_client_packet(net, id, packet_kind, body),
        };
        if !is_valid {
            self.send_error(net, id, "bad_arguments", "the packet does not read");
        }
    }

    /// Queues a packet for a peer. The connection is closed only if the outboxes are full or the packet can
    /// never fit into the write buffer.
    pub(super) fn send(&mut self, net: &mut Sockets, id: ConnId, bytes: Vec<u8>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.outbox.is_empty() && net.write(id, &bytes) {
            return;
        }
        let Some(conn) = net.conn(id) else { return };
        if bytes.len() > MAX_BUFFERED_BYTES || self.outbox_bytes + bytes.len() > MAX_OUTBOX_BYTES {
            conn.broken = true;
            return self.to_serve.push_back(id);
        }
        self.outbox_bytes += bytes.len();
        peer.outbox.push_back(bytes);
    }

    pub(super) fn send_error(&mut self, net: &mut Sockets, id: ConnId, code: &str, text: &str) {
        self.send(net, id, reply(kind::ERROR, &[code.as_bytes(), text.as_bytes()]));
    }

    /// Closes a peer's connection and removes the peer.
    pub(super) fn on_peer_left(&mut self, net: &mut Sockets, id: ConnId) {
        net.close(id);
        let Some(peer) = self.peers.remove(&id) else { return };
        self.outbox_bytes -= peer.outbox.iter().map(Vec::len).sum::<usize>();
        if let Some(worker) = peer.worker {
            self.on_worker_left(worker);
        }
        for job_id in peer.awaited_jobs {
            self.remove_listener(job_id, id);
        }
    }
}
