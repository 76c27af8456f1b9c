//! The record of a soak run (what the stand-ins saw on the wire, and when) and the checker that verifies it against the
//! rules. The checker does not use the program's own counters.

use std::collections::HashMap;
use std::fmt;

use crate::RigError;
use crate::check_invariants;

/// Milliseconds since the start of the run.
pub type Millis = f64;

/// A list change counts as known to a dispatcher at the latest this long after discovery had it and was reachable.
const NOTIFICATION_BOUND_MS: Millis = 6_000.0;
/// A change missed by a long poll that got no response counts as known this long after the poll's wait has ended.
const POLL_BOUND_MS: Millis = 2_000.0;
/// Time after which a dispatcher that knows of a drain may start no new attempt; includes 50 ms for the socket.
const DRAIN_GRACE_MS: Millis = 2_050.0;
/// An attempt that begins later than this after its client has disconnected is a violation.
const LEFT_GRACE_MS: Millis = 100.0;
/// Tolerance for responses after the request's deadline.
const ANSWER_SLACK_MS: Millis = 500.0;
/// Tolerance by which the deadline sent to a server may exceed the time that its client has left.
const DEADLINE_SLACK_MS: Millis = 150.0;
/// Longest delay with which a stand-in on a busy machine sees a byte that has arrived.
const STAND_IN_SLACK_MS: Millis = 60.0;
/// Length of the window in which the attempts at a cold server are counted.
const SLOW_START_WINDOW_MS: Millis = 3_000.0;

/// Outcome of a request, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Status 200 with the result of a server.
    Served,
    /// Status 429 or 503.
    Rejected,
    /// Any other response.
    Failed,
    /// The connection was closed without a response.
    Closed,
    /// No response came before the client's timeout: its deadline plus one second.
    TimedOut,
    /// The client closed its connection before a response came.
    ClientLeft,
}

/// A request as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Number of the dispatcher.
    pub dispatcher: usize,
    /// When its last byte was written.
    pub written_ms: Millis,
    /// How long its client waits: the deadline sent with it.
    pub wait_ms: Millis,
    /// Whether it must not run twice.
    pub is_unsafe: bool,
    /// Whether it was the first on its connection.
    pub is_first: bool,
    /// When it ended.
    pub ended_ms: Millis,
    /// How it ended.
    pub outcome: Outcome,
}

/// An attempt as its server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's id.
    pub id: String,
    /// Number of the server.
    pub server: usize,
    /// When its first byte arrived.
    pub began_ms: Millis,
    /// The deadline that the server received: how long its dispatcher waits.
    pub deadline_ms: Millis,
}

/// A change of one server in the server list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// Version of the list with this change.
    pub version: u64,
    /// When discovery made the change.
    pub at_ms: Millis,
    /// Number of the server.
    pub server: usize,
    /// Whether the server accepts work from now on.
    pub is_up: bool,
}

/// A call to discovery that gets no response.
#[derive(Clone, Copy, Debug)]
pub struct SilentCall {
    /// The calling dispatcher.
    pub dispatcher: usize,
    /// When the call began.
    pub from_ms: Millis,
    /// When the wait that the call asked for ends.
    pub wait_ends_ms: Millis,
}

/// A time span.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Start of the span (inclusive).
    pub from_ms: Millis,
    /// End of the span (exclusive); infinite while it lasts.
    pub until_ms: Millis,
}

impl Span {
    fn contains(&self, at_ms: Millis) -> bool {
        (self.from_ms..self.until_ms).contains(&at_ms)
    }
}

/// Lifecycle of one process of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRun {
    /// Number of the dispatcher.
    pub dispatcher: usize,
    /// When the process was started.
    pub started_ms: Millis,
    /// When `/up` first answered 200.
    pub ready_ms: Option<Millis>,
    /// When it got SIGTERM.
    pub terminated_ms: Option<Millis>,
    /// When it got SIGKILL or ended by itself.
    pub ended_ms: Option<Millis>,
}

/// Everything that the stand-ins saw in a run.
#[derive(Debug, Default)]
pub struct Record {
    /// Requests by id.
    pub requests: HashMap<String, Request>,
    /// Attempts, in the order of recording.
    pub attempts: Vec<Attempt>,
    /// Changes of the server list.
    pub changes: Vec<ListChange>,
    /// Responses of discovery: dispatcher, time, and list version.
    pub answers: Vec<(usize, Millis, u64)>,
    /// Calls to discovery that got no response.
    pub silent_calls: Vec<SilentCall>,
    /// When discovery was down.
    pub outages: Vec<Span>,
    /// Every dispatcher process of the run.
    pub process_runs: Vec<ProcessRun>,
    /// Servers that started cold, each with the time of its start.
    pub cold_starts: Vec<(usize, Millis)>,
    /// The number of processes that ended by themselves.
    pub crashed: u64,
    /// How often a process was seen to use nearly a whole core.
    pub spins: u64,
}

