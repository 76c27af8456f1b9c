//! The checker: reads the processes' logs and the workers' arrivals against the rules.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::stage::Played;
use super::world::{Read, World};
use super::{DRAIN, Fault, Figures};
use crate::http::lock;

/// A zone's state in a line of states.
pub(super) fn state(states: &str, zone: usize) -> &str {
    let name = format!("z{zone}=");
    states.split(' ').find_map(|word| word.strip_prefix(name.as_str())).unwrap_or("")
}

/// The decisions that were read, by epoch: the states of the zones, and when they were read first.
type Tables = BTreeMap<u64, (String, Instant)>;

/// Reads the processes' logs and the workers' arrivals.
pub(super) fn check(world: &World, played: &[Played], figures: &mut Figures) {
    let number = |id: &str| id.split('-').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    let runs = lock(&world.runs);
    figures.unsafe_ran_twice =
        runs.iter().filter(|(id, runs)| **runs > 1 && !number(id).is_multiple_of(3)).count() as u64;
    let mut reads = lock(&world.reads).clone();
    reads.sort_by_key(|read| read.at);
    let tables = check_agreement(world, played, &reads, figures);
    figures.decisions = tables.len() as u64;
    if !world.plan.agreed {
        return;
    }
    for zone in 0..world.plan.zones {
        check_blame(played, &tables, zone, figures);
        check_closings(world, played, &reads, zone, figures);
        check_drains(world, &reads, zone, figures);
    }
}

fn is_closed(read: &Read, zone: usize) -> bool {
    state(&read.states, zone).starts_with("closed")
}

/// All read the same of an epoch, and no epoch goes back; how much later the last one read it.
fn check_agreement(world: &World, played: &[Played], reads: &[Read], figures: &mut Figures) -> Tables {
    let mut newest: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    let mut tables = Tables::new();
    for read in reads {
        let known = newest.insert((read.process, read.life), read.epoch).unwrap_or(0);
        figures.epochs_back += u64::from(read.epoch <= known);
        let (states, first) = tables.entry(read.epoch).or_insert_with(|| (read.states.clone(), read.at));
        figures.two_leaders_acted += u64::from(*states != read.states);
        // A process that was away, or in a part without a majority, reads it when it is back.
        let out_of_reach = |p: &Played| {
            matches!(
                p.fault,
                Fault::ZoneCut(_)
                    | Fault::Alone(_)
                    | Fault::Split
                    | Fault::SplitInThree
                    | Fault::AllRestarted
                    | Fault::LeaderKilled
            ) && read.at >= p.from
                && *first <= p.until + Duration::from_secs(2)
        };
        if !played.iter().any(out_of_reach) && !world.was_away(read.process, *first, read.at) {
            let late = read.at.duration_since(*first).as_millis() as u64;
            figures.disagree_ms_worst = figures.disagree_ms_worst.max(late);
        }
    }
    tables
}

/// No zone is closed that nothing was wrong with.
fn check_blame(played: &[Played], tables: &Tables, zone: usize, figures: &mut Figures) {
    let to_blame = |at: Instant| {
        played.iter().any(|p| {
            let of = match p.fault {
                Fault::ZoneDead(z) | Fault::ZoneCut(z) | Fault::Flaps(z) | Fault::Crowded(z) => z == zone,
                // The zones of those that the majority does not hear are cut off as well.
                Fault::Split | Fault::SplitInThree | Fault::AllRestarted => true,
                _ => false,
            };
            of && at >= p.from && at <= p.until + Duration::from_secs(4)
        })
    };
    let mut before = false;
    for (epoch, (states, at)) in tables {
        let now = state(states, zone).starts_with("closed");
        if now && !before && !to_blame(*at) {
            println!("epoch {epoch} closes z{zone}, which nothing was wrong with: {states}");
            figures.wrongly_closed += 1;
        }
        before = now;
    }
}

/// A dead zone is closed by all that were there, and opened again; how long both took.
fn check_closings(world: &World, played: &[Played], reads: &[Read], zone: usize, figures: &mut Figures) {
    for p in played.iter().filter(|p| p.fault == Fault::ZoneDead(zone)) {
        let alone = |process: usize| world.was_away(process, p.from, p.until);
        let mut worst = 0;
        for process in (0..world.plan.dispatchers).filter(|process| !alone(*process)) {
            let first = reads.iter().find(|r| r.process == process && r.at >= p.from && is_closed(r, zone));
            match first.filter(|read| read.at <= p.until + Duration::from_secs(1)) {
                Some(read) => worst = worst.max(read.at.duration_since(p.from).as_millis() as u64),
                None => figures.not_closed += 1,
            }
        }
        figures.closed_in_ms = figures.closed_in_ms.max(worst);
        let open = |r: &&Read| r.at > p.until && state(&r.states, zone).starts_with("open");
        if let Some(read) = reads.iter().find(open) {
            let took = read.at.duration_since(p.until).as_millis() as u64;
            figures.reopened_in_ms = figures.reopened_in_ms.max(took);
        }
    }
}

/// What a process sent to a zone while it knew that it is closed.
fn check_drains(world: &World, reads: &[Read], zone: usize, figures: &mut Figures) {
    let closed = |read: &Read| is_closed(read, zone);
    for process in 0..world.plan.dispatchers {
        let own: Vec<&Read> = reads.iter().filter(|r| r.process == process).collect();
        for (at, read) in own.iter().enumerate().filter(|(_, read)| closed(read)) {
            let until = own.get(at + 1).filter(|next| !closed(next)).map(|next| next.at);
            let known = own[..at].iter().rposition(|r| !closed(r)).map_or(own[0].at, |open| own[open + 1].at);
            let next = own.get(at + 1).map(|next| next.at);
            let since = read.at.max(known + DRAIN);
            let late = lock(&world.arrivals)
                .iter()
                .filter(|a| a.process == process && a.zone == zone && a.at > since)
                .filter(|a| next.or(until).is_none_or(|next| a.at < next))
                .filter(|a| !world.was_away(process, read.at, a.at))
                .count();
            figures.late_drains += late as u64;
        }
    }
}
