//! Guards against changes of the wire format of zone digests and tables.

use super::zone_failover::DigestMessage;
use super::{Digest, ZoneDecision, ZoneSample, ZoneState, ZoneTable};
use crate::wire_fixture::assert_bytes;

#[test]
fn a_digest_keeps_its_form() {
    let sample =
        ZoneSample { answered: 1, refused: 2, silent: 3, mean_latency_ms: 400, in_flight: 5, slots: 6 };
    let digest = Digest {
        incarnation: 1000,
        number: 7,
        zone: 2,
        open_requests: 9,
        arrived: 300,
        rejected: 11,
        samples: vec![sample],
    };
    assert_bytes("zones.digest", &postcard::to_stdvec(&DigestMessage(digest)).unwrap());
}

#[test]
fn a_table_keeps_its_form() {
    let zone = |state, share, local_only| ZoneDecision {
        state,
        share,
        weight: 950,
        admit: 850,
        closings: 3,
        local_only,
    };
    let zones = vec![
        zone(ZoneState::Open, 1000, true),
        zone(ZoneState::Degraded, 500, false),
        zone(ZoneState::Closed, 0, false),
        zone(ZoneState::Recovering, 50, true),
    ];
    let table = ZoneTable { zones };
    assert_bytes("zones.table", &table.encode());
    assert_eq!(ZoneTable::decode(&table.encode(), 4), Some(table));
}
