//! What the stand-ins share: a side of an HTTP connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// What a lock holds, whoever panicked with it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// One side of an HTTP connection.
pub struct Http(pub BufReader<TcpStream>);

impl Http {
    /// Over a connection that is open.
    ///
    /// # Errors
    /// Where a socket, a thread or a process cannot be had.
    pub fn from_stream(stream: TcpStream, timeout: Duration) -> std::io::Result<Http> {
        stream.set_read_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Http(BufReader::new(stream)))
    }

    /// Over a new connection.
    ///
    /// # Errors
    /// Where a socket, a thread or a process cannot be had.
    pub fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<Http> {
        Http::from_stream(TcpStream::connect_timeout(&address, Duration::from_secs(1))?, timeout)
    }

    /// Writes a message.
    ///
    /// # Errors
    /// Where the connection breaks or is silent for too long.
    pub fn write(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// A whole message: its head and its body.
    ///
    /// # Errors
    /// Where the connection breaks or is silent for too long.
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

/// A header's value, by its name in small letters.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// The status of an answer's head.
pub fn status(head: &str) -> u16 {
    head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Serves each connection of a listener on a thread of its own until the run is over.
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

/// Tells a dispatcher of a job's state, as a booking worker does. Whether it was heard.
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

/// What came of a job that a client handed in.
pub struct JobResponse {
    /// The answer's status and body, or why there was none.
    pub answer: std::io::Result<(u16, String)>,
    /// A time to come back was named.
    pub has_retry_after: bool,
    /// It went over a connection that was kept.
    pub reused: bool,
    /// More than the one answer had come on that before.
    pub had_extra_bytes: bool,
}

/// Hands a job in over a kept connection, or a new one, and waits for its answer.
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
