//! Stand-ins for what stands around micabeam, and experiments with the real program among them, on loopback.
//!
//! Each experiment prints a table and, as its last line, `key=value` figures; `main` ends non-zero where its proof
//! fails. Nothing here is part of the program.
#![forbid(unsafe_code)]

pub mod body;
pub mod datagrams;
pub mod dispatch;
pub mod http;
pub mod peers;
pub mod program;
pub mod relay;
pub mod stores;
pub mod streams;
pub mod upgrade;
pub mod zones;

use thiserror::Error;

/// Why an experiment could not be made, or what it disproved.
#[derive(Debug, Error)]
pub enum RigError {
    /// The system refused something.
    #[error("{what}: {cause}")]
    System {
        /// What was tried.
        what: String,
        /// Why it failed.
        cause: std::io::Error,
    },
    /// The program did not start, or did not build.
    #[error("the program: {0}")]
    Program(String),
    /// The proof failed.
    #[error("not proved: {0}")]
    Disproved(String),
}

/// Says what was tried, where the system refuses it.
pub fn tried<T>(what: &str, result: std::io::Result<T>) -> Result<T, RigError> {
    result.map_err(|cause| RigError::System { what: what.into(), cause })
}
