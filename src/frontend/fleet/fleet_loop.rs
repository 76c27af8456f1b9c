//! The fleet's thread: one event loop for the fleet's address, the voter's file, and what comes from the frontends and goes
//! to them. It owns the member while the address is held (`open_node`), tries for the address while another process of an
//! upgrade holds it, and keeps what a full channel refused. It decides nothing; `crate::control_plane` does.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::TrySendError;
use std::time::Duration;

use calloop::channel::{self, Channel, SyncSender};
use calloop::{EventLoop, LoopHandle};
use rustc_hash::FxHashMap;

use super::config::Config;
use super::messages::{
    Departure, FleetCommand, FleetEvent, PolicyCommand, TrafficReport, WantedPolicy, ZoneShares,
};
use super::open_node::{self, DatagramDrops, NodeOutput, OpenNode};
use super::policy_changes::FollowUp;
use super::vote_log::WriteResult;
use super::{figures, log_lines};
use crate::core::Clock;
use crate::fleet::{self, MemberId};
use crate::rollout;
use crate::zones::ZoneLoad;

/// While another process holds the address, as the one that an upgrade replaces, it is tried again after this time, in
/// milliseconds.
const BIND_RETRY_INTERVAL_MS: f64 = 100.0;
/// Longest time between two rounds of the loop, in milliseconds.
const MAX_ROUND_MS: f64 = 1000.0;
/// Figures are told to the frontends so often, in milliseconds.
const FIGURES_INTERVAL_MS: f64 = 200.0;

/// Whether this process has the fleet's address.
pub(super) enum Membership {
    /// It is tried for at this time, in milliseconds.
    Opening { next_try_ms: f64 },
    /// It is held.
    Open(Box<OpenNode>),
    /// It was given up for good: the votes of this member could not be read.
    Abandoned,
}

/// The state of the thread.
pub(super) struct FleetLoop {
    pub(super) config: Config,
    handle: LoopHandle<'static, FleetLoop>,
    pub(super) clock: Clock,
    pub(super) membership: Membership,
    /// Whether the log has told that the address is not free.
    bind_failure_logged: bool,
    members_by_address: FxHashMap<SocketAddr, MemberId>,
    drops: DatagramDrops,
    pub(super) events: SyncSender<FleetEvent>,
    /// Whether the frontends' side has gone.
    is_over: bool,
    /// What the frontends said of their serving as they went; taken to be in use where they said nothing.
    departure: Departure,
    /// What the frontends reported last.
    open_jobs: usize,
    zone_loads: Vec<ZoneLoad>,
    /// The policy that the operator wants, until it is proposed.
    pub(super) wanted: Option<WantedPolicy>,
    /// When to render the figures next, in milliseconds.
    next_figures_ms: f64,
    /// Shares that the frontends had no room for yet.
    pending_shares: Option<ZoneShares>,
    /// Policy commands that the frontends had no room for yet.
    pub(super) pending_policy_commands: VecDeque<PolicyCommand>,
    /// The policy's status as the frontends know it.
    told_policy_status: String,
}

/// Starts the thread. It ends once the frontends' side of `commands` is gone and the fleet's address is left.
pub(super) fn start(
    config: Config,
    wanted: Option<WantedPolicy>,
    commands: Channel<FleetCommand>,
    events: SyncSender<FleetEvent>,
) -> io::Result<()> {
    std::thread::Builder::new().name("fleet".into()).spawn(move || {
        if let Err(error) = run(config, wanted, commands, events.clone()) {
            tracing::error!(%error, "fleet loop ended");
            // Whoever gets the address next is taken for the only process of this member.
            let _ = events.send(FleetEvent::Policy(PolicyCommand::ServeUntil(f64::NEG_INFINITY)));
        }
    })?;
    Ok(())
}

fn run(
    config: Config,
    wanted: Option<WantedPolicy>,
    commands: Channel<FleetCommand>,
    events: SyncSender<FleetEvent>,
) -> Result<(), calloop::Error> {
    let mut event_loop: EventLoop<'static, FleetLoop> = EventLoop::try_new()?;
    let source =
        event_loop.handle().insert_source(commands, |event, (), state: &mut FleetLoop| match event {
            channel::Event::Msg(command) => state.on_command(command),
            channel::Event::Closed => state.is_over = true,
        });
    source.map_err(|e| e.error)?;
    let mut state = FleetLoop::new(config, event_loop.handle(), wanted, events);
    state.tick();
    while !state.is_over {
        let wait_ms = (state.next_deadline() - state.clock.now()).clamp(0.0, MAX_ROUND_MS);
        event_loop.dispatch(Some(Duration::from_secs_f64(wait_ms / 1e3)), &mut state)?;
        state.tick();
    }
    state.leave();
    while !state.has_left() {
        event_loop.dispatch(Some(Duration::from_secs_f64(fleet::TICK_MS / 1e3)), &mut state)?;
        state.tick();
    }
    Ok(())
}

