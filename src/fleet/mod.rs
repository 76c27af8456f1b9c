//! A dispatcher among the others of its fleet, free of I/O: who is there (`swim`), what is agreed (`crate::council`),
//! what the zones may get (`crate::zones`), and the frames between them. It is driven by frames and the clock, and gives
//! out effects.

mod frame;
mod swim;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;

pub use frame::{Body, Frame, FrameError, LONGEST};

use crate::council::{Batch, Council, CouncilError, Kept, Setup as Seat, Voter, Write};
use crate::zones::{Decider, Digest, Evidence, Follower, Rules, Seen, Sight, TOPIC, Table, Tally, View};
use swim::Swim;

/// A dispatcher's place among the members of the operator's file, from 0.
pub type Member = u16;

/// Most members of a fleet.
pub const MOST_MEMBERS: usize = 1024;
/// Time between two ticks, in milliseconds.
pub const TICK: f64 = 50.0;
/// Most messages that wait for a write.
const WAITING: usize = 4096;

/// What the operator's file says of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its zone.
    pub zone: usize,
    /// Whether it is a voter.
    pub voter: bool,
}

/// What a node is.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The cluster's name.
    pub cluster: String,
    /// The fleet's generation.
    pub generation: u32,
    /// All members.
    pub places: Vec<Place>,
    /// This one.
    pub own: Member,
    /// How many zones there are.
    pub zones: usize,
    /// When this process started, in milliseconds of its clock: it tells it from an earlier one.
    pub session: u64,
    /// For random numbers.
    pub seed: u64,
    /// How zones are decided on.
    pub rules: Rules,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram to a member.
    Send {
        /// The member.
        to: Member,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// Write and sync, in order, and tell by `written`.
    Write(Write),
    /// What the zones may get has changed.
    View(View),
    /// A decision was read that is newer than any before.
    Decided {
        /// Its epoch.
        epoch: u64,
        /// What it says.
        table: Table,
        /// The voter that leads, as a member.
        leader: Option<Member>,
        /// Whether this node proposed it.
        own: bool,
        /// The members whose votes are known to have carried its leader; at the leader alone.
        voters: Vec<Member>,
        /// What the fleet's dispatchers saw of each zone, at a voter.
        sights: Vec<Sight>,
    },
}

/// What a node has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Frames that were taken.
    pub frames: u64,
    /// Frames that were dropped: of another cluster, damaged, too long, or from nobody.
    pub dropped: u64,
    /// Frames that came late or twice.
    pub stale: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub heard_bytes: u64,
    /// Decisions read.
    pub decisions: u64,
    /// Decisions proposed here.
    pub proposed: u64,
}

/// A frame's number on its way from one member, and the process that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Newest {
    session: u64,
    number: u64,
}

/// The node.
pub struct Node {
    setup: Setup,
    /// The members that vote, in order.
    voters: Vec<Member>,
    /// Its number among them.
    seat: Option<Voter>,
    council: Option<Council>,
    /// Messages that wait for a write, of each batch; the first for the write that is under way.
    held: VecDeque<Vec<(Voter, Vec<u8>)>>,
    swim: Swim,
    tally: Tally,
    evidence: Evidence,
    follower: Follower,
    decider: Option<Decider>,
    last_proposed: u64,
    view: Option<View>,
    newest: Vec<Newest>,
    numbers: Vec<u64>,
    ticked: f64,
    effects: Vec<Effect>,
    counts: Counts,
    draws: fastrand::Rng,
}

impl Node {
    /// A node, with what its voter's file says.
    pub fn new(setup: Setup, kept: Option<Kept>, now: f64) -> Result<Node, CouncilError> {
        let members = setup.places.len();
        let voters: Vec<Member> =
            (0..members).filter(|&at| setup.places[at].voter).map(|at| at as Member).collect();
        let seat = voters.iter().position(|&member| member == setup.own).map(|at| at as Voter + 1);
        let council = seat.map(|own| {
            let (voters, generation) = (voters.len() as u64, setup.generation);
            Council::new(Seat { own, voters, generation, nonce: setup.session }, kept)
        });
        let home = setup.places.get(usize::from(setup.own)).map_or(0, |place| place.zone);
        Ok(Node {
            swim: Swim::new(setup.own, members, setup.session, setup.seed),
            tally: Tally::new(home as u16, setup.zones, setup.session, now),
            follower: Follower::new(home, setup.zones, setup.rules, now),
            council: council.transpose()?,
            voters,
            seat,
            held: VecDeque::new(),
            evidence: Evidence::default(),
            decider: None,
            last_proposed: 0,
            view: None,
            newest: vec![Newest::default(); members],
            numbers: vec![0; members],
            ticked: f64::NEG_INFINITY,
            effects: Vec::new(),
            counts: Counts::default(),
            draws: fastrand::Rng::with_seed(setup.seed),
            setup,
        })
    }

