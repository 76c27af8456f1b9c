//! What a scale test plays.

use micabeam::fleet::{MAX_MEMBERS, MemberConfig};
use micabeam::zones::MAX_ZONES;

use crate::RigError;

/// Regions that the zones are dealt out to.
pub(super) const REGIONS: usize = 4;
/// Most workers of a list.
const MOST_WORKERS: usize = 100_000;
/// Longest policy document, in bytes.
const LONGEST_POLICY: usize = 250_000;
/// Longest run, in seconds of the set clock.
const LONGEST_RUN: u64 = 3600;

/// What a run is.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Dispatchers.
    pub members: usize,
    /// Lines of the list.
    pub workers: usize,
    /// Zones.
    pub zones: usize,
    /// Voters: 3, 5 or 7.
    pub voters: usize,
    /// Length of the run, in seconds of the set clock.
    pub seconds: u64,
    /// Decides delays, losses and faults.
    pub seed: u64,
    /// Dispatchers that are killed around changes and stay away.
    pub deaths: usize,
    /// Dispatchers that are frozen around changes, for longer than a lease.
    pub freezes: usize,
    /// Dispatchers that are killed and started again at once, spread over the run.
    pub restarts: usize,
    /// The leader is killed during a change.
    pub leader_lost: bool,
    /// All of one zone is lost half way.
    pub zone_lost: bool,
    /// One region of four is cut off from the others for half of the run.
    pub regions_apart: bool,
    /// Longest time that a datagram takes, in milliseconds; the shortest is 1 ms.
    pub delay_ms: f64,
    /// All dispatchers are started at one moment, and do what is due at the same times from then on.
    pub aligned: bool,
    /// Datagrams of a thousand that are lost.
    pub lost: u32,
    /// Bytes of a policy document.
    pub policy_bytes: usize,
    /// How long a dispatcher serves without news, in milliseconds.
    pub lease_ms: f64,
    /// Whether operators want new versions, one every 4.8 s.
    pub changes: bool,
    /// Whether fronts stop at the end of their lease. Left out to see that the checker finds it.
    pub keeps_leases: bool,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            members: 15,
            workers: 200,
            zones: 10,
            voters: 5,
            seconds: 30,
            seed: 1,
            deaths: 0,
            freezes: 0,
            restarts: 0,
            leader_lost: false,
            zone_lost: false,
            regions_apart: false,
            delay_ms: 3.0,
            aligned: false,
            lost: 0,
            policy_bytes: 4000,
            lease_ms: micabeam::rollout::RolloutSettings::default().lease_ms,
            changes: true,
            keeps_leases: true,
        }
    }
}

impl Plan {
    /// Whether it can be played.
    ///
    /// # Errors
    /// Where the process, its files or its sockets fail.
    pub fn check(&self) -> Result<(), RigError> {
        let lasting = self.members.saturating_sub(self.deaths);
        let bounds = [
            ("members", self.members, self.voters.max(3), MAX_MEMBERS),
            ("workers", self.workers, 1, MOST_WORKERS),
            ("zones", self.zones, 1, MAX_ZONES.min(self.members)),
            ("policy bytes", self.policy_bytes, 100, LONGEST_POLICY),
            ("seconds", self.seconds as usize, 5, LONGEST_RUN as usize),
            ("members that are not killed", lasting, self.members / 2 + 1, MAX_MEMBERS),
            ("freezes", self.freezes, 0, self.members / 2),
        ];
        for (name, value, least, most) in bounds {
            if !(least..=most).contains(&value) {
                return Err(RigError::Arguments(format!(
                    "{name}: {value}, and it must be {least} to {most}"
                )));
            }
        }
        if ![3, 5, 7].contains(&self.voters) {
            return Err(RigError::Arguments(format!("voters: {}, and it must be 3, 5 or 7", self.voters)));
        }
        if !(1.0..=1000.0).contains(&self.delay_ms) || !(500.0..=600_000.0).contains(&self.lease_ms) {
            let what = "delay_ms must be 1 to 1000, and lease_ms 500 to 600000";
            return Err(RigError::Arguments(what.into()));
        }
        if self.lost >= 1000 {
            return Err(RigError::Arguments("lost: it must be under 1000 of a thousand".into()));
        }
        Ok(())
    }

    /// The members' places: zones in turn, and the voters in zones that are far apart.
    pub(super) fn places(&self) -> Vec<MemberConfig> {
        let apart = |voter: usize| voter * self.zones.max(self.voters) / self.voters;
        let voters: Vec<usize> = (0..self.voters).map(apart).collect();
        (0..self.members)
            .map(|at| MemberConfig { zone: at % self.zones, is_voter: voters.contains(&at) })
            .collect()
    }

    /// The region of a zone.
    pub(super) fn region(&self, zone: usize) -> usize {
        zone * REGIONS / self.zones.max(REGIONS)
    }
}
