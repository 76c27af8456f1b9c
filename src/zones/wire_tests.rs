//! Guards the form of what dispatchers send one another about zones.

use super::zone_failover::DigestMessage;
use super::{Digest, Seen, State, Table, Zone};
use crate::wire_fixture::assert_bytes;

#[test]
fn a_digest_keeps_its_form() {
    let seen = Seen { answered: 1, refused: 2, silent: 3, took_ms: 400, out: 5, slots: 6 };
    let digest =
        Digest { session: 1000, number: 7, zone: 2, open: 9, arrived: 300, turned: 11, seen: vec![seen] };
    assert_bytes("zones.digest", &postcard::to_stdvec(&DigestMessage(digest)).unwrap());
}

#[test]
fn a_table_keeps_its_form() {
    let zone = |state, share, near| Zone { state, share, weight: 950, admit: 850, closings: 3, near };
    let zones = vec![
        zone(State::Open, 1000, true),
        zone(State::Careful, 500, false),
        zone(State::Closed, 0, false),
        zone(State::Returning, 50, true),
    ];
    let table = Table { zones };
    assert_bytes("zones.table", &table.encode());
    assert_eq!(Table::decode(&table.encode(), 4), Some(table));
}
