//! Partitions: subsets of the endpoints to which a policy restricts some requests.

use super::endpoint_table::{EndpointTable, ListedEndpoint};
use crate::routing::{Endpoint, EndpointStatus};

/// Id of a partition; 0 stands for all endpoints.
pub type PartitionId = u32;

/// Id that stands for all endpoints.
pub const ALL_ENDPOINTS: PartitionId = 0;

/// Selects the endpoints of a partition: those that match every condition that is set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointSelector {
    /// Accepted kinds, by index in the settings.
    pub kinds: Option<Vec<u16>>,
    /// Accepted zones, by index in the settings.
    pub zones: Option<Vec<u16>>,
    /// Accepted cells.
    pub cells: Option<Vec<u32>>,
    /// Accepted prefixes of endpoint names.
    pub prefixes: Option<Vec<String>>,
}

impl EndpointSelector {
    /// Whether an endpoint matches the selector.
    pub fn matches(&self, entry: &ListedEndpoint) -> bool {
        let ListedEndpoint { name, endpoint, .. } = entry;
        self.kinds.as_ref().is_none_or(|kinds| kinds.contains(&endpoint.kind))
            && self.zones.as_ref().is_none_or(|zones| zones.contains(&endpoint.zone))
            && self.cells.as_ref().is_none_or(|cells| cells.contains(&endpoint.cell))
            && self.prefixes.as_ref().is_none_or(|prefixes| prefixes.iter().any(|p| name.starts_with(p)))
    }

    /// Returns the endpoints that match the selector.
    pub(super) fn select(&self, table: &EndpointTable, endpoints: &[Endpoint]) -> Vec<Endpoint> {
        let belongs = |endpoint: &&Endpoint| table.get(endpoint.id).is_some_and(|entry| self.matches(entry));
        endpoints.iter().filter(belongs).copied().collect()
    }

    /// Whether any listed endpoint that accepts work matches the selector.
    pub(super) fn has_ready_endpoint(&self, table: &EndpointTable) -> bool {
        let mut listed = table.listed().into_iter();
        listed.any(|entry| entry.endpoint.status == EndpointStatus::Ready && self.matches(entry))
    }
}
