//! Counters and metrics of a core. Stages record answers through this module, so that the counters and the
//! metrics agree.

use super::counters::Counters;
use super::hold_counts::HoldCounts;
use super::job::FinalAnswer;
use crate::telemetry::{Disposition, Telemetry};

/// Counters, hold counts and metrics of one core.
pub(super) struct Statistics {
    pub(super) counters: Counters,
    pub(super) holds: HoldCounts,
    pub(super) telemetry: Telemetry,
}

impl Statistics {
    /// Returns statistics with all counts at 0 for classes with these names.
    pub(super) fn new(class_names: Vec<String>) -> Statistics {
        Statistics {
            counters: Counters::default(),
            holds: HoldCounts::default(),
            telemetry: Telemetry::new(class_names),
        }
    }

    /// Counts a job of a class that was rejected before the router saw it.
    pub(super) fn count_rejected_on_admission(&mut self, class: usize) {
        self.counters.turned_away += 1;
        self.telemetry.record_answer(class, Disposition::Rejected);
    }

    /// Counts the final answer to a job of a class.
    pub(super) fn count_answer(&mut self, class: usize, answer: &FinalAnswer) {
        let (counter, disposition) = match answer {
            FinalAnswer::Served(_) => (&mut self.counters.served, Disposition::Completed),
            FinalAnswer::Rejected { .. } => (&mut self.counters.denied, Disposition::Rejected),
            FinalAnswer::Failed => (&mut self.counters.failed, Disposition::Failed),
        };
        *counter += 1;
        self.telemetry.record_answer(class, disposition);
    }
}
