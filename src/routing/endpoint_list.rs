//! The endpoint list: which endpoints there are, which of them take jobs, and when discovery is asked again.

use std::collections::BTreeSet;

use super::cycle::AVERAGE_TURNS;
use super::endpoint_state::{EndpointIndex, EndpointState};
use super::router::Router;
use super::service_time::KindEstimate;
use super::slow_start::initial_tokens;
use super::spread::golden_section_point;
use super::timers::Timer;
use super::types::{Endpoint, EndpointId, EndpointStatus, LoadReport, Micros, Settings};

/// Largest size that an endpoint counts as, so that one wrong line does not take all turns.
const MAX_SIZE: f64 = 1e6;
/// Size of an endpoint that is listed without one.
const DEFAULT_SIZE: f64 = 1.0;
/// Calls for the list in one `NOTIFICATION_BOUND` by a small fleet, by the calls that have failed since the
/// last that did not: six before any failed, two after one, one after more.
const CALLS_PER_BOUND: [Micros; 3] = [6, 2, 1];
/// Where dispatchers are few, the first calls of those that start together are this far apart.
const START_CALL_INTERVAL: Micros = 100_000;
/// The first calls of a large fleet that starts together are spread over this time: discovery gets through
/// those of a zone in it. Those of all take it longer, and a call that has waited too long is made again at
/// its dispatcher's turn.
const MAX_START_CALL_SPREAD: Micros = 4_200_000;
/// Failures in a row after which also a call that takes nothing of discovery's time waits for its turn.
const MAX_CHEAP_RETRIES: u32 = 3;
/// Time between such a failure and the next call.
const CHEAP_RETRY_DELAY: Micros = 200_000;
/// A list that seems to be old is asked for within this part of `NOTIFICATION_BOUND`, at a random time, so
/// that dispatchers that notice together do not call together.
const REFRESH_JITTER_DIVISOR: Micros = 12;

impl Router {
    /// Takes in the complete list: endpoints absent from it get no jobs any more.
    pub(super) fn on_list(&mut self, now: Micros, listed: &[Endpoint]) {
        let named: BTreeSet<EndpointId> = listed.iter().map(|endpoint| endpoint.id).collect();
        let mut changed = false;
        for endpoint in &mut self.endpoints {
            if endpoint.is_ready && !named.contains(&endpoint.listed.id) {
                endpoint.is_ready = false;
                changed = true;
            }
        }
        self.update_endpoints(now, listed, changed);
    }

    /// Takes in the lines of the list that have changed.
    pub(super) fn on_list_changes(&mut self, now: Micros, listed: &[Endpoint]) {
        self.update_endpoints(now, listed, false);
    }

    /// Takes in the list as it was before a restart, and asks for a newer one. Nothing may be sent by the old
    /// one, so that the call is soon; dispatchers that start together call one after the other.
    pub(super) fn on_cached_list(&mut self, now: Micros, listed: &[Endpoint]) {
        self.on_list(now, listed);
        if self.settings.must_subscribe {
            let others = Micros::from(self.settings.dispatchers.saturating_sub(1));
            let spread = (others * START_CALL_INTERVAL).min(MAX_START_CALL_SPREAD);
            let offset = golden_section_point(f64::from(self.settings.number)) * spread as f64;
            self.timers.set(now + offset as Micros, Timer::Subscribe);
        }
    }

    /// A call for the list failed. One that took nothing of discovery's time is made again at once, a few
    /// times in a row; others wait for this dispatcher's turn.
    pub(super) fn on_list_failure(&mut self, now: Micros, is_cheap: bool) {
        self.list_failures += 1;
        if is_cheap && self.list_failures <= MAX_CHEAP_RETRIES {
            self.timers.set(now + CHEAP_RETRY_DELAY, Timer::Subscribe);
        } else {
            self.schedule_subscription(now);
        }
    }

    /// Asks for the list now.
    pub(super) fn on_list_wanted(&mut self, now: Micros) {
        if self.settings.must_subscribe {
            self.timers.set(now, Timer::Subscribe);
        }
    }

