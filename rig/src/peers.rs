//! Stand-in clients and backend servers that stream bodies over HTTP/1.1, each limited to its own rate.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3;

use crate::body::Body;
use crate::{RigError, io_context};

/// Read and write timeout of a connection, so long that only a peer that hangs runs into it.
const IO_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest number of bytes in one read or write.
const MAX_PART_BYTES: usize = 128 * 1024;
/// Stack size of a peer's thread; small, because hundreds of them run at once.
const STACK_BYTES: usize = 512 * 1024;

/// Direction of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the server.
    Up,
    /// From the server to the client.
    Down,
}

/// A request for one stream. Its path contains everything that the stand-in server needs to know.
#[derive(Clone, Copy, Debug)]
pub struct StreamRequest {
    /// Job class, the first segment of the path.
    pub class: &'static str,
    /// Direction of the body.
    pub direction: Direction,
    /// The body to transfer.
    pub body: Body,
    /// Whether the body is sent with chunked encoding, without a content length.
    pub chunked: bool,
    /// Rate limit of the client in bytes per second; 0 for no limit.
    pub client_rate: u64,
    /// Rate limit of the server in bytes per second; 0 for no limit.
    pub server_rate: u64,
}

/// Outcome of a stream, as its client sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamOutcome {
    /// The body arrived whole, with the right size and hash.
    Complete,
    /// The stream failed in a way that the client can recognise.
    FailedCleanly(String),
    /// The body seemed complete but was wrong, or the connection stalled until the timeout.
    Broken(String),
}

/// Limits a transfer to a rate by sleeping when it is ahead; a rate of 0 means no limit.
struct Pacer {
    rate: u64,
    began: Instant,
    moved: u64,
}

impl Pacer {
    fn new(rate: u64) -> Pacer {
        Pacer { rate, began: Instant::now(), moved: 0 }
    }

    /// Returns the largest number of bytes for the next read or write: what the rate allows in a tenth of a
    /// second.
    fn next_len(&self) -> usize {
        if self.rate == 0 { MAX_PART_BYTES } else { (self.rate / 10).max(1) as usize }
    }

    fn on_transferred(&mut self, bytes: usize) {
        self.moved += bytes as u64;
        if self.rate > 0 {
            let due = Duration::from_secs_f64(self.moved as f64 / self.rate as f64);
            thread::sleep(due.saturating_sub(self.began.elapsed()));
        }
    }
}

fn send(out: &mut impl Write, body: Body, chunked: bool, rate: u64) -> io::Result<()> {
    let (mut at, mut pacer) = (0, Pacer::new(rate));
    while at < body.size {
        let part = body.slice(at, pacer.next_len());
        if chunked {
            out.write_all(format!("{:x};n={at}\r\n", part.len()).as_bytes())?;
            out.write_all(part)?;
            out.write_all(b"\r\n")?;
        } else {
            out.write_all(part)?;
        }
        at += part.len() as u64;
        pacer.on_transferred(part.len());
    }
    if chunked { out.write_all(b"0\r\nRig-Size: told\r\n\r\n") } else { Ok(()) }
}

struct Received {
    hash: u64,
    size: u64,
    complete: bool,
}