/// Warm-up model of a server.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Jobs per second that a warm server can run.
    pub warm_jobs_per_second: f64,
    /// Fraction of the warm rate that the server can run when it starts.
    pub initial_fraction: f64,
    /// Time from its start until the server is warm.
    pub warm_ms: Millis,
    /// Multiple of its current rate at which the server collapses.
    pub tip_multiple: f64,
}

/// Result figures of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Seed of the plan.
    pub seed: u64,
    /// The number of dispatchers in the plan.
    pub dispatchers: usize,
    /// Requests that were written in full.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that their clients abandoned.
    pub left: u64,
    /// Violations of each rule, in the order of `RULES`.
    pub violations: [u64; 11],
}

/// Names of the rules in the last line of the experiment.
pub const RULES: [&str; 11] = [
    "unanswered",
    "late_answers",
    "unsafe_twice",
    "drain_breaks",
    "after_client_left",
    "deadline_over",
    "slow_start_breaks",
    "read_and_closed",
    "not_ready_in_time",
    "crashed",
    "spins",
];

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Figures { seed, dispatchers, requests, served, .. } = self;
        write!(f, "seed={seed} dispatchers={dispatchers} requests={requests} served={served}")?;
        RULES.iter().zip(self.violations).try_for_each(|(rule, count)| write!(f, " {rule}={count}"))
    }
}

impl Figures {
    /// Checks that no rule was violated.
    ///
    /// # Errors
    /// If a rule was violated, or less than half of the requests were served.
    pub fn verify(&self) -> Result<(), RigError> {
        let zeros: Vec<(&str, u64)> = RULES.into_iter().zip(self.violations).collect();
        check_invariants(&zeros, self.requests, self.served)
    }
}

impl Record {
    /// Checks the record against the rules. Nine in ten processes must be ready within `ready_within_ms`.
    pub fn check(
        &self,
        seed: u64,
        dispatchers: usize,
        slow_start: SlowStart,
        ready_within_ms: Millis,
    ) -> Figures {
        let count = |o: Outcome| self.requests.values().filter(|request| request.outcome == o).count() as u64;
        Figures {
            seed,
            dispatchers,
            requests: self.requests.len() as u64,
            served: count(Outcome::Served),
            left: count(Outcome::ClientLeft),
            violations: [
                self.count_requests(|_, r| r.outcome == Outcome::TimedOut && !self.was_killed(r)),
                self.count_requests(|_, request| is_late(request)),
                self.count_unsafe_reruns(),
                self.count_attempts(|attempt| self.violates_drain(attempt)),
                self.count_attempts(|attempt| self.began_after_client_left(attempt)),
                self.count_attempts(|attempt| self.exceeds_deadline(attempt)),
                self.slow_start_violations(slow_start),
                self.count_requests(|id, request| self.was_read_and_closed(id, request)),
                self.not_ready_in_time(ready_within_ms),
                self.crashed,
                self.spins,
            ],
        }
    }

    fn count_requests(&self, is_violation: impl Fn(&str, &Request) -> bool) -> u64 {
        let violating = self.requests.iter().filter(|(id, request)| is_violation(id, request));
        violating.inspect(|(id, request)| println!("rule violated: {id} {request:?}")).count() as u64
    }

    fn count_attempts(&self, is_violation: impl Fn(&Attempt) -> bool) -> u64 {
        let violating = self.attempts.iter().filter(|attempt| is_violation(attempt));
        violating.inspect(|attempt| println!("rule violated: {attempt:?}")).count() as u64
    }

    /// Whether the dispatcher's process ended by the time the request ended, so that its lack of a response is excused.
    /// A process with SIGTERM excuses only requests written over 700 ms after the signal: it must still answer earlier ones.
    fn was_killed(&self, request: &Request) -> bool {
        self.process_runs.iter().filter(|process_run| process_run.dispatcher == request.dispatcher).any(
            |process_run| {
                let Some(ended_ms) = process_run.ended_ms else { return false };
                let had_request =
                    process_run.started_ms <= request.written_ms && request.written_ms <= ended_ms;
                let is_late = |terminated_ms: Millis| request.written_ms > terminated_ms + 700.0;
                had_request
                    && ended_ms <= request.ended_ms + 1.0
                    && process_run.terminated_ms.is_none_or(is_late)
            },
        )
    }

    fn count_unsafe_reruns(&self) -> u64 {
        let mut runs: HashMap<&str, u64> = HashMap::new();
        for attempt in &self.attempts {
            *runs.entry(attempt.id.as_str()).or_default() += 1;
        }
        self.count_requests(|id, request| request.is_unsafe && runs.get(id).is_some_and(|&runs| runs > 1))
    }

    fn violates_drain(&self, attempt: &Attempt) -> bool {
        let Some(request) = self.requests.get(&attempt.id) else { return false };
        let server_changes = self.changes.iter().filter(|change| change.server == attempt.server);
        let last = server_changes.take_while(|change| change.at_ms <= attempt.began_ms).last();
        let Some(change) = last.filter(|change| !change.is_up) else { return false };
        attempt.began_ms > self.known_from_ms(request.dispatcher, change) + DRAIN_GRACE_MS + STAND_IN_SLACK_MS
    }

