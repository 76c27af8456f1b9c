//! Encodings that dispatchers of other versions send or have stored, kept in `tests/fixtures/wire.txt`: one
//! line each, with a name and the bytes in hexadecimal.

const WIRE: &str = include_str!("../tests/fixtures/wire.txt");

/// Asserts that an encoding is the same as the fixture of this name.
pub(crate) fn assert_bytes(name: &str, bytes: &[u8]) {
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let known = WIRE.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    assert_eq!(known, Some(hex.as_str()), "the wire format of `{name}` has changed");
}
