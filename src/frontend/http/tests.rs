//! What headers of clients say.

use super::headers::{slots, span, work};

#[test]
fn spans_and_slots_read() {
    assert_eq!(span("480m"), Some(480.0));
    assert_eq!(span("9500u"), Some(9.5));
    for bad in ["", "m", "480", "-1m", "480é", "1e3m"] {
        assert_eq!(span(bad), None, "{bad}");
    }
    assert_eq!(slots("memory=2,slots=4"), Some(4.0));
    assert_eq!(slots("slots=nan"), None);
    assert_eq!(work("480000"), Some(480.0));
    for odd in ["", "0", "-3", "nan", "inf", "1e300", "480ms", "99999999999999"] {
        assert_eq!(work(odd), None, "{odd} is no hint");
    }
}
