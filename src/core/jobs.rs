//! The table of open jobs. It alone adds, finishes and removes them; the stages change a job through it.

use rustc_hash::FxHashMap;

use super::job::{ActiveJob, JobPhase, JobRequest};
use crate::routing::JobId;

/// All jobs of one core that are not closed.
#[derive(Default)]
pub(super) struct Jobs {
    jobs: FxHashMap<JobId, ActiveJob>,
    last_id: JobId,
    /// Jobs that are finished, and not removed yet: the router still has to cancel their other attempts.
    finished: Vec<JobId>,
}

impl Jobs {
    /// An id that is never used again.
    pub(super) fn next_id(&mut self) -> JobId {
        self.last_id.0 += 1;
        self.last_id
    }

    /// Adds an admitted job.
    pub(super) fn insert(&mut self, id: JobId, request: JobRequest) {
        self.jobs.insert(id, ActiveJob::new(request));
    }

    /// A job that is not closed.
    pub(super) fn get(&self, id: JobId) -> Option<&ActiveJob> {
        self.jobs.get(&id)
    }

    /// The same, to be changed.
    pub(super) fn get_mut(&mut self, id: JobId) -> Option<&mut ActiveJob> {
        self.jobs.get_mut(&id)
    }

    /// A job that is still owed its final answer.
    pub(super) fn unfinished_mut(&mut self, id: JobId) -> Option<&mut ActiveJob> {
        self.jobs.get_mut(&id).filter(|job| job.phase != JobPhase::Finished)
    }

    /// Finishes a job: nothing is owed for it any more. Gives its request the first time, and nothing after that.
    pub(super) fn finish(&mut self, id: JobId) -> Option<JobRequest> {
        let job = self.unfinished_mut(id)?;
        job.phase = JobPhase::Finished;
        let request = job.request;
        self.finished.push(id);
        Some(request)
    }

    /// Removes the jobs that are finished, and names the request of each to `closed`.
    pub(super) fn close_finished(&mut self, mut closed: impl FnMut(&JobRequest)) {
        for id in self.finished.drain(..) {
            if let Some(job) = self.jobs.remove(&id) {
                closed(&job.request);
            }
        }
    }

    /// All jobs that are not closed.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ActiveJob> {
        self.jobs.values()
    }

    /// How many jobs are not closed.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }
}
