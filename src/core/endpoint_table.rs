//! The endpoint table: the endpoints that the endpoint list has named. It assigns the endpoints' ids and
//! holds their names and addresses; the router knows an endpoint only by its id.

use rustc_hash::FxHashMap;

/// Largest number of endpoints that the table holds. Further entries of the list are counted and logged.
pub use crate::routing::MAX_ENDPOINTS;
use crate::routing::{Endpoint, EndpointId, EndpointStatus};

/// An entry of the endpoint list as a frontend reads it.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// Name of the endpoint, stable across its restarts.
    pub name: String,
    /// Address of the endpoint. The core stores it for the frontend and does not interpret it.
    pub address: String,
    /// The endpoint as passed to the router; the table fills in the id.
    pub endpoint: Endpoint,
}

/// Whether entries are the complete list or an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The complete list: an endpoint that is not in it is gone.
    Complete,
    /// The entries that have changed since the last list or update.
    Changes,
}

/// Endpoints by id and by name.
#[derive(Default)]
pub struct EndpointTable {
    ids: FxHashMap<String, EndpointId>,
    endpoints: FxHashMap<EndpointId, ListedEndpoint>,
    /// Number of entries dropped since the start because the table was full.
    dropped_entries: u64,
}

impl EndpointTable {
    /// Applies entries of the list and returns them as endpoints for the router.
    pub fn apply(&mut self, entries: Vec<ListedEndpoint>, scope: ListScope) -> Vec<Endpoint> {
        if scope == ListScope::Complete {
            for known in self.endpoints.values_mut() {
                known.endpoint.status = EndpointStatus::Gone;
            }
        }
        let mut applied = Vec::with_capacity(entries.len());
        for mut entry in entries {
            let Some(id) = self.id_or_insert(&entry.name) else {
                self.dropped_entries += 1;
                continue;
            };
            entry.endpoint.id = id;
            applied.push(entry.endpoint);
            self.endpoints.insert(id, entry);
        }
        applied
    }

    /// Returns the id of a name and assigns one if the name is new. Returns `None` if the table is full.
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

    /// Removes one endpoint that is gone, to make room. Returns false if there is none.
    fn remove_one_gone(&mut self) -> bool {
        let gone = self.endpoints.iter().find(|(_, known)| known.endpoint.status == EndpointStatus::Gone);
        let Some((&id, _)) = gone else { return false };
        if let Some(removed) = self.endpoints.remove(&id) {
            self.ids.remove(&removed.name);
        }
        true
    }

    /// Returns the number of entries dropped since the start because the table was full.
    pub fn dropped_entries(&self) -> u64 {
        self.dropped_entries
    }

    /// Returns an endpoint by its id.
    pub fn get(&self, id: EndpointId) -> Option<&ListedEndpoint> {
        self.endpoints.get(&id)
    }

    /// Returns the id of an endpoint by its name.
    pub fn id(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// Returns all endpoints that are not gone, sorted by name.
    pub fn listed(&self) -> Vec<&ListedEndpoint> {
        let is_present = |known: &&ListedEndpoint| known.endpoint.status != EndpointStatus::Gone;
        let mut listed: Vec<&ListedEndpoint> = self.endpoints.values().filter(is_present).collect();
        listed.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        listed
    }
}

/// FNV-1a hash of a name. All dispatchers derive the same id from a name, so that the fixed order of
/// endpoints is the same at all of them.
fn fnv1a(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
