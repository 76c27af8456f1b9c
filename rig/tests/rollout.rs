//! The small form of the experiment `rollout`: real processes, with faults between them by seed.

use micabeam_rig::rollout::{Plan, experiment};

/// A change of policy is everywhere or nowhere, whatever fails while it is made.
#[test]
fn changes_are_everywhere_or_nowhere_whatever_fails() {
    for seed in 1..4 {
        let figures = experiment(&Plan { dispatchers: 5, seconds: 15, seed, agreed: true })
            .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        println!("seed {seed}: {}", figures.line());
        figures.verify().unwrap();
        assert!(figures.committed >= 7 && figures.faults >= 3, "{}", figures.line());
        assert!(figures.change_ms_worst <= 1000, "{}", figures.line());
    }
}

/// The checker finds what it looks for: where each process takes its file over by itself, clients see old after new.
#[test]
fn without_agreement_the_checker_finds_what_is_old_after_what_is_new() {
    let figures = experiment(&Plan { dispatchers: 5, seconds: 0, seed: 9, agreed: false }).unwrap();
    println!("{}", figures.line());
    assert!(figures.old_after_new > 0 && figures.verify().is_err(), "{}", figures.line());
}
