//! Sockets (connections with their buffers, listeners, the pool of idle connections, the descriptor budget)
//! and the parsing and serialization of HTTP/1.1 messages.
//!
//! This module owns the sockets, their registration in the event loop, and HTTP framing. The frontends
//! interpret the messages. A caller receives events through `Handler`, must read and write a connection until
//! it would block (events are edge-triggered), and must close connections that it no longer needs.
//!
//! HTTP is read in two ways: `http` reads complete messages with bounded bodies; `head` reads only heads, and
//! `body` decodes their bodies incrementally.

pub mod body;
mod budget;
mod conn;
pub mod head;
pub mod http;
mod listener;
mod pool;
mod ring;
mod splice;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use rustc_hash::FxHashMap;

pub use budget::Budget;
pub use conn::{Conn, MAX_BUFFERED_BYTES};
pub use listener::AcceptState;
pub use pool::{Pool, PooledConnection};
pub use ring::Ring;
pub use splice::{PIPE_CAPACITY_BYTES, Pipe, Pipes};

use listener::Listener;

/// The id of a connection; never reused.
pub type ConnId = u64;

/// Handles the events of sockets.
pub trait Handler: Sized + 'static {
    /// Called when a connection is readable or writable, has been established, or has failed.
    fn on_ready(&mut self, conn: ConnId);
    /// Called when a listener has connections to accept.
    fn on_connections_waiting(&mut self, listener: usize);
}

/// All connections and listeners of a handler.
pub struct Net<H: Handler> {
    handle: LoopHandle<'static, H>,
    conns: FxHashMap<ConnId, Conn>,
    /// Listeners by number; `None` once closed.
    listeners: Vec<Option<Listener>>,
    last_id: ConnId,
}

impl<H: Handler> Net<H> {
    /// Creates a set without connections and listeners.
    pub fn new(handle: LoopHandle<'static, H>) -> Net<H> {
        Net { handle, conns: FxHashMap::default(), listeners: Vec::new(), last_id: 0 }
    }

    /// Opens a listener. Returns its number and its local address. With `shared`, another process may listen
    /// at the same address (`SO_REUSEPORT`), such as the one that an upgrade replaces; the kernel distributes
    /// connections between them.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be opened, bound, or registered for events.
    pub fn listen(&mut self, address: SocketAddr, shared: bool) -> io::Result<(usize, SocketAddr)> {
        let number = self.listeners.len();
        let (listener, local) = Listener::open(&self.handle, address, shared, number)?;
        self.listeners.push(Some(listener));
        Ok((number, local))
    }

    /// Closes a listener. The system resets connections still in its backlog, so accept them first.
    pub fn close_listener(&mut self, listener: usize) {
        if let Some(listener) = self.listeners.get_mut(listener).and_then(Option::take) {
            listener.close(&self.handle);
        }
    }

    /// Accepts one connection. Returns `None` if none is waiting or the system refuses.
    pub fn accept(&mut self, listener: usize) -> Option<ConnId> {
        while let Some(stream) = self.listeners.get_mut(listener)?.as_mut()?.accept(&self.handle) {
            match Conn::accepted(stream).and_then(|conn| self.add(conn)) {
                Ok(id) => return Some(id),
                Err(e) => crate::say(format_args!("an accepted connection was dropped: {e}")),
            }
        }
        None
    }

    /// Returns whether the last `accept` emptied a listener's backlog, or connections may still be waiting.
    pub fn accept_state(&self, listener: usize) -> AcceptState {
        let listener = self.listeners.get(listener).and_then(Option::as_ref);
        listener.map_or(AcceptState::Empty, Listener::state)
    }

    /// Starts to open a connection.
    ///
    /// # Errors
    /// Returns an error if the connection fails at once or cannot be registered for events. Nothing was sent
    /// in that case.
    pub fn open(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        let conn = Conn::open(address)?;
        self.add(conn)
    }

    fn add(&mut self, mut conn: Conn) -> io::Result<ConnId> {
        self.last_id += 1;
        let id = self.last_id;
        // Edge-triggered: `pump` continues until the socket would block, and is called again once a full
        // buffer has been read.
        let source = Generic::new(Rc::clone(&conn.stream), Interest::BOTH, Mode::Edge);
        let token = self
            .handle
            .insert_source(source, move |_, _, handler: &mut H| {
                handler.on_ready(id);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        conn.token = Some(token);
        self.conns.insert(id, conn);
        Ok(id)
    }

    /// Adds TLS to a connection that was just accepted. Returns false if the connection is gone.
    pub fn start_tls(&mut self, id: ConnId, tls: rustls::ServerConnection) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else { return false };
        conn.tls = Some(Box::new(tls));
        true
    }

    /// Returns an open connection.
    pub fn conn(&mut self, id: ConnId) -> Option<&mut Conn> {
        self.conns.get_mut(&id)
    }

    /// Returns two open connections, to relay bytes between them.
    pub fn pair(&mut self, one: ConnId, other: ConnId) -> Option<[&mut Conn; 2]> {
        match self.conns.get_disjoint_mut([&one, &other]) {
            [Some(one), Some(other)] => Some([one, other]),
            _ => None,
        }
    }

    /// Queues bytes and writes what the socket accepts. Returns false if they do not fit or the connection is
    /// gone.
    pub fn write(&mut self, id: ConnId, bytes: &[u8]) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else { return false };
        let queued = conn.tx.push(bytes);
        conn.pump();
        queued
    }

    /// Closes a connection immediately.
    pub fn close(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.remove(&id) {
            conn.shut_down();
            if let Some(token) = conn.token {
                self.handle.remove(token);
            }
        }
    }
}
