//! Commands from the core to its frontend.

use super::job::FinalAnswer;
use crate::routing::{EndpointId, JobId};

/// An operation that the frontend must carry out. Commands are carried out in the order in which they are
/// returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt to an endpoint.
    Send {
        /// The job.
        job: JobId,
        /// Index of the attempt within the job, from 0.
        attempt: usize,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Cancel an attempt. The core already treats it as ended.
    Cancel {
        /// The job.
        job: JobId,
        /// Index of the attempt within the job.
        attempt: usize,
    },
    /// Send a job's only final answer to its client.
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
    /// Subscribe to the endpoint list.
    Subscribe,
}
