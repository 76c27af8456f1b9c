//! The small form of the experiment `streams`, with slow peers of both sorts and both ways.

use micabeam_rig::streams::{Plan, experiment};

/// 50 KB/s peers beside fast ones, every body checked by its hash at both ends.
#[test]
fn fast_and_slow_peers_get_every_body_whole() {
    let plan = Plan {
        count: 40,
        bytes: 20_000_000,
        slow: 8,
        slow_rate: 50_000,
        slow_bytes: 250_000,
        least_kb_s: 8,
        // Half of them have a pipe, half the ring.
        pipes: 20,
        ceiling_mb: 64.0,
        bare_bytes: 0,
    };
    let figures = experiment(&plan).unwrap();
    figures.verify(&plan).unwrap();
    assert_eq!(figures.completed, plan.count, "{}", figures.line());
}

/// Peers below the least pace are given up, and their clients see it.
#[test]
fn peers_below_the_least_pace_fail_cleanly() {
    let plan = Plan {
        count: 16,
        bytes: 5_000_000,
        slow: 8,
        // What sockets hold is still read at this pace after a cut: fast enough for a test.
        slow_rate: 500_000,
        slow_bytes: 20_000_000,
        least_kb_s: 2_000,
        pipes: 8,
        ceiling_mb: 64.0,
        bare_bytes: 0,
    };
    let figures = experiment(&plan).unwrap();
    figures.verify(&plan).unwrap();
    assert_eq!((figures.completed, figures.failed_clean), (8, 8), "{}", figures.line());
}
