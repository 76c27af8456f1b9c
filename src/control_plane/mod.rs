//! What a dispatcher shares with the others of its fleet, free of I/O: the node (`crate::fleet`) and the parts that
//! stand on it. The node does not know what the parts decide, and the parts do not know each other: what comes for a
//! part is told to it here.

#[cfg(test)]
mod tests;

use crate::consensus::{ConsensusError, Persisted};
use crate::fleet::{FleetNode, FrameError, MemberId, NodeEvent};
use crate::rollout::{self, Rollout};
use crate::zones::{self, FailoverSettings, ZoneFailover, ZoneLoad};

/// What is shared.
#[derive(Clone, Debug)]
pub struct ControlPlaneConfig {
    /// The node.
    pub fleet: crate::fleet::NodeConfig,
    /// How many zones there are.
    pub zones: usize,
    /// How zones are decided on.
    pub failover: FailoverSettings,
    /// How changes of policy are made, where they are set up.
    pub rollout: Option<rollout::RolloutSettings>,
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
pub struct ControlPlane {
    node: FleetNode,
    zones: ZoneFailover,
    rollout: Option<Rollout>,
}

impl ControlPlane {
    /// All of it, with what the voter's file says.
    pub fn new(
        setup: ControlPlaneConfig,
        kept: Option<Persisted>,
        now: f64,
    ) -> Result<ControlPlane, ConsensusError> {
        let home = setup.fleet.members.get(usize::from(setup.fleet.own)).map_or(0, |place| place.zone);
        let zones = ZoneFailover::new(home, setup.zones, setup.failover, setup.fleet.incarnation, now);
        let rollout = setup.rollout.map(Rollout::new);
        Ok(ControlPlane { node: FleetNode::new(setup.fleet, kept, now)?, zones, rollout })
    }

    /// The node.
    pub fn node(&self) -> &FleetNode {
        &self.node
    }

    /// The zones.
    pub fn zones(&self) -> &ZoneFailover {
        &self.zones
    }

    /// The zones, to be told of the dispatcher's own work.
    pub fn zones_mut(&mut self) -> &mut ZoneFailover {
        &mut self.zones
    }

    /// Whether what is known here to be decided is new: a leader was heard of lately, and it has answered.
    pub fn follows_leader(&self, now: f64) -> bool {
        let (term, term_raised) = self.node.term();
        term.leader().is_some() && now - term_raised < 1000.0
    }

    /// How this member stands in changes of policy, where they are set up.
    pub fn rollout_status(&self) -> Option<rollout::ParticipantStatus> {
        self.rollout.as_ref().map(Rollout::status)
    }

    /// Has the member's part of changes of policy do something, with the node that carries its messages.
    pub fn with_participant<T>(
        &mut self,
        now: f64,
        with: impl FnOnce(&mut rollout::Participant, &mut FleetNode) -> T,
    ) -> Option<T> {
        let rollout = self.rollout.as_mut()?;
        let result = with(rollout.participant(), &mut self.node);
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
    pub fn take_effects(&mut self) -> Vec<Effect> {
        let mut effects: Vec<Effect> = self.node.take_effects().into_iter().map(Effect::Node).collect();
        effects.extend(self.zones.take_effects().into_iter().map(Effect::Zones));
        if let Some(rollout) = &mut self.rollout {
            effects.extend(rollout.participant().take_effects().into_iter().map(Effect::Rollout));
        }
        effects
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> f64 {
        self.node.next_deadline()
    }

    /// Does what is due; `open` requests are open with the dispatcher, and `there` tells of a zone what is out there
    /// and how many slots are listed.
    pub fn tick(&mut self, now: f64, open: usize, zone_load: impl Fn(usize) -> ZoneLoad) {
        if now < self.next_deadline() {
            return;
        }
        self.node.tick(now);
        self.tell(now);
        self.zones.tick(now, &mut self.node, open, zone_load);
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
    pub fn on_written(&mut self, now: f64, done: bool) {
        self.node.on_written(done);
        self.tell(now);
    }

    /// Tells the parts what has come for them.
    fn tell(&mut self, now: f64) {
        while let Some(news) = self.node.next_event() {
            match news {
                NodeEvent::Message { topic: zones::TOPIC, from, bytes, .. } => {
                    self.zones.receive(now, &self.node, from, &bytes);
                }
                NodeEvent::Decided { topic: zones::TOPIC } => self.zones.follow(now, &self.node),
                NodeEvent::Message { topic: rollout::TOPIC, from, incarnation, bytes } => {
                    if let Some(rollout) = &mut self.rollout {
                        rollout.receive(now, &mut self.node, from, incarnation, &bytes);
                    }
                }
                NodeEvent::Decided { topic: rollout::TOPIC } | NodeEvent::Document(_) => {
                    if let Some(rollout) = &mut self.rollout {
                        rollout.follow(now, &mut self.node);
                    }
                }
                // Of a part that is not set up here.
                NodeEvent::Message { .. } | NodeEvent::Decided { .. } => {}
            }
        }
        self.zones.follow(now, &self.node);
    }
}
