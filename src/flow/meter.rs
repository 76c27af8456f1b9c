//! The pace of one peer: how many bytes it moves while it is waited for.

/// What is asked of a peer that is waited for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Bytes a second that it must move at the least; 0: any.
    pub least: f64,
    /// The time waited over which that is measured, in milliseconds.
    pub over: f64,
    /// Longest wait without a byte, in milliseconds.
    pub silence: f64,
}

/// How a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It moved fewer bytes than asked.
    Slow,
    /// It moved none for too long.
    Silent,
}

/// Measures a peer. Only the time in which it is waited for counts: a client cannot be slow while its server gives
/// nothing, nor a server while its client takes nothing.
#[derive(Clone, Debug)]
pub struct Meter {
    pace: Pace,
    /// Since when it has been waited for.
    since: Option<f64>,
    /// When its last byte moved, or the wait for it began.
    heard: f64,
    /// Time waited in this window before `since`, and bytes moved in it.
    waited: f64,
    bytes: f64,
}

impl Meter {
    /// A meter of a peer that is not waited for yet.
    pub fn new(pace: Pace) -> Meter {
        Meter { pace, since: None, heard: 0.0, waited: 0.0, bytes: 0.0 }
    }

    /// Whether the peer is waited for from now on.
    pub fn waits(&mut self, waits: bool, now: f64) {
        match self.since {
            None if waits => (self.since, self.heard) = (Some(now), now),
            Some(since) if !waits => {
                self.waited += now - since;
                self.since = None;
            }
            _ => {}
        }
    }

    /// The peer moved bytes.
    pub fn moved(&mut self, bytes: usize, now: f64) {
        if bytes == 0 {
            return;
        }
        self.heard = now;
        self.bytes += bytes as f64;
        // Guards against a fast start that buys a long crawl: what is more than asked counts for this window only.
        if self.bytes >= self.enough()
            && self.waited + self.since.map_or(0.0, |since| now - since) >= self.pace.over
        {
            self.renew(now);
        }
    }

    fn enough(&self) -> f64 {
        self.pace.least * self.pace.over / 1e3
    }

    fn renew(&mut self, now: f64) {
        (self.waited, self.bytes) = (0.0, 0.0);
        self.since = self.since.map(|_| now);
    }

    /// Whether the peer has failed by now. A window that it has kept begins anew.
    pub fn check(&mut self, now: f64) -> Option<Verdict> {
        let since = self.since?;
        if now >= self.heard + self.pace.silence {
            return Some(Verdict::Silent);
        }
        if now >= since + self.pace.over - self.waited {
            if self.bytes < self.enough() {
                return Some(Verdict::Slow);
            }
            self.renew(now);
        }
        None
    }

    /// When to check next.
    pub fn due(&self) -> f64 {
        let Some(since) = self.since else { return f64::INFINITY };
        (self.heard + self.pace.silence).min(since + self.pace.over - self.waited)
    }
}
