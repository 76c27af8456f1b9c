//! What a core does with the freshness of its list: it tells the routers whether attempts may be made, and logs and counts
//! each change. The decision itself is `ListFreshness`'s.

use tracing::info;

use super::Core;
use super::clock::{micros, millis};
use super::partition::ALL_ENDPOINTS;
use crate::routing::{CallFailure, Event, ListState, Micros};

/// The state of a core's list, as operators see it.
#[derive(Clone, Copy, Debug)]
pub struct ListStatus {
    /// Confirmed, or why not.
    pub state: ListState,
    /// How long ago that began, in milliseconds: the last answer, or the loss of it.
    pub age_ms: f64,
    /// Whether attempts are made by it.
    pub allows_attempts: bool,
}

impl Core {
    /// The state of the list.
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

    /// Discovery has answered.
    pub(super) fn confirm_list(&mut self) {
        let now = micros(self.clock.now());
        let before = self.list_freshness.state();
        self.list_freshness.on_answer(now);
        if let ListState::Unconfirmed { since, reason } = before {
            let after_ms = millis(now.saturating_sub(since));
            info!(reason = reason.name(), after_ms, "list confirmed");
        }
    }

    /// Counts and logs a call that failed. Gives how long it was out.
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

    /// Tells the routers whether attempts may be made by the list, where that has changed.
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
        info!(allowed, open_jobs = self.jobs.len(), "attempts by the list");
        self.hand_to_router(ALL_ENDPOINTS, Event::AttemptsAllowed(allowed));
        for partition in self.routers.partition_ids() {
            self.hand_to_router(partition, Event::AttemptsAllowed(allowed));
        }
    }

    /// Counts a job that comes while no attempt may be made.
    pub(super) fn count_withheld_job(&mut self) {
        self.statistics.counters.withheld += u64::from(!self.attempts_allowed);
    }

    /// Counts an attempt that is made by a list that is not confirmed.
    pub(super) fn count_unconfirmed_attempt(&mut self) {
        let is_unconfirmed = matches!(self.list_freshness.state(), ListState::Unconfirmed { .. });
        self.statistics.counters.sent_unconfirmed += u64::from(is_unconfirmed);
    }
}
