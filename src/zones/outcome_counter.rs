//! What one dispatcher counts of its own attempts, per zone, and the digest of it that voters get.
//!
//! The counter owns a sliding window of [`WINDOW_STEPS`] steps of [`WINDOW_STEP_MS`]. The caller records each attempt and
//! each arrival as it happens, and calls [`OutcomeCounter::advance`] regularly; what is read from the counts is
//! `health_reports`' part. Times are milliseconds of the caller's clock.

use serde::{Deserialize, Serialize};

use super::MAX_ZONES;

/// Length of one step of the window, in milliseconds; a digest is sent at the end of each.
pub const WINDOW_STEP_MS: f64 = 250.0;
/// Steps of the window: a digest covers the newest second.
const WINDOW_STEPS: usize = 4;
/// Fewest attempts in a window, failed or answered, from which one dispatcher's sample tells the health of a zone.
const MIN_ATTEMPTS: u32 = 3;
/// A zone is working where its answered attempts are more than this many times its failed ones.
const WORKING_RATIO: u32 = 5;
/// Upper bound of [`ZoneSample::mean_latency_ms`], in milliseconds: it fits the 16 bits of the wire form.
const MAX_MEAN_LATENCY_MS: f64 = 65e3;

/// How an attempt at an endpoint ended, as far as it tells of the endpoint's zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// It was answered, whatever the answer.
    Answered,
    /// The connection was refused, or it broke.
    Refused,
    /// No answer arrived in time.
    Silent,
}

/// What a dispatcher has and knows in a zone at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneLoad {
    /// Attempts of this dispatcher that are in flight there.
    pub in_flight: u16,
    /// Slots of the zone's listed endpoints.
    pub slots: u16,
}

/// What a dispatcher counted of a zone in its window. The order of the fields is the wire form.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSample {
    /// Attempts that were answered.
    pub answered: u16,
    /// Attempts whose connection was refused or broke.
    pub refused: u16,
    /// Attempts without an answer in time.
    pub silent: u16,
    /// Mean latency of the answered attempts, in milliseconds.
    pub mean_latency_ms: u16,
    /// Attempts that are in flight now.
    pub in_flight: u16,
    /// Slots of the zone's listed endpoints.
    pub slots: u16,
}

impl ZoneSample {
    /// Whether most attempts at the zone failed.
    pub fn is_failing(&self) -> bool {
        let failed = self.failed();
        failed >= MIN_ATTEMPTS && failed > u32::from(self.answered)
    }

    /// Whether the zone fails by refusing connections and answers nothing. A zone that is only slow meets most attempts
    /// with silence.
    pub fn is_refusing(&self) -> bool {
        self.is_failing() && self.answered == 0 && self.refused > self.silent
    }

    /// Whether nearly all attempts at the zone were answered.
    pub fn is_working(&self) -> bool {
        let answered = u32::from(self.answered);
        answered >= MIN_ATTEMPTS && self.failed() * WORKING_RATIO < answered
    }

    /// Whether any attempt at the zone has ended in the window.
    pub(super) fn has_attempts(&self) -> bool {
        self.answered > 0 || self.has_failures()
    }

    /// Whether attempts at the zone failed and none was answered.
    pub(super) fn has_only_failures(&self) -> bool {
        self.answered == 0 && self.has_failures()
    }

    fn has_failures(&self) -> bool {
        self.refused > 0 || self.silent > 0
    }

    fn failed(&self) -> u32 {
        u32::from(self.refused) + u32::from(self.silent)
    }
}

/// One dispatcher's window, as it is sent to voters each [`WINDOW_STEP_MS`]. The order of the fields is the wire form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// When the dispatcher's process started, by its own clock.
    pub incarnation: u64,
    /// Number of the digest within the process.
    pub number: u64,
    /// The zone that the dispatcher is in.
    pub zone: u16,
    /// Requests that are open at the dispatcher.
    pub open_requests: u16,
    /// Requests that arrived in the window.
    pub arrived: u16,
    /// Requests of these that were rejected because the zones have no capacity for them.
    pub rejected: u16,
    /// One sample for each zone.
    pub samples: Vec<ZoneSample>,
}

impl Digest {
    /// Requests that would be open at the dispatcher if none were rejected.
    pub fn offered(&self) -> f64 {
        let accepted = self.arrived.saturating_sub(self.rejected).max(1);
        f64::from(self.open_requests) * f64::from(self.arrived.max(1)) / f64::from(accepted)
    }

    /// Whether the dispatcher got no answer from any zone, and finds at least one failing.
    pub(super) fn fails_everywhere(&self) -> bool {
        self.samples.iter().any(ZoneSample::is_failing) && !self.samples.iter().any(|s| s.answered > 0)
    }
}

