//! Reads the vote file at startup and writes it on a separate thread, since a sync blocks.
//! `crate::consensus::vote_file` defines the format.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write as _};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, SyncSender};
use std::thread;

use calloop::channel::{Channel, Sender, channel};
use thiserror::Error;

use crate::consensus::{Persisted, Write, vote_file};

/// Maximum number of writes queued for the thread.
const MAX_QUEUED_WRITES: usize = 256;

/// The reason a vote file cannot be used.
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

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteResult {
    /// The write is on disk.
    Done,
    /// The write failed; nothing more is written.
    Failed,
}

/// Reads a vote file. Returns `None` if there is no file or it belongs to an earlier generation: by starting
/// a new generation, operators discard the state of the old one.
///
/// # Errors
/// If the file cannot be read, is corrupt, or is of another version or a later generation.
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
                tracing::warn!(path = %path.display(), cut_bytes, "ignored an incomplete write at the end of the vote file");
            }
            Ok(content.persisted)
        }
        Err(vote_file::FileError::Generation(old)) if old < generation => {
            tracing::info!(path = %path.display(), old, generation, "ignored a vote file of an earlier generation");
            Ok(None)
        }
        Err(e) => Err(e.into()),
    }
}

/// Handle of the thread that writes the vote file.
pub(super) struct VoteLog(SyncSender<Write>);

impl VoteLog {
    /// Starts the thread. The channel returns the result of each write, in order. The thread ends after a
    /// failed write.
    ///
    /// # Errors
    /// If the system cannot start a thread.
    pub(super) fn start(path: PathBuf) -> io::Result<(VoteLog, Channel<WriteResult>)> {
        let (write_sender, write_receiver) = mpsc::sync_channel::<Write>(MAX_QUEUED_WRITES);
        let (result_sender, results) = channel();
        let name = "fleet-disk".to_string();
        thread::Builder::new().name(name).spawn(move || write_all(&path, &write_receiver, &result_sender))?;
        Ok((VoteLog(write_sender), results))
    }

    /// Queues a write. Returns false if the queue is full or the thread has ended.
    pub(super) fn write(&self, write: Write) -> bool {
        self.0.try_send(write).is_ok()
    }
}

fn write_all(path: &Path, writes: &mpsc::Receiver<Write>, results: &Sender<WriteResult>) {
    let mut append_file = None;
    while let Ok(write) = writes.recv() {
        let result = match carry_out(path, write, &mut append_file) {
            Ok(()) => WriteResult::Done,
            Err(error) => {
                tracing::error!(path = %path.display(), %error, "failed to write the vote file; this member no longer votes");
                WriteResult::Failed
            }
        };
        if results.send(result).is_err() || result == WriteResult::Failed {
            return;
        }
    }
}

fn carry_out(path: &Path, write: Write, append_file: &mut Option<File>) -> io::Result<()> {
    match write {
        Write::Nothing => Ok(()),
        Write::Append(bytes) => {
            let file = match append_file {
                Some(file) => file,
                None => append_file.insert(OpenOptions::new().append(true).open(path)?),
            };
            file.write_all(&bytes)?;
            file.sync_data()
        }
        Write::Replace(bytes) => {
            *append_file = None;
            replace(path, &bytes)
        }
    }
}

/// Replaces a file by writing a new one and renaming it, and syncs both. After a crash either the old or the
/// new content is there.
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
