//! Flow: which stream is read next and how much of it, how much of it may be held, when it is to be dispatched, and
//! when a peer that is too slow or too silent is given up.
//!
//! Owns the counts of bytes and the deadlines, and nothing else: no socket, no buffer, no framing. The caller reports what
//! happened (`on_readable`, `on_writable`, `on_moved`, `on_source_ended`), moves bytes for each turn that `next_turn` gives,
//! and closes what `expire` returns. Times are in milliseconds of the caller's clock, which must not run backwards.
//!
//! A stream has two channels, up (client to server) and down (server to client). The source of a channel is read only
//! while the channel holds less than its window and the pool has room; the sink takes what is held. Channels that can move
//! bytes have their turns in the order in which they became able to, a quantum of bytes each. Channels that have moved few
//! bytes yet (short ones) go before the others, up to `MAX_SHORT_TURNS_IN_A_ROW` turns in a row.
//!
//! A channel passes these phases:
//!
//! ```text
//! Closed --hold--> Held --release--> Open --on_source_ended--> Draining
//!    \-------------release-------------^
//! any --pause--> Closed; Held --on_source_ended--> Closed; any other --on_source_ended--> Draining
//! ```

mod admission;
mod channel;
mod hold;
mod meter;
mod turns;

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use channel::{Channel, Phase};
use turns::{ChannelId, Turns};

pub use admission::{Admission, AdmissionError, Bounds, Slots};
pub use channel::MIN_CHANNEL_BYTES;
pub use hold::{DispatchCondition, Hold, HoldDecision};
pub use meter::{Meter, Pace, PaceFailure};
pub use turns::{MAX_SHORT_TURNS_IN_A_ROW, SHORT_CHANNEL_BYTES};

/// A stream, under an id that its owner gives it once.
pub type StreamId = u64;

/// A direction of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From the client to the server.
    Up,
    /// From the server to the client.
    Down,
}

/// A side of a channel.
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
    /// Bytes that a channel may hold.
    pub window: usize,
    /// The least pace of its peers.
    pub pace: Pace,
}

/// A channel's turn: read `read` bytes at most, and pass on what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The stream.
    pub stream: StreamId,
    /// The channel.
    pub direction: Direction,
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
    /// Bytes that the channel now holds in all its buffers.
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
    /// The channel.
    pub direction: Direction,
    /// Which side of it failed.
    pub side: Side,
    /// Why.
    pub failure: PaceFailure,
}

struct Stream {
    allowance: Allowance,
    up: Channel,
    down: Channel,
}

impl Stream {
    fn channel(&mut self, direction: Direction) -> &mut Channel {
        match direction {
            Direction::Up => &mut self.up,
            Direction::Down => &mut self.down,
        }
    }
}

/// All streams of a frontend.
pub struct Flow {
    streams: FxHashMap<StreamId, Stream>,
    turns: Turns,
    /// Bytes that a turn may read.
    quantum: usize,
    /// Bytes that all channels may hold together, beside `MIN_CHANNEL_BYTES` for each.
    pool: usize,
    held: usize,
    /// Channels that wait for room in the pool.
    starved: VecDeque<ChannelId>,
}

impl Flow {
    /// No streams yet: `pool` bytes may be held in all, `quantum` read at a turn.
    pub fn new(pool: usize, quantum: usize) -> Flow {
        Flow {
            streams: FxHashMap::default(),
            turns: Turns::default(),
            quantum: quantum.max(1),
            pool,
            held: 0,
            starved: VecDeque::new(),
        }
    }

    /// Takes over other bounds. What is held above them drains.
    pub fn reconfigure(&mut self, pool: usize, quantum: usize) {
        (self.pool, self.quantum) = (pool, quantum.max(1));
    }

    /// How many streams there are.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Bytes held by all channels together.
    pub fn held(&self) -> usize {
        self.held
    }

