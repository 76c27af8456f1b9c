//! Duplicate and reordering filter for the frames of one member: no frame is accepted twice, and of most
//! kinds only a frame newer than all accepted before it. Chunks of documents are exempt.

use super::frame::{Body, Frame};
use crate::consensus;

/// Number of `DeliveryOrder::NewestOnly` channels. Each channel is ordered on its own, so a frame that
/// overtakes one of another channel does not cause that one to be dropped.
const CHANNEL_COUNT: usize = 12;
const SWIM_CHANNEL: usize = 0;
const CONSENSUS_CHANNEL: usize = 1;
const DECISION_QUERY_CHANNEL: usize = 2;
const DECISION_UPDATE_CHANNEL: usize = 3;
/// First channel of module messages. The topics share this and the following channels.
const FIRST_MODULE_CHANNEL: usize = 4;
/// How far behind the newest one a heartbeat is still accepted, in frames: the number of bits in
/// `ReplayWindow`.
const REPLAY_WINDOW_FRAMES: u64 = 128;

/// The order in which frames of a kind are accepted.
enum DeliveryOrder {
    /// Any order, repeats included: chunks of documents carry their position.
    Unordered,
    /// Each frame once, even if others have overtaken it.
    Once,
    /// Only frames newer than all accepted before on the channel.
    NewestOnly { channel: usize },
}

fn delivery_order(body: &Body) -> DeliveryOrder {
    let channel = match body {
        Body::Swim(_) => SWIM_CHANNEL,
        // A heartbeat reply that another message has overtaken is still valid. Dropping it would make the
        // fleet replace leaders needlessly, since a datagram network reorders.
        Body::Consensus(message) if consensus::is_heartbeat(message) => return DeliveryOrder::Once,
        Body::Consensus(_) => CONSENSUS_CHANNEL,
        Body::DecisionQuery(_) => DECISION_QUERY_CHANNEL,
        Body::DecisionUpdate { .. } => DECISION_UPDATE_CHANNEL,
        Body::ModuleMessage { topic, .. } => {
            FIRST_MODULE_CHANNEL + usize::from(*topic) % (CHANNEL_COUNT - FIRST_MODULE_CHANNEL)
        }
        Body::ChunkRequest { .. } | Body::DocumentChunk(_) => return DeliveryOrder::Unordered,
    };
    DeliveryOrder::NewestOnly { channel }
}

/// The recently accepted frame numbers: the newest one, and a bit for each of the numbers before it.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    newest: u64,
    /// Bit n stands for the number `newest - n`.
    accepted: u128,
}

impl ReplayWindow {
    /// Records a number and returns true, unless it was accepted before or is too old for the window.
    fn accept(&mut self, number: u64) -> bool {
        if number > self.newest {
            let advance = number - self.newest;
            self.accepted = if advance < REPLAY_WINDOW_FRAMES { self.accepted << advance } else { 0 };
            self.accepted |= 1;
            self.newest = number;
            return true;
        }
        let age = self.newest - number;
        let is_new = age < REPLAY_WINDOW_FRAMES && self.accepted & 1 << age == 0;
        if is_new {
            self.accepted |= 1 << age;
        }
        is_new
    }
}

/// Record of the frames accepted from one member: its incarnation and the newest frame numbers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReorderFilter {
    incarnation: u64,
    newest_by_channel: [u64; CHANNEL_COUNT],
    heartbeats: ReplayWindow,
}

impl ReorderFilter {
    /// Accepts a frame and records its number, or returns false.
    pub(super) fn accept(&mut self, frame: &Frame) -> bool {
        if frame.incarnation < self.incarnation {
            return false;
        }
        if frame.incarnation > self.incarnation {
            *self = ReorderFilter { incarnation: frame.incarnation, ..ReorderFilter::default() };
        }
        match delivery_order(&frame.body) {
            DeliveryOrder::Unordered => true,
            DeliveryOrder::Once => self.heartbeats.accept(frame.number),
            DeliveryOrder::NewestOnly { channel } => {
                let is_newer = frame.number > self.newest_by_channel[channel];
                if is_newer {
                    self.newest_by_channel[channel] = frame.number;
                }
                is_newer
            }
        }
    }
}
