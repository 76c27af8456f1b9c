//! The pace of one peer: how many bytes it moves while it is waited for. Times are in milliseconds of the caller's clock.

/// The least that a peer must do while it is waited for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Bytes a second that it must move; 0: any.
    pub min_bytes_per_s: f64,
    /// Time of waiting over which the bytes are measured, in milliseconds.
    pub window_ms: f64,
    /// Longest wait without a byte, in milliseconds.
    pub max_silence_ms: f64,
}

/// Why a peer is given up for its pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceFailure {
    /// It moved fewer bytes than the least pace asks.
    Slow,
    /// It moved no byte for too long.
    Silent,
}

/// Measures a peer. Only the time in which it is waited for counts: a client cannot be slow while its server gives
/// nothing, nor a server while its client takes nothing.
#[derive(Clone, Debug)]
pub struct Meter {
    pace: Pace,
    /// Since when it has been waited for.
    waiting_since: Option<f64>,
    /// When its last byte moved, or the wait for it began.
    last_progress_at: f64,
    /// Time waited in this window before `waiting_since`, and bytes moved in it.
    waited_ms: f64,
    bytes: f64,
}

impl Meter {
    /// A meter of a peer that is not waited for yet.
    pub fn new(pace: Pace) -> Meter {
        Meter { pace, waiting_since: None, last_progress_at: 0.0, waited_ms: 0.0, bytes: 0.0 }
    }

    /// Tells whether the peer is waited for from now on.
    pub fn set_waiting(&mut self, is_waiting: bool, now: f64) {
        match self.waiting_since {
            None if is_waiting => (self.waiting_since, self.last_progress_at) = (Some(now), now),
            Some(since) if !is_waiting => {
                self.waited_ms += now - since;
                self.waiting_since = None;
            }
            _ => {}
        }
    }

    /// The peer moved bytes.
    pub fn on_moved(&mut self, bytes: usize, now: f64) {
        if bytes == 0 {
            return;
        }
        self.last_progress_at = now;
        self.bytes += bytes as f64;
        // Guards against a fast start that buys a long crawl: what is more than asked counts for this window only.
        if self.bytes >= self.required_bytes()
            && self.waited_ms + self.waiting_since.map_or(0.0, |since| now - since) >= self.pace.window_ms
        {
            self.start_window(now);
        }
    }

    fn required_bytes(&self) -> f64 {
        self.pace.min_bytes_per_s * self.pace.window_ms / 1e3
    }

    fn start_window(&mut self, now: f64) {
        (self.waited_ms, self.bytes) = (0.0, 0.0);
        self.waiting_since = self.waiting_since.map(|_| now);
    }

    /// Whether the peer has failed by now. A window that it has kept begins anew.
    pub fn check(&mut self, now: f64) -> Option<PaceFailure> {
        let since = self.waiting_since?;
        if now >= self.last_progress_at + self.pace.max_silence_ms {
            return Some(PaceFailure::Silent);
        }
        if now >= since + self.pace.window_ms - self.waited_ms {
            if self.bytes < self.required_bytes() {
                return Some(PaceFailure::Slow);
            }
            self.start_window(now);
        }
        None
    }

    /// When to check next.
    pub fn next_deadline(&self) -> f64 {
        let Some(since) = self.waiting_since else { return f64::INFINITY };
        (self.last_progress_at + self.pace.max_silence_ms).min(since + self.pace.window_ms - self.waited_ms)
    }
}
