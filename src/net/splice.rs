//! Kernel pipes that move bytes from one socket to another with Linux's `splice`, without copying them into
//! the process. Uses rustix's safe wrappers.

use std::os::fd::OwnedFd;
use std::rc::Rc;

use rustix::io::Errno;
use rustix::pipe::{PipeFlags, SpliceFlags, pipe_with, splice};

use super::Conn;

/// Capacity of a pipe in bytes: the system default, 16 pages of 4 KiB.
pub const PIPE_CAPACITY_BYTES: usize = 64 * 1024;

/// Opens pipes up to a limit. Each pipe takes two descriptors and `PIPE_CAPACITY_BYTES` bytes of kernel
/// memory.
#[derive(Clone)]
pub struct Pipes {
    max_open: usize,
    open_count: Rc<()>,
}

impl Pipes {
    /// Allows up to `max_open` open pipes; 0 allows none.
    pub fn new(max_open: usize) -> Pipes {
        Pipes { max_open, open_count: Rc::new(()) }
    }

    /// Replaces the limit. Pipes that are already open stay open.
    pub fn reconfigure(&mut self, max_open: usize) {
        self.max_open = max_open;
    }

    /// Opens a pipe. Returns `None` if the limit is reached or the system refuses.
    pub fn open(&self) -> Option<Pipe> {
        if Rc::strong_count(&self.open_count) > self.max_open {
            return None;
        }
        let (read, write) = pipe_with(PipeFlags::NONBLOCK | PipeFlags::CLOEXEC).ok()?;
        Some(Pipe { read, write, held: 0, _open_count: Rc::clone(&self.open_count) })
    }
}

/// A pipe that holds bytes on their way from one socket to another.
pub struct Pipe {
    read: OwnedFd,
    write: OwnedFd,
    held: usize,
    _open_count: Rc<()>,
}

impl Pipe {
    /// Returns the number of bytes in the pipe.
    pub fn held(&self) -> usize {
        self.held
    }
}

/// Never block; let the kernel move pages instead of copying them.
const SPLICE_FLAGS: SpliceFlags = SpliceFlags::NONBLOCK.union(SpliceFlags::MOVE);

impl Conn {
    /// Moves up to `max_bytes` bytes from the socket into a pipe. Returns how many, and whether there may be
    /// more at once. Not for TLS, and only while `rx` is empty.
    pub fn splice_in(&mut self, pipe: &mut Pipe, max_bytes: usize) -> (usize, bool) {
        while !(self.eof || self.broken) {
            match splice(
                &*self.stream,
                None,
                &pipe.write,
                None,
                max_bytes.min(PIPE_CAPACITY_BYTES - pipe.held),
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

    /// Moves the bytes of a pipe to the socket until it would block. Returns how many. Only while `tx` is
    /// empty.
    pub fn splice_out(&mut self, pipe: &mut Pipe) -> usize {
        let mut written = 0;
        while pipe.held > 0 && !(self.broken || self.write_failed) {
            match splice(&pipe.read, None, &*self.stream, None, pipe.held, SPLICE_FLAGS) {
                Ok(count) if count > 0 => {
                    pipe.held -= count;
                    written += count;
                }
                Err(Errno::AGAIN) => break,
                Err(Errno::INTR) => {}
                _ => self.write_failed = true,
            }
        }
        self.sent += written as u64;
        written
    }
}
