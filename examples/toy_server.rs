//! Minimal peers of a dispatcher for local trials: discovery at 127.0.0.1:8500, and one booking worker at 127.0.0.1:8082 that
//! runs each job for 100 ms and calls back at 127.0.0.1:8081.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const DISPATCHER: &str = "127.0.0.1:8081";
const DISCOVERY: &str = "127.0.0.1:8500";
const WORKER: &str = "127.0.0.1:8082";

fn main() -> std::io::Result<()> {
    let (discovery, worker) = (TcpListener::bind(DISCOVERY)?, TcpListener::bind(WORKER)?);
    println!("discovery at {DISCOVERY}, a booking worker at {WORKER}");
    thread::spawn(move || serve(&discovery, discovery_response));
    serve(&worker, worker_response);
    Ok(())
}

/// Answers every request on every connection with `answer`.
fn serve(listener: &TcpListener, answer: fn(&str, &str) -> String) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || {
            let mut reader = BufReader::new(stream);
            while let Some((head, body)) = read_message(&mut reader) {
                let answer = answer(&head, &body);
                if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

/// Reads a message and returns its head and body, or `None` at the end of the connection.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let mut body = vec![0; header(&head, "content-length").map_or(0, |v| v.parse().unwrap_or(0))];
    reader.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

fn http_response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Answers a call to discovery. The list never changes, so each long poll is answered only after its wait.
fn discovery_response(_head: &str, _body: &str) -> String {
    thread::sleep(Duration::from_secs(20));
    http_response("200 OK", r#"{"seq":1,"whole":false,"hosts":[]}"#)
}

/// Answers a request to the booking worker: accepts a job and calls back when it is done, or returns a load report to a probe.
fn worker_response(head: &str, body: &str) -> String {
    if head.starts_with("GET /metrics/load") {
        return http_response("200 OK", "queue=0,latency_ms=100,x0=4");
    }
    let Some(id) = header(head, "req-id").map(String::from) else {
        return http_response("404 Not Found", "");
    };
    let result = format!("done: {body}").replace(['"', '\\'], "'");
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(100));
        let callback = format!(r#"{{"id":"{id}","from":"toy","state":"done","result":"{result}"}}"#);
        if let Ok(mut stream) = TcpStream::connect(DISPATCHER) {
            let length = callback.len();
            let head = format!("POST /v1/job-events HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
            let _ = stream.write_all((head + &callback).as_bytes());
            let _ = read_message(&mut BufReader::new(stream));
        }
    });
    http_response("202 Accepted", "")
}
