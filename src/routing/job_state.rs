//! What is remembered of a job until its final answer, and of its attempts.

use super::endpoint_state::EndpointIndex;
use super::types::{HoldReason, Job, Micros};

/// One try of a job at an endpoint.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointIndex,
    pub(super) sent_at: Micros,
    /// When its endpoint had last started as it was sent.
    pub(super) endpoint_started_at: Micros,
    pub(super) in_flight: bool,
    pub(super) met_free_slot: bool,
    pub(super) started: bool,
    /// It is known never to have run.
    pub(super) never_ran: bool,
    /// It was cancelled as it did not start: the job does not go back there.
    pub(super) abandoned: bool,
}

impl Attempt {
    /// One that is sent now.
    pub(super) fn new(
        endpoint: EndpointIndex,
        sent_at: Micros,
        endpoint_started_at: Micros,
        met_free_slot: bool,
    ) -> Attempt {
        Attempt {
            endpoint,
            sent_at,
            endpoint_started_at,
            met_free_slot,
            in_flight: true,
            started: false,
            never_ran: false,
            abandoned: false,
        }
    }
}

/// An endpoint that a job may be sent to, and how far its queue is past k.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) queue_excess: f64,
    pub(super) endpoint: EndpointIndex,
}

/// How far a job has come in its search for an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Search {
    /// The place in the subset that its next step goes to.
    pub(super) next_position: usize,
    /// Endpoints that were tried.
    pub(super) steps: usize,
    /// The best of them.
    pub(super) best: Option<Candidate>,
}

impl Search {
    /// Takes in an endpoint that was tried; of equal ones the first stays the best.
    pub(super) fn offer(&mut self, endpoint: EndpointIndex, queue_excess: f64) {
        let better = self.best.filter(|best| best.queue_excess <= queue_excess);
        self.best = better.or(Some(Candidate { queue_excess, endpoint }));
    }

    /// Begins anew from where it stands.
    pub(super) fn restart(&mut self) {
        (self.steps, self.best) = (0, None);
    }
}

/// A job that is not over.
#[derive(Debug)]
pub(super) struct PendingJob {
    pub(super) job: Job,
    pub(super) arrived_at: Micros,
    /// Its place among the jobs that are held.
    pub(super) held_key: Micros,
    /// The cycle that it is routed by.
    pub(super) cycle: usize,
    pub(super) attempts: Vec<Attempt>,
    /// It waits for an endpoint: in a search, or held.
    pub(super) is_waiting: bool,
    pub(super) search: Search,
    /// Tells the newest timer of its search from older ones.
    pub(super) search_count: u32,
    /// Why it is held, as the caller was told.
    pub(super) held_for: Option<HoldReason>,
    /// Its answer has begun.
    pub(super) streaming: bool,
}

impl PendingJob {
    /// One that has just arrived; its search begins at a place of the subset.
    pub(super) fn new(job: Job, arrived_at: Micros, cycle: usize, next_position: usize) -> PendingJob {
        PendingJob {
            job,
            arrived_at,
            held_key: 0,
            cycle,
            attempts: Vec::new(),
            is_waiting: true,
            search: Search { next_position, ..Search::default() },
            search_count: 0,
            held_for: None,
            streaming: false,
        }
    }

    /// The first attempt that is not known never to have run.
    pub(super) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_ran)
    }

    /// It waits for an endpoint again.
    pub(super) fn wait_again(&mut self) {
        self.is_waiting = true;
        self.search.restart();
    }
}
