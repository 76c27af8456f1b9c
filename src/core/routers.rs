//! The routers of one core: one for all endpoints and one for each partition, with their wake-ups. A job
//! stays with one router for its whole life.

use rustc_hash::FxHashMap;

use super::partition::{ALL_ENDPOINTS, EndpointSelector, PartitionId};
use crate::routing::{Action, Event, Micros, Router, Settings, WarmState};

/// A router and the time at which it wants to be woken.
struct ScheduledRouter {
    router: Router,
    wake_at: Option<Micros>,
}

impl ScheduledRouter {
    fn new(settings: Settings, seed: u64) -> ScheduledRouter {
        ScheduledRouter { router: Router::new(settings, seed), wake_at: None }
    }

    /// Hands an event to the router and adds the router's actions to `actions`, except for wake-ups, which
    /// are kept here.
    ///
    /// Any event wakes the router, which then requests a new wake-up for what is still pending, so a wake-up
    /// that is due is cleared first. If it were kept until the next tick, it would hide the later one that
    /// the router requests meanwhile, and jobs that depend on that one would never end.
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        self.wake_at = self.wake_at.filter(|&at| at > now);
        self.router.handle(now, event, actions);
        let wake_at = &mut self.wake_at;
        actions.retain(|action| {
            let Action::WakeAt(at) = *action else { return true };
            *wake_at = Some(wake_at.map_or(at, |earlier| earlier.min(at)));
            false
        });
    }
}

/// A partition: its selector, its router and the number of jobs restricted to it.
struct Partition {
    selector: EndpointSelector,
    scheduled: ScheduledRouter,
    /// Whether new jobs may be assigned to the partition.
    accepts_jobs: bool,
    open_jobs: usize,
}

impl Partition {
    fn is_unused(&self) -> bool {
        !self.accepts_jobs && self.open_jobs == 0
    }
}

/// Returns the settings for the router of a partition: only the router for all endpoints subscribes to the
/// list.
fn partition_settings(settings: Settings) -> Settings {
    Settings { must_subscribe: false, ..settings }
}

/// All routers of a core, by partition.
pub(super) struct Routers {
    all: ScheduledRouter,
    partitions: FxHashMap<PartitionId, Partition>,
    last_id: PartitionId,
    seed: u64,
}

impl Routers {
    /// Returns a router for all endpoints, without any partition.
    pub(super) fn new(settings: Settings, seed: u64) -> Routers {
        Routers {
            all: ScheduledRouter::new(settings, seed),
            partitions: FxHashMap::default(),
            last_id: ALL_ENDPOINTS,
            seed,
        }
    }

    /// Applies reloaded settings to all routers.
    pub(super) fn reconfigure(&mut self, settings: &Settings) {
        self.all.router.reconfigure(settings.clone());
        for partition in self.partitions.values_mut() {
            partition.scheduled.router.reconfigure(partition_settings(settings.clone()));
        }
    }

    /// Hands an event to the router of a partition, or to the router for all endpoints if the partition does
    /// not exist.
    pub(super) fn handle(
        &mut self,
        partition: PartitionId,
        now: Micros,
        event: Event<'_>,
        actions: &mut Vec<Action>,
    ) {
        let scheduled = match self.partitions.get_mut(&partition) {
            Some(partition) => &mut partition.scheduled,
            None => &mut self.all,
        };
        scheduled.handle(now, event, actions);
    }

    /// Returns the router of a partition, or the router for all endpoints if the partition does not exist.
    pub(super) fn router(&self, partition: PartitionId) -> &Router {
        self.partitions.get(&partition).map_or(&self.all.router, |partition| &partition.scheduled.router)
    }

    /// Returns the earliest time at which a router wants to be woken.
    pub(super) fn next_wake(&self) -> Option<Micros> {
        let partitions = self.partitions.values().filter_map(|partition| partition.scheduled.wake_at);
        partitions.chain(self.all.wake_at).min()
    }

    /// Whether the router for all endpoints is due to be woken.
    pub(super) fn all_is_due(&self, now: Micros) -> bool {
        self.all.wake_at.is_some_and(|at| at <= now)
    }

