//! Counters of jobs, attempts and list updates. Operators read them by these names.

use std::fmt;

/// Counts since the start. `taken` is the sum of all answers, of `left` and of the jobs that are still open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received.
    pub taken: u64,
    /// Jobs rejected before the router saw them: the job limit was reached, the deadline had passed, no zone
    /// had capacity, or the program was stopping.
    pub turned_away: u64,
    /// Jobs answered with an endpoint's result.
    pub served: u64,
    /// Jobs rejected by the router.
    pub denied: u64,
    /// Jobs answered as failed.
    pub failed: u64,
    /// Jobs whose client disconnected before an answer.
    pub left: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts cancelled.
    pub cancelled: u64,
    /// Attempts that ended without having run.
    pub never_ran: u64,
    /// Attempts that were not served and may have run.
    pub may_have_run: u64,
    /// Reports on attempts that had already ended.
    pub stray: u64,
    /// Probes sent.
    pub probes: u64,
    /// Lists and list updates read.
    pub lists: u64,
    /// Calls to discovery that failed.
    pub list_failures: u64,
    /// Entries of lists dropped because the endpoint table was full.
    pub lines_dropped: u64,
    /// Attempts sent while the list was unconfirmed.
    pub sent_unconfirmed: u64,
    /// Jobs that arrived while the list was too old to send attempts.
    pub withheld: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("taken", self.taken),
            ("turned_away", self.turned_away),
            ("served", self.served),
            ("denied", self.denied),
            ("failed", self.failed),
            ("left", self.left),
            ("sent", self.sent),
            ("cancelled", self.cancelled),
            ("never_ran", self.never_ran),
            ("may_have_run", self.may_have_run),
            ("stray", self.stray),
            ("probes", self.probes),
            ("lists", self.lists),
            ("list_failures", self.list_failures),
            ("lines_dropped", self.lines_dropped),
            ("sent_unconfirmed", self.sent_unconfirmed),
            ("withheld", self.withheld),
        ];
        for (name, count) in rows {
            writeln!(f, "{name} {count}")?;
        }
        Ok(())
    }
}
