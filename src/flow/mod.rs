//! Flow: which stream is read next and how much of it, how much of it may be held, when it is to be dispatched, and
//! when a peer that is too slow or too silent is given up.
//!
//! Owns the reckoning of bytes and of time, and nothing else: no socket, no buffer, no framing. What carries it out
//! tells what happened (`readable`, `writable`, `moved`, `ended`) and does what it is told (`turn`, `expire`). Time
//! is the caller's clock, in milliseconds, and must not run backwards.
//!
//! A stream has two lanes, up (client to server) and down (server to client). Of each lane the source is read only
//! while the lane holds less than its window and the pool has room; the sink takes what is held. Lanes that can move
//! have their turns in the order in which they became able to, so many bytes a turn; those that have moved little yet
//! go before the others, up to so many in a row.

mod admission;
mod hold;
mod meter;

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

pub use admission::{Admission, Bounds, Full, Slots};
pub use hold::{Dispatch, Hold, Next};
pub use meter::{Meter, Pace, Verdict};

/// Bytes that a lane which holds none may always read, however full the pool is. Guards a small request against all
/// windows being full: it needs no more than this to pass.
pub const MIN_CHANNEL_BYTES: usize = 4 * 1024;

/// Bytes that a lane may have moved and still have its turns before those of long lanes. Guards small requests: behind
/// 200 full-speed streams a turn in line came 20 ms late, and a request needs two.
pub const SHORT_CHANNEL_BYTES: u64 = 64 * 1024;

/// Turns of young lanes before a long one that waits has its own: the bound on what small requests take from streams.
pub const MAX_SHORT_TURNS_IN_A_ROW: usize = 8;

/// A stream, under an id that its owner gives it once.
pub type StreamId = u64;

/// A direction of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Way {
    /// From the client to the server.
    Up,
    /// From the server to the client.
    Down,
}

/// A side of a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Where its bytes come from.
    Source,
    /// Where they go.
    Sink,
}

/// What a stream's class allows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Bytes that a lane may hold.
    pub window: usize,
    /// What is asked of its peers.
    pub pace: Pace,
}

/// A lane's turn: read so many bytes at the most, and pass on what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The stream.
    pub stream: StreamId,
    /// The lane.
    pub way: Way,
    /// Bytes that may be read; 0: none.
    pub read: usize,
}

/// What came of a turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moved {
    /// Bytes read from the source.
    pub read: usize,
    /// The source may have more at once.
    pub more: bool,
    /// Bytes that the sink took.
    pub taken: usize,
    /// Bytes that the lane now holds in all its buffers.
    pub held: usize,
    /// The sink takes no more for now.
    pub blocked: bool,
    /// Nothing more can be read until the sink takes some, whatever the window says: a pipe that is not empty, a
    /// buffer without room, a sink that has not come up.
    pub full: bool,
}

/// A peer is to be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GiveUp {
    /// The stream.
    pub stream: StreamId,
    /// The lane.
    pub way: Way,
    /// Which side of it failed.
    pub side: Side,
    /// How.
    pub verdict: Verdict,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It has not begun, or it waits for something that is no byte.
    Closed,
    /// Bytes are read, and none may leave yet.
    Held,
    /// Bytes are read and passed on.
    Open,
    /// The source has ended; what is held is passed on.
    Draining,
}

#[derive(Debug)]
struct Lane {
    phase: Phase,
    held: usize,
    /// The source may have bytes.
    readable: bool,
    /// The sink takes none.
    blocked: bool,
    /// Nothing more can be read before it does.
    full: bool,
    queued: bool,
    /// It waits for room in the pool.
    thirsty: bool,
    /// Bytes that its sink has taken.
    passed: u64,
    source: Meter,
    sink: Meter,
}

impl Lane {
    fn new(pace: Pace) -> Lane {
        Lane {
            phase: Phase::Closed,
            held: 0,
            readable: false,
            blocked: false,
            full: false,
            queued: false,
            thirsty: false,
            passed: 0,
            source: Meter::new(pace),
            sink: Meter::new(pace),
        }
    }

    fn reads(&self) -> bool {
        matches!(self.phase, Phase::Held | Phase::Open)
    }

    fn passes(&self) -> bool {
        matches!(self.phase, Phase::Open | Phase::Draining)
    }
}

struct Stream {
    allowance: Allowance,
    up: Lane,
    down: Lane,
}

impl Stream {
    fn lane(&mut self, way: Way) -> &mut Lane {
        match way {
            Way::Up => &mut self.up,
            Way::Down => &mut self.down,
        }
    }
}

