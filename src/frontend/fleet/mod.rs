//! The fleet's front: what this process shares with the others of its fleet runs in a loop of its own on one thread
//! (`thread`: the socket, the voter's file, the decisions), and this is the fronts' side of it. Both sides speak by two
//! bounded channels; neither waits for the other. It decides nothing.

mod config;
mod figures;
mod log_lines;
mod policy_store;
mod thread;
mod vote_log;

use std::collections::VecDeque;

use calloop::channel::{self, SyncSender};
use calloop::{LoopHandle, RegistrationToken};

pub use config::{Config, ConfigError, FleetTable, Rollout, RolloutTable};

use super::http::HttpFrontend;
use super::{Gateway, Sockets};
use crate::core::{Admission, Clock, Core, TrafficEvent};
use crate::fleet::TICK_MS;
use crate::zones::FULL_SHARE;
use thread::{FleetCommand, FleetEvent};

pub use thread::PolicyCommand;

/// Messages that may wait on their way, each way: a few seconds of them.
const WAITING: usize = 256;

/// The fronts' side.
pub struct Fleet {
    handle: LoopHandle<'static, Gateway>,
    clock: Clock,
    names: Vec<String>,
    slots: f64,
    /// To the thread; none once the process stops.
    tell: Option<SyncSender<FleetCommand>>,
    token: Option<RegistrationToken>,
    /// The zones of the core, as places among the fleet's.
    zones: Vec<Option<usize>>,
    /// When to tell the thread next what happened here.
    next: f64,
    /// What the thread said that is not carried out yet: the newest shares.
    view: Option<(Vec<u16>, u16)>,
    figures: String,
    /// What the thread wants done with the policy, in order.
    orders: VecDeque<PolicyCommand>,
    /// Answers to it that the thread had no room for yet, in order.
    answers: VecDeque<FleetCommand>,
    /// Where the policy stands, where one is shared.
    policy: Option<String>,
    shares_policy: bool,
    /// Messages that the thread had no room for.
    lost: u64,
}

impl Fleet {
    /// Starts the thread, which opens the address as soon as it is free. The voter's file is read once before, so that
    /// one that does not read is refused at the start.
    pub fn new(config: Config, handle: LoopHandle<'static, Gateway>, clock: Clock) -> Result<Fleet, String> {
        if let Some(path) = &config.state {
            vote_log::read(path, config.generation)?;
        }
        let shares_policy = config.rollout.is_some();
        let wanted = config.rollout.as_ref().map(Rollout::read).transpose()?;
        let (names, slots) = (config.zones.clone(), config.slots);
        let (say, said) = channel::sync_channel(WAITING);
        let (tell, told) = channel::sync_channel(WAITING);
        thread::start(config, wanted, told, say).map_err(|e| format!("the fleet's thread: {e}"))?;
        let source = handle.insert_source(said, |event, (), gateway: &mut Gateway| {
            if let (channel::Event::Msg(said), Some(fleet)) = (event, &mut gateway.fleet) {
                fleet.hear(said);
            }
        });
        let token = Some(source.map_err(|e| e.to_string())?);
        let next = clock.now();
        Ok(Fleet {
            handle,
            clock,
            names,
            slots,
            tell: Some(tell),
            token,
            zones: Vec::new(),
            next,
            view: None,
            figures: figures::open(false),
            orders: VecDeque::new(),
            answers: VecDeque::new(),
            policy: None,
            shares_policy,
            lost: 0,
        })
    }

    /// Takes a core for the one whose zones it steers.
    pub fn steer(&mut self, core: &mut Core) {
        let place = |name: &String| self.names.iter().position(|zone| zone == name);
        self.zones = core.site().zones.iter().map(place).collect();
        core.enable_traffic_split();
    }

    fn hear(&mut self, said: FleetEvent) {
        match said {
            FleetEvent::View { shares, admit } => self.view = Some((shares, admit)),
            FleetEvent::Figures(text) => self.figures = text,
            FleetEvent::Standing(text) => self.policy = Some(text),
            FleetEvent::PolicyCommand(order) => self.orders.push_back(order),
        }
    }

    /// Whether policies are shared: then a front asks before it starts a request.
    pub fn shares_policy(&self) -> bool {
        self.shares_policy
    }

    /// Where the policy stands, where one is shared.
    pub fn policy(&self) -> Option<&String> {
        self.policy.as_ref()
    }

    /// The operator wants this version.
    pub fn want(&mut self, version: u64, text: String) {
        self.answers.push_back(FleetCommand::Want { version, text });
        self.flush();
    }

