//! The life of the process as operators see it: a pure state machine driven by console calls, signals and the clock, which
//! `GET /up` and `readyz` read. Beside it, what two processes of an upgrade owe each other: callbacks that reached the wrong
//! one (`callback_forwarding`), and what the old one leaves to the new one (`warm_state`, `list_handover`). No I/O.
//!
//! | phase | event | next phase |
//! | --- | --- | --- |
//! | serving | evacuate | evacuating |
//! | evacuating | activate | serving |
//! | serving, evacuating | terminate, a successor listens | handing over |
//! | serving, evacuating | terminate, nobody does | draining |
//! | draining, handing over | finished | stopped |
//!
//! Every other event changes nothing.

pub mod callback_forwarding;
pub mod list_handover;
pub mod warm_state;

/// Where the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes clients.
    Serving,
    /// Sent clients away on an operator's call: says no, closes connections once they are idle, finishes what it has.
    /// `activate` takes it back.
    Evacuating,
    /// Stops at a signal with nobody beside it: goes on serving for a while, then finishes what it has.
    Draining,
    /// Stops at a signal while a successor listens at the same address: takes nothing new, finishes what it has.
    HandingOver,
    /// All that was taken is over.
    Stopped,
}

/// What drives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The console's `evacuate`.
    Evacuate,
    /// The console's `activate`.
    Activate,
    /// SIGTERM or SIGINT.
    Terminate {
        /// Whether a successor is known to listen beside this process.
        successor: bool,
    },
    /// Everything that was taken is over.
    Finished,
}

/// The machine.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    phase: Phase,
    since_ms: f64,
}

impl Lifecycle {
    /// A process that serves from `now_ms`, in milliseconds of the clock.
    pub fn new(now_ms: f64) -> Lifecycle {
        Lifecycle { phase: Phase::Serving, since_ms: now_ms }
    }

    /// Where it is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Since when it has been there, in milliseconds of the clock.
    pub fn since_ms(&self) -> f64 {
        self.since_ms
    }

    /// Whether it tells clients and operators that it takes clients.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether it is to end: a stop that began cannot be cancelled.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Draining | Phase::HandingOver | Phase::Stopped)
    }

    /// Takes one cause at `now_ms`; gives whether the phase changed. One that changes nothing is no error: a second
    /// `evacuate` or `activate` finds the process where the first left it.
    pub fn apply(&mut self, now_ms: f64, cause: Cause) -> bool {
        let next = match (self.phase, cause) {
            (Phase::Serving, Cause::Evacuate) => Phase::Evacuating,
            (Phase::Evacuating, Cause::Activate) => Phase::Serving,
            (Phase::Serving | Phase::Evacuating, Cause::Terminate { successor: true }) => Phase::HandingOver,
            (Phase::Serving | Phase::Evacuating, Cause::Terminate { successor: false }) => Phase::Draining,
            (Phase::Draining | Phase::HandingOver, Cause::Finished) => Phase::Stopped,
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
