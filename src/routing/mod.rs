//! The decision module: selects an endpoint for each job and decides on retries and rejections.
//!
//! The module keeps one dispatcher's knowledge of endpoints, pending jobs and their attempts. Clock, sockets
//! and sending belong to the caller: it passes events to [`Router::handle`], which appends [`Action`]s to a
//! list for the caller to carry out. The caller must report every end of an attempt and every result of a
//! probe that was requested, must call `handle` at each time named by [`Action::WakeAt`], and must never let
//! its clock run backwards.
//!
//! Routing is cyclic with overflow (Boel and van Schuppen, 1988): the job count indexes an evenly
//! interleaved period, in which each endpoint has turns in proportion to its size. A job whose scheduled
//! endpoint has a queue longer than the threshold k overflows to the next endpoint in a fixed order.
//!
//! | file | responsibility |
//! | --- | --- |
//! | `types` | settings, events, actions and ids: the caller's interface |
//! | `router` | dispatches events and timers to the decisions |
//! | `timers` | when the caller has to call again |
//! | `endpoint_list` | which endpoints exist, and when the list is requested |
//! | `list_freshness` | whether the list may be used now, and why not |
//! | `reachability` | whether failed and late calls show that discovery cannot be reached |
//! | `cycle` | the interleaved cycle, its subset, and the scheduled endpoint of a job |
//! | `spread` | low-discrepancy points that spread dispatchers and turns evenly |
//! | `overflow` | which endpoint a job is sent to, probed at or held for |
//! | `load_estimate` | how far an endpoint's queue is past k |
//! | `service_time` | how long jobs run and wait at an endpoint |
//! | `slow_start` | how many jobs a recently started endpoint may get |
//! | `ejection` | ejects endpoints after failures and evaluates probe results |
//! | `attempts` | what the start and the end of an attempt change |
//! | `retries` | whether a job may run again: idempotency, start timeouts, final answers |
//! | `held_jobs` | the queue of held jobs, and which of them gets a freed slot |
//! | `endpoint_state`, `job_state` | state kept for an endpoint, and for a job |
//! | `warm_state` | state handed over to the process that replaces this one |
//!
//! All times are in microseconds; running means of times are `f64`.

mod attempts;
mod cycle;
mod ejection;
mod endpoint_list;
mod endpoint_state;
mod held_jobs;
mod job_state;
mod list_freshness;
mod load_estimate;
mod overflow;
mod reachability;
mod retries;
mod router;
mod service_time;
mod slow_start;
mod spread;
mod timers;
mod types;
mod warm_state;

pub use list_freshness::{ListFreshness, ListState, PredecessorList, UnconfirmedReason};
pub use reachability::CallFailure;
pub use router::Router;
pub use types::*;
pub use warm_state::WarmState;

/// Maximum number of endpoints on a list and in a warm state: twice the largest planned fleet.
pub const MAX_ENDPOINTS: usize = 32_768;
