//! A short run of the `zones` experiment: real processes with seeded faults between them.

use micabeam_rig::zones::{Fault, Plan, experiment};

const PLAN: Plan =
    Plan { dispatchers: 9, zones: 3, seconds: 15, seed: 1, rate: 20, agreed: true, only: None };

/// Guards against lost or duplicate responses, epochs that go back, and wrongly closed zones under seeded faults.
#[test]
fn seeded_faults_break_no_rule() {
    for seed in 1..4 {
        let figures = experiment(&Plan { seed, ..PLAN }).unwrap();
        println!("seed {seed}: {}", figures.line());
        figures.verify().unwrap();
        assert!(figures.served_share() > 0.9, "served share of the ideal: {}", figures.line());
        assert!(
            figures.baseline_near * 100 > figures.baseline * 99,
            "share served in the own zone: {}",
            figures.line()
        );
    }
}

/// Guards against overloading the neighbours of a failed zone: a dispatcher rejects the jobs for which they lack capacity.
#[test]
fn jobs_beyond_the_neighbours_capacity_are_rejected() {
    let only = Some(Fault::Crowded(0));
    let figures = experiment(&Plan { seconds: 16, seed: 6, rate: 35, only, ..PLAN }).unwrap();
    figures.verify().unwrap();
    assert!(figures.refused > 0, "{}", figures.line());
}

/// Runs each hard fault by itself, since the seeded runs may leave some of them out.
#[test]
fn each_hard_fault_alone_breaks_no_rule() {
    let cases = [
        Fault::ZoneCut(2),
        Fault::OneWay(0, 4),
        Fault::Alone(3),
        Fault::LeaderKilled,
        Fault::LeaderFrozen,
        Fault::SplitInThree,
        Fault::AllSlow,
        Fault::Lossy,
    ];
    for (at, fault) in cases.into_iter().enumerate() {
        let plan = Plan { seconds: 6, seed: 10 + at as u64, only: Some(fault), ..PLAN };
        let figures = experiment(&plan).unwrap();
        println!("{fault:?}: {}", figures.line());
        figures.verify().unwrap_or_else(|e| panic!("{fault:?}: {e}"));
        assert!(figures.served_share() > 0.9, "{fault:?}: {}", figures.line());
    }
}

/// Guards against slow failover: all processes must close a dead zone within three seconds, and it must be reopened.
#[test]
fn a_dead_zone_is_closed_by_all_processes() {
    let figures = experiment(&Plan { seconds: 14, seed: 5, only: Some(Fault::ZoneDead(1)), ..PLAN }).unwrap();
    figures.verify().unwrap();
    assert!(figures.closed_in_ms > 0 && figures.closed_in_ms <= 3000, "{}", figures.line());
    assert!(figures.reopened_in_ms > 0 && figures.decisions >= 4, "{}", figures.line());
}
