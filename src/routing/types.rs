//! What a dispatcher is told and what it answers: settings, events, actions and ids.
//!
//! Nothing here decides anything. Times are microseconds on the caller's clock, which may start anywhere
//! and must never run backwards.

/// A time or a span, in microseconds.
pub type Micros = u64;

/// An endpoint, under an id that survives restarts of its process. Ids are only compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// A job, under an id that this dispatcher sees once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// What the operator states when a dispatcher starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of this dispatcher, from 0.
    pub number: u32,
    /// How many dispatchers there are.
    pub dispatchers: u32,
    /// Zone of this dispatcher.
    pub zone: u16,
    /// Shortest time between two calls of `handle` with different clocks.
    pub quantum: Micros,
    /// The classes of jobs; a job names one by its index.
    pub classes: Vec<Class>,
    /// True where listed sizes fall as an endpoint fills up, so that only their highest tells its speed.
    pub live_sizes: bool,
    /// True where the endpoint list has to be subscribed to.
    pub must_subscribe: bool,
    /// What is allowed.
    pub capabilities: Capabilities,
    /// True where it costs something to send a job to another zone.
    pub zones_cost: bool,
    /// Figures of the rules.
    pub rules: ServiceRules,
    /// True where endpoints tell when a job starts.
    pub reports_start: bool,
    /// True where endpoints report their load. Without, a probe tells nothing that a job would not.
    pub reports_load: bool,
}

impl Settings {
    /// Dispatchers beyond which what the others do between two reports of an endpoint outweighs what a report
    /// says.
    pub const LARGE_FLEET: u32 = 16;
    /// Time that discovery has for one call, of all dispatchers together.
    pub const POLL_COST: Micros = 80_000;
    /// A change of the list counts as told so long after discovery had it and could be reached, whatever
    /// call failed: the period in which each of many dispatchers calls once. Discovery gets through the
    /// calls of all in little more.
    pub const NOTIFICATION_BOUND: Micros = 6_000_000;
    /// Whether dispatchers are many.
    pub fn is_large_fleet(&self) -> bool {
        self.dispatchers > Settings::LARGE_FLEET
    }

    /// Whether what an endpoint reports, if anything, says little of what it holds now.
    pub fn stale_reports(&self) -> bool {
        self.is_large_fleet() || self.lacks_load_reports()
    }

    /// Whether own starts and ends are the only evidence of what endpoints hold.
    pub fn lacks_load_reports(&self) -> bool {
        self.reports_start && !self.reports_load
    }
}

/// A class of jobs.
#[derive(Clone, Debug)]
pub struct Class {
    /// How long a job may wait for its endpoint and still be in time.
    pub latency_objective: Micros,
    /// The aim grows by this multiple of the job's own work.
    pub stretch: f64,
    /// Worth of its jobs; only comparisons count.
    pub priority_weight: f64,
    /// Part of its worth that a late answer still has; 0: none.
    pub late_value: f64,
    /// Whether it may run twice.
    pub idempotency: Idempotency,
    /// The one kind of endpoint that runs it; none: any.
    pub kind: Option<u16>,
}

/// Whether a job may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Only within a group of endpoints that drops repeats, and only for a time from the first such attempt.
    Keyed {
        /// Which endpoints drop each other's repeats.
        scope: DeduplicationScope,
        /// For how long.
        window: Micros,
    },
    /// Never.
    NotIdempotent,
}

/// A group of endpoints that drops repeats of a keyed job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// What a dispatcher may do.
#[derive(Clone, Copy, Debug, Default)]
pub struct Capabilities {
    /// Attempts for one job.
    pub max_attempts: usize,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// Calling an attempt off that waits is believed to free its place.
    pub cancel_frees_slot: bool,
    /// Workers may be probed.
    pub may_probe: bool,
}

/// Figures of the rules that a dispatcher keeps.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRules {
    /// Part of its capacity that an endpoint has when it starts.
    pub initial_capacity: f64,
    /// Time by which it has all of it.
    pub warm_up: Micros,
    /// Multiple of its present capacity that pushes a cold endpoint over.
    pub overload_multiple: f64,
    /// For which it has to be sent so much: the span within which what it is sent is counted.
    pub overload_window: Micros,
    /// Where the list must be subscribed to: the time within which it must be asked.
    pub poll_within: Micros,
    /// Time from when it is known that an endpoint drains or is gone until nothing new may be sent to it.
    pub drain_grace: Micros,
}

