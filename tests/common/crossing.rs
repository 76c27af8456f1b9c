//! Helpers that force an interleaving of two events: suspending the gateway, a listener whose backlog is
//! full, and connection resets.
#![allow(dead_code)]

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::net::{Http, Program, TEST_TIMEOUT, accept_any};

/// Polls until `happened` returns true. Panics with `what` after `TEST_TIMEOUT`.
pub fn wait_until(mut happened: impl FnMut() -> bool, what: &str) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !happened() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Returns the fields of `/proc/PID/stat` that follow the command name.
fn stat(program: &Program) -> Vec<String> {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", program.child.id())).unwrap();
    text.rsplit(") ").next().unwrap().split(' ').map(String::from).collect()
}

/// Suspends the process with SIGSTOP. All input that arrives until `resume` is seen in one pass of its event
/// loop.
pub fn suspend(program: &Program) {
    program.signal("STOP");
    wait_until(|| stat(program)[0] == "T", "the process is not suspended");
}

/// Resumes a suspended process with SIGCONT.
pub fn resume(program: &Program) {
    program.signal("CONT");
}

/// Returns the CPU time that the process has used, in hundredths of a second.
pub fn cpu_ticks(program: &Program) -> u64 {
    let stat = stat(program);
    stat[11].parse::<u64>().unwrap() + stat[12].parse::<u64>().unwrap()
}

/// Closes a connection with a TCP reset.
pub fn reset(http: Http) {
    let stream = http.0.into_inner();
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// Starts the gateway with a limit on its file descriptors (`ulimit -n`).
pub fn start_with_fd_limit(most: usize, config: &str) -> Program {
    let mut command = Command::new("/bin/sh");
    let line = format!("ulimit -n {most}; exec {}", env!("CARGO_BIN_EXE_micabeam"));
    command.args(["-c", &line]);
    Program::from_command(command, Some(config), None, None)
}

/// Answers a discovery watch with the changes up to version `seq`.
pub fn send_list_changes(watch: &mut Http, seq: u64, hosts: &[&str]) {
    let body = format!(r#"{{"seq": {seq}, "whole": false, "hosts": [{}]}}"#, hosts.join(","));
    watch.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
}

/// A listener whose backlog can be filled, so that connections to it stay in connect until it is cleared.
pub struct BacklogListener {
    pub listener: TcpListener,
    pub address: SocketAddr,
    fillers: std::cell::RefCell<Vec<TcpStream>>,
}

impl BacklogListener {
    /// Returns a listener that accepts connections until `fill` is called.
    pub fn empty() -> BacklogListener {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        BacklogListener { listener, address, fillers: std::cell::RefCell::default() }
    }

    /// Returns a listener with a full backlog.
    pub fn filled() -> BacklogListener {
        let full = BacklogListener::empty();
        full.fill();
        full
    }

    /// Fills the backlog. The kernel drops further SYN packets, and a connecting peer retransmits after one
    /// second.
    pub fn fill(&self) {
        self.listener.set_nonblocking(false).unwrap();
        self.fillers.borrow_mut().push(TcpStream::connect(self.address).unwrap());
        let over = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        assert!(over.is_err(), "the backlog is not full");
    }

    /// Empties the backlog, so that pending connects succeed.
    pub fn clear(self) -> TcpListener {
        // Accepted here, so that no test mistakes it for a connection of the gateway.
        self.listener.set_nonblocking(false).unwrap();
        for filler in self.fillers.borrow_mut().drain(..) {
            let (taken, _) = self.listener.accept().unwrap();
            drop((filler, taken));
        }
        self.listener
    }
}

/// Accepts connections until one of them sends data, and returns that one.
pub fn accept_request(listener: &TcpListener) -> TcpStream {
    loop {
        let stream = accept_any(&[listener]);
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        if matches!(stream.peek(&mut [0]), Ok(1)) {
            return stream;
        }
    }
}

/// Asserts that the gateway's next connection is established and closed without any data.
pub fn assert_no_request(listener: &TcpListener, what: &str) {
    let stream = accept_any(&[listener]);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert!(!matches!(stream.peek(&mut [0]), Ok(1)), "{what}");
}

/// Asserts that no connection is waiting.
pub fn assert_no_connection(listener: &TcpListener, what: &str) {
    listener.set_nonblocking(true).unwrap();
    assert!(listener.accept().is_err(), "{what}");
}
