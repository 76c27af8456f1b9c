//! When a request whose body is still coming is dispatched. Until then its client costs no server a slot.

/// When a request is dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchCondition {
    /// As soon as its head has come.
    Head,
    /// Once a prefix of its body has come, or all of it.
    Prefix,
    /// As with a prefix, if it came at the least pace; a client that did not keep it is given up at once.
    Pace,
}

/// What is to be done with a request that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// More of its body is to come.
    Wait,
    /// It is to be dispatched.
    Dispatch,
    /// Its client is too slow.
    GiveUp,
}

/// A request that is held back.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    when: DispatchCondition,
    /// Bytes of the body that are to have come.
    prefix: usize,
    min_bytes_per_ms: f64,
    /// When the head came, in milliseconds of the clock.
    started_at: f64,
}

impl Hold {
    /// Shortest time over which a pace is measured, in milliseconds: what comes at once was in the sockets already.
    const MIN_MEASURED_MS: f64 = 50.0;

    /// A request whose head came at `started_at`, in milliseconds of the clock.
    pub fn new(when: DispatchCondition, prefix: usize, min_bytes_per_s: f64, started_at: f64) -> Hold {
        Hold { when, prefix, min_bytes_per_ms: min_bytes_per_s / 1e3, started_at }
    }

    /// What to do now that `received` bytes of the body have come; `is_complete` tells that these are all.
    pub fn decide(&self, received: usize, is_complete: bool, now: f64) -> HoldDecision {
        let has_prefix = is_complete || received >= self.prefix;
        match self.when {
            DispatchCondition::Head => HoldDecision::Dispatch,
            _ if !has_prefix => HoldDecision::Wait,
            DispatchCondition::Prefix => HoldDecision::Dispatch,
            DispatchCondition::Pace => {
                let elapsed_ms = now - self.started_at;
                let is_too_early = elapsed_ms < Hold::MIN_MEASURED_MS;
                let kept_pace = received as f64 >= self.min_bytes_per_ms * elapsed_ms;
                if is_complete || is_too_early || kept_pace {
                    HoldDecision::Dispatch
                } else {
                    HoldDecision::GiveUp
                }
            }
        }
    }
}
