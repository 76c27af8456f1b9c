//! A fleet on a set clock: dispatchers that see their zones, one that decides, and all that follow.

use proptest::prelude::*;

use super::*;

const ZONES: usize = 3;
/// Dispatchers of each zone.
const EACH: usize = 3;

/// How a zone behaves.
#[derive(Clone, Copy, PartialEq)]
enum Zoned {
    Works,
    Dead,
    Slow,
    /// Its dispatchers are not heard.
    Away,
}

struct Fleet {
    now: f64,
    zones: [Zoned; ZONES],
    /// Dispatchers whose own cable is cut: all that they try fails, but they are heard.
    blind: Vec<usize>,
    tallies: Vec<OutcomeCounter>,
    followers: Vec<ZoneViewTracker>,
    evidence: HealthReports,
    decider: FailoverController,
    table: ZoneTable,
    epoch: u64,
    /// Requests that each dispatcher has open, and slots of each zone.
    open: usize,
    slots: u16,
}

impl Fleet {
    fn new() -> Fleet {
        let table = ZoneTable::open(ZONES);
        let tallies = (0..ZONES * EACH).map(|d| OutcomeCounter::new((d / EACH) as u16, ZONES, 1, 0.0));
        let followers = (0..ZONES * EACH)
            .map(|d| ZoneViewTracker::new(d / EACH, ZONES, FailoverSettings::default(), 0.0));
        Fleet {
            now: 0.0,
            zones: [Zoned::Works; ZONES],
            blind: Vec::new(),
            tallies: tallies.collect(),
            followers: followers.collect(),
            evidence: HealthReports::default(),
            decider: FailoverController::new(FailoverSettings::default(), 0.0, &table),
            table,
            epoch: 0,
            open: 10,
            slots: 60,
        }
    }

