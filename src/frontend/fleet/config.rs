//! The tables `fleet` and `rollout` of the operator's file: parsing and validation. All errors are reported
//! together.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thiserror::Error;

use super::messages::WantedPolicy;
use crate::fleet::{MAX_DOCUMENT_BYTES, MAX_MEMBERS, MemberConfig};
use crate::ingest::{Policy, PolicyError};
use crate::rollout::RolloutSettings;
use crate::zones::{FailoverSettings, MAX_ZONES};

/// An error in the `fleet` or `rollout` table.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// The dispatcher's own name does not match any member.
    #[error("fleet: `name` is `{0}`, and no [[fleet.member]] has that name")]
    UnknownOwnName(String),
    /// Two members share a name or an address, or two zones share a name.
    #[error("fleet: `{0}` is given twice")]
    Duplicate(String),
    /// A member's zone is not one of `zones`.
    #[error("fleet: `{member}` is in zone `{zone}`, which `zones` does not name")]
    UnknownZone {
        /// The member.
        member: String,
        /// The member's zone.
        zone: String,
    },
    /// The number of voters is not supported.
    #[error("fleet: {0} members have `voter = true`: 3, 5 or 7 are needed")]
    UnsupportedVoterCount(usize),
    /// A voter has no file for its votes.
    #[error("fleet: `{0}` is a voter and needs `state`, the path of a file that survives restarts")]
    MissingStateFile(String),
    /// The table `rollout` is present without the table `fleet`.
    #[error("rollout: the table [fleet] is required")]
    RolloutWithoutFleet,
    /// A value is out of range.
    #[error("fleet: `{name}` is {value}, and must be from {min} to {max}")]
    OutOfBounds {
        /// The key of the value.
        name: &'static str,
        /// The configured value.
        value: f64,
        /// The minimum.
        min: f64,
        /// The maximum.
        max: f64,
    },
}

/// The table `fleet` as written in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetTable {
    cluster: String,
    name: String,
    #[serde(default = "first_generation")]
    generation: u32,
    state: Option<PathBuf>,
    zones: Vec<String>,
    #[serde(default = "usual_slots")]
    slots: f64,
    #[serde(default)]
    rules: RulesTable,
    member: Vec<MemberTable>,
}

/// The table `rollout` as written in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutTable {
    policy: PathBuf,
    keep: PathBuf,
    lease_ms: Option<f64>,
    hold_ms: Option<f64>,
    #[serde(default = "is_agreed")]
    agreed: bool,
}

/// Configuration of policy rollouts.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// This member's policy file, as maintained by its operator.
    pub policy: PathBuf,
    /// The directory where policies are stored.
    pub keep: PathBuf,
    /// Settings of policy changes.
    pub settings: RolloutSettings,
    /// Whether members agree on policies; if not, each member applies its own file by itself.
    pub agreed: bool,
}

/// The reason a policy file cannot be used.
#[derive(Debug, Error)]
#[error("{path}: {cause}")]
pub struct PolicyFileError {
    path: String,
    cause: PolicyFileFault,
}

#[derive(Debug, Error)]
enum PolicyFileFault {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("file has {0} bytes; the maximum is {MAX_DOCUMENT_BYTES}")]
    TooLong(usize),
    #[error(transparent)]
    Version(#[from] PolicyError),
}

impl Rollout {
    /// Reads this member's policy file.
    ///
    /// # Errors
    /// If the file cannot be read, is too long or has no version. Each member checks the rest of the policy
    /// itself.
    pub fn read(&self) -> Result<WantedPolicy, PolicyFileError> {
        read_policy(&self.policy)
            .map_err(|cause| PolicyFileError { path: self.policy.display().to_string(), cause })
    }
}

fn read_policy(path: &Path) -> Result<WantedPolicy, PolicyFileFault> {
    let text = std::fs::read_to_string(path)?;
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(PolicyFileFault::TooLong(text.len()));
    }
    let version = Policy::version(&text)?;
    Ok(WantedPolicy { version, text })
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberTable {
    name: String,
    address: SocketAddr,
    zone: String,
    #[serde(default)]
    voter: bool,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RulesTable {
    close_after_ms: Option<f64>,
    closed_for_ms: Option<f64>,
    step_ms: Option<f64>,
    forgive_ms: Option<f64>,
    keep_ms: Option<f64>,
    margin: Option<f64>,
}

fn first_generation() -> u32 {
    1
}

fn is_agreed() -> bool {
    true
}

fn usual_slots() -> f64 {
    4.0
}

/// The validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The cluster's name.
    pub cluster: String,
    /// The fleet's generation.
    pub generation: u32,
    /// The vote file, which a voter must have.
    pub state: Option<PathBuf>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The number of jobs that an endpoint of size 1 runs concurrently.
    pub slots: f64,
    /// Settings of zone failover.
    pub failover: FailoverSettings,
    /// The names of the members.
    pub names: Vec<String>,
    /// The addresses of the members.
    pub addresses: Vec<SocketAddr>,
    /// The zone of each member, and whether it is a voter.
    pub members: Vec<MemberConfig>,
    /// The index of this member.
    pub own: usize,
    /// Configuration of policy rollouts, if policies are shared.
    pub rollout: Option<Rollout>,
}

/// Collects the errors found while checking a table.
#[derive(Default)]
struct Checks {
    errors: Vec<ConfigError>,
}

