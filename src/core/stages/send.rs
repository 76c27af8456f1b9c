//! Send: a decision becomes a dispatch, and a command for the front.

use crate::core::{Attempt, Command, Core};
use crate::routing::{EndpointId, JobId};

/// Records a dispatch and has it sent.
pub fn send(core: &mut Core, id: JobId, server: EndpointId) {
    let sent = core.clock.now();
    let Some(session) = core.jobs.get_mut(&id).filter(|s| !s.over) else { return };
    let attempt = session.attempts.len();
    session.attempts.push(Attempt {
        endpoint: server,
        sent,
        began: None,
        out: true,
        never_ran: false,
        whole: false,
    });
    core.counters.sent += 1;
    core.commands.push_back(Command::Send { job: id, attempt, endpoint: server });
}

/// Calls a dispatch off.
pub fn cancel(core: &mut Core, id: JobId, attempt: usize) {
    let dispatch = core.jobs.get_mut(&id).and_then(|s| s.attempts.get_mut(attempt));
    let Some(dispatch) = dispatch.filter(|d| d.out) else { return };
    dispatch.out = false;
    core.counters.cancelled += 1;
    core.commands.push_back(Command::Cancel { job: id, attempt });
}

/// Has a backend server probed.
pub fn probe(core: &mut Core, server: EndpointId) {
    core.counters.probes += 1;
    core.commands.push_back(Command::Probe { endpoint: server });
}

/// Has a watch of the list started.
pub fn subscribe(core: &mut Core) {
    core.commands.push_back(Command::Subscribe);
}
