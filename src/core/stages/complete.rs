//! Relay: what becomes of a dispatch goes to the module, and a result to the client.

use crate::core::stages::{answer, route};
use crate::core::{Core, FinalAnswer, TrafficEvent, micros, millis, traffic_split};
use crate::routing::{AttemptEnd, Event, JobId, LoadReport, Outcome};

/// The end of a dispatch. One that is over already is counted and changes nothing, so that news that repeat or
/// come late cannot answer a session twice.
pub fn ended(
    core: &mut Core,
    id: JobId,
    attempt: usize,
    outcome: Outcome,
    report: LoadReport,
    result: Vec<u8>,
) -> bool {
    let now = core.clock.now();
    let session = core.jobs.get_mut(&id).filter(|s| !s.over);
    let Some(dispatch) = session.and_then(|s| s.attempts.get_mut(attempt)).filter(|d| d.out) else {
        core.counters.stray += 1;
        return false;
    };
    dispatch.out = false;
    dispatch.never_ran = outcome.never_ran();
    // How long its server took: the pace of a long answer is its client's as well.
    let (worker, latency) = (dispatch.endpoint, micros(dispatch.began.unwrap_or(now) - dispatch.sent));
    let streaming = core.jobs.get(&id).is_some_and(|s| s.streaming);
    if let Some(steer) = &mut core.traffic_split
        && let Some(end) = traffic_split::end(outcome)
        && let Some(server) = core.endpoints.get(worker)
    {
        steer.note(TrafficEvent::Ended { zone: server.line.endpoint.zone, end, took: millis(latency) });
    }
    match outcome {
        Outcome::Served => answer::answer(core, id, FinalAnswer::Served(result)),
        // Bytes of the answer are out: nothing else can follow.
        _ if streaming => {
            core.counters.may_have_run += 1;
            answer::answer(core, id, FinalAnswer::Failed);
        }
        _ if outcome.never_ran() => core.counters.never_ran += 1,
        _ => core.counters.may_have_run += 1,
    }
    let finished = outcome == Outcome::Served || streaming;
    let job = id;
    route::drive_of(
        core,
        id,
        Event::Ended(AttemptEnd { job, attempt, endpoint: worker, outcome, latency, finished, report }),
    );
    true
}

/// The start of a dispatch's job.
pub fn started(core: &mut Core, id: JobId, attempt: usize) {
    let dispatch = core.jobs.get(&id).and_then(|s| s.attempts.get(attempt));
    if dispatch.is_some_and(|d| d.out) {
        route::drive_of(core, id, Event::Started { job: id, attempt });
    }
}

/// All of a dispatch's request is with its server, which is waited for from now on.
pub fn written(core: &mut Core, id: JobId, attempt: usize) {
    whole(core, id, attempt);
    let now = core.clock.now();
    let dispatch = core.jobs.get_mut(&id).and_then(|s| s.attempts.get_mut(attempt));
    if let Some(dispatch) = dispatch.filter(|d| d.out && d.began.is_none()) {
        dispatch.sent = now;
    }
}

/// A dispatch's request is with its server, all of it: counted once, however often a front tells it.
pub fn whole(core: &mut Core, id: JobId, attempt: usize) {
    let dispatch = core.jobs.get_mut(&id).and_then(|s| s.attempts.get_mut(attempt));
    if let Some(dispatch) = dispatch.filter(|d| !d.whole) {
        dispatch.whole = true;
        core.telemetry.written();
    }
}

/// The answer of a dispatch has begun, and is relayed as it comes. False if the dispatch is over.
pub fn streaming(core: &mut Core, id: JobId, attempt: usize) -> bool {
    let now = core.clock.now();
    let Some(session) = core.jobs.get_mut(&id).filter(|s| !s.over) else { return false };
    let Some(dispatch) = session.attempts.get_mut(attempt).filter(|d| d.out) else { return false };
    dispatch.began.get_or_insert(now);
    if !std::mem::replace(&mut session.streaming, true) {
        route::drive_of(core, id, Event::Streaming(id));
    }
    true
}

/// The client has left: nothing is owed any more, and the module calls off what is out.
pub fn client_left(core: &mut Core, id: JobId) {
    let Some(session) = core.jobs.get_mut(&id).filter(|s| !s.over) else { return };
    session.over = true;
    core.ended.push(id);
    core.counters.left += 1;
    route::drive_of(core, id, Event::ClientLeft(id));
}
