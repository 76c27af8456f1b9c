//! Injects system call faults for tests. Loaded into the real program by `LD_PRELOAD`, it interposes functions of the C
//! library and makes some calls fail as described by `MICABEAM_FAULTS` (see `plan`).
//!
//! Calls that bypass the C library cannot be intercepted here: the program's `epoll` calls and its reads of the boot clock,
//! which `rustix` makes directly. The page on the incident lists them as not tested.

mod plan;

use std::os::raw::{c_char, c_int, c_void};
use std::sync::OnceLock;

use libc::{clockid_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use plan::{Call, Plan};

/// Returns the fault plan, and the monotonic time in milliseconds of the first intercepted call.
fn state() -> &'static (Plan, f64) {
    static STATE: OnceLock<(Plan, f64)> = OnceLock::new();
    STATE.get_or_init(|| {
        let text = std::env::var("MICABEAM_FAULTS").unwrap_or_default();
        // A test must not pass because its plan could not be parsed and no faults were injected. Nothing can be printed
        // here: the intercepted `write` would request the plan again.
        let plan = Plan::parse(&text).unwrap_or_else(|| std::process::abort());
        (plan, monotonic_ms())
    })
}

/// Returns the next definition of a function after the one in this library, in the order of the dynamic linker.
macro_rules! next_definition {
    ($name:literal, $kind:ty) => {{
        static NEXT: OnceLock<usize> = OnceLock::new();
        // SAFETY: the name is a C string, and RTLD_NEXT is a valid handle for dlsym.
        let address = *NEXT.get_or_init(|| unsafe { libc::dlsym(libc::RTLD_NEXT, $name.as_ptr()) } as usize);
        assert!(address != 0, "the C library lacks a function");
        // SAFETY: the C library defines the function under this name with this signature.
        unsafe { std::mem::transmute::<usize, $kind>(address) }
    }};
}

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

fn monotonic_ms() -> f64 {
    let real = next_definition!(c"clock_gettime", ClockGettime);
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is a timespec that outlives the call.
    unsafe { real(libc::CLOCK_MONOTONIC, &raw mut time) };
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

fn since_start_ms() -> f64 {
    monotonic_ms() - state().1
}

fn fail_with(errno: c_int) -> c_int {
    // SAFETY: the pointer refers to this thread's errno.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Returns the error with which a call must fail now, if any.
fn injected_error(call: Call) -> Option<c_int> {
    state().0.failure(call, since_start_ms())
}

/// Returns the number of bytes that a call may transfer now.
fn limit_length(call: Call, length: size_t) -> size_t {
    length.min(state().0.max_bytes(call, since_start_ms()))
}

/// Whether a path lies in the plan's directory (`dir=PATH`).
fn is_in_fault_dir(path: &[u8]) -> bool {
    state().0.dir.as_ref().is_some_and(|dir| path.starts_with(dir.as_bytes()))
}

/// Whether a descriptor refers to a file in that directory.
fn is_file_in_fault_dir(descriptor: c_int) -> bool {
    if state().0.dir.is_none() {
        return false;
    }
    let link = std::fs::read_link(format!("/proc/self/fd/{descriptor}"));
    link.is_ok_and(|path| is_in_fault_dir(path.as_os_str().as_encoded_bytes()))
}

/// Interposes the C library's function of this name.
///
/// # Safety
/// The requirements of the C library's function apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let real = next_definition!(c"clock_gettime", ClockGettime);
    // SAFETY: the caller's arguments are passed on unchanged.
    let result = unsafe { real(clock, time) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let step_ms = state().0.clock_step_ms(since_start_ms());
        // SAFETY: the call has succeeded, so `time` can be read and written.
        unsafe { (*time).tv_sec += (step_ms / 1e3) as libc::time_t };
    }
    result
}

/// Interposes the C library's function of this name.
///
/// # Safety
/// The requirements of the C library's function apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    descriptor: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(errno) = injected_error(Call::Accept) {
        return fail_with(errno);
    }
    let real = next_definition!(
        c"accept4",
        unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int
    );
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { real(descriptor, address, length, flags) }
}

/// Interposes the C library's function of this name.
///
/// # Safety
/// The requirements of the C library's function apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(errno) = injected_error(Call::Connect) {
        return fail_with(errno);
    }
    let real = next_definition!(c"connect", unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { real(descriptor, address, length) }
}

/// Interposes the C library's function of this name.
///
/// # Safety
/// The requirements of the C library's function apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(errno) = injected_error(Call::Socket) {
        return fail_with(errno);
    }
    let real = next_definition!(c"socket", unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { real(domain, kind, protocol) }
}

/// Interposes the C library's function of this name.
///
/// # Safety
/// The requirements of the C library's function apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    bytes: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if let Some(errno) = injected_error(Call::Recv) {
        return fail_with(errno) as ssize_t;
    }
    let real = next_definition!(c"recv", unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller's arguments are passed on, with a length that is at most the caller's.
    unsafe { real(descriptor, bytes, limit_length(Call::Recv, length), flags) }
}

/// Interposes the C library's function of this name.
///
/// # Safety
/// The requirements of the C library's function apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    bytes: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if let Some(errno) = injected_error(Call::Send) {
        return fail_with(errno) as ssize_t;
    }
    let real =
        next_definition!(c"send", unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller's arguments are passed on, with a length that is at most the caller's.
    unsafe { real(descriptor, bytes, limit_length(Call::Send, length), flags) }
}

/// Interposes the C library's function of this name.
///
/// # Safety
/// The requirements of the C library's function apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    let real = next_definition!(c"write", unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    if is_file_in_fault_dir(descriptor)
        && let Some(errno) = injected_error(Call::Write)
    {
        // Half of the buffer is written first, since a failed write may leave a partial one behind.
        // SAFETY: the caller's buffer has at least `length` bytes.
        unsafe { real(descriptor, bytes, length / 2) };
        return fail_with(errno) as ssize_t;
    }
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { real(descriptor, bytes, length) }
}

fn injected_sync_error(descriptor: c_int) -> Option<c_int> {
    if is_file_in_fault_dir(descriptor) { injected_error(Call::Sync) } else { None }
}

/// Interposes the C library's function of this name.
///
/// # Safety
/// The requirements of the C library's function apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if let Some(errno) = injected_sync_error(descriptor) {
        return fail_with(errno);
    }
    let real = next_definition!(c"fsync", unsafe extern "C" fn(c_int) -> c_int);
    // SAFETY: the caller's argument is passed on unchanged.
    unsafe { real(descriptor) }
}

/// Interposes the C library's function of this name.
///
/// # Safety
/// The requirements of the C library's function apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if let Some(errno) = injected_sync_error(descriptor) {
        return fail_with(errno);
    }
    let real = next_definition!(c"fdatasync", unsafe extern "C" fn(c_int) -> c_int);
    // SAFETY: the caller's argument is passed on unchanged.
    unsafe { real(descriptor) }
}

/// Interposes the C library's function of this name.
///
/// # Safety
/// The requirements of the C library's function apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller passes a C string.
    let target = unsafe { std::ffi::CStr::from_ptr(to) };
    if is_in_fault_dir(target.to_bytes())
        && let Some(errno) = injected_error(Call::Rename)
    {
        return fail_with(errno);
    }
    let real = next_definition!(c"rename", unsafe extern "C" fn(*const c_char, *const c_char) -> c_int);
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { real(from, to) }
}
