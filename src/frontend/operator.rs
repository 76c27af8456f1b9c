//! The operator's file: TOML with a table for each frontend. Unknown keys are rejected.

use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

use super::{fleet, streaming};
use crate::json::JsonValue;

/// The reason why the operator's file is rejected.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{file}: {cause}")]
    Read {
        /// The path of the file.
        file: String,
        /// The I/O error.
        cause: std::io::Error,
    },
    /// The file is not valid TOML, or has an unknown key or an invalid value. The error text shows the
    /// position.
    #[error("{file}: {cause}")]
    Parse {
        /// The path of the file.
        file: String,
        /// The position, and what was expected there.
        cause: toml::de::Error,
    },
    /// Values of the table `stream` are invalid.
    #[error("{file}: {}", list(.errors))]
    Stream {
        /// The path of the file.
        file: String,
        /// All errors found.
        errors: Vec<streaming::ConfigError>,
    },
    /// The tables `fleet` and `rollout` are invalid.
    #[error("{file}: {}", list(.errors))]
    Fleet {
        /// The path of the file.
        file: String,
        /// All errors found.
        errors: Vec<fleet::ConfigError>,
    },
    /// The file sets nothing up.
    #[error("{file}: none of [fleet], [gearman], [stream] and `console` is set")]
    Empty {
        /// The path of the file.
        file: String,
    },
}

fn list<E: std::fmt::Display>(errors: &[E]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// The parsed operator's file.
pub struct OperatorConfig {
    /// The table `gearman`, in the form that the Gearman frontend parses.
    pub gearman: Option<JsonValue>,
    /// The configuration of the streaming frontend.
    pub stream: Option<streaming::Config>,
    /// The configuration of the fleet.
    pub fleet: Option<fleet::Config>,
    /// The console's address, if the file sets one.
    pub console: Option<std::net::SocketAddr>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    console: Option<std::net::SocketAddr>,
    gearman: Option<GearmanTable>,
    stream: Option<streaming::Table>,
    fleet: Option<fleet::FleetTable>,
    rollout: Option<fleet::RolloutTable>,
}

/// The keys allowed in the table `gearman`; the Gearman frontend parses their values.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(dead_code, reason = "read to refuse other keys and types")]
struct GearmanTable {
    listen: String,
    peers: Option<u32>,
    settings: Option<toml::Table>,
    functions: std::collections::BTreeMap<String, FunctionTable>,
    record: Option<RecordTable>,
    identity: Option<IdentityTable>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(dead_code, reason = "read to refuse other keys and types")]
struct FunctionTable {
    class: String,
    tenant: Option<String>,
    kind: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(dead_code, reason = "read to refuse other keys and types")]
struct RecordTable {
    entries: Option<u32>,
    bytes: Option<u64>,
    keep_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(dead_code, reason = "read to refuse other keys and types")]
struct IdentityTable {
    certificate: String,
    key: String,
    bundle: String,
    trust_domain: String,
    clients: Option<std::collections::BTreeMap<String, String>>,
    workers: Option<Vec<String>>,
}

/// Reads and checks the operator's file. The Gearman frontend checks the values of its own table later.
///
/// # Errors
/// If the file cannot be read, is not TOML, or has an invalid table.
pub fn read(path: &Path) -> Result<OperatorConfig, FileError> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|cause| FileError::Read { file: file.clone(), cause })?;
    parse(&file, &text)
}

fn parse(file: &str, text: &str) -> Result<OperatorConfig, FileError> {
    let parse = |cause| FileError::Parse { file: file.into(), cause };
    let tables: File = toml::from_str(text).map_err(parse)?;
    let mut untyped: toml::Table = toml::from_str(text).map_err(parse)?;
    if tables.gearman.is_none()
        && tables.stream.is_none()
        && tables.console.is_none()
        && tables.fleet.is_none()
    {
        return Err(FileError::Empty { file: file.into() });
    }
    let stream = tables.stream.map(streaming::Table::check).transpose();
    let stream = stream.map_err(|errors| FileError::Stream { file: file.into(), errors })?;
    let fleet = match (tables.fleet, tables.rollout) {
        (None, Some(_)) => Err(vec![fleet::ConfigError::RolloutWithoutFleet]),
        (fleet, rollout) => fleet.map(|fleet| fleet.check(rollout)).transpose(),
    };
    let fleet = fleet.map_err(|errors| FileError::Fleet { file: file.into(), errors })?;
    Ok(OperatorConfig {
        gearman: untyped.remove("gearman").map(json),
        stream,
        fleet,
        console: tables.console,
    })
}

/// Converts a TOML value to JSON; a date becomes a string. The recursion is bounded because the TOML parser
/// limits the nesting.
fn json(value: toml::Value) -> JsonValue {
    match value {
        toml::Value::String(text) => JsonValue::String(text),
        toml::Value::Integer(number) => JsonValue::Number(number as f64),
        toml::Value::Float(number) => JsonValue::Number(number),
        toml::Value::Boolean(flag) => JsonValue::Boolean(flag),
        toml::Value::Datetime(date) => JsonValue::String(date.to_string()),
        toml::Value::Array(list) => JsonValue::Array(list.into_iter().map(json).collect()),
        toml::Value::Table(table) => {
            JsonValue::Object(table.into_iter().map(|(name, value)| (name, json(value))).collect())
        }
    }
}

#[cfg(test)]
mod tests;
