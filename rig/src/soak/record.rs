//! The record of a soak: what stood on the wire, when, and the checker that holds it to the rules. It knows nothing of the
//! program's own counters.

use std::collections::HashMap;
use std::fmt;

use crate::RigError;
use crate::check_invariants;

/// Milliseconds since the start of the run.
pub type Millis = f64;

/// A change counts as told so long after discovery had it and could be reached.
const NOTIFICATION_BOUND_MS: Millis = 6_000.0;
/// A long poll that falls silent counts what it missed as told so long after its wait.
const POLL_BOUND_MS: Millis = 2_000.0;
/// From then on nothing new may come after this time; 50 ms are the socket's.
const DRAIN_GRACE_MS: Millis = 2_050.0;
/// An attempt that begins later after its client has gone is a break.
const LEFT_GRACE_MS: Millis = 100.0;
/// An answer may come so much later than its time.
const ANSWER_SLACK_MS: Millis = 500.0;
/// The deadline that a server is told may be so much longer than what its client has left.
const DEADLINE_SLACK_MS: Millis = 150.0;
/// A stand-in is told of a byte this much later than it came, at the most, where the machine is busy.
const STAND_IN_SLACK_MS: Millis = 60.0;
/// The window in which a cold server's calls count.
const SLOW_START_WINDOW_MS: Millis = 3_000.0;

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// 200, with the result of a server.
    Served,
    /// 429 or 503.
    Rejected,
    /// Another answer.
    Failed,
    /// The connection ended with no answer.
    Closed,
    /// Nothing came in its time and half a second.
    Silence,
    /// The client closed its connection before.
    Left,
}

/// A request, as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The dispatcher.
    pub dispatcher: usize,
    /// Its last byte was written.
    pub written_ms: Millis,
    /// How long its client waits.
    pub wait_ms: Millis,
    /// It may not run twice.
    pub is_unsafe: bool,
    /// It was the first on its connection.
    pub is_first: bool,
    /// When it ended, and how.
    pub ended_ms: Millis,
    /// How it ended.
    pub end: End,
}

/// An attempt, as its server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's id.
    pub id: String,
    /// The server.
    pub server: usize,
    /// Its first byte came.
    pub began_ms: Millis,
    /// How long it is told that its dispatcher waits.
    pub deadline_ms: Millis,
}

/// A change of the list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// Its version.
    pub version: u64,
    /// When discovery had it.
    pub at_ms: Millis,
    /// The server.
    pub server: usize,
    /// Whether it takes work from now on.
    pub is_up: bool,
}

/// A call that discovery leaves without an answer.
#[derive(Clone, Copy, Debug)]
pub struct SilentCall {
    /// Whose it is.
    pub dispatcher: usize,
    /// When it came.
    pub from_ms: Millis,
    /// When its wait is over.
    pub wait_ends_ms: Millis,
}

/// A time between two moments.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Its begin.
    pub from_ms: Millis,
    /// Its end; infinite while it goes on.
    pub until_ms: Millis,
}

impl Span {
    fn has(&self, at_ms: Millis) -> bool {
        (self.from_ms..self.until_ms).contains(&at_ms)
    }
}

/// What a process of a dispatcher was made to go through.
#[derive(Clone, Copy, Debug)]
pub struct Life {
    /// The dispatcher.
    pub dispatcher: usize,
    /// When it was started.
    pub started_ms: Millis,
    /// When `/up` said yes.
    pub ready_ms: Option<Millis>,
    /// SIGTERM.
    pub terminated_ms: Option<Millis>,
    /// SIGKILL, or its own end.
    pub ended_ms: Option<Millis>,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Record {
    /// Requests by id.
    pub requests: HashMap<String, Request>,
    /// Attempts in the order in which they were recorded.
    pub attempts: Vec<Attempt>,
    /// Changes of the list.
    pub changes: Vec<ListChange>,
    /// Answers of discovery: to whom, when, and which version.
    pub answers: Vec<(usize, Millis, u64)>,
    /// Calls that were left without an answer.
    pub silences: Vec<SilentCall>,
    /// When discovery was down.
    pub outages: Vec<Span>,
    /// Processes.
    pub lives: Vec<Life>,
    /// Servers that started cold, and when.
    pub cold_starts: Vec<(usize, Millis)>,
    /// Processes that ended by themselves.
    pub crashed: u64,
    /// Times that a process used nearly a whole core for.
    pub spins: u64,
}

/// How a server warms up.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Jobs a second that it can do warm.
    pub warm_per_second: f64,
    /// The part of it that it can do as it starts.
    pub from: f64,
    /// When it is warm, after its start.
    pub warm_ms: Millis,
    /// So many times what it can do makes it fall.
    pub multiple: f64,
}

