//! A connection: a non-blocking socket and a ring buffer for each direction.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use socket2::{Domain, Socket, Type};

use super::ring::Ring;

/// Most bytes of a connection held in a direction: a body of 64 KiB with its head.
pub const HELD: usize = 96 * 1024;

/// One connection.
pub struct Conn {
    pub(super) stream: Rc<TcpStream>,
    pub(super) token: Option<RegistrationToken>,
    /// Bytes that have come.
    pub rx: Ring,
    /// Bytes to be written.
    pub tx: Ring,
    /// It has not come up yet.
    pub connecting: bool,
    /// The peer has ended its side.
    pub eof: bool,
    /// It is broken.
    pub broken: bool,
    /// It is to be closed once all is written.
    pub closing: bool,
    /// The peer has asked that the next answer be the last.
    pub last: bool,
}

impl Conn {
    /// A connection that was accepted.
    pub fn accepted(stream: TcpStream) -> io::Result<Conn> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Conn::over(stream, false))
    }

    /// Starts to open a connection. An error at once proves that nothing was sent.
    pub fn open(address: SocketAddr) -> io::Result<Conn> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            // EINPROGRESS has no portable kind; a connect that truly failed shows in `come_up`.
            Err(e) if e.kind() == ErrorKind::WouldBlock || e.raw_os_error() == Some(115) => {}
            Err(e) => return Err(e),
        }
        Ok(Conn::over(socket.into(), true))
    }

    fn over(stream: TcpStream, connecting: bool) -> Conn {
        Conn {
            stream: Rc::new(stream),
            token: None,
            rx: Ring::new(HELD),
            tx: Ring::new(HELD),
            connecting,
            eof: false,
            broken: false,
            closing: false,
            last: false,
        }
    }

    /// Moves bytes both ways as far as the socket lets them.
    pub fn pump(&mut self) {
        if self.connecting {
            match self.stream.take_error() {
                Ok(None) if self.stream.peer_addr().is_ok() => self.connecting = false,
                Ok(None) => return,
                _ => {
                    self.broken = true;
                    return;
                }
            }
        }
        if self.flush().is_err() || self.fill().is_err() {
            self.broken = true;
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0u8; 16 * 1024];
        while !self.eof && self.rx.room() > 0 {
            let room = self.rx.room().min(chunk.len());
            match (&*self.stream).read(&mut chunk[..room]) {
                Ok(0) => self.eof = true,
                Ok(n) => {
                    self.rx.push(&chunk[..n]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    fn flush(&mut self) -> io::Result<()> {
        while !self.tx.is_empty() {
            match (&*self.stream).write(self.tx.front()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.tx.consume(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Whether it stands idle and whole: a look at the socket shows neither an end nor stray bytes.
    pub fn is_fresh(&self) -> bool {
        let quiet = matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        quiet && !(self.connecting || self.eof || self.broken) && self.rx.is_empty() && self.tx.is_empty()
    }

    /// Ends this side; the peer can still be read.
    pub fn end_writing(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Ends it. Bytes that are written already still go out.
    pub fn shut(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
