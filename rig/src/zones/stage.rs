//! The processes of a run, their configuration files, and the faults injected into them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use super::world::{Absence, LoggedDecision, World};
use super::{Fault, JOIN_TIMEOUT, Plan, SLOTS_PER_WORKER};
use crate::datagrams::DatagramProxy;
use crate::http::lock;
use crate::process::Process;
use crate::program::usage;
use crate::{RigError, io_context};

/// Reads a process's log on a thread and records the zone decisions in it. Other lines of the program are printed.
fn record_decisions(world: &Arc<World>, process: &mut Process, number: usize, incarnation: u32) {
    let world = Arc::clone(world);
    process.read_log(move |line| {
        let at = Instant::now();
        if !line.contains("zones decided") {
            if line.starts_with("micabeam:") && !line.contains("stopping") {
                println!("process {number}: {line}");
            }
            return;
        }
        let field = |name: &str| {
            let rest = line.split_once(&format!("{name}="))?.1;
            Some(rest.strip_prefix('"').map_or_else(
                || rest.split(' ').next().unwrap_or(""),
                |quoted| quoted.split('"').next().unwrap_or(""),
            ))
        };
        if let (Some(epoch), Some(states)) = (field("epoch").and_then(|e| e.parse().ok()), field("states")) {
            let states = states.to_string();
            lock(&world.logged_decisions).push(LoggedDecision {
                process: number,
                incarnation,
                at,
                epoch,
                states,
            });
        }
    });
}

