//! Policy changes on the fleet thread: passes the operator's policy to the control plane, and the control
//! plane's effects to the disk and the frontends.

use super::fleet_loop::{FleetLoop, Membership};
use super::messages::{FleetEvent, PolicyCommand, WantedPolicy};
use super::{log_lines, policy_store};
use crate::rollout;

/// Whether carrying out an effect may have produced further effects that must be carried out at once.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FollowUp {
    Now,
    None,
}

impl FleetLoop {
    /// Whether this member applies its own policy file without agreement.
    pub(super) fn runs_own_policy(&self) -> bool {
        self.config.rollout.as_ref().is_some_and(|rollout| !rollout.agreed)
    }

    /// Proposes the operator's policy to the fleet, or applies it directly if policies are not agreed on.
    pub(super) fn propose(&mut self, now_ms: f64) {
        if self.runs_own_policy()
            && let Some(policy) = self.wanted.take()
        {
            return self.apply_own_policy(policy);
        }
        let (Membership::Open(node), Some(policy)) = (&mut self.membership, &self.wanted) else { return };
        let result = node.control_plane.with_participant(now_ms, |participant, node| {
            participant.propose(now_ms, node, policy.version, policy.text.as_bytes())
        });
        if let Some(Err(error)) = result {
            tracing::warn!(version = policy.version, %error, "policy file rejected");
        }
        self.wanted = None;
    }

    fn apply_own_policy(&mut self, WantedPolicy { version, text }: WantedPolicy) {
        let commands = [PolicyCommand::Apply { text }, PolicyCommand::ServeUntil(f64::INFINITY)];
        self.pending_policy_commands.extend(commands);
        let status = log_lines::own_policy_status(version);
        let _ = self.events.try_send(FleetEvent::PolicyStatus(status));
        log_lines::own_policy_in_force(version);
    }

    /// Carries out one effect of the rollout participant.
    pub(super) fn carry_out_rollout(&mut self, effect: rollout::Effect) -> FollowUp {
        use rollout::Effect;
        let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
        match effect {
            Effect::Save(hash, bytes) => {
                let stored =
                    self.config.rollout.as_ref().map(|rollout| policy_store::write(&rollout.keep, &bytes));
                let error = stored.and_then(Result::err).map(|e| format!("it cannot be kept: {e}"));
                self.with_participant(|participant| participant.on_saved(hash, error));
                return FollowUp::Now;
            }
            Effect::Check(policy, bytes) => {
                let wanted = WantedPolicy { version: policy.version, text: text(bytes) };
                self.pending_policy_commands.push_back(PolicyCommand::Check(wanted));
            }
            Effect::Pause(pause) => self.pending_policy_commands.push_back(PolicyCommand::Pause(pause)),
            Effect::Resume => self.pending_policy_commands.push_back(PolicyCommand::Resume),
            // Version 0 stands for no policy, so there is nothing to apply.
            Effect::Apply(policy, _) if policy.version == 0 => {}
            Effect::Apply(_, bytes) => {
                self.pending_policy_commands.push_back(PolicyCommand::Apply { text: text(bytes) });
            }
            Effect::ServeUntil(until_ms) => {
                let until = self.clock.to_boot(until_ms);
                self.pending_policy_commands.push_back(PolicyCommand::ServeUntil(until));
            }
            Effect::Decided(decision) => log_lines::policy_decided(&decision),
        }
        FollowUp::None
    }
}
