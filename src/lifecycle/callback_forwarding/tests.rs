//! Tests of `callback_forwarding`.

use super::*;
use proptest::prelude::*;

fn callback(from: u64) -> PendingCallback {
    PendingCallback { from, body: vec![from as u8], asked: Vec::new() }
}

#[test]
fn a_callback_waits_for_the_link_and_is_acknowledged_only_by_the_job_owner() {
    let mut forwarder = CallbackForwarder::new(1);
    assert_eq!(
        forwarder.forward(callback(7)),
        Some(ForwardingAction::ReplyUnknown(7)),
        "there is no other process"
    );
    assert_eq!(forwarder.on_peer_seen(2), Some(ForwardingAction::OpenLink(2)));
    assert!(!forwarder.is_settled());
    assert_eq!(forwarder.forward(callback(8)), None, "the link is not up yet");
    assert_eq!(
        forwarder.on_link_reached(2, 1),
        [ForwardingAction::OpenLink(2)],
        "the link reached this process itself"
    );
    assert_eq!(forwarder.on_link_reached(2, 2), [ForwardingAction::Forward(2, vec![8], vec![1])]);
    assert!(forwarder.is_settled());
    assert_eq!(forwarder.on_response(2, PeerResponse::Accepted), Some(ForwardingAction::ReplyAccepted(8)));
    assert_eq!(forwarder.forward(callback(9)), Some(ForwardingAction::Forward(2, vec![9], vec![1])));
    assert_eq!(
        forwarder.on_response(2, PeerResponse::Unknown),
        Some(ForwardingAction::ReplyUnknown(9)),
        "no other process to ask"
    );
}

#[test]
fn a_callback_is_forwarded_to_a_third_process_and_never_loops() {
    let mut forwarder = CallbackForwarder::new(2);
    forwarder.on_peer_seen(1);
    forwarder.on_peer_seen(3);
    assert_eq!(forwarder.on_peer_seen(4), None, "at most two processes are tracked");
    forwarder.on_link_reached(1, 1);
    forwarder.on_link_reached(3, 3);
    let asked_by_third = PendingCallback { asked: vec![3], ..callback(5) };
    assert_eq!(forwarder.forward(asked_by_third), Some(ForwardingAction::Forward(1, vec![5], vec![3, 2])));
    assert_eq!(
        forwarder.on_response(1, PeerResponse::Unknown),
        Some(ForwardingAction::ReplyUnknown(5)),
        "process 3 was already asked"
    );
}

#[test]
fn callbacks_skip_ended_processes_and_are_retried_for_silent_ones() {
    let mut forwarder = CallbackForwarder::new(1);
    forwarder.on_peer_seen(2);
    forwarder.forward(callback(1));
    assert_eq!(forwarder.on_link_lost(2, true), [ForwardingAction::ReplyRetry(1)]);
    assert_eq!(
        forwarder.forward(callback(2)),
        Some(ForwardingAction::OpenLink(2)),
        "the process still runs and may own the job"
    );
    forwarder.on_link_reached(2, 2);
    assert_eq!(forwarder.on_peer_silent(2), [ForwardingAction::ReplyRetry(2)], "the process is suspended");
    assert_eq!(
        forwarder.forward(callback(4)),
        Some(ForwardingAction::Forward(2, vec![4], vec![1])),
        "the process has resumed"
    );
    assert_eq!(
        forwarder.on_response(2, PeerResponse::Accepted),
        None,
        "late response to a callback that no longer waits"
    );
    assert_eq!(forwarder.on_response(2, PeerResponse::Accepted), Some(ForwardingAction::ReplyAccepted(4)));
    assert_eq!(forwarder.on_link_lost(2, false), []);
    assert_eq!(forwarder.forward(callback(3)), Some(ForwardingAction::ReplyUnknown(3)));
}

proptest! {
    /// Every callback is answered exactly once, whatever events occur, after all other processes have ended.
    #[test]
    fn every_callback_is_answered_once(script in proptest::collection::vec((0u8..8, 2u32..5), 0..120)) {
        let mut forwarder = CallbackForwarder::new(1);
        let (mut sent, mut answered) = (0u64, Vec::new());
        let mut record_replies = |actions: Vec<ForwardingAction>| for action in actions {
            if let ForwardingAction::ReplyAccepted(from) | ForwardingAction::ReplyUnknown(from) | ForwardingAction::ReplyRetry(from) = action {
                answered.push(from);
            }
        };
        for (operation, pid) in script {
            match operation {
                0 => record_replies(forwarder.on_peer_seen(pid).into_iter().collect()),
                1 => record_replies(forwarder.on_link_reached(pid, pid)),
                2 => record_replies(forwarder.on_link_reached(pid, 1)),
                3 => record_replies(forwarder.on_link_lost(pid, pid % 2 == 0)),
                4 => record_replies(forwarder.on_peer_silent(pid)),
                5 => record_replies(forwarder.on_response(pid, if pid % 2 == 0 { PeerResponse::Accepted } else { PeerResponse::Unknown }).into_iter().collect()),
                _ => {
                    sent += 1;
                    record_replies(forwarder.forward(callback(sent)).into_iter().collect());
                }
            }
        }
        for pid in 2..5 {
            record_replies(forwarder.on_link_lost(pid, false));
        }
        answered.sort_unstable();
        prop_assert_eq!(answered, (1..=sent).collect::<Vec<_>>());
    }
}
