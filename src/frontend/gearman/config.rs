//! The configuration of the Gearman frontend: a JSON file of its own, or a table of the operator's file.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use thiserror::Error;

use super::identity::{IdentityFiles, IdentityFilesError};
use crate::json::{JsonValue, field, number, text};
use crate::routing::{Class, Settings};
use crate::settings::{ClientClass, SettingsError, Site};

/// Connection limit if the file does not set one.
const DEFAULT_PEERS: f64 = 128.0;
/// Upper bound on the connection limit, because each connection has its own buffers.
const MAX_PEERS: f64 = 1024.0;
/// Bound on the jobs in the record if the file does not set one.
const DEFAULT_RECORD_ENTRIES: f64 = 65_536.0;
/// Bound on the bytes in the record if the file does not set one.
const DEFAULT_RECORD_BYTES: f64 = 67_108_864.0;
/// How long an answer is kept if the file does not set it, in seconds.
const DEFAULT_KEEP_S: f64 = 300.0;

/// An error in the configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// Neither the file nor the deployment has settings.
    #[error("no `settings`")]
    NoSettings,
    /// The settings are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The address to listen on is missing.
    #[error("no `listen`")]
    NoListen,
    /// The address to listen on is not valid.
    #[error("`listen` is not a socket address: {0}")]
    Listen(String),
    /// The table of functions is missing.
    #[error("no `functions`")]
    NoFunctionTable,
    /// The table of functions is empty.
    #[error("`functions` is empty")]
    NoFunctions,
    /// The name of a function is not valid.
    #[error("function \"{0}\": a name must not be empty and must not contain blanks or control characters")]
    FunctionName(String),
    /// A function has no class.
    #[error("function {0}: no `class`")]
    NoClass(String),
    /// The class of a function is not in the settings.
    #[error("function {function}: the settings have no class {class}")]
    UnknownClass {
        /// Name of the function.
        function: String,
        /// Name of the class.
        class: String,
    },
    /// The tenant of a function is not in the settings.
    #[error("function {function}: the settings have no tenant {tenant}")]
    UnknownTenant {
        /// Name of the function.
        function: String,
        /// Name of the tenant.
        tenant: String,
    },
    /// There are more kinds of workers than 16-bit indexes for them.
    #[error("too many kinds of workers")]
    TooManyKinds,
    /// The table `identity` is not valid.
    #[error(transparent)]
    Identity(#[from] IdentityFilesError),
    /// The tenant of a client's identity is not in the settings.
    #[error("identity {id}: the settings have no tenant {tenant}")]
    UnknownIdentityTenant {
        /// SPIFFE ID of the client.
        id: String,
        /// Name of the tenant.
        tenant: String,
    },
}

/// A function that clients can submit jobs for.
#[derive(Clone, Debug)]
pub struct Function {
    /// Name of the function.
    pub name: Vec<u8>,
    /// Name of the tenant that the function's jobs belong to.
    pub tenant: String,
    /// How long clients wait for an answer at most, in milliseconds, from the function's class.
    pub max_wait_ms: f64,
    /// Index of the kind of workers that run the function.
    pub kind: usize,
}

/// The validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address that clients and workers connect to.
    pub listen: SocketAddr,
    /// Maximum number of connections.
    pub peers: usize,
    /// The functions. Each has its own class in `site`, at the same index.
    pub functions: Vec<Function>,
    /// Names of the kinds of workers.
    pub kinds: Vec<String>,
    /// The settings of the core, with a class per function.
    pub site: Site,
    /// Bounds on the record: number of jobs, and bytes.
    pub record: (usize, usize),
    /// How long the answer of a non-idempotent job is guaranteed to be kept, in milliseconds.
    pub keep_ms: f64,
    /// The identity files, if peers must authenticate.
    pub identity: Option<IdentityFiles>,
}

/// The functions read so far, with their classes and kinds of workers.
#[derive(Default)]
struct FunctionTable {
    functions: Vec<Function>,
    kinds: Vec<String>,
    classes: Vec<Class>,
    client_classes: Vec<ClientClass>,
}

