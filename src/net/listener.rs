//! A listener: its socket, its registration in the event loop, and what it does while the system refuses to accept.
//!
//! The event loop tells of waiting connections at each turn until they are accepted. Where `accept` fails for a while, as
//! without descriptors, that would be a loop that never rests; so the listener is paused, and tried again after a moment.
//! Connections that wait meanwhile stay in the backlog.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, SockRef, Socket, Type};

use super::Handler;

/// Connections that may wait to be accepted at a listener.
const MAX_WAITING_CONNECTIONS: i32 = 1024;
/// How long a listener is left alone once the system refuses to accept: short beside a request's time, and long enough that
/// the failing calls cost nothing.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections in a row that may fail one by one, as those that were aborted while they waited, before the listener pauses.
const MAX_FAILED_CONNECTIONS: u32 = 64;

/// Attempts to open a listener while the system has no room for its socket.
const MAX_BIND_ATTEMPTS: u32 = 40;
/// Time between two such attempts.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What the last attempt to accept has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptState {
    /// Nothing waited.
    Empty,
    /// Connections may wait.
    Waiting,
    /// The system refused; it is tried again after a pause.
    Paused,
}

/// What an error of `accept` says.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AcceptError {
    /// Nothing waits.
    Empty,
    /// One connection has failed before it was accepted: the next one may not.
    OneConnection,
    /// The system has no room for any.
    NoRoom,
}

impl AcceptError {
    /// Linux hands out errors of the network that a waiting connection had, as if they were the call's.
    fn of(error: &io::Error) -> AcceptError {
        use rustix::io::Errno;
        match Errno::from_io_error(error) {
            Some(Errno::AGAIN) => AcceptError::Empty,
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptError::NoRoom,
            _ if error.kind() == ErrorKind::WouldBlock => AcceptError::Empty,
            _ => AcceptError::OneConnection,
        }
    }
}

/// A listener that is open.
pub(super) struct Listener {
    socket: Rc<TcpListener>,
    token: RegistrationToken,
    state: Rc<Cell<AcceptState>>,
    /// The pause is in the log, and nothing was accepted since.
    is_reported: bool,
}

impl Listener {
    /// Opens one. `number` is what its handler knows it by.
    pub(super) fn open<H: Handler>(
        handle: &LoopHandle<'static, H>,
        address: SocketAddr,
        shared: bool,
        number: usize,
    ) -> io::Result<(Listener, SocketAddr)> {
        let socket = Rc::new(bind_patiently(address, shared)?);
        let local = socket.local_addr()?;
        let state = Rc::new(Cell::new(AcceptState::Empty));
        // Level-triggered: what is left in the backlog is told again.
        let source = Generic::new(Rc::clone(&socket), Interest::READ, Mode::Level);
        let state_seen = Rc::clone(&state);
        let token = handle.insert_source(source, move |_, _, handler: &mut H| {
            handler.on_connections_waiting(number);
            let is_paused = state_seen.get() == AcceptState::Paused;
            Ok(if is_paused { PostAction::Disable } else { PostAction::Continue })
        });
        let token = token.map_err(|e| io::Error::other(e.to_string()))?;
        Ok((Listener { socket, token, state, is_reported: false }, local))
    }

    /// Accepts one connection; none where nothing waits, or the system refuses.
    pub(super) fn accept<H: Handler>(&mut self, handle: &LoopHandle<'static, H>) -> Option<TcpStream> {
        if self.state.get() == AcceptState::Paused {
            return None;
        }
        for _ in 0..MAX_FAILED_CONNECTIONS {
            // The standard library's `accept` repeats an interrupted call for as long as it is interrupted.
            match SockRef::from(&*self.socket).accept() {
                Ok((stream, _)) => {
                    self.state.set(AcceptState::Waiting);
                    self.is_reported = false;
                    return Some(stream.into());
                }
                Err(e) => match AcceptError::of(&e) {
                    AcceptError::OneConnection => {}
                    AcceptError::NoRoom => break,
                    AcceptError::Empty => {
                        self.state.set(AcceptState::Empty);
                        return None;
                    }
                },
            }
        }
        self.pause(handle);
        None
    }

    /// Leaves the listener alone for a moment.
    fn pause<H: Handler>(&mut self, handle: &LoopHandle<'static, H>) {
        let (state, token, enabling) = (Rc::clone(&self.state), self.token, handle.clone());
        let timer = Timer::from_duration(ACCEPT_PAUSE);
        let resumes = handle.insert_source(timer, move |_, (), _| {
            state.set(AcceptState::Waiting);
            // Fails only where the listener was closed meanwhile.
            let _ = enabling.enable(&token);
            TimeoutAction::Drop
        });
        if resumes.is_ok() {
            self.state.set(AcceptState::Paused);
            if !std::mem::replace(&mut self.is_reported, true) {
                tracing::warn!(pause_ms = ACCEPT_PAUSE.as_millis() as u64, "listener paused");
            }
        }
    }

    /// What the last attempt to accept has shown.
    pub(super) fn state(&self) -> AcceptState {
        self.state.get()
    }

    /// Closes it.
    pub(super) fn close<H: Handler>(self, handle: &LoopHandle<'static, H>) {
        handle.remove(self.token);
    }
}

/// Binds a listener, though the system may have no room for a moment: a process that does not start for that is lost.
fn bind_patiently(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    for _ in 1..MAX_BIND_ATTEMPTS {
        match bind(address, shared) {
            Err(e) if AcceptError::of(&e) == AcceptError::NoRoom => std::thread::sleep(BIND_RETRY_INTERVAL),
            bound => return bound,
        }
    }
    bind(address, shared)
}

fn bind(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // A port that the system picks cannot be known to a successor; shared, it could be one that another
    // listener of the same user holds already.
    if shared && address.port() != 0 {
        socket.set_reuse_port(true)?;
    }
    socket.bind(&address.into())?;
    socket.listen(MAX_WAITING_CONNECTIONS)?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from(socket))
}
