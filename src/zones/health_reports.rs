//! Keeps the newest digest of each dispatcher and derives the health of each zone from them.
//!
//! Every voter keeps these reports, so that a new leader already has those of the last 1.5 seconds. The state machine
//! that acts on the health is `failover_controller`. Digests may arrive in any order and more than once, with the same
//! result. Times are in milliseconds of the caller's clock. The age of a digest counts from its arrival, so the clocks
//! of other members do not matter.

use std::collections::BTreeMap;

use super::outcome_counter::{Digest, ZoneSample};
use crate::fleet::MemberId;

/// How long a digest is used after its arrival, in milliseconds. Six consecutive digests must be lost before a
/// dispatcher is no longer counted.
pub const DIGEST_LIFETIME_MS: f64 = 1500.0;
/// Minimum number of dispatchers that can together report a zone as down if none of them alone has enough attempts.
const MIN_JOINT_REPORTERS: usize = 3;
/// Minimum total number of failed attempts for such a joint report.
const MIN_JOINT_FAILURES: u32 = 9;
/// For a joint report, failed attempts must exceed this many times the number of answered attempts.
const JOINT_FAILURE_RATIO: u32 = 3;

/// The way in which a zone fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureMode {
    /// Connections are refused, and no attempt was answered.
    Refusing,
    /// Attempts time out, or some are still answered: the zone may only be slow.
    Slow,
}

/// The health of a zone according to all reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// The reports do not suffice: no credible dispatcher has answered attempts or enough failed ones.
    Unknown,
    /// Most dispatchers get answers.
    Healthy,
    /// Some dispatchers find the zone failing.
    Mixed,
    /// Most dispatchers find the zone failing.
    Down(FailureMode),
    /// The dispatchers in the zone send no digests, the membership reports at least half of them as down, and no other
    /// dispatcher's attempts indicate otherwise.
    Unreachable,
}

/// The sum of all dispatchers' samples of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneSummary {
    /// The number of dispatchers with at least one attempt to the zone in their window.
    pub reporters: u32,
    /// The number of attempts that were answered.
    pub answered: u32,
    /// The number of attempts whose connection was refused or broke.
    pub refused: u32,
    /// The number of attempts that timed out without an answer.
    pub silent: u32,
}

/// A digest and the time of its arrival.
#[derive(Clone, Debug)]
struct Report {
    digest: Digest,
    received_at_ms: f64,
}

/// Holds the newest digest of each dispatcher.
#[derive(Clone, Debug, Default)]
pub struct HealthReports {
    newest: BTreeMap<MemberId, Report>,
}

impl HealthReports {
    /// Records a dispatcher's digest. Returns false if it is not newer than the known one or does not fit a fleet of
    /// `zones` zones.
    pub fn record(&mut self, now: f64, source: MemberId, digest: Digest, zones: usize) -> bool {
        if digest.samples.len() != zones || usize::from(digest.zone) >= zones {
            return false;
        }
        let known = self.newest.get(&source).map(|known| (known.digest.incarnation, known.digest.number));
        if known.is_some_and(|known| known >= (digest.incarnation, digest.number)) {
            return false;
        }
        self.newest.insert(source, Report { digest, received_at_ms: now });
        true
    }

    /// Returns the newest digest of each dispatcher, regardless of age.
    pub fn known(&self) -> impl Iterator<Item = (MemberId, &Digest)> {
        self.newest.iter().map(|(source, report)| (*source, &report.digest))
    }

    /// Returns the digests that are not older than [`DIGEST_LIFETIME_MS`].
    pub fn fresh(&self, now: f64) -> impl Iterator<Item = &Digest> {
        let is_fresh = move |report: &&Report| now - report.received_at_ms <= DIGEST_LIFETIME_MS;
        self.newest.values().filter(is_fresh).map(|report| &report.digest)
    }

    /// Returns the sum of the fresh samples of a zone.
    pub fn summary(&self, now: f64, zone: usize) -> ZoneSummary {
        let samples = self.fresh(now).filter_map(|digest| digest.samples.get(zone));
        samples.fold(ZoneSummary::default(), |sum, sample| ZoneSummary {
            reporters: sum.reporters + u32::from(sample.has_attempts()),
            answered: sum.answered + u32::from(sample.answered),
            refused: sum.refused + u32::from(sample.refused),
            silent: sum.silent + u32::from(sample.silent),
        })
    }

