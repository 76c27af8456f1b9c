//! Links between hollow dispatchers, and what is due by the set clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use micabeam::fleet::MemberId;

/// Shortest time that a datagram takes, in milliseconds.
const SHORTEST: f64 = 1.0;
/// Headers of a datagram over IPv4, in bytes.
pub(super) const HEADERS: u64 = 28;

/// What happens at a time.
pub(super) enum Event {
    /// A datagram arrives.
    Datagram {
        /// Its sender.
        from: MemberId,
        /// Whom it is for.
        to: MemberId,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// A dispatcher does what is due; of a process that has ended it is void.
    Tick {
        /// The dispatcher.
        member: MemberId,
        /// Which of its processes.
        process: u64,
    },
    /// A dispatcher's write is done.
    Written {
        /// The dispatcher.
        member: MemberId,
        /// Which of its processes.
        process: u64,
    },
    /// An operator wants the next version of the policy.
    Want,
    /// Something goes wrong, or is mended.
    Fault(Fault),
}

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// A dispatcher is killed.
    Kill(MemberId),
    /// A dispatcher is killed, and started again soon.
    Restart(MemberId),
    /// A dispatcher is started.
    Start(MemberId),
    /// A dispatcher stands still.
    Freeze(MemberId),
    /// It goes on.
    Thaw(MemberId),
    /// The leader is killed, and started again after a while.
    KillLeader,
    /// All of a zone is killed, and its workers with it.
    KillZone(usize),
    /// A region is cut off from the others.
    Cut(usize),
    /// It is not any more.
    Heal,
}

struct Scheduled {
    at: f64,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.number == other.number
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
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

/// What is due, in order.
#[derive(Default)]
pub(super) struct Queue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    number: u64,
}

impl Queue {
    /// Has something happen at a time; of two at one time the first that was scheduled goes first.
    pub(super) fn schedule(&mut self, at: f64, event: Event) {
        self.number += 1;
        self.heap.push(Reverse(Scheduled { at, number: self.number, event }));
    }

    /// The next, if it is due by then.
    pub(super) fn next(&mut self, end: f64) -> Option<(f64, Event)> {
        if self.heap.peek()?.0.at > end {
            return None;
        }
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }
}

/// The links.
pub(super) struct Links {
    /// Longest time that a datagram takes, in milliseconds; each has its own, so that some overtake others.
    pub(super) longest: f64,
    /// Datagrams of a thousand that are lost.
    pub(super) lost: u32,
    /// The region of each member.
    pub(super) regions: Vec<usize>,
    /// The region that is cut off.
    pub(super) apart: Option<usize>,
}

impl Links {
    /// How long a datagram takes; none where it is lost.
    pub(super) fn delay(&self, from: MemberId, to: MemberId, draws: &mut fastrand::Rng) -> Option<f64> {
        let region = |member: MemberId| self.regions[usize::from(member)];
        if self.apart.is_some_and(|apart| (region(from) == apart) != (region(to) == apart)) {
            return None;
        }
        if draws.u32(..1000) < self.lost {
            return None;
        }
        Some(SHORTEST + draws.f64() * (self.longest - SHORTEST).max(0.0))
    }
}
