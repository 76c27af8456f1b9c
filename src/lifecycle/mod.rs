//! The life of the process as operators see it: serving, evacuating, draining, handing over, stopped. A pure
//! state machine driven by console calls, signals and the clock; `GET /up` and `readyz` read it. No I/O.

pub mod callback_forwarding;
pub mod warm_state;

/// Where the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes clients.
    Serving,
    /// Sent clients away on an operator's call: says no, closes connections once they are idle, finishes what
    /// it has. `activate` takes it back.
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
    /// SIGTERM or SIGINT; whether a successor is known to listen beside this process.
    Terminate {
        /// A successor listens.
        successor: bool,
    },
    /// Everything that was taken is over.
    Finished,
}

/// The machine.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    phase: Phase,
    /// Since when, in milliseconds of the clock.
    since: f64,
}

impl Lifecycle {
    /// A process that serves from `now`.
    pub fn new(now: f64) -> Lifecycle {
        Lifecycle { phase: Phase::Serving, since: now }
    }

    /// Where it is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Since when it has been there.
    pub fn since(&self) -> f64 {
        self.since
    }

    /// Whether it tells the front and operators that it takes clients.
    pub fn ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether it is to end: a stop that began cannot be called off.
    pub fn stopping(&self) -> bool {
        matches!(self.phase, Phase::Draining | Phase::HandingOver | Phase::Stopped)
    }

    /// Takes one cause at `now`; gives whether the phase changed. A call that changes nothing is no error: a
    /// second `evacuate` or `activate` finds the process where the first left it.
    pub fn on(&mut self, now: f64, cause: Cause) -> bool {
        use Phase::*;
        let next = match (self.phase, cause) {
            (Stopped, _) => Stopped,
            (Serving, Cause::Evacuate) => Evacuating,
            (Evacuating, Cause::Activate) => Serving,
            (Serving | Evacuating, Cause::Terminate { successor: true }) => HandingOver,
            (Serving | Evacuating, Cause::Terminate { successor: false }) => Draining,
            (Draining | HandingOver, Cause::Finished) => Stopped,
            (phase, _) => phase,
        };
        let changed = next != self.phase;
        if changed {
            (self.phase, self.since) = (next, now);
        }
        changed
    }
}

#[cfg(test)]
mod tests;
