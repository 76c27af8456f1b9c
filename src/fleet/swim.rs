//! Membership: tracks which members are up, using SWIM (`foca`). Driven by packets and the clock.
//!
//! This module owns the protocol's timers and the state of the members. The caller passes on each received
//! packet, calls `tick`, and sends the packets returned by `take_packets`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, Foca, Identity, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use super::types::MemberId;

/// Maximum packet size, in bytes, chosen so that packets are not fragmented on a usual network.
const MAX_PACKET_BYTES: usize = 1200;
/// Maximum number of pending timers. `foca` uses a few for each member.
const MAX_TIMERS: usize = 8192;
/// Interval between two probes, in milliseconds.
const PROBE_PERIOD_MS: u64 = 300;
/// Timeout of a direct probe, in milliseconds. The rest of the period is left for indirect probes.
const PROBE_TIMEOUT_MS: u64 = PROBE_PERIOD_MS / 3;
/// Number of members that are asked to probe one that did not answer.
const INDIRECT_PROBES: usize = 3;
/// Time for which an unresponsive member is suspected before it counts as down, in milliseconds. It exceeds
/// two probe periods, so that the member can refute the suspicion.
const SUSPICION_TIMEOUT_MS: u64 = 700;
/// Interval between two rounds of gossip, in milliseconds.
const GOSSIP_INTERVAL_MS: u64 = 200;
/// Number of members that receive each round of gossip.
const GOSSIP_FANOUT: usize = 2;
/// Maximum number of times that an update is sent, whatever the size of the fleet.
const MAX_TRANSMISSIONS: u32 = 40;
/// Interval at which a member announces itself to a member that is not known to be up, in milliseconds.
/// Without this, two parts of the fleet that started separately or were partitioned would never learn of each
/// other.
const ANNOUNCE_INTERVAL_MS: f64 = 500.0;

/// Identifies a process of a member. A process that started later replaces an earlier one of the same member.
/// A process that was wrongly declared down continues under the next renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SwimIdentity {
    member: MemberId,
    incarnation: u64,
    renewal: u32,
}

impl Identity for SwimIdentity {
    type Addr = MemberId;

    fn renew(&self) -> Option<SwimIdentity> {
        Some(SwimIdentity { renewal: self.renewal.wrapping_add(1), ..*self })
    }

    fn addr(&self) -> MemberId {
        self.member
    }

    fn win_addr_conflict(&self, other: &SwimIdentity) -> bool {
        (self.incarnation, self.renewal) > (other.incarnation, other.renewal)
    }
}

/// A pending `foca` timer. Of two timers due at the same time the older one fires first.
#[derive(Clone, Debug)]
struct PendingTimer {
    fires_at_ms: f64,
    sequence: u64,
    timer: Timer<SwimIdentity>,
}

impl PartialEq for PendingTimer {
    fn eq(&self, other: &PendingTimer) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for PendingTimer {}

impl PartialOrd for PendingTimer {
    fn partial_cmp(&self, other: &PendingTimer) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PendingTimer {
    fn cmp(&self, other: &PendingTimer) -> std::cmp::Ordering {
        self.fires_at_ms.total_cmp(&other.fires_at_ms).then(self.sequence.cmp(&other.sequence))
    }
}

/// A protocol packet for another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SwimPacket {
    pub(super) to: MemberId,
    pub(super) bytes: Vec<u8>,
}

/// Collects the output of `foca`.
#[derive(Default)]
struct SwimRuntime {
    now_ms: f64,
    /// Sequence number of the newest timer.
    sequence: u64,
    outgoing: Vec<SwimPacket>,
    timers: BinaryHeap<Reverse<PendingTimer>>,
    /// Whether a member has gone up or down since the last refresh.
    has_changed: bool,
}

impl Runtime<SwimIdentity> for SwimRuntime {
    fn notify(&mut self, notification: Notification<'_, SwimIdentity>) {
        if matches!(notification, Notification::MemberUp(_) | Notification::MemberDown(_)) {
            self.has_changed = true;
        }
    }

    fn send_to(&mut self, to: SwimIdentity, data: &[u8]) {
        self.outgoing.push(SwimPacket { to: to.member, bytes: data.to_vec() });
    }

