//! HealthReports: what each dispatcher saw the zones do, and how all of it is put together.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::MAX_ZONES;

/// A dispatcher's place among the members of the operator's file.
pub type MemberId = u16;

/// Time of one sum, in milliseconds; a digest holds the newest `SUMS`.
pub const WINDOW_STEP_MS: f64 = 250.0;
const SUMS: usize = 4;
/// A digest older than this says nothing any more, in milliseconds.
pub const DIGEST_LIFETIME_MS: f64 = 1500.0;
/// Fewer ends than these in a window say nothing of a zone.
const FEW: u32 = 3;
/// So many dispatchers that saw fewer ends each say something together, if they saw so many failures in all.
const MANY: usize = 3;
const ENOUGH: u32 = 9;

/// How a dispatch to a zone ended, as far as the zone goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// It was answered, whatever the answer.
    Answered,
    /// No connection came up, or it broke.
    Refused,
    /// Nothing came in time.
    Silent,
}

/// What a dispatcher saw of a zone in its window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSample {
    /// Dispatches that were answered.
    pub answered: u16,
    /// Connections that did not come up, or broke.
    pub refused: u16,
    /// Dispatches that met silence.
    pub silent: u16,
    /// Mean time to the end of those that were answered, in milliseconds.
    pub took_ms: u16,
    /// Dispatches that are out now.
    pub out: u16,
    /// Slots of its listed servers.
    pub slots: u16,
}

impl ZoneSample {
    /// Whether most of what was sent there failed.
    pub fn fails(&self) -> bool {
        let failed = u32::from(self.refused) + u32::from(self.silent);
        failed >= FEW && failed > u32::from(self.answered)
    }

    /// Whether what was sent there was refused, and not only unanswered, as it is by what is slow.
    pub fn dead(&self) -> bool {
        self.fails() && self.answered == 0 && self.refused > self.silent
    }

    /// Whether nearly all of what was sent there was answered.
    pub fn works(&self) -> bool {
        let failed = u32::from(self.refused) + u32::from(self.silent);
        u32::from(self.answered) >= FEW && failed * 5 < u32::from(self.answered)
    }
}

/// A dispatcher's sums, sent four times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// When its process started, by its own clock.
    pub incarnation: u64,
    /// Its number within the process.
    pub number: u64,
    /// The zone that the dispatcher is in.
    pub zone: u16,
    /// Requests that are open with it.
    pub open: u16,
    /// Requests that came in the window.
    pub arrived: u16,
    /// Those of them that were turned away since the zones had no room.
    pub rejected: u16,
    /// What it saw, a zone each.
    pub samples: Vec<ZoneSample>,
}

impl Digest {
    /// Requests that would be open with it if none were turned away.
    pub fn offered(&self) -> f64 {
        let taken = self.arrived.saturating_sub(self.rejected).max(1);
        f64::from(self.open) * f64::from(self.arrived.max(1)) / f64::from(taken)
    }

    /// Whether each zone that it tried failed it.
    fn blind(&self) -> bool {
        self.samples.iter().any(ZoneSample::fails) && !self.samples.iter().any(|s| s.answered > 0)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    answered: u32,
    refused: u32,
    silent: u32,
    took: f64,
    arrived: u32,
    turned: u32,
}

/// The sums of one dispatcher.
#[derive(Clone, Debug)]
pub struct OutcomeCounter {
    incarnation: u64,
    number: u64,
    own: u16,
    /// Of each zone the newest sums, and of all the arrivals in the first.
    sums: Vec<[Sum; SUMS]>,
    at: usize,
    rolled: f64,
}

impl OutcomeCounter {
    /// An empty one of a dispatcher in a zone.
    pub fn new(own: u16, zones: usize, incarnation: u64, now: f64) -> OutcomeCounter {
        let zones = zones.clamp(1, MAX_ZONES);
        OutcomeCounter {
            incarnation,
            number: 0,
            own,
            sums: vec![[Sum::default(); SUMS]; zones],
            at: 0,
            rolled: now,
        }
    }

