//! The server table: the backend servers that the list has named, under the names that the wire gives them.

use rustc_hash::FxHashMap;

/// Most backend servers that are remembered: a line beyond it is told by a line in the log and counted.
pub use crate::routing::MAX_ENDPOINTS;
use crate::routing::{Endpoint, EndpointId, EndpointStatus};

/// A line of the list, as a front reads it.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// Name of the backend server, the same after a restart.
    pub name: String,
    /// Where its front finds it; the core only keeps it.
    pub address: String,
    /// What the module is told of it; its id is filled in here.
    pub endpoint: Endpoint,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Its line as last read.
    pub line: ListedEndpoint,
}

/// The server table.
#[derive(Default)]
pub struct EndpointTable {
    ids: FxHashMap<String, EndpointId>,
    servers: FxHashMap<EndpointId, EndpointEntry>,
    /// Lines that there was no room for.
    dropped: u64,
}

impl EndpointTable {
    /// Takes lines in and gives them as the module reads them.
    pub fn apply(&mut self, lines: Vec<ListedEndpoint>, whole: bool) -> Vec<Endpoint> {
        if whole {
            self.servers.values_mut().for_each(|s| s.line.endpoint.status = EndpointStatus::Gone);
        }
        let mut members = Vec::with_capacity(lines.len());
        for mut line in lines {
            let id = match self.id(&line.name) {
                Some(id) => id,
                None if self.ids.len() >= MAX_ENDPOINTS && !self.forget() => {
                    self.dropped += 1;
                    continue;
                }
                None => self.name(&line.name),
            };
            line.endpoint.id = id;
            members.push(line.endpoint);
            self.servers.insert(id, EndpointEntry { line });
        }
        members
    }

    /// An id that every dispatcher makes of the same name, so that the fixed order is the same at all of them.
    fn name(&mut self, name: &str) -> EndpointId {
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        let mut id = EndpointId(hash);
        while self.servers.contains_key(&id) {
            id = EndpointId(id.0.wrapping_add(1));
        }
        self.ids.insert(name.to_string(), id);
        id
    }

    /// Makes room by forgetting a backend server that is gone.
    fn forget(&mut self) -> bool {
        let gone = self.servers.iter().find(|(_, s)| s.line.endpoint.status == EndpointStatus::Gone);
        let Some((&id, _)) = gone else { return false };
        if let Some(server) = self.servers.remove(&id) {
            self.ids.remove(&server.line.name);
        }
        true
    }

    /// Lines that there was no room for, since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// A backend server by its id.
    pub fn get(&self, id: EndpointId) -> Option<&EndpointEntry> {
        self.servers.get(&id)
    }

    /// A backend server's id by its name.
    pub fn id(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// All that are not gone, in the order of their names.
    pub fn listed(&self) -> Vec<&EndpointEntry> {
        let present = |s: &&EndpointEntry| s.line.endpoint.status != EndpointStatus::Gone;
        let mut listed: Vec<&EndpointEntry> = self.servers.values().filter(present).collect();
        listed.sort_unstable_by(|a, b| a.line.name.cmp(&b.line.name));
        listed
    }
}
