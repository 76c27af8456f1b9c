//! Book: a session's one final answer, and its end.

use crate::core::{Command, Core, FinalAnswer};
use crate::routing::JobId;
use crate::telemetry::Disposition;

/// Gives a session its final answer. Only the first counts.
pub fn answer(core: &mut Core, id: JobId, verdict: FinalAnswer) {
    let Some(session) = core.jobs.get_mut(&id).filter(|s| !s.over) else { return };
    session.over = true;
    let class = session.request.class;
    core.ended.push(id);
    let result = match verdict {
        FinalAnswer::Served(_) => {
            core.counters.served += 1;
            Disposition::Completed
        }
        FinalAnswer::Rejected { .. } => {
            core.counters.denied += 1;
            Disposition::Rejected
        }
        FinalAnswer::Failed => {
            core.counters.failed += 1;
            Disposition::Failed
        }
    };
    core.telemetry.answered(class, result);
    core.commands.push_back(Command::Answer { job: id, answer: verdict });
}

/// Forgets sessions that are over, once the module has called off their other dispatches.
pub fn forget(core: &mut Core) {
    let mut gone = false;
    for id in core.ended.drain(..) {
        let session = core.jobs.remove(&id);
        let pool = session.and_then(|session| core.partitions.get_mut(&session.request.partition));
        if let Some(pool) = pool {
            pool.open -= 1;
            // The last request of a pool that no rule leads to any more.
            gone |= pool.open == 0 && !pool.wanted;
        }
    }
    if gone {
        core.drop_unused_partitions();
    }
}
