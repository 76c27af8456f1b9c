//! Freshness of the endpoint list: whether it is confirmed, by when it must be confirmed again, and whether
//! attempts may be made with it. [`ListFreshness`] alone decides these questions; a process has one for each
//! list that it follows.
//!
//! A list is never known to be current: discovery confirmed it at some time, and endpoints may have been
//! removed since. A removal counts as announced within a bound, even if no call delivered it, and from then
//! on no job may be sent to the endpoint after a grace period. So everything that is learned about discovery
//! moves one time, `usable_until`:
//!
//! | event | the list may be used until |
//! | --- | --- |
//! | a start with the saved list | now: removals of long ago count as announced (agent: now + grace) |
//! | a predecessor hands over its list and keeps watching it | `left_at` + grace at most |
//! | a predecessor hands over its list for the last time | as long as the predecessor may use it |
//! | an answer, also an empty one | now + bound + grace |
//! | a long poll that discovery has had time to refuse | the end of its wait + 2 s + grace |
//! | such a poll ends with a failure | now + bound + grace: it would have delivered a change until then |
//! | discovery cannot be reached (see `reachability`) | the start of the last such call + bound + grace |
//! | a truncated answer | now + grace: the changes in it count as announced |
//! | the address of discovery changes (SIGHUP) | now + 4 s + grace at most |
//! | a call fails otherwise (slow, overloaded, older version, not made) | unchanged |
//!
//! After that time no attempt is made: jobs are held, and rejected once they lose their value. While
//! discovery is down, nothing newer can count as announced, so dispatchers continue with the list that they
//! have.

use super::reachability::{CallFailure, ListCall, Reachability};
use super::types::{Micros, Settings};

/// Longest time that a process may be stalled between reading the clock and a write, 0.15 s, plus the same
/// again for the data that it has to write first.
const STALL_MARGIN: Micros = 300_000;
/// If a long poll is not answered, the changes that it missed count as announced this long after the end of
/// its wait.
const LONG_POLL_NOTIFICATION_BOUND: Micros = 2_000_000;
/// After a change of the configuration to another discovery service, changes of its list count as announced
/// after this time.
const SERVICE_CHANGE_BOUND: Micros = 4_000_000;

/// Why a list is not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnconfirmedReason {
    /// The list was saved before the start.
    Start,
    /// The list was handed over by the predecessor process.
    Predecessor,
    /// A different discovery service is configured from now on.
    ServiceChanged,
    /// A call failed, or the watch broke.
    Call(CallFailure),
    /// The process was stalled for so long that its list is out of date.
    Stalled,
}

impl UnconfirmedReason {
    /// Returns the reason's text in logs.
    pub fn name(self) -> &'static str {
        match self {
            UnconfirmedReason::Start => "start",
            UnconfirmedReason::Predecessor => "predecessor",
            UnconfirmedReason::ServiceChanged => "service changed",
            UnconfirmedReason::Call(failure) => failure.name(),
            UnconfirmedReason::Stalled => "held up",
        }
    }
}

/// The state of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// The list changes only with the operator's file, so there is nothing to confirm.
    Fixed,
    /// Discovery has answered, and the watch has continued since.
    Confirmed {
        /// When discovery last answered.
        at: Micros,
    },
    /// Endpoints may have been removed without this process knowing.
    Unconfirmed {
        /// Since when the list is unconfirmed.
        since: Micros,
        /// The most recent reason.
        reason: UnconfirmedReason,
    },
}

/// Report of a predecessor process on the list that it hands over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PredecessorList {
    /// When the list was handed over, or earlier.
    pub left_at: Micros,
    /// How long the list may be used from `left_at` on.
    pub usable_for: Micros,
    /// Whether the predecessor keeps watching the list. Changes announced to it then count as announced here
    /// as well.
    pub is_watched: bool,
}

/// The freshness of one list.
#[derive(Clone, Debug)]
pub struct ListFreshness {
    state: ListState,
    usable_until: Micros,
    call: Option<ListCall>,
    reachability: Reachability,
    /// Time within which a change counts as announced.
    notification_bound: Micros,
    /// Time from the announcement of a removal until no job may be sent to the endpoint, less the margin.
    grace: Micros,
    /// Whether an agent on this machine pushes the list.
    has_agent: bool,
}

impl ListFreshness {
    /// Creates the freshness of a list that never changes.
    pub fn fixed(settings: &Settings) -> ListFreshness {
        let mut freshness = ListFreshness {
            state: ListState::Fixed,
            usable_until: Micros::MAX,
            call: None,
            reachability: Reachability::default(),
            notification_bound: 0,
            grace: 0,
            has_agent: false,
        };
        freshness.reconfigure(settings);
        freshness
    }

    /// Applies reloaded settings, which take effect from the next event on.
    pub fn reconfigure(&mut self, settings: &Settings) {
        self.has_agent = !settings.must_subscribe;
        self.notification_bound = if self.has_agent { 0 } else { Settings::NOTIFICATION_BOUND };
        self.grace = settings.rules.drain_grace.saturating_sub(STALL_MARGIN);
    }

    /// Records that the process starts with the list that it last saved.
    pub fn on_start(&mut self, now: Micros) {
        self.usable_until = if self.has_agent { now + self.grace } else { now };
        self.state = ListState::Unconfirmed { since: now, reason: UnconfirmedReason::Start };
    }