/// Writes the configuration of a process and its operator's file.
pub(super) fn write_files(
    world: &World,
    dir: &Path,
    lists: &[(SocketAddr, String)],
    addresses: &[SocketAddr],
    proxy: &DatagramProxy,
    number: usize,
) -> Result<(), RigError> {
    let (plan, home_zone) = (&world.plan, world.home_zone(number));
    let names: Vec<String> = (0..plan.zones).map(|z| format!("\"z{z}\"")).collect();
    let class = |name: &str, semantics: &str| {
        format!(r#"{{"name":"{name}","aim":500000,"hardLimit":2000000,"semantics":"{semantics}"}}"#)
    };
    let (discovery, list) = &lists[home_zone];
    let config = format!(
        r#"{{"name":"n{number}","listen":"{}","console":"127.0.0.1:0","discovery":"{discovery}","seed":"{number:x}",
        "limits":{{"sockets":512}},"known":{list},
        "settings":{{"balancers":{},"myNumber":{number},"myZone":{home_zone},"zones":[{}],"quantum":1000,
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
    io_context("write the configuration", std::fs::write(dir.join(format!("{number}.json")), config))?;
    let voters = if plan.dispatchers >= 5 { 5 } else { 3 };
    let mut file = format!(
        "[fleet]\ncluster = \"rig\"\nname = \"n{number}\"\nstate = \"{}\"\nzones = [{}]\nslots = {SLOTS_PER_WORKER}\n",
        dir.join(format!("{number}.votes")).display(),
        names.join(", "),
    );
    for member in 0..plan.dispatchers {
        let address = if member == number { addresses[number] } else { proxy.proxy_address(number, member) };
        // Spreads the voters over all zones.
        let voter = (0..voters).any(|v| v * plan.dispatchers / voters == member);
        file += &format!(
            "[[fleet.member]]\nname = \"n{member}\"\naddress = \"{address}\"\nzone = \"z{}\"\nvoter = {voter}\n",
            world.home_zone(member)
        );
    }
    io_context("write the operator file", std::fs::write(dir.join(format!("{number}.toml")), file))
}

/// An injected fault and its time span.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultRun {
    pub(super) fault: Fault,
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// The dispatcher processes of a run, and the datagram proxy between them.
pub(super) struct Cluster {
    pub(super) world: Arc<World>,
    pub(super) proxy: DatagramProxy,
    pub(super) processes: Vec<Option<Process>>,
    pub(super) incarnations: Vec<u32>,
    pub(super) binary: PathBuf,
    pub(super) dir: PathBuf,
}

impl Cluster {
    /// Starts a process and records the end of its absence.
    pub(super) fn start(&mut self, number: usize) -> Result<(), RigError> {
        self.incarnations[number] += 1;
        let mut command = Command::new(&self.binary);
        command.env("LB_CONFIG", self.dir.join(format!("{number}.json"))).env("TMPDIR", &self.dir);
        if self.world.plan.agreed {
            command.arg("--operator").arg(self.dir.join(format!("{number}.toml")));
        }
        let mut process = Process::start(command)?;
        record_decisions(&self.world, &mut process, number, self.incarnations[number]);
        self.processes[number] = Some(process);
        for absence in lock(&self.world.absences).iter_mut().filter(|a| a.process == number) {
            absence.until.get_or_insert_with(Instant::now);
        }
        Ok(())
    }

    /// Records that a process is unavailable from now on, because of a fault.
    pub(super) fn record_absence(&self, number: usize) {
        lock(&self.world.absences).push(Absence { process: number, from: Instant::now(), until: None });
    }

    /// Returns the processor time that all processes have used, in seconds.
    pub(super) fn cpu_s(&self) -> Result<f64, RigError> {
        let each = self.processes.iter().flatten().map(|p| usage(p.id()));
        each.map(|used| used.map(|used| used.cpu_s)).sum()
    }

    /// Returns the first process that reports itself as leader, or 0 if none does.
    pub(super) fn leader(&self) -> usize {
        let leads = |p: &Option<Process>| p.as_ref().is_some_and(|p| p.metric("lb_fleet_leads") == Some(1.0));
        self.processes.iter().position(leads).unwrap_or(0)
    }

    /// Cuts a zone off from all others or reconnects it: datagrams, worker connections and call-backs.
    pub(super) fn set_border_cut(&self, zone: usize, cut: bool) {
        let world = &self.world;
        for other in (0..world.plan.zones).filter(|other| *other != zone) {
            for (one, two) in [(zone, other), (other, zone)] {
                let mut cut_zones = lock(&world.zones[one].cut);
                if cut {
                    cut_zones.insert(two)
                } else {
                    cut_zones.remove(&two)
                };
            }
        }
        let count = world.plan.dispatchers;
        self.proxy.set_faults(|weather| {
            for a in 0..count {
                for b in (0..count).filter(|b| (world.home_zone(a) == zone) != (world.home_zone(*b) == zone))
                {
                    if cut {
                        weather.cut.insert((a, b))
                    } else {
                        weather.cut.remove(&(a, b))
                    };
                }
            }
        });
    }

    /// Injects one fault for `duration` and then undoes it.
    pub(super) fn run_fault(&mut self, fault: Fault, duration: Duration) -> Result<FaultRun, RigError> {
        let from = Instant::now();
        let count = self.world.plan.dispatchers;
        match fault {
            Fault::ZoneDead(zone) => {
                self.set_dead(zone, true);
                thread::sleep(duration);
                self.set_dead(zone, false);
            }
            Fault::ZoneCut(zone) => {
                self.set_border_cut(zone, true);
                thread::sleep(duration);
                self.set_border_cut(zone, false);
            }
            Fault::OneWay(a, b) => self.cut_links_for(&[(a, b)], duration),
            Fault::Alone(a) => {
                let pairs: Vec<_> = (0..count).flat_map(|b| [(a, b), (b, a)]).collect();
                self.cut_links_for(&pairs, duration);
            }
            Fault::Split => self.partition_for(|a| usize::from(a * 5 < count * 2), duration),
            // Voters are spread evenly over the members, so the parts have the first two, the next two, and the last one.
            Fault::SplitInThree => self.partition_for(|a| ((a * 5 + 4) / count) / 2, duration),
            Fault::LeaderKilled => {
                let leader = self.leader();
                self.record_absence(leader);
                self.processes[leader] = None;
                thread::sleep(duration);
                self.start(leader)?;
            }
            Fault::LeaderFrozen => self.freeze_leader_for(duration)?,
            Fault::Flaps(zone) => self.flap_zone_until(zone, from + duration),
            Fault::AllSlow => self.slow_workers_for(duration),
            Fault::Crowded(zone) => self.crowd_zones_for(zone, duration),
            Fault::Lossy => {
                self.proxy
                    .set_faults(|w| (w.lost_per_1000, w.duplicated_per_1000, w.max_delay_ms) = (300, 50, 60));
                thread::sleep(duration);
                self.proxy
                    .set_faults(|w| (w.lost_per_1000, w.duplicated_per_1000, w.max_delay_ms) = (0, 0, 1));
            }
            Fault::AllRestarted => {
                for number in 0..count {
                    self.record_absence(number);
                    self.processes[number] = None;
                }
                for number in 0..count {
                    self.start(number)?;
                }
                thread::sleep(duration);
            }
        }
        Ok(FaultRun { fault, from, until: Instant::now() })
    }

    /// Makes the workers of a zone refuse or accept connections.
    fn set_dead(&self, zone: usize, on: bool) {
        self.world.zones[zone].dead.store(on, Ordering::Relaxed);
    }

    /// Drops all datagrams on these directed links for `duration`.
    fn cut_links_for(&self, pairs: &[(usize, usize)], duration: Duration) {
        self.proxy.set_faults(|w| w.cut.extend(pairs));
        thread::sleep(duration);
        self.proxy.set_faults(|w| w.cut.clear());
    }

    /// Partitions the network for `duration`: processes with different results of `part` cannot reach each other.
    fn partition_for(&self, part: impl Fn(usize) -> usize, duration: Duration) {
        let count = self.world.plan.dispatchers;
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        let apart: Vec<_> = pairs.filter(|(a, b)| part(*a) != part(*b)).collect();
        self.cut_links_for(&apart, duration);
    }

    fn freeze_leader_for(&mut self, duration: Duration) -> Result<(), RigError> {
        let leader = self.leader();
        self.record_absence(leader);
        if let Some(process) = &self.processes[leader] {
            process.signal("STOP")?;
            thread::sleep(duration);
            process.signal("CONT")?;
        }
        let now = Instant::now();
        lock(&self.world.absences).iter_mut().filter(|a| a.until.is_none()).for_each(|a| a.until = Some(now));
        Ok(())
    }

    fn flap_zone_until(&self, zone: usize, end: Instant) {
        let mut on = false;
        while Instant::now() < end {
            on = !on;
            self.set_dead(zone, on);
            thread::sleep(Duration::from_secs(2));
        }
        self.set_dead(zone, false);
    }

    fn slow_workers_for(&self, duration: Duration) {
        self.world.unservable.store(true, Ordering::Relaxed);
        self.world.zones.iter().for_each(|z| z.slow.store(true, Ordering::Relaxed));
        thread::sleep(duration);
        self.world.zones.iter().for_each(|z| z.slow.store(false, Ordering::Relaxed));
        self.world.unservable.store(false, Ordering::Relaxed);
    }

    fn crowd_zones_for(&self, zone: usize, duration: Duration) {
        self.world.zones.iter().for_each(|z| z.long_jobs.store(true, Ordering::Relaxed));
        thread::sleep(duration);
        self.set_dead(zone, true);
        thread::sleep(duration);
        self.set_dead(zone, false);
        self.world.zones.iter().for_each(|z| z.long_jobs.store(false, Ordering::Relaxed));
    }

    /// Waits until each process follows a leader and sees all other members.
    pub(super) fn await_joined(&self) -> Result<(), RigError> {
        let end = Instant::now() + JOIN_TIMEOUT * 2;
        let all = self.world.plan.dispatchers as f64;
        loop {
            let ready = self.processes.iter().flatten().all(|p| {
                p.metric("lb_fleet_members_up") == Some(all) && p.metric("lb_fleet_standing") == Some(0.0)
            });
            if ready {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(RigError::CheckFailed("the fleet did not come up in time".into()));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// Chooses the faults of a run by seed. Returns each with its duration and the pause after it.
pub(super) fn fault_schedule(plan: &Plan, rng: &mut fastrand::Rng) -> Vec<(Fault, Duration, Duration)> {
    let mut left = plan.seconds * 1000;
    let mut list = Vec::new();
    let mut kinds: Vec<u64> = Vec::new();
    while left >= 4000 {
        if kinds.is_empty() {
            kinds = (0..12).collect();
        }
        let kind = kinds.swap_remove(rng.u64(..kinds.len() as u64) as usize);
        let zone = rng.u64(..plan.zones as u64) as usize;
        let one = rng.u64(..plan.dispatchers as u64) as usize;
        let other = (one + 1 + rng.u64(..plan.dispatchers as u64 - 1) as usize) % plan.dispatchers;
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
        let duration = match fault {
            Fault::AllSlow => 3000,
            Fault::AllRestarted => 2000,
            _ => 4000 + rng.u64(..2000),
        };
        // A closed zone reopens only after a wait that grows with each closing.
        let pause = match fault {
            Fault::ZoneDead(_) | Fault::ZoneCut(_) | Fault::Flaps(_) | Fault::Crowded(_) => 9000,
            _ => 3000,
        };
        let (duration, pause) = (duration.min(left), pause.min(left.saturating_sub(duration)));
        list.push((fault, Duration::from_millis(duration), Duration::from_millis(pause)));
        left -= duration + pause;
    }
    list
}
