#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// Writes a line to the log. Guards against an end by a log that nobody takes any more, which `eprintln` is.
pub fn say(line: impl std::fmt::Display) {
    use std::io::Write;
    let _ = writeln!(std::io::stderr(), "micabeam: {line}");
}

pub mod api;
pub mod consensus;
pub mod core;
pub mod fleet;
pub mod flow;
pub mod front;
pub mod ingest;
pub mod json;
pub mod learned;
pub mod ledger;
pub mod lifecycle;
mod logic;
pub mod net;
pub mod rollout;
pub mod settings;
pub mod shared;
mod state;
pub mod telemetry;
#[cfg(test)]
mod wire_fixture;
pub mod zones;

pub use logic::Dispatcher;
