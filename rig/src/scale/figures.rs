//! Result figures of a scale test, and its last line of output.

use crate::RigError;

/// Result figures of a scale test. Rates are per second of the simulated clock. Rates of bytes and frames include both
/// directions, and bytes include 28 bytes of headers per datagram.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// The number of dispatchers.
    pub members: usize,
    /// The number of workers in the list.
    pub workers: usize,
    /// Mean bytes per second of a member that is not a voter.
    pub member_bytes_s: f64,
    /// Bytes per second of the dispatcher with the most.
    pub busiest_bytes_s: f64,
    /// Datagrams per second of the dispatcher with the most.
    pub busiest_frames_s: f64,
    /// Processor time of the dispatcher that used most, in milliseconds per second.
    pub busiest_cpu_ms_s: f64,
    /// Mean processor time of a member that is not a voter, in milliseconds per second.
    pub member_cpu_ms_s: f64,
    /// Resident memory per dispatcher, in KiB, without the list and the routing core.
    pub state_kb: u64,
    /// Policy changes that came into force.
    pub changes: usize,
    /// Time from the proposal of a change until every serving dispatcher runs it: median.
    pub change_ms_p50: f64,
    /// Time from the proposal of a change until every serving dispatcher runs it: maximum.
    pub change_ms_worst: f64,
    /// Workers of the list that the endpoint table dropped.
    pub dropped_workers: u64,
    /// How often a frontend could serve a version that was not in force.
    pub half_applied: u64,
    /// How often a frontend could serve an older version after a newer one was served.
    pub old_after_new: u64,
    /// Mean bytes per second of a voter that is not the leader.
    pub voter_bytes_s: f64,
    /// How often another voter became the leader.
    pub leader_changes: u64,
    /// Dispatchers whose lease lapsed although they were running and not cut off.
    pub lapsed: usize,
    /// Longest time for which a frontend held new requests.
    pub pause_ms_worst: f64,
    /// Policy versions that were abandoned.
    pub given_up: usize,
    /// Policy changes that did not come into force.
    pub unfinished: usize,
    /// Frames that arrived late and were dropped as stale.
    pub stale: u64,
}

impl Figures {
    /// Returns the last line of the experiment's output.
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

    /// Checks that no worker was dropped and that every policy change took effect everywhere or nowhere.
    ///
    /// # Errors
    /// If one of these figures is not 0.
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
