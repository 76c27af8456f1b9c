//! The control plane of a dispatcher: the fleet node (`crate::fleet`) and the modules that run on top of it, zone
//! failover (`crate::zones`) and policy rollout (`crate::rollout`). Performs no I/O.
//!
//! The node does not interpret the decisions of the modules, and the modules are independent of each other. The control
//! plane passes each event of the node to the module of its topic. After each call, the caller carries out all effects
//! from [`ControlPlane::take_effects`] in order. It calls [`ControlPlane::tick`] at [`ControlPlane::next_deadline`].
//! Times are in milliseconds of the caller's clock.

#[cfg(test)]
mod tests;

use crate::consensus::{ConsensusError, Persisted};
use crate::fleet::{FleetNode, FrameError, MemberId, NodeConfig, NodeEvent};
use crate::rollout::{self, Rollout};
use crate::zones::{self, FailoverSettings, ZoneFailover, ZoneLoad};

/// How long after an increase of the leader term the decisions known to this node count as current, in milliseconds.
const MAX_TERM_AGE_MS: f64 = 1000.0;

/// Configuration of a control plane.
#[derive(Clone, Debug)]
pub struct ControlPlaneConfig {
    /// The configuration of the fleet node.
    pub fleet: NodeConfig,
    /// The number of zones.
    pub zones: usize,
    /// The settings of zone failover.
    pub failover: FailoverSettings,
    /// The settings of policy rollout, if the fleet shares a policy.
    pub rollout: Option<rollout::RolloutSettings>,
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// An effect of the fleet node.
    Node(crate::fleet::Effect),
    /// An effect of zone failover.
    Zones(zones::Effect),
    /// An effect of policy rollout.
    Rollout(rollout::Effect),
}

/// The fleet node and the modules on top of it.
pub struct ControlPlane {
    node: FleetNode,
    zones: ZoneFailover,
    rollout: Option<Rollout>,
}

impl ControlPlane {
    /// Creates a control plane. `persisted` is the state from the vote file, if this member is a voter and has one.
    ///
    /// # Errors
    ///
    /// Returns an error if this member is a voter and the number of voters is not 3, 5 or 7, or if the consensus
    /// library refuses its settings.
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

    /// Returns the fleet node.
    pub fn node(&self) -> &FleetNode {
        &self.node
    }

    /// Returns the zone failover module.
    pub fn zones(&self) -> &ZoneFailover {
        &self.zones
    }

    /// Returns the zone failover module mutably, to record the dispatcher's own attempts.
    pub fn zones_mut(&mut self) -> &mut ZoneFailover {
        &mut self.zones
    }

    /// Returns whether the decisions known to this node are current: a leader has recently confirmed that a majority
    /// follows it.
    pub fn follows_leader(&self, now: f64) -> bool {
        let (term, term_raised_ms) = (self.node.term(), self.node.term_raised_ms());
        term.leader().is_some() && now - term_raised_ms < MAX_TERM_AGE_MS
    }

    /// Returns the status of this member's rollout participant, or `None` if the fleet shares no policy.
    pub fn rollout_status(&self) -> Option<rollout::ParticipantStatus> {
        self.rollout.as_ref().map(Rollout::status)
    }

    /// Calls `action` with this member's rollout participant and the node that sends its messages. Returns the result,
    /// or `None` if the fleet shares no policy.
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

    /// Returns whether this process can exit without delaying a policy change, after [`rollout::Participant::leave`].
    /// Always true if the fleet shares no policy.
    pub fn has_left(&self, now: f64) -> bool {
        self.rollout.as_ref().is_none_or(|rollout| rollout.has_left(now))
    }

    /// Returns the effects that were added since the last call. The caller carries out all of them, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        let mut effects: Vec<Effect> = self.node.take_effects().into_iter().map(Effect::Node).collect();
        effects.extend(self.zones.take_effects().into_iter().map(Effect::Zones));
        if let Some(rollout) = &mut self.rollout {
            effects.extend(rollout.participant().take_effects().into_iter().map(Effect::Rollout));
        }
        effects
    }

    /// Returns the time at which `tick` must be called next.
    pub fn next_deadline(&self) -> f64 {
        self.node.next_deadline()
    }

    /// Runs the node and the modules if the deadline has passed. `open_requests` is the number of requests open at the
    /// dispatcher, and `zone_load` returns its current load of a zone.
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

    /// Handles a datagram from a member's address.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is not a valid frame of that member. The datagram is counted and dropped, so
    /// the caller need not act on the error.
    pub fn receive(&mut self, now: f64, from: MemberId, bytes: &[u8]) -> Result<(), FrameError> {
        let result = self.node.receive(now, from, bytes);
        self.dispatch_events(now);
        result
    }

    /// Reports that a write was completed and synced or, if `succeeded` is false, that it failed.
    pub fn on_written(&mut self, now: f64, succeeded: bool) {
        self.node.on_written(succeeded);
        self.dispatch_events(now);
    }

    /// Passes the node's events to the modules of their topics.
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
            // Other topics: no module on this node handles them.
            NodeEvent::Message { .. } | NodeEvent::Decided { .. } => {}
        }
    }
}
