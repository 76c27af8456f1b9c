//! The record of jobs by their `unique`: what runs, and what was answered.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::routing::JobId;

/// Lines looked at to make room for one.
const MAX_ENTRIES_SCANNED: usize = 64;

/// A job as its client names it: the function's number and the `unique`.
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
    /// It is not over.
    Running(JobId),
    /// Its answer, under the handle that it had.
    Over {
        /// The handle.
        handle: String,
        /// The answer.
        answer: Answer,
    },
}

struct Line {
    entry: Entry,
    /// Until when it must be kept, lest its job run again.
    keep: f64,
}

/// A bounded record.
pub struct Record {
    lines: FxHashMap<Key, Line>,
    order: VecDeque<Key>,
    entries: usize,
    bytes: usize,
    held: usize,
}

impl Record {
    /// A record of so many jobs and so many bytes of answers at most.
    pub fn new(entries: usize, bytes: usize) -> Record {
        Record { lines: FxHashMap::default(), order: VecDeque::new(), entries, bytes, held: 0 }
    }

    /// Takes over other bounds.
    pub fn reconfigure(&mut self, entries: usize, bytes: usize) {
        (self.entries, self.bytes) = (entries, bytes);
    }

    /// What is known of a job.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.lines.get(key).map(|line| &line.entry)
    }

    /// Makes room for one more job. False where all that is held must be kept: then a job that must not run
    /// twice is better denied than run without a record.
    pub fn make_room(&mut self, now: f64) -> bool {
        // The oldest first; those that must stay go to the end. A bounded look, so that a full record does not
        // cost each submission a walk through all of it.
        for _ in 0..self.order.len().min(MAX_ENTRIES_SCANNED) {
            if self.lines.len() < self.entries && self.held < self.bytes {
                return true;
            }
            let Some(key) = self.order.pop_front() else { break };
            let stays =
                self.lines.get(&key).is_some_and(|l| l.keep > now || matches!(l.entry, Entry::Running(_)));
            if stays {
                self.order.push_back(key);
            } else {
                self.drop_line(&key);
            }
        }
        self.lines.len() < self.entries && self.held < self.bytes
    }

    /// Notes that a job runs.
    pub fn run(&mut self, key: Key, session: JobId) {
        self.remove(&key);
        self.held += key.1.len();
        self.order.push_back(key.clone());
        self.lines.insert(key, Line { entry: Entry::Running(session), keep: 0.0 });
    }

    /// Notes a job's answer, to be kept until then.
    pub fn over(&mut self, key: &Key, handle: String, answer: Answer, keep: f64) {
        let Some(line) = self.lines.get_mut(key) else { return };
        if let Entry::Over { answer: Answer::Complete(old), .. } = &line.entry {
            self.held -= old.len();
        }
        if let Answer::Complete(result) = &answer {
            self.held += result.len();
        }
        *line = Line { entry: Entry::Over { handle, answer }, keep };
    }

    /// Forgets a job: it never ran, or may run again.
    pub fn remove(&mut self, key: &Key) {
        if self.lines.contains_key(key) {
            self.order.retain(|other| other != key);
            self.drop_line(key);
        }
    }

    fn drop_line(&mut self, key: &Key) {
        let Some(line) = self.lines.remove(key) else { return };
        self.held -= key.1.len();
        if let Entry::Over { answer: Answer::Complete(result), .. } = line.entry {
            self.held -= result.len();
        }
    }
}

#[cfg(test)]
mod tests;
