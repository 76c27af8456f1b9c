//! Tests of `callback_forwarding`.

use super::*;
use proptest::prelude::*;

fn callback(from: u64) -> PendingCallback {
    PendingCallback { from, body: vec![from as u8], asked: Vec::new() }
}

#[test]
fn a_call_waits_for_the_link_and_is_acknowledged_by_its_owner_alone() {
    let mut forwarder = CallbackForwarder::new(1);
    assert_eq!(forwarder.forward(callback(7)), Some(ForwardingAction::Unknown(7)), "nobody is beside");
    assert_eq!(forwarder.on_peer_seen(2), Some(ForwardingAction::Open(2)));
    assert!(!forwarder.is_settled());
    assert_eq!(forwarder.forward(callback(8)), None, "the link is not up");
    assert_eq!(
        forwarder.on_link_reached(2, 1),
        [ForwardingAction::Open(2)],
        "it reached this process itself"
    );
    assert_eq!(forwarder.on_link_reached(2, 2), [ForwardingAction::Forward(2, vec![8], vec![1])]);
    assert!(forwarder.is_settled());
    assert_eq!(forwarder.on_response(2, PeerResponse::Taken), Some(ForwardingAction::Taken(8)));
    assert_eq!(forwarder.forward(callback(9)), Some(ForwardingAction::Forward(2, vec![9], vec![1])));
    assert_eq!(
        forwarder.on_response(2, PeerResponse::Unknown),
        Some(ForwardingAction::Unknown(9)),
        "nobody else to ask"
    );
}

#[test]
fn a_call_goes_on_over_a_third_process_and_never_in_a_circle() {
    let mut forwarder = CallbackForwarder::new(2);
    forwarder.on_peer_seen(1);
    forwarder.on_peer_seen(3);
    assert_eq!(forwarder.on_peer_seen(4), None, "two at most");
    forwarder.on_link_reached(1, 1);
    forwarder.on_link_reached(3, 3);
    let from_three = PendingCallback { asked: vec![3], ..callback(5) };
    assert_eq!(forwarder.forward(from_three), Some(ForwardingAction::Forward(1, vec![5], vec![3, 2])));
    assert_eq!(
        forwarder.on_response(1, PeerResponse::Unknown),
        Some(ForwardingAction::Unknown(5)),
        "three was asked before"
    );
}

#[test]
fn the_dead_know_nothing_and_the_silent_are_not_waited_for() {
    let mut forwarder = CallbackForwarder::new(1);
    forwarder.on_peer_seen(2);
    forwarder.forward(callback(1));
    assert_eq!(forwarder.on_link_lost(2, true), [ForwardingAction::Repeat(1)]);
    assert_eq!(
        forwarder.forward(callback(2)),
        Some(ForwardingAction::Open(2)),
        "it lives, and may own the job"
    );
    forwarder.on_link_reached(2, 2);
    assert_eq!(forwarder.on_peer_silent(2), [ForwardingAction::Repeat(2)], "it is frozen");
    assert_eq!(
        forwarder.forward(callback(4)),
        Some(ForwardingAction::Forward(2, vec![4], vec![1])),
        "it has thawed"
    );
    assert_eq!(
        forwarder.on_response(2, PeerResponse::Taken),
        None,
        "its word on the call that was not waited for"
    );
    assert_eq!(forwarder.on_response(2, PeerResponse::Taken), Some(ForwardingAction::Taken(4)));
    assert_eq!(forwarder.on_link_lost(2, false), []);
    assert_eq!(forwarder.forward(callback(3)), Some(ForwardingAction::Unknown(3)));
}

proptest! {
    /// Every call is answered exactly once, whatever comes, once all others have gone.
    #[test]
    fn every_call_is_answered_once(script in proptest::collection::vec((0u8..8, 2u32..5), 0..120)) {
        let mut forwarder = CallbackForwarder::new(1);
        let (mut sent, mut answered) = (0u64, Vec::new());
        let mut done = |steps: Vec<ForwardingAction>| for step in steps {
            if let ForwardingAction::Taken(from) | ForwardingAction::Unknown(from) | ForwardingAction::Repeat(from) = step {
                answered.push(from);
            }
        };
        for (what, pid) in script {
            match what {
                0 => done(forwarder.on_peer_seen(pid).into_iter().collect()),
                1 => done(forwarder.on_link_reached(pid, pid)),
                2 => done(forwarder.on_link_reached(pid, 1)),
                3 => done(forwarder.on_link_lost(pid, pid % 2 == 0)),
                4 => done(forwarder.on_peer_silent(pid)),
                5 => done(forwarder.on_response(pid, if pid % 2 == 0 { PeerResponse::Taken } else { PeerResponse::Unknown }).into_iter().collect()),
                _ => {
                    sent += 1;
                    done(forwarder.forward(callback(sent)).into_iter().collect());
                }
            }
        }
        for pid in 2..5 {
            done(forwarder.on_link_lost(pid, false));
        }
        answered.sort_unstable();
        prop_assert_eq!(answered, (1..=sent).collect::<Vec<_>>());
    }
}
