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
pub mod process;
pub mod program;
pub mod relay;
pub mod rollout;
pub mod scale;
pub mod soak;
pub mod stores;
pub mod streams;
pub mod upgrade;
pub mod zones;

use thiserror::Error;

/// Why an experiment could not be made, or what it disproved.
#[derive(Debug, Error)]
pub enum RigError {
    /// The system refused something.
    #[error("{context}: {cause}")]
    Io {
        /// What was tried.
        context: String,
        /// Why it failed.
        cause: std::io::Error,
    },
    /// The program did not start, or did not build.
    #[error("the program: {0}")]
    Program(String),
    /// What was asked for cannot be played.
    #[error("{0}")]
    Arguments(String),
    /// The proof failed.
    #[error("check failed: {0}")]
    CheckFailed(String),
}

/// Says what was tried, where the system refuses it.
///
/// # Errors
/// The error of the result, with what was tried.
pub fn io_context<T>(operation: &str, result: std::io::Result<T>) -> Result<T, RigError> {
    result.map_err(|cause| RigError::Io { context: operation.into(), cause })
}

/// Whether a proof holds: each of these is 0, and half of the jobs were served at least.
///
/// # Errors
/// Where one of the figures is not 0, or too little was served.
pub fn check_invariants(zeros: &[(&str, u64)], jobs: u64, served: u64) -> Result<(), RigError> {
    match zeros.iter().find(|figure| figure.1 > 0) {
        Some((name, count)) => Err(RigError::CheckFailed(format!("{name} is {count}"))),
        None if jobs == 0 || served * 2 < jobs => {
            Err(RigError::CheckFailed("less than half of the jobs were served".into()))
        }
        None => Ok(()),
    }
}
