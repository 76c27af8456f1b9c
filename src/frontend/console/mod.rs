//! The operators' console: a second listener where each connection carries one call, a line, and gets one
//! answer, a line that begins with `ACK` or `NAK` (the figures end with a line `--`). It decides nothing: the
//! gateway carries the calls out.

use rustc_hash::FxHashMap;

use super::Sockets;
use crate::net::ConnId;

/// Callers held at once; beyond it the one that came first makes room.
const MAX_CALLERS: usize = 64;
/// How long a caller may take to send its line, in milliseconds.
const READ_TIMEOUT_MS: f64 = 2000.0;
/// How long an answered caller is left to read and end, in milliseconds.
const LINGER_TIMEOUT_MS: f64 = 1000.0;
/// Longest call, in bytes with its line end.
const MAX_CALL_BYTES: usize = 256;

/// What an operator can ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether the process is ready to serve.
    Readyz,
    /// The figures.
    Telemetry,
    /// Send clients away.
    Evacuate,
    /// Take clients again.
    Activate,
    /// Where the policy that is shared stands.
    Policy,
}

/// What came on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedCall {
    /// A call.
    Call(Call),
    /// Something that is no call; the reason goes back after `NAK`.
    Wrong(&'static str),
}

impl ParsedCall {
    /// Reads one line, without its end.
    pub fn read(line: &[u8]) -> ParsedCall {
        let Ok(line) = std::str::from_utf8(line) else { return ParsedCall::Wrong("not UTF-8") };
        match line.trim() {
            "readyz" => ParsedCall::Call(Call::Readyz),
            "telemetry" => ParsedCall::Call(Call::Telemetry),
            "evacuate" => ParsedCall::Call(Call::Evacuate),
            "activate" => ParsedCall::Call(Call::Activate),
            "policy" => ParsedCall::Call(Call::Policy),
            "" => ParsedCall::Wrong("empty call"),
            _ => ParsedCall::Wrong("unknown call"),
        }
    }
}

struct Caller {
    /// When it came.
    came: f64,
    /// By when it is to have sent its line, or, once answered, to have ended.
    due: f64,
    answered: bool,
}

/// The console's connections.
pub struct Console {
    listener: usize,
    callers: FxHashMap<ConnId, Caller>,
}

impl Console {
    /// A console on a listener that is open.
    pub fn new(listener: usize) -> Console {
        Console { listener, callers: FxHashMap::default() }
    }

    /// Its listener.
    pub fn listener(&self) -> usize {
        self.listener
    }

    /// Whether a connection is a caller's.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.callers.contains_key(&conn)
    }

    /// When to look next at callers that take too long.
    pub fn next_deadline(&self) -> f64 {
        self.callers.values().map(|c| c.due).fold(f64::INFINITY, f64::min)
    }

    /// Accepts callers. At the bound the one that came first makes room: callers that say nothing never keep
    /// out one that does.
    pub fn accept(&mut self, net: &mut Sockets, now: f64) {
        for _ in 0..MAX_CALLERS {
            let Some(id) = net.accept(self.listener) else { return };
            while self.callers.len() >= MAX_CALLERS {
                let first =
                    self.callers.iter().min_by(|a, b| a.1.came.total_cmp(&b.1.came)).map(|(&id, _)| id);
                let Some(first) = first else { break };
                self.drop(net, first);
            }
            self.callers.insert(id, Caller { came: now, due: now + READ_TIMEOUT_MS, answered: false });
        }
    }

    /// Reads what a caller has sent; gives what it asks once its line is whole. What is wrong is answered here.
    pub fn on_ready(&mut self, net: &mut Sockets, id: ConnId, now: f64) -> Option<Call> {
        let caller = self.callers.get_mut(&id)?;
        let conn = net.conn(id)?;
        conn.pump();
        if caller.answered {
            if conn.eof || conn.broken {
                self.drop(net, id);
            } else if conn.tx.is_empty() {
                let unread = conn.rx.len();
                conn.rx.consume(unread);
                conn.end_writing();
            }
            return None;
        }
        let bytes = conn.rx.bytes();
        let end = bytes.iter().take(MAX_CALL_BYTES).position(|&b| b == b'\n');
        let heard = match end {
            Some(end) => Some(ParsedCall::read(&bytes[..end])),
            None if bytes.len() >= MAX_CALL_BYTES => Some(ParsedCall::Wrong("line too long")),
            None if conn.broken || conn.eof && bytes.is_empty() => {
                self.drop(net, id);
                return None;
            }
            None if conn.eof => Some(ParsedCall::Wrong("no line end")),
            None => None,
        };
        let unread = conn.rx.len();
        match heard? {
            ParsedCall::Call(call) => {
                conn.rx.consume(unread);
                Some(call)
            }
            ParsedCall::Wrong(reason) => {
                conn.rx.consume(unread);
                self.answer(net, id, now, &format!("NAK {reason}\n"));
                None
            }
        }
    }

    /// Writes a caller's answer; the connection ends once it is read.
    pub fn answer(&mut self, net: &mut Sockets, id: ConnId, now: f64, text: &str) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        (caller.answered, caller.due) = (true, now + LINGER_TIMEOUT_MS);
        if !net.write(id, text.as_bytes()) {
            return self.drop(net, id);
        }
        if let Some(conn) = net.conn(id).filter(|conn| conn.tx.is_empty()) {
            conn.end_writing();
        }
    }

    /// Ends the connections of callers that take too long.
    pub fn sweep(&mut self, net: &mut Sockets, now: f64) {
        let over: Vec<ConnId> =
            self.callers.iter().filter(|(_, c)| c.due <= now).map(|(&id, _)| id).collect();
        for id in over {
            self.drop(net, id);
        }
    }

    fn drop(&mut self, net: &mut Sockets, id: ConnId) {
        self.callers.remove(&id);
        net.close(id);
    }
}

#[cfg(test)]
mod tests;
