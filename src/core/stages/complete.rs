//! Complete: what becomes of an attempt. News of an attempt that is over is counted and changes nothing, so that what is
//! repeated or comes late cannot answer a job twice.

use crate::core::clock::micros;
use crate::core::counters::Counters;
use crate::core::job::{JobPhase, JobRequest};
use crate::core::jobs::Jobs;
use crate::core::statistics::Statistics;
use crate::routing::{EndpointId, JobId, Micros, Outcome};

/// An attempt that has ended just now.
pub(in crate::core) struct EndedAttempt {
    pub(in crate::core) endpoint: EndpointId,
    /// How long its endpoint took.
    pub(in crate::core) latency: Micros,
    /// Whether its response had begun to be relayed, so that nothing else can follow.
    pub(in crate::core) was_streaming: bool,
}

/// Ends an attempt; none where it was over already.
pub(in crate::core) fn end_attempt(
    jobs: &mut Jobs,
    counters: &mut Counters,
    now_ms: f64,
    id: JobId,
    attempt: usize,
) -> Option<EndedAttempt> {
    let job = jobs.unfinished_mut(id);
    let was_streaming = job.as_ref().is_some_and(|job| job.phase == JobPhase::Streaming);
    let Some(open) = job.and_then(|job| job.open_attempt(attempt)) else {
        counters.stray += 1;
        return None;
    };
    open.is_open = false;
    let latency = micros(open.latency_ms(now_ms));
    Some(EndedAttempt { endpoint: open.endpoint, latency, was_streaming })
}

/// Counts an attempt that ended otherwise than served.
pub(in crate::core) fn count_unserved(counters: &mut Counters, ended: &EndedAttempt, outcome: Outcome) {
    if outcome.never_ran() && !ended.was_streaming {
        counters.never_ran += 1;
    } else {
        counters.may_have_run += 1;
    }
}

/// All of an attempt's request is at its endpoint: counted once, however often a frontend tells it.
pub(in crate::core) fn request_sent(jobs: &mut Jobs, statistics: &mut Statistics, id: JobId, attempt: usize) {
    let attempt = jobs.get_mut(id).and_then(|job| job.attempts.get_mut(attempt));
    if let Some(attempt) = attempt.filter(|attempt| !attempt.request_sent) {
        attempt.request_sent = true;
        statistics.telemetry.written();
    }
}

/// The last of a request that was relayed as it came is at its endpoint, which is waited for from now on.
pub(in crate::core) fn body_relayed(jobs: &mut Jobs, now_ms: f64, id: JobId, attempt: usize) {
    let open = jobs.get_mut(id).and_then(|job| job.open_attempt(attempt));
    if let Some(open) = open.filter(|open| open.response_started_at_ms.is_none()) {
        open.sent_at_ms = now_ms;
    }
}

/// How the start of an attempt's response was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum ResponseStart {
    /// The attempt is over, and its response must not be passed on.
    Stale,
    /// It is the first news of it: from now on the job has no deadline.
    First,
    /// It was known.
    Repeated,
}

/// The response of an attempt has begun, and is relayed as it comes.
pub(in crate::core) fn response_started(
    jobs: &mut Jobs,
    now_ms: f64,
    id: JobId,
    attempt: usize,
) -> ResponseStart {
    let Some(job) = jobs.unfinished_mut(id) else { return ResponseStart::Stale };
    let Some(open) = job.open_attempt(attempt) else { return ResponseStart::Stale };
    open.response_started_at_ms.get_or_insert(now_ms);
    match std::mem::replace(&mut job.phase, JobPhase::Streaming) {
        JobPhase::Streaming => ResponseStart::Repeated,
        JobPhase::Open | JobPhase::Finished => ResponseStart::First,
    }
}

/// The client has left: nothing is owed for its job any more. None where nothing was.
pub(in crate::core) fn client_left(
    jobs: &mut Jobs,
    counters: &mut Counters,
    id: JobId,
) -> Option<JobRequest> {
    let request = jobs.finish(id)?;
    counters.left += 1;
    Some(request)
}
