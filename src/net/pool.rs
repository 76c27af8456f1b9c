//! The pool: idle connections to endpoints, newest used first.

use rustc_hash::FxHashMap;

use super::ConnId;

/// Idle connections of each peer with the time at which each fell idle.
pub struct Pool<K> {
    idle: FxHashMap<K, Vec<(ConnId, f64)>>,
    max_idle_ms: f64,
}

impl<K: std::hash::Hash + Eq + Copy> Pool<K> {
    /// A pool for peers that close what has been idle for `limit_ms` milliseconds. It gives a connection up well before: a
    /// request that crosses the closing would be lost.
    pub fn new(limit_ms: f64) -> Pool<K> {
        let mut pool = Pool { idle: FxHashMap::default(), max_idle_ms: 0.0 };
        pool.set_idle_limit(limit_ms);
        pool
    }

    /// Takes over another limit, in milliseconds.
    pub fn set_idle_limit(&mut self, limit_ms: f64) {
        self.max_idle_ms = (limit_ms * 0.8).min(limit_ms - 500.0).max(0.0);
    }

    /// Takes out the connection to a peer that has been idle for the shortest time, if that is within the limit.
    pub fn take(&mut self, peer: K, now: f64) -> Option<ConnId> {
        let list = self.idle.get_mut(&peer)?;
        let &(id, since) = list.last()?;
        if now - since >= self.max_idle_ms {
            return None;
        }
        list.pop();
        Some(id)
    }

    /// Puts a connection back that is idle from now on.
    pub fn put(&mut self, peer: K, id: ConnId, now: f64) {
        self.idle.entry(peer).or_default().push((id, now));
    }

    /// Takes out a connection that was closed.
    pub fn remove(&mut self, peer: K, id: ConnId) {
        if let Some(list) = self.idle.get_mut(&peer) {
            list.retain(|&(other, _)| other != id);
        }
    }

    /// Takes out the connections that have been idle for too long.
    pub fn expired(&mut self, now: f64) -> Vec<ConnId> {
        let mut out = Vec::new();
        for list in self.idle.values_mut() {
            let old = list.iter().take_while(|&&(_, since)| now - since >= self.max_idle_ms).count();
            out.extend(list.drain(..old).map(|(id, _)| id));
        }
        self.idle.retain(|_, list| !list.is_empty());
        out
    }

    /// Takes out the connection that has been idle longest.
    pub fn oldest(&mut self) -> Option<ConnId> {
        let (&peer, _) = self
            .idle
            .iter()
            .filter(|(_, list)| !list.is_empty())
            .min_by(|a, b| a.1[0].1.total_cmp(&b.1[0].1))?;
        Some(self.idle.get_mut(&peer)?.remove(0).0)
    }
}
