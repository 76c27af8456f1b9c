//! Helpers for tests over sockets: the gateway as a child process on loopback, and scripted peers. Reads
//! block until data arrives, for at most `TEST_TIMEOUT`.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Timeout of blocking reads and of polling loops. Only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings with a safe and an unsafe class whose latency objectives (`aim`) are long, so that a slow
/// machine meets them, and an unsafe class with a short deadline.
pub const SETTINGS: &str = r#"{"balancers": 1, "myNumber": 0, "quantum": 1000, "membershipMode": "subscribe",
    "grades": [
      {"name": "avail-search", "aim": 4000000, "hardLimit": 5000000, "semantics": "retryable"},
      {"name": "confirm-booking", "aim": 4000000, "hardLimit": 5000000, "semantics": "fragile"},
      {"name": "short-hold", "aim": 100000, "hardLimit": 400000, "semantics": "fragile"}],
    "caps": {"sendCap": 5, "mayCancel": true, "connIdle": 15000000, "connectTimeout": 250000,
      "maxRetryAfter": 2000000},
    "tenants": [{"name": "fraser-parks"}, {"name": "cariboo-rv"}],
    "familyInfo": {"tellsStart": true, "reportX0": "free slots"}, "report": {"fields": ["queue", "x0"]},
    "rules": {"coldFrom": 0.1, "cold": 20000000, "tipMultiple": 2.5, "askWithin": 4000000}}"#;

/// Writes a file into a new directory and returns its path.
pub fn file(name: &str, text: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}", std::process::id()));
    // An earlier test process may have had the same PID.
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join(name), text).unwrap();
    dir.join(name)
}

/// The gateway as a child process. It is killed on drop.
pub struct Program {
    pub child: Child,
    /// The configuration, the Gearman file and the operator file, if given.
    pub files: [Option<PathBuf>; 3],
    stdout: BufReader<ChildStdout>,
    pub stderr: BufReader<ChildStderr>,
}

impl Program {
    pub fn start(config: Option<&str>, gearman: Option<&str>) -> Program {
        Program::start_with_files(config, gearman, None)
    }

    /// Starts the gateway with an operator file alone.
    pub fn start_with_operator_file(text: &str) -> Program {
        Program::start_with_files(None, None, Some(text))
    }

    fn start_with_files(config: Option<&str>, gearman: Option<&str>, operator: Option<&str>) -> Program {
        Program::from_command(Command::new(env!("CARGO_BIN_EXE_micabeam")), config, gearman, operator)
    }

    /// Starts the gateway with `TMPDIR` set to `notes`, where it writes its handover note.
    pub fn start_with_temp_dir(config: &str, notes: &std::path::Path) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_micabeam"));
        command.env("TMPDIR", notes);
        Program::from_command(command, Some(config), None, None)
    }

    /// Runs `command`, which starts the gateway, with the given files.
    pub fn from_command(
        mut command: Command,
        config: Option<&str>,
        gearman: Option<&str>,
        operator: Option<&str>,
    ) -> Program {
        for variable in ["LB_CONFIG", "LB_LISTEN", "LB_DISCOVERY", "LB_NAME"] {
            command.env_remove(variable);
        }
        let files = [
            config.map(|text| file("config.json", text)),
            gearman.map(|text| file("gearman.json", text)),
            operator.map(|text| file("operator.toml", text)),
        ];
        if let Some(config) = &files[0] {
            command.env("LB_CONFIG", config);
        }
        if let Some(gearman) = &files[1] {
            command.arg("--gearman").arg(gearman);
        }
        if let Some(operator) = &files[2] {
            command.arg("--operator").arg(operator);
        }
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        let stdout = BufReader::new(child.stdout.take().unwrap());
        let stderr = BufReader::new(child.stderr.take().unwrap());
        Program { child, files, stdout, stderr }
    }

    /// Reads a line from standard output and returns the address at its end.
    pub fn read_address(&mut self) -> SocketAddr {
        let mut line = String::new();
        self.stdout.read_line(&mut line).unwrap();
        line.trim().rsplit(' ').next().unwrap().parse().unwrap_or_else(|_| panic!("printed {line:?}"))
    }

    /// Overwrites a file (`at` is its index in `files`), sends SIGHUP, and returns the next plain line of the
    /// log.
    pub fn reload(&mut self, at: usize, text: &str) -> String {
        std::fs::write(self.files[at].as_ref().unwrap(), text).unwrap();
        self.signal("HUP");
        self.next_plain_line()
    }

    /// Returns the next line of the log that starts with `micabeam: `, and an empty text at the end. Events
    /// of `tracing` start with their time and are skipped.
    pub fn next_plain_line(&mut self) -> String {
        loop {
            let mut line = String::new();
            let length = self.stderr.read_line(&mut line).unwrap();
            if length == 0 || line.starts_with("micabeam: ") {
                return line;
            }
        }
    }

    /// Sends a signal, given by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("/bin/sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Waits for the process to exit. Returns whether its exit status is 0, and the rest of its log.
    pub fn wait(mut self) -> (bool, String) {
        let mut text = String::new();
        self.stderr.read_to_string(&mut text).unwrap();
        (self.child.wait().unwrap().success(), text)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the gateway with the platform's HTTP frontend. `hosts` is the list of its configuration.
pub fn platform(discovery: SocketAddr, hosts: &[(&str, SocketAddr)]) -> (Program, SocketAddr) {
    platform_with_sockets(256, discovery, hosts)
}

/// Starts the gateway as `platform` does, with a limit on the number of sockets.
pub fn platform_with_sockets(
    sockets: usize,
    discovery: SocketAddr,
    hosts: &[(&str, SocketAddr)],
) -> (Program, SocketAddr) {
    let mut program = Program::start(Some(&config(sockets, discovery, hosts)), None);
    let address = program.read_address();
    (program, address)
}

/// Returns a configuration for the platform's HTTP frontend, with `hosts` as version 7 of the list.
pub fn config(sockets: usize, discovery: SocketAddr, hosts: &[(&str, SocketAddr)]) -> String {
    let lines: Vec<String> = hosts.iter().map(|(name, dial)| host(name, *dial, "up")).collect();
    format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "{discovery}", "seed": "5eed",
            "limits": {{"sockets": {sockets}}}, "settings": {SETTINGS},
            "known": {{"seq": 7, "whole": true, "hosts": [{}]}}}}"#,
        lines.join(",")
    )
}

