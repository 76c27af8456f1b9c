//! Counts of jobs that began to wait in the dispatcher, by reason.

use crate::routing::HoldReason;
use crate::telemetry::write_metric;

/// Number of times that jobs began to wait, for each reason of `HoldReason::ALL`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HoldCounts([u64; HoldReason::ALL.len()]);

impl HoldCounts {
    /// Counts a job that begins to wait, or that waits for another reason than before.
    pub fn count(&mut self, reason: HoldReason) {
        self.0[reason as usize] += 1;
    }

    /// Returns how often jobs began to wait for a reason.
    pub fn get(&self, reason: HoldReason) -> u64 {
        self.0[reason as usize]
    }

    /// Renders the counts as a metric.
    pub fn render(&self) -> String {
        let labelled = |reason: HoldReason| {
            let labels = format!("{{reason=\"{}\"}}", reason.name());
            (labels, self.get(reason) as f64)
        };
        let mut text = String::new();
        let help = "Times that a request began to wait here, by reason.";
        write_metric(&mut text, "lb_held_total", "counter", help, &HoldReason::ALL.map(labelled));
        text
    }
}

impl std::ops::Add for HoldCounts {
    type Output = HoldCounts;
    fn add(mut self, other: HoldCounts) -> HoldCounts {
        for (count, more) in self.0.iter_mut().zip(other.0) {
            *count += more;
        }
        self
    }
}
