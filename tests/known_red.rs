//! Tests of `.ci/tests`, which ignores the test failures listed in KNOWN-RED.txt and no others.

use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

const ONE_FAILS: &str = "test a_known_one ... FAILED\ntest another ... ok\ntest result: FAILED. 1 passed; 1 failed\n\
                         error: test failed, to rerun pass `--test some`\n";

/// Runs the script with a list of known failures and a test command that prints `printed` and exits with `status`. Returns
/// whether the script succeeds, and its output.
fn run(list: &str, printed: &str, status: u32) -> (bool, String) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("red-{}-{number}", std::process::id()));
    std::fs::write(&path, list).unwrap();
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let test_command = format!("printf '%s' \"$PRINTED\"; exit {status}");
    let output = Command::new(root.join(".ci/tests"))
        .args(["sh", "-c", &test_command])
        .env("KNOWN_RED", &path)
        .env("PRINTED", printed)
        .output()
        .unwrap();
    (output.status.success(), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn listed_failure_is_ignored_and_printed() {
    let (passed, output) = run("a_known_one | cargo test | what was seen | issue 1\n", ONE_FAILS, 101);
    assert!(passed, "{output}");
    assert!(output.contains("known red: a_known_one | cargo test | what was seen | issue 1"), "{output}");
}

#[test]
fn unlisted_failure_fails() {
    let (passed, output) = run("another | cargo test | what was seen | issue 1\n", ONE_FAILS, 101);
    assert!(!passed && output.contains("failed, and not in"), "{output}");
    assert!(!run("", ONE_FAILS, 101).0);
}

#[test]
fn entry_of_a_test_that_was_not_run_fails() {
    let list =
        "a_known_one | cargo test | what was seen | issue 1\nrenamed_since | cargo test | seen | issue 1\n";
    let (passed, output) = run(list, ONE_FAILS, 101);
    assert!(!passed && output.contains("not run: renamed_since"), "{output}");
    assert!(!run("renamed_since | cargo test | seen | issue 1\n", "test another ... ok\n", 0).0);
}

#[test]
fn soak_entry_needs_no_run() {
    let list = "soak by seed 7 | micabeam-rig soak --seed 7 | what was seen | issue 1\n";
    assert!(run(list, "test another ... ok\n", 0).0);
}

#[test]
fn crashed_target_fails_even_if_all_failures_are_listed() {
    let crashed = ONE_FAILS.to_string() + "error: test failed, to rerun pass `--test crashed`\n";
    assert!(!run("a_known_one | cargo test | what was seen | issue 1\n", &crashed, 101).0);
}

/// Guards against entries that cannot be reproduced because a part is missing.
#[test]
fn each_entry_has_all_four_parts() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("KNOWN-RED.txt");
    let list = std::fs::read_to_string(path).unwrap_or_default();
    for line in list.lines() {
        let parts: Vec<&str> = line.split('|').map(str::trim).collect();
        assert!(parts.len() == 4 && parts.iter().all(|part| !part.is_empty()), "{line}");
        assert!(parts[3].starts_with("issue "), "{line}");
    }
}
