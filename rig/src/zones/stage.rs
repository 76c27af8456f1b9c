//! The processes of a run, their files, and the faults that are played on them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use super::world::{Away, Read, World};
use super::{Fault, JOINS, Plan, SLOTS};
use crate::datagrams::DatagramProxy;
use crate::http::lock;
use crate::process::Process;
use crate::program::usage;
use crate::{RigError, io_context};

/// Reads a process's log for decisions.
fn follow(world: &Arc<World>, process: &mut Process, number: usize, life: u32) {
    let world = Arc::clone(world);
    process.read_log(move |line| {
        let at = Instant::now();
        if !line.contains("zones decided") {
            if line.starts_with("micabeam:") && !line.contains("stopping") {
                println!("process {number}: {line}");
            }
            return;
        }
        let of = |name: &str| {
            let rest = line.split_once(&format!("{name}="))?.1;
            Some(rest.strip_prefix('"').map_or_else(
                || rest.split(' ').next().unwrap_or(""),
                |quoted| quoted.split('"').next().unwrap_or(""),
            ))
        };
        if let (Some(epoch), Some(states)) = (of("epoch").and_then(|e| e.parse().ok()), of("states")) {
            let states = states.to_string();
            lock(&world.reads).push(Read { process: number, life, at, epoch, states });
        }
    });
}

/// The configuration of a process, and its operator's file.
pub(super) fn write_files(
    world: &World,
    dir: &Path,
    lists: &[(SocketAddr, String)],
    addresses: &[SocketAddr],
    layer: &DatagramProxy,
    number: usize,
) -> Result<(), RigError> {
    let (plan, home) = (&world.plan, world.home(number));
    let names: Vec<String> = (0..plan.zones).map(|z| format!("\"z{z}\"")).collect();
    let class = |name: &str, semantics: &str| {
        format!(r#"{{"name":"{name}","aim":500000,"hardLimit":2000000,"semantics":"{semantics}"}}"#)
    };
    let (discovery, list) = &lists[home];
    let config = format!(
        r#"{{"name":"n{number}","listen":"{}","console":"127.0.0.1:0","discovery":"{discovery}","seed":"{number:x}",
        "limits":{{"sockets":512}},"known":{list},
        "settings":{{"balancers":{},"myNumber":{number},"myZone":{home},"zones":[{}],"quantum":1000,
        "membershipMode":"subscribe","grades":[{},{}],"caps":{{"sendCap":3,"mayCancel":true,"connIdle":15000000,
        "connectTimeout":250000,"maxRetryAfter":1000000}},"fees":{{"crossZone":0.1}},
        "familyInfo":{{"tellsStart":false}},"report":{{"how":"off","fields":[]}},
        "rules":{{"coldFrom":0.1,"cold":20000000,"tipMultiple":2.5,"askWithin":4000000}}}}}}"#,
        world.clients[number],
        plan.dispatchers,
        names.join(","),
        class("search", "retryable"),
        class("confirm", "fragile"),
    );
    io_context("the configuration", std::fs::write(dir.join(format!("{number}.json")), config))?;
    let voters = if plan.dispatchers >= 5 { 5 } else { 3 };
    let mut file = format!(
        "[fleet]\ncluster = \"rig\"\nname = \"n{number}\"\nstate = \"{}\"\nzones = [{}]\nslots = {SLOTS}\n",
        dir.join(format!("{number}.votes")).display(),
        names.join(", "),
    );
    for member in 0..plan.dispatchers {
        let address = if member == number { addresses[number] } else { layer.proxy_address(number, member) };
        // Voters in all zones.
        let voter = (0..voters).any(|v| v * plan.dispatchers / voters == member);
        file += &format!(
            "[[fleet.member]]\nname = \"n{member}\"\naddress = \"{address}\"\nzone = \"z{}\"\nvoter = {voter}\n",
            world.home(member)
        );
    }
    io_context("the operator's file", std::fs::write(dir.join(format!("{number}.toml")), file))
}

/// A fault that was played, as the checker needs it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Played {
    pub(super) fault: Fault,
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// The run's processes and what is between them.
pub(super) struct Stage {
    pub(super) world: Arc<World>,
    pub(super) layer: DatagramProxy,
    pub(super) processes: Vec<Option<Process>>,
    pub(super) lives: Vec<u32>,
    pub(super) binary: PathBuf,
    pub(super) dir: PathBuf,
}