/// Reads a body of the given length, or a chunked one if there is no length.
fn receive(from: &mut BufReader<TcpStream>, length: Option<u64>, rate: u64) -> io::Result<Received> {
    let (mut hash, mut size, mut pacer) = (Xxh3::new(), 0, Pacer::new(rate));
    let mut buffer = vec![0; MAX_PART_BYTES];
    let mut read_part = |from: &mut BufReader<TcpStream>, mut left: u64| -> io::Result<bool> {
        while left > 0 {
            let max = pacer.next_len().min(buffer.len()).min(usize::try_from(left).unwrap_or(usize::MAX));
            match from.read(&mut buffer[..max]) {
                Ok(0) => return Ok(false),
                Ok(n) => {
                    hash.update(&buffer[..n]);
                    (size, left) = (size + n as u64, left - n as u64);
                    pacer.on_transferred(n);
                }
                // Like an end of file, a reset shows the receiver that the body was cut.
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return Ok(false),
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    };
    let complete = match length {
        Some(length) => read_part(from, length)?,
        None => loop {
            let mut line = String::new();
            if from.read_line(&mut line).unwrap_or(0) == 0 {
                break false;
            }
            let count = line.trim().split(';').next().and_then(|n| u64::from_str_radix(n, 16).ok());
            let Some(count) = count else { return Err(ErrorKind::InvalidData.into()) };
            if count == 0 {
                break headers(from)?.is_some();
            }
            if !read_part(from, count)? || from.read_line(&mut String::new())? == 0 {
                break false;
            }
        },
    };
    Ok(Received { hash: hash.digest(), size, complete })
}

/// Reads the headers after the first line of a message, or the trailers; `None` if the connection is closed
/// before their end.
fn headers(from: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<(String, String)>>> {
    let mut out = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim().split_once(':') {
            Some((name, value)) => out.push((name.to_ascii_lowercase(), value.trim().to_string())),
            None => return Ok(Some(out)),
        }
    }
}

fn header(headers: &[(String, String)], name: &str) -> Option<u64> {
    headers.iter().find(|(n, _)| n == name).and_then(|(_, v)| v.parse().ok())
}

impl StreamRequest {
    fn path(&self) -> String {
        let direction = if self.direction == Direction::Up { "up" } else { "down" };
        let Body { seed, size } = self.body;
        format!("/{}/{direction}/{size}/{seed}/{}/{}", self.class, u8::from(self.chunked), self.server_rate)
    }

    fn from_path(path: &str) -> Option<StreamRequest> {
        let mut parts = path.trim_start_matches('/').split('/').skip(1);
        let direction = if parts.next()? == "up" { Direction::Up } else { Direction::Down };
        let mut number = || parts.next()?.parse::<u64>().ok();
        let (size, seed) = (number()?, number()?);
        let (chunked, server_rate) = (number()? == 1, number()?);
        Some(StreamRequest {
            class: "",
            direction,
            body: Body { seed, size },
            chunked,
            client_rate: 0,
            server_rate,
        })
    }

    /// Runs the stream over a new connection.
    pub fn run(&self, address: SocketAddr) -> StreamOutcome {
        match connect(address) {
            Ok(stream) => self.run_on(&mut BufReader::new(stream)),
            Err(e) => StreamOutcome::FailedCleanly(format!("connect failed: {e}")),
        }
    }

    /// Runs the stream over an open connection.
    pub fn run_on(&self, peer: &mut BufReader<TcpStream>) -> StreamOutcome {
        match self.try_run_on(peer) {
            Ok(end) => end,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                StreamOutcome::Broken("timed out".into())
            }
            Err(e) => StreamOutcome::FailedCleanly(e.to_string()),
        }
    }

    fn try_run_on(&self, peer: &mut BufReader<TcpStream>) -> io::Result<StreamOutcome> {
        let method = if self.direction == Direction::Up { "PUT" } else { "GET" };
        let mut head = format!("{method} {} HTTP/1.1\r\nHost: rig\r\n", self.path());
        match (self.direction, self.chunked) {
            (Direction::Up, true) => head.push_str("Transfer-Encoding: chunked\r\n"),
            (Direction::Up, false) => head.push_str(&format!("Content-Length: {}\r\n", self.body.size)),
            _ => {}
        }
        head.push_str("\r\n");
        peer.get_mut().write_all(head.as_bytes())?;
        if self.direction == Direction::Up {
            // A write fails if the server responds early or closes the connection; the read below finds out
            // which.
            let _ = send(peer.get_mut(), self.body, self.chunked, self.client_rate);
        }
        let mut line = String::new();
        if peer.read_line(&mut line)? == 0 {
            return Ok(StreamOutcome::FailedCleanly("connection closed before the response".into()));
        }
        let Some(headers) = headers(peer)? else {
            return Ok(StreamOutcome::FailedCleanly("connection closed in the response head".into()));
        };
        let length = header(&headers, "content-length");
        let rate = if self.direction == Direction::Down { self.client_rate } else { 0 };
        let received = receive(peer, length, rate)?;
        let status = line.split(' ').nth(1).unwrap_or("");
        if !received.complete {
            return Ok(StreamOutcome::FailedCleanly(format!(
                "connection closed after {} bytes of the body",
                received.size
            )));
        }
        if status != "200" {
            return Ok(StreamOutcome::FailedCleanly(format!("status {status}")));
        }
        let (size, hash) = match self.direction {
            Direction::Down => (received.size, received.hash),
            // The server reports the size and hash of what it received.
            Direction::Up => {
                let size = header(&headers, "rig-size").unwrap_or(0);
                let hash = headers.iter().find(|(n, _)| n == "rig-hash").map_or("", |(_, v)| v.as_str());
                (size, u64::from_str_radix(hash, 16).unwrap_or(0))
            }
        };
        if (size, hash) == (self.body.size, self.body.hash()) {
            Ok(StreamOutcome::Complete)
        } else {
            Ok(StreamOutcome::Broken(format!(
                "{size} bytes of {} received, with a different hash",
                self.body.size
            )))
        }
    }
}

/// Opens a connection with the timeouts of the stand-ins.
///
/// # Errors
/// Returns an error if the connection cannot be opened.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    Ok(stream)
}

