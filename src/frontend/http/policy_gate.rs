//! The policy gate: whether requests may be started now, in which partition, and what waits until they may. Where no policy
//! is shared there is none, and nothing is asked.

use std::collections::VecDeque;

use super::HttpFrontend;
use super::headers::parse_duration_ms;
use crate::core::{ALL_ENDPOINTS, PartitionId, boot_ms};
use crate::frontend::Sockets;
use crate::ingest::{Empty, Event, Policy, PolicyError};
use crate::net::ConnId;
use crate::net::http::Message;

/// Requests that may wait at the gate: one for so many jobs that there may be.
const JOBS_PER_WAITING_REQUEST: usize = 4;
/// How long a request waits at the gate at most, in milliseconds: what a change of policy may take, and then some.
const MAX_GATE_WAIT_MS: f64 = 2000.0;
/// Time between two looks at what waits, in milliseconds.
const SWEEP_INTERVAL_MS: f64 = 10.0;
/// The part of its own time that a request waits at the gate at most: then its client is told while it still listens.
const GATE_WAIT_FRACTION: f64 = 0.8;

/// A request that waits. Times are milliseconds of the clock.
struct WaitingRequest {
    conn: ConnId,
    arrived_at_ms: f64,
    /// When it is rejected.
    deadline_ms: f64,
    message: Message,
}

/// The gate.
#[derive(Default)]
pub(super) struct PolicyGate {
    policy: Option<Policy>,
    /// The partition of the endpoints for each of the policy's.
    partitions: Vec<PartitionId>,
    /// Whether a change of policy is being made.
    is_paused: bool,
    /// Until when requests may be started, in milliseconds of `boot_ms`.
    serve_until_ms: f64,
    waiting: VecDeque<WaitingRequest>,
    next_sweep_ms: f64,
    /// Requests that waited.
    pub(super) waited: u64,
    /// Requests that were rejected, since they waited too long or were too many.
    pub(super) rejected: u64,
}

impl PolicyGate {
    /// Whether a request may be started now. The clock is read for each: a process that was frozen or suspended must not start
    /// what came before on the lease that it had then.
    fn is_open(&self) -> bool {
        !self.is_paused && boot_ms() < self.serve_until_ms
    }
}

/// Where a request goes.
pub(super) enum RouteDecision {
    /// To the endpoints of a partition.
    Partition(PartitionId),
    /// Nowhere: its partition has no endpoint, and the policy says to reject it.
    Reject,
}

impl HttpFrontend {
    /// From now on requests are started only as the fleet's policy allows.
    pub fn enable_policy_gate(&mut self) {
        self.gate = Some(Box::default());
    }

    /// Whether clients may come: there is no gate, or the lease to serve holds.
    pub(super) fn gate_is_open(&self) -> bool {
        self.gate.as_ref().is_none_or(|gate| boot_ms() < gate.serve_until_ms)
    }

    /// Checks a policy against what is known here; it is not taken over.
    ///
    /// # Errors
    /// All that is wrong with it here.
    pub fn check(&self, text: &str) -> Result<Policy, Vec<PolicyError>> {
        let policy = Policy::read(text, self.core.site())?;
        let without_endpoints = policy.nobody(|selector| self.core.has_ready_endpoint(selector));
        if without_endpoints.is_empty() { Ok(policy) } else { Err(without_endpoints) }
    }

    /// Holds what comes in from now on, or lets it go on.
    pub fn set_paused(&mut self, net: &mut Sockets, is_paused: bool) {
        if let Some(gate) = &mut self.gate {
            gate.is_paused = is_paused;
        }
        self.release_waiting(net);
    }

    /// Requests may be started until then, in milliseconds of `boot_ms`.
    pub fn serve_until(&mut self, net: &mut Sockets, until_ms: f64) {
        if let Some(gate) = &mut self.gate {
            gate.serve_until_ms = until_ms;
        }
        self.release_waiting(net);
    }

    /// Starts no request any more, and rejects those that wait.
    pub fn close_gate(&mut self) {
        let now_ms = self.core.clock().now();
        if let Some(gate) = &mut self.gate {
            (gate.serve_until_ms, gate.next_sweep_ms) = (f64::NEG_INFINITY, now_ms);
            gate.waiting.iter_mut().for_each(|waiting| waiting.deadline_ms = now_ms);
        }
    }

    /// Takes over a policy that is decided. What was taken before goes on in the partitions that it was kept to.
    pub fn apply_policy(&mut self, text: &str) {
        let policy = match Policy::read(text, self.core.site()) {
            Ok(policy) => policy,
            Err(errors) => return self.disable_policy(&errors),
        };
        let partitions = self.core.set_partitions(policy.partitions.iter().map(|(_, _, selector)| selector));
        if let Some(gate) = &mut self.gate {
            (gate.policy, gate.partitions) = (Some(policy), partitions);
        }
    }

    /// A policy in force does not fit: it was checked before, and the settings have changed since. Nothing is started
    /// without it.
    fn disable_policy(&mut self, errors: &[PolicyError]) {
        for error in errors {
            tracing::error!(%error, "policy in force does not fit the settings");
        }
        if let Some(gate) = &mut self.gate {
            (gate.serve_until_ms, gate.policy) = (f64::NEG_INFINITY, None);
        }
    }

