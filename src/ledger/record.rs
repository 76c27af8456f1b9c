//! Records: what the ledger has stored of jobs, and their form on disk.
//!
//! A record's bytes are its version (one byte, `VERSION`) and its fields by postcard: integers as varints, times as
//! eight bytes, texts and bodies with their length before them. Length and checksum around it are the store's.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Fence, JobNo};

/// The version of the form that is written, and the newest that is read.
pub const VERSION: u8 = 1;

/// A job's final answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served, with its worker's result.
    Served(Vec<u8>),
    /// Failed; it may have run.
    Failed,
    /// Denied: it never ran, or may run twice.
    Denied,
}

/// A change of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// It was taken on.
    Accepted {
        /// The job.
        no: JobNo,
        /// Its class.
        class: usize,
        /// The name by which its client asks again.
        key: Option<Vec<u8>>,
        /// When its client gives up, in milliseconds since the Unix epoch.
        due: f64,
        /// What its worker gets.
        body: Vec<u8>,
    },
    /// It is about to be sent to a worker.
    Leased {
        /// The job.
        no: JobNo,
        /// The lease.
        fence: Fence,
        /// The worker's name.
        worker: String,
        /// When the lease is over without a sign of the worker.
        until: f64,
    },
    /// A lease's dispatch never ran.
    Returned {
        /// The job.
        no: JobNo,
        /// The lease.
        fence: Fence,
    },
    /// A lease ran out, and the job may run again.
    Lapsed {
        /// The job.
        no: JobNo,
        /// The lease.
        fence: Fence,
    },
    /// A lease ran out, and the job may have run and must not again.
    Adrift {
        /// The job.
        no: JobNo,
        /// The lease.
        fence: Fence,
        /// When it is given up.
        until: f64,
    },
    /// It is over.
    Finished {
        /// The job.
        no: JobNo,
        /// Its final answer.
        outcome: Outcome,
        /// Until when that is kept.
        keep: f64,
    },
    /// Its answer is not kept any more.
    Dropped {
        /// The job.
        no: JobNo,
    },
}

/// Why a record's bytes do not read.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// They are of a version that this program does not know.
    #[error("a record of version {0}; this program knows up to {VERSION}")]
    Version(u8),
    /// They are damaged, or there are more than belong to it.
    #[error("a record does not read")]
    Damaged,
}

impl Record {
    /// The job that it is of.
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

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Into a vector nothing can fail to fit.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// Reads it back. Whatever the bytes, it does not panic.
    ///
    /// # Errors
    /// Where the bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        match bytes.split_first() {
            Some((&VERSION, fields)) => match postcard::take_from_bytes(fields) {
                Ok((record, [])) => Ok(record),
                _ => Err(RecordError::Damaged),
            },
            Some((&version, _)) => Err(RecordError::Version(version)),
            None => Err(RecordError::Damaged),
        }
    }
}
