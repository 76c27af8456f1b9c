#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// Writes a line to standard error, for what is to be seen also where no subscriber of `tracing` is set up, as before the
/// settings are read. Does not fail where standard error is closed, unlike `eprintln!`.
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
