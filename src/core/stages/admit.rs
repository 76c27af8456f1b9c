//! Admit: rejects requests that the dispatcher cannot hold before the router sees them. No attempt has been
//! sent yet, so rejecting is safe for a job of any class.

use crate::core::job::JobRequest;
use crate::core::traffic_split::TrafficSplit;

/// Limits on open jobs and on their deadlines.
pub(in crate::core) struct AdmissionLimits {
    /// Largest number of open jobs; memory is planned for this many.
    pub(in crate::core) max_jobs: usize,
    /// Whether the program is stopping and admits no new jobs.
    pub(in crate::core) is_stopping: bool,
    /// Limit on the deadlines of jobs that arrive during shutdown.
    pub(in crate::core) shutdown_deadline: Option<ShutdownDeadline>,
}

/// Limits the deadline of requests that arrive at or after `from_ms` to `until_ms`, in milliseconds of the
/// clock.
#[derive(Clone, Copy, Debug)]
pub(in crate::core) struct ShutdownDeadline {
    pub(in crate::core) from_ms: f64,
    pub(in crate::core) until_ms: f64,
}

/// Reason why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum NotAdmitted {
    /// The limit on open jobs is reached.
    JobLimitReached,
    /// The request's deadline has passed, or the program is stopping.
    ExpiredOrStopping,
    /// No zone has capacity for the request.
    NoCapacity,
}

impl NotAdmitted {
    /// Whether a retry at this dispatcher can succeed soon: capacity returns as jobs end, whereas a
    /// dispatcher that is stopping will be gone.
    pub(in crate::core) fn is_retryable(self) -> bool {
        match self {
            NotAdmitted::JobLimitReached | NotAdmitted::NoCapacity => true,
            NotAdmitted::ExpiredOrStopping => false,
        }
    }
}

/// Returns the request with its effective deadline, or the reason why it is not admitted.
pub(in crate::core) fn admit(
    limits: &AdmissionLimits,
    traffic_split: Option<&mut TrafficSplit>,
    open_jobs: usize,
    now_ms: f64,
    mut request: JobRequest,
) -> Result<JobRequest, NotAdmitted> {
    // Without this limit, a request accepted during shutdown could still be unanswered when the process is
    // killed.
    if let Some(shutdown) = limits.shutdown_deadline
        && now_ms >= shutdown.from_ms
    {
        request.deadline_ms = request.deadline_ms.min(shutdown.until_ms);
    }
    if open_jobs >= limits.max_jobs {
        return Err(NotAdmitted::JobLimitReached);
    }
    if request.deadline_ms <= now_ms || limits.is_stopping {
        return Err(NotAdmitted::ExpiredOrStopping);
    }
    // Requests beyond the capacity of all zones are rejected here, before they are sent to another zone.
    if traffic_split.is_some_and(|split| !split.admits_next()) {
        return Err(NotAdmitted::NoCapacity);
    }
    Ok(request)
}
