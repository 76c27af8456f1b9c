//! Guards against zones that are closed or opened at the wrong time. Runs on the fleet model.

use super::*;

#[test]
fn a_dead_zone_is_closed_and_reopened_in_steps() {
    let mut fleet = Fleet::new();
    fleet.run(5000.0);
    assert_eq!((fleet.epoch, fleet.states()), (0, vec![Open; ZONES]), "a healthy fleet decides nothing");
    fleet.zones[1] = ZoneBehavior::Refuses;
    assert!(fleet.wait_for(1, Closed, 2500.0) <= 2500.0);
    assert_eq!(fleet.states(), [Open, Closed, Open]);
    assert_eq!(
        fleet.trackers[MEMBERS_PER_ZONE].update(fleet.now, &[]).shares[1],
        0,
        "dispatchers in the closed zone also stop using it"
    );
    fleet.zones[1] = ZoneBehavior::Answers;
    fleet.wait_for(1, ZoneState::Recovering, 6000.0);
    let mut shares = vec![fleet.table.zones[1].share];
    while fleet.table.zones[1].state == ZoneState::Recovering {
        fleet.step();
        shares.push(fleet.table.zones[1].share);
    }
    shares.dedup();
    assert_eq!(shares, [50, 200, 500, 1000]);
}

/// Guards against a dispatcher whose local network fault closes its own or another zone.
#[test]
fn a_dispatcher_with_a_network_fault_closes_no_zone() {
    let mut fleet = Fleet::new();
    fleet.run(1000.0);
    fleet.faulty_dispatchers = vec![0];
    fleet.run(20_000.0);
    assert_eq!((fleet.epoch, fleet.states()), (0, vec![Open; ZONES]));
}

#[test]
fn a_partitioned_zone_is_closed_outside_and_serves_on_inside() {
    let mut fleet = Fleet::new();
    fleet.run(1000.0);
    fleet.zones[2] = ZoneBehavior::Partitioned;
    fleet.wait_for(2, Closed, 3000.0);
    fleet.run(20_000.0);
    assert_eq!(fleet.states(), [Open, Open, Closed], "a zone without digests stays closed");
    let inside = &mut fleet.trackers[2 * MEMBERS_PER_ZONE];
    assert_eq!(inside.status(fleet.now), AgreementStatus::Isolated);
    let view = inside.update(fleet.now, &[ZoneSample::default(); ZONES]).clone();
    assert_eq!(view.shares, [0, 0, 1000], "an isolated dispatcher uses its own zone");
    let failing = ZoneSample { refused: 9, ..ZoneSample::default() };
    let view = (0..4)
        .map(|_| inside.update(fleet.now, &[ZoneSample::default(), ZoneSample::default(), failing]).clone())
        .last();
    assert_eq!(view.unwrap().shares, [500, 500, 0], "other zones get a limited share");
    // Once the partition ends, the dispatcher follows the table, and its shares do not jump.
    fleet.zones[2] = ZoneBehavior::Answers;
    fleet.step();
    assert_eq!(fleet.trackers[2 * MEMBERS_PER_ZONE].status(fleet.now), AgreementStatus::Following);
    let view = fleet.trackers[2 * MEMBERS_PER_ZONE].update(fleet.now, &[]).clone();
    assert!(view.shares[2] <= 50, "the closed zone reopens in steps: {view:?}");
    assert!(view.shares[0] <= 750, "{view:?}");
}

#[test]
fn no_zone_is_closed_when_all_are_slow() {
    let mut fleet = Fleet::new();
    fleet.run(1000.0);
    fleet.zones = [ZoneBehavior::Slow; ZONES];
    for _ in 0..80 {
        fleet.step();
        assert!(!fleet.states().contains(&Closed), "{:?}", fleet.table);
    }
}

/// Guards against closing so many zones that less than half of all slots stay open.
#[test]
fn half_of_the_slots_stay_open() {
    let mut fleet = Fleet::new();
    fleet.run(1000.0);
    fleet.zones = [ZoneBehavior::Refuses, ZoneBehavior::Refuses, ZoneBehavior::Answers];
    fleet.run(4000.0);
    assert_eq!(fleet.states().iter().filter(|state| **state == Closed).count(), 1, "{:?}", fleet.table);
}

/// Guards against a zone that is closed and reopened with each flap when it changes between up and down every 2 s.
#[test]
fn a_flapping_zone_stays_closed_longer_each_time() {
    let mut fleet = Fleet::new();
    let mut closings = 0;
    let mut before = Open;
    for at in 0..480 {
        fleet.zones[0] = if at / 8 % 2 == 0 { ZoneBehavior::Answers } else { ZoneBehavior::Refuses };
        fleet.step();
        let state = fleet.table.zones[0].state;
        closings += u32::from(state == Closed && before != Closed);
        before = state;
    }
    assert!((1..=5).contains(&closings), "{closings} closings in two minutes of sixty flaps");
}

/// Guards against load that is moved to zones without capacity for it. It must be rejected by the dispatchers of the
/// closed zone.
#[test]
fn load_without_capacity_is_rejected_in_its_own_zone() {
    let mut fleet = Fleet::new();
    (fleet.open_requests, fleet.slots) = (20, 66);
    fleet.run(1000.0);
    fleet.zones[1] = ZoneBehavior::Refuses;
    fleet.wait_for(1, Closed, 3000.0);
    fleet.run(2000.0);
    // The closed zone's load is 60 requests. The other zones have 2 × 6 free slots, of which nine in ten are used.
    let admit = fleet.table.zones[1].admit;
    assert!((100..=250).contains(&admit), "{admit}");
    assert_eq!(fleet.table.zones[0].admit, FULL_SHARE);
    let mut admission = AdmissionShare::default();
    let admitted = (0..1000).filter(|_| admission.admits(admit)).count();
    assert_eq!(admitted, usize::from(admit));
}

/// Guards against traffic that leaves a zone with enough capacity or stays in a zone without it, and against flapping
/// between the two.
#[test]
fn traffic_stays_local_while_the_own_zone_has_capacity() {
    let mut fleet = Fleet::new();
    fleet.run(2000.0);
    assert_eq!(fleet.trackers[0].update(fleet.now, &[]).shares, [FULL_SHARE, 0, 0]);
    (fleet.open_requests, fleet.slots) = (18, 60);
    fleet.run(2000.0);
    assert_eq!(fleet.epoch, 1, "54 of 60 slots are needed: traffic may cross zones");
    assert_eq!(fleet.trackers[0].update(fleet.now, &[]).shares, [FULL_SHARE; ZONES]);
    fleet.open_requests = 16;
    fleet.run(5000.0);
    assert_eq!(fleet.epoch, 1, "48 of 60 slots: no change yet");
    fleet.open_requests = 10;
    fleet.run(2000.0);
    assert_eq!(fleet.epoch, 2);
    // A dispatcher whose own zone fails uses other zones before the fleet has decided.
    let failing = ZoneSample { refused: 9, ..ZoneSample::default() };
    let samples = [failing, ZoneSample::default(), ZoneSample::default()];
    let shares: Vec<u16> = (0..5).map(|_| fleet.trackers[0].update(fleet.now, &samples).shares[1]).collect();
    assert_eq!(shares, [250, 500, 750, 1000, 1000]);
    // The same applies if its own zone has no endpoints left in the list.
    let no_endpoints =
        [ZoneSample::default(), ZoneSample { slots: 8, ..ZoneSample::default() }, ZoneSample::default()];
    assert_eq!(fleet.trackers[1].update(fleet.now, &no_endpoints).shares, [1000, 250, 250]);
}
