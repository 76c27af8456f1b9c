//! The operators' console and draining through it, over loopback, with one call per connection.

#[path = "common/net.rs"]
mod net;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use net::*;

/// Starts the gateway with a console. Returns it with the clients' address and the console's.
fn start(hosts: &[(&str, SocketAddr)]) -> (Program, SocketAddr, SocketAddr) {
    let config = config(256, refusing_address(), hosts).replacen('{', r#"{"console": "127.0.0.1:0", "#, 1);
    let mut program = Program::start(Some(&config), None);
    let (address, console) = (program.read_address(), program.read_address());
    (program, address, console)
}

/// Sends bytes as a call and reads the answer until the console closes the connection.
fn send(console: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(console).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// Sends one line as a call and returns the answer.
fn call(console: SocketAddr, line: &str) -> String {
    send(console, format!("{line}\n").as_bytes())
}

/// Returns the status line of `GET /up`.
fn up(address: SocketAddr) -> String {
    let mut http = Http::connect(address);
    http.write("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    http.read().0.lines().next().unwrap_or_default().to_string()
}

/// Guards against malformed calls without an answer, and callers without a complete line that block others or
/// stay connected.
#[test]
fn malformed_calls_get_nak_and_slow_callers_delay_nobody() {
    let (_program, _, console) = start(&[]);
    // Callers that send nothing, or half a line, must not delay others.
    let _silent = TcpStream::connect(console).unwrap();
    let mut half = TcpStream::connect(console).unwrap();
    half.write_all(b"read").unwrap();
    let began = Instant::now();
    assert_eq!(call(console, "readyz"), "ACK ready\n");
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    let figures = call(console, "telemetry");
    assert!(figures.ends_with("\n--\n"), "{figures}");
    for name in ["lb_downstream_requests_total{lane=\"avail-search\",result=\"completed\"} 0", "lb_pending 0"]
    {
        assert!(figures.lines().any(|line| line == name), "{name} in {figures}");
    }
    for (bytes, reason) in [
        (b"exclude s-1\n".to_vec(), "NAK unknown call\n"),
        (vec![b'x'; 300], "NAK line too long\n"),
        (b"ready\xff\n".to_vec(), "NAK not UTF-8\n"),
        (b"\n".to_vec(), "NAK empty call\n"),
    ] {
        assert_eq!(send(console, &bytes), reason, "{bytes:?}");
    }
    // The caller shuts down its writing side without a line end.
    let mut cut = TcpStream::connect(console).unwrap();
    cut.write_all(b"readyz").unwrap();
    cut.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    cut.read_to_string(&mut answer).unwrap();
    assert_eq!(answer, "NAK no line end\n");
    // The caller with half a line is closed at its deadline.
    half.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert_eq!(half.read(&mut [0; 16]).unwrap_or(0), 0);
    assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
}

/// Guards against an evacuation that drops open jobs, keeps idle connections open or reports ready, and
/// against a gateway that stays unavailable after `activate`.
#[test]
fn evacuate_closes_idle_clients_and_finishes_open_jobs_until_activate() {
    let (worker, dial) = listener();
    let (_program, address, console) = start(&[("s-1", dial)]);
    assert!(up(address).starts_with("HTTP/1.1 200"));
    let mut idle = Http::connect(address);
    idle.write("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    idle.read();
    let mut busy = Http::connect(address);
    busy.submit("confirm-booking", "e1");
    let mut job = Http::accept(&worker);
    job.read();
    assert_eq!(call(console, "evacuate"), "ACK\n");
    assert_eq!(call(console, "evacuate"), "ACK\n", "a second evacuate is not acknowledged");
    assert_eq!(call(console, "readyz"), "NAK evacuating\n");
    assert!(up(address).starts_with("HTTP/1.1 503"));
    // The idle connection is closed; the busy one gets its answer and is closed after it.
    assert_eq!(idle.read().0, "");
    accept_and_finish(&mut job, address, "e1", "done late");
    let (head, body) = busy.read();
    assert_eq!(body, "done late");
    assert!(header_value(&head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close")), "{head}");
    assert_eq!(busy.read().0, "");
    assert_eq!(call(console, "activate"), "ACK\n");
    assert_eq!(call(console, "readyz"), "ACK ready\n");
    assert!(up(address).starts_with("HTTP/1.1 200"));
    let figures = call(console, "telemetry");
    let served = "lb_downstream_requests_total{lane=\"confirm-booking\",result=\"completed\"} 1";
    assert!(figures.lines().any(|line| line == served), "{figures}");
    assert!(figures.lines().any(|line| line == "lb_upstream_requests_total 1"), "{figures}");
}

/// Guards against a start without a console, or without a reason, when its address is invalid.
#[test]
fn an_invalid_console_address_exits_with_a_one_line_message() {
    let config = config(256, refusing_address(), &[]).replacen('{', r#"{"console": "here", "#, 1);
    let (ended_well, log) = Program::start(Some(&config), None).wait();
    assert!(!ended_well);
    assert_eq!(log.trim(), "micabeam: `console` is not a socket address: here", "{log}");
}
