//! The record of jobs by their `unique`: which run, and what was answered. By it a job that a client submits again runs once.
//!
//! It is bounded: answers that need not be kept any more make room for new jobs, the oldest first.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::routing::JobId;

/// Entries looked at to make room for one job, so that a full record does not cost each submission a walk through all of
/// it.
const MAX_ENTRIES_SCANNED: usize = 64;

/// The key of a job: its function's number and its `unique`.
pub type Key = (usize, Vec<u8>);

/// What was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result.
    Complete(Vec<u8>),
    /// It failed, and may have run.
    Failed,
}

/// What is known of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// It has not ended.
    Running(JobId),
    /// Its answer, under the handle that it had.
    Answered {
        /// The handle.
        handle: String,
        /// The answer.
        answer: Answer,
    },
}

struct Recorded {
    entry: Entry,
    /// Until when it must be kept, in milliseconds of the clock, lest its job run again.
    keep_until: f64,
}

/// The record.
pub struct Record {
    jobs: FxHashMap<Key, Recorded>,
    /// Keys, those first that make room first.
    order: VecDeque<Key>,
    max_jobs: usize,
    max_bytes: usize,
    /// Bytes of the keys and the answers.
    used_bytes: usize,
}

impl Record {
    /// A record of so many jobs and so many bytes of answers at most.
    pub fn new(max_jobs: usize, max_bytes: usize) -> Record {
        Record { jobs: FxHashMap::default(), order: VecDeque::new(), max_jobs, max_bytes, used_bytes: 0 }
    }

    /// Takes over other bounds.
    pub fn reconfigure(&mut self, max_jobs: usize, max_bytes: usize) {
        (self.max_jobs, self.max_bytes) = (max_jobs, max_bytes);
    }

    /// What is known of a job.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.jobs.get(key).map(|recorded| &recorded.entry)
    }

    /// Makes room for one more job. False where all entries must be kept: then a job that must not run twice is better
    /// rejected than run without a record.
    pub fn make_room(&mut self, now: f64) -> bool {
        // The oldest first; those that must stay go to the end.
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

    /// Records that a job runs.
    pub fn start(&mut self, key: Key, job: JobId) {
        self.forget(&key);
        self.used_bytes += key.1.len();
        self.order.push_back(key.clone());
        self.jobs.insert(key, Recorded { entry: Entry::Running(job), keep_until: 0.0 });
    }

    /// Records a job's answer, to be kept until `keep_until`, in milliseconds of the clock.
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

    /// Forgets a job: it never ran, or may run again.
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