/// What a run has come to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// The plan's seed.
    pub seed: u64,
    /// The plan's dispatchers.
    pub dispatchers: usize,
    /// Requests that were written whole.
    pub requests: u64,
    /// Of those, served.
    pub served: u64,
    /// Of those, given up by their clients.
    pub left: u64,
    /// Breaks of each rule, in the order of the line.
    pub breaks: [u64; 11],
}

/// The names of the breaks.
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
        RULES.iter().zip(self.breaks).try_for_each(|(rule, count)| write!(f, " {rule}={count}"))
    }
}

impl Figures {
    /// Whether no rule was broken.
    ///
    /// # Errors
    /// Where one was, or less than half of the requests were served.
    pub fn verify(&self) -> Result<(), RigError> {
        let zeros: Vec<(&str, u64)> = RULES.into_iter().zip(self.breaks).collect();
        check_invariants(&zeros, self.requests, self.served)
    }
}

impl Record {
    /// Holds the record to the rules. Nine in ten processes have to be ready within `ready_within_ms`.
    pub fn check(
        &self,
        seed: u64,
        dispatchers: usize,
        slow_start: SlowStart,
        ready_within_ms: Millis,
    ) -> Figures {
        let ends = |end: End| self.requests.values().filter(|request| request.end == end).count() as u64;
        Figures {
            seed,
            dispatchers,
            requests: self.requests.len() as u64,
            served: ends(End::Served),
            left: ends(End::Left),
            breaks: [
                self.count_requests(|_, request| request.end == End::Silence && !self.was_killed(request)),
                self.count_requests(|_, request| is_late(request)),
                self.unsafe_twice(),
                self.count_attempts(|attempt| self.is_drain_break(attempt)),
                self.count_attempts(|attempt| self.is_after_client_left(attempt)),
                self.count_attempts(|attempt| self.is_deadline_over(attempt)),
                self.slow_start_breaks(slow_start),
                self.count_requests(|id, request| self.is_read_and_closed(id, request)),
                self.not_ready_in_time(ready_within_ms),
                self.crashed,
                self.spins,
            ],
        }
    }

    fn count_requests(&self, is_break: impl Fn(&str, &Request) -> bool) -> u64 {
        let broken = self.requests.iter().filter(|(id, request)| is_break(id, request));
        broken.inspect(|(id, request)| println!("break: {id} {request:?}")).count() as u64
    }

    fn count_attempts(&self, is_break: impl Fn(&Attempt) -> bool) -> u64 {
        let broken = self.attempts.iter().filter(|attempt| is_break(attempt));
        broken.inspect(|attempt| println!("break: {attempt:?}")).count() as u64
    }

    /// Whether the process that had a request was killed, or had been told to end so long before that a kill may find the
    /// request unanswered.
    fn was_killed(&self, request: &Request) -> bool {
        self.lives.iter().filter(|life| life.dispatcher == request.dispatcher).any(|life| {
            let Some(ended_ms) = life.ended_ms else { return false };
            let is_of_it = life.started_ms <= request.written_ms && request.written_ms <= ended_ms;
            let is_late = |terminated_ms: Millis| request.written_ms > terminated_ms + 700.0;
            is_of_it && ended_ms <= request.ended_ms + 1.0 && life.terminated_ms.is_none_or(is_late)
        })
    }

    fn unsafe_twice(&self) -> u64 {
        let mut runs: HashMap<&str, u64> = HashMap::new();
        for attempt in &self.attempts {
            *runs.entry(attempt.id.as_str()).or_default() += 1;
        }
        self.count_requests(|id, request| request.is_unsafe && runs.get(id).is_some_and(|&runs| runs > 1))
    }

    fn is_drain_break(&self, attempt: &Attempt) -> bool {
        let Some(request) = self.requests.get(&attempt.id) else { return false };
        let of_server = self.changes.iter().filter(|change| change.server == attempt.server);
        let last = of_server.take_while(|change| change.at_ms <= attempt.began_ms).last();
        let Some(change) = last.filter(|change| !change.is_up) else { return false };
        attempt.began_ms > self.told_ms(request.dispatcher, change) + DRAIN_GRACE_MS + STAND_IN_SLACK_MS
    }