    /// What is to be done next with the policy.
    pub fn order(&mut self) -> Option<PolicyCommand> {
        self.orders.pop_front()
    }

    /// Has a front carry an order out, and tells the thread what came of it.
    pub fn carry_out(&mut self, net: &mut Sockets, front: &mut HttpFrontend, order: PolicyCommand) {
        match order {
            PolicyCommand::Check { version, text } => {
                let errors = front.check(&text).err().unwrap_or_default();
                let error = (!errors.is_empty())
                    .then(|| errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "));
                self.answers.push_back(FleetCommand::Checked { version, error });
            }
            PolicyCommand::Pause(hold) => {
                front.hold(net, true);
                self.answers.push_back(FleetCommand::Paused(hold));
            }
            PolicyCommand::Release => front.hold(net, false),
            PolicyCommand::Apply { text } => front.apply(&text),
            PolicyCommand::Serve(until) => front.serve_until(net, until),
        }
        self.flush();
    }

    fn flush(&mut self) {
        while let Some(answer) = self.answers.pop_front() {
            let Some(Err(refused)) = self.tell.as_ref().map(|tell| tell.try_send(answer)) else { continue };
            match refused {
                std::sync::mpsc::TrySendError::Full(answer) => return self.answers.push_front(answer),
                std::sync::mpsc::TrySendError::Disconnected(_) => return,
            }
        }
    }

    /// Tells the core what its zones may get, and the thread what happened here.
    pub fn tick(&mut self, mut core: Option<&mut Core>) {
        if let (Some((shares, admit)), Some(core)) = (self.view.take(), &mut core) {
            let share = |at: &Option<usize>| at.and_then(|at| shares.get(at).copied()).unwrap_or(FULL_SHARE);
            core.set_traffic_split(self.zones.iter().map(share).collect(), admit);
        }
        let now = self.clock.now();
        if now < self.next {
            return;
        }
        self.next = now + TICK_MS;
        self.flush();
        let (mut came, mut ended) = (Vec::new(), Vec::new());
        let mut there = vec![(0, 0); self.names.len()];
        let places = |zone: u16| self.zones.get(usize::from(zone)).copied().flatten();
        if let Some(core) = &mut core {
            core.drain_traffic_events(|what| match what {
                TrafficEvent::Arrived(admission) => came.push(admission == Admission::Rejected),
                TrafficEvent::AttemptEnded { zone, result: end, latency_ms: took } => {
                    ended.extend(places(zone).map(|zone| (zone, end, took)));
                }
            });
            for (zone, load) in core.zone_loads(self.zones.len()).into_iter().enumerate() {
                if let Some((all, room)) = places(zone as u16).and_then(|at| there.get_mut(at)) {
                    *all += load.open_attempts.min(60_000) as u16;
                    *room += (load.ready_size * self.slots).min(60_000.0) as u16;
                }
            }
        }
        let open = core.map_or(0, |core| core.open_jobs());
        self.send(FleetCommand::Work { came, ended, open, there });
    }

    /// Tells the thread, which may be behind: then what is told is lost, as a datagram would be.
    fn send(&mut self, told: FleetCommand) {
        if let Some(tell) = &self.tell {
            self.lost += u64::from(tell.try_send(told).is_err());
        }
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> f64 {
        match &self.tell {
            Some(_) if self.view.is_some() || !self.orders.is_empty() => 0.0,
            Some(_) => self.next,
            None => f64::INFINITY,
        }
    }

    /// Whether it has been stopped.
    pub fn is_stopped(&self) -> bool {
        self.tell.is_none()
    }

    /// Leaves the address to the process that follows: the thread ends when nobody can tell it anything and the leader
    /// knows. `serves` says whether requests are started until the lease is over; if not, it is given back.
    pub fn stop(&mut self, serves: bool) {
        self.answers.push_back(FleetCommand::Leave { serves });
        self.flush();
        self.orders.clear();
        self.tell = None;
        if let Some(token) = self.token.take() {
            self.handle.remove(token);
        }
        self.figures = figures::open(false);
    }

    /// Its figures, in the text exposition format, as the thread told them last.
    pub fn figures(&self) -> String {
        let lost = [(String::new(), self.lost as f64)];
        let mut text = self.figures.clone();
        crate::telemetry::row(
            &mut text,
            "lb_fleet_lost_total",
            "counter",
            "Messages that the fleet's thread had no room for.",
            &lost,
        );
        text
    }
}
