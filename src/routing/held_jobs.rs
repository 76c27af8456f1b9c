//! The queue of held jobs: those that wait here, since every endpoint that was tried is too far past k.
//!
//! Where endpoints report their load the newest job gets a freed slot, as it is most likely to be in time.
//! Where they do not, the one that must start first does.

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

/// The jobs held, ordered by their keys: when they arrived, or by when they must start.
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
    /// Gives the slot of an attempt that has ended to the newest job held: that it is free is surer than any
    /// report, and keeps all dispatchers from running after the one slot that an old report shows. Without
    /// reports the job that must start first searches again: others' jobs may wait at this endpoint.
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

    /// Has all held jobs searched for again whose cycle had no endpoint before a change of the list. Guards
    /// against jobs that wait out their time while the first endpoint for them is idle.
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
