//! Stand-ins for Gearman clients and workers.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use micabeam::frontend::gearman::packets::{kind, request};

use crate::net::{Program, SETTINGS, TEST_TIMEOUT};

/// Anything that a stand-in can speak over: a plain socket or TLS.
pub trait ReadWrite: Read + Write {}
impl<T: Read + Write> ReadWrite for T {}

/// One side of a Gearman connection.
pub struct Gear(pub Box<dyn ReadWrite>);

pub type Packet = (u32, Vec<Vec<u8>>);

impl Gear {
    pub fn connect(address: SocketAddr) -> Gear {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Gear(Box::new(stream))
    }

    /// A worker that can do these functions.
    pub fn worker(address: SocketAddr, functions: &[&str]) -> Gear {
        let mut worker = Gear::connect(address);
        worker.can_do(functions);
        worker
    }

    pub fn can_do(&mut self, functions: &[&str]) {
        for function in functions {
            self.send(kind::CAN_DO, &[function]);
        }
        // Once this is answered all before it has been read.
        self.send(kind::ECHO_REQ, &["ready"]);
        assert_eq!(self.read(), Some((kind::ECHO_RES, vec![b"ready".to_vec()])));
    }

    pub fn send(&mut self, kind: u32, arguments: &[&str]) {
        let arguments: Vec<&[u8]> = arguments.iter().map(|a| a.as_bytes()).collect();
        // The program may have ended the connection: what is read next tells.
        let _ = self.0.write_all(&request(kind, &arguments));
    }

    /// The next packet, its arguments split; none at the end.
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

    /// The next packet, which is of this kind: its arguments.
    pub fn expect(&mut self, kind: u32) -> Vec<String> {
        let (found, arguments) = self.read().expect("the connection ended");
        let texts: Vec<String> =
            arguments.into_iter().map(|a| String::from_utf8_lossy(&a).into_owned()).collect();
        assert_eq!(found, kind, "{texts:?}");
        texts
    }

    /// Submits a job and gives its handle.
    pub fn submit(&mut self, function: &str, unique: &str, data: &str) -> String {
        self.send(kind::SUBMIT_JOB, &[function, unique, data]);
        self.expect(kind::JOB_CREATED).remove(0)
    }

    /// Sleeps until there is a job, and fetches it: its handle and its data. None when the connection ends.
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
                    other => panic!("a worker got {other:?}"),
                }
            }
        }
    }
}

/// The Gearman front alone: `confirm` is unsafe, `search` safe, `hold` unsafe and short.
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