    /// Gives a request back that may be started now. If not it waits, or is rejected where too many do.
    pub(super) fn pass_gate(&mut self, net: &mut Sockets, id: ConnId, message: Message) -> Option<Message> {
        let now_ms = self.core.clock().now();
        let Some(gate) = self.gate.as_mut().filter(|gate| !gate.is_open()) else { return Some(message) };
        let max_waiting = (self.clients.budget.jobs / JOBS_PER_WAITING_REQUEST).max(1);
        if gate.waiting.len() >= max_waiting || self.shutdown.is_some() {
            gate.rejected += 1;
            self.reject(net, id, message.close);
            return None;
        }
        gate.waited += 1;
        let next_sweep_ms = now_ms + SWEEP_INTERVAL_MS;
        let is_first = gate.waiting.is_empty();
        gate.next_sweep_ms = if is_first { next_sweep_ms } else { gate.next_sweep_ms.min(next_sweep_ms) };
        let own_wait_ms = message.header("req-deadline").and_then(parse_duration_ms);
        let wait_ms = own_wait_ms.map_or(MAX_GATE_WAIT_MS, |wait_ms| wait_ms * GATE_WAIT_FRACTION);
        let deadline_ms = now_ms + wait_ms.min(MAX_GATE_WAIT_MS);
        gate.waiting.push_back(WaitingRequest { conn: id, arrived_at_ms: now_ms, deadline_ms, message });
        if let Some(client) = self.clients.get_mut(id) {
            client.is_waiting = true;
        }
        None
    }

    /// Where a request goes under the policy in force.
    pub(super) fn route(&self, class: usize, message: &Message) -> RouteDecision {
        let Some((gate, policy)) = self.gate.as_ref().and_then(|gate| Some((gate, gate.policy.as_ref()?)))
        else {
            return RouteDecision::Partition(ALL_ENDPOINTS);
        };
        let event = Event {
            class,
            zone: self.core.site().settings.zone,
            tenant: message.header("req-owner"),
            key: message.header("req-key"),
            size: message.body.len() as u64,
            header: &|name| message.header(name),
        };
        let Some(rule) = policy.rule(&event) else { return RouteDecision::Partition(ALL_ENDPOINTS) };
        let has_endpoint = |at: &usize| self.core.has_ready_endpoint(&policy.partitions[*at].2);
        let chosen = match rule.empty {
            Empty::Wait => Some(rule.partition),
            _ if has_endpoint(&rule.partition) => Some(rule.partition),
            Empty::Deny => None,
            Empty::Next => {
                let count = policy.partitions.len();
                (1..count).map(|step| (rule.partition + step) % count).find(has_endpoint)
            }
        };
        chosen.map_or(RouteDecision::Reject, |at| RouteDecision::Partition(gate.partitions[at]))
    }

    /// Lets what waits go on, in the order in which it came, if the gate is open.
    fn release_waiting(&mut self, net: &mut Sockets) {
        loop {
            let gate = self.gate.as_mut().filter(|gate| gate.is_open());
            let Some(next) = gate.and_then(|gate| gate.waiting.pop_front()) else { break };
            if let Some(message) = self.stop_waiting(next.conn, next.message) {
                self.submit(net, next.conn, message, next.arrived_at_ms);
            }
        }
        self.carry_out(net);
    }

    /// A request that waits no more, if its client is still there.
    fn stop_waiting(&mut self, conn: ConnId, message: Message) -> Option<Message> {
        let client = self.clients.get_mut(conn).filter(|client| client.is_waiting)?;
        client.is_waiting = false;
        self.clients.answered.push(conn);
        Some(message)
    }

    /// Looks whether the gate is open again, and rejects what has waited too long.
    pub(super) fn sweep_gate(&mut self, net: &mut Sockets, now_ms: f64) {
        let is_due = |gate: &PolicyGate| !gate.waiting.is_empty() && gate.next_sweep_ms <= now_ms;
        let Some(gate) = self.gate.as_mut().filter(|gate| is_due(gate)) else { return };
        gate.next_sweep_ms = now_ms + SWEEP_INTERVAL_MS;
        let is_late = |waiting: &WaitingRequest| waiting.deadline_ms <= now_ms;
        let (late, waiting) = gate.waiting.drain(..).partition::<VecDeque<_>, _>(is_late);
        gate.waiting = waiting;
        gate.rejected += late.len() as u64;
        for waiting in late {
            if let Some(message) = self.stop_waiting(waiting.conn, waiting.message) {
                self.reject(net, waiting.conn, message.close);
            }
        }
        self.release_waiting(net);
    }

    /// When `sweep_gate` is to be called next.
    pub(super) fn gate_deadline(&self) -> f64 {
        let gate = self.gate.as_ref().filter(|gate| !gate.waiting.is_empty());
        gate.map_or(f64::INFINITY, |gate| gate.next_sweep_ms)
    }
}
