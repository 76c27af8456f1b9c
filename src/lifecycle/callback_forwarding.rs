//! Which process of an upgrade a callback is passed on to. The kernel deals connections out over all processes that listen
//! at one address, so that a callback may reach one that does not know its job. It is acknowledged only once the process that
//! has the job has taken it, or nobody beside this one knows it.
//!
//! Owns the processes beside this one, and the callbacks that wait for their responses. It leaves sockets, files and clocks
//! to the frontend, which tells what it sees and carries out every action. The caller must tell the end of every link that it
//! opened.
//!
//! | link | event | becomes |
//! | --- | --- | --- |
//! | none | a live process is seen | opening |
//! | opening | it reached the process | up: waiting callbacks are forwarded |
//! | opening | it reached this process itself | opening again, `MAX_LINK_TRIES` times at most |
//! | opening, up | it ended and the process lives | lost: waiting callbacks are to be repeated by their senders |
//! | lost | a callback comes | opening |
//! | any | it ended and the process is gone | none: waiting callbacks go to the next process |

use std::collections::VecDeque;

/// Processes beside this one that are remembered: one that it replaces, and one that replaces it.
const MAX_PEERS: usize = 2;
/// Callbacks that wait for one process at most. What comes beyond is to be repeated by its sender.
const MAX_WAITING_CALLBACKS: usize = 256;
/// How often a link is opened before it counts as lost: each try may reach this process itself, as the kernel deals them
/// out, or the third one.
const MAX_LINK_TRIES: u32 = 24;

/// A callback that this process does not know, and who has been asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingCallback {
    /// The connection that it came by.
    pub from: u64,
    /// Its body.
    pub body: Vec<u8>,
    /// Processes that do not know its job.
    pub asked: Vec<u32>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardingAction {
    /// Open a link to a process, by its id: it may turn out to be another's.
    Open(u32),
    /// Forward a callback (its body, and who has been asked) to a process over its link. Responses come in the order of the
    /// callbacks.
    Forward(u32, Vec<u8>, Vec<u32>),
    /// Answer the sender: the process that has its job has taken the callback.
    Taken(u64),
    /// Answer the sender: nobody knows its job.
    Unknown(u64),
    /// Answer the sender: it is to repeat the callback.
    Repeat(u64),
}

/// What a process says of a callback that was forwarded to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerResponse {
    /// It has taken it.
    Taken,
    /// It does not know its job.
    Unknown,
    /// It is to be repeated.
    Repeat,
}

/// A process beside this one.
#[derive(Debug)]
struct Peer {
    pid: u32,
    link: LinkState,
    tries: u32,
    /// Callbacks that were forwarded, or wait for the link, in order.
    waiting: VecDeque<PendingCallback>,
    /// Responses still to come on callbacks that are not waited for any more.
    stale_responses: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Opening,
    Up,
    /// It could not be reached.
    Lost,
}

/// The machine.
#[derive(Debug)]
pub struct CallbackForwarder {
    own_pid: u32,
    peers: Vec<Peer>,
}

impl CallbackForwarder {
    /// A process with nobody beside it.
    pub fn new(own_pid: u32) -> CallbackForwarder {
        CallbackForwarder { own_pid, peers: Vec::new() }
    }

    /// This process.
    pub fn own_pid(&self) -> u32 {
        self.own_pid
    }

    /// Whether no link is being opened: until then a process should not say that it is ready, since the one beside it may
    /// stop listening once it does.
    pub fn is_settled(&self) -> bool {
        self.peers.iter().all(|peer| peer.link != LinkState::Opening)
    }

    /// The processes beside this one.
    pub fn peers(&self) -> impl Iterator<Item = u32> + '_ {
        self.peers.iter().map(|peer| peer.pid)
    }

    fn peer_mut(&mut self, pid: u32) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| peer.pid == pid)
    }

    /// A live process is beside this one. Opens a link to it, once.
    pub fn on_peer_seen(&mut self, pid: u32) -> Option<ForwardingAction> {
        if pid == self.own_pid || self.peers().any(|peer| peer == pid) || self.peers.len() >= MAX_PEERS {
            return None;
        }
        let waiting = VecDeque::new();
        self.peers.push(Peer { pid, link: LinkState::Opening, tries: 1, waiting, stale_responses: 0 });
        Some(ForwardingAction::Open(pid))
    }

    /// A link reached the process `reached`; it was opened for `pid`. Callbacks that wait are forwarded.
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
            return vec![ForwardingAction::Open(pid)];
        }
        self.on_link_lost(pid, true)
    }

    /// A process does not respond on a link that stands, as one that is frozen: its callbacks are to be repeated. Its
    /// responses may come yet.
    pub fn on_peer_silent(&mut self, pid: u32) -> Vec<ForwardingAction> {
        let Some(peer) = self.peer_mut(pid) else { return Vec::new() };
        peer.stale_responses += peer.waiting.len();
        peer.waiting.drain(..).map(|callback| ForwardingAction::Repeat(callback.from)).collect()
    }

    /// A link has ended. A process that has gone knows nothing any more; callbacks to one that lives are to be repeated, and
    /// the next one opens a link anew.
    pub fn on_link_lost(&mut self, pid: u32, is_alive: bool) -> Vec<ForwardingAction> {
        let Some(at) = self.peers.iter().position(|peer| peer.pid == pid) else { return Vec::new() };
        if is_alive {
            let peer = &mut self.peers[at];
            (peer.link, peer.stale_responses) = (LinkState::Lost, 0);
            return peer.waiting.drain(..).map(|callback| ForwardingAction::Repeat(callback.from)).collect();
        }
        let gone = self.peers.remove(at);
        gone.waiting.into_iter().flat_map(|callback| self.forward(callback)).collect()
    }

    /// A callback whose job this process does not know.
    pub fn forward(&mut self, mut callback: PendingCallback) -> Option<ForwardingAction> {
        let next = self.peers.iter_mut().find(|peer| !callback.asked.contains(&peer.pid));
        let Some(peer) = next else { return Some(ForwardingAction::Unknown(callback.from)) };
        if peer.waiting.len() + peer.stale_responses >= MAX_WAITING_CALLBACKS {
            return Some(ForwardingAction::Repeat(callback.from));
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
                Some(ForwardingAction::Open(peer.pid))
            }
        }
    }

    /// The response of a process to the oldest callback forwarded to it.
    pub fn on_response(&mut self, pid: u32, response: PeerResponse) -> Option<ForwardingAction> {
        let peer = self.peer_mut(pid)?;
        if peer.stale_responses > 0 {
            peer.stale_responses -= 1;
            return None;
        }
        let mut callback = peer.waiting.pop_front()?;
        match response {
            PeerResponse::Taken => Some(ForwardingAction::Taken(callback.from)),
            PeerResponse::Unknown => {
                callback.asked.push(pid);
                self.forward(callback)
            }
            PeerResponse::Repeat => Some(ForwardingAction::Repeat(callback.from)),
        }
    }
}

#[cfg(test)]
mod tests;
