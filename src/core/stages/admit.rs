//! Admit: what the program itself cannot hold is denied before the module sees it.

use crate::core::{Core, FinalAnswer, JobRequest};
use crate::telemetry::Disposition;

/// Guards against more sessions than memory is planned for, and against new ones while the program stops.
/// Nothing was sent, so that a denial is harmless for any class.
pub fn admit(core: &mut Core, mut request: JobRequest) -> Result<JobRequest, FinalAnswer> {
    // Guards against a request that is taken while the program stops and found unanswered by the kill.
    if let Some((from, end)) = core.late_deadline
        && core.clock.now() >= from
    {
        request.deadline = request.deadline.min(end);
    }
    let full = core.jobs.len() >= core.max_jobs;
    let late = request.deadline <= core.clock.now();
    // What no zone has room for is refused at the near side.
    let crowded =
        !(full || late || core.stopping) && core.traffic_split.as_mut().is_some_and(|steer| !steer.takes());
    if !(full || late || core.stopping || crowded) {
        return Ok(request);
    }
    core.counters.turned_away += 1;
    core.telemetry.answered(request.class, Disposition::Rejected);
    // A full dispatcher has room again when sessions end; one that stops has gone by then.
    let retry_after = if full || crowded { core.site.max_retry_after } else { 0.0 };
    Err(FinalAnswer::Rejected { retry_after })
}
