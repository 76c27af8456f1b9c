//! A connection: a non-blocking socket and a ring buffer for each direction.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use rustls::ServerConnection;
use rustls::pki_types::CertificateDer;
use socket2::{Domain, Socket, Type};

use super::ring::Ring;

/// Most bytes of a connection that are buffered in a direction: a body of 64 KiB with its head.
pub const MAX_BUFFERED_BYTES: usize = 96 * 1024;

/// One connection.
pub struct Conn {
    pub(super) stream: Rc<TcpStream>,
    pub(super) token: Option<RegistrationToken>,
    pub(super) tls: Option<Box<ServerConnection>>,
    /// Bytes that were read and not handled yet.
    pub rx: Ring,
    /// Bytes to be written.
    pub tx: Ring,
    /// It has not come up yet.
    pub connecting: bool,
    /// The peer has ended its side.
    pub eof: bool,
    /// It is broken.
    pub broken: bool,
    /// It never came up: nobody listens there.
    pub refused: bool,
    /// The peer takes nothing any more; what it has sent can still be read.
    pub takes_nothing: bool,
    /// It is closed by a reset, so that the peer does not take it for an end.
    aborts: bool,
    /// It is to be closed once all is written.
    pub closing: bool,
    /// The peer has asked that the next answer be the last.
    pub closes_after_answer: bool,
    /// Bytes that the socket has taken since it was opened, of TLS those of its records.
    pub sent: u64,
}

