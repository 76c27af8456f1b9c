//! Keeps the partitions of a core in line with the policy in force.

use super::Core;
use super::clock::micros;
use super::partition::{EndpointSelector, PartitionId};
use crate::routing::Event;

impl Core {
    /// Makes `selectors` the set of partitions and returns their ids in the same order. Partitions that are
    /// not among them accept no new jobs and are removed with their last job. A new partition starts with the
    /// state that the other routers have learned.
    pub fn set_partitions<'a>(
        &mut self,
        selectors: impl IntoIterator<Item = &'a EndpointSelector>,
    ) -> Vec<PartitionId> {
        self.routers.retire_all();
        let ids = selectors.into_iter().map(|selector| self.partition_for(selector)).collect();
        self.routers.drop_unused(micros(self.clock.now()));
        ids
    }

    fn partition_for(&mut self, selector: &EndpointSelector) -> PartitionId {
        if let Some(id) = self.routers.reuse(selector) {
            return id;
        }
        let others = self.routers.partition_states();
        let id = self.routers.add(selector, &self.site.settings);
        let selected = selector.select(&self.endpoints, &self.scaled_endpoints());
        self.process_event(id, Event::AttemptsAllowed(self.attempts_allowed));
        self.process_event(id, Event::List(&selected));
        self.routers.inherit(id, micros(self.clock.now()), others);
        id
    }

    /// Returns the number of partitions.
    pub fn partition_count(&self) -> usize {
        self.routers.partition_count()
    }

    /// Whether the selector matches a listed endpoint that accepts work.
    pub fn has_ready_endpoint(&self, selector: &EndpointSelector) -> bool {
        selector.has_ready_endpoint(&self.endpoints)
    }
}
