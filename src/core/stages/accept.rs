//! Accept: from here on the request is owed one final answer.

use crate::core::counters::Counters;
use crate::core::jobs::Jobs;
use crate::routing::JobId;

/// Counts a request and gives it an id that is never used again.
pub(in crate::core) fn accept(jobs: &mut Jobs, counters: &mut Counters) -> JobId {
    counters.taken += 1;
    jobs.next_id()
}
