//! Tests of `policy_store`.

use super::*;

/// A truncated or modified file is not accepted as a policy, and at most eight files are kept.
#[test]
fn the_store_keeps_eight_files_and_ignores_those_that_do_not_match_their_hash() {
    let dir = std::env::temp_dir().join(format!("micabeam-keep-{}", std::process::id()));
    assert!(read(&dir).unwrap().is_empty());
    for number in 0..12 {
        write(&dir, format!("version = {number}").as_bytes()).unwrap();
    }
    let kept = read(&dir).unwrap();
    assert_eq!(kept.len(), MAX_FILES);
    assert!(kept.contains(&b"version = 11".to_vec()));
    let path = dir.join(file_name(&hash(b"version = 11")));
    fs::write(&path, "version = 1").unwrap();
    assert!(!read(&dir).unwrap().contains(&b"version = 1".to_vec()), "a truncated policy is ignored");
    write(&dir, b"version = 11").unwrap();
    assert!(read(&dir).unwrap().contains(&b"version = 11".to_vec()), "the policy is written again");
    assert!(write(Path::new("/dev/full/none"), b"x").is_err());
    fs::remove_dir_all(&dir).unwrap();
}
