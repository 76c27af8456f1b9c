//! Guards against changes of the wire format of rollout messages and policy decisions.

use super::message::{CheckResult, LeaseRequest, Message, Pause};
use super::{ChangeOutcome, PolicyDecision, PolicyVersion};
use crate::consensus::LeaderTerm;
use crate::wire_fixture::assert_bytes;

fn policy(version: u64) -> PolicyVersion {
    PolicyVersion { version, hash: [version as u8; 32] }
}

fn pause() -> Pause {
    let term: LeaderTerm = postcard::from_bytes(&[3, 2, 200, 1]).unwrap();
    Pause { term, attempt: 4, version: 9 }
}

#[test]
fn each_message_keeps_its_form() {
    let bare = LeaseRequest::default();
    let request = LeaseRequest {
        nonce: 300,
        epoch: 5,
        checked: Some(CheckResult { version: 9, error: Some("no".into()) }),
        paused: Some(pause()),
        wanted: Some(policy(10)),
    };
    for (name, message) in [
        ("rollout.lease_request", Message::LeaseRequest(request)),
        ("rollout.lease_request_bare", Message::LeaseRequest(bare)),
        ("rollout.lease_grant", Message::LeaseGrant { nonce: 300, duration_ms: 1900, epoch: 5 }),
        ("rollout.hold", Message::Pause(pause())),
        ("rollout.resume", Message::Resume(pause())),
        ("rollout.leave", Message::Leave { serves: true }),
        ("rollout.left", Message::Left),
    ] {
        assert_bytes(name, &message.encode());
        assert_eq!(Message::decode(&message.encode()), Some(message), "{name}");
    }
}

#[test]
fn a_decision_keeps_its_form() {
    let last = ChangeOutcome { version: 8, in_force: false, reason: "why".into() };
    let decision =
        PolicyDecision { policy: policy(7), staged: Some(policy(9)), highest: 9, last: Some(last) };
    assert_bytes("rollout.decision", &decision.encode());
    assert_eq!(PolicyDecision::decode(&decision.encode()), decision);
}