    /// A dispatch to a zone has ended after so many milliseconds.
    pub fn record_attempt(&mut self, zone: usize, end: AttemptResult, took: f64) {
        let Some(sum) = self.sums.get_mut(zone).map(|sums| &mut sums[self.at]) else { return };
        match end {
            AttemptResult::Answered => {
                sum.answered += 1;
                sum.took += took.max(0.0);
            }
            AttemptResult::Refused => sum.refused += 1,
            AttemptResult::Silent => sum.silent += 1,
        }
    }

    /// A request came, and was turned away since the zones have no room, or not.
    pub fn record_arrival(&mut self, turned: bool) {
        let sum = &mut self.sums[0][self.at];
        sum.arrived += 1;
        sum.turned += u32::from(turned);
    }

    /// Begins the next sum once it is time. True where it did.
    pub fn advance(&mut self, now: f64) -> bool {
        if now < self.rolled + WINDOW_STEP_MS {
            return false;
        }
        // After a long silence of this process all sums are old.
        let steps = ((now - self.rolled) / WINDOW_STEP_MS).min(SUMS as f64) as usize;
        for _ in 0..steps {
            self.at = (self.at + 1) % SUMS;
            self.sums.iter_mut().for_each(|sums| sums[self.at] = Sum::default());
        }
        self.rolled = now;
        true
    }

    /// What was seen of each zone in the window.
    pub fn samples(&self, now_there: impl Fn(usize) -> (u16, u16)) -> Vec<ZoneSample> {
        let whole = |zone: &[Sum; SUMS], of: fn(&Sum) -> u32| zone.iter().map(of).sum::<u32>();
        let short = |count: u32| count.min(u32::from(u16::MAX)) as u16;
        let each = self.sums.iter().enumerate().map(|(at, zone)| {
            let answered = whole(zone, |s| s.answered);
            let took = zone.iter().map(|s| s.took).sum::<f64>() / f64::from(answered.max(1));
            let (out, slots) = now_there(at);
            ZoneSample {
                answered: short(answered),
                refused: short(whole(zone, |s| s.refused)),
                silent: short(whole(zone, |s| s.silent)),
                took_ms: took.min(65e3) as u16,
                out,
                slots,
            }
        });
        each.collect()
    }

    /// The next digest; `now_there` tells of a zone what is out there and how many slots are listed.
    pub fn next_digest(&mut self, open: usize, now_there: impl Fn(usize) -> (u16, u16)) -> Digest {
        self.number += 1;
        let sum = |of: fn(&Sum) -> u32| self.sums[0].iter().map(of).sum::<u32>().min(65_535) as u16;
        Digest {
            incarnation: self.incarnation,
            number: self.number,
            zone: self.own,
            open: open.min(65_535) as u16,
            arrived: sum(|s| s.arrived),
            rejected: sum(|s| s.turned),
            samples: self.samples(now_there),
        }
    }
}

/// What all is known of a zone comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// Nothing is known.
    Unknown,
    /// It works.
    Good,
    /// Some find it failing.
    Mixed,
    /// Most find it failing.
    Down {
        /// Connections there are refused, and nobody was answered: it is not only slow.
        dead: bool,
    },
    /// Its dispatchers are silent, and nobody else finds it working.
    Cut,
}

/// What all dispatchers saw of a zone, in sum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneSummary {
    /// Dispatchers that tried it.
    pub reporters: u32,
    /// Dispatches that were answered.
    pub answered: u32,
    /// Connections that were refused or broke.
    pub refused: u32,
    /// Dispatches that met silence.
    pub silent: u32,
}

/// The newest digest of each dispatcher.
#[derive(Clone, Debug, Default)]
pub struct HealthReports {
    newest: BTreeMap<MemberId, (Digest, f64)>,
}

