//! The operator's file: TOML, with a table for each frontend; unknown keys are rejected.

use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

use super::{fleet, streaming};
use crate::json::JsonValue;

/// Why the file cannot be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// It cannot be read.
    #[error("{file}: {cause}")]
    Read {
        /// Its path.
        file: String,
        /// Why.
        cause: std::io::Error,
    },
    /// It is no TOML, or has a key or a value that does not belong there; the text shows where.
    #[error("{file}: {cause}")]
    Parse {
        /// Its path.
        file: String,
        /// Where, and what was expected.
        cause: toml::de::Error,
    },
    /// Its figures do not fit.
    #[error("{file}: {}", list(.errors))]
    Stream {
        /// Its path.
        file: String,
        /// All that is wrong.
        errors: Vec<streaming::ConfigError>,
    },
    /// Its fleet's table does not fit.
    #[error("{file}: {}", list(.errors))]
    Fleet {
        /// Its path.
        file: String,
        /// All that is wrong.
        errors: Vec<fleet::ConfigError>,
    },
    /// It has no frontend's table.
    #[error("{file}: neither [fleet], [gearman], [stream] nor `console`: there is nothing to set up")]
    Empty {
        /// Its path.
        file: String,
    },
}

fn list<E: std::fmt::Display>(errors: &[E]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// What the file sets up.
pub struct OperatorConfig {
    /// Gearman's table, as its frontend reads it.
    pub gearman: Option<JsonValue>,
    /// The stream front's.
    pub stream: Option<streaming::Config>,
    /// The fleet's table.
    pub fleet: Option<fleet::Config>,
    /// The operators' console, if the file names its address.
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

/// The keys that Gearman's table may have; its front reads their values.
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

/// Reads the file, and checks all of it but what Gearman's front checks itself.
///
/// # Errors
/// Where the file cannot be read, is no TOML, or has a table that is not valid.
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
        (None, Some(_)) => Err(vec![fleet::ConfigError::Alone]),
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

/// A value of TOML as one of JSON; a date becomes its text. The parser of TOML bounds its nesting.
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
