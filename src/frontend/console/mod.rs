//! The operators' console: a listener on which each connection carries one call (a line) and gets one answer.
//! An answer is a line that starts with `ACK` or `NAK`; the answer to `telemetry` ends with a line `--`.
//!
//! The console owns its connections and their time limits. The gateway carries out the calls that `on_ready`
//! returns; it must answer each one through `answer`, and call `sweep` no later than `next_deadline`.

use rustc_hash::FxHashMap;

use super::Sockets;
use crate::net::ConnId;

/// Maximum number of connections; above it the oldest one is closed.
const MAX_CALLERS: usize = 64;
/// How long a caller may take to send its line, in milliseconds.
const READ_TIMEOUT_MS: f64 = 2000.0;
/// How long an answered caller may take to read the answer and close its side, in milliseconds.
const LINGER_TIMEOUT_MS: f64 = 1000.0;
/// Maximum length of a call in bytes, including the line end.
const MAX_CALL_BYTES: usize = 256;

/// A call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Asks whether the process is ready to serve.
    Readyz,
    /// Asks for the metrics.
    Telemetry,
    /// Closes clients' connections and tells new ones to go elsewhere.
    Evacuate,
    /// Accepts clients again.
    Activate,
    /// Asks for the state of the shared policy.
    Policy,
}

/// A line read from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedCall {
    /// A valid call.
    Call(Call),
    /// An invalid line, with the reason that follows `NAK` in the answer.
    Invalid(&'static str),
}

impl ParsedCall {
    /// Parses a line without its line end.
    pub fn read(line: &[u8]) -> ParsedCall {
        let Ok(line) = std::str::from_utf8(line) else { return ParsedCall::Invalid("not UTF-8") };
        match line.trim() {
            "readyz" => ParsedCall::Call(Call::Readyz),
            "telemetry" => ParsedCall::Call(Call::Telemetry),
            "evacuate" => ParsedCall::Call(Call::Evacuate),
            "activate" => ParsedCall::Call(Call::Activate),
            "policy" => ParsedCall::Call(Call::Policy),
            "" => ParsedCall::Invalid("empty call"),
            _ => ParsedCall::Invalid("unknown call"),
        }
    }
}

struct Caller {
    /// When the caller connected, in milliseconds of the clock.
    connected_at: f64,
    /// When the caller must have sent its line or, once answered, closed its side; in milliseconds of the
    /// clock.
    deadline: f64,
    is_answered: bool,
}

/// The console's listener and connections.
pub struct Console {
    listener: usize,
    callers: FxHashMap<ConnId, Caller>,
}

impl Console {
    /// Creates a console on an open listener.
    pub fn new(listener: usize) -> Console {
        Console { listener, callers: FxHashMap::default() }
    }

    /// Returns the index of the console's listener.
    pub fn listener(&self) -> usize {
        self.listener
    }

    /// Whether the connection belongs to a caller.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.callers.contains_key(&conn)
    }

    /// Returns when `sweep` must be called next, in milliseconds of the clock.
    pub fn next_deadline(&self) -> f64 {
        self.callers.values().map(|c| c.deadline).fold(f64::INFINITY, f64::min)
    }

    /// Accepts callers. At the limit the oldest connection is closed, so that callers that send nothing never
    /// keep out one that does.
    pub fn accept(&mut self, net: &mut Sockets, now: f64) {
        for _ in 0..MAX_CALLERS {
            let Some(id) = net.accept(self.listener) else { return };
            while self.callers.len() >= MAX_CALLERS {
                let oldest = self
                    .callers
                    .iter()
                    .min_by(|a, b| a.1.connected_at.total_cmp(&b.1.connected_at))
                    .map(|(&id, _)| id);
                let Some(oldest) = oldest else { break };
                self.close(net, oldest);
            }
            self.callers.insert(
                id,
                Caller { connected_at: now, deadline: now + READ_TIMEOUT_MS, is_answered: false },
            );
        }
    }

    /// Reads from a caller. Returns the call once its line is complete; an invalid line is answered here.
    pub fn on_ready(&mut self, net: &mut Sockets, id: ConnId, now: f64) -> Option<Call> {
        let caller = self.callers.get_mut(&id)?;
        let conn = net.conn(id)?;
        conn.pump();
        if caller.is_answered {
            if conn.eof || conn.broken {
                self.close(net, id);
            } else if conn.tx.is_empty() {
                let unread = conn.rx.len();
                conn.rx.consume(unread);
                conn.shut_down_write();
            }
            return None;
        }
        let bytes = conn.rx.bytes();
        let end = bytes.iter().take(MAX_CALL_BYTES).position(|&b| b == b'\n');
        let parsed = match end {
            Some(end) => Some(ParsedCall::read(&bytes[..end])),
            None if bytes.len() >= MAX_CALL_BYTES => Some(ParsedCall::Invalid("line too long")),
            None if conn.broken || conn.eof && bytes.is_empty() => {
                self.close(net, id);
                return None;
            }
            None if conn.eof => Some(ParsedCall::Invalid("no line end")),
            None => None,
        };
        let unread = conn.rx.len();
        match parsed? {
            ParsedCall::Call(call) => {
                conn.rx.consume(unread);
                Some(call)
            }
            ParsedCall::Invalid(reason) => {
                conn.rx.consume(unread);
                self.answer(net, id, now, &format!("NAK {reason}\n"));
                None
            }
        }
    }

    /// Writes the answer to a caller. The connection is closed once the caller has read it.
    pub fn answer(&mut self, net: &mut Sockets, id: ConnId, now: f64, text: &str) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        (caller.is_answered, caller.deadline) = (true, now + LINGER_TIMEOUT_MS);
        if !net.write(id, text.as_bytes()) {
            return self.close(net, id);
        }
        if let Some(conn) = net.conn(id).filter(|conn| conn.tx.is_empty()) {
            conn.shut_down_write();
        }
    }

    /// Closes the connections of callers past their deadline.
    pub fn sweep(&mut self, net: &mut Sockets, now: f64) {
        let expired: Vec<ConnId> =
            self.callers.iter().filter(|(_, c)| c.deadline <= now).map(|(&id, _)| id).collect();
        for id in expired {
            self.close(net, id);
        }
    }

    fn close(&mut self, net: &mut Sockets, id: ConnId) {
        self.callers.remove(&id);
        net.close(id);
    }
}

#[cfg(test)]
mod tests;
