//! The fault plan, parsed from `MICABEAM_FAULTS`: a list of entries separated by semicolons.
//!
//! | entry | effect |
//! | --- | --- |
//! | `seed=N` | seeds the random choice of the calls that fail |
//! | `fail=CALL,ERRNO,SHARE,FROM_MS,UNTIL_MS` | a fraction `SHARE` of the calls fails, between two times since the start |
//! | `short=CALL,BYTES,FROM_MS,UNTIL_MS` | the call transfers at most `BYTES` bytes, between two times since the start |
//! | `step=MS,FROM_MS` | the wall clock is off by `MS` milliseconds from the given time on |
//! | `dir=PATH` | directory of the files for which `write`, `fsync`, `fdatasync` and `rename` can fail |

use std::ffi::CString;
use std::os::raw::c_int;
use std::sync::atomic::{AtomicU64, Ordering};

/// System calls that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept4`.
    Accept,
    /// `connect`.
    Connect,
    /// `socket`.
    Socket,
    /// `recv`, also with `MSG_PEEK`.
    Recv,
    /// `send`.
    Send,
    /// `write` to a file in the plan's directory.
    Write,
    /// `fsync` and `fdatasync` of a file in the plan's directory.
    Sync,
    /// `rename` to a path in the plan's directory.
    Rename,
}

/// A fraction of calls that fails between two times.
#[derive(Clone, Copy, Debug)]
struct Failure {
    call: Call,
    errno: c_int,
    share: f64,
    from_ms: f64,
    until_ms: f64,
}

/// A limit on the bytes that a call transfers between two times.
#[derive(Clone, Copy, Debug)]
struct ShortTransfer {
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

/// The faults to inject.
#[derive(Debug, Default)]
pub struct Plan {
    failures: Vec<Failure>,
    short_transfers: Vec<ShortTransfer>,
    steps: Vec<Step>,
    /// Directory of the files for which file operations can fail; if `None`, none of them fails.
    pub dir: Option<CString>,
    rng_state: AtomicU64,
}

impl Plan {
    /// Parses a plan; returns `None` if an entry is malformed.
    pub fn parse(text: &str) -> Option<Plan> {
        let mut plan = Plan { rng_state: AtomicU64::new(1), ..Plan::default() };
        for entry in text.split(';').map(str::trim).filter(|entry| !entry.is_empty()) {
            plan.add(entry)?;
        }
        Some(plan)
    }

    fn add(&mut self, entry: &str) -> Option<()> {
        let (kind, values) = entry.split_once('=')?;
        let fields: Vec<&str> = values.split(',').collect();
        let number = |at: usize| fields.get(at)?.parse::<f64>().ok();
        match kind {
            "seed" => self.rng_state = AtomicU64::new(values.parse::<u64>().ok()?.wrapping_mul(2) | 1),
            "dir" => self.dir = Some(CString::new(values).ok()?),
            "step" => self.steps.push(Step { by_ms: number(0)?, from_ms: number(1)? }),
            "short" => self.short_transfers.push(ShortTransfer {
                call: parse_call(fields.first()?)?,
                bytes: number(1)? as usize,
                from_ms: number(2)?,
                until_ms: number(3)?,
            }),
            "fail" => self.failures.push(Failure {
                call: parse_call(fields.first()?)?,
                errno: parse_errno(fields.get(1)?)?,
                share: number(2)?,
                from_ms: number(3)?,
                until_ms: number(4)?,
            }),
            _ => return None,
        }
        Some(())
    }

    /// Returns the error with which a call must fail now, if any.
    pub fn failure(&self, call: Call, now_ms: f64) -> Option<c_int> {
        let is_active = |f: &&Failure| f.call == call && (f.from_ms..f.until_ms).contains(&now_ms);
        let failure = self.failures.iter().find(is_active)?;
        (self.random_fraction() < failure.share).then_some(failure.errno)
    }

    /// Returns the maximum number of bytes that a call may transfer now.
    pub fn max_bytes(&self, call: Call, now_ms: f64) -> usize {
        let is_active = |s: &&ShortTransfer| s.call == call && (s.from_ms..s.until_ms).contains(&now_ms);
        self.short_transfers.iter().find(is_active).map_or(usize::MAX, |short| short.bytes.max(1))
    }

    /// Returns the current offset of the wall clock, in milliseconds.
    pub fn clock_step_ms(&self, now_ms: f64) -> f64 {
        self.steps.iter().filter(|step| now_ms >= step.from_ms).map(|step| step.by_ms).sum()
    }

    /// Returns a pseudo-random number between 0 and 1 from the seed (splitmix64).
    fn random_fraction(&self) -> f64 {
        const GOLDEN_GAMMA: u64 = 0x9E37_79B9_7F4A_7C15;
        let mut bits = self.rng_state.fetch_add(GOLDEN_GAMMA, Ordering::Relaxed);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn parse_call(name: &str) -> Option<Call> {
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

fn parse_errno(name: &str) -> Option<c_int> {
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
