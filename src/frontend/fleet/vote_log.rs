//! The voter's file: read at the start, and written by a thread of its own, since a sync blocks.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write as _};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, SyncSender};
use std::thread;

use calloop::channel::{Channel, Sender, channel};

use crate::consensus::{Persisted, Write, file};

/// Writes that may wait for the thread.
const WAITING: usize = 256;

/// Reads a voter's file. Nothing is remembered where there is none.
pub(super) fn read(path: &Path, generation: u32) -> Result<Option<Persisted>, String> {
    let mut bytes = Vec::new();
    match File::open(path) {
        Ok(file) => {
            let read = file.take(file::MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes);
            read.map_err(|e| format!("{}: {e}", path.display()))?;
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(format!("{}: {e}", path.display())),
    }
    match file::read(&bytes, generation) {
        Ok((kept, whole)) => {
            if whole < bytes.len() {
                let cut = bytes.len() - whole;
                crate::say(format_args!("{}: a torn end of {cut} bytes is cut", path.display()));
            }
            Ok(kept)
        }
        // Operators who start a new generation mean to forget what the old one remembered.
        Err(file::FileError::Generation(old)) if old < generation => {
            crate::say(format_args!("{}: it is of generation {old}; a new one begins", path.display()));
            Ok(None)
        }
        Err(e) => Err(format!("{}: {e}", path.display())),
    }
}

/// The thread that writes.
pub(super) struct VoteLog(SyncSender<Write>);

impl VoteLog {
    /// Starts it; the channel tells of each write whether it was done.
    pub(super) fn start(path: PathBuf) -> io::Result<(VoteLog, Channel<bool>)> {
        let (jobs, take) = mpsc::sync_channel::<Write>(WAITING);
        let (tell, told) = channel();
        thread::Builder::new().name("fleet-disk".into()).spawn(move || work(&path, &take, &tell))?;
        Ok((VoteLog(jobs), told))
    }

    /// Has something written. False where the thread is far behind or gone.
    pub(super) fn write(&self, write: Write) -> bool {
        self.0.try_send(write).is_ok()
    }
}

fn work(path: &Path, take: &mpsc::Receiver<Write>, tell: &Sender<bool>) {
    let mut open = None;
    while let Ok(job) = take.recv() {
        let done = carry_out(path, job, &mut open);
        if let Err(e) = &done {
            crate::say(format_args!("{}: {e}: this voter votes no more", path.display()));
        }
        if tell.send(done.is_ok()).is_err() || done.is_err() {
            return;
        }
    }
}

fn carry_out(path: &Path, job: Write, open: &mut Option<File>) -> io::Result<()> {
    match job {
        Write::Nothing => Ok(()),
        Write::Append(bytes) => {
            if open.is_none() {
                *open = Some(OpenOptions::new().append(true).open(path)?);
            }
            let Some(file) = open else { return Ok(()) };
            file.write_all(&bytes)?;
            file.sync_data()
        }
        Write::Replace(bytes) => {
            *open = None;
            let mut name = path.as_os_str().to_owned();
            name.push(".new");
            let mut file = File::create(&name)?;
            file.write_all(&bytes)?;
            file.sync_all()?;
            fs::rename(&name, path)?;
            let dir = path.parent().filter(|dir| !dir.as_os_str().is_empty()).unwrap_or(Path::new("."));
            File::open(dir)?.sync_all()
        }
    }
}

#[cfg(test)]
mod tests;
