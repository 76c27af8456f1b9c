//! Applies list freshness: informs the routers whether attempts are allowed, and logs and counts each change.
//! [`ListFreshness`](crate::routing::ListFreshness) makes the decision.

use tracing::info;

use super::Core;
use super::clock::{micros, millis};
use super::partition::ALL_ENDPOINTS;
use crate::routing::{CallFailure, Event, ListState, Micros};

/// State of a core's endpoint list, for operators.
#[derive(Clone, Copy, Debug)]
pub struct ListStatus {
    /// Whether the list is fixed, confirmed or unconfirmed, and why it is unconfirmed.
    pub state: ListState,
    /// Time in milliseconds since the last confirmation, or since the list became unconfirmed.
    pub age_ms: f64,
    /// Whether the list is fresh enough to send attempts.
    pub allows_attempts: bool,
}

impl Core {
    /// Returns the state of the endpoint list.
    pub fn list_status(&self) -> ListStatus {
        let now = micros(self.clock.now());
        let state = self.list_freshness.state();
        let began = match state {
            ListState::Fixed => now,
            ListState::Confirmed { at } => at,
            ListState::Unconfirmed { since, .. } => since,
        };
        let allows_attempts = self.list_freshness.allows_attempts(now);
        ListStatus { state, age_ms: millis(now.saturating_sub(began)), allows_attempts }
    }

    /// Marks the list as confirmed by an answer of discovery.
    pub(super) fn confirm_list(&mut self) {
        let now = micros(self.clock.now());
        let before = self.list_freshness.state();
        self.list_freshness.on_answer(now);
        if let ListState::Unconfirmed { since, reason } = before {
            let after_ms = millis(now.saturating_sub(since));
            info!(reason = reason.name(), after_ms, "list confirmed");
        }
    }

    /// Counts and logs a failed call to discovery. Returns how long the call was open.
    pub(super) fn record_list_failure(&mut self, failure: CallFailure) -> Micros {
        self.statistics.counters.list_failures += 1;
        let now = micros(self.clock.now());
        let lasted = self.list_freshness.on_failure(now, failure);
        if let ListState::Unconfirmed { since, reason } = self.list_freshness.state() {
            let (call_ms, since_ms) = (millis(lasted), millis(now.saturating_sub(since)));
            info!(reason = reason.name(), call_ms, since_ms, "list unconfirmed");
        }
        lasted
    }

    /// Informs the routers if the list's freshness now allows attempts or no longer does.
    pub(super) fn refresh_attempts_allowed(&mut self) {
        let now = micros(self.clock.now());
        if self.list_freshness.expire(now) {
            info!(reason = "held up", "list unconfirmed");
        }
        let allowed = self.list_freshness.allows_attempts(now);
        if allowed == self.attempts_allowed {
            return;
        }
        self.attempts_allowed = allowed;
        info!(allowed, open_jobs = self.jobs.len(), "new attempts allowed by list freshness");
        self.hand_to_router(ALL_ENDPOINTS, Event::AttemptsAllowed(allowed));
        for partition in self.routers.partition_ids() {
            self.hand_to_router(partition, Event::AttemptsAllowed(allowed));
        }
    }

    /// Counts a new job as withheld if attempts are not allowed.
    pub(super) fn count_withheld_job(&mut self) {
        self.statistics.counters.withheld += u64::from(!self.attempts_allowed);
    }

    /// Counts an attempt that is sent while the list is unconfirmed.
    pub(super) fn count_unconfirmed_attempt(&mut self) {
        let is_unconfirmed = matches!(self.list_freshness.state(), ListState::Unconfirmed { .. });
        self.statistics.counters.sent_unconfirmed += u64::from(is_unconfirmed);
    }
}
