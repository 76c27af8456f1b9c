//! Peers for the stories on sockets: the program itself on loopback, and scripted ones around it. Reads wait
//! for what is to come, with a limit that only a failure meets.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings with a safe class and an unsafe one, and long aims, so that a slow machine is not late.
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

/// A file of the test's own.
pub fn file(name: &str, text: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}", std::process::id()));
    // An earlier test program may have had this process's number.
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join(name), text).unwrap();
    dir.join(name)
}

/// The program, killed when the story ends.
pub struct Program {
    pub child: Child,
    /// Its configuration, its Gearman file and its operator's file, where it has them.
    pub files: [Option<PathBuf>; 3],
    stdout: BufReader<ChildStdout>,
    pub stderr: BufReader<ChildStderr>,
}

impl Program {
    pub fn start(config: Option<&str>, gearman: Option<&str>) -> Program {
        Program::start_with_files(config, gearman, None)
    }

    /// The program with an operator's file.
    pub fn start_with_operator_file(text: &str) -> Program {
        Program::start_with_files(None, None, Some(text))
    }

    fn start_with_files(config: Option<&str>, gearman: Option<&str>, operator: Option<&str>) -> Program {
        Program::from_command(Command::new(env!("CARGO_BIN_EXE_micabeam")), config, gearman, operator)
    }

    /// The program with a directory for its notes.
    pub fn start_with_temp_dir(config: &str, notes: &std::path::Path) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_micabeam"));
        command.env("TMPDIR", notes);
        Program::from_command(command, Some(config), None, None)
    }

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

    /// The address that the next line it prints ends with.
    pub fn read_address(&mut self) -> SocketAddr {
        let mut line = String::new();
        self.stdout.read_line(&mut line).unwrap();
        line.trim().rsplit(' ').next().unwrap().parse().unwrap_or_else(|_| panic!("printed {line:?}"))
    }

    /// Replaces one of its files, has it read again, and gives the line that it says then.
    pub fn reload(&mut self, at: usize, text: &str) -> String {
        std::fs::write(self.files[at].as_ref().unwrap(), text).unwrap();
        self.signal("HUP");
        self.next_plain_line()
    }

    /// The next plain line of its log; events of `tracing`, which begin with their time, are passed over.
    pub fn next_plain_line(&mut self) -> String {
        loop {
            let mut line = String::new();
            let length = self.stderr.read_line(&mut line).unwrap();
            if length == 0 || line.starts_with("micabeam: ") {
                return line;
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("/bin/sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Waits for its end: whether it ended well, and what it wrote.
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

/// The platform's front over scripted backend servers, which the list held before the start.
pub fn platform(discovery: SocketAddr, hosts: &[(&str, SocketAddr)]) -> (Program, SocketAddr) {
    platform_with_sockets(256, discovery, hosts)
}

/// The same with so many descriptors.
pub fn platform_with_sockets(
    sockets: usize,
    discovery: SocketAddr,
    hosts: &[(&str, SocketAddr)],
) -> (Program, SocketAddr) {
    let mut program = Program::start(Some(&config(sockets, discovery, hosts)), None);
    let address = program.read_address();
    (program, address)
}

/// The configuration that it starts with.
pub fn config(sockets: usize, discovery: SocketAddr, hosts: &[(&str, SocketAddr)]) -> String {
    let lines: Vec<String> = hosts.iter().map(|(name, dial)| host(name, *dial, "up")).collect();
    format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "{discovery}", "seed": "5eed",
            "limits": {{"sockets": {sockets}}}, "settings": {SETTINGS},
            "known": {{"seq": 7, "whole": true, "hosts": [{}]}}}}"#,
        lines.join(",")
    )
}

/// A process's first call for the list, which asks for an answer at once: there is no news, and the list of its
/// configuration is confirmed.
pub fn confirm_list(call: &mut Http) {
    let (head, _) = call.read();
    assert!(head.starts_with("GET /discovery/hosts?since=7&timeout_ms=0 "), "{head}");
    let body = r#"{"seq": 7, "whole": false, "hosts": []}"#;
    call.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
}

/// A line of the list.
pub fn host(name: &str, dial: SocketAddr, health: &str) -> String {
    format!(r#"{{"host": "{name}", "dial": "{dial}", "health": "{health}", "share": 1.0, "born_ms": 0}}"#)
}

/// A listener, and its address.
pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// An address at which nobody listens. The port stays bound until the test program ends: freed, it could be
/// given to a listener of another story.
pub fn refusing_address() -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

/// The next connection at any of the listeners; none in good time is a failure.
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
    panic!("nobody connected");
}

/// One side of an HTTP connection.
pub struct Http(pub BufReader<TcpStream>);

impl Http {
    pub fn connect(address: SocketAddr) -> Http {
        Http::from_stream(TcpStream::connect(address).unwrap())
    }

    pub fn accept(listener: &TcpListener) -> Http {
        Http::from_stream(accept_any(&[listener]))
    }

    /// The next connection, once this one is dropped.
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

    /// A whole message: its head and its body. An empty head is the end.
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

    /// Hands a job in.
    pub fn submit(&mut self, class: &str, id: &str) {
        self.write(&format!(
            "POST /{class}/x?y=1 HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Owner: fraser-parks\r\n\
             Req-Deadline: 4000m\r\nContent-Length: 3\r\n\r\njob"
        ));
    }

    /// Calls back, and sees that the call is acknowledged.
    pub fn call_back(&mut self, id: &str, from: &str, state: &str, result: &str) {
        let body = format!(r#"{{"id":"{id}","from":"{from}","state":"{state}","result":"{result}"}}"#);
        self.write(&format!(
            "POST /v1/job-events HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
        let (head, _) = self.read();
        assert!(head.starts_with("HTTP/1.1 204"), "{head}");
    }

    pub fn send_accepted(&mut self) {
        self.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    }
}

/// A scripted server's part in a job that it has read: says 202, then tells of its start and its end on a
/// connection of its own, which is given back for more calls.
pub fn accept_and_finish(job: &mut Http, address: SocketAddr, id: &str, result: &str) -> Http {
    job.send_accepted();
    let mut calls = Http::connect(address);
    calls.call_back(id, "s-1", "started", "");
    calls.call_back(id, "s-1", "done", result);
    calls
}

/// A header's value.
pub fn header_value(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim().to_string())
    })
}

/// A counter, as the program tells it.
pub fn counter(address: SocketAddr, name: &str) -> u64 {
    let mut http = Http::connect(address);
    http.write("GET /counters HTTP/1.1\r\nHost: a\r\n\r\n");
    let (_, text) = http.read();
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')).unwrap();
    line.parse().unwrap()
}

/// A counter in the log of a program that has ended.
pub fn logged_counter(log: &str, name: &str) -> u64 {
    let line = log.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {name} in {log}")).parse().unwrap()
}

/// Sees that each session taken has ended, in one way.
pub fn assert_all_ended(log: &str) {
    let ends = ["turned_away", "served", "denied", "failed", "left"].map(|name| logged_counter(log, name));
    assert_eq!(logged_counter(log, "taken"), ends.iter().sum::<u64>(), "{log}");
}