impl FleetLoop {
    fn new(
        config: Config,
        handle: LoopHandle<'static, FleetLoop>,
        wanted: Option<WantedPolicy>,
        events: SyncSender<FleetEvent>,
    ) -> FleetLoop {
        // Leases count while the machine is suspended.
        let clock = Clock::boot();
        let addresses = config.addresses.iter().enumerate();
        FleetLoop {
            membership: Membership::Opening { next_try_ms: clock.now() },
            bind_failure_logged: false,
            members_by_address: addresses.map(|(member, address)| (*address, member as MemberId)).collect(),
            drops: DatagramDrops::default(),
            events,
            is_over: false,
            departure: Departure::ServesOn,
            open_jobs: 0,
            zone_loads: Vec::new(),
            wanted,
            next_figures_ms: clock.now(),
            pending_shares: None,
            pending_policy_commands: VecDeque::new(),
            told_policy_status: String::new(),
            config,
            handle,
            clock,
        }
    }

    fn node(&self) -> Option<&OpenNode> {
        match &self.membership {
            Membership::Open(node) => Some(node),
            Membership::Opening { .. } | Membership::Abandoned => None,
        }
    }

    fn node_mut(&mut self) -> Option<&mut OpenNode> {
        match &mut self.membership {
            Membership::Open(node) => Some(node),
            Membership::Opening { .. } | Membership::Abandoned => None,
        }
    }

    fn on_command(&mut self, command: FleetCommand) {
        let now_ms = self.clock.now();
        match command {
            FleetCommand::Report(report) => self.on_report(report),
            FleetCommand::Propose(policy) => {
                self.wanted = Some(policy);
                self.propose(now_ms);
            }
            FleetCommand::Checked { version, error } => {
                self.with_participant(|participant| participant.on_checked(now_ms, version, error));
            }
            FleetCommand::Paused(pause) => {
                self.with_participant(|participant| participant.on_paused(now_ms, pause));
            }
            FleetCommand::Leave(departure) => self.departure = departure,
        }
    }

    fn on_report(&mut self, report: TrafficReport) {
        self.open_jobs = report.open_jobs;
        self.zone_loads = report.zones;
        let Some(node) = self.node_mut() else { return };
        let counter = node.control_plane.zones_mut().outcome_counter();
        for _ in 0..report.admitted {
            counter.record_arrival(false);
        }
        for _ in 0..report.rejected {
            counter.record_arrival(true);
        }
        for ended in report.ended {
            counter.record_attempt(ended.zone, ended.result, ended.latency_ms);
        }
    }

    /// Has the member's part in changes of policy do something, where there is one.
    pub(super) fn with_participant(&mut self, call: impl FnOnce(&mut rollout::Participant)) {
        let now_ms = self.clock.now();
        if let Some(node) = self.node_mut() {
            node.control_plane.with_participant(now_ms, |participant, _| call(participant));
        }
    }

    /// Gives the lease back, or tells that it runs out by itself.
    fn leave(&mut self) {
        let now_ms = self.clock.now();
        let serves_on = self.departure == Departure::ServesOn;
        self.with_participant(|participant| participant.leave(now_ms, serves_on));
    }

    /// Whether the fleet's address can be left to another process.
    fn has_left(&self) -> bool {
        self.node().is_none_or(|node| node.control_plane.has_left(self.clock.now()))
    }

    /// Tries for the address, and opens the member on it.
    fn try_open(&mut self, now_ms: f64) {
        let address = self.config.addresses[self.config.own];
        let socket = match open_node::bind(address) {
            Ok(socket) => socket,
            Err(error) => {
                if !std::mem::replace(&mut self.bind_failure_logged, true) {
                    tracing::warn!(%address, %error, "fleet address not free");
                }
                let next_try_ms = now_ms + BIND_RETRY_INTERVAL_MS;
                self.membership = Membership::Opening { next_try_ms };
                return;
            }
        };
        self.membership = match OpenNode::open(&self.config, &self.handle, socket, now_ms) {
            Ok(node) => {
                let name = &self.config.names[self.config.own];
                tracing::info!(cluster = self.config.cluster, name, %address, "fleet joined");
                Membership::Open(Box::new(node))
            }
            // What could be read at the start cannot be read now: without its votes the member stays out.
            Err(error) => {
                tracing::error!(%error, "fleet left");
                Membership::Abandoned
            }
        };
    }

