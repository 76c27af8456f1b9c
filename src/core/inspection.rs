//! Read access to a core: open jobs, endpoints, settings, counters and gauges.

use super::Core;
use super::clock::{Clock, micros};
use super::counters::Counters;
use super::endpoint_table::EndpointTable;
use super::hold_counts::HoldCounts;
use super::job::ActiveJob;
use super::partition::ALL_ENDPOINTS;
use crate::routing::{JobId, WarmState};
use crate::settings::Site;
use crate::telemetry::{Gauges, Telemetry};

impl Core {
    /// Returns the learned state of the router for all endpoints.
    pub fn warm_state(&self) -> WarmState {
        self.routers.router(ALL_ENDPOINTS).warm_state()
    }

    /// Returns the number of jobs without a final answer.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns an open job.
    pub fn job(&self, id: JobId) -> Option<&ActiveJob> {
        self.jobs.get(id)
    }

    /// Returns the endpoint table.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// Returns the settings in use.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Returns the clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Returns the counters.
    pub fn counters(&self) -> &Counters {
        &self.statistics.counters
    }

    /// Returns the counters behind the metrics.
    pub fn telemetry(&self) -> &Telemetry {
        &self.statistics.telemetry
    }

    /// Returns how often jobs began to wait in the dispatcher, by reason.
    pub fn holds(&self) -> HoldCounts {
        self.statistics.holds
    }

    /// Returns the current gauges: open jobs, listed endpoints, and listed endpoints that get no jobs.
    pub fn gauges(&self) -> Gauges {
        let (now, listed) = (micros(self.clock.now()), self.endpoints.listed());
        let router = self.routers.router(ALL_ENDPOINTS);
        let unavailable = listed.iter().filter(|entry| router.is_unavailable(now, entry.endpoint.id)).count();
        Gauges {
            pending: self.jobs.len() as u64,
            members: listed.len() as u64,
            members_unavailable: unavailable as u64,
        }
    }
}
