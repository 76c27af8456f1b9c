//! The tables `fleet` and `rollout` of the operator's file: read, checked as a whole, and all that is wrong told at once.

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

/// What is wrong with the table.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// The dispatcher's own name is no member's.
    #[error("fleet: `name` is `{0}`, and no [[fleet.member]] has that name")]
    Own(String),
    /// Two members of one name or address, or two zones of one name.
    #[error("fleet: `{0}` is given twice")]
    Twice(String),
    /// A member's zone is not on the list.
    #[error("fleet: `{member}` is in zone `{zone}`, which `zones` does not name")]
    Zone {
        /// The member.
        member: String,
        /// Its zone.
        zone: String,
    },
    /// The number of voters cannot be.
    #[error("fleet: {0} members have `voter = true`: 3, 5 or 7 are needed")]
    Voters(usize),
    /// A voter has nowhere to remember its votes.
    #[error("fleet: `{0}` is a voter and needs `state`, a file that lasts over a restart")]
    State(String),
    /// Policies are shared, and there is nobody to share them with.
    #[error("rollout: it needs the table [fleet]")]
    Alone,
    /// A figure that is out of its bounds.
    #[error("fleet: `{name}` is {value}, and must be from {least} to {most}")]
    OutOf {
        /// Its key.
        name: &'static str,
        /// What it is.
        value: f64,
        /// Its least.
        least: f64,
        /// Its most.
        most: f64,
    },
}

/// The table as the file has it.
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

/// The table `rollout` as the file has it.
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

/// How policies are shared.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The policy file that this member's operator wants.
    pub policy: PathBuf,
    /// The directory where policies are stored.
    pub keep: PathBuf,
    /// How changes are made.
    pub settings: RolloutSettings,
    /// Whether all decide in common; if not, each member takes its own file over by itself.
    pub agreed: bool,
}

/// Why a policy's file cannot be used.
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
    #[error("{0} bytes, and {MAX_DOCUMENT_BYTES} at most")]
    TooLong(usize),
    #[error(transparent)]
    Version(#[from] PolicyError),
}

impl Rollout {
    /// Reads the policy that is wanted.
    ///
    /// # Errors
    /// Where the file cannot be read, is too long or has no version; the rest of it is checked by each member.
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

/// What the tables say, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The cluster's name.
    pub cluster: String,
    /// Its generation.
    pub generation: u32,
    /// The voter's file; a voter has one.
    pub state: Option<PathBuf>,
    /// The zones, by name.
    pub zones: Vec<String>,
    /// Jobs that an endpoint of size 1 runs at once.
    pub slots: f64,
    /// How zones are closed and opened.
    pub failover: FailoverSettings,
    /// The members' names.
    pub names: Vec<String>,
    /// Their addresses.
    pub addresses: Vec<SocketAddr>,
    /// Their zones, and which of them vote.
    pub members: Vec<MemberConfig>,
    /// The index of this member.
    pub own: usize,
    /// How policies are shared, where they are.
    pub rollout: Option<Rollout>,
}

/// Checks of a table, which collect all that is wrong with it.
#[derive(Default)]
struct Checks {
    errors: Vec<ConfigError>,
}

impl Checks {
    /// A figure, which is to be within its bounds.
    fn within(&mut self, name: &'static str, value: f64, least: f64, most: f64) -> f64 {
        if !(least..=most).contains(&value) {
            self.errors.push(ConfigError::OutOf { name, value, least, most });
        }
        value
    }
}

impl FleetTable {
    /// Checks the table, and the table `rollout` where there is one.
    ///
    /// # Errors
    /// All that is wrong with them.
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

    /// Zones, members' names and members' addresses are to be given once each.
    fn check_names(&self, checks: &mut Checks) {
        let mut known = BTreeSet::new();
        let zones = self.zones.iter().map(|zone| format!("zone {zone}"));
        let members = self.member.iter().flat_map(|member| [member.name.clone(), member.address.to_string()]);
        let repeated = zones.chain(members).filter(|name| !known.insert(name.clone()));
        checks.errors.extend(repeated.map(ConfigError::Twice));
    }

    fn check_sizes(&self, checks: &mut Checks) {
        checks.within("cluster (its length)", self.cluster.len() as f64, 1.0, 64.0);
        checks.within("zones (their number)", self.zones.len() as f64, 1.0, MAX_ZONES as f64);
        checks.within("member (their number)", self.member.len() as f64, 3.0, MAX_MEMBERS as f64);
        checks.within("generation", f64::from(self.generation), 1.0, 1e6);
        checks.within("slots", self.slots, 0.01, 10_000.0);
    }

    /// The members' zones, and which of them vote.
    fn check_members(&self, checks: &mut Checks) -> Vec<MemberConfig> {
        let mut members = Vec::new();
        for member in &self.member {
            match self.zones.iter().position(|zone| *zone == member.zone) {
                Some(zone) => members.push(MemberConfig { zone, is_voter: member.voter }),
                None => checks
                    .errors
                    .push(ConfigError::Zone { member: member.name.clone(), zone: member.zone.clone() }),
            }
        }
        let voters = self.member.iter().filter(|member| member.voter).count();
        if ![3, 5, 7].contains(&voters) {
            checks.errors.push(ConfigError::Voters(voters));
        }
        members
    }

    /// The index of the member that this dispatcher is. A voter needs a file for its votes.
    fn check_own(&self, checks: &mut Checks) -> Option<usize> {
        let Some(own) = self.member.iter().position(|member| member.name == self.name) else {
            checks.errors.push(ConfigError::Own(self.name.clone()));
            return None;
        };
        if self.member[own].voter && self.state.is_none() {
            checks.errors.push(ConfigError::State(self.name.clone()));
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
            close_after_ms: checks.within("close_after_ms", close_after_ms, 100.0, 6e4),
            closed_for_ms: checks.within("closed_for_ms", closed_for_ms, 500.0, 6e5),
            step_ms: checks.within("step_ms", step_ms, 250.0, 6e5),
            forgive_ms: checks.within("forgive_ms", forgive_ms, 1000.0, 864e5),
            margin: checks.within("margin", margin, 0.1, 1.0),
            max_stale_ms: checks.within("keep_ms", max_stale_ms, 3000.0, 36e5),
        }
    }
}

impl RolloutTable {
    fn check(self, checks: &mut Checks) -> Rollout {
        let default = RolloutSettings::default();
        let lease_ms = self.lease_ms.unwrap_or(default.lease_ms);
        let pause_ms = self.hold_ms.unwrap_or(default.pause_ms);
        let settings = RolloutSettings {
            lease_ms: checks.within("rollout.lease_ms", lease_ms, 2000.0, 6e5),
            pause_ms: checks.within("rollout.hold_ms", pause_ms, 50.0, 1000.0),
        };
        Rollout { policy: self.policy, keep: self.keep, settings, agreed: self.agreed }
    }
}

#[cfg(test)]
mod tests;
