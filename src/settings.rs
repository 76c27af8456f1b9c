//! The settings as the wires state them, and the module's settings made of them. The adapter and the
//! dispatcher both read them here.

use crate::json::{self, JsonValue, field, flag, number, text, texts};
use crate::routing::{
    Capabilities, Class, DeduplicationScope, Idempotency, LoadReport, Micros, ServiceRules, Settings,
};

/// What a value of a load report says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Field {
    FreeSlots,
    Held,
    Queue,
    Other,
}

/// A class as clients know it.
#[derive(Clone, Debug)]
pub struct ClientClass {
    /// Its name.
    pub name: String,
    /// How long a client waits for one of its jobs at most, in milliseconds.
    pub hard_limit: f64,
}

/// All that the settings say: the module's part, and what the sockets need beside it.
#[derive(Clone, Debug)]
pub struct Site {
    /// What the module is told.
    pub settings: Settings,
    /// The classes, in the module's order.
    pub client_classes: Vec<ClientClass>,
    /// Names of kinds of workers, in the module's order.
    pub kinds: Vec<String>,
    /// Names of zones, in the module's order.
    pub zones: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Idle time after which a backend server closes a connection, in milliseconds.
    pub conn_idle: f64,
    /// Time within which a connection must come up, in milliseconds.
    pub connect_timeout: f64,
    /// Longest advice when to come back, in milliseconds; 0 where none may be given.
    pub max_retry_after: f64,
    /// Two attempts of a request may be out together.
    pub copies: bool,
    fields: Vec<(String, Field)>,
}

impl Site {
    /// Settings that no wire has stated: one kind of worker, one zone, no load reports.
    pub fn plain(settings: Settings, grades: Vec<ClientClass>) -> Site {
        Site {
            settings,
            client_classes: grades,
            kinds: Vec::new(),
            zones: Vec::new(),
            tenants: Vec::new(),
            conn_idle: 15_000.0,
            connect_timeout: 250.0,
            max_retry_after: 2_000.0,
            copies: true,
            fields: Vec::new(),
        }
    }

    /// Reads the settings from their text.
    pub fn parse(bytes: &[u8]) -> Result<Site, String> {
        Site::read(&json::parse(bytes).map_err(|e| format!("settings: {e}"))?)
    }

    /// Reads the settings.
    pub fn read(facts: &JsonValue) -> Result<Site, String> {
        let none = JsonValue::Null;
        let part = |name| field(facts, name).unwrap_or(&none);
        let (info, rules) = (part("familyInfo"), part("rules"));
        let (caps, fees, report) = (part("caps"), part("fees"), part("report"));
        let (kinds, stretches) = (json::list(info, "classKind"), json::list(info, "classStretch"));
        let lines = json::list(facts, "grades");
        let mut classes = Vec::new();
        let mut grades = Vec::new();
        for (at, line) in lines.iter().enumerate() {
            let kind = kinds.get(at).and_then(|k| k.get::<f64>()).filter(|&&k| (0.0..65535.0).contains(&k));
            let stretch = stretches.get(at).and_then(|s| s.get::<f64>()).copied();
            classes.push(class(at, line, kind.map(|&k| k as u16), stretch)?);
            let name = text(line, "name").unwrap_or("").to_string();
            grades.push(ClientClass { name, hard_limit: number(line, "hardLimit").unwrap_or(5e6) / 1e3 });
        }
        if classes.is_empty() {
            return Err("settings: missing field `grades`, a list that is not empty".into());
        }
        let x0 = text(info, "reportX0").unwrap_or("");
        let fields = texts(report, "fields").into_iter().map(|name| {
            let says = match if name == "x0" { x0 } else { name.as_str() } {
                "free slots" => Field::FreeSlots,
                "inflight" => Field::Held,
                "queue" => Field::Queue,
                _ => Field::Other,
            };
            (name, says)
        });
        let fields: Vec<(String, Field)> = fields.collect();
        // Whether a queue can be seen is all that a report is read for.
        let reports = text(report, "how") != Some("off") && fields.iter().any(|f| f.1 != Field::Other);
        let advises = field(caps, "retryAfter").and_then(|v| v.get::<bool>()) != Some(&false);
        let micros = |value: &JsonValue, name| number(value, name).unwrap_or(0.0).max(0.0) as Micros;
        let settings = Settings {
            number: need(facts, "myNumber")? as u32,
            dispatchers: need(facts, "balancers")? as u32,
            zone: number(facts, "myZone").unwrap_or(0.0) as u16,
            quantum: need(facts, "quantum")? as Micros,
            classes,
            live_sizes: text(facts, "weightSource") == Some("live"),
            must_subscribe: text(facts, "membershipMode") == Some("subscribe"),
            capabilities: Capabilities {
                max_attempts: need(caps, "sendCap")? as usize,
                may_cancel: flag(caps, "mayCancel"),
                cancel_frees_slot: reports,
                may_probe: flag(caps, "probing"),
            },
            zones_cost: number(fees, "crossZone").is_some_and(|fee| fee > 0.0),
            rules: ServiceRules {
                initial_capacity: need(rules, "coldFrom")?,
                warm_up: need(rules, "cold")? as Micros,
                overload_multiple: need(rules, "tipMultiple")?,
                poll_within: micros(rules, "askWithin"),
            },
            reports_start: flag(info, "tellsStart"),
            reports_load: reports,
        };
        Ok(Site {
            settings,
            client_classes: grades,
            kinds: texts(facts, "kinds"),
            zones: texts(facts, "zones"),
            tenants: json::list(facts, "tenants")
                .iter()
                .filter_map(|t| text(t, "name").map(String::from))
                .collect(),
            conn_idle: number(caps, "connIdle").unwrap_or(15e6) / 1e3,
            connect_timeout: number(caps, "connectTimeout").unwrap_or(250e3) / 1e3,
            max_retry_after: if advises { number(caps, "maxRetryAfter").unwrap_or(0.0) / 1e3 } else { 0.0 },
            copies: flag(caps, "mayDuplicate"),
            fields,
        })
    }

