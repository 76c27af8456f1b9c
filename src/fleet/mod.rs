//! A dispatcher's end of the transport among the members of a fleet, free of I/O.
//!
//! It owns membership (`swim`), the frames between members and their order (`frame`, `delivery`), the exchange of
//! decisions (`decision_exchange`) and documents that are too long for a decision (`documents`); the agreement is
//! `crate::consensus`. What messages and decisions mean is left to the control-plane modules: each has a topic, and its
//! messages to other members and its decisions travel here.
//!
//! A node is driven by frames and the clock. The caller calls `receive` for each datagram, `tick` at `next_deadline`, and
//! after each call carries out all of `take_effects` and passes on each `next_event`, both in order. Each `Effect::Write`
//! must be answered by `on_written`, in order. Times are milliseconds of the caller's clock.

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

pub use documents::{Chunk, DocumentHash, MAX_DOCUMENT_BYTES, hash, short};
pub use frame::{Body, Decision, Frame, FrameError, KnownEpoch, MAX_FRAME_BYTES};
pub use node::{FleetNode, MAX_MEMBERS, TICK_MS};
pub use types::{Effect, MemberConfig, MemberId, NodeConfig, NodeCounters, NodeEvent};
