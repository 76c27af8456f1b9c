//! Which endpoints a partition has. A partition is a part of the endpoints that the policy keeps some requests to.

use super::endpoint_table::{EndpointTable, ListedEndpoint};
use crate::routing::{Endpoint, EndpointStatus};

/// A partition's number; 0 stands for all endpoints.
pub type PartitionId = u32;

/// The number that stands for all endpoints.
pub const ALL_ENDPOINTS: PartitionId = 0;

/// Which endpoints a partition has: those that pass each test that is given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointSelector {
    /// Kinds, by the site's order.
    pub kinds: Option<Vec<u16>>,
    /// Zones, by the site's order.
    pub zones: Option<Vec<u16>>,
    /// Cells.
    pub cells: Option<Vec<u32>>,
    /// What their names begin with.
    pub prefixes: Option<Vec<String>>,
}

impl EndpointSelector {
    /// Whether an endpoint belongs to the partition.
    pub fn matches(&self, line: &ListedEndpoint) -> bool {
        let ListedEndpoint { name, endpoint, .. } = line;
        self.kinds.as_ref().is_none_or(|kinds| kinds.contains(&endpoint.kind))
            && self.zones.as_ref().is_none_or(|zones| zones.contains(&endpoint.zone))
            && self.cells.as_ref().is_none_or(|cells| cells.contains(&endpoint.cell))
            && self.prefixes.as_ref().is_none_or(|prefixes| prefixes.iter().any(|p| name.starts_with(p)))
    }

    /// Those of some endpoints that belong to the partition.
    pub(super) fn select(&self, table: &EndpointTable, endpoints: &[Endpoint]) -> Vec<Endpoint> {
        let belongs = |endpoint: &&Endpoint| table.get(endpoint.id).is_some_and(|line| self.matches(line));
        endpoints.iter().filter(belongs).copied().collect()
    }

    /// Whether any listed endpoint that takes work belongs to the partition.
    pub(super) fn has_ready_endpoint(&self, table: &EndpointTable) -> bool {
        let mut listed = table.listed().into_iter();
        listed.any(|line| line.endpoint.status == EndpointStatus::Ready && self.matches(line))
    }
}