impl FunctionTable {
    /// Adds a function from its entry in the table of functions.
    fn add(&mut self, site: &Site, name: &str, entry: &JsonValue) -> Result<(), ConfigError> {
        if name.is_empty() || name.bytes().any(|b| b <= b' ') {
            return Err(ConfigError::FunctionName(name.to_string()));
        }
        let class = text(entry, "class").ok_or_else(|| ConfigError::NoClass(name.to_string()))?;
        let class_index = site.client_classes.iter().position(|known| known.name == class);
        let class_index = class_index.ok_or_else(|| ConfigError::UnknownClass {
            function: name.to_string(),
            class: class.to_string(),
        })?;
        let tenant = text(entry, "tenant").unwrap_or("").to_string();
        if !tenant.is_empty() && !site.tenants.contains(&tenant) {
            return Err(ConfigError::UnknownTenant { function: name.to_string(), tenant });
        }
        let kind = self.kind_index(text(entry, "kind").unwrap_or(name));
        let mut class = site.settings.classes[class_index].clone();
        class.kind = Some(u16::try_from(kind).map_err(|_| ConfigError::TooManyKinds)?);
        self.classes.push(class);
        self.client_classes.push(site.client_classes[class_index].clone());
        let max_wait_ms = site.client_classes[class_index].max_wait_ms;
        self.functions.push(Function { name: name.as_bytes().to_vec(), tenant, max_wait_ms, kind });
        Ok(())
    }

    /// Returns the index of a kind of workers, and adds the kind if it is new.
    fn kind_index(&mut self, name: &str) -> usize {
        self.kinds.iter().position(|known| known == name).unwrap_or_else(|| {
            self.kinds.push(name.to_string());
            self.kinds.len() - 1
        })
    }
}

/// Overrides the settings that this frontend depends on.
fn override_settings(settings: &mut Settings) {
    // The endpoint list is private to this dispatcher: workers connect to it, are not probed, and count as
    // local to its zone.
    (settings.number, settings.dispatchers, settings.zone) = (0, 1, 0);
    (settings.live_sizes, settings.must_subscribe, settings.zones_cost) = (false, false, false);
    (settings.capabilities.may_probe, settings.reports_load, settings.reports_start) = (false, true, true);
    // A job that has not started is queued in this process and not at a worker, so it can be cancelled, which
    // frees its slot.
    (settings.capabilities.may_cancel, settings.capabilities.cancel_frees_slot) = (true, true);
}

impl Config {
    /// Parses and validates the file. If it has no settings of its own, those of the deployment apply.
    ///
    /// # Errors
    /// If a part is missing or not valid, or a class or a tenant is not in the settings.
    pub fn read(file: &JsonValue, deployment: Option<&JsonValue>) -> Result<Config, ConfigError> {
        let settings = field(file, "settings").or(deployment).ok_or(ConfigError::NoSettings)?;
        let mut site = Site::read(settings)?;
        let listen = text(file, "listen").ok_or(ConfigError::NoListen)?;
        let listen = listen.parse().map_err(|_| ConfigError::Listen(listen.to_string()))?;
        let entries = field(file, "functions").and_then(JsonValue::get);
        let entries: &std::collections::HashMap<String, JsonValue> =
            entries.ok_or(ConfigError::NoFunctionTable)?;
        let entries: BTreeMap<&String, &JsonValue> = entries.iter().collect();
        let mut table = FunctionTable::default();
        for (name, entry) in entries {
            table.add(&site, name, entry)?;
        }
        if table.functions.is_empty() {
            return Err(ConfigError::NoFunctions);
        }
        let FunctionTable { functions, kinds, classes, client_classes } = table;
        (site.settings.classes, site.client_classes) = (classes, client_classes);
        override_settings(&mut site.settings);
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

    /// Returns the index of a function.
    pub fn function(&self, name: &[u8]) -> Option<usize> {
        self.functions.iter().position(|f| f.name == name)
    }
}