    fn submit_after(&mut self, timer: Timer<SwimIdentity>, after: Duration) {
        if self.timers.len() < MAX_TIMERS {
            self.sequence += 1;
            let fires_at_ms = self.now_ms + after.as_secs_f64() * 1e3;
            self.timers.push(Reverse(PendingTimer { fires_at_ms, sequence: self.sequence, timer }));
        }
    }
}

/// This member's view of which members are up.
pub(super) struct Swim {
    foca: Foca<SwimIdentity, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    runtime: SwimRuntime,
    /// Whether each member is up; this member always is.
    alive: Vec<bool>,
    member_id: MemberId,
    last_announce_ms: f64,
}

impl Swim {
    pub(super) fn new(member_id: MemberId, members: usize, incarnation: u64, seed: u64) -> Swim {
        let identity = SwimIdentity { member: member_id, incarnation, renewal: 0 };
        let mut alive = vec![false; members];
        if let Some(alive) = alive.get_mut(usize::from(member_id)) {
            *alive = true;
        }
        let foca = Foca::new(identity, config(members), SmallRng::seed_from_u64(seed), PostcardCodec);
        Swim { foca, runtime: SwimRuntime::default(), alive, member_id, last_announce_ms: f64::NEG_INFINITY }
    }

    /// Handles a protocol packet.
    ///
    /// # Errors
    /// If `foca` rejects the packet.
    pub(super) fn receive(&mut self, now_ms: f64, bytes: &[u8]) -> Result<(), foca::Error> {
        self.runtime.now_ms = now_ms;
        let result = self.foca.handle_data(bytes, &mut self.runtime);
        self.refresh_alive();
        result
    }

    /// Fires due timers and announces this member. `pick` chooses one of the given number of members that are
    /// not up.
    pub(super) fn tick(&mut self, now_ms: f64, pick: impl FnOnce(usize) -> usize) {
        self.runtime.now_ms = now_ms;
        self.fire_timers(now_ms);
        if now_ms >= self.last_announce_ms + ANNOUNCE_INTERVAL_MS {
            self.last_announce_ms = now_ms;
            self.announce(pick);
        }
        self.refresh_alive();
    }

    fn fire_timers(&mut self, now_ms: f64) {
        // Fires at most as many timers as are pending now, so that a process that was frozen does not catch
        // up on every missed period.
        for _ in 0..self.runtime.timers.len() {
            match self.runtime.timers.peek() {
                Some(Reverse(next)) if next.fires_at_ms <= now_ms => {}
                _ => break,
            }
            if let Some(Reverse(next)) = self.runtime.timers.pop() {
                // `foca` returns an error for an obsolete timer.
                let _ = self.foca.handle_timer(next.timer, &mut self.runtime);
            }
        }
    }

    fn announce(&mut self, pick: impl FnOnce(usize) -> usize) {
        let down = self.alive.iter().enumerate().filter(|(_, alive)| !**alive);
        let down: Vec<MemberId> = down.map(|(member, _)| member as MemberId).collect();
        if !down.is_empty() {
            let member = down[pick(down.len()) % down.len()];
            let identity = SwimIdentity { member, incarnation: 0, renewal: 0 };
            let _ = self.foca.announce(identity, &mut self.runtime);
        }
    }

    fn refresh_alive(&mut self) {
        if !std::mem::take(&mut self.runtime.has_changed) {
            return;
        }
        let own = usize::from(self.member_id);
        self.alive.iter_mut().enumerate().for_each(|(member, alive)| *alive = member == own);
        for member in self.foca.iter_members() {
            if let Some(alive) = self.alive.get_mut(usize::from(member.id().member)) {
                *alive = true;
            }
        }
    }

    /// Returns whether each member is up, in the order of the operator's file.
    pub(super) fn alive(&self) -> &[bool] {
        &self.alive
    }

    /// Returns and clears the packets queued since the last call.
    pub(super) fn take_packets(&mut self) -> Vec<SwimPacket> {
        std::mem::take(&mut self.runtime.outgoing)
    }
}

/// Returns the `foca` configuration for a fleet of the given size.
fn config(members: usize) -> Config {
    let at_least_one = |count: usize| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
    // An update reaches all members with near certainty once it has been sent a few times the logarithm of
    // their number.
    let transmissions = (4 + 2 * members.max(2).ilog2()).min(MAX_TRANSMISSIONS);
    Config {
        probe_period: Duration::from_millis(PROBE_PERIOD_MS),
        probe_rtt: Duration::from_millis(PROBE_TIMEOUT_MS),
        num_indirect_probes: at_least_one(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(transmissions as u8).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_millis(SUSPICION_TIMEOUT_MS),
        // The operator's file defines the members, so remembering those that are down needs bounded space.
        remove_down_after: None,
        max_packet_size: at_least_one(MAX_PACKET_BYTES),
        notify_down_members: true,
        // `Swim::announce` does this instead, for the members of the operator's file.
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams {
            frequency: Duration::from_millis(GOSSIP_INTERVAL_MS),
            num_members: at_least_one(GOSSIP_FANOUT),
        }),
    }
}
