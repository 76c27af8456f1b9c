//! The decision module: which endpoint gets a job, whether it is tried again, and what is rejected. It is driven by events
//! and a clock that its caller owns, gives out actions, and does no I/O.

mod router;
mod state;
mod types;
mod warm_state;

pub use router::Router;
pub use types::*;
pub use warm_state::WarmState;
