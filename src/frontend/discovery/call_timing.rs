//! Durations of calls for the endpoint list: how long a call waits for changes, and how long to wait for its
//! answer.

use crate::core::millis;
use crate::routing::Settings;

/// How long a call waits for changes, in milliseconds. A silently broken call must be noticed and replaced in
/// time: a change that it missed counts as received 6 s after the call fell silent, and must be followed 2 s
/// later.
const WATCH_WAIT_MS: f64 = 5_000.0;
/// How long a call that asks for an immediate answer may take, in milliseconds. Discovery processes calls one
/// after another.
const CALL_TIMEOUT_MS: f64 = 2_500.0;
/// Same limit as `CALL_TIMEOUT_MS`, for a large fleet: discovery still spends time on an abandoned call.
const LARGE_FLEET_CALL_TIMEOUT_MS: f64 = 3_500.0;
/// Time after the end of its wait at which a watch without an answer is considered broken, in milliseconds. A
/// change that it missed counts as received 2 s after the wait, and must be followed 2 s later; the next call
/// has time to complete by then.
const SILENCE_TIMEOUT_MS: f64 = 1_000.0;
/// How long a call waits for changes where an agent on this machine pushes lists, in milliseconds. The agent
/// answers at once and at no cost. While discovery is down the agent is silent; what it receives when
/// discovery returns counts as received at that moment.
const AGENT_WAIT_MS: f64 = 1_000.0;
/// Time after the end of its wait at which a call to an agent is considered broken, in milliseconds.
const AGENT_SILENCE_TIMEOUT_MS: f64 = 500.0;
/// Longest wait of a watch in a large fleet, in milliseconds: a watch that breaks silently is not noticed
/// until its wait is over. Discovery processes the calls of all dispatchers in about 8 s, however many there
/// are, so watches take a third of its time at most.
const MAX_WATCH_WAIT_MS: f64 = 20_000.0;
/// In a large fleet, waits grow with the number of dispatchers, so that the watches of all dispatchers start
/// one call for every `WAITS_PER_POLL` calls that discovery can process.
const WAITS_PER_POLL: f64 = 3.0;

/// Returns how long a call may wait for changes, in milliseconds.
pub(super) fn watch_wait_ms(settings: &Settings, rng: &mut fastrand::Rng) -> f64 {
    if !settings.must_subscribe {
        return AGENT_WAIT_MS;
    }
    if !settings.is_large_fleet() {
        return WATCH_WAIT_MS;
    }
    let all = f64::from(settings.dispatchers) * millis(Settings::POLL_COST) * WAITS_PER_POLL;
    // Random variation keeps many dispatchers from calling at the same time after a long period without
    // changes.
    all.min(MAX_WATCH_WAIT_MS) * (0.5 + 0.5 * rng.f64())
}

/// Returns the time after the end of its wait at which a call without an answer is considered broken, in
/// milliseconds.
pub(super) fn silence_timeout_ms(settings: &Settings, is_long_poll: bool) -> f64 {
    match (settings.must_subscribe, is_long_poll) {
        (false, _) => AGENT_SILENCE_TIMEOUT_MS,
        (true, true) => SILENCE_TIMEOUT_MS,
        (true, false) if settings.is_large_fleet() => LARGE_FLEET_CALL_TIMEOUT_MS,
        (true, false) => CALL_TIMEOUT_MS,
    }
}
