//! Decides to which process of an upgrade a callback is forwarded. The kernel distributes connections over
//! all processes that listen at one address, so a callback may reach a process that does not know its job. It
//! is acknowledged only once the process that owns the job has accepted it, or once no process beside this
//! one knows the job.
//!
//! Holds the other processes and the callbacks that wait for their responses. Sans-I/O: the frontend owns
//! sockets, files and clocks, reports events and carries out every action. It must report the end of every
//! link that it opened.
//!
//! | link | event | becomes |
//! | --- | --- | --- |
//! | none | a live process is seen | opening |
//! | opening | it reached the process | up: waiting callbacks are forwarded |
//! | opening | it reached this process itself | opening again, `MAX_LINK_TRIES` times at most |
//! | opening, up | it ended and the process lives | lost: senders of waiting callbacks must retry |
//! | lost | a callback arrives | opening |
//! | any | it ended and the process is gone | none: waiting callbacks go to the next process |

use std::collections::VecDeque;

/// Largest number of other processes that are tracked: one that this process replaces, and one that replaces
/// it.
const MAX_PEERS: usize = 2;
/// Largest number of callbacks that wait for one process. Senders of further callbacks must retry.
const MAX_WAITING_CALLBACKS: usize = 256;
/// Number of tries to open a link before it counts as lost. The kernel distributes the connections, so a try
/// may reach this process itself or a third one.
const MAX_LINK_TRIES: u32 = 24;

/// A callback whose job this process does not know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingCallback {
    /// Connection that the callback arrived on.
    pub from: u64,
    /// Body of the callback.
    pub body: Vec<u8>,
    /// Ids of processes that do not know its job.
    pub asked: Vec<u32>,
}

/// An operation that the frontend must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardingAction {
    /// Open a link to a process, given by its id. The connection may reach another process.
    OpenLink(u32),
    /// Forward a callback to a process over its link: process id, body and ids of the processes already
    /// asked. Responses arrive in the order of the callbacks.
    Forward(u32, Vec<u8>, Vec<u32>),
    /// Answer the sender on this connection: the process that owns the job has accepted the callback.
    ReplyAccepted(u64),
    /// Answer the sender on this connection: no process knows the job.
    ReplyUnknown(u64),
    /// Answer the sender on this connection: it must retry the callback.
    ReplyRetry(u64),
}

/// Response of a process to a forwarded callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerResponse {
    /// The process has accepted the callback.
    Accepted,
    /// The process does not know its job.
    Unknown,
    /// The sender must retry the callback.
    Retry,
}

/// Another process that listens at the same address.
#[derive(Debug)]
struct Peer {
    pid: u32,
    link: LinkState,
    tries: u32,
    /// Callbacks that were forwarded or wait for the link, in order.
    waiting: VecDeque<PendingCallback>,
    /// Number of outstanding responses to callbacks that no longer wait.
    stale_responses: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Opening,
    Up,
    /// The process could not be reached, or the link has ended.
    Lost,
}

/// State machine that forwards callbacks between the processes of an upgrade.
#[derive(Debug)]
pub struct CallbackForwarder {
    own_pid: u32,
    peers: Vec<Peer>,
}

impl CallbackForwarder {
    /// Returns a forwarder that knows no other process.
    pub fn new(own_pid: u32) -> CallbackForwarder {
        CallbackForwarder { own_pid, peers: Vec::new() }
    }

    /// Returns the id of this process.
    pub fn own_pid(&self) -> u32 {
        self.own_pid
    }

    /// Whether no link is being opened. A process should not report readiness before that, since its
    /// predecessor may then stop listening.
    pub fn is_settled(&self) -> bool {
        self.peers.iter().all(|peer| peer.link != LinkState::Opening)
    }

