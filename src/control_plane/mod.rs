//! What a dispatcher shares with the others of its fleet, free of I/O: the node (`crate::fleet`) and the modules on top
//! of it, zone failover (`crate::zones`) and rollouts (`crate::rollout`).
//!
//! The node does not know what the modules decide, and the modules do not know each other: events of the node reach the
//! module of their topic here. After each call the caller carries out all of [`ControlPlane::take_effects`], in order,
//! and it calls [`ControlPlane::tick`] at [`ControlPlane::next_deadline`]. Times are milliseconds of the caller's clock.

#[cfg(test)]
mod tests;

use crate::consensus::{ConsensusError, Persisted};
use crate::fleet::{FleetNode, FrameError, MemberId, NodeConfig, NodeEvent};
use crate::rollout::{self, Rollout};
use crate::zones::{self, FailoverSettings, ZoneFailover, ZoneLoad};

/// How long after the leader's term rose what is known here to be decided counts as current, in milliseconds.
const MAX_TERM_AGE_MS: f64 = 1000.0;

/// What a control plane is built from.
#[derive(Clone, Debug)]
pub struct ControlPlaneConfig {
    /// The node.
    pub fleet: NodeConfig,
    /// Number of zones.
    pub zones: usize,
    /// How zones are failed over.
    pub failover: FailoverSettings,
    /// How changes of policy are made, where a policy is shared.
    pub rollout: Option<rollout::RolloutSettings>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// For the node.
    Node(crate::fleet::Effect),
    /// For zone failover.
    Zones(zones::Effect),
    /// For rollouts.
    Rollout(rollout::Effect),
}

/// The node and the modules on top of it.
pub struct ControlPlane {
    node: FleetNode,
    zones: ZoneFailover,
    rollout: Option<Rollout>,
}

impl ControlPlane {
    /// A control plane, with what a voter's file has.
    ///
    /// # Errors
    ///
    /// Where this member votes and the number of voters is not 3, 5 or 7, or the consensus's library refuses its settings.
    pub fn new(
        config: ControlPlaneConfig,
        persisted: Option<Persisted>,
        now: f64,
    ) -> Result<ControlPlane, ConsensusError> {
        let own = config.fleet.members.get(usize::from(config.fleet.member_id));
        let own_zone = own.map_or(0, |member| member.zone);
        let incarnation = config.fleet.incarnation;
        let zones = ZoneFailover::new(own_zone, config.zones, config.failover, incarnation, now);
        let rollout = config.rollout.map(|settings| Rollout::new(settings, incarnation));
        let node = FleetNode::new(config.fleet, persisted, now)?;
        Ok(ControlPlane { node, zones, rollout })
    }

    /// The node.
    pub fn node(&self) -> &FleetNode {
        &self.node
    }

    /// Zone failover.
    pub fn zones(&self) -> &ZoneFailover {
        &self.zones
    }

    /// Zone failover, to record the dispatcher's own attempts.
    pub fn zones_mut(&mut self) -> &mut ZoneFailover {
        &mut self.zones
    }

    /// Whether what is known here to be decided is current: a leader has confirmed its majority lately.
    pub fn follows_leader(&self, now: f64) -> bool {
        let (term, term_raised_ms) = (self.node.term(), self.node.term_raised_ms());
        term.leader().is_some() && now - term_raised_ms < MAX_TERM_AGE_MS
    }

    /// The state of this member in changes of policy, where a policy is shared.
    pub fn rollout_status(&self) -> Option<rollout::ParticipantStatus> {
        self.rollout.as_ref().map(Rollout::status)
    }

    /// Calls `action` with this member's part of changes of policy and the node that carries its messages; none where no
    /// policy is shared.
    pub fn with_participant<T>(
        &mut self,
        now: f64,
        action: impl FnOnce(&mut rollout::Participant, &mut FleetNode) -> T,
    ) -> Option<T> {
        let rollout = self.rollout.as_mut()?;
        let result = action(rollout.participant(), &mut self.node);
        rollout.tick(now, &mut self.node);
        self.dispatch_events(now);
        Some(result)
    }

    /// Whether the leader knows that this process leaves, after [`rollout::Participant::leave`]; nobody needs to where no
    /// policy is shared.
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

    /// Does what is due. `open_requests` are open at the dispatcher, and `zone_load` gives its present load of a zone.
    pub fn tick(&mut self, now: f64, open_requests: usize, zone_load: impl Fn(usize) -> ZoneLoad) {
        if now < self.next_deadline() {
            return;
        }
        self.node.tick(now);
        self.dispatch_events(now);
        self.zones.tick(now, &mut self.node, open_requests, zone_load);
        if let Some(rollout) = &mut self.rollout {
            rollout.tick(now, &mut self.node);
        }
        self.dispatch_events(now);
    }

    /// Takes a datagram from a member's address.
    ///
    /// # Errors
    ///
    /// Where the datagram is no valid frame of that member. It is counted and dropped; the caller need not act on it.
    pub fn receive(&mut self, now: f64, from: MemberId, bytes: &[u8]) -> Result<(), FrameError> {
        let result = self.node.receive(now, from, bytes);
        self.dispatch_events(now);
        result
    }

    /// A write has been done and synced, or (`succeeded` is false) has failed.
    pub fn on_written(&mut self, now: f64, succeeded: bool) {
        self.node.on_written(succeeded);
        self.dispatch_events(now);
    }

    /// Hands the node's events to the modules of their topics.
    fn dispatch_events(&mut self, now: f64) {
        while let Some(event) = self.node.next_event() {
            self.dispatch(now, event);
        }
        self.zones.apply_newest_decision(now, &self.node);
    }

    fn dispatch(&mut self, now: f64, event: NodeEvent) {
        match event {
            NodeEvent::Message { topic: zones::TOPIC, from, bytes, .. } => {
                self.zones.receive(now, &self.node, from, &bytes);
            }
            NodeEvent::Decided { topic: zones::TOPIC } => self.zones.apply_newest_decision(now, &self.node),
            NodeEvent::Message { topic: rollout::TOPIC, from, incarnation, bytes } => {
                if let Some(rollout) = &mut self.rollout {
                    rollout.receive(now, &mut self.node, from, incarnation, &bytes);
                }
            }
            NodeEvent::Decided { topic: rollout::TOPIC } | NodeEvent::Document(_) => {
                if let Some(rollout) = &mut self.rollout {
                    rollout.apply_newest_decision(now, &mut self.node);
                }
            }
            // Of a module that is not set up here.
            NodeEvent::Message { .. } | NodeEvent::Decided { .. } => {}
        }
    }
}
