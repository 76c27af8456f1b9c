//! The pool: idle connections to endpoints, newest used first; and which peers are known to keep a connection alive.

use rustc_hash::{FxHashMap, FxHashSet};

use super::ConnId;

/// A connection that is open so long after a response has been kept alive, in milliseconds: a peer that closes after each
/// response, without a word of it, has done so by then, and its end has come.
const KEEP_ALIVE_PROOF_MS: f64 = 50.0;

/// A connection that was taken out of the pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PooledConnection {
    /// Which one.
    pub conn: ConnId,
    /// How long it was idle, in milliseconds.
    pub idle_ms: f64,
}

/// Idle connections of each peer with the time at which each fell idle.
pub struct Pool<K> {
    idle: FxHashMap<K, Vec<(ConnId, f64)>>,
    max_idle_ms: f64,
    /// Peers of which a connection has been kept alive, and none has ended too soon since.
    keep_alive: FxHashSet<K>,
}

impl<K: std::hash::Hash + Eq + Copy> Pool<K> {
    /// A pool for peers that close what has been idle for `limit_ms` milliseconds. It gives a connection up well before: a
    /// request that crosses the closing would be lost.
    pub fn new(limit_ms: f64) -> Pool<K> {
        let mut pool =
            Pool { idle: FxHashMap::default(), max_idle_ms: 0.0, keep_alive: FxHashSet::default() };
        pool.set_idle_limit(limit_ms);
        pool
    }

    /// Takes over another limit, in milliseconds.
    pub fn set_idle_limit(&mut self, limit_ms: f64) {
        self.max_idle_ms = (limit_ms * 0.8).min(limit_ms - 500.0).max(0.0);
    }

    /// Takes out the connection to a peer that has been idle for the shortest time, if that is within the limit. For a request
    /// that `is_harmed_by_reset` only one that is known to be kept alive: guards against a request that crosses the end of a
    /// connection that was used just before, and may have run.
    ///
    /// The caller must tell by `on_looked_at` whether it was still open.
    pub fn take(&mut self, peer: K, now: f64, is_harmed_by_reset: bool) -> Option<PooledConnection> {
        let needs_proof = is_harmed_by_reset && !self.keep_alive.contains(&peer);
        let min_idle_ms = if needs_proof { KEEP_ALIVE_PROOF_MS } else { 0.0 };
        let list = self.idle.get_mut(&peer)?;
        let at = list.iter().rposition(|&(_, since)| now - since >= min_idle_ms)?;
        let idle_ms = now - list[at].1;
        if idle_ms >= self.max_idle_ms {
            return None;
        }
        Some(PooledConnection { conn: list.remove(at).0, idle_ms })
    }

    /// Takes out the connection to a peer that was used last, where that was so short a time ago that its end may be on the
    /// way. Gives the time as well from which on it is known to be kept alive, if it is open then.
    pub fn take_unproven(&mut self, peer: K, now: f64) -> Option<(ConnId, f64)> {
        let list = self.idle.get_mut(&peer)?;
        let &(conn, since) = list.last().filter(|&&(_, since)| now - since < KEEP_ALIVE_PROOF_MS)?;
        list.pop();
        Some((conn, since + KEEP_ALIVE_PROOF_MS))
    }

    /// Takes out any connection to a peer.
    pub fn take_any(&mut self, peer: K) -> Option<ConnId> {
        Some(self.idle.get_mut(&peer)?.pop()?.0)
    }

    /// A connection has been open for long enough after its last response.
    pub fn on_kept_alive(&mut self, peer: K) {
        self.on_looked_at(peer, KEEP_ALIVE_PROOF_MS, true);
    }

    /// A connection was seen to be open, or ended by its peer, so long after its last response.
    pub fn on_looked_at(&mut self, peer: K, idle_ms: f64, is_open: bool) {
        let is_proof = idle_ms >= KEEP_ALIVE_PROOF_MS;
        if is_open && is_proof {
            self.keep_alive.insert(peer);
        } else if !is_open && !is_proof {
            self.keep_alive.remove(&peer);
        }
    }

    /// An idle connection was ended by its peer.
    pub fn on_ended(&mut self, peer: K, id: ConnId, now: f64) {
        let list = self.idle.get(&peer);
        let since =
            list.and_then(|list| list.iter().find(|&&(other, _)| other == id)).map(|&(_, since)| since);
        if let Some(since) = since {
            self.on_looked_at(peer, now - since, false);
            self.remove(peer, id);
        }
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

#[cfg(test)]
mod tests;
