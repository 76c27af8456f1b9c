//! Gearman's front: clients and workers of the Gearman protocol on the same core, and so under the same rules.
//! It decides nothing. Each worker connection is a backend server; `docs/gearman.md` says how denials and
//! failures look.

mod admin;
mod clients;
mod config;
pub mod identity;
pub mod packets;
mod record;
mod workers;

use std::collections::VecDeque;
use std::net::IpAddr;

use rustc_hash::FxHashMap;
use thiserror::Error;

use super::Sockets;
use super::shutdown::Shutdown;
use crate::core::{Clock, Command, Core, IncompatibleSettings, ListScope};
use crate::net::{Conn, ConnId, MAX_BUFFERED_BYTES};
use crate::routing::{EndpointId, JobId};

pub use config::{Config, ConfigError, Function};
use identity::{Identity, IdentityError, Role};
use packets::{Incoming, answer, kind, take};
use record::{Key, Record};
use workers::Worker;

/// How long a peer whose connection is ended may take to end its side, in milliseconds.
const LINGER_TIMEOUT_MS: f64 = 1000.0;
/// Sessions for each connection that may be open.
const JOBS_PER_CONNECTION: usize = 16;
/// Packets read from a connection before others have their turn.
const MAX_PACKETS_PER_TURN: usize = 64;
/// Bytes of answers that wait for a client to read them, above which its submissions are left unread.
const HIGH_WATER_BYTES: usize = 32 * 1024;
/// Bytes of answers that wait beside the connections' buffers, for all peers together. A client waits for
/// `clients::MAX_AWAITED_ANSWERS` answers at most, of `MAX_BUFFERED_BYTES` bytes each; few are so slow at once.
const MAX_OUTBOX_BYTES: usize = 64 << 20;
/// How long a peer may take to prove who it is and to send a whole packet, in milliseconds.
const READ_TIMEOUT_MS: f64 = 5000.0;

/// A dispatch: its session and its number.
type FlightId = (JobId, usize);