    /// What the dispatcher's own work adds to the evidence.
    pub fn tally(&mut self) -> &mut Tally {
        &mut self.tally
    }

    /// What is to be done since the last call, in order.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// When `tick` is to be called next.
    pub fn next(&self) -> f64 {
        self.ticked + TICK
    }

    /// Does what is due; `open` requests are open with the dispatcher, and `there` tells of a zone what is out there
    /// and how many slots are listed.
    pub fn tick(&mut self, now: f64, open: usize, there: impl Fn(usize) -> (u16, u16)) {
        if now < self.next() {
            return;
        }
        self.ticked = now;
        let draws = &mut self.draws;
        self.swim.tick(now, |others| draws.usize(..others.max(1)));
        if let Some(council) = &mut self.council {
            council.tick();
        }
        self.step(now);
        if self.tally.roll(now) {
            let digest = self.tally.digest(open, &there);
            self.tell(now, digest);
            self.decide(now);
            let seen = self.tally.seen(&there);
            self.look(now, &seen);
        }
        self.flush();
    }

    /// A datagram from a member's address. What cannot be taken is counted and dropped.
    pub fn receive(&mut self, now: f64, from: Member, bytes: &[u8]) -> Result<(), FrameError> {
        self.counts.heard_bytes += bytes.len() as u64;
        let frame = Frame::decode(bytes, &self.setup.cluster, self.setup.generation);
        let frame = match frame {
            Ok(frame) if frame.from == from && from != self.setup.own => frame,
            other => {
                self.counts.dropped += 1;
                return other.and(Err(FrameError::Damaged));
            }
        };
        let Some(newest) = self.newest.get_mut(usize::from(from)) else {
            self.counts.dropped += 1;
            return Err(FrameError::Damaged);
        };
        // What comes late or twice is dropped: parts above see each link in order.
        let this = Newest { session: frame.session, number: frame.number };
        if this <= *newest {
            self.counts.stale += 1;
            return Ok(());
        }
        *newest = this;
        let taken = self.take(now, from, frame.body);
        let count = if taken { &mut self.counts.frames } else { &mut self.counts.dropped };
        *count += 1;
        self.step(now);
        self.flush();
        if taken { Ok(()) } else { Err(FrameError::Damaged) }
    }

    fn take(&mut self, now: f64, from: Member, body: Body) -> bool {
        match body {
            Body::Swim(packet) => self.swim.receive(now, &packet),
            Body::Council(message) => {
                let Some(voter) = self.voters.iter().position(|member| *member == from) else { return false };
                self.council.as_mut().is_some_and(|council| council.receive(voter as Voter + 1, &message))
            }
            Body::Digest { epoch, digest } => {
                if self.seat.is_none()
                    || usize::from(digest.zone) != self.setup.places[usize::from(from)].zone
                {
                    return false;
                }
                let heard = self.evidence.hear(now, from, digest, self.setup.zones);
                if heard {
                    self.send_news(from, epoch);
                }
                heard
            }
            Body::News { epoch, table, mark } => {
                if !self.voters.contains(&from) {
                    return false;
                }
                let table = match table.map(|bytes| Table::decode(&bytes, self.setup.zones)) {
                    Some(None) => return false,
                    table => table.flatten(),
                };
                self.learn(now, epoch, table, mark);
                true
            }
        }
    }

    /// A write has been done, and synced, or has failed.
    pub fn written(&mut self, done: bool) {
        if !done {
            self.held.clear();
            if let Some(council) = &mut self.council {
                council.fail();
            }
            return;
        }
        let messages = self.held.pop_front().unwrap_or_default();
        self.post(messages);
    }

    /// Follows what the council has decided.
    fn step(&mut self, now: f64) {
        let Some(council) = &self.council else { return };
        let (epoch, body) = council.decided().newest(TOPIC);
        let (known, mark) = (self.follower.newest().0, council.mark());
        let table = if epoch > known { Table::decode(body, self.setup.zones) } else { None };
        self.learn(now, epoch, table, mark);
    }

    fn learn(&mut self, now: f64, epoch: u64, table: Option<Table>, mark: crate::council::Mark) {
        if !self.follower.news(now, epoch, table, mark) {
            return;
        }
        self.counts.decisions += 1;
        let (epoch, table) = self.follower.newest();
        let leader = self.leader();
        let own = self.last_proposed == epoch;
        let (table, voters, sights) = (table.clone(), self.followers(), self.sights(now));
        self.effects.push(Effect::Decided { epoch, table, leader, own, voters, sights });
        // What is new goes to all at once; voters alone have it first.
        if self.seat.is_some() {
            for member in 0..self.setup.places.len() as Member {
                if member != self.setup.own {
                    self.send_news(member, 0);
                }
            }
        }
    }

