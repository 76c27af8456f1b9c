//! Tests of flow control on a simulated clock.

use proptest::prelude::*;

use super::*;

const PACE: Pace = Pace { min_bytes_per_s: 10_000.0, window_ms: 2_000.0, max_silence_ms: 500.0 };

fn allowance(window: usize) -> Allowance {
    Allowance { window, pace: PACE }
}

/// Returns flow control with `streams` streams whose up channels are open.
fn flow(streams: u64, window: usize, pool: usize) -> Flow {
    let mut flow = Flow::new(pool, 1_000);
    for stream in 0..streams {
        flow.open(stream, allowance(window));
        flow.release(stream, Direction::Up, 0, 0.0);
    }
    flow
}

/// Fairness: a stream that always has more to read gets one turn per round, like all others.
#[test]
fn a_fast_stream_gets_one_turn_per_round() {
    let mut flow = flow(5, 10_000, 1 << 20);
    let mut turns = Vec::new();
    for _ in 0..20 {
        let turn = flow.next_turn().unwrap();
        assert_eq!(turn.read_limit, 1_000);
        turns.push(turn.stream);
        let result = TurnResult { read: 1_000, more: true, written: 1_000, held: 0, ..TurnResult::default() };
        flow.on_turn_finished(turn, result, 0.0);
    }
    for round in turns.chunks(5) {
        assert_eq!(round, [0, 1, 2, 3, 4]);
    }
}

/// A channel whose pipe is full but whose window has space must not get turns while it waits for its sink.
/// With slow peers of piped bodies such a channel got one turn after another, and the event loop used a whole
/// core.
#[test]
fn a_channel_with_full_buffers_gets_one_turn_per_writable_event() {
    let mut flow = flow(1, 1 << 20, 1 << 20);
    let stuck = TurnResult {
        read: 1_000,
        more: true,
        held: 1_000,
        blocked: true,
        full: true,
        ..TurnResult::default()
    };
    let mut turns = 0;
    for _ in 0..100 {
        // The source keeps becoming readable.
        flow.on_readable(0, Direction::Up, 0.0);
        while let Some(turn) = flow.next_turn() {
            turns += 1;
            assert!(turns <= 101, "a blocked channel keeps getting turns");
            flow.on_turn_finished(
                turn,
                if turns == 1 { stuck } else { TurnResult { read: 0, ..stuck } },
                0.0,
            );
        }
    }
    assert_eq!(turns, 1);
    flow.on_writable(0, Direction::Up, 0.0);
    assert_eq!(flow.next_turn().map(|t| t.read_limit), Some(1_000));
}

/// Small requests must not wait behind many long streams, and long streams must not starve under a flood of
/// small requests.
#[test]
fn short_channels_go_first_without_starving_long_ones() {
    let mut flow = flow(200, 1 << 20, 1 << 30);
    let long = |flow: &mut Flow, turn| {
        let written = SHORT_CHANNEL_BYTES as usize;
        flow.on_turn_finished(
            turn,
            TurnResult { read: 1_000, more: true, written, held: 0, ..TurnResult::default() },
            0.0,
        );
    };
    for _ in 0..400 {
        let turn = flow.next_turn().unwrap();
        long(&mut flow, turn);
    }
    flow.open(999, allowance(1_000));
    flow.release(999, Direction::Up, 0, 0.0);
    // The new channel is first, or second after the one long turn that is due after a row of short ones.
    let next = [flow.next_turn().unwrap(), flow.next_turn().unwrap()].map(|t| t.stream);
    assert!(next.contains(&999), "{next:?}");
    // A flood of new short channels: every ninth turn belongs to a long stream.
    for small in 1_000..1_100 {
        flow.open(small, allowance(1_000));
        flow.release(small, Direction::Up, 0, 0.0);
    }
    let mut longs = 0;
    for _ in 0..90 {
        let turn = flow.next_turn().unwrap();
        if turn.stream < 200 {
            longs += 1;
            long(&mut flow, turn);
        }
    }
    assert_eq!(longs, 90 / (MAX_SHORT_TURNS_IN_A_ROW + 1));
}

/// Memory: a source is not read past the window while its sink accepts nothing.
#[test]
fn a_blocked_sink_stops_reads_from_its_source() {
    let mut flow = flow(1, 2_500, 1 << 20);
    let mut held = 0;
    while let Some(turn) = flow.next_turn() {
        held += turn.read_limit;
        flow.on_turn_finished(
            turn,
            TurnResult { read: turn.read_limit, more: true, held, blocked: true, ..TurnResult::default() },
            0.0,
        );
    }
    assert_eq!((held, flow.held()), (2_500, 2_500));
    flow.on_writable(0, Direction::Up, 1.0);
    let turn = flow.next_turn().unwrap();
    assert_eq!(turn.read_limit, 0, "the window is full");
    flow.on_turn_finished(
        turn,
        TurnResult { written: 2_000, held: 500, more: true, ..TurnResult::default() },
        1.0,
    );
    assert_eq!(flow.next_turn().unwrap().read_limit, 1_000);
}

