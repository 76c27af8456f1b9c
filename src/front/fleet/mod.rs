//! The fleet's front: datagrams between the addresses of the operator's file, the voter's file, and what the node says
//! to the core. It decides nothing.

mod config;
mod disk;

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken, channel};
use rustc_hash::FxHashMap;
use socket2::{Domain, Socket, Type};

pub use config::{Config, ConfigError, FleetTable};

use super::Gateway;
use crate::core::{Clock, Core};
use crate::fleet::{Counts, Effect, LONGEST, Member, Node, Setup};
use crate::zones::{Sight, Standing, State, Table};
use disk::Disk;

/// While another process holds the address, as the one that an upgrade replaces, it is tried again so often, in
/// milliseconds.
const AGAIN: f64 = 100.0;
/// Datagrams read in one turn of the loop.
const TURN: usize = 512;
/// Writes that may wait for the thread that writes.
const WRITES: usize = 1024;

/// What is open while this process holds the fleet's address.
struct Open {
    socket: Rc<UdpSocket>,
    node: Node,
    disk: Option<Disk>,
    tokens: Vec<RegistrationToken>,
    /// Writes that the thread had no room for yet.
    writes: VecDeque<crate::council::Write>,
}

/// The front.
pub struct Fleet {
    config: Config,
    handle: LoopHandle<'static, Gateway>,
    clock: Clock,
    members: FxHashMap<SocketAddr, Member>,
    open: Option<Open>,
    /// When to try again for the address; none once the process stops.
    retry: Option<f64>,
    said: bool,
    /// The zones of the core, as places among the fleet's.
    zones: Vec<Option<usize>>,
    /// Datagrams from addresses that nobody has.
    strangers: u64,
    /// Datagrams that the system did not take.
    unsent: u64,
    buffer: Vec<u8>,
}

impl Fleet {
    /// A front that opens its address as soon as it is free. The voter's file is read once before, so that one that
    /// does not read is refused at the start.
    pub fn new(config: Config, handle: LoopHandle<'static, Gateway>, clock: Clock) -> Result<Fleet, String> {
        if let Some(path) = &config.state {
            disk::read(path, config.generation)?;
        }
        let members = config.addresses.iter().enumerate();
        let members = members.map(|(at, address)| (*address, at as Member)).collect();
        let retry = Some(clock.now());
        let buffer = vec![0; LONGEST + 1];
        Ok(Fleet {
            config,
            handle,
            clock,
            members,
            open: None,
            retry,
            said: false,
            zones: Vec::new(),
            strangers: 0,
            unsent: 0,
            buffer,
        })
    }

    /// Takes a core for the one whose zones it steers.
    pub fn steer(&mut self, core: &mut Core) {
        let place = |name: &String| self.config.zones.iter().position(|zone| zone == name);
        self.zones = core.site().zones.iter().map(place).collect();
        core.steered();
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
        let socket = match Fleet::bind(address) {
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
            Some(path) => disk::read(path, self.config.generation)?,
            None => None,
        };
        let setup = Setup {
            cluster: self.config.cluster.clone(),
            generation: self.config.generation,
            places: self.config.places.clone(),
            own: own as Member,
            zones: self.config.zones.len(),
            session: now as u64,
            seed: now as u64 ^ (own as u64) << 48,
            rules: self.config.rules,
        };
        let node = Node::new(setup, kept, now).map_err(|e| e.to_string())?;
        let mut tokens = Vec::new();
        let source = Generic::new(Rc::clone(&socket), Interest::READ, Mode::Level);
        let added = self.handle.insert_source(source, |_, _, gateway: &mut Gateway| {
            if let Some(fleet) = &mut gateway.fleet {
                fleet.read();
            }
            Ok(PostAction::Continue)
        });
        tokens.push(added.map_err(|e| e.to_string())?);
        let mut disk = None;
        if let Some(path) = self.config.state.clone().filter(|_| self.config.places[own].voter) {
            let (thread, told) = Disk::start(path).map_err(|e| format!("fleet: {e}"))?;
            let added = self.handle.insert_source(told, |event, (), gateway: &mut Gateway| {
                if let (channel::Event::Msg(done), Some(fleet)) = (event, &mut gateway.fleet) {
                    fleet.written(done);
                }
            });
            tokens.push(added.map_err(|e| e.to_string())?);
            disk = Some(thread);
        }
        tracing::info!(cluster = self.config.cluster, name = self.config.names[own], %address, "fleet joined");
        self.open = Some(Open { socket, node, disk, tokens, writes: VecDeque::new() });
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
                        Some(&member) => drop(open.node.receive(now, member, &self.buffer[..length])),
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
        if let Some(open) = &mut self.open {
            open.node.written(done);
            if !done {
                open.writes.clear();
                open.disk = None;
            }
        }
    }

