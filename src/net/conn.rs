//! A connection: a non-blocking socket with a ring buffer for each direction.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use rustls::ServerConnection;
use rustls::pki_types::CertificateDer;
use socket2::{Domain, Socket, Type};

use super::ring::Ring;

/// Maximum number of bytes buffered in each direction of a connection: a body of 64 KiB with its head.
pub const MAX_BUFFERED_BYTES: usize = 96 * 1024;

/// A connection.
pub struct Conn {
    pub(super) stream: Rc<TcpStream>,
    pub(super) token: Option<RegistrationToken>,
    pub(super) tls: Option<Box<ServerConnection>>,
    /// Bytes read from the socket and not handled yet.
    pub rx: Ring,
    /// Bytes to be written to the socket.
    pub tx: Ring,
    /// Whether the connection is not established yet.
    pub connecting: bool,
    /// Whether the peer has ended its side.
    pub eof: bool,
    /// Whether the connection has failed: an error of the socket or of TLS was seen.
    pub broken: bool,
    /// Whether the connection was refused because nobody listens at the address.
    pub refused: bool,
    /// Whether writing to the socket has failed; bytes that the peer has sent can still be read.
    pub write_failed: bool,
    /// Whether closing sends a reset, so that the peer does not take it for an orderly end.
    resets_on_close: bool,
    /// Set by a frontend that closes the connection: no further request is handled, and the connection ends
    /// once all queued bytes are written.
    pub closing: bool,
    /// Whether the peer asked for the connection to be closed after the next response.
    pub closes_after_response: bool,
    /// Bytes that the socket has accepted since it was opened; with TLS, bytes of TLS records.
    pub sent: u64,
}

