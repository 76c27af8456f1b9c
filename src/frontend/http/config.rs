//! The configuration of this front: the file that `LB_CONFIG` names.

use std::net::SocketAddr;

use rustix::process::{Resource, getrlimit};

use crate::core::ListedEndpoint;
use crate::frontend::discovery::read_list;
use crate::json::{JsonValue, field, number, text};
use crate::net::Budget;
use crate::settings::Site;

/// Descriptors counted on where the configuration names no limit.
const SOCKETS: f64 = 1024.0;
/// Memory counted on where it names none, in megabytes.
const MEMORY: f64 = 32.0;

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
    /// The list as last held, and its version.
    pub known: (u64, Vec<ListedEndpoint>),
}

impl Config {
    /// Reads the file's text; `taken` descriptors are another front's.
    pub fn read(config: &JsonValue, taken: usize) -> Result<Config, String> {
        let site =
            Site::read(field(config, "settings").ok_or("no `settings`")?).map_err(|e| e.to_string())?;
        let seed = text(config, "seed").unwrap_or("0");
        let seed =
            u64::from_str_radix(seed, 16).map_err(|_| format!("`seed` is no hexadecimal number: {seed}"))?;
        let sockets = field(config, "limits").and_then(|l| number(l, "sockets")).unwrap_or(SOCKETS);
        let memory = field(config, "limits").and_then(|l| number(l, "memory_mb")).unwrap_or(MEMORY);
        // What the system gives may be less than what was told.
        let most = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |most| most as usize);
        let budget = Budget::of((sockets as usize).min(most).saturating_sub(taken), memory)
            .ok_or_else(|| format!("{} sockets are too few", sockets.min(most as f64)))?;
        let known = match field(config, "known") {
            Some(list) => {
                read_list(list, &site).map(|list| (list.version, list.lines)).map_err(|e| e.to_string())?
            }
            None => (0, Vec::new()),
        };
        let (listen, discovery) = (address(config, "listen")?, address(config, "discovery")?);
        Ok(Config { site, seed, budget, listen, discovery, known })
    }
}

/// An address of the file.
fn address(config: &JsonValue, name: &str) -> Result<Option<SocketAddr>, String> {
    let read = |text: &str| text.parse().map_err(|_| format!("`{name}` is no address: {text}"));
    text(config, name).map(read).transpose()
}
