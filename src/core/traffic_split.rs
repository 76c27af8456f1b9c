//! The traffic split: what each zone may get reaches the router through the sizes on its list, and what zones did is
//! recorded for whoever decides on them. Where no fleet is set up a core has none.

use crate::routing::{Endpoint, EndpointStatus, Outcome};
use crate::zones::{AdmissionShare, AttemptResult, FULL_SHARE};

/// Most events that are recorded between two calls of `drain_events`: what a dispatcher can do within its interval of
/// 50 ms, many times over.
const MAX_RECORDED_EVENTS: usize = 1 << 16;

/// What has happened since the last call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrafficEvent {
    /// A request came.
    Arrived(Admission),
    /// An attempt has ended.
    AttemptEnded {
        /// The zone of its endpoint, by the site's order.
        zone: u16,
        /// How it ended, as far as the zone goes.
        result: AttemptResult,
        /// How long its endpoint took, in milliseconds.
        latency_ms: f64,
    },
}

/// Whether a request was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It was.
    Admitted,
    /// It was rejected, since no zone has room for it.
    Rejected,
}

/// The traffic split of one core.
#[derive(Debug)]
pub(super) struct TrafficSplit {
    /// What each zone of the site may get, in thousandths.
    zone_shares: Vec<u16>,
    /// The share of requests that is admitted, in thousandths.
    admitted_share: u16,
    admission: AdmissionShare,
    events: Vec<TrafficEvent>,
}

impl TrafficSplit {
    /// One that lets all zones have all.
    pub(super) fn new(zones: usize) -> TrafficSplit {
        TrafficSplit {
            zone_shares: vec![FULL_SHARE; zones],
            admitted_share: FULL_SHARE,
            admission: AdmissionShare::default(),
            events: Vec::new(),
        }
    }

    /// Takes other shares over. True where those of the zones have changed, and routers are to be told.
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

    /// Whether the next request is admitted.
    pub(super) fn admits_next(&mut self) -> bool {
        let admits = self.admitted_share >= FULL_SHARE || self.admission.admits(self.admitted_share);
        let admission = if admits { Admission::Admitted } else { Admission::Rejected };
        self.record(TrafficEvent::Arrived(admission));
        admits
    }

    /// Records the end of an attempt, where its outcome says something of its zone.
    pub(super) fn record_attempt(&mut self, zone: u16, outcome: Outcome, latency_ms: f64) {
        if let Some(result) = zone_result(outcome) {
            self.record(TrafficEvent::AttemptEnded { zone, result, latency_ms });
        }
    }

    /// Names what was recorded since the last call.
    pub(super) fn drain_events(&mut self, consume: impl FnMut(TrafficEvent)) {
        self.events.drain(..).for_each(consume);
    }

    /// Endpoints as the router is to see them: a zone's share scales their size, and none is a drain.
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

/// What an attempt's outcome says of its zone; none where it says nothing.
fn zone_result(outcome: Outcome) -> Option<AttemptResult> {
    match outcome {
        Outcome::Served | Outcome::Error | Outcome::Full | Outcome::NoRetry => Some(AttemptResult::Answered),
        Outcome::TimedOut => Some(AttemptResult::Silent),
        Outcome::Unreachable | Outcome::Reset => Some(AttemptResult::Refused),
        Outcome::Cancelled | Outcome::NotSent | Outcome::Unknown => None,
    }
}