/// With all windows and the pool full, a channel that holds nothing may still read `MIN_CHANNEL_BYTES`, so
/// that small requests pass.
#[test]
fn a_small_request_passes_while_the_pool_is_full() {
    let mut flow = flow(3, 1 << 20, 10_000);
    let mut held = [0; 3];
    while let Some(turn) = flow.next_turn() {
        let at = turn.stream as usize;
        held[at] += turn.read_limit;
        let result = TurnResult {
            read: turn.read_limit,
            more: true,
            held: held[at],
            blocked: true,
            ..TurnResult::default()
        };
        flow.on_turn_finished(turn, result, 0.0);
    }
    assert!(flow.held() >= 10_000 && flow.held() <= 10_000 + 3 * MIN_CHANNEL_BYTES, "{}", flow.held());
    flow.open(9, allowance(1 << 20));
    flow.release(9, Direction::Up, 0, 1.0);
    assert_eq!(flow.next_turn(), Some(Turn { stream: 9, direction: Direction::Up, read_limit: 1_000 }));
    // Once the pool has free bytes, the channels that waited for them continue.
    flow.close(0);
    flow.close(1);
    assert_eq!(flow.next_turn().map(|t| t.stream), Some(2));
}

/// Only the peer that is being waited for can be too slow: no peer is blamed for the delay of the other.
#[test]
fn only_the_peer_that_is_waited_for_fails() {
    let mut flow = flow(2, 2_500, 1 << 20);
    // Stream 0: its sink accepts nothing. Stream 1: its source sends nothing.
    let turn = flow.next_turn().unwrap();
    flow.on_turn_finished(
        turn,
        TurnResult { read: 1_000, held: 1_000, blocked: true, ..TurnResult::default() },
        0.0,
    );
    let turn = flow.next_turn().unwrap();
    flow.on_turn_finished(turn, TurnResult::default(), 0.0);
    assert_eq!(flow.next_deadline(), PACE.max_silence_ms);
    assert_eq!(flow.expire(PACE.max_silence_ms - 1.0), []);
    let failed = flow.expire(PACE.max_silence_ms);
    assert_eq!(
        failed.iter().map(|g| (g.stream, g.failure)).collect::<Vec<_>>(),
        [(0, PaceFailure::Silent), (1, PaceFailure::Silent)]
    );
    assert_eq!(failed[1].side, Side::Source);
}

/// A second server must not be blamed for the time that the first one used up.
#[test]
fn the_pace_of_a_new_sink_is_measured_from_the_start() {
    let mut flow = flow(1, 2_500, 1 << 20);
    let stuck = TurnResult { read: 1_000, held: 1_000, blocked: true, ..TurnResult::default() };
    let turn = flow.next_turn().unwrap();
    flow.on_turn_finished(turn, stuck, 0.0);
    assert_eq!(flow.expire(PACE.max_silence_ms).len(), 1);
    flow.pause(0, Direction::Up, PACE.max_silence_ms);
    assert_eq!(flow.expire(1e6), []);
    flow.release(0, Direction::Up, 1_000, 1e6);
    let turn = flow.next_turn().unwrap();
    flow.on_turn_finished(turn, TurnResult { read: 0, ..stuck }, 1e6);
    assert_eq!(flow.expire(1e6 + PACE.max_silence_ms - 1.0), []);
    assert_eq!(flow.expire(1e6 + PACE.max_silence_ms).len(), 1);
}

#[test]
fn a_trickle_is_too_slow_but_waiting_for_the_other_peer_is_not() {
    let mut meter = PaceMeter::new(PACE);
    let mut now = 0.0;
    meter.set_waiting(true, now);
    let failure = loop {
        now += 100.0;
        meter.record_bytes(100, now);
        if let Some(failure) = meter.check(now) {
            break failure;
        }
    };
    assert_eq!((failure, now), (PaceFailure::Slow, PACE.window_ms));
    let mut meter = PaceMeter::new(PACE);
    for at in 0..100 {
        meter.set_waiting(true, f64::from(at) * 1e6);
        meter.record_bytes(1_000, f64::from(at) * 1e6 + 90.0);
        assert_eq!(meter.check(f64::from(at) * 1e6 + 90.0), None);
        meter.set_waiting(false, f64::from(at) * 1e6 + 90.0);
    }
}

