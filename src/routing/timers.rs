//! The times at which the router has to be called again.
//!
//! Timers are never withdrawn: one whose job or attempt has moved on since is ignored as it fires.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::types::{JobId, Micros};

/// What is to be done at a time. Timers of one time fire in the order of these variants, and of their fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Try the next endpoint for a job, unless it was tried since.
    TryNextEndpoint {
        /// The job.
        job: JobId,
        /// Its count of searches as the timer was set.
        search_count: u32,
    },
    /// Cancel an attempt that has not started.
    StartTimeout {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: usize,
    },
    /// Reject a job that still waits and has lost most of its value.
    ObjectiveMissed {
        /// The job.
        job: JobId,
    },
    /// Answer a job, whose client is about to leave.
    Deadline {
        /// The job.
        job: JobId,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerEntry {
    at: Micros,
    timer: Timer,
}

/// All timers, and what the caller has been asked for.
#[derive(Debug)]
pub(super) struct TimerQueue {
    entries: BinaryHeap<Reverse<TimerEntry>>,
    /// The earliest time that the caller has been asked to call at, and has not yet.
    requested_wake: Micros,
}

impl TimerQueue {
    pub(super) fn new() -> TimerQueue {
        TimerQueue { entries: BinaryHeap::new(), requested_wake: Micros::MAX }
    }

    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.entries.push(Reverse(TimerEntry { at, timer }));
    }

    /// Removes the first timer whose time has come.
    pub(super) fn pop_expired(&mut self, now: Micros) -> Option<Timer> {
        let Reverse(first) = *self.entries.peek()?;
        if first.at > now {
            return None;
        }
        self.entries.pop();
        Some(first.timer)
    }

    /// The time of the first timer, if the caller does not know yet that it has to call by then.
    pub(super) fn new_deadline(&mut self, now: Micros) -> Option<Micros> {
        if self.requested_wake <= now {
            self.requested_wake = Micros::MAX;
        }
        let Reverse(first) = *self.entries.peek()?;
        if first.at >= self.requested_wake {
            return None;
        }
        self.requested_wake = first.at;
        Some(first.at)
    }
}
