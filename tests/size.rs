//! Holds the decision module to what makes it readable: its files name no I/O, no thread, no clock and no wire, and each
//! stays short.

use std::path::Path;

/// What a decision file may not name: whatever reads, writes, waits, draws time by itself or knows a wire.
const FORBIDDEN: [&str; 16] = [
    "std::io",
    "std::net",
    "std::fs",
    "std::thread",
    "std::time",
    "std::process",
    "std::env",
    "calloop",
    "rustix",
    "socket2",
    "httparse",
    "rustls",
    "tinyjson",
    "crate::net",
    "crate::frontend",
    "tracing",
];

fn files() -> Vec<(String, String)> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/routing");
    let files = std::fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().path());
    let files: Vec<_> = files
        .filter(|path| path.extension().is_some_and(|end| end == "rs"))
        .map(|path| {
            (
                path.file_name().unwrap().to_string_lossy().into_owned(),
                std::fs::read_to_string(&path).unwrap(),
            )
        })
        .collect();
    assert!(files.len() >= 5, "the files of the module were not found");
    files
}

#[test]
fn decision_files_name_no_io_thread_clock_or_wire() {
    for (name, text) in files() {
        for word in FORBIDDEN {
            assert!(!text.contains(word), "src/routing/{name} names {word}");
        }
    }
}

#[test]
fn its_lines_stay_narrow() {
    for (name, text) in files().into_iter().filter(|(name, _)| name == "router.rs") {
        for (at, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(
                width <= 110,
                "line {} of src/routing/{name} has {width} columns, of 110 at most",
                at + 1
            );
        }
    }
}
