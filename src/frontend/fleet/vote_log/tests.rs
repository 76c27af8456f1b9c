//! Tests of `vote_log`.

use super::*;
use std::time::Duration;

fn wait_for_result(results: &Channel<WriteResult>) -> bool {
    loop {
        match results.try_recv() {
            Ok(done) => return done == WriteResult::Done,
            Err(mpsc::TryRecvError::Empty) => thread::sleep(Duration::from_millis(1)),
            Err(mpsc::TryRecvError::Disconnected) => return false,
        }
    }
}

/// A full disk or an unwritable path is reported as a failed write, and causes nothing else to fail.
#[test]
fn each_write_reports_success_or_failure() {
    let dir = std::env::temp_dir().join(format!("micabeam-disk-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let path = dir.join("state");
    let (vote_log, results) = VoteLog::start(path.clone()).unwrap();
    assert!(vote_log.write(Write::Replace(vote_file::encode_header(1))));
    assert!(wait_for_result(&results));
    assert!(vote_log.write(Write::Append(vote_file::encode_frame(&[]))));
    assert!(wait_for_result(&results));
    assert!(read(&path, 1).unwrap().is_some());
    assert!(read(&path, 2).unwrap().is_none(), "an earlier generation's file is ignored");
    fs::write(&path, "something else, and long").unwrap();
    assert!(read(&path, 1).unwrap_err().to_string().contains("not a vote file, or its header is corrupt"));
    let (vote_log_on_full_disk, results) = VoteLog::start(PathBuf::from("/dev/full")).unwrap();
    assert!(vote_log_on_full_disk.write(Write::Append(vec![1])));
    assert!(!wait_for_result(&results));
    let (vote_log_without_directory, results) = VoteLog::start(dir.join("no/such/place")).unwrap();
    assert!(vote_log_without_directory.write(Write::Replace(vec![1])));
    assert!(!wait_for_result(&results));
    fs::remove_dir_all(&dir).unwrap();
}
