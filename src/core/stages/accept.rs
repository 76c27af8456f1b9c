//! Accept: counts a request and assigns its id. From here on the dispatcher owes it one final answer.

use crate::core::counters::Counters;
use crate::core::jobs::Jobs;
use crate::routing::JobId;

/// Counts a request and returns a new id; ids are never reused.
pub(in crate::core) fn accept(jobs: &mut Jobs, counters: &mut Counters) -> JobId {
    counters.taken += 1;
    jobs.next_id()
}
