//! Tests for `operator`.

use super::*;

const GOOD: &str = "[stream]\nlisten = \"127.0.0.1:0\"\nservers = [{name = \"a\", dial = \"127.0.0.1:1\"}]\n\
                    [[stream.class]]\nname = \"export\"\nrepeat = \"safe\"\n";

#[test]
fn invalid_files_are_rejected_with_the_reason() {
    assert!(parse("f", GOOD).unwrap().stream.is_some());
    for (from, to, says) in [
        ("listen", "listens", "unknown field `listens`"),
        ("repeat = \"safe\"", "repeat = \"often\"", "unknown variant `often`"),
        ("repeat = \"safe\"", "", "missing field `repeat`"),
        ("repeat = \"safe\"", "repeat = \"safe\"\nhold_kb = 65", "`class.export.hold_kb` is 65"),
        ("repeat = \"safe\"", "repeat = \"safe\"\nwindow_kb = 1", "`class.export.window_kb` is 1"),
        ("\"export\"", "\"ex/port\"", "is not valid in a path"),
        ("servers", "discovery = \"127.0.0.1:2\"\nservers", "give either"),
        ("[stream]", "[stream]\nmemory_mb = 8", "256 streams need 72 KiB each"),
        ("[stream]", "[stream]\nattempts = 6", "`attempts` is 6"),
        ("[stream]", "[stream]\nmemory_mb = nan", "`memory_mb` is NaN"),
        ("[stream]", "[streams]", "unknown field `streams`"),
        ("[stream]", "[stream", "f: TOML parse error at line 1"),
    ] {
        let text = GOOD.replace(from, to);
        let error = parse("f", &text).err().expect(says).to_string();
        assert!(error.contains(says), "{says}: {error}");
    }
    let both = parse("f", &GOOD.replace("[stream]", "[stream]\nattempts = 6\nturn_kb = 1")).err().unwrap();
    assert_eq!(both.to_string().lines().count(), 2, "{both}");
}

/// The example files under `deploy`, and the policy that one of them names, must parse.
#[test]
fn the_deploy_files_parse() {
    for (file, text) in [
        ("fleet.toml", include_str!("../../../deploy/fleet.toml")),
        ("micabeam.toml", include_str!("../../../deploy/micabeam.toml")),
    ] {
        assert!(parse(file, text).is_ok(), "{file}");
    }
    let shared = parse("shared.toml", include_str!("../../../deploy/shared.toml")).unwrap().fleet.unwrap();
    assert_eq!(shared.rollout.unwrap().read().unwrap().version, 1);
    for (from, to, says) in [
        ("lease_ms = 2000", "lease_ms = 10", "`rollout.lease_ms` is 10, and must be from 2000 to 600000"),
        ("hold_ms = 400", "hold_ms = nan", "`rollout.hold_ms` is NaN"),
        ("keep = ", "kept = ", "unknown field `kept`"),
    ] {
        let text = include_str!("../../../deploy/shared.toml").replace(from, to);
        let error = parse("f", &text).err().expect(says).to_string();
        assert!(error.contains(says), "{says}: {error}");
    }
}

#[test]
fn the_gearman_table_parses_like_its_json_file() {
    let text = "[gearman]\nlisten = \"127.0.0.1:0\"\n[gearman.functions]\n\
                hold = {class = \"site-hold\", tenant = \"fraser-parks\"}\n[gearman.record]\nentries = 10\n";
    let json = parse("f", text).unwrap().gearman.unwrap();
    let same = r#"{"listen": "127.0.0.1:0", "record": {"entries": 10},
        "functions": {"hold": {"class": "site-hold", "tenant": "fraser-parks"}}}"#;
    assert_eq!(json, crate::json::parse(same.as_bytes()).unwrap());
    assert!(parse("f", &text.replace("entries", "entrys")).is_err());
}
