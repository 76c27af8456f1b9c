//! A listening socket, its registration in the event loop, and its behaviour while the system refuses to
//! accept connections.
//!
//! The event loop reports waiting connections on every turn until they are accepted. While `accept` keeps
//! failing, for example for lack of descriptors, that would be a busy loop. So the listener is paused and
//! retried after `ACCEPT_PAUSE`; waiting connections stay in the backlog.

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

/// Length of the backlog of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// Pause of a listener after the system has refused to accept. It is short compared with the time of a
/// request, and long enough that the failing calls cost next to nothing.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Consecutive connections that may fail in `accept`, such as connections aborted while they waited, before
/// the listener is paused.
const MAX_CONSECUTIVE_ACCEPT_FAILURES: u32 = 64;

/// Attempts to open a listener while the system lacks resources for its socket.
const MAX_BIND_ATTEMPTS: u32 = 40;
/// Time between two such attempts.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The result of the last attempt to accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptState {
    /// No connection was waiting.
    Empty,
    /// Connections may be waiting.
    Waiting,
    /// The system refused; the listener is paused and will be retried.
    Paused,
}

/// The meaning of an error of `accept`.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AcceptError {
    /// No connection is waiting.
    Empty,
    /// One connection failed before it was accepted; the next one may succeed.
    ConnectionFailed,
    /// The system lacks descriptors or memory for any connection.
    Exhausted,
}

impl AcceptError {
    /// Classifies an error. On Linux `accept` also returns pending network errors of the waiting connection,
    /// which say nothing about the next one.
    fn of(error: &io::Error) -> AcceptError {
        use rustix::io::Errno;
        match Errno::from_io_error(error) {
            Some(Errno::AGAIN) => AcceptError::Empty,
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptError::Exhausted,
            _ if error.kind() == ErrorKind::WouldBlock => AcceptError::Empty,
            _ => AcceptError::ConnectionFailed,
        }
    }
}

/// An open listener.
pub(super) struct Listener {
    socket: Rc<TcpListener>,
    token: RegistrationToken,
    state: Rc<Cell<AcceptState>>,
    /// Whether the pause was logged and no connection was accepted since.
    is_pause_logged: bool,
}

impl Listener {
    /// Opens a listener. `number` identifies it in the calls to its handler.
    pub(super) fn open<H: Handler>(
        handle: &LoopHandle<'static, H>,
        address: SocketAddr,
        shared: bool,
        number: usize,
    ) -> io::Result<(Listener, SocketAddr)> {
        let socket = Rc::new(bind_with_retry(address, shared)?);
        let local = socket.local_addr()?;
        let state = Rc::new(Cell::new(AcceptState::Empty));
        // Level-triggered, so that connections left in the backlog are reported again.
        let source = Generic::new(Rc::clone(&socket), Interest::READ, Mode::Level);
        let accept_state = Rc::clone(&state);
        let token = handle.insert_source(source, move |_, _, handler: &mut H| {
            handler.on_connections_waiting(number);
            let is_paused = accept_state.get() == AcceptState::Paused;
            Ok(if is_paused { PostAction::Disable } else { PostAction::Continue })
        });
        let token = token.map_err(|e| io::Error::other(e.to_string()))?;
        Ok((Listener { socket, token, state, is_pause_logged: false }, local))
    }

    /// Accepts one connection. Returns `None` if none is waiting or the system refuses.
    pub(super) fn accept<H: Handler>(&mut self, handle: &LoopHandle<'static, H>) -> Option<TcpStream> {
        if self.state.get() == AcceptState::Paused {
            return None;
        }
        for _ in 0..MAX_CONSECUTIVE_ACCEPT_FAILURES {
            // Not the standard library's `accept`, which retries an interrupted call without limit.
            match SockRef::from(&*self.socket).accept() {
                Ok((stream, _)) => {
                    self.state.set(AcceptState::Waiting);
                    self.is_pause_logged = false;
                    return Some(stream.into());
                }
                Err(e) => match AcceptError::of(&e) {
                    AcceptError::ConnectionFailed => {}
                    AcceptError::Exhausted => break,
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

    /// Pauses the listener for `ACCEPT_PAUSE`.
    fn pause<H: Handler>(&mut self, handle: &LoopHandle<'static, H>) {
        let (state, token, loop_handle) = (Rc::clone(&self.state), self.token, handle.clone());
        let timer = Timer::from_duration(ACCEPT_PAUSE);
        let armed = handle.insert_source(timer, move |_, (), _| {
            state.set(AcceptState::Waiting);
            // Fails only if the listener was closed in the meantime.
            let _ = loop_handle.enable(&token);
            TimeoutAction::Drop
        });
        if armed.is_ok() {
            self.state.set(AcceptState::Paused);
            if !std::mem::replace(&mut self.is_pause_logged, true) {
                tracing::warn!(pause_ms = ACCEPT_PAUSE.as_millis() as u64, "listener paused");
            }
        }
    }

    /// Returns the result of the last attempt to accept.
    pub(super) fn state(&self) -> AcceptState {
        self.state.get()
    }

    /// Closes the listener.
    pub(super) fn close<H: Handler>(self, handle: &LoopHandle<'static, H>) {
        handle.remove(self.token);
    }
}

/// Binds a listener, and retries while the system lacks resources: otherwise a short shortage would end the
/// process at its start.
fn bind_with_retry(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    for _ in 1..MAX_BIND_ATTEMPTS {
        match bind(address, shared) {
            Err(e) if AcceptError::of(&e) == AcceptError::Exhausted => std::thread::sleep(BIND_RETRY_DELAY),
            bound => return bound,
        }
    }
    bind(address, shared)
}

fn bind(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // A successor process cannot know a port that the system picks. Shared, that port could also be one that
    // another listener of the same user holds already.
    if shared && address.port() != 0 {
        socket.set_reuse_port(true)?;
    }
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from(socket))
}