/// All streams of a front.
pub struct Flow {
    streams: FxHashMap<StreamId, Stream>,
    turns: VecDeque<(StreamId, Way)>,
    /// Turns of lanes that have moved little.
    young: VecDeque<(StreamId, Way)>,
    /// Turns of those in a row.
    streak: usize,
    /// Bytes that a turn may read.
    quantum: usize,
    /// Bytes that all lanes may hold together, beside `MIN_CHANNEL_BYTES` for each.
    pool: usize,
    held: usize,
    /// Lanes that wait for room in the pool.
    thirsty: VecDeque<(StreamId, Way)>,
}

impl Flow {
    /// No streams yet: `pool` bytes may be held in all, `quantum` read at a turn.
    pub fn new(pool: usize, quantum: usize) -> Flow {
        Flow {
            streams: FxHashMap::default(),
            turns: VecDeque::new(),
            young: VecDeque::new(),
            streak: 0,
            quantum: quantum.max(1),
            pool,
            held: 0,
            thirsty: VecDeque::new(),
        }
    }

    /// Takes over other bounds. What is held above them drains.
    pub fn adopt(&mut self, pool: usize, quantum: usize) {
        (self.pool, self.quantum) = (pool, quantum.max(1));
    }

    /// Streams there are.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Bytes held by all lanes together.
    pub fn held(&self) -> usize {
        self.held
    }

    /// A stream begins, both lanes closed. Its id must be new.
    pub fn open(&mut self, stream: StreamId, allowance: Allowance) {
        let lane = || Lane::new(allowance.pace);
        self.streams.insert(stream, Stream { allowance, up: lane(), down: lane() });
    }

    /// A stream is over; its turns are dropped.
    pub fn close(&mut self, stream: StreamId) {
        let Some(gone) = self.streams.remove(&stream) else { return };
        self.held -= gone.up.held + gone.down.held;
        self.quench();
    }

    /// A lane's source is read from now on, but nothing may leave it yet.
    pub fn hold(&mut self, stream: StreamId, way: Way, now: f64) {
        self.enter(stream, way, Phase::Held, now);
    }

    /// A lane's source is read, and what it holds may leave, to a sink that has not been measured before. Its bytes so
    /// far are in `held`.
    pub fn pass(&mut self, stream: StreamId, way: Way, held: usize, now: f64) {
        let pace = self.streams.get(&stream).map(|s| s.allowance.pace);
        if let Some((lane, pace)) = self.streams.get_mut(&stream).map(|s| s.lane(way)).zip(pace) {
            // Guards a second server against what the first one was too slow in.
            lane.sink = Meter::new(pace);
            self.held = self.held + held - lane.held;
            lane.held = held;
            (lane.blocked, lane.full) = (false, false);
        }
        self.enter(stream, way, Phase::Open, now);
    }

    /// A lane's source has given all that it will; what is held still leaves.
    pub fn ended(&mut self, stream: StreamId, way: Way, now: f64) {
        let phase = self.streams.get_mut(&stream).map(|s| s.lane(way).phase);
        let next = if phase == Some(Phase::Held) { Phase::Closed } else { Phase::Draining };
        self.enter(stream, way, next, now);
    }

    /// A lane rests: its source is not waited for, and nothing leaves it.
    pub fn rest(&mut self, stream: StreamId, way: Way, now: f64) {
        self.enter(stream, way, Phase::Closed, now);
    }

    fn enter(&mut self, stream: StreamId, way: Way, phase: Phase, now: f64) {
        let Some(lane) = self.streams.get_mut(&stream).map(|s| s.lane(way)) else { return };
        lane.phase = phase;
        // Bytes may have come before anybody wanted them.
        lane.readable = lane.reads();
        self.look(stream, way, now);
    }

    /// A lane's source may have bytes, or its end.
    pub fn readable(&mut self, stream: StreamId, way: Way, now: f64) {
        if let Some(lane) = self.streams.get_mut(&stream).map(|s| s.lane(way)) {
            lane.readable = true;
            self.look(stream, way, now);
        }
    }

    /// A lane's sink may take bytes.
    pub fn writable(&mut self, stream: StreamId, way: Way, now: f64) {
        if let Some(lane) = self.streams.get_mut(&stream).map(|s| s.lane(way)) {
            (lane.blocked, lane.full) = (false, false);
            self.look(stream, way, now);
        }
    }

    /// Whose turn it is. Each turn given is to be answered by `moved`, unless its stream is closed meanwhile.
    pub fn turn(&mut self) -> Option<Turn> {
        while let Some((stream, way)) = self.next_in_line() {
            let (pool, held, quantum) = (self.pool, self.held, self.quantum);
            let Some(s) = self.streams.get_mut(&stream) else { continue };
            let window = s.allowance.window;
            let lane = s.lane(way);
            lane.queued = false;
            let read = credit(lane, window, pool, held).min(quantum);
            if read > 0 || lane.passes() && lane.held > 0 && !lane.blocked {
                return Some(Turn { stream, way, read });
            }
        }
        None
    }

