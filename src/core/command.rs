//! What a frontend is to do for its core.

use super::job::FinalAnswer;
use crate::routing::{EndpointId, JobId};

/// What a frontend is to do. It carries out all commands, in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt to an endpoint.
    Send {
        /// The job.
        job: JobId,
        /// Number of the attempt within the job, from 0.
        attempt: usize,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Cancel an attempt; it has ended as far as the core goes.
    Cancel {
        /// The job.
        job: JobId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Give a job its one final answer.
    Answer {
        /// The job.
        job: JobId,
        /// The answer.
        answer: FinalAnswer,
    },
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Start a watch of the endpoint list.
    Subscribe,
}
