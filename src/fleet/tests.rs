//! Tests of frames that are reordered or repeated.

use proptest::prelude::*;

use super::delivery::ReorderFilter;
use super::frame::{Body, Frame};
use crate::consensus::{Consensus, ConsensusConfig, Persisted, is_heartbeat};

/// Returns a heartbeat as a voter sends it.
fn heartbeat() -> Vec<u8> {
    let config = ConsensusConfig { voter_id: 1, voter_count: 3, generation: 1, nonce: 1 };
    let mut voter = Consensus::new(config, Some(Persisted::default()), 0.0).unwrap();
    voter.tick(50.0);
    let sent = voter.take_batch().unwrap().messages;
    sent.into_iter().map(|message| message.bytes).find(|bytes| is_heartbeat(bytes)).unwrap()
}

fn frame(number: u64, body: Body) -> Frame {
    Frame { from: 1, incarnation: 5, number, body }
}

/// Guards against leaders that are replaced needlessly because the network reorders heartbeats.
#[test]
fn heartbeats_are_accepted_once_in_any_order_and_other_frames_only_if_newer() {
    let (mut filter, body) = (ReorderFilter::default(), Body::Consensus(heartbeat()));
    let accepts_heartbeat = |filter: &mut ReorderFilter, number| filter.accept(&frame(number, body.clone()));
    assert!(
        accepts_heartbeat(&mut filter, 9)
            && accepts_heartbeat(&mut filter, 7)
            && accepts_heartbeat(&mut filter, 8)
    );
    assert!(
        !accepts_heartbeat(&mut filter, 8) && !accepts_heartbeat(&mut filter, 9),
        "each heartbeat only once"
    );
    let accepts_query =
        |filter: &mut ReorderFilter, number| filter.accept(&frame(number, Body::DecisionQuery(Vec::new())));
    assert!(accepts_query(&mut filter, 6), "each channel tracks its own newest number");
    assert!(!accepts_query(&mut filter, 5) && !accepts_query(&mut filter, 6));
    assert!(
        accepts_heartbeat(&mut filter, 500) && !accepts_heartbeat(&mut filter, 10),
        "numbers before the replay window are rejected"
    );
    let later = Frame { incarnation: 6, ..frame(1, body.clone()) };
    assert!(
        filter.accept(&later) && !accepts_heartbeat(&mut filter, 501),
        "frames of a later process are accepted, then none of the earlier one"
    );
}

proptest! {
    /// No heartbeat is accepted twice, whatever the order of arrival.
    #[test]
    fn no_heartbeat_is_accepted_twice(numbers in proptest::collection::vec(1u64..400, 0..200)) {
        let (mut filter, body) = (ReorderFilter::default(), Body::Consensus(heartbeat()));
        let mut accepted = std::collections::BTreeSet::new();
        for number in numbers {
            if filter.accept(&frame(number, body.clone())) {
                prop_assert!(accepted.insert(number));
            }
        }
    }
}