    fn next_in_line(&mut self) -> Option<(StreamId, Way)> {
        let young = self.streak < MAX_SHORT_TURNS_IN_A_ROW || self.turns.is_empty();
        let next = if young { self.young.pop_front() } else { None };
        if let Some(next) = next {
            self.streak += 1;
            return Some(next);
        }
        self.streak = 0;
        self.turns.pop_front()
    }

    /// Whether a turn waits.
    pub fn has_turns(&self) -> bool {
        !(self.turns.is_empty() && self.young.is_empty())
    }

    /// What came of a turn.
    pub fn moved(&mut self, turn: Turn, moved: Moved, now: f64) {
        let Some(lane) = self.streams.get_mut(&turn.stream).map(|s| s.lane(turn.way)) else { return };
        let before = lane.held;
        self.held = self.held + moved.held - lane.held;
        lane.held = moved.held;
        // Guards against turns without end for a lane that waits for its sink: they would keep the whole loop busy.
        (lane.blocked, lane.full) = (moved.blocked, moved.blocked && moved.full);
        lane.readable = moved.more;
        lane.source.moved(moved.read, now);
        lane.sink.moved(moved.taken, now);
        lane.passed += moved.taken as u64;
        self.look(turn.stream, turn.way, now);
        if moved.held < before {
            self.quench();
        }
    }

    /// Queues a lane that can move, and tells its meters who is waited for.
    fn look(&mut self, stream: StreamId, way: Way, now: f64) {
        let (pool, held) = (self.pool, self.held);
        let Some(s) = self.streams.get_mut(&stream) else { return };
        let window = s.allowance.window;
        let lane = s.lane(way);
        let credit = credit(lane, window, pool, held);
        let wants = lane.reads() && lane.readable;
        let can_pass = lane.passes() && lane.held > 0;
        // A source is waited for while it could be read and has nothing; a sink while it leaves what is held.
        lane.source.waits(lane.reads() && !lane.readable && room(lane, window, pool, held) > 0, now);
        lane.sink.waits(can_pass && lane.blocked, now);
        let able = wants && credit > 0 || can_pass && !lane.blocked;
        if able && !lane.queued {
            lane.queued = true;
            let line = if lane.passed < SHORT_CHANNEL_BYTES { &mut self.young } else { &mut self.turns };
            line.push_back((stream, way));
        } else if wants && credit == 0 && !lane.full && lane.held < window && !lane.thirsty {
            lane.thirsty = true;
            self.thirsty.push_back((stream, way));
        }
    }

    /// Lets lanes that waited for the pool look again.
    fn quench(&mut self) {
        if self.held >= self.pool {
            return;
        }
        for _ in 0..self.thirsty.len() {
            let Some((stream, way)) = self.thirsty.pop_front() else { return };
            let Some(lane) = self.streams.get_mut(&stream).map(|s| s.lane(way)) else { continue };
            lane.thirsty = false;
            if !lane.queued && lane.reads() && lane.readable {
                lane.queued = true;
                let line = if lane.passed < SHORT_CHANNEL_BYTES { &mut self.young } else { &mut self.turns };
                line.push_back((stream, way));
            }
        }
    }

    /// Peers that have been too slow or too silent by now. Each is told once; its stream is to be closed, or the lane
    /// put to another use.
    pub fn expire(&mut self, now: f64) -> Vec<GiveUp> {
        let mut out = Vec::new();
        for (&stream, s) in &mut self.streams {
            for way in [Way::Up, Way::Down] {
                let lane = s.lane(way);
                let source = lane.source.check(now).map(|verdict| (Side::Source, verdict));
                let verdict = source.or_else(|| lane.sink.check(now).map(|verdict| (Side::Sink, verdict)));
                if let Some((side, verdict)) = verdict {
                    out.push(GiveUp { stream, way, side, verdict });
                }
            }
        }
        // The map's order must not decide.
        out.sort_unstable_by_key(|g| (g.stream, g.way == Way::Down));
        out
    }

    /// When `expire` is to be called next, at the latest.
    pub fn due(&self) -> f64 {
        let lanes = self.streams.values().flat_map(|s| [&s.up, &s.down]);
        lanes.map(|lane| lane.source.due().min(lane.sink.due())).fold(f64::INFINITY, f64::min)
    }
}

/// Bytes that a lane may hold more.
fn room(lane: &Lane, window: usize, pool: usize, held: usize) -> usize {
    let pooled = pool.saturating_sub(held);
    let least = MIN_CHANNEL_BYTES.saturating_sub(lane.held);
    window.saturating_sub(lane.held).min(pooled.max(least))
}

/// Bytes that a lane may read now.
fn credit(lane: &Lane, window: usize, pool: usize, held: usize) -> usize {
    if lane.reads() && lane.readable && !lane.full { room(lane, window, pool, held) } else { 0 }
}

#[cfg(test)]
mod tests;