impl Checks {
    /// Records an error if a value is out of range, and returns the value.
    fn check_range(&mut self, name: &'static str, value: f64, min: f64, max: f64) -> f64 {
        if !(min..=max).contains(&value) {
            self.errors.push(ConfigError::OutOfBounds { name, value, min, max });
        }
        value
    }
}

impl FleetTable {
    /// Validates this table, and the table `rollout` if present.
    ///
    /// # Errors
    /// All errors found.
    pub fn check(self, rollout: Option<RolloutTable>) -> Result<Config, Vec<ConfigError>> {
        let mut checks = Checks::default();
        self.check_names(&mut checks);
        self.check_sizes(&mut checks);
        let failover = self.rules.check(&mut checks);
        let rollout = rollout.map(|table| table.check(&mut checks));
        let members = self.check_members(&mut checks);
        let own = self.check_own(&mut checks);
        match own {
            Some(own) if checks.errors.is_empty() => Ok(Config {
                cluster: self.cluster,
                generation: self.generation,
                state: self.state,
                zones: self.zones,
                slots: self.slots,
                failover,
                names: self.member.iter().map(|member| member.name.clone()).collect(),
                addresses: self.member.iter().map(|member| member.address).collect(),
                members,
                own,
                rollout,
            }),
            _ => Err(checks.errors),
        }
    }

    /// Checks that zone names, member names and member addresses are unique.
    fn check_names(&self, checks: &mut Checks) {
        let mut known = BTreeSet::new();
        let zones = self.zones.iter().map(|zone| format!("zone {zone}"));
        let members = self.member.iter().flat_map(|member| [member.name.clone(), member.address.to_string()]);
        let repeated = zones.chain(members).filter(|name| !known.insert(name.clone()));
        checks.errors.extend(repeated.map(ConfigError::Duplicate));
    }

    fn check_sizes(&self, checks: &mut Checks) {
        checks.check_range("cluster (its length)", self.cluster.len() as f64, 1.0, 64.0);
        checks.check_range("zones (their number)", self.zones.len() as f64, 1.0, MAX_ZONES as f64);
        checks.check_range("member (their number)", self.member.len() as f64, 3.0, MAX_MEMBERS as f64);
        checks.check_range("generation", f64::from(self.generation), 1.0, 1e6);
        checks.check_range("slots", self.slots, 0.01, 10_000.0);
    }

    /// Returns the zone of each member and whether it is a voter, and checks both.
    fn check_members(&self, checks: &mut Checks) -> Vec<MemberConfig> {
        let mut members = Vec::new();
        for member in &self.member {
            match self.zones.iter().position(|zone| *zone == member.zone) {
                Some(zone) => members.push(MemberConfig { zone, is_voter: member.voter }),
                None => checks.errors.push(ConfigError::UnknownZone {
                    member: member.name.clone(),
                    zone: member.zone.clone(),
                }),
            }
        }
        let voters = self.member.iter().filter(|member| member.voter).count();
        if ![3, 5, 7].contains(&voters) {
            checks.errors.push(ConfigError::UnsupportedVoterCount(voters));
        }
        members
    }

    /// Returns the index of this dispatcher's member, and checks that a voter has a vote file.
    fn check_own(&self, checks: &mut Checks) -> Option<usize> {
        let Some(own) = self.member.iter().position(|member| member.name == self.name) else {
            checks.errors.push(ConfigError::UnknownOwnName(self.name.clone()));
            return None;
        };
        if self.member[own].voter && self.state.is_none() {
            checks.errors.push(ConfigError::MissingStateFile(self.name.clone()));
        }
        Some(own)
    }
}

impl RulesTable {
    fn check(self, checks: &mut Checks) -> FailoverSettings {
        let default = FailoverSettings::default();
        let close_after_ms = self.close_after_ms.unwrap_or(default.close_after_ms);
        let closed_for_ms = self.closed_for_ms.unwrap_or(default.closed_for_ms);
        let step_ms = self.step_ms.unwrap_or(default.step_ms);
        let forgive_ms = self.forgive_ms.unwrap_or(default.forgive_ms);
        let margin = self.margin.unwrap_or(default.margin);
        let max_stale_ms = self.keep_ms.unwrap_or(default.max_stale_ms);
        FailoverSettings {
            close_after_ms: checks.check_range("close_after_ms", close_after_ms, 100.0, 6e4),
            closed_for_ms: checks.check_range("closed_for_ms", closed_for_ms, 500.0, 6e5),
            step_ms: checks.check_range("step_ms", step_ms, 250.0, 6e5),
            forgive_ms: checks.check_range("forgive_ms", forgive_ms, 1000.0, 864e5),
            margin: checks.check_range("margin", margin, 0.1, 1.0),
            max_stale_ms: checks.check_range("keep_ms", max_stale_ms, 3000.0, 36e5),
        }
    }
}

impl RolloutTable {
    fn check(self, checks: &mut Checks) -> Rollout {
        let default = RolloutSettings::default();
        let lease_ms = self.lease_ms.unwrap_or(default.lease_ms);
        let pause_ms = self.hold_ms.unwrap_or(default.pause_ms);
        let settings = RolloutSettings {
            lease_ms: checks.check_range("rollout.lease_ms", lease_ms, 2000.0, 6e5),
            pause_ms: checks.check_range("rollout.hold_ms", pause_ms, 50.0, 1000.0),
        };
        Rollout { policy: self.policy, keep: self.keep, settings, agreed: self.agreed }
    }
}

#[cfg(test)]
mod tests;
