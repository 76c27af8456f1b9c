//! Tests of `telemetry`.

use super::*;

/// Checks the metric names and the format that scrapers read, and that classes of the same name in two cores
/// are summed.
#[test]
fn metrics_are_rendered_once_per_class_and_result() {
    let mut one = Telemetry::new(vec!["search".into(), "hold".into()]);
    let mut two = Telemetry::new(vec!["search".into()]);
    one.record_answer(0, Disposition::Completed);
    one.record_answer(0, Disposition::Completed);
    one.record_answer(1, Disposition::Rejected);
    two.record_answer(0, Disposition::Failed);
    one.record_answer(7, Disposition::Failed);
    one.record_request_sent();
    two.record_request_sent();
    let gauges = Gauges { pending: 4, members: 3, members_unavailable: 1 };
    let text = render(&[&one, &two], gauges);
    let lines: Vec<&str> = text.lines().filter(|l| !l.starts_with('#')).collect();
    assert_eq!(
        lines,
        [
            "lb_downstream_requests_total{lane=\"search\",result=\"completed\"} 2",
            "lb_downstream_requests_total{lane=\"search\",result=\"rejected\"} 0",
            "lb_downstream_requests_total{lane=\"search\",result=\"failed\"} 1",
            "lb_downstream_requests_total{lane=\"hold\",result=\"completed\"} 0",
            "lb_downstream_requests_total{lane=\"hold\",result=\"rejected\"} 1",
            "lb_downstream_requests_total{lane=\"hold\",result=\"failed\"} 0",
            "lb_upstream_requests_total 2",
            "lb_pending 4",
            "lb_members 3",
            "lb_members_unavailable 1",
        ]
    );
    assert_eq!(escape("a\"b\\c\nd"), "a\\\"b\\\\c\\nd");
}
