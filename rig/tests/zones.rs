//! The small form of the experiment `zones`: real processes, with faults between them by seed.

use micabeam_rig::zones::{Fault, Plan, experiment};

const PLAN: Plan =
    Plan { dispatchers: 9, zones: 3, seconds: 15, seed: 1, rate: 20, agreed: true, only: None };

/// Whatever is drawn, each job gets one answer, epochs never go back, and no zone is closed that nothing is wrong with.
#[test]
fn faults_drawn_by_seed_break_no_rule() {
    for seed in 1..4 {
        let figures = experiment(&Plan { seed, ..PLAN }).unwrap();
        println!("seed {seed}: {}", figures.line());
        figures.verify().unwrap();
        assert!(figures.share() > 0.9, "served of the ideal: {}", figures.line());
        assert!(figures.near * 100 > figures.calm * 99, "near: {}", figures.line());
    }
}

/// Neighbours that have little room get no more than they have room for: the rest is refused at home.
#[test]
fn what_the_neighbours_have_no_room_for_is_refused_at_home() {
    let only = Some(Fault::Crowded(0));
    let figures = experiment(&Plan { seconds: 16, seed: 6, rate: 35, only, ..PLAN }).unwrap();
    figures.verify().unwrap();
    assert!(figures.refused > 0, "{}", figures.line());
}

/// Each fault that the drawn ones may have left out, by itself.
#[test]
fn each_hard_case_by_itself_breaks_no_rule() {
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
        assert!(figures.share() > 0.9, "{fault:?}: {}", figures.line());
    }
}

/// A dead zone is closed by all within three seconds, and opened again.
#[test]
fn a_dead_zone_is_closed_by_all() {
    let figures = experiment(&Plan { seconds: 14, seed: 5, only: Some(Fault::ZoneDead(1)), ..PLAN }).unwrap();
    figures.verify().unwrap();
    assert!(figures.closed_in_ms > 0 && figures.closed_in_ms <= 3000, "{}", figures.line());
    assert!(figures.reopened_in_ms > 0 && figures.decisions >= 4, "{}", figures.line());
}
