//! Stories of a watch of the list that falls silent, with several real processes at one discovery service.

#[path = "common/net.rs"]
mod net;

use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use net::*;

/// What one process asks of discovery: the first call's wait, and how long after it the next call came.
fn silent_watch(listener: &TcpListener, list: &str) -> (Duration, Duration, String) {
    let mut watch = Http::accept(listener);
    confirm_list(&mut watch);
    let (head, _) = watch.read();
    let began = Instant::now();
    let wait = head.split("timeout_ms=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    let wait = Duration::from_millis(wait.unwrap_or(0));
    // Nothing comes on it any more, and it stays open: as where a machine between was lost.
    let mut next = Http::accept(listener);
    let (head, _) = next.read();
    let after = began.elapsed();
    next.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
    let (again, _) = next.read();
    drop(watch);
    assert!(again.contains("since=9"), "it goes on from the version that it was told: {again}");
    (wait, after, head)
}

/// What a silent watch misses counts as told 2 s after its wait is over, and a drain is to be followed 2 s later.
/// Guards against dispatchers that notice a silence only when a minute is over, and against a long pause between the
/// silence and the next call. The calls of all together stay under what discovery gets through.
#[test]
fn thirty_dispatchers_whose_watches_fall_silent_all_ask_anew_within_two_seconds_of_their_waits() {
    let started: Vec<_> = (0..6)
        .map(|number| {
            let (door, discovery) = listener();
            let (server, dial) = listener();
            let text = config(128, discovery, &[("s-1", dial)])
                .replace(
                    r#""balancers": 1, "myNumber": 0"#,
                    &format!(r#""balancers": 30, "myNumber": {number}"#),
                )
                .replace("5eed", &format!("{number}"));
            let mut program = Program::start(Some(&text), None);
            program.read_address();
            // Indented, as lists may come.
            let list = format!(
                "{{\n  \"seq\": 9,\n  \"whole\": false,\n  \"hosts\": [\n    {}\n  ]\n}}\n",
                host("s-1", dial, "draining").replace(", ", ",\n      ")
            );
            let story = thread::spawn(move || silent_watch(&door, &list));
            (program, server, story)
        })
        .collect();
    let mut waits = Vec::new();
    for (program, _server, story) in started {
        let (wait, after, head) = story.join().unwrap();
        assert!(wait <= Duration::from_millis(7200), "{wait:?}");
        assert!(after >= wait, "it waits as long as it said: {after:?} of {wait:?}");
        assert!(after <= wait + Duration::from_millis(2600), "{after:?} after a wait of {wait:?}");
        assert!(head.contains("since=7"), "what it missed is asked for: {head}");
        waits.push(wait.as_secs_f64());
        drop(program);
    }
    let mean = waits.iter().sum::<f64>() / waits.len() as f64;
    assert!(30.0 / mean < 1000.0 / 80.0, "calls a second of thirty: {}", 30.0 / mean);
}

/// An answer of discovery.
fn tells(watch: &mut Http, seq: u64, whole: bool, hosts: &str) {
    let body = format!(r#"{{"seq": {seq}, "whole": {whole}, "hosts": [{hosts}]}}"#);
    watch.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
}

/// Where lists are pushed, what the agent has counts as told from the first moment of a process, whether or not a watch
/// is open. Guards against a program that waits for the module's call, which never comes there; and against an agent
/// that falls silent or is away for a moment, and then knows of a drain that nobody asks for.
#[test]
fn where_lists_are_pushed_the_agent_is_asked_from_the_start_and_again_at_once_when_it_was_silent() {
    let ((agent, at), (one, dial_one), (two, dial_two)) = (listener(), listener(), listener());
    let hosts = [("s-1", dial_one), ("s-2", dial_two)];
    let mut program = Program::start(Some(&config(256, at, &hosts).replace("subscribe", "automatic")), None);
    let address = program.read_address();
    let mut watch = Http::accept(&agent);
    assert!(watch.read().0.starts_with("GET /discovery/hosts?since=7&"));
    // It says nothing more on this one: it is asked anew, on another connection, and ends that at once.
    let began = Instant::now();
    let mut again = Http::accept(&agent);
    assert!(began.elapsed() < Duration::from_millis(2500), "{:?}", began.elapsed());
    assert!(again.read().0.contains("since=7&"));
    let began = Instant::now();
    let mut back = again.accept_after(&agent);
    assert!(began.elapsed() < Duration::from_millis(1500), "{:?}", began.elapsed());
    assert!(back.read().0.contains("since=7&"));
    tells(&mut back, 8, false, &host("s-1", dial_one, "draining"));
    assert!(back.read().0.contains("since=8&"));
    one.set_nonblocking(true).unwrap();
    for at in 0..4 {
        let (mut client, id) = (Http::connect(address), format!("p{at}"));
        client.submit("confirm-booking", &id);
        let mut job = Http::accept(&two);
        job.read();
        take_and_finish_at(&mut job, address, &id, "s-2");
        assert!(client.read().0.starts_with("HTTP/1.1 200"));
    }
    assert!(one.accept().is_err(), "a draining server was sent a job");
}

/// Takes a job on a connection that is not used again, and serves it.
fn take_and_finish_at(job: &mut Http, address: std::net::SocketAddr, id: &str, from: &str) {
    job.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    Http::connect(address).call_back(id, from, "done", "ok");
}
