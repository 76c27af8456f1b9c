//! One connection of a process to another at an upgrade: how far it has come, and which of its requests await a response.

use std::collections::VecDeque;

use crate::frontend::Sockets;
use crate::net::ConnId;

/// How long a process may take to respond on a link, in milliseconds.
pub(super) const RESPONSE_TIMEOUT_MS: f64 = 1000.0;

/// A connection that was opened to reach a process.
pub(super) struct UpgradeLink {
    pub conn: ConnId,
    pub pid: u32,
    pub state: LinkState,
    /// When it is to have responded, in milliseconds.
    pub deadline_ms: f64,
    /// Requests that were written and have no response, in order.
    pub open_requests: VecDeque<LinkRequest>,
}

/// A request on a link that has reached its process.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum LinkRequest {
    /// Tells it that the connection is a link, and may ask for its warm state.
    Introduction {
        /// When it was written, in milliseconds.
        sent_at_ms: f64,
    },
    /// Asks it for the list that it follows.
    List {
        /// When it was written, in milliseconds.
        sent_at_ms: f64,
    },
    /// Forwards a callback.
    Callback,
}

/// How far a link has come.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    /// It is not known which process it reached.
    Reaching,
    /// It has reached its process, which is told that the connection is a link.
    Introducing,
    /// Its process knows it: callbacks pass.
    Up,
}

impl UpgradeLink {
    /// Writes a request. A full buffer ends the link: callbacks are repeated by their senders.
    pub fn write(&mut self, net: &mut Sockets, now_ms: f64, request: LinkRequest, bytes: &[u8]) {
        if self.open_requests.is_empty() || self.deadline_ms == f64::INFINITY {
            self.deadline_ms = now_ms + RESPONSE_TIMEOUT_MS;
        }
        self.open_requests.push_back(request);
        if !net.write(self.conn, bytes) {
            self.deadline_ms = now_ms;
        }
    }

    /// Whether a response is due on it.
    pub fn awaits_response(&self) -> bool {
        self.state == LinkState::Reaching || !self.open_requests.is_empty()
    }
}
