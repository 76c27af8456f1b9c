//! Tests for the parsers of request headers.

use super::headers::{parse_duration_ms, parse_slots, parse_work_ms};

#[test]
fn durations_slots_and_work_parse() {
    assert_eq!(parse_duration_ms("480m"), Some(480.0));
    assert_eq!(parse_duration_ms("9500u"), Some(9.5));
    for bad in ["", "m", "480", "-1m", "480é", "1e3m"] {
        assert_eq!(parse_duration_ms(bad), None, "{bad}");
    }
    assert_eq!(parse_slots("memory=2,slots=4"), Some(4.0));
    assert_eq!(parse_slots("slots=nan"), None);
    assert_eq!(parse_work_ms("480000"), Some(480.0));
    for odd in ["", "0", "-3", "nan", "inf", "1e300", "480ms", "99999999999999"] {
        assert_eq!(parse_work_ms(odd), None, "{odd} is not a valid hint");
    }
}