    /// Records that a predecessor process has handed over its list. To be called only while no call of this
    /// process has been answered.
    pub fn on_predecessor_list(&mut self, list: PredecessorList) {
        let ListState::Unconfirmed { since, reason } = self.state else { return };
        let usable_for = if list.is_watched { list.usable_for.min(self.grace) } else { list.usable_for };
        self.extend(list.left_at.saturating_add(usable_for));
        if reason == UnconfirmedReason::Start {
            self.state = ListState::Unconfirmed { since, reason: UnconfirmedReason::Predecessor };
        }
    }

    /// Returns how long the list may still be used, as far as is known now.
    pub fn usable_for(&self, now: Micros) -> Micros {
        self.usable_until(now).saturating_sub(now)
    }

    /// Records that a different discovery service is asked from now on.
    pub fn on_service_changed(&mut self, now: Micros) {
        if self.state != ListState::Fixed {
            self.usable_until = self.usable_until(now).min(now + SERVICE_CHANGE_BOUND + self.grace);
            self.call = None;
            self.reachability = Reachability::default();
            self.mark_unconfirmed(now, UnconfirmedReason::ServiceChanged);
        }
    }

    /// Records that a call is made which may wait for changes for `wait`.
    pub fn on_call(&mut self, now: Micros, wait: Micros) {
        // A long poll that is replaced may have been working until now, or may have stopped responding.
        if let Some(end) = self.long_poll_usable_until(now) {
            self.extend(end.min(now + self.notification_bound + self.grace));
        }
        self.call = Some(ListCall { started_at: now, wait });
    }

    /// Records that discovery has answered with the newest list or its changes, if there are any.
    pub fn on_answer(&mut self, now: Micros) {
        if self.state != ListState::Fixed {
            self.call = None;
            self.reachability = Reachability::default();
            self.usable_until = now + self.notification_bound + self.grace;
            self.state = ListState::Confirmed { at: now };
        }
    }

    /// Records that the call in flight has failed. Returns how long it was in flight.
    pub fn on_failure(&mut self, now: Micros, failure: CallFailure) -> Micros {
        let call = self.call.unwrap_or(ListCall { started_at: now, wait: 0 });
        let lasted = now.saturating_sub(call.started_at);
        if self.state == ListState::Fixed {
            return lasted;
        }
        let long_poll_usable_until = self.long_poll_usable_until(now);
        self.call = None;
        match (long_poll_usable_until, failure) {
            (None, _) => {}
            (Some(end), CallFailure::Silent) => self.extend(end),
            // The poll was open beyond its time limit, so it had stopped delivering changes, whatever ended
            // it now.
            (Some(end), _) if now >= end => {}
            // The poll would have delivered a change until it broke.
            (Some(_), _) => self.extend(now + self.notification_bound + self.grace),
        }
        if failure == CallFailure::Incomplete {
            self.usable_until = self.usable_until.min(now + self.grace);
        }
        // An agent stays silent while discovery is down, and announces nothing in that time.
        let down_at =
            if self.has_agent { Some(now) } else { self.reachability.on_failure(now, &call, failure) };
        if let Some(down_at) = down_at {
            self.extend(down_at + self.notification_bound + self.grace);
        }
        self.mark_unconfirmed(now, UnconfirmedReason::Call(failure));
        lasted
    }

    /// Returns whether attempts may be made with the list now.
    pub fn allows_attempts(&self, now: Micros) -> bool {
        now < self.usable_until(now)
    }

    /// Detects that the process was stalled for too long. Returns whether that has changed the state.
    pub fn expire(&mut self, now: Micros) -> bool {
        let has_expired = matches!(self.state, ListState::Confirmed { .. }) && !self.allows_attempts(now);
        if has_expired {
            self.mark_unconfirmed(now, UnconfirmedReason::Stalled);
        }
        has_expired
    }

    /// Returns when the result of `allows_attempts` changes next if nothing happens until then.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let usable_until = self.usable_until(now);
        if now < usable_until {
            return (usable_until < Micros::MAX).then_some(usable_until);
        }
        self.call.and_then(|call| call.accepted_at()).filter(|&at| at > now)
    }

    /// Returns the state of the list.
    pub fn state(&self) -> ListState {
        self.state
    }

    /// Returns until when the list may be used, as far as is known now.
    fn usable_until(&self, now: Micros) -> Micros {
        self.usable_until.max(self.long_poll_usable_until(now).unwrap_or(0))
    }

    /// Returns until when the list may be used because of the long poll in flight.
    fn long_poll_usable_until(&self, now: Micros) -> Option<Micros> {
        let call = self.call.filter(|call| call.is_accepted_long_poll(now) && !self.has_agent)?;
        Some(call.started_at + call.wait + LONG_POLL_NOTIFICATION_BOUND + self.grace)
    }

    fn extend(&mut self, usable_until: Micros) {
        self.usable_until = self.usable_until.max(usable_until);
    }

    fn mark_unconfirmed(&mut self, now: Micros, reason: UnconfirmedReason) {
        let since = match self.state {
            ListState::Unconfirmed { since, .. } => since,
            ListState::Fixed | ListState::Confirmed { .. } => now,
        };
        self.state = ListState::Unconfirmed { since, reason };
    }
}
