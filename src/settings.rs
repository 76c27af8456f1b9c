//! Parses the settings as configuration files state them and derives the router's settings. The adapter and
//! the dispatcher share this module, so that both decide alike. Field names are those of the configuration
//! format, whose times are in microseconds.

use thiserror::Error;

use crate::json::{self, JsonError, JsonValue, field, flag, number, text, texts};
use crate::routing::{
    Capabilities, Class, DeduplicationScope, Idempotency, LoadReport, Micros, ServiceRules, Settings,
};

/// Default for the longest time that clients of a class wait, in microseconds.
const DEFAULT_HARD_LIMIT_US: f64 = 5e6;
/// Default time after which nothing new may be sent to an endpoint that is known to drain, in microseconds.
const DEFAULT_DRAIN_GRACE_US: f64 = 2e6;
/// Default length of the window over which the load on a cold endpoint is counted, in microseconds.
const DEFAULT_OVERLOAD_WINDOW_US: f64 = 3e6;
/// Default idle time after which an endpoint closes a connection, in microseconds.
const DEFAULT_CONNECTION_IDLE_US: f64 = 15e6;
/// Default timeout for establishing a connection, in microseconds.
const DEFAULT_CONNECT_TIMEOUT_US: f64 = 250e3;
/// Upper limit on `stretch`: the multiple of a job's own work by which its latency objective grows.
const MAX_STRETCH: f64 = 100.0;
/// Valid numbers of endpoint kinds.
const KIND_NUMBERS: std::ops::Range<f64> = 0.0..65535.0;
const MICROS_PER_MILLI: f64 = 1e3;

/// Reason why settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not valid JSON.
    #[error("settings: {0}")]
    Json(#[from] JsonError),
    /// A required field is missing or is not a number.
    #[error("settings: missing field `{0}` (expected a number)")]
    MissingNumber(&'static str),
    /// The settings define no class.
    #[error("settings: missing field `grades` (expected a non-empty list)")]
    NoClasses,
    /// The `semantics` of a class have an unknown value.
    #[error("settings: grade {class}: unknown semantics \"{found}\"")]
    Semantics {
        /// Index of the class.
        class: usize,
        /// Value in the settings.
        found: String,
    },
    /// The `keyScope` of a class has an unknown value. It states which endpoints drop repeated jobs of the
    /// class.
    #[error("settings: grade {class}: unknown keyScope \"{found}\"")]
    KeyScope {
        /// Index of the class.
        class: usize,
        /// Value in the settings.
        found: String,
    },
}

/// Meaning of a value in a load report.
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

/// Properties of a class that frontends need.
#[derive(Clone, Debug)]
pub struct ClientClass {
    /// Name of the class.
    pub name: String,
    /// Longest time that a client waits for one of its jobs, in milliseconds.
    pub max_wait_ms: f64,
}

/// The settings of an installation: those of the router, and those that frontends need.
#[derive(Clone, Debug)]
pub struct Site {
    /// Settings of the router.
    pub settings: Settings,
    /// Classes, in the router's order.
    pub client_classes: Vec<ClientClass>,
    /// Names of kinds of endpoints, in the router's order.
    pub kinds: Vec<String>,
    /// Names of zones, in the router's order.
    pub zones: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Idle time after which an endpoint closes a connection, in milliseconds.
    pub connection_idle_ms: f64,
    /// Timeout for establishing a connection, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Longest suggested delay before a retry, in milliseconds; 0 if none may be suggested.
    pub max_retry_after_ms: f64,
    /// Whether a job may have two open attempts at the same time.
    pub allows_copies: bool,
    /// Names and meanings of the values in a load report, in order.
    report_fields: Vec<(String, ReportField)>,
}

impl Site {
    /// Returns settings that are not read from a configuration: one kind of endpoint, one zone, no load
    /// reports.
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

    /// Parses the settings from JSON text.
    ///
    /// # Errors
    /// Returns an error if the text is not valid JSON, or if a required field is missing or has an unknown
    /// value.
    pub fn parse(bytes: &[u8]) -> Result<Site, SettingsError> {
        Site::read(&json::parse(bytes)?)
    }

    /// Reads the settings from parsed JSON.
    ///
    /// # Errors
    /// Returns an error if a required field is missing or has an unknown value.
    pub fn read(value: &JsonValue) -> Result<Site, SettingsError> {
        let (classes, client_classes) = read_classes(value)?;
        let report_fields = read_report_fields(value);
        // Load counts as reported if reports are on and contain at least one value that the router uses.
        let is_reported = text(section(value, "report"), "how") != Some("off");
        let reports_load =
            is_reported && report_fields.iter().any(|(_, meaning)| *meaning != ReportField::Other);
        let caps = section(value, "caps");
        let may_send_retry_after =
            field(caps, "retryAfter").and_then(|allowed| allowed.get::<bool>()) != Some(&false);
        let max_retry_after_us =
            if may_send_retry_after { number(caps, "maxRetryAfter").unwrap_or(0.0) } else { 0.0 };
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

    /// Returns a load report from values in the order of the report fields; additional values are ignored.
    pub fn report(&self, values: impl IntoIterator<Item = f64>) -> LoadReport {
        let mut report = LoadReport::default();
        for ((_, meaning), value) in self.report_fields.iter().zip(values) {
            meaning.set(&mut report, value);
        }
        report
    }

    /// Returns a load report from pairs of name and value; unknown names are ignored.
    pub fn named_report<'a>(&self, pairs: impl IntoIterator<Item = (&'a str, f64)>) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, value) in pairs {
            if let Some((_, meaning)) = self.report_fields.iter().find(|(known, _)| known == name) {
                meaning.set(&mut report, value);
            }
        }
        report
    }
}

