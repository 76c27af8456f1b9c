//! A soak: real dispatchers among stand-ins while things go wrong by seed, and a checker that holds what stood on the wire to
//! every rule (`record`).
//!
//! What goes wrong, one after the other: a zone of dispatchers and servers is lost and returns, the dispatchers with the lists
//! that they had; servers drain and are removed, and others start cold; discovery is down for some seconds; dispatchers are
//! told to end and killed as early as the rules allow, are stopped for a moment, and read their configuration anew; system
//! calls fail, and the wall clock steps (the shim, `rig/shim`). Discovery has a capacity, and some of its answers are cut off,
//! reset or never come.

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
use record::{Life, Millis, SlowStart};
use world::World;

use crate::http::{Http, lock, status};
use crate::process::Process;
use crate::{RigError, io_context, program};

/// Dispatchers that the settings of a large fleet name.
const LARGE_FLEET: usize = 30;
/// Servers of each zone.
const SERVERS_PER_ZONE: usize = 4;
/// Zones.
const ZONES: usize = 3;
/// Clients of each dispatcher.
const CLIENTS: usize = 3;
/// Time between a client's requests, in milliseconds.
const CLIENT_PAUSE_MS: std::ops::Range<u64> = 20..200;
/// SIGKILL may come so long after SIGTERM: the longest deadline, 2 s here, and 0.7 s.
const KILL_AFTER_MS: u64 = 2_700;
/// Longest time for which a process is stopped, in milliseconds.
const MAX_STOP_MS: u64 = 150;
/// A dispatcher that starts is ready within this time: the page's for short days.
const READY_WITHIN_MS: Millis = 6_000.0;
/// The same for a large fleet.
const LARGE_FLEET_READY_WITHIN_MS: Millis = 10_000.0;
/// Processor time in a second that a dispatcher with this little to do does not need.
const SPIN_CPU_S: f64 = 0.8;
/// How servers start: each does up to 40 jobs at a time, of 35 ms in the mean.
const SLOW_START: SlowStart = SlowStart { warm_per_second: 60.0, from: 0.2, warm_ms: 8_000.0, multiple: 2.5 };

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Processes of the program.
    pub dispatchers: usize,
    /// How long faults go on.
    pub seconds: u64,
    /// Decides faults and requests.
    pub seed: u64,
    /// Another build of the program, to see what the checker finds in it.
    pub binary: Option<PathBuf>,
}

/// What goes wrong in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// A zone of dispatchers and servers ends, its servers are removed, and all return, the servers cold.
    ZoneLost,
    /// Servers drain, are removed, and return cold.
    Drains,
    /// Discovery is down, and dispatchers are killed meanwhile.
    Outage,
    /// Dispatchers are told to end one after the other, and start again.
    Release,
    /// Dispatchers stand still for a moment.
    Stops,
    /// Dispatchers read their configuration again.
    Reload,
}

const FAULTS: [Fault; 6] =
    [Fault::ZoneLost, Fault::Drains, Fault::Outage, Fault::Release, Fault::Stops, Fault::Reload];

/// Faults of system calls that a process is started with, one of them drawn.
const CALL_FAULTS: [&str; 7] = [
    "",
    "fail=recv,EINTR,0.3,0,1e9",
    "fail=accept,ENFILE,1,1500,2500;fail=accept,ECONNABORTED,0.3,0,1e9",
    "fail=connect,EADDRNOTAVAIL,0.05,0,1e9;fail=socket,ENOBUFS,0.05,0,1e9",
    "short=recv,3,0,1e9;short=send,3,0,1e9",
    "step=3600000,2000;step=-7200000,4000",
    "fail=send,EINTR,0.3,0,1e9;fail=connect,ENETUNREACH,0.02,0,1e9",
];

/// A run: the stand-ins and the processes.
struct Soak {
    plan: Plan,
    world: Arc<World>,
    binary: PathBuf,
    shim: PathBuf,
    dir: PathBuf,
    draws: fastrand::Rng,
    processes: Vec<Option<Process>>,
    /// The list that each dispatcher had when it last ended.
    known: Vec<String>,
    /// How many dispatchers the settings name: large fleets behave otherwise than small ones.
    fleet: usize,
}

