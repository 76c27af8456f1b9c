//! Scale tests with small fleets of simulated dispatchers. Counts are exact, so that one message too many is noticed.

use micabeam::core::MAX_ENDPOINTS;
use micabeam_rig::scale::{Figures, Plan, experiment};

fn run(plan: &Plan) -> Figures {
    let figures = experiment(plan).unwrap_or_else(|e| panic!("{plan:?}: {e}"));
    println!("{}", figures.line());
    figures
}

/// Guards against message counts that grow too fast with the fleet: a member's cost must be constant, and the leader's
/// must grow linearly.
#[test]
fn member_cost_is_constant_and_leader_cost_linear_in_fleet_size() {
    let sizes = [15, 30, 60, 120];
    let figures = sizes.map(|members| run(&Plan { members, ..Plan::default() }));
    for each in &figures {
        each.verify().unwrap();
        assert!(
            each.member_bytes_s <= 5000.0 && each.leader_changes == 0 && each.lapsed == 0,
            "{}",
            each.line()
        );
        assert!(each.changes == 6 && each.change_ms_worst <= 300.0, "{}", each.line());
    }
    let slope = |a: usize, b: usize| {
        let more = figures[b].busiest_bytes_s - figures[a].busiest_bytes_s;
        more / (sizes[b] - sizes[a]) as f64
    };
    assert!(slope(0, 3) <= 2500.0, "bytes per second per member at the leader: {}", slope(0, 3));
    assert!(
        slope(2, 3) <= slope(0, 1) * 1.2,
        "the cost grows faster than linearly: slope {} after {}",
        slope(2, 3),
        slope(0, 1)
    );
}

/// Guards against nondeterminism: the same seed must give the same counts.
#[test]
fn the_same_seed_gives_the_same_counts() {
    let plan = Plan { members: 20, deaths: 2, leader_lost: true, lost: 10, ..Plan::default() };
    let counts = |figures: Figures| {
        (figures.member_bytes_s, figures.busiest_frames_s, figures.change_ms_worst, figures.stale)
    };
    assert_eq!(counts(run(&plan)), counts(run(&plan)));
}

/// Guards against slow policy changes: a change must be in force within 3 s although some members and the leader are killed,
/// and no other member may stop serving.
#[test]
fn a_change_is_in_force_within_three_seconds_despite_kills() {
    for seed in 1..5 {
        let plan = Plan { members: 60, deaths: 4, leader_lost: true, seed, ..Plan::default() };
        let figures = run(&plan);
        figures.verify().unwrap();
        assert!(figures.change_ms_worst <= 3000.0, "seed {seed}: {}", figures.line());
        assert!(figures.lapsed == 0 && figures.unfinished == 0, "seed {seed}: {}", figures.line());
    }
}

/// Guards against a policy change that waits for the lease of a process which has been restarted: the new process proves
/// that the old one has ended.
#[test]
fn restarts_do_not_delay_a_change_by_a_lease() {
    let figures = run(&Plan { members: 60, restarts: 20, ..Plan::default() });
    figures.verify().unwrap();
    assert!(figures.change_ms_worst <= 1500.0 && figures.unfinished == 0, "{}", figures.line());
}

/// Guards against partial policy changes under kills, suspensions beyond the lease, restarts, a lost leader and zone, a region
/// that is cut off, and packet loss: a change must take effect everywhere or nowhere.
#[test]
fn policy_changes_are_atomic_whatever_fails() {
    for seed in 1..21 {
        let figures = run(&Plan {
            members: 40,
            deaths: 3,
            freezes: 3,
            restarts: 6,
            leader_lost: true,
            zone_lost: true,
            regions_apart: true,
            lost: 10,
            seed,
            ..Plan::default()
        });
        figures.verify().unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert!(figures.changes >= 3 && figures.unfinished == 0, "seed {seed}: {}", figures.line());
    }
}

/// Tests the checker itself: it must detect frontends that serve the old version beyond the end of their lease.
#[test]
fn checker_detects_frontends_that_ignore_their_lease() {
    let figures = run(&Plan { members: 20, freezes: 5, keeps_leases: false, ..Plan::default() });
    assert!(figures.old_after_new > 0 && figures.verify().is_err(), "{}", figures.line());
}

/// Guards against an endpoint table that drops workers silently: the planned size must fit, and a larger list must fail the
/// checks.
#[test]
fn a_list_of_the_planned_size_fits_and_a_larger_one_fails_the_check() {
    let small = Plan { members: 15, seconds: 5, changes: false, ..Plan::default() };
    assert_eq!(run(&Plan { workers: 16_000, ..small.clone() }).dropped_workers, 0);
    let beyond = run(&Plan { workers: MAX_ENDPOINTS + 10, ..small });
    assert_eq!(beyond.dropped_workers, 10);
    assert!(beyond.verify().is_err());
}

/// Plans that are out of bounds must be rejected with an error message of one line.
#[test]
fn bad_arguments_are_rejected_with_one_line() {
    for (plan, says) in [
        (Plan { members: 2, ..Plan::default() }, "members: 2 is not in the range 5 to 4096"),
        (Plan { voters: 4, ..Plan::default() }, "voters: 4 is not 3, 5 or 7"),
        (Plan { zones: 65, members: 100, ..Plan::default() }, "zones: 65 is not in the range 1 to 64"),
        (Plan { deaths: 14, ..Plan::default() }, "members that are not killed: 1"),
        (Plan { delay_ms: f64::NAN, ..Plan::default() }, "delay_ms must be 1 to 1000"),
    ] {
        let error = experiment(&plan).map(|figures| figures.line()).unwrap_err().to_string();
        assert!(error.starts_with(says) && !error.contains('\n'), "{says}: {error}");
    }
}
