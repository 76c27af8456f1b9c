//! What a core does with news of its endpoints: the list and its changes, calls for it that failed, and probes.

use super::Core;
use super::clock::{micros, millis};
use super::endpoint_table::{ListScope, ListedEndpoint, MAX_ENDPOINTS};
use super::partition::ALL_ENDPOINTS;
use crate::routing::{
    CallFailure, Endpoint, EndpointId, Event, LoadReport, Micros, PredecessorList, WarmState,
};

impl Core {
    /// The list as last held before a restart.
    pub fn restore_list(&mut self, lines: Vec<ListedEndpoint>) {
        let now = micros(self.clock.now());
        self.list_freshness.on_start(now);
        self.attempts_allowed = self.list_freshness.allows_attempts(now);
        self.hand_to_router(ALL_ENDPOINTS, Event::AttemptsAllowed(self.attempts_allowed));
        let endpoints = self.apply_lines(lines, ListScope::Complete);
        self.drive(ALL_ENDPOINTS, Event::Cached(&endpoints));
    }

    /// A call to discovery goes out that may wait so long for news; 0: it is answered at once.
    pub fn on_list_call(&mut self, wait_ms: f64) {
        self.list_freshness.on_call(micros(self.clock.now()), micros(wait_ms));
    }

    /// Another discovery is asked from now on.
    pub fn on_discovery_changed(&mut self) {
        self.list_freshness.on_service_changed(micros(self.clock.now()));
        self.refresh_attempts_allowed();
    }

    /// The list, or its changes.
    pub fn on_list(&mut self, lines: Vec<ListedEndpoint>, scope: ListScope) {
        self.statistics.counters.lists += 1;
        self.confirm_list();
        let endpoints = self.apply_lines(lines, scope);
        self.notify_routers(&endpoints, scope);
    }

    /// A call to discovery has failed, or the watch broke: the router says when to call again.
    pub fn on_list_failed(&mut self, failure: CallFailure) {
        let lasted = self.record_list_failure(failure);
        let is_cheap = failure.is_cheap(lasted);
        self.drive(ALL_ENDPOINTS, Event::ListFailed { is_cheap });
    }

    /// A call to discovery has failed, and its frontend makes it again by itself.
    pub fn on_list_call_repeated(&mut self, failure: CallFailure) {
        self.record_list_failure(failure);
    }

    /// A probe has come back, or has not in time.
    pub fn on_probe_ended(
        &mut self,
        endpoint: EndpointId,
        answered: bool,
        latency_ms: f64,
        report: LoadReport,
    ) {
        let event = Event::Probed { endpoint, answered, latency: micros(latency_ms), report };
        self.drive(ALL_ENDPOINTS, event);
        for partition in self.routers.partition_ids() {
            self.drive(partition, event);
        }
    }

    /// Takes over the list and what was learned of a process that this one replaces. The list only where none has been
    /// read here; false where what was learned cannot be true here, and then it is not taken over.
    pub fn restore_warm_state(&mut self, lines: Vec<ListedEndpoint>, state: WarmState) -> bool {
        let left_at = micros(self.clock.now());
        let list = PredecessorList { left_at, usable_for: Micros::MAX, is_watched: true };
        self.restore_from_predecessor(lines, list, state)
    }

    /// The same, of a process that says until when its list may be used.
    pub fn restore_from_predecessor(
        &mut self,
        lines: Vec<ListedEndpoint>,
        list: PredecessorList,
        state: WarmState,
    ) -> bool {
        if !self.has_read_list() {
            self.on_predecessor_list(lines, list);
            self.drive(ALL_ENDPOINTS, Event::ListWanted);
        }
        self.routers.restore(micros(self.clock.now()), state)
    }

    /// Takes over the list that a process beside this one has left, where none has been read here.
    pub fn on_predecessor_list(&mut self, lines: Vec<ListedEndpoint>, list: PredecessorList) {
        if self.has_read_list() {
            return;
        }
        // The list comes first: as attempts are allowed held jobs are sent by it.
        let endpoints = self.apply_lines(lines, ListScope::Complete);
        self.notify_routers(&endpoints, ListScope::Complete);
        self.list_freshness.on_predecessor_list(list);
        self.refresh_attempts_allowed();
    }

    /// Whether discovery has answered a call of this process.
    pub fn has_read_list(&self) -> bool {
        self.statistics.counters.lists > 0
    }

    /// The list is not watched any more, as the process ends.
    pub fn on_watch_stopped(&mut self) {
        self.record_list_failure(CallFailure::Local);
    }

    /// For how long the list may be used from now on, in milliseconds.
    pub fn list_usable_for_ms(&self) -> f64 {
        millis(self.list_freshness.usable_for(micros(self.clock.now())))
    }

    /// Takes lines into the endpoint table, and gives them as routers are to see them.
    fn apply_lines(&mut self, lines: Vec<ListedEndpoint>, scope: ListScope) -> Vec<Endpoint> {
        let dropped_before = self.endpoints.dropped_lines();
        let mut endpoints = self.endpoints.apply(lines, scope);
        let dropped = self.endpoints.dropped_lines() - dropped_before;
        if dropped > 0 {
            self.statistics.counters.lines_dropped += dropped;
            crate::say(format_args!(
                "the list has {dropped} servers more than the {MAX_ENDPOINTS} that are held"
            ));
        }
        if let Some(split) = &self.traffic_split {
            split.scale(&mut endpoints);
        }
        endpoints
    }

    /// Tells all routers of the list, or of its changes.
    pub(super) fn notify_routers(&mut self, endpoints: &[Endpoint], scope: ListScope) {
        self.drive(ALL_ENDPOINTS, list_event(endpoints, scope));
        for partition in self.routers.partition_ids() {
            let selector = self.routers.selector(partition);
            let selected = selector.map(|selector| selector.select(&self.endpoints, endpoints));
            self.drive(partition, list_event(&selected.unwrap_or_default(), scope));
        }
    }
}

/// The event that tells a router of the list, or of its changes.
fn list_event(endpoints: &[Endpoint], scope: ListScope) -> Event<'_> {
    match scope {
        ListScope::Complete => Event::List(endpoints),
        ListScope::Changes => Event::Changes(endpoints),
    }
}
