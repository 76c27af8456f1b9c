//! Shows why a leader decides for the whole fleet: a model of dispatchers that each decide by the digests they receive.

use super::*;

/// Simulates one minute in which each dispatcher decides by the digests that reach it (gossip), while a fifth of the
/// links between dispatchers is down. Returns how long dispatchers act on different tables, and how long a zone is
/// closed to some of them and open to others.
fn disagreement_ms(seed: u64) -> (f64, f64) {
    let mut draws = fastrand::Rng::with_seed(seed);
    let count = ZONES * MEMBERS_PER_ZONE;
    let cut: Vec<bool> = (0..count * count).map(|_| draws.u8(..5) == 0).collect();
    let has_link = |to: usize, from: usize| to == from || !cut[from * count + to];
    let mut counters: Vec<OutcomeCounter> =
        (0..count).map(|d| OutcomeCounter::new((d / MEMBERS_PER_ZONE) as u16, ZONES, 1, 0.0)).collect();
    let mut reports = vec![HealthReports::default(); count];
    let mut tables = vec![ZoneTable::open(ZONES); count];
    let mut controllers: Vec<FailoverController> =
        tables.iter().map(|table| FailoverController::new(FailoverSettings::default(), 0.0, table)).collect();
    let (mut differ, mut open_to_some) = (0.0, 0.0);
    for step in 0..240 {
        let now = f64::from(step) * WINDOW_STEP_MS;
        let dead = step % 80 >= 40;
        let mut digests = Vec::new();
        for (d, counter) in counters.iter_mut().enumerate() {
            let own = d / MEMBERS_PER_ZONE;
            let zone = if tables[d].zones[own].share > 0 { own } else { (own + 1) % ZONES };
            for _ in 0..6 {
                let result = if zone == 1 && dead { AttemptResult::Refused } else { AttemptResult::Answered };
                counter.record_attempt(zone, result, 20.0);
            }
            counter.advance(now);
            digests.push(counter.next_digest(3, |_| ZoneLoad { in_flight: 0, slots: 60 }));
        }
        for d in 0..count {
            for (from, digest) in digests.iter().enumerate().filter(|(from, _)| has_link(d, *from)) {
                reports[d].record(now, from as MemberId, digest.clone(), ZONES);
            }
            if let Some(next) = controllers[d].next_table(now, &tables[d], &reports[d], &[false; ZONES]) {
                tables[d] = next;
            }
        }
        let is_closed = |table: &ZoneTable| table.zones[1].state == Closed;
        let closed = tables.iter().filter(|table| is_closed(table)).count();
        differ +=
            if tables.iter().any(|t| t.zones.iter().zip(&tables[0].zones).any(|(a, b)| a.share != b.share)) {
                WINDOW_STEP_MS
            } else {
                0.0
            };
        open_to_some += if closed > 0 && closed < count { WINDOW_STEP_MS } else { 0.0 };
    }
    (differ, open_to_some)
}

/// Without a leader, dispatchers that each decide by the digests they receive disagree for seconds of a minute.
#[test]
fn dispatchers_that_decide_alone_differ_for_seconds() {
    let mut mean_disagreement_ms = (0.0, 0.0);
    for seed in 1..=8 {
        let (differ, open_to_some) = disagreement_ms(seed);
        mean_disagreement_ms =
            (mean_disagreement_ms.0 + differ / 8.0, mean_disagreement_ms.1 + open_to_some / 8.0);
    }
    println!(
        "gossip: tables differ for {} ms of 60 s, a closed zone is open to some for {} ms",
        mean_disagreement_ms.0, mean_disagreement_ms.1
    );
    assert!(mean_disagreement_ms.0 > 2000.0 && mean_disagreement_ms.1 > 500.0, "{mean_disagreement_ms:?}");
}