    /// A stream begins, both channels closed. Its id must be new.
    pub fn open(&mut self, stream: StreamId, allowance: Allowance) {
        let channel = || Channel::new(allowance.pace);
        self.streams.insert(stream, Stream { allowance, up: channel(), down: channel() });
    }

    /// A stream is over; its turns are dropped.
    pub fn close(&mut self, stream: StreamId) {
        let Some(gone) = self.streams.remove(&stream) else { return };
        self.held -= gone.up.held + gone.down.held;
        self.requeue_starved();
    }

    /// A channel's source is read from now on, but nothing may leave it yet.
    pub fn hold(&mut self, stream: StreamId, direction: Direction, now: f64) {
        self.enter(stream, direction, Phase::Held, now);
    }

    /// A channel's source is read, and what it holds may leave, to a sink that has not been measured before. `held` are the
    /// bytes that it holds by now.
    pub fn release(&mut self, stream: StreamId, direction: Direction, held: usize, now: f64) {
        let pace = self.streams.get(&stream).map(|s| s.allowance.pace);
        if let Some((channel, pace)) = self.streams.get_mut(&stream).map(|s| s.channel(direction)).zip(pace) {
            // Guards a second server against what the first one was too slow in.
            channel.sink = Meter::new(pace);
            self.held = self.held + held - channel.held;
            channel.held = held;
            (channel.blocked, channel.full) = (false, false);
        }
        self.enter(stream, direction, Phase::Open, now);
    }

    /// A channel's source has ended; what is held still leaves.
    pub fn on_source_ended(&mut self, stream: StreamId, direction: Direction, now: f64) {
        let phase = self.streams.get_mut(&stream).map(|s| s.channel(direction).phase);
        let next = if phase == Some(Phase::Held) { Phase::Closed } else { Phase::Draining };
        self.enter(stream, direction, next, now);
    }

    /// Closes a channel for now: its source is not waited for, and nothing leaves it.
    pub fn pause(&mut self, stream: StreamId, direction: Direction, now: f64) {
        self.enter(stream, direction, Phase::Closed, now);
    }

    fn enter(&mut self, stream: StreamId, direction: Direction, phase: Phase, now: f64) {
        let Some(channel) = self.streams.get_mut(&stream).map(|s| s.channel(direction)) else { return };
        channel.phase = phase;
        // Bytes may have come before anybody wanted them.
        channel.readable = channel.reads();
        self.reschedule(stream, direction, now);
    }

    /// A channel's source may have bytes, or its end.
    pub fn on_readable(&mut self, stream: StreamId, direction: Direction, now: f64) {
        if let Some(channel) = self.streams.get_mut(&stream).map(|s| s.channel(direction)) {
            channel.readable = true;
            self.reschedule(stream, direction, now);
        }
    }

    /// A channel's sink may take bytes.
    pub fn on_writable(&mut self, stream: StreamId, direction: Direction, now: f64) {
        if let Some(channel) = self.streams.get_mut(&stream).map(|s| s.channel(direction)) {
            (channel.blocked, channel.full) = (false, false);
            self.reschedule(stream, direction, now);
        }
    }

    /// Whose turn it is. Each turn given is to be answered by `on_moved`, unless its stream is closed meanwhile.
    pub fn next_turn(&mut self) -> Option<Turn> {
        while let Some((stream, direction)) = self.turns.pop() {
            let (pooled, quantum) = (self.pooled(), self.quantum);
            let Some(s) = self.streams.get_mut(&stream) else { continue };
            let window = s.allowance.window;
            let channel = s.channel(direction);
            channel.queued = false;
            let read = channel.credit(window, pooled).min(quantum);
            if read > 0 || channel.passes() && channel.held > 0 && !channel.blocked {
                return Some(Turn { stream, direction, read });
            }
        }
        None
    }

    /// Whether a turn waits.
    pub fn has_turns(&self) -> bool {
        !self.turns.is_empty()
    }

