//! Steering: what each zone may get reaches the module through its list, and what zones did is kept for whoever
//! steers. Off, it is not there.

use crate::routing::{Endpoint, EndpointStatus, Outcome};
use crate::zones::{AdmissionShare, AttemptResult, FULL_SHARE};

/// Most events that are kept between two looks.
const KEPT: usize = 1 << 16;

/// What has happened since the last look.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrafficEvent {
    /// A request came, and was turned away since zones have no room, or not.
    Came {
        /// It was turned away.
        turned: bool,
    },
    /// A dispatch has ended.
    Ended {
        /// The zone of its server, by the site's order.
        zone: u16,
        /// How, as far as the zone goes.
        end: AttemptResult,
        /// After so many milliseconds.
        took: f64,
    },
}

/// What steers a core.
#[derive(Debug)]
pub(super) struct TrafficSplit {
    /// What each zone of the site may get.
    pub(super) shares: Vec<u16>,
    /// What of the requests is taken.
    pub(super) admit: u16,
    gate: AdmissionShare,
    pub(super) seen: Vec<TrafficEvent>,
}

impl TrafficSplit {
    pub(super) fn new(zones: usize) -> TrafficSplit {
        TrafficSplit {
            shares: vec![FULL_SHARE; zones],
            admit: FULL_SHARE,
            gate: AdmissionShare::default(),
            seen: Vec::new(),
        }
    }

    pub(super) fn note(&mut self, seen: TrafficEvent) {
        if self.seen.len() < KEPT {
            self.seen.push(seen);
        }
    }

    /// Whether the next request is taken.
    pub(super) fn takes(&mut self) -> bool {
        let takes = self.admit >= FULL_SHARE || self.gate.admits(self.admit);
        self.note(TrafficEvent::Came { turned: !takes });
        takes
    }

    /// Members as the module is to see them: a zone's share scales their size, and none is a drain.
    pub(super) fn fit(&self, members: &mut [Endpoint]) {
        for member in members {
            match self.shares.get(usize::from(member.zone)).copied().unwrap_or(FULL_SHARE) {
                0 if member.status == EndpointStatus::Ready => member.status = EndpointStatus::Draining,
                0 | FULL_SHARE => {}
                share => member.size *= f64::from(share) / f64::from(FULL_SHARE),
            }
        }
    }
}

/// What a dispatch's outcome says of its zone; none where it says nothing.
pub(super) fn end(outcome: Outcome) -> Option<AttemptResult> {
    match outcome {
        Outcome::Served | Outcome::Error | Outcome::Full | Outcome::Unfit => Some(AttemptResult::Answered),
        Outcome::TimedOut => Some(AttemptResult::Silent),
        Outcome::Unreachable | Outcome::Reset => Some(AttemptResult::Refused),
        Outcome::Cancelled | Outcome::NotSent | Outcome::Unknown => None,
    }
}