#[test]
fn a_fast_start_does_not_excuse_a_slow_rest() {
    let mut meter = PaceMeter::new(PACE);
    meter.set_waiting(true, 0.0);
    meter.record_bytes(100_000_000, 1.0);
    let mut now = 1.0;
    while meter.check(now).is_none() {
        now += 100.0;
        meter.record_bytes(10, now);
        assert!(now < 3.0 * PACE.window_ms);
    }
}

#[test]
fn a_request_is_dispatched_on_the_condition_of_its_class() {
    let request = |condition| HeldRequest::new(condition, 1_000, 100_000.0, 0.0);
    assert_eq!(request(DispatchCondition::Head).decide(0, false, 0.0), HoldDecision::Dispatch);
    assert_eq!(request(DispatchCondition::Prefix).decide(999, false, 9e9), HoldDecision::Wait);
    assert_eq!(request(DispatchCondition::Prefix).decide(1_000, false, 9e9), HoldDecision::Dispatch);
    assert_eq!(request(DispatchCondition::Prefix).decide(3, true, 0.0), HoldDecision::Dispatch);
    assert_eq!(request(DispatchCondition::Pace).decide(1_000, false, 1.0), HoldDecision::Dispatch);
    assert_eq!(request(DispatchCondition::Pace).decide(1_000, false, 100.0), HoldDecision::GiveUp);
    assert_eq!(request(DispatchCondition::Pace).decide(20_000, false, 100.0), HoldDecision::Dispatch);
    assert_eq!(request(DispatchCondition::Pace).decide(3, true, 1e6), HoldDecision::Dispatch);
}

#[test]
fn stream_limits_are_enforced_and_released() {
    let mut admission = Admission::new(Bounds { total: 3, tenant: 2, endpoint: 1 });
    for tenant in ["a", "a"] {
        admission.enter(tenant).unwrap();
    }
    assert_eq!(admission.enter("a"), Err(AdmissionError::Tenant));
    admission.enter("b").unwrap();
    assert_eq!(admission.enter("c"), Err(AdmissionError::Total));
    admission.leave("a");
    admission.enter("a").unwrap();
    let (mut slots, server) = (Slots::new(1), EndpointId::default());
    assert!(slots.acquire(server) && !slots.acquire(server));
    assert_eq!(slots.report(server).free_slots, Some(0.0));
    slots.release(server);
    assert_eq!(slots.report(server).free_slots, Some(1.0));
}

use crate::routing::EndpointId;

proptest! {
    /// Whatever the peers do, buffered bytes stay within the pool plus the minimum of each channel, no
    /// channel exceeds its window, and every channel that can transfer bytes is queued.
    #[test]
    fn limits_hold_and_every_ready_channel_is_queued(
        steps in proptest::collection::vec((0u64..6, 0usize..4, 0usize..3000), 1..400),
    ) {
        let (window, pool) = (6_000, 9_000);
        let mut flow = flow(6, window, pool);
        let (mut held, mut now) = ([0usize; 6], 0.0);
        for (stream, event, size) in steps {
            now += 1.0;
            match event {
                0 => flow.on_readable(stream, Direction::Up, now),
                1 => flow.on_writable(stream, Direction::Up, now),
                _ => {
                    let Some(turn) = flow.next_turn() else { continue };
                    let at = turn.stream as usize;
                    let read = turn.read_limit.min(size);
                    held[at] += read;
                    let written = if event == 2 { held[at].min(size) } else { 0 };
                    held[at] -= written;
                    let more = read == turn.read_limit;
                    let result = TurnResult {
                        read,
                        more,
                        written,
                        held: held[at],
                        blocked: held[at] > 0,
                        full: false,
                    };
                    flow.on_turn_finished(turn, result, now);
                }
            }
            prop_assert_eq!(flow.held(), held.iter().sum::<usize>());
            prop_assert!(flow.held() <= pool + 6 * MIN_CHANNEL_BYTES);
            prop_assert!(held.iter().all(|&h| h <= window));
        }
        // All sinks accept everything and all sources have more: every channel gets a turn.
        for stream in 0..6 {
            flow.on_writable(stream, Direction::Up, now);
            flow.on_readable(stream, Direction::Up, now);
        }
        let mut seen = [false; 6];
        for _ in 0..60 {
            let Some(turn) = flow.next_turn() else { break };
            seen[turn.stream as usize] = true;
            held[turn.stream as usize] = 0;
            flow.on_turn_finished(
                turn,
                TurnResult { read: turn.read_limit, more: true, written: 1, held: 0, ..TurnResult::default() },
                now,
            );
        }
        prop_assert!(seen.iter().all(|&s| s), "{:?}", seen);
    }
}