impl Conn {
    /// A connection that was accepted.
    ///
    /// # Errors
    /// Where the socket's options cannot be set.
    pub fn accepted(stream: TcpStream) -> io::Result<Conn> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Conn::over(stream, false))
    }

    /// Starts to open a connection. An error at once proves that nothing was sent.
    ///
    /// # Errors
    /// Where the connection fails at once: nothing was sent.
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
            tls: None,
            rx: Ring::new(MAX_BUFFERED_BYTES),
            tx: Ring::new(MAX_BUFFERED_BYTES),
            connecting,
            eof: false,
            broken: false,
            refused: false,
            takes_nothing: false,
            aborts: false,
            closing: false,
            closes_after_answer: false,
            sent: 0,
        }
    }

    /// Checks whether it has come up. True once it can be read and written.
    pub fn come_up(&mut self) -> bool {
        if self.connecting {
            match self.stream.take_error() {
                Ok(None) if self.stream.peer_addr().is_ok() => self.connecting = false,
                Ok(None) => {}
                Ok(Some(e)) => {
                    self.refused = e.kind() == ErrorKind::ConnectionRefused;
                    self.broken = true;
                }
                Err(_) => self.broken = true,
            }
        }
        !(self.connecting || self.broken)
    }

    /// Reads `most` bytes at most, for a reader that takes turns with others. True if more may be there: it was not read up
    /// to the end, nor until it would block. Not for TLS.
    pub fn read_some(&mut self, most: usize) -> bool {
        let mut left = most.min(self.rx.room());
        while left > 0 && !self.eof && !self.broken {
            let spare = self.rx.spare(left);
            match (&*self.stream).read(spare) {
                Ok(0) => self.eof = true,
                Ok(n) => {
                    self.rx.filled(n);
                    // A short read may have the peer's end behind it, which is not told again: read on.
                    left -= n;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.broken = true,
            }
        }
        !(self.eof || self.broken)
    }

    /// Writes bytes without the buffer, which must be empty. Returns how many the socket took. Not for TLS.
    pub fn write_some(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() && !(self.broken || self.takes_nothing) {
            match (&*self.stream).write(&bytes[taken..]) {
                Ok(n) if n > 0 => taken += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => self.takes_nothing = true,
            }
        }
        self.sent += taken as u64;
        taken
    }

    /// Writes what is queued as far as the socket takes it.
    pub fn write_queued(&mut self) {
        if !(self.broken || self.takes_nothing || self.connecting) && self.flush().is_err() {
            self.takes_nothing = true;
        }
    }

    /// Whether the peer has reset it, as far as the system knows without a read.
    pub fn is_reset(&mut self) -> bool {
        self.broken |= !matches!(self.stream.take_error(), Ok(None));
        self.broken
    }

    /// Has the peer see a reset and not an end, for a message that only the connection's end delimits.
    pub fn break_off(&mut self) {
        self.aborts = true;
        let _ = socket2::SockRef::from(&*self.stream).set_linger(Some(std::time::Duration::ZERO));
    }

    /// Moves bytes both ways as far as the socket lets them.
    pub fn pump(&mut self) {
        if !self.come_up() {
            return;
        }
        // With TLS what is read may call for something to be written, as in the handshake.
        let done = self.flush().and_then(|()| self.fill()).and_then(|()| self.flush());
        if done.is_err() {
            // Writes the alert of TLS, if there is one.
            let _ = self.flush();
            self.broken = true;
        }
    }

    /// Whether all that was queued has been written.
    pub fn is_written(&self) -> bool {
        self.tx.is_empty() && self.tls.as_ref().is_none_or(|tls| !tls.wants_write())
    }

    /// The peer's chain, once TLS has verified it.
    pub fn peer_certificates(&self) -> Option<Vec<CertificateDer<'static>>> {
        let tls = self.tls.as_ref().filter(|tls| !tls.is_handshaking())?;
        Some(tls.peer_certificates()?.iter().map(|c| c.clone().into_owned()).collect())
    }

    /// The peer's address.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0u8; 16 * 1024];
        while !self.eof && self.rx.room() > 0 {
            let room = self.rx.room().min(chunk.len());
            let read = match &mut self.tls {
                None => (&*self.stream).read(&mut chunk[..room]),
                Some(tls) => decrypt(tls, &self.stream, &mut chunk[..room]),
            };
            match read {
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
        if let Some(tls) = &mut self.tls {
            while !self.tx.is_empty() || tls.wants_write() {
                if !self.tx.is_empty() && !tls.is_handshaking() {
                    let taken = tls.writer().write(self.tx.front())?;
                    self.tx.consume(taken);
                }
                if !tls.wants_write() {
                    break;
                }
                match tls.write_tls(&mut &*self.stream) {
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    written => self.sent += written? as u64,
                }
            }
            return Ok(());
        }
        while !self.tx.is_empty() {
            match (&*self.stream).write(self.tx.front()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.sent += n as u64;
                    self.tx.consume(n);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Whether it is idle and usable: the socket shows neither an end nor stray bytes.
    pub fn is_fresh(&self) -> bool {
        self.has_nothing_to_read()
            && !(self.connecting || self.eof || self.broken)
            && self.rx.is_empty()
            && self.tx.is_empty()
    }

    /// Whether the socket shows neither bytes, nor an end, nor an error. A signal during the call says nothing of it.
    fn has_nothing_to_read(&self) -> bool {
        loop {
            match self.stream.peek(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
                Ok(_) => return false,
            }
        }
    }

    /// Ends this side; the peer can still be read.
    pub fn end_writing(&mut self) {
        if let Some(tls) = &mut self.tls {
            tls.send_close_notify();
            let _ = self.flush();
        }
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Ends it. Bytes that are written already still go out, unless `break_off` was called.
    pub fn shut(&self) {
        // An orderly end would come before the break.
        if !self.aborts {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

/// Reads decrypted bytes; reads from the socket only once all that TLS holds is taken.
fn decrypt(tls: &mut ServerConnection, mut stream: &TcpStream, into: &mut [u8]) -> io::Result<usize> {
    loop {
        match tls.reader().read(into) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            // A peer that ends without a TLS close_notify has ended all the same.
            Err(e) if e.kind() == ErrorKind::UnexpectedEof => return Ok(0),
            read => return read,
        }
        if tls.read_tls(&mut stream)? == 0 {
            return Ok(0);
        }
        tls.process_new_packets().map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
    }
}
