//! Files in `$TMPDIR` by which two processes of one dispatcher find each other during an upgrade. The new
//! process writes a note that it listens at the clients' address; the old one reads the note at SIGTERM and
//! hands over instead of draining. The old process saves its warm state in a second file, and a description
//! of the endpoint list in that state in a third. All files are replaced by a rename and validated when read:
//! a malformed note, or one of a process that has exited, names no successor.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::lifecycle::list_handover::ListHandover;

/// Start of a note, with the version of its format.
const MAGIC: &str = "micabeam-handover 1";
/// Maximum size of a note that is read, in bytes.
const MAX_NOTE_BYTES: u64 = 512;

/// The note that a listening process writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverNote {
    /// The process ID.
    pub pid: u32,
    /// When the process began to listen, in milliseconds since the Unix epoch.
    pub listening_since_ms: u64,
}

impl HandoverNote {
    fn text(&self) -> String {
        format!("{MAGIC} pid={} at={}\n", self.pid, self.listening_since_ms)
    }

    /// Parses a note; `None` if it is truncated or malformed.
    pub fn parse(text: &str) -> Option<HandoverNote> {
        let line = text.strip_suffix('\n').filter(|line| !line.contains('\n'))?;
        let rest = line.strip_prefix(MAGIC)?.strip_prefix(' ')?;
        let mut fields = rest.split(' ');
        let pid = fields.next()?.strip_prefix("pid=")?.parse().ok()?;
        let listening_since_ms = fields.next()?.strip_prefix("at=")?.parse().ok()?;
        fields.next().is_none().then_some(HandoverNote { pid, listening_since_ms })
    }
}

/// Returns the path of the note for a listening address.
pub fn note_path(dir: &Path, listen: SocketAddr) -> PathBuf {
    dir.join(format!("micabeam-{}-{}.handover", listen.ip(), listen.port()))
}

/// Writes the note of this process, replacing the old one by a rename.
///
/// # Errors
/// If the file cannot be written.
pub fn write_note(path: &Path, note: HandoverNote) -> std::io::Result<()> {
    let temporary = path.with_extension(format!("handover.{}", note.pid));
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(note.text().as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)
}

/// Saves the warm state for the process that replaces this one, replacing the old file by a rename. The file
/// is not synced, since it is only read by a process that runs at the same time.
///
/// # Errors
/// If the file cannot be written.
pub fn write_warm_state(note: &Path, pid: u32, bytes: &[u8]) -> std::io::Result<()> {
    let temporary = note.with_extension(format!("memory.{pid}"));
    std::fs::write(&temporary, bytes)?;
    std::fs::rename(&temporary, note.with_extension("memory"))
}

/// Reads at most `max_bytes` of the saved warm state. The file is kept, because the description of its list
/// may be written later.
///
/// # Errors
/// If there is no such file, or it cannot be read.
pub fn read_warm_state(note: &Path, max_bytes: usize) -> std::io::Result<Vec<u8>> {
    use std::io::Read;
    let mut bytes = Vec::new();
    std::fs::File::open(note.with_extension("memory"))?.take(max_bytes as u64).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Removes the saved warm state, so that no other process uses it.
pub fn remove_warm_state(note: &Path) {
    let _ = std::fs::remove_file(note.with_extension("memory"));
}

/// Returns the path of the file in which a process describes the list in its saved warm state.
fn list_handover_path(note: &Path, pid: u32) -> PathBuf {
    note.with_extension(format!("list.{pid}"))
}

/// Writes the description of the list in the saved warm state.
///
/// # Errors
/// If the file cannot be written.
pub fn write_list_handover(note: &Path, handover: ListHandover) -> std::io::Result<()> {
    let path = list_handover_path(note, handover.pid);
    let temporary = path.with_extension(format!("{}.new", handover.pid));
    std::fs::write(&temporary, handover.to_string())?;
    std::fs::rename(&temporary, path)
}

/// Reads the description of the list that the process `pid` has saved, and removes it. Returns `None` if
/// there is none or it is malformed.
pub fn take_list_handover(note: &Path, pid: u32) -> Option<ListHandover> {
    // Renamed first, so that a description written while this one is read is not removed with it.
    let path = list_handover_path(note, pid);
    let claimed = path.with_extension(format!("{pid}.taken"));
    std::fs::rename(path, &claimed).ok()?;
    let text = read(&claimed).ok()?;
    let _ = std::fs::remove_file(&claimed);
    ListHandover::parse(&text?).filter(|handover| handover.pid == pid)
}

/// Whether another live process has written its note at `path` since `since_ms`. A note that cannot be read
/// or is malformed is logged and ignored.
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
        crate::say(format_args!("the hand-over note {} is ignored: it is malformed", path.display()));
        return false;
    };
    note.pid != own_pid && note.listening_since_ms >= since_ms && is_alive(note.pid)
}

/// Returns the other live process that the note names, if any. A note that cannot be read or is malformed
/// names none.
pub fn live_peer(path: &Path, own_pid: u32) -> Option<u32> {
    let note = HandoverNote::parse(&read(path).ok()??)?;
    (note.pid != own_pid && is_alive(note.pid)).then_some(note.pid)
}

/// Whether a process is running. A zombie, which has exited but was not waited for, is not.
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
