//! Configuration of the HTTP frontend, read from the file that `LB_CONFIG` names.

use std::net::SocketAddr;

use rustix::process::{Resource, getrlimit};
use thiserror::Error;

use crate::core::{ListScope, ListedEndpoint};
use crate::frontend::list_reader::{EndpointList, ListError, read_list};
use crate::json::{JsonValue, field, number, text};
use crate::net::Budget;
use crate::settings::{SettingsError, Site};

/// File descriptors assumed where the configuration sets no limit.
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Memory assumed where the configuration sets no limit, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 32.0;

/// The reason why a configuration is rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The field `settings` is missing.
    #[error("no `settings`")]
    NoSettings,
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The seed is not a hexadecimal number.
    #[error("`seed` is not a hexadecimal number: {0}")]
    Seed(String),
    /// The limit on file descriptors is too low to serve.
    #[error("{0} sockets are too few")]
    TooFewSockets(f64),
    /// A field is not a valid socket address.
    #[error("`{name}` is not a socket address: {found}")]
    Address {
        /// The name of the field.
        name: &'static str,
        /// The value in the file.
        found: String,
    },
    /// The endpoint list in the file is invalid.
    #[error(transparent)]
    List(#[from] ListError),
}

/// The parsed configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The settings, classes, kinds and zones.
    pub site: Site,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Limits on connections, jobs and memory.
    pub budget: Budget,
    /// The address at which to listen for clients, if the file sets one.
    pub listen: Option<SocketAddr>,
    /// The address of the discovery service, if the file sets one.
    pub discovery: Option<SocketAddr>,
    /// The endpoint list that the process starts with, as it was last known.
    pub initial_list: EndpointList,
}

impl Config {
    /// Parses the configuration. `reserved` is the number of file descriptors that other frontends need.
    ///
    /// # Errors
    /// If a part is missing or invalid, or too few descriptors are left.
    pub fn read(config: &JsonValue, reserved: usize) -> Result<Config, ConfigError> {
        let site = Site::read(field(config, "settings").ok_or(ConfigError::NoSettings)?)?;
        let seed = text(config, "seed").unwrap_or("0");
        let seed = u64::from_str_radix(seed, 16).map_err(|_| ConfigError::Seed(seed.to_string()))?;
        let budget = read_budget(config, reserved)?;
        let initial_list = match field(config, "known") {
            Some(list) => read_list(list, &site)?,
            None => {
                EndpointList { version: 0, lines: Vec::<ListedEndpoint>::new(), scope: ListScope::Complete }
            }
        };
        let listen = read_address(config, "listen")?;
        let discovery = read_address(config, "discovery")?;
        Ok(Config { site, seed, budget, listen, discovery, initial_list })
    }
}

/// Derives the budget from the limits in the file and the system's limit on open files.
fn read_budget(config: &JsonValue, reserved: usize) -> Result<Budget, ConfigError> {
    let limit = |name| field(config, "limits").and_then(|limits| number(limits, name));
    let sockets = limit("sockets").unwrap_or(DEFAULT_SOCKETS);
    let memory_mb = limit("memory_mb").unwrap_or(DEFAULT_MEMORY_MB);
    // The system's limit may be lower than the one in the file.
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
