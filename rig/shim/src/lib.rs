//! Faults of system calls for tests: loaded into the real program by `LD_PRELOAD`, it stands in for functions of the C
//! library and makes some of their calls fail as `MICABEAM_FAULTS` says (`plan`).
//!
//! It owns no policy: which calls fail is the plan's. Calls that go past the C library are not seen here, as the program's
//! `epoll` calls and its boot clock, which `rustix` makes itself; the incident's page names them as not tested.

mod plan;

use std::os::raw::{c_char, c_int, c_void};
use std::sync::OnceLock;

use libc::{clockid_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use plan::{Call, Plan};

/// The plan, and when this process was first seen, in milliseconds of the monotonic clock.
fn state() -> &'static (Plan, f64) {
    static STATE: OnceLock<(Plan, f64)> = OnceLock::new();
    STATE.get_or_init(|| {
        let text = std::env::var("MICABEAM_FAULTS").unwrap_or_default();
        // A test whose plan does not read must not pass for want of faults. Nothing can be printed from here: a write would
        // ask for the plan.
        let plan = Plan::parse(&text).unwrap_or_else(|| std::process::abort());
        (plan, monotonic_ms())
    })
}

/// The next definition of a function after this one, as the dynamic linker finds it.
macro_rules! next {
    ($name:literal, $kind:ty) => {{
        static NEXT: OnceLock<usize> = OnceLock::new();
        // SAFETY: the name is a C string, and RTLD_NEXT is a handle that dlsym knows.
        let address = *NEXT.get_or_init(|| unsafe { libc::dlsym(libc::RTLD_NEXT, $name.as_ptr()) } as usize);
        assert!(address != 0, "the C library lacks a function");
        // SAFETY: the C library defines the function under this name with this signature.
        unsafe { std::mem::transmute::<usize, $kind>(address) }
    }};
}

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

fn monotonic_ms() -> f64 {
    let real = next!(c"clock_gettime", ClockGettime);
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is a timespec that outlives the call.
    unsafe { real(libc::CLOCK_MONOTONIC, &raw mut time) };
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

fn since_start_ms() -> f64 {
    monotonic_ms() - state().1
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: the location is this thread's errno.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// The error with which a call is to fail now.
fn failure(call: Call) -> Option<c_int> {
    state().0.failure(call, since_start_ms())
}

/// The bytes that a call may move now.
fn bounded(call: Call, length: size_t) -> size_t {
    length.min(state().0.most_bytes(call, since_start_ms()))
}

/// Whether a path lies in the folder whose files fail.
fn is_in_dir(path: &[u8]) -> bool {
    state().0.dir.as_ref().is_some_and(|dir| path.starts_with(dir.as_bytes()))
}

/// Whether a descriptor is of a file in that folder.
fn is_file_in_dir(descriptor: c_int) -> bool {
    if state().0.dir.is_none() {
        return false;
    }
    let link = std::fs::read_link(format!("/proc/self/fd/{descriptor}"));
    link.is_ok_and(|path| is_in_dir(path.as_os_str().as_encoded_bytes()))
}

/// # Safety
/// As of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let real = next!(c"clock_gettime", ClockGettime);
    // SAFETY: the caller's arguments are passed on as they came.
    let result = unsafe { real(clock, time) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let step_ms = state().0.clock_step_ms(since_start_ms());
        // SAFETY: the call has succeeded, so that `time` can be read and written.
        unsafe { (*time).tv_sec += (step_ms / 1e3) as libc::time_t };
    }
    result
}

/// # Safety
/// As of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    descriptor: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(errno) = failure(Call::Accept) {
        return fail(errno);
    }
    let real = next!(c"accept4", unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    // SAFETY: the caller's arguments are passed on as they came.
    unsafe { real(descriptor, address, length, flags) }
}

/// # Safety
/// As of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(errno) = failure(Call::Connect) {
        return fail(errno);
    }
    let real = next!(c"connect", unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    // SAFETY: the caller's arguments are passed on as they came.
    unsafe { real(descriptor, address, length) }
}

/// # Safety
/// As of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(errno) = failure(Call::Socket) {
        return fail(errno);
    }
    let real = next!(c"socket", unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    // SAFETY: the caller's arguments are passed on as they came.
    unsafe { real(domain, kind, protocol) }
}

/// # Safety
/// As of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    bytes: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if let Some(errno) = failure(Call::Recv) {
        return fail(errno) as ssize_t;
    }
    let real = next!(c"recv", unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller's arguments are passed on, the length no longer than it was.
    unsafe { real(descriptor, bytes, bounded(Call::Recv, length), flags) }
}

/// # Safety
/// As of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    bytes: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if let Some(errno) = failure(Call::Send) {
        return fail(errno) as ssize_t;
    }
    let real = next!(c"send", unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller's arguments are passed on, the length no longer than it was.
    unsafe { real(descriptor, bytes, bounded(Call::Send, length), flags) }
}

/// # Safety
/// As of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    let real = next!(c"write", unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    if is_file_in_dir(descriptor)
        && let Some(errno) = failure(Call::Write)
    {
        // Half of it is written first: a write that fails may leave a part behind.
        // SAFETY: the caller's buffer has at least so many bytes.
        unsafe { real(descriptor, bytes, length / 2) };
        return fail(errno) as ssize_t;
    }
    // SAFETY: the caller's arguments are passed on as they came.
    unsafe { real(descriptor, bytes, length) }
}

fn sync_failure(descriptor: c_int) -> Option<c_int> {
    if is_file_in_dir(descriptor) { failure(Call::Sync) } else { None }
}

/// # Safety
/// As of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if let Some(errno) = sync_failure(descriptor) {
        return fail(errno);
    }
    let real = next!(c"fsync", unsafe extern "C" fn(c_int) -> c_int);
    // SAFETY: the caller's argument is passed on as it came.
    unsafe { real(descriptor) }
}

/// # Safety
/// As of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if let Some(errno) = sync_failure(descriptor) {
        return fail(errno);
    }
    let real = next!(c"fdatasync", unsafe extern "C" fn(c_int) -> c_int);
    // SAFETY: the caller's argument is passed on as it came.
    unsafe { real(descriptor) }
}

/// # Safety
/// As of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller hands in a C string.
    let target = unsafe { std::ffi::CStr::from_ptr(to) };
    if is_in_dir(target.to_bytes())
        && let Some(errno) = failure(Call::Rename)
    {
        return fail(errno);
    }
    let real = next!(c"rename", unsafe extern "C" fn(*const c_char, *const c_char) -> c_int);
    // SAFETY: the caller's arguments are passed on as they came.
    unsafe { real(from, to) }
}
