//! The files in `$TMPDIR` by which two processes of one dispatcher find each other at an upgrade. The newer one leaves a note
//! that it listens at the clients' address; the older one reads it at SIGTERM and hands over instead of draining. It leaves
//! its warm state in a second file, and beside it a line on the list in that state. All are replaced by a rename, and read
//! defensively: a note that does not read, or is of a process that is gone, names no successor.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::lifecycle::list_handover::ListHandover;

/// First word of a note, with its version.
const MAGIC: &str = "micabeam-handover 1";
/// Longest note that is read, in bytes.
const MAX_NOTE_BYTES: u64 = 512;

/// A process's note.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverNote {
    /// Its process id.
    pub pid: u32,
    /// When it began to listen, in milliseconds since the Unix epoch.
    pub listening_since_ms: u64,
}

impl HandoverNote {
    fn text(&self) -> String {
        format!("{MAGIC} pid={} at={}\n", self.pid, self.listening_since_ms)
    }

    /// Reads a note's text; none where it is torn or not of this form.
    pub fn parse(text: &str) -> Option<HandoverNote> {
        let line = text.strip_suffix('\n').filter(|line| !line.contains('\n'))?;
        let rest = line.strip_prefix(MAGIC)?.strip_prefix(' ')?;
        let mut fields = rest.split(' ');
        let pid = fields.next()?.strip_prefix("pid=")?.parse().ok()?;
        let listening_since_ms = fields.next()?.strip_prefix("at=")?.parse().ok()?;
        fields.next().is_none().then_some(HandoverNote { pid, listening_since_ms })
    }
}

/// Where the note of the processes at an address lies.
pub fn note_path(dir: &Path, listen: SocketAddr) -> PathBuf {
    dir.join(format!("micabeam-{}-{}.handover", listen.ip(), listen.port()))
}

/// Writes this process's note, by a rename.
///
/// # Errors
/// Where the file cannot be written.
pub fn write_note(path: &Path, note: HandoverNote) -> std::io::Result<()> {
    let temporary = path.with_extension(format!("handover.{}", note.pid));
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(note.text().as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)
}

/// Writes what a process that replaces this one is to know, by a rename. Not synced: it is for a process that runs beside
/// this one.
///
/// # Errors
/// Where the file cannot be written.
pub fn write_warm_state(note: &Path, pid: u32, bytes: &[u8]) -> std::io::Result<()> {
    let temporary = note.with_extension(format!("memory.{pid}"));
    std::fs::write(&temporary, bytes)?;
    std::fs::rename(&temporary, note.with_extension("memory"))
}

/// Reads what was left, `max_bytes` at most. It stays: the line on its list may come later than it.
///
/// # Errors
/// Where there is no such file, or it cannot be read.
pub fn read_warm_state(note: &Path, max_bytes: usize) -> std::io::Result<Vec<u8>> {
    use std::io::Read;
    let mut bytes = Vec::new();
    std::fs::File::open(note.with_extension("memory"))?.take(max_bytes as u64).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Removes the state that was left: nobody else is to use it.
pub fn remove_warm_state(note: &Path) {
    let _ = std::fs::remove_file(note.with_extension("memory"));
}

/// Where a process says something of the list in the warm state that it has left.
fn list_handover_path(note: &Path, pid: u32) -> PathBuf {
    note.with_extension(format!("list.{pid}"))
}

/// Writes what this process says of the list in the warm state that it has left.
///
/// # Errors
/// Where the file cannot be written.
pub fn write_list_handover(note: &Path, handover: ListHandover) -> std::io::Result<()> {
    let path = list_handover_path(note, handover.pid);
    let temporary = path.with_extension(format!("{}.new", handover.pid));
    std::fs::write(&temporary, handover.to_string())?;
    std::fs::rename(&temporary, path)
}

/// Reads what the process `pid` says of the list that it has left, and removes it. None where there is nothing of it.
pub fn take_list_handover(note: &Path, pid: u32) -> Option<ListHandover> {
    // Moved away first: what is left while it is read must not be removed with it.
    let path = list_handover_path(note, pid);
    let taken = path.with_extension(format!("{pid}.taken"));
    std::fs::rename(path, &taken).ok()?;
    let text = read(&taken).ok()?;
    let _ = std::fs::remove_file(&taken);
    ListHandover::parse(&text?).filter(|handover| handover.pid == pid)
}

/// Whether another process that is alive left its note there after `since`. A note that does not read is named
/// in the log, once, and counts as none.
pub fn has_successor(path: &Path, own_pid: u32, since_ms: u64) -> bool {
    let text = match read(path) {
        Ok(Some(text)) => text,
        Ok(None) => return false,
        Err(e) => {
            crate::say(format_args!("the hand-over note {} is ignored: {e}", path.display()));
            return false;
        }
    };
    let Some(note) = HandoverNote::parse(&text) else {
        crate::say(format_args!("the hand-over note {} is ignored: it does not read", path.display()));
        return false;
    };
    note.pid != own_pid && note.listening_since_ms >= since_ms && is_alive(note.pid)
}

/// The live process beside this one that the note names, if there is one. What does not read names none.
pub fn live_peer(path: &Path, own_pid: u32) -> Option<u32> {
    let note = HandoverNote::parse(&read(path).ok()??)?;
    (note.pid != own_pid && is_alive(note.pid)).then_some(note.pid)
}

/// Whether a process runs: one that has ended and was not waited for does not.
pub fn is_alive(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"));
    stat.is_ok_and(|stat| {
        !matches!(stat.rsplit(") ").next().and_then(|rest| rest.chars().next()), Some('Z' | 'X'))
    })
}

fn read(path: &Path) -> std::io::Result<Option<String>> {
    use std::io::Read;
    let file = match std::fs::File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let mut text = String::new();
    file.take(MAX_NOTE_BYTES).read_to_string(&mut text)?;
    Ok(Some(text))
}

#[cfg(test)]
mod tests;
