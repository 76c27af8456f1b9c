//! The routers of one core: one for all endpoints, and one for each partition of them. It owns their wake-ups, and which
//! partitions there are. A job belongs to one router for its whole life.

use rustc_hash::FxHashMap;

use super::partition::{ALL_ENDPOINTS, EndpointSelector, PartitionId};
use crate::routing::{Action, Event, Micros, Router, Settings, WarmState};

/// A router, and when it wants to be woken.
struct ScheduledRouter {
    router: Router,
    wake_at: Option<Micros>,
}

impl ScheduledRouter {
    fn new(settings: Settings, seed: u64) -> ScheduledRouter {
        ScheduledRouter { router: Router::new(settings, seed), wake_at: None }
    }

    /// Hands the router an event and adds what it decides to `actions`, but for its wake-ups, which are kept here.
    ///
    /// Any event wakes the router, which then asks anew for what is left. Guards against jobs that never end: a time that
    /// has passed, kept until the next tick, would hide the later one asked for meanwhile.
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

/// A partition: its endpoints, its router, and the jobs that are kept to it.
struct Partition {
    selector: EndpointSelector,
    scheduled: ScheduledRouter,
    /// Whether new jobs may be kept to it.
    is_wanted: bool,
    open_jobs: usize,
}

impl Partition {
    fn is_unused(&self) -> bool {
        !self.is_wanted && self.open_jobs == 0
    }
}

/// Settings of a partition's router: the list is asked for by the router of all endpoints alone.
fn partition_settings(settings: Settings) -> Settings {
    Settings { must_subscribe: false, ..settings }
}

/// All routers of a core.
pub(super) struct Routers {
    all: ScheduledRouter,
    partitions: FxHashMap<PartitionId, Partition>,
    last_id: PartitionId,
    seed: u64,
}

impl Routers {
    /// A router for all endpoints, and no partition.
    pub(super) fn new(settings: Settings, seed: u64) -> Routers {
        Routers {
            all: ScheduledRouter::new(settings, seed),
            partitions: FxHashMap::default(),
            last_id: ALL_ENDPOINTS,
            seed,
        }
    }

    /// Takes over settings that were read again.
    pub(super) fn reconfigure(&mut self, settings: &Settings) {
        self.all.router.reconfigure(settings.clone());
        for partition in self.partitions.values_mut() {
            partition.scheduled.router.reconfigure(partition_settings(settings.clone()));
        }
    }

    /// Hands an event to the router of a partition, or to that of all endpoints where there is no such partition.
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

    /// The router of a partition, or of all endpoints where there is no such partition.
    pub(super) fn router(&self, partition: PartitionId) -> &Router {
        self.partitions.get(&partition).map_or(&self.all.router, |partition| &partition.scheduled.router)
    }

    /// When the first of them wants to be woken.
    pub(super) fn next_wake(&self) -> Option<Micros> {
        let partitions = self.partitions.values().filter_map(|partition| partition.scheduled.wake_at);
        partitions.chain(self.all.wake_at).min()
    }

    /// Whether the router of all endpoints is to be woken by now.
    pub(super) fn all_is_due(&self, now: Micros) -> bool {
        self.all.wake_at.is_some_and(|at| at <= now)
    }

    /// The partitions whose routers are to be woken by now.
    pub(super) fn due_partitions(&self, now: Micros) -> Vec<PartitionId> {
        let is_due = |partition: &Partition| partition.scheduled.wake_at.is_some_and(|at| at <= now);
        self.partitions.iter().filter(|(_, partition)| is_due(partition)).map(|(id, _)| *id).collect()
    }

    /// The partitions that there are.
    pub(super) fn partition_ids(&self) -> Vec<PartitionId> {
        self.partitions.keys().copied().collect()
    }

    /// How many partitions there are.
    pub(super) fn partition_count(&self) -> usize {
        self.partitions.len()
    }

    /// Which endpoints a partition has.
    pub(super) fn selector(&self, id: PartitionId) -> Option<&EndpointSelector> {
        self.partitions.get(&id).map(|partition| &partition.selector)
    }

    /// Lets no new job be kept to any partition until `want` names it.
    pub(super) fn unwant_all(&mut self) {
        for partition in self.partitions.values_mut() {
            partition.is_wanted = false;
        }
    }

    /// The partition of these endpoints, where there is one; from now on new jobs may be kept to it.
    pub(super) fn want(&mut self, selector: &EndpointSelector) -> Option<PartitionId> {
        let known = self.partitions.iter_mut().find(|(_, partition)| partition.selector == *selector);
        let (id, partition) = known?;
        partition.is_wanted = true;
        Some(*id)
    }

    /// Adds a partition, whose router knows no endpoint yet.
    pub(super) fn add(&mut self, selector: &EndpointSelector, settings: &Settings) -> PartitionId {
        self.last_id += 1;
        let id = self.last_id;
        let settings = partition_settings(settings.clone());
        let scheduled = ScheduledRouter::new(settings, self.seed ^ u64::from(id) << 32);
        let partition = Partition { selector: selector.clone(), scheduled, is_wanted: true, open_jobs: 0 };
        self.partitions.insert(id, partition);
        id
    }

    /// What the routers of all partitions have learned.
    pub(super) fn partition_states(&self) -> Vec<WarmState> {
        self.partitions.values().map(|partition| partition.scheduled.router.warm_state()).collect()
    }

    /// Has a partition's router take over what the router of all endpoints has learned, and then what others have. Guards
    /// against a cold endpoint that gets new slow-start tokens with each change of policy: of those that have sent to the
    /// same endpoints the fewest count.
    pub(super) fn inherit(&mut self, id: PartitionId, now: Micros, others: Vec<WarmState>) {
        let whole = self.all.router.warm_state();
        let Some(partition) = self.partitions.get_mut(&id) else { return };
        for state in [whole].into_iter().chain(others) {
            partition.scheduled.router.restore(now, state);
        }
    }

    /// Has the router of all endpoints take over what another process has learned. False where that cannot be true here.
    pub(super) fn restore(&mut self, now: Micros, state: WarmState) -> bool {
        self.all.router.restore(now, state)
    }

    /// A job is kept to a partition from now on.
    pub(super) fn job_opened(&mut self, id: PartitionId) {
        if let Some(partition) = self.partitions.get_mut(&id) {
            partition.open_jobs += 1;
        }
    }

    /// A job that was kept to a partition is closed. True where that was the last job of a partition that no rule leads to
    /// any more.
    pub(super) fn job_closed(&mut self, id: PartitionId) -> bool {
        let Some(partition) = self.partitions.get_mut(&id) else { return false };
        partition.open_jobs -= 1;
        partition.is_unused()
    }

    /// Drops partitions that no rule leads to and that have no job left. What they have learned, and the tokens that they
    /// have spent, go on in the router of all endpoints.
    pub(super) fn drop_unused(&mut self, now: Micros) {
        for (_, partition) in self.partitions.extract_if(|_, partition| partition.is_unused()) {
            self.all.router.restore(now, partition.scheduled.router.warm_state());
        }
    }
}
