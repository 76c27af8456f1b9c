//! Guards against a wrong zone health when reports are few, late or out of order.

use proptest::prelude::*;

use super::*;

/// Guards against a dead zone that is not detected because each dispatcher has only one or two jobs a second.
#[test]
fn many_reporters_with_few_attempts_find_a_dead_zone() {
    let mut reports = HealthReports::default();
    let digest = |source: u16, sample: ZoneSample| {
        let samples =
            vec![ZoneSample { answered: 1, ..ZoneSample::default() }, sample, ZoneSample::default()];
        Digest {
            incarnation: 1,
            number: 1,
            zone: 1 + source % 2,
            open_requests: 1,
            arrived: 2,
            rejected: 0,
            samples,
        }
    };
    let two_failures = ZoneSample { refused: 2, ..ZoneSample::default() };
    for source in 0..4 {
        reports.record(0.0, source, digest(source, two_failures), ZONES);
    }
    assert_eq!(reports.health(1.0, 1, true), ZoneHealth::Unknown, "eight failures are not enough");
    reports.record(0.0, 4, digest(4, two_failures), ZONES);
    assert_eq!(reports.health(1.0, 1, true), ZoneHealth::Down(FailureMode::Refusing));
    let answers = ZoneSample { answered: 4, ..ZoneSample::default() };
    reports.record(0.0, 5, digest(5, answers), ZONES);
    assert_eq!(
        reports.health(1.0, 1, true),
        ZoneHealth::Healthy,
        "a few failures among several answers may come from a single endpoint that is down"
    );
}

/// Guards against a zone that is closed as unreachable while most of its members are up. Digests can also be missing
/// for other reasons, such as a change of leader.
#[test]
fn a_zone_without_digests_is_unreachable_only_if_half_of_its_members_are_down() {
    let mut reports = HealthReports::default();
    let samples = vec![ZoneSample { answered: 9, ..ZoneSample::default() }, ZoneSample::default()];
    let digest = Digest { incarnation: 1, number: 1, samples, ..Digest::default() };
    assert!(reports.record(0.0, 0, digest, 2));
    assert_eq!(reports.health(1.0, 1, false), ZoneHealth::Unknown);
    assert_eq!(reports.health(1.0, 1, true), ZoneHealth::Unreachable);
    assert_eq!(reports.health(1.0, 0, true), ZoneHealth::Healthy, "its own dispatchers send digests");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Digests that arrive in a different order, some of them twice, lead to the same reports.
    #[test]
    fn reports_merge_in_any_order(list in digests(), seed in 0u64..1000) {
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
}
