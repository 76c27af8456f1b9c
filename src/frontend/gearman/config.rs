//! The operator's file of this front.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::identity::IdentityFiles;
use crate::json::{JsonValue, field, number, text};
use crate::routing::{Class, Settings};
use crate::settings::{ClientClass, Site};

/// A function that is offered.
#[derive(Clone, Debug)]
pub struct Function {
    /// Its name.
    pub name: Vec<u8>,
    /// The tenant whose jobs it carries.
    pub tenant: String,
    /// How long a client waits at most, in milliseconds; it is the class's.
    pub wait: f64,
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
    pub keep: f64,
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
    fn add(&mut self, site: &Site, name: &str, line: &JsonValue) -> Result<(), String> {
        if name.is_empty() || name.bytes().any(|b| b <= b' ') {
            return Err(format!("function \"{name}\": a name has no blanks and is not empty"));
        }
        let class = text(line, "class").ok_or_else(|| format!("function {name}: no `class`"))?;
        let at = site.client_classes.iter().position(|known| known.name == class);
        let at = at.ok_or_else(|| format!("function {name}: the settings have no class {class}"))?;
        let tenant = text(line, "tenant").unwrap_or("").to_string();
        if !tenant.is_empty() && !site.tenants.contains(&tenant) {
            return Err(format!("function {name}: the settings have no tenant {tenant}"));
        }
        let kind = self.kind(text(line, "kind").unwrap_or(name));
        let mut class = site.settings.classes[at].clone();
        class.kind = Some(u16::try_from(kind).map_err(|_| "too many kinds")?);
        self.classes.push(class);
        self.client_classes.push(site.client_classes[at].clone());
        let wait = site.client_classes[at].max_wait_ms;
        self.functions.push(Function { name: name.as_bytes().to_vec(), tenant, wait, kind });
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
    pub fn read(file: &JsonValue, deployment: Option<&JsonValue>) -> Result<Config, String> {
        let settings = field(file, "settings").or(deployment).ok_or("no `settings`")?;
        let mut site = Site::read(settings).map_err(|e| e.to_string())?;
        let listen = text(file, "listen").ok_or("no `listen`")?;
        let listen = listen.parse().map_err(|_| format!("`listen` is no address: {listen}"))?;
        let lines = field(file, "functions").and_then(JsonValue::get);
        let lines: &std::collections::HashMap<String, JsonValue> = lines.ok_or("no `functions`")?;
        let lines: BTreeMap<&String, &JsonValue> = lines.iter().collect();
        let mut offered = Offered::default();
        for (name, line) in lines {
            offered.add(&site, name, line)?;
        }
        if offered.functions.is_empty() {
            return Err("no functions".into());
        }
        let Offered { functions, kinds, classes, client_classes } = offered;
        (site.settings.classes, site.client_classes) = (classes, client_classes);
        set_for_gearman(&mut site.settings);
        let record = field(file, "record").unwrap_or(&JsonValue::Null);
        let bound = |name, usual: f64| number(record, name).unwrap_or(usual).max(1.0) as usize;
        let identity = field(file, "identity").map(IdentityFiles::read).transpose()?;
        if let Some(identity) = &identity
            && let Some((id, tenant)) = identity.clients.iter().find(|(_, t)| !site.tenants.contains(t))
        {
            return Err(format!("identity {id}: the settings have no tenant {tenant}"));
        }
        Ok(Config {
            listen,
            peers: number(file, "peers").unwrap_or(128.0).clamp(1.0, 1024.0) as usize,
            functions,
            kinds,
            site,
            record: (bound("entries", 65_536.0), bound("bytes", 67_108_864.0)),
            keep: number(record, "keep_s").unwrap_or(300.0).max(0.0) * 1e3,
            identity,
        })
    }

    /// A function's number.
    pub fn function(&self, name: &[u8]) -> Option<usize> {
        self.functions.iter().position(|f| f.name == name)
    }
}
