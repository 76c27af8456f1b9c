//! Input and output types of the decision module: settings, events, actions and ids.
//!
//! This file contains no decisions. Times are microseconds on the caller's clock, which may start at any
//! value and must never run backwards.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Id of an endpoint, stable across restarts of the endpoint's process. Ids are only compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// Id of a job, unique within this dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// Configuration of a dispatcher, set by the operator.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of this dispatcher, counted from 0.
    pub number: u32,
    /// Number of dispatchers in the fleet.
    pub dispatchers: u32,
    /// Zone of this dispatcher.
    pub zone: u16,
    /// Timer resolution: the shortest time between two calls of `handle` with different `now`.
    pub quantum: Micros,
    /// The job classes. A job refers to its class by index.
    pub classes: Vec<Class>,
    /// Whether listed sizes shrink as an endpoint fills up, so that only the highest one shows its speed.
    pub live_sizes: bool,
    /// Whether the endpoint list is obtained by subscribing to discovery.
    pub must_subscribe: bool,
    /// Operations that the dispatcher is allowed to use.
    pub capabilities: Capabilities,
    /// Whether sending a job to another zone has a cost.
    pub zones_cost: bool,
    /// Limits from the service rules.
    pub rules: ServiceRules,
    /// Whether endpoints report when a job starts.
    pub reports_start: bool,
    /// Whether endpoints report their load. If not, a probe shows nothing that a job would not show.
    pub reports_load: bool,
}

impl Settings {
    /// Number of dispatchers above which the jobs that other dispatchers send to an endpoint between two of
    /// its load reports outweigh what the report says.
    pub const LARGE_FLEET: u32 = 16;
    /// Processing time that discovery has for one call; the calls of all dispatchers share it.
    pub const POLL_COST: Micros = 80_000;
    /// A list change counts as announced this long after discovery had it and was reachable, even if the
    /// call that should have delivered it failed. Each dispatcher of a large fleet calls once in this
    /// period; discovery needs little more than that to serve the calls of all.
    pub const NOTIFICATION_BOUND: Micros = 6_000_000;
    /// Whether the fleet has more than `LARGE_FLEET` dispatchers.
    pub fn is_large_fleet(&self) -> bool {
        self.dispatchers > Settings::LARGE_FLEET
    }

    /// Whether load reports, if there are any, say little about an endpoint's present load.
    pub fn stale_reports(&self) -> bool {
        self.is_large_fleet() || self.lacks_load_reports()
    }

    /// Whether the starts and ends of own attempts are the only evidence of an endpoint's load.
    pub fn lacks_load_reports(&self) -> bool {
        self.reports_start && !self.reports_load
    }
}

/// A class of jobs.
#[derive(Clone, Debug)]
pub struct Class {
    /// How long a job may wait for its endpoint and still meet the latency objective.
    pub latency_objective: Micros,
    /// Multiple of the job's own work by which the objective is extended.
    pub stretch: f64,
    /// Value of the class's jobs, relative to the other classes.
    pub priority_weight: f64,
    /// Fraction of a job's value that remains if the answer is late; 0 means none.
    pub late_value: f64,
    /// Whether a job may run more than once.
    pub idempotency: Idempotency,
    /// The only kind of endpoint that runs these jobs; `None` means any kind.
    pub kind: Option<u16>,
}

/// Whether a job may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Repeats are safe only within a group of endpoints that deduplicates them, for a limited time after
    /// the first attempt that may have run.
    Keyed {
        /// The group of endpoints that deduplicates by key.
        scope: DeduplicationScope,
        /// How long the group remembers a key.
        window: Micros,
    },
    /// Never.
    NotIdempotent,
}

/// A group of endpoints that deduplicates repeats of a keyed job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// Operations that a dispatcher may use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Capabilities {
    /// Maximum number of attempts for one job.
    pub max_attempts: usize,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether cancelling an attempt that has not started is assumed to free its place at the endpoint.
    pub cancel_frees_slot: bool,
    /// Whether endpoints may be probed.
    pub may_probe: bool,
}

/// Limits that a dispatcher must keep.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRules {
    /// Fraction of its capacity that an endpoint has when it starts.
    pub initial_capacity: f64,
    /// Time after its start at which an endpoint has its full capacity.
    pub warm_up: Micros,
    /// Multiple of its current capacity that overloads an endpoint that is still warming up.
    pub overload_multiple: f64,
    /// The window over which the load that may exceed `overload_multiple` is counted.
    pub overload_window: Micros,
    /// If the list must be subscribed to, the time within which discovery must be asked.
    pub poll_within: Micros,
    /// How long jobs may still be sent to an endpoint once it is known to drain or to be gone.
    pub drain_grace: Micros,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Kind of the endpoint.
    pub kind: u16,
    /// Zone of the endpoint.
    pub zone: u16,
    /// Cell of the endpoint.
    pub cell: u32,
    /// Listed size, relative to the sizes of other endpoints.
    pub size: f64,
    /// When the endpoint last started; 0 means long ago.
    pub started_at: Micros,
    /// Whether the endpoint takes new work.
    pub status: EndpointStatus,
}

/// Status of an endpoint on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Takes new work.
    #[default]
    Ready,
    /// Finishes its work and takes no more.
    Draining,
    /// Removed from the list.
    Gone,
}