    /// The time from which a list change counts as known to a dispatcher.
    fn known_from_ms(&self, dispatcher: usize, change: &ListChange) -> Millis {
        let answers =
            self.answers.iter().filter(|(to, _, version)| *to == dispatcher && *version >= change.version);
        let written_ms = answers.map(|(_, at_ms, _)| *at_ms).fold(f64::INFINITY, f64::min);
        let outage = self.outages.iter().find(|outage| outage.contains(change.at_ms));
        let mut bound_ms = outage.map_or(change.at_ms, |outage| outage.until_ms) + NOTIFICATION_BOUND_MS;
        // An outage that begins before the change counts as known restarts the bound at its end.
        for outage in &self.outages {
            if outage.from_ms < bound_ms && outage.until_ms + NOTIFICATION_BOUND_MS > bound_ms {
                bound_ms = outage.until_ms + NOTIFICATION_BOUND_MS;
            }
        }
        for silent_call in self.silent_calls.iter().filter(|silent_call| silent_call.dispatcher == dispatcher)
        {
            if silent_call.from_ms <= bound_ms && change.at_ms <= silent_call.wait_ends_ms {
                bound_ms = bound_ms.max(silent_call.wait_ends_ms + POLL_BOUND_MS);
            }
        }
        written_ms.min(bound_ms)
    }

    fn began_after_client_left(&self, attempt: &Attempt) -> bool {
        let left = self.requests.get(&attempt.id).filter(|request| request.outcome == Outcome::ClientLeft);
        left.is_some_and(|request| attempt.began_ms > request.ended_ms + LEFT_GRACE_MS + STAND_IN_SLACK_MS)
    }

    fn exceeds_deadline(&self, attempt: &Attempt) -> bool {
        let Some(request) = self.requests.get(&attempt.id) else { return false };
        let left_ms = request.written_ms + request.wait_ms - attempt.began_ms;
        attempt.deadline_ms > left_ms + DEADLINE_SLACK_MS + STAND_IN_SLACK_MS
    }

    /// Whether a dispatcher read a request and then closed the connection without a response. A request on a new connection
    /// counts in any case; on a reused one the close may have crossed the request, so it counts only if a server has seen it.
    fn was_read_and_closed(&self, id: &str, request: &Request) -> bool {
        let reached_server = || self.attempts.iter().any(|attempt| attempt.id == id);
        request.outcome == Outcome::Closed
            && !self.was_killed(request)
            && (request.is_first || reached_server())
    }

    fn not_ready_in_time(&self, within_ms: Millis) -> u64 {
        let is_late = |process_run: &&ProcessRun| {
            let took_ms = process_run
                .ready_ms
                .or(process_run.ended_ms)
                .map_or(f64::INFINITY, |at_ms| at_ms - process_run.started_ms);
            took_ms > within_ms
        };
        let late = self.process_runs.iter().filter(is_late).count();
        // Nine in ten processes must be ready in time.
        if late * 10 > self.process_runs.len() { late as u64 } else { 0 }
    }

    fn slow_start_violations(&self, slow_start: SlowStart) -> u64 {
        let mut violations = 0;
        for &(server, started_ms) in &self.cold_starts {
            let in_ramp = |attempt: &&Attempt| {
                attempt.server == server
                    && (started_ms..started_ms + slow_start.warm_ms).contains(&attempt.began_ms)
            };
            let mut calls: Vec<Millis> = self.attempts.iter().filter(in_ramp).map(|a| a.began_ms).collect();
            calls.sort_by(f64::total_cmp);
            violations += u64::from(
                calls.iter().any(|&from_ms| slow_start.exceeds_budget(&calls, started_ms, from_ms)),
            );
        }
        violations
    }
}

impl SlowStart {
    /// Whether a server gets more attempts than its budget in the window that begins at `from_ms`.
    fn exceeds_budget(&self, calls: &[Millis], started_ms: Millis, from_ms: Millis) -> bool {
        let window = from_ms..from_ms + SLOW_START_WINDOW_MS;
        let count = calls.iter().filter(|at_ms| window.contains(*at_ms)).count() as f64;
        let fraction =
            self.initial_fraction + (1.0 - self.initial_fraction) * (from_ms - started_ms) / self.warm_ms;
        let budget = self.tip_multiple * self.warm_jobs_per_second * fraction * SLOW_START_WINDOW_MS / 1e3;
        let tolerance = if budget < 30.0 { 3.0 * (budget + 3.0).sqrt() } else { 2.0 * (budget + 2.0).sqrt() };
        count > budget + tolerance
    }
}

fn is_late(request: &Request) -> bool {
    let has_response = matches!(request.outcome, Outcome::Served | Outcome::Rejected | Outcome::Failed);
    has_response && request.ended_ms > request.written_ms + request.wait_ms + ANSWER_SLACK_MS
}