    /// Takes in whether attempts may be made by the list. Jobs that were held for that search on.
    pub(super) fn on_attempts_allowed(&mut self, now: Micros, allowed: bool) {
        self.attempts_allowed = allowed;
        if allowed {
            self.retry_held_jobs(now, &vec![true; self.cycles.len()]);
        }
    }

    /// Asks for the list soon, as an endpoint that fails may have left it. Guards against a watch that has
    /// fallen silent.
    pub(super) fn refresh_doubtful_list(&mut self, now: Micros) {
        let blocked = self.list_refresh_blocked_until > now || self.settings.is_large_fleet();
        if !self.settings.must_subscribe || blocked {
            return;
        }
        self.list_refresh_blocked_until = now + Settings::NOTIFICATION_BOUND;
        let jitter = self.rng.u64(0..=Settings::NOTIFICATION_BOUND / REFRESH_JITTER_DIVISOR);
        self.timers.set(now + jitter, Timer::Subscribe);
    }

    /// Has discovery called at this dispatcher's own next time slot: one in every `NOTIFICATION_BOUND`, and
    /// `CALLS_PER_BOUND` where the fleet is small. Guards against calls that come together, and late ones.
    fn schedule_subscription(&mut self, now: Micros) {
        let bound = Settings::NOTIFICATION_BOUND;
        let few = CALLS_PER_BOUND[self.list_failures.min(2) as usize];
        let period = bound / if self.settings.is_large_fleet() { 1 } else { few };
        let offset = (golden_section_point(f64::from(self.settings.number)) * bound as f64) as Micros;
        let slot = now + period - (now + bound - offset) % period;
        self.timers.set(slot, Timer::Subscribe);
    }

    fn update_endpoints(&mut self, now: Micros, listed: &[Endpoint], mut changed: bool) {
        self.list_failures = 0;
        for endpoint in listed {
            changed |= self.update_endpoint(endpoint);
        }
        if changed {
            let had_no_endpoint: Vec<bool> = self.cycles.iter().map(|cycle| cycle.order.is_empty()).collect();
            self.rebuild_cycles();
            self.retry_held_jobs(now, &had_no_endpoint);
        }
    }

    /// Takes in a line of the list. Returns whether the cycles have to be rebuilt.
    fn update_endpoint(&mut self, listed: &Endpoint) -> bool {
        let is_ready = listed.status == EndpointStatus::Ready;
        let tokens = initial_tokens(self.settings.number, listed.id);
        let index = self.find_or_insert(listed, tokens);
        let kind_index = usize::from(listed.kind);
        if self.estimates.kinds.len() <= kind_index {
            self.estimates.kinds.resize_with(kind_index + 1, KindEstimate::default);
        }
        let endpoint = &mut self.endpoints[index];
        let mut size = if listed.size > 0.0 { listed.size.min(MAX_SIZE) } else { DEFAULT_SIZE };
        if self.settings.live_sizes {
            let reported_held = endpoint.report.held.filter(|_| endpoint.report.free_slots.is_none());
            size = self.estimates.kinds[kind_index].on_live_size(size, reported_held);
        }
        if listed.started_at != endpoint.listed.started_at {
            (endpoint.consecutive_failures, endpoint.ejected_until) = (0, 0);
            endpoint.slow_start_tokens = tokens;
            (endpoint.report, endpoint.slots_since_report) = (LoadReport::default(), 0.0);
        }
        // A listed size that changes by less than a turn of an average endpoint does not rebuild the cycle.
        let is_resized = (size - endpoint.listed.size).abs() > size / AVERAGE_TURNS;
        let changed = is_resized || endpoint.is_ready != is_ready;
        let size = if is_resized { size } else { endpoint.listed.size };
        endpoint.listed = Endpoint { size, ..*listed };
        endpoint.is_ready = is_ready;
        changed
    }

    /// The index of an endpoint; one that is met for the first time has size 0, which its line then changes.
    fn find_or_insert(&mut self, listed: &Endpoint, tokens: f64) -> EndpointIndex {
        *self.endpoint_index.entry(listed.id).or_insert_with(|| {
            self.endpoints.push(EndpointState::new(Endpoint { size: 0.0, ..*listed }, tokens));
            self.endpoints.len() - 1
        })
    }
}
