//! The checker: verifies the decisions that processes logged, and the arrivals of jobs at workers, against the rules.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::stage::FaultRun;
use super::world::{LoggedDecision, World};
use super::{DRAIN_GRACE, Fault, Figures};
use crate::http::lock;

/// Returns the state of a zone from a text of the form `z0=open z1=closed`, or an empty text.
pub(super) fn state(states: &str, zone: usize) -> &str {
    let name = format!("z{zone}=");
    states.split(' ').find_map(|word| word.strip_prefix(name.as_str())).unwrap_or("")
}

/// The logged decisions by epoch: the zone states, and when a process first logged them.
type DecidedStates = BTreeMap<u64, (String, Instant)>;

/// Checks the logged decisions and the workers' arrivals, and adds the results to `figures`.
pub(super) fn check(world: &World, fault_runs: &[FaultRun], figures: &mut Figures) {
    let number = |id: &str| id.split('-').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    let runs = lock(&world.run_counts);
    figures.unsafe_ran_twice =
        runs.iter().filter(|(id, runs)| **runs > 1 && !number(id).is_multiple_of(3)).count() as u64;
    let mut logged = lock(&world.logged_decisions).clone();
    logged.sort_by_key(|entry| entry.at);
    let decided = check_agreement(world, fault_runs, &logged, figures);
    figures.decisions = decided.len() as u64;
    if !world.plan.agreed {
        return;
    }
    for zone in 0..world.plan.zones {
        check_wrong_closings(fault_runs, &decided, zone, figures);
        check_closings(world, fault_runs, &logged, zone, figures);
        check_drains(world, &logged, zone, figures);
    }
}

fn logs_closed(entry: &LoggedDecision, zone: usize) -> bool {
    state(&entry.states, zone).starts_with("closed")
}

/// Checks that all processes log the same states for an epoch and that no process goes back to an older epoch. Measures how
/// much later than the first the last process logs an epoch.
fn check_agreement(
    world: &World,
    fault_runs: &[FaultRun],
    logged: &[LoggedDecision],
    figures: &mut Figures,
) -> DecidedStates {
    let mut newest: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    let mut decided = DecidedStates::new();
    for entry in logged {
        let known = newest.insert((entry.process, entry.incarnation), entry.epoch).unwrap_or(0);
        figures.epochs_back += u64::from(entry.epoch <= known);
        let (states, first) = decided.entry(entry.epoch).or_insert_with(|| (entry.states.clone(), entry.at));
        figures.two_leaders_acted += u64::from(*states != entry.states);
        // A process that was absent, or in a partition without a majority, learns of the epoch only when it is back.
        let out_of_reach = |p: &FaultRun| {
            matches!(
                p.fault,
                Fault::ZoneCut(_)
                    | Fault::Alone(_)
                    | Fault::Split
                    | Fault::SplitInThree
                    | Fault::AllRestarted
                    | Fault::LeaderKilled
            ) && entry.at >= p.from
                && *first <= p.until + Duration::from_secs(2)
        };
        if !fault_runs.iter().any(out_of_reach) && !world.was_absent(entry.process, *first, entry.at) {
            let late = entry.at.duration_since(*first).as_millis() as u64;
            figures.disagree_ms_worst = figures.disagree_ms_worst.max(late);
        }
    }
    decided
}

/// Checks that no zone is closed without a fault that explains it.
fn check_wrong_closings(
    fault_runs: &[FaultRun],
    decided: &DecidedStates,
    zone: usize,
    figures: &mut Figures,
) {
    let is_explained = |at: Instant| {
        fault_runs.iter().any(|p| {
            let concerns_zone = match p.fault {
                Fault::ZoneDead(z) | Fault::ZoneCut(z) | Fault::Flaps(z) | Fault::Crowded(z) => z == zone,
                // The zones of members that the majority cannot reach are cut off as well.
                Fault::Split | Fault::SplitInThree | Fault::AllRestarted => true,
                _ => false,
            };
            concerns_zone && at >= p.from && at <= p.until + Duration::from_secs(4)
        })
    };
    let mut before = false;
    for (epoch, (states, at)) in decided {
        let now = state(states, zone).starts_with("closed");
        if now && !before && !is_explained(*at) {
            println!("epoch {epoch} closes z{zone} although no fault explains it: {states}");
            figures.wrongly_closed += 1;
        }
        before = now;
    }
}

/// Checks that all processes that were present log the closing of a dead zone. Measures how long the closing and the
/// reopening took.
fn check_closings(
    world: &World,
    fault_runs: &[FaultRun],
    logged: &[LoggedDecision],
    zone: usize,
    figures: &mut Figures,
) {
    for p in fault_runs.iter().filter(|p| p.fault == Fault::ZoneDead(zone)) {
        let was_absent = |process: usize| world.was_absent(process, p.from, p.until);
        let mut worst = 0;
        for process in (0..world.plan.dispatchers).filter(|process| !was_absent(*process)) {
            let first =
                logged.iter().find(|r| r.process == process && r.at >= p.from && logs_closed(r, zone));
            match first.filter(|entry| entry.at <= p.until + Duration::from_secs(1)) {
                Some(entry) => worst = worst.max(entry.at.duration_since(p.from).as_millis() as u64),
                None => figures.not_closed += 1,
            }
        }
        figures.closed_in_ms = figures.closed_in_ms.max(worst);
        let open = |r: &&LoggedDecision| r.at > p.until && state(&r.states, zone).starts_with("open");
        if let Some(entry) = logged.iter().find(open) {
            let took_ms = entry.at.duration_since(p.until).as_millis() as u64;
            figures.reopened_in_ms = figures.reopened_in_ms.max(took_ms);
        }
    }
}

/// Counts the jobs that each process sent to a zone it knew to be closed, after the drain grace.
fn check_drains(world: &World, logged: &[LoggedDecision], zone: usize, figures: &mut Figures) {
    let closed = |entry: &LoggedDecision| logs_closed(entry, zone);
    for process in 0..world.plan.dispatchers {
        let own: Vec<&LoggedDecision> = logged.iter().filter(|r| r.process == process).collect();
        for (at, entry) in own.iter().enumerate().filter(|(_, entry)| closed(entry)) {
            let until = own.get(at + 1).filter(|next| !closed(next)).map(|next| next.at);
            let closed_since =
                own[..at].iter().rposition(|r| !closed(r)).map_or(own[0].at, |open| own[open + 1].at);
            let next = own.get(at + 1).map(|next| next.at);
            let drained_at = entry.at.max(closed_since + DRAIN_GRACE);
            let late = lock(&world.arrivals)
                .iter()
                .filter(|a| a.process == process && a.zone == zone && a.at > drained_at)
                .filter(|a| next.or(until).is_none_or(|next| a.at < next))
                .filter(|a| !world.was_absent(process, entry.at, a.at))
                .count();
            figures.late_drains += late as u64;
        }
    }
}
