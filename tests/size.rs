//! Limits on the decision module in src/routing: files stay short enough to be read as a whole, and
//! decisions use only the events and the time that they are given.

use std::fs;
use std::path::Path;

/// Maximum number of lines in a file. The lint `too_many_lines` limits the length of a function.
const MAX_LINES: usize = 400;
/// Maximum line width, in characters.
const MAX_COLUMNS: usize = 110;
/// The only roots that an import of the decision module may have, apart from the module itself.
const ALLOWED_ROOTS: [&str; 4] = ["super::", "std::", "rustc_hash::", "serde::"];
/// The only parts of the standard library that the decision module may use: data and arithmetic.
const ALLOWED_STD: [&str; 3] = ["std::cmp::", "std::collections::", "std::f64::"];
/// Words that may not occur in the decision module at all.
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
    let entries = fs::read_dir(folder).expect("src/routing is readable");
    let read = |entry: std::io::Result<fs::DirEntry>| {
        let entry = entry.expect("a readable directory entry");
        let name = entry.file_name().into_string().expect("a UTF-8 file name");
        (name, fs::read_to_string(entry.path()).expect("a readable source file"))
    };
    entries.map(read).collect()
}

#[test]
fn its_files_stay_within_the_line_limit() {
    for (name, text) in files() {
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "src/routing/{name} has {lines} lines; the limit is {MAX_LINES}");
    }
}

#[test]
fn its_lines_stay_within_the_column_limit() {
    for (name, text) in files() {
        for (at, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= MAX_COLUMNS, "line {} of src/routing/{name} has {width} columns", at + 1);
        }
    }
}

#[test]
fn it_uses_no_io_threads_clock_or_network() {
    for (name, text) in files() {
        for (at, line) in text.lines().enumerate() {
            let place = format!("line {} of src/routing/{name}", at + 1);
            for word in FORBIDDEN {
                assert!(!line.contains(word), "{place} contains {word}");
            }
            let code = line.split("//").next().unwrap_or_default();
            for (start, _) in code.match_indices("std::") {
                let path = &code[start..];
                assert!(ALLOWED_STD.iter().any(|part| path.starts_with(part)), "{place} uses {path}");
            }
            if let Some(path) = code.trim_start().strip_prefix("use ").filter(|_| name != "mod.rs") {
                assert!(ALLOWED_ROOTS.iter().any(|root| path.starts_with(root)), "{place} uses {path}");
            }
        }
    }
}

#[test]
fn its_files_are_listed_as_policy() {
    let manifest = include_str!("../deploy/balancer.toml");
    let policy = manifest
        .lines()
        .find(|line| line.starts_with("policy = "))
        .expect("the manifest has a `policy` list");
    for (name, _) in files() {
        assert!(policy.contains(&format!("\"src/routing/{name}\"")), "src/routing/{name} is not listed");
    }
}
