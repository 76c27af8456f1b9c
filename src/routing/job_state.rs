//! State kept for a job and its attempts until the job's final answer.

use super::endpoint_state::EndpointIndex;
use super::types::{HoldReason, Idempotency, Job, Micros};

/// One attempt of a job at an endpoint.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointIndex,
    pub(super) sent_at: Micros,
    /// The last start time of the endpoint, as known when the attempt was sent.
    pub(super) endpoint_started_at: Micros,
    pub(super) in_flight: bool,
    /// Whether a slot was expected to be free when the attempt was sent.
    pub(super) had_free_slot: bool,
    pub(super) started: bool,
    /// Whether the attempt is known never to have run.
    pub(super) never_ran: bool,
    /// Whether the endpoint may report events of the attempt after its end: the attempt was cancelled, or its
    /// endpoint repeats events until they are acknowledged. The job does not return to its endpoint, where
    /// such an event would be taken for one of the later attempt.
    pub(super) may_report_late: bool,
}

impl Attempt {
    /// Creates an attempt that is sent now.
    pub(super) fn new(
        endpoint: EndpointIndex,
        sent_at: Micros,
        endpoint_started_at: Micros,
        had_free_slot: bool,
    ) -> Attempt {
        Attempt {
            endpoint,
            sent_at,
            endpoint_started_at,
            had_free_slot,
            in_flight: true,
            started: false,
            never_ran: false,
            may_report_late: false,
        }
    }
}

/// An endpoint that a job may be sent to, and how far its queue is past k.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) queue_excess: f64,
    pub(super) endpoint: EndpointIndex,
}

/// Progress of a job's search for an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Search {
    /// Position in the subset that the next step tries.
    pub(super) next_position: usize,
    /// Number of endpoints tried.
    pub(super) steps: usize,
    /// The best endpoint tried.
    pub(super) best: Option<Candidate>,
}

impl Search {
    /// Records an endpoint that was tried. Among equally good endpoints, the first remains the best.
    pub(super) fn consider(&mut self, endpoint: EndpointIndex, queue_excess: f64) {
        let better = self.best.filter(|best| best.queue_excess <= queue_excess);
        self.best = better.or(Some(Candidate { queue_excess, endpoint }));
    }

    /// Starts the search again from the current position.
    pub(super) fn restart(&mut self) {
        (self.steps, self.best) = (0, None);
    }
}

/// A job without a final answer.
#[derive(Debug)]
pub(super) struct PendingJob {
    pub(super) job: Job,
    /// Whether the job may run more than once. It stays as it was on arrival if a configuration reload
    /// changes it for the job's class.
    pub(super) idempotency: Idempotency,
    pub(super) arrived_at: Micros,
    /// Key of the job in the queue of held jobs.
    pub(super) held_key: Micros,
    /// Index of the cycle that the job is routed by.
    pub(super) cycle: usize,
    pub(super) attempts: Vec<Attempt>,
    /// Whether the job waits for an endpoint: it is searching, or it is held.
    pub(super) is_waiting: bool,
    pub(super) search: Search,
    /// Distinguishes the newest timer of the job's search from older ones.
    pub(super) search_count: u32,
    /// The reason for which the job is held, as last reported to the caller.
    pub(super) reported_hold_reason: Option<HoldReason>,
    /// Whether the response to the job has begun.
    pub(super) streaming: bool,
}

impl PendingJob {
    /// Creates a job that has just arrived. Its search begins at `next_position` in the subset.
    pub(super) fn new(
        job: Job,
        idempotency: Idempotency,
        arrived_at: Micros,
        cycle: usize,
        next_position: usize,
    ) -> PendingJob {
        PendingJob {
            job,
            idempotency,
            arrived_at,
            held_key: 0,
            cycle,
            attempts: Vec::new(),
            is_waiting: true,
            search: Search { next_position, ..Search::default() },
            search_count: 0,
            reported_hold_reason: None,
            streaming: false,
        }
    }

    /// Returns the first attempt that is not known never to have run.
    pub(super) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_ran)
    }

    /// Returns whether an earlier attempt keeps the job from returning to an endpoint.
    pub(super) fn is_excluded(&self, endpoint: EndpointIndex) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_report_late && attempt.endpoint == endpoint)
    }

    /// Makes the job wait for an endpoint again.
    pub(super) fn wait_again(&mut self) {
        self.is_waiting = true;
        self.search.restart();
    }
}
