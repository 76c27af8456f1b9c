//! Tests of `warm_state`.

use super::*;
use crate::routing::Router;
use crate::routing::Settings;
use proptest::prelude::*;

fn memory() -> WarmStateFile {
    let line = StoredEndpoint {
        name: "s-1".into(),
        address: "127.0.0.1:1".into(),
        kind: 0,
        zone: 0,
        cell: 0,
        size: 1.0,
        started_at_us: 5,
        is_draining: true,
    };
    let learned = Router::new(Settings::default(), 1).warm_state();
    WarmStateFile { pid: 7, left_at_ms: 1_000.0, names: vec!["a".into()], endpoints: vec![line], learned }
}

#[test]
fn only_whole_fresh_memory_of_the_process_replaced_is_believed() {
    let (memory, names) = (memory(), ["a".to_string()]);
    let bytes = memory.encode();
    assert_eq!(WarmStateFile::decode(&bytes, 7, &names, 1_500.0), Ok(memory));
    assert_eq!(WarmStateFile::decode(&bytes, 8, &names, 1_500.0), Err(WarmStateError::Other));
    assert_eq!(WarmStateFile::decode(&bytes, 7, &[], 1_500.0), Err(WarmStateError::Other));
    assert_eq!(WarmStateFile::decode(&bytes, 7, &names, 20_000.0), Err(WarmStateError::Stale(19_000)));
    assert_eq!(WarmStateFile::decode(&bytes, 7, &names, -9_000.0), Err(WarmStateError::Stale(-10_000)));
    for cut in 0..bytes.len() {
        assert!(WarmStateFile::decode(&bytes[..cut], 7, &names, 1_500.0).is_err(), "cut at {cut}");
    }
    let mut newer = bytes.clone();
    newer[8] = 2;
    assert_eq!(WarmStateFile::decode(&newer, 7, &names, 1_500.0), Err(WarmStateError::Version(2)));
    assert_eq!(WarmStateFile::decode(&[b'x'; 64], 7, &names, 1_500.0), Err(WarmStateError::Foreign));
}

proptest! {
    /// Whatever the bytes, one that was changed is never believed, and nothing panics.
    #[test]
    fn a_changed_byte_is_seen(at in 0usize..64, flip in 1u8..) {
        let mut bytes = memory().encode();
        let at = at % bytes.len();
        bytes[at] ^= flip;
        prop_assert!(WarmStateFile::decode(&bytes, 7, &["a".to_string()], 1_500.0).is_err());
    }
}
