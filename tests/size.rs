//! Holds the decision module to what its old limit of lines was for: each decision stays short enough to be read
//! whole, and none of them reaches past the events and the clock that it is given.

use std::fs;
use std::path::Path;

/// Most lines of a file; the length of a function is held by the lint `too_many_lines`.
const MAX_LINES: usize = 400;
/// Widest line, in characters.
const MAX_COLUMNS: usize = 110;
/// The only paths that a decision may start from, beside the module itself.
const ALLOWED_ROOTS: [&str; 4] = ["super::", "std::", "rustc_hash::", "serde::"];
/// The only parts of the standard library that a decision may name: data and arithmetic.
const ALLOWED_STD: [&str; 3] = ["std::cmp::", "std::collections::", "std::f64::"];
/// Words that no decision may contain, however it gets at them.
const FORBIDDEN: [&str; 15] = [
    "crate::",
    "super::super",
    "calloop",
    "rustix",
    "socket2",
    "tracing",
    "std::io",
    "std::net",
    "std::fs",
    "std::thread",
    "std::time",
    "std::process",
    "std::env",
    "println!",
    "Instant",
];

fn files() -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/routing");
    let entries = fs::read_dir(folder).expect("the folder of the decision module");
    let read = |entry: std::io::Result<fs::DirEntry>| {
        let entry = entry.expect("an entry of the folder");
        let name = entry.file_name().into_string().expect("a name in UTF-8");
        (name, fs::read_to_string(entry.path()).expect("a source file, and no folder"))
    };
    entries.map(read).collect()
}

#[test]
fn the_module_stays_small() {
    for (name, text) in files() {
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "src/routing/{name} has {lines} lines, of {MAX_LINES} at most");
    }
}

#[test]
fn its_lines_stay_narrow() {
    for (name, text) in files() {
        for (at, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= MAX_COLUMNS, "line {} of src/routing/{name} has {width} columns", at + 1);
        }
    }
}

#[test]
fn decisions_name_no_io_thread_clock_or_wire() {
    for (name, text) in files() {
        for (at, line) in text.lines().enumerate() {
            let place = format!("line {} of src/routing/{name}", at + 1);
            for word in FORBIDDEN {
                assert!(!line.contains(word), "{place} names {word}");
            }
            let code = line.split("//").next().unwrap_or_default();
            for (start, _) in code.match_indices("std::") {
                let path = &code[start..];
                assert!(ALLOWED_STD.iter().any(|part| path.starts_with(part)), "{place} names {path}");
            }
            if let Some(path) = code.trim_start().strip_prefix("use ").filter(|_| name != "mod.rs") {
                assert!(ALLOWED_ROOTS.iter().any(|root| path.starts_with(root)), "{place} uses {path}");
            }
        }
    }
}

#[test]
fn every_file_of_the_module_is_listed_as_policy() {
    let manifest = include_str!("../deploy/balancer.toml");
    let policy = manifest.lines().find(|line| line.starts_with("policy = ")).expect("a line of policy");
    for (name, _) in files() {
        assert!(policy.contains(&format!("\"src/routing/{name}\"")), "src/routing/{name} is not listed");
    }
}
