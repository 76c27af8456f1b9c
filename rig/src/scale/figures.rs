//! The last line of a scale test.

use crate::RigError;

/// What a run came to. Rates are a second of the set clock; those of bytes and frames add both directions, with 28 bytes
/// of headers a datagram.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Dispatchers.
    pub members: usize,
    /// Lines of the list.
    pub workers: usize,
    /// Mean bytes of a member that does not vote.
    pub member_bytes_s: f64,
    /// Bytes of the busiest dispatcher.
    pub busiest_bytes_s: f64,
    /// Its datagrams.
    pub busiest_frames_s: f64,
    /// Processor time of the dispatcher that used most.
    pub busiest_cpu_ms_s: f64,
    /// Mean processor time of a member that does not vote.
    pub member_cpu_ms_s: f64,
    /// Resident memory that a dispatcher adds, in KiB, without list and module.
    pub state_kb: u64,
    /// Changes that came in force.
    pub changes: usize,
    /// From the wish to the last that serves under it: median.
    pub change_ms_p50: f64,
    /// The worst.
    pub change_ms_worst: f64,
    /// Lines of the list that a table did not take.
    pub dropped_workers: u64,
    /// Fronts that could serve what was not in force.
    pub half_applied: u64,
    /// Fronts that could serve an older version after a newer was served.
    pub old_after_new: u64,
    /// Mean bytes of a voter that does not lead.
    pub voter_bytes_s: f64,
    /// Times that another voter began to lead.
    pub leader_changes: u64,
    /// Dispatchers that had to stop serving, though they ran and were not cut off.
    pub lapsed: usize,
    /// The longest hold of what comes in.
    pub pause_ms_worst: f64,
    /// Versions that were given up.
    pub given_up: usize,
    /// Changes that did not come in force.
    pub unfinished: usize,
    /// Frames that came late and were dropped for it.
    pub stale: u64,
}

impl Figures {
    /// The last line of the experiment.
    pub fn line(&self) -> String {
        format!(
            "members={} workers={} member_bytes_s={:.0} busiest_bytes_s={:.0} busiest_frames_s={:.0} \
             busiest_cpu_ms_s={:.2} member_cpu_ms_s={:.2} state_kb={} changes={} change_ms_p50={:.0} \
             change_ms_worst={:.0} dropped_workers={} half_applied={} old_after_new={} voter_bytes_s={:.0} \
             leader_changes={} lapsed={} pause_ms_worst={:.0} given_up={} unfinished={} stale={}",
            self.members,
            self.workers,
            self.member_bytes_s,
            self.busiest_bytes_s,
            self.busiest_frames_s,
            self.busiest_cpu_ms_s,
            self.member_cpu_ms_s,
            self.state_kb,
            self.changes,
            self.change_ms_p50,
            self.change_ms_worst,
            self.dropped_workers,
            self.half_applied,
            self.old_after_new,
            self.voter_bytes_s,
            self.leader_changes,
            self.lapsed,
            self.pause_ms_worst,
            self.given_up,
            self.unfinished,
            self.stale,
        )
    }

    /// Whether the proof holds.
    ///
    /// # Errors
    /// Where a figure disproves what the experiment is to show.
    pub fn verify(&self) -> Result<(), RigError> {
        let zeros = [
            ("dropped_workers", self.dropped_workers),
            ("half_applied", self.half_applied),
            ("old_after_new", self.old_after_new),
        ];
        match zeros.iter().find(|zero| zero.1 > 0) {
            Some((name, count)) => Err(RigError::CheckFailed(format!("{name} is {count}"))),
            None => Ok(()),
        }
    }
}
