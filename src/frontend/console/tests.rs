//! Tests for `console`.

use super::*;

/// Checks the names of the calls, and that any other line is reported as invalid.
#[test]
fn console_lines_parse_as_calls() {
    assert_eq!(ParsedCall::read(b"readyz"), ParsedCall::Call(Call::Readyz));
    assert_eq!(ParsedCall::read(b"telemetry\r"), ParsedCall::Call(Call::Telemetry));
    assert_eq!(ParsedCall::read(b" evacuate "), ParsedCall::Call(Call::Evacuate));
    assert_eq!(ParsedCall::read(b"activate"), ParsedCall::Call(Call::Activate));
    assert_eq!(ParsedCall::read(b"exclude h1"), ParsedCall::Invalid("unknown call"));
    assert_eq!(ParsedCall::read(b""), ParsedCall::Invalid("empty call"));
    assert_eq!(ParsedCall::read(&[0xff, 0xfe]), ParsedCall::Invalid("not UTF-8"));
}
