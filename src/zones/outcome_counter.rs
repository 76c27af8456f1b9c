//! Counts the outcomes of one dispatcher's attempts per zone, and builds the digests that are sent to voters.
//!
//! The counter keeps a sliding window of [`WINDOW_STEPS`] steps of [`WINDOW_STEP_MS`]. The caller records each attempt
//! and each arrival as it happens, and calls [`OutcomeCounter::advance`] regularly. `health_reports` derives the health
//! of zones from the counts. Times are in milliseconds of the caller's clock.

use serde::{Deserialize, Serialize};

use super::MAX_ZONES;

/// The length of one window step, in milliseconds. A digest is sent at the end of each step.
pub const WINDOW_STEP_MS: f64 = 250.0;
/// The number of steps in the window. A digest covers the last second.
const WINDOW_STEPS: usize = 4;
/// Minimum number of failed attempts in a window for a zone to count as failing, and of answered attempts for it to
/// count as working.
const MIN_ATTEMPTS: u32 = 3;
/// A zone counts as working if its answered attempts exceed this many times its failed ones.
const WORKING_RATIO: u32 = 5;
/// Maximum value of [`ZoneSample::mean_latency_ms`], in milliseconds, so that it fits the 16 bits of the wire format.
const MAX_MEAN_LATENCY_MS: f64 = 65e3;

/// The result of an attempt at an endpoint, as evidence for the health of the endpoint's zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint answered; the kind of answer does not matter.
    Answered,
    /// The connection was refused or broke.
    Refused,
    /// The attempt timed out without an answer.
    Silent,
}

/// A dispatcher's current load of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneLoad {
    /// The number of this dispatcher's attempts that are in flight to the zone.
    pub in_flight: u16,
    /// The number of slots of the zone's endpoints in the endpoint list.
    pub slots: u16,
}

/// A dispatcher's counts for a zone within its window. The field order determines the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSample {
    /// The number of attempts that were answered.
    pub answered: u16,
    /// The number of attempts whose connection was refused or broke.
    pub refused: u16,
    /// The number of attempts that timed out without an answer.
    pub silent: u16,
    /// The mean latency of the answered attempts, in milliseconds.
    pub mean_latency_ms: u16,
    /// The number of attempts that are currently in flight.
    pub in_flight: u16,
    /// The number of slots of the zone's endpoints in the endpoint list.
    pub slots: u16,
}

impl ZoneSample {
    /// Returns whether most attempts at the zone failed, with at least `MIN_ATTEMPTS` failures.
    pub fn is_failing(&self) -> bool {
        let failed = self.failed();
        failed >= MIN_ATTEMPTS && failed > u32::from(self.answered)
    }

    /// Returns whether the zone is failing, answers nothing and refuses more attempts than it lets time out. In a zone
    /// that is only slow, most attempts time out.
    pub fn is_refusing(&self) -> bool {
        self.is_failing() && self.answered == 0 && self.refused > self.silent
    }

    /// Returns whether nearly all attempts at the zone were answered, at least `MIN_ATTEMPTS` of them.
    pub fn is_working(&self) -> bool {
        let answered = u32::from(self.answered);
        answered >= MIN_ATTEMPTS && self.failed() * WORKING_RATIO < answered
    }

    /// Returns whether any attempt at the zone ended in the window.
    pub(super) fn has_attempts(&self) -> bool {
        self.answered > 0 || self.has_failures()
    }

    /// Returns whether attempts at the zone failed and none was answered.
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

/// One dispatcher's window, as sent to the voters. A new digest is built every [`WINDOW_STEP_MS`]. The field order
/// determines the wire format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The start time of the dispatcher's process, by its own clock.
    pub incarnation: u64,
    /// The sequence number of the digest within the process.
    pub number: u64,
    /// The zone that the dispatcher is in.
    pub zone: u16,
    /// The number of requests that are open at the dispatcher.
    pub open_requests: u16,
    /// The number of requests that arrived in the window.
    pub arrived: u16,
    /// The number of these requests that were rejected because the zones have no capacity for them.
    pub rejected: u16,
    /// The samples, one per zone.
    pub samples: Vec<ZoneSample>,
}

impl Digest {
    /// Returns the number of requests that would be open at the dispatcher if none were rejected.
    pub fn offered(&self) -> f64 {
        let accepted = self.arrived.saturating_sub(self.rejected).max(1);
        f64::from(self.open_requests) * f64::from(self.arrived.max(1)) / f64::from(accepted)
    }

    /// Returns whether the dispatcher got no answer from any zone and finds at least one zone failing.
    pub(super) fn fails_everywhere(&self) -> bool {
        self.samples.iter().any(ZoneSample::is_failing) && !self.samples.iter().any(|s| s.answered > 0)
    }
}

/// The counts of one window step.
#[derive(Clone, Copy, Debug, Default)]
struct StepCounts {
    answered: u32,
    refused: u32,
    silent: u32,
    /// The sum of the latencies of the answered attempts, in milliseconds.
    latency_sum_ms: f64,
    arrived: u32,
    rejected: u32,
}

/// Counts the attempts and arrivals of one dispatcher in a sliding window.
#[derive(Clone, Debug)]
pub struct OutcomeCounter {
    incarnation: u64,
    /// The sequence number of the newest digest.
    digest_number: u64,
    own_zone: u16,
    /// The window of each zone. Arrivals and rejections, which belong to no zone, are counted in the first one.
    windows: Vec<[StepCounts; WINDOW_STEPS]>,
    current_step: usize,
    step_started_ms: f64,
}

impl OutcomeCounter {
    /// Creates an empty counter for a dispatcher in `own_zone`.
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

    /// Records that an attempt at a zone ended after `latency_ms`. Ignores an unknown zone.
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

    /// Starts the next window step if the current one is over. Returns whether it did.
    pub fn advance(&mut self, now: f64) -> bool {
        if now < self.step_started_ms + WINDOW_STEP_MS {
            return false;
        }
        // After a process was suspended, clear all steps that have become outdated: at most the whole window.
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

    /// Returns the current sample of each zone. `zone_load` returns the current load of a zone.
    pub fn samples(&self, zone_load: impl Fn(usize) -> ZoneLoad) -> Vec<ZoneSample> {
        let windows = self.windows.iter().enumerate();
        windows.map(|(zone, window)| sample(window, zone_load(zone))).collect()
    }

    /// Builds the next digest. `zone_load` returns the current load of a zone.
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

/// Returns the sum of one count over a window, capped at the maximum of the wire format.
fn saturating_sum(window: &[StepCounts; WINDOW_STEPS], count: fn(&StepCounts) -> u32) -> u16 {
    let sum: u32 = window.iter().map(count).sum();
    sum.min(u32::from(u16::MAX)) as u16
}
