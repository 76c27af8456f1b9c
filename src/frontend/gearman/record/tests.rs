//! Tests for `record`.

use super::*;

fn key(name: &str) -> Key {
    (0, name.as_bytes().to_vec())
}

#[test]
fn entries_that_must_be_kept_are_not_evicted() {
    let mut record = Record::new(2, 1000);
    record.start(key("a"), JobId(1));
    record.finish(&key("a"), "H:1".into(), Answer::Failed, 100.0);
    record.start(key("b"), JobId(2));
    assert!(!record.make_room(50.0), "one job runs and the other entry must be kept");
    assert!(record.make_room(100.0), "the entry of the failed job may be evicted now");
    assert_eq!(record.get(&key("a")), None);
    assert_eq!(record.get(&key("b")), Some(&Entry::Running(JobId(2))));
}

#[test]
fn results_count_towards_the_byte_bound() {
    let mut record = Record::new(10, 100);
    record.start(key("a"), JobId(1));
    record.finish(&key("a"), "H:1".into(), Answer::Complete(vec![0; 200]), 100.0);
    assert!(!record.make_room(50.0));
    assert!(record.make_room(100.0));
    record.start(key("b"), JobId(2));
    assert!(record.make_room(100.0));
}
