//! Route: the router decides. All its events pass here, and all its actions leave here.

use crate::core::clock::micros;
use crate::core::job::JobRequest;
use crate::core::partition::PartitionId;
use crate::core::routers::Routers;
use crate::routing::{Action, Event, Job, JobId, Micros};

/// Hands one event to the router of a partition and gives its actions, but for wake-ups, which the routers keep.
pub(in crate::core) fn route(
    routers: &mut Routers,
    partition: PartitionId,
    now: Micros,
    event: Event<'_>,
    actions: &mut Vec<Action>,
) {
    routers.handle(partition, now, event, actions);
}

/// A job as the router is told of it.
pub(in crate::core) fn job_event(id: JobId, request: &JobRequest) -> Event<'static> {
    Event::Job(Job {
        id,
        class: request.class,
        deadline: micros(request.deadline_ms),
        slots: request.slots,
        work: request.work_ms.map(micros),
    })
}
