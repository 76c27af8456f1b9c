//! Scripted Gearman clients and workers.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use micabeam::frontend::gearman::packets::{kind, request};

use crate::net::{Program, SETTINGS, TEST_TIMEOUT};

/// A byte stream of a scripted peer: a plain socket or TLS.
pub trait ReadWrite: Read + Write {}
impl<T: Read + Write> ReadWrite for T {}

/// A client's or worker's end of a Gearman connection.
pub struct Gear(pub Box<dyn ReadWrite>);

/// A packet's type and its arguments.
pub type Packet = (u32, Vec<Vec<u8>>);

impl Gear {
    pub fn connect(address: SocketAddr) -> Gear {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Gear(Box::new(stream))
    }

    /// Connects as a worker and registers these functions.
    pub fn worker(address: SocketAddr, functions: &[&str]) -> Gear {
        let mut worker = Gear::connect(address);
        worker.can_do(functions);
        worker
    }

    pub fn can_do(&mut self, functions: &[&str]) {
        for function in functions {
            self.send(kind::CAN_DO, &[function]);
        }
        // The answer shows that the gateway has read all packets before it.
        self.send(kind::ECHO_REQ, &["ready"]);
        assert_eq!(self.read(), Some((kind::ECHO_RES, vec![b"ready".to_vec()])));
    }

    pub fn send(&mut self, kind: u32, arguments: &[&str]) {
        let arguments: Vec<&[u8]> = arguments.iter().map(|a| a.as_bytes()).collect();
        // A write error is ignored: if the gateway has closed the connection, the next read shows it.
        let _ = self.0.write_all(&request(kind, &arguments));
    }

    /// Reads the next packet and splits its arguments; `None` at the end of the connection.
    pub fn read(&mut self) -> Option<Packet> {
        let mut header = [0; 12];
        self.0.read_exact(&mut header).ok()?;
        assert_eq!(&header[..4], b"\0RES");
        let word = |at: usize| u32::from_be_bytes(header[at..at + 4].try_into().unwrap());
        let mut body = vec![0; word(8) as usize];
        self.0.read_exact(&mut body).ok()?;
        let arguments = body.split(|&b| b == 0).map(<[u8]>::to_vec).collect();
        Some((word(4), arguments))
    }

    /// Reads the next packet, asserts its type, and returns its arguments.
    pub fn expect(&mut self, kind: u32) -> Vec<String> {
        let (found, arguments) = self.read().expect("the connection ended");
        let texts: Vec<String> =
            arguments.into_iter().map(|a| String::from_utf8_lossy(&a).into_owned()).collect();
        assert_eq!(found, kind, "{texts:?}");
        texts
    }

    /// Submits a job and returns its handle.
    pub fn submit(&mut self, function: &str, unique: &str, data: &str) -> String {
        self.send(kind::SUBMIT_JOB, &[function, unique, data]);
        self.expect(kind::JOB_CREATED).remove(0)
    }

    /// Grabs the next job, sleeping until one is available, and returns its handle and data; `None` at the
    /// end of the connection.
    pub fn fetch(&mut self) -> Option<(String, String)> {
        loop {
            self.send(kind::GRAB_JOB, &[]);
            loop {
                match self.read()? {
                    (kind::JOB_ASSIGN, mut a) => {
                        let data = a.pop().unwrap();
                        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
                        return Some((text(a.remove(0)), text(data)));
                    }
                    (kind::NO_JOB, _) => {
                        self.send(kind::PRE_SLEEP, &[]);
                    }
                    (kind::NOOP, _) => break,
                    other => panic!("unexpected packet for a worker: {other:?}"),
                }
            }
        }
    }
}

/// Starts the gateway with the Gearman frontend alone. The functions: `confirm` is unsafe, `search` is safe,
/// `hold` is unsafe with a short deadline. `more` is inserted after the settings.
pub fn gearman(more: &str) -> (Program, SocketAddr) {
    let file = format!(
        r#"{{"listen": "127.0.0.1:0", "settings": {SETTINGS}{more}, "functions": {{
            "confirm": {{"class": "confirm-booking", "tenant": "fraser-parks"}},
            "hold": {{"class": "short-hold", "tenant": "cariboo-rv"}},
            "search": {{"class": "avail-search", "tenant": "cariboo-rv"}}}}}}"#
    );
    let mut program = Program::start(None, Some(&file));
    let address = program.read_address();
    (program, address)
}
