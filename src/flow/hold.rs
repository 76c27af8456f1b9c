//! Decides when a request whose body is still arriving is dispatched. Until then the request occupies no slot
//! of an endpoint.

/// The condition under which a request is dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchCondition {
    /// Dispatch once the head is complete.
    Head,
    /// Dispatch once a prefix of the body, or all of it, has been received.
    Prefix,
    /// As `Prefix`, but only if the prefix arrived at the minimum pace; otherwise the request is rejected.
    Pace,
}

/// Decision on a held request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// Wait for more of the body.
    Wait,
    /// Dispatch the request.
    Dispatch,
    /// Reject the request, because its client sends too slowly.
    GiveUp,
}

/// A request that is held until its dispatch condition is met.
#[derive(Clone, Copy, Debug)]
pub struct HeldRequest {
    condition: DispatchCondition,
    /// Bytes of the body that must be received before dispatch.
    prefix_bytes: usize,
    min_bytes_per_ms: f64,
    /// When the head was received, in milliseconds of the caller's clock.
    started_at: f64,
}

impl HeldRequest {
    /// Shortest time over which the pace is measured, in milliseconds. Bytes that arrive sooner may have been
    /// waiting in socket buffers, so their rate says nothing about the client.
    const MIN_MEASURED_MS: f64 = 50.0;

    /// Holds a request whose head was received at `started_at`, in milliseconds of the caller's clock.
    pub fn new(
        condition: DispatchCondition,
        prefix_bytes: usize,
        min_bytes_per_s: f64,
        started_at: f64,
    ) -> HeldRequest {
        HeldRequest { condition, prefix_bytes, min_bytes_per_ms: min_bytes_per_s / 1e3, started_at }
    }

    /// Returns what to do after `received` bytes of the body; `is_complete` says that these are the whole
    /// body.
    pub fn decide(&self, received: usize, is_complete: bool, now: f64) -> HoldDecision {
        let has_prefix = is_complete || received >= self.prefix_bytes;
        match self.condition {
            DispatchCondition::Head => HoldDecision::Dispatch,
            _ if !has_prefix => HoldDecision::Wait,
            DispatchCondition::Prefix => HoldDecision::Dispatch,
            DispatchCondition::Pace => {
                let elapsed_ms = now - self.started_at;
                let is_too_early = elapsed_ms < HeldRequest::MIN_MEASURED_MS;
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
