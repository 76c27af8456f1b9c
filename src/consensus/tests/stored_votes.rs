//! Guards against a vote file that grows without bound, and against files that are misread.

use proptest::prelude::*;

use super::SimulatedNetwork;
use crate::consensus::vote_file::{self, FileError, REWRITE_FILE_BYTES};

#[test]
fn a_long_vote_file_is_replaced_by_a_compacted_one() {
    let mut net = SimulatedNetwork::new(3, 11);
    net.run(4000);
    assert!(net.epoch() > 200);
    let most = net.disks.values().map(Vec::len).max().unwrap();
    assert!(most < REWRITE_FILE_BYTES + 8192, "{most} bytes");
    let voter = net.replicas.keys().copied().next().unwrap();
    let content = vote_file::read(&net.disks[&voter], 1).unwrap();
    assert_eq!(content.valid_bytes, net.disks[&voter].len());
    assert!(content.persisted.unwrap().log_length() > 200);
}

#[test]
fn a_file_of_another_generation_version_or_format_is_rejected() {
    let mut net = SimulatedNetwork::new(3, 12);
    net.run(60);
    let good = net.disks[&1].clone();
    assert_eq!(vote_file::read(&good, 2), Err(FileError::Generation(1)));
    assert_eq!(vote_file::read(b"what is this? a text", 1), Err(FileError::NotVoteFile));
    let mut newer = good.clone();
    newer[8] = 9;
    let sum = crc32c::crc32c(&newer[..14]).to_le_bytes();
    newer[14..18].copy_from_slice(&sum);
    assert_eq!(vote_file::read(&newer, 1), Err(FileError::Version(9)));
    assert_eq!(vote_file::read(&vec![0; vote_file::MAX_FILE_BYTES + 1], 1), Err(FileError::TooLong));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// A file truncated at any byte is read up to its last complete frame. With one bit flipped it is
    /// rejected, or loses only its last batch.
    #[test]
    fn an_incomplete_last_frame_is_ignored_and_a_corrupt_middle_rejected(seed in 0u64..8, at in 0.0..1.0f64, bit in 0u32..8) {
        let mut net = SimulatedNetwork::new(3, seed);
        net.run(60);
        let good = net.disks[&1].clone();
        let at = (at * good.len() as f64) as usize;
        let length = vote_file::read(&good[..at], 1).unwrap().valid_bytes;
        prop_assert!(length <= at);
        let mut zeros = good[..length.max(18)].to_vec();
        zeros.extend([0; 40]);
        prop_assert_eq!(vote_file::read(&zeros, 1).map(|read| read.valid_bytes), Ok(length.max(18)));
        let mut damaged = good.clone();
        damaged[at] ^= 1 << bit;
        if let Ok(content) = vote_file::read(&damaged, 1) {
            let before = vote_file::read(&good[..good.len() - 1], 1).unwrap().valid_bytes;
            prop_assert_eq!(content.valid_bytes, before, "only the last batch may count as incomplete");
        }
    }
}
