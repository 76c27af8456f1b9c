//! The operator's file of this front.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use thiserror::Error;

use super::identity::{IdentityFiles, IdentityFilesError};
use crate::json::{JsonValue, field, number, text};
use crate::routing::{Class, Settings};
use crate::settings::{ClientClass, SettingsError, Site};

/// Connections at most where the file names no bound.
const DEFAULT_PEERS: f64 = 128.0;
/// Most connections that the file may ask for: each has buffers of its own.
const MAX_PEERS: f64 = 1024.0;
/// Jobs in the record where the file names no bound.
const DEFAULT_RECORD_ENTRIES: f64 = 65_536.0;
/// Bytes in the record where the file names no bound.
const DEFAULT_RECORD_BYTES: f64 = 67_108_864.0;
/// How long an answer is kept where the file does not say, in seconds.
const DEFAULT_KEEP_S: f64 = 300.0;

/// What is wrong with the file.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// It has no settings, nor has the deployment.
    #[error("no `settings`")]
    NoSettings,
    /// The settings do not read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// It has no address to listen at.
    #[error("no `listen`")]
    NoListen,
    /// The address to listen at does not read.
    #[error("`listen` is no address: {0}")]
    Listen(String),
    /// It has no table of functions.
    #[error("no `functions`")]
    NoFunctionTable,
    /// It offers no function.
    #[error("no functions")]
    NoFunctions,
    /// The name of a function is not valid.
    #[error("function \"{0}\": a name has no blanks and is not empty")]
    FunctionName(String),
    /// A function names no class.
    #[error("function {0}: no `class`")]
    NoClass(String),
    /// A function names a class that the settings do not have.
    #[error("function {function}: the settings have no class {class}")]
    UnknownClass {
        /// The function.
        function: String,
        /// The class.
        class: String,
    },
    /// A function names a tenant that the settings do not have.
    #[error("function {function}: the settings have no tenant {tenant}")]
    UnknownTenant {
        /// The function.
        function: String,
        /// The tenant.
        tenant: String,
    },
    /// There are more kinds of workers than numbers for them.
    #[error("too many kinds")]
    TooManyKinds,
    /// The part on identities is not valid.
    #[error(transparent)]
    Identity(#[from] IdentityFilesError),
    /// A client's identity names a tenant that the settings do not have.
    #[error("identity {id}: the settings have no tenant {tenant}")]
    UnknownIdentityTenant {
        /// The identity.
        id: String,
        /// The tenant.
        tenant: String,
    },
}

/// A function that is offered.
#[derive(Clone, Debug)]
pub struct Function {
    /// Its name.
    pub name: Vec<u8>,
    /// The tenant whose jobs it carries.
    pub tenant: String,
    /// How long a client waits at most, in milliseconds; it is the class's.
    pub max_wait_ms: f64,
    /// Its kind of worker, by number.
    pub kind: usize,
}

/// All that the file says.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where clients and workers connect.
    pub listen: SocketAddr,
    /// Connections at most.
    pub peers: usize,
    /// The functions; each has a class of its own in `site`.
    pub functions: Vec<Function>,
    /// Names of the kinds of workers.
    pub kinds: Vec<String>,
    /// The settings with a class for each function.
    pub site: Site,
    /// Jobs in the record, and bytes in it.
    pub record: (usize, usize),
    /// How long an answer is kept for sure, in milliseconds.
    pub keep_ms: f64,
    /// Where peers prove who they are.
    pub identity: Option<IdentityFiles>,
}

/// The functions that were read so far, with the kinds of workers that they name and a class each.
#[derive(Default)]
struct Offered {
    functions: Vec<Function>,
    kinds: Vec<String>,
    classes: Vec<Class>,
    client_classes: Vec<ClientClass>,
}

