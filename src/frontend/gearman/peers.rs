//! Peers: what is remembered of each connection, how it proves who it is, and the packets from and to it.

use std::collections::VecDeque;
use std::net::IpAddr;

use super::GearmanFrontend;
use super::clients::MAX_AWAITED_ANSWERS;
use super::identity::{Identity, Role};
use super::packets::{Incoming, answer, kind, take};
use super::workers::{Worker, is_worker_kind};
use crate::frontend::Sockets;
use crate::net::{Conn, ConnId, MAX_BUFFERED_BYTES};
use crate::routing::JobId;

/// How long a peer may take to end its side once this side has ended, in milliseconds.
const LINGER_TIMEOUT_MS: f64 = 1000.0;
/// Packets read from a connection before others have their turn, so that one peer cannot hold up the rest.
const MAX_PACKETS_PER_TURN: usize = 64;
/// Bytes of answers that wait for a client to read them, above which its submissions are left unread.
const HIGH_WATER_BYTES: usize = 32 * 1024;
/// Bytes of answers that wait beside the connections' buffers, for all peers together. A client waits for
/// `MAX_AWAITED_ANSWERS` answers at most, of `MAX_BUFFERED_BYTES` bytes each, and few are so slow at once.
const MAX_OUTBOX_BYTES: usize = 64 << 20;
/// How long a peer may take to prove who it is and to send a complete packet, in milliseconds.
pub(super) const READ_TIMEOUT_MS: f64 = 5000.0;

/// A connection, of a client, a worker, or both.
pub(super) struct Peer {
    pub role: Role,
    /// The name that it has given itself; empty without one.
    pub client_id: Vec<u8>,
    /// Its address, for the list of workers.
    pub address: Option<IpAddr>,
    /// It wants `WORK_EXCEPTION` packets.
    pub wants_exceptions: bool,
    /// Jobs whose answers it waits for, once for each submission.
    pub awaited_jobs: Vec<JobId>,
    pub worker: Option<Worker>,
    /// Packets that its connection's buffer has no room for yet.
    pub outbox: VecDeque<Vec<u8>>,
    /// It has proved who it is, where the operator asks for that.
    pub is_identified: bool,
    /// When the packet that it has begun, or its first one, must have come, in milliseconds of the clock.
    pub read_deadline: Option<f64>,
    /// When its connection, which was ended on this side, is closed, in milliseconds of the clock.
    pub close_deadline: Option<f64>,
}

impl Peer {
    /// A peer that has just connected and sends its first packet by `read_deadline`.
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

    /// Moves packets from the outbox to the connection's buffer while there is room. Returns their bytes.
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

    /// Whether its packets are left unread until it has taken some of its answers.
    ///
    /// Guards against a cut for a client that reads more slowly than answers come. A worker is always read, since the results
    /// that it sends make room.
    fn is_behind(&self, conn: &Conn) -> bool {
        let unread = conn.tx.len() + self.outbox.iter().map(Vec::len).sum::<usize>();
        self.worker.is_none() && (unread > HIGH_WATER_BYTES || self.awaited_jobs.len() >= MAX_AWAITED_ANSWERS)
    }

    /// Looks up what the peer may do by its certificate.
    pub fn identify(&mut self, conn: &Conn, identity: Option<&Identity>) -> Identification {
        let Some(chain) = conn.peer_certificates() else {
            return if conn.eof { Identification::Rejected } else { Identification::Pending };
        };
        // Guards against a peer that holds a valid certificate and no allowed identity: it is rejected before a packet of
        // it is read.
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

/// How far a peer has proved who it is.
pub(super) enum Identification {
    /// Its role is known.
    Done,
    /// Its certificate has not come yet.
    Pending,
    /// It has ended its side before, or its certificate gives it no role.
    Rejected,
}

impl GearmanFrontend {
    /// Writes what waits for a peer, and handles the packets that have come from it.
    pub(super) fn serve(&mut self, net: &mut Sockets, id: ConnId) {
        let mut turns = 0;
        loop {
            // Guards against one peer that sends without end and keeps all others waiting.
            turns += 1;
            if turns > MAX_PACKETS_PER_TURN {
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
            if peer.is_behind(conn) {
                peer.read_deadline = None;
                return;
            }
            let ended = conn.eof;
            let (read, begun) = (take(&mut conn.rx), !conn.rx.is_empty());
            // Guards against peers that connect and send nothing, or half a packet, and take others' places.
            match &read {
                Ok(None) if begun && peer.read_deadline.is_none() => {
                    peer.read_deadline = Some(self.core.clock().now() + READ_TIMEOUT_MS);
                }
                Ok(None) => {}
                _ => peer.read_deadline = None,
            }
            match read {
                Ok(None) if ended => return self.on_peer_left(net, id),
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

    /// Ends a connection once all that is queued for it is written, and closes it once its peer has ended its side.
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

    /// Handles a packet.
    fn on_packet(&mut self, net: &mut Sockets, id: ConnId, number: u32, body: &[u8]) {
        let read = match number {
            kind::ECHO_REQ => {
                self.send(net, id, answer(kind::ECHO_RES, &[body]));
                true
            }
            kind::OPTION_REQ if body == b"exceptions" => {
                if let Some(peer) = self.peers.get_mut(&id) {
                    peer.wants_exceptions = true;
                }
                self.send(net, id, answer(kind::OPTION_RES, &[body]));
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
            _ if is_worker_kind(number) => self.worker_packet(net, id, number, body),
            _ => self.client_packet(net, id, number, body),
        };
        if !read {
            self.send_error(net, id, "bad_arguments", "the packet does not read");
        }
    }

    /// Queues a packet for a peer. Only where all outboxes are full, or the packet could never fit, is its connection ended.
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
        self.send(net, id, answer(kind::ERROR, &[code.as_bytes(), text.as_bytes()]));
    }

    /// Forgets a peer, whose connection is closed.
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
