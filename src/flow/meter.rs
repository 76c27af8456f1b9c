//! Measures the pace of one peer: how many bytes it transfers while the relay waits for it. Times are in
//! milliseconds of the caller's clock.

/// The minimum pace that a peer must keep while the relay waits for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Minimum bytes per second; 0 means no minimum.
    pub min_bytes_per_s: f64,
    /// Waiting time over which the bytes are measured, in milliseconds.
    pub window_ms: f64,
    /// Longest wait without any byte, in milliseconds.
    pub max_silence_ms: f64,
}

/// How a peer failed to keep its pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceFailure {
    /// The peer transferred fewer bytes than the minimum pace requires.
    Slow,
    /// The peer transferred no byte for too long.
    Silent,
}

/// Measures the pace of a peer. Only the time spent waiting for this peer counts: a client is not slow while
/// its server sends nothing, nor a server while its client reads nothing.
#[derive(Clone, Debug)]
pub struct PaceMeter {
    pace: Pace,
    /// When the current wait for the peer began.
    waiting_since: Option<f64>,
    /// When the peer last transferred a byte, or when the current wait began.
    last_progress_at: f64,
    /// Time waited in the current window before `waiting_since`; `bytes` counts the bytes of that window.
    waited_ms: f64,
    bytes: f64,
}

impl PaceMeter {
    /// Creates a meter for a peer that is not being waited for.
    pub fn new(pace: Pace) -> PaceMeter {
        PaceMeter { pace, waiting_since: None, last_progress_at: 0.0, waited_ms: 0.0, bytes: 0.0 }
    }

    /// Sets whether the relay waits for the peer from now on.
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

    /// Records bytes that the peer transferred.
    pub fn record_bytes(&mut self, bytes: usize, now: f64) {
        if bytes == 0 {
            return;
        }
        self.last_progress_at = now;
        self.bytes += bytes as f64;
        // Start a new window once this one is complete, so that bytes above the minimum count only for the
        // window in which they were transferred. Otherwise a fast start would make up for a long slow rest.
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

    /// Returns how the peer has failed by now, if it has. Starts a new window if the peer has kept the pace
    /// in the last one.
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

    /// Returns when to call `check` next.
    pub fn next_deadline(&self) -> f64 {
        let Some(since) = self.waiting_since else { return f64::INFINITY };
        (self.last_progress_at + self.pace.max_silence_ms).min(since + self.pace.window_ms - self.waited_ms)
    }
}
