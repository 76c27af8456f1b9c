//! What a call for the list has brought, and how a core is told of it.

use crate::core::{Core, ListScope, ListedEndpoint};
use crate::routing::{CallFailure, EndpointId};

/// What a call has brought.
pub enum DiscoveryUpdate {
    /// The list, or its changes.
    List {
        /// Its lines.
        lines: Vec<ListedEndpoint>,
        /// How much of the list they are.
        scope: ListScope,
    },
    /// It failed. The router says when to call again.
    Failed(CallFailure),
    /// It failed, and is made again without being asked for.
    Retrying(CallFailure),
}

impl DiscoveryUpdate {
    /// Tells a core, and gives the endpoints that were started again, or have moved: their old connections are gone.
    pub fn apply(self, core: &mut Core) -> Vec<EndpointId> {
        let (lines, scope) = match self {
            DiscoveryUpdate::List { lines, scope } => (lines, scope),
            DiscoveryUpdate::Failed(failure) => {
                core.on_list_failed(failure);
                return Vec::new();
            }
            DiscoveryUpdate::Retrying(failure) => {
                core.on_list_call_repeated(failure);
                return Vec::new();
            }
        };
        let renewed = |line: &ListedEndpoint| {
            let id = core.endpoints().id(&line.name)?;
            let old = &core.endpoints().get(id)?;
            ((old.endpoint.started_at, &old.address) != (line.endpoint.started_at, &line.address))
                .then_some(id)
        };
        let renewed = lines.iter().filter_map(renewed).collect();
        core.on_list(lines, scope);
        renewed
    }
}
