//! Tests of which idle connection a request gets, depending on what is known of its peer.

use super::*;

const PEER: u8 = 1;

fn pool() -> Pool<u8> {
    Pool::new(15_000.0)
}

fn taken(pool: &mut Pool<u8>, now: f64, is_harmed_by_reset: bool) -> Option<ConnId> {
    pool.take(PEER, now, is_harmed_by_reset).map(|pooled| pooled.conn)
}

#[test]
fn a_request_harmed_by_a_reset_needs_a_connection_known_to_be_kept_alive() {
    let mut pool = pool();
    pool.put(PEER, 7, 100.0);
    assert_eq!(taken(&mut pool, 149.0, true), None, "the FIN of its peer may be in flight");
    assert_eq!(pool.take(PEER, 150.0, true), Some(PooledConnection { conn: 7, idle_ms: 50.0 }));
    pool.on_checked(PEER, 50.0, true);
    pool.put(PEER, 7, 200.0);
    assert_eq!(taken(&mut pool, 200.0, true), Some(7), "the peer is known to keep it alive");
}

/// A connection past its idle limit must not be taken as one that was just used.
#[test]
fn a_just_used_connection_reports_when_it_counts_as_kept_alive() {
    let mut pool = pool();
    pool.put(PEER, 7, 100.0);
    assert_eq!(pool.take_unconfirmed(PEER, 110.0), Some((7, 150.0)));
    pool.put(PEER, 7, 200.0);
    assert_eq!(pool.take_unconfirmed(PEER, 60_000.0), None);
    assert_eq!(taken(&mut pool, 60_000.0, false), None);
}

#[test]
fn any_other_request_takes_the_newest_connection() {
    let mut pool = pool();
    pool.put(PEER, 7, 100.0);
    pool.put(PEER, 8, 160.0);
    assert_eq!(taken(&mut pool, 160.0, true), Some(7));
    assert_eq!(taken(&mut pool, 160.0, false), Some(8));
}

#[test]
fn a_peer_that_closes_soon_after_a_response_no_longer_counts_as_keeping_alive() {
    let mut pool = pool();
    pool.on_checked(PEER, 60.0, true);
    // Closing after a long idle time is the peer's usual idle limit, and no sign that it does not keep alive.
    pool.put(PEER, 7, 100.0);
    pool.on_closed_by_peer(PEER, 7, 5_000.0);
    pool.put(PEER, 8, 5_000.0);
    pool.put(PEER, 9, 5_000.0);
    assert_eq!(taken(&mut pool, 5_001.0, true), Some(9));
    pool.on_closed_by_peer(PEER, 8, 5_002.0);
    pool.put(PEER, 9, 5_003.0);
    assert_eq!(taken(&mut pool, 5_004.0, true), None);
}
