//! Parameters of a scale test.

use micabeam::fleet::{MAX_MEMBERS, MemberConfig};
use micabeam::zones::MAX_ZONES;

use crate::RigError;

/// The number of regions over which the zones are spread.
pub(super) const REGIONS: usize = 4;
/// Maximum number of workers in the list.
const MAX_WORKERS: usize = 100_000;
/// Maximum size of a policy document, in bytes.
const MAX_POLICY_BYTES: usize = 250_000;
/// Maximum length of a run, in seconds of the simulated clock.
const MAX_RUN_S: u64 = 3600;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of dispatchers.
    pub members: usize,
    /// The number of workers in the list.
    pub workers: usize,
    /// The number of zones.
    pub zones: usize,
    /// The number of voters: 3, 5 or 7.
    pub voters: usize,
    /// Length of the run, in seconds of the simulated clock.
    pub seconds: u64,
    /// Seed of the delays, losses and faults.
    pub seed: u64,
    /// Dispatchers that are killed around policy changes and stay down.
    pub deaths: usize,
    /// Dispatchers that are suspended around policy changes, for longer than a lease.
    pub freezes: usize,
    /// Dispatchers that are killed and restarted at once, spread over the run.
    pub restarts: usize,
    /// Whether the leader is killed during a policy change.
    pub leader_lost: bool,
    /// Whether one zone fails completely half-way through the run.
    pub zone_lost: bool,
    /// Whether one region of four is cut off from the others for half of the run.
    pub regions_apart: bool,
    /// Maximum delay of a datagram, in milliseconds; the minimum is 1 ms.
    pub delay_ms: f64,
    /// Whether all dispatchers start at the same moment, so that their timers fire at the same times.
    pub aligned: bool,
    /// Datagrams lost per thousand.
    pub lost: u32,
    /// Size of a policy document, in bytes.
    pub policy_bytes: usize,
    /// Duration of a lease, in milliseconds: how long a dispatcher serves without renewal.
    pub lease_ms: f64,
    /// Whether operators propose new policy versions, one every 4.8 s.
    pub changes: bool,
    /// Whether frontends stop at the end of their lease. Switched off only to test that the checker detects it.
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
    /// Checks that the parameters are within their bounds.
    ///
    /// # Errors
    /// If a parameter is out of bounds.
    pub fn check(&self) -> Result<(), RigError> {
        let surviving = self.members.saturating_sub(self.deaths);
        let bounds = [
            ("members", self.members, self.voters.max(3), MAX_MEMBERS),
            ("workers", self.workers, 1, MAX_WORKERS),
            ("zones", self.zones, 1, MAX_ZONES.min(self.members)),
            ("policy bytes", self.policy_bytes, 100, MAX_POLICY_BYTES),
            ("seconds", self.seconds as usize, 5, MAX_RUN_S as usize),
            ("members that are not killed", surviving, self.members / 2 + 1, MAX_MEMBERS),
            ("freezes", self.freezes, 0, self.members / 2),
        ];
        for (name, value, least, most) in bounds {
            if !(least..=most).contains(&value) {
                return Err(RigError::Arguments(format!(
                    "{name}: {value} is not in the range {least} to {most}"
                )));
            }
        }
        if ![3, 5, 7].contains(&self.voters) {
            return Err(RigError::Arguments(format!("voters: {} is not 3, 5 or 7", self.voters)));
        }
        if !(1.0..=1000.0).contains(&self.delay_ms) || !(500.0..=600_000.0).contains(&self.lease_ms) {
            let what = "delay_ms must be 1 to 1000, and lease_ms 500 to 600000";
            return Err(RigError::Arguments(what.into()));
        }
        if self.lost >= 1000 {
            return Err(RigError::Arguments("lost must be less than 1000 (per thousand)".into()));
        }
        Ok(())
    }

    /// Returns the members' configuration: zones are assigned in turn, and voters are placed in zones that are far apart.
    pub(super) fn member_configs(&self) -> Vec<MemberConfig> {
        let position = |voter: usize| voter * self.zones.max(self.voters) / self.voters;
        let voters: Vec<usize> = (0..self.voters).map(position).collect();
        (0..self.members)
            .map(|at| MemberConfig { zone: at % self.zones, is_voter: voters.contains(&at) })
            .collect()
    }

    /// Returns the region of a zone.
    pub(super) fn region(&self, zone: usize) -> usize {
        zone * REGIONS / self.zones.max(REGIONS)
    }
}
