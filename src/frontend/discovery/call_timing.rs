//! How long calls for the list wait for news, and how long their answers are waited for.

use crate::core::millis;
use crate::routing::Settings;

/// How long a call waits for news, in milliseconds: silence on it is noticed, and made good, before what it missed counts as
/// told 6 s after it fell silent and is to be followed 2 s later.
const WATCH_WAIT_MS: f64 = 5_000.0;
/// How long a call that need not wait may take, in milliseconds: discovery works through calls in turn.
const CALL_TIMEOUT_MS: f64 = 2_500.0;
/// The same where dispatchers are many: a call that is given up takes discovery's time all the same.
const LARGE_FLEET_CALL_TIMEOUT_MS: f64 = 3_500.0;
/// A watch that has not answered this long after its wait was over has fallen silent, in milliseconds. What it missed counts
/// as told 2 s after that wait and is to be followed 2 s later: by then the call that follows has had its time as well.
const SILENCE_TIMEOUT_MS: f64 = 1_000.0;
/// How long a call waits for news where an agent on this machine pushes lists, in milliseconds: it answers at once and at no
/// cost. While discovery is down it is silent, and what it is told at the return counts as told at that moment.
const AGENT_WAIT_MS: f64 = 1_000.0;
/// After this time beyond its wait a call to an agent has fallen silent, in milliseconds.
const AGENT_SILENCE_TIMEOUT_MS: f64 = 500.0;
/// Longest wait of a watch where dispatchers are many, in milliseconds: a watch that falls silent is missed until its wait is
/// over. Discovery gets through the calls of all dispatchers in about 8 s, however many they are; so a third of its time is
/// taken at the most.
const MAX_WATCH_WAIT_MS: f64 = 20_000.0;
/// Where dispatchers are many, waits grow with their number, so that all of them together begin one in so many of the calls
/// that discovery gets through.
const WAITS_PER_POLL: f64 = 3.0;

/// How long a call may wait for news, in milliseconds.
pub(super) fn watch_wait_ms(settings: &Settings, rng: &mut fastrand::Rng) -> f64 {
    if !settings.must_subscribe {
        return AGENT_WAIT_MS;
    }
    if !settings.is_large_fleet() {
        return WATCH_WAIT_MS;
    }
    let all = f64::from(settings.dispatchers) * millis(Settings::POLL_COST) * WAITS_PER_POLL;
    // Guards against many dispatchers that come back at one time as nothing has changed for long.
    all.min(MAX_WATCH_WAIT_MS) * (0.5 + 0.5 * rng.f64())
}

/// How long after its wait a call has fallen silent, in milliseconds.
pub(super) fn silence_timeout_ms(settings: &Settings, is_long_poll: bool) -> f64 {
    match (settings.must_subscribe, is_long_poll) {
        (false, _) => AGENT_SILENCE_TIMEOUT_MS,
        (true, true) => SILENCE_TIMEOUT_MS,
        (true, false) if settings.is_large_fleet() => LARGE_FLEET_CALL_TIMEOUT_MS,
        (true, false) => CALL_TIMEOUT_MS,
    }
}