    /// A load report from values in the order of the fields; further ones are passed over.
    pub fn report(&self, values: impl IntoIterator<Item = f64>) -> LoadReport {
        let mut report = LoadReport::default();
        for ((_, says), value) in self.fields.iter().zip(values) {
            put(&mut report, *says, value);
        }
        report
    }

    /// A load report from names and values; unknown names are passed over.
    pub fn named_report<'a>(&self, pairs: impl IntoIterator<Item = (&'a str, f64)>) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, value) in pairs {
            if let Some((_, says)) = self.fields.iter().find(|(known, _)| known == name) {
                put(&mut report, *says, value);
            }
        }
        report
    }
}

fn put(report: &mut LoadReport, says: Field, value: f64) {
    match says {
        Field::FreeSlots => report.free_slots = Some(value),
        Field::Held => report.held = Some(value),
        Field::Queue => report.queue = Some(value),
        Field::Other => {}
    }
}

fn need(value: &JsonValue, name: &str) -> Result<f64, String> {
    number(value, name).ok_or_else(|| format!("settings: missing field `{name}`, a number"))
}

fn class(at: usize, grade: &JsonValue, kind: Option<u16>, stretch: Option<f64>) -> Result<Class, String> {
    let repeat = match text(grade, "semantics").unwrap_or("") {
        "retryable" => Idempotency::Idempotent,
        "fragile" => Idempotency::NotIdempotent,
        "dedup" => {
            let scope = match text(grade, "keyScope").unwrap_or("") {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Cell,
                other => return Err(format!("settings: grade {at}: unknown keyScope \"{other}\"")),
            };
            Idempotency::Keyed { scope, window: number(grade, "window").unwrap_or(0.0) as Micros }
        }
        other => return Err(format!("settings: grade {at}: unknown semantics \"{other}\"")),
    };
    let late_worth = number(grade, "lateWorth").unwrap_or(0.0);
    let aim = need(grade, "aim")? as Micros;
    let stretch = number(grade, "aimStretch").or(stretch).unwrap_or(0.0).clamp(0.0, 100.0);
    let gain = number(grade, "gain").unwrap_or(1.0).max(0.0);
    Ok(Class {
        latency_objective: aim,
        stretch,
        priority_weight: gain,
        late_value: late_worth,
        idempotency: repeat,
        kind,
    })
}
