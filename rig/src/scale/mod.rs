//! Scale tests: many hollow dispatchers in one process. A hollow dispatcher is the program's own state machines
//! (`micabeam::control_plane::Shared`, and for a sample of them the server table and the decision module) on a set clock; its
//! datagrams are really encoded and decoded, and travel over links that delay, lose, reorder and cut by seed.
//!
//! Counts of messages and bytes are exact and the same for a seed. Processor time is measured around each call of a state
//! machine. Sockets, the kernel and disks are not played: a write is done after a fixed time.

mod checker;
mod dispatcher;
mod figures;
mod lists;
mod memory;
mod network;
mod plan;
mod world;

pub use figures::Figures;
pub use lists::{ListFigures, play as play_list};
pub use plan::Plan;

use crate::RigError;

/// Plays a plan.
///
/// # Errors
/// Where the program or a stand-in cannot be started, or the experiment disproves what it is to show.
pub fn experiment(plan: &Plan) -> Result<Figures, RigError> {
    plan.check()?;
    let lists = lists::play(plan.workers, 0)?;
    let mut world = world::World::new(plan);
    world.join()?;
    world.play()?;
    Ok(world.figures(&lists))
}
