//! The loop of what is shared: datagrams between the addresses of the operator's file, the voter's file, and what comes
//! from the fronts and goes to them. It decides nothing; `crate::control_plane` does.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::mpsc::TrySendError;
use std::time::Duration;

use calloop::channel::{self, Channel, SyncSender};
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use rustc_hash::FxHashMap;
use socket2::{Domain, Socket, Type};

use super::config::Config;
use super::log_lines::{log, standing_line};
use super::vote_log::{self, VoteLog};
use super::{figures, policy_store};
use crate::consensus::Write;
use crate::control_plane::{ControlPlane, ControlPlaneConfig, Effect};
use crate::core::Clock;
use crate::fleet::{self, MAX_FRAME_BYTES, MemberId};
use crate::rollout;
use crate::zones::{self, AttemptResult, ZoneLoad};

/// While another process holds the address, as the one that an upgrade replaces, it is tried again so often, in
/// milliseconds.
const AGAIN: f64 = 100.0;
/// Datagrams read in one turn of the loop.
const TURN: usize = 512;
/// Writes that may wait for the thread that writes.
const WRITES: usize = 1024;
/// Longest time between two rounds of the loop, in milliseconds.
const ROUND: f64 = 1000.0;
/// Figures are told to the fronts so often, in milliseconds.
const FIGURES: f64 = 200.0;

/// What the fronts tell the thread.
pub(super) enum FleetCommand {
    /// What happened since the last time: requests that came, turned away or not; dispatches that ended, by zone; the
    /// requests that are open; and of each zone what is out there and how many slots are listed.
    Work { came: Vec<bool>, ended: Vec<(usize, AttemptResult, f64)>, open: usize, there: Vec<(u16, u16)> },
    /// The operator wants this version of the policy.
    Want { version: u64, text: String },
    /// A policy was checked: nothing, or what is wrong with it here.
    Checked { version: u64, error: Option<String> },
    /// The fronts hold what comes in.
    Paused(rollout::Pause),
    /// The process stops: whether its fronts go on serving until the lease is over.
    Leave { serves: bool },
}

/// What the thread says to the fronts.
pub(super) enum FleetEvent {
    /// What each zone may get, and what of the requests is taken.
    View { shares: Vec<u16>, admit: u16 },
    /// The figures.
    Figures(String),
    /// Where the policy stands.
    Standing(String),
    /// What is to be done with the policy.
    PolicyCommand(PolicyCommand),
}

/// What fronts are to do with the policy, in order.
#[derive(Clone, Debug)]
pub enum PolicyCommand {
    /// Check it against what is known here.
    Check {
        /// Its version.
        version: u64,
        /// Its text.
        text: String,
    },
    /// Hold what comes in.
    Pause(rollout::Pause),
    /// Let what was held go on.
    Release,
    /// It is in force.
    Apply {
        /// Its text.
        text: String,
    },
    /// Requests may be started until then, as `core::boot_ms` tells it.
    Serve(f64),
}

/// What is open while this process holds the fleet's address.
struct OpenNode {
    socket: Rc<UdpSocket>,
    shared: ControlPlane,
    disk: Option<VoteLog>,
    /// Writes that the disk's thread had no room for yet.
    writes: VecDeque<Write>,
}

struct FleetLoop {
    config: Config,
    handle: LoopHandle<'static, FleetLoop>,
    /// The fronts' side has gone.
    over: bool,
    /// What the fronts said of their serving as they went.
    serves: bool,
    clock: Clock,
    members: FxHashMap<SocketAddr, MemberId>,
    say: SyncSender<FleetEvent>,
    open: Option<OpenNode>,
    /// When to try again for the address; none once it is held, or given up.
    retry: Option<f64>,
    said: bool,
    requests: usize,
    there: Vec<(u16, u16)>,
    /// When to tell the figures next.
    tells: f64,
    /// Shares that the fronts had no room for yet.
    view: Option<(Vec<u16>, u16)>,
    /// What the fronts are to do with the policy and had no room for yet.
    orders: VecDeque<PolicyCommand>,
    /// The policy that the operator wants, and whether it is only the file of the start.
    wanted: Option<(u64, String)>,
    standing: String,
    /// Datagrams from addresses that nobody has.
    strangers: u64,
    /// Datagrams that the system did not take.
    unsent: u64,
    buffer: Vec<u8>,
}

/// Starts the thread. It ends when the fronts' side of the channel is gone.
pub(super) fn start(
    config: Config,
    wanted: Option<(u64, String)>,
    told: Channel<FleetCommand>,
    say: SyncSender<FleetEvent>,
) -> io::Result<()> {
    std::thread::Builder::new().name("fleet".into()).spawn(move || {
        if let Err(e) = run(config, wanted, told, say.clone()) {
            crate::say(format_args!("the fleet's loop has ended: {e}"));
            // Whoever gets the address next is taken for the only process of this member.
            let _ = say.send(FleetEvent::PolicyCommand(PolicyCommand::Serve(f64::NEG_INFINITY)));
        }
    })?;
    Ok(())
}

