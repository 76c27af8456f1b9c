//! Who is there: SWIM by `foca`, driven by packets and the clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, Foca, Identity, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use super::MemberId;

/// Longest packet of the protocol, in bytes.
const PACKET: usize = 1200;
/// Most timers that are kept; the library has a few of each member.
const TIMERS: usize = 8192;

/// A member's process. One that has started later wins over one under the same name; one that was taken for dead and
/// is not goes on under the next number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Id {
    member: MemberId,
    incarnation: u64,
    renewed: u32,
}

impl Identity for Id {
    type Addr = MemberId;

    fn renew(&self) -> Option<Id> {
        Some(Id { renewed: self.renewed.wrapping_add(1), ..*self })
    }

    fn addr(&self) -> MemberId {
        self.member
    }

    fn win_addr_conflict(&self, other: &Id) -> bool {
        (self.incarnation, self.renewed) > (other.incarnation, other.renewed)
    }
}

/// A timer of the library, with its time and its number: of two at a time the older comes first.
#[derive(Clone, Debug)]
struct Due {
    at: f64,
    number: u64,
    timer: Timer<Id>,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.number == other.number
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

/// What the library asks for.
#[derive(Default)]
struct Asked {
    now: f64,
    number: u64,
    send: Vec<(MemberId, Vec<u8>)>,
    timers: BinaryHeap<Reverse<Due>>,
    changes: u64,
}

impl Runtime<Id> for Asked {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        if matches!(notification, Notification::MemberUp(_) | Notification::MemberDown(_)) {
            self.changes += 1;
        }
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.send.push((to.member, data.to_vec()));
    }

    fn submit_after(&mut self, timer: Timer<Id>, after: Duration) {
        if self.timers.len() < TIMERS {
            self.number += 1;
            let at = self.now + after.as_secs_f64() * 1e3;
            self.timers.push(Reverse(Due { at, number: self.number, timer }));
        }
    }
}

/// The members as one of them knows them.
pub(super) struct Swim {
    foca: Foca<Id, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    asked: Asked,
    up: Vec<bool>,
    own: MemberId,
    announced: f64,
}

/// Probes go out so often, in milliseconds.
const PERIOD: u64 = 300;
/// A member that does not answer is suspected, and has so long to say that it lives, in milliseconds.
const SUSPECT: u64 = 700;
/// A member asks one that it does not know of so often, in milliseconds: two parts of the fleet that came up or were cut
/// apart would else never hear of each other.
const ANNOUNCE: f64 = 500.0;

impl Swim {
    pub(super) fn new(own: MemberId, members: usize, incarnation: u64, seed: u64) -> Swim {
        let some = |count: usize| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
        let each = |ms: u64, count: usize| {
            Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members: some(count) })
        };
        // An update reaches all with near certainty after a few times the logarithm of their number.
        let times = 4 + 2 * members.max(2).ilog2();
        let config = Config {
            probe_period: Duration::from_millis(PERIOD),
            probe_rtt: Duration::from_millis(PERIOD / 3),
            num_indirect_probes: some(3),
            max_transmissions: NonZeroU8::new(times.min(40) as u8).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: Duration::from_millis(SUSPECT),
            // The members are those of the operator's file: nothing grows by remembering them.
            remove_down_after: None,
            max_packet_size: some(PACKET),
            notify_down_members: true,
            // Done here, from the operator's file.
            periodic_announce: None,
            periodic_announce_to_down_members: None,
            periodic_gossip: each(200, 2),
        };
        let id = Id { member: own, incarnation, renewed: 0 };
        let mut up = vec![false; members];
        if let Some(up) = up.get_mut(usize::from(own)) {
            *up = true;
        }
        let foca = Foca::new(id, config, SmallRng::seed_from_u64(seed), PostcardCodec);
        Swim { foca, asked: Asked::default(), up, own, announced: f64::NEG_INFINITY }
    }

    /// A packet of the protocol. False where it does not read.
    pub(super) fn receive(&mut self, now: f64, bytes: &[u8]) -> bool {
        self.asked.now = now;
        let read = self.foca.handle_data(bytes, &mut self.asked).is_ok();
        self.look();
        read
    }

    /// Does what is due. `pick` chooses whom to ask of those that are not there.
    pub(super) fn tick(&mut self, now: f64, pick: impl FnOnce(usize) -> usize) {
        self.asked.now = now;
        // Only what was due before: a process that was frozen is not to catch up on each missed period.
        let due = self.asked.timers.len();
        for _ in 0..due {
            match self.asked.timers.peek() {
                Some(Reverse(due)) if due.at <= now => {}
                _ => break,
            }
            if let Some(Reverse(due)) = self.asked.timers.pop() {
                // A timer that has lost its meaning says so by an error.
                let _ = self.foca.handle_timer(due.timer, &mut self.asked);
            }
        }
        if now >= self.announced + ANNOUNCE {
            self.announced = now;
            let missing = self.up.iter().enumerate().filter(|(_, up)| !**up);
            let missing: Vec<MemberId> = missing.map(|(at, _)| at as MemberId).collect();
            if !missing.is_empty() {
                let member = missing[pick(missing.len()) % missing.len()];
                let _ = self.foca.announce(Id { member, incarnation: 0, renewed: 0 }, &mut self.asked);
            }
        }
        self.look();
    }

    fn look(&mut self) {
        if std::mem::take(&mut self.asked.changes) == 0 {
            return;
        }
        let own = usize::from(self.own);
        self.up.iter_mut().enumerate().for_each(|(at, up)| *up = at == own);
        for member in self.foca.iter_members() {
            if let Some(up) = self.up.get_mut(usize::from(member.id().member)) {
                *up = true;
            }
        }
    }

    /// Which members are there.
    pub(super) fn up(&self) -> &[bool] {
        &self.up
    }

    /// What is to be sent.
    pub(super) fn take(&mut self) -> Vec<(MemberId, Vec<u8>)> {
        std::mem::take(&mut self.asked.send)
    }
}
