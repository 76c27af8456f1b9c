//! Guards against frames from other clusters, arbitrary bytes, and growing traffic of idle members.

use proptest::prelude::*;

use super::*;

/// Guards against growth of the traffic of an idle fleet.
#[test]
fn idle_traffic_is_a_few_kilobytes_a_second() {
    let mut cluster = settled_cluster(11);
    let before: Vec<u64> = cluster.nodes.values().map(|n| n.node().counters().sent_bytes).collect();
    cluster.run(10_000.0);
    for (node, before) in cluster.nodes.values().zip(before) {
        let rate = (node.node().counters().sent_bytes - before) / 10;
        assert!(rate < 16_000, "{rate} bytes a second");
    }
}

fn frame(number: u64) -> Frame {
    Frame { from: 1, incarnation: 5, number, body: Body::Swim(vec![1, 2, 3]) }
}

#[test]
fn frames_of_others_are_dropped_and_counted() {
    let mut cluster = Cluster::new(12);
    let node = cluster.nodes.get_mut(&0).unwrap();
    let good = frame(1).encode("test", 1);
    assert_eq!(Frame::decode(&good, "test", 1), Ok(frame(1)));
    for (bytes, error) in [
        (frame(2).encode("prod", 1), FrameError::Cluster),
        (frame(2).encode("test", 2), FrameError::Cluster),
        (vec![0; MAX_FRAME_BYTES + 1], FrameError::TooLong),
        (b"MB\x09rest".to_vec(), FrameError::Version),
        (b"GET / HTTP/1.1".to_vec(), FrameError::Invalid),
        (good[..good.len() - 1].to_vec(), FrameError::Invalid),
        (good.iter().enumerate().map(|(at, b)| b ^ u8::from(at == 9)).collect(), FrameError::Invalid),
    ] {
        assert_eq!(node.receive(1e6, 1, &bytes), Err(error));
    }
    assert_eq!(
        node.receive(1e6, 2, &good),
        Err(FrameError::Invalid),
        "a frame from another member's address"
    );
    assert_eq!(node.node().counters().dropped, 8);
    let decisions = vec![Decision { topic: zones::TOPIC, epoch: 9, body: vec![0xff; 9] }];
    let update = Body::DecisionUpdate { decisions, term: crate::consensus::LeaderTerm::default() };
    let update = Frame { body: update, ..frame(3) }.encode("test", 1);
    assert_eq!(node.receive(1e6, 1, &update), Ok(()), "the node does not decode the body of a decision");
    assert_eq!(node.receive(1e6, 1, &update), Ok(()), "a frame that arrives twice is only counted");
    assert_eq!(node.node().counters().stale, 1);
    assert_eq!(node.zones().newest_decision().epoch, 0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, failure_persistence: None, ..ProptestConfig::default() })]

    /// Arbitrary bytes from a member's address cause no panic, and no decision is applied.
    #[test]
    fn arbitrary_bytes_do_no_harm(list in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 1..20)) {
        let mut cluster = Cluster::new(13);
        let node = cluster.nodes.get_mut(&0).unwrap();
        for (number, bytes) in list.into_iter().enumerate() {
            let _ = node.receive(1e6, 1, &bytes);
            for body in [Body::Swim(bytes.clone()), Body::Consensus(bytes)] {
                let frame = Frame { body, ..frame(number as u64 * 2 + 1) };
                let _ = node.receive(1e6, 1, &frame.encode("test", 1));
            }
        }
        node.tick(2e6, 0, |_| ZoneLoad::default());
        prop_assert_eq!(node.zones().newest_decision().epoch, 0);
    }
}
