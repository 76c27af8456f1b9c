//! Parsers for numeric request headers.

/// Longest time that a client's deadline header can ask for, in milliseconds.
pub(super) const MAX_WAIT_MS: f64 = 3_600_000.0;

/// Parses a duration such as `480m` (milliseconds) or `9500u` (microseconds) into milliseconds.
pub(super) fn parse_duration_ms(text: &str) -> Option<f64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: u64 = number.parse().ok()?;
    match unit {
        "m" => Some(number as f64),
        "u" => Some(number as f64 / 1e3),
        _ => None,
    }
}

/// Parses the number of slots out of the `Req-Extra` header, a list of `name=value` pairs.
pub(super) fn parse_slots(extra: &str) -> Option<f64> {
    let value = |pair: &str| {
        let (name, value) = pair.split_once('=')?;
        matches!(name.trim(), "slots" | "needs").then(|| value.trim().parse::<f64>().ok())?
    };
    extra.split(',').find_map(value).filter(|slots| slots.is_finite() && *slots > 0.0)
}

/// Parses the expected work of a `Req-Cost` header, given in microseconds, into milliseconds. Returns `None`
/// if the value is not a positive number or exceeds `MAX_WAIT_MS`.
pub(super) fn parse_work_ms(cost: &str) -> Option<f64> {
    let micros: f64 = cost.trim().parse().ok()?;
    Some(micros / 1e3).filter(|work_ms| *work_ms > 0.0 && *work_ms <= MAX_WAIT_MS)
}
