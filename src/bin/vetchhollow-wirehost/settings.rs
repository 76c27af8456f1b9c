//! The settings as the wire states them, and the library's settings made of them.

use serde::Deserialize;
use vetchhollow::api::{Class, Limits, Micros, Repeat, Rules, Scope, Settings};

/// What a value of a load report says.
pub enum Field {
    FreeSlots,
    Held,
    Queue,
    Other,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Facts {
    balancers: u32,
    my_number: u32,
    #[serde(default)]
    my_zone: u16,
    quantum: Micros,
    grades: Vec<Grade>,
    #[serde(default)]
    weight_source: String,
    #[serde(default)]
    membership_mode: String,
    caps: Caps,
    #[serde(default)]
    fees: Fees,
    rules: Figures,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    report: Load,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Grade {
    aim: Micros,
    semantics: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    window: Micros,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Caps {
    send_cap: usize,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    probing: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Fees {
    cross_zone: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Figures {
    cold_from: f64,
    cold: Micros,
    tip_multiple: f64,
    #[serde(default)]
    ask_within: Micros,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    class_kind: Vec<i32>,
    report_x0: String,
    tells_start: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Load {
    fields: Vec<String>,
}

/// Reads the settings and, beside them, what the values of a load report are.
pub fn read(text: &[u8]) -> Result<(Settings, Vec<Field>), String> {
    let facts: Facts = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    if facts.grades.is_empty() {
        return Err("settings: no grades".into());
    }
    let info = &facts.family_info;
    let classes = facts.grades.iter().enumerate().map(|(at, grade)| class(at, grade, info));
    let fields = facts.report.fields.iter().map(|name| field(name, info)).collect();
    let caps = &facts.caps;
    let settings = Settings {
        number: facts.my_number,
        dispatchers: facts.balancers,
        zone: facts.my_zone,
        quantum: facts.quantum,
        classes: classes.collect::<Result<_, _>>()?,
        live_sizes: facts.weight_source == "live",
        must_subscribe: facts.membership_mode == "subscribe",
        limits: Limits { attempts: caps.send_cap, cancel: caps.may_cancel, probe: caps.probing },
        zones_cost: facts.fees.cross_zone > 0.0,
        rules: Rules {
            cold_from: facts.rules.cold_from,
            cold: facts.rules.cold,
            fall_multiple: facts.rules.tip_multiple,
            ask_within: facts.rules.ask_within,
        },
        tells_start: info.tells_start,
    };
    Ok((settings, fields))
}

fn class(at: usize, grade: &Grade, info: &FamilyInfo) -> Result<Class, String> {
    let repeat = match grade.semantics.as_str() {
        "retryable" => Repeat::Safe,
        "fragile" => Repeat::Unsafe,
        "dedup" => {
            let scope = match grade.key_scope.as_str() {
                "all" => Scope::All,
                "zone" => Scope::Zone,
                "cell" => Scope::Cell,
                other => return Err(format!("settings: grade {at}: unknown keyScope \"{other}\"")),
            };
            Repeat::Keyed { scope, window: grade.window }
        }
        other => return Err(format!("settings: grade {at}: unknown semantics \"{other}\"")),
    };
    Ok(Class {
        aim: grade.aim,
        late_worth: grade.late_worth,
        repeat,
        kind: info.class_kind.get(at).and_then(|&kind| u16::try_from(kind).ok()),
    })
}

fn field(name: &str, info: &FamilyInfo) -> Field {
    let name = match name {
        "x0" => info.report_x0.as_str(),
        other => other,
    };
    match name {
        "free slots" => Field::FreeSlots,
        "inflight" => Field::Held,
        "queue" => Field::Queue,
        _ => Field::Other,
    }
}
