//! Slow start: an endpoint that has just started gets jobs in proportion to the capacity that it has already.
//!
//! Each of its turns adds to its tokens, and a job costs one. It gets its part of what there is to do,
//! however unlike dispatchers are.

use super::endpoint_state::{EndpointIndex, EndpointState};
use super::router::Router;
use super::spread::pair_point;
use super::types::{EndpointId, HoldReason, Micros};

/// Part of the window within which calls are counted by which tokens lag behind capacity. Half of it makes
/// their mean over a window the capacity at its beginning; the rest is for chance.
const CAPACITY_LAG_SHARE: f64 = 2.0 / 3.0;
/// Most tokens that an endpoint saves, in jobs: a little over one job, so that none comes in bursts.
const MAX_TOKENS: f64 = 1.5;

/// Tokens that an endpoint has as it is first met, in jobs. Spread over dispatchers by their numbers: drawn,
/// all of a fleet that starts at once would now and then have much of it together.
pub(super) fn initial_tokens(dispatcher: u32, endpoint: EndpointId) -> f64 {
    pair_point(dispatcher, endpoint.0)
}

impl Router {
    /// The part of its capacity that an endpoint has for sure, from 0 to 1: it grows evenly from the start.
    pub(super) fn slow_start_fraction(&self, now: Micros, endpoint: &EndpointState) -> f64 {
        let rules = &self.settings.rules;
        let started_at = endpoint.listed.started_at;
        if started_at == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(started_at) as f64 / rules.warm_up.max(1) as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * age).min(1.0)
    }

    /// Whether an endpoint has all of its capacity.
    pub(super) fn is_warm(&self, now: Micros, endpoint: &EndpointState) -> bool {
        self.slow_start_fraction(now, endpoint) == 1.0
    }

    /// Adds the tokens of one turn, in jobs: the slow-start fraction that the endpoint had a while ago.
    ///
    /// Guards against a bound that is met early in the ramp: what is sent within a window is counted against
    /// the capacity at its beginning, and capacity grows within it.
    pub(super) fn add_turn_tokens(&mut self, now: Micros, endpoint: EndpointIndex) {
        let lag = (self.settings.rules.overload_window as f64 * CAPACITY_LAG_SHARE) as Micros;
        let endpoint_state = &self.endpoints[endpoint];
        let fraction = self.slow_start_fraction(now.saturating_sub(lag), endpoint_state);
        let tokens = &mut self.endpoints[endpoint].slow_start_tokens;
        *tokens = (*tokens + fraction).min(MAX_TOKENS);
    }

    /// Whether an endpoint may be given a job now: listed as ready, not ejected, and, while it warms up, with
    /// a token saved for it.
    pub(super) fn is_eligible(&self, now: Micros, endpoint: &EndpointState) -> bool {
        self.ineligibility(now, endpoint).is_none()
    }

    /// Why an endpoint may not be given a job now; none where it may.
    pub(super) fn ineligibility(&self, now: Micros, endpoint: &EndpointState) -> Option<HoldReason> {
        if !self.attempts_allowed {
            Some(HoldReason::ListUnusable)
        } else if !endpoint.is_ready {
            Some(HoldReason::NoEndpoint)
        } else if endpoint.ejected_until > now {
            Some(HoldReason::Ejected)
        } else if endpoint.slow_start_tokens < 1.0 && !self.is_warm(now, endpoint) {
            Some(HoldReason::SlowStart)
        } else {
            None
        }
    }
}
