//! Admit: what the program itself cannot hold is rejected before the router sees it. Nothing was sent by then, so that a
//! rejection is harmless for a job of any class.

use crate::core::job::JobRequest;
use crate::core::traffic_split::TrafficSplit;

/// What a core may hold, and until when.
pub(in crate::core) struct AdmissionLimits {
    /// Most open jobs, as many as memory is planned for.
    pub(in crate::core) max_jobs: usize,
    /// Whether the program stops, and takes no new jobs.
    pub(in crate::core) is_stopping: bool,
    /// The deadline of jobs that come while the program stops.
    pub(in crate::core) shutdown_deadline: Option<ShutdownDeadline>,
}

/// What comes from one time on is to be over by another, in milliseconds of the clock.
#[derive(Clone, Copy, Debug)]
pub(in crate::core) struct ShutdownDeadline {
    pub(in crate::core) from_ms: f64,
    pub(in crate::core) until_ms: f64,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum NotAdmitted {
    /// There are as many open jobs as may be.
    Full,
    /// Its deadline has passed, or the program stops.
    TooLate,
    /// No zone has room for it.
    NoCapacity,
}

impl NotAdmitted {
    /// Whether there is room again soon: a full dispatcher has it as jobs end, and one that stops has gone by then.
    pub(in crate::core) fn is_worth_a_retry(self) -> bool {
        match self {
            NotAdmitted::Full | NotAdmitted::NoCapacity => true,
            NotAdmitted::TooLate => false,
        }
    }
}

/// Gives a request as it is admitted, or why it is not.
pub(in crate::core) fn admit(
    limits: &AdmissionLimits,
    traffic_split: Option<&mut TrafficSplit>,
    open_jobs: usize,
    now_ms: f64,
    mut request: JobRequest,
) -> Result<JobRequest, NotAdmitted> {
    // Guards against a request that is taken while the program stops and found unanswered by the kill.
    if let Some(shutdown) = limits.shutdown_deadline
        && now_ms >= shutdown.from_ms
    {
        request.deadline_ms = request.deadline_ms.min(shutdown.until_ms);
    }
    if open_jobs >= limits.max_jobs {
        return Err(NotAdmitted::Full);
    }
    if request.deadline_ms <= now_ms || limits.is_stopping {
        return Err(NotAdmitted::TooLate);
    }
    // What no zone has room for is rejected here, before it crosses a border.
    if traffic_split.is_some_and(|split| !split.admits_next()) {
        return Err(NotAdmitted::NoCapacity);
    }
    Ok(request)
}