    /// The voter that leads, as a member.
    pub fn leader(&self) -> Option<Member> {
        let leader = self.council.as_ref()?.leader()?;
        self.voters.get(leader as usize - 1).copied()
    }

    /// The members whose votes carry this leader; none where it does not lead.
    pub fn followers(&self) -> Vec<Member> {
        let followers = self.council.as_ref().map_or(&[][..], Council::followers);
        followers.iter().filter_map(|voter| self.voters.get(*voter as usize - 1).copied()).collect()
    }

    /// What the fleet's dispatchers saw of each zone; nothing where it is no voter.
    pub fn sights(&self, now: f64) -> Vec<Sight> {
        let zones = if self.seat.is_some() { self.setup.zones } else { 0 };
        (0..zones).map(|zone| self.evidence.sight(now, zone)).collect()
    }

    /// Sends its sums to the voters, itself among them.
    fn tell(&mut self, now: f64, digest: Digest) {
        if self.seat.is_some() {
            self.evidence.hear(now, self.setup.own, digest.clone(), self.setup.zones);
        }
        let epoch = self.follower.newest().0;
        for at in 0..self.voters.len() {
            if self.voters[at] != self.setup.own {
                self.send(self.voters[at], Body::Digest { epoch, digest: digest.clone() });
            }
        }
    }

    /// Tells a member that knows an epoch what is new.
    fn send_news(&mut self, to: Member, knows: u64) {
        let (epoch, table) = self.follower.newest();
        let table = (epoch > knows).then(|| table.encode());
        let mark = self.follower.mark();
        self.send(to, Body::News { epoch, table, mark });
    }

    /// As the leader, proposes what the evidence asks for.
    fn decide(&mut self, now: f64) {
        let Some(council) = self.council.as_mut().filter(|council| council.leads()) else {
            self.decider = None;
            return;
        };
        let (epoch, table) = self.follower.newest();
        let rules = self.setup.rules;
        let decider = self.decider.get_or_insert_with(|| Decider::new(rules, now, table));
        // A zone is cut off for the others only where half of its dispatchers are not there either.
        let up = self.swim.up();
        let gone: Vec<bool> = (0..self.setup.zones)
            .map(|zone| {
                let here = || self.setup.places.iter().zip(up).filter(|(place, _)| place.zone == zone);
                let down = here().filter(|(_, up)| !**up).count();
                here().count() > 0 && down * 2 >= here().count()
            })
            .collect();
        if let Some(next) = decider.decide(now, table, &self.evidence, &gone)
            && council.propose(TOPIC, epoch, next.encode())
        {
            self.last_proposed = epoch + 1;
            self.counts.proposed += 1;
        }
        self.step(now);
    }

    /// What the dispatcher is to do by now.
    fn look(&mut self, now: f64, seen: &[Seen]) {
        let view = self.follower.view(now, seen);
        if self.view.as_ref() != Some(view) {
            self.view = Some(view.clone());
            self.effects.push(Effect::View(view.clone()));
        }
    }

    /// Gives out what the parts want written and sent.
    fn flush(&mut self) {
        for (to, packet) in self.swim.take() {
            self.send(to, Body::Swim(packet));
        }
        let Some(Batch { write, send }) = self.council.as_mut().and_then(Council::batch) else { return };
        if write == Write::Nothing && self.held.is_empty() {
            return self.post(send);
        }
        match self.held.back_mut() {
            // Nothing to write: it goes with what is written before it.
            Some(last) if write == Write::Nothing => {
                if last.len() < WAITING {
                    last.extend(send);
                }
            }
            _ => {
                self.held.push_back(send);
                self.effects.push(Effect::Write(write));
            }
        }
    }

    fn post(&mut self, messages: Vec<(Voter, Vec<u8>)>) {
        for (voter, message) in messages {
            if let Some(&to) = self.voters.get(voter as usize - 1) {
                self.send(to, Body::Council(message));
            }
        }
    }

    fn send(&mut self, to: Member, body: Body) {
        let Some(number) = self.numbers.get_mut(usize::from(to)) else { return };
        *number += 1;
        let frame = Frame { from: self.setup.own, session: self.setup.session, number: *number, body };
        let bytes = frame.encode(&self.setup.cluster, self.setup.generation);
        if bytes.len() <= LONGEST {
            self.counts.sent_bytes += bytes.len() as u64;
            self.effects.push(Effect::Send { to, bytes });
        }
    }

    /// What it has counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Which members are there.
    pub fn up(&self) -> &[bool] {
        self.swim.up()
    }

    /// Whether it votes: none where it is no voter.
    pub fn votes(&self) -> Option<bool> {
        self.council.as_ref().map(Council::votes)
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.council.as_ref().is_some_and(Council::leads)
    }

    /// The newest epoch and its table.
    pub fn newest(&self) -> (u64, &Table) {
        self.follower.newest()
    }

    /// What the dispatcher is to do; none before the first look.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }
}
