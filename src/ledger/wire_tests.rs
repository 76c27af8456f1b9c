//! Checks that the encoding of each record does not change.

use super::record::{Outcome, Record};
use crate::wire_fixture::assert_bytes;

#[test]
fn the_encoding_of_each_record_is_unchanged() {
    let finished = |outcome| Record::Finished { no: 7, outcome, keep: 900.5 };
    for (name, record) in [
        (
            "ledger.accepted",
            Record::Accepted {
                no: 1,
                class: 2,
                key: Some(b"key".to_vec()),
                due: 1000.25,
                body: vec![1, 2, 3],
            },
        ),
        (
            "ledger.accepted_without_key",
            Record::Accepted { no: 300, class: 0, key: None, due: 0.0, body: Vec::new() },
        ),
        ("ledger.leased", Record::Leased { no: 2, fence: 3, worker: "s-1".into(), until: 77.5 }),
        ("ledger.returned", Record::Returned { no: 3, fence: 4 }),
        ("ledger.lapsed", Record::Lapsed { no: 4, fence: 5 }),
        ("ledger.adrift", Record::Adrift { no: 5, fence: 6, until: 8.5 }),
        ("ledger.finished_served", finished(Outcome::Served(vec![9]))),
        ("ledger.finished_failed", finished(Outcome::Failed)),
        ("ledger.finished_denied", finished(Outcome::Denied)),
        ("ledger.dropped", Record::Dropped { no: 8 }),
    ] {
        assert_bytes(name, &record.encode());
        assert_eq!(Record::decode(&record.encode()), Ok(record), "{name}");
    }
}
