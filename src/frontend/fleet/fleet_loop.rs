//! The fleet thread: one event loop for the fleet's socket, the vote file, and the channels to and from the
//! frontends. It owns the member while the address is held (`open_node`), retries binding the address while
//! another process of an upgrade holds it, and keeps messages that a full channel did not accept. All
//! decisions are made by `crate::control_plane`.

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

/// Interval between attempts to bind the address while another process holds it, such as the process that an
/// upgrade replaces, in milliseconds.
const BIND_RETRY_INTERVAL_MS: f64 = 100.0;
/// Maximum time between two iterations of the loop, in milliseconds.
const MAX_ITERATION_MS: f64 = 1000.0;
/// Interval between two updates of the metrics for the frontends, in milliseconds.
const METRICS_INTERVAL_MS: f64 = 200.0;

/// Whether this process holds the fleet's address.
pub(super) enum Membership {
    /// The address is not held; the next attempt to bind it is at this time, in milliseconds.
    Opening { next_try_ms: f64 },
    /// The address is held.
    Open(Box<OpenNode>),
    /// The address was given up for good because the member could not be opened on it, for example because
    /// its votes could not be read.
    Abandoned,
}

/// The state of the fleet thread.
pub(super) struct FleetLoop {
    pub(super) config: Config,
    handle: LoopHandle<'static, FleetLoop>,
    pub(super) clock: Clock,
    pub(super) membership: Membership,
    /// Whether a failure to bind the address has been logged.
    bind_failure_logged: bool,
    members_by_address: FxHashMap<SocketAddr, MemberId>,
    drops: DatagramDrops,
    pub(super) events: SyncSender<FleetEvent>,
    /// Whether the frontends' end of the command channel is closed.
    frontends_closed: bool,
    /// Whether the frontends keep serving, as stated when they left. They are assumed to keep serving if they
    /// stated nothing.
    departure: Departure,
    /// The number of open jobs in the last report of the frontends.
    open_jobs: usize,
    zone_loads: Vec<ZoneLoad>,
    /// The operator's policy, until it is proposed.
    pub(super) wanted: Option<WantedPolicy>,
    /// When to render the metrics next, in milliseconds.
    next_metrics_ms: f64,
    /// Shares that the full channel to the frontends has not accepted yet.
    pending_shares: Option<ZoneShares>,
    /// Policy commands that the full channel to the frontends has not accepted yet.
    pub(super) pending_policy_commands: VecDeque<PolicyCommand>,
    /// The policy status that was last sent to the frontends.
    sent_policy_status: String,
}

