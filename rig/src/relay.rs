//! What the program is measured against: bare loops that copy bytes between two sockets, in one thread, with no
//! framing, no limits and no decisions. One copies through a buffer, one moves pages by `splice`.

use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;

use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::pipe::{PipeFlags, SpliceFlags, pipe_with, splice};

use crate::peers::spawn;
use crate::{RigError, io_context};

/// Bytes of the buffer, and moved by one splice.
const BUFFER_BYTES: usize = 64 * 1024;
const LISTENER_TOKEN: u64 = u64::MAX;

/// How bytes are moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Through a buffer of the process.
    Copy,
    /// Through a pipe of the system, without a copy into the process.
    Splice,
}

/// One direction of a pair.
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

    /// Moves bytes until one side would wait, or others should have their turn. True where it has more to do.
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

    /// Moves bytes through the pipe. False where one side would wait.
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

    /// Moves bytes through a buffer. False where one side would wait.
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

struct Pair {
    client: TcpStream,
    server: TcpStream,
    up: OneDirection,
    down: OneDirection,
}

/// Starts a bare relay to a server; it runs until the process ends.
///
/// # Errors
/// Where a socket, a thread or a process cannot be had.
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
        // One turn each, then the events again.
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