    /// What came of a turn.
    pub fn on_moved(&mut self, turn: Turn, moved: Moved, now: f64) {
        let Some(channel) = self.streams.get_mut(&turn.stream).map(|s| s.channel(turn.direction)) else {
            return;
        };
        let before = channel.held;
        self.held = self.held + moved.held - channel.held;
        channel.held = moved.held;
        // Guards against turns without end for a channel that waits for its sink: they would keep the whole loop busy.
        (channel.blocked, channel.full) = (moved.blocked, moved.blocked && moved.full);
        channel.readable = moved.more;
        channel.source.on_moved(moved.read, now);
        channel.sink.on_moved(moved.taken, now);
        channel.passed += moved.taken as u64;
        self.reschedule(turn.stream, turn.direction, now);
        if moved.held < before {
            self.requeue_starved();
        }
    }

    /// Queues a channel that can move, and tells its meters who is waited for.
    fn reschedule(&mut self, stream: StreamId, direction: Direction, now: f64) {
        let pooled = self.pooled();
        let Some(s) = self.streams.get_mut(&stream) else { return };
        let window = s.allowance.window;
        let channel = s.channel(direction);
        let credit = channel.credit(window, pooled);
        let wants = channel.reads() && channel.readable;
        let can_pass = channel.passes() && channel.held > 0;
        // A source is waited for while it could be read and has nothing; a sink while it leaves what is held.
        channel
            .source
            .set_waiting(channel.reads() && !channel.readable && channel.room(window, pooled) > 0, now);
        channel.sink.set_waiting(can_pass && channel.blocked, now);
        let able = wants && credit > 0 || can_pass && !channel.blocked;
        if able && !channel.queued {
            channel.queued = true;
            self.turns.push((stream, direction), channel.passed);
        } else if wants && credit == 0 && !channel.full && channel.held < window && !channel.starved {
            channel.starved = true;
            self.starved.push_back((stream, direction));
        }
    }

    /// Bytes that are left in the pool.
    fn pooled(&self) -> usize {
        self.pool.saturating_sub(self.held)
    }

    /// Queues the channels that wait for the pool, once it has room.
    fn requeue_starved(&mut self) {
        if self.held >= self.pool {
            return;
        }
        for _ in 0..self.starved.len() {
            let Some((stream, direction)) = self.starved.pop_front() else { return };
            let Some(channel) = self.streams.get_mut(&stream).map(|s| s.channel(direction)) else { continue };
            channel.starved = false;
            if !channel.queued && channel.reads() && channel.readable {
                channel.queued = true;
                self.turns.push((stream, direction), channel.passed);
            }
        }
    }

    /// Peers that have been too slow or too silent by now, by stream. The caller is to close the stream, or to pause or
    /// release the channel.
    pub fn expire(&mut self, now: f64) -> Vec<GiveUp> {
        let mut out = Vec::new();
        for (&stream, s) in &mut self.streams {
            for direction in [Direction::Up, Direction::Down] {
                let channel = s.channel(direction);
                let source = channel.source.check(now).map(|failure| (Side::Source, failure));
                let failure = source.or_else(|| channel.sink.check(now).map(|failure| (Side::Sink, failure)));
                if let Some((side, failure)) = failure {
                    out.push(GiveUp { stream, direction, side, failure });
                }
            }
        }
        // The order of a hash map must not decide who is given up first.
        out.sort_unstable_by_key(|g| (g.stream, g.direction == Direction::Down));
        out
    }

    /// When `expire` is to be called next, at the latest.
    pub fn next_deadline(&self) -> f64 {
        let channels = self.streams.values().flat_map(|s| [&s.up, &s.down]);
        channels
            .map(|channel| channel.source.next_deadline().min(channel.sink.next_deadline()))
            .fold(f64::INFINITY, f64::min)
    }
}

#[cfg(test)]
mod tests;
