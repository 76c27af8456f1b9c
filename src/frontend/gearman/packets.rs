//! Packets of the Gearman binary protocol, and lines of its administrative protocol.

use crate::net::Ring;

/// Longest body of a packet: 64 KiB of job data, plus names.
pub const MAX_BODY_BYTES: usize = 68 * 1024;
/// Longest line of the administrative protocol, including the line end.
const MAX_LINE_BYTES: usize = 1024;
/// Length of a packet header: magic, kind and body length, 4 bytes each.
const HEADER_BYTES: usize = 12;

/// Numbers of the packet kinds.
#[allow(missing_docs)]
pub mod kind {
    pub const CAN_DO: u32 = 1;
    pub const CANT_DO: u32 = 2;
    pub const RESET_ABILITIES: u32 = 3;
    pub const PRE_SLEEP: u32 = 4;
    pub const NOOP: u32 = 6;
    pub const SUBMIT_JOB: u32 = 7;
    pub const JOB_CREATED: u32 = 8;
    pub const GRAB_JOB: u32 = 9;
    pub const NO_JOB: u32 = 10;
    pub const JOB_ASSIGN: u32 = 11;
    pub const WORK_STATUS: u32 = 12;
    pub const WORK_COMPLETE: u32 = 13;
    pub const WORK_FAIL: u32 = 14;
    pub const GET_STATUS: u32 = 15;
    pub const ECHO_REQ: u32 = 16;
    pub const ECHO_RES: u32 = 17;
    pub const SUBMIT_JOB_BG: u32 = 18;
    pub const ERROR: u32 = 19;
    pub const STATUS_RES: u32 = 20;
    pub const SUBMIT_JOB_HIGH: u32 = 21;
    pub const SET_CLIENT_ID: u32 = 22;
    pub const CAN_DO_TIMEOUT: u32 = 23;
    pub const ALL_YOURS: u32 = 24;
    pub const WORK_EXCEPTION: u32 = 25;
    pub const OPTION_REQ: u32 = 26;
    pub const OPTION_RES: u32 = 27;
    pub const WORK_DATA: u32 = 28;
    pub const WORK_WARNING: u32 = 29;
    pub const GRAB_JOB_UNIQ: u32 = 30;
    pub const JOB_ASSIGN_UNIQ: u32 = 31;
    pub const SUBMIT_JOB_HIGH_BG: u32 = 32;
    pub const SUBMIT_JOB_LOW: u32 = 33;
    pub const SUBMIT_JOB_LOW_BG: u32 = 34;
    pub const SUBMIT_JOB_SCHED: u32 = 35;
    pub const SUBMIT_JOB_EPOCH: u32 = 36;
    pub const SUBMIT_REDUCE_JOB: u32 = 37;
    pub const SUBMIT_REDUCE_JOB_BACKGROUND: u32 = 38;
    pub const GRAB_JOB_ALL: u32 = 39;
    pub const JOB_ASSIGN_ALL: u32 = 40;
    pub const GET_STATUS_UNIQUE: u32 = 41;
    pub const STATUS_RES_UNIQUE: u32 = 42;
}

/// A packet or a line from a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum Incoming {
    /// A packet of the binary protocol.
    Packet {
        /// Number of the packet kind.
        kind: u32,
        /// Arguments of the packet, separated by zero bytes.
        body: Vec<u8>,
    },
    /// A line of the administrative protocol.
    Line(String),
}

/// Removes the next packet or line from the buffer. Returns `None` if it is incomplete. After an error the
/// connection must be closed.
///
/// # Errors
/// The protocol's error code, if the bytes cannot be the start of a packet or a line.
pub fn read_next(ring: &mut Ring) -> Result<Option<Incoming>, &'static str> {
    let bytes = ring.bytes();
    match bytes.first() {
        None => Ok(None),
        Some(0) => {
            if bytes.len() < HEADER_BYTES {
                return Ok(None);
            }
            let word =
                |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
            if &bytes[..4] != b"\0REQ" {
                return Err("bad_magic");
            }
            let (kind, length) = (word(4), word(8) as usize);
            if length > MAX_BODY_BYTES {
                return Err("too_large");
            }
            if bytes.len() < HEADER_BYTES + length {
                return Ok(None);
            }
            let body = bytes[HEADER_BYTES..HEADER_BYTES + length].to_vec();
            ring.consume(HEADER_BYTES + length);
            Ok(Some(Incoming::Packet { kind, body }))
        }
        Some(_) => match bytes.iter().take(MAX_LINE_BYTES).position(|&b| b == b'\n') {
            Some(end) => {
                let line = String::from_utf8_lossy(&bytes[..end]).trim().to_string();
                ring.consume(end + 1);
                Ok(Some(Incoming::Line(line)))
            }
            None if bytes.len() >= MAX_LINE_BYTES => Err("line_too_long"),
            None => Ok(None),
        },
    }
}

/// Splits a body into `N` arguments; the last one may contain zero bytes. Returns `None` if there are fewer.
pub fn arguments<const N: usize>(body: &[u8]) -> Option<[&[u8]; N]> {
    let mut out = [&body[..0]; N];
    let mut parts = body.splitn(N, |&b| b == 0);
    for slot in &mut out {
        *slot = parts.next()?;
    }
    Some(out)
}

/// Serializes a reply packet.
pub fn reply(kind: u32, arguments: &[&[u8]]) -> Vec<u8> {
    packet(b"\0RES", kind, arguments)
}

/// Serializes a request packet, as clients and workers send it.
pub fn request(kind: u32, arguments: &[&[u8]]) -> Vec<u8> {
    packet(b"\0REQ", kind, arguments)
}

fn packet(magic: &[u8; 4], kind: u32, arguments: &[&[u8]]) -> Vec<u8> {
    let body = arguments.join(&0u8);
    [magic, &kind.to_be_bytes()[..], &(body.len() as u32).to_be_bytes(), &body].concat()
}
