//! The table `fleet` of the operator's file.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use thiserror::Error;

use crate::fleet::{MAX_DOCUMENT_BYTES, MAX_MEMBERS, MemberConfig};
use crate::ingest::Policy;
use crate::rollout;
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
    #[serde(default = "one")]
    generation: u32,
    state: Option<PathBuf>,
    zones: Vec<String>,
    #[serde(default = "four")]
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
    #[serde(default = "yes")]
    agreed: bool,
}

/// How policies are shared.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The policy that this member's operator wants.
    pub policy: PathBuf,
    /// Where policies are kept.
    pub keep: PathBuf,
    /// How changes are made.
    pub rules: rollout::RolloutSettings,
    /// By decision of all; without, each member takes its own file over by itself.
    pub agreed: bool,
}

impl Rollout {
    /// Reads the policy that is wanted: its version, and its text.
    pub fn read(&self) -> Result<(u64, String), String> {
        let path = self.policy.display();
        let text = std::fs::read_to_string(&self.policy).map_err(|e| format!("{path}: {e}"))?;
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(format!("{path}: {} bytes, and {MAX_DOCUMENT_BYTES} at most", text.len()));
        }
        let version = Policy::version(&text).map_err(|e| format!("{path}: {e}"))?;
        Ok((version, text))
    }
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

fn one() -> u32 {
    1
}

fn yes() -> bool {
    true
}

fn four() -> f64 {
    4.0
}

/// What the table says, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The cluster's name.
    pub cluster: String,
    /// Its generation.
    pub generation: u32,
    /// The voter's file.
    pub state: Option<PathBuf>,
    /// The zones, by name.
    pub zones: Vec<String>,
    /// Jobs at once of a server of size 1.
    pub slots: f64,
    /// How zones are decided on.
    pub rules: FailoverSettings,
    /// The members' names.
    pub names: Vec<String>,
    /// Their addresses.
    pub addresses: Vec<SocketAddr>,
    /// Their places.
    pub places: Vec<MemberConfig>,
    /// This member.
    pub own: usize,
    /// How policies are shared, where they are.
    pub rollout: Option<Rollout>,
}

