//! The table of open jobs. Only this module adds, finishes and removes jobs; the stages change them through
//! it.

use rustc_hash::FxHashMap;

use super::job::{ActiveJob, JobPhase, JobRequest};
use crate::routing::JobId;

/// All jobs of one core that have not been removed.
#[derive(Default)]
pub(super) struct Jobs {
    jobs: FxHashMap<JobId, ActiveJob>,
    last_id: JobId,
    /// Jobs that are finished but not yet removed: the router still has to cancel their other attempts.
    finished: Vec<JobId>,
}

impl Jobs {
    /// Returns a new id; ids are never reused.
    pub(super) fn next_id(&mut self) -> JobId {
        self.last_id.0 += 1;
        self.last_id
    }

    /// Adds an admitted job.
    pub(super) fn insert(&mut self, id: JobId, request: JobRequest) {
        self.jobs.insert(id, ActiveJob::new(request));
    }

    /// Returns a job that has not been removed.
    pub(super) fn get(&self, id: JobId) -> Option<&ActiveJob> {
        self.jobs.get(&id)
    }

    /// Mutable form of `get`.
    pub(super) fn get_mut(&mut self, id: JobId) -> Option<&mut ActiveJob> {
        self.jobs.get_mut(&id)
    }

    /// Returns a job that has no final answer yet.
    pub(super) fn unfinished_mut(&mut self, id: JobId) -> Option<&mut ActiveJob> {
        self.jobs.get_mut(&id).filter(|job| job.phase != JobPhase::Finished)
    }

    /// Marks a job as finished, so that it gets no further answer. Returns its request on the first call and
    /// `None` on later calls.
    pub(super) fn finish(&mut self, id: JobId) -> Option<JobRequest> {
        let job = self.unfinished_mut(id)?;
        job.phase = JobPhase::Finished;
        let request = job.request;
        self.finished.push(id);
        Some(request)
    }

    /// Removes the finished jobs and calls `closed` with the request of each.
    pub(super) fn close_finished(&mut self, mut closed: impl FnMut(&JobRequest)) {
        for id in self.finished.drain(..) {
            if let Some(job) = self.jobs.remove(&id) {
                closed(&job.request);
            }
        }
    }

    /// Iterates over all jobs that have not been removed.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ActiveJob> {
        self.jobs.values()
    }

    /// Returns the number of jobs that have not been removed.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }
}
