//! The frontends' interface to the fleet. Everything shared with the other members of the fleet runs in an
//! event loop on its own thread (`fleet_loop`: the socket, the vote file, the control plane). This side sends
//! that thread what happened at the frontends and passes on what it returns; it makes no decisions of its
//! own. Two bounded channels connect the two sides, and neither side blocks on the other.
//!
//! The caller calls `tick` with the core whose zones the fleet controls, carries out each
//! `next_policy_command` by `carry_out`, and calls `stop` once, when it leaves the address to another
//! process.

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

/// Capacity of the channel in each direction, in messages: a few seconds' worth.
const CHANNEL_CAPACITY: usize = 256;
/// Maximum number of attempts and slots that is reported for a zone. They are sent as 16-bit numbers.
const MAX_REPORTED_USAGE: u16 = 60_000;

/// The reason a process cannot take part in its fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The vote file cannot be read.
    #[error(transparent)]
    VoteLog(#[from] VoteLogError),
    /// The operator's policy file cannot be read.
    #[error(transparent)]
    PolicyFile(#[from] PolicyFileError),
    /// The fleet thread could not be started.
    #[error("cannot start the fleet thread: {0}")]
    Thread(io::Error),
    /// The channel could not be added to the event loop.
    #[error("{0}")]
    EventLoop(calloop::Error),
}

/// The frontends' interface to the fleet thread.
pub struct Fleet {
    handle: LoopHandle<'static, Gateway>,
    clock: Clock,
    zone_names: Vec<String>,
    /// The number of jobs that an endpoint of size 1 runs concurrently.
    slots_per_size: f64,
    /// Sends commands to the thread; `None` once the process has left the fleet.
    commands: Option<SyncSender<FleetCommand>>,
    token: Option<RegistrationToken>,
    /// For each zone of the core, its index among the fleet's zones.
    core_zones: Vec<Option<usize>>,
    /// When the next traffic report to the thread is due, in milliseconds.
    next_report_ms: f64,
    /// The newest shares that the core has not received yet.
    pending_shares: Option<ZoneShares>,
    metrics: String,
    /// Policy commands from the thread that are still to be carried out, in order.
    policy_commands: VecDeque<PolicyCommand>,
    /// Commands that must not be lost and that the full channel has not accepted yet, in order.
    pending_commands: VecDeque<FleetCommand>,
    /// The status line of the policy; `None` unless policies are shared.
    policy_status: Option<String>,
    shares_policy: bool,
    /// The number of reports lost because the channel was full.
    lost_reports: u64,
}

impl Fleet {
    /// Starts the thread, which binds the fleet's address as soon as it is free. The vote file is read once
    /// beforehand, so that an unreadable file is reported at startup.
    ///
    /// # Errors
    /// If the vote file or the operator's policy cannot be read, or the thread cannot be started.
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
        let (event_sender, events) = channel::sync_channel(CHANNEL_CAPACITY);
        let (command_sender, commands) = channel::sync_channel(CHANNEL_CAPACITY);
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
            metrics: figures::address_held(false),
            policy_commands: VecDeque::new(),
            pending_commands: VecDeque::new(),
            policy_status: None,
            shares_policy,
            lost_reports: 0,
        })
    }

    /// Makes `core` follow the fleet's traffic split, and records how its zones map to the fleet's zones.
    pub fn attach_core(&mut self, core: &mut Core) {
        let index = |name: &String| self.zone_names.iter().position(|zone| zone == name);
        self.core_zones = core.site().zones.iter().map(index).collect();
        core.enable_traffic_split();
    }

    fn on_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Shares(shares) => self.pending_shares = Some(shares),
            FleetEvent::Metrics(text) => self.metrics = text,
            FleetEvent::PolicyStatus(text) => self.policy_status = Some(text),
            FleetEvent::Policy(command) => self.policy_commands.push_back(command),
        }
    }

    /// Whether policies are shared. If they are, a frontend checks its lease before it starts a request.
    pub fn shares_policy(&self) -> bool {
        self.shares_policy
    }

    /// Returns the status line of the policy for operators; `None` unless policies are shared.
    pub fn policy_status(&self) -> Option<&String> {
        self.policy_status.as_ref()
    }

    /// Proposes the operator's policy.
    pub fn propose(&mut self, policy: WantedPolicy) {
        self.send_reliably(FleetCommand::Propose(policy));
    }

    /// Returns the next policy command to carry out.
    pub fn next_policy_command(&mut self) -> Option<PolicyCommand> {
        self.policy_commands.pop_front()
    }

    /// Carries out a policy command on the frontend and reports the result to the thread.
    pub fn carry_out(&mut self, net: &mut Sockets, frontend: &mut HttpFrontend, command: PolicyCommand) {
        match command {
            PolicyCommand::Check(WantedPolicy { version, text }) => {
                let errors = frontend.check(&text).err().unwrap_or_default();
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                let error = (!texts.is_empty()).then(|| texts.join("; "));
                self.send_reliably(FleetCommand::Checked { version, error });
            }
            PolicyCommand::Pause(pause) => {
                frontend.set_paused(net, true);
                self.send_reliably(FleetCommand::Paused(pause));
            }
            PolicyCommand::Resume => frontend.set_paused(net, false),
            PolicyCommand::Apply { text } => frontend.apply_policy(&text),
            PolicyCommand::ServeUntil(until) => frontend.serve_until(net, until),
        }
        self.flush_commands();
    }

    /// Sends the thread a command that must not be lost.
    fn send_reliably(&mut self, command: FleetCommand) {
        self.pending_commands.push_back(command);
        self.flush_commands();
    }

    fn flush_commands(&mut self) {
        let Some(commands) = &self.commands else { return self.pending_commands.clear() };
        while let Some(command) = self.pending_commands.pop_front() {
            match commands.try_send(command) {
                Ok(()) => {}
                Err(TrySendError::Full(command)) => return self.pending_commands.push_front(command),
                Err(TrySendError::Disconnected(_)) => return,
            }
        }
    }

    /// Updates the core's traffic split and sends the thread a traffic report when one is due.
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
        self.flush_commands();
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
                usage.in_flight += load.open_attempts.min(usize::from(MAX_REPORTED_USAGE)) as u16;
                usage.slots +=
                    (load.ready_size * self.slots_per_size).min(f64::from(MAX_REPORTED_USAGE)) as u16;
            }
        }
        report.open_jobs = core.open_jobs();
        report
    }

    /// Sends a report to the thread. If the channel is full the report is lost, as a datagram would be.
    fn send_report(&mut self, report: TrafficReport) {
        if let Some(commands) = &self.commands {
            self.lost_reports += u64::from(commands.try_send(FleetCommand::Report(report)).is_err());
        }
    }

    /// Returns the time at which `tick` is due next.
    pub fn next_deadline(&self) -> f64 {
        match &self.commands {
            Some(_) if self.pending_shares.is_some() || !self.policy_commands.is_empty() => 0.0,
            Some(_) => self.next_report_ms,
            None => f64::INFINITY,
        }
    }

    /// Whether this process has left the fleet.
    pub fn is_stopped(&self) -> bool {
        self.commands.is_none()
    }

    /// Leaves the fleet and its address to the process that follows. The thread ends once the leader has been
    /// informed or the lease has expired.
    pub fn stop(&mut self, departure: Departure) {
        self.send_reliably(FleetCommand::Leave(departure));
        self.policy_commands.clear();
        self.commands = None;
        if let Some(token) = self.token.take() {
            self.handle.remove(token);
        }
        self.metrics = figures::address_held(false);
    }

    /// Returns the fleet's metrics in the text exposition format, as last received from the thread.
    pub fn metrics(&self) -> String {
        self.metrics.clone() + &figures::lost_reports(self.lost_reports)
    }
}