/// Starts the thread. It ends once the frontends' end of `commands` is closed and the member has left the
/// fleet.
pub(super) fn start(
    config: Config,
    wanted: Option<WantedPolicy>,
    commands: Channel<FleetCommand>,
    events: SyncSender<FleetEvent>,
) -> io::Result<()> {
    std::thread::Builder::new().name("fleet".into()).spawn(move || {
        if let Err(error) = run(config, wanted, commands, events.clone()) {
            tracing::error!(%error, "fleet event loop failed");
            // Stops serving here, because the process that binds the address next counts as the only process
            // of this member.
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
            channel::Event::Closed => state.frontends_closed = true,
        });
    source.map_err(|e| e.error)?;
    let mut state = FleetLoop::new(config, event_loop.handle(), wanted, events);
    state.tick();
    while !state.frontends_closed {
        let wait_ms = (state.next_deadline() - state.clock.now()).clamp(0.0, MAX_ITERATION_MS);
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
        // Leases keep running while the machine is suspended.
        let clock = Clock::boot();
        let addresses = config.addresses.iter().enumerate();
        FleetLoop {
            membership: Membership::Opening { next_try_ms: clock.now() },
            bind_failure_logged: false,
            members_by_address: addresses.map(|(member, address)| (*address, member as MemberId)).collect(),
            drops: DatagramDrops::default(),
            events,
            frontends_closed: false,
            departure: Departure::KeepsServing,
            open_jobs: 0,
            zone_loads: Vec::new(),
            wanted,
            next_metrics_ms: clock.now(),
            pending_shares: None,
            pending_policy_commands: VecDeque::new(),
            sent_policy_status: String::new(),
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

    /// Calls the rollout participant, if there is one.
    pub(super) fn with_participant(&mut self, call: impl FnOnce(&mut rollout::Participant)) {
        let now_ms = self.clock.now();
        if let Some(node) = self.node_mut() {
            node.control_plane.with_participant(now_ms, |participant, _| call(participant));
        }
    }

    /// Returns the lease, or announces that it will expire on its own.
    fn leave(&mut self) {
        let now_ms = self.clock.now();
        let serves_on = self.departure == Departure::KeepsServing;
        self.with_participant(|participant| participant.leave(now_ms, serves_on));
    }

    /// Whether the fleet's address can be left to another process.
    fn has_left(&self) -> bool {
        self.node().is_none_or(|node| node.control_plane.has_left(self.clock.now()))
    }

    /// Tries to bind the address and to open the member on it.
    fn try_open(&mut self, now_ms: f64) {
        let address = self.config.addresses[self.config.own];
        let socket = match open_node::bind(address) {
            Ok(socket) => socket,
            Err(error) => {
                if !std::mem::replace(&mut self.bind_failure_logged, true) {
                    tracing::warn!(%address, %error, "cannot bind the fleet address; retrying");
                }
                let next_try_ms = now_ms + BIND_RETRY_INTERVAL_MS;
                self.membership = Membership::Opening { next_try_ms };
                return;
            }
        };
        self.membership = match OpenNode::open(&self.config, &self.handle, socket, now_ms) {
            Ok(node) => {
                let name = &self.config.names[self.config.own];
                tracing::info!(cluster = self.config.cluster, name, %address, "joined the fleet");
                Membership::Open(Box::new(node))
            }
            // For example, the vote file has become unreadable since startup. A member without its votes must
            // stay out of the fleet.
            Err(error) => {
                tracing::error!(%error, "cannot open the fleet member; it stays out of the fleet until a restart");
                Membership::Abandoned
            }
        };
    }

    /// Handles readiness of the fleet's socket.
    pub(super) fn on_datagrams(&mut self) {
        let (clock, members, drops) = (&self.clock, &self.members_by_address, &mut self.drops);
        if let Membership::Open(node) = &mut self.membership {
            node.read_datagrams(|| clock.now(), |address| members.get(address).copied(), drops);
        }
    }

    /// Handles the result of a write to the vote file.
    pub(super) fn on_written(&mut self, result: WriteResult) {
        let now_ms = self.clock.now();
        if let Some(node) = self.node_mut() {
            node.on_written(now_ms, result);
        }
    }

    /// Performs all work that is due.
    fn tick(&mut self) {
        let now_ms = self.clock.now();
        // Whether the policy file is newer than the decided policy is known only once this member follows a
        // leader.
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

    /// Carries out the effects of the control plane until no further effects follow.
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

    /// Sends pending updates to the frontends, as far as their channel accepts them.
    fn notify_frontends(&mut self, now_ms: f64) {
        if now_ms >= self.next_metrics_ms {
            self.next_metrics_ms = now_ms + METRICS_INTERVAL_MS;
            let text = match self.node() {
                Some(node) => figures::render(&self.config.zones, &node.control_plane, self.drops, now_ms),
                None => figures::address_held(false),
            };
            // A lost update does no harm: the next one replaces it.
            let _ = self.events.try_send(FleetEvent::Metrics(text));
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
        if let Some(status) = status.filter(|status| *status != self.sent_policy_status)
            && self.events.try_send(FleetEvent::PolicyStatus(status.clone())).is_ok()
        {
            self.sent_policy_status = status;
        }
        if let Some(shares) = self.pending_shares.take()
            && self.events.try_send(FleetEvent::Shares(shares.clone())).is_err()
        {
            self.pending_shares = Some(shares);
        }
    }

    /// Returns the time at which `tick` is due next.
    fn next_deadline(&self) -> f64 {
        let membership_ms = match &self.membership {
            Membership::Opening { next_try_ms } => *next_try_ms,
            Membership::Open(node) => node.control_plane.next_deadline(),
            Membership::Abandoned => f64::INFINITY,
        };
        membership_ms.min(self.next_metrics_ms)
    }
}