    /// Does what is due by now, and tells the core what its zones may get.
    pub fn tick(&mut self, mut core: Option<&mut Core>) {
        let now = self.clock.now();
        if self.retry.is_some_and(|at| at <= now)
            && let Err(e) = self.open(now)
        {
            // What could be read at the start cannot be read now: without its votes it stays out.
            crate::say(format_args!("the fleet is left: {e}"));
            self.retry = None;
        }
        let Some(open) = &mut self.open else {
            if let Some(core) = &mut core {
                core.seen(|_| {});
            }
            return;
        };
        if now >= open.node.next() {
            let (count, slots) = (self.config.zones.len(), self.config.slots);
            let mut there = vec![(0, 0); count];
            if let Some(core) = &mut core {
                let places = |zone: u16| self.zones.get(usize::from(zone)).copied().flatten();
                core.seen(|what| match what {
                    crate::core::Happened::Came { turned } => open.node.tally().arrived(turned),
                    crate::core::Happened::Ended { zone, end, took } => {
                        if let Some(zone) = places(zone) {
                            open.node.tally().ended(zone, end, took);
                        }
                    }
                });
                let loads = core.loads(self.zones.len());
                for (zone, (out, size)) in loads.into_iter().enumerate() {
                    if let Some((all, room)) = places(zone as u16).and_then(|at| there.get_mut(at)) {
                        *all += out.min(60_000) as u16;
                        *room += (size * slots).min(60_000.0) as u16;
                    }
                }
            }
            let requests = core.as_ref().map_or(0, |core| core.open());
            open.node.tick(now, requests, |zone| there.get(zone).copied().unwrap_or((0, 0)));
        }
        self.carry_out(core);
    }

    /// Carries out what the node wants.
    fn carry_out(&mut self, mut core: Option<&mut Core>) {
        let Some(open) = &mut self.open else { return };
        for effect in open.node.effects() {
            match effect {
                Effect::Send { to, bytes } => {
                    let address = self.config.addresses[usize::from(to)];
                    self.unsent += u64::from(open.socket.send_to(&bytes, address).is_err());
                }
                Effect::Write(write) if open.writes.len() < WRITES => open.writes.push_back(write),
                Effect::Write(_) => open.node.written(false),
                Effect::View(view) => {
                    if let Some(core) = &mut core {
                        let share = |at: &Option<usize>| at.map_or(crate::zones::WHOLE, |at| view.shares[at]);
                        core.steer(self.zones.iter().map(share).collect(), view.admit);
                    }
                }
                Effect::Decided { epoch, table, leader, own, voters, sights } => {
                    let name =
                        |at: &Member| self.config.names.get(usize::from(*at)).map_or("", String::as_str);
                    let (leader, states) =
                        (leader.as_ref().map_or("", name), states(&self.config.zones, &table));
                    let voters = voters.iter().map(name).collect::<Vec<_>>().join(",");
                    let evidence = evidence(&self.config.zones, &sights);
                    tracing::info!(epoch, leader, own, states, voters, evidence, "zones decided");
                }
            }
        }
        while let (Some(disk), Some(write)) = (&open.disk, open.writes.pop_front()) {
            if !disk.write(write.clone()) {
                open.writes.push_front(write);
                break;
            }
        }
    }

    /// When `tick` is to be called next.
    pub fn next(&self) -> f64 {
        self.open.as_ref().map_or(self.retry.unwrap_or(f64::INFINITY), |open| open.node.next())
    }

    /// Leaves the address to the process that follows.
    pub fn stop(&mut self) {
        self.retry = None;
        if let Some(open) = self.open.take() {
            open.tokens.into_iter().for_each(|token| self.handle.remove(token));
        }
    }

