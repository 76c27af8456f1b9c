//! Integration tests of processes whose watch of the endpoint list falls silent, against a scripted discovery service.

#[path = "common/net.rs"]
mod net;

use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use net::*;

/// Serves the discovery calls of one process and leaves its first long poll unanswered. Returns the wait of that long poll,
/// the time from it to the next call, and the head of the next call.
fn silent_watch(listener: &TcpListener, list: &str) -> (Duration, Duration, String) {
    let mut watch = Http::accept(listener);
    confirm_list(&mut watch);
    let (head, _) = watch.read();
    let polled_at = Instant::now();
    let wait = head.split("timeout_ms=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    let wait = Duration::from_millis(wait.unwrap_or(0));
    // Nothing more is sent on this connection, and it stays open, as after the loss of a machine on the network path.
    let mut next = Http::accept(listener);
    let (head, _) = next.read();
    let after = polled_at.elapsed();
    next.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
    let (following, _) = next.read();
    drop(watch);
    assert!(following.contains("since=9"), "the call does not continue from version 9: {following}");
    (wait, after, head)
}

/// Guards against dispatchers that notice a silent watch only after a minute, and against a long pause between the timeout
/// and the next call. Changes missed by a silent watch count as announced 2 s after the end of its wait, and a drain must be
/// applied 2 s later. The calls of the whole fleet together stay below the rate that discovery can process.
#[test]
fn dispatchers_of_a_fleet_of_thirty_call_again_soon_after_the_wait_of_a_silent_watch() {
    let started: Vec<_> = (0..6)
        .map(|number| {
            let (discovery_listener, discovery) = listener();
            let (server, dial) = listener();
            let config = config(128, discovery, &[("s-1", dial)])
                .replace(
                    r#""balancers": 1, "myNumber": 0"#,
                    &format!(r#""balancers": 30, "myNumber": {number}"#),
                )
                .replace("5eed", &format!("{number}"));
            let mut program = Program::start(Some(&config), None);
            program.read_address();
            // Indented: a list may contain whitespace.
            let list = format!(
                "{{\n  \"seq\": 9,\n  \"whole\": false,\n  \"hosts\": [\n    {}\n  ]\n}}\n",
                host("s-1", dial, "draining").replace(", ", ",\n      ")
            );
            let watcher = thread::spawn(move || silent_watch(&discovery_listener, &list));
            (program, server, watcher)
        })
        .collect();
    let mut waits = Vec::new();
    for (program, _server, watcher) in started {
        let (wait, after, head) = watcher.join().unwrap();
        assert!(wait <= Duration::from_millis(7200), "{wait:?}");
        assert!(after >= wait, "the next call came {after:?} after a long poll with a wait of {wait:?}");
        assert!(after <= wait + Duration::from_millis(2600), "{after:?} after a wait of {wait:?}");
        assert!(head.contains("since=7"), "the call does not ask for the changes after version 7: {head}");
        waits.push(wait.as_secs_f64());
        drop(program);
    }
    let mean = waits.iter().sum::<f64>() / waits.len() as f64;
    assert!(30.0 / mean < 1000.0 / 80.0, "thirty dispatchers make {} calls a second", 30.0 / mean);
}

/// Sends an answer of discovery.
fn send_list(watch: &mut Http, seq: u64, whole: bool, hosts: &str) {
    let body = format!(r#"{{"seq": {seq}, "whole": {whole}, "hosts": [{hosts}]}}"#);
    watch.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
}

/// If an agent pushes the lists, the list that it has counts as received from the start of the process, whether or not a
/// watch is open. Guards against a process that waits for the router to request a call, which it never does with an agent,
/// and against a process that misses a drain because it does not call again after the agent was silent or briefly away.
#[test]
fn agent_is_watched_from_the_start_and_called_again_soon_after_silence_or_a_closed_connection() {
    let ((agent, agent_address), (one, dial_one), (two, dial_two)) = (listener(), listener(), listener());
    let hosts = [("s-1", dial_one), ("s-2", dial_two)];
    let mut program =
        Program::start(Some(&config(256, agent_address, &hosts).replace("subscribe", "automatic")), None);
    let address = program.read_address();
    let mut watch = Http::accept(&agent);
    assert!(watch.read().0.starts_with("GET /discovery/hosts?since=7&"));
    // The agent sends nothing more on this connection. The process calls again on a new one, which the agent closes at once.
    let polled_at = Instant::now();
    let mut second = Http::accept(&agent);
    assert!(polled_at.elapsed() < Duration::from_millis(2500), "{:?}", polled_at.elapsed());
    assert!(second.read().0.contains("since=7&"));
    let closed_at = Instant::now();
    let mut third = second.accept_after(&agent);
    assert!(closed_at.elapsed() < Duration::from_millis(1500), "{:?}", closed_at.elapsed());
    assert!(third.read().0.contains("since=7&"));
    send_list(&mut third, 8, false, &host("s-1", dial_one, "draining"));
    assert!(third.read().0.contains("since=8&"));
    one.set_nonblocking(true).unwrap();
    for number in 0..4 {
        let (mut client, id) = (Http::connect(address), format!("p{number}"));
        client.submit("confirm-booking", &id);
        let mut job = Http::accept(&two);
        job.read();
        accept_closing_and_finish(&mut job, address, &id, "s-2");
        assert!(client.read().0.starts_with("HTTP/1.1 200"));
    }
    assert!(one.accept().is_err(), "a draining server was sent a job");
}

/// Accepts a job, announces the end of its connection, and calls back with the result on another one.
fn accept_closing_and_finish(job: &mut Http, address: std::net::SocketAddr, id: &str, from: &str) {
    job.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    Http::connect(address).call_back(id, from, "done", "ok");
}
