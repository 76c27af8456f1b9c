//! Pipes of the system, through which bytes go from one socket to another without a copy into the process: Linux's
//! `splice`, by rustix's safe calls.

use std::os::fd::OwnedFd;
use std::rc::Rc;

use rustix::io::Errno;
use rustix::pipe::{PipeFlags, SpliceFlags, pipe_with, splice};

use super::Conn;

/// Bytes that a pipe holds: the system's default, 16 pages of 4 KiB.
pub const PIPE_CAPACITY_BYTES: usize = 64 * 1024;

/// How many pipes there may be. Each takes two descriptors, and `PIPE_CAPACITY_BYTES` bytes of the system's memory.
#[derive(Clone)]
pub struct Pipes {
    most: usize,
    out: Rc<()>,
}

impl Pipes {
    /// `most` pipes at most; 0: none.
    pub fn new(most: usize) -> Pipes {
        Pipes { most, out: Rc::new(()) }
    }

    /// Takes over another bound; open pipes above it go on.
    pub fn reconfigure(&mut self, most: usize) {
        self.most = most;
    }

    /// Opens a pipe. None where there may be no more, or the system has none.
    pub fn open(&self) -> Option<Pipe> {
        if Rc::strong_count(&self.out) > self.most {
            return None;
        }
        let (read, write) = pipe_with(PipeFlags::NONBLOCK | PipeFlags::CLOEXEC).ok()?;
        Some(Pipe { read, write, held: 0, _counted: Rc::clone(&self.out) })
    }
}

/// A pipe.
pub struct Pipe {
    read: OwnedFd,
    write: OwnedFd,
    held: usize,
    _counted: Rc<()>,
}

impl Pipe {
    /// Bytes in it.
    pub fn held(&self) -> usize {
        self.held
    }
}

/// Never blocks; pages may be moved in place of copied.
const SPLICE_FLAGS: SpliceFlags = SpliceFlags::NONBLOCK.union(SpliceFlags::MOVE);

impl Conn {
    /// Moves `most` bytes at most into a pipe. Returns how many, and whether there may be more at once. Not for TLS, and only
    /// while `rx` is empty.
    pub fn splice_in(&mut self, pipe: &mut Pipe, most: usize) -> (usize, bool) {
        while !(self.eof || self.broken) {
            match splice(
                &*self.stream,
                None,
                &pipe.write,
                None,
                most.min(PIPE_CAPACITY_BYTES - pipe.held),
                SPLICE_FLAGS,
            ) {
                Ok(0) => self.eof = true,
                Ok(count) => {
                    pipe.held += count;
                    return (count, true);
                }
                Err(Errno::AGAIN) => break,
                Err(Errno::INTR) => {}
                Err(_) => self.broken = true,
            }
        }
        (0, false)
    }

    /// Moves the bytes of a pipe to the peer as far as it takes them. Returns how many. Only while `tx` is empty.
    pub fn splice_out(&mut self, pipe: &mut Pipe) -> usize {
        let mut taken = 0;
        while pipe.held > 0 && !(self.broken || self.takes_nothing) {
            match splice(&pipe.read, None, &*self.stream, None, pipe.held, SPLICE_FLAGS) {
                Ok(count) if count > 0 => {
                    pipe.held -= count;
                    taken += count;
                }
                Err(Errno::AGAIN) => break,
                Err(Errno::INTR) => {}
                _ => self.takes_nothing = true,
            }
        }
        self.sent += taken as u64;
        taken
    }
}
