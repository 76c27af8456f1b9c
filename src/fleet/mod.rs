//! Transport between the members of a fleet, as seen by one dispatcher. Sans-I/O.
//!
//! This module owns membership (`swim`), the frames between members and their ordering (`frame`, `delivery`),
//! the exchange of decisions (`decision_exchange`) and documents that are too long for a decision
//! (`documents`). Agreement is the task of `crate::consensus`. The control-plane modules interpret messages
//! and decisions: each module has a topic, under which its messages to other members and its decisions are
//! transported here.
//!
//! A node is driven by frames and the clock. The caller calls `receive` for each datagram and `tick` at
//! `next_deadline`. After each call it carries out all effects of `take_effects` and handles each event of
//! `next_event`, both in order. It reports the outcome of each `Effect::Write` by `on_written`, in order.
//! Times are in milliseconds of the caller's clock.

mod decision_exchange;
mod delivery;
mod documents;
mod frame;
mod node;
mod swim;
#[cfg(test)]
mod tests;
mod types;
#[cfg(test)]
mod wire_tests;

pub use documents::{Chunk, DocumentHash, MAX_DOCUMENT_BYTES, hash, short_hex};
pub use frame::{Body, Decision, Frame, FrameError, KnownEpoch, MAX_FRAME_BYTES};
pub use node::{FleetNode, MAX_MEMBERS, TICK_MS};
pub use types::{Effect, MemberConfig, MemberId, NodeConfig, NodeCounters, NodeEvent};
