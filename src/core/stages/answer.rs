//! Answer: records a job's final answer, of which there is at most one per job.

use std::collections::VecDeque;

use crate::core::command::Command;
use crate::core::job::FinalAnswer;
use crate::core::jobs::Jobs;
use crate::core::statistics::Statistics;
use crate::routing::JobId;

/// Records a job's final answer and queues the command for it. Has no effect if the job already has one.
pub(in crate::core) fn answer(
    jobs: &mut Jobs,
    statistics: &mut Statistics,
    commands: &mut VecDeque<Command>,
    id: JobId,
    answer: FinalAnswer,
) {
    let Some(request) = jobs.finish(id) else { return };
    statistics.count_answer(request.class, &answer);
    commands.push_back(Command::Answer { job: id, answer });
}
