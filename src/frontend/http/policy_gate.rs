//! The gate: whether requests may be started now, under which policy, and what waits until they may. Where no policy is
//! shared there is none, and nothing is asked.

use std::collections::VecDeque;

use super::HttpFrontend;
use super::headers::span;
use crate::core::{PartitionId, boot_ms};
use crate::frontend::Sockets;
use crate::ingest::{Empty, Event, Policy, PolicyError};
use crate::net::ConnId;
use crate::net::http::Message;

/// Requests that may wait for the gate, as a part of the sessions that there may be.
const PART: usize = 4;
/// How long a request waits for the gate at most, in milliseconds: what a change may take, and then some.
const WAITS: f64 = 2000.0;
/// Time between two looks at what waits, in milliseconds.
const LOOK: f64 = 10.0;

/// What of its own time a request waits for the gate at most: then its client is told while it still listens.
const OWN: f64 = 0.8;

/// A request that waits: its connection, when it came, by when it is denied, and what it says.
struct Waiting {
    conn: ConnId,
    came: f64,
    until: f64,
    message: Message,
}

/// The gate.
#[derive(Default)]
pub(super) struct PolicyGate {
    policy: Option<Policy>,
    /// The pool of each partition.
    pools: Vec<PartitionId>,
    /// A change is being made.
    holds: bool,
    /// Until when requests may be started, as `boot_ms` tells it.
    until: f64,
    waiting: VecDeque<Waiting>,
    look: f64,
    /// Requests that waited, and those that were turned away since they waited too long or were too many.
    pub(super) waited: u64,
    pub(super) turned: u64,
}

impl PolicyGate {
    /// Whether a request may be started now. The clock is read for each: a process that was frozen or suspended must
    /// not start what came before on the lease that it had then.
    fn is_open(&self) -> bool {
        !self.holds && boot_ms() < self.until
    }
}

/// Where a request goes.
pub(super) enum RouteDecision {
    /// To these servers.
    To(PartitionId),
    /// Its partition has none, and the policy says to deny it.
    Denied,
}

impl HttpFrontend {
    /// From now on requests are started only as the fleet's policy allows.
    pub fn guard(&mut self) {
        self.gate = Some(Box::default());
    }

    /// Whether clients may come: no gate, or one that has been opened.
    pub(super) fn gate_open(&self) -> bool {
        self.gate.as_ref().is_none_or(|gate| boot_ms() < gate.until)
    }

    /// What is wrong with a policy here; it is not taken over.
    pub fn check(&self, text: &str) -> Result<Policy, Vec<PolicyError>> {
        let policy = Policy::read(text, self.core.site())?;
        let nobody = policy.nobody(|selector| self.core.has_ready_endpoint(selector));
        if nobody.is_empty() { Ok(policy) } else { Err(nobody) }
    }

    /// Holds what comes in from now on, or lets it go on.
    pub fn hold(&mut self, net: &mut Sockets, on: bool) {
        if let Some(gate) = &mut self.gate {
            gate.holds = on;
        }
        self.pass(net);
    }

    /// Requests may be started until then, as `boot_ms` tells it.
    pub fn serve_until(&mut self, net: &mut Sockets, until: f64) {
        if let Some(gate) = &mut self.gate {
            gate.until = until;
        }
        self.pass(net);
    }

    /// Starts no request any more, and denies those that wait.
    pub fn close_gate(&mut self) {
        let now = self.core.clock().now();
        if let Some(gate) = &mut self.gate {
            (gate.until, gate.look) = (f64::NEG_INFINITY, now);
            gate.waiting.iter_mut().for_each(|waiting| waiting.until = now);
        }
    }

    /// Takes over a policy that is decided. What was taken before goes on in the pools that it was kept to.
    pub fn apply(&mut self, text: &str) {
        let policy = match Policy::read(text, self.core.site()) {
            Ok(policy) => policy,
            Err(errors) => {
                // It was checked before: the settings have changed since. Nothing is started without it.
                for error in errors {
                    crate::say(format_args!("the policy in force does not fit here: {error}"));
                }
                if let Some(gate) = &mut self.gate {
                    (gate.until, gate.policy) = (f64::NEG_INFINITY, None);
                }
                return;
            }
        };
        let pools = self.core.set_partitions(policy.partitions.iter().map(|(_, _, selector)| selector));
        if let Some(gate) = &mut self.gate {
            (gate.policy, gate.pools) = (Some(policy), pools);
        }
    }