/// What was counted in one step of the window.
#[derive(Clone, Copy, Debug, Default)]
struct StepCounts {
    answered: u32,
    refused: u32,
    silent: u32,
    /// Sum of the latencies of the answered attempts, in milliseconds.
    latency_sum_ms: f64,
    arrived: u32,
    rejected: u32,
}

/// The counts of one dispatcher.
#[derive(Clone, Debug)]
pub struct OutcomeCounter {
    incarnation: u64,
    /// Number of the newest digest.
    digest_number: u64,
    own_zone: u16,
    /// The window of each zone; arrivals of all zones are counted in the first.
    windows: Vec<[StepCounts; WINDOW_STEPS]>,
    current_step: usize,
    step_started_ms: f64,
}

impl OutcomeCounter {
    /// An empty counter of a dispatcher in `own_zone`.
    pub fn new(own_zone: u16, zones: usize, incarnation: u64, now: f64) -> OutcomeCounter {
        let zones = zones.clamp(1, MAX_ZONES);
        OutcomeCounter {
            incarnation,
            digest_number: 0,
            own_zone,
            windows: vec![[StepCounts::default(); WINDOW_STEPS]; zones],
            current_step: 0,
            step_started_ms: now,
        }
    }

    /// Records that an attempt at a zone has ended after `latency_ms`. An unknown zone is ignored.
    pub fn record_attempt(&mut self, zone: usize, result: AttemptResult, latency_ms: f64) {
        let Some(window) = self.windows.get_mut(zone) else { return };
        let counts = &mut window[self.current_step];
        match result {
            AttemptResult::Answered => {
                counts.answered += 1;
                counts.latency_sum_ms += latency_ms.max(0.0);
            }
            AttemptResult::Refused => counts.refused += 1,
            AttemptResult::Silent => counts.silent += 1,
        }
    }

    /// Records that a request arrived, and whether it was rejected because the zones have no capacity for it.
    pub fn record_arrival(&mut self, rejected: bool) {
        let counts = &mut self.windows[0][self.current_step];
        counts.arrived += 1;
        counts.rejected += u32::from(rejected);
    }

    /// Starts the next step of the window once the current one is over. Returns whether it did.
    pub fn advance(&mut self, now: f64) -> bool {
        if now < self.step_started_ms + WINDOW_STEP_MS {
            return false;
        }
        // A process that stood still for longer than the window has only outdated steps.
        let elapsed_steps = (now - self.step_started_ms) / WINDOW_STEP_MS;
        for _ in 0..elapsed_steps.min(WINDOW_STEPS as f64) as usize {
            self.current_step = (self.current_step + 1) % WINDOW_STEPS;
            for window in &mut self.windows {
                window[self.current_step] = StepCounts::default();
            }
        }
        self.step_started_ms = now;
        true
    }

    /// A sample of each zone's window; `zone_load` gives the present load of a zone.
    pub fn samples(&self, zone_load: impl Fn(usize) -> ZoneLoad) -> Vec<ZoneSample> {
        let windows = self.windows.iter().enumerate();
        windows.map(|(zone, window)| sample(window, zone_load(zone))).collect()
    }

    /// The next digest; `zone_load` gives the present load of a zone.
    pub fn next_digest(&mut self, open_requests: usize, zone_load: impl Fn(usize) -> ZoneLoad) -> Digest {
        self.digest_number += 1;
        let all = &self.windows[0];
        Digest {
            incarnation: self.incarnation,
            number: self.digest_number,
            zone: self.own_zone,
            open_requests: open_requests.min(usize::from(u16::MAX)) as u16,
            arrived: saturating_sum(all, |counts| counts.arrived),
            rejected: saturating_sum(all, |counts| counts.rejected),
            samples: self.samples(zone_load),
        }
    }
}

fn sample(window: &[StepCounts; WINDOW_STEPS], load: ZoneLoad) -> ZoneSample {
    let answered: u32 = window.iter().map(|counts| counts.answered).sum();
    let latency_sum_ms: f64 = window.iter().map(|counts| counts.latency_sum_ms).sum();
    let mean_latency_ms = latency_sum_ms / f64::from(answered.max(1));
    ZoneSample {
        answered: saturating_sum(window, |counts| counts.answered),
        refused: saturating_sum(window, |counts| counts.refused),
        silent: saturating_sum(window, |counts| counts.silent),
        mean_latency_ms: mean_latency_ms.min(MAX_MEAN_LATENCY_MS) as u16,
        in_flight: load.in_flight,
        slots: load.slots,
    }
}

/// Sum of one count over a window, at most what the wire form can carry.
fn saturating_sum(window: &[StepCounts; WINDOW_STEPS], count: fn(&StepCounts) -> u32) -> u16 {
    let sum: u32 = window.iter().map(count).sum();
    sum.min(u32::from(u16::MAX)) as u16
}
