//! Relay: what becomes of a dispatch goes to the module, and a result to the client.

use crate::api::{Ended, Event, JobId, Outcome, Report};
use crate::core::stages::{book, route};
use crate::core::{Core, SessionId, Verdict, micros};

/// The end of a dispatch. One that is over already is counted and changes nothing, so that news that repeat or
/// come late cannot answer a session twice.
pub fn ended(
    core: &mut Core,
    id: SessionId,
    attempt: usize,
    outcome: Outcome,
    report: Report,
    result: Vec<u8>,
) -> bool {
    let now = core.clock.now();
    let session = core.sessions.get_mut(&id).filter(|s| !s.over);
    let Some(dispatch) = session.and_then(|s| s.dispatches.get_mut(attempt)).filter(|d| d.out) else {
        core.counters.stray += 1;
        return false;
    };
    dispatch.out = false;
    dispatch.never_ran = outcome.never_ran();
    let (worker, latency) = (dispatch.server, micros(now - dispatch.sent));
    match outcome {
        Outcome::Served => book::answer(core, id, Verdict::Served(result)),
        _ if outcome.never_ran() => core.counters.never_ran += 1,
        _ => core.counters.may_have_run += 1,
    }
    let finished = outcome == Outcome::Served;
    let job = JobId(id);
    route::drive(core, Event::Ended(Ended { job, attempt, worker, outcome, latency, finished, report }));
    true
}

/// The start of a dispatch's job.
pub fn started(core: &mut Core, id: SessionId, attempt: usize) {
    let dispatch = core.sessions.get(&id).and_then(|s| s.dispatches.get(attempt));
    if dispatch.is_some_and(|d| d.out) {
        route::drive(core, Event::Started { job: JobId(id), attempt });
    }
}
