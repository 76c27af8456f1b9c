//! The configuration of this frontend: the file that `LB_CONFIG` names.

use std::net::SocketAddr;

use rustix::process::{Resource, getrlimit};
use thiserror::Error;

use crate::core::{ListScope, ListedEndpoint};
use crate::frontend::list_reader::{EndpointList, ListError, read_list};
use crate::json::{JsonValue, field, number, text};
use crate::net::Budget;
use crate::settings::{SettingsError, Site};

/// Descriptors counted on where the configuration names no limit.
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Memory counted on where the configuration names none, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 32.0;

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// It has no settings.
    #[error("no `settings`")]
    NoSettings,
    /// Its settings do not read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Its seed does not read.
    #[error("`seed` is no hexadecimal number: {0}")]
    Seed(String),
    /// So few descriptors cannot serve.
    #[error("{0} sockets are too few")]
    TooFewSockets(f64),
    /// An address does not read.
    #[error("`{name}` is no address: {found}")]
    Address {
        /// Its field.
        name: &'static str,
        /// What the file says.
        found: String,
    },
    /// The list as last held does not read.
    #[error(transparent)]
    List(#[from] ListError),
}

/// All that the file says.
#[derive(Clone, Debug)]
pub struct Config {
    /// The settings.
    pub site: Site,
    /// For random numbers.
    pub seed: u64,
    /// What may be open.
    pub budget: Budget,
    /// Where clients connect, if it says so.
    pub listen: Option<SocketAddr>,
    /// Where discovery is, if it says so.
    pub discovery: Option<SocketAddr>,
    /// The endpoint list as last held.
    pub known_list: EndpointList,
}

impl Config {
    /// Reads the file's text; `reserved` descriptors are another frontend's.
    ///
    /// # Errors
    /// Where a part of it is missing or does not read, or the descriptors are too few.
    pub fn read(config: &JsonValue, reserved: usize) -> Result<Config, ConfigError> {
        let site = Site::read(field(config, "settings").ok_or(ConfigError::NoSettings)?)?;
        let seed = text(config, "seed").unwrap_or("0");
        let seed = u64::from_str_radix(seed, 16).map_err(|_| ConfigError::Seed(seed.to_string()))?;
        let budget = read_budget(config, reserved)?;
        let known_list = match field(config, "known") {
            Some(list) => read_list(list, &site)?,
            None => {
                EndpointList { version: 0, lines: Vec::<ListedEndpoint>::new(), scope: ListScope::Complete }
            }
        };
        let listen = read_address(config, "listen")?;
        let discovery = read_address(config, "discovery")?;
        Ok(Config { site, seed, budget, listen, discovery, known_list })
    }
}

/// What may be open by the limits of the file and of the system.
fn read_budget(config: &JsonValue, reserved: usize) -> Result<Budget, ConfigError> {
    let limit = |name| field(config, "limits").and_then(|limits| number(limits, name));
    let sockets = limit("sockets").unwrap_or(DEFAULT_SOCKETS);
    let memory_mb = limit("memory_mb").unwrap_or(DEFAULT_MEMORY_MB);
    // What the system gives may be less than what the file names.
    let system = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |limit| limit as usize);
    let available = (sockets as usize).min(system).saturating_sub(reserved);
    Budget::from_limits(available, memory_mb)
        .ok_or_else(|| ConfigError::TooFewSockets(sockets.min(system as f64)))
}

fn read_address(config: &JsonValue, name: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    let parse =
        |found: &str| found.parse().map_err(|_| ConfigError::Address { name, found: found.to_string() });
    text(config, name).map(parse).transpose()
}
