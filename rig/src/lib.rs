//! Experiments that run the real micabeam binary on loopback among stand-in clients, workers and discovery.
//!
//! Each experiment prints a table and, as its last line, `key=value` figures. `micabeam-rig` exits non-zero
//! if the checks of an experiment fail. Nothing in this crate is part of the micabeam binary.
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

/// Error of an experiment: it could not run, or one of its checks failed.
#[derive(Debug, Error)]
pub enum RigError {
    /// A call to the operating system failed.
    #[error("{context}: {cause}")]
    Io {
        /// The operation that failed, or the file or socket that it was for.
        context: String,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The program could not be built or started, or did not behave as expected.
    #[error("the program: {0}")]
    Program(String),
    /// The arguments describe an experiment that cannot be run.
    #[error("{0}")]
    Arguments(String),
    /// A check of the experiment failed.
    #[error("check failed: {0}")]
    CheckFailed(String),
}

/// Adds the name of the operation to the I/O error of a result.
///
/// # Errors
/// Returns [`RigError::Io`] if the result is an error.
pub fn io_context<T>(operation: &str, result: std::io::Result<T>) -> Result<T, RigError> {
    result.map_err(|cause| RigError::Io { context: operation.into(), cause })
}

/// Checks that each figure in `zeros` is 0 and that at least half of the jobs were served.
///
/// # Errors
/// Returns [`RigError::CheckFailed`] if a figure is not 0, if there were no jobs, or if less than half were
/// served.
pub fn check_invariants(zeros: &[(&str, u64)], jobs: u64, served: u64) -> Result<(), RigError> {
    match zeros.iter().find(|figure| figure.1 > 0) {
        Some((name, count)) => Err(RigError::CheckFailed(format!("{name} is {count}"))),
        None if jobs == 0 || served * 2 < jobs => {
            Err(RigError::CheckFailed("less than half of the jobs were served".into()))
        }
        None => Ok(()),
    }
}
