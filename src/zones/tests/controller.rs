//! Guards against tables that leave too few slots open, spread load wrongly or cannot be decoded.

use proptest::prelude::*;

use super::*;

/// Guards against displaced load that all goes to the next zone instead of being split by free capacity.
#[test]
fn displaced_load_is_split_by_free_capacity() {
    let mut table = ZoneTable::open(ZONES);
    table.zones[0] = ZoneDecision { state: Closed, share: 0, ..ZoneDecision::default() };
    let mut reports = HealthReports::default();
    for (source, in_flight) in [(1u16, 40), (2, 10)] {
        let mut samples = vec![ZoneSample { slots: 50, ..ZoneSample::default() }; ZONES];
        samples[usize::from(source)].in_flight = in_flight;
        let digest = Digest {
            incarnation: 1,
            number: 1,
            zone: source,
            open_requests: 1,
            arrived: 1,
            rejected: 0,
            samples,
        };
        assert!(reports.record(0.0, source, digest, ZONES));
    }
    let mut controller = FailoverController::new(FailoverSettings::default(), -2000.0, &table);
    let next = controller.next_table(0.0, &table, &reports, &[false; ZONES]).unwrap();
    let weights: Vec<u16> = next.zones.iter().map(|zone| zone.weight).collect();
    assert_eq!(weights, [0, 250, 1000], "zone 1 has 10 free slots, zone 2 has 40");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For arbitrary reports, at least one zone stays open, and each table can be decoded again and fits in a decision.
    #[test]
    fn a_decision_leaves_half_of_the_slots(list in digests(), steps in 1usize..60) {
        let mut reports = HealthReports::default();
        let mut table = ZoneTable::open(ZONES);
        let mut controller = FailoverController::new(FailoverSettings::default(), 0.0, &table);
        for step in 0..steps {
            let now = step as f64 * WINDOW_STEP_MS;
            for (source, d) in &list {
                let number = d.number + step as u64 * 4;
                reports.record(now, *source, Digest { number, incarnation: 1, ..d.clone() }, ZONES);
            }
            if let Some(next) = controller.next_table(now, &table, &reports, &[true; ZONES]) {
                prop_assert!(next.zones.iter().filter(|zone| zone.state == Closed).count() < ZONES);
                prop_assert_eq!(ZoneTable::decode(&next.encode(), ZONES), Some(next.clone()));
                prop_assert!(next.encode().len() <= crate::consensus::MAX_DECISION_BYTES);
                table = next;
            }
        }
        prop_assert_eq!(ZoneTable::decode(&table.encode(), ZONES + 1), None);
    }

    #[test]
    fn an_invalid_table_is_not_decoded(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        if let Some(table) = ZoneTable::decode(&bytes, ZONES) {
            prop_assert!(table.zones.iter().all(|zone| zone.share <= FULL_SHARE));
        }
    }
}
