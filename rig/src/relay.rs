//! Baseline relays that the program's throughput is compared with. They move bytes between two sockets in one
//! thread, without framing, limits or routing; one copies through a buffer, the other moves pages with
//! `splice`.

use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;

use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::pipe::{PipeFlags, SpliceFlags, pipe_with, splice};

use crate::peers::spawn;
use crate::{RigError, io_context};

/// Size of the copy buffer, and the most bytes that one splice moves.
const BUFFER_BYTES: usize = 64 * 1024;
/// Epoll token of the listener; pairs are numbered from 1.
const LISTENER_TOKEN: u64 = u64::MAX;

/// How a relay moves bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Through a buffer in user space.
    Copy,
    /// With `splice` through a kernel pipe, without a copy into user space.
    Splice,
}

/// State of one direction of a pair.
struct OneDirection {
    buffer: Vec<u8>,
    written: usize,
    pipe: Option<(OwnedFd, OwnedFd)>,
    pipe_bytes: usize,
    at_eof: bool,
    shut_down: bool,
}

impl OneDirection {
    fn new(mode: Mode) -> Result<OneDirection, RigError> {
        let pipe = match mode {
            Mode::Copy => None,
            Mode::Splice => {
                let pipe = pipe_with(PipeFlags::NONBLOCK | PipeFlags::CLOEXEC).map_err(Into::into);
                let (read, write) = io_context("pipe", pipe)?;
                Some((read, write))
            }
        };
        Ok(OneDirection {
            buffer: Vec::new(),
            written: 0,
            pipe,
            pipe_bytes: 0,
            at_eof: false,
            shut_down: false,
        })
    }

    /// Moves at most two buffers, so that other pairs get their turn. Returns true if it stopped at that
    /// limit, and false if a socket would block or the direction has ended.
    fn turn(&mut self, from: &TcpStream, to: &TcpStream) -> std::io::Result<bool> {
        for _ in 0..2 {
            let progressed = if self.pipe.is_some() { self.splice(from, to)? } else { self.copy(from, to)? };
            if !progressed {
                return Ok(false);
            }
            if self.at_eof {
                if !std::mem::replace(&mut self.shut_down, true) {
                    let _ = to.shutdown(Shutdown::Write);
                }
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Moves bytes through the pipe. Returns false if a socket would block.
    fn splice(&mut self, from: &TcpStream, to: &TcpStream) -> std::io::Result<bool> {
        let Some((read, write)) = &self.pipe else { return Ok(true) };
        let flags = SpliceFlags::NONBLOCK | SpliceFlags::MOVE;
        if self.pipe_bytes == 0 && !self.at_eof {
            match splice(from, None, write, None, BUFFER_BYTES, flags) {
                Ok(0) => self.at_eof = true,
                Ok(n) => self.pipe_bytes = n,
                Err(rustix::io::Errno::AGAIN) => return Ok(false),
                Err(e) => return Err(e.into()),
            }
        }
        while self.pipe_bytes > 0 {
            match splice(read, None, to, None, self.pipe_bytes, flags) {
                Ok(n) => self.pipe_bytes -= n,
                Err(rustix::io::Errno::AGAIN) => return Ok(false),
                Err(e) => return Err(e.into()),
            }
        }
        Ok(true)
    }

    /// Moves bytes through the buffer. Returns false if a socket would block.
    fn copy(&mut self, mut from: &TcpStream, mut to: &TcpStream) -> std::io::Result<bool> {
        if self.written == self.buffer.len() && !self.at_eof {
            self.buffer.resize(BUFFER_BYTES, 0);
            self.written = 0;
            match from.read(&mut self.buffer) {
                Ok(0) => self.at_eof = true,
                Ok(n) => self.buffer.truncate(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.buffer.clear();
                    return Ok(false);
                }
                Err(e) => return Err(e),
            }
            if self.at_eof {
                self.buffer.clear();
            }
        }
        while self.written < self.buffer.len() {
            match to.write(&self.buffer[self.written..]) {
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }
}

/// A client connection, its server connection, and the state of both directions.
struct Pair {
    client: TcpStream,
    server: TcpStream,
    up: OneDirection,
    down: OneDirection,
}

/// Starts a bare relay to a server, which runs until this process exits. Returns the address that it listens
/// at.
///
/// # Errors
/// Returns an error if the relay cannot listen.
pub fn start(to: SocketAddr, mode: Mode) -> Result<SocketAddr, RigError> {
    let listener = io_context("bare relay", TcpListener::bind("127.0.0.1:0"))?;
    io_context("bare relay", listener.set_nonblocking(true))?;
    let address = io_context("bare relay", listener.local_addr())?;
    spawn(move || {
        if let Err(e) = run(&listener, to, mode) {
            eprintln!("the bare relay failed: {e}");
        }
    });
    Ok(address)
}

fn register(poll: &OwnedFd, stream: &TcpStream, number: u64) -> std::io::Result<()> {
    stream.set_nonblocking(true)?;
    stream.set_nodelay(true)?;
    let flags = EventFlags::IN | EventFlags::OUT | EventFlags::ET;
    Ok(epoll::add(poll, stream, EventData::new_u64(number), flags)?)
}

fn run(listener: &TcpListener, to: SocketAddr, mode: Mode) -> Result<(), RigError> {
    let poll = io_context("epoll", epoll::create(CreateFlags::CLOEXEC).map_err(Into::into))?;
    let added = epoll::add(&poll, listener, EventData::new_u64(LISTENER_TOKEN), EventFlags::IN);
    io_context("epoll", added.map_err(Into::into))?;
    let (mut pairs, mut last) = (BTreeMap::<u64, Pair>::new(), 0);
    let mut ready: VecDeque<u64> = VecDeque::new();
    let mut events = Vec::with_capacity(256);
    loop {
        events.clear();
        let wait = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
        let wait = if ready.is_empty() { None } else { Some(&wait) };
        match epoll::wait(&poll, rustix::buffer::spare_capacity(&mut events), wait) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => return io_context("epoll", Err(e.into())),
        }
        for event in &events {
            match event.data.u64() {
                LISTENER_TOKEN => {
                    while let Ok((client, _)) = listener.accept() {
                        let server = io_context("connect to the server", TcpStream::connect(to))?;
                        last += 1;
                        io_context(
                            "epoll",
                            register(&poll, &client, last).and_then(|()| register(&poll, &server, last)),
                        )?;
                        let (up, down) = (OneDirection::new(mode)?, OneDirection::new(mode)?);
                        pairs.insert(last, Pair { client, server, up, down });
                        ready.push_back(last);
                    }
                }
                pair if !ready.contains(&pair) => ready.push_back(pair),
                _ => {}
            }
        }
        // Gives each ready pair one turn, then polls again.
        for _ in 0..ready.len() {
            let Some(number) = ready.pop_front() else { break };
            let Some(pair) = pairs.get_mut(&number) else { continue };
            let up = pair.up.turn(&pair.client, &pair.server);
            let down = pair.down.turn(&pair.server, &pair.client);
            match (up, down) {
                (Ok(up), Ok(down)) if !(pair.up.shut_down && pair.down.shut_down) => {
                    if up || down {
                        ready.push_back(number);
                    }
                }
                _ => drop(pairs.remove(&number)),
            }
        }
    }
}
