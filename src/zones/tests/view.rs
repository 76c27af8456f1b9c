//! Guards against a dispatcher that returns to an older epoch, or uses a zone that the fleet has closed.

use proptest::prelude::*;

use super::*;

/// Guards against an isolated dispatcher that uses a zone which the fleet has closed.
#[test]
fn an_isolated_dispatcher_opens_no_closed_zone() {
    let mut table = ZoneTable::open(ZONES);
    table.zones[1] = ZoneDecision { state: Closed, share: 0, ..ZoneDecision::default() };
    let mut tracker = ZoneViewTracker::new(0, ZONES, FailoverSettings::default(), 0.0);
    assert!(tracker.on_update(0.0, 4, Some(table), term(1)));
    assert!(!tracker.on_update(10.0, 3, Some(ZoneTable::open(ZONES)), term(2)), "an older epoch is ignored");
    let mut stale = 0;
    for at in 0..400u32 {
        let now = f64::from(at) * WINDOW_STEP_MS;
        let view = tracker.update(now, &[ZoneSample::default(); ZONES]);
        assert_eq!((view.shares[1], view.epoch), (0, 4));
        stale += u32::from(view.status == AgreementStatus::Stale);
    }
    assert_eq!(tracker.status(100_000.0), AgreementStatus::Isolated);
    assert!((20..40).contains(&stale), "the dispatcher is stale for a bounded time: {stale}");
    // An isolated dispatcher gives no work to a zone that fails by its own samples.
    let failing = ZoneSample { refused: 9, ..ZoneSample::default() };
    let view = tracker.update(100_000.0, &[ZoneSample::default(), ZoneSample::default(), failing]);
    assert_eq!(view.shares, [1000, 0, 0]);
    let view = tracker.update(100_250.0, &[failing, ZoneSample::default(), ZoneSample::default()]);
    assert_eq!(view.shares, [0, 0, 250], "if the own zone fails, the share of another zone rises in steps");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The epoch of a view never decreases, and a closed zone gets no work, in whatever order updates arrive.
    #[test]
    fn a_view_never_goes_back_an_epoch(updates in prop::collection::vec((0u64..20, 0u64..20), 1..60)) {
        let mut tracker = ZoneViewTracker::new(0, ZONES, FailoverSettings::default(), 0.0);
        let mut newest = 0;
        for (at, (epoch, round)) in updates.into_iter().enumerate() {
            // Each epoch has exactly one table.
            let closed = epoch as usize % ZONES;
            let mut table = ZoneTable::open(ZONES);
            table.zones[closed] = ZoneDecision { state: Closed, share: 0, ..ZoneDecision::default() };
            let now = at as f64 * WINDOW_STEP_MS;
            tracker.on_update(now, epoch, Some(table), term(round));
            let view = tracker.update(now, &[]).clone();
            prop_assert!(view.epoch >= newest);
            newest = view.epoch;
            if newest > 0 {
                prop_assert_eq!(view.shares[newest as usize % ZONES], 0);
            }
        }
    }
}