    /// Returns the health of a zone. `half_down` says whether the zone has members and the membership reports at least
    /// half of them as down.
    pub fn health(&self, now: f64, zone: usize, half_down: bool) -> ZoneHealth {
        let fresh: Vec<&Digest> = self.fresh(now).collect();
        let credible = credible_digests(&fresh);
        let summary = self.summary(now, zone);
        if let Some(mode) = joint_failure(&credible, summary, zone) {
            return ZoneHealth::Down(mode);
        }
        let local_digests = fresh.iter().filter(|digest| usize::from(digest.zone) == zone).count();
        let votes = Votes::count(&credible, zone);
        match (votes.failing, votes.working) {
            (0, 0) if half_down && local_digests == 0 && !fresh.is_empty() => ZoneHealth::Unreachable,
            (0, 0) => ZoneHealth::Unknown,
            (0, _) => ZoneHealth::Healthy,
            // A single dispatcher may have a network fault of its own. Its report alone is believed only if it reaches
            // other zones and at most one dispatcher in this zone sends digests.
            (1, 0) if !(votes.reaches_other_zones && local_digests <= 1) => ZoneHealth::Mixed,
            (failing, working) if failing > working => ZoneHealth::Down(votes.failure_mode()),
            (1, _) => ZoneHealth::Healthy,
            (failing, working) if failing * 2 > working => ZoneHealth::Mixed,
            _ => ZoneHealth::Healthy,
        }
    }
}

/// The verdicts of the credible dispatchers on a zone, one vote each.
struct Votes {
    /// The number of dispatchers that find the zone failing.
    failing: usize,
    /// The number of dispatchers that got answers and do not find the zone failing.
    working: usize,
    /// Whether all dispatchers that find the zone failing find it refusing connections.
    all_refusing: bool,
    /// Whether a dispatcher that finds the zone failing finds another zone working.
    reaches_other_zones: bool,
}

impl Votes {
    fn count(digests: &[&Digest], zone: usize) -> Votes {
        let mut votes = Votes { failing: 0, working: 0, all_refusing: true, reaches_other_zones: false };
        for digest in digests {
            let sample = &digest.samples[zone];
            if sample.is_failing() {
                let mut others = digest.samples.iter().enumerate().filter(|(other, _)| *other != zone);
                votes.failing += 1;
                votes.all_refusing &= sample.is_refusing();
                votes.reaches_other_zones |= others.any(|(_, sample)| sample.is_working());
            } else if sample.answered > 0 {
                votes.working += 1;
            }
        }
        votes
    }

    fn failure_mode(&self) -> FailureMode {
        if self.all_refusing && self.working == 0 { FailureMode::Refusing } else { FailureMode::Slow }
    }
}

/// Returns the digests without those of dispatchers that seem to have a network fault of their own: such a dispatcher
/// gets no answer from any zone, and a zone that it finds failing works for another dispatcher.
fn credible_digests<'a>(fresh: &[&'a Digest]) -> Vec<&'a Digest> {
    let zones = fresh.first().map_or(0, |digest| digest.samples.len());
    let works_for_some = |zone: usize| fresh.iter().any(|digest| digest.samples[zone].is_working());
    let works_for_some: Vec<bool> = (0..zones).map(works_for_some).collect();
    let is_contradicted = |(sample, works): (&ZoneSample, &bool)| sample.is_failing() && *works;
    let is_faulty = |digest: &Digest| {
        digest.fails_everywhere() && digest.samples.iter().zip(&works_for_some).any(is_contradicted)
    };
    fresh.iter().copied().filter(|digest| !is_faulty(digest)).collect()
}

/// Returns how a zone fails if several dispatchers together have enough failed attempts to determine it, although
/// each of them alone may have too few.
fn joint_failure(credible: &[&Digest], summary: ZoneSummary, zone: usize) -> Option<FailureMode> {
    let reporters = credible.iter().filter(|digest| digest.samples[zone].has_only_failures()).count();
    let failed = summary.refused + summary.silent;
    let is_down = reporters >= MIN_JOINT_REPORTERS
        && failed >= MIN_JOINT_FAILURES
        && failed > summary.answered * JOINT_FAILURE_RATIO;
    let is_refusing = summary.answered == 0 && summary.refused > summary.silent;
    is_down.then_some(if is_refusing { FailureMode::Refusing } else { FailureMode::Slow })
}
