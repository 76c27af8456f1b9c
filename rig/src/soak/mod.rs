//! Soak test: runs real dispatchers against stand-in clients, servers and discovery while seeded faults are injected.
//! A checker then verifies the recorded traffic against every rule (`record`).
//!
//! The faults, injected one after the other: a zone of dispatchers and servers fails and comes back, with the
//! dispatchers restarting from the lists that they last had; servers drain and later start cold;
//! discovery is down for some seconds; dispatchers get SIGTERM and are killed as early as the rules allow, are suspended
//! for a moment, and reload their configuration. System calls fail and the wall clock steps (the shim, `rig/shim`).
//! Discovery has a limited capacity, and some of its responses are truncated, reset or never sent.

mod record;
mod world;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use record::Figures;
use record::{Millis, ProcessRun, SlowStart};
use world::World;

use crate::http::{Http, lock, status};
use crate::process::Process;
use crate::{RigError, io_context, program};

/// The number of dispatchers that the settings of a large fleet name.
const LARGE_FLEET: usize = 30;
/// Servers in each zone.
const SERVERS_PER_ZONE: usize = 4;
/// The number of zones.
const ZONES: usize = 3;
/// Clients per dispatcher.
const CLIENTS: usize = 3;
/// Range of the pause between a client's requests, in milliseconds.
const CLIENT_PAUSE_MS: std::ops::Range<u64> = 20..200;
/// Shortest time from SIGTERM to SIGKILL: the longest request deadline (2 s here) plus 0.7 s.
const KILL_AFTER_MS: u64 = 2_700;
/// Longest time for which a process is suspended by SIGSTOP, in milliseconds.
const MAX_STOP_MS: u64 = 150;
/// Time within which a starting dispatcher of a small fleet must be ready.
const READY_WITHIN_MS: Millis = 6_000.0;
/// Time within which a starting dispatcher of a large fleet must be ready.
const LARGE_FLEET_READY_WITHIN_MS: Millis = 10_000.0;
/// Processor seconds per second above which a dispatcher under this light load counts as spinning.
const SPIN_CPU_S: f64 = 0.8;
/// Warm-up of a server: each runs up to 40 jobs at a time, of 35 ms on average.
const SLOW_START: SlowStart =
    SlowStart { warm_jobs_per_second: 60.0, initial_fraction: 0.2, warm_ms: 8_000.0, tip_multiple: 2.5 };

/// Parameters of a soak run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of dispatcher processes.
    pub dispatchers: usize,
    /// How long faults are injected, in seconds.
    pub seconds: u64,
    /// Seed of the faults and requests.
    pub seed: u64,
    /// Path of another build of the program to test; the current build if `None`.
    pub binary: Option<PathBuf>,
}

/// The fault injected in one round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The dispatchers of a zone are killed and its servers marked as draining; all return, the servers cold.
    ZoneLost,
    /// Servers drain and later return cold; a dispatcher may be restarted meanwhile.
    Drains,
    /// Discovery is down, and dispatchers are killed and restarted meanwhile.
    Outage,
    /// Dispatchers are terminated and restarted one after the other, as in a release.
    Release,
    /// Dispatchers are suspended for a moment (SIGSTOP, SIGCONT).
    Stops,
    /// Dispatchers reload their configuration (SIGHUP).
    Reload,
}

const FAULTS: [Fault; 6] =
    [Fault::ZoneLost, Fault::Drains, Fault::Outage, Fault::Release, Fault::Stops, Fault::Reload];

/// System call faults, in the shim's syntax; each process starts with one of them, chosen by seed.
const CALL_FAULTS: [&str; 7] = [
    "",
    "fail=recv,EINTR,0.3,0,1e9",
    "fail=accept,ENFILE,1,1500,2500;fail=accept,ECONNABORTED,0.3,0,1e9",
    "fail=connect,EADDRNOTAVAIL,0.05,0,1e9;fail=socket,ENOBUFS,0.05,0,1e9",
    "short=recv,3,0,1e9;short=send,3,0,1e9",
    "step=3600000,2000;step=-7200000,4000",
    "fail=send,EINTR,0.3,0,1e9;fail=connect,ENETUNREACH,0.02,0,1e9",
];