impl Conn {
    /// Creates a connection from an accepted socket.
    ///
    /// # Errors
    /// Returns an error if the options of the socket cannot be set.
    pub fn accepted(stream: TcpStream) -> io::Result<Conn> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Conn::new(stream, false))
    }

    /// Starts to open a connection.
    ///
    /// # Errors
    /// Returns an error if the connection fails at once. This proves that nothing was sent.
    pub fn open(address: SocketAddr) -> io::Result<Conn> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            // EINPROGRESS has no portable kind; `poll_connected` finds out whether the connect failed.
            Err(e) if e.kind() == ErrorKind::WouldBlock || e.raw_os_error() == Some(115) => {}
            Err(e) => return Err(e),
        }
        Ok(Conn::new(socket.into(), true))
    }

    fn new(stream: TcpStream, connecting: bool) -> Conn {
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
            write_failed: false,
            resets_on_close: false,
            closing: false,
            closes_after_response: false,
            sent: 0,
        }
    }

    /// Checks whether the connection is established. Returns whether it can be read and written.
    pub fn poll_connected(&mut self) -> bool {
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

    /// Reads up to `max_bytes` bytes, for a relay that serves channels in turns. Returns whether more may be
    /// available: neither the end of the stream was reached nor would the socket block. Not for TLS.
    pub fn read_some(&mut self, max_bytes: usize) -> bool {
        let mut left = max_bytes.min(self.rx.free_space());
        while left > 0 && !self.eof && !self.broken {
            let spare = self.rx.spare(left);
            match (&*self.stream).read(spare) {
                Ok(0) => self.eof = true,
                Ok(n) => {
                    self.rx.commit(n);
                    // Continue after a short read: the peer's FIN may follow the data, and edge-triggered
                    // events do not report it again.
                    left -= n;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.broken = true,
            }
        }
        !(self.eof || self.broken)
    }

    /// Writes bytes directly to the socket; `tx` must be empty. Returns how many the socket accepted. Not for
    /// TLS.
    pub fn write_some(&mut self, bytes: &[u8]) -> usize {
        let mut written = 0;
        while written < bytes.len() && !(self.broken || self.write_failed) {
            match (&*self.stream).write(&bytes[written..]) {
                Ok(n) if n > 0 => written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => self.write_failed = true,
            }
        }
        self.sent += written as u64;
        written
    }

    /// Writes the queued bytes until the socket would block.
    pub fn write_queued(&mut self) {
        if !(self.broken || self.write_failed || self.connecting) && self.flush().is_err() {
            self.write_failed = true;
        }
    }

    /// Whether the peer has reset the connection, as far as the system reports it without a read.
    pub fn is_reset(&mut self) -> bool {
        self.broken |= !matches!(self.stream.take_error(), Ok(None));
        self.broken
    }

    /// Makes closing send a reset instead of an orderly end, for a truncated message that only the end of the
    /// connection delimits.
    pub fn reset_on_close(&mut self) {
        self.resets_on_close = true;
        let _ = socket2::SockRef::from(&*self.stream).set_linger(Some(std::time::Duration::ZERO));
    }

    /// Writes queued bytes and reads into `rx` until the socket would block or `rx` is full.
    pub fn pump(&mut self) {
        if !self.poll_connected() {
            return;
        }
        // With TLS, reading may produce bytes to write, as in the handshake.
        let done = self.flush().and_then(|()| self.fill()).and_then(|()| self.flush());
        if done.is_err() {
            // Writes the TLS alert, if there is one.
            let _ = self.flush();
            self.broken = true;
        }
    }

    /// Whether all queued bytes have been written.
    pub fn is_written(&self) -> bool {
        self.tx.is_empty() && self.tls.as_ref().is_none_or(|tls| !tls.wants_write())
    }

    /// Returns the peer's certificate chain, once TLS has verified it.
    pub fn peer_certificates(&self) -> Option<Vec<CertificateDer<'static>>> {
        let tls = self.tls.as_ref().filter(|tls| !tls.is_handshaking())?;
        Some(tls.peer_certificates()?.iter().map(|c| c.clone().into_owned()).collect())
    }

    /// Returns the peer's address.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0u8; 16 * 1024];
        while !self.eof && self.rx.free_space() > 0 {
            let free = self.rx.free_space().min(chunk.len());
            let read = match &mut self.tls {
                None => (&*self.stream).read(&mut chunk[..free]),
                Some(tls) => decrypt(tls, &self.stream, &mut chunk[..free]),
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
                    let accepted = tls.writer().write(self.tx.front())?;
                    self.tx.consume(accepted);
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

    /// Whether the connection is idle and can be used again: it is established, both buffers are empty, and
    /// the socket shows no unread bytes, end or error.
    pub fn is_reusable(&self) -> bool {
        self.has_nothing_to_read()
            && !(self.connecting || self.eof || self.broken)
            && self.rx.is_empty()
            && self.tx.is_empty()
    }

    /// Whether the socket shows no bytes, end or error. Repeats a call that a signal interrupted.
    fn has_nothing_to_read(&self) -> bool {
        loop {
            match self.stream.peek(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
                Ok(_) => return false,
            }
        }
    }

    /// Ends the write side; the peer can still be read.
    pub fn shut_down_write(&mut self) {
        if let Some(tls) = &mut self.tls {
            tls.send_close_notify();
            let _ = self.flush();
        }
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Shuts the connection down. Bytes that the socket has accepted are still sent, unless `reset_on_close`
    /// was called.
    pub fn shut_down(&self) {
        // A shutdown would send an orderly end (FIN) before the reset.
        if !self.resets_on_close {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

/// Reads decrypted bytes. Reads from the socket only when TLS has no decrypted bytes left.
fn decrypt(tls: &mut ServerConnection, mut stream: &TcpStream, buf: &mut [u8]) -> io::Result<usize> {
    loop {
        match tls.reader().read(buf) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            // A peer that closes without a TLS close_notify has ended its side all the same.
            Err(e) if e.kind() == ErrorKind::UnexpectedEof => return Ok(0),
            read => return read,
        }
        if tls.read_tls(&mut stream)? == 0 {
            return Ok(0);
        }
        tls.process_new_packets().map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
    }
}