    /// The fleet's socket can be read.
    pub(super) fn on_datagrams(&mut self) {
        let (clock, members, drops) = (&self.clock, &self.members_by_address, &mut self.drops);
        if let Membership::Open(node) = &mut self.membership {
            node.read_datagrams(|| clock.now(), |address| members.get(address).copied(), drops);
        }
    }

    /// A write of the voter's file has ended.
    pub(super) fn on_written(&mut self, result: WriteResult) {
        let now_ms = self.clock.now();
        if let Some(node) = self.node_mut() {
            node.on_written(now_ms, result);
        }
    }

    /// Does what is due by now.
    fn tick(&mut self) {
        let now_ms = self.clock.now();
        // Only once it knows what is decided can it tell whether its file is news.
        let follows = self.node().is_some_and(|node| node.control_plane.follows_leader(now_ms));
        if self.wanted.is_some() && (self.runs_own_policy() || follows) {
            self.propose(now_ms);
        }
        if let Membership::Opening { next_try_ms } = self.membership
            && next_try_ms <= now_ms
        {
            self.try_open(now_ms);
        }
        if let Membership::Open(node) = &mut self.membership {
            let zone_load = |zone: usize| self.zone_loads.get(zone).copied().unwrap_or_default();
            node.control_plane.tick(now_ms, self.open_jobs, zone_load);
        }
        self.carry_out();
        self.notify_frontends(now_ms);
    }

    /// Carries out what the control plane wants, until nothing more follows from it.
    fn carry_out(&mut self) {
        loop {
            let (clock, addresses) = (&self.clock, &self.config.addresses);
            let Membership::Open(node) = &mut self.membership else { return };
            let outputs = node.carry_out(|| clock.now(), addresses, &mut self.drops);
            let mut rollout_effects = Vec::new();
            for output in outputs {
                match output {
                    NodeOutput::View(view) => {
                        self.pending_shares = Some(ZoneShares { zones: view.shares, admitted: view.admit });
                    }
                    NodeOutput::ZonesDecided(change) => log_lines::zones_decided(&self.config, &change),
                    NodeOutput::Rollout(effect) => rollout_effects.push(effect),
                }
            }
            let mut follow_up = FollowUp::None;
            for effect in rollout_effects {
                if self.carry_out_rollout(effect) == FollowUp::Now {
                    follow_up = FollowUp::Now;
                }
            }
            if let Some(node) = self.node_mut() {
                node.flush_writes();
            }
            if follow_up == FollowUp::None {
                return;
            }
        }
    }

    /// Tells the frontends what is new, as far as their channel has room for it.
    fn notify_frontends(&mut self, now_ms: f64) {
        if now_ms >= self.next_figures_ms {
            self.next_figures_ms = now_ms + FIGURES_INTERVAL_MS;
            let text = match self.node() {
                Some(node) => figures::render(&self.config.zones, &node.control_plane, self.drops, now_ms),
                None => figures::address_held(false),
            };
            // The next ones are as good.
            let _ = self.events.try_send(FleetEvent::Figures(text));
        }
        while let Some(command) = self.pending_policy_commands.pop_front() {
            if let Err(refused) = self.events.try_send(FleetEvent::Policy(command)) {
                if let TrySendError::Full(FleetEvent::Policy(command)) = refused {
                    self.pending_policy_commands.push_front(command);
                }
                break;
            }
        }
        let status = self.node().and_then(|node| node.control_plane.rollout_status());
        let status = status.map(|status| log_lines::policy_status(&status, now_ms));
        if let Some(status) = status.filter(|status| *status != self.told_policy_status)
            && self.events.try_send(FleetEvent::PolicyStatus(status.clone())).is_ok()
        {
            self.told_policy_status = status;
        }
        if let Some(shares) = self.pending_shares.take()
            && self.events.try_send(FleetEvent::Shares(shares.clone())).is_err()
        {
            self.pending_shares = Some(shares);
        }
    }

    /// When `tick` is to be called next.
    fn next_deadline(&self) -> f64 {
        let membership_ms = match &self.membership {
            Membership::Opening { next_try_ms } => *next_try_ms,
            Membership::Open(node) => node.control_plane.next_deadline(),
            Membership::Abandoned => f64::INFINITY,
        };
        membership_ms.min(self.next_figures_ms)
    }
}
