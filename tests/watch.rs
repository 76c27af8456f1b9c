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
            program.address();
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
