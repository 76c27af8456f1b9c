//! What headers of a request say, as figures.

/// Longest wait that a client can ask for, in milliseconds.
pub(super) const MAX_WAIT_MS: f64 = 3_600_000.0;

/// The time in a header such as `480m` (milliseconds) or `9500u` (microseconds), in milliseconds.
pub(super) fn parse_duration_ms(text: &str) -> Option<f64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: u64 = number.parse().ok()?;
    match unit {
        "m" => Some(number as f64),
        "u" => Some(number as f64 / 1e3),
        _ => None,
    }
}

/// The slots among a request's further figures.
pub(super) fn parse_slots(extra: &str) -> Option<f64> {
    let value = |pair: &str| {
        let (name, value) = pair.split_once('=')?;
        matches!(name.trim(), "slots" | "needs").then(|| value.trim().parse::<f64>().ok())?
    };
    extra.split(',').find_map(value).filter(|slots| slots.is_finite() && *slots > 0.0)
}

/// The work that a client expects, in milliseconds, from its figure in microseconds. What is no such figure, or beyond what
/// a client can wait for, is no hint.
pub(super) fn parse_work_ms(cost: &str) -> Option<f64> {
    let micros: f64 = cost.trim().parse().ok()?;
    Some(micros / 1e3).filter(|work_ms| *work_ms > 0.0 && *work_ms <= MAX_WAIT_MS)
}
