//! Which idle connection a request gets, by what is known of its peer.

use super::*;

const PEER: u8 = 1;

fn pool() -> Pool<u8> {
    Pool::new(15_000.0)
}

fn taken(pool: &mut Pool<u8>, now: f64, is_harmed_by_reset: bool) -> Option<ConnId> {
    pool.take(PEER, now, is_harmed_by_reset).map(|pooled| pooled.conn)
}

#[test]
fn a_request_that_a_reset_harms_waits_for_proof_that_its_peer_keeps_connections() {
    let mut pool = pool();
    pool.put(PEER, 7, 100.0);
    assert_eq!(taken(&mut pool, 149.0, true), None, "its end may be on the way");
    assert_eq!(pool.take(PEER, 150.0, true), Some(PooledConnection { conn: 7, idle_ms: 50.0 }));
    pool.on_looked_at(PEER, 50.0, true);
    pool.put(PEER, 7, 200.0);
    assert_eq!(taken(&mut pool, 200.0, true), Some(7), "it is kept alive");
}

/// Guards against a connection past its idle limit that is taken as one that was just used.
#[test]
fn a_connection_that_was_just_used_says_when_it_has_outlived_its_response() {
    let mut pool = pool();
    pool.put(PEER, 7, 100.0);
    assert_eq!(pool.take_unproven(PEER, 110.0), Some((7, 150.0)));
    pool.put(PEER, 7, 200.0);
    assert_eq!(pool.take_unproven(PEER, 60_000.0), None);
    assert_eq!(taken(&mut pool, 60_000.0, false), None);
}

#[test]
fn any_other_request_takes_the_newest() {
    let mut pool = pool();
    pool.put(PEER, 7, 100.0);
    pool.put(PEER, 8, 160.0);
    assert_eq!(taken(&mut pool, 160.0, true), Some(7));
    assert_eq!(taken(&mut pool, 160.0, false), Some(8));
}

#[test]
fn a_peer_that_ends_a_connection_soon_after_a_response_loses_its_proof() {
    let mut pool = pool();
    pool.on_looked_at(PEER, 60.0, true);
    // The end of one that was idle for long is the usual limit.
    pool.put(PEER, 7, 100.0);
    pool.on_ended(PEER, 7, 5_000.0);
    pool.put(PEER, 8, 5_000.0);
    pool.put(PEER, 9, 5_000.0);
    assert_eq!(taken(&mut pool, 5_001.0, true), Some(9));
    pool.on_ended(PEER, 8, 5_002.0);
    pool.put(PEER, 9, 5_003.0);
    assert_eq!(taken(&mut pool, 5_004.0, true), None);
}
