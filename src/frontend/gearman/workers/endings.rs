//! Ends of attempts at workers: results, cancellations, workers that disconnect, and expired time limits.

use super::{Assigned, Worker, one_free_slot};
use crate::core::{ListScope, ListedEndpoint};
use crate::frontend::gearman::record::{Answer, Entry};
use crate::frontend::gearman::{AttemptId, GearmanFrontend};
use crate::net::ConnId;
use crate::routing::{Endpoint, EndpointStatus, Outcome};

impl GearmanFrontend {
    /// Records that a worker may report a failure of the job that it is about to end.
    pub(super) fn expect_late_failure(&mut self, id: ConnId, handle: &[u8]) {
        let job_id = Self::job_of_handle(handle);
        let attempt = job_id.and_then(|job_id| Some(self.worker(id)?.assigned.get(&job_id)?.attempt));
        if let Some(attempt) = attempt {
            self.core.expect_late_reports(attempt.job, attempt.number);
        }
    }

    /// Handles the result of a job from a worker. A result is ignored if the job is not assigned to the
    /// worker.
    pub(super) fn on_finished(&mut self, id: ConnId, handle: &[u8], outcome: Outcome, result: Vec<u8>) {
        let job_id = Self::job_of_handle(handle);
        let assigned = job_id.and_then(|job_id| self.worker(id)?.assigned.remove(&job_id));
        let Some(Assigned { attempt, key, is_abandoned, .. }) = assigned else { return };
        if !is_abandoned {
            self.core.on_attempt_ended(attempt.job, attempt.number, outcome, one_free_slot(), result);
            return;
        }
        // The clients of an abandoned job were told that it failed. The late result is recorded for clients
        // that submit the job again.
        if let (Some(key), Outcome::Served) = (key, outcome)
            && matches!(self.record.get(&key), Some(Entry::Answered { answer: Answer::Failed, .. }))
        {
            let keep_until = self.core.clock().now() + self.config.keep_ms;
            self.record.finish(&key, Self::handle(attempt.job), Answer::Complete(result), keep_until);
        }
        self.update_worker(id, |_| ());
    }

    /// Cancels an attempt. An attempt that is not fetched yet is withdrawn. Otherwise it is abandoned, and
    /// its worker gets no other job until it has finished.
    pub(in crate::frontend::gearman) fn cancel(&mut self, attempt: AttemptId) {
        let id = self.peers.iter().find_map(|(&id, p)| {
            let worker = p.worker.as_ref()?;
            let is_offered = worker.offered.iter().any(|(f, _)| *f == attempt);
            let is_assigned = worker.assigned.get(&attempt.job).is_some_and(|a| a.attempt == attempt);
            (is_offered || is_assigned).then_some(id)
        });
        let Some(id) = id else { return };
        self.update_worker(id, |worker| {
            worker.offered.retain(|(f, _)| *f != attempt);
            if let Some(assigned) = worker.assigned.get_mut(&attempt.job) {
                assigned.is_abandoned = true;
            }
        });
    }

    /// Handles the disconnection of a worker. Attempts that it had not fetched never ran; those that it had
    /// fetched may have run.
    pub(in crate::frontend::gearman) fn on_worker_left(&mut self, worker: Worker) {
        self.endpoints.remove(&worker.endpoint);
        if worker.state != EndpointStatus::Gone {
            let endpoint = self.core.endpoints().get(worker.endpoint).map(|s| s.endpoint).unwrap_or_default();
            let endpoint = Endpoint { status: EndpointStatus::Gone, ..endpoint };
            self.core.on_list(
                vec![ListedEndpoint { name: worker.name, address: String::new(), endpoint }],
                ListScope::Changes,
            );
        }
        for (attempt, _) in worker.offered {
            self.end_attempt(attempt, Outcome::Unreachable);
        }
        for Assigned { attempt, .. } in worker.assigned.into_values().filter(|a| !a.is_abandoned) {
            self.end_attempt(attempt, Outcome::Reset);
        }
    }

    /// Withdraws offers that idle workers do not fetch in time, and ends attempts that have exceeded the
    /// worker's time limit.
    pub(in crate::frontend::gearman) fn expire_workers(&mut self, now: f64) {
        let due =
            self.peers.iter().filter(|(_, p)| p.worker.as_ref().is_some_and(|w| w.next_deadline() <= now));
        for id in due.map(|(&id, _)| id).collect::<Vec<_>>() {
            let Some(worker) = self.worker(id) else { continue };
            let mut ended = Vec::new();
            if worker.assigned.is_empty() {
                while worker.offered.front().is_some_and(|o| o.1 + worker.offer_timeout_ms <= now) {
                    ended.extend(worker.offered.pop_front().map(|(f, _)| (f, Outcome::Unreachable)));
                }
            }
            for assigned in worker.assigned.values_mut().filter(|a| !a.is_abandoned && a.deadline_ms <= now) {
                assigned.is_abandoned = true;
                ended.push((assigned.attempt, Outcome::TimedOut));
            }
            self.update_worker(id, |_| ());
            for (attempt, outcome) in ended {
                self.end_attempt(attempt, outcome);
            }
        }
    }
}
