//! Example of large bodies: starts a backend server and the gateway in front of it, then downloads and uploads an export.
//!
//! ```sh
//! cargo build --release --locked
//! cargo run --release --locked --example streams
//! ```

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Instant;

const GATEWAY: &str = "127.0.0.1:8090";
const SERVER: &str = "127.0.0.1:9001";
const EXPORT_BYTES: u64 = 200_000_000;

fn main() -> io::Result<()> {
    let listener = TcpListener::bind(SERVER)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(BufReader::new(stream)));
        }
    });
    let mut gateway = Command::new("target/release/micabeam")
        .args(["--operator", "examples/streams.toml"])
        .stdout(Stdio::piped())
        .spawn()?;
    // The gateway listens once it has printed its address.
    if let Some(out) = gateway.stdout.take() {
        BufReader::new(out).read_line(&mut String::new())?;
    }
    let result = send_request("GET /season-export/2027 HTTP/1.1\r\nHost: toy\r\n\r\n", 0).and_then(|()| {
        send_request(
            &format!(
                "PUT /season-export/2027 HTTP/1.1\r\nHost: toy\r\nContent-Length: {EXPORT_BYTES}\r\n\r\n"
            ),
            EXPORT_BYTES,
        )
    });
    gateway.kill()?;
    gateway.wait()?;
    result
}

/// Sends a request with `body` bytes of body, reads the whole answer, and prints the sizes and the time.
fn send_request(head: &str, body: u64) -> io::Result<()> {
    let started_at = Instant::now();
    let mut peer = BufReader::new(TcpStream::connect(GATEWAY)?);
    peer.get_mut().write_all(head.as_bytes())?;
    io::copy(&mut io::repeat(b'x').take(body), peer.get_mut())?;
    let length = read_head(&mut peer)?;
    let received = io::copy(&mut peer.take(length), &mut io::sink())?;
    let line = head.lines().next().unwrap_or("");
    println!("{line}: {body} bytes up, {received} down, {:.2} s", started_at.elapsed().as_secs_f64());
    Ok(())
}

/// Reads a message head and returns its Content-Length.
fn read_head(peer: &mut BufReader<TcpStream>) -> io::Result<u64> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if peer.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
        if line == "\r\n" {
            return Ok(length);
        }
    }
}

/// Runs the backend server: reads each request, and answers with an export if the request has no body.
fn serve(mut peer: BufReader<TcpStream>) -> io::Result<()> {
    loop {
        let length = read_head(&mut peer)?;
        io::copy(&mut (&mut peer).take(length), &mut io::sink())?;
        let answer_length = if length == 0 { EXPORT_BYTES } else { 0 };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {answer_length}\r\n\r\n");
        peer.get_mut().write_all(head.as_bytes())?;
        io::copy(&mut io::repeat(b'x').take(answer_length), peer.get_mut())?;
    }
}
