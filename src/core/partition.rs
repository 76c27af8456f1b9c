//! Pools: parts of the backend servers that some requests are kept to. Each has a decision module of its own, which sees
//! only its servers and chooses among them as over the whole list. Where no policy is set up there is none.

use crate::core::endpoint_table::{EndpointTable, ListedEndpoint};
use crate::routing::Router;
use crate::routing::WarmState;
use crate::routing::{Endpoint, EndpointStatus, Micros, Settings};

/// A pool's number; 0 is the whole list.
pub type PartitionId = u32;

/// Which servers a pool has: those that pass each test that is given.
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
    /// Whether a server is one of them.
    pub fn fits(&self, line: &ListedEndpoint) -> bool {
        let ListedEndpoint { name, endpoint: member, .. } = line;
        self.kinds.as_ref().is_none_or(|kinds| kinds.contains(&member.kind))
            && self.zones.as_ref().is_none_or(|zones| zones.contains(&member.zone))
            && self.cells.as_ref().is_none_or(|cells| cells.contains(&member.cell))
            && self.prefixes.as_ref().is_none_or(|heads| heads.iter().any(|head| name.starts_with(head)))
    }
}

/// A pool.
pub(super) struct PartitionRouter {
    pub(super) selector: EndpointSelector,
    pub(super) module: Router,
    /// When the module is to be woken, on its own clock.
    pub(super) wake_at: Option<Micros>,
    /// New requests may be kept to it.
    pub(super) wanted: bool,
    /// Requests that are.
    pub(super) open: usize,
}

impl PartitionRouter {
    /// A pool whose module knows no servers yet.
    pub(super) fn new(selector: EndpointSelector, settings: Settings, seed: u64) -> PartitionRouter {
        let module = Router::new(quiet(settings), seed);
        PartitionRouter { selector, module, wake_at: None, wanted: true, open: 0 }
    }

    /// Its own of some members.
    pub(super) fn own(&self, table: &EndpointTable, members: &[Endpoint]) -> Vec<Endpoint> {
        let ours = |m: &&Endpoint| table.get(m.id).is_some_and(|server| self.selector.fits(&server.line));
        members.iter().filter(ours).copied().collect()
    }

    /// Takes over what another module has learned. Guards against a cold server that gets a new budget with each
    /// change of policy.
    pub(super) fn recall(&mut self, now: Micros, learned: WarmState) {
        self.module.restore(now, learned);
    }

    /// Takes over settings that were read again.
    pub(super) fn adopt(&mut self, settings: Settings) {
        self.module.reconfigure(quiet(settings));
    }
}

/// A pool's settings: the list is asked for by the module of the whole.
fn quiet(settings: Settings) -> Settings {
    Settings { must_subscribe: false, ..settings }
}

/// Whether any listed server that takes work is one of these.
pub(super) fn has(table: &EndpointTable, selector: &EndpointSelector) -> bool {
    let ready = table.listed();
    ready.iter().any(|s| s.line.endpoint.status == EndpointStatus::Ready && selector.fits(&s.line))
}
