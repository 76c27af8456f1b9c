//! Timing of a stop: until `accepts_until_ms` the program serves as before, then it finishes the accepted
//! requests, and finally peers get a short time to read their last answers.

use crate::core::Core;

/// Cap on the longest client deadline, in milliseconds. The process is killed no sooner after the stop signal
/// than this capped deadline plus `KILL_GRACE_MS`.
const MAX_COUNTED_WAIT_MS: f64 = 3000.0;
/// Time from the longest client deadline after the stop signal to the kill, in milliseconds. Requests that
/// arrive later than this after the signal could be left unanswered by the kill, so their deadlines are
/// limited.
const KILL_GRACE_MS: f64 = 700.0;
/// Time reserved for writing the last answers and for the delivery of the signal, in milliseconds.
const MARGIN_MS: f64 = 400.0;
/// How long the program continues to accept requests at most, in milliseconds. Clients were seen to send on
/// open connections until 1.1 s after the signal. The last requests accepted have half of the time until the
/// kill or more left.
const MAX_ACCEPTING_MS: f64 = 1200.0;
/// How long peers may take to read the last answers once all jobs have ended, in milliseconds.
const READ_GRACE_MS: f64 = 300.0;

/// A stop that has begun. New requests are accepted until `accepts_until_ms`, because another dispatcher of
/// the zone may be down as well, and nobody would serve them otherwise. After that, connections are closed
/// between requests.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// When new requests are no longer accepted, in milliseconds of the clock.
    pub accepts_until_ms: f64,
    /// When all jobs had ended, in milliseconds of the clock.
    idle_since_ms: Option<f64>,
}

impl Shutdown {
    /// Begins a stop, with the time until the kill derived from the longest deadline of the site's classes.
    pub fn begin(core: &mut Core) -> Shutdown {
        let classes = core.site().client_classes.iter();
        let longest_ms = classes.map(|class| class.max_wait_ms).fold(0.0, f64::max);
        Shutdown::begin_with_kill_after(core, longest_ms.min(MAX_COUNTED_WAIT_MS) + KILL_GRACE_MS - MARGIN_MS)
    }

    /// Begins a stop in which the kill comes no sooner than `until_kill_ms` after the signal.
    pub fn begin_with_kill_after(core: &mut Core, until_kill_ms: f64) -> Shutdown {
        let now_ms = core.clock().now();
        core.set_shutdown_deadline(now_ms + KILL_GRACE_MS - MARGIN_MS, now_ms + until_kill_ms);
        let accepts_until_ms = now_ms + MAX_ACCEPTING_MS.min(until_kill_ms / 2.0);
        Shutdown { accepts_until_ms, idle_since_ms: None }
    }

    /// Whether the program can exit, given that no job is open: all answers are written, or peers have had
    /// their time. The time limit ensures that a stop ends even if a peer does not read its answers.
    pub fn is_over(&mut self, now_ms: f64, is_written: impl FnOnce() -> bool) -> bool {
        if now_ms < self.accepts_until_ms {
            return false;
        }
        let idle_since_ms = *self.idle_since_ms.get_or_insert(now_ms);
        now_ms >= idle_since_ms + READ_GRACE_MS || is_written()
    }
}
