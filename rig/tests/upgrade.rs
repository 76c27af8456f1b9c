//! A short run of the `upgrade` experiment.

use micabeam_rig::upgrade::{Plan, experiment};

/// Guards against lost and duplicate responses, and repeated unsafe jobs, during upgrades under load with faults on the
/// upgrade link.
#[test]
fn upgrades_under_load_lose_and_repeat_nothing() {
    let figures = experiment(&Plan { rounds: 10, rate: 60, seed: 3 }).unwrap();
    figures.verify().unwrap();
    assert!(figures.callbacks_other > 0, "the upgrade link was used: {}", figures.line());
}
