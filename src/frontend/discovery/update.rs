//! Result of a call for the endpoint list, and its application to a core.

use crate::core::{Core, ListScope, ListedEndpoint};
use crate::routing::{CallFailure, EndpointId};

/// Result of a call for the endpoint list.
pub enum DiscoveryUpdate {
    /// The endpoint list, or changes to it.
    List {
        /// The endpoints in the answer.
        lines: Vec<ListedEndpoint>,
        /// Whether the lines are the complete list or changes.
        scope: ListScope,
    },
    /// The call failed; the router decides when to call again.
    Failed(CallFailure),
    /// The call failed, and is repeated without a request of the router.
    Retrying(CallFailure),
}

impl DiscoveryUpdate {
    /// Applies the update to a core. Returns the endpoints that restarted or moved; connections opened to
    /// them before are no longer valid.
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
        let restarted = |line: &ListedEndpoint| {
            let id = core.endpoints().id(&line.name)?;
            let old = &core.endpoints().get(id)?;
            ((old.endpoint.started_at, &old.address) != (line.endpoint.started_at, &line.address))
                .then_some(id)
        };
        let restarted = lines.iter().filter_map(restarted).collect();
        core.on_list(lines, scope);
        restarted
    }
}
