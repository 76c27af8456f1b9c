//! The small form of the experiment `soak`, and single faults of system calls against one dispatcher.

use std::thread;

use micabeam_rig::soak::{Plan, SteadyRun, experiment, steady};

/// Dispatchers lose their zone and return with old lists, servers drain, discovery is down, processes are told to end, stopped
/// and killed, while system calls fail. Both seeds broke the drain rule before the freshness of the list had an owner (19 and
/// 8 times), and one had a process that used a whole core while the system refused to accept.
#[test]
fn dispatchers_keep_every_rule_while_lists_processes_and_system_calls_go_wrong() {
    let runs = [3, 4].map(|seed| {
        thread::spawn(move || experiment(&Plan { dispatchers: 6, seconds: 60, seed, binary: None }).unwrap())
    });
    for run in runs {
        let figures = run.join().unwrap();
        println!("{figures}");
        figures.verify().unwrap();
    }
}

/// Serves for some seconds under a fault: every request is answered, nearly all are served, and no core is used for nothing.
fn serves_under(call_faults: &str, seed: u64) {
    let SteadyRun { figures, cpu_s } = steady(call_faults, 5, seed).unwrap();
    println!("{call_faults}: {figures} cpu_s={cpu_s:.2}");
    figures.verify().unwrap();
    let unserved = figures.requests - figures.served - figures.left;
    assert!(unserved * 50 <= figures.requests, "{call_faults}: {unserved} not served, {figures}");
    assert!(cpu_s < 0.5, "{call_faults}: {cpu_s:.2} s of processor time in 5 s");
}

/// Guards against a listener that is told at each turn while the system refuses to accept, and against a loop inside one call.
/// The faults last for moments, so that what waits can still be answered in its time.
#[test]
fn a_listener_that_cannot_accept_uses_no_core() {
    for (seed, errno) in
        ["ENFILE", "EMFILE", "EPROTO", "ECONNABORTED", "EINTR", "ENOBUFS"].into_iter().enumerate()
    {
        let moments = [1000, 1800, 2600, 3400];
        let faults = moments.map(|from| format!("fail=accept,{errno},1,{from},{}", from + 400));
        serves_under(&faults.join(";"), 100 + seed as u64);
    }
}

/// Guards against an interrupted look at a connection that is taken for a broken one.
#[test]
fn interrupted_and_short_calls_break_no_connection() {
    serves_under("fail=recv,EINTR,0.5,0,1e9", 110);
    serves_under("fail=send,EINTR,0.5,0,1e9", 111);
    serves_under("short=recv,3,0,1e9;short=send,3,0,1e9", 112);
}

/// Deadlines, windows and waits are spans of real time.
#[test]
fn a_wall_clock_that_steps_changes_nothing() {
    serves_under("step=3600000,1500", 120);
    serves_under("step=-3600000,1500", 121);
}

/// Guards against an endpoint that is given up for what this machine could not do for a moment.
#[test]
fn sockets_that_cannot_be_had_for_a_moment_lose_no_request() {
    serves_under("fail=socket,ENOBUFS,0.3,1000,2000;fail=connect,EADDRNOTAVAIL,0.3,1000,2000", 130);
    serves_under("fail=connect,ENETUNREACH,0.1,1000,3000", 131);
}
