//! Tests of `vote_log`.

use super::*;
use std::time::Duration;

fn wait(told: &Channel<WriteResult>) -> bool {
    loop {
        match told.try_recv() {
            Ok(done) => return done == WriteResult::Done,
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
    assert!(read(&path, 1).unwrap_err().to_string().contains("not a vote file, or its header is corrupt"));
    let (full, told) = VoteLog::start(PathBuf::from("/dev/full")).unwrap();
    assert!(full.write(Write::Append(vec![1])));
    assert!(!wait(&told));
    let (nowhere, told) = VoteLog::start(dir.join("no/such/place")).unwrap();
    assert!(nowhere.write(Write::Replace(vec![1])));
    assert!(!wait(&told));
    fs::remove_dir_all(&dir).unwrap();
}
