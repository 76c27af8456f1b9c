//! The plan of faults, read from `MICABEAM_FAULTS`: entries with semicolons between them.
//!
//! | entry | what it does |
//! | --- | --- |
//! | `seed=N` | which calls of a share fail |
//! | `fail=CALL,ERRNO,SHARE,FROM_MS,UNTIL_MS` | so large a share of the calls fails, between two times since the start |
//! | `short=CALL,BYTES,FROM_MS,UNTIL_MS` | reads or writes move so many bytes at most |
//! | `step=MS,FROM_MS` | the wall clock differs by so much from a time on |
//! | `dir=PATH` | `write`, `fsync`, `fdatasync` and `rename` fail for files below it alone |

use std::ffi::CString;
use std::os::raw::c_int;
use std::sync::atomic::{AtomicU64, Ordering};

/// Calls that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept4`.
    Accept,
    /// `connect`.
    Connect,
    /// `socket`.
    Socket,
    /// `recv`, also where it only looks.
    Recv,
    /// `send`.
    Send,
    /// `write`, to a file.
    Write,
    /// `fsync` and `fdatasync`.
    Sync,
    /// `rename`.
    Rename,
}

/// A fault of calls between two times.
#[derive(Clone, Copy, Debug)]
struct Failure {
    call: Call,
    errno: c_int,
    share: f64,
    from_ms: f64,
    until_ms: f64,
}

/// A bound on the bytes of a call between two times.
#[derive(Clone, Copy, Debug)]
struct Short {
    call: Call,
    bytes: usize,
    from_ms: f64,
    until_ms: f64,
}

/// A step of the wall clock.
#[derive(Clone, Copy, Debug)]
struct Step {
    by_ms: f64,
    from_ms: f64,
}

/// All that is to go wrong.
#[derive(Debug, Default)]
pub struct Plan {
    failures: Vec<Failure>,
    shorts: Vec<Short>,
    steps: Vec<Step>,
    /// The folder whose files fail.
    pub dir: Option<CString>,
    draws: AtomicU64,
}

impl Plan {
    /// Reads a plan; none where an entry does not read.
    pub fn parse(text: &str) -> Option<Plan> {
        let mut plan = Plan { draws: AtomicU64::new(1), ..Plan::default() };
        for entry in text.split(';').map(str::trim).filter(|entry| !entry.is_empty()) {
            plan.add(entry)?;
        }
        Some(plan)
    }

    fn add(&mut self, entry: &str) -> Option<()> {
        let (kind, values) = entry.split_once('=')?;
        let fields: Vec<&str> = values.split(',').collect();
        let figure = |at: usize| fields.get(at)?.parse::<f64>().ok();
        match kind {
            "seed" => self.draws = AtomicU64::new(values.parse::<u64>().ok()?.wrapping_mul(2) | 1),
            "dir" => self.dir = Some(CString::new(values).ok()?),
            "step" => self.steps.push(Step { by_ms: figure(0)?, from_ms: figure(1)? }),
            "short" => self.shorts.push(Short {
                call: call(fields.first()?)?,
                bytes: figure(1)? as usize,
                from_ms: figure(2)?,
                until_ms: figure(3)?,
            }),
            "fail" => self.failures.push(Failure {
                call: call(fields.first()?)?,
                errno: errno(fields.get(1)?)?,
                share: figure(2)?,
                from_ms: figure(3)?,
                until_ms: figure(4)?,
            }),
            _ => return None,
        }
        Some(())
    }

    /// The error with which a call is to fail now, if it is to.
    pub fn failure(&self, call: Call, now_ms: f64) -> Option<c_int> {
        let is_due = |f: &&Failure| f.call == call && (f.from_ms..f.until_ms).contains(&now_ms);
        let failure = self.failures.iter().find(is_due)?;
        (self.draw() < failure.share).then_some(failure.errno)
    }

    /// Most bytes that a call may move now.
    pub fn most_bytes(&self, call: Call, now_ms: f64) -> usize {
        let is_due = |s: &&Short| s.call == call && (s.from_ms..s.until_ms).contains(&now_ms);
        self.shorts.iter().find(is_due).map_or(usize::MAX, |short| short.bytes.max(1))
    }

    /// By how much the wall clock differs now, in milliseconds.
    pub fn clock_step_ms(&self, now_ms: f64) -> f64 {
        self.steps.iter().filter(|step| now_ms >= step.from_ms).map(|step| step.by_ms).sum()
    }

    /// A number from 0 to 1, by the seed (splitmix64).
    fn draw(&self) -> f64 {
        const GOLDEN_GAMMA: u64 = 0x9E37_79B9_7F4A_7C15;
        let mut bits = self.draws.fetch_add(GOLDEN_GAMMA, Ordering::Relaxed);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn call(name: &str) -> Option<Call> {
    Some(match name {
        "accept" => Call::Accept,
        "connect" => Call::Connect,
        "socket" => Call::Socket,
        "recv" => Call::Recv,
        "send" => Call::Send,
        "write" => Call::Write,
        "sync" => Call::Sync,
        "rename" => Call::Rename,
        _ => return None,
    })
}

fn errno(name: &str) -> Option<c_int> {
    Some(match name {
        "EINTR" => libc::EINTR,
        "EMFILE" => libc::EMFILE,
        "ENFILE" => libc::ENFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "ENOMEM" => libc::ENOMEM,
        "EPROTO" => libc::EPROTO,
        "ECONNABORTED" => libc::ECONNABORTED,
        "ECONNREFUSED" => libc::ECONNREFUSED,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ENETUNREACH" => libc::ENETUNREACH,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        "ENOSPC" => libc::ENOSPC,
        "EIO" => libc::EIO,
        _ => return None,
    })
}
