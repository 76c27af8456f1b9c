//! The voter's file: read at the start, and written by a thread of its own, since a sync blocks. Its form is
//! `crate::consensus::vote_file`'s.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write as _};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, SyncSender};
use std::thread;

use calloop::channel::{Channel, Sender, channel};
use thiserror::Error;

use crate::consensus::{Persisted, Write, vote_file};

/// Writes that may wait for the thread.
const MAX_WAITING_WRITES: usize = 256;

/// Why a voter's file cannot be used.
#[derive(Debug, Error)]
#[error("{path}: {cause}")]
pub struct VoteLogError {
    path: String,
    cause: VoteLogFault,
}

#[derive(Debug, Error)]
enum VoteLogFault {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    File(#[from] vote_file::FileError),
}

/// How a write has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteResult {
    /// It is on disk.
    Done,
    /// It could not be done; nothing more is written.
    Failed,
}

/// Reads a voter's file. Nothing is remembered where there is none, or where it is of an earlier generation: operators who
/// start a new one mean to forget what the old one remembered.
///
/// # Errors
/// Where it cannot be read, or is damaged, or of a later version or generation.
pub(super) fn read(path: &Path, generation: u32) -> Result<Option<Persisted>, VoteLogError> {
    read_file(path, generation).map_err(|cause| VoteLogError { path: path.display().to_string(), cause })
}

fn read_file(path: &Path, generation: u32) -> Result<Option<Persisted>, VoteLogFault> {
    let mut bytes = Vec::new();
    match File::open(path) {
        Ok(file) => {
            file.take(vote_file::MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes)?;
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.into()),
    }
    match vote_file::read(&bytes, generation) {
        Ok(content) => {
            if content.valid_bytes < bytes.len() {
                let cut_bytes = bytes.len() - content.valid_bytes;
                tracing::warn!(path = %path.display(), cut_bytes, "torn end of the voter's file cut");
            }
            Ok(content.persisted)
        }
        Err(vote_file::FileError::Generation(old)) if old < generation => {
            tracing::info!(path = %path.display(), old, generation, "voter's file of an earlier generation ignored");
            Ok(None)
        }
        Err(e) => Err(e.into()),
    }
}

/// The thread that writes.
pub(super) struct VoteLog(SyncSender<Write>);

impl VoteLog {
    /// Starts the thread; the channel gives the result of each write, in order. It ends after a write that failed.
    ///
    /// # Errors
    /// Where the system starts no thread.
    pub(super) fn start(path: PathBuf) -> io::Result<(VoteLog, Channel<WriteResult>)> {
        let (writes, waiting) = mpsc::sync_channel::<Write>(MAX_WAITING_WRITES);
        let (result_sender, results) = channel();
        let name = "fleet-disk".to_string();
        thread::Builder::new().name(name).spawn(move || write_all(&path, &waiting, &result_sender))?;
        Ok((VoteLog(writes), results))
    }

    /// Has something written. False where the thread is far behind or has ended.
    pub(super) fn write(&self, write: Write) -> bool {
        self.0.try_send(write).is_ok()
    }
}

fn write_all(path: &Path, waiting: &mpsc::Receiver<Write>, results: &Sender<WriteResult>) {
    let mut appending = None;
    while let Ok(write) = waiting.recv() {
        let result = match carry_out(path, write, &mut appending) {
            Ok(()) => WriteResult::Done,
            Err(error) => {
                tracing::error!(path = %path.display(), %error, "voter's file not written, the voter votes no more");
                WriteResult::Failed
            }
        };
        if results.send(result).is_err() || result == WriteResult::Failed {
            return;
        }
    }
}

fn carry_out(path: &Path, write: Write, appending: &mut Option<File>) -> io::Result<()> {
    match write {
        Write::Nothing => Ok(()),
        Write::Append(bytes) => {
            let file = match appending {
                Some(file) => file,
                None => appending.insert(OpenOptions::new().append(true).open(path)?),
            };
            file.write_all(&bytes)?;
            file.sync_data()
        }
        Write::Replace(bytes) => {
            *appending = None;
            replace(path, &bytes)
        }
    }
}

/// Replaces a file by a new one and a rename, all of it synced: it is there as before, or as it is to be.
fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut new_path = path.as_os_str().to_owned();
    new_path.push(".new");
    let mut file = File::create(&new_path)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&new_path, path)?;
    let dir = path.parent().filter(|dir| !dir.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(dir)?.sync_all()
}

#[cfg(test)]
mod tests;
