//! The settings as the wires state them, and the router's settings made of them. The adapter and the dispatcher both read
//! them here, so that both decide alike. Field names are the wires'; times there are microseconds.

use thiserror::Error;

use crate::json::{self, JsonError, JsonValue, field, flag, number, text, texts};
use crate::routing::{
    Capabilities, Class, DeduplicationScope, Idempotency, LoadReport, Micros, ServiceRules, Settings,
};

/// Longest wait of a client's class that names none, in microseconds.
const DEFAULT_HARD_LIMIT_US: f64 = 5e6;
/// Time in which a drain is to be followed, in microseconds, where the settings give none.
const DEFAULT_DRAIN_GRACE_US: f64 = 2e6;
/// Time within which what a cold endpoint is sent is counted, in microseconds, where the settings give none.
const DEFAULT_OVERLOAD_WINDOW_US: f64 = 3e6;
/// Idle time after which an endpoint closes a connection, where the settings name none, in microseconds.
const DEFAULT_CONNECTION_IDLE_US: f64 = 15e6;
/// Time within which a connection must come up, where the settings name none, in microseconds.
const DEFAULT_CONNECT_TIMEOUT_US: f64 = 250e3;
/// Most by which a latency objective can grow with a job's own work.
const MAX_STRETCH: f64 = 100.0;
/// Numbers of kinds that can be told apart.
const KINDS: std::ops::Range<f64> = 0.0..65535.0;
const MICROS_PER_MILLI: f64 = 1e3;

/// Why settings do not read.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// They are no JSON.
    #[error("settings: {0}")]
    Json(#[from] JsonError),
    /// A field is missing, or is no number.
    #[error("settings: missing field `{0}`, a number")]
    MissingNumber(&'static str),
    /// There is no class.
    #[error("settings: missing field `grades`, a list that is not empty")]
    NoClasses,
    /// It is not known whether a class may be repeated.
    #[error("settings: grade {class}: unknown semantics \"{found}\"")]
    Semantics {
        /// The class, by index.
        class: usize,
        /// What the settings say.
        found: String,
    },
    /// It is not known which endpoints drop a class's repeats.
    #[error("settings: grade {class}: unknown keyScope \"{found}\"")]
    KeyScope {
        /// The class, by index.
        class: usize,
        /// What the settings say.
        found: String,
    },
}

/// What a value of a load report says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportField {
    FreeSlots,
    Held,
    Queue,
    Other,
}

impl ReportField {
    fn set(self, report: &mut LoadReport, value: f64) {
        match self {
            ReportField::FreeSlots => report.free_slots = Some(value),
            ReportField::Held => report.held = Some(value),
            ReportField::Queue => report.queue = Some(value),
            ReportField::Other => {}
        }
    }
}

/// A class as clients know it.
#[derive(Clone, Debug)]
pub struct ClientClass {
    /// Its name.
    pub name: String,
    /// How long a client waits for one of its jobs at most, in milliseconds.
    pub max_wait_ms: f64,
}

/// All that the settings say: the router's part, and what the sockets need beside it.
#[derive(Clone, Debug)]
pub struct Site {
    /// What the router is told.
    pub settings: Settings,
    /// The classes, in the router's order.
    pub client_classes: Vec<ClientClass>,
    /// Names of kinds of endpoints, in the router's order.
    pub kinds: Vec<String>,
    /// Names of zones, in the router's order.
    pub zones: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Idle time after which an endpoint closes a connection, in milliseconds.
    pub connection_idle_ms: f64,
    /// Time within which a connection must come up, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Longest advice when to come back, in milliseconds; 0 where none may be given.
    pub max_retry_after_ms: f64,
    /// Whether two attempts of a request may be open together.
    pub allows_copies: bool,
    /// What the values of a load report say, by name and in their order.
    report_fields: Vec<(String, ReportField)>,
}

impl Site {
    /// Settings that no wire has stated: one kind of endpoint, one zone, no load reports.
    pub fn plain(settings: Settings, client_classes: Vec<ClientClass>) -> Site {
        Site {
            settings,
            client_classes,
            kinds: Vec::new(),
            zones: Vec::new(),
            tenants: Vec::new(),
            connection_idle_ms: 15_000.0,
            connect_timeout_ms: 250.0,
            max_retry_after_ms: 2_000.0,
            allows_copies: true,
            report_fields: Vec::new(),
        }
    }

