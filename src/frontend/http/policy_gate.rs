//! The policy gate: decides whether requests may be started, selects their partition and holds them until
//! they may be started. It exists only where a policy is shared.

use std::collections::VecDeque;

use super::HttpFrontend;
use super::headers::parse_duration_ms;
use crate::core::{ALL_ENDPOINTS, PartitionId, boot_ms};
use crate::frontend::Sockets;
use crate::ingest::{Empty, Policy, PolicyError, RequestAttributes};
use crate::net::ConnId;
use crate::net::http::Message;

/// Ratio of the job limit to the maximum number of requests held at the gate.
const JOBS_PER_WAITING_REQUEST: usize = 4;
/// Maximum time that a request is held at the gate, in milliseconds: a little more than a change of policy
/// may take.
const MAX_GATE_WAIT_MS: f64 = 2000.0;
/// Interval between two checks of the held requests, in milliseconds.
const SWEEP_INTERVAL_MS: f64 = 10.0;
/// Maximum fraction of its own deadline for which a request is held at the gate, so that its client is still
/// there to receive the rejection.
const GATE_WAIT_FRACTION: f64 = 0.8;

/// A request held at the gate. Times are in milliseconds of the clock.
struct WaitingRequest {
    conn: ConnId,
    arrived_at_ms: f64,
    /// When the request is rejected.
    deadline_ms: f64,
    message: Message,
}

/// State of the policy gate.
#[derive(Default)]
pub(super) struct PolicyGate {
    policy: Option<Policy>,
    /// The core's partition of endpoints for each partition of the policy.
    partitions: Vec<PartitionId>,
    /// Whether requests are held because a policy change is in progress.
    is_paused: bool,
    /// Until when requests may be started, in milliseconds of `boot_ms`.
    serve_until_ms: f64,
    waiting: VecDeque<WaitingRequest>,
    next_sweep_ms: f64,
    /// Number of requests that were held.
    pub(super) waited: u64,
    /// Number of requests rejected because they were held too long or too many were held.
    pub(super) rejected: u64,
}

impl PolicyGate {
    /// Whether a request may be started now. The clock is read for each request: a process that was frozen or
    /// suspended must not start earlier requests under a lease that has expired meanwhile.
    fn is_open(&self) -> bool {
        !self.is_paused && boot_ms() < self.serve_until_ms
    }
}

/// Destination of a request according to the policy.
pub(super) enum RouteDecision {
    /// To the endpoints of a partition.
    Partition(PartitionId),
    /// Nowhere: the partition has no endpoint, and the policy says to reject the request.
    Reject,
}

impl HttpFrontend {
    /// Enables the gate: from now on requests are started only as the shared policy allows.
    pub fn enable_policy_gate(&mut self) {
        self.gate = Some(Box::default());
    }

    /// Whether clients may connect: there is no gate, or the lease to serve is valid.
    pub(super) fn gate_is_open(&self) -> bool {
        self.gate.as_ref().is_none_or(|gate| boot_ms() < gate.serve_until_ms)
    }

    /// Checks a policy against this dispatcher's settings and endpoints, without applying it.
    ///
    /// # Errors
    /// All reasons why the policy cannot be used here.
    pub fn check(&self, text: &str) -> Result<Policy, Vec<PolicyError>> {
        let policy = Policy::read(text, self.core.site())?;
        let without_endpoints =
            policy.partitions_without_endpoint(|selector| self.core.has_ready_endpoint(selector));
        if without_endpoints.is_empty() { Ok(policy) } else { Err(without_endpoints) }
    }

    /// Starts or ends the pause in which new requests are held.
    pub fn set_paused(&mut self, net: &mut Sockets, is_paused: bool) {
        if let Some(gate) = &mut self.gate {
            gate.is_paused = is_paused;
        }
        self.release_waiting(net);
    }

    /// Sets the time until which requests may be started, in milliseconds of `boot_ms`.
    pub fn serve_until(&mut self, net: &mut Sockets, until_ms: f64) {
        if let Some(gate) = &mut self.gate {
            gate.serve_until_ms = until_ms;
        }
        self.release_waiting(net);
    }

    /// Closes the gate, and has the requests that it holds rejected.
    pub fn close_gate(&mut self) {
        let now_ms = self.core.clock().now();
        if let Some(gate) = &mut self.gate {
            (gate.serve_until_ms, gate.next_sweep_ms) = (f64::NEG_INFINITY, now_ms);
            gate.waiting.iter_mut().for_each(|waiting| waiting.deadline_ms = now_ms);
        }
    }

    /// Applies a decided policy. Jobs that were accepted before stay in the partitions that they were
    /// assigned to.
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

    /// Handles a policy in force that does not fit the settings: it was checked before, and the settings have
    /// changed since. No request is started without a policy.
    fn disable_policy(&mut self, errors: &[PolicyError]) {
        for error in errors {
            tracing::error!(%error, "policy in force does not fit the settings");
        }
        if let Some(gate) = &mut self.gate {
            (gate.serve_until_ms, gate.policy) = (f64::NEG_INFINITY, None);
        }
    }

    /// Returns the request if it may be started now. Otherwise holds it, or rejects it if too many are held
    /// or the process is stopping.
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

    /// Selects the partition of a request under the policy in force.
    pub(super) fn route(&self, class: usize, message: &Message) -> RouteDecision {
        let Some((gate, policy)) = self.gate.as_ref().and_then(|gate| Some((gate, gate.policy.as_ref()?)))
        else {
            return RouteDecision::Partition(ALL_ENDPOINTS);
        };
        let event = RequestAttributes {
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

    /// Submits the held requests in order of arrival while the gate is open.
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

    /// Ends the waiting state of a held request's client. Returns the request if the client is still
    /// connected.
    fn stop_waiting(&mut self, conn: ConnId, message: Message) -> Option<Message> {
        let client = self.clients.get_mut(conn).filter(|client| client.is_waiting)?;
        client.is_waiting = false;
        self.clients.answered.push(conn);
        Some(message)
    }

    /// Rejects requests that were held too long, and submits the others if the gate is open again.
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

    /// Returns when `sweep_gate` must be called next, in milliseconds of the clock.
    pub(super) fn gate_deadline(&self) -> f64 {
        let gate = self.gate.as_ref().filter(|gate| !gate.waiting.is_empty());
        gate.map_or(f64::INFINITY, |gate| gate.next_sweep_ms)
    }
}
