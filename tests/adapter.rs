//! Tests of the adapter's protocol over its standard input and output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers": 1, "myNumber": 0, "quantum": 1000, "unheardOf": [1, {"x": null}],
    "grades": [{"aim": 250000, "hardLimit": 5000000, "semantics": "retryable"}],
    "caps": {"sendCap": 3}, "rules": {"coldFrom": 0.1, "cold": 20000000, "tipMultiple": 2.5}}"#;

fn run(chunks: &[&[u8]]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_micabeam-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    for chunk in chunks {
        // The adapter may already have exited because of an earlier chunk.
        let _ = input.write_all(chunk).and_then(|()| input.flush());
    }
    drop(input);
    child.wait_with_output().unwrap()
}

fn frame(now: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    [&(body.len() as u32).to_be_bytes()[..], &now.to_be_bytes(), &body].concat()
}

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    [&[code][..], &(body.len() as u32).to_be_bytes(), &body].concat()
}

fn start(instance: u32, settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_be_bytes();
    record(1, &[&instance.to_be_bytes(), &7u64.to_be_bytes(), &length, settings.as_bytes()])
}

/// Returns a list record with one worker, identified by its port.
fn list(number: u16, port: u16) -> Vec<u8> {
    let entry = [
        &[0u8][..],
        &0u64.to_be_bytes(),
        &0u16.to_be_bytes(),
        &1f32.to_be_bytes(),
        &[10, 0, 0, 1],
        &port.to_be_bytes(),
        &[0, 0],
    ];
    record(11, &[&number.to_be_bytes(), &1u32.to_be_bytes(), &entry.concat()])
}

fn list_view(instance: u32, kind: u8, number: u16) -> Vec<u8> {
    record(2, &[&instance.to_be_bytes(), &[kind], &1u64.to_be_bytes(), &number.to_be_bytes()])
}

fn job(instance: u32, id: u64, deadline: u64) -> Vec<u8> {
    record(
        3,
        &[
            &instance.to_be_bytes(),
            &id.to_be_bytes(),
            &0u16.to_be_bytes(),
            &[0; 4],
            &[0; 8],
            &deadline.to_be_bytes(),
            &[0; 4],
            &1f32.to_be_bytes(),
            &[0; 4],
            &[0],
        ],
    )
}

fn send_action(instance: u32, id: u64, port: u16) -> Vec<u8> {
    let worker = [&[10, 0, 0, 1][..], &port.to_be_bytes()].concat();
    record(8, &[&instance.to_be_bytes(), &id.to_be_bytes(), &worker, &[0; 4]])
}

fn contains_record(output: &[u8], record: &[u8]) -> bool {
    output.windows(record.len()).any(|w| w == record)
}

#[test]
fn replies_do_not_depend_on_input_chunks() {
    let input = [
        frame(1_000, &[]),
        frame(2_000, &[start(3, SETTINGS), list(0, 5001), list_view(3, 2, 0)]),
        frame(3_000, &[job(3, 0x000c_d7b9_5d3a_91c4, 5_003_000)]),
    ]
    .concat();
    let whole = run(&[&input]);
    assert!(whole.status.success(), "{}", String::from_utf8_lossy(&whole.stderr));
    assert_eq!(whole.stdout[..8], [0; 8], "empty replies to the empty batch and to events without actions");
    assert!(contains_record(&whole.stdout, &send_action(3, 0x000c_d7b9_5d3a_91c4, 5001)));
    let chunked: Vec<&[u8]> = input.chunks(7).collect();
    assert_eq!(run(&chunked).stdout, whole.stdout);
}

#[test]
fn list_numbers_are_resolved_in_order() {
    let records = [
        start(1, SETTINGS),
        start(2, SETTINGS),
        list(4, 5001),
        list_view(1, 2, 4),
        list(4, 5002),
        list_view(2, 2, 4),
    ];
    let jobs = [job(1, 11, 5_000_000), job(2, 22, 5_000_000)];
    let output = run(&[&frame(0, &records), &frame(1_000, &jobs)]);
    assert!(contains_record(&output.stdout, &send_action(1, 11, 5001)));
    assert!(contains_record(&output.stdout, &send_action(2, 22, 5002)));
}

#[test]
fn a_restarted_instance_starts_without_a_list() {
    let exit = record(10, &[&1u32.to_be_bytes()]);
    let first = frame(0, &[start(1, SETTINGS), list(0, 5001), list_view(1, 2, 0)]);
    let second = frame(1_000, &[exit, start(1, SETTINGS), job(1, 9, 5_000_000)]);
    let output = run(&[&first, &second]);
    assert!(output.status.success());
    assert!(
        !contains_record(&output.stdout, &send_action(1, 9, 5001)),
        "the list of the previous instance is discarded"
    );
}

#[test]
fn unknown_events_and_outcomes_are_ignored() {
    let unknown = record(99, &[&1u32.to_be_bytes(), b"later"]);
    let peer = record(9, &[&1u32.to_be_bytes(), &[0, 0, 0, 1, 7]]);
    let done =
        record(5, &[&1u32.to_be_bytes(), &[0; 8], &[0; 2], &[0; 6], &[1, 2], &[0; 4], &[0], &[0; 4], &[0]]);
    let output = run(&[&frame(0, &[start(1, SETTINGS), unknown, peer, done]), &frame(1_000, &[])]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.stdout, [0; 8]);
}

#[test]
fn malformed_input_ends_with_a_message() {
    let short_job = record(3, &[&1u32.to_be_bytes(), &[0; 5]]);
    let false_count = record(11, &[&0u16.to_be_bytes(), &u32::MAX.to_be_bytes(), &[0; 23]]);
    let cases: [(&str, Vec<u8>, &str); 8] = [
        ("short header", vec![0, 0, 0], "input ends after 3 of 12 header bytes"),
        ("clean end", Vec::new(), ""),
        ("false length", [&u32::MAX.to_be_bytes()[..], &[0; 8], &[1, 2]].concat(), "input ends after 2 of"),
        ("record past the frame", frame(0, &[vec![3, 0, 0, 1, 0, 9]]), "record at byte 0"),
        ("short record", frame(0, &[start(1, SETTINGS), short_job]), "(code 3)"),
        ("false count", frame(0, &[false_count]), "line 1 of 4294967295"),
        ("settings", frame(0, &[start(1, "no json")]), "settings: "),
        ("incomplete settings", frame(0, &[start(1, "{\"quantum\": 1}")]), "missing field"),
    ];
    for (name, input, message) in cases {
        let output = run(&[&input]);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.success(), message.is_empty(), "{name}: {stderr}");
        assert!(stderr.contains(message) && !stderr.contains("panicked"), "{name}: {stderr}");
    }
}