/// What a dispatcher with faults of system calls alone has come to.
#[derive(Clone, Copy, Debug)]
pub struct SteadyRun {
    /// What was seen.
    pub figures: Figures,
    /// Processor time of the dispatcher, in seconds.
    pub cpu_s: f64,
}

/// Has one dispatcher serve for so many seconds while system calls fail as the shim's plan says, and nothing else goes wrong.
///
/// # Errors
/// Where the program or a stand-in cannot be started.
pub fn steady(call_faults: &str, seconds: u64, seed: u64) -> Result<SteadyRun, RigError> {
    let mut soak = Soak::start(Plan { dispatchers: 1, seconds, seed, binary: None })?;
    soak.start_process_with(0, call_faults)?;
    let clients = soak.start_clients();
    thread::sleep(Duration::from_secs(seconds));
    let process = soak.processes[0].as_ref().ok_or_else(|| RigError::Program("it has ended".into()))?;
    let cpu_s = program::usage(process.id())?.cpu_s;
    let figures = soak.finish(clients)?;
    Ok(SteadyRun { figures, cpu_s })
}

/// Plays a plan with the real program.
///
/// # Errors
/// Where the program or a stand-in cannot be started.
pub fn experiment(plan: &Plan) -> Result<Figures, RigError> {
    let mut soak = Soak::start(plan.clone())?;
    for number in 0..plan.dispatchers {
        soak.start_process(number)?;
    }
    let clients = soak.start_clients();
    let end_ms = soak.world.now_ms() + plan.seconds as Millis * 1e3;
    let mut faults = Vec::new();
    while soak.world.now_ms() < end_ms {
        // Each of them once, in an order drawn anew, before any comes again.
        if faults.is_empty() {
            faults.extend(FAULTS);
            soak.draws.shuffle(&mut faults);
        }
        let Some(fault) = faults.pop() else { break };
        println!("{:.1} s: {fault:?}", soak.world.now_ms() / 1e3);
        soak.play(fault)?;
        soak.settle(1_000..2_500)?;
    }
    soak.finish(clients)
}

impl Soak {
    /// Ends the run, and holds its record to the rules.
    fn finish(&mut self, clients: Vec<thread::JoinHandle<()>>) -> Result<Figures, RigError> {
        self.world.over.store(true, Ordering::Relaxed);
        for client in clients {
            client.join().map_err(|_| RigError::CheckFailed("a client panicked".into()))?;
        }
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
        let is_large = self.fleet > self.plan.dispatchers;
        let ready_within_ms = if is_large { LARGE_FLEET_READY_WITHIN_MS } else { READY_WITHIN_MS };
        let record = lock(&self.world.record);
        Ok(record.check(self.plan.seed, self.plan.dispatchers, SLOW_START, ready_within_ms))
    }