/// A line of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Which endpoint.
    pub id: EndpointId,
    /// Its kind.
    pub kind: u16,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u32,
    /// Its listed size; only comparisons count.
    pub size: f64,
    /// When it last started; 0: long ago.
    pub started_at: Micros,
    /// Whether it takes new work.
    pub status: EndpointStatus,
}

/// State of an endpoint on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// A job that has come in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Its class.
    pub class: usize,
    /// When its client gives this try up.
    pub deadline: Micros,
    /// Slots that it takes.
    pub slots: f64,
    /// Work that the client expects it to be, as time on a core of speed 1; none: not told.
    pub work: Option<Micros>,
}

/// An endpoint's own figures; what is not reported is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Slots free.
    pub free_slots: Option<f64>,
    /// Requests held.
    pub held: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Served,
    /// The endpoint answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// The endpoint cannot use the job itself: another would not either.
    Unfit,
    /// No answer in time; it may have run or be running.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Anything else; it may have run.
    Unknown,
}

impl Outcome {
    /// True if it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::NotSent)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The job.
    pub job: JobId,
    /// Number of the attempt, from 0 in order of `Send`.
    pub attempt: usize,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Micros,
    /// The job is over: answered by this outcome or before.
    pub finished: bool,
    /// The endpoint's figures.
    pub report: LoadReport,
}

/// What a dispatcher is told.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The whole list; endpoints absent from it are gone.
    List(&'a [Endpoint]),
    /// Lines of the list that have changed.
    Changes(&'a [Endpoint]),
    /// The list as this dispatcher last held it before it was started again.
    Cached(&'a [Endpoint]),
    /// A call for the list failed, or the subscription broke.
    ListFailed {
        /// Whether the call may be made again at once: it took none of the time that discovery has for all.
        is_cheap: bool,
    },
    /// Whether attempts may be made by the list that is held, from now on.
    AttemptsAllowed(bool),
    /// The list is to be asked for without waiting for this dispatcher's turn.
    ListWanted,
    /// A job has come in.
    Job(Job),
    /// The client of this job has left; nothing is owed for it any more.
    ClientLeft(JobId),
    /// An attempt has ended.
    Ended(AttemptEnd),
    /// An attempt's job has been started by its endpoint.
    Started {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: usize,
    },
    /// An attempt's answer has begun; it belongs to the client and has no deadline any more.
    Streaming(JobId),
    /// A probe has come back.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// It answered.
        answered: bool,
        /// Time since it was sent.
        latency: Micros,
        /// The endpoint's figures.
        report: LoadReport,
    },
    /// The time asked for by `WakeAt` has come.
    Wake,
}

/// Why a job waits here instead of being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// No attempt may be made by the list that is held.
    ListUnusable,
    /// No listed endpoint runs its kind of job.
    NoEndpoint,
    /// Endpoints lost their turns after failures.
    Ejected,
    /// Endpoints that warm up have no slow-start token left.
    SlowStart,
    /// Endpoints are being probed for other jobs.
    Probed,
    /// The job may not run there after its earlier attempts.
    RetryForbidden,
    /// It would wait in every queue until it is late.
    QueueFull,
}

impl HoldReason {
    /// All of them, in the order of their figures.
    pub const ALL: [HoldReason; 7] = [
        HoldReason::ListUnusable,
        HoldReason::NoEndpoint,
        HoldReason::Ejected,
        HoldReason::SlowStart,
        HoldReason::Probed,
        HoldReason::RetryForbidden,
        HoldReason::QueueFull,
    ];

    /// Its name in figures.
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

/// What a dispatcher decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a job to an endpoint.
    Send {
        /// The job.
        job: JobId,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Call an attempt off.
    Cancel {
        /// The job.
        job: JobId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Final answer: not done, a retry does no harm.
    Reject {
        /// The job.
        job: JobId,
        /// Advice when to come back; 0: none.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The job.
        job: JobId,
    },
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A job waits here from now on, or for another reason than before. Nothing is to be done.
    Hold {
        /// The job.
        job: JobId,
        /// Why: of the endpoints that were passed over, the first.
        reason: HoldReason,
    },
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Call `handle` with `Event::Wake` at this time. A later `WakeAt` does not withdraw an earlier one.
    WakeAt(Micros),
}