    /// Reads the settings from their text.
    ///
    /// # Errors
    /// Where they are no JSON, or a field that is needed is missing or has no known value.
    pub fn parse(bytes: &[u8]) -> Result<Site, SettingsError> {
        Site::read(&json::parse(bytes)?)
    }

    /// Reads the settings.
    ///
    /// # Errors
    /// Where a field that is needed is missing or has no known value.
    pub fn read(value: &JsonValue) -> Result<Site, SettingsError> {
        let (classes, client_classes) = read_classes(value)?;
        let report_fields = read_report_fields(value);
        // Whether a queue can be seen is all that a report is read for.
        let is_reported = text(section(value, "report"), "how") != Some("off");
        let reports_load = is_reported && report_fields.iter().any(|(_, says)| *says != ReportField::Other);
        let caps = section(value, "caps");
        let may_advise = field(caps, "retryAfter").and_then(|advises| advises.get::<bool>()) != Some(&false);
        let max_retry_after_us = if may_advise { number(caps, "maxRetryAfter").unwrap_or(0.0) } else { 0.0 };
        let tenants = json::list(value, "tenants").iter();
        Ok(Site {
            settings: read_router_settings(value, classes, reports_load)?,
            client_classes,
            kinds: texts(value, "kinds"),
            zones: texts(value, "zones"),
            tenants: tenants.filter_map(|tenant| text(tenant, "name").map(String::from)).collect(),
            connection_idle_ms: millis(caps, "connIdle", DEFAULT_CONNECTION_IDLE_US),
            connect_timeout_ms: millis(caps, "connectTimeout", DEFAULT_CONNECT_TIMEOUT_US),
            max_retry_after_ms: max_retry_after_us / MICROS_PER_MILLI,
            allows_copies: flag(caps, "mayDuplicate"),
            report_fields,
        })
    }

    /// A load report from values in the order of the fields; further ones are passed over.
    pub fn report(&self, values: impl IntoIterator<Item = f64>) -> LoadReport {
        let mut report = LoadReport::default();
        for ((_, says), value) in self.report_fields.iter().zip(values) {
            says.set(&mut report, value);
        }
        report
    }

    /// A load report from names and values; unknown names are passed over.
    pub fn named_report<'a>(&self, pairs: impl IntoIterator<Item = (&'a str, f64)>) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, value) in pairs {
            if let Some((_, says)) = self.report_fields.iter().find(|(known, _)| known == name) {
                says.set(&mut report, value);
            }
        }
        report
    }
}

/// A part of the settings; one that is absent has no fields.
fn section<'a>(value: &'a JsonValue, name: &str) -> &'a JsonValue {
    const ABSENT: &JsonValue = &JsonValue::Null;
    field(value, name).unwrap_or(ABSENT)
}

fn required(value: &JsonValue, name: &'static str) -> Result<f64, SettingsError> {
    number(value, name).ok_or(SettingsError::MissingNumber(name))
}

/// A time that is given in microseconds, in milliseconds.
fn millis(value: &JsonValue, name: &str, default_us: f64) -> f64 {
    number(value, name).unwrap_or(default_us) / MICROS_PER_MILLI
}

/// The classes, as the router and as clients know them.
fn read_classes(value: &JsonValue) -> Result<(Vec<Class>, Vec<ClientClass>), SettingsError> {
    let info = section(value, "familyInfo");
    let (kinds, stretches) = (json::list(info, "classKind"), json::list(info, "classStretch"));
    let (mut classes, mut client_classes) = (Vec::new(), Vec::new());
    for (at, grade) in json::list(value, "grades").iter().enumerate() {
        let kind = kinds.get(at).and_then(|kind| kind.get::<f64>()).filter(|kind| KINDS.contains(kind));
        let stretch = stretches.get(at).and_then(|stretch| stretch.get::<f64>()).copied();
        classes.push(read_class(at, grade, kind.map(|&kind| kind as u16), stretch)?);
        let name = text(grade, "name").unwrap_or("").to_string();
        client_classes
            .push(ClientClass { name, max_wait_ms: millis(grade, "hardLimit", DEFAULT_HARD_LIMIT_US) });
    }
    if classes.is_empty() { Err(SettingsError::NoClasses) } else { Ok((classes, client_classes)) }
}