    fn start(plan: Plan) -> Result<Soak, RigError> {
        let built = program::build()?;
        let shim = built.with_file_name("libmicabeam_shim.so");
        let binary = plan.binary.clone().unwrap_or(built);
        let dir = std::env::temp_dir().join(format!("micabeam-soak-{}-{}", std::process::id(), plan.seed));
        io_context("a directory", std::fs::create_dir_all(&dir))?;
        let pid = std::process::id();
        // Addresses that nothing else of this machine's tests listens at.
        let address = |number: usize| {
            let ip = [127, 101 + (pid >> 8) as u8 % 90, pid as u8, 1 + number as u8];
            SocketAddr::from((ip, 8_100 + (plan.seed % 400) as u16))
        };
        let dispatchers: Vec<SocketAddr> = (0..plan.dispatchers).map(address).collect();
        let world = World::start(dispatchers, ZONES * SERVERS_PER_ZONE, plan.seed)?;
        let known = vec![world.known_list(); plan.dispatchers];
        let processes = (0..plan.dispatchers).map(|_| None).collect();
        let mut draws = fastrand::Rng::with_seed(plan.seed);
        let fleet = if draws.bool() { LARGE_FLEET.max(plan.dispatchers) } else { plan.dispatchers };
        Ok(Soak { fleet, plan, world, binary, shim, dir, draws, processes, known })
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
            self.known[number],
            self.fleet,
            class("search", "retryable", 1_000),
            class("confirm", "fragile", 2_000),
            SLOW_START.from,
            SLOW_START.warm_ms,
            SLOW_START.multiple,
        )
    }

    /// Starts a dispatcher with the list that it last had, and has the front take it in once it says so.
    fn start_process(&mut self, number: usize) -> Result<(), RigError> {
        let faults = CALL_FAULTS[self.draws.usize(..CALL_FAULTS.len())];
        self.start_process_with(number, faults)
    }

    fn start_process_with(&mut self, number: usize, call_faults: &str) -> Result<(), RigError> {
        let file = self.dir.join(format!("{number}.json"));
        io_context("the configuration", std::fs::write(&file, self.config(number)))?;
        let mut command = Command::new(&self.binary);
        command.env("LB_CONFIG", &file).env("TMPDIR", &self.dir);
        command.env("LD_PRELOAD", &self.shim);
        command.env("MICABEAM_FAULTS", format!("seed={};{call_faults}", self.draws.u64(..1 << 40)));
        let started_ms = self.world.now_ms();
        let mut process = Process::start(command)?;
        let log_path = self.dir.join(format!("{number}.log"));
        process.read_log(move |line| append(&log_path, &line));
        self.processes[number] = Some(process);
        let life =
            Life { dispatcher: number, started_ms, ready_ms: None, terminated_ms: None, ended_ms: None };
        let at = {
            let mut record = lock(&self.world.record);
            record.lives.push(life);
            record.lives.len() - 1
        };
        let world = Arc::clone(&self.world);
        thread::spawn(move || await_up(&world, number, at));
        Ok(())
    }

    /// Notes the end of a dispatcher's process, and what it knew.
    fn note_end(&mut self, number: usize) {
        self.world.takes_clients[number].store(false, Ordering::Relaxed);
        self.known[number] = self.world.known_list();
        let now_ms = self.world.now_ms();
        let mut record = lock(&self.world.record);
        if let Some(life) = record.lives.iter_mut().rfind(|life| life.dispatcher == number) {
            life.ended_ms.get_or_insert(now_ms);
        }
    }

    fn kill(&mut self, number: usize) {
        if let Some(mut process) = self.processes[number].take() {
            self.note_end(number);
            process.kill();
        }
    }

    /// Tells a dispatcher to end; it is killed as early as may be.
    fn terminate(&mut self, number: usize) -> Result<(), RigError> {
        let Some(mut process) = self.processes[number].take() else { return Ok(()) };
        process.signal("TERM")?;
        let now_ms = self.world.now_ms();
        if let Some(life) = lock(&self.world.record).lives.iter_mut().rfind(|life| life.dispatcher == number)
        {
            life.terminated_ms = Some(now_ms);
        }
        thread::sleep(Duration::from_millis(self.draws.u64(200..400)));
        self.world.takes_clients[number].store(false, Ordering::Relaxed);
        while self.world.now_ms() < now_ms + KILL_AFTER_MS as Millis && !process.has_exited()? {
            thread::sleep(Duration::from_millis(2));
        }
        self.note_end(number);
        process.kill();
        Ok(())
    }

    fn play(&mut self, fault: Fault) -> Result<(), RigError> {
        match fault {
            Fault::ZoneLost => self.lose_zone(),
            Fault::Drains => self.drain_servers(),
            Fault::Outage => self.outage(),
            Fault::Release => self.release(),
            Fault::Stops => self.stop_for_a_moment(),
            Fault::Reload => self.signal_all("HUP"),
        }
    }

    /// Lets some time pass, and sees that nothing has crashed or spins.
    fn settle(&mut self, ms: std::ops::Range<u64>) -> Result<(), RigError> {
        let usage = |process: &Process| program::usage(process.id()).map(|usage| usage.cpu_s);
        let before: Vec<Option<f64>> =
            self.processes.iter().map(|process| process.as_ref().and_then(|p| usage(p).ok())).collect();
        let began_ms = self.world.now_ms();
        thread::sleep(Duration::from_millis(self.draws.u64(ms)));
        let lasted_s = (self.world.now_ms() - began_ms) / 1e3;
        for (number, before) in before.into_iter().enumerate() {
            let Some(process) = &mut self.processes[number] else { continue };
            if process.has_exited()? {
                println!("dispatcher {number} has ended by itself");
                lock(&self.world.record).crashed += 1;
                continue;
            }
            let used_s = usage(process).ok().zip(before).map_or(0.0, |(after, before)| after - before);
            if used_s > SPIN_CPU_S * lasted_s {
                println!("dispatcher {number} used {used_s:.2} s in {lasted_s:.2} s");
                lock(&self.world.record).spins += 1;
            }
        }
        Ok(())
    }

    fn zone_servers(zone: usize) -> Vec<usize> {
        (0..SERVERS_PER_ZONE).map(|at| zone * SERVERS_PER_ZONE + at).collect()
    }

    fn start_servers(&self, servers: &[usize]) {
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        self.world.change_list(servers, |server| (server.is_up, server.born_ms) = (true, born_ms));
        let now_ms = self.world.now_ms();
        lock(&self.world.record).cold_starts.extend(servers.iter().map(|&server| (server, now_ms)));
    }

    fn lose_zone(&mut self) -> Result<(), RigError> {
        let zone = self.draws.usize(..ZONES);
        let dispatchers: Vec<usize> =
            (0..self.plan.dispatchers).filter(|number| number % ZONES == zone).collect();
        dispatchers.iter().for_each(|&number| self.kill(number));
        let servers = Soak::zone_servers(zone);
        // Removals of before the return count as told by then.
        self.world.change_list(&servers, |server| server.is_up = false);
        self.settle(8_000..10_000)?;
        for number in dispatchers {
            self.start_process(number)?;
        }
        self.settle(4_000..6_000)?;
        self.start_servers(&servers);
        Ok(())
    }

    fn drain_servers(&mut self) -> Result<(), RigError> {
        let servers: Vec<usize> = (0..3).map(|_| self.draws.usize(..ZONES * SERVERS_PER_ZONE)).collect();
        self.world.change_list(&servers, |server| server.is_up = false);
        let number = self.draws.usize(..self.plan.dispatchers);
        if self.draws.bool() {
            self.kill(number);
            self.settle(500..2_000)?;
            self.start_process(number)?;
        }
        self.settle(4_000..9_000)?;
        self.start_servers(&servers);
        Ok(())
    }

    fn outage(&mut self) -> Result<(), RigError> {
        self.world.set_outage(true);
        self.settle(500..3_000)?;
        let killed: Vec<usize> = (0..self.plan.dispatchers).filter(|_| self.draws.bool()).collect();
        killed.iter().for_each(|&number| self.kill(number));
        self.settle(500..2_000)?;
        for number in killed {
            self.start_process(number)?;
        }
        let server = self.draws.usize(..ZONES * SERVERS_PER_ZONE);
        self.world.change_list(&[server], |server| server.is_up = false);
        self.settle(1_000..5_000)?;
        self.world.set_outage(false);
        self.settle(8_000..11_000)?;
        self.start_servers(&[server]);
        Ok(())
    }

    fn release(&mut self) -> Result<(), RigError> {
        for number in 0..self.plan.dispatchers.min(3) {
            self.terminate(number)?;
            self.start_process(number)?;
            self.settle(300..1_000)?;
        }
        Ok(())
    }

    fn stop_for_a_moment(&mut self) -> Result<(), RigError> {
        for _ in 0..6 {
            let number = self.draws.usize(..self.plan.dispatchers);
            let stop_ms = self.draws.u64(20..MAX_STOP_MS);
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

/// Has the front take a dispatcher in once `/up` says yes, as it asks again and again.
fn await_up(world: &World, number: usize, life: usize) {
    while !world.over.load(Ordering::Relaxed) && lock(&world.record).lives[life].ended_ms.is_none() {
        if says_yes(world.dispatchers[number]) {
            let now_ms = world.now_ms();
            lock(&world.record).lives[life].ready_ms = Some(now_ms);
            world.takes_clients[number].store(true, Ordering::Relaxed);
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn says_yes(dispatcher: SocketAddr) -> bool {
    let answer = Http::connect(dispatcher, Duration::from_secs(2)).and_then(|mut http| {
        http.write("GET /up HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n")?;
        http.read()
    });
    answer.is_ok_and(|(head, _)| status(&head) == 200)
}

fn append(path: &Path, line: &str) {
    use std::io::Write;
    let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{line}");
    }
}
