//! Race conditions between two events: scripted peers stall, close or reset their connections when the test
//! says so, which forces the problematic order every time. `docs/design/crossings.md` lists the races with
//! both orders.

#[path = "common/crossing.rs"]
mod crossing;
#[path = "common/net.rs"]
mod net;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use crossing::*;
use net::*;

/// Returns a configuration with a connect timeout of 8 s, so that other events can happen during a connect.
fn slow_connect_config(discovery: SocketAddr, hosts: &[(&str, SocketAddr)]) -> String {
    config(256, discovery, hosts).replace(r#""connectTimeout": 250000"#, r#""connectTimeout": 8000000"#)
}

/// Starts the gateway with this configuration and returns the clients' address.
fn start_program(text: &str) -> (Program, SocketAddr) {
    let mut program = Program::start(Some(text), None);
    let address = program.read_address();
    (program, address)
}

/// Sets the aim of the safe class to `aim` microseconds: a job that has not started by then is cancelled and
/// sent to another server. Two attempts of a job must not run at the same time (`mayDuplicate` is false).
fn with_start_deadline(text: &str, aim: u64) -> String {
    let aims = format!(r#""aim": {aim}, "hardLimit": 9000000, "semantics": "retryable""#);
    text.replace(r#""mayCancel": true"#, r#""mayCancel": true, "mayDuplicate": false"#)
        .replace(r#""aim": 4000000, "hardLimit": 5000000, "semantics": "retryable""#, &aims)
}

/// Submits up to two jobs to two servers, until `server` has read one, and returns that connection.
fn submit_until_read_by(
    server: &BacklogListener,
    two: &TcpListener,
    address: SocketAddr,
    client: &mut Http,
    name: &str,
) -> Http {
    client.submit("avail-search", &format!("{name}1"));
    let mut job = Http::from_stream(accept_any(&[&server.listener, two]));
    job.read();
    if job.0.get_ref().local_addr().unwrap() != server.address {
        // The first job went to the other server; the next one goes to `server`.
        accept_and_report_done(&mut job, address, &format!("{name}1"), "s-2");
        assert!(client.read().0.starts_with("HTTP/1.1 200"));
        client.submit("avail-search", &format!("{name}2"));
        job = Http::accept(&server.listener);
        job.read();
    }
    job
}

/// Answers a job with 202 and `Connection: close`, and reports it as done on another connection.
fn accept_and_report_done(job: &mut Http, address: SocketAddr, id: &str, from: &str) {
    job.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    Http::connect(address).call_back(id, from, "done", "ok");
}

// Clients that disconnect.

/// A client disconnects after it sent more input than the gateway buffers. Guards against a close that is
/// never read, and a job that is retried although nobody waits for it.
#[test]
fn a_disconnect_behind_more_input_than_is_buffered_is_noticed() {
    let (worker, dial) = listener();
    let (_program, address) = platform(refusing_address(), &[("s-1", dial)]);
    let mut client = Http::connect(address);
    client.submit("avail-search", "g1");
    let mut job = Http::accept(&worker);
    job.read();
    // Three times the size of a connection's buffer, then the close. The gateway keeps reading, so all of it
    // is sent at once.
    client.write(&"x".repeat(300 * 1024));
    drop(client);
    wait_until(|| counter(address, "left") == 1, "the disconnect is not counted");
    assert_eq!(job.read().0, "", "the job of the disconnected client is not cancelled");
}

/// A client sends more input than the gateway buffers and stays connected. It must get its answer, and its
/// connection must be closed afterwards.
#[test]
fn a_client_that_sends_excess_input_gets_its_answer_and_a_close() {
    let (worker, dial) = listener();
    let (_program, address) = platform(refusing_address(), &[("s-1", dial)]);
    let mut client = Http::connect(address);
    client.submit("avail-search", "g2");
    let mut job = Http::accept(&worker);
    job.read();
    client.write(&"x".repeat(300 * 1024));
    accept_and_report_done(&mut job, address, "g2", "s-1");
    let (head, body) = client.read();
    assert!(head.starts_with("HTTP/1.1 200") && body == "ok", "{head}");
    assert_eq!(header_value(&head, "connection").as_deref(), Some("close"));
    assert_eq!(client.read().0, "");
}

/// An attempt fails, and the client's close arrives behind it in the same pass of the event loop. Guards
/// against a retry for a client that has disconnected.
#[test]
fn no_retry_starts_after_the_client_disconnected_in_the_same_loop_pass() {
    let ((one, dial_one), (two, dial_two)) = (listener(), listener());
    let (program, address) = platform(refusing_address(), &[("s-1", dial_one), ("s-2", dial_two)]);
    let mut client = Http::connect(address);
    client.submit("avail-search", "t1");
    let mut job = Http::from_stream(accept_any(&[&one, &two]));
    job.read();
    suspend(&program);
    reset(job);
    drop(client);
    resume(&program);
    wait_until(|| counter(address, "left") == 1, "the disconnect is not counted");
    for listener in [&one, &two] {
        assert_no_connection(listener, "an attempt was started after its client had disconnected");
    }
}

/// A client disconnects during the connect for its job. Guards against a request that was queued for the
/// connection and is written once it is established.
#[test]
fn a_job_is_not_sent_when_its_client_leaves_during_connect() {
    let server = BacklogListener::filled();
    let (_program, address) =
        start_program(&slow_connect_config(refusing_address(), &[("s-1", server.address)]));
    let mut client = Http::connect(address);
    client.submit("confirm-booking", "c1");
    wait_until(|| counter(address, "sent") == 1, "no attempt was scheduled");
    drop(client);
    wait_until(|| counter(address, "left") == 1, "the disconnect is not counted");
    let listener = server.clear();
    let mut client = Http::connect(address);
    client.submit("confirm-booking", "c2");
    let (head, _) = Http::from_stream(accept_request(&listener)).read();
    assert_eq!(
        header_value(&head, "req-id").as_deref(),
        Some("c2"),
        "a job of a disconnected client was sent"
    );
}

// Attempts that are scheduled and not yet written.

/// A server starts draining during the connect for a job. Guards against a job that is written long after the
/// drain was received.
#[test]
fn a_job_is_reassigned_when_its_server_drains_during_connect() {
    let ((discovery, at), server, (other, dial)) = (listener(), BacklogListener::filled(), listener());
    let (_program, address) = start_program(&slow_connect_config(at, &[("s-1", server.address)]));
    let mut watch = Http::accept(&discovery);
    confirm_list(&mut watch);
    watch.read();
    let mut client = Http::connect(address);
    client.submit("confirm-booking", "d1");
    wait_until(|| counter(address, "sent") == 1, "no attempt was scheduled");
    send_list_changes(
        &mut watch,
        8,
        &[&host("s-1", server.address, "draining"), &host("s-2", dial, "up")].map(String::as_str),
    );
    watch.read();
    assert_no_request(&server.clear(), "a draining server was sent a job");
    let mut job = Http::accept(&other);
    job.read();
    accept_and_report_done(&mut job, address, "d1", "s-2");
    assert!(client.read().0.starts_with("HTTP/1.1 200"));
    assert_eq!((counter(address, "never_ran"), counter(address, "may_have_run")), (1, 0));
}

/// A server restarts at the same address during the connect for a job. The new process is cold, so the job
/// must be scheduled again instead of being written to it.
#[test]
fn a_job_is_reassigned_when_its_server_restarts_during_connect() {
    let ((discovery, at), server) = (listener(), BacklogListener::filled());
    let (_program, address) = start_program(&slow_connect_config(at, &[("s-1", server.address)]));
    let mut watch = Http::accept(&discovery);
    confirm_list(&mut watch);
    watch.read();
    let mut client = Http::connect(address);
    client.submit("confirm-booking", "b1");
    wait_until(|| counter(address, "sent") == 1, "no attempt was scheduled");
    let anew =
        host("s-1", server.address, "up").replace(r#""born_ms": 0"#, &format!(r#""born_ms": {}"#, unix_ms()));
    send_list_changes(&mut watch, 8, &[anew.as_str()]);
    watch.read();
    let listener = server.clear();
    wait_until(|| counter(address, "never_ran") >= 1, "the job was written to the restarted server");
    drop((listener, client));
}

/// The deduplication window of a keyed job ends during the connect for its retry. Guards against a retry that
/// the servers no longer recognise as a duplicate.
#[test]
fn a_keyed_retry_is_not_sent_after_its_deduplication_window() {
    let ((one, dial), server) = (listener(), BacklogListener::filled());
    let keyed = r#"{"name": "avail-search", "aim": 4000000, "hardLimit": 9000000, "semantics": "dedup",
        "keyScope": "all", "window": 400000}"#;
    let text = slow_connect_config(refusing_address(), &[("s-1", dial), ("s-2", server.address)]).replace(
        r#"{"name": "avail-search", "aim": 4000000, "hardLimit": 5000000, "semantics": "retryable"}"#,
        keyed,
    );
    assert!(text.contains("dedup"));
    let (_program, address) = start_program(&text);
    // Two jobs reach both servers, whichever comes first in the cycle.
    let mut clients: Vec<Http> = Vec::new();
    for id in ["w1", "w2"] {
        let mut client = Http::connect(address);
        client.submit("avail-search", id);
        clients.push(client);
    }
    let mut job = Http::accept(&one);
    job.read();
    reset(job);
    // The retry is scheduled for the other server, whose connection is established after the window.
    wait_until(|| counter(address, "sent") >= 3, "no retry was scheduled");
    let began = Instant::now();
    wait_until(|| began.elapsed() > Duration::from_millis(500), "");
    let listener = server.clear();
    // The first attempt for this server is written; the retry is not.
    let mut came = Http::accept(&listener);
    came.read();
    wait_until(|| counter(address, "never_ran") == 1, "the retry was written after its window");
    drop(clients);
}

/// Two attempts of a job must not run at the same time. The cancel of the first is not yet written when the
/// connection for the next one is established. Guards against a retry that starts before the cancel is
/// answered.
#[test]
fn a_retry_waits_until_the_cancel_of_the_first_attempt_is_answered() {
    let (server, (two, dial_two)) = (BacklogListener::empty(), listener());
    let text = with_start_deadline(
        &slow_connect_config(refusing_address(), &[("s-1", server.address), ("s-2", dial_two)]),
        2_000_000,
    );
    let (_program, address) = start_program(&text);
    let mut client = Http::connect(address);
    let mut job = submit_until_read_by(&server, &two, address, &mut client, "x");
    let sent = counter(address, "sent");
    server.fill();
    job.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    wait_until(|| counter(address, "sent") == sent + 1, "the first attempt was not cancelled");
    let next = accept_any(&[&two]);
    next.set_nonblocking(true).unwrap();
    assert!(next.peek(&mut [0]).is_err(), "a second attempt was sent beside the first");
    next.set_nonblocking(false).unwrap();
    let mut delete = Http::from_stream(accept_request(&server.clear()));
    let (head, _) = delete.read();
    assert!(head.starts_with("DELETE /jobs/x"), "{head:?}");
    // The cancel is written; only its answer confirms it.
    assert_eq!(counter(address, "sent"), sent + 1);
    next.set_nonblocking(true).unwrap();
    assert!(next.peek(&mut [0]).is_err(), "a second attempt was sent before the first was cancelled");
    next.set_nonblocking(false).unwrap();
    delete.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let (head, _) = Http::from_stream(next).read();
    assert!(head.starts_with("POST /avail-search"), "{head}");
}

/// As in the previous test, but the cancel cannot be sent at all. Guards against a retry beside a first
/// attempt that may run.
#[test]
fn a_job_is_not_retried_when_its_cancel_cannot_be_sent() {
    let (server, (two, dial_two)) = (BacklogListener::empty(), listener());
    let text = with_start_deadline(
        &config(256, refusing_address(), &[("s-1", server.address), ("s-2", dial_two)]),
        600_000,
    );
    let (_program, address) = start_program(&text);
    let mut client = Http::connect(address);
    let mut job = submit_until_read_by(&server, &two, address, &mut client, "n");
    server.fill();
    job.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    // Three cancels fail, each at the connect timeout.
    assert!(client.read().0.starts_with("HTTP/1.1 503"));
    let next = accept_any(&[&two]);
    next.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert!(!matches!(next.peek(&mut [0]), Ok(1)), "a second attempt was sent beside the first");
}

/// A server has accepted the job and its 202 was lost: closing the connection does not cancel the job there.
/// Guards against a retry beside an attempt that runs.
#[test]
fn closing_the_connection_does_not_cancel_a_job_that_may_run() {
    let ((one, dial_one), (two, dial_two)) = (listener(), listener());
    let text = with_start_deadline(
        &config(256, refusing_address(), &[("s-1", dial_one), ("s-2", dial_two)]),
        600_000,
    );
    let (_program, address) = start_program(&text);
    let mut client = Http::connect(address);
    client.submit("avail-search", "l1");
    let mut job = Http::from_stream(accept_any(&[&one, &two]));
    job.read();
    let is_first = job.0.get_ref().local_addr().unwrap() == dial_one;
    let (first, other) = if is_first { (&one, &two) } else { (&two, &one) };
    assert_eq!(job.read().0, "", "the silent connection is not closed at the aim");
    let mut delete = Http::accept(first);
    assert!(delete.read().0.starts_with("DELETE /jobs/l1"));
    let next = accept_any(&[other]);
    next.set_nonblocking(true).unwrap();
    assert!(next.peek(&mut [0]).is_err(), "a second attempt was sent before the first was cancelled");
    next.set_nonblocking(false).unwrap();
    delete.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    assert!(Http::from_stream(next).read().0.starts_with("POST /avail-search"));
}

/// An attempt is cancelled and the next one sent; then the first server reports a start and an end. Guards
/// against call-backs of one attempt that count for another.
#[test]
fn call_backs_of_a_cancelled_attempt_do_not_complete_the_next_one() {
    let ((one, dial_one), (two, dial_two)) = (listener(), listener());
    let text = with_start_deadline(
        &config(256, refusing_address(), &[("s-1", dial_one), ("s-2", dial_two)]),
        300_000,
    );
    let (_program, address) = start_program(&text);
    let mut client = Http::connect(address);
    client.submit("avail-search", "o1");
    let mut job = Http::from_stream(accept_any(&[&one, &two]));
    job.read();
    job.send_accepted();
    let first = if job.0.get_ref().local_addr().unwrap() == dial_one { "s-1" } else { "s-2" };
    let (other, second) = if first == "s-1" { (&two, "s-2") } else { (&one, "s-1") };
    // The job has not started by its aim: it is cancelled and sent to the other server.
    assert!(job.read().0.starts_with("DELETE /jobs/o1"));
    job.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let mut next = Http::accept(other);
    next.read();
    next.send_accepted();
    let mut calls = Http::connect(address);
    calls.call_back("o1", first, "started", "");
    calls.call_back("o1", first, "done", "of the cancelled attempt");
    calls.call_back("o1", second, "started", "");
    calls.call_back("o1", second, "done", "of the current attempt");
    assert_eq!(client.read().1, "of the current attempt");
    assert_eq!(counter(address, "served"), 1);
}

// Upstream connections.

/// A server sends its refusal of a job twice, the second time when the connection could be reused. Guards
/// against a job that counts as never run because of another job's response, and runs twice.
#[test]
fn a_duplicate_refusal_is_not_taken_for_the_next_job_s_response() {
    let (worker, dial) = listener();
    let (program, address) = platform(refusing_address(), &[("s-1", dial)]);
    let (mut first, mut client) = (Http::connect(address), Http::connect(address));
    first.submit("confirm-booking", "r0");
    let mut conn = Http::accept(&worker);
    conn.read();
    conn.send_accepted();
    let mut calls = Http::connect(address);
    // The acknowledgement shows that the gateway has read the 202 before it.
    calls.call_back("r0", "s-1", "started", "");
    client.submit("confirm-booking", "r1");
    let (head, _) = conn.read();
    assert_eq!(
        header_value(&head, "req-id").as_deref(),
        Some("r1"),
        "the job was not sent on the same connection: {head}"
    );
    // In one pass of the event loop: the refusal, and the end of the other job with a load report of free
    // slots.
    suspend(&program);
    let refusal = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    conn.write(refusal);
    let done = r#"{"id":"r0","from":"s-1","state":"done","result":"ok","load":{"queue":0,"x0":5}}"#;
    calls.write(&format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {}\r\n\r\n{done}", done.len()));
    resume(&program);
    assert!(first.read().0.starts_with("HTTP/1.1 200"));
    // The job is retried at once, on a new connection.
    let mut again = Http::accept(&worker);
    let (head, _) = again.read();
    assert_eq!(header_value(&head, "req-id").as_deref(), Some("r1"), "{head}");
    conn.write(refusal);
    assert_eq!(conn.read().0, "", "a connection with an unexpected response is not closed");
    accept_and_report_done(&mut again, address, "r1", "s-1");
    assert!(client.read().0.starts_with("HTTP/1.1 200"));
    assert_eq!((counter(address, "sent"), counter(address, "never_ran")), (3, 1));
}

/// All upstream connections are in use by servers that hang. Guards against healthy servers that count as
/// failed because this process has no connection left.
#[test]
fn running_out_of_connections_refuses_the_job_and_ejects_no_server() {
    let servers: Vec<_> = (0..6).map(|_| listener()).collect();
    let listeners: Vec<&TcpListener> = servers.iter().map(|(listener, _)| listener).collect();
    let names: Vec<String> = (0..6).map(|at| format!("s-{at}")).collect();
    let hosts: Vec<_> = names.iter().map(String::as_str).zip(servers.iter().map(|(_, dial)| *dial)).collect();
    // 64 descriptors leave four upstream connections.
    let text = config(64, refusing_address(), &hosts)
        .replace(r#""name": "n0""#, r#""name": "n0", "console": "127.0.0.1:0""#);
    let mut program = Program::start(Some(&text), None);
    let (address, console) = (program.read_address(), program.read_address());
    let mut held = Vec::new();
    for at in 0..4 {
        let mut client = Http::connect(address);
        client.submit("confirm-booking", &format!("m{at}"));
        let mut job = Http::from_stream(accept_any(&listeners));
        job.read();
        held.push((client, job));
    }
    let mut late = Http::connect(address);
    late.submit("confirm-booking", "m9");
    assert!(late.read().0.starts_with("HTTP/1.1 503"), "the job was not refused");
    let mut figures = String::new();
    let mut line = std::net::TcpStream::connect(console).unwrap();
    line.write_all(b"telemetry\n").unwrap();
    line.read_to_string(&mut figures).unwrap();
    assert!(figures.contains("lb_members_unavailable 0\n"), "{figures}");
}

/// A refusal without a length is cut off by a reset. Guards against a truncated response that counts as
/// complete: the job would count as never run, and run twice.
#[test]
fn a_response_cut_off_by_a_reset_is_not_complete() {
    let ((one, dial_one), (two, dial_two)) = (listener(), listener());
    let (program, address) = platform(refusing_address(), &[("s-1", dial_one), ("s-2", dial_two)]);
    let mut client = Http::connect(address);
    client.submit("confirm-booking", "k1");
    let mut job = Http::from_stream(accept_any(&[&one, &two]));
    job.read();
    suspend(&program);
    job.write("HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\n\r\nas it see");
    reset(job);
    resume(&program);
    assert!(client.read().0.starts_with("HTTP/1.1 500"), "the job may have run and must fail");
    assert_eq!((counter(address, "sent"), counter(address, "may_have_run")), (1, 1));
}

// The discovery list.

/// A list without a length is cut off by a reset, and what arrived parses as a whole list. Guards against
/// servers that are removed by a truncated list.
#[test]
fn a_list_cut_off_by_a_reset_is_not_applied() {
    let ((discovery, at), (_worker, dial)) = (listener(), listener());
    let (program, _) = platform(at, &[("s-1", dial)]);
    let mut watch = Http::accept(&discovery);
    watch.read();
    suspend(&program);
    watch.write("HTTP/1.1 200 OK\r\n\r\n{\"seq\": 99, \"whole\": true, \"hosts\": []}");
    reset(watch);
    resume(&program);
    let (head, _) = Http::accept(&discovery).read();
    assert!(head.contains("since=7&"), "{head}");
}

/// A replica of the service that lags behind sends an older version. Guards against a drain that is undone by
/// it.
#[test]
fn an_older_list_version_is_ignored_and_a_second_one_requests_the_whole_list() {
    let ((discovery, at), (_worker, dial)) = (listener(), listener());
    let (_program, _address) = platform(at, &[("s-1", dial)]);
    let mut watch = Http::accept(&discovery);
    watch.read();
    send_list_changes(&mut watch, 9, &[&host("s-1", dial, "draining")]);
    assert!(watch.read().0.contains("since=9&"));
    send_list_changes(&mut watch, 8, &[&host("s-1", dial, "up")]);
    let mut again = Http::accept(&discovery);
    let (head, _) = again.read();
    assert!(head.contains("since=9&"), "{head}");
    send_list_changes(&mut again, 8, &[&host("s-1", dial, "up")]);
    let (head, _) = Http::accept(&discovery).read();
    assert!(head.starts_with("GET /discovery/hosts HTTP"), "the whole list was not requested: {head}");
}

/// A watch call on a kept connection crosses the service's close of it. Guards against the pause that follows
/// a failure, during which no watch is open.
#[test]
fn a_watch_on_a_connection_closed_by_the_service_is_retried_at_once() {
    let ((discovery, at), (_worker, dial)) = (listener(), listener());
    let text =
        config(256, at, &[("s-1", dial)]).replace(r#""askWithin": 4000000"#, r#""askWithin": 40000000"#);
    let (_program, _) = start_program(&text);
    let mut watch = Http::accept(&discovery);
    watch.read();
    send_list_changes(&mut watch, 8, &[]);
    // The next call is written, and the connection is closed without an answer.
    assert!(watch.read().0.contains("since=8&"));
    let began = Instant::now();
    drop(watch);
    let (head, _) = Http::accept(&discovery).read();
    assert!(
        head.contains("since=8&") && began.elapsed() < Duration::from_millis(900),
        "{:?}",
        began.elapsed()
    );
}

/// The old service answers in the event loop pass in which SIGHUP switches to another. Guards against
/// comparing versions of two services, and against an answer of the old one that completes the call to the
/// new one.
#[test]
fn an_answer_of_the_old_discovery_service_is_dropped_after_a_switch() {
    let ((old, old_at), (new, new_at), (_worker, dial)) = (listener(), listener(), listener());
    let text = config(256, old_at, &[("s-1", dial)]);
    let (mut program, address) = start_program(&text);
    let mut watch = Http::accept(&old);
    confirm_list(&mut watch);
    watch.read();
    suspend(&program);
    std::fs::write(
        program.files[0].as_ref().unwrap(),
        text.replace(&old_at.to_string(), &new_at.to_string()),
    )
    .unwrap();
    program.signal("HUP");
    send_list_changes(&mut watch, 70, &[]);
    resume(&program);
    assert_eq!(program.next_plain_line(), "micabeam: the configuration was read again\n");
    let mut next = Http::accept(&new);
    assert!(next.read().0.starts_with("GET /discovery/hosts HTTP"), "the whole list was not requested");
    send_list_changes(&mut next, 3, &[&host("s-1", dial, "up")]);
    assert!(next.read().0.contains("since=3&"));
    assert!(counter(address, "lists") <= 2);
}

// Shutdown.

/// When the last job ends, the backlog holds more connections than one pass of the event loop accepts. Guards
/// against an exit that resets requests in the backlog.
#[test]
fn requests_in_the_backlog_at_exit_are_answered() {
    let (worker, dial) = listener();
    let (program, address) = platform_with_sockets(512, refusing_address(), &[("s-1", dial)]);
    let (mut client, mut idle) = (Http::connect(address), Http::connect(address));
    client.submit("confirm-booking", "e1");
    let mut job = Http::accept(&worker);
    job.read();
    job.send_accepted();
    let mut calls = Http::connect(address);
    calls.call_back("e1", "s-1", "started", "");
    idle.write("GET /up HTTP/1.1\r\n\r\n");
    idle.read();
    program.signal("TERM");
    assert_eq!(idle.read().0, "", "idle connections are not closed at the shutdown");
    suspend(&program);
    let done = r#"{"id":"e1","from":"s-1","state":"done","result":"ok"}"#;
    calls.write(&format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {}\r\n\r\n{done}", done.len()));
    let mut clients: Vec<Http> = (0..150).map(|_| Http::connect(address)).collect();
    for (at, one) in clients.iter_mut().enumerate() {
        one.submit("confirm-booking", &format!("f{at}"));
    }
    resume(&program);
    assert!(client.read().0.starts_with("HTTP/1.1 200"));
    for (at, one) in clients.iter_mut().enumerate() {
        let (head, _) = one.read();
        assert!(head.starts_with("HTTP/1.1 503"), "{at} of 150 got {head:?}");
    }
    drop((clients, client, calls, idle));
    let (exited_cleanly, log) = program.wait();
    assert!(exited_cleanly, "{log}");
    assert_all_ended(&log);
}

/// A request crosses the close of an idle connection at a shutdown. Guards against a reset, which would
/// discard an answer in flight, and against a request that is read after the close and sent on.
#[test]
fn a_request_arriving_after_the_idle_close_is_neither_sent_on_nor_reset() {
    let (worker, dial) = listener();
    let (program, address) = platform(refusing_address(), &[("s-1", dial)]);
    let (mut client, mut resting) = (Http::connect(address), Http::connect(address));
    client.submit("confirm-booking", "q1");
    let mut job = Http::accept(&worker);
    job.read();
    job.send_accepted();
    resting.write("GET /up HTTP/1.1\r\n\r\n");
    resting.read();
    program.signal("TERM");
    let mut end = [0; 1];
    assert_eq!(resting.0.get_mut().read(&mut end).unwrap(), 0, "the idle connection is not closed");
    resting.submit("confirm-booking", "q2");
    Http::connect(address).call_back("q1", "s-1", "done", "ok");
    assert!(client.read().0.starts_with("HTTP/1.1 200"));
    assert_no_connection(&worker, "a request read after the close was sent on");
    // Closed without a reset, which could have discarded data already sent to the client.
    assert!(resting.0.get_ref().take_error().unwrap().is_none(), "the connection was reset");
    drop((client, resting));
    let (exited_cleanly, log) = program.wait();
    assert!(exited_cleanly && logged_counter(&log, "sent") == 1, "{log}");
}

/// SIGTERM twice with SIGHUP in between, in one pass of the event loop, with a job in flight. Guards against
/// a lost signal, a second shutdown, and a lost job.
#[test]
fn signals_arriving_together_stop_once_and_lose_no_job() {
    let (worker, dial) = listener();
    let (mut program, address) = platform(refusing_address(), &[("s-1", dial)]);
    let mut client = Http::connect(address);
    client.submit("confirm-booking", "s1");
    let mut job = Http::accept(&worker);
    job.read();
    job.send_accepted();
    suspend(&program);
    for name in ["TERM", "HUP", "TERM"] {
        program.signal(name);
    }
    resume(&program);
    let lines = [program.next_plain_line(), program.next_plain_line()];
    assert!(
        lines.iter().any(|line| line.contains("stopping"))
            && lines.iter().any(|line| line.contains("read again"))
    );
    program.signal("TERM");
    Http::connect(address).call_back("s1", "s-1", "done", "ok");
    assert!(client.read().0.starts_with("HTTP/1.1 200"));
    drop(client);
    let (exited_cleanly, log) = program.wait();
    assert!(exited_cleanly, "{log}");
}

// Descriptors.

/// Idle clients use up the descriptors while discovery is down. Guards against a gateway that has none left
/// for discovery, call-backs, servers or health checks, one that spins, and one that is not ready after a
/// restart.
#[test]
fn idle_clients_do_not_exhaust_the_descriptors_while_discovery_is_down() {
    let (worker, dial) = listener();
    // Bound and not listening: discovery refuses connections and can return at the same address.
    let down = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    down.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let at = down.local_addr().unwrap().as_socket().unwrap();
    // The process limit is lower than the configured number of sockets.
    let text = config(1024, at, &[("s-1", dial)]);
    for id in ["o1", "o2"] {
        let began = Instant::now();
        let mut program = start_with_fd_limit(128, &text);
        let address = program.read_address();
        let clients: Vec<Http> = (0..300).map(|_| Http::connect(address)).collect();
        let mut up = Http::connect(address);
        up.write("GET /up HTTP/1.1\r\n\r\n");
        assert!(up.read().0.starts_with("HTTP/1.1 200"));
        assert!(began.elapsed() < Duration::from_secs(10), "ready after {:?}", began.elapsed());
        let mut client = Http::connect(address);
        client.submit("confirm-booking", id);
        let mut job = Http::accept(&worker);
        job.read();
        accept_and_report_done(&mut job, address, id, "s-1");
        assert!(client.read().0.starts_with("HTTP/1.1 200"));
        // An idle gateway must not spin: its event loop wakes up for each sweep only.
        let (spent, since) = (cpu_ticks(&program), Instant::now());
        wait_until(|| since.elapsed() > Duration::from_millis(700), "");
        let ticks = cpu_ticks(&program) - spent;
        assert!(ticks < 20, "used {ticks} of 70 hundredths of a second of CPU time");
        if id == "o2" {
            // Discovery is back and must be called in time despite the idle clients.
            down.listen(16).unwrap();
            let listener = TcpListener::from(down.try_clone().unwrap());
            let since = Instant::now();
            Http::accept(&listener).read();
            assert!(since.elapsed() < Duration::from_secs(6), "{:?}", since.elapsed());
        }
        drop((clients, program));
    }
}
