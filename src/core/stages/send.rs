//! Send: a decision becomes an attempt, and a command for the frontend.

use std::collections::VecDeque;

use crate::core::command::Command;
use crate::core::counters::Counters;
use crate::core::job::Attempt;
use crate::core::jobs::Jobs;
use crate::routing::{EndpointId, JobId};

/// Records an attempt and has it sent.
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

/// Cancels an attempt, which has ended as far as the core goes.
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

/// Has an endpoint probed.
pub(in crate::core) fn probe(
    counters: &mut Counters,
    commands: &mut VecDeque<Command>,
    endpoint: EndpointId,
) {
    counters.probes += 1;
    commands.push_back(Command::Probe { endpoint });
}

/// Has the list watched.
pub(in crate::core) fn subscribe(commands: &mut VecDeque<Command>) {
    commands.push_back(Command::Subscribe);
}
