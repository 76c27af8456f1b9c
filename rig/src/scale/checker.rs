//! Checks which policy versions the frontends of simulated dispatchers may serve: a policy change must take effect on all
//! dispatchers or on none.

use std::collections::BTreeSet;

/// State of a dispatcher's frontend, as far as the policy rollout controls it.
#[derive(Clone, Debug, Default)]
pub(super) struct FrontState {
    /// The policy version in force at this frontend.
    pub(super) version: u64,
    /// When it began to hold new requests; `None` while it serves.
    pub(super) paused_since: Option<f64>,
    /// End of the lease until which it may serve.
    pub(super) until: f64,
    /// Whether it has ever had a lease.
    pub(super) served: bool,
    /// Whether it stops at the end of its lease, as every real frontend does.
    pub(super) keeps_lease: bool,
}

impl FrontState {
    /// Creates the frontend of a process that has just started.
    pub(super) fn new(keeps_lease: bool) -> FrontState {
        FrontState { keeps_lease, ..FrontState::default() }
    }

    /// Whether a request that arrives now is served at once.
    pub(super) fn may_serve(&self, now: f64) -> bool {
        let leased = now < self.until || self.served && !self.keeps_lease;
        leased && self.paused_since.is_none()
    }
}

/// Compares what frontends serve with what was decided.
#[derive(Default)]
pub(super) struct Checker {
    newest_version: u64,
    in_force: BTreeSet<u64>,
    given_up: BTreeSet<u64>,
    /// How often a frontend could serve a version that was not in force.
    pub(super) half_applied: u64,
    /// How often a frontend could serve an older version than one that was already served.
    pub(super) old_after_new: u64,
}

impl Checker {
    /// Records a decision: the version in force, and the version that was abandoned, if any.
    pub(super) fn on_decision(&mut self, in_force: u64, given_up: Option<u64>) {
        self.in_force.insert(in_force);
        self.given_up.extend(given_up);
    }

    /// Checks a frontend that may serve now against the decisions and against `all` running frontends.
    pub(super) fn on_serving<'a>(
        &mut self,
        now: f64,
        front: &FrontState,
        all: impl Iterator<Item = &'a FrontState>,
    ) {
        let undecided = front.version > 0 && !self.in_force.contains(&front.version);
        self.half_applied += u64::from(undecided || self.given_up.contains(&front.version));
        self.old_after_new += u64::from(front.version < self.newest_version);
        if front.version > self.newest_version {
            self.newest_version = front.version;
            // Every frontend that still serves an older version may serve a request after this one does.
            let may_serve_older = |other: &&FrontState| other.version < front.version && other.may_serve(now);
            self.old_after_new += all.filter(may_serve_older).count() as u64;
        }
    }

    /// Returns the number of abandoned versions.
    pub(super) fn given_up(&self) -> usize {
        self.given_up.len()
    }

    /// Whether a version was abandoned.
    pub(super) fn was_given_up(&self, version: u64) -> bool {
        self.given_up.contains(&version)
    }
}
