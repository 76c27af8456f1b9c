//! Tests for `handover`.

use super::*;

/// A truncated, stale or foreign note must not be taken for one of a successor.
#[test]
fn only_a_complete_note_of_another_live_process_names_a_successor() {
    let note = HandoverNote { pid: 42, listening_since_ms: 1000 };
    assert_eq!(HandoverNote::parse(&note.text()), Some(note));
    for invalid in [
        "",
        "micabeam-handover 1 pid=42 at=1000",
        "micabeam-handover 1 pid=42",
        "x pid=1 at=2\n",
        "micabeam-handover 1 pid=42 at=1000 more=1\n",
        "micabeam-handover 1 pid=-4 at=1000\n",
        "micabeam-handover 1 pid=42 at=1000\nmicabeam-handover 1 pid=42 at=1000\n",
    ] {
        assert_eq!(HandoverNote::parse(invalid), None, "{invalid:?}");
    }
    let dir = std::env::temp_dir().join(format!("micabeam-handover-test-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let at = note_path(&dir, "127.0.0.1:8081".parse().unwrap());
    let own = std::process::id();
    assert!(!has_successor(&at, own, 0), "no note");
    // This process is alive, so its note counts as a successor's for any other process ID.
    write_note(&at, HandoverNote { pid: own, listening_since_ms: 5000 }).unwrap();
    assert!(has_successor(&at, own + 1, 4000));
    assert!(!has_successor(&at, own, 4000), "its own note");
    assert!(!has_successor(&at, own + 1, 6000), "older than the process that checks");
    std::fs::write(&at, "micabeam-handover 1 pid=").unwrap();
    assert!(!has_successor(&at, own + 1, 0), "torn");
    std::fs::write(&at, format!("{MAGIC} pid={} at=5000\n", u32::MAX)).unwrap();
    assert!(!has_successor(&at, own + 1, 0), "of a process that has exited");
    std::fs::remove_dir_all(&dir).unwrap();
}
