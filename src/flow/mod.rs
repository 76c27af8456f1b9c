//! Flow control for streams: decides which stream is read next and how much, how many bytes may be buffered,
//! when a request is dispatched, and when a peer that is too slow or silent is given up.
//!
//! Sans-I/O: it owns byte counts and deadlines, but no socket, buffer or framing. The caller reports events
//! (`on_readable`, `on_writable`, `on_turn_finished`, `on_source_ended`), transfers bytes for each turn that
//! `next_turn` returns, and closes what `expire` returns. Times are in milliseconds of the caller's clock,
//! which must be monotonic.
//!
//! A stream has two channels, up (client to server) and down (server to client). The source of a channel is
//! read only while the channel buffers less than its window and the shared pool has free bytes; buffered
//! bytes are written to its sink. Channels that can transfer bytes get turns of one quantum each, in the
//! order in which they became ready. Short channels, which have transferred few bytes so far, go before the
//! others, for up to `MAX_SHORT_TURNS_IN_A_ROW` turns in a row.
//!
//! The phases of a channel:
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
use turns::{ChannelId, TurnQueue};

pub use admission::{Admission, AdmissionError, Bounds, Slots};
pub use channel::MIN_CHANNEL_BYTES;
pub use hold::{DispatchCondition, HeldRequest, HoldDecision};
pub use meter::{Pace, PaceFailure, PaceMeter};
pub use turns::{MAX_SHORT_TURNS_IN_A_ROW, SHORT_CHANNEL_BYTES};

/// The id of a stream; the owner of the streams never uses an id twice.
pub type StreamId = u64;

/// A direction of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From the client to the server.
    Up,
    /// From the server to the client.
    Down,
}

/// An end of a channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The peer that the channel reads from.
    Source,
    /// The peer that the channel writes to.
    Sink,
}

/// The limits that the class of a stream sets for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Bytes that each channel may buffer.
    pub window: usize,
    /// The minimum pace of both peers.
    pub pace: Pace,
}

/// A turn of a channel: the caller reads up to `read_limit` bytes and writes what is buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The stream.
    pub stream: StreamId,
    /// The channel of the stream.
    pub direction: Direction,
    /// Maximum number of bytes to read; 0 means that nothing is read.
    pub read_limit: usize,
}

/// Bytes that a turn has transferred, and the state in which it left the channel.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TurnResult {
    /// Bytes read from the source.
    pub read: usize,
    /// Whether the source may have more bytes to read at once.
    pub more: bool,
    /// Bytes that the sink accepted.
    pub written: usize,
    /// Bytes that are now held in all buffers of the channel.
    pub held: usize,
    /// Whether the sink accepts no more bytes for now.
    pub blocked: bool,
    /// Whether nothing more can be read until the sink accepts bytes, even if the window has space: because a
    /// pipe is not empty, a buffer is full, or the sink is still connecting.
    pub full: bool,
}

/// A peer that failed to keep its pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedPeer {
    /// The stream.
    pub stream: StreamId,
    /// The channel of the stream.
    pub direction: Direction,
    /// The end of the channel that failed.
    pub side: Side,
    /// How it failed.
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

/// Flow control for all streams of a frontend.
pub struct Flow {
    streams: FxHashMap<StreamId, Stream>,
    turns: TurnQueue,
    /// Bytes that one turn may read.
    quantum: usize,
    /// Bytes that all channels may buffer together; each may hold `MIN_CHANNEL_BYTES` in addition.
    pool: usize,
    held: usize,
    /// Channels that wait for free bytes in the pool.
    starved: VecDeque<ChannelId>,
}

impl Flow {
    /// Creates flow control without streams. All channels together may buffer `pool` bytes, and a turn reads
    /// up to `quantum` bytes.
    pub fn new(pool: usize, quantum: usize) -> Flow {
        Flow {
            streams: FxHashMap::default(),
            turns: TurnQueue::default(),
            quantum: quantum.max(1),
            pool,
            held: 0,
            starved: VecDeque::new(),
        }
    }

