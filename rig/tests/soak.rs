//! A short run of the `soak` experiment, and single system call faults against one dispatcher.

use std::thread;

use micabeam_rig::soak::{CallFaultRun, Plan, experiment, run_with_call_faults};

/// Guards against broken request, drain and slow-start rules while zones fail and return with old lists, servers drain,
/// discovery is down, processes are terminated, suspended and killed, and system calls fail. Before list freshness had a
/// module of its own, both seeds violated the drain rule (19 and 8 times), and one had a process that used a whole core
/// while `accept` failed.
#[test]
fn dispatchers_keep_every_rule_under_faults() {
    let runs = [3, 4].map(|seed| {
        thread::spawn(move || experiment(&Plan { dispatchers: 6, seconds: 60, seed, binary: None }).unwrap())
    });
    for run in runs {
        let figures = run.join().unwrap();
        println!("{figures}");
        figures.verify().unwrap();
    }
}

/// Runs one dispatcher for 5 s under `call_faults` and asserts that every request is answered, that nearly all are
/// served, and that the dispatcher does not spin.
fn assert_serves_under(call_faults: &str, seed: u64) {
    let CallFaultRun { figures, cpu_s } = run_with_call_faults(call_faults, 5, seed).unwrap();
    println!("{call_faults}: {figures} cpu_s={cpu_s:.2}");
    figures.verify().unwrap();
    let unserved = figures.requests - figures.served - figures.left;
    assert!(unserved * 50 <= figures.requests, "{call_faults}: {unserved} not served, {figures}");
    assert!(cpu_s < 0.5, "{call_faults}: {cpu_s:.2} s of processor time in 5 s");
}

/// Guards against a busy loop when `accept` fails: a listener stays readable and would wake the event loop on every turn,
/// or a retry could loop inside one call. Each fault lasts 400 ms, so that waiting connections can still be served before
/// their deadlines.
#[test]
fn a_listener_that_cannot_accept_does_not_spin() {
    for (seed, errno) in
        ["ENFILE", "EMFILE", "EPROTO", "ECONNABORTED", "EINTR", "ENOBUFS"].into_iter().enumerate()
    {
        let moments = [1000, 1800, 2600, 3400];
        let faults = moments.map(|from| format!("fail=accept,{errno},1,{from},{}", from + 400));
        assert_serves_under(&faults.join(";"), 100 + seed as u64);
    }
}

/// Guards against treating an interrupted or short `recv` or `send` as a broken connection.
#[test]
fn interrupted_and_short_calls_break_no_connection() {
    assert_serves_under("fail=recv,EINTR,0.5,0,1e9", 110);
    assert_serves_under("fail=send,EINTR,0.5,0,1e9", 111);
    assert_serves_under("short=recv,3,0,1e9;short=send,3,0,1e9", 112);
}

/// Guards against deadlines, windows and waits that depend on the wall clock.
#[test]
fn steps_of_the_wall_clock_change_nothing() {
    assert_serves_under("step=3600000,1500", 120);
    assert_serves_under("step=-3600000,1500", 121);
}

/// Guards against ejecting an endpoint because of a temporary local failure to open or connect a socket.
#[test]
fn temporary_socket_failures_lose_no_request() {
    assert_serves_under("fail=socket,ENOBUFS,0.3,1000,2000;fail=connect,EADDRNOTAVAIL,0.3,1000,2000", 130);
    assert_serves_under("fail=connect,ENETUNREACH,0.1,1000,3000", 131);
}
