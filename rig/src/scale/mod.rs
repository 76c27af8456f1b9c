//! Scale tests: simulate many dispatchers in one process. A simulated ("hollow") dispatcher runs the program's own state
//! machine [`micabeam::control_plane::ControlPlane`] on a simulated clock. Its datagrams are really encoded and decoded, and
//! travel over links that delay, lose, reorder and drop them by seed. The endpoint table and the routing core are measured
//! separately, with the list of one dispatcher (`lists`).
//!
//! Counts of messages and bytes are exact, and the same for the same seed. Processor time is measured around each call into
//! a state machine. Sockets, the kernel and disks are not simulated: a write completes after a fixed time.

mod checker;
mod dispatcher;
mod figures;
mod lists;
mod memory;
mod network;
mod plan;
mod world;

pub use figures::Figures;
pub use lists::{ListFigures, measure as measure_list};
pub use plan::Plan;

use crate::RigError;

/// Runs the scale test of a plan.
///
/// # Errors
/// If the plan is out of bounds, the list cannot be read, or the fleet does not come up.
pub fn experiment(plan: &Plan) -> Result<Figures, RigError> {
    plan.check()?;
    let lists = lists::measure(plan.workers, 0)?;
    let mut world = world::World::new(plan);
    world.start_fleet()?;
    world.run_plan()?;
    Ok(world.figures(&lists))
}
