//! Pool of idle connections to endpoints, most recently used first. Also tracks which peers keep connections
//! alive.

use rustc_hash::{FxHashMap, FxHashSet};

use super::ConnId;

/// Time after a response, in milliseconds, after which a connection that is still open counts as kept alive.
/// A peer that closes after each response without sending `Connection: close` has done so by then, and its
/// FIN has arrived.
const KEEP_ALIVE_CONFIRMED_MS: f64 = 50.0;

/// A connection taken out of the pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PooledConnection {
    /// The connection.
    pub conn: ConnId,
    /// How long it has been idle, in milliseconds.
    pub idle_ms: f64,
}

/// Idle connections of each peer, with the time at which each became idle.
pub struct Pool<K> {
    idle: FxHashMap<K, Vec<(ConnId, f64)>>,
    max_idle_ms: f64,
    /// Peers that have kept a connection alive, and have not closed one within `KEEP_ALIVE_CONFIRMED_MS`
    /// since.
    keep_alive: FxHashSet<K>,
}

impl<K: std::hash::Hash + Eq + Copy> Pool<K> {
    /// Creates a pool for peers that close connections after `limit_ms` milliseconds without a request. The
    /// pool discards connections well before that, because a request sent while the peer closes its
    /// connection would be lost.
    pub fn new(limit_ms: f64) -> Pool<K> {
        let mut pool =
            Pool { idle: FxHashMap::default(), max_idle_ms: 0.0, keep_alive: FxHashSet::default() };
        pool.set_idle_limit(limit_ms);
        pool
    }

    /// Replaces the time after which peers close idle connections, in milliseconds.
    pub fn set_idle_limit(&mut self, limit_ms: f64) {
        self.max_idle_ms = (limit_ms * 0.8).min(limit_ms - 500.0).max(0.0);
    }

    /// Takes the most recently used connection to a peer, if it has been idle for less than the limit. For a
    /// request that `is_harmed_by_reset`, takes only a connection known to be kept alive: one to a peer that
    /// has kept a connection alive before, or one that has been idle for `KEEP_ALIVE_CONFIRMED_MS`. On any
    /// other connection the peer's FIN may be in flight, and it would remain unknown whether the request has
    /// run.
    ///
    /// The caller must report through `on_checked` whether the connection was still open.
    pub fn take(&mut self, peer: K, now: f64, is_harmed_by_reset: bool) -> Option<PooledConnection> {
        let needs_confirmation = is_harmed_by_reset && !self.keep_alive.contains(&peer);
        let min_idle_ms = if needs_confirmation { KEEP_ALIVE_CONFIRMED_MS } else { 0.0 };
        let list = self.idle.get_mut(&peer)?;
        let index = list.iter().rposition(|&(_, since)| now - since >= min_idle_ms)?;
        let idle_ms = now - list[index].1;
        if idle_ms >= self.max_idle_ms {
            return None;
        }
        Some(PooledConnection { conn: list.remove(index).0, idle_ms })
    }

    /// Takes the most recently used connection to a peer if it was used so recently that the peer's FIN may
    /// still be in flight. Also returns the time from which it counts as kept alive if it is still open.
    pub fn take_unconfirmed(&mut self, peer: K, now: f64) -> Option<(ConnId, f64)> {
        let list = self.idle.get_mut(&peer)?;
        let &(conn, since) = list.last().filter(|&&(_, since)| now - since < KEEP_ALIVE_CONFIRMED_MS)?;
        list.pop();
        Some((conn, since + KEEP_ALIVE_CONFIRMED_MS))
    }

    /// Takes the most recently used connection to a peer, whatever its idle time.
    pub fn take_any(&mut self, peer: K) -> Option<ConnId> {
        Some(self.idle.get_mut(&peer)?.pop()?.0)
    }

    /// Records that a connection stayed open for `KEEP_ALIVE_CONFIRMED_MS` after its last response.
    pub fn on_kept_alive(&mut self, peer: K) {
        self.on_checked(peer, KEEP_ALIVE_CONFIRMED_MS, true);
    }

    /// Records that a connection was found open, or closed by its peer, `idle_ms` milliseconds after its last
    /// response.
    pub fn on_checked(&mut self, peer: K, idle_ms: f64, is_open: bool) {
        let is_confirmation = idle_ms >= KEEP_ALIVE_CONFIRMED_MS;
        if is_open && is_confirmation {
            self.keep_alive.insert(peer);
        } else if !is_open && !is_confirmation {
            self.keep_alive.remove(&peer);
        }
    }

    /// Records that the peer closed an idle connection, and removes it.
    pub fn on_closed_by_peer(&mut self, peer: K, id: ConnId, now: f64) {
        let list = self.idle.get(&peer);
        let since =
            list.and_then(|list| list.iter().find(|&&(other, _)| other == id)).map(|&(_, since)| since);
        if let Some(since) = since {
            self.on_checked(peer, now - since, false);
            self.remove(peer, id);
        }
    }

    /// Adds a connection that is idle from now on.
    pub fn put(&mut self, peer: K, id: ConnId, now: f64) {
        self.idle.entry(peer).or_default().push((id, now));
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, peer: K, id: ConnId) {
        if let Some(list) = self.idle.get_mut(&peer) {
            list.retain(|&(other, _)| other != id);
        }
    }

    /// Removes and returns the connections that have been idle for too long.
    pub fn take_expired(&mut self, now: f64) -> Vec<ConnId> {
        let mut out = Vec::new();
        for list in self.idle.values_mut() {
            let old = list.iter().take_while(|&&(_, since)| now - since >= self.max_idle_ms).count();
            out.extend(list.drain(..old).map(|(id, _)| id));
        }
        self.idle.retain(|_, list| !list.is_empty());
        out
    }

    /// Removes and returns the connection that has been idle for the longest time.
    pub fn take_oldest(&mut self) -> Option<ConnId> {
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