    /// A quarter of a second: each dispatcher sends ten requests by the shares that it has.
    fn step(&mut self) {
        self.now += WINDOW_STEP_MS;
        for d in 0..self.tallies.len() {
            let own = d / EACH;
            let shares = self.followers[d].update(self.now, &[]).shares.clone();
            // Near first; what the own zone may not get goes to the others by their shares.
            let near = f64::from(shares[own]) / 1000.0;
            let others: f64 = (0..ZONES).filter(|z| *z != own).map(|z| f64::from(shares[z])).sum();
            for (zone, share) in shares.iter().enumerate() {
                let part = if zone == own {
                    near
                } else if others > 0.0 {
                    (1.0 - near) * f64::from(*share) / others
                } else {
                    0.0
                };
                for _ in 0..(part * 10.0).round() as usize {
                    let end = match self.zones[zone] {
                        _ if self.blind.contains(&d) => AttemptResult::Refused,
                        Zoned::Works | Zoned::Away => AttemptResult::Answered,
                        Zoned::Dead => AttemptResult::Refused,
                        Zoned::Slow => AttemptResult::Silent,
                    };
                    self.tallies[d].record_attempt(zone, end, 20.0);
                    self.tallies[d].record_arrival(false);
                }
            }
            self.tallies[d].advance(self.now);
            let (open, slots) = (self.open, self.slots);
            let out = |z: usize| if z == own && shares[own] > 0 { open as u16 } else { 0 };
            let digest = self.tallies[d].next_digest(open, |z| (out(z), slots));
            if self.zones[own] != Zoned::Away {
                self.evidence.record(self.now, d as MemberId, digest, ZONES);
            }
        }
        if let Some(next) = self.decider.next_table(self.now, &self.table, &self.evidence, &[true; ZONES]) {
            self.table = next;
            self.epoch += 1;
        }
        let term = term(self.now as u64);
        for (d, follower) in self.followers.iter_mut().enumerate() {
            if self.zones[d / EACH] != Zoned::Away {
                follower.on_update(self.now, self.epoch, Some(self.table.clone()), term);
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

    /// Time until a zone is in a state.
    fn until(&mut self, zone: usize, state: ZoneState, most: f64) -> f64 {
        let began = self.now;
        while self.table.zones[zone].state != state {
            assert!(self.now < began + most, "{state:?} within {most} ms: {:?}", self.table);
            self.step();
        }
        self.now - began
    }
}

/// A term of some leader's round.
fn term(round: u64) -> crate::consensus::LeaderTerm {
    postcard::from_bytes(&postcard::to_stdvec(&(1u32, 1u64, round)).unwrap()).unwrap()
}

use ZoneState::{Closed, Open};

#[test]
fn a_dead_zone_is_closed_and_opened_step_by_step() {
    let mut fleet = Fleet::new();
    fleet.run(5000.0);
    assert_eq!((fleet.epoch, fleet.states()), (0, vec![Open; ZONES]), "calm decides nothing");
    fleet.zones[1] = Zoned::Dead;
    assert!(fleet.until(1, Closed, 2500.0) <= 2500.0);
    assert_eq!(fleet.states(), [Open, Closed, Open]);
    assert_eq!(fleet.followers[EACH].update(fleet.now, &[]).shares[1], 0, "a drain for those within");
    fleet.zones[1] = Zoned::Works;
    fleet.until(1, ZoneState::Recovering, 6000.0);
    let mut shares = vec![fleet.table.zones[1].share];
    while fleet.table.zones[1].state == ZoneState::Recovering {
        fleet.step();
        shares.push(fleet.table.zones[1].share);
    }
    shares.dedup();
    assert_eq!(shares, [50, 200, 500, 1000]);
}

/// One dispatcher's cable must not close a zone, its own or another.
#[test]
fn one_dispatcher_s_cut_cable_closes_nothing() {
    let mut fleet = Fleet::new();
    fleet.run(1000.0);
    fleet.blind = vec![0];
    fleet.run(20_000.0);
    assert_eq!((fleet.epoch, fleet.states()), (0, vec![Open; ZONES]));
}

#[test]
fn a_zone_cut_off_but_alive_is_closed_for_the_rest_and_goes_on_for_itself() {
    let mut fleet = Fleet::new();
    fleet.run(1000.0);
    fleet.zones[2] = Zoned::Away;
    fleet.until(2, Closed, 3000.0);
    fleet.run(20_000.0);
    assert_eq!(fleet.states(), [Open, Open, Closed], "nobody there is heard: it stays closed");
    let inside = &mut fleet.followers[2 * EACH];
    assert_eq!(inside.status(fleet.now), AgreementStatus::Alone);
    let view = inside.update(fleet.now, &[ZoneSample::default(); ZONES]).clone();
    assert_eq!(view.shares, [0, 0, 1000], "it goes on at home");
    let fails = ZoneSample { refused: 9, ..ZoneSample::default() };
    let view = (0..4)
        .map(|_| inside.update(fleet.now, &[ZoneSample::default(), ZoneSample::default(), fails]).clone())
        .last();
    assert_eq!(view.unwrap().shares, [500, 500, 0], "what fails it goes to the others, less than in common");
    // Back in contact, it follows without a jump.
    fleet.zones[2] = Zoned::Works;
    fleet.step();
    assert_eq!(fleet.followers[2 * EACH].status(fleet.now), AgreementStatus::Common);
    let view = fleet.followers[2 * EACH].update(fleet.now, &[]).clone();
    assert!(view.shares[2] <= 50, "closed in common until now, it returns: {view:?}");
    assert!(view.shares[0] <= 750, "{view:?}");
}

/// A dispatcher that is alone never opens what was closed in common.
#[test]
fn alone_nothing_is_opened_that_was_closed_in_common() {
    let mut table = ZoneTable::open(ZONES);
    table.zones[1] = ZoneDecision { state: Closed, share: 0, ..ZoneDecision::default() };
    let mut follower = ZoneViewTracker::new(0, ZONES, FailoverSettings::default(), 0.0);
    assert!(follower.on_update(0.0, 4, Some(table), term(1)));
    assert!(!follower.on_update(10.0, 3, Some(ZoneTable::open(ZONES)), term(2)), "an older epoch");
    let mut kept = 0;
    for at in 0..400u32 {
        let now = f64::from(at) * WINDOW_STEP_MS;
        let view = follower.update(now, &[ZoneSample::default(); ZONES]);
        assert_eq!((view.shares[1], view.epoch), (0, 4));
        kept += u32::from(view.status == AgreementStatus::Kept);
    }
    assert_eq!(follower.status(100_000.0), AgreementStatus::Alone);
    assert!((20..40).contains(&kept), "the last epoch is kept for a bounded time: {kept}");
    // By its own evidence it closes what fails it.
    let fails = ZoneSample { refused: 9, ..ZoneSample::default() };
    let view = follower.update(100_000.0, &[ZoneSample::default(), ZoneSample::default(), fails]);
    assert_eq!(view.shares, [1000, 0, 0]);
    let view = follower.update(100_250.0, &[fails, ZoneSample::default(), ZoneSample::default()]);
    assert_eq!(view.shares, [0, 0, 250], "what fails at home goes over the border, step by step");
}

#[test]
fn nothing_is_closed_when_all_are_slow_at_once() {
    let mut fleet = Fleet::new();
    fleet.run(1000.0);
    fleet.zones = [Zoned::Slow; ZONES];
    for _ in 0..80 {
        fleet.step();
        assert!(!fleet.states().contains(&Closed), "{:?}", fleet.table);
    }
}

/// Half of all slots stay open, however many zones die.
#[test]
fn the_last_half_is_not_closed() {
    let mut fleet = Fleet::new();
    fleet.run(1000.0);
    fleet.zones = [Zoned::Dead, Zoned::Dead, Zoned::Works];
    fleet.run(4000.0);
    assert_eq!(fleet.states().iter().filter(|state| **state == Closed).count(), 1, "{:?}", fleet.table);
}

/// A zone that flaps every 2 s stays closed longer each time.
#[test]
fn a_zone_that_flaps_stays_closed_longer_each_time() {
    let mut fleet = Fleet::new();
    let mut closings = 0;
    let mut before = Open;
    for at in 0..480 {
        fleet.zones[0] = if at / 8 % 2 == 0 { Zoned::Works } else { Zoned::Dead };
        fleet.step();
        let state = fleet.table.zones[0].state;
        closings += u32::from(state == Closed && before != Closed);
        before = state;
    }
    assert!((1..=5).contains(&closings), "{closings} closings in two minutes of sixty flaps");
}

/// Neighbours that are full get nothing pushed on them: it is refused at the near side.
#[test]
fn what_nobody_has_room_for_is_refused_at_home() {
    let mut fleet = Fleet::new();
    (fleet.open, fleet.slots) = (20, 66);
    fleet.run(1000.0);
    fleet.zones[1] = Zoned::Dead;
    fleet.until(1, Closed, 3000.0);
    fleet.run(2000.0);
    // 60 are offered, and the other zones have 2 × 6 slots free, of which nine in ten are given out.
    let admit = fleet.table.zones[1].admit;
    assert!((100..=250).contains(&admit), "{admit}");
    assert_eq!(fleet.table.zones[0].admit, FULL_SHARE);
    let mut gate = AdmissionShare::default();
    let taken = (0..1000).filter(|_| gate.admits(admit)).count();
    assert_eq!(taken, usize::from(admit));
}

/// Many dispatchers with a job or two a second each: together they have seen enough.
#[test]
fn many_with_few_jobs_each_find_a_dead_zone() {
    let mut evidence = HealthReports::default();
    let digest = |source: u16, seen: ZoneSample| {
        let seen = vec![ZoneSample { answered: 1, ..ZoneSample::default() }, seen, ZoneSample::default()];
        Digest {
            incarnation: 1,
            number: 1,
            zone: 1 + source % 2,
            open: 1,
            arrived: 2,
            rejected: 0,
            samples: seen,
        }
    };
    let two = ZoneSample { refused: 2, ..ZoneSample::default() };
    for source in 0..4 {
        evidence.record(0.0, source, digest(source, two), ZONES);
    }
    assert_eq!(evidence.health(1.0, 1, true), ZoneHealth::Unknown, "eight failures are not enough");
    evidence.record(0.0, 4, digest(4, two), ZONES);
    assert_eq!(evidence.health(1.0, 1, true), ZoneHealth::Down { dead: true });
    let works = ZoneSample { answered: 4, ..ZoneSample::default() };
    evidence.record(0.0, 5, digest(5, works), ZONES);
    assert_eq!(
        evidence.health(1.0, 1, true),
        ZoneHealth::Good,
        "one server of several that is down fails few"
    );
}

/// Spill goes by free capacity, not to the next in order.
#[test]
fn spill_is_split_by_free_capacity() {
    let mut table = ZoneTable::open(ZONES);
    table.zones[0] = ZoneDecision { state: Closed, share: 0, ..ZoneDecision::default() };
    let mut evidence = HealthReports::default();
    for (source, out) in [(1u16, 40), (2, 10)] {
        let mut seen = vec![ZoneSample { slots: 50, ..ZoneSample::default() }; ZONES];
        seen[usize::from(source)].out = out;
        let digest = Digest {
            incarnation: 1,
            number: 1,
            zone: source,
            open: 1,
            arrived: 1,
            rejected: 0,
            samples: seen,
        };
        assert!(evidence.record(0.0, source, digest, ZONES));
    }
    let mut decider = FailoverController::new(FailoverSettings::default(), -2000.0, &table);
    let next = decider.next_table(0.0, &table, &evidence, &[false; ZONES]).unwrap();
    let weights: Vec<u16> = next.zones.iter().map(|zone| zone.weight).collect();
    assert_eq!(weights, [0, 250, 1000], "10 free of the one, 40 of the other");
}

fn digests() -> impl Strategy<Value = Vec<(MemberId, Digest)>> {
    let seen = (0u16..9, 0u16..9, 0u16..9, 0u16..99, 0u16..99).prop_map(
        |(answered, refused, silent, out, slots)| ZoneSample {
            answered,
            refused,
            silent,
            took_ms: 1,
            out,
            slots,
        },
    );
    let digest = (0u64..3, 0u64..4, 0u16..3, 0u16..50, prop::collection::vec(seen, ZONES)).prop_map(
        |(incarnation, number, zone, open, seen)| Digest {
            incarnation,
            number,
            zone,
            open,
            arrived: 9,
            rejected: 3,
            samples: seen,
        },
    );
    prop::collection::vec((0u16..6, digest), 0..40).prop_map(|mut list| {
        // A process sends one digest of each number.
        let mut names = std::collections::BTreeSet::new();
        list.retain(|(source, d)| names.insert((*source, d.incarnation, d.number)));
        list
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// HealthReports that comes in any order, some of it twice, is the same evidence.
    #[test]
    fn evidence_merges_in_any_order(list in digests(), seed in 0u64..1000) {
        let mut draws = fastrand::Rng::with_seed(seed);
        let (mut one, mut other) = (HealthReports::default(), HealthReports::default());
        for (source, d) in &list {
            one.record(0.0, *source, d.clone(), ZONES);
        }
        let mut shuffled = list.clone();
        shuffled.extend(list.iter().take(5).cloned());
        draws.shuffle(&mut shuffled);
        for (source, d) in &shuffled {
            other.record(0.0, *source, d.clone(), ZONES);
        }
        prop_assert!(one.known().eq(other.known()));
        for zone in 0..ZONES {
            prop_assert_eq!(one.health(1.0, zone, true), other.health(1.0, zone, true));
        }
    }

    /// Whatever is seen, half of the slots stay open, shares are shares, and a table reads back.
    #[test]
    fn a_decision_leaves_half_of_the_slots(list in digests(), steps in 1usize..60) {
        let mut evidence = HealthReports::default();
        let mut table = ZoneTable::open(ZONES);
        let mut decider = FailoverController::new(FailoverSettings::default(), 0.0, &table);
        for step in 0..steps {
            let now = step as f64 * WINDOW_STEP_MS;
            for (source, d) in &list {
                let number = d.number + step as u64 * 4;
                evidence.record(now, *source, Digest { number, incarnation: 1, ..d.clone() }, ZONES);
            }
            if let Some(next) = decider.next_table(now, &table, &evidence, &[true; ZONES]) {
                prop_assert!(next.zones.iter().filter(|zone| zone.state == Closed).count() < ZONES);
                prop_assert_eq!(ZoneTable::decode(&next.encode(), ZONES), Some(next.clone()));
                prop_assert!(next.encode().len() <= crate::consensus::MAX_DECISION_BYTES);
                table = next;
            }
        }
        prop_assert_eq!(ZoneTable::decode(&table.encode(), ZONES + 1), None);
    }

    /// A follower's epoch never goes back, and what is closed gets nothing, in whatever order news come.
    #[test]
    fn a_follower_never_goes_back(news in prop::collection::vec((0u64..20, 0u64..20), 1..60)) {
        let mut follower = ZoneViewTracker::new(0, ZONES, FailoverSettings::default(), 0.0);
        let mut newest = 0;
        for (at, (epoch, round)) in news.into_iter().enumerate() {
            // An epoch has one table.
            let closed = epoch as usize % ZONES;
            let mut table = ZoneTable::open(ZONES);
            table.zones[closed] = ZoneDecision { state: Closed, share: 0, ..ZoneDecision::default() };
            let now = at as f64 * WINDOW_STEP_MS;
            follower.on_update(now, epoch, Some(table), term(round));
            let view = follower.update(now, &[]).clone();
            prop_assert!(view.epoch >= newest);
            newest = view.epoch;
            if newest > 0 {
                prop_assert_eq!(view.shares[newest as usize % ZONES], 0);
            }
        }
    }

    #[test]
    fn a_table_that_does_not_read_is_none(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        if let Some(table) = ZoneTable::decode(&bytes, ZONES) {
            prop_assert!(table.zones.iter().all(|zone| zone.share <= FULL_SHARE));
        }
    }
}

/// Traffic is near while the own zone has room, and may cross when it has not; the border does not open and close by
/// turns.
#[test]
fn traffic_is_near_while_the_own_zone_has_room() {
    let mut fleet = Fleet::new();
    fleet.run(2000.0);
    assert_eq!(fleet.followers[0].update(fleet.now, &[]).shares, [FULL_SHARE, 0, 0]);
    (fleet.open, fleet.slots) = (18, 60);
    fleet.run(2000.0);
    assert_eq!(fleet.epoch, 1, "54 of 60 slots are asked for");
    assert_eq!(fleet.followers[0].update(fleet.now, &[]).shares, [FULL_SHARE; ZONES]);
    fleet.open = 16;
    fleet.run(5000.0);
    assert_eq!(fleet.epoch, 1, "48 of 60: not yet");
    fleet.open = 10;
    fleet.run(2000.0);
    assert_eq!(fleet.epoch, 2);
    // A zone that fails a dispatcher sends it over the border before the fleet has decided.
    let fails = ZoneSample { refused: 9, ..ZoneSample::default() };
    let seen = [fails, ZoneSample::default(), ZoneSample::default()];
    let shares: Vec<u16> = (0..5).map(|_| fleet.followers[0].update(fleet.now, &seen).shares[1]).collect();
    assert_eq!(shares, [250, 500, 750, 1000, 1000]);
    // So does one that lists no servers any more.
    let none =
        [ZoneSample::default(), ZoneSample { slots: 8, ..ZoneSample::default() }, ZoneSample::default()];
    assert_eq!(fleet.followers[1].update(fleet.now, &none).shares, [1000, 250, 250]);
}

/// How long, of a minute, dispatchers act on different tables, and how long a zone is closed to some of them and open to
/// others, where each decides on what it hears (gossip). A fifth of the links carries nothing.
fn apart(seed: u64) -> (f64, f64) {
    let mut draws = fastrand::Rng::with_seed(seed);
    let count = ZONES * EACH;
    let cut: Vec<bool> = (0..count * count).map(|_| draws.u8(..5) == 0).collect();
    let hears = |to: usize, from: usize| to == from || !cut[from * count + to];
    let mut tallies: Vec<OutcomeCounter> =
        (0..count).map(|d| OutcomeCounter::new((d / EACH) as u16, ZONES, 1, 0.0)).collect();
    let mut evidence = vec![HealthReports::default(); count];
    let mut tables = vec![ZoneTable::open(ZONES); count];
    let mut deciders: Vec<FailoverController> =
        tables.iter().map(|table| FailoverController::new(FailoverSettings::default(), 0.0, table)).collect();
    let (mut differ, mut open_to_some) = (0.0, 0.0);
    for step in 0..240 {
        let now = f64::from(step) * WINDOW_STEP_MS;
        let dead = step % 80 >= 40;
        let mut digests = Vec::new();
        for (d, tally) in tallies.iter_mut().enumerate() {
            let own = d / EACH;
            let zone = if tables[d].zones[own].share > 0 { own } else { (own + 1) % ZONES };
            for _ in 0..6 {
                let end = if zone == 1 && dead { AttemptResult::Refused } else { AttemptResult::Answered };
                tally.record_attempt(zone, end, 20.0);
            }
            tally.advance(now);
            digests.push(tally.next_digest(3, |_| (0, 60)));
        }
        for d in 0..count {
            for (from, digest) in digests.iter().enumerate().filter(|(from, _)| hears(d, *from)) {
                evidence[d].record(now, from as MemberId, digest.clone(), ZONES);
            }
            if let Some(next) = deciders[d].next_table(now, &tables[d], &evidence[d], &[false; ZONES]) {
                tables[d] = next;
            }
        }
        let shut = |table: &ZoneTable| table.zones[1].state == Closed;
        let closed = tables.iter().filter(|table| shut(table)).count();
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

/// Why zones are decided on by one for all: on what each hears by itself, dispatchers differ for seconds of a minute.
#[test]
fn each_on_what_it_hears_differs_for_seconds() {
    let mut gossip = (0.0, 0.0);
    for seed in 1..=8 {
        let (differ, open_to_some) = apart(seed);
        gossip = (gossip.0 + differ / 8.0, gossip.1 + open_to_some / 8.0);
    }
    println!(
        "gossip: tables differ for {} ms of 60 s, a closed zone is open to some for {} ms",
        gossip.0, gossip.1
    );
    assert!(gossip.0 > 2000.0 && gossip.1 > 500.0, "{gossip:?}");
}
