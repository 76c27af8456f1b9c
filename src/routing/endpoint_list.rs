//! The endpoint list: which endpoints exist, which of them take jobs, and when discovery is called again.

use std::collections::BTreeSet;

use super::cycle::AVERAGE_TURNS;
use super::endpoint_state::{EndpointIndex, EndpointState};
use super::router::Router;
use super::service_time::KindEstimate;
use super::slow_start::initial_tokens;
use super::spread::golden_ratio_point;
use super::timers::Timer;
use super::types::{Endpoint, EndpointId, EndpointStatus, LoadReport, Micros, Settings};

/// Largest size that an endpoint counts as, so that one wrong entry does not take all turns.
const MAX_SIZE: f64 = 1e6;
/// Size of an endpoint whose entry has no valid size.
const DEFAULT_SIZE: f64 = 1.0;
/// Calls for the list that a dispatcher of a small fleet may make per `NOTIFICATION_BOUND`, indexed by the
/// number of consecutive failed calls: six after none, two after one, one after more.
const SMALL_FLEET_CALLS_PER_BOUND: [Micros; 3] = [6, 2, 1];
/// In a small fleet, the time between the first calls of dispatchers that start together.
const START_CALL_INTERVAL: Micros = 100_000;
/// Maximum time over which the first calls of dispatchers that start together are spread. Discovery can
/// answer the calls of one zone within it. The calls of all zones take longer; a call that waits too long is
/// repeated in its dispatcher's time slot.
const MAX_START_CALL_SPREAD: Micros = 4_200_000;
/// Number of consecutive failures after which a call is no longer retried at once, even if the failed calls
/// used none of discovery's processing time.
const MAX_CHEAP_RETRIES: u32 = 3;
/// Delay before a call that used none of discovery's processing time is retried.
const CHEAP_RETRY_DELAY: Micros = 200_000;
/// A list that may be stale is requested after a random delay of up to `NOTIFICATION_BOUND` divided by this,
/// so that dispatchers that notice the same failure do not call at the same time.
const REFRESH_JITTER_DIVISOR: Micros = 12;

impl Router {
    /// Applies the complete list: endpoints that are not on it get no more jobs.
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

    /// Applies the list entries that have changed.
    pub(super) fn on_list_changes(&mut self, now: Micros, listed: &[Endpoint]) {
        self.update_endpoints(now, listed, false);
    }

    /// Applies the list that was saved before a restart and schedules a call for a newer one. Nothing may be
    /// sent with the saved list, so the call is made soon; dispatchers that start together call one after
    /// another.
    pub(super) fn on_cached_list(&mut self, now: Micros, listed: &[Endpoint]) {
        self.on_list(now, listed);
        if self.settings.must_subscribe {
            let others = Micros::from(self.settings.dispatchers.saturating_sub(1));
            let spread = (others * START_CALL_INTERVAL).min(MAX_START_CALL_SPREAD);
            let offset = golden_ratio_point(f64::from(self.settings.number)) * spread as f64;
            self.timers.set(now + offset as Micros, Timer::Subscribe);
        }
    }

    /// Schedules the next call after one has failed. If the failed call used none of discovery's processing
    /// time, the next one follows after a short delay, a few times in a row; otherwise it waits for this
    /// dispatcher's time slot.
    pub(super) fn on_list_failure(&mut self, now: Micros, is_cheap: bool) {
        self.list_failures += 1;
        if is_cheap && self.list_failures <= MAX_CHEAP_RETRIES {
            self.timers.set(now + CHEAP_RETRY_DELAY, Timer::Subscribe);
        } else {
            self.schedule_subscription(now);
        }
    }

    /// Requests the list now.
    pub(super) fn on_list_wanted(&mut self, now: Micros) {
        if self.settings.must_subscribe {
            self.timers.set(now, Timer::Subscribe);
        }
    }

    /// Records whether attempts may be made with the list. If they may, all held jobs search again.
    pub(super) fn on_attempts_allowed(&mut self, now: Micros, allowed: bool) {
        self.attempts_allowed = allowed;
        if allowed {
            self.retry_held_jobs(now, &vec![true; self.cycles.len()]);
        }
    }

    /// Requests the list soon, because an endpoint that fails may have been removed from it without the
    /// watch on the list having reported it.
    pub(super) fn request_list_refresh(&mut self, now: Micros) {
        let blocked = self.list_refresh_blocked_until > now || self.settings.is_large_fleet();
        if !self.settings.must_subscribe || blocked {
            return;
        }
        self.list_refresh_blocked_until = now + Settings::NOTIFICATION_BOUND;
        let jitter = self.rng.u64(0..=Settings::NOTIFICATION_BOUND / REFRESH_JITTER_DIVISOR);
        self.timers.set(now + jitter, Timer::Subscribe);
    }

    /// Schedules a call in this dispatcher's next time slot. There is one slot per `NOTIFICATION_BOUND`, or
    /// `SMALL_FLEET_CALLS_PER_BOUND` of them in a small fleet. The slots keep dispatchers from calling at
    /// the same time, and keep the time to the next call bounded.
    fn schedule_subscription(&mut self, now: Micros) {
        let bound = Settings::NOTIFICATION_BOUND;
        let small_fleet_calls = SMALL_FLEET_CALLS_PER_BOUND[self.list_failures.min(2) as usize];
        let period = bound / if self.settings.is_large_fleet() { 1 } else { small_fleet_calls };
        let offset = (golden_ratio_point(f64::from(self.settings.number)) * bound as f64) as Micros;
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

    /// Applies one entry of the list. Returns whether the cycles have to be rebuilt.
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
        // A change of size that is worth less than one turn of an average endpoint does not rebuild the
        // cycle.
        let is_resized = (size - endpoint.listed.size).abs() > size / AVERAGE_TURNS;
        let changed = is_resized || endpoint.is_ready != is_ready;
        let size = if is_resized { size } else { endpoint.listed.size };
        endpoint.listed = Endpoint { size, ..*listed };
        endpoint.is_ready = is_ready;
        changed
    }

    /// Returns the index of an endpoint. A new endpoint is added with size 0, so that applying its entry
    /// counts as a change of size.
    fn find_or_insert(&mut self, listed: &Endpoint, tokens: f64) -> EndpointIndex {
        *self.endpoint_index.entry(listed.id).or_insert_with(|| {
            self.endpoints.push(EndpointState::new(Endpoint { size: 0.0, ..*listed }, tokens));
            self.endpoints.len() - 1
        })
    }
}
