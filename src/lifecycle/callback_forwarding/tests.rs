//! Tests of `callback_forwarding`.

use super::*;
use proptest::prelude::*;

fn call(from: u64) -> PendingCallback {
    PendingCallback { from, body: vec![from as u8], asked: Vec::new() }
}

#[test]
fn a_call_waits_for_the_link_and_is_acknowledged_by_its_owner_alone() {
    let mut seam = CallbackForwarder::new(1);
    assert_eq!(seam.pass(call(7)), Some(ForwardingAction::Unknown(7)), "nobody is beside");
    assert_eq!(seam.meet(2), Some(ForwardingAction::Open(2)));
    assert!(!seam.settled());
    assert_eq!(seam.pass(call(8)), None, "the link is not up");
    assert_eq!(seam.reached(2, 1), [ForwardingAction::Open(2)], "it reached this process itself");
    assert_eq!(seam.reached(2, 2), [ForwardingAction::Pass(2, vec![8], vec![1])]);
    assert!(seam.settled());
    assert_eq!(seam.word(2, Some(true)), Some(ForwardingAction::Taken(8)));
    assert_eq!(seam.pass(call(9)), Some(ForwardingAction::Pass(2, vec![9], vec![1])));
    assert_eq!(seam.word(2, Some(false)), Some(ForwardingAction::Unknown(9)), "nobody else to ask");
}

#[test]
fn a_call_goes_on_over_a_third_process_and_never_in_a_circle() {
    let mut seam = CallbackForwarder::new(2);
    seam.meet(1);
    seam.meet(3);
    assert_eq!(seam.meet(4), None, "two at most");
    seam.reached(1, 1);
    seam.reached(3, 3);
    let from_three = PendingCallback { asked: vec![3], ..call(5) };
    assert_eq!(seam.pass(from_three), Some(ForwardingAction::Pass(1, vec![5], vec![3, 2])));
    assert_eq!(seam.word(1, Some(false)), Some(ForwardingAction::Unknown(5)), "three was asked before");
}

#[test]
fn the_dead_know_nothing_and_the_silent_are_not_waited_for() {
    let mut seam = CallbackForwarder::new(1);
    seam.meet(2);
    seam.pass(call(1));
    assert_eq!(seam.lost(2, true), [ForwardingAction::Later(1)]);
    assert_eq!(seam.pass(call(2)), Some(ForwardingAction::Open(2)), "it lives, and may own the job");
    seam.reached(2, 2);
    assert_eq!(seam.silent(2), [ForwardingAction::Later(2)], "it is frozen");
    assert_eq!(seam.pass(call(4)), Some(ForwardingAction::Pass(2, vec![4], vec![1])), "it has thawed");
    assert_eq!(seam.word(2, Some(true)), None, "its word on the call that was not waited for");
    assert_eq!(seam.word(2, Some(true)), Some(ForwardingAction::Taken(4)));
    assert_eq!(seam.lost(2, false), []);
    assert_eq!(seam.pass(call(3)), Some(ForwardingAction::Unknown(3)));
}

proptest! {
    /// Every call is answered exactly once, whatever comes, once all others have gone.
    #[test]
    fn every_call_is_answered_once(script in proptest::collection::vec((0u8..8, 2u32..5), 0..120)) {
        let mut seam = CallbackForwarder::new(1);
        let (mut sent, mut answered) = (0u64, Vec::new());
        let mut done = |steps: Vec<ForwardingAction>| for step in steps {
            if let ForwardingAction::Taken(from) | ForwardingAction::Unknown(from) | ForwardingAction::Later(from) = step {
                answered.push(from);
            }
        };
        for (what, pid) in script {
            match what {
                0 => done(seam.meet(pid).into_iter().collect()),
                1 => done(seam.reached(pid, pid)),
                2 => done(seam.reached(pid, 1)),
                3 => done(seam.lost(pid, pid % 2 == 0)),
                4 => done(seam.silent(pid)),
                5 => done(seam.word(pid, Some(pid % 2 == 0)).into_iter().collect()),
                _ => {
                    sent += 1;
                    done(seam.pass(call(sent)).into_iter().collect());
                }
            }
        }
        for pid in 2..5 {
            done(seam.lost(pid, false));
        }
        answered.sort_unstable();
        prop_assert_eq!(answered, (1..=sent).collect::<Vec<_>>());
    }
}