    /// Its figures, in the text exposition format.
    pub fn figures(&self) -> String {
        let mut text = String::new();
        let mut row = |name: &str, kind: &str, help: &str, values: &[(String, f64)]| {
            let _ = write!(text, "# HELP {name} {help}\n# TYPE {name} {kind}\n");
            for (labels, value) in values {
                let _ = writeln!(text, "{name}{labels} {value}");
            }
        };
        let one = |value: f64| [(String::new(), value)];
        row(
            "lb_fleet_open",
            "gauge",
            "Whether this process holds the fleet's address.",
            &one(f64::from(u8::from(self.open.is_some()))),
        );
        let Some(Open { node, .. }) = &self.open else { return text };
        let Counts { frames, dropped, stale, sent_bytes, heard_bytes, decisions, proposed } = *node.counts();
        let flag = |on: bool| f64::from(u8::from(on));
        let (epoch, table) = node.newest();
        let standing = node.view().map_or(Standing::Kept, |view| view.standing) as u8;
        let up = node.up().iter().filter(|up| **up).count();
        row("lb_fleet_epoch", "gauge", "The newest decision.", &one(epoch as f64));
        row(
            "lb_fleet_standing",
            "gauge",
            "0: follows a leader; 1: without news, keeps the last epoch; 2: alone.",
            &one(f64::from(standing)),
        );
        row("lb_fleet_members_up", "gauge", "Members that are there.", &one(up as f64));
        row("lb_fleet_leads", "gauge", "Whether it leads the council.", &one(flag(node.leads())));
        row("lb_fleet_votes", "gauge", "Whether it votes.", &one(flag(node.votes() == Some(true))));
        let followers = node.followers().len() as f64;
        row(
            "lb_fleet_followers",
            "gauge",
            "Voters that follow it, itself among them; 0: no leader.",
            &one(followers),
        );
        let mut seen = Vec::new();
        for (zone, sight) in self.config.zones.iter().zip(node.sights(self.clock.now())) {
            let zone = crate::telemetry::escape(zone);
            let parts = [("answered", sight.answered), ("refused", sight.refused), ("silent", sight.silent)];
            for (what, count) in parts.into_iter().chain([("sources", sight.sources)]) {
                seen.push((format!("{{zone=\"{zone}\",what=\"{what}\"}}"), f64::from(count)));
            }
        }
        row(
            "lb_fleet_evidence",
            "gauge",
            "What dispatchers saw of a zone in the last second; at voters.",
            &seen,
        );
        let zones = |of: &dyn Fn(usize) -> f64| -> Vec<(String, f64)> {
            let each = self.config.zones.iter().enumerate();
            each.map(|(at, zone)| (format!("{{zone=\"{}\"}}", crate::telemetry::escape(zone)), of(at)))
                .collect()
        };
        let state = |at: usize| f64::from(table.zones[at].state as u8);
        let share =
            |at: usize| f64::from(node.view().map_or(table.zones[at].share, |view| view.shares[at])) / 1000.0;
        row("lb_fleet_zone_state", "gauge", "0: open; 1: careful; 2: closed; 3: returning.", &zones(&state));
        row("lb_fleet_zone_share", "gauge", "What the zone may get from this dispatcher.", &zones(&share));
        for (name, help, value) in [
            ("lb_fleet_frames_total", "Frames taken.", frames),
            ("lb_fleet_dropped_total", "Frames of another cluster, damaged or too long.", dropped),
            ("lb_fleet_strangers_total", "Datagrams from addresses of nobody.", self.strangers),
            ("lb_fleet_stale_total", "Frames that came late or twice.", stale),
            ("lb_fleet_unsent_total", "Datagrams that the system did not take.", self.unsent),
            ("lb_fleet_sent_bytes_total", "Bytes sent to members.", sent_bytes),
            ("lb_fleet_heard_bytes_total", "Bytes received from members.", heard_bytes),
            ("lb_fleet_decisions_total", "Decisions read.", decisions),
            ("lb_fleet_proposed_total", "Decisions proposed here.", proposed),
        ] {
            row(name, "counter", help, &one(value as f64));
        }
        text
    }
}

/// What was seen of the zones in a line, as `a=answered/refused/silent/sources`.
fn evidence(names: &[String], sights: &[Sight]) -> String {
    let each = names.iter().zip(sights);
    let each =
        each.map(|(name, s)| format!("{name}={}/{}/{}/{}", s.answered, s.refused, s.silent, s.sources));
    each.collect::<Vec<_>>().join(" ")
}

/// The zones' states in a line, as `a=open b=closed`.
fn states(names: &[String], table: &Table) -> String {
    let word = |state: State| match state {
        State::Open => "open",
        State::Careful => "careful",
        State::Closed => "closed",
        State::Returning => "returning",
    };
    let each = names.iter().zip(&table.zones);
    let each = each.map(|(name, zone)| format!("{name}={}/{}", word(zone.state), zone.share));
    each.collect::<Vec<_>>().join(" ")
}
