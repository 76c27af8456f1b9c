//! A model of a fleet with a simulated clock: dispatchers that count their attempts, one failover controller, and a
//! view tracker per dispatcher.

mod controller;
mod failover;
mod gossip;
mod health;
mod view;

use proptest::prelude::*;

use super::*;
use crate::fleet::MemberId;

const ZONES: usize = 3;
/// The number of dispatchers in each zone.
const MEMBERS_PER_ZONE: usize = 3;

/// The behavior of a zone's endpoints and dispatchers.
#[derive(Clone, Copy, PartialEq)]
enum ZoneBehavior {
    Answers,
    Refuses,
    Slow,
    /// The zone's dispatchers and the controller cannot reach each other.
    Partitioned,
}

struct Fleet {
    now: f64,
    zones: [ZoneBehavior; ZONES],
    /// Dispatchers with a local network fault: all their attempts fail, but their digests arrive.
    faulty_dispatchers: Vec<usize>,
    counters: Vec<OutcomeCounter>,
    trackers: Vec<ZoneViewTracker>,
    reports: HealthReports,
    controller: FailoverController,
    table: ZoneTable,
    epoch: u64,
    /// The number of requests open at each dispatcher.
    open_requests: usize,
    /// The number of slots of each zone.
    slots: u16,
}

impl Fleet {
    fn new() -> Fleet {
        let table = ZoneTable::open(ZONES);
        let counters = (0..ZONES * MEMBERS_PER_ZONE)
            .map(|d| OutcomeCounter::new((d / MEMBERS_PER_ZONE) as u16, ZONES, 1, 0.0));
        let trackers = (0..ZONES * MEMBERS_PER_ZONE)
            .map(|d| ZoneViewTracker::new(d / MEMBERS_PER_ZONE, ZONES, FailoverSettings::default(), 0.0));
        Fleet {
            now: 0.0,
            zones: [ZoneBehavior::Answers; ZONES],
            faulty_dispatchers: Vec::new(),
            counters: counters.collect(),
            trackers: trackers.collect(),
            reports: HealthReports::default(),
            controller: FailoverController::new(FailoverSettings::default(), 0.0, &table),
            table,
            epoch: 0,
            open_requests: 10,
            slots: 60,
        }
    }

    /// Simulates a quarter of a second: each dispatcher sends ten requests, split by its current shares.
    fn step(&mut self) {
        self.now += WINDOW_STEP_MS;
        for d in 0..self.counters.len() {
            let own = d / MEMBERS_PER_ZONE;
            let shares = self.trackers[d].update(self.now, &[]).shares.clone();
            // The dispatcher's own zone goes first; the work it may not get is split over the other zones by their
            // shares.
            let local = f64::from(shares[own]) / 1000.0;
            let others: f64 = (0..ZONES).filter(|z| *z != own).map(|z| f64::from(shares[z])).sum();
            for (zone, share) in shares.iter().enumerate() {
                let part = if zone == own {
                    local
                } else if others > 0.0 {
                    (1.0 - local) * f64::from(*share) / others
                } else {
                    0.0
                };
                for _ in 0..(part * 10.0).round() as usize {
                    let result = match self.zones[zone] {
                        _ if self.faulty_dispatchers.contains(&d) => AttemptResult::Refused,
                        ZoneBehavior::Answers | ZoneBehavior::Partitioned => AttemptResult::Answered,
                        ZoneBehavior::Refuses => AttemptResult::Refused,
                        ZoneBehavior::Slow => AttemptResult::Silent,
                    };
                    self.counters[d].record_attempt(zone, result, 20.0);
                    self.counters[d].record_arrival(false);
                }
            }
            self.counters[d].advance(self.now);
            let (open_requests, slots) = (self.open_requests, self.slots);
            let in_flight = |z: usize| if z == own && shares[own] > 0 { open_requests as u16 } else { 0 };
            let digest =
                self.counters[d].next_digest(open_requests, |z| ZoneLoad { in_flight: in_flight(z), slots });
            if self.zones[own] != ZoneBehavior::Partitioned {
                self.reports.record(self.now, d as MemberId, digest, ZONES);
            }
        }
        if let Some(next) = self.controller.next_table(self.now, &self.table, &self.reports, &[true; ZONES]) {
            self.table = next;
            self.epoch += 1;
        }
        let term = term(self.now as u64);
        for (d, tracker) in self.trackers.iter_mut().enumerate() {
            if self.zones[d / MEMBERS_PER_ZONE] != ZoneBehavior::Partitioned {
                tracker.on_update(self.now, self.epoch, Some(self.table.clone()), term);
            }
        }
    }

    fn run(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn states(&self) -> Vec<ZoneState> {
        self.table.zones.iter().map(|zone| zone.state).collect()
    }

    /// Runs until a zone is in a state. Returns how long that took.
    fn wait_for(&mut self, zone: usize, state: ZoneState, limit_ms: f64) -> f64 {
        let began = self.now;
        while self.table.zones[zone].state != state {
            assert!(self.now < began + limit_ms, "{state:?} within {limit_ms} ms: {:?}", self.table);
            self.step();
        }
        self.now - began
    }
}

/// Returns a leader term with the given heartbeat round.
fn term(round: u64) -> crate::consensus::LeaderTerm {
    postcard::from_bytes(&postcard::to_stdvec(&(1u32, 1u64, round)).unwrap()).unwrap()
}

use ZoneState::{Closed, Open};

fn digests() -> impl Strategy<Value = Vec<(MemberId, Digest)>> {
    let samples = (0u16..9, 0u16..9, 0u16..9, 0u16..99, 0u16..99).prop_map(
        |(answered, refused, silent, in_flight, slots)| ZoneSample {
            answered,
            refused,
            silent,
            mean_latency_ms: 1,
            in_flight,
            slots,
        },
    );
    let digest = (0u64..3, 0u64..4, 0u16..3, 0u16..50, prop::collection::vec(samples, ZONES)).prop_map(
        |(incarnation, number, zone, open_requests, samples)| Digest {
            incarnation,
            number,
            zone,
            open_requests,
            arrived: 9,
            rejected: 3,
            samples,
        },
    );
    prop::collection::vec((0u16..6, digest), 0..40).prop_map(|mut list| {
        // A process never sends two digests with the same number.
        let mut names = std::collections::BTreeSet::new();
        list.retain(|(source, d)| names.insert((*source, d.incarnation, d.number)));
        list
    })
}
