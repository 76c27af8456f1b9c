//! Evidence that discovery cannot be reached, from the ends of the calls for the endpoint list.
//!
//! | end of a call | shows that discovery cannot be reached |
//! | --- | --- |
//! | connection refused | always: nothing listens there |
//! | connection not established in time | after another failure |
//! | an error or a broken connection after some time | after another failure |
//! | an error or a broken connection at once, or in a long poll | the third time in a row |
//! | no answer in time on an established connection | after `SILENCE_WHEN_DOWN` without any response |
//! | a truncated or older answer, not made | never |
//!
//! That a call is not answered in time shows nothing by itself: discovery that is slow accepts every call and
//! answers it after its time, for which the caller keeps the connection open. If such calls counted as
//! failures, a service that is a little slower than its callers are patient would seem to be down for as long
//! as it is slow, and its drains would not be followed.

use super::types::Micros;

/// Discovery refuses a call that has waited this long to be processed. A long poll that has been open for
/// longer was therefore accepted and waits for changes.
const LONG_POLL_ACCEPTED_AFTER: Micros = 2_500_000;
/// A call that fails sooner than this was not waiting to be processed.
const QUICK_FAILURE: Micros = 250_000;
/// Number of consecutive connections that must break at once before discovery counts as down. Fewer may be
/// isolated resets.
const QUICK_FAILURES_WHEN_DOWN: u32 = 3;
/// Time without a response to any call after which discovery counts as down. A service that announces
/// changes within `Settings::NOTIFICATION_BOUND` responds sooner.
const SILENCE_WHEN_DOWN: Micros = 5_000_000;

/// How a call for the list failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The connection was refused: nothing listens at the address.
    Refused,
    /// The connection was not established in time.
    Unreachable,
    /// Discovery answered with an error.
    Rejected,
    /// The connection was closed or reset.
    Broken,
    /// The connection was established, and the call was not answered in time.
    Silent,
    /// The answer is truncated or cannot be parsed.
    Incomplete,
    /// The answer has an older version than the current list.
    Stale,
    /// This process could not make the call.
    Local,
}

impl CallFailure {
    /// Returns the failure's text in logs.
    pub fn name(self) -> &'static str {
        match self {
            CallFailure::Refused => "connection refused",
            CallFailure::Unreachable => "no connection",
            CallFailure::Rejected => "call rejected",
            CallFailure::Broken => "call failed",
            CallFailure::Silent => "silence",
            CallFailure::Incomplete => "answer incomplete",
            CallFailure::Stale => "older version",
            CallFailure::Local => "call not made",
        }
    }

    /// Returns whether the call may be retried at once instead of in this dispatcher's next time slot: a
    /// retry takes no processing time that discovery needs for other dispatchers, or only a retry shows
    /// whether the connection is dead. A refused connection, or one that breaks only after some time, may
    /// mean that discovery is down or overloaded. `lasted` is how long the call was in flight.
    pub fn is_cheap(self, lasted: Micros) -> bool {
        match self {
            CallFailure::Rejected | CallFailure::Broken => lasted < QUICK_FAILURE,
            CallFailure::Unreachable
            | CallFailure::Silent
            | CallFailure::Incomplete
            | CallFailure::Stale
            | CallFailure::Local => true,
            CallFailure::Refused => false,
        }
    }
}

/// A call in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListCall {
    pub(super) started_at: Micros,
    /// How long the call may wait for changes; 0 means that it is answered at once.
    pub(super) wait: Micros,
}

impl ListCall {
    /// Returns from when on this is a long poll that discovery has had time to refuse, if it is a long poll.
    pub(super) fn accepted_at(&self) -> Option<Micros> {
        (self.wait > 0).then_some(self.started_at + LONG_POLL_ACCEPTED_AFTER)
    }

    /// Returns whether this is a long poll that discovery has had time to refuse.
    pub(super) fn is_accepted_long_poll(&self, now: Micros) -> bool {
        self.accepted_at().is_some_and(|at| now >= at)
    }
}

/// Failures since the last answer of discovery. One call that fails slowly does not show whether discovery
/// is down or overloaded; a second one does, as there is one call per 6 s.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reachability {
    failures: u32,
    /// Number of most recent failures that happened at once.
    quick_failures: u32,
    /// Start of the oldest call since which discovery has not responded to any.
    silent_since: Option<Micros>,
}

impl Reachability {
    /// Records a failure. Returns the time at which discovery could not be reached, if the failures show
    /// that it could not.
    pub(super) fn on_failure(
        &mut self,
        now: Micros,
        call: &ListCall,
        failure: CallFailure,
    ) -> Option<Micros> {
        let may_be_isolated_reset = now < call.started_at + QUICK_FAILURE || call.is_accepted_long_poll(now);
        let is_down = match failure {
            CallFailure::Refused => true,
            CallFailure::Rejected | CallFailure::Broken if may_be_isolated_reset => {
                self.quick_failures += 1;
                self.quick_failures >= QUICK_FAILURES_WHEN_DOWN
            }
            CallFailure::Rejected | CallFailure::Broken | CallFailure::Unreachable => {
                self.quick_failures = 0;
                self.failures > 0
            }
            CallFailure::Silent => {
                self.quick_failures = 0;
                self.on_silence(now, call)
            }
            CallFailure::Incomplete | CallFailure::Stale => {
                // Discovery did answer.
                *self = Reachability::default();
                return None;
            }
            CallFailure::Local => return None,
        };
        if matches!(failure, CallFailure::Refused | CallFailure::Rejected | CallFailure::Broken) {
            self.silent_since = None;
        }
        self.failures = self.failures.saturating_add(1);
        is_down.then_some(call.started_at)
    }

    /// Records that a call on an established connection was not answered in time. Returns whether the silence
    /// of discovery shows that it is down. A silent long poll shows only that its watch is broken.
    fn on_silence(&mut self, now: Micros, call: &ListCall) -> bool {
        let silent_since = *self.silent_since.get_or_insert(call.started_at);
        call.wait == 0 && now >= silent_since + SILENCE_WHEN_DOWN
    }
}
