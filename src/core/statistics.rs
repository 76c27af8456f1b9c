//! What a core counts: the plain counters, and the operators' figures. Stages count through it, so that the two agree.

use super::counters::Counters;
use super::hold_counts::HoldCounts;
use super::job::FinalAnswer;
use crate::telemetry::{Disposition, Telemetry};

/// The counters and figures of one core.
pub(super) struct Statistics {
    pub(super) counters: Counters,
    pub(super) holds: HoldCounts,
    pub(super) telemetry: Telemetry,
}

impl Statistics {
    /// All at 0, for classes of these names.
    pub(super) fn new(class_names: Vec<String>) -> Statistics {
        Statistics {
            counters: Counters::default(),
            holds: HoldCounts::default(),
            telemetry: Telemetry::new(class_names),
        }
    }

    /// A job of a class was rejected before the router saw it.
    pub(super) fn count_not_admitted(&mut self, class: usize) {
        self.counters.turned_away += 1;
        self.telemetry.answered(class, Disposition::Rejected);
    }

    /// A job of a class has its final answer.
    pub(super) fn count_answer(&mut self, class: usize, answer: &FinalAnswer) {
        let (counter, disposition) = match answer {
            FinalAnswer::Served(_) => (&mut self.counters.served, Disposition::Completed),
            FinalAnswer::Rejected { .. } => (&mut self.counters.denied, Disposition::Rejected),
            FinalAnswer::Failed => (&mut self.counters.failed, Disposition::Failed),
        };
        *counter += 1;
        self.telemetry.answered(class, disposition);
    }
}