    /// When a change counts as told to a dispatcher.
    fn told_ms(&self, dispatcher: usize, change: &ListChange) -> Millis {
        let answers =
            self.answers.iter().filter(|(to, _, version)| *to == dispatcher && *version >= change.version);
        let written_ms = answers.map(|(_, at_ms, _)| *at_ms).fold(f64::INFINITY, f64::min);
        let outage = self.outages.iter().find(|outage| outage.has(change.at_ms));
        let mut bound_ms = outage.map_or(change.at_ms, |outage| outage.until_ms) + NOTIFICATION_BOUND_MS;
        // One that begins before the change has counted begins the time anew.
        for outage in &self.outages {
            if outage.from_ms < bound_ms && outage.until_ms + NOTIFICATION_BOUND_MS > bound_ms {
                bound_ms = outage.until_ms + NOTIFICATION_BOUND_MS;
            }
        }
        for silence in self.silences.iter().filter(|silence| silence.dispatcher == dispatcher) {
            if silence.from_ms <= bound_ms && change.at_ms <= silence.wait_ends_ms {
                bound_ms = bound_ms.max(silence.wait_ends_ms + POLL_BOUND_MS);
            }
        }
        written_ms.min(bound_ms)
    }

    fn is_after_client_left(&self, attempt: &Attempt) -> bool {
        let left = self.requests.get(&attempt.id).filter(|request| request.end == End::Left);
        left.is_some_and(|request| attempt.began_ms > request.ended_ms + LEFT_GRACE_MS + STAND_IN_SLACK_MS)
    }

    fn is_deadline_over(&self, attempt: &Attempt) -> bool {
        let Some(request) = self.requests.get(&attempt.id) else { return false };
        let left_ms = request.written_ms + request.wait_ms - attempt.began_ms;
        attempt.deadline_ms > left_ms + DEADLINE_SLACK_MS + STAND_IN_SLACK_MS
    }

    /// A request that ended with its connection and no answer: on a new connection it is lost; on one that rested its closing
    /// may have crossed the request, unless a server has seen it.
    fn is_read_and_closed(&self, id: &str, request: &Request) -> bool {
        let was_sent_on = || self.attempts.iter().any(|attempt| attempt.id == id);
        request.end == End::Closed && !self.was_killed(request) && (request.is_first || was_sent_on())
    }

    fn not_ready_in_time(&self, within_ms: Millis) -> u64 {
        let is_late = |life: &&Life| {
            let lasted_ms =
                life.ready_ms.or(life.ended_ms).map_or(f64::INFINITY, |at_ms| at_ms - life.started_ms);
            lasted_ms > within_ms
        };
        let late = self.lives.iter().filter(is_late).count();
        // Nine in ten have to be ready in time.
        if late * 10 > self.lives.len() { late as u64 } else { 0 }
    }

    fn slow_start_breaks(&self, slow_start: SlowStart) -> u64 {
        let mut breaks = 0;
        for &(server, started_ms) in &self.cold_starts {
            let in_ramp = |attempt: &&Attempt| {
                attempt.server == server
                    && (started_ms..started_ms + slow_start.warm_ms).contains(&attempt.began_ms)
            };
            let mut calls: Vec<Millis> = self.attempts.iter().filter(in_ramp).map(|a| a.began_ms).collect();
            calls.sort_by(f64::total_cmp);
            breaks += u64::from(calls.iter().any(|&from_ms| slow_start.is_over(&calls, started_ms, from_ms)));
        }
        breaks
    }
}

impl SlowStart {
    /// Whether a server gets more than its budget in the window from a call on.
    fn is_over(&self, calls: &[Millis], started_ms: Millis, from_ms: Millis) -> bool {
        let window = from_ms..from_ms + SLOW_START_WINDOW_MS;
        let count = calls.iter().filter(|at_ms| window.contains(*at_ms)).count() as f64;
        let fraction = self.from + (1.0 - self.from) * (from_ms - started_ms) / self.warm_ms;
        let budget = self.multiple * self.warm_per_second * fraction * SLOW_START_WINDOW_MS / 1e3;
        let chance = if budget < 30.0 { 3.0 * (budget + 3.0).sqrt() } else { 2.0 * (budget + 2.0).sqrt() };
        count > budget + chance
    }
}

fn is_late(request: &Request) -> bool {
    let is_answer = matches!(request.end, End::Served | End::Rejected | End::Failed);
    is_answer && request.ended_ms > request.written_ms + request.wait_ms + ANSWER_SLACK_MS
}
