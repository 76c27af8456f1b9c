//! Which frames of one member are taken: each once, and of most kinds only what is newer than what came before.

use super::frame::{Body, Frame};
use crate::consensus;

/// Frames of one kind are numbered for themselves, each part's too: one kind that overtakes another on its way is no
/// reason to drop the other.
const CHANNELS: usize = 12;
/// How far behind the newest a heartbeat may come, in frames.
const WINDOW: u64 = 128;

/// How frames of a kind are taken.
enum Order {
    /// Any, however often: pieces of documents say which they are.
    Any,
    /// Each once, also where others have overtaken it.
    Once,
    /// What is newer than all before it on the channel.
    Newest(usize),
}

fn order(body: &Body) -> Order {
    match body {
        Body::Swim(_) => Order::Newest(0),
        // Guards against leaders that are replaced for nothing: a datagram network reorders, and a reply to a heartbeat
        // that another message has overtaken is as good as before.
        Body::Consensus(message) if consensus::is_heartbeat(message) => Order::Once,
        Body::Consensus(_) => Order::Newest(1),
        Body::DecisionQuery(_) => Order::Newest(2),
        Body::DecisionUpdate { .. } => Order::Newest(3),
        Body::ModuleMessage { topic, .. } => Order::Newest(4 + usize::from(*topic) % (CHANNELS - 4)),
        Body::ChunkRequest { .. } | Body::DocumentChunk { .. } => Order::Any,
    }
}

/// The numbers that were taken lately: the newest, and a bit for each of those before it.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    newest: u64,
    taken: u128,
}

impl Window {
    /// Whether a number was not taken before, and is not too old to tell.
    fn takes(&mut self, number: u64) -> bool {
        if number > self.newest {
            let passed = number - self.newest;
            self.taken = if passed < WINDOW { self.taken << passed } else { 0 };
            self.taken |= 1;
            self.newest = number;
            return true;
        }
        let behind = self.newest - number;
        let fresh = behind < WINDOW && self.taken & 1 << behind == 0;
        if fresh {
            self.taken |= 1 << behind;
        }
        fresh
    }
}

/// What came last from one member: the process that sent it, and the numbers of each kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReorderFilter {
    incarnation: u64,
    numbers: [u64; CHANNELS],
    heartbeats: Window,
}

impl ReorderFilter {
    /// Whether a frame is taken; it counts as taken then.
    pub(super) fn takes(&mut self, frame: &Frame) -> bool {
        if frame.incarnation < self.incarnation {
            return false;
        }
        if frame.incarnation > self.incarnation {
            *self = ReorderFilter { incarnation: frame.incarnation, ..ReorderFilter::default() };
        }
        match order(&frame.body) {
            Order::Any => true,
            Order::Once => self.heartbeats.takes(frame.number),
            Order::Newest(channel) => {
                let newer = frame.number > self.numbers[channel];
                if newer {
                    self.numbers[channel] = frame.number;
                }
                newer
            }
        }
    }
}
