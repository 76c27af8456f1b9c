//! What a dispatcher shares with the others of its fleet, free of I/O: the node (`crate::fleet`) and the parts that
//! stand on it. The node does not know what the parts decide, and the parts do not know each other: what comes for a
//! part is told to it here.

#[cfg(test)]
mod tests;

use crate::consensus::{ConsensusError, Kept};
use crate::fleet::{FrameError, MemberId, News, Node};
use crate::rollout::{self, Rollout};
use crate::zones::{self, Rules, Zones};

/// What is shared.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The node.
    pub fleet: crate::fleet::Setup,
    /// How many zones there are.
    pub zones: usize,
    /// How zones are decided on.
    pub rules: Rules,
    /// How changes of policy are made, where they are set up.
    pub rollout: Option<rollout::Rules>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The node's.
    Node(crate::fleet::Effect),
    /// The zones'.
    Zones(zones::Effect),
    /// The policy's.
    Rollout(rollout::Effect),
}

/// The node and its parts.
pub struct Shared {
    node: Node,
    zones: Zones,
    rollout: Option<Rollout>,
}

impl Shared {
    /// All of it, with what the voter's file says.
    pub fn new(setup: Setup, kept: Option<Kept>, now: f64) -> Result<Shared, ConsensusError> {
        let home = setup.fleet.places.get(usize::from(setup.fleet.own)).map_or(0, |place| place.zone);
        let zones = Zones::new(home, setup.zones, setup.rules, setup.fleet.session, now);
        let rollout = setup.rollout.map(Rollout::new);
        Ok(Shared { node: Node::new(setup.fleet, kept, now)?, zones, rollout })
    }

    /// The node.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The zones.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// The zones, to be told of the dispatcher's own work.
    pub fn zones_mut(&mut self) -> &mut Zones {
        &mut self.zones
    }

    /// Whether what is known here to be decided is new: a leader was heard of lately, and it has answered.
    pub fn follows(&self, now: f64) -> bool {
        let (term, term_raised) = self.node.term();
        term.leader().is_some() && now - term_raised < 1000.0
    }

    /// How this member stands in changes of policy, where they are set up.
    pub fn standing(&self) -> Option<rollout::Standing> {
        self.rollout.as_ref().map(Rollout::standing)
    }

    /// Has the member's part of changes of policy do something, with the node that carries its messages.
    pub fn policy<T>(
        &mut self,
        now: f64,
        with: impl FnOnce(&mut rollout::Participant, &mut Node) -> T,
    ) -> Option<T> {
        let rollout = self.rollout.as_mut()?;
        let result = with(rollout.member(), &mut self.node);
        rollout.tick(now, &mut self.node);
        self.tell(now);
        Some(result)
    }

    /// Whether the leader knows that this process leaves, after `rollout::Participant::leave`; nobody needs to where no policy is
    /// shared.
    pub fn has_left(&self, now: f64) -> bool {
        self.rollout.as_ref().is_none_or(|rollout| rollout.has_left(now))
    }

    /// What is to be done since the last call, in order. The caller carries out all of it.
    pub fn effects(&mut self) -> Vec<Effect> {
        let mut effects: Vec<Effect> = self.node.effects().into_iter().map(Effect::Node).collect();
        effects.extend(self.zones.effects().into_iter().map(Effect::Zones));
        if let Some(rollout) = &mut self.rollout {
            effects.extend(rollout.member().effects().into_iter().map(Effect::Rollout));
        }
        effects
    }

    /// When `tick` is to be called next.
    pub fn next(&self) -> f64 {
        self.node.next()
    }

    /// Does what is due; `open` requests are open with the dispatcher, and `there` tells of a zone what is out there
    /// and how many slots are listed.
    pub fn tick(&mut self, now: f64, open: usize, there: impl Fn(usize) -> (u16, u16)) {
        if now < self.next() {
            return;
        }
        self.node.tick(now);
        self.tell(now);
        self.zones.tick(now, &mut self.node, open, there);
        if let Some(rollout) = &mut self.rollout {
            rollout.tick(now, &mut self.node);
        }
        self.tell(now);
    }

    /// A datagram from a member's address. What cannot be taken is counted and dropped.
    pub fn receive(&mut self, now: f64, from: MemberId, bytes: &[u8]) -> Result<(), FrameError> {
        let taken = self.node.receive(now, from, bytes);
        self.tell(now);
        taken
    }

    /// A write has been done, and synced, or has failed.
    pub fn written(&mut self, now: f64, done: bool) {
        self.node.written(done);
        self.tell(now);
    }

    /// Tells the parts what has come for them.
    fn tell(&mut self, now: f64) {
        while let Some(news) = self.node.news() {
            match news {
                News::Message { topic: zones::TOPIC, from, bytes, .. } => {
                    self.zones.receive(now, &self.node, from, &bytes);
                }
                News::Decided { topic: zones::TOPIC } => self.zones.follow(now, &self.node),
                News::Message { topic: rollout::TOPIC, from, session, bytes } => {
                    if let Some(rollout) = &mut self.rollout {
                        rollout.receive(now, &mut self.node, from, session, &bytes);
                    }
                }
                News::Decided { topic: rollout::TOPIC } | News::Document(_) => {
                    if let Some(rollout) = &mut self.rollout {
                        rollout.follow(now, &mut self.node);
                    }
                }
                // Of a part that is not set up here.
                News::Message { .. } | News::Decided { .. } => {}
            }
        }
        self.zones.follow(now, &self.node);
    }
}
