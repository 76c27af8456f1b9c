//! Tests of `warm_state`.

use super::*;
use crate::routing::Router;
use crate::routing::Settings;
use proptest::prelude::*;

fn warm_state_file() -> WarmStateFile {
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
fn only_an_intact_recent_file_of_the_replaced_process_is_accepted() {
    let (file, names) = (warm_state_file(), ["a".to_string()]);
    let bytes = file.encode();
    assert_eq!(WarmStateFile::decode(&bytes, 7, &names, 1_500.0), Ok(file));
    assert_eq!(
        WarmStateFile::decode(&bytes, 8, &names, 1_500.0),
        Err(WarmStateError::ProcessOrSettingsMismatch)
    );
    assert_eq!(
        WarmStateFile::decode(&bytes, 7, &[], 1_500.0),
        Err(WarmStateError::ProcessOrSettingsMismatch)
    );
    assert_eq!(WarmStateFile::decode(&bytes, 7, &names, 20_000.0), Err(WarmStateError::Stale(19_000)));
    assert_eq!(WarmStateFile::decode(&bytes, 7, &names, -9_000.0), Err(WarmStateError::Stale(-10_000)));
    for cut in 0..bytes.len() {
        assert!(WarmStateFile::decode(&bytes[..cut], 7, &names, 1_500.0).is_err(), "cut at {cut}");
    }
    let mut newer = bytes.clone();
    newer[8] = 2;
    assert_eq!(WarmStateFile::decode(&newer, 7, &names, 1_500.0), Err(WarmStateError::Version(2)));
    assert_eq!(WarmStateFile::decode(&[b'x'; 64], 7, &names, 1_500.0), Err(WarmStateError::UnknownFormat));
}

proptest! {
    /// Decoding rejects a file in which any byte has changed, and does not panic.
    #[test]
    fn a_changed_byte_is_detected(at in 0usize..64, flip in 1u8..) {
        let mut bytes = warm_state_file().encode();
        let at = at % bytes.len();
        bytes[at] ^= flip;
        prop_assert!(WarmStateFile::decode(&bytes, 7, &["a".to_string()], 1_500.0).is_err());
    }
}
