//! Frames that overtake one another or come twice.

use proptest::prelude::*;

use super::delivery::ReorderFilter;
use super::frame::{Body, Frame};
use crate::consensus::{Consensus, ConsensusConfig, Persisted, is_heartbeat};

/// A heartbeat as a voter sends it.
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

/// Guards against leaders that are replaced for nothing where the network reorders.
#[test]
fn heartbeats_are_taken_once_in_any_order_and_others_only_forward() {
    let (mut newest, body) = (ReorderFilter::default(), Body::Consensus(heartbeat()));
    let takes = |newest: &mut ReorderFilter, number| newest.accept(&frame(number, body.clone()));
    assert!(takes(&mut newest, 9) && takes(&mut newest, 7) && takes(&mut newest, 8));
    assert!(!takes(&mut newest, 8) && !takes(&mut newest, 9), "each once");
    let ask =
        |newest: &mut ReorderFilter, number| newest.accept(&frame(number, Body::DecisionQuery(Vec::new())));
    assert!(ask(&mut newest, 6), "another kind is numbered for itself");
    assert!(!ask(&mut newest, 5) && !ask(&mut newest, 6));
    assert!(takes(&mut newest, 500) && !takes(&mut newest, 10), "too old to tell");
    let later = Frame { incarnation: 6, ..frame(1, body.clone()) };
    assert!(
        newest.accept(&later) && !takes(&mut newest, 501),
        "a later process, and then not the earlier one"
    );
}

proptest! {
    /// Whatever the order, no heartbeat is taken twice.
    #[test]
    fn no_heartbeat_is_taken_twice(numbers in proptest::collection::vec(1u64..400, 0..200)) {
        let (mut newest, body) = (ReorderFilter::default(), Body::Consensus(heartbeat()));
        let mut taken = std::collections::BTreeSet::new();
        for number in numbers {
            if newest.accept(&frame(number, body.clone())) {
                prop_assert!(taken.insert(number));
            }
        }
    }
}