/// Answers a process's first discovery call, which asks for an answer at once: nothing has changed, so the
/// list of the configuration is confirmed.
pub fn confirm_list(call: &mut Http) {
    let (head, _) = call.read();
    assert!(head.starts_with("GET /discovery/hosts?since=7&timeout_ms=0 "), "{head}");
    let body = r#"{"seq": 7, "whole": false, "hosts": []}"#;
    call.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
}

/// Returns an entry of the discovery list.
pub fn host(name: &str, dial: SocketAddr, health: &str) -> String {
    format!(r#"{{"host": "{name}", "dial": "{dial}", "health": "{health}", "share": 1.0, "born_ms": 0}}"#)
}

/// Returns a listener on a free loopback port, and its address.
pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Returns an address that refuses connections. Its port stays bound until the test process exits; if it were
/// freed, the kernel could give it to a listener of another test.
pub fn refusing_address() -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

/// Accepts the next connection at any of the listeners. Panics if none arrives within `TEST_TIMEOUT`.
pub fn accept_any(listeners: &[&TcpListener]) -> TcpStream {
    let end = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < end {
        for listener in listeners {
            listener.set_nonblocking(true).unwrap();
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("no connection arrived in time");
}

/// A scripted client's or server's end of an HTTP connection.
pub struct Http(pub BufReader<TcpStream>);

impl Http {
    pub fn connect(address: SocketAddr) -> Http {
        Http::from_stream(TcpStream::connect(address).unwrap())
    }

    pub fn accept(listener: &TcpListener) -> Http {
        Http::from_stream(accept_any(&[listener]))
    }

    /// Closes this connection and accepts the next one.
    pub fn accept_after(self, listener: &TcpListener) -> Http {
        drop(self);
        Http::accept(listener)
    }

    pub fn from_stream(stream: TcpStream) -> Http {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Http(BufReader::new(stream))
    }

    pub fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads a whole message and returns its head and body. The head is empty at the end of the connection.
    pub fn read(&mut self) -> (String, String) {
        let mut head = String::new();
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line).unwrap_or(0) == 0 {
                return (String::new(), String::new());
            }
            if line.trim().is_empty() {
                break;
            }
            head.push_str(&line);
        }
        let mut body = vec![0; header_value(&head, "content-length").map_or(0, |v| v.parse().unwrap())];
        self.0.read_exact(&mut body).unwrap();
        (head, String::from_utf8(body).unwrap())
    }

    /// Submits a job with a deadline of 4 s.
    pub fn submit(&mut self, class: &str, id: &str) {
        self.write(&format!(
            "POST /{class}/x?y=1 HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Owner: fraser-parks\r\n\
             Req-Deadline: 4000m\r\nContent-Length: 3\r\n\r\njob"
        ));
    }

    /// Sends a job event (call-back) and asserts that it is acknowledged with 204.
    pub fn call_back(&mut self, id: &str, from: &str, state: &str, result: &str) {
        let body = format!(r#"{{"id":"{id}","from":"{from}","state":"{state}","result":"{result}"}}"#);
        self.write(&format!(
            "POST /v1/job-events HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
        let (head, _) = self.read();
        assert!(head.starts_with("HTTP/1.1 204"), "{head}");
    }

    /// Answers a job with 202 Accepted.
    pub fn send_accepted(&mut self) {
        self.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    }
}

/// Answers a job that was read with 202, then reports its start and its end on a new connection, which is
/// returned for more call-backs.
pub fn accept_and_finish(job: &mut Http, address: SocketAddr, id: &str, result: &str) -> Http {
    job.send_accepted();
    let mut calls = Http::connect(address);
    calls.call_back(id, "s-1", "started", "");
    calls.call_back(id, "s-1", "done", result);
    calls
}

/// Returns the value of a header, if the message has it.
pub fn header_value(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim().to_string())
    })
}

/// Reads a counter of a running gateway from `GET /counters`.
pub fn counter(address: SocketAddr, name: &str) -> u64 {
    let mut http = Http::connect(address);
    http.write("GET /counters HTTP/1.1\r\nHost: a\r\n\r\n");
    let (_, text) = http.read();
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')).unwrap();
    line.parse().unwrap()
}

/// Returns a counter from the log of a gateway that has exited, or from the text of `GET /counters`.
pub fn logged_counter(log: &str, name: &str) -> u64 {
    let line = log.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {name} in {log}")).parse().unwrap()
}

/// Asserts that each accepted session has ended, and is counted under exactly one result.
pub fn assert_all_ended(log: &str) {
    let ends = ["turned_away", "served", "denied", "failed", "left"].map(|name| logged_counter(log, name));
    assert_eq!(logged_counter(log, "taken"), ends.iter().sum::<u64>(), "{log}");
}