    /// Returns the ids of the other processes.
    pub fn peers(&self) -> impl Iterator<Item = u32> + '_ {
        self.peers.iter().map(|peer| peer.pid)
    }

    fn peer_mut(&mut self, pid: u32) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| peer.pid == pid)
    }

    /// Records that a live process listens at the same address. Opens a link to it on the first report.
    pub fn on_peer_seen(&mut self, pid: u32) -> Option<ForwardingAction> {
        if pid == self.own_pid || self.peers().any(|peer| peer == pid) || self.peers.len() >= MAX_PEERS {
            return None;
        }
        let waiting = VecDeque::new();
        self.peers.push(Peer { pid, link: LinkState::Opening, tries: 1, waiting, stale_responses: 0 });
        Some(ForwardingAction::OpenLink(pid))
    }

    /// Records that the link opened for `pid` reached the process `reached`. Waiting callbacks are forwarded
    /// if it is the intended process.
    pub fn on_link_reached(&mut self, pid: u32, reached: u32) -> Vec<ForwardingAction> {
        let Some(peer) = self.peer_mut(pid) else { return Vec::new() };
        if reached == pid {
            (peer.link, peer.tries) = (LinkState::Up, 0);
            let forward = |callback: &PendingCallback| {
                ForwardingAction::Forward(pid, callback.body.clone(), callback.asked.clone())
            };
            return peer.waiting.iter().map(forward).collect();
        }
        if peer.tries < MAX_LINK_TRIES {
            peer.tries += 1;
            return vec![ForwardingAction::OpenLink(pid)];
        }
        self.on_link_lost(pid, true)
    }

    /// Records that a process does not respond on an open link, for example because it is suspended. Senders
    /// of its callbacks must retry; its responses may still arrive.
    pub fn on_peer_silent(&mut self, pid: u32) -> Vec<ForwardingAction> {
        let Some(peer) = self.peer_mut(pid) else { return Vec::new() };
        peer.stale_responses += peer.waiting.len();
        peer.waiting.drain(..).map(|callback| ForwardingAction::ReplyRetry(callback.from)).collect()
    }

    /// Records the end of a link. If the process is gone, its callbacks go to the next process. If it still
    /// runs, their senders must retry, and the next callback opens a new link.
    pub fn on_link_lost(&mut self, pid: u32, is_alive: bool) -> Vec<ForwardingAction> {
        let Some(at) = self.peers.iter().position(|peer| peer.pid == pid) else { return Vec::new() };
        if is_alive {
            let peer = &mut self.peers[at];
            (peer.link, peer.stale_responses) = (LinkState::Lost, 0);
            return peer
                .waiting
                .drain(..)
                .map(|callback| ForwardingAction::ReplyRetry(callback.from))
                .collect();
        }
        let gone = self.peers.remove(at);
        gone.waiting.into_iter().flat_map(|callback| self.forward(callback)).collect()
    }

    /// Forwards a callback whose job this process does not know.
    pub fn forward(&mut self, mut callback: PendingCallback) -> Option<ForwardingAction> {
        let next = self.peers.iter_mut().find(|peer| !callback.asked.contains(&peer.pid));
        let Some(peer) = next else { return Some(ForwardingAction::ReplyUnknown(callback.from)) };
        if peer.waiting.len() + peer.stale_responses >= MAX_WAITING_CALLBACKS {
            return Some(ForwardingAction::ReplyRetry(callback.from));
        }
        if !callback.asked.contains(&self.own_pid) {
            callback.asked.push(self.own_pid);
        }
        let forward = ForwardingAction::Forward(peer.pid, callback.body.clone(), callback.asked.clone());
        peer.waiting.push_back(callback);
        match peer.link {
            LinkState::Up => Some(forward),
            LinkState::Opening => None,
            LinkState::Lost => {
                (peer.link, peer.tries) = (LinkState::Opening, 1);
                Some(ForwardingAction::OpenLink(peer.pid))
            }
        }
    }

    /// Records the response of a process to the oldest callback forwarded to it.
    pub fn on_response(&mut self, pid: u32, response: PeerResponse) -> Option<ForwardingAction> {
        let peer = self.peer_mut(pid)?;
        if peer.stale_responses > 0 {
            peer.stale_responses -= 1;
            return None;
        }
        let mut callback = peer.waiting.pop_front()?;
        match response {
            PeerResponse::Accepted => Some(ForwardingAction::ReplyAccepted(callback.from)),
            PeerResponse::Unknown => {
                callback.asked.push(pid);
                self.forward(callback)
            }
            PeerResponse::Retry => Some(ForwardingAction::ReplyRetry(callback.from)),
        }
    }
}

#[cfg(test)]
mod tests;
