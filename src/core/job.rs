//! What a frontend hands in, what its client gets in the end, and what the core keeps of a job in between.

use super::partition::PartitionId;
use crate::routing::EndpointId;

/// A request as a frontend hands it in.
#[derive(Clone, Copy, Debug)]
pub struct JobRequest {
    /// Its class, by index in the settings.
    pub class: usize,
    /// When its client gives up, in milliseconds of the core's clock.
    pub deadline_ms: f64,
    /// Slots that it takes at its endpoint.
    pub slots: f64,
    /// Work that the client expects it to be, in milliseconds on a core of speed 1; none where it is not told.
    pub work_ms: Option<f64>,
    /// The partition of the endpoints that it may be sent to; 0 for all of them.
    pub partition: PartitionId,
}

/// The one final answer to a job.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// It was served, with the endpoint's result.
    Served(Vec<u8>),
    /// It was rejected: trying again does no harm.
    Rejected {
        /// Advice when to come back, in milliseconds; 0 for no advice.
        retry_after_ms: f64,
    },
    /// It failed; nothing is promised.
    Failed,
}

/// One attempt of a job at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// Whether it has not ended yet.
    pub is_open: bool,
    /// When it was sent; where a body is relayed as it comes, when the last of it was.
    pub(super) sent_at_ms: f64,
    /// When its response began, where that is relayed as it comes.
    pub(super) response_started_at_ms: Option<f64>,
    /// Whether its request is complete at the endpoint, and counted so.
    pub(super) request_sent: bool,
}

impl Attempt {
    /// An attempt that is sent at `now_ms`.
    pub(super) fn new(endpoint: EndpointId, now_ms: f64) -> Attempt {
        Attempt {
            endpoint,
            is_open: true,
            sent_at_ms: now_ms,
            response_started_at_ms: None,
            request_sent: false,
        }
    }

    /// How long the endpoint took, by `now_ms`. A long response ends at the pace of its client, so that only the time to its
    /// beginning is the endpoint's.
    pub(super) fn latency_ms(&self, now_ms: f64) -> f64 {
        self.response_started_at_ms.unwrap_or(now_ms) - self.sent_at_ms
    }
}

/// How far a job has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobPhase {
    /// It is owed a final answer.
    Open,
    /// Its response has begun to be relayed: as that attempt ends, so does the job.
    Streaming,
    /// It has had its final answer, or its client has left.
    Finished,
}

/// A job from the time it is taken until its one final answer.
#[derive(Debug)]
pub struct ActiveJob {
    /// What was asked.
    pub request: JobRequest,
    /// Its attempts; the router counts them in the same order.
    pub attempts: Vec<Attempt>,
    pub(super) phase: JobPhase,
}

impl ActiveJob {
    /// A job that has just been admitted.
    pub(super) fn new(request: JobRequest) -> ActiveJob {
        ActiveJob { request, attempts: Vec::new(), phase: JobPhase::Open }
    }

    /// An attempt that has not ended.
    pub(super) fn open_attempt(&mut self, attempt: usize) -> Option<&mut Attempt> {
        self.attempts.get_mut(attempt).filter(|attempt| attempt.is_open)
    }
}
