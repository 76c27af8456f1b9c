//! A short run of the `rollout` experiment: real processes with seeded faults between them.

use micabeam_rig::rollout::{Plan, experiment};

/// Guards against partial policy changes: a change must take effect everywhere or nowhere, whatever fails meanwhile.
#[test]
fn policy_changes_are_atomic_under_faults() {
    for seed in 1..4 {
        let figures = experiment(&Plan { dispatchers: 5, seconds: 15, seed, agreed: true })
            .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        println!("seed {seed}: {}", figures.line());
        figures.verify().unwrap();
        assert!(figures.committed >= 7 && figures.faults >= 3, "{}", figures.line());
        assert!(figures.change_ms_worst <= 1000, "{}", figures.line());
    }
}

/// Tests the checker itself: if each process reloads its file independently, it must detect clients that are served under
/// an old version after a new one.
#[test]
fn checker_detects_old_version_after_new_without_agreement() {
    let figures = experiment(&Plan { dispatchers: 5, seconds: 0, seed: 9, agreed: false }).unwrap();
    println!("{}", figures.line());
    assert!(figures.old_after_new > 0 && figures.verify().is_err(), "{}", figures.line());
}
