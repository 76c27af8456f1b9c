//! Tests of `list_handover`: a written line parses to the same value, and other texts are rejected.

use proptest::prelude::*;

use super::*;

proptest! {
    #[test]
    fn a_written_line_parses_to_the_same_value(pid: u32, usable_ms: u64, is_watched: bool, cut in 0..40_usize) {
        let handover = ListHandover { pid, usable_ms, is_watched };
        let text = handover.to_string();
        prop_assert_eq!(ListHandover::parse(&text), Some(handover));
        prop_assert_eq!(ListHandover::parse(&text[..text.len() - 1 - cut % text.len()]), None);
    }
}

#[test]
fn other_texts_are_rejected() {
    for text in ["", "\n", "micabeam-list 2 pid=1 usable_ms=1 watched=yes\n", "micabeam-list 1 pid=1\n"] {
        assert_eq!(ListHandover::parse(text), None, "{text}");
    }
    assert_eq!(ListHandover::parse("micabeam-list 1 pid=1 usable_ms=-1 watched=yes\n"), None);
    assert_eq!(ListHandover::parse("micabeam-list 1 pid=1 usable_ms=1 watched=yes more\n"), None);
}
