//! The flow by itself, on a clock that the test sets.

use proptest::prelude::*;

use super::*;

const PACE: Pace = Pace { min_bytes_per_s: 10_000.0, window_ms: 2_000.0, max_silence_ms: 500.0 };

fn allowance(window: usize) -> Allowance {
    Allowance { window, pace: PACE }
}

/// A flow with so many streams whose channels up are open.
fn flow(streams: u64, window: usize, pool: usize) -> Flow {
    let mut flow = Flow::new(pool, 1_000);
    for stream in 0..streams {
        flow.open(stream, allowance(window));
        flow.release(stream, Direction::Up, 0, 0.0);
    }
    flow
}

/// Guards fairness: a stream that always has more gets one turn a round, like all others.
#[test]
fn a_fast_stream_has_its_turns_among_others() {
    let mut flow = flow(5, 10_000, 1 << 20);
    let mut turns = Vec::new();
    for _ in 0..20 {
        let turn = flow.next_turn().unwrap();
        assert_eq!(turn.read, 1_000);
        turns.push(turn.stream);
        let moved = Moved { read: 1_000, more: true, taken: 1_000, held: 0, ..Moved::default() };
        flow.on_moved(turn, moved, 0.0);
    }
    for round in turns.chunks(5) {
        assert_eq!(round, [0, 1, 2, 3, 4]);
    }
}

/// Seen with slow peers of piped bodies: the window had room and the pipe had none, so that a channel which waited for its
/// sink had turn after turn, and the loop took a whole core.
#[test]
fn a_lane_that_can_read_no_more_has_one_turn_for_each_time_that_its_sink_takes() {
    let mut flow = flow(1, 1 << 20, 1 << 20);
    let stuck = Moved { read: 1_000, more: true, held: 1_000, blocked: true, full: true, ..Moved::default() };
    let mut turns = 0;
    for _ in 0..100 {
        // Bytes come to the source all the time.
        flow.on_readable(0, Direction::Up, 0.0);
        while let Some(turn) = flow.next_turn() {
            turns += 1;
            assert!(turns <= 101, "turns without end");
            flow.on_moved(turn, if turns == 1 { stuck } else { Moved { read: 0, ..stuck } }, 0.0);
        }
    }
    assert_eq!(turns, 1);
    flow.on_writable(0, Direction::Up, 0.0);
    assert_eq!(flow.next_turn().map(|t| t.read), Some(1_000));
}