fn run(
    config: Config,
    wanted: Option<(u64, String)>,
    told: Channel<FleetCommand>,
    say: SyncSender<FleetEvent>,
) -> Result<(), calloop::Error> {
    let mut events: EventLoop<'static, FleetLoop> = EventLoop::try_new()?;
    let source = events.handle().insert_source(told, |event, (), shared: &mut FleetLoop| match event {
        channel::Event::Msg(told) => shared.hear(told),
        channel::Event::Closed => shared.over = true,
    });
    source.map_err(|e| e.error)?;
    // Leases count while the machine is suspended.
    let clock = Clock::boot();
    let members = config.addresses.iter().enumerate();
    let members = members.map(|(at, address)| (*address, at as MemberId)).collect();
    let mut shared = FleetLoop {
        handle: events.handle(),
        over: false,
        serves: true,
        members,
        say,
        open: None,
        retry: Some(clock.now()),
        said: false,
        requests: 0,
        there: Vec::new(),
        tells: clock.now(),
        view: None,
        orders: VecDeque::new(),
        wanted,
        standing: String::new(),
        strangers: 0,
        unsent: 0,
        buffer: vec![0; MAX_FRAME_BYTES + 1],
        clock,
        config,
    };
    shared.tick();
    while !shared.over {
        let wait = (shared.next_deadline() - shared.clock.now()).clamp(0.0, ROUND);
        events.dispatch(Some(Duration::from_secs_f64(wait / 1e3)), &mut shared)?;
        shared.tick();
    }
    shared.leave();
    while !shared.has_left() {
        events.dispatch(Some(Duration::from_secs_f64(fleet::TICK_MS / 1e3)), &mut shared)?;
        shared.tick();
    }
    Ok(())
}

impl FleetLoop {
    fn hear(&mut self, told: FleetCommand) {
        let now = self.clock.now();
        let (came, ended) = match told {
            FleetCommand::Work { came, ended, open, there } => {
                (self.requests, self.there) = (open, there);
                (came, ended)
            }
            FleetCommand::Want { version, text } => {
                self.wanted = Some((version, text));
                return self.want(now);
            }
            FleetCommand::Checked { version, error } => {
                return self.policy(|member| member.on_checked(now, version, error));
            }
            FleetCommand::Paused(hold) => return self.policy(|member| member.on_paused(now, hold)),
            FleetCommand::Leave { serves } => {
                self.serves = serves;
                return;
            }
        };
        let Some(open) = &mut self.open else { return };
        let tally = open.shared.zones_mut().outcome_counter();
        came.into_iter().for_each(|turned| tally.record_arrival(turned));
        ended.into_iter().for_each(|(zone, end, took)| tally.record_attempt(zone, end, took));
    }

    /// Has the member's part of the policy do something.
    fn policy(&mut self, with: impl FnOnce(&mut rollout::Participant)) {
        let now = self.clock.now();
        if let Some(open) = &mut self.open {
            open.shared.with_participant(now, |member, _| with(member));
        }
    }

    /// Gives the lease back, or tells that it runs out by itself. Without what the fronts said it is taken to be in use.
    fn leave(&mut self) {
        let (now, serves) = (self.clock.now(), self.serves);
        self.policy(|member| member.leave(now, serves));
    }

    /// Whether the fleet's address can be left to another process.
    fn has_left(&self) -> bool {
        self.open.as_ref().is_none_or(|open| open.shared.has_left(self.clock.now()))
    }

    /// Tells the others of the version that the operator wants.
    fn want(&mut self, now: f64) {
        if self.config.rollout.as_ref().is_some_and(|rollout| !rollout.agreed)
            && let Some((version, text)) = self.wanted.take()
        {
            self.orders.extend([PolicyCommand::Apply { text }, PolicyCommand::Serve(f64::INFINITY)]);
            let alone = format!(
                "runs {version} decided {version} staged none wanted none epoch 0 serves yes holds no last {version} in force, alone"
            );
            let _ = self.say.try_send(FleetEvent::Standing(alone));
            let reason = "";
            return tracing::info!(
                in_force = version,
                version,
                outcome = "in force",
                reason,
                "policy decided"
            );
        }
        let (Some(open), Some((version, text))) = (&mut self.open, &self.wanted) else { return };
        let wants = |member: &mut rollout::Participant, node: &mut fleet::FleetNode| {
            member.propose(now, node, *version, text.as_bytes())
        };
        if let Some(Err(e)) = open.shared.with_participant(now, wants) {
            crate::say(format_args!("the policy's file is not taken: {e}"));
        }
        self.wanted = None;
    }

    fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
        let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
        socket.bind(&address.into())?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    }

    fn open(&mut self, now: f64) -> Result<(), String> {
        let own = self.config.own;
        let address = self.config.addresses[own];
        let socket = match FleetLoop::bind(address) {
            Ok(socket) => Rc::new(socket),
            Err(e) => {
                if !std::mem::replace(&mut self.said, true) {
                    crate::say(format_args!("the fleet's address {address} is not free yet: {e}"));
                }
                self.retry = Some(now + AGAIN);
                return Ok(());
            }
        };
        // Read only now: the process that held the address may have voted until then.
        let kept = match &self.config.state {
            Some(path) => vote_log::read(path, self.config.generation)?,
            None => None,
        };
        let fleet = fleet::NodeConfig {
            cluster: self.config.cluster.clone(),
            generation: self.config.generation,
            members: self.config.places.clone(),
            own: own as MemberId,
            incarnation: now as u64,
            seed: now as u64 ^ (own as u64) << 48,
        };
        let agreed = self.config.rollout.as_ref().filter(|rollout| rollout.agreed);
        let rollout = agreed.map(|rollout| rollout.rules);
        let setup = ControlPlaneConfig {
            fleet,
            zones: self.config.zones.len(),
            failover: self.config.rules,
            rollout,
        };
        let mut shared = ControlPlane::new(setup, kept, now).map_err(|e| e.to_string())?;
        if let Some(rollout) = agreed {
            let dir = rollout.keep.display();
            let documents = policy_store::read(&rollout.keep).map_err(|e| format!("{dir}: {e}"))?;
            for document in documents {
                shared.with_participant(now, |_, node| node.store_document(&document));
            }
        }
        let source = Generic::new(Rc::clone(&socket), Interest::READ, Mode::Level);
        let added = self.handle.insert_source(source, |_, _, shared: &mut FleetLoop| {
            shared.read();
            Ok(PostAction::Continue)
        });
        added.map_err(|e| e.to_string())?;
        let mut disk = None;
        if let Some(path) = self.config.state.clone().filter(|_| self.config.places[own].is_voter) {
            let (thread, told) = VoteLog::start(path).map_err(|e| format!("fleet: {e}"))?;
            let added = self.handle.insert_source(told, |event, (), shared: &mut FleetLoop| {
                if let channel::Event::Msg(done) = event {
                    shared.written(done);
                }
            });
            added.map_err(|e| e.to_string())?;
            disk = Some(thread);
        }
        tracing::info!(cluster = self.config.cluster, name = self.config.names[own], %address, "fleet joined");
        self.open = Some(OpenNode { socket, shared, disk, writes: VecDeque::new() });
        self.retry = None;
        Ok(())
    }

    /// Reads what has come.
    fn read(&mut self) {
        for _ in 0..TURN {
            let Some(open) = &mut self.open else { return };
            match open.socket.recv_from(&mut self.buffer) {
                Ok((length, from)) => {
                    let now = self.clock.now();
                    match self.members.get(&from) {
                        Some(&member) => drop(open.shared.receive(now, member, &self.buffer[..length])),
                        None => self.strangers += 1,
                    }
                }
                // A datagram that found nobody comes back as an error of the socket.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionRefused) => {}
                Err(_) => return,
            }
        }
    }

    fn written(&mut self, done: bool) {
        let Some(open) = &mut self.open else { return };
        open.shared.on_written(self.clock.now(), done);
        if !done {
            open.writes.clear();
            open.disk = None;
        }
    }

    /// Does what is due by now.
    fn tick(&mut self) {
        let now = self.clock.now();
        // Only once it knows what is decided can it tell whether its file is news.
        let alone = self.config.rollout.as_ref().is_some_and(|rollout| !rollout.agreed);
        let follows = self.open.as_ref().is_some_and(|open| open.shared.follows_leader(now));
        if self.wanted.is_some() && (alone || follows) {
            self.want(now);
        }
        if self.retry.is_some_and(|at| at <= now)
            && let Err(e) = self.open(now)
        {
            // What could be read at the start cannot be read now: without its votes it stays out.
            crate::say(format_args!("the fleet is left: {e}"));
            self.retry = None;
        }
        if let Some(open) = &mut self.open {
            let there = &self.there;
            let zone_load = |zone: usize| {
                let (in_flight, slots) = there.get(zone).copied().unwrap_or((0, 0));
                ZoneLoad { in_flight, slots }
            };
            open.shared.tick(now, self.requests, zone_load);
        }
        self.carry_out();
        if now >= self.tells {
            self.tells = now + FIGURES;
            let text = match &self.open {
                Some(open) => {
                    let drops = figures::DatagramDrops { strangers: self.strangers, unsent: self.unsent };
                    figures::render(&self.config.zones, &open.shared, drops, now)
                }
                None => figures::open(false),
            };
            // The next ones are as good.
            let _ = self.say.try_send(FleetEvent::Figures(text));
        }
        while let Some(order) = self.orders.pop_front() {
            if let Err(refused) = self.say.try_send(FleetEvent::PolicyCommand(order)) {
                if let TrySendError::Full(FleetEvent::PolicyCommand(order)) = refused {
                    self.orders.push_front(order);
                }
                break;
            }
        }
        let standing = self.open.as_ref().and_then(|open| open.shared.rollout_status());
        if let Some(text) =
            standing.map(|standing| standing_line(&standing, now)).filter(|text| *text != self.standing)
            && self.say.try_send(FleetEvent::Standing(text.clone())).is_ok()
        {
            self.standing = text;
        }
        if let Some((shares, admit)) = self.view.take()
            && self.say.try_send(FleetEvent::View { shares: shares.clone(), admit }).is_err()
        {
            self.view = Some((shares, admit));
        }
    }

    /// Carries out what is to be done.
    fn carry_out(&mut self) {
        let mut policy = Vec::new();
        let Some(open) = &mut self.open else { return };
        for effect in open.shared.take_effects() {
            match effect {
                Effect::Node(fleet::Effect::Send { to, bytes }) => {
                    let address = self.config.addresses[usize::from(to)];
                    self.unsent += u64::from(open.socket.send_to(&bytes, address).is_err());
                }
                Effect::Node(fleet::Effect::Write(write)) if open.writes.len() < WRITES => {
                    open.writes.push_back(write);
                }
                Effect::Node(fleet::Effect::Write(_)) => open.shared.on_written(self.clock.now(), false),
                Effect::Zones(zones::Effect::View(view)) => self.view = Some((view.shares, view.admit)),
                Effect::Zones(zones::Effect::Decided(decided)) => log(&self.config, &decided),
                Effect::Rollout(effect) => policy.push(effect),
            }
        }
        let mut again = false;
        for effect in policy {
            again |= self.carry_out_policy(effect);
        }
        let Some(open) = &mut self.open else { return };
        while let (Some(disk), Some(write)) = (&open.disk, open.writes.pop_front()) {
            if !disk.write(write.clone()) {
                open.writes.push_front(write);
                break;
            }
        }
        // What was carried out may be told to the others at once.
        if again {
            self.carry_out();
        }
    }

    /// Carries out what is to be done with the policy. Whether anything came of it at once.
    fn carry_out_policy(&mut self, effect: rollout::Effect) -> bool {
        use rollout::Effect;
        let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
        match effect {
            Effect::Save(hash, bytes) => {
                let kept =
                    self.config.rollout.as_ref().map(|rollout| policy_store::write(&rollout.keep, &bytes));
                let error = kept.and_then(Result::err).map(|e| format!("it cannot be kept: {e}"));
                self.policy(|member| member.on_saved(hash, error));
                return true;
            }
            Effect::Check(policy, bytes) => {
                self.orders.push_back(PolicyCommand::Check { version: policy.version, text: text(bytes) });
            }
            Effect::Pause(hold) => self.orders.push_back(PolicyCommand::Pause(hold)),
            Effect::Resume => self.orders.push_back(PolicyCommand::Release),
            // Before any policy there is nothing to take over.
            Effect::Apply(policy, _) if policy.version == 0 => {}
            Effect::Apply(_, bytes) => self.orders.push_back(PolicyCommand::Apply { text: text(bytes) }),
            Effect::Serve(until) => self.orders.push_back(PolicyCommand::Serve(self.clock.to_boot(until))),
            Effect::Decided(decision) => {
                let last = decision.last.clone().unwrap_or(rollout::ChangeOutcome {
                    version: 0,
                    in_force: false,
                    reason: String::new(),
                });
                let (in_force, staged) =
                    (decision.policy.version, decision.staged.map_or(0, |staged| staged.version));
                let (version, outcome) = (last.version, if last.in_force { "in force" } else { "given up" });
                let hash = fleet::short(&decision.policy.hash);
                tracing::info!(
                    in_force,
                    hash,
                    staged,
                    version,
                    outcome,
                    reason = last.reason,
                    "policy decided"
                );
            }
        }
        false
    }

    /// When `tick` is to be called next.
    fn next_deadline(&self) -> f64 {
        let part = self
            .open
            .as_ref()
            .map_or(self.retry.unwrap_or(f64::INFINITY), |open| open.shared.next_deadline());
        part.min(self.tells)
    }
}
