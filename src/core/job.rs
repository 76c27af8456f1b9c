//! Sessions and their dispatches.

use crate::routing::EndpointId;

/// What a front hands in.
#[derive(Clone, Copy, Debug)]
pub struct JobRequest {
    /// Its class, by index.
    pub class: usize,
    /// When its client gives up.
    pub deadline: f64,
    /// Slots that it takes.
    pub slots: f64,
    /// Work that the client expects it to be, in milliseconds on a core of speed 1; none: not told.
    pub work: Option<f64>,
    /// The pool of servers that it is kept to; 0: all.
    pub partition: super::PartitionId,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// Served, with the backend server's result.
    Served(Vec<u8>),
    /// Denied: trying again does no harm. Advice when to come back in milliseconds; 0: none.
    Rejected {
        /// The advice.
        retry_after: f64,
    },
    /// Failed; nothing is promised.
    Failed,
}

/// One dispatch of a session.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The backend server.
    pub endpoint: EndpointId,
    /// When it was sent; of a body that was relayed as it came, when the last of it was.
    pub sent: f64,
    /// When its answer began, where that is relayed as it comes.
    pub began: Option<f64>,
    /// It has not ended.
    pub out: bool,
    /// It is known never to have run.
    pub never_ran: bool,
    /// Its request has been written whole to the server, and counted so.
    pub whole: bool,
}

/// A request from the time it was taken until its one final answer.
#[derive(Debug)]
pub struct ActiveJob {
    /// What was asked.
    pub request: JobRequest,
    /// Its dispatches; the module counts them in the same order.
    pub attempts: Vec<Attempt>,
    /// It has had its answer, or its client left.
    pub over: bool,
    /// Its answer has begun to be relayed: what becomes of the dispatch is what becomes of the session.
    pub streaming: bool,
}
