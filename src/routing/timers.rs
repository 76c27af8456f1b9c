//! The times at which the router has to be called again.
//!
//! Timers are never cancelled: a timer whose job or attempt has changed in the meantime is ignored when it
//! fires.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::types::{JobId, Micros};

/// The action due at a time. Timers for the same time fire in the order of these variants, and of their
/// fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Try the next endpoint for a job, unless its search has continued since the timer was set.
    TryNextEndpoint {
        /// Id of the job.
        job: JobId,
        /// The job's `search_count` when the timer was set.
        search_count: u32,
    },
    /// Cancel an attempt that has not started.
    StartTimeout {
        /// Id of the job.
        job: JobId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Reject a job that still waits and has lost most of its value.
    ObjectiveMissed {
        /// Id of the job.
        job: JobId,
    },
    /// Send the final answer of a job shortly before its client's deadline.
    Deadline {
        /// Id of the job.
        job: JobId,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerEntry {
    at: Micros,
    timer: Timer,
}

/// All timers, and the wake-up that the caller has been asked for.
#[derive(Debug)]
pub(super) struct TimerQueue {
    entries: BinaryHeap<Reverse<TimerEntry>>,
    /// The earliest time at which the caller has been asked to call and has not done so yet.
    requested_wake: Micros,
}

impl TimerQueue {
    pub(super) fn new() -> TimerQueue {
        TimerQueue { entries: BinaryHeap::new(), requested_wake: Micros::MAX }
    }

    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.entries.push(Reverse(TimerEntry { at, timer }));
    }

    /// Removes and returns the first timer that is due.
    pub(super) fn pop_expired(&mut self, now: Micros) -> Option<Timer> {
        let Reverse(first) = *self.entries.peek()?;
        if first.at > now {
            return None;
        }
        self.entries.pop();
        Some(first.timer)
    }

    /// Returns the time of the first timer if the caller has not yet been asked to call by then.
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