/// State of a run: the stand-ins and the dispatcher processes.
struct Soak {
    plan: Plan,
    world: Arc<World>,
    binary: PathBuf,
    shim: PathBuf,
    dir: PathBuf,
    rng: fastrand::Rng,
    processes: Vec<Option<Process>>,
    /// The server list at the time when each dispatcher last ended; it restarts with this list.
    last_lists: Vec<String>,
    /// The number of dispatchers that the settings name. Dispatchers behave differently in large and small fleets.
    fleet_size: usize,
}

/// Result of a run with one dispatcher and system call faults only.
#[derive(Clone, Copy, Debug)]
pub struct CallFaultRun {
    /// Figures of the run.
    pub figures: Figures,
    /// Processor time of the dispatcher, in seconds.
    pub cpu_s: f64,
}

/// Runs one dispatcher for `seconds` while system calls fail as `call_faults` says (in the shim's syntax), with no other
/// fault.
///
/// # Errors
/// If the program or a stand-in cannot be started.
pub fn run_with_call_faults(call_faults: &str, seconds: u64, seed: u64) -> Result<CallFaultRun, RigError> {
    let mut soak = Soak::start(Plan { dispatchers: 1, seconds, seed, binary: None })?;
    soak.start_process_with(0, call_faults)?;
    let clients = soak.start_clients();
    thread::sleep(Duration::from_secs(seconds));
    let process =
        soak.processes[0].as_ref().ok_or_else(|| RigError::Program("the dispatcher has exited".into()))?;
    let cpu_s = program::usage(process.id())?.cpu_s;
    let figures = soak.finish(clients)?;
    Ok(CallFaultRun { figures, cpu_s })
}

/// Runs the soak test with the real program.
///
/// # Errors
/// If the program or a stand-in cannot be started.
pub fn experiment(plan: &Plan) -> Result<Figures, RigError> {
    let mut soak = Soak::start(plan.clone())?;
    for number in 0..plan.dispatchers {
        soak.start_process(number)?;
    }
    let clients = soak.start_clients();
    let end_ms = soak.world.now_ms() + plan.seconds as Millis * 1e3;
    let mut faults = Vec::new();
    while soak.world.now_ms() < end_ms {
        // Injects every fault once, in a newly shuffled order, before any of them repeats.
        if faults.is_empty() {
            faults.extend(FAULTS);
            soak.rng.shuffle(&mut faults);
        }
        let Some(fault) = faults.pop() else { break };
        println!("{:.1} s: {fault:?}", soak.world.now_ms() / 1e3);
        soak.run_fault(fault)?;
        soak.sleep_and_check(1_000..2_500)?;
    }
    soak.finish(clients)
}

impl Soak {
    /// Ends the run and checks its record against the rules.
    fn finish(&mut self, clients: Vec<thread::JoinHandle<()>>) -> Result<Figures, RigError> {
        self.world.stopping.store(true, Ordering::Relaxed);
        for client in clients {
            client.join().map_err(|_| RigError::CheckFailed("a client panicked".into()))?;
        }
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
        let is_large = self.fleet_size > self.plan.dispatchers;
        let ready_within_ms = if is_large { LARGE_FLEET_READY_WITHIN_MS } else { READY_WITHIN_MS };
        let record = lock(&self.world.record);
        Ok(record.check(self.plan.seed, self.plan.dispatchers, SLOW_START, ready_within_ms))
    }

