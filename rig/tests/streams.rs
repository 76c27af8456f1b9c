//! A short run of the `streams` experiment, with slow clients and slow servers, in uploads and downloads.

use micabeam_rig::streams::{Plan, experiment};

/// Guards against damaged or truncated bodies when 50 KB/s peers run beside fast ones; both ends check each body's hash.
#[test]
fn fast_and_slow_peers_get_every_body_whole() {
    let plan = Plan {
        count: 40,
        bytes: 20_000_000,
        slow: 8,
        slow_rate: 50_000,
        slow_bytes: 250_000,
        least_kb_s: 8,
        // Half of the streams use a pipe, half the ring.
        pipes: 20,
        ceiling_mb: 64.0,
        bare_bytes: 0,
    };
    let figures = experiment(&plan).unwrap();
    figures.verify(&plan).unwrap();
    assert_eq!(figures.completed, plan.count, "{}", figures.line());
}

/// Guards against silent truncation when a peer is below the minimum rate: its stream is aborted and its client sees the
/// failure.
#[test]
fn peers_below_the_minimum_rate_fail_cleanly() {
    let plan = Plan {
        count: 16,
        bytes: 5_000_000,
        slow: 8,
        // After an abort, the peer still reads what the sockets have buffered at this rate: fast enough for a test.
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
