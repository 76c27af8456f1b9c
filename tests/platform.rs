//! The platform's HTTP frontend over loopback, with scripted clients, backend servers and discovery. Each
//! test guards against one failure.

#[path = "common/net.rs"]
mod net;

use std::io::Write;

use net::*;

/// A server's call-backs arrive before its 202, and are repeated. Guards against a job that is completed
/// twice, and against the late 202 being read as the response to the next job.
#[test]
fn repeated_call_backs_before_the_202_complete_the_job_once() {
    let ((worker, dial), discovery) = (listener(), refusing_address());
    let (_program, address) = platform(discovery, &[("s-1", dial)]);
    let (mut client, mut calls) = (Http::connect(address), Http::connect(address));
    client.submit("confirm-booking", "a1");
    let mut job = Http::accept(&worker);
    let (head, body) = job.read();
    assert!(head.starts_with("POST /confirm-booking/x?y=1 HTTP/1.1"), "{head}");
    assert_eq!((header_value(&head, "req-id").as_deref(), body.as_str()), (Some("a1"), "job"));
    assert!(header_value(&head, "req-deadline").is_some_and(|d| d.ends_with('u')), "{head}");
    // A call-back from a server that was not sent the job is acknowledged and ignored.
    calls.call_back("a1", "s-9", "done", "wrong");
    calls.call_back("a1", "s-1", "started", "");
    calls.call_back("a1", "s-1", "done", "site 12");
    let (head, body) = client.read();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert_eq!(body, "site 12");
    job.send_accepted();
    // The acknowledgement shows that the gateway has read the 202 before it.
    calls.call_back("a1", "s-1", "done", "again");
    // The connection with the late 202 is reused for the next job, and no stale response is left on it.
    client.submit("confirm-booking", "a2");
    let (head, _) = job.read();
    assert_eq!(header_value(&head, "req-id").as_deref(), Some("a2"));
    job.send_accepted();
    calls.call_back("a2", "s-1", "done", "site 13");
    assert_eq!(client.read().1, "site 13");
    assert_eq!((counter(address, "taken"), counter(address, "served")), (2, 2));
}

/// Guards against a server that receives another request than the client sent. End-to-end headers, such as an
/// idempotency key, are forwarded; hop-by-hop headers are removed; headers that the gateway sets occur once.
#[test]
fn end_to_end_headers_are_forwarded_and_hop_by_hop_headers_are_not() {
    let (worker, dial) = listener();
    let (_program, address) = platform(refusing_address(), &[("s-1", dial)]);
    let mut client = Http::connect(address);
    client.write(
        "POST /avail-search/x HTTP/1.1\r\nHost: a\r\nReq-Id: k1\r\nReq-Deadline: 4000m\r\n\
         Idempotency-Key: f84ac7ad0002743a\r\nX-Of-Theirs: 1\r\nConnection: keep-alive, X-Of-One-Hop\r\n\
         X-Of-One-Hop: 2\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\njob",
    );
    let (head, body) = Http::accept(&worker).read();
    assert_eq!(body, "job");
    assert_eq!(header_value(&head, "idempotency-key").as_deref(), Some("f84ac7ad0002743a"), "{head}");
    assert_eq!(header_value(&head, "x-of-theirs").as_deref(), Some("1"), "{head}");
    for (name, times) in
        [("x-of-one-hop", 0), ("expect", 0), ("host", 1), ("req-id", 1), ("content-length", 1)]
    {
        let of = |line: &&str| line.to_ascii_lowercase().starts_with(&format!("{name}:"));
        assert_eq!(head.lines().filter(of).count(), times, "{name} in {head}");
    }
}

/// Guards against an unsafe job that fails because a server refuses the connection: it never ran there.
#[test]
fn a_job_whose_connection_is_refused_goes_to_another_server() {
    let (worker, dial) = listener();
    let (_program, address) = platform(
        refusing_address(),
        &[("s-1", refusing_address()), ("s-2", dial), ("s-3", refusing_address())],
    );
    let mut calls = Http::connect(address);
    for at in 0..3 {
        let (mut client, id) = (Http::connect(address), format!("b{at}"));
        client.submit("confirm-booking", &id);
        let mut job = Http::accept(&worker);
        job.read();
        // With `Connection: close` the next job comes on a new connection.
        job.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        calls.call_back(&id, "s-2", "done", "ok");
        assert!(client.read().0.starts_with("HTTP/1.1 200"));
    }
    assert!(counter(address, "never_ran") > 0);
    assert_eq!(counter(address, "may_have_run"), 0);
}