    fn start(plan: Plan) -> Result<Soak, RigError> {
        let built = program::build()?;
        let shim = built.with_file_name("libmicabeam_shim.so");
        let binary = plan.binary.clone().unwrap_or(built);
        let dir = std::env::temp_dir().join(format!("micabeam-soak-{}-{}", std::process::id(), plan.seed));
        io_context("directory of the run", std::fs::create_dir_all(&dir))?;
        let pid = std::process::id();
        // Addresses at which no other test on this machine listens.
        let address = |number: usize| {
            let ip = [127, 101 + (pid >> 8) as u8 % 90, pid as u8, 1 + number as u8];
            SocketAddr::from((ip, 8_100 + (plan.seed % 400) as u16))
        };
        let dispatchers: Vec<SocketAddr> = (0..plan.dispatchers).map(address).collect();
        let world = World::start(dispatchers, ZONES * SERVERS_PER_ZONE, plan.seed)?;
        let last_lists = vec![world.current_list(); plan.dispatchers];
        let processes = (0..plan.dispatchers).map(|_| None).collect();
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let fleet_size = if rng.bool() { LARGE_FLEET.max(plan.dispatchers) } else { plan.dispatchers };
        Ok(Soak { fleet_size, plan, world, binary, shim, dir, rng, processes, last_lists })
    }

    fn start_clients(&self) -> Vec<thread::JoinHandle<()>> {
        let numbers = (0..self.plan.dispatchers).flat_map(|number| [number; CLIENTS]);
        let start = |number: usize| {
            let world = Arc::clone(&self.world);
            thread::spawn(move || world.run_client(number, CLIENT_PAUSE_MS))
        };
        numbers.map(start).collect()
    }

