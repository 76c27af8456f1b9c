//! The voter's file: read at the start, and written by a thread of its own, since a sync blocks.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write as _};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, SyncSender};
use std::thread;

use calloop::channel::{Channel, Sender, channel};

use crate::consensus::{Persisted, Write, vote_file};

/// Writes that may wait for the thread.
const WAITING: usize = 256;

/// Reads a voter's file. Nothing is remembered where there is none.
pub(super) fn read(path: &Path, generation: u32) -> Result<Option<Persisted>, String> {
    let mut bytes = Vec::new();
    match File::open(path) {
        Ok(file) => {
            let read = file.take(vote_file::MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes);
            read.map_err(|e| format!("{}: {e}", path.display()))?;
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(format!("{}: {e}", path.display())),
    }
    match vote_file::read(&bytes, generation) {
        Ok(content) => {
            if content.valid_bytes < bytes.len() {
                let cut = bytes.len() - content.valid_bytes;
                crate::say(format_args!("{}: a torn end of {cut} bytes is cut", path.display()));
            }
            Ok(content.persisted)
        }
        // Operators who start a new generation mean to forget what the old one remembered.
        Err(vote_file::FileError::Generation(old)) if old < generation => {
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
mod tests {
    use super::*;
    use std::time::Duration;

    fn wait(told: &Channel<bool>) -> bool {
        loop {
            match told.try_recv() {
                Ok(done) => return done,
                Err(mpsc::TryRecvError::Empty) => thread::sleep(Duration::from_millis(1)),
                Err(mpsc::TryRecvError::Disconnected) => return false,
            }
        }
    }

    /// A disk that is full, or a place that cannot be written, ends the vote and nothing else.
    #[test]
    fn writes_are_told_when_they_are_done_and_when_they_cannot_be() {
        let dir = std::env::temp_dir().join(format!("micabeam-disk-{}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let path = dir.join("state");
        let (disk, told) = VoteLog::start(path.clone()).unwrap();
        assert!(disk.write(Write::Replace(vote_file::encode_header(1))));
        assert!(wait(&told));
        assert!(disk.write(Write::Append(vote_file::encode_frame(&[]))));
        assert!(wait(&told));
        assert!(read(&path, 1).unwrap().is_some());
        assert!(read(&path, 2).unwrap().is_none(), "a new generation begins");
        fs::write(&path, "something else, and long").unwrap();
        assert!(read(&path, 1).unwrap_err().contains("not a voter's file"));
        let (full, told) = VoteLog::start(PathBuf::from("/dev/full")).unwrap();
        assert!(full.write(Write::Append(vec![1])));
        assert!(!wait(&told));
        let (nowhere, told) = VoteLog::start(dir.join("no/such/place")).unwrap();
        assert!(nowhere.write(Write::Replace(vec![1])));
        assert!(!wait(&told));
        fs::remove_dir_all(&dir).unwrap();
    }
}
