//! The interface between a core and its fleet: the fleet sets the traffic split, and reads traffic events and
//! the current load of the zones.

use super::Core;
use super::endpoint_table::ListScope;
use super::traffic_split::{TrafficEvent, TrafficSplit};
use crate::routing::{Endpoint, EndpointStatus};

/// Load and ready endpoint size of a zone at one moment, as this dispatcher sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// Number of open attempts at endpoints of the zone.
    pub open_attempts: usize,
    /// Sum of the sizes of the zone's listed endpoints that accept work.
    pub ready_size: f64,
}

impl Core {
    /// Enables the traffic split: endpoint sizes are scaled by their zone's share, and traffic events are
    /// recorded.
    pub fn enable_traffic_split(&mut self) {
        self.traffic_split = Some(Box::new(TrafficSplit::new(self.site.zones.len())));
    }

    /// Sets the share of traffic for each zone and the share of requests that is admitted, in thousandths.
    pub fn set_traffic_split(&mut self, zone_shares: Vec<u16>, admitted_share: u16) {
        let split = self.traffic_split.as_mut();
        if split.is_some_and(|split| split.set(zone_shares, admitted_share)) {
            let endpoints = self.scaled_endpoints();
            self.notify_routers(&endpoints, ListScope::Changes);
        }
    }

    /// Passes each traffic event recorded since the last call to `consume`.
    pub fn drain_traffic_events(&mut self, consume: impl FnMut(TrafficEvent)) {
        if let Some(split) = &mut self.traffic_split {
            split.drain_events(consume);
        }
    }

    /// Returns the loads of the first `zones` zones, in the order of the settings.
    pub fn zone_loads(&self, zones: usize) -> Vec<ZoneLoad> {
        let mut loads = vec![ZoneLoad::default(); zones];
        for entry in self.endpoints.listed() {
            let endpoint = &entry.endpoint;
            if let Some(load) = loads.get_mut(usize::from(endpoint.zone))
                && endpoint.status == EndpointStatus::Ready
            {
                load.ready_size += endpoint.size;
            }
        }
        let attempts = self.jobs.iter().flat_map(|job| &job.attempts);
        for attempt in attempts.filter(|attempt| attempt.is_open) {
            let zone = self.endpoints.get(attempt.endpoint).map(|entry| usize::from(entry.endpoint.zone));
            if let Some(load) = zone.and_then(|zone| loads.get_mut(zone)) {
                load.open_attempts += 1;
            }
        }
        loads
    }

    /// Returns all listed endpoints as routers see them, with sizes scaled by the traffic split.
    pub(super) fn scaled_endpoints(&self) -> Vec<Endpoint> {
        let mut endpoints: Vec<Endpoint> =
            self.endpoints.listed().iter().map(|entry| entry.endpoint).collect();
        if let Some(split) = &self.traffic_split {
            split.scale(&mut endpoints);
        }
        endpoints
    }
}
