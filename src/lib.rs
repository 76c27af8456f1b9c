#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// Writes a line to standard error. For messages that must be visible even if no `tracing` subscriber is set
/// up, for example before the settings are read. Unlike `eprintln!`, it does not panic if standard error is
/// closed.
pub fn say(line: impl std::fmt::Display) {
    use std::io::Write;
    let _ = writeln!(std::io::stderr(), "micabeam: {line}");
}

pub mod consensus;
pub mod control_plane;
pub mod core;
pub mod fleet;
pub mod flow;
pub mod frontend;
pub mod ingest;
pub mod json;
pub mod ledger;
pub mod lifecycle;
pub mod net;
pub mod rollout;
pub mod routing;
pub mod settings;
pub mod telemetry;
#[cfg(test)]
mod wire_fixture;
pub mod zones;
