//! A minimal HTTP/1.1 connection for stand-in clients and servers, and helpers to submit jobs and post
//! call-backs.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Locks a mutex, also if a thread panicked while holding it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// One end of an HTTP connection, client or server.
pub struct Http(pub BufReader<TcpStream>);

impl Http {
    /// Wraps an open connection and sets its read timeout.
    ///
    /// # Errors
    /// Returns an error if a socket option cannot be set.
    pub fn from_stream(stream: TcpStream, timeout: Duration) -> std::io::Result<Http> {
        stream.set_read_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Http(BufReader::new(stream)))
    }

    /// Opens a connection, within 1 s, and sets its read timeout.
    ///
    /// # Errors
    /// Returns an error if the connection cannot be opened.
    pub fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<Http> {
        Http::from_stream(TcpStream::connect_timeout(&address, Duration::from_secs(1))?, timeout)
    }

    /// Writes a message.
    ///
    /// # Errors
    /// Returns an error if the connection is broken.
    pub fn write(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// Reads a message and returns its head and its body. The body needs a content length, which is capped at
    /// 64 KiB.
    ///
    /// # Errors
    /// Returns an error if the connection is closed, breaks, or is silent for longer than the read timeout.
    pub fn read(&mut self) -> std::io::Result<(String, String)> {
        let (mut head, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            if line.trim().is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':')
                && name.eq_ignore_ascii_case("content-length")
            {
                length = value.trim().parse().unwrap_or(0usize).min(1 << 16);
            }
            head.push_str(&line);
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body)?;
        Ok((head, String::from_utf8_lossy(&body).into_owned()))
    }
}

/// Returns the value of a header, whose name is compared without regard to case.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Returns the status code of a response head; 0 if there is none.
pub fn status(head: &str) -> u16 {
    head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Accepts connections on a thread and handles each on a thread of its own, until `is_stopping` returns true.
pub fn serve(
    listener: TcpListener,
    is_stopping: impl Fn() -> bool + Send + 'static,
    handle: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_stopping() {
                return;
            }
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
}

/// Posts a call-back with the state of a job to a dispatcher, as a worker does. Returns whether the
/// dispatcher accepted it.
pub fn post_job_event(
    dispatcher: SocketAddr,
    timeout: Duration,
    id: &str,
    worker: &str,
    state: &str,
    result: &str,
) -> bool {
    let body = format!(r#"{{"id":"{id}","from":"{worker}","state":"{state}","result":"{result}"}}"#);
    let text =
        format!("POST /v1/job-events HTTP/1.1\r\nHost: d\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let answer = Http::connect(dispatcher, timeout).and_then(|mut http| {
        http.write(&text)?;
        http.read()
    });
    answer.is_ok_and(|(head, _)| matches!(status(&head), 200 | 204))
}

/// The response to a job that a client submitted.
pub struct JobResponse {
    /// Status and body of the response, or the error of the connection.
    pub answer: std::io::Result<(u16, String)>,
    /// Whether the response had a `Retry-After` header.
    pub has_retry_after: bool,
    /// Whether the job was sent over a reused connection.
    pub reused: bool,
    /// Whether more bytes than the one response had arrived on that connection before.
    pub had_extra_bytes: bool,
}

/// Submits a job over the kept-alive connection, or a new one if there is none, and waits for the response.
pub fn submit_job(
    conn: &mut Option<Http>,
    to: SocketAddr,
    deadline: Duration,
    class: &str,
    id: &str,
) -> JobResponse {
    let text = format!(
        "POST /{class}/x HTTP/1.1\r\nHost: d\r\nReq-Id: {id}\r\nReq-Deadline: {}m\r\nContent-Length: 3\r\n\r\njob",
        deadline.as_millis()
    );
    let reused = conn.is_some();
    let (mut has_retry_after, mut had_extra_bytes) = (false, false);
    let answer = conn.take().map_or_else(|| Http::connect(to, deadline * 2), Ok).and_then(|mut http| {
        had_extra_bytes = reused && !http.0.buffer().is_empty();
        http.write(&text)?;
        let (head, body) = http.read()?;
        has_retry_after = header(&head, "retry-after").is_some();
        let closes = header(&head, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        *conn = (!closes).then_some(http);
        Ok((status(&head), body))
    });
    JobResponse { answer, has_retry_after, reused, had_extra_bytes }
}