/// Guards small requests behind many long streams, and those against a flood of small ones.
#[test]
fn a_lane_that_has_moved_little_goes_before_long_ones_and_not_always() {
    let mut flow = flow(200, 1 << 20, 1 << 30);
    let long = |flow: &mut Flow, turn| {
        let taken = SHORT_CHANNEL_BYTES as usize;
        flow.on_moved(turn, Moved { read: 1_000, more: true, taken, held: 0, ..Moved::default() }, 0.0);
    };
    for _ in 0..400 {
        let turn = flow.next_turn().unwrap();
        long(&mut flow, turn);
    }
    flow.open(999, allowance(1_000));
    flow.release(999, Direction::Up, 0, 0.0);
    // At once, or behind the one long turn that a row of short ones owes.
    let next = [flow.next_turn().unwrap(), flow.next_turn().unwrap()].map(|t| t.stream);
    assert!(next.contains(&999), "{next:?}");
    // A flood of new ones: each ninth turn is a long stream's.
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

/// Guards the memory: a source is not read past the window while its sink takes nothing.
#[test]
fn a_sink_that_takes_nothing_stops_its_source() {
    let mut flow = flow(1, 2_500, 1 << 20);
    let mut held = 0;
    while let Some(turn) = flow.next_turn() {
        held += turn.read;
        flow.on_moved(
            turn,
            Moved { read: turn.read, more: true, held, blocked: true, ..Moved::default() },
            0.0,
        );
    }
    assert_eq!((held, flow.held()), (2_500, 2_500));
    flow.on_writable(0, Direction::Up, 1.0);
    let turn = flow.next_turn().unwrap();
    assert_eq!(turn.read, 0, "its window is full");
    flow.on_moved(turn, Moved { taken: 2_000, held: 500, more: true, ..Moved::default() }, 1.0);
    assert_eq!(flow.next_turn().unwrap().read, 1_000);
}

/// Guards small requests: with all windows and the pool full, a channel that holds nothing may still read its least.
#[test]
fn a_small_request_passes_while_the_pool_is_full() {
    let mut flow = flow(3, 1 << 20, 10_000);
    let mut held = [0; 3];
    while let Some(turn) = flow.next_turn() {
        let at = turn.stream as usize;
        held[at] += turn.read;
        let moved = Moved { read: turn.read, more: true, held: held[at], blocked: true, ..Moved::default() };
        flow.on_moved(turn, moved, 0.0);
    }
    assert!(flow.held() >= 10_000 && flow.held() <= 10_000 + 3 * MIN_CHANNEL_BYTES, "{}", flow.held());
    flow.open(9, allowance(1 << 20));
    flow.release(9, Direction::Up, 0, 1.0);
    assert_eq!(flow.next_turn(), Some(Turn { stream: 9, direction: Direction::Up, read: 1_000 }));
    // Once there is room those that waited for it go on.
    flow.close(0);
    flow.close(1);
    assert_eq!(flow.next_turn().map(|t| t.stream), Some(2));
}

/// Guards against peers that are blamed for what another does: only the side that is waited for can be too slow.
#[test]
fn the_side_that_is_waited_for_is_given_up() {
    let mut flow = flow(2, 2_500, 1 << 20);
    // Stream 0: its sink takes nothing. Stream 1: its source gives nothing.
    let turn = flow.next_turn().unwrap();
    flow.on_moved(turn, Moved { read: 1_000, held: 1_000, blocked: true, ..Moved::default() }, 0.0);
    let turn = flow.next_turn().unwrap();
    flow.on_moved(turn, Moved::default(), 0.0);
    assert_eq!(flow.next_deadline(), PACE.max_silence_ms);
    assert_eq!(flow.expire(PACE.max_silence_ms - 1.0), []);
    let given = flow.expire(PACE.max_silence_ms);
    assert_eq!(
        given.iter().map(|g| (g.stream, g.failure)).collect::<Vec<_>>(),
        [(0, PaceFailure::Silent), (1, PaceFailure::Silent)]
    );
    assert_eq!(given[1].side, Side::Source);
}

/// Guards a second server against the time that the first one let pass.
#[test]
fn a_new_sink_is_measured_anew() {
    let mut flow = flow(1, 2_500, 1 << 20);
    let stuck = Moved { read: 1_000, held: 1_000, blocked: true, ..Moved::default() };
    let turn = flow.next_turn().unwrap();
    flow.on_moved(turn, stuck, 0.0);
    assert_eq!(flow.expire(PACE.max_silence_ms).len(), 1);
    flow.pause(0, Direction::Up, PACE.max_silence_ms);
    assert_eq!(flow.expire(1e6), []);
    flow.release(0, Direction::Up, 1_000, 1e6);
    let turn = flow.next_turn().unwrap();
    flow.on_moved(turn, Moved { read: 0, ..stuck }, 1e6);
    assert_eq!(flow.expire(1e6 + PACE.max_silence_ms - 1.0), []);
    assert_eq!(flow.expire(1e6 + PACE.max_silence_ms).len(), 1);
}

#[test]
fn a_trickle_is_too_slow_and_a_pause_of_the_other_side_is_not() {
    let mut meter = Meter::new(PACE);
    let mut now = 0.0;
    meter.set_waiting(true, now);
    let failure = loop {
        now += 100.0;
        meter.on_moved(100, now);
        if let Some(failure) = meter.check(now) {
            break failure;
        }
    };
    assert_eq!((failure, now), (PaceFailure::Slow, PACE.window_ms));
    let mut meter = Meter::new(PACE);
    for at in 0..100 {
        meter.set_waiting(true, f64::from(at) * 1e6);
        meter.on_moved(1_000, f64::from(at) * 1e6 + 90.0);
        assert_eq!(meter.check(f64::from(at) * 1e6 + 90.0), None);
        meter.set_waiting(false, f64::from(at) * 1e6 + 90.0);
    }
}

#[test]
fn a_fast_start_does_not_buy_a_crawl() {
    let mut meter = Meter::new(PACE);
    meter.set_waiting(true, 0.0);
    meter.on_moved(100_000_000, 1.0);
    let mut now = 1.0;
    while meter.check(now).is_none() {
        now += 100.0;
        meter.on_moved(10, now);
        assert!(now < 3.0 * PACE.window_ms);
    }
}

#[test]
fn a_request_is_dispatched_when_its_class_says() {
    let hold = |when| Hold::new(when, 1_000, 100_000.0, 0.0);
    assert_eq!(hold(DispatchCondition::Head).decide(0, false, 0.0), HoldDecision::Dispatch);
    assert_eq!(hold(DispatchCondition::Prefix).decide(999, false, 9e9), HoldDecision::Wait);
    assert_eq!(hold(DispatchCondition::Prefix).decide(1_000, false, 9e9), HoldDecision::Dispatch);
    assert_eq!(hold(DispatchCondition::Prefix).decide(3, true, 0.0), HoldDecision::Dispatch);
    assert_eq!(hold(DispatchCondition::Pace).decide(1_000, false, 1.0), HoldDecision::Dispatch);
    assert_eq!(hold(DispatchCondition::Pace).decide(1_000, false, 100.0), HoldDecision::GiveUp);
    assert_eq!(hold(DispatchCondition::Pace).decide(20_000, false, 100.0), HoldDecision::Dispatch);
    assert_eq!(hold(DispatchCondition::Pace).decide(3, true, 1e6), HoldDecision::Dispatch);
}

#[test]
fn bounds_on_streams_are_kept_and_given_back() {
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
    assert!(slots.take(server) && !slots.take(server));
    assert_eq!(slots.report(server).free_slots, Some(0.0));
    slots.give_back(server);
    assert_eq!(slots.report(server).free_slots, Some(1.0));
}

use crate::routing::EndpointId;

proptest! {
    /// Whatever peers do: what is held stays within the pool and the least of each channel, no channel passes its window,
    /// and a channel that can move has a turn waiting (none is forgotten).
    #[test]
    fn bounds_hold_and_no_lane_is_forgotten(
        steps in proptest::collection::vec((0u64..6, 0usize..4, 0usize..3000), 1..400),
    ) {
        let (window, pool) = (6_000, 9_000);
        let mut flow = flow(6, window, pool);
        let (mut held, mut now) = ([0usize; 6], 0.0);
        for (stream, what, size) in steps {
            now += 1.0;
            match what {
                0 => flow.on_readable(stream, Direction::Up, now),
                1 => flow.on_writable(stream, Direction::Up, now),
                _ => {
                    let Some(turn) = flow.next_turn() else { continue };
                    let at = turn.stream as usize;
                    let read = turn.read.min(size);
                    held[at] += read;
                    let taken = if what == 2 { held[at].min(size) } else { 0 };
                    held[at] -= taken;
                    let more = read == turn.read;
                    let moved = Moved { read, more, taken, held: held[at], blocked: held[at] > 0, full: false };
                    flow.on_moved(turn, moved, now);
                }
            }
            prop_assert_eq!(flow.held(), held.iter().sum::<usize>());
            prop_assert!(flow.held() <= pool + 6 * MIN_CHANNEL_BYTES);
            prop_assert!(held.iter().all(|&h| h <= window));
        }
        // All sinks take all, all sources have more: every channel gets a turn.
        for stream in 0..6 {
            flow.on_writable(stream, Direction::Up, now);
            flow.on_readable(stream, Direction::Up, now);
        }
        let mut seen = [false; 6];
        for _ in 0..60 {
            let Some(turn) = flow.next_turn() else { break };
            seen[turn.stream as usize] = true;
            held[turn.stream as usize] = 0;
            flow.on_moved(turn, Moved { read: turn.read, more: true, taken: 1, held: 0, ..Moved::default() }, now);
        }
        prop_assert!(seen.iter().all(|&s| s), "{:?}", seen);
    }
}