/// Returns a section of the settings; an absent section has no fields.
fn section<'a>(value: &'a JsonValue, name: &str) -> &'a JsonValue {
    const ABSENT: &JsonValue = &JsonValue::Null;
    field(value, name).unwrap_or(ABSENT)
}

fn required(value: &JsonValue, name: &'static str) -> Result<f64, SettingsError> {
    number(value, name).ok_or(SettingsError::MissingNumber(name))
}

/// Reads a time in microseconds and returns it in milliseconds.
fn millis(value: &JsonValue, name: &str, default_us: f64) -> f64 {
    number(value, name).unwrap_or(default_us) / MICROS_PER_MILLI
}

/// Reads the classes, in the form for the router and in the form for frontends.
fn read_classes(value: &JsonValue) -> Result<(Vec<Class>, Vec<ClientClass>), SettingsError> {
    let info = section(value, "familyInfo");
    let (kinds, stretches) = (json::list(info, "classKind"), json::list(info, "classStretch"));
    let (mut classes, mut client_classes) = (Vec::new(), Vec::new());
    for (index, grade) in json::list(value, "grades").iter().enumerate() {
        let kind =
            kinds.get(index).and_then(|kind| kind.get::<f64>()).filter(|kind| KIND_NUMBERS.contains(kind));
        let stretch = stretches.get(index).and_then(|stretch| stretch.get::<f64>()).copied();
        classes.push(read_class(index, grade, kind.map(|&kind| kind as u16), stretch)?);
        let name = text(grade, "name").unwrap_or("").to_string();
        client_classes
            .push(ClientClass { name, max_wait_ms: millis(grade, "hardLimit", DEFAULT_HARD_LIMIT_US) });
    }
    if classes.is_empty() { Err(SettingsError::NoClasses) } else { Ok((classes, client_classes)) }
}

fn read_class(
    index: usize,
    grade: &JsonValue,
    kind: Option<u16>,
    stretch: Option<f64>,
) -> Result<Class, SettingsError> {
    let idempotency = read_idempotency(index, grade)?;
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

/// Reads the names and meanings of the values in a load report. The meaning of the field `x0` is stated by
/// the setting `reportX0`.
fn read_report_fields(value: &JsonValue) -> Vec<(String, ReportField)> {
    let x0 = text(section(value, "familyInfo"), "reportX0").unwrap_or("");
    let meaning_of = |name: &str| match if name == "x0" { x0 } else { name } {
        "free slots" => ReportField::FreeSlots,
        "inflight" => ReportField::Held,
        "queue" => ReportField::Queue,
        _ => ReportField::Other,
    };
    let names = texts(section(value, "report"), "fields").into_iter();
    names
        .map(|name| {
            let meaning = meaning_of(&name);
            (name, meaning)
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
