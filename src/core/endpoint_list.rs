//! Handles events about endpoints: the list and its updates, failed calls to discovery, and probes.

use super::Core;
use super::clock::{micros, millis};
use super::endpoint_table::{ListScope, ListedEndpoint, MAX_ENDPOINTS};
use super::partition::ALL_ENDPOINTS;
use crate::routing::{
    CallFailure, Endpoint, EndpointId, Event, LoadReport, Micros, PredecessorList, WarmState,
};

impl Core {
    /// Restores the list as it was stored before a restart.
    pub fn restore_list(&mut self, entries: Vec<ListedEndpoint>) {
        let now = micros(self.clock.now());
        self.list_freshness.on_start(now);
        self.attempts_allowed = self.list_freshness.allows_attempts(now);
        self.hand_to_router(ALL_ENDPOINTS, Event::AttemptsAllowed(self.attempts_allowed));
        let endpoints = self.apply_entries(entries, ListScope::Complete);
        self.process_event(ALL_ENDPOINTS, Event::Cached(&endpoints));
    }

    /// Records that a call to discovery was sent. Discovery may delay its answer by up to `wait_ms` until the
    /// list changes; with 0 it answers at once.
    pub fn on_list_call(&mut self, wait_ms: f64) {
        self.list_freshness.on_call(micros(self.clock.now()), micros(wait_ms));
    }

    /// Records that another discovery service is used from now on.
    pub fn on_discovery_changed(&mut self) {
        self.list_freshness.on_service_changed(micros(self.clock.now()));
        self.refresh_attempts_allowed();
    }

    /// Applies the complete list or an update of it.
    pub fn on_list(&mut self, entries: Vec<ListedEndpoint>, scope: ListScope) {
        self.statistics.counters.lists += 1;
        self.confirm_list();
        let endpoints = self.apply_entries(entries, scope);
        self.notify_routers(&endpoints, scope);
    }

    /// Records that a call to discovery has failed or the watch has ended; the router decides when to call
    /// again.
    pub fn on_list_failed(&mut self, failure: CallFailure) {
        let lasted = self.record_list_failure(failure);
        let is_cheap = failure.is_cheap(lasted);
        self.process_event(ALL_ENDPOINTS, Event::ListFailed { is_cheap });
    }

    /// Records that a call to discovery has failed and that the frontend repeats it by itself.
    pub fn on_list_call_repeated(&mut self, failure: CallFailure) {
        self.record_list_failure(failure);
    }

    /// Records the end of a probe: `answered` is false if it timed out.
    pub fn on_probe_ended(
        &mut self,
        endpoint: EndpointId,
        answered: bool,
        latency_ms: f64,
        report: LoadReport,
    ) {
        let event = Event::Probed { endpoint, answered, latency: micros(latency_ms), report };
        self.process_event(ALL_ENDPOINTS, event);
        for partition in self.routers.partition_ids() {
            self.process_event(partition, event);
        }
    }

    /// Restores the list and the learned state of a process that this one replaces. The list is used only if
    /// this process has not read one. Returns false, and does not restore the learned state, if that state is
    /// implausible here.
    pub fn restore_warm_state(&mut self, entries: Vec<ListedEndpoint>, state: WarmState) -> bool {
        let left_at = micros(self.clock.now());
        let list = PredecessorList { left_at, usable_for: Micros::MAX, is_watched: true };
        self.restore_from_predecessor(entries, list, state)
    }

    /// Like [`Core::restore_warm_state`], for a predecessor that states how long its list may be used.
    pub fn restore_from_predecessor(
        &mut self,
        entries: Vec<ListedEndpoint>,
        list: PredecessorList,
        state: WarmState,
    ) -> bool {
        if !self.has_read_list() {
            self.on_predecessor_list(entries, list);
            self.process_event(ALL_ENDPOINTS, Event::ListWanted);
        }
        self.routers.restore(micros(self.clock.now()), state)
    }

    /// Applies the list of a predecessor that still runs beside this process, unless this process has read
    /// one itself.
    pub fn on_predecessor_list(&mut self, entries: Vec<ListedEndpoint>, list: PredecessorList) {
        if self.has_read_list() {
            return;
        }
        // The list is applied first: as soon as attempts are allowed, held jobs are sent to the endpoints
        // known by then.
        let endpoints = self.apply_entries(entries, ListScope::Complete);
        self.notify_routers(&endpoints, ListScope::Complete);
        self.list_freshness.on_predecessor_list(list);
        self.refresh_attempts_allowed();
    }

    /// Whether discovery has answered a call of this process.
    pub fn has_read_list(&self) -> bool {
        self.statistics.counters.lists > 0
    }

    /// Records that the watch on the list has ended because the process is stopping.
    pub fn on_watch_stopped(&mut self) {
        self.record_list_failure(CallFailure::Local);
    }

    /// Returns how much longer the list may be used, in milliseconds.
    pub fn list_usable_for_ms(&self) -> f64 {
        millis(self.list_freshness.usable_for(micros(self.clock.now())))
    }

    /// Applies entries to the endpoint table and returns the endpoints as routers see them.
    fn apply_entries(&mut self, entries: Vec<ListedEndpoint>, scope: ListScope) -> Vec<Endpoint> {
        let dropped_before = self.endpoints.dropped_entries();
        let mut endpoints = self.endpoints.apply(entries, scope);
        let dropped = self.endpoints.dropped_entries() - dropped_before;
        if dropped > 0 {
            self.statistics.counters.lines_dropped += dropped;
            crate::say(format_args!(
                "the list has {dropped} servers more than the limit of {MAX_ENDPOINTS}; they are ignored"
            ));
        }
        if let Some(split) = &self.traffic_split {
            split.scale(&mut endpoints);
        }
        endpoints
    }

    /// Passes the list or an update to all routers.
    pub(super) fn notify_routers(&mut self, endpoints: &[Endpoint], scope: ListScope) {
        self.process_event(ALL_ENDPOINTS, list_event(endpoints, scope));
        for partition in self.routers.partition_ids() {
            let selector = self.routers.selector(partition);
            let selected = selector.map(|selector| selector.select(&self.endpoints, endpoints));
            self.process_event(partition, list_event(&selected.unwrap_or_default(), scope));
        }
    }
}

/// Returns the event that passes the list or an update to a router.
fn list_event(endpoints: &[Endpoint], scope: ListScope) -> Event<'_> {
    match scope {
        ListScope::Complete => Event::List(endpoints),
        ListScope::Changes => Event::Changes(endpoints),
    }
}