impl HealthReports {
    /// A dispatcher's digest has come. False where a newer one was there, or where it cannot be of this fleet.
    pub fn record(&mut self, now: f64, source: MemberId, digest: Digest, zones: usize) -> bool {
        if digest.samples.len() != zones || usize::from(digest.zone) >= zones {
            return false;
        }
        let known = self.newest.get(&source).map(|(d, _)| (d.incarnation, d.number));
        if known.is_some_and(|known| known >= (digest.incarnation, digest.number)) {
            return false;
        }
        self.newest.insert(source, (digest, now));
        true
    }

    /// The digests that are known, whatever their age.
    pub fn known(&self) -> impl Iterator<Item = (MemberId, &Digest)> {
        self.newest.iter().map(|(source, (digest, _))| (*source, digest))
    }

    /// The digests that still say something.
    pub fn fresh(&self, now: f64) -> impl Iterator<Item = &Digest> {
        self.newest
            .values()
            .filter(move |(_, heard)| now - heard <= DIGEST_LIFETIME_MS)
            .map(|(digest, _)| digest)
    }

    /// What all saw of a zone.
    pub fn summary(&self, now: f64, zone: usize) -> ZoneSummary {
        self.fresh(now).filter_map(|digest| digest.samples.get(zone)).fold(
            ZoneSummary::default(),
            |sum, seen| ZoneSummary {
                reporters: sum.reporters
                    + u32::from(seen.answered > 0 || seen.refused > 0 || seen.silent > 0),
                answered: sum.answered + u32::from(seen.answered),
                refused: sum.refused + u32::from(seen.refused),
                silent: sum.silent + u32::from(seen.silent),
            },
        )
    }

    /// What is known of a zone; `peopled` where the operator's file has dispatchers in it.
    pub fn health(&self, now: f64, zone: usize, peopled: bool) -> ZoneHealth {
        let fresh: Vec<&Digest> = self.fresh(now).collect();
        let works: Vec<bool> = (0..fresh.first().map_or(0, |d| d.samples.len()))
            .map(|z| fresh.iter().any(|d| d.samples[z].works()))
            .collect();
        // One that every zone fails, where others get through, has a fault of its own.
        let believed = |d: &&&Digest| {
            !(d.blind() && d.samples.iter().zip(&works).any(|(seen, works)| seen.fails() && *works))
        };
        let (mut fails, mut good, mut dead, mut elsewhere) = (0, 0, true, false);
        for digest in fresh.iter().filter(believed) {
            let seen = &digest.samples[zone];
            if seen.fails() {
                fails += 1;
                dead &= seen.dead();
                elsewhere |= digest.samples.iter().enumerate().any(|(at, s)| at != zone && s.works());
            } else if seen.answered > 0 {
                good += 1;
            }
        }
        // Of dispatchers with few jobs each no one alone has enough: together they may.
        let all = self.summary(now, zone);
        let failed = all.refused + all.silent;
        let in_vain = |d: &&&Digest| {
            let seen = &d.samples[zone];
            seen.answered == 0 && (seen.refused > 0 || seen.silent > 0)
        };
        let in_vain = fresh.iter().filter(believed).filter(in_vain).count();
        if in_vain >= MANY && failed >= ENOUGH && failed > all.answered * 3 {
            return ZoneHealth::Down { dead: all.answered == 0 && all.refused > all.silent };
        }
        let at_home = fresh.iter().filter(|d| usize::from(d.zone) == zone).count();
        match (fails, good) {
            (0, 0) if peopled && at_home == 0 && !fresh.is_empty() => ZoneHealth::Cut,
            (0, 0) => ZoneHealth::Unknown,
            (0, _) => ZoneHealth::Good,
            // One alone may have a fault of its own, unless it gets through to other zones and nobody else is there.
            (1, 0) if !(elsewhere && at_home <= 1) => ZoneHealth::Mixed,
            (fails, good) if fails > good => ZoneHealth::Down { dead: dead && good == 0 },
            (1, _) => ZoneHealth::Good,
            (fails, good) if fails * 2 > good => ZoneHealth::Mixed,
            _ => ZoneHealth::Good,
        }
    }
}
