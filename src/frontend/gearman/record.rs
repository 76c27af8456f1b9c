//! The record of jobs, by function and `unique`: which jobs run, and how finished jobs were answered. With
//! it, a job that a client submits again does not run again.
//!
//! The record is bounded. Entries whose answers no longer need to be kept are evicted to make room for new
//! jobs, the oldest first.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::routing::JobId;

/// Maximum number of entries examined to make room for a job, so that a submission to a full record does not
/// scan all of it.
const MAX_ENTRIES_SCANNED: usize = 64;

/// The key of a job: the index of its function, and its `unique`.
pub type Key = (usize, Vec<u8>);

/// The final answer to a recorded job.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The job completed with this result.
    Complete(Vec<u8>),
    /// The job failed, and may have run.
    Failed,
}

/// The recorded state of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// The job has not ended.
    Running(JobId),
    /// The job has ended.
    Answered {
        /// The handle that the job had.
        handle: String,
        /// The final answer.
        answer: Answer,
    },
}

struct Recorded {
    entry: Entry,
    /// Time before which the entry must not be evicted, so that the job does not run again, in milliseconds
    /// of the clock.
    keep_until: f64,
}

/// A bounded record of jobs.
pub struct Record {
    jobs: FxHashMap<Key, Recorded>,
    /// Keys in the order of eviction.
    order: VecDeque<Key>,
    max_jobs: usize,
    max_bytes: usize,
    /// Total bytes of the keys and the results.
    used_bytes: usize,
}

impl Record {
    /// Creates an empty record with bounds on the number of jobs and on the bytes of keys and results.
    pub fn new(max_jobs: usize, max_bytes: usize) -> Record {
        Record { jobs: FxHashMap::default(), order: VecDeque::new(), max_jobs, max_bytes, used_bytes: 0 }
    }

    /// Sets new bounds.
    pub fn reconfigure(&mut self, max_jobs: usize, max_bytes: usize) {
        (self.max_jobs, self.max_bytes) = (max_jobs, max_bytes);
    }

    /// Returns the entry of a job.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.jobs.get(key).map(|recorded| &recorded.entry)
    }

    /// Makes room for one more job. Returns false if no entry could be evicted. The caller then rejects the
    /// job, since without a record it might run twice.
    pub fn make_room(&mut self, now: f64) -> bool {
        // Entries are examined oldest first; those that must be kept are moved to the end.
        for _ in 0..self.order.len().min(MAX_ENTRIES_SCANNED) {
            if self.jobs.len() < self.max_jobs && self.used_bytes < self.max_bytes {
                return true;
            }
            let Some(key) = self.order.pop_front() else { break };
            let must_stay = self
                .jobs
                .get(&key)
                .is_some_and(|l| l.keep_until > now || matches!(l.entry, Entry::Running(_)));
            if must_stay {
                self.order.push_back(key);
            } else {
                self.drop_entry(&key);
            }
        }
        self.jobs.len() < self.max_jobs && self.used_bytes < self.max_bytes
    }

    /// Records a running job.
    pub fn start(&mut self, key: Key, job: JobId) {
        self.forget(&key);
        self.used_bytes += key.1.len();
        self.order.push_back(key.clone());
        self.jobs.insert(key, Recorded { entry: Entry::Running(job), keep_until: 0.0 });
    }

    /// Records the final answer to a job. The entry is kept until `keep_until` at least, in milliseconds of
    /// the clock.
    pub fn finish(&mut self, key: &Key, handle: String, answer: Answer, keep_until: f64) {
        let Some(recorded) = self.jobs.get_mut(key) else { return };
        if let Entry::Answered { answer: Answer::Complete(old), .. } = &recorded.entry {
            self.used_bytes -= old.len();
        }
        if let Answer::Complete(result) = &answer {
            self.used_bytes += result.len();
        }
        *recorded = Recorded { entry: Entry::Answered { handle, answer }, keep_until };
    }

    /// Removes the entry of a job that never ran or may run again.
    pub fn forget(&mut self, key: &Key) {
        if self.jobs.contains_key(key) {
            self.order.retain(|other| other != key);
            self.drop_entry(key);
        }
    }

    fn drop_entry(&mut self, key: &Key) {
        let Some(recorded) = self.jobs.remove(key) else { return };
        self.used_bytes -= key.1.len();
        if let Entry::Answered { answer: Answer::Complete(result), .. } = recorded.entry {
            self.used_bytes -= result.len();
        }
    }
}

#[cfg(test)]
mod tests;
