//! What a fleet sees and steers of a core: the traffic split, what its zones did, and what they have now.

use super::Core;
use super::endpoint_table::ListScope;
use super::traffic_split::{TrafficEvent, TrafficSplit};
use crate::routing::{Endpoint, EndpointStatus};

/// What a zone has at one moment, as its dispatcher knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// Attempts that are open there.
    pub open_attempts: usize,
    /// The sizes of its listed endpoints that take work, in sum.
    pub ready_size: f64,
}

impl Core {
    /// From now on the sizes of its zones' endpoints are scaled, and what the zones do is recorded.
    pub fn enable_traffic_split(&mut self) {
        self.traffic_split = Some(Box::new(TrafficSplit::new(self.site.zones.len())));
    }

    /// What each zone may get from now on, and which share of requests is admitted, in thousandths.
    pub fn set_traffic_split(&mut self, zone_shares: Vec<u16>, admitted_share: u16) {
        let split = self.traffic_split.as_mut();
        if split.is_some_and(|split| split.set(zone_shares, admitted_share)) {
            let endpoints = self.scaled_endpoints();
            self.notify_routers(&endpoints, ListScope::Changes);
        }
    }

    /// Names what has happened in its zones since the last call.
    pub fn drain_traffic_events(&mut self, consume: impl FnMut(TrafficEvent)) {
        if let Some(split) = &mut self.traffic_split {
            split.drain_events(consume);
        }
    }

    /// The load of each of so many zones, by the site's order.
    pub fn zone_loads(&self, zones: usize) -> Vec<ZoneLoad> {
        let mut loads = vec![ZoneLoad::default(); zones];
        for line in self.endpoints.listed() {
            let endpoint = &line.endpoint;
            if let Some(load) = loads.get_mut(usize::from(endpoint.zone))
                && endpoint.status == EndpointStatus::Ready
            {
                load.ready_size += endpoint.size;
            }
        }
        let attempts = self.jobs.iter().flat_map(|job| &job.attempts);
        for attempt in attempts.filter(|attempt| attempt.is_open) {
            let zone = self.endpoints.get(attempt.endpoint).map(|line| usize::from(line.endpoint.zone));
            if let Some(load) = zone.and_then(|zone| loads.get_mut(zone)) {
                load.open_attempts += 1;
            }
        }
        loads
    }

    /// All listed endpoints as routers are to see them.
    pub(super) fn scaled_endpoints(&self) -> Vec<Endpoint> {
        let mut endpoints: Vec<Endpoint> = self.endpoints.listed().iter().map(|line| line.endpoint).collect();
        if let Some(split) = &self.traffic_split {
            split.scale(&mut endpoints);
        }
        endpoints
    }
}
