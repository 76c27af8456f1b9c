//! Lifecycle of the process: a pure state machine driven by console calls, signals and the clock, and read by
//! `GET /up` and `readyz`. The submodules hold what two processes of an upgrade exchange: callbacks that
//! reached the wrong process (`callback_forwarding`), and the state that the old process leaves to the new
//! one (`warm_state`, `list_handover`). No I/O.
//!
//! | phase | event | next phase |
//! | --- | --- | --- |
//! | serving | evacuate | evacuating |
//! | evacuating | activate | serving |
//! | serving, evacuating | terminate, a successor listens | handing over |
//! | serving, evacuating | terminate, no successor listens | draining |
//! | draining, handing over | finished | stopped |
//!
//! All other events are ignored.

pub mod callback_forwarding;
pub mod list_handover;
pub mod warm_state;

/// Phase of the process's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts clients.
    Serving,
    /// Turns clients away at an operator's request: readiness checks fail, connections are closed once idle,
    /// and open jobs are finished. `activate` returns to serving.
    Evacuating,
    /// Stops after a signal with no successor: keeps serving for a grace period, then finishes open jobs.
    Draining,
    /// Stops after a signal while a successor listens at the same address: accepts nothing new and finishes
    /// open jobs.
    HandingOver,
    /// All accepted work is finished.
    Stopped,
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The console's `evacuate`.
    Evacuate,
    /// The console's `activate`.
    Activate,
    /// SIGTERM or SIGINT.
    Terminate {
        /// Whether a successor is known to listen at the same address.
        successor: bool,
    },
    /// All accepted work is finished.
    Finished,
}

/// State machine for the phases of the process.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    phase: Phase,
    since_ms: f64,
}

impl Lifecycle {
    /// Returns the lifecycle of a process that serves from `now_ms` on, in milliseconds of the clock.
    pub fn new(now_ms: f64) -> Lifecycle {
        Lifecycle { phase: Phase::Serving, since_ms: now_ms }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns when the current phase began, in milliseconds of the clock.
    pub fn since_ms(&self) -> f64 {
        self.since_ms
    }

    /// Whether the process reports to clients and operators that it accepts clients.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether the process is stopping. A stop cannot be cancelled.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Draining | Phase::HandingOver | Phase::Stopped)
    }

    /// Applies an event at `now_ms` and returns whether the phase changed. An event without effect is not an
    /// error: a second `evacuate` or `activate` leaves the process in the same phase.
    pub fn apply(&mut self, now_ms: f64, event: Event) -> bool {
        let next = match (self.phase, event) {
            (Phase::Serving, Event::Evacuate) => Phase::Evacuating,
            (Phase::Evacuating, Event::Activate) => Phase::Serving,
            (Phase::Serving | Phase::Evacuating, Event::Terminate { successor: true }) => Phase::HandingOver,
            (Phase::Serving | Phase::Evacuating, Event::Terminate { successor: false }) => Phase::Draining,
            (Phase::Draining | Phase::HandingOver, Event::Finished) => Phase::Stopped,
            (phase, _) => phase,
        };
        let has_changed = next != self.phase;
        if has_changed {
            (self.phase, self.since_ms) = (next, now_ms);
        }
        has_changed
    }
}

#[cfg(test)]
mod tests;
