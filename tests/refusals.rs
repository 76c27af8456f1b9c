//! Integration tests of refusals (429 and 503): which of them a client of the streaming frontend may get.

#[path = "common/net.rs"]
mod net;
#[path = "common/wire.rs"]
mod wire;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use net::*;
use wire::*;

/// Bytes of a body that is longer than the prefix that is kept for a retry.
const LONG_BODY: usize = 50_000;

/// A request and what of it the server reads before it responds.
struct Case {
    name: &'static str,
    method: &'static str,
    version: &'static str,
    headers: &'static str,
    stated_length: usize,
    sent_length: usize,
}

const CASES: [Case; 6] = [
    Case::new("no body", "GET", 0, 0),
    Case::new("head request", "HEAD", 0, 0),
    Case { version: "1.0", ..Case::new("client of HTTP/1.0", "PUT", 5_000, 5_000) },
    Case::new("body that is kept", "PUT", 5_000, 5_000),
    Case::new("body that is not kept", "PUT", LONG_BODY, LONG_BODY),
    Case { headers: "Expect: 100-continue\r\n", ..Case::new("body that was not sent", "PUT", LONG_BODY, 0) },
];

impl Case {
    const fn new(name: &'static str, method: &'static str, stated_length: usize, sent_length: usize) -> Case {
        Case { name, method, version: "1.1", headers: "", stated_length, sent_length }
    }

    /// Sends the request on a new connection and has a server read what is sent of it.
    fn send(&self, class: &str, gateway: SocketAddr, servers: &[&TcpListener]) -> (Wire, Wire) {
        let Case { method, version, headers, stated_length, .. } = self;
        let mut client = Wire::connect(gateway);
        client.write(format!("{method} /{class}/x HTTP/{version}\r\nHost: a\r\n{headers}"));
        client.write(format!("Content-Length: {stated_length}\r\n\r\n"));
        client.write(body(self.sent_length));
        let mut backend = Wire::from_stream(accept_any(servers));
        assert!(backend.read_head().starts_with(method), "{}", self.name);
        backend.read_exact_bytes(self.sent_length);
        (client, backend)
    }
}

/// Returns a refusal with each status and in each form that a body can have.
fn refusals() -> Vec<String> {
    let statuses = ["429 Too Many Requests", "503 Service Unavailable"];
    let forms = [
        "HTTP/1.1 STATUS\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy",
        "HTTP/1.1 STATUS\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n",
        "HTTP/1.1 STATUS\r\nSrv-Declined: 0\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.0 STATUS\r\n\r\nbusy",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 STATUS\r\nContent-Length: 0\r\n\r\n",
    ];
    let mut all: Vec<String> =
        statuses.iter().flat_map(|status| forms.map(|form| form.replace("STATUS", status))).collect();
    // Only 503 and 504 with this header are proof.
    all.push("HTTP/1.1 429 Too Many Requests\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n".into());
    all
}

/// Reads heads up to the final one.
fn read_final_head(client: &mut Wire) -> String {
    loop {
        let head = client.read_head();
        if !head.starts_with("HTTP/1.1 1") {
            return head;
        }
    }
}

/// Returns a listener whose backlog has room for one connection, which is taken.
fn listener_with_full_backlog() -> (TcpListener, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    std::mem::forget(TcpStream::connect(address).unwrap());
    (listener, address)
}

/// Waits until a connection to this address has been begun and is not established.
fn wait_until_connecting(address: SocketAddr) {
    const SYN_SENT: &str = "02";
    let remote = format!(":{:04X}", address.port());
    let is_connecting = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields[2].ends_with(&remote) && fields[3] == SYN_SENT
    };
    let end = Instant::now() + TEST_TIMEOUT;
    while !std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(is_connecting) {
        assert!(Instant::now() < end, "no connection was begun");
        thread::sleep(Duration::from_millis(1));
    }
}

fn assert_no_connection(listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    assert!(listener.accept().is_err(), "the request was sent again");
}

/// Guards against a second run by the client's retry: a server's 429 or 503 without proof was relayed although the request may
/// have run and must not run again.
#[test]
fn unproven_refusal_of_a_request_that_must_not_run_twice_is_a_failure() {
    let (listener, server) = listener();
    for case in &CASES {
        for refusal in refusals() {
            // A failed server is not used for some time, so each case starts its own program.
            let (_program, address) = start(&[server], "", "");
            let (mut client, mut backend) = case.send("once", address, &[&listener]);
            backend.write(&refusal);
            drop(backend);
            let head = read_final_head(&mut client);
            assert!(head.starts_with("HTTP/1.1 502"), "{}, {refusal:?}: {head:?}", case.name);
            assert!(!head.contains("Retry-After"), "{head}");
        }
    }
    assert_no_connection(&listener);
}

/// Guards against a mend that takes refusals away from requests that may run twice.
#[test]
fn refusal_of_a_request_that_may_run_twice_is_relayed_as_it_came() {
    let (listener, server) = listener();
    for case in &CASES {
        for refusal in refusals() {
            let (_program, address) = start(&[server], "", "");
            let (mut client, mut backend) = case.send("safe", address, &[&listener]);
            backend.write(&refusal);
            drop(backend);
            let head = read_final_head(&mut client);
            let is_same = refusal.contains(&head[9..12]);
            assert!(is_same && head[9..12] != *"502", "{}, {refusal:?}: {head:?}", case.name);
            assert_eq!(head.contains("Retry-After: 1"), refusal.contains("Retry-After: 1"), "{head}");
        }
    }
    assert_no_connection(&listener);
}

