//! Send: turns the router's send, cancel, probe and subscribe actions into commands for the frontend, and
//! records attempts.

use std::collections::VecDeque;

use crate::core::command::Command;
use crate::core::counters::Counters;
use crate::core::job::Attempt;
use crate::core::jobs::Jobs;
use crate::routing::{EndpointId, JobId};

/// Records an attempt and queues the command that sends it.
pub(in crate::core) fn start_attempt(
    jobs: &mut Jobs,
    counters: &mut Counters,
    commands: &mut VecDeque<Command>,
    now_ms: f64,
    id: JobId,
    endpoint: EndpointId,
) {
    let Some(job) = jobs.unfinished_mut(id) else { return };
    let attempt = job.attempts.len();
    job.attempts.push(Attempt::new(endpoint, now_ms));
    counters.sent += 1;
    commands.push_back(Command::Send { job: id, attempt, endpoint });
}

/// Cancels an attempt. The core treats it as ended from now on.
pub(in crate::core) fn cancel_attempt(
    jobs: &mut Jobs,
    counters: &mut Counters,
    commands: &mut VecDeque<Command>,
    id: JobId,
    attempt: usize,
) {
    let Some(open) = jobs.get_mut(id).and_then(|job| job.open_attempt(attempt)) else { return };
    open.is_open = false;
    counters.cancelled += 1;
    commands.push_back(Command::Cancel { job: id, attempt });
}

/// Queues a probe of an endpoint.
pub(in crate::core) fn probe(
    counters: &mut Counters,
    commands: &mut VecDeque<Command>,
    endpoint: EndpointId,
) {
    counters.probes += 1;
    commands.push_back(Command::Probe { endpoint });
}

/// Queues a subscription to the endpoint list.
pub(in crate::core) fn subscribe(commands: &mut VecDeque<Command>) {
    commands.push_back(Command::Subscribe);
}
