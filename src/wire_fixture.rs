//! Bytes that dispatchers of other versions send, or have stored, kept in `tests/fixtures/wire.txt`: a line each, its name
//! and its bytes in hexadecimal.

const WIRE: &str = include_str!("../tests/fixtures/wire.txt");

/// Checks that something still has the bytes that the fixture of this name has.
pub(crate) fn assert_bytes(name: &str, bytes: &[u8]) {
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let known = WIRE.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    assert_eq!(known, Some(hex.as_str()), "the wire format of `{name}` has changed");
}
