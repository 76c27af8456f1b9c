//! Guards the form of what dispatchers send one another about zones.

use super::zone_failover::DigestMessage;
use super::{Digest, ZoneDecision, ZoneSample, ZoneState, ZoneTable};
use crate::wire_fixture::assert_bytes;

#[test]
fn a_digest_keeps_its_form() {
    let seen = ZoneSample { answered: 1, refused: 2, silent: 3, took_ms: 400, out: 5, slots: 6 };
    let digest = Digest {
        incarnation: 1000,
        number: 7,
        zone: 2,
        open: 9,
        arrived: 300,
        rejected: 11,
        samples: vec![seen],
    };
    assert_bytes("zones.digest", &postcard::to_stdvec(&DigestMessage(digest)).unwrap());
}

#[test]
fn a_table_keeps_its_form() {
    let zone = |state, share, near| ZoneDecision {
        state,
        share,
        weight: 950,
        admit: 850,
        closings: 3,
        local_only: near,
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
