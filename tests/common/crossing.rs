//! Peers that make two events cross: a process that is frozen, a listener whose connections do not come up, a reset.
#![allow(dead_code)]

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::net::{Http, Program, TEST_TIMEOUT, accept_any};

/// Waits for an event that can only be looked for.
pub fn wait_until(mut happened: impl FnMut() -> bool, what: &str) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !happened() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn stat(program: &Program) -> Vec<String> {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", program.child.id())).unwrap();
    text.rsplit(") ").next().unwrap().split(' ').map(String::from).collect()
}

/// Stops the process between two instructions: what comes until `resume` is there in one turn of its loop.
pub fn suspend(program: &Program) {
    program.signal("STOP");
    wait_until(|| stat(program)[0] == "T", "it does not stop");
}

/// Lets it go on.
pub fn resume(program: &Program) {
    program.signal("CONT");
}

/// Processor time that it has used, in hundredths of a second.
pub fn cpu_ticks(program: &Program) -> u64 {
    let stat = stat(program);
    stat[11].parse::<u64>().unwrap() + stat[12].parse::<u64>().unwrap()
}

/// Ends a connection by a reset.
pub fn reset(http: Http) {
    let stream = http.0.into_inner();
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// The program with so many descriptors, as the system counts them.
pub fn start_with_fd_limit(most: usize, config: &str) -> Program {
    let mut command = Command::new("/bin/sh");
    let line = format!("ulimit -n {most}; exec {}", env!("CARGO_BIN_EXE_micabeam"));
    command.args(["-c", &line]);
    Program::from_command(command, Some(config), None, None)
}

/// An answer of discovery: changes up to a version.
pub fn send_list_changes(watch: &mut Http, seq: u64, hosts: &[&str]) {
    let body = format!(r#"{{"seq": {seq}, "whole": false, "hosts": [{}]}}"#, hosts.join(","));
    watch.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
}

/// A listener whose connections do not come up: its backlog is full until it is opened.
pub struct BacklogListener {
    pub listener: TcpListener,
    pub address: SocketAddr,
    fillers: std::cell::RefCell<Vec<TcpStream>>,
}

impl BacklogListener {
    /// One that can be reached until it is filled.
    pub fn empty() -> BacklogListener {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        BacklogListener { listener, address, fillers: std::cell::RefCell::default() }
    }

    /// One that is filled.
    pub fn filled() -> BacklogListener {
        let full = BacklogListener::empty();
        full.fill();
        full
    }

    /// Fills its backlog: the system drops what comes then, and its opener tries again after a second.
    pub fn fill(&self) {
        self.listener.set_nonblocking(false).unwrap();
        self.fillers.borrow_mut().push(TcpStream::connect(self.address).unwrap());
        let over = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        assert!(over.is_err(), "it is not full");
    }

    /// Opens it: what was tried meanwhile comes up.
    pub fn clear(self) -> TcpListener {
        // The filler ends, so that it is not taken for one of the program's.
        self.listener.set_nonblocking(false).unwrap();
        for filler in self.fillers.borrow_mut().drain(..) {
            let (taken, _) = self.listener.accept().unwrap();
            drop((filler, taken));
        }
        self.listener
    }
}

/// The next connection that writes something.
pub fn accept_request(listener: &TcpListener) -> TcpStream {
    loop {
        let stream = accept_any(&[listener]);
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        if matches!(stream.peek(&mut [0]), Ok(1)) {
            return stream;
        }
    }
}

/// The connection that the program tries to open comes up, and ends with nothing written.
pub fn assert_no_request(listener: &TcpListener, what: &str) {
    let stream = accept_any(&[listener]);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert!(!matches!(stream.peek(&mut [0]), Ok(1)), "{what}");
}

/// No connection has come.
pub fn assert_no_connection(listener: &TcpListener, what: &str) {
    listener.set_nonblocking(true).unwrap();
    assert!(listener.accept().is_err(), "{what}");
}