/// A job that has arrived.
#[derive(Clone, Copy, Debug, Default)]
pub struct Job {
    /// Id of the job.
    pub id: JobId,
    /// Index of the job's class.
    pub class: usize,
    /// Time at which the client stops waiting for this request.
    pub deadline: Micros,
    /// Number of slots that the job occupies.
    pub slots: f64,
    /// Expected work reported by the client, in time on a core of speed 1; `None` if it reported none.
    pub work: Option<Micros>,
}

/// Load reported by an endpoint; a value that was not reported is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of free slots.
    pub free_slots: Option<f64>,
    /// Number of requests held, running and waiting.
    pub held: Option<f64>,
    /// Number of requests waiting.
    pub queue: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered successfully.
    Served,
    /// The endpoint answered with an error; the job may have run.
    Error,
    /// The endpoint refused the attempt before starting it; the job never ran.
    Full,
    /// The job itself cannot be served, so that trying another endpoint would not help.
    NoRetry,
    /// No answer in time; the job may have run or may still be running.
    TimedOut,
    /// No connection; the job never ran.
    Unreachable,
    /// The connection broke; the job may have run.
    Reset,
    /// Cancelled; the job may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// Any other end; the job may have run.
    Unknown,
}

impl Outcome {
    /// Returns whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::NotSent)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Id of the job.
    pub job: JobId,
    /// Number of the attempt: the job's `Send` actions, counted from 0.
    pub attempt: usize,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub latency: Micros,
    /// Whether the job is over, answered by this outcome or an earlier one.
    pub finished: bool,
    /// Whether the endpoint may report events of the attempt after this end, which could not be told from
    /// events of a later attempt of the job there.
    pub may_report_late: bool,
    /// Load reported by the endpoint.
    pub report: LoadReport,
}

/// An input of the decision module.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The complete list; endpoints that are not on it are gone.
    List(&'a [Endpoint]),
    /// List entries that have changed.
    Changes(&'a [Endpoint]),
    /// The list that this dispatcher held before it was restarted.
    Cached(&'a [Endpoint]),
    /// A call for the list failed, or the subscription broke.
    ListFailed {
        /// Whether the call may be retried at once, because it used none of discovery's processing time.
        is_cheap: bool,
    },
    /// Whether attempts may be made with the current list, from now on.
    AttemptsAllowed(bool),
    /// The list is to be requested now, without waiting for this dispatcher's time slot.
    ListWanted,
    /// A job has arrived.
    Job(Job),
    /// The client of this job has disconnected and needs no answer.
    ClientLeft(JobId),
    /// An attempt has ended.
    Ended(AttemptEnd),
    /// An endpoint has started an attempt.
    Started {
        /// Id of the job.
        job: JobId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// The response to an attempt has begun. It goes to the client, and the job's deadline no longer
    /// applies.
    Streaming(JobId),
    /// A probe has ended.
    Probed {
        /// The endpoint that was probed.
        endpoint: EndpointId,
        /// Whether the endpoint answered.
        answered: bool,
        /// Time since the probe was sent.
        latency: Micros,
        /// Load reported by the endpoint.
        report: LoadReport,
    },
    /// A time requested by `WakeAt` has been reached.
    Wake,
}

/// Why a job is held in the dispatcher instead of being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// The current list may not be used for attempts.
    ListUnusable,
    /// No listed endpoint runs this kind of job.
    NoEndpoint,
    /// Endpoints are ejected after failures.
    Ejected,
    /// Endpoints that are warming up have no slow-start token left.
    SlowStart,
    /// Endpoints are already being probed for other jobs.
    Probed,
    /// The job may not run at these endpoints after its earlier attempts.
    RetryForbidden,
    /// The job would be late in every queue.
    QueueFull,
}

impl HoldReason {
    /// All reasons, in the order of their counters.
    pub const ALL: [HoldReason; 7] = [
        HoldReason::ListUnusable,
        HoldReason::NoEndpoint,
        HoldReason::Ejected,
        HoldReason::SlowStart,
        HoldReason::Probed,
        HoldReason::RetryForbidden,
        HoldReason::QueueFull,
    ];

    /// Returns the reason's label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            HoldReason::ListUnusable => "list",
            HoldReason::NoEndpoint => "no_endpoint",
            HoldReason::Ejected => "ejected",
            HoldReason::SlowStart => "slow_start",
            HoldReason::Probed => "probed",
            HoldReason::RetryForbidden => "retry",
            HoldReason::QueueFull => "queue",
        }
    }
}

/// An output of the decision module, which the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a job to an endpoint.
    Send {
        /// Id of the job.
        job: JobId,
        /// The endpoint to send the attempt to.
        endpoint: EndpointId,
    },
    /// Cancel an attempt.
    Cancel {
        /// Id of the job.
        job: JobId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Final answer: the job was not done, and retrying it is safe.
    Reject {
        /// Id of the job.
        job: JobId,
        /// How long the client should wait before a retry; 0 means no advice.
        retry_after: Micros,
    },
    /// Final answer: the job failed and may or may not have run.
    Fail {
        /// Id of the job.
        job: JobId,
    },
    /// Probe an endpoint.
    Probe {
        /// The endpoint to probe.
        endpoint: EndpointId,
    },
    /// A job is held from now on, or its reason has changed. The caller has nothing to do.
    Hold {
        /// Id of the job.
        job: JobId,
        /// Why the job is held. If all endpoints tried were skipped, the reason for the first of them.
        reason: HoldReason,
    },
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Call `handle` with `Event::Wake` at this time. A later `WakeAt` does not cancel an earlier one.
    WakeAt(Micros),
}
