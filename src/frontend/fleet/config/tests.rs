//! Tests of `config`.

use super::*;

const GOOD: &str = "cluster = \"c\"\nname = \"n0\"\nstate = \"/tmp/x\"\nzones = [\"a\", \"b\"]\n\
    [[member]]\nname = \"n0\"\naddress = \"127.0.0.1:1\"\nzone = \"a\"\nvoter = true\n\
    [[member]]\nname = \"n1\"\naddress = \"127.0.0.1:2\"\nzone = \"b\"\nvoter = true\n\
    [[member]]\nname = \"n2\"\naddress = \"127.0.0.1:3\"\nzone = \"b\"\nvoter = true\n\
    [rules]\nmargin = 0.8\n";

#[test]
fn an_invalid_table_is_rejected_with_a_message_naming_the_problem() {
    let read = |text: &str| toml::from_str::<FleetTable>(text).map_err(|e| e.to_string());
    let config = read(GOOD).unwrap().check(None).unwrap();
    assert_eq!((config.own, config.members[2].zone, config.failover.margin), (0, 1, 0.8));
    for (from, to, expected) in [
        ("name = \"n0\"\nstate", "name = \"n9\"\nstate", "no [[fleet.member]] has that name"),
        ("state = \"/tmp/x\"\n", "", "`n0` is a voter and needs `state`"),
        ("127.0.0.1:2", "127.0.0.1:1", "`127.0.0.1:1` is given twice"),
        ("name = \"n1\"", "name = \"n2\"", "`n2` is given twice"),
        ("[\"a\", \"b\"]", "[\"a\"]", "`n1` is in zone `b`, which `zones` does not name"),
        ("zone = \"a\"\nvoter = true", "zone = \"a\"", "2 members have `voter = true`"),
        ("margin = 0.8", "margin = 1.5", "`margin` is 1.5, and must be from 0.1 to 1"),
        ("margin = 0.8", "close_after_ms = nan", "`close_after_ms` is NaN"),
        ("cluster = \"c\"", "cluster = \"\"", "`cluster (its length)` is 0"),
    ] {
        let errors = read(&GOOD.replacen(from, to, 1)).unwrap().check(None).expect_err(expected);
        let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
        assert!(messages.iter().any(|error| error.contains(expected)), "{expected}: {messages:?}");
    }
    assert!(read(&GOOD.replace("voter", "votes")).is_err_and(|e| e.contains("unknown field `votes`")));
    assert!(read(&GOOD.replace("127.0.0.1:2", "here")).is_err());
}
