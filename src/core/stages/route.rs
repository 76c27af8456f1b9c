//! Route: the module decides. All its events pass here, and all its actions leave here.

use crate::core::stages::{answer, send};
use crate::core::{ActiveJob, Core, FinalAnswer, JobRequest, PartitionId, micros, millis};
use crate::routing::{Action, Event, Job, JobId};

/// Hands a new session to the module.
pub fn arrive(core: &mut Core, id: JobId, request: JobRequest) {
    core.jobs.insert(id, ActiveJob { request, attempts: Vec::new(), over: false, streaming: false });
    if let Some(pool) = core.partitions.get_mut(&request.partition) {
        pool.open += 1;
    }
    let (due, work) = (micros(request.deadline), request.work.map(micros));
    let job = Job { id: id, class: request.class, deadline: due, slots: request.slots, work };
    drive_in(core, request.partition, Event::Job(job));
}

/// Drives the module of a session with one event and carries its actions on.
pub fn drive_of(core: &mut Core, session: JobId, event: Event<'_>) {
    let pool = core.jobs.get(&session).map_or(0, |session| session.request.partition);
    drive_in(core, pool, event);
}

/// Drives the module of the whole list.
pub fn drive(core: &mut Core, event: Event<'_>) {
    drive_in(core, 0, event);
}

/// Drives one module with one event and carries its actions on.
pub fn drive_in(core: &mut Core, pool: PartitionId, event: Event<'_>) {
    let now = micros(core.clock.now());
    // Any event wakes the module, which then asks anew for what is left. Guards against sessions that never end: a
    // time that has passed, kept until the next tick, would hide the later one asked for meanwhile.
    let mut actions = std::mem::take(&mut core.actions);
    let (module, wake_at) = match core.partitions.get_mut(&pool) {
        Some(pool) => (&mut pool.module, &mut pool.wake_at),
        None => (&mut core.router, &mut core.wake_at),
    };
    *wake_at = wake_at.filter(|&at| at > now);
    module.handle(now, event, &mut actions);
    for action in actions.drain(..) {
        match action {
            Action::Send { job, endpoint: worker } => send::send(core, job, worker),
            Action::Cancel { job, attempt } => send::cancel(core, job, attempt),
            Action::Reject { job, retry_after } => {
                let retry_after = millis(retry_after).min(core.site.max_retry_after);
                answer::answer(core, job, FinalAnswer::Rejected { retry_after });
            }
            Action::Fail { job } => answer::answer(core, job, FinalAnswer::Failed),
            Action::Probe { endpoint: worker } => send::probe(core, worker),
            Action::Subscribe => send::subscribe(core),
            Action::WakeAt(at) => {
                let wake_at =
                    core.partitions.get_mut(&pool).map_or(&mut core.wake_at, |pool| &mut pool.wake_at);
                *wake_at = Some(wake_at.map_or(at, |earlier| earlier.min(at)));
            }
        }
    }
    core.actions = actions;
    answer::forget(core);
}
