//! Guards the encoding of each kind of frame between dispatchers.

use super::documents::Chunk;
use super::frame::{Body, Decision, Frame, KnownEpoch};
use super::swim::{Swim, SwimPacket};
use crate::consensus::LeaderTerm;
use crate::wire_fixture::assert_bytes;

#[test]
fn each_kind_of_frame_keeps_its_encoding() {
    let term: LeaderTerm = postcard::from_bytes(&[3, 2, 200, 1]).unwrap();
    let decisions = vec![Decision { topic: 2, epoch: 300, body: vec![1, 2] }];
    for (name, body) in [
        ("fleet.swim", Body::Swim(vec![1, 2, 3])),
        ("fleet.consensus", Body::Consensus(vec![4, 5])),
        (
            "fleet.ask",
            Body::DecisionQuery(vec![KnownEpoch { topic: 1, epoch: 300 }, KnownEpoch { topic: 2, epoch: 4 }]),
        ),
        ("fleet.news", Body::DecisionUpdate { decisions, term }),
        ("fleet.part", Body::ModuleMessage { topic: 1, bytes: vec![6] }),
        ("fleet.want", Body::ChunkRequest { hash: [7; 32], index: 300 }),
        (
            "fleet.piece",
            Body::DocumentChunk(Chunk {
                hash: [8; 32],
                document_bytes: 70_000,
                index: 4,
                bytes: vec![9, 10],
            }),
        ),
    ] {
        let frame = Frame { from: 3, incarnation: 1_700_000_000_000, number: 77, body };
        let bytes = frame.encode("example", 5);
        assert_bytes(name, &bytes);
        assert_eq!(Frame::decode(&bytes, "example", 5), Ok(frame), "{name}");
    }
}

#[test]
fn the_encoding_of_an_announcement_stays_the_same() {
    let mut swim = Swim::new(1, 3, 1_700_000_000_000, 9);
    swim.tick(0.0, |_| 1);
    let sent = swim.take_packets();
    let SwimPacket { to, bytes } = sent.first().expect("the member announces itself");
    assert_eq!(*to, 2);
    assert_bytes("fleet.swim_announce", bytes);
}