/// Counters of a stand-in server.
#[derive(Debug, Default)]
pub struct ServerStats {
    /// Requests of which the request line arrived.
    pub requests: AtomicU64,
    /// Total duration of the requests in microseconds, each from its request line to the end of its response.
    pub busy_us: AtomicU64,
    /// Request bodies that arrived whole, but with another size than their path states.
    pub wrong_bodies: AtomicU64,
}

/// Starts a stand-in server, which runs until this process exits. Returns its address and counters.
///
/// # Errors
/// Returns an error if the server cannot listen.
pub fn serve() -> Result<(SocketAddr, Arc<ServerStats>), RigError> {
    let listener = io_context("stand-in server", TcpListener::bind("127.0.0.1:0"))?;
    let address = io_context("stand-in server", listener.local_addr())?;
    let stats = Arc::new(ServerStats::default());
    let shared = Arc::clone(&stats);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let stats = Arc::clone(&shared);
            spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(IO_TIMEOUT));
                let _ = stream.set_write_timeout(Some(IO_TIMEOUT));
                let mut peer = BufReader::new(stream);
                while matches!(serve_request(&mut peer, &stats), Ok(true)) {}
            });
        }
    });
    Ok((address, stats))
}

/// Starts a thread with the small stack of a stand-in peer.
///
/// # Panics
/// Panics if the operating system cannot start another thread.
pub fn spawn<T: Send + 'static>(run: impl FnOnce() -> T + Send + 'static) -> thread::JoinHandle<T> {
    // Without the thread there is nothing to measure.
    thread::Builder::new().stack_size(STACK_BYTES).spawn(run).expect("the system starts a thread")
}

/// Reads and answers one request. Returns false at the end of the connection.
fn serve_request(peer: &mut BufReader<TcpStream>, stats: &ServerStats) -> io::Result<bool> {
    let mut line = String::new();
    if peer.read_line(&mut line)? == 0 {
        return Ok(false);
    }
    let began = Instant::now();
    stats.requests.fetch_add(1, Ordering::Relaxed);
    let Some(headers) = headers(peer)? else { return Ok(false) };
    let Some(request) = line.split(' ').nth(1).and_then(StreamRequest::from_path) else {
        peer.get_mut().write_all(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")?;
        return Ok(true);
    };
    let result = respond(peer, &headers, request, stats);
    stats.busy_us.fetch_add(began.elapsed().as_micros() as u64, Ordering::Relaxed);
    result
}

fn respond(
    peer: &mut BufReader<TcpStream>,
    headers: &[(String, String)],
    request: StreamRequest,
    stats: &ServerStats,
) -> io::Result<bool> {
    if request.direction == Direction::Up {
        let received = receive(peer, header(headers, "content-length"), request.server_rate)?;
        if !received.complete {
            return Ok(false);
        }
        if received.size != request.body.size {
            stats.wrong_bodies.fetch_add(1, Ordering::Relaxed);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nRig-Size: {}\r\nRig-Hash: {:x}\r\nContent-Length: 0\r\n\r\n",
            received.size, received.hash
        );
        peer.get_mut().write_all(head.as_bytes())?;
        return Ok(true);
    }
    let framing = match request.chunked {
        true => "Transfer-Encoding: chunked".to_string(),
        false => format!("Content-Length: {}", request.body.size),
    };
    peer.get_mut().write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes())?;
    send(peer.get_mut(), request.body, request.chunked, request.server_rate)?;
    Ok(true)
}
