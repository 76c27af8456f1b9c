//! Scripted clients and servers of the streaming frontend, which write and read raw HTTP/1.1.
// No test file uses all of it.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use crate::net::{Program, TEST_TIMEOUT, accept_any};

/// Returns an operator file with the classes `safe` and `once`, small windows, `stream_keys` in the table `stream` and
/// `class_keys` in each class.
pub fn operator_file(servers: &[SocketAddr], stream_keys: &str, class_keys: &str) -> String {
    let servers: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(at, dial)| format!("{{ name = \"s{at}\", dial = \"{dial}\" }}"))
        .collect();
    let classes = [("safe", "safe"), ("once", "never")].map(|(name, repeat)| {
        format!(
            "[[stream.class]]\nname = \"{name}\"\nrepeat = \"{repeat}\"\nbody_mb = 64\nwindow_kb = 16\n\
             hold_kb = 8\nwait_s = 4\n{class_keys}\n"
        )
    });
    format!(
        "[stream]\nlisten = \"127.0.0.1:0\"\nservers = [{}]\n{stream_keys}\n{}",
        servers.join(", "),
        classes.concat()
    )
}

pub fn start(servers: &[SocketAddr], stream_keys: &str, class_keys: &str) -> (Program, SocketAddr) {
    let mut program = Program::start_with_operator_file(&operator_file(servers, stream_keys, class_keys));
    let address = program.read_address();
    (program, address)
}

/// One side of a connection, read and written as lines and bytes.
pub struct Wire(pub BufReader<TcpStream>);

impl Wire {
    pub fn connect(address: SocketAddr) -> Wire {
        Wire::from_stream(TcpStream::connect(address).unwrap())
    }

    pub fn accept(listener: &TcpListener) -> Wire {
        Wire::from_stream(accept_any(&[listener]))
    }

    pub fn from_stream(stream: TcpStream) -> Wire {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(TEST_TIMEOUT)).unwrap();
        Wire(BufReader::new(stream))
    }

    pub fn write(&mut self, text: impl AsRef<[u8]>) {
        self.0.get_mut().write_all(text.as_ref()).unwrap();
    }

    /// Reads a message head including its empty line. Returns an empty string at the end of the connection.
    pub fn read_head(&mut self) -> String {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if self.0.read_line(&mut head).unwrap_or(0) == 0 {
                return String::new();
            }
        }
        head
    }

    pub fn read_exact_bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.0.read_exact(&mut bytes).unwrap();
        bytes
    }

    /// Reads until the peer closes or resets the connection.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        let (mut out, mut buffer) = (Vec::new(), [0; 4096]);
        while let Ok(count @ 1..) = self.0.read(&mut buffer) {
            out.extend_from_slice(&buffer[..count]);
        }
        out
    }

    /// Reads a chunked body and returns its payload and trailers, or `None` if it is truncated.
    pub fn read_chunked(&mut self) -> Option<(Vec<u8>, String)> {
        let mut out = Vec::new();
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line).unwrap_or(0) == 0 {
                return None;
            }
            let size =
                usize::from_str_radix(line.trim(), 16).unwrap_or_else(|_| panic!("{line:?} after {out:?}"));
            if size == 0 {
                let mut trailers = String::from("\r\n");
                while !trailers.ends_with("\r\n\r\n") {
                    self.0.read_line(&mut trailers).ok().filter(|&n| n > 0)?;
                }
                return Some((out, trailers.trim().to_string()));
            }
            let mut chunk = vec![0; size + 2];
            self.0.read_exact(&mut chunk).ok()?;
            out.extend_from_slice(&chunk[..size]);
        }
    }

    pub fn assert_end_after(&mut self, text: &str) {
        assert_eq!(String::from_utf8(self.read_to_end()).unwrap(), text);
    }

    pub fn assert_end(&mut self) {
        assert_eq!(self.read_to_end(), b"", "data arrived instead of the end of the connection");
    }
}

pub fn body(size: usize) -> Vec<u8> {
    (0..size).map(|at| (at % 251) as u8).collect()
}

pub fn put(class: &str, size: usize) -> String {
    format!("PUT /{class}/x?y=1 HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n")
}

pub const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