    /// Whether a request may be started now. If not it waits, or is denied where too many do.
    pub(super) fn admits(&mut self, net: &mut Sockets, id: ConnId, message: Message) -> Option<Message> {
        let now = self.core.clock().now();
        let Some(gate) = self.gate.as_mut().filter(|gate| !gate.is_open()) else { return Some(message) };
        if gate.waiting.len() >= (self.clients.budget.sessions / PART).max(1) || self.stopping.is_some() {
            gate.turned += 1;
            self.turn_away(net, id, message.close);
            return None;
        }
        gate.waited += 1;
        gate.look = gate.look.min(now + LOOK);
        if gate.waiting.is_empty() {
            gate.look = now + LOOK;
        }
        let own = message.header("req-deadline").and_then(span).map_or(WAITS, |wait| wait * OWN);
        let until = now + own.min(WAITS);
        gate.waiting.push_back(Waiting { conn: id, came: now, until, message });
        if let Some(client) = self.clients.client(id) {
            client.waits = true;
        }
        None
    }

    /// Where a request goes under the policy in force.
    pub(super) fn way(&self, class: usize, message: &Message) -> RouteDecision {
        let Some((gate, policy)) = self.gate.as_ref().and_then(|gate| Some((gate, gate.policy.as_ref()?)))
        else {
            return RouteDecision::To(0);
        };
        let event = Event {
            class,
            zone: self.core.site().settings.zone,
            tenant: message.header("req-owner"),
            key: message.header("req-key"),
            size: message.body.len() as u64,
            header: &|name| message.header(name),
        };
        let Some(rule) = policy.rule(&event) else { return RouteDecision::To(0) };
        let count = policy.partitions.len();
        let there = |at: &usize| self.core.has_ready_endpoint(&policy.partitions[*at].2);
        match rule.empty {
            Empty::Wait => RouteDecision::To(gate.pools[rule.partition]),
            _ if there(&rule.partition) => RouteDecision::To(gate.pools[rule.partition]),
            Empty::Deny => RouteDecision::Denied,
            Empty::Next => {
                let next = (1..count).map(|step| (rule.partition + step) % count).find(there);
                next.map_or(RouteDecision::Denied, |at| RouteDecision::To(gate.pools[at]))
            }
        }
    }

    /// Lets what waits go on, in the order in which it came, if the gate is open.
    fn pass(&mut self, net: &mut Sockets) {
        while let Some(next) =
            self.gate.as_mut().filter(|gate| gate.is_open()).and_then(|g| g.waiting.pop_front())
        {
            if let Some(message) = self.back(next.conn, next.message) {
                self.submit(net, next.conn, message, next.came);
            }
        }
        self.carry_out(net);
    }

    /// A request that waited no more, if its client is still there.
    fn back(&mut self, conn: ConnId, message: Message) -> Option<Message> {
        let client = self.clients.client(conn).filter(|client| client.waits)?;
        client.waits = false;
        self.clients.answered.push(conn);
        Some(message)
    }

    /// Looks whether the gate is open again, and turns away what has waited too long.
    pub(super) fn sweep_gate(&mut self, net: &mut Sockets, now: f64) {
        let Some(gate) = self.gate.as_mut().filter(|gate| !gate.waiting.is_empty() && gate.look <= now)
        else {
            return;
        };
        gate.look = now + LOOK;
        let (late, waiting) = gate.waiting.drain(..).partition::<VecDeque<_>, _>(|w| w.until <= now);
        gate.waiting = waiting;
        gate.turned += late.len() as u64;
        for waiting in late {
            if let Some(message) = self.back(waiting.conn, waiting.message) {
                self.turn_away(net, waiting.conn, message.close);
            }
        }
        self.pass(net);
    }

    /// When `sweep_gate` is to be called next.
    pub(super) fn gate_next(&self) -> f64 {
        self.gate.as_ref().filter(|gate| !gate.waiting.is_empty()).map_or(f64::INFINITY, |gate| gate.look)
    }
}