    /// Replaces the limits. Bytes buffered above the new pool drain.
    pub fn reconfigure(&mut self, pool: usize, quantum: usize) {
        (self.pool, self.quantum) = (pool, quantum.max(1));
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the bytes buffered by all channels together.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a stream with both channels closed. The id must be new.
    pub fn open(&mut self, stream: StreamId, allowance: Allowance) {
        let channel = || Channel::new(allowance.pace);
        self.streams.insert(stream, Stream { allowance, up: channel(), down: channel() });
    }

    /// Removes a stream and its pending turns.
    pub fn close(&mut self, stream: StreamId) {
        let Some(closed) = self.streams.remove(&stream) else { return };
        self.held -= closed.up.held + closed.down.held;
        self.requeue_starved();
    }

    /// Starts reading the source of a channel, without writing to its sink yet.
    pub fn hold(&mut self, stream: StreamId, direction: Direction, now: f64) {
        self.set_phase(stream, direction, Phase::Held, now);
    }

    /// Opens a channel: its source is read and its buffered bytes, `held` of them, may be written to the
    /// sink. The sink's pace is measured from the start.
    pub fn release(&mut self, stream: StreamId, direction: Direction, held: usize, now: f64) {
        let pace = self.streams.get(&stream).map(|s| s.allowance.pace);
        if let Some((channel, pace)) = self.streams.get_mut(&stream).map(|s| s.channel(direction)).zip(pace) {
            // After a failed attempt the sink is another server, which must not be blamed for the first one's
            // delay.
            channel.sink = PaceMeter::new(pace);
            self.held = self.held + held - channel.held;
            channel.held = held;
            (channel.blocked, channel.full) = (false, false);
        }
        self.set_phase(stream, direction, Phase::Open, now);
    }

    /// Records that the source of a channel has ended. Buffered bytes are still written.
    pub fn on_source_ended(&mut self, stream: StreamId, direction: Direction, now: f64) {
        let phase = self.streams.get_mut(&stream).map(|s| s.channel(direction).phase);
        let next = if phase == Some(Phase::Held) { Phase::Closed } else { Phase::Draining };
        self.set_phase(stream, direction, next, now);
    }

    /// Closes a channel until further notice: its source is not read and nothing is written to its sink.
    pub fn pause(&mut self, stream: StreamId, direction: Direction, now: f64) {
        self.set_phase(stream, direction, Phase::Closed, now);
    }

    fn set_phase(&mut self, stream: StreamId, direction: Direction, phase: Phase, now: f64) {
        let Some(channel) = self.streams.get_mut(&stream).map(|s| s.channel(direction)) else { return };
        channel.phase = phase;
        // Bytes may have arrived while the source was not being read.
        channel.readable = channel.reads_source();
        self.reschedule(stream, direction, now);
    }

    /// Records that the source of a channel may have bytes, or may have ended.
    pub fn on_readable(&mut self, stream: StreamId, direction: Direction, now: f64) {
        if let Some(channel) = self.streams.get_mut(&stream).map(|s| s.channel(direction)) {
            channel.readable = true;
            self.reschedule(stream, direction, now);
        }
    }

    /// Records that the sink of a channel may accept bytes.
    pub fn on_writable(&mut self, stream: StreamId, direction: Direction, now: f64) {
        if let Some(channel) = self.streams.get_mut(&stream).map(|s| s.channel(direction)) {
            (channel.blocked, channel.full) = (false, false);
            self.reschedule(stream, direction, now);
        }
    }

    /// Returns the next turn. The caller must finish each turn with `on_turn_finished`, unless the stream is
    /// closed first.
    pub fn next_turn(&mut self) -> Option<Turn> {
        while let Some((stream, direction)) = self.turns.pop() {
            let (pool_free, quantum) = (self.pool_free(), self.quantum);
            let Some(s) = self.streams.get_mut(&stream) else { continue };
            let window = s.allowance.window;
            let channel = s.channel(direction);
            channel.queued = false;
            let read_limit = channel.credit(window, pool_free).min(quantum);
            if read_limit > 0 || channel.writes_sink() && channel.held > 0 && !channel.blocked {
                return Some(Turn { stream, direction, read_limit });
            }
        }
        None
    }

    /// Whether a channel is queued for a turn.
    pub fn has_turns(&self) -> bool {
        !self.turns.is_empty()
    }

    /// Records the result of a turn.
    pub fn on_turn_finished(&mut self, turn: Turn, result: TurnResult, now: f64) {
        let Some(channel) = self.streams.get_mut(&turn.stream).map(|s| s.channel(turn.direction)) else {
            return;
        };
        let held_before = channel.held;
        self.held = self.held + result.held - channel.held;
        channel.held = result.held;
        // A channel that waits for its sink must get no further turns: they would never end and keep the
        // event loop busy.
        (channel.blocked, channel.full) = (result.blocked, result.blocked && result.full);
        channel.readable = result.more;
        channel.source.record_bytes(result.read, now);
        channel.sink.record_bytes(result.written, now);
        channel.written += result.written as u64;
        self.reschedule(turn.stream, turn.direction, now);
        if result.held < held_before {
            self.requeue_starved();
        }
    }

    /// Queues a channel that can transfer bytes, and updates which of its peers is being waited for.
    fn reschedule(&mut self, stream: StreamId, direction: Direction, now: f64) {
        let pool_free = self.pool_free();
        let Some(s) = self.streams.get_mut(&stream) else { return };
        let window = s.allowance.window;
        let channel = s.channel(direction);
        let credit = channel.credit(window, pool_free);
        let has_input = channel.reads_source() && channel.readable;
        let has_output = channel.writes_sink() && channel.held > 0;
        // The source is being waited for while it could be read but has nothing; the sink while it does not
        // accept what is buffered.
        channel.source.set_waiting(
            channel.reads_source() && !channel.readable && channel.available(window, pool_free) > 0,
            now,
        );
        channel.sink.set_waiting(has_output && channel.blocked, now);
        let can_move = has_input && credit > 0 || has_output && !channel.blocked;
        if can_move && !channel.queued {
            channel.queued = true;
            self.turns.push((stream, direction), channel.written);
        } else if has_input && credit == 0 && !channel.full && channel.held < window && !channel.starved {
            channel.starved = true;
            self.starved.push_back((stream, direction));
        }
    }

    /// Returns the bytes that are free in the pool.
    fn pool_free(&self) -> usize {
        self.pool.saturating_sub(self.held)
    }

    /// Queues the channels that wait for the pool, once it has free bytes.
    fn requeue_starved(&mut self) {
        if self.held >= self.pool {
            return;
        }
        for _ in 0..self.starved.len() {
            let Some((stream, direction)) = self.starved.pop_front() else { return };
            let Some(channel) = self.streams.get_mut(&stream).map(|s| s.channel(direction)) else { continue };
            channel.starved = false;
            if !channel.queued && channel.reads_source() && channel.readable {
                channel.queued = true;
                self.turns.push((stream, direction), channel.written);
            }
        }
    }

    /// Returns the peers that have been too slow or silent, ordered by stream. For each of them the caller
    /// must close the stream, or pause or release the channel.
    pub fn expire(&mut self, now: f64) -> Vec<FailedPeer> {
        let mut out = Vec::new();
        for (&stream, s) in &mut self.streams {
            for direction in [Direction::Up, Direction::Down] {
                let channel = s.channel(direction);
                let source = channel.source.check(now).map(|failure| (Side::Source, failure));
                let failure = source.or_else(|| channel.sink.check(now).map(|failure| (Side::Sink, failure)));
                if let Some((side, failure)) = failure {
                    out.push(FailedPeer { stream, direction, side, failure });
                }
            }
        }
        // The iteration order of the hash map must not decide which peer is given up first.
        out.sort_unstable_by_key(|g| (g.stream, g.direction == Direction::Down));
        out
    }

    /// Returns the latest time at which `expire` must be called next.
    pub fn next_deadline(&self) -> f64 {
        let channels = self.streams.values().flat_map(|s| [&s.up, &s.down]);
        channels
            .map(|channel| channel.source.next_deadline().min(channel.sink.next_deadline()))
            .fold(f64::INFINITY, f64::min)
    }
}

#[cfg(test)]
mod tests;
