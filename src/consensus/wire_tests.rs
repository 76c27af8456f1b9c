//! Guards the encoding of messages between voters and of vote files.

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message as PaxosMessage;
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use omnipaxos::storage::Snapshot as _;

use super::heartbeat::LeaderBallot;
use super::message::Message;
use super::storage::Snapshot;
use super::vote_file::{self, encode_frame, encode_header};
use super::{Change, Consensus, ConsensusConfig, Persisted, Proposal, Write};
use crate::wire_fixture::assert_bytes;

/// A vote file of a voter in a fleet of three, written by an earlier version of the program.
const STORED: &[u8] = include_bytes!("../../tests/fixtures/fleet/votes-0");

fn assert_message_bytes(name: &str, message: &Message) {
    let bytes = postcard::to_stdvec(message).unwrap();
    assert_bytes(name, &bytes);
    let decoded: Message = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(postcard::to_stdvec(&decoded).unwrap(), bytes, "{name}");
}

fn ballot() -> Ballot {
    Ballot { config_id: 1, n: 300, priority: 0, pid: 2 }
}

fn proposal(topic: u8) -> Proposal {
    Proposal { topic, based_on_epoch: 300, body: vec![1, 2, 3] }
}

#[test]
fn each_message_of_a_voter_keeps_its_encoding() {
    let state = vote_file::read(STORED, 1).unwrap().persisted.unwrap();
    assert_message_bytes("consensus.ask", &Message::StateRequest { nonce: 300 });
    assert_message_bytes("consensus.told", &Message::StateReply { nonce: 300, state: Box::new(state) });
    let ballot = LeaderBallot::from(ballot());
    assert_message_bytes("consensus.followed_request", &Message::FollowedRequest { ballot });
    assert_message_bytes("consensus.followed_reply", &Message::FollowedReply { ballot, ago_ms: 1500 });
    let config = ConsensusConfig { voter_id: 1, voter_count: 3, generation: 1, nonce: 1 };
    let mut voter = Consensus::new(config, Some(Persisted::default()), 0.0).unwrap();
    voter.tick(50.0);
    let sent = voter.take_batch().unwrap().messages;
    let sent = &sent.first().expect("a heartbeat").bytes;
    let Message::Paxos(mut heartbeat) = Message::decode(sent).unwrap() else { panic!("{sent:?}") };
    assert_eq!(&Message::Paxos(heartbeat.clone()).encode(), sent);
    // Wire round numbers start at a random offset that each process draws. The bytes are compared as those of the
    // first round with an offset of 0.
    let PaxosMessage::BLE(content) = &mut *heartbeat else { panic!("{heartbeat:?}") };
    let HeartbeatMsg::Request(request) = &mut content.msg else { panic!("{content:?}") };
    request.round = 1;
    assert_message_bytes("consensus.heartbeat", &Message::Paxos(heartbeat));
}

#[test]
fn each_change_in_a_vote_file_keeps_its_encoding() {
    for (name, change) in [
        ("consensus.whole", Change::ReplaceAll(Box::default())),
        ("consensus.prefix", Change::Entries { from_index: 300, entries: vec![proposal(1), proposal(2)] }),
        ("consensus.promise", Change::Promise(ballot())),
        ("consensus.accepted", Change::AcceptedBallot(ballot())),
        ("consensus.decided", Change::DecidedEntries(300)),
        ("consensus.trim", Change::Trim(299)),
        ("consensus.folded", Change::Snapshot(Some(Snapshot::create(&[proposal(1)])))),
        ("consensus.folded_none", Change::Snapshot(None)),
    ] {
        assert_bytes(name, &encode_frame(&[change]));
    }
    assert_bytes("consensus.head", &encode_header(7));
}

/// An earlier version's vote file is read to its end, and a voter that starts from it knows the decisions.
#[test]
fn a_vote_file_of_an_earlier_version_is_read_and_used() {
    let content = vote_file::read(STORED, 1).unwrap();
    assert_eq!(content.valid_bytes, STORED.len());
    let config = ConsensusConfig { voter_id: 1, voter_count: 3, generation: 1, nonce: 1 };
    let mut voter = Consensus::new(config, content.persisted, 0.0).unwrap();
    assert!(voter.is_voting(), "a voter with a vote file votes at once");
    assert_eq!(
        voter.decided().newest(crate::rollout::TOPIC).epoch,
        4,
        "two policy versions, each staged and then in force"
    );
    let Some(Write::Replace(bytes)) = voter.take_batch().map(|batch| batch.write) else {
        panic!("the first write replaces the file")
    };
    assert_bytes("consensus.rewritten", &bytes);
}
