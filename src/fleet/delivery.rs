//! Which frames of one member are accepted: each once, and of most kinds only what is newer than what was accepted before.

use super::frame::{Body, Frame};
use crate::consensus;

/// Channels of `DeliveryOrder::NewestOnly`. A frame that overtakes one of another channel is no reason to drop that one.
const CHANNEL_COUNT: usize = 12;
const SWIM_CHANNEL: usize = 0;
const CONSENSUS_CHANNEL: usize = 1;
const DECISION_QUERY_CHANNEL: usize = 2;
const DECISION_UPDATE_CHANNEL: usize = 3;
/// The first channel of module messages: the rest of the channels is shared out among the topics.
const FIRST_MODULE_CHANNEL: usize = 4;
/// How far behind the newest one a heartbeat is still accepted, in frames: as many as `ReplayWindow` has bits.
const REPLAY_WINDOW_FRAMES: u64 = 128;

/// In which order frames of a kind are accepted.
enum DeliveryOrder {
    /// In any, also repeatedly: chunks of documents name their place.
    Unordered,
    /// Each once, also where others have overtaken it.
    Once,
    /// Only what is newer than all before it on the channel.
    NewestOnly { channel: usize },
}

fn delivery_order(body: &Body) -> DeliveryOrder {
    let channel = match body {
        Body::Swim(_) => SWIM_CHANNEL,
        // Guards against leaders that are replaced for nothing: a datagram network reorders, and a reply to a heartbeat
        // that another message has overtaken is still valid.
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

/// The numbers that were accepted lately: the newest, and a bit for each of those before it.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    newest: u64,
    /// Bit n is for the number `newest - n`.
    accepted: u128,
}

impl ReplayWindow {
    /// Whether a number was not accepted before and is not too old to know; it counts as accepted then.
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

/// What was accepted from one member: the incarnation that sent it, and the newest numbers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReorderFilter {
    incarnation: u64,
    newest_by_channel: [u64; CHANNEL_COUNT],
    heartbeats: ReplayWindow,
}

impl ReorderFilter {
    /// Whether a frame is accepted; its number is used up then.
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
