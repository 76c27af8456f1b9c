//! Policies on disk: a file each, named by its hash, written whole and synced before anything rests on it.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::time::SystemTime;

use crate::fleet::{DocumentHash, MAX_DOCUMENT_BYTES, hash};

/// Files that are kept; the oldest go.
const KEPT: usize = 8;
/// What their names end with.
const END: &str = ".policy";

/// All that are there and are what their names say. What is damaged is told, and asked for anew of others.
pub(super) fn read(dir: &Path) -> io::Result<Vec<Vec<u8>>> {
    fs::create_dir_all(dir)?;
    let mut documents = Vec::new();
    for (path, _) in files(dir)? {
        let length = fs::metadata(&path)?.len();
        let bytes = if length <= MAX_DOCUMENT_BYTES as u64 { fs::read(&path)? } else { Vec::new() };
        if path.file_name().is_some_and(|name| *name == *name_of(&hash(&bytes))) {
            documents.push(bytes);
        } else {
            crate::say(format_args!("{}: it is not what its name says, and is passed over", path.display()));
        }
    }
    Ok(documents)
}

/// Writes one, and lets the oldest go.
pub(super) fn write(dir: &Path, bytes: &[u8]) -> io::Result<()> {
    let path = dir.join(name_of(&hash(bytes)));
    if fs::read(&path).is_ok_and(|known| known == bytes) {
        return Ok(());
    }
    let new = path.with_extension("new");
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&new, &path)?;
    File::open(dir)?.sync_all()?;
    let list = files(dir)?;
    for (old, _) in list.iter().take(list.len().saturating_sub(KEPT)) {
        let _ = fs::remove_file(old);
    }
    Ok(())
}

fn name_of(hash: &DocumentHash) -> String {
    hash.iter().map(|byte| format!("{byte:02x}")).collect::<String>() + END
}

/// The files that there are, the oldest first.
fn files(dir: &Path) -> io::Result<Vec<(std::path::PathBuf, SystemTime)>> {
    let mut list = Vec::new();
    for entry in fs::read_dir(dir)?.take(1024) {
        let entry = entry?;
        if entry.file_name().to_string_lossy().ends_with(END) {
            list.push((entry.path(), entry.metadata()?.modified()?));
        }
    }
    list.sort_by_key(|(_, at)| *at);
    Ok(list)
}

#[cfg(test)]
mod tests;
