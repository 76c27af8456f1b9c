//! Records: the changes of jobs that the ledger stores, and their encoding.
//!
//! An encoded record is a version (one byte, `VERSION`) followed by the fields in postcard encoding: integers
//! as varints, times as eight bytes, texts and bodies prefixed with their length. The store adds a length and
//! a checksum.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Fence, JobNo};

/// The version of the encoding that is written, and the only one that can be read.
pub const VERSION: u8 = 1;

/// The final answer to a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The job was served, with this result.
    Served(Vec<u8>),
    /// The job failed, and may have run.
    Failed,
    /// The job was denied: it never ran, or may run twice.
    Denied,
}

/// A change of a job, as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The job was accepted.
    Accepted {
        /// The job.
        no: JobNo,
        /// Class of the job.
        class: usize,
        /// The key by which the client can submit the job again, if it gave one.
        key: Option<Vec<u8>>,
        /// When the client stops waiting for the answer, in milliseconds since the Unix epoch.
        due: f64,
        /// The body that is sent to the worker.
        body: Vec<u8>,
    },
    /// The job is about to be sent to a worker.
    Leased {
        /// The job.
        no: JobNo,
        /// The lease.
        fence: Fence,
        /// Name of the worker.
        worker: String,
        /// When the lease expires unless the worker renews it.
        until: f64,
    },
    /// The dispatch under a lease never ran.
    Returned {
        /// The job.
        no: JobNo,
        /// The lease.
        fence: Fence,
    },
    /// A lease expired, and the job may run again.
    Lapsed {
        /// The job.
        no: JobNo,
        /// The lease.
        fence: Fence,
    },
    /// A lease expired, and the job may have run and must not run twice.
    Adrift {
        /// The job.
        no: JobNo,
        /// The lease.
        fence: Fence,
        /// When the job fails unless the worker reports.
        until: f64,
    },
    /// The job has ended.
    Finished {
        /// The job.
        no: JobNo,
        /// The final answer.
        outcome: Outcome,
        /// Time until which the answer is kept.
        keep: f64,
    },
    /// The job and its answer are no longer kept.
    Dropped {
        /// The job.
        no: JobNo,
    },
}

/// An error in the encoding of a record.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The version is unknown to this program.
    #[error("the record has version {0}; this program supports version {VERSION}")]
    Version(u8),
    /// The bytes are corrupt, or bytes are left over after the record.
    #[error("the record is corrupt")]
    Corrupt,
}

impl Record {
    /// Returns the job that the record belongs to.
    pub fn job(&self) -> JobNo {
        match *self {
            Record::Accepted { no, .. }
            | Record::Leased { no, .. }
            | Record::Returned { no, .. }
            | Record::Lapsed { no, .. }
            | Record::Adrift { no, .. }
            | Record::Finished { no, .. }
            | Record::Dropped { no } => no,
        }
    }

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        // Writing to a vector cannot run out of space.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// Decodes a record. Invalid bytes do not cause a panic.
    ///
    /// # Errors
    /// If the bytes are not exactly one record of a known version.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        match bytes.split_first() {
            Some((&VERSION, fields)) => match postcard::take_from_bytes(fields) {
                Ok((record, [])) => Ok(record),
                _ => Err(RecordError::Corrupt),
            },
            Some((&version, _)) => Err(RecordError::Version(version)),
            None => Err(RecordError::Corrupt),
        }
    }
}
