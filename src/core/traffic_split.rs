//! The traffic split between zones. A zone's share scales the endpoint sizes that the router sees, and
//! traffic events are recorded for the fleet, which decides on the shares. A core without a fleet has no
//! traffic split.

use crate::routing::{Endpoint, EndpointStatus, Outcome};
use crate::zones::{AdmissionShare, AttemptResult, FULL_SHARE};

/// Largest number of events recorded between two calls of `drain_events`: many times what a dispatcher can
/// handle in its interval of 50 ms.
const MAX_RECORDED_EVENTS: usize = 1 << 16;

/// An event recorded for the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrafficEvent {
    /// A request has arrived.
    Arrived(Admission),
    /// An attempt has ended.
    AttemptEnded {
        /// Zone of its endpoint, by index in the settings.
        zone: u16,
        /// Result of the attempt, as evidence for the zone's health.
        result: AttemptResult,
        /// Response time of the endpoint, in milliseconds.
        latency_ms: f64,
    },
}

/// Whether a request was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request was admitted.
    Admitted,
    /// The request was rejected because no zone has capacity for it.
    Rejected,
}

/// Zone shares, admission share and recorded events of one core.
#[derive(Debug)]
pub(super) struct TrafficSplit {
    /// Share of traffic for each zone, in thousandths.
    zone_shares: Vec<u16>,
    /// Share of requests that is admitted, in thousandths.
    admitted_share: u16,
    admission: AdmissionShare,
    events: Vec<TrafficEvent>,
}

impl TrafficSplit {
    /// Returns a split in which all zones have their full share.
    pub(super) fn new(zones: usize) -> TrafficSplit {
        TrafficSplit {
            zone_shares: vec![FULL_SHARE; zones],
            admitted_share: FULL_SHARE,
            admission: AdmissionShare::default(),
            events: Vec::new(),
        }
    }

    /// Sets new shares. Returns true if those of the zones have changed, so that the routers must be
    /// notified.
    pub(super) fn set(&mut self, zone_shares: Vec<u16>, admitted_share: u16) -> bool {
        self.admitted_share = admitted_share;
        let has_changed = self.zone_shares != zone_shares;
        self.zone_shares = zone_shares;
        has_changed
    }

    fn record(&mut self, event: TrafficEvent) {
        if self.events.len() < MAX_RECORDED_EVENTS {
            self.events.push(event);
        }
    }

    /// Decides whether the next request is admitted, and records its arrival.
    pub(super) fn admits_next(&mut self) -> bool {
        let admits = self.admitted_share >= FULL_SHARE || self.admission.admits(self.admitted_share);
        let admission = if admits { Admission::Admitted } else { Admission::Rejected };
        self.record(TrafficEvent::Arrived(admission));
        admits
    }

    /// Records the end of an attempt if its outcome says something about the zone.
    pub(super) fn record_attempt(&mut self, zone: u16, outcome: Outcome, latency_ms: f64) {
        if let Some(result) = zone_result(outcome) {
            self.record(TrafficEvent::AttemptEnded { zone, result, latency_ms });
        }
    }

    /// Passes each event recorded since the last call to `consume`.
    pub(super) fn drain_events(&mut self, consume: impl FnMut(TrafficEvent)) {
        self.events.drain(..).for_each(consume);
    }

    /// Scales the sizes of endpoints by their zone's share. With a share of 0, ready endpoints count as
    /// draining.
    pub(super) fn scale(&self, endpoints: &mut [Endpoint]) {
        for endpoint in endpoints {
            match self.zone_shares.get(usize::from(endpoint.zone)).copied().unwrap_or(FULL_SHARE) {
                0 if endpoint.status == EndpointStatus::Ready => endpoint.status = EndpointStatus::Draining,
                0 | FULL_SHARE => {}
                share => endpoint.size *= f64::from(share) / f64::from(FULL_SHARE),
            }
        }
    }
}

/// Maps the outcome of an attempt to a result for its zone; `None` if it says nothing about the zone.
fn zone_result(outcome: Outcome) -> Option<AttemptResult> {
    match outcome {
        Outcome::Served | Outcome::Error | Outcome::Full | Outcome::NoRetry => Some(AttemptResult::Answered),
        Outcome::TimedOut => Some(AttemptResult::Silent),
        Outcome::Unreachable | Outcome::Reset => Some(AttemptResult::Refused),
        Outcome::Cancelled | Outcome::NotSent | Outcome::Unknown => None,
    }
}