    fn config(&self, number: usize) -> String {
        let class = |name: &str, semantics: &str, wait_ms: u32| {
            format!(r#"{{"name":"{name}","aim":500000,"hardLimit":{wait_ms}000,"semantics":"{semantics}"}}"#)
        };
        format!(
            r#"{{"name":"n{number}","listen":"{}","console":"127.0.0.1:0","discovery":"{}","seed":"{}",
            "limits":{{"sockets":512}},"known":{},
            "settings":{{"balancers":{},"myNumber":{number},"quantum":1000,"membershipMode":"subscribe",
            "grades":[{},{}],"caps":{{"sendCap":5,"mayCancel":true,"connIdle":15000000,"connectTimeout":250000,
            "maxRetryAfter":2000000}},"familyInfo":{{"tellsStart":false}},"report":{{"how":"off","fields":[]}},
            "rules":{{"coldFrom":{},"cold":{}000,"tipMultiple":{},"askWithin":4000000,"drainGrace":2000000}}}}}}"#,
            self.world.dispatchers[number],
            self.world.discovery[number],
            self.plan.seed,
            self.last_lists[number],
            self.fleet_size,
            class("search", "retryable", 1_000),
            class("confirm", "fragile", 2_000),
            SLOW_START.initial_fraction,
            SLOW_START.warm_ms,
            SLOW_START.tip_multiple,
        )
    }

    /// Starts a dispatcher with the list that it last had. Clients are sent to it once it reports that it is ready.
    fn start_process(&mut self, number: usize) -> Result<(), RigError> {
        let faults = CALL_FAULTS[self.rng.usize(..CALL_FAULTS.len())];
        self.start_process_with(number, faults)
    }

    fn start_process_with(&mut self, number: usize, call_faults: &str) -> Result<(), RigError> {
        let file = self.dir.join(format!("{number}.json"));
        io_context("write the configuration", std::fs::write(&file, self.config(number)))?;
        let mut command = Command::new(&self.binary);
        command.env("LB_CONFIG", &file).env("TMPDIR", &self.dir);
        command.env("LD_PRELOAD", &self.shim);
        command.env("MICABEAM_FAULTS", format!("seed={};{call_faults}", self.rng.u64(..1 << 40)));
        let started_ms = self.world.now_ms();
        let mut process = Process::start(command)?;
        let log_path = self.dir.join(format!("{number}.log"));
        process.read_log(move |line| append_line(&log_path, &line));
        self.processes[number] = Some(process);
        let process_run = ProcessRun {
            dispatcher: number,
            started_ms,
            ready_ms: None,
            terminated_ms: None,
            ended_ms: None,
        };
        let index = {
            let mut record = lock(&self.world.record);
            record.process_runs.push(process_run);
            record.process_runs.len() - 1
        };
        let world = Arc::clone(&self.world);
        thread::spawn(move || admit_when_ready(&world, number, index));
        Ok(())
    }

    /// Records the end of a dispatcher's process, and the server list at that time.
    fn note_end(&mut self, number: usize) {
        self.world.in_rotation[number].store(false, Ordering::Relaxed);
        self.last_lists[number] = self.world.current_list();
        let now_ms = self.world.now_ms();
        let mut record = lock(&self.world.record);
        if let Some(process_run) =
            record.process_runs.iter_mut().rfind(|process_run| process_run.dispatcher == number)
        {
            process_run.ended_ms.get_or_insert(now_ms);
        }
    }

    fn kill(&mut self, number: usize) {
        if let Some(mut process) = self.processes[number].take() {
            self.note_end(number);
            process.kill();
        }
    }

    /// Sends a dispatcher SIGTERM, and kills it as early as the rules allow.
    fn terminate(&mut self, number: usize) -> Result<(), RigError> {
        let Some(mut process) = self.processes[number].take() else { return Ok(()) };
        process.signal("TERM")?;
        let now_ms = self.world.now_ms();
        if let Some(process_run) = lock(&self.world.record)
            .process_runs
            .iter_mut()
            .rfind(|process_run| process_run.dispatcher == number)
        {
            process_run.terminated_ms = Some(now_ms);
        }
        thread::sleep(Duration::from_millis(self.rng.u64(200..400)));
        self.world.in_rotation[number].store(false, Ordering::Relaxed);
        while self.world.now_ms() < now_ms + KILL_AFTER_MS as Millis && !process.has_exited()? {
            thread::sleep(Duration::from_millis(2));
        }
        self.note_end(number);
        process.kill();
        Ok(())
    }

    fn run_fault(&mut self, fault: Fault) -> Result<(), RigError> {
        match fault {
            Fault::ZoneLost => self.lose_zone(),
            Fault::Drains => self.drain_servers(),
            Fault::Outage => self.take_discovery_down(),
            Fault::Release => self.restart_in_turn(),
            Fault::Stops => self.stop_for_a_moment(),
            Fault::Reload => self.signal_all("HUP"),
        }
    }

    /// Waits for a random time in `ms`, then counts dispatchers that have crashed or that spin.
    fn sleep_and_check(&mut self, ms: std::ops::Range<u64>) -> Result<(), RigError> {
        let usage = |process: &Process| program::usage(process.id()).map(|usage| usage.cpu_s);
        let before: Vec<Option<f64>> =
            self.processes.iter().map(|process| process.as_ref().and_then(|p| usage(p).ok())).collect();
        let began_ms = self.world.now_ms();
        thread::sleep(Duration::from_millis(self.rng.u64(ms)));
        let lasted_s = (self.world.now_ms() - began_ms) / 1e3;
        for (number, before) in before.into_iter().enumerate() {
            let Some(process) = &mut self.processes[number] else { continue };
            if process.has_exited()? {
                println!("dispatcher {number} exited unexpectedly");
                lock(&self.world.record).crashed += 1;
                continue;
            }
            let used_s = usage(process).ok().zip(before).map_or(0.0, |(after, before)| after - before);
            if used_s > SPIN_CPU_S * lasted_s {
                println!("dispatcher {number} spins: {used_s:.2} s of processor time in {lasted_s:.2} s");
                lock(&self.world.record).spins += 1;
            }
        }
        Ok(())
    }

    fn zone_servers(zone: usize) -> Vec<usize> {
        (0..SERVERS_PER_ZONE).map(|at| zone * SERVERS_PER_ZONE + at).collect()
    }

    /// Lists servers as up with the current start time, and records their cold starts.
    fn start_servers(&self, servers: &[usize]) {
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        self.world.change_list(servers, |server| (server.is_up, server.born_ms) = (true, born_ms));
        let now_ms = self.world.now_ms();
        lock(&self.world.record).cold_starts.extend(servers.iter().map(|&server| (server, now_ms)));
    }

    /// Kills the dispatchers of a zone and marks its servers as draining, then brings both back.
    fn lose_zone(&mut self) -> Result<(), RigError> {
        let zone = self.rng.usize(..ZONES);
        let dispatchers: Vec<usize> =
            (0..self.plan.dispatchers).filter(|number| number % ZONES == zone).collect();
        dispatchers.iter().for_each(|&number| self.kill(number));
        let servers = Soak::zone_servers(zone);
        // By the time the dispatchers return, this change counts as known to them.
        self.world.change_list(&servers, |server| server.is_up = false);
        self.sleep_and_check(8_000..10_000)?;
        for number in dispatchers {
            self.start_process(number)?;
        }
        self.sleep_and_check(4_000..6_000)?;
        self.start_servers(&servers);
        Ok(())
    }

    /// Drains some servers, restarting a dispatcher meanwhile in half of the cases, and later starts the servers cold.
    fn drain_servers(&mut self) -> Result<(), RigError> {
        let servers: Vec<usize> = (0..3).map(|_| self.rng.usize(..ZONES * SERVERS_PER_ZONE)).collect();
        self.world.change_list(&servers, |server| server.is_up = false);
        let number = self.rng.usize(..self.plan.dispatchers);
        if self.rng.bool() {
            self.kill(number);
            self.sleep_and_check(500..2_000)?;
            self.start_process(number)?;
        }
        self.sleep_and_check(4_000..9_000)?;
        self.start_servers(&servers);
        Ok(())
    }

    /// Takes discovery down while dispatchers are killed and restarted and a server drains, and brings it back.
    fn take_discovery_down(&mut self) -> Result<(), RigError> {
        self.world.set_outage(true);
        self.sleep_and_check(500..3_000)?;
        let killed: Vec<usize> = (0..self.plan.dispatchers).filter(|_| self.rng.bool()).collect();
        killed.iter().for_each(|&number| self.kill(number));
        self.sleep_and_check(500..2_000)?;
        for number in killed {
            self.start_process(number)?;
        }
        let server = self.rng.usize(..ZONES * SERVERS_PER_ZONE);
        self.world.change_list(&[server], |server| server.is_up = false);
        self.sleep_and_check(1_000..5_000)?;
        self.world.set_outage(false);
        self.sleep_and_check(8_000..11_000)?;
        self.start_servers(&[server]);
        Ok(())
    }

    fn restart_in_turn(&mut self) -> Result<(), RigError> {
        for number in 0..self.plan.dispatchers.min(3) {
            self.terminate(number)?;
            self.start_process(number)?;
            self.sleep_and_check(300..1_000)?;
        }
        Ok(())
    }

    fn stop_for_a_moment(&mut self) -> Result<(), RigError> {
        for _ in 0..6 {
            let number = self.rng.usize(..self.plan.dispatchers);
            let stop_ms = self.rng.u64(20..MAX_STOP_MS);
            if let Some(process) = &self.processes[number] {
                process.signal("STOP")?;
                thread::sleep(Duration::from_millis(stop_ms));
                process.signal("CONT")?;
            }
        }
        Ok(())
    }

    fn signal_all(&self, name: &str) -> Result<(), RigError> {
        self.processes.iter().flatten().try_for_each(|process| process.signal(name))
    }
}

/// Polls `/up` of a dispatcher and puts it into rotation once it answers 200.
fn admit_when_ready(world: &World, number: usize, index: usize) {
    while !world.stopping.load(Ordering::Relaxed)
        && lock(&world.record).process_runs[index].ended_ms.is_none()
    {
        if is_ready(world.dispatchers[number]) {
            let now_ms = world.now_ms();
            lock(&world.record).process_runs[index].ready_ms = Some(now_ms);
            world.in_rotation[number].store(true, Ordering::Relaxed);
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn is_ready(dispatcher: SocketAddr) -> bool {
    let answer = Http::connect(dispatcher, Duration::from_secs(2)).and_then(|mut http| {
        http.write("GET /up HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n")?;
        http.read()
    });
    answer.is_ok_and(|(head, _)| status(&head) == 200)
}

fn append_line(path: &Path, line: &str) {
    use std::io::Write;
    let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{line}");
    }
}
