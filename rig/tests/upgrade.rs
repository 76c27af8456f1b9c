//! The small form of the experiment `upgrade`.

use micabeam_rig::upgrade::{Plan, experiment};

/// Upgrades under load with faults at the seam: every job gets one answer, and what may not run twice does not.
#[test]
fn upgrades_under_load_lose_and_repeat_nothing() {
    let figures = experiment(&Plan { rounds: 10, rate: 60, seed: 3 }).unwrap();
    figures.verify().unwrap();
    assert!(figures.callbacks_other > 0, "the seam was used: {}", figures.line());
}
