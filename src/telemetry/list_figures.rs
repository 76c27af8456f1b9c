//! Metrics of the endpoint list: its version, whether it is confirmed, and the effects of using it
//! unconfirmed.

use std::fmt;

use super::write_metric;

/// Values of the list metrics, read when the metrics are requested.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListFigures {
    /// Version of the list in use.
    pub version: u64,
    /// Seconds since the list was last confirmed, or since it became unconfirmed.
    pub age_seconds: f64,
    /// Whether the list is confirmed.
    pub is_confirmed: bool,
    /// Calls to discovery that were answered.
    pub answers: u64,
    /// Calls to discovery that failed.
    pub failures: u64,
    /// Attempts sent while the list was unconfirmed.
    pub sent_unconfirmed: u64,
    /// Jobs that arrived while the list was too old to send attempts.
    pub withheld: u64,
}

impl fmt::Display for ListFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        let mut write_unlabelled = |name: &str, kind: &str, help: &str, value: f64| {
            write_metric(&mut text, name, kind, help, &[(String::new(), value)]);
        };
        write_unlabelled(
            "lb_list_version",
            "gauge",
            "Version of the list that is held.",
            self.version as f64,
        );
        write_unlabelled(
            "lb_list_confirmed",
            "gauge",
            "1: discovery has confirmed the list, and is watched.",
            f64::from(u8::from(self.is_confirmed)),
        );
        write_unlabelled(
            "lb_list_age_seconds",
            "gauge",
            "Time since the list was confirmed, or since it is not.",
            self.age_seconds,
        );
        write_unlabelled(
            "lb_list_unconfirmed_attempts_total",
            "counter",
            "Attempts by a list that was not confirmed.",
            self.sent_unconfirmed as f64,
        );
        write_unlabelled(
            "lb_list_withheld_requests_total",
            "counter",
            "Requests that came while the list was too old to act on.",
            self.withheld as f64,
        );
        let calls = [("answered", self.answers), ("failed", self.failures)];
        let calls = calls.map(|(outcome, count)| (format!("{{outcome=\"{outcome}\"}}"), count as f64));
        write_metric(&mut text, "lb_list_calls_total", "counter", "Calls to discovery by outcome.", &calls);
        f.write_str(&text)
    }
}
