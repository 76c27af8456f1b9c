//! The newest digest of each dispatcher, and the health of a zone that follows from all of them.
//!
//! Every voter keeps the reports, so that one that begins to lead knows the last second and a half. The state machine
//! that acts on the health is `failover_controller`. Digests may arrive in any order and more than once; the result is
//! the same. Times are milliseconds of the caller's clock, and ages count from the arrival of a digest: the clocks of
//! other members are not read.

use std::collections::BTreeMap;

use super::outcome_counter::{Digest, ZoneSample};
use crate::fleet::MemberId;

/// How long a digest counts after its arrival, in milliseconds: six digests in a row have to be lost before a dispatcher
/// drops out.
pub const DIGEST_LIFETIME_MS: f64 = 1500.0;
/// Fewest dispatchers that are believed together where none of them alone has enough attempts.
const MIN_JOINT_REPORTERS: usize = 3;
/// Fewest failures that such dispatchers must have had in all.
const MIN_JOINT_FAILURES: u32 = 9;
/// Their failures must be more than this many times what was answered in all.
const JOINT_FAILURE_RATIO: u32 = 3;

/// How a zone fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureMode {
    /// Connections are refused, and nobody was answered.
    Refusing,
    /// Attempts get no answer in time, or some are still answered: the zone may only be slow.
    Slow,
}

/// What all reports of a zone come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// Nobody has tried it.
    Unknown,
    /// Most dispatchers get answers.
    Healthy,
    /// Some dispatchers find it failing.
    Mixed,
    /// Most dispatchers find it failing.
    Down(FailureMode),
    /// Its own dispatchers send no digests, at least half of them are down by the membership, and nobody else has tried
    /// it.
    Unreachable,
}

/// The samples that all dispatchers have of a zone, added up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneSummary {
    /// Dispatchers with an attempt there in their window.
    pub reporters: u32,
    /// Attempts that were answered.
    pub answered: u32,
    /// Attempts whose connection was refused or broke.
    pub refused: u32,
    /// Attempts without an answer in time.
    pub silent: u32,
}

/// A digest and when it arrived here.
#[derive(Clone, Debug)]
struct Report {
    digest: Digest,
    received_at_ms: f64,
}

/// The newest digest of each dispatcher.
#[derive(Clone, Debug, Default)]
pub struct HealthReports {
    newest: BTreeMap<MemberId, Report>,
}

impl HealthReports {
    /// Takes a dispatcher's digest. Returns false where a newer one is known, or where it does not match a fleet of
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

    /// The digests that are known, whatever their age.
    pub fn known(&self) -> impl Iterator<Item = (MemberId, &Digest)> {
        self.newest.iter().map(|(source, report)| (*source, &report.digest))
    }

    /// The digests that still count.
    pub fn fresh(&self, now: f64) -> impl Iterator<Item = &Digest> {
        let is_fresh = move |report: &&Report| now - report.received_at_ms <= DIGEST_LIFETIME_MS;
        self.newest.values().filter(is_fresh).map(|report| &report.digest)
    }

    /// The fresh samples of a zone, added up.
    pub fn summary(&self, now: f64, zone: usize) -> ZoneSummary {
        let samples = self.fresh(now).filter_map(|digest| digest.samples.get(zone));
        samples.fold(ZoneSummary::default(), |sum, sample| ZoneSummary {
            reporters: sum.reporters + u32::from(sample.has_attempts()),
            answered: sum.answered + u32::from(sample.answered),
            refused: sum.refused + u32::from(sample.refused),
            silent: sum.silent + u32::from(sample.silent),
        })
    }

    /// The health of a zone. `half_down`: the zone has members, and the membership has at least half of them down.
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
            // A single dispatcher may have a fault of its own, unless it gets through to other zones and no other
            // dispatcher is in this one.
            (1, 0) if !(votes.reaches_other_zones && local_digests <= 1) => ZoneHealth::Mixed,
            (failing, working) if failing > working => ZoneHealth::Down(votes.failure_mode()),
            (1, _) => ZoneHealth::Healthy,
            (failing, working) if failing * 2 > working => ZoneHealth::Mixed,
            _ => ZoneHealth::Healthy,
        }
    }
}

/// What the credible dispatchers find of a zone, each with one vote.
struct Votes {
    /// Dispatchers that find it failing.
    failing: usize,
    /// Dispatchers that got answers and do not find it failing.
    working: usize,
    /// All that find it failing find it refusing.
    all_refusing: bool,
    /// One that finds it failing finds another zone working.
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

/// The digests without those of dispatchers that have a fault of their own: every zone fails them, among these one that
/// works for others.
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

/// How a zone fails where each dispatcher has too few attempts to tell, and many of them together have enough.
fn joint_failure(credible: &[&Digest], summary: ZoneSummary, zone: usize) -> Option<FailureMode> {
    let reporters = credible.iter().filter(|digest| digest.samples[zone].has_only_failures()).count();
    let failed = summary.refused + summary.silent;
    let is_down = reporters >= MIN_JOINT_REPORTERS
        && failed >= MIN_JOINT_FAILURES
        && failed > summary.answered * JOINT_FAILURE_RATIO;
    let is_refusing = summary.answered == 0 && summary.refused > summary.silent;
    is_down.then_some(if is_refusing { FailureMode::Refusing } else { FailureMode::Slow })
}
