//! The decision module: which endpoint gets a job, whether it is tried again, and what is rejected.
//!
//! It owns what one dispatcher knows of endpoints, of jobs that are not over and of their attempts. It leaves
//! to its caller the clock, the sockets and the sending: events come in by [`Router::handle`], which adds
//! [`Action`]s to a list that the caller carries out. A caller must report every end of an attempt and every
//! probe that it was asked for, must call `handle` at the times that [`Action::WakeAt`] names, and must never
//! let its clock run backwards.
//!
//! The routing is cyclic routing with overflow (Boel and van Schuppen, 1988): the job count indexes an evenly
//! interleaved period, in which each endpoint has turns in proportion to its size. A job whose scheduled
//! endpoint has a queue past the threshold k overflows to the next endpoint in a fixed order.
//!
//! | file | decision |
//! | --- | --- |
//! | `types` | settings, events, actions and ids: the vocabulary of the callers |
//! | `router` | which decision an event or a timer calls for |
//! | `timers` | when the caller has to call again |
//! | `endpoint_list` | which endpoints there are, and when the list is asked for |
//! | `list_freshness` | whether the list may be used now, and why not |
//! | `cycle` | the interleaved cycle, its subset, and the scheduled endpoint of a job |
//! | `spread` | points that spread dispatchers and turns evenly |
//! | `overflow` | which endpoint a job is sent to, probed at or held for |
//! | `load_estimate` | how far an endpoint's queue is past k |
//! | `service_time` | how long jobs run and wait at an endpoint |
//! | `slow_start` | how much an endpoint that has just started may get |
//! | `ejection` | which endpoints lose their turns after failures, and what a probe shows |
//! | `attempts` | what the start and the end of an attempt change |
//! | `retries` | whether a job may run again: idempotency, start timeouts, final answers |
//! | `held_jobs` | the queue of jobs that wait here, and who gets a freed slot |
//! | `endpoint_state`, `job_state` | what is remembered of an endpoint, and of a job |
//! | `warm_state` | what is handed to the process that replaces this one |
//!
//! All times are microseconds, also those that are `f64` since they are running means.

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
mod retries;
mod router;
mod service_time;
mod slow_start;
mod spread;
mod timers;
mod types;
mod warm_state;

pub use list_freshness::{CallFailure, ListFreshness, ListState, PredecessorList, UnconfirmedReason};
pub use router::Router;
pub use types::*;
pub use warm_state::WarmState;

/// Most endpoints that a list, and what was learned of them, may name: twice the largest fleet that is
/// planned for.
pub const MAX_ENDPOINTS: usize = 32_768;