impl Stage {
    pub(super) fn start(&mut self, number: usize) -> Result<(), RigError> {
        self.lives[number] += 1;
        let mut command = Command::new(&self.binary);
        command.env("LB_CONFIG", self.dir.join(format!("{number}.json"))).env("TMPDIR", &self.dir);
        if self.world.plan.agreed {
            command.arg("--operator").arg(self.dir.join(format!("{number}.toml")));
        }
        let mut process = Process::start(command)?;
        follow(&self.world, &mut process, number, self.lives[number]);
        self.processes[number] = Some(process);
        for away in lock(&self.world.away).iter_mut().filter(|a| a.process == number) {
            away.until.get_or_insert_with(Instant::now);
        }
        Ok(())
    }

    pub(super) fn gone(&self, number: usize) {
        lock(&self.world.away).push(Away { process: number, from: Instant::now(), until: None });
    }

    /// Processor time of all, in seconds.
    pub(super) fn used(&self) -> Result<f64, RigError> {
        let each = self.processes.iter().flatten().map(|p| usage(p.id()));
        each.map(|used| used.map(|used| used.cpu_s)).sum()
    }

    pub(super) fn leader(&self) -> usize {
        let leads = |p: &Option<Process>| p.as_ref().is_some_and(|p| p.metric("lb_fleet_leads") == Some(1.0));
        self.processes.iter().position(leads).unwrap_or(0)
    }

    /// Cuts a zone's border, or opens it: datagrams, connections and call-backs.
    pub(super) fn border(&self, zone: usize, cut: bool) {
        let world = &self.world;
        for other in (0..world.plan.zones).filter(|other| *other != zone) {
            for (one, two) in [(zone, other), (other, zone)] {
                let mut parted = lock(&world.zones[one].cut);
                if cut {
                    parted.insert(two)
                } else {
                    parted.remove(&two)
                };
            }
        }
        let count = world.plan.dispatchers;
        self.layer.set_faults(|weather| {
            for a in 0..count {
                for b in (0..count).filter(|b| (world.home(a) == zone) != (world.home(*b) == zone)) {
                    if cut {
                        weather.cut.insert((a, b))
                    } else {
                        weather.cut.remove(&(a, b))
                    };
                }
            }
        });
    }

    /// Plays one fault for a time, and undoes it.
    pub(super) fn play(&mut self, fault: Fault, lasts: Duration) -> Result<Played, RigError> {
        let from = Instant::now();
        let count = self.world.plan.dispatchers;
        match fault {
            Fault::ZoneDead(zone) => {
                self.set_dead(zone, true);
                thread::sleep(lasts);
                self.set_dead(zone, false);
            }
            Fault::ZoneCut(zone) => {
                self.border(zone, true);
                thread::sleep(lasts);
                self.border(zone, false);
            }
            Fault::OneWay(a, b) => self.play_cut(&[(a, b)], lasts),
            Fault::Alone(a) => {
                let pairs: Vec<_> = (0..count).flat_map(|b| [(a, b), (b, a)]).collect();
                self.play_cut(&pairs, lasts);
            }
            Fault::Split => self.play_parts(|a| usize::from(a * 5 < count * 2), lasts),
            // Voters are spread evenly: the first two, the next two, and the last.
            Fault::SplitInThree => self.play_parts(|a| ((a * 5 + 4) / count) / 2, lasts),
            Fault::LeaderKilled => {
                let leader = self.leader();
                self.gone(leader);
                self.processes[leader] = None;
                thread::sleep(lasts);
                self.start(leader)?;
            }
            Fault::LeaderFrozen => self.play_frozen_leader(lasts)?,
            Fault::Flaps(zone) => self.play_flaps(zone, from + lasts),
            Fault::AllSlow => self.play_slow(lasts),
            Fault::Crowded(zone) => self.play_crowded(zone, lasts),
            Fault::Lossy => {
                self.layer
                    .set_faults(|w| (w.lost_per_1000, w.duplicated_per_1000, w.max_delay_ms) = (300, 50, 60));
                thread::sleep(lasts);
                self.layer
                    .set_faults(|w| (w.lost_per_1000, w.duplicated_per_1000, w.max_delay_ms) = (0, 0, 1));
            }
            Fault::AllRestarted => {
                for number in 0..count {
                    self.gone(number);
                    self.processes[number] = None;
                }
                for number in 0..count {
                    self.start(number)?;
                }
                thread::sleep(lasts);
            }
        }
        Ok(Played { fault, from, until: Instant::now() })
    }

    /// Has the servers of a zone refuse all connections, or take them again.
    fn set_dead(&self, zone: usize, on: bool) {
        self.world.zones[zone].dead.store(on, Ordering::Relaxed);
    }

