//! Route: passes events to the routers. All events for a router and all its actions pass through this stage.

use crate::core::clock::micros;
use crate::core::job::JobRequest;
use crate::core::partition::PartitionId;
use crate::core::routers::Routers;
use crate::routing::{Action, Event, Job, JobId, Micros};

/// Hands one event to the router of a partition and collects its actions, except for wake-ups, which
/// [`Routers`] keeps.
pub(in crate::core) fn route(
    routers: &mut Routers,
    partition: PartitionId,
    now: Micros,
    event: Event<'_>,
    actions: &mut Vec<Action>,
) {
    routers.handle(partition, now, event, actions);
}

/// Returns the event that announces a job to the router.
pub(in crate::core) fn job_event(id: JobId, request: &JobRequest) -> Event<'static> {
    Event::Job(Job {
        id,
        class: request.class,
        deadline: micros(request.deadline_ms),
        slots: request.slots,
        work: request.work_ms.map(micros),
    })
}