fn read_class(
    at: usize,
    grade: &JsonValue,
    kind: Option<u16>,
    stretch: Option<f64>,
) -> Result<Class, SettingsError> {
    let idempotency = read_idempotency(at, grade)?;
    let stretch = number(grade, "aimStretch").or(stretch).unwrap_or(0.0);
    Ok(Class {
        idempotency,
        late_value: number(grade, "lateWorth").unwrap_or(0.0),
        latency_objective: required(grade, "aim")? as Micros,
        stretch: stretch.clamp(0.0, MAX_STRETCH),
        priority_weight: number(grade, "gain").unwrap_or(1.0).max(0.0),
        kind,
    })
}

fn read_idempotency(class: usize, grade: &JsonValue) -> Result<Idempotency, SettingsError> {
    match text(grade, "semantics").unwrap_or("") {
        "retryable" => Ok(Idempotency::Idempotent),
        "fragile" => Ok(Idempotency::NotIdempotent),
        "dedup" => {
            let scope = match text(grade, "keyScope").unwrap_or("") {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Cell,
                other => return Err(SettingsError::KeyScope { class, found: other.to_string() }),
            };
            let window = number(grade, "window").unwrap_or(0.0) as Micros;
            Ok(Idempotency::Keyed { scope, window })
        }
        other => Err(SettingsError::Semantics { class, found: other.to_string() }),
    }
}

/// What the values of a load report say. The field `x0` says what another setting tells.
fn read_report_fields(value: &JsonValue) -> Vec<(String, ReportField)> {
    let x0 = text(section(value, "familyInfo"), "reportX0").unwrap_or("");
    let says = |name: &str| match if name == "x0" { x0 } else { name } {
        "free slots" => ReportField::FreeSlots,
        "inflight" => ReportField::Held,
        "queue" => ReportField::Queue,
        _ => ReportField::Other,
    };
    let names = texts(section(value, "report"), "fields").into_iter();
    names
        .map(|name| {
            let says = says(&name);
            (name, says)
        })
        .collect()
}

fn read_router_settings(
    value: &JsonValue,
    classes: Vec<Class>,
    reports_load: bool,
) -> Result<Settings, SettingsError> {
    let (caps, rules) = (section(value, "caps"), section(value, "rules"));
    Ok(Settings {
        number: required(value, "myNumber")? as u32,
        dispatchers: required(value, "balancers")? as u32,
        zone: number(value, "myZone").unwrap_or(0.0) as u16,
        quantum: required(value, "quantum")? as Micros,
        classes,
        live_sizes: text(value, "weightSource") == Some("live"),
        must_subscribe: text(value, "membershipMode") == Some("subscribe"),
        capabilities: Capabilities {
            max_attempts: required(caps, "sendCap")? as usize,
            may_cancel: flag(caps, "mayCancel"),
            cancel_frees_slot: reports_load,
            may_probe: flag(caps, "probing"),
        },
        zones_cost: number(section(value, "fees"), "crossZone").is_some_and(|fee| fee > 0.0),
        rules: ServiceRules {
            initial_capacity: required(rules, "coldFrom")?,
            warm_up: required(rules, "cold")? as Micros,
            overload_multiple: required(rules, "tipMultiple")?,
            overload_window: number(rules, "fall").unwrap_or(DEFAULT_OVERLOAD_WINDOW_US).max(0.0) as Micros,
            drain_grace: number(rules, "drainGrace").unwrap_or(DEFAULT_DRAIN_GRACE_US).max(0.0) as Micros,
            poll_within: number(rules, "askWithin").unwrap_or(0.0).max(0.0) as Micros,
        },
        reports_start: flag(section(value, "familyInfo"), "tellsStart"),
        reports_load,
    })
}