/// Guards against a mend that takes a proven refusal for a failure, or sends a request again after an unproven one.
#[test]
fn only_a_proven_refusal_lets_an_unsafe_request_be_sent_again_or_refused() {
    const DECLINED: &str = "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    const UNPROVEN: &str = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
    let ((first, one), (second, two)) = (listener(), listener());
    for (responses, expected) in [
        (vec![DECLINED, OK], "200"),
        (vec![DECLINED, DECLINED], "503"),
        (vec![DECLINED, UNPROVEN], "502"),
        (vec![UNPROVEN], "502"),
    ] {
        let (_program, address) = start(&[one, two], "attempts = 2", "");
        let (mut client, mut backend) = CASES[3].send("once", address, &[&first, &second]);
        for (at, response) in responses.iter().enumerate() {
            if at > 0 {
                backend = Wire::from_stream(accept_any(&[&first, &second]));
                backend.read_head();
                backend.read_exact_bytes(CASES[3].sent_length);
            }
            backend.write(response);
        }
        let head = client.read_head();
        assert!(head.starts_with(&format!("HTTP/1.1 {expected}")), "{responses:?}: {head}");
    }
    // Nothing of a long body can be sent again, so the server's own refusal is relayed.
    let (_program, address) = start(&[one, two], "", "");
    let (mut client, mut backend) = CASES[4].send("once", address, &[&first, &second]);
    backend.write(DECLINED);
    let head = client.read_head();
    assert!(head.starts_with("HTTP/1.1 503") && head.contains("Srv-Declined: 1"), "{head}");
    assert_no_connection(&first);
    assert_no_connection(&second);
}

/// Guards against a failure, or a request that is written all the same, when a server refuses a connection before it has been
/// sent a byte.
#[test]
fn unsafe_request_that_is_refused_before_its_first_byte_never_ran() {
    let (full, server) = listener_with_full_backlog();
    let (program, address) = start(&[server], "connect_s = 20\nattempts = 1", "");
    let mut client = Wire::connect(address);
    client.write(put("once", 3) + "job");
    wait_until_connecting(server);
    // While the program is stopped, the connection is established and the refusal arrives.
    program.signal("STOP");
    drop(Wire::accept(&full));
    let mut backend = Wire::accept(&full);
    backend.write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    program.signal("CONT");
    backend.assert_end();
    assert!(client.read_head().starts_with("HTTP/1.1 503"));
    program.signal("TERM");
    let (_, log) = program.wait();
    let counted = ["never_ran", "denied", "unproven_refusals"].map(|name| logged_counter(&log, name));
    assert_eq!(counted, [1, 1, 0], "{log}");
}

/// Guards against a reload that makes a class safe and thereby lets a refusal of a request pass that came before it.
#[test]
fn reload_does_not_let_an_unproven_refusal_of_an_open_request_pass() {
    let (listener, server) = listener();
    let (mut program, address) = start(&[server], "", "");
    let (mut client, mut backend) = CASES[3].send("once", address, &[&listener]);
    let reloaded = operator_file(&[server], "", "").replace("repeat = \"never\"", "repeat = \"safe\"");
    assert_eq!(program.reload(2, &reloaded), "micabeam: the configuration was read again\n");
    backend.write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    assert!(client.read_head().starts_with("HTTP/1.1 502"));
    assert_no_connection(&listener);
}

/// Guards against counters that do not tell a relayed refusal from one that was turned into a failure.
#[test]
fn relayed_and_unproven_refusals_are_counted() {
    let (listener, server) = listener();
    let (program, address) = start(&[server], "", "");
    for class in ["once", "safe"] {
        let (mut client, mut backend) = CASES[0].send(class, address, &[&listener]);
        backend.write("HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n");
        client.read_head();
    }
    program.signal("TERM");
    let (_, log) = program.wait();
    let counted = ["unproven_refusals", "relayed_refusals"].map(|name| logged_counter(&log, name));
    assert_eq!(counted, [1, 1], "{log}");
    assert_all_ended(&log);
}

/// Guards against a stop that refuses a request which is at a server, or fails one of which nothing was sent.
#[test]
fn request_that_is_at_a_server_fails_at_the_end_of_a_stop_and_one_that_is_not_is_refused() {
    let (listener, server) = listener();
    let (program, address) = start(&[server], "stop_s = 1.5", "");
    let (mut at_server, mut backend) = CASES[3].send("once", address, &[&listener]);
    let mut unsent = Wire::connect(address);
    unsent.write(put("once", LONG_BODY) + "a part of the prefix");
    program.signal("TERM");
    assert!(at_server.read_head().starts_with("HTTP/1.1 502"));
    assert!(unsent.read_head().starts_with("HTTP/1.1 503"));
    backend.assert_end();
    assert!(program.wait().0);
}

/// Guards against the same on the platform's frontend: a booking worker's 429 or 503 without proof fails a job that must not run
/// twice.
#[test]
fn unproven_refusal_of_an_unsafe_job_of_the_platform_is_a_failure() {
    for status in ["429 Too Many Requests", "503 Service Unavailable"] {
        let (listener, worker) = listener();
        let (_program, address) = platform(refusing_address(), &[("s-1", worker)]);
        let mut client = Http::connect(address);
        client.submit("confirm-booking", "c1");
        let mut job = Http::accept(&listener);
        job.read();
        job.write(&format!("HTTP/1.1 {status}\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"));
        let (head, _) = client.read();
        assert!(head.starts_with("HTTP/1.1 500") && !head.contains("Retry-After"), "{head}");
        assert_no_connection(&listener);
    }
}