    /// Cuts these ways between processes for a time.
    fn play_cut(&self, pairs: &[(usize, usize)], lasts: Duration) {
        self.layer.set_faults(|w| w.cut.extend(pairs));
        thread::sleep(lasts);
        self.layer.set_faults(|w| w.cut.clear());
    }

    /// Cuts all ways between processes of unlike parts for a time.
    fn play_parts(&self, part: impl Fn(usize) -> usize, lasts: Duration) {
        let count = self.world.plan.dispatchers;
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        let apart: Vec<_> = pairs.filter(|(a, b)| part(*a) != part(*b)).collect();
        self.play_cut(&apart, lasts);
    }

    fn play_frozen_leader(&mut self, lasts: Duration) -> Result<(), RigError> {
        let leader = self.leader();
        self.gone(leader);
        if let Some(process) = &self.processes[leader] {
            process.signal("STOP")?;
            thread::sleep(lasts);
            process.signal("CONT")?;
        }
        let now = Instant::now();
        lock(&self.world.away).iter_mut().filter(|a| a.until.is_none()).for_each(|a| a.until = Some(now));
        Ok(())
    }

    fn play_flaps(&self, zone: usize, end: Instant) {
        let mut on = false;
        while Instant::now() < end {
            on = !on;
            self.set_dead(zone, on);
            thread::sleep(Duration::from_secs(2));
        }
        self.set_dead(zone, false);
    }

    fn play_slow(&self, lasts: Duration) {
        self.world.hopeless.store(true, Ordering::Relaxed);
        self.world.zones.iter().for_each(|z| z.slow.store(true, Ordering::Relaxed));
        thread::sleep(lasts);
        self.world.zones.iter().for_each(|z| z.slow.store(false, Ordering::Relaxed));
        self.world.hopeless.store(false, Ordering::Relaxed);
    }

    fn play_crowded(&self, zone: usize, lasts: Duration) {
        self.world.zones.iter().for_each(|z| z.long.store(true, Ordering::Relaxed));
        thread::sleep(lasts);
        self.set_dead(zone, true);
        thread::sleep(lasts);
        self.set_dead(zone, false);
        self.world.zones.iter().for_each(|z| z.long.store(false, Ordering::Relaxed));
    }

    /// Waits until each process follows a leader and knows all the others.
    pub(super) fn joined(&self) -> Result<(), RigError> {
        let end = Instant::now() + JOINS * 2;
        let all = self.world.plan.dispatchers as f64;
        loop {
            let ready = self.processes.iter().flatten().all(|p| {
                p.metric("lb_fleet_members_up") == Some(all) && p.metric("lb_fleet_standing") == Some(0.0)
            });
            if ready {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(RigError::CheckFailed("the fleet does not come up".into()));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// The faults of a seed, each with how long it lasts and how long is left after it.
pub(super) fn script(plan: &Plan, draws: &mut fastrand::Rng) -> Vec<(Fault, Duration, Duration)> {
    let mut left = plan.seconds * 1000;
    let mut list = Vec::new();
    let mut kinds: Vec<u64> = Vec::new();
    while left >= 4000 {
        if kinds.is_empty() {
            kinds = (0..12).collect();
        }
        let kind = kinds.swap_remove(draws.u64(..kinds.len() as u64) as usize);
        let zone = draws.u64(..plan.zones as u64) as usize;
        let one = draws.u64(..plan.dispatchers as u64) as usize;
        let other = (one + 1 + draws.u64(..plan.dispatchers as u64 - 1) as usize) % plan.dispatchers;
        let fault = match kind {
            0 => Fault::ZoneDead(zone),
            1 => Fault::ZoneCut(zone),
            2 => Fault::OneWay(one, other),
            3 => Fault::Alone(one),
            4 => Fault::LeaderKilled,
            5 => Fault::LeaderFrozen,
            6 => Fault::Flaps(zone),
            7 => Fault::AllSlow,
            8 => Fault::Lossy,
            9 => Fault::AllRestarted,
            10 => Fault::SplitInThree,
            _ => Fault::Split,
        };
        let fault = plan.only.unwrap_or(fault);
        let lasts = match fault {
            Fault::AllSlow => 3000,
            Fault::AllRestarted => 2000,
            _ => 4000 + draws.u64(..2000),
        };
        // A closed zone returns in its own time, longer after each closing.
        let after = match fault {
            Fault::ZoneDead(_) | Fault::ZoneCut(_) | Fault::Flaps(_) | Fault::Crowded(_) => 9000,
            _ => 3000,
        };
        let (lasts, after) = (lasts.min(left), after.min(left.saturating_sub(lasts)));
        list.push((fault, Duration::from_millis(lasts), Duration::from_millis(after)));
        left -= lasts + after;
    }
    list
}