/// Guards against an unsafe job that runs twice: once its last byte is written, the server may have run it.
#[test]
fn an_unsafe_job_whose_connection_breaks_after_its_last_byte_is_not_sent_again() {
    let ((one, dial_one), (two, dial_two)) = (listener(), listener());
    let (_program, address) = platform(refusing_address(), &[("s-1", dial_one), ("s-2", dial_two)]);
    let mut client = Http::connect(address);
    client.submit("confirm-booking", "c1");
    let mut job = Http::from_stream(accept_any(&[&one, &two]));
    job.read();
    drop(job);
    let (head, _) = client.read();
    assert!(head.starts_with("HTTP/1.1 500"), "{head}");
    assert_eq!((counter(address, "sent"), counter(address, "may_have_run")), (1, 1));
    assert!(one.accept().is_err() && two.accept().is_err(), "the job was sent again");
}

/// A server declines a job with 503 and `Srv-Declined`. Guards against a job that fails although it never ran
/// there.
#[test]
fn a_declined_job_goes_to_the_next_server() {
    let ((one, dial_one), (two, dial_two)) = (listener(), listener());
    let (_program, address) = platform(refusing_address(), &[("s-1", dial_one), ("s-2", dial_two)]);
    let declined = std::thread::spawn(move || {
        let mut job = Http::accept(&one);
        job.read();
        job.write(
            "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nSrv-Load: queue=9,x0=0\r\nContent-Length: 0\r\n\r\n",
        );
        job.read() // keeps the connection open until the gateway closes it
    });
    let mut calls = Http::connect(address);
    // Whichever comes first in the cycle, one of two jobs is sent to the first server.
    for id in ["d1", "d2"] {
        let mut client = Http::connect(address);
        client.submit("confirm-booking", id);
        let mut job = Http::accept(&two);
        job.read();
        job.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        calls.call_back(id, "s-2", "done", "ok");
        assert!(client.read().0.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(counter(address, "never_ran"), 1);
    drop(_program);
    declined.join().unwrap();
}

/// Guards against jobs that keep running, or are counted as served, after their client has disconnected.
#[test]
fn a_client_that_disconnects_cancels_its_job() {
    let (worker, dial) = listener();
    let (_program, address) = platform(refusing_address(), &[("s-1", dial)]);
    let (mut client, mut calls) = (Http::connect(address), Http::connect(address));
    client.submit("avail-search", "e1");
    let mut job = Http::accept(&worker);
    job.read();
    job.send_accepted();
    calls.call_back("e1", "s-1", "started", "");
    drop(client);
    let (head, _) = job.read();
    assert!(head.starts_with("DELETE /jobs/e1 HTTP/1.1"), "{head}");
    job.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    // A late call-back is acknowledged all the same.
    calls.call_back("e1", "s-1", "done", "late");
    assert_eq!((counter(address, "left"), counter(address, "served")), (1, 0));
    // Before the 202, the gateway closes the connection instead of sending a cancel.
    let mut client = Http::connect(address);
    client.submit("avail-search", "e2");
    assert_eq!(header_value(&job.read().0, "req-id").as_deref(), Some("e2"));
    drop(client);
    assert_eq!(job.read().0, "");
}

/// Guards against a job that is written on a connection that the server has closed.
#[test]
fn a_connection_that_the_server_closed_is_not_used_again() {
    let (worker, dial) = listener();
    let (_program, address) = platform(refusing_address(), &[("s-1", dial)]);
    let (mut client, mut calls) = (Http::connect(address), Http::connect(address));
    for id in ["f1", "f2", "f3"] {
        client.submit("confirm-booking", id);
        let mut job = Http::accept(&worker);
        assert_eq!(header_value(&job.read().0, "req-id").as_deref(), Some(id));
        job.send_accepted();
        drop(job);
        calls.call_back(id, "s-1", "done", "ok");
        assert!(client.read().0.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(counter(address, "sent"), 3);
}

/// A kept connection closes under a probe. Guards against a healthy server whose probe counts as failed.
#[test]
fn a_probe_on_a_kept_connection_that_closes_is_retried_at_once() {
    let ((worker, dial), text) = (listener(), "\"mayCancel\": true");
    // With a quantum of 1 µs every load report is old enough for a new probe.
    let settings = config(256, refusing_address(), &[("s-1", dial)])
        .replace(text, &format!("{text}, \"probing\": true"))
        .replace("\"quantum\": 1000", "\"quantum\": 1");
    let mut program = Program::start(Some(&settings), None);
    let address = program.read_address();
    let (mut client, mut calls) = (Http::connect(address), Http::connect(address));
    let probe = |http: &mut Http| {
        assert!(http.read().0.starts_with("GET /metrics/load "));
        // Equal probe times: a probe that takes twice as long as the last shows a slow server, and is sent
        // again.
        std::thread::sleep(std::time::Duration::from_millis(20));
        http.write("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nqueue=0,x0=2");
    };
    client.submit("confirm-booking", "p1");
    let mut kept = Http::accept(&worker);
    for id in ["p1", "p2"] {
        probe(&mut kept);
        assert_eq!(header_value(&kept.read().0, "req-id").as_deref(), Some(id));
        kept.send_accepted();
        // The call-back may overtake the 202, and the connection would not be kept. A request in between
        // prevents that.
        counter(address, "sent");
        calls.call_back(id, "s-1", "done", "ok");
        assert!(client.read().0.starts_with("HTTP/1.1 200"));
        if id == "p1" {
            // The connection closes under the next probe. The server must not count as failed.
            client.submit("confirm-booking", "p2");
            assert!(kept.read().0.starts_with("GET /metrics/load "));
            kept = kept.accept_after(&worker);
        }
    }
    assert_eq!(counter(address, "probes"), 2);
}

/// Guards against a job that waits for its deadline when there is no server, and a `Retry-After` that is
/// missing or above the configured 2 s.
#[test]
fn a_job_without_a_server_is_rejected_at_once_with_retry_after() {
    let (_program, address) = platform(refusing_address(), &[]);
    let mut client = Http::connect(address);
    client.submit("short-hold", "g1");
    let (head, _) = client.read();
    assert!(head.starts_with("HTTP/1.1 503"), "{head}");
    let after: f64 = header_value(&head, "retry-after").unwrap().parse().unwrap();
    assert!(after > 0.0 && after <= 2.0, "{head}");
}

/// Guards against malformed requests that are accepted, answered with the wrong status, or end the process.
#[test]
fn malformed_requests_get_their_status_and_affect_no_other_client() {
    let (_program, address) = platform(refusing_address(), &[]);
    let job = |class: &str, id: &str, deadline: &str| {
        let head = format!("Req-Id: {id}\r\nReq-Deadline: {deadline}\r\nContent-Length: 0");
        format!("POST /{class} HTTP/1.1\r\n{head}\r\n\r\n")
    };
    let cases = [
        ("\u{1}\u{2} nonsense\r\n\r\n".to_string(), "400"),
        ("POST /avail-search HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".into(), "413"),
        ("POST /avail-search HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n".into(), "400"),
        ("POST /avail-search HTTP/1.1\r\nContent-Length: +1\r\n\r\n".into(), "400"),
        ("POST /avail-search HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n".into(), "501"),
        (
            "POST /avail-search HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n".into(),
            "400",
        ),
        ("POST /avail-search HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".into(), "400"),
        (format!("POST /avail-search HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(20_000)), "413"),
        (job("no-such-class", "h1", "400m"), "404"),
        (job("avail-search", "h2", "soon"), "400"),
        (job("avail-search", "", "400m"), "400"),
        (job("avail-search", "h3 HTTP/1.1", "400m"), "400"),
        ("PUT /avail-search HTTP/1.1\r\nContent-Length: 0\r\n\r\n".into(), "405"),
        (format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: 5000\r\n\r\n{}", "[".repeat(5000)), "400"),
    ];
    for (text, status) in cases {
        let mut client = Http::connect(address);
        client.write(&text);
        let (head, _) = client.read();
        assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{text:.60}: {head}");
    }
    let mut up = Http::connect(address);
    up.write("GET /up HTTP/1.1\r\n\r\n");
    assert!(up.read().0.starts_with("HTTP/1.1 200"));
}

/// A watch call fails with 503, and the next one returns a drain. Guards against a watch that stops after a
/// failure, and jobs for the draining server.
#[test]
fn a_draining_server_gets_no_new_jobs_after_a_failed_watch_is_retried() {
    let ((discovery, at), (one, dial_one), (two, dial_two)) = (listener(), listener(), listener());
    let (_program, address) = platform(at, &[("s-1", dial_one), ("s-2", dial_two)]);
    let answer = |watch: &mut Http, status: &str, seq: u64, hosts: &str| {
        let body = format!(r#"{{"seq": {seq}, "whole": false, "hosts": [{hosts}]}}"#);
        watch.write(&format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    };
    let mut watch = Http::accept(&discovery);
    let (head, _) = watch.read();
    assert!(head.starts_with("GET /discovery/hosts?since=7&timeout_ms="), "{head}");
    answer(&mut watch, "503 Busy", 0, "");
    // After a failed call the gateway pauses and calls again on a new connection.
    let mut watch = Http::accept(&discovery);
    watch.read();
    answer(&mut watch, "200 OK", 8, &host("s-1", dial_one, "draining"));
    let (head, _) = watch.read();
    assert!(head.starts_with("GET /discovery/hosts?since=8&"), "{head}");
    one.set_nonblocking(true).unwrap();
    let mut calls = Http::connect(address);
    for at in 0..4 {
        let (mut client, id) = (Http::connect(address), format!("i{at}"));
        client.submit("confirm-booking", &id);
        let mut job = Http::accept(&two);
        job.read();
        job.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        calls.call_back(&id, "s-2", "done", "ok");
        assert!(client.read().0.starts_with("HTTP/1.1 200"));
    }
    assert!(one.accept().is_err(), "a draining server was sent a job");
}

/// A watch does not answer, and jobs show that a server of its list has failed. Guards against waiting for
/// the silent watch instead of opening a new one.
#[test]
fn a_silent_watch_is_restarted_once_a_server_fails() {
    let ((discovery, at), (worker, dial)) = (listener(), listener());
    let (_program, address) = platform(at, &[("s-1", refusing_address()), ("s-2", dial)]);
    let mut watch = Http::accept(&discovery);
    confirm_list(&mut watch);
    assert!(watch.read().0.contains("since=7&"));
    let (mut calls, mut jobs) = (Http::connect(address), 0);
    discovery.set_nonblocking(true).unwrap();
    let end = std::time::Instant::now() + TEST_TIMEOUT;
    let again = loop {
        if let Ok((stream, _)) = discovery.accept() {
            break stream;
        }
        assert!(std::time::Instant::now() < end, "the silent watch is not restarted");
        let (mut client, id) = (Http::connect(address), format!("w{jobs}"));
        jobs += 1;
        client.submit("confirm-booking", &id);
        let mut job = Http::accept(&worker);
        job.read();
        job.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        calls.call_back(&id, "s-2", "done", "ok");
        client.read();
    };
    again.set_nonblocking(false).unwrap();
    assert!(Http::from_stream(again).read().0.contains("since=7&"));
    assert_eq!(watch.read().0, "", "the silent watch is not closed");
}

/// Guards against a shutdown that drops accepted jobs or refuses call-backs, or that keeps connections open
/// after the answer.
#[test]
fn sigterm_finishes_accepted_jobs_and_sends_connection_close() {
    let (worker, dial) = listener();
    let (mut program, address) = platform(refusing_address(), &[("s-1", dial)]);
    let (mut client, mut idle) = (Http::connect(address), Http::connect(address));
    idle.write("GET /up HTTP/1.1\r\n\r\n");
    idle.read();
    client.submit("confirm-booking", "j1");
    let mut job = Http::accept(&worker);
    job.read();
    job.send_accepted();
    program.signal("TERM");
    assert_eq!(program.next_plain_line(), "micabeam: stopping\n");
    // Requests on open connections are still served: the other dispatchers may be stopping as well.
    let mut kept = Http::connect(address);
    for _ in 0..2 {
        kept.write("POST /no HTTP/1.1\r\n\r\n");
        let (head, _) = kept.read();
        assert!(head.starts_with("HTTP/1.1 404") && header_value(&head, "connection").is_none(), "{head}");
    }
    // The idle connection is closed while the job still runs; its call-back is accepted on a new connection.
    assert_eq!(idle.read().0, "");
    Http::connect(address).call_back("j1", "s-1", "done", "kept");
    let (head, body) = client.read();
    assert!(head.starts_with("HTTP/1.1 200") && body == "kept", "{head}");
    assert_eq!(header_value(&head, "connection").as_deref(), Some("close"));
    let (exited_cleanly, text) = program.wait();
    assert!(exited_cleanly && text.contains("served 1\n") && text.contains("taken 1\n"), "{text}");
}

/// Guards against a reload that loses jobs in flight, applies a bad file, or asks a new discovery service for
/// changes since a version of the old one.
#[test]
fn sighup_switches_discovery_keeps_jobs_in_flight_and_ignores_a_bad_file() {
    let ((old, old_at), (new, new_at)) = (listener(), listener());
    let ((worker, dial), (next, next_dial)) = (listener(), listener());
    let (mut program, address) = platform(old_at, &[("s-1", dial)]);
    let mut watch = Http::accept(&old);
    confirm_list(&mut watch);
    watch.read();
    let (mut client, mut calls) = (Http::connect(address), Http::connect(address));
    client.submit("confirm-booking", "r1");
    let mut job = Http::accept(&worker);
    job.read();
    job.send_accepted();
    // A truncated file, one with other class names, and one with an invalid address.
    let good = config(256, new_at, &[]);
    let (half, other) = (good[..90].to_string(), good.replace("avail-search", "avail"));
    for bad in [half, other, good.replace(&new_at.to_string(), "nowhere")] {
        let line = program.reload(0, &bad);
        assert!(line.starts_with("micabeam: the old settings stay in force: "), "{line}");
    }
    assert_eq!(program.reload(0, &good), "micabeam: the configuration was read again\n");
    // The old watch is closed. The new service may count versions differently, so it is asked for the whole
    // list.
    assert_eq!(watch.read().0, "");
    let mut watch = Http::accept(&new);
    let (head, _) = watch.read();
    assert!(head.starts_with("GET /discovery/hosts HTTP/1.1"), "{head}");
    let body = format!(r#"{{"seq": 3, "whole": true, "hosts": [{}]}}"#, host("s-2", next_dial, "up"));
    watch.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    assert!(watch.read().0.starts_with("GET /discovery/hosts?since=3&"));
    calls.call_back("r1", "s-1", "done", "kept");
    assert_eq!(client.read().1, "kept");
    client.submit("confirm-booking", "r2");
    let (head, _) = Http::accept(&next).read();
    assert_eq!(header_value(&head, "req-id").as_deref(), Some("r2"));
}

/// Guards against pipelined requests that are lost, or answered more than once.
#[test]
fn pipelined_requests_are_answered_one_by_one() {
    let (_program, address) = platform(refusing_address(), &[]);
    let mut client = Http::connect(address);
    let one = "POST /no HTTP/1.1\r\n\r\n";
    let mut stream = client.0.get_ref().try_clone().unwrap();
    let writer = std::thread::spawn(move || stream.write_all(one.repeat(5000).as_bytes()));
    for _ in 0..5000 {
        assert!(client.read().0.starts_with("HTTP/1.1 404"));
    }
    writer.join().unwrap().unwrap();
}

/// Guards against a panic, or an exit without a reason, on a configuration that cannot be used.
#[test]
fn a_bad_configuration_exits_with_a_one_line_message() {
    let deep = "[".repeat(100_000);
    let few = format!(
        r#"{{"settings": {SETTINGS}, "limits": {{"sockets": 3}}, "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1"}}"#
    );
    for (config, says) in [
        ("{", "parse"),
        (deep.as_str(), "nested"),
        ("{}", "settings"),
        (r#"{"settings": {"quantum": 1}}"#, "missing field"),
        (few.as_str(), "too few"),
    ] {
        let (exited_cleanly, text) = Program::start(Some(config), None).wait();
        assert!(
            !exited_cleanly && text.lines().count() == 1 && text.to_lowercase().contains(says),
            "{says}: {text}"
        );
    }
    let (exited_cleanly, text) = Program::start(None, None).wait();
    assert!(!exited_cleanly && text.lines().count() == 1, "{text}");
}

/// Guards against clients without an answer when more connect than there are descriptors.
#[test]
fn more_clients_than_descriptors_all_get_an_answer() {
    let (worker, dial) = listener();
    // 70 descriptors leave 17 client connections and 9 sessions.
    let (_program, address) = platform_with_sockets(70, refusing_address(), &[("s-1", dial)]);
    let send = |at: usize| {
        let mut client = Http::connect(address);
        let head = format!("POST /short-hold HTTP/1.1\r\nReq-Id: k{at}\r\nContent-Length: 0\r\n\r\n");
        let _ = client.0.get_mut().write_all(head.as_bytes());
        client
    };
    let mut clients: Vec<Http> = (0..60).map(send).collect();
    let mut statuses = Vec::new();
    for (at, client) in clients.iter_mut().enumerate() {
        let mut head = client.read().0;
        while head.is_empty() {
            // Closed before the request was read: HTTP allows the client to send it again.
            head = send(at).read().0;
        }
        statuses.push(head.chars().skip(9).take(3).collect::<String>());
    }
    let count = |status: &str| statuses.iter().filter(|s| s.as_str() == status).count();
    assert_eq!(count("503") + count("500"), 60, "{statuses:?}");
    assert!(count("503") >= 30, "{statuses:?}");
    drop(worker);
}

/// Guards against connections that are held open by clients that send nothing or an incomplete request.
#[test]
fn silent_clients_and_incomplete_requests_are_closed_within_three_seconds() {
    let (_program, address) = platform(refusing_address(), &[]);
    let began = std::time::Instant::now();
    let (mut silent, mut half, mut body) =
        (Http::connect(address), Http::connect(address), Http::connect(address));
    half.write("POST /avail-search HTTP/1.1\r\nReq-");
    body.write("POST /avail-search HTTP/1.1\r\nReq-Id: l1\r\nContent-Length: 9\r\n\r\nhalf");
    let mut kept = Http::connect(address);
    kept.write("GET /up HTTP/1.1\r\n\r\n");
    assert!(kept.read().0.starts_with("HTTP/1.1 200"));
    assert!(half.read().0.starts_with("HTTP/1.1 408") && body.read().0.starts_with("HTTP/1.1 408"));
    assert_eq!(silent.read().0, "");
    assert!(began.elapsed().as_secs_f64() < 3.0, "{:?}", began.elapsed());
    // A client that has sent a request before may stay idle.
    kept.write("GET /up HTTP/1.1\r\n\r\n");
    assert!(kept.read().0.starts_with("HTTP/1.1 200"));
}

/// Guards against clients that fill the memory with incomplete bodies, so that small requests are denied.
#[test]
fn incomplete_bodies_do_not_exhaust_the_memory_for_small_requests() {
    let config = config(256, refusing_address(), &[])
        .replace("\"sockets\": 256", "\"sockets\": 256, \"memory_mb\": 4");
    let mut program = Program::start(Some(&config), None);
    let address = program.read_address();
    // Clients share one megabyte, and each one announces the largest allowed body and sends most of it.
    let half = format!("POST /no HTTP/1.1\r\nContent-Length: 65536\r\n\r\n{}", "x".repeat(60_000));
    let mut clients: Vec<Http> = (0..30).map(|_| Http::connect(address)).collect();
    clients.iter_mut().for_each(|client| client.write(&half));
    let mut small = Http::connect(address);
    small.write("POST /no HTTP/1.1\r\n\r\n");
    assert!(small.read().0.starts_with("HTTP/1.1 404"));
    let heads = clients.iter_mut().map(|client| client.read().0);
    let denied = heads.filter(|head| head.starts_with("HTTP/1.1 503")).count();
    assert!((13..30).contains(&denied), "{denied} of 30 were denied");
}

/// Guards against an active client whose connection is closed to make room for connections that send nothing.
#[test]
fn many_silent_connections_do_not_evict_an_active_client() {
    let (worker, dial) = listener();
    // 70 descriptors leave 17 client connections.
    let (_program, address) = platform_with_sockets(70, refusing_address(), &[("s-1", dial)]);
    let (mut client, mut calls) = (Http::connect(address), Http::connect(address));
    for id in ["m1", "m2"] {
        client.submit("confirm-booking", id);
        let mut job = Http::accept(&worker);
        job.read();
        job.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        calls.call_back(id, "s-1", "done", "ok");
        assert!(client.read().0.starts_with("HTTP/1.1 200"), "the active client was disconnected");
        let silent_clients: Vec<Http> = (0..40).map(|_| Http::connect(address)).collect();
        // The answer shows that all connections before it have been accepted.
        assert!(counter(address, "taken") > 0);
        drop(silent_clients);
    }
}

/// Guards against a malformed request that is sent to one server after the other.
#[test]
fn a_request_answered_with_400_is_not_retried() {
    let ((one, dial), (two, other)) = (listener(), listener());
    let (_program, address) = platform(refusing_address(), &[("s-1", dial), ("s-2", other)]);
    let mut client = Http::connect(address);
    client.submit("avail-search", "o1");
    let mut job = Http::from_stream(accept_any(&[&one, &two]));
    job.read();
    job.write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
    assert!(client.read().0.starts_with("HTTP/1.1 500"));
    assert_eq!(counter(address, "sent"), 1);
}

/// Guards against a reset in the client's write, which would keep it from reading the 413.
#[test]
fn an_oversized_body_is_read_to_its_end_and_answered_with_413() {
    let (_program, address) = platform(refusing_address(), &[]);
    let mut client = Http::connect(address);
    let mut stream = client.0.get_ref().try_clone().unwrap();
    stream.write_all(b"POST /avail-search HTTP/1.1\r\nContent-Length: 15000000\r\n\r\n").unwrap();
    let writer = std::thread::spawn(move || stream.write_all(&vec![b'x'; 15_000_000]));
    assert!(client.read().0.starts_with("HTTP/1.1 413"));
    writer.join().unwrap().expect("all of it was read");
}

/// Guards against an event loop that serves one client's pipelined requests without a bound.
#[test]
fn a_client_that_pipelines_without_end_does_not_starve_others() {
    let (_program, address) = platform(refusing_address(), &[]);
    let flooding = Http::connect(address);
    let mut stream = flooding.0.get_ref().try_clone().unwrap();
    let mut answers = flooding.0.get_ref().try_clone().unwrap();
    let text = "POST /no HTTP/1.1\r\n\r\n".repeat(2000);
    // Both threads end when the test shuts the connection down.
    let asks = std::thread::spawn(move || while stream.write_all(text.as_bytes()).is_ok() {});
    let reads = std::thread::spawn(move || std::io::copy(&mut answers, &mut std::io::sink()));
    for _ in 0..20 {
        let mut other = Http::connect(address);
        other.write("GET /up HTTP/1.1\r\n\r\n");
        assert!(other.read().0.starts_with("HTTP/1.1 200"));
    }
    flooding.0.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
    asks.join().unwrap();
    let _ = reads.join().unwrap();
}

/// Guards against sessions that never end because there is no server or their client has left, and against a
/// shutdown that waits for a client that reads nothing.
#[test]
fn all_sessions_end_at_shutdown_without_servers_or_clients() {
    let (program, address) = platform(refusing_address(), &[]);
    let mut clients: Vec<Http> = (0..20).map(|_| Http::connect(address)).collect();
    for (at, client) in clients.iter_mut().enumerate() {
        client.submit(if at % 2 == 0 { "avail-search" } else { "confirm-booking" }, &format!("id-{at}"));
    }
    // Wait until all are accepted, before any client leaves and before the signal.
    let end = std::time::Instant::now() + TEST_TIMEOUT;
    while counter(address, "taken") < 20 {
        assert!(std::time::Instant::now() < end, "not all jobs are accepted");
    }
    clients.truncate(10);
    program.signal("TERM");
    let begun = std::time::Instant::now();
    let (exited_cleanly, text) = program.wait();
    assert!(exited_cleanly && begun.elapsed() < std::time::Duration::from_secs(6), "{:?}", begun.elapsed());
    assert_all_ended(&text);
    for mut client in clients {
        assert!(client.read().0.starts_with("HTTP/1.1 503"), "a client has no answer");
    }
}

/// Guards against cutting off a slow client that makes progress, and against refusing chunked bodies.
#[test]
fn a_slow_but_steady_or_chunked_request_is_served() {
    let ((worker, dial), discovery) = (listener(), refusing_address());
    // Discovery is down: its list must not expire while the client writes.
    let config =
        config(256, discovery, &[("s-1", dial)]).replace("\"askWithin\": 4000000", "\"askWithin\": 60000000");
    let mut program = Program::start(Some(&config), None);
    let address = program.read_address();
    // Guards against cutting off a client 2.5 s after its first byte while it still makes progress. It writes
    // its request over 3.5 s with no gap of 2.5 s; only a gap that long ends a client with an incomplete
    // request.
    let mut slow = Http::connect(address);
    let text =
        "POST /confirm-booking HTTP/1.1\r\nReq-Id: p1\r\nReq-Deadline: 9000m\r\nContent-Length: 3\r\n\r\njob";
    let pieces: Vec<&str> =
        text.as_bytes().chunks(text.len() / 7 + 1).map(|c| std::str::from_utf8(c).unwrap()).collect();
    for piece in pieces {
        slow.write(piece);
        std::thread::sleep(std::time::Duration::from_millis(500));
    }
    let mut job = Http::accept(&worker);
    assert_eq!(header_value(&job.read().0, "req-id").as_deref(), Some("p1"));
    let mut calls = accept_and_finish(&mut job, address, "p1", "slow ok");
    let (head, body) = slow.read();
    assert_eq!(body, "slow ok", "{head}");
    // Guards against refusing a chunked body with 501: its payload is forwarded with a `Content-Length`.
    let mut chunked = Http::connect(address);
    chunked.write(
        "POST /confirm-booking HTTP/1.1\r\nReq-Id: p2\r\nReq-Deadline: 9000m\r\nTransfer-Encoding: chunked\r\n\r\n\
         2\r\njo\r\n1\r\nb\r\n0\r\n\r\n",
    );
    let (head, body) = job.read();
    assert_eq!((header_value(&head, "req-id").as_deref(), body.as_str()), (Some("p2"), "job"));
    assert_eq!(header_value(&head, "content-length").as_deref(), Some("3"));
    job.send_accepted();
    calls.call_back("p2", "s-1", "started", "");
    calls.call_back("p2", "s-1", "done", "chunks ok");
    assert_eq!(chunked.read().1, "chunks ok");
}

/// Guards against an attempt that fails because the connect timeout still runs after the connect.
#[test]
fn a_202_later_than_the_connect_timeout_does_not_fail_the_attempt() {
    let ((worker, dial), discovery) = (listener(), refusing_address());
    let (_program, address) = platform(discovery, &[("s-1", dial)]);
    let mut client = Http::connect(address);
    client.submit("confirm-booking", "q1");
    // If the connection was established during the write of its request, the connect timeout of 250 ms kept
    // running: when the server needed longer for its 202, the job counted as never run and the client was
    // refused.
    std::thread::sleep(std::time::Duration::from_millis(600));
    let mut job = Http::accept(&worker);
    assert_eq!(header_value(&job.read().0, "req-id").as_deref(), Some("q1"));
    accept_and_finish(&mut job, address, "q1", "late ok");
    let (head, body) = client.read();
    assert_eq!(body, "late ok", "{head}");
    assert_eq!(counter(address, "never_ran"), 0);
}
