//! Simulated links between dispatchers, and the event queue of the simulated clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use micabeam::fleet::MemberId;

/// Minimum delay of a datagram, in milliseconds.
const MIN_DELAY_MS: f64 = 1.0;
/// IPv4 and UDP headers of a datagram, in bytes.
pub(super) const HEADER_BYTES: u64 = 28;

/// An event of the simulation.
pub(super) enum Event {
    /// A datagram arrives.
    Datagram {
        /// Its sender.
        from: MemberId,
        /// Its receiver.
        to: MemberId,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// A dispatcher's timer fires; ignored if that process has ended.
    Tick {
        /// The dispatcher.
        member: MemberId,
        /// Number of its process.
        process: u64,
    },
    /// A dispatcher's write has completed; ignored if that process has ended.
    Written {
        /// The dispatcher.
        member: MemberId,
        /// Number of its process.
        process: u64,
    },
    /// An operator proposes the next version of the policy.
    ProposeChange,
    /// A fault begins or ends.
    Fault(Fault),
}

/// A fault, or the end of one.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// A dispatcher is killed.
    Kill(MemberId),
    /// A dispatcher is killed and restarted soon after.
    Restart(MemberId),
    /// A dispatcher is started.
    Start(MemberId),
    /// A dispatcher is suspended.
    Freeze(MemberId),
    /// A suspended dispatcher resumes.
    Thaw(MemberId),
    /// The leader is killed and restarted later.
    KillLeader,
    /// All dispatchers and workers of a zone are killed.
    KillZone(usize),
    /// A region is cut off from the others.
    Cut(usize),
    /// The region is connected again.
    Heal,
}

struct Scheduled {
    at: f64,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

/// The scheduled events, in order of time.
#[derive(Default)]
pub(super) struct Queue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
}

impl Queue {
    /// Schedules an event. Events of the same time are handled in the order in which they were scheduled.
    pub(super) fn schedule(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    /// Removes and returns the next event and its time, if it is due by `end`.
    pub(super) fn next(&mut self, end: f64) -> Option<(f64, Event)> {
        if self.heap.peek()?.0.at > end {
            return None;
        }
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }
}

/// The simulated links between all members.
pub(super) struct Links {
    /// Maximum delay of a datagram, in milliseconds. Each datagram gets a random delay, so that they can be reordered.
    pub(super) max_delay_ms: f64,
    /// Datagrams lost per thousand.
    pub(super) lost: u32,
    /// The region of each member.
    pub(super) regions: Vec<usize>,
    /// The region that is cut off, if any.
    pub(super) cut_region: Option<usize>,
}

impl Links {
    /// Returns the random delay of a datagram, or `None` if it is lost.
    pub(super) fn delay(&self, from: MemberId, to: MemberId, rng: &mut fastrand::Rng) -> Option<f64> {
        let region = |member: MemberId| self.regions[usize::from(member)];
        if self.cut_region.is_some_and(|cut| (region(from) == cut) != (region(to) == cut)) {
            return None;
        }
        if rng.u32(..1000) < self.lost {
            return None;
        }
        Some(MIN_DELAY_MS + rng.f64() * (self.max_delay_ms - MIN_DELAY_MS).max(0.0))
    }
}
