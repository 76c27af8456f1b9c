//! Policies on disk: a file each, named by its hash, written as a whole and synced before anything rests on it.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use crate::fleet::{DocumentHash, MAX_DOCUMENT_BYTES, hash};

/// Files that are kept, as many as documents are in memory; the oldest go.
const MAX_FILES: usize = 8;
/// Entries of the directory that are looked at: it may hold files of others.
const MAX_ENTRIES: usize = 1024;
/// What the names end with.
const SUFFIX: &str = ".policy";

/// A stored policy, not read yet.
struct StoredFile {
    path: PathBuf,
    modified: SystemTime,
}

/// All policies that are there and are what their names say. One that is damaged is named in the log; it is asked for anew
/// of other members.
///
/// # Errors
/// Where the directory cannot be made or read.
pub(super) fn read(dir: &Path) -> io::Result<Vec<Vec<u8>>> {
    fs::create_dir_all(dir)?;
    let mut documents = Vec::new();
    for StoredFile { path, .. } in files(dir)? {
        let length = fs::metadata(&path)?.len();
        let bytes = if length <= MAX_DOCUMENT_BYTES as u64 { fs::read(&path)? } else { Vec::new() };
        if path.file_name().is_some_and(|name| *name == *file_name(&hash(&bytes))) {
            documents.push(bytes);
        } else {
            tracing::warn!(path = %path.display(), "stored policy ignored, it is not what its name says");
        }
    }
    Ok(documents)
}

/// Writes one, and lets the oldest go.
///
/// # Errors
/// Where it cannot be written and synced.
pub(super) fn write(dir: &Path, bytes: &[u8]) -> io::Result<()> {
    let path = dir.join(file_name(&hash(bytes)));
    if fs::read(&path).is_ok_and(|known| known == bytes) {
        return Ok(());
    }
    let new_path = path.with_extension("new");
    let mut file = File::create(&new_path)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&new_path, &path)?;
    File::open(dir)?.sync_all()?;
    let files = files(dir)?;
    for old in files.iter().take(files.len().saturating_sub(MAX_FILES)) {
        let _ = fs::remove_file(&old.path);
    }
    Ok(())
}

fn file_name(hash: &DocumentHash) -> String {
    hash.iter().map(|byte| format!("{byte:02x}")).collect::<String>() + SUFFIX
}

/// The files that there are, the oldest first.
fn files(dir: &Path) -> io::Result<Vec<StoredFile>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir)?.take(MAX_ENTRIES) {
        let entry = entry?;
        if entry.file_name().to_string_lossy().ends_with(SUFFIX) {
            files.push(StoredFile { path: entry.path(), modified: entry.metadata()?.modified()? });
        }
    }
    files.sort_by_key(|file| file.modified);
    Ok(files)
}

#[cfg(test)]
mod tests;
