//! Guards the form of what voters send one another and of what they have on disk.

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::Snapshot as _;

use super::file::{self, frame, head};
use super::rounds::LeaderBallot;
use super::store::Snapshot;
use super::{Change, Consensus, ConsensusConfig, Message, Persisted, Proposal, Write};
use crate::wire_fixture::assert_bytes;

/// What a voter of the landed program has stored in a fleet of three.
const STORED: &[u8] = include_bytes!("../../tests/fixtures/fleet/votes-0");

fn note(name: &str, note: &Message) {
    let bytes = postcard::to_stdvec(note).unwrap();
    assert_bytes(name, &bytes);
    let again: Message = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(postcard::to_stdvec(&again).unwrap(), bytes, "{name}");
}

fn ballot() -> Ballot {
    Ballot { config_id: 1, n: 300, priority: 0, pid: 2 }
}

fn proposal(topic: u8) -> Proposal {
    Proposal { topic, based: 300, body: vec![1, 2, 3] }
}

#[test]
fn each_message_of_a_voter_keeps_its_form() {
    let kept = file::read(STORED, 1).unwrap().0.unwrap();
    note("consensus.ask", &Message::Ask { nonce: 300 });
    note("consensus.told", &Message::Told { nonce: 300, kept: Box::new(kept) });
    let ballot = LeaderBallot::from(ballot());
    note("consensus.followed_request", &Message::FollowedRequest { ballot });
    note("consensus.followed_reply", &Message::FollowedReply { ballot, ago: 1500 });
    let setup = ConsensusConfig { own: 1, voters: 3, generation: 1, nonce: 1 };
    let mut voter = Consensus::new(setup, Some(Persisted::default()), 0.0).unwrap();
    voter.tick(50.0);
    let sent = voter.take_batch().unwrap().send;
    assert_bytes("consensus.heartbeat", &sent.first().expect("a heartbeat").1);
}

#[test]
fn each_change_in_a_voters_file_keeps_its_form() {
    for (name, change) in [
        ("consensus.whole", Change::Whole(Box::default())),
        ("consensus.prefix", Change::Prefix(300, vec![proposal(1), proposal(2)])),
        ("consensus.promise", Change::Promise(ballot())),
        ("consensus.accepted", Change::Accepted(ballot())),
        ("consensus.decided", Change::Decided(300)),
        ("consensus.trim", Change::Trim(299)),
        ("consensus.folded", Change::Folded(Some(Snapshot::create(&[proposal(1)])))),
        ("consensus.folded_none", Change::Folded(None)),
    ] {
        assert_bytes(name, &frame(&[change]));
    }
    assert_bytes("consensus.head", &head(7));
}

/// A file of the landed program reads to its end, and a voter that starts with it knows what was decided.
#[test]
fn a_stored_voters_file_is_read_and_used() {
    let (kept, whole) = file::read(STORED, 1).unwrap();
    assert_eq!(whole, STORED.len());
    let setup = ConsensusConfig { own: 1, voters: 3, generation: 1, nonce: 1 };
    let mut voter = Consensus::new(setup, kept, 0.0).unwrap();
    assert!(voter.is_voting(), "it remembers, and need not ask the others");
    assert_eq!(voter.decided().newest(crate::rollout::TOPIC).0, 4, "two versions, staged and in force");
    let Some(Write::Replace(bytes)) = voter.take_batch().map(|batch| batch.write) else {
        panic!("written whole")
    };
    assert_bytes("consensus.rewritten", &bytes);
}
