//! The seam between two processes of one dispatcher at an upgrade: which of them a call-back is passed on to. The
//! kernel deals connections out over all that listen, so that a call-back may reach a process that does not know its
//! job. It is acknowledged only once the one that owns the job has taken it, or nobody beside knows it.
//!
//! Owns: the processes beside this one, and the calls that wait for their word. Not: sockets, notes and clocks; the
//! front tells what it sees and does what it is told. The caller must tell of the end of every link that it opened.

use std::collections::VecDeque;

/// Processes beside this one that are remembered: one that it replaces, and one that replaces it.
const PEERS: usize = 2;
/// Calls that wait for one process at most. What comes beyond is to be repeated by its sender.
const WAITING: usize = 256;
/// Times a link is opened in vain before it is given up for `failed` calls: each may reach this process itself, as
/// the kernel deals them out, or the one beside.
const TRIES: u32 = 24;

/// A call-back that this process does not know, and who has been asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingCallback {
    /// The connection that it came by.
    pub from: u64,
    /// Its body.
    pub body: Vec<u8>,
    /// Processes that do not know it.
    pub asked: Vec<u32>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardingAction {
    /// Open a link to a process: it may turn out to be another's.
    Open(u32),
    /// Pass a call on to a process over its link; its word comes in the order of the calls.
    Pass(u32, Vec<u8>, Vec<u32>),
    /// Answer the sender: its owner has taken the call.
    Taken(u64),
    /// Answer the sender: nobody knows it.
    Unknown(u64),
    /// Answer the sender: it is to repeat the call.
    Later(u64),
}

/// A process beside this one.
#[derive(Debug)]
struct Peer {
    pid: u32,
    state: LinkState,
    tries: u32,
    /// Calls that were passed on, or wait for the link, in order.
    waiting: VecDeque<PendingCallback>,
    /// Words still to come on calls that are not waited for any more.
    stale: usize,
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
    own: u32,
    peers: Vec<Peer>,
}

impl CallbackForwarder {
    /// A process with nobody beside it.
    pub fn new(own: u32) -> CallbackForwarder {
        CallbackForwarder { own, peers: Vec::new() }
    }

    /// This process.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Whether no link is being opened: until then a process should not say that it is ready, since the one beside
    /// may stop listening at its word.
    pub fn settled(&self) -> bool {
        self.peers.iter().all(|p| p.state != LinkState::Opening)
    }

    /// The processes beside this one.
    pub fn peers(&self) -> impl Iterator<Item = u32> + '_ {
        self.peers.iter().map(|p| p.pid)
    }

    /// A live process is beside this one. Opens a link to it, once.
    pub fn meet(&mut self, pid: u32) -> Option<ForwardingAction> {
        if pid == self.own || self.peers().any(|p| p == pid) || self.peers.len() >= PEERS {
            return None;
        }
        self.peers.push(Peer {
            pid,
            state: LinkState::Opening,
            tries: 1,
            waiting: VecDeque::new(),
            stale: 0,
        });
        Some(ForwardingAction::Open(pid))
    }

    /// A link reached the process `reached`; it was opened for `pid`. Calls that wait are passed on.
    pub fn reached(&mut self, pid: u32, reached: u32) -> Vec<ForwardingAction> {
        let Some(peer) = self.peers.iter_mut().find(|p| p.pid == pid) else { return Vec::new() };
        if reached == pid {
            (peer.state, peer.tries) = (LinkState::Up, 0);
            return peer
                .waiting
                .iter()
                .map(|c| ForwardingAction::Pass(pid, c.body.clone(), c.asked.clone()))
                .collect();
        }
        if peer.tries < TRIES {
            peer.tries += 1;
            return vec![ForwardingAction::Open(pid)];
        }
        self.lost(pid, true)
    }

    /// A process does not answer on a link that stands, as one that is frozen: its calls are to be repeated. Its
    /// words may come yet.
    pub fn silent(&mut self, pid: u32) -> Vec<ForwardingAction> {
        let Some(peer) = self.peers.iter_mut().find(|p| p.pid == pid) else { return Vec::new() };
        peer.stale += peer.waiting.len();
        peer.waiting.drain(..).map(|c| ForwardingAction::Later(c.from)).collect()
    }

    /// A link has ended. A process that has gone knows nothing any more; calls to one that lives are to be repeated,
    /// and the next one opens a link anew.
    pub fn lost(&mut self, pid: u32, alive: bool) -> Vec<ForwardingAction> {
        let Some(at) = self.peers.iter().position(|p| p.pid == pid) else { return Vec::new() };
        if alive {
            let peer = &mut self.peers[at];
            (peer.state, peer.stale) = (LinkState::Lost, 0);
            return peer.waiting.drain(..).map(|c| ForwardingAction::Later(c.from)).collect();
        }
        let peer = self.peers.remove(at);
        peer.waiting.into_iter().flat_map(|call| self.pass(call)).collect()
    }

    /// A call-back that this process does not know.
    pub fn pass(&mut self, mut call: PendingCallback) -> Option<ForwardingAction> {
        let next = self.peers.iter_mut().find(|p| !call.asked.contains(&p.pid));
        let Some(peer) = next else { return Some(ForwardingAction::Unknown(call.from)) };
        if peer.waiting.len() + peer.stale >= WAITING {
            return Some(ForwardingAction::Later(call.from));
        }
        if !call.asked.contains(&self.own) {
            call.asked.push(self.own);
        }
        let step = ForwardingAction::Pass(peer.pid, call.body.clone(), call.asked.clone());
        peer.waiting.push_back(call);
        match peer.state {
            LinkState::Up => Some(step),
            LinkState::Opening => None,
            LinkState::Lost => {
                (peer.state, peer.tries) = (LinkState::Opening, 1);
                Some(ForwardingAction::Open(peer.pid))
            }
        }
    }

    /// The word of a process on the oldest call passed to it: whether it has taken it, or does not know it; none
    /// where it is to be repeated.
    pub fn word(&mut self, pid: u32, taken: Option<bool>) -> Option<ForwardingAction> {
        let peer = self.peers.iter_mut().find(|p| p.pid == pid)?;
        if peer.stale > 0 {
            peer.stale -= 1;
            return None;
        }
        let mut call = peer.waiting.pop_front()?;
        match taken {
            Some(true) => Some(ForwardingAction::Taken(call.from)),
            Some(false) => {
                call.asked.push(pid);
                self.pass(call)
            }
            None => Some(ForwardingAction::Later(call.from)),
        }
    }
}

#[cfg(test)]
mod tests;
