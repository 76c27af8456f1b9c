//! The frontends' side of the fleet. What this process shares with the others of its fleet runs in a loop of its own on one
//! thread (`fleet_loop`: the socket, the voter's file, the control plane); this side hands it what happened at the frontends
//! and gives out what it has decided. Two bounded channels join the two; neither side waits for the other. It decides
//! nothing.
//!
//! The caller calls `tick` with the core whose zones are steered, carries out each `next_policy_command` by `carry_out`, and
//! calls `stop` once, when the address is to be left to another process.

mod config;
mod figures;
mod fleet_loop;
mod log_lines;
mod messages;
mod open_node;
mod policy_changes;
mod policy_store;
mod vote_log;

use std::collections::VecDeque;
use std::io;
use std::sync::mpsc::TrySendError;

use calloop::channel::{self, SyncSender};
use calloop::{LoopHandle, RegistrationToken};
use thiserror::Error;

pub use config::{Config, ConfigError, FleetTable, PolicyFileError, Rollout, RolloutTable};
pub use messages::{Departure, PolicyCommand, WantedPolicy};
pub use vote_log::VoteLogError;

use super::http::HttpFrontend;
use super::{Gateway, Sockets};
use crate::core::{Admission, Clock, Core, TrafficEvent};
use crate::fleet::TICK_MS;
use crate::zones::{FULL_SHARE, ZoneLoad};
use messages::{EndedAttempt, FleetCommand, FleetEvent, TrafficReport, ZoneShares};

/// Messages that may wait on their way, each way: a few seconds of them.
const MAX_WAITING_MESSAGES: usize = 256;
/// Most attempts and slots of a zone that are told: they travel as 16-bit numbers.
const MAX_TOLD_USAGE: u16 = 60_000;

