//! Tests for valid and invalid policies, and for rules that shadow each other.

use proptest::prelude::*;

use super::*;
use crate::settings::Site;

const GOOD: &str = include_str!("../../deploy/policy.toml");

fn site() -> Site {
    Site::parse(include_bytes!("../../examples/settings.json")).unwrap()
}

#[test]
fn an_invalid_policy_is_rejected_with_the_line_of_the_error() {
    assert_eq!(Policy::read(GOOD, &site()).unwrap().rules.len(), 3);
    assert_eq!(Policy::version(GOOD), Ok(1));
    let line = |text: &str| 1 + GOOD[..GOOD.find(text).unwrap()].matches('\n').count();
    for (from, to, expected_line, says) in [
        ("version = 1", "version = 0", line("version = 1"), "`version` is 0"),
        ("version = 1", "versions = 1", line("version = 1"), "unknown field `versions`"),
        ("zones = [\"east\"]", "zones = [\"south\"]", line("[[partition]]"), "there is no zone `south` here"),
        ("name = \"elsewhere\"", "name = \"east\"", 0, "partition `east` is given twice"),
        ("classes = [\"avail-search\"]", "classes = [\"search\"]", 0, "there is no class `search` here"),
        ("partition = \"elsewhere\"", "partition = \"else\"", 0, "there is no partition `else` here"),
        ("prefix = \"van-\"", "prefixes = \"van-\"", 0, "unknown variant `prefixes`"),
        ("[\"web\", \"partner\"]", "[]", 0, "`long searches` has a test that nothing passes"),
        ("from = 4096", "from = 4096, to = 5", 0, "`long searches` has a test that nothing passes"),
        ("name = \"long searches\"", "name = \"vans\"", 0, "rule `vans` is given twice"),
        ("key = { prefix = \"van-\" }\n", "", 0, "may fit no rule"),
        ("empty = \"deny\"", "empty = \"drop\"", 0, "unknown variant `drop`"),
    ] {
        // The last rule of the file matches everything. It is restricted here, since otherwise no class could
        // be uncovered.
        let mut text = GOOD.replacen(from, to, 1);
        if says == "may fit no rule" {
            text = text.replace("name = \"all else\"\n", "name = \"all else\"\nclasses = [\"site-hold\"]\n");
        }
        let errors = Policy::read(&text, &site()).expect_err(says);
        let error = errors.iter().find(|error| error.to_string().contains(says));
        let error = error.unwrap_or_else(|| panic!("{says}: {errors:?}"));
        assert!(expected_line == 0 || error.line == expected_line, "{error} and not line {expected_line}");
    }
}

#[test]
fn a_rule_that_is_never_reached_is_rejected() {
    let behind = GOOD.to_string()
        + "\n[[rule]]\nname = \"late\"\nkey = { equal = \"van-7\" }\nclasses = [\"site-hold\"]\npartition = \"east\"\n";
    let errors = Policy::read(&behind, &site()).unwrap_err();
    assert_eq!(errors[0].kind, ErrorKind::ShadowedRule { rule: "late".into(), before: "vans".into() });
    assert_eq!(errors[0].line, 2 + GOOD.lines().count(), "{}", errors[0]);
}

/// A policy is rejected if no listed endpoint belongs to one of its partitions.
#[test]
fn a_partition_without_endpoints_is_reported() {
    let policy = Policy::read(GOOD, &site()).unwrap();
    let errors = policy.partitions_without_endpoint(|selector| selector.zones == Some(vec![0]));
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].kind, ErrorKind::PartitionWithoutEndpoint("elsewhere".into()));
}

fn test() -> impl Strategy<Value = Test> {
    let text = "[ab]{0,3}";
    prop_oneof![
        text.prop_map(Test::Equal),
        prop::collection::vec(text, 1..3).prop_map(Test::OneOf),
        text.prop_map(Test::Prefix),
        (text, text).prop_map(|(a, b)| Test::Range(a, b)),
        any::<bool>().prop_map(Test::Present),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Every text that passes a covered test must pass the covering test. Otherwise a policy could be
    /// rejected because of a rule that is reached.
    #[test]
    fn a_covered_text_passes(one in test(), other in test(), text in prop::option::of("[ab]{0,4}")) {
        if one.covers(&other) && !other.is_unsatisfiable() && other.passes(text.as_deref()) {
            prop_assert!(one.passes(text.as_deref()), "{one:?} covers {other:?} and not {text:?}");
        }
    }

    /// Reading any text returns a policy or errors, and does not panic.
    #[test]
    fn no_file_panics(text in "\\PC{0,200}", cut in 0usize..2000) {
        let _ = Policy::read(&text, &site());
        let cut = GOOD.char_indices().map(|(at, _)| at).nth(cut).unwrap_or(GOOD.len());
        let _ = Policy::read(&GOOD[..cut], &site());
    }
}
