//! Slow start: an endpoint that has just started gets jobs in proportion to the capacity that it already
//! has.
//!
//! Each of its turns in the cycle adds tokens, and each job costs one token. Tokens accrue per turn and not
//! per unit of time, so an endpoint's tokens from all dispatchers follow the total job rate and its share of
//! the turns, even if some dispatchers receive many more jobs than others. Tokens that accrued over time
//! would let dispatchers with few jobs save up tokens that they cannot use, while those with many jobs run
//! short.

use super::endpoint_state::{EndpointIndex, EndpointState};
use super::router::Router;
use super::spread::dispatcher_endpoint_point;
use super::types::{EndpointId, HoldReason, Micros};

/// Lag of the token rate behind the endpoint's capacity, as a fraction of the overload window. A lag of half
/// a window makes the mean token rate within a window equal the capacity at its beginning; the rest is a
/// margin for random variation.
const CAPACITY_LAG_SHARE: f64 = 2.0 / 3.0;
/// Maximum number of tokens that an endpoint accumulates, in jobs: a little over one, so that no burst of
/// jobs follows.
const MAX_TOKENS: f64 = 1.5;

/// Returns the tokens of an endpoint that is newly listed or has restarted, in jobs. They are spread evenly
/// over the dispatchers by their numbers and not drawn at random: if all dispatchers of a fleet start
/// together, random values would sometimes give an endpoint a large sum of tokens at once.
pub(super) fn initial_tokens(dispatcher: u32, endpoint: EndpointId) -> f64 {
    dispatcher_endpoint_point(dispatcher, endpoint.0)
}

impl Router {
    /// Returns the fraction of its capacity, from 0 to 1, that an endpoint is certain to have. It grows
    /// linearly from the endpoint's start.
    pub(super) fn slow_start_fraction(&self, now: Micros, endpoint: &EndpointState) -> f64 {
        let rules = &self.settings.rules;
        let started_at = endpoint.listed.started_at;
        if started_at == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(started_at) as f64 / rules.warm_up.max(1) as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * age).min(1.0)
    }

    /// Returns whether an endpoint has its full capacity.
    pub(super) fn is_warm(&self, now: Micros, endpoint: &EndpointState) -> bool {
        self.slow_start_fraction(now, endpoint) == 1.0
    }

    /// Adds the tokens of one turn, in jobs: the slow-start fraction that the endpoint had a fixed lag ago.
    ///
    /// Without the lag, too much would be sent early in the ramp: jobs sent within a window are counted
    /// against the capacity at the beginning of the window, and capacity grows within it.
    pub(super) fn add_turn_tokens(&mut self, now: Micros, endpoint: EndpointIndex) {
        let lag = (self.settings.rules.overload_window as f64 * CAPACITY_LAG_SHARE) as Micros;
        let endpoint_state = &self.endpoints[endpoint];
        let fraction = self.slow_start_fraction(now.saturating_sub(lag), endpoint_state);
        let tokens = &mut self.endpoints[endpoint].slow_start_tokens;
        *tokens = (*tokens + fraction).min(MAX_TOKENS);
    }

    /// Returns whether an endpoint may get a job now: it is listed as ready, not ejected and, while it warms
    /// up, has a token.
    pub(super) fn is_eligible(&self, now: Micros, endpoint: &EndpointState) -> bool {
        self.ineligibility(now, endpoint).is_none()
    }

    /// Returns why an endpoint may not get a job now, or `None` if it may.
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