/// Why a file that was read again is not taken over.
#[derive(Debug, Error)]
pub enum IncompatibleConfig {
    /// It has other functions or kinds of workers.
    #[error("other functions or kinds take a restart")]
    Functions,
    /// It begins or ends with identities.
    #[error("to begin or end with `identity` takes a restart")]
    Identity,
    /// Its settings take a restart.
    #[error(transparent)]
    Settings(#[from] IncompatibleSettings),
    /// Its identity files cannot be used.
    #[error(transparent)]
    IdentityFiles(#[from] IdentityError),
}

/// A connection, of a client, a worker, or both.
struct Peer {
    role: Role,
    id: Vec<u8>,
    address: Option<IpAddr>,
    exceptions: bool,
    /// Sessions whose answers it waits for.
    waits: Vec<JobId>,
    worker: Option<Worker>,
    /// Packets that its connection's buffer has no room for yet.
    outbox: VecDeque<Vec<u8>>,
    /// It has proved who it is, where that is asked for.
    known: bool,
    /// A whole packet is to come by then, if one is due: the first, or the rest of one that has begun.
    sends: Option<f64>,
    ends: Option<f64>,
}

impl Peer {
    /// Moves packets from the outbox to the connection's buffer while there is room. Returns their bytes.
    fn write_outbox(&mut self, conn: &mut Conn) -> usize {
        let mut moved = 0;
        while let Some(packet) = self.outbox.front().filter(|packet| packet.len() <= conn.tx.room()) {
            conn.tx.push(packet);
            moved += packet.len();
            self.outbox.pop_front();
            conn.pump();
        }
        moved
    }

    /// Looks up what the peer may do by its certificate.
    fn identify(&mut self, conn: &Conn, identity: Option<&Identity>) -> Identification {
        let Some(chain) = conn.peer_certificates() else {
            return if conn.eof { Identification::Rejected } else { Identification::Pending };
        };
        // Guards against a peer that holds a valid certificate and no allowed identity: it is rejected before a packet of
        // it is read.
        match identity.map(|identity| identity.role(&chain)) {
            Some(Ok(role)) => {
                (self.role, self.known) = (role, true);
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
enum Identification {
    /// Its role is known.
    Done,
    /// Its certificate has not come yet.
    Pending,
    /// It has ended its side before, or its certificate gives it no role.
    Rejected,
}

/// A session's job.
struct Job {
    function: usize,
    unique: Vec<u8>,
    key: Option<Key>,
    data: Vec<u8>,
    listeners: Vec<ConnId>,
    /// It was assigned to a worker at least once.
    assigned: bool,
    progress: (Vec<u8>, Vec<u8>),
}

impl Job {
    fn new(function: usize, unique: &[u8], key: Option<Key>, data: &[u8]) -> Job {
        Job {
            function,
            unique: unique.to_vec(),
            key,
            data: data.to_vec(),
            listeners: Vec::new(),
            assigned: false,
            progress: (vec![b'0'], vec![b'0']),
        }
    }
}

/// The front.
pub struct GearmanFrontend {
    core: Core,
    config: Config,
    listener: usize,
    peers: FxHashMap<ConnId, Peer>,
    servers: FxHashMap<EndpointId, ConnId>,
    jobs: FxHashMap<JobId, Job>,
    record: Record,
    identity: Option<Identity>,
    stopping: Option<Shutdown>,
    /// Bytes in the outboxes of all peers.
    outbox: usize,
    /// Connections to be looked at again.
    again: VecDeque<ConnId>,
    /// Connections that had their turns and may hold more.
    later: Vec<ConnId>,
}

impl GearmanFrontend {
    /// A front on a listener that is open.
    ///
    /// # Errors
    /// Where the identity files cannot be used.
    pub fn new(
        config: Config,
        seed: u64,
        clock: Clock,
        listener: usize,
    ) -> Result<GearmanFrontend, IdentityError> {
        let identity = config.identity.clone().map(Identity::load).transpose()?;
        let mut core = Core::new(config.site.clone(), seed, clock, config.peers * JOBS_PER_CONNECTION);
        core.on_list(Vec::new(), ListScope::Complete);
        Ok(GearmanFrontend {
            core,
            listener,
            peers: FxHashMap::default(),
            servers: FxHashMap::default(),
            jobs: FxHashMap::default(),
            record: Record::new(config.record.0, config.record.1),
            identity,
            config,
            stopping: None,
            outbox: 0,
            again: VecDeque::new(),
            later: Vec::new(),
        })
    }

    /// Checks whether a file that was read again can be taken over without a restart: open jobs name functions by their
    /// numbers. Returns the identity that goes with it, for `reload`.
    ///
    /// # Errors
    /// Where a change needs a restart, or the identity files cannot be used.
    pub fn check_compatible(&self, config: &Config) -> Result<Option<Identity>, IncompatibleConfig> {
        let names = |c: &Config| c.functions.iter().map(|f| (f.name.clone(), f.kind)).collect::<Vec<_>>();
        if names(config) != names(&self.config) || config.kinds != self.config.kinds {
            return Err(IncompatibleConfig::Functions);
        }
        if config.identity.is_some() != self.identity.is_some() {
            return Err(IncompatibleConfig::Identity);
        }
        self.core.check_compatible(&config.site)?;
        Ok(config.identity.clone().map(Identity::load).transpose()?)
    }

    /// Takes over a compatible file, and its identity.
    pub fn reload(&mut self, config: Config, identity: Option<Identity>) {
        self.core.reconfigure(config.site.clone(), config.peers * JOBS_PER_CONNECTION);
        self.record.reconfigure(config.record.0, config.record.1);
        (self.config, self.identity) = (config, identity);
    }

    /// Its core.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// Connections that it may hold.
    pub fn peers(&self) -> usize {
        self.config.peers
    }

    /// Accepts what waits; beyond the bound a connection is closed at once, so that nothing is taken from it.
    pub fn accept(&mut self, net: &mut Sockets) {
        for _ in 0..64 {
            let Some(id) = net.accept(self.listener) else { return };
            if self.peers.len() >= self.config.peers || self.closes() {
                net.close(id);
                continue;
            }
            let since = self.core.clock().now();
            let mut known = true;
            if let Some(identity) = &self.identity {
                known = false;
                let secured = identity.session().is_some_and(|tls| net.secure(id, tls));
                if !secured {
                    net.close(id);
                    continue;
                }
            }
            let peer = Peer {
                role: Role::default(),
                id: Vec::new(),
                address: net.conn(id).and_then(|c| c.peer_address()).map(|a| a.ip()),
                exceptions: false,
                waits: Vec::new(),
                worker: None,
                outbox: VecDeque::new(),
                known,
                sends: Some(since + READ_TIMEOUT_MS),
                ends: None,
            };
            self.peers.insert(id, peer);
        }
    }

    /// A connection can be read or written, or broke.
    pub fn on_ready(&mut self, net: &mut Sockets, conn: ConnId) {
        self.look(net, conn);
        self.carry_out(net);
    }

    fn look(&mut self, net: &mut Sockets, id: ConnId) {
        let mut turns = 0;
        loop {
            // Guards against one peer that sends without end and keeps all others waiting.
            turns += 1;
            if turns > MAX_PACKETS_PER_TURN {
                return self.later.push(id);
            }
            let (Some(conn), Some(peer)) = (net.conn(id), self.peers.get_mut(&id)) else { return };
            conn.pump();
            self.outbox -= peer.write_outbox(conn);
            if conn.closing {
                return self.close_when_written(net, id);
            }
            if conn.broken {
                return self.leave(net, id);
            }
            if !peer.known {
                match peer.identify(conn, self.identity.as_ref()) {
                    Identification::Done => {}
                    Identification::Pending => return,
                    Identification::Rejected => return self.leave(net, id),
                }
            }
            // Guards against a cut for a client that reads more slowly than answers come: what it submits is left
            // unread until it has taken some. A worker is read always, since what it says makes room.
            let unread = conn.tx.len() + peer.outbox.iter().map(Vec::len).sum::<usize>();
            if peer.worker.is_none()
                && (unread > HIGH_WATER_BYTES || peer.waits.len() >= clients::MAX_AWAITED_ANSWERS)
            {
                peer.sends = None;
                return;
            }
            let ended = conn.eof;
            let (read, begun) = (take(&mut conn.rx), !conn.rx.is_empty());
            // Guards against peers that connect and say nothing, or send half a packet, and take others' places.
            match &read {
                Ok(None) if begun && peer.sends.is_none() => {
                    peer.sends = Some(self.core.clock().now() + READ_TIMEOUT_MS);
                }
                Ok(None) => {}
                _ => peer.sends = None,
            }
            match read {
                Ok(None) if ended => return self.leave(net, id),
                Ok(None) => return,
                Ok(Some(Incoming::Line(line))) => self.admin(net, id, &line),
                Ok(Some(Incoming::Packet { kind, body })) => self.packet(net, id, kind, &body),
                Err(code) => {
                    self.error(net, id, code, "the connection ends");
                    if let Some(conn) = net.conn(id) {
                        conn.closing = true;
                    }
                }
            }
        }
    }

    /// Ends a connection once all that it is to get is written, and its peer has ended its side.
    fn close_when_written(&mut self, net: &mut Sockets, id: ConnId) {
        let (Some(conn), Some(peer)) = (net.conn(id), self.peers.get_mut(&id)) else { return };
        conn.rx.consume(conn.rx.len());
        if conn.eof || conn.broken {
            self.leave(net, id);
        } else if conn.is_written() && peer.ends.is_none() {
            peer.ends = Some(self.core.clock().now() + LINGER_TIMEOUT_MS);
            conn.end_writing();
        }
    }

    fn packet(&mut self, net: &mut Sockets, id: ConnId, number: u32, body: &[u8]) {
        let read = match number {
            kind::ECHO_REQ => {
                self.put(net, id, answer(kind::ECHO_RES, &[body]));
                true
            }
            kind::OPTION_REQ if body == b"exceptions" => {
                if let Some(peer) = self.peers.get_mut(&id) {
                    peer.exceptions = true;
                }
                self.put(net, id, answer(kind::OPTION_RES, &[body]));
                true
            }
            kind::OPTION_REQ => {
                self.error(net, id, "unknown_option", "only exceptions is known");
                true
            }
            kind::SET_CLIENT_ID => {
                if let Some(peer) = self.peers.get_mut(&id) {
                    peer.id = body.iter().copied().filter(u8::is_ascii_graphic).take(64).collect();
                }
                true
            }
            _ if workers::is_worker_kind(number) => self.worker_packet(net, id, number, body),
            _ => self.client_packet(net, id, number, body),
        };
        if !read {
            self.error(net, id, "bad_arguments", "the packet does not read");
        }
    }

    /// Writes to a peer, as it reads. Only where all outboxes are full, or the packet could never fit, is it ended.
    fn put(&mut self, net: &mut Sockets, id: ConnId, bytes: Vec<u8>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.outbox.is_empty() && net.write(id, &bytes) {
            return;
        }
        let Some(conn) = net.conn(id) else { return };
        if bytes.len() > MAX_BUFFERED_BYTES || self.outbox + bytes.len() > MAX_OUTBOX_BYTES {
            conn.broken = true;
            return self.again.push_back(id);
        }
        self.outbox += bytes.len();
        peer.outbox.push_back(bytes);
    }

    fn error(&mut self, net: &mut Sockets, id: ConnId, code: &str, text: &str) {
        self.put(net, id, answer(kind::ERROR, &[code.as_bytes(), text.as_bytes()]));
    }

    /// A peer has gone.
    fn leave(&mut self, net: &mut Sockets, id: ConnId) {
        net.close(id);
        let Some(peer) = self.peers.remove(&id) else { return };
        self.outbox -= peer.outbox.iter().map(Vec::len).sum::<usize>();
        if let Some(worker) = peer.worker {
            self.worker_left(worker);
        }
        for session in peer.waits {
            self.stop_listening(session, id);
        }
    }

    fn carry_out(&mut self, net: &mut Sockets) {
        loop {
            if let Some(command) = self.core.next_command() {
                match command {
                    Command::Send { job: session, attempt, endpoint: server } => {
                        self.offer(net, (session, attempt), server);
                    }
                    Command::Cancel { job: session, attempt } => self.call_off((session, attempt)),
                    Command::Answer { job: session, answer } => self.answer(net, session, &answer),
                    Command::Probe { .. } | Command::Subscribe => {}
                }
            } else if let Some(id) = self.again.pop_front() {
                self.look(net, id);
            } else {
                return;
            }
        }
    }

    /// Does what is due by now.
    pub fn tick(&mut self, net: &mut Sockets) {
        let now = self.core.clock().now();
        if let Some(identity) = &mut self.identity {
            identity.reread(now);
        }
        self.core.tick();
        for conn in std::mem::take(&mut self.later) {
            self.look(net, conn);
        }
        self.carry_out(net);
        self.expire_workers(now);
        self.carry_out(net);
        let over = |p: &Peer| [p.ends, p.sends].into_iter().flatten().any(|at| at <= now);
        let over = self.peers.iter().filter(|(_, p)| over(p)).map(|(&id, _)| id);
        for id in over.collect::<Vec<_>>() {
            self.leave(net, id);
        }
        if self.closes() {
            self.core.reject_new_jobs();
        }
        self.carry_out(net);
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> f64 {
        let now = self.core.clock().now();
        if !self.later.is_empty() {
            return now;
        }
        let wake = self.core.next_deadline().unwrap_or(f64::INFINITY);
        let peers = self.peers.values().flat_map(|p| [p.ends, p.sends]).flatten();
        let stop = self.stopping.map_or(f64::INFINITY, |leaving| leaving.last_call_ms.max(now + 20.0));
        let workers = self.peers.values().filter_map(|p| p.worker.as_ref()).map(Worker::next);
        peers.chain(workers).fold(wake.min(stop), f64::min)
    }

    /// Begins to stop.
    pub fn stop(&mut self) {
        self.stopping.get_or_insert_with(|| Shutdown::begin(&mut self.core));
    }

    /// Whether it is past its last call.
    fn closes(&self) -> bool {
        self.stopping.is_some_and(|leaving| self.core.clock().now() >= leaving.last_call_ms)
    }

    /// Whether all that was taken is answered, and written as far as peers read.
    pub fn is_stopped(&mut self, net: &mut Sockets) -> bool {
        let now = self.core.clock().now();
        let Some(leaving) = self.stopping.as_mut().filter(|_| self.core.open_jobs() == 0) else {
            return false;
        };
        let mut written = |(id, peer): (&ConnId, &Peer)| {
            net.conn(*id).is_none_or(|c| c.is_written() && peer.outbox.is_empty() || c.broken)
        };
        leaving.is_over(now, || self.peers.iter().all(&mut written))
    }

    /// The handle of a session's job.
    fn handle(session: JobId) -> String {
        format!("H:micabeam:{}", session.0)
    }

    /// The session of a handle.
    fn session(handle: &[u8]) -> Option<JobId> {
        std::str::from_utf8(handle).ok()?.strip_prefix("H:micabeam:")?.parse().ok().map(JobId)
    }
}
