//! The adapter's frames, through its standard input and output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const FACTS: &str = r#"{"balancers": 1, "myNumber": 0, "quantum": 1000, "unheardOf": [1, {"x": null}],
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
        // The adapter may have given up on what came before.
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

fn up(instance: u32, facts: &str) -> Vec<u8> {
    let length = (facts.len() as u32).to_be_bytes();
    record(1, &[&instance.to_be_bytes(), &7u64.to_be_bytes(), &length, facts.as_bytes()])
}

/// A list of one worker, told by its port.
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

fn view(instance: u32, kind: u8, number: u16) -> Vec<u8> {
    record(2, &[&instance.to_be_bytes(), &[kind], &1u64.to_be_bytes(), &number.to_be_bytes()])
}

fn job(instance: u32, id: u64, due: u64) -> Vec<u8> {
    record(
        3,
        &[
            &instance.to_be_bytes(),
            &id.to_be_bytes(),
            &0u16.to_be_bytes(),
            &[0; 4],
            &[0; 8],
            &due.to_be_bytes(),
            &[0; 4],
            &1f32.to_be_bytes(),
            &[0; 4],
            &[0],
        ],
    )
}

fn transmit(instance: u32, id: u64, port: u16) -> Vec<u8> {
    let worker = [&[10, 0, 0, 1][..], &port.to_be_bytes()].concat();
    record(8, &[&instance.to_be_bytes(), &id.to_be_bytes(), &worker, &[0; 4]])
}

fn holds(output: &[u8], record: &[u8]) -> bool {
    output.windows(record.len()).any(|w| w == record)
}

#[test]
fn frames_round_trip_however_they_are_cut() {
    let input = [
        frame(1_000, &[]),
        frame(2_000, &[up(3, FACTS), list(0, 5001), view(3, 2, 0)]),
        frame(3_000, &[job(3, 0x000c_d7b9_5d3a_91c4, 5_003_000)]),
    ]
    .concat();
    let whole = run(&[&input]);
    assert!(whole.status.success(), "{}", String::from_utf8_lossy(&whole.stderr));
    assert_eq!(
        whole.stdout[..8],
        [0; 8],
        "empty replies to the empty batch and to news that ask for nothing"
    );
    assert!(holds(&whole.stdout, &transmit(3, 0x000c_d7b9_5d3a_91c4, 5001)));
    let cut: Vec<&[u8]> = input.chunks(7).collect();
    assert_eq!(run(&cut).stdout, whole.stdout);
}

#[test]
fn list_numbers_are_resolved_in_order() {
    let records = [up(1, FACTS), up(2, FACTS), list(4, 5001), view(1, 2, 4), list(4, 5002), view(2, 2, 4)];
    let jobs = [job(1, 11, 5_000_000), job(2, 22, 5_000_000)];
    let output = run(&[&frame(0, &records), &frame(1_000, &jobs)]);
    assert!(holds(&output.stdout, &transmit(1, 11, 5001)));
    assert!(holds(&output.stdout, &transmit(2, 22, 5002)));
}

#[test]
fn a_killed_instance_starts_empty() {
    let exit = record(10, &[&1u32.to_be_bytes()]);
    let first = frame(0, &[up(1, FACTS), list(0, 5001), view(1, 2, 0)]);
    let second = frame(1_000, &[exit, up(1, FACTS), job(1, 9, 5_000_000)]);
    let output = run(&[&first, &second]);
    assert!(output.status.success());
    assert!(!holds(&output.stdout, &transmit(1, 9, 5001)), "the list of its life before is forgotten");
}

#[test]
fn unknown_events_and_outcomes_are_passed_over() {
    let odd = record(99, &[&1u32.to_be_bytes(), b"later"]);
    let peer = record(9, &[&1u32.to_be_bytes(), &[0, 0, 0, 1, 7]]);
    let done =
        record(5, &[&1u32.to_be_bytes(), &[0; 8], &[0; 2], &[0; 6], &[1, 2], &[0; 4], &[0], &[0; 4], &[0]]);
    let output = run(&[&frame(0, &[up(1, FACTS), odd, peer, done]), &frame(1_000, &[])]);
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
        ("short record", frame(0, &[up(1, FACTS), short_job]), "(code 3)"),
        ("false count", frame(0, &[false_count]), "line 1 of 4294967295"),
        ("settings", frame(0, &[up(1, "no json")]), "settings: "),
        ("settings that lack something", frame(0, &[up(1, "{\"quantum\": 1}")]), "missing field"),
    ];
    for (name, input, message) in cases {
        let output = run(&[&input]);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.success(), message.is_empty(), "{name}: {stderr}");
        assert!(stderr.contains(message) && !stderr.contains("panicked"), "{name}: {stderr}");
    }
}
