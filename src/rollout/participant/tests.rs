//! Tests which pauses a participant accepts.

use super::*;
use crate::consensus::LeaderTerm;

fn pause(attempt: u64, version: u64) -> Pause {
    Pause { term: LeaderTerm::default(), attempt, version }
}

/// Returns a participant that has accepted the staged version 2.
fn member() -> Participant {
    let mut member = Participant::new(RolloutSettings::default(), 1);
    member.decision.staged = Some(PolicyVersion { version: 2, ..PolicyVersion::default() });
    member.checked = Some(CheckResult { version: 2, error: None });
    member
}

/// Guards against a member that forgets which pause was the latest, and pauses again for a pause that its leader has
/// ended. Between the end of the first pause and a late copy of it, the member receives a pause for a version that is
/// not staged on this member yet.
#[test]
fn a_late_copy_of_a_pause_that_is_over_changes_nothing() {
    let mut member = member();
    member.receive(0.0, &Message::Pause(pause(1, 2)));
    assert_eq!(member.take_effects(), [Effect::Pause(pause(1, 2))]);
    member.receive(1.0, &Message::Resume(pause(1, 2)));
    assert_eq!(member.take_effects(), [Effect::Resume]);
    member.receive(2.0, &Message::Pause(pause(2, 3)));
    member.receive(3.0, &Message::Pause(pause(1, 2)));
    assert_eq!(member.take_effects(), [], "a copy of an ended pause is ignored");
    // The leader repeats the pause that arrived too early, and the member accepts it.
    member.decision.staged = Some(PolicyVersion { version: 3, ..PolicyVersion::default() });
    member.checked = Some(CheckResult { version: 3, error: None });
    member.receive(4.0, &Message::Pause(pause(2, 3)));
    assert_eq!(member.take_effects(), [Effect::Pause(pause(2, 3))]);
}