impl FleetTable {
    /// Checks it; all that is wrong.
    pub fn check(self, rollout: Option<RolloutTable>) -> Result<Config, Vec<ConfigError>> {
        let mut errors = Vec::new();
        let mut known = BTreeSet::new();
        let mut once = |name: String| (!known.insert(name.clone())).then_some(ConfigError::Twice(name));
        errors.extend(self.zones.iter().filter_map(|zone| once(format!("zone {zone}"))));
        for member in &self.member {
            errors.extend(once(member.name.clone()));
            errors.extend(once(member.address.to_string()));
        }
        let mut within = |name, value: f64, least, most| {
            if !(least..=most).contains(&value) {
                errors.push(ConfigError::OutOf { name, value, least, most });
            }
            value
        };
        within("cluster (its length)", self.cluster.len() as f64, 1.0, 64.0);
        within("zones (their number)", self.zones.len() as f64, 1.0, MAX_ZONES as f64);
        within("member (their number)", self.member.len() as f64, 3.0, MAX_MEMBERS as f64);
        within("generation", f64::from(self.generation), 1.0, 1e6);
        within("slots", self.slots, 0.01, 10_000.0);
        let (given, usual) = (self.rules, FailoverSettings::default());
        let rules = FailoverSettings {
            close_after_ms: within(
                "close_after_ms",
                given.close_after_ms.unwrap_or(usual.close_after_ms),
                100.0,
                6e4,
            ),
            closed_for_ms: within(
                "closed_for_ms",
                given.closed_for_ms.unwrap_or(usual.closed_for_ms),
                500.0,
                6e5,
            ),
            step_ms: within("step_ms", given.step_ms.unwrap_or(usual.step_ms), 250.0, 6e5),
            forgive_ms: within("forgive_ms", given.forgive_ms.unwrap_or(usual.forgive_ms), 1000.0, 864e5),
            margin: within("margin", given.margin.unwrap_or(usual.margin), 0.1, 1.0),
            max_stale_ms: within("keep_ms", given.keep_ms.unwrap_or(usual.max_stale_ms), 3000.0, 36e5),
        };
        let rollout = rollout.map(|table| {
            let usual = rollout::RolloutSettings::default();
            let lease = within("rollout.lease_ms", table.lease_ms.unwrap_or(usual.lease_ms), 2000.0, 6e5);
            let hold = within("rollout.hold_ms", table.hold_ms.unwrap_or(usual.pause_ms), 50.0, 1000.0);
            let rules = rollout::RolloutSettings { lease_ms: lease, pause_ms: hold };
            Rollout { policy: table.policy, keep: table.keep, rules, agreed: table.agreed }
        });
        let mut places = Vec::new();
        for member in &self.member {
            match self.zones.iter().position(|zone| *zone == member.zone) {
                Some(zone) => places.push(MemberConfig { zone, is_voter: member.voter }),
                None => {
                    errors.push(ConfigError::Zone { member: member.name.clone(), zone: member.zone.clone() })
                }
            }
        }
        let voters = self.member.iter().filter(|member| member.voter).count();
        if ![3, 5, 7].contains(&voters) {
            errors.push(ConfigError::Voters(voters));
        }
        let own = self.member.iter().position(|member| member.name == self.name);
        match own {
            None => errors.push(ConfigError::Own(self.name.clone())),
            Some(own) if self.member[own].voter && self.state.is_none() => {
                errors.push(ConfigError::State(self.name.clone()));
            }
            _ => {}
        }
        match own {
            Some(own) if errors.is_empty() => Ok(Config {
                cluster: self.cluster,
                generation: self.generation,
                state: self.state,
                zones: self.zones,
                slots: self.slots,
                rules,
                names: self.member.iter().map(|member| member.name.clone()).collect(),
                addresses: self.member.iter().map(|member| member.address).collect(),
                places,
                own,
                rollout,
            }),
            _ => Err(errors),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "cluster = \"c\"\nname = \"n0\"\nstate = \"/tmp/x\"\nzones = [\"a\", \"b\"]\n\
        [[member]]\nname = \"n0\"\naddress = \"127.0.0.1:1\"\nzone = \"a\"\nvoter = true\n\
        [[member]]\nname = \"n1\"\naddress = \"127.0.0.1:2\"\nzone = \"b\"\nvoter = true\n\
        [[member]]\nname = \"n2\"\naddress = \"127.0.0.1:3\"\nzone = \"b\"\nvoter = true\n\
        [rules]\nmargin = 0.8\n";

    #[test]
    fn a_table_with_anything_wrong_is_refused_with_what_it_is() {
        let read = |text: &str| toml::from_str::<FleetTable>(text).map_err(|e| e.to_string());
        let config = read(GOOD).unwrap().check(None).unwrap();
        assert_eq!((config.own, config.places[2].zone, config.rules.margin), (0, 1, 0.8));
        for (from, to, says) in [
            ("name = \"n0\"\nstate", "name = \"n9\"\nstate", "no [[fleet.member]] has that name"),
            ("state = \"/tmp/x\"\n", "", "`n0` is a voter and needs `state`"),
            ("127.0.0.1:2", "127.0.0.1:1", "`127.0.0.1:1` is given twice"),
            ("name = \"n1\"", "name = \"n2\"", "`n2` is given twice"),
            ("[\"a\", \"b\"]", "[\"a\"]", "`n1` is in zone `b`, which `zones` does not name"),
            ("zone = \"a\"\nvoter = true", "zone = \"a\"", "2 members have `voter = true`"),
            ("margin = 0.8", "margin = 1.5", "`margin` is 1.5, and must be from 0.1 to 1"),
            ("margin = 0.8", "close_after_ms = nan", "`close_after_ms` is NaN"),
            ("cluster = \"c\"", "cluster = \"\"", "`cluster (its length)` is 0"),
        ] {
            let errors = read(&GOOD.replacen(from, to, 1)).unwrap().check(None).expect_err(says);
            let said: Vec<String> = errors.iter().map(ToString::to_string).collect();
            assert!(said.iter().any(|error| error.contains(says)), "{says}: {said:?}");
        }
        assert!(read(&GOOD.replace("voter", "votes")).is_err_and(|e| e.contains("unknown field `votes`")));
        assert!(read(&GOOD.replace("127.0.0.1:2", "here")).is_err());
    }
}
