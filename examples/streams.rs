//! A toy of long bodies: starts a backend server and the program between, and sends a season's export both ways.
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
const EXPORT: u64 = 200_000_000;

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
    // It listens once it says where.
    if let Some(out) = gateway.stdout.take() {
        BufReader::new(out).read_line(&mut String::new())?;
    }
    let ran = ask("GET /season-export/2027 HTTP/1.1\r\nHost: toy\r\n\r\n", 0).and_then(|()| {
        ask(
            &format!("PUT /season-export/2027 HTTP/1.1\r\nHost: toy\r\nContent-Length: {EXPORT}\r\n\r\n"),
            EXPORT,
        )
    });
    gateway.kill()?;
    gateway.wait()?;
    ran
}

/// Sends a request with a body of so many bytes, and reads the answer to its end.
fn ask(head: &str, body: u64) -> io::Result<()> {
    let began = Instant::now();
    let mut peer = BufReader::new(TcpStream::connect(GATEWAY)?);
    peer.get_mut().write_all(head.as_bytes())?;
    io::copy(&mut io::repeat(b'x').take(body), peer.get_mut())?;
    let length = read_head(&mut peer)?;
    let came = io::copy(&mut peer.take(length), &mut io::sink())?;
    let line = head.lines().next().unwrap_or("");
    println!("{line}: {body} bytes up, {came} down, {:.2} s", began.elapsed().as_secs_f64());
    Ok(())
}

/// Reads a head and gives its Content-Length.
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

/// The backend server: reads what comes, and answers with an export where nothing came.
fn serve(mut peer: BufReader<TcpStream>) -> io::Result<()> {
    loop {
        let length = read_head(&mut peer)?;
        io::copy(&mut (&mut peer).take(length), &mut io::sink())?;
        let answer = if length == 0 { EXPORT } else { 0 };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {answer}\r\n\r\n");
        peer.get_mut().write_all(head.as_bytes())?;
        io::copy(&mut io::repeat(b'x').take(answer), peer.get_mut())?;
    }
}
