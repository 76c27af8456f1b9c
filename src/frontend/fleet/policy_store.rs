//! On-disk store of policies. Each policy is a file named by its hash, written as a whole and synced before
//! anything depends on it.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use crate::fleet::{DocumentHash, MAX_DOCUMENT_BYTES, hash};

/// Maximum number of files: as many as there are documents in memory. The oldest files are deleted.
const MAX_FILES: usize = 8;
/// Maximum number of directory entries that are examined, since the directory may hold unrelated files.
const MAX_ENTRIES: usize = 1024;
/// File name extension of stored policies.
const SUFFIX: &str = ".policy";

/// A stored policy that has not been read.
struct StoredFile {
    path: PathBuf,
    modified: SystemTime,
}

/// Reads all stored policies whose content matches the hash in their file name. A file that does not match is
/// logged and skipped; the policy is then requested from other members.
///
/// # Errors
/// If the directory cannot be created or read.
pub(super) fn read(dir: &Path) -> io::Result<Vec<Vec<u8>>> {
    fs::create_dir_all(dir)?;
    let mut documents = Vec::new();
    for StoredFile { path, .. } in stored_files(dir)? {
        let length = fs::metadata(&path)?.len();
        let bytes = if length <= MAX_DOCUMENT_BYTES as u64 { fs::read(&path)? } else { Vec::new() };
        if path.file_name().is_some_and(|name| *name == *file_name(&hash(&bytes))) {
            documents.push(bytes);
        } else {
            tracing::warn!(path = %path.display(), "ignored a stored policy that is too large or does not match the hash in its file name");
        }
    }
    Ok(documents)
}

/// Stores a policy and deletes the oldest files above the maximum.
///
/// # Errors
/// If the policy cannot be written and synced.
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
    let files = stored_files(dir)?;
    for old in files.iter().take(files.len().saturating_sub(MAX_FILES)) {
        let _ = fs::remove_file(&old.path);
    }
    Ok(())
}

fn file_name(hash: &DocumentHash) -> String {
    hash.iter().map(|byte| format!("{byte:02x}")).collect::<String>() + SUFFIX
}

/// Returns the stored files, the oldest first.
fn stored_files(dir: &Path) -> io::Result<Vec<StoredFile>> {
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
