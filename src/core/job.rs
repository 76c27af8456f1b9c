//! Requests from frontends, final answers to clients, and the state of open jobs.

use super::partition::PartitionId;
use crate::routing::EndpointId;

/// A request submitted by a frontend.
#[derive(Clone, Copy, Debug)]
pub struct JobRequest {
    /// Class of the job, by index in the settings.
    pub class: usize,
    /// Time at which the job's client stops waiting, in milliseconds of the core's clock.
    pub deadline_ms: f64,
    /// Number of slots that the job occupies at its endpoint.
    pub slots: f64,
    /// Work that the client expects, in milliseconds on a core of speed 1; `None` if it gives no estimate.
    pub work_ms: Option<f64>,
    /// Partition that the job is restricted to; 0 for all endpoints.
    pub partition: PartitionId,
}

/// The only final answer to a job.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The job was served; contains the endpoint's result.
    Served(Vec<u8>),
    /// The job was rejected; retrying it is safe.
    Rejected {
        /// Suggested delay before a retry, in milliseconds; 0 for no suggestion.
        retry_after_ms: f64,
    },
    /// The job failed; it may or may not have run.
    Failed,
}

/// An attempt of a job at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Whether the attempt has not ended yet.
    pub is_open: bool,
    /// Time at which the attempt was sent; for a streamed body, the time at which the body was complete.
    pub(super) sent_at_ms: f64,
    /// Start of its response, if the response is streamed.
    pub(super) response_started_at_ms: Option<f64>,
    /// Whether its request was written completely and counted.
    pub(super) request_sent: bool,
    /// Whether the endpoint may report its events again after its end.
    pub(super) may_report_late: bool,
}

impl Attempt {
    /// Returns an attempt that is sent at `now_ms`.
    pub(super) fn new(endpoint: EndpointId, now_ms: f64) -> Attempt {
        Attempt {
            endpoint,
            is_open: true,
            sent_at_ms: now_ms,
            response_started_at_ms: None,
            request_sent: false,
            may_report_late: false,
        }
    }

    /// Returns the response time of the endpoint at `now_ms`. For a streamed response this is the time to its
    /// start: the rest depends on how fast the client reads.
    pub(super) fn latency_ms(&self, now_ms: f64) -> f64 {
        self.response_started_at_ms.unwrap_or(now_ms) - self.sent_at_ms
    }
}

/// Progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobPhase {
    /// The job has no final answer yet.
    Open,
    /// Its response is being streamed: the job ends when that attempt ends.
    Streaming,
    /// The job has its final answer, or its client has disconnected.
    Finished,
}

/// A job from its submission until its final answer.
#[derive(Debug)]
pub struct ActiveJob {
    /// The request.
    pub request: JobRequest,
    /// Its attempts, in the order in which the router numbers them.
    pub attempts: Vec<Attempt>,
    pub(super) phase: JobPhase,
}

impl ActiveJob {
    /// Returns a job that has just been admitted.
    pub(super) fn new(request: JobRequest) -> ActiveJob {
        ActiveJob { request, attempts: Vec::new(), phase: JobPhase::Open }
    }

    /// Returns an attempt if it has not ended.
    pub(super) fn open_attempt(&mut self, attempt: usize) -> Option<&mut Attempt> {
        self.attempts.get_mut(attempt).filter(|attempt| attempt.is_open)
    }
}
