//! Complete: records the progress and the end of attempts. Repeated or late reports on an attempt that has
//! ended are counted and change nothing, so they cannot answer a job twice.

use crate::core::clock::micros;
use crate::core::counters::Counters;
use crate::core::job::{JobPhase, JobRequest};
use crate::core::jobs::Jobs;
use crate::core::statistics::Statistics;
use crate::routing::{EndpointId, JobId, Micros, Outcome};

/// Details of an attempt that has just ended.
pub(in crate::core) struct EndedAttempt {
    pub(in crate::core) endpoint: EndpointId,
    /// Response time of the endpoint.
    pub(in crate::core) latency: Micros,
    /// Whether its response had started streaming to the client, so that no other answer is possible.
    pub(in crate::core) was_streaming: bool,
    /// Whether the endpoint may report its events again.
    pub(in crate::core) may_report_late: bool,
}

/// Ends an attempt. Returns `None` if it had already ended.
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
    let may_report_late = open.may_report_late;
    Some(EndedAttempt { endpoint: open.endpoint, latency, was_streaming, may_report_late })
}

/// Records that the endpoint of an open attempt may report the attempt's events after its end.
pub(in crate::core) fn expect_late_reports(jobs: &mut Jobs, id: JobId, attempt: usize) {
    if let Some(open) = jobs.get_mut(id).and_then(|job| job.open_attempt(attempt)) {
        open.may_report_late = true;
    }
}

/// Counts an attempt that ended with an outcome other than served.
pub(in crate::core) fn count_unserved(counters: &mut Counters, ended: &EndedAttempt, outcome: Outcome) {
    if outcome.never_ran() && !ended.was_streaming {
        counters.never_ran += 1;
    } else {
        counters.may_have_run += 1;
    }
}

/// Records that the whole request of an attempt was written to its endpoint. Counted once, even if the
/// frontend reports it again.
pub(in crate::core) fn request_sent(jobs: &mut Jobs, statistics: &mut Statistics, id: JobId, attempt: usize) {
    let attempt = jobs.get_mut(id).and_then(|job| job.attempts.get_mut(attempt));
    if let Some(attempt) = attempt.filter(|attempt| !attempt.request_sent) {
        attempt.request_sent = true;
        statistics.telemetry.record_request_sent();
    }
}

/// Records that a streamed request was written completely. The endpoint's response time is measured from now
/// on.
pub(in crate::core) fn body_relayed(jobs: &mut Jobs, now_ms: f64, id: JobId, attempt: usize) {
    let open = jobs.get_mut(id).and_then(|job| job.open_attempt(attempt));
    if let Some(open) = open.filter(|open| open.response_started_at_ms.is_none()) {
        open.sent_at_ms = now_ms;
    }
}

/// Result of reporting the start of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum ResponseStart {
    /// The attempt has ended; its response must not be forwarded.
    Stale,
    /// First report: from now on the job has no deadline.
    First,
    /// The start of the response was already recorded.
    Repeated,
}

/// Records that the response of an attempt has started and is streamed to the client.
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

/// Finishes the job of a client that has disconnected. Returns `None` if the job was already finished.
pub(in crate::core) fn client_left(
    jobs: &mut Jobs,
    counters: &mut Counters,
    id: JobId,
) -> Option<JobRequest> {
    let request = jobs.finish(id)?;
    counters.left += 1;
    Some(request)
}
