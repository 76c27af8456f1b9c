//! Sockets: connections with their buffers, listeners, the pool of idle connections, the budget of descriptors; and the
//! reading and writing of HTTP/1.1 messages.
//!
//! Owns the sockets, their registration in the event loop, and the framing of HTTP; what a message means and what follows
//! from it is the frontends'. A caller gets events through `Handler`, must read and write a connection until it would block
//! (events are edge-triggered), and must close what it does not need any more.
//!
//! HTTP is read in two ways: `http` takes complete messages with bounded bodies, `head` takes heads alone, whose bodies
//! `body` then reads as they come.

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

/// A connection's id, never used again.
pub type ConnId = u64;

/// What handles the events of sockets.
pub trait Handler: Sized + 'static {
    /// A connection can be read or written, has come up or has broken.
    fn on_ready(&mut self, conn: ConnId);
    /// A listener has connections to accept.
    fn on_connections_waiting(&mut self, listener: usize);
}

/// All connections and listeners of a handler.
pub struct Net<H: Handler> {
    handle: LoopHandle<'static, H>,
    conns: FxHashMap<ConnId, Conn>,
    /// Listeners by number; none once closed.
    listeners: Vec<Option<Listener>>,
    last: ConnId,
}

impl<H: Handler> Net<H> {
    /// No connections yet.
    pub fn new(handle: LoopHandle<'static, H>) -> Net<H> {
        Net { handle, conns: FxHashMap::default(), listeners: Vec::new(), last: 0 }
    }

    /// Opens a listener. Returns its number and the address that it got. A `shared` address may be held by another
    /// process at once (`SO_REUSEPORT`), as the one that an upgrade replaces; the kernel deals connections out.
    ///
    /// # Errors
    /// Where the socket cannot be opened, bound, or registered for events.
    pub fn listen(&mut self, address: SocketAddr, shared: bool) -> io::Result<(usize, SocketAddr)> {
        let number = self.listeners.len();
        let (listener, local) = Listener::open(&self.handle, address, shared, number)?;
        self.listeners.push(Some(listener));
        Ok((number, local))
    }

    /// Closes a listener. Connections that wait are reset by the system: accept them first.
    pub fn close_listener(&mut self, listener: usize) {
        if let Some(listener) = self.listeners.get_mut(listener).and_then(Option::take) {
            listener.close(&self.handle);
        }
    }

    /// Accepts one connection, if one waits and the system lets it.
    pub fn accept(&mut self, listener: usize) -> Option<ConnId> {
        while let Some(stream) = self.listeners.get_mut(listener)?.as_mut()?.accept(&self.handle) {
            match Conn::accepted(stream).and_then(|conn| self.add(conn)) {
                Ok(id) => return Some(id),
                Err(e) => crate::say(format_args!("an accepted connection was dropped: {e}")),
            }
        }
        None
    }

    /// Whether a listener's backlog was emptied by the last `accept`, or connections may wait there still.
    pub fn accept_state(&self, listener: usize) -> AcceptState {
        let listener = self.listeners.get(listener).and_then(Option::as_ref);
        listener.map_or(AcceptState::Empty, Listener::state)
    }

    /// Starts to open a connection.
    ///
    /// # Errors
    /// Where the connection fails at once, or cannot be registered for events: nothing was sent.
    pub fn open(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        let conn = Conn::open(address)?;
        self.add(conn)
    }

    fn add(&mut self, mut conn: Conn) -> io::Result<ConnId> {
        self.last += 1;
        let id = self.last;
        // Edge-triggered: `pump` goes on until the socket would block, and is called again once a full buffer
        // has been read.
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

    /// Puts TLS on a connection that was just accepted.
    pub fn start_tls(&mut self, id: ConnId, tls: rustls::ServerConnection) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else { return false };
        conn.tls = Some(Box::new(tls));
        true
    }

    /// A connection that is open.
    pub fn conn(&mut self, id: ConnId) -> Option<&mut Conn> {
        self.conns.get_mut(&id)
    }

    /// Two connections that are open, for bytes that go from one to the other.
    pub fn pair(&mut self, one: ConnId, other: ConnId) -> Option<[&mut Conn; 2]> {
        match self.conns.get_disjoint_mut([&one, &other]) {
            [Some(one), Some(other)] => Some([one, other]),
            _ => None,
        }
    }

    /// Queues bytes and writes what can be written. False where they do not fit or the connection is gone.
    pub fn write(&mut self, id: ConnId, bytes: &[u8]) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else { return false };
        let queued = conn.tx.push(bytes);
        conn.pump();
        queued
    }

    /// Closes a connection at once.
    pub fn close(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.remove(&id) {
            conn.shut();
            if let Some(token) = conn.token {
                self.handle.remove(token);
            }
        }
    }
}
