//! The endpoint table: the endpoints that the list has named, under the names that the wire gives them. It alone makes
//! their ids and knows their addresses; the router knows an endpoint by its id.

use rustc_hash::FxHashMap;

/// Most endpoints that are remembered. A line beyond it is counted and told in the log.
pub use crate::routing::MAX_ENDPOINTS;
use crate::routing::{Endpoint, EndpointId, EndpointStatus};

/// An endpoint as a frontend reads it from the list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where its frontend finds it; the core only keeps it.
    pub address: String,
    /// What the router is told of it; its id is filled in by the table.
    pub endpoint: Endpoint,
}

/// How much of the list some lines are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All of it: an endpoint that they do not name is gone.
    Complete,
    /// What has changed since the last one.
    Changes,
}

/// The endpoint table.
#[derive(Default)]
pub struct EndpointTable {
    ids: FxHashMap<String, EndpointId>,
    endpoints: FxHashMap<EndpointId, ListedEndpoint>,
    /// Lines that there was no room for, since the start.
    dropped_lines: u64,
}

impl EndpointTable {
    /// Takes lines of the list in, and gives them as the router reads them.
    pub fn apply(&mut self, lines: Vec<ListedEndpoint>, scope: ListScope) -> Vec<Endpoint> {
        if scope == ListScope::Complete {
            for known in self.endpoints.values_mut() {
                known.endpoint.status = EndpointStatus::Gone;
            }
        }
        let mut applied = Vec::with_capacity(lines.len());
        for mut line in lines {
            let Some(id) = self.id_or_insert(&line.name) else {
                self.dropped_lines += 1;
                continue;
            };
            line.endpoint.id = id;
            applied.push(line.endpoint);
            self.endpoints.insert(id, line);
        }
        applied
    }

    /// The id of a name, a new one where it is not known; none where there is no room for another endpoint.
    fn id_or_insert(&mut self, name: &str) -> Option<EndpointId> {
        if let Some(id) = self.id(name) {
            return Some(id);
        }
        if self.ids.len() >= MAX_ENDPOINTS && !self.remove_one_gone() {
            return None;
        }
        let mut id = EndpointId(fnv1a(name));
        while self.endpoints.contains_key(&id) {
            id = EndpointId(id.0.wrapping_add(1));
        }
        self.ids.insert(name.to_string(), id);
        Some(id)
    }

    /// Makes room by forgetting an endpoint that is gone. False where there is none.
    fn remove_one_gone(&mut self) -> bool {
        let gone = self.endpoints.iter().find(|(_, known)| known.endpoint.status == EndpointStatus::Gone);
        let Some((&id, _)) = gone else { return false };
        if let Some(removed) = self.endpoints.remove(&id) {
            self.ids.remove(&removed.name);
        }
        true
    }

    /// Lines that there was no room for, since the start.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_lines
    }

    /// An endpoint by its id.
    pub fn get(&self, id: EndpointId) -> Option<&ListedEndpoint> {
        self.endpoints.get(&id)
    }

    /// An endpoint's id by its name.
    pub fn id(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// All endpoints that are not gone, in the order of their names.
    pub fn listed(&self) -> Vec<&ListedEndpoint> {
        let is_present = |known: &&ListedEndpoint| known.endpoint.status != EndpointStatus::Gone;
        let mut listed: Vec<&ListedEndpoint> = self.endpoints.values().filter(is_present).collect();
        listed.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        listed
    }
}

/// The FNV-1a hash of a name: every dispatcher makes the same id of it, so that the fixed order of endpoints is the same at
/// all of them.
fn fnv1a(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
