//! The partitions of a core: which there are follows the policy in force.

use super::Core;
use super::clock::micros;
use super::partition::{EndpointSelector, PartitionId};
use crate::routing::Event;

impl Core {
    /// Partitions of these endpoints, in order, and no others from now on: those that are not among them end with their
    /// last jobs. A new one starts with what the other routers have learned.
    pub fn set_partitions<'a>(
        &mut self,
        selectors: impl IntoIterator<Item = &'a EndpointSelector>,
    ) -> Vec<PartitionId> {
        self.routers.unwant_all();
        let ids = selectors.into_iter().map(|selector| self.partition(selector)).collect();
        self.routers.drop_unused(micros(self.clock.now()));
        ids
    }

    fn partition(&mut self, selector: &EndpointSelector) -> PartitionId {
        if let Some(id) = self.routers.want(selector) {
            return id;
        }
        let others = self.routers.partition_states();
        let id = self.routers.add(selector, &self.site.settings);
        let selected = selector.select(&self.endpoints, &self.scaled_endpoints());
        self.drive(id, Event::AttemptsAllowed(self.attempts_allowed));
        self.drive(id, Event::List(&selected));
        self.routers.inherit(id, micros(self.clock.now()), others);
        id
    }

    /// How many partitions there are.
    pub fn partition_count(&self) -> usize {
        self.routers.partition_count()
    }

    /// Whether a listed endpoint that takes work belongs to these.
    pub fn has_ready_endpoint(&self, selector: &EndpointSelector) -> bool {
        selector.has_ready_endpoint(&self.endpoints)
    }
}