    /// Returns the partitions whose routers are due to be woken.
    pub(super) fn due_partitions(&self, now: Micros) -> Vec<PartitionId> {
        let is_due = |partition: &Partition| partition.scheduled.wake_at.is_some_and(|at| at <= now);
        self.partitions.iter().filter(|(_, partition)| is_due(partition)).map(|(id, _)| *id).collect()
    }

    /// Returns the ids of all partitions.
    pub(super) fn partition_ids(&self) -> Vec<PartitionId> {
        self.partitions.keys().copied().collect()
    }

    /// Returns the number of partitions.
    pub(super) fn partition_count(&self) -> usize {
        self.partitions.len()
    }

    /// Returns the selector of a partition.
    pub(super) fn selector(&self, id: PartitionId) -> Option<&EndpointSelector> {
        self.partitions.get(&id).map(|partition| &partition.selector)
    }

    /// Stops all partitions from accepting new jobs, until `reuse` is called for them.
    pub(super) fn retire_all(&mut self) {
        for partition in self.partitions.values_mut() {
            partition.accepts_jobs = false;
        }
    }

    /// Returns the partition with this selector, if it exists, and lets it accept new jobs.
    pub(super) fn reuse(&mut self, selector: &EndpointSelector) -> Option<PartitionId> {
        let known = self.partitions.iter_mut().find(|(_, partition)| partition.selector == *selector);
        let (id, partition) = known?;
        partition.accepts_jobs = true;
        Some(*id)
    }

    /// Adds a partition. Its router does not know any endpoint yet.
    pub(super) fn add(&mut self, selector: &EndpointSelector, settings: &Settings) -> PartitionId {
        self.last_id += 1;
        let id = self.last_id;
        let settings = partition_settings(settings.clone());
        let scheduled = ScheduledRouter::new(settings, self.seed ^ u64::from(id) << 32);
        let partition = Partition { selector: selector.clone(), scheduled, accepts_jobs: true, open_jobs: 0 };
        self.partitions.insert(id, partition);
        id
    }

    /// Returns the learned state of the routers of all partitions.
    pub(super) fn partition_states(&self) -> Vec<WarmState> {
        self.partitions.values().map(|partition| partition.scheduled.router.warm_state()).collect()
    }

    /// Initializes the router of a partition with the learned state of the router for all endpoints and then
    /// with `others`. Restoring keeps the lowest count of slow-start tokens for an endpoint, so that a cold
    /// endpoint does not get new tokens with each change of policy.
    pub(super) fn inherit(&mut self, id: PartitionId, now: Micros, others: Vec<WarmState>) {
        let all_endpoints_state = self.all.router.warm_state();
        let Some(partition) = self.partitions.get_mut(&id) else { return };
        for state in [all_endpoints_state].into_iter().chain(others) {
            partition.scheduled.router.restore(now, state);
        }
    }

    /// Restores the state that another process has learned into the router for all endpoints. Returns false
    /// if the state is implausible here.
    pub(super) fn restore(&mut self, now: Micros, state: WarmState) -> bool {
        self.all.router.restore(now, state)
    }

    /// Counts a new job of a partition.
    pub(super) fn job_opened(&mut self, id: PartitionId) {
        if let Some(partition) = self.partitions.get_mut(&id) {
            partition.open_jobs += 1;
        }
    }

    /// Counts the end of a job of a partition. Returns true if that was the last job of a partition that no
    /// rule refers to any more.
    pub(super) fn job_closed(&mut self, id: PartitionId) -> bool {
        let Some(partition) = self.partitions.get_mut(&id) else { return false };
        partition.open_jobs -= 1;
        partition.is_unused()
    }

    /// Removes partitions that no rule refers to and that have no open jobs. What they have learned, and the
    /// slow-start tokens that they have spent, are merged into the router for all endpoints.
    pub(super) fn drop_unused(&mut self, now: Micros) {
        for (_, partition) in self.partitions.extract_if(|_, partition| partition.is_unused()) {
            self.all.router.restore(now, partition.scheduled.router.warm_state());
        }
    }
}
