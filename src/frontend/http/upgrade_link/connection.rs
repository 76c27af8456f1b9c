//! A connection to another process of an upgrade: its state and its outstanding requests.

use std::collections::VecDeque;

use crate::frontend::Sockets;
use crate::net::ConnId;

/// How long a process may take to respond on a link, in milliseconds.
pub(super) const RESPONSE_TIMEOUT_MS: f64 = 1000.0;

/// A connection opened to reach a process.
pub(super) struct UpgradeLink {
    pub conn: ConnId,
    pub pid: u32,
    pub state: LinkState,
    /// When its next response is due, in milliseconds.
    pub deadline_ms: f64,
    /// Requests without a response yet, in the order in which they were written.
    pub open_requests: VecDeque<LinkRequest>,
}

/// A request on a link that has reached its process.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum LinkRequest {
    /// States that the connection is a link, and may ask for the warm state.
    Introduction {
        /// When the request was written, in milliseconds.
        sent_at_ms: f64,
    },
    /// Asks for the endpoint list.
    List {
        /// When the request was written, in milliseconds.
        sent_at_ms: f64,
    },
    /// Forwards a callback.
    Callback,
}

/// State of a link.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    /// Connecting; it is not known yet which process was reached.
    Reaching,
    /// The intended process was reached, and the announcement that the connection is a link is being sent.
    Introducing,
    /// Established: callbacks can be forwarded.
    Up,
}

impl UpgradeLink {
    /// Writes a request. If the write buffer is full, the link ends; senders repeat their callbacks.
    pub fn write(&mut self, net: &mut Sockets, now_ms: f64, request: LinkRequest, bytes: &[u8]) {
        if self.open_requests.is_empty() || self.deadline_ms == f64::INFINITY {
            self.deadline_ms = now_ms + RESPONSE_TIMEOUT_MS;
        }
        self.open_requests.push_back(request);
        if !net.write(self.conn, bytes) {
            self.deadline_ms = now_ms;
        }
    }

    /// Whether a response is outstanding on the link.
    pub fn awaits_response(&self) -> bool {
        self.state == LinkState::Reaching || !self.open_requests.is_empty()
    }
}
