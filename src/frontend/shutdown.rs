//! The times of a stop: until its last call all goes on as before, then what was taken is finished, and at the end peers have
//! a moment to read their last answers.

use crate::core::Core;

/// A kill comes no sooner than the longest deadline of a client, counted as this at most, and `KILL_GRACE_MS` after the
/// signal, in milliseconds.
const MAX_COUNTED_WAIT_MS: f64 = 3000.0;
/// What came within this time after the signal may be left unanswered by a kill, in milliseconds.
const KILL_GRACE_MS: f64 = 700.0;
/// Left for the last answers to go out, and for the signal to come in, in milliseconds.
const MARGIN_MS: f64 = 400.0;
/// How long the program goes on taking requests at most, in milliseconds: clients were seen to send on open connections
/// until 1.1 s after the signal. What comes last has half of the time or more left.
const MAX_SERVING_MS: f64 = 1200.0;
/// How long peers may take to read the last answers once all jobs are over, in milliseconds.
const READ_GRACE_MS: f64 = 300.0;

/// A stop that has begun. Until its last call all goes on as before: another dispatcher of the zone may be away as well, and
/// then nobody else would take the requests. After it connections are closed between requests.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// When nothing new is taken any more, in milliseconds of the clock.
    pub accepts_until_ms: f64,
    /// Since when all jobs are over.
    idle_since_ms: Option<f64>,
}

impl Shutdown {
    /// A stop that begins now.
    pub fn begin(core: &mut Core) -> Shutdown {
        let classes = core.site().client_classes.iter();
        let longest_ms = classes.map(|class| class.max_wait_ms).fold(0.0, f64::max);
        Shutdown::within(core, longest_ms.min(MAX_COUNTED_WAIT_MS) + KILL_GRACE_MS - MARGIN_MS)
    }

    /// A stop that begins now where a kill comes no sooner than `until_kill_ms` after the signal.
    pub fn within(core: &mut Core, until_kill_ms: f64) -> Shutdown {
        let now_ms = core.clock().now();
        core.limit_late_deadlines(now_ms + KILL_GRACE_MS - MARGIN_MS, now_ms + until_kill_ms);
        let accepts_until_ms = now_ms + MAX_SERVING_MS.min(until_kill_ms / 2.0);
        Shutdown { accepts_until_ms, idle_since_ms: None }
    }

    /// Whether the program can end, now that no job is open: all is written, or peers have had their time. Guards against a
    /// stop that never ends since a peer does not read its answers.
    pub fn is_over(&mut self, now_ms: f64, is_written: impl FnOnce() -> bool) -> bool {
        if now_ms < self.accepts_until_ms {
            return false;
        }
        let idle_since_ms = *self.idle_since_ms.get_or_insert(now_ms);
        now_ms >= idle_since_ms + READ_GRACE_MS || is_written()
    }
}
