//! The queue of held jobs, which wait in the dispatcher because every endpoint that was tried is too far
//! past k.
//!
//! If endpoints report their load, the newest job gets a freed slot, as it is the most likely to be in time.
//! If they do not, the job with the earliest latest start time does.

use std::collections::BTreeSet;

use super::endpoint_state::EndpointIndex;
use super::router::Router;
use super::timers::Timer;
use super::types::{Action, JobId, Micros};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HeldJob {
    key: Micros,
    job: JobId,
}

/// The held jobs, ordered by their keys: the arrival time, or the latest time at which the job must start.
#[derive(Debug, Default)]
pub(super) struct HeldJobs {
    jobs: BTreeSet<HeldJob>,
}

impl HeldJobs {
    pub(super) fn insert(&mut self, key: Micros, job: JobId) {
        self.jobs.insert(HeldJob { key, job });
    }

    pub(super) fn remove(&mut self, key: Micros, job: JobId) {
        self.jobs.remove(&HeldJob { key, job });
    }

    fn pop_first(&mut self) -> Option<JobId> {
        self.jobs.pop_first().map(|held| held.job)
    }

    fn pop_last(&mut self) -> Option<JobId> {
        self.jobs.pop_last().map(|held| held.job)
    }
}

impl Router {
    /// Gives the slot of an ended attempt to the newest held job. That this slot is free is more certain
    /// than any report, and using it directly keeps dispatchers from all chasing the one free slot that an
    /// old report shows. Without load reports, the job that must start first searches again instead, because
    /// jobs of other dispatchers may be queued at this endpoint.
    pub(super) fn fill_freed_slot(&mut self, now: Micros, endpoint: EndpointIndex, out: &mut Vec<Action>) {
        let lacks_reports = self.settings.lacks_load_reports();
        let next = if lacks_reports { self.held_jobs.pop_first() } else { self.held_jobs.pop_last() };
        let Some(job) = next else { return };
        if !lacks_reports && self.may_send(now, job, endpoint) {
            self.send(now, job, endpoint, out);
        } else {
            self.try_next_endpoint(now, job, out);
        }
    }

    /// Restarts the search of every held job whose cycle had no endpoint before the list changed. Otherwise
    /// such jobs would wait until they are late although the first endpoint for them is idle.
    pub(super) fn retry_held_jobs(&mut self, now: Micros, had_no_endpoint: &[bool]) {
        for held in &self.held_jobs.jobs {
            let pending = self.jobs.get(&held.job).filter(|pending| had_no_endpoint[pending.cycle]);
            if let Some(pending) = pending {
                let search_count = pending.search_count;
                self.timers.set(now, Timer::TryNextEndpoint { job: held.job, search_count });
            }
        }
    }
}