impl Offered {
    /// Adds the function of a line.
    fn add(&mut self, site: &Site, name: &str, line: &JsonValue) -> Result<(), ConfigError> {
        if name.is_empty() || name.bytes().any(|b| b <= b' ') {
            return Err(ConfigError::FunctionName(name.to_string()));
        }
        let class = text(line, "class").ok_or_else(|| ConfigError::NoClass(name.to_string()))?;
        let at = site.client_classes.iter().position(|known| known.name == class);
        let at = at.ok_or_else(|| ConfigError::UnknownClass {
            function: name.to_string(),
            class: class.to_string(),
        })?;
        let tenant = text(line, "tenant").unwrap_or("").to_string();
        if !tenant.is_empty() && !site.tenants.contains(&tenant) {
            return Err(ConfigError::UnknownTenant { function: name.to_string(), tenant });
        }
        let kind = self.kind(text(line, "kind").unwrap_or(name));
        let mut class = site.settings.classes[at].clone();
        class.kind = Some(u16::try_from(kind).map_err(|_| ConfigError::TooManyKinds)?);
        self.classes.push(class);
        self.client_classes.push(site.client_classes[at].clone());
        let max_wait_ms = site.client_classes[at].max_wait_ms;
        self.functions.push(Function { name: name.as_bytes().to_vec(), tenant, max_wait_ms, kind });
        Ok(())
    }

    /// The number of a kind of workers, which is added where it is new.
    fn kind(&mut self, name: &str) -> usize {
        self.kinds.iter().position(|known| known == name).unwrap_or_else(|| {
            self.kinds.push(name.to_string());
            self.kinds.len() - 1
        })
    }
}

/// Sets what this frontend needs whatever the settings say.
fn set_for_gearman(settings: &mut Settings) {
    // One dispatcher with a list of its own: workers connect to it, are not probed, and are all in its zone.
    (settings.number, settings.dispatchers, settings.zone) = (0, 1, 0);
    (settings.live_sizes, settings.must_subscribe, settings.zones_cost) = (false, false, false);
    (settings.capabilities.may_probe, settings.reports_load, settings.reports_start) = (false, true, true);
    // A job that has not started waits in this program, not at a worker.
    (settings.capabilities.may_cancel, settings.capabilities.cancel_frees_slot) = (true, true);
}

impl Config {
    /// Reads the file; the settings are its own or, without such, the deployment's.
    ///
    /// # Errors
    /// Where a part is missing or does not read, or a name is not one of the settings'.
    pub fn read(file: &JsonValue, deployment: Option<&JsonValue>) -> Result<Config, ConfigError> {
        let settings = field(file, "settings").or(deployment).ok_or(ConfigError::NoSettings)?;
        let mut site = Site::read(settings)?;
        let listen = text(file, "listen").ok_or(ConfigError::NoListen)?;
        let listen = listen.parse().map_err(|_| ConfigError::Listen(listen.to_string()))?;
        let lines = field(file, "functions").and_then(JsonValue::get);
        let lines: &std::collections::HashMap<String, JsonValue> =
            lines.ok_or(ConfigError::NoFunctionTable)?;
        let lines: BTreeMap<&String, &JsonValue> = lines.iter().collect();
        let mut offered = Offered::default();
        for (name, line) in lines {
            offered.add(&site, name, line)?;
        }
        if offered.functions.is_empty() {
            return Err(ConfigError::NoFunctions);
        }
        let Offered { functions, kinds, classes, client_classes } = offered;
        (site.settings.classes, site.client_classes) = (classes, client_classes);
        set_for_gearman(&mut site.settings);
        let record = field(file, "record").unwrap_or(&JsonValue::Null);
        let bound = |name, default: f64| number(record, name).unwrap_or(default).max(1.0) as usize;
        let identity = field(file, "identity").map(IdentityFiles::read).transpose()?;
        if let Some(identity) = &identity
            && let Some((id, tenant)) = identity.clients.iter().find(|(_, t)| !site.tenants.contains(t))
        {
            let (id, tenant) = (id.clone(), tenant.clone());
            return Err(ConfigError::UnknownIdentityTenant { id, tenant });
        }
        Ok(Config {
            listen,
            peers: number(file, "peers").unwrap_or(DEFAULT_PEERS).clamp(1.0, MAX_PEERS) as usize,
            functions,
            kinds,
            site,
            record: (bound("entries", DEFAULT_RECORD_ENTRIES), bound("bytes", DEFAULT_RECORD_BYTES)),
            keep_ms: number(record, "keep_s").unwrap_or(DEFAULT_KEEP_S).max(0.0) * 1e3,
            identity,
        })
    }

    /// A function's number.
    pub fn function(&self, name: &[u8]) -> Option<usize> {
        self.functions.iter().position(|f| f.name == name)
    }
}