/// Why a process cannot take part in its fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The voter's file does not read.
    #[error(transparent)]
    VoteLog(#[from] VoteLogError),
    /// The policy that the operator wants does not read.
    #[error(transparent)]
    PolicyFile(#[from] PolicyFileError),
    /// Its thread could not be started.
    #[error("the fleet's thread: {0}")]
    Thread(io::Error),
    /// Its channel could not be added to the event loop.
    #[error("{0}")]
    EventLoop(calloop::Error),
}

/// The frontends' side.
pub struct Fleet {
    handle: LoopHandle<'static, Gateway>,
    clock: Clock,
    zone_names: Vec<String>,
    /// Jobs that an endpoint of size 1 runs at once.
    slots_per_size: f64,
    /// To the thread; none once the process has left the fleet.
    commands: Option<SyncSender<FleetCommand>>,
    token: Option<RegistrationToken>,
    /// The zones of the core, as indexes among the fleet's.
    core_zones: Vec<Option<usize>>,
    /// When to tell the thread next what happened here, in milliseconds.
    next_report_ms: f64,
    /// The newest shares, until the core has them.
    pending_shares: Option<ZoneShares>,
    figures: String,
    /// What the thread wants done with the policy, in order.
    policy_commands: VecDeque<PolicyCommand>,
    /// Answers that the thread had no room for yet, in order.
    pending_answers: VecDeque<FleetCommand>,
    /// Where the policy stands, where one is shared.
    policy_status: Option<String>,
    shares_policy: bool,
    /// Reports that the thread had no room for.
    lost_reports: u64,
}

impl Fleet {
    /// Starts the thread, which opens the fleet's address as soon as it is free. The voter's file is read once before, so
    /// that one that does not read is refused at the start.
    ///
    /// # Errors
    /// Where the voter's file or the wanted policy does not read, or the thread does not start.
    pub fn new(
        config: Config,
        handle: LoopHandle<'static, Gateway>,
        clock: Clock,
    ) -> Result<Fleet, FleetError> {
        if let Some(path) = &config.state {
            vote_log::read(path, config.generation)?;
        }
        let shares_policy = config.rollout.is_some();
        let wanted = config.rollout.as_ref().map(Rollout::read).transpose()?;
        let (zone_names, slots_per_size) = (config.zones.clone(), config.slots);
        let (event_sender, events) = channel::sync_channel(MAX_WAITING_MESSAGES);
        let (command_sender, commands) = channel::sync_channel(MAX_WAITING_MESSAGES);
        fleet_loop::start(config, wanted, commands, event_sender).map_err(FleetError::Thread)?;
        let source = handle.insert_source(events, |event, (), gateway: &mut Gateway| {
            if let (channel::Event::Msg(event), Some(fleet)) = (event, &mut gateway.fleet) {
                fleet.on_event(event);
            }
        });
        let token = source.map_err(|e| FleetError::EventLoop(e.error))?;
        Ok(Fleet {
            handle,
            next_report_ms: clock.now(),
            clock,
            zone_names,
            slots_per_size,
            commands: Some(command_sender),
            token: Some(token),
            core_zones: Vec::new(),
            pending_shares: None,
            figures: figures::address_held(false),
            policy_commands: VecDeque::new(),
            pending_answers: VecDeque::new(),
            policy_status: None,
            shares_policy,
            lost_reports: 0,
        })
    }

    /// Takes a core for the one whose zones are steered.
    pub fn steer(&mut self, core: &mut Core) {
        let index = |name: &String| self.zone_names.iter().position(|zone| zone == name);
        self.core_zones = core.site().zones.iter().map(index).collect();
        core.enable_traffic_split();
    }

    fn on_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Shares(shares) => self.pending_shares = Some(shares),
            FleetEvent::Figures(text) => self.figures = text,
            FleetEvent::PolicyStatus(text) => self.policy_status = Some(text),
            FleetEvent::Policy(command) => self.policy_commands.push_back(command),
        }
    }

    /// Whether policies are shared: then a frontend asks before it starts a request.
    pub fn shares_policy(&self) -> bool {
        self.shares_policy
    }

    /// Where the policy stands, in a line for operators, where one is shared.
    pub fn policy_status(&self) -> Option<&String> {
        self.policy_status.as_ref()
    }

    /// The operator wants this policy.
    pub fn propose(&mut self, policy: WantedPolicy) {
        self.answer(FleetCommand::Propose(policy));
    }

    /// What is to be done next with the policy.
    pub fn next_policy_command(&mut self) -> Option<PolicyCommand> {
        self.policy_commands.pop_front()
    }

    /// Has a frontend carry a command out, and tells the thread what came of it.
    pub fn carry_out(&mut self, net: &mut Sockets, frontend: &mut HttpFrontend, command: PolicyCommand) {
        match command {
            PolicyCommand::Check(WantedPolicy { version, text }) => {
                let errors = frontend.check(&text).err().unwrap_or_default();
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                let error = (!texts.is_empty()).then(|| texts.join("; "));
                self.answer(FleetCommand::Checked { version, error });
            }
            PolicyCommand::Pause(pause) => {
                frontend.set_paused(net, true);
                self.answer(FleetCommand::Paused(pause));
            }
            PolicyCommand::Resume => frontend.set_paused(net, false),
            PolicyCommand::Apply { text } => frontend.apply_policy(&text),
            PolicyCommand::ServeUntil(until) => frontend.serve_until(net, until),
        }
        self.flush_answers();
    }

    /// Tells the thread something that must not be lost.
    fn answer(&mut self, answer: FleetCommand) {
        self.pending_answers.push_back(answer);
        self.flush_answers();
    }

    fn flush_answers(&mut self) {
        let Some(commands) = &self.commands else { return self.pending_answers.clear() };
        while let Some(answer) = self.pending_answers.pop_front() {
            match commands.try_send(answer) {
                Ok(()) => {}
                Err(TrySendError::Full(answer)) => return self.pending_answers.push_front(answer),
                Err(TrySendError::Disconnected(_)) => return,
            }
        }
    }

    /// Gives the core what its zones may get, and the thread what happened here.
    pub fn tick(&mut self, mut core: Option<&mut Core>) {
        if let (Some(shares), Some(core)) = (self.pending_shares.take(), &mut core) {
            let share = |zone: &Option<usize>| {
                zone.and_then(|zone| shares.zones.get(zone).copied()).unwrap_or(FULL_SHARE)
            };
            core.set_traffic_split(self.core_zones.iter().map(share).collect(), shares.admitted);
        }
        let now_ms = self.clock.now();
        if now_ms < self.next_report_ms {
            return;
        }
        self.next_report_ms = now_ms + TICK_MS;
        self.flush_answers();
        let report = self.traffic_report(core);
        self.send_report(report);
    }

    fn traffic_report(&self, core: Option<&mut Core>) -> TrafficReport {
        let mut report = TrafficReport {
            zones: vec![ZoneLoad::default(); self.zone_names.len()],
            ..TrafficReport::default()
        };
        let Some(core) = core else { return report };
        let fleet_zone = |zone: usize| self.core_zones.get(zone).copied().flatten();
        core.drain_traffic_events(|event| match event {
            TrafficEvent::Arrived(Admission::Admitted) => report.admitted += 1,
            TrafficEvent::Arrived(Admission::Rejected) => report.rejected += 1,
            TrafficEvent::AttemptEnded { zone, result, latency_ms } => {
                let zone = fleet_zone(usize::from(zone));
                report.ended.extend(zone.map(|zone| EndedAttempt { zone, result, latency_ms }));
            }
        });
        for (zone, load) in core.zone_loads(self.core_zones.len()).into_iter().enumerate() {
            if let Some(usage) = fleet_zone(zone).and_then(|zone| report.zones.get_mut(zone)) {
                usage.in_flight += load.open_attempts.min(usize::from(MAX_TOLD_USAGE)) as u16;
                usage.slots += (load.ready_size * self.slots_per_size).min(f64::from(MAX_TOLD_USAGE)) as u16;
            }
        }
        report.open_jobs = core.open_jobs();
        report
    }

    /// Hands a report to the thread, which may be behind: then it is lost, as a datagram would be.
    fn send_report(&mut self, report: TrafficReport) {
        if let Some(commands) = &self.commands {
            self.lost_reports += u64::from(commands.try_send(FleetCommand::Report(report)).is_err());
        }
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> f64 {
        match &self.commands {
            Some(_) if self.pending_shares.is_some() || !self.policy_commands.is_empty() => 0.0,
            Some(_) => self.next_report_ms,
            None => f64::INFINITY,
        }
    }

    /// Whether it has left the fleet.
    pub fn is_stopped(&self) -> bool {
        self.commands.is_none()
    }

    /// Leaves the address to the process that follows: the thread ends once the leader knows, or the lease is over.
    pub fn stop(&mut self, departure: Departure) {
        self.answer(FleetCommand::Leave(departure));
        self.policy_commands.clear();
        self.commands = None;
        if let Some(token) = self.token.take() {
            self.handle.remove(token);
        }
        self.figures = figures::address_held(false);
    }

    /// Its figures, in the text exposition format, as the thread told them last.
    pub fn figures(&self) -> String {
        self.figures.clone() + &figures::lost_reports(self.lost_reports)
    }
}
