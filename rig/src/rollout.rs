//! Experiment `rollout`: real processes change a policy that they share, with faults in and between them.
//!
//! Each version of the policy sends all jobs to one block of workers, so the block at which a job ran
//! identifies the version. Clients submit jobs to every process while new versions are requested.
//! The checks use what clients and workers saw: no job runs under a version that was not decided,
//! or under an old version after a newer one was seen anywhere.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::datagrams::{Addresses, DatagramProxy};
use crate::http::{Http, JobResponse, header, lock, post_job_event, serve, submit_job};
use crate::process::Process;
use crate::{RigError, check_invariants, io_context};

/// Deadline of a job.
const JOB_DEADLINE: Duration = Duration::from_secs(4);
/// Number of blocks of workers; version v sends all jobs to block v modulo this.
const BLOCKS: u64 = 4;
/// A block that the configuration of the first process doesn't list, so that it rejects each version that
/// uses it.
const UNKNOWN_BLOCK: u64 = 3;
/// Number of workers of a block.
const WORKERS_PER_BLOCK: usize = 2;
/// Run time of a job, in milliseconds.
const JOB_MS: u64 = 20;
/// How long a process serves without a new lease, in milliseconds.
const LEASE_MS: u64 = 2000;
/// How long the processes may take to settle on one version, at the start and after a fault.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The fault during a change of version. Numbers are those of processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// No fault.
    None,
    /// The leader is killed and started again.
    LeaderKilled,
    /// The leader is stopped with SIGSTOP and resumed.
    LeaderFrozen,
    /// A process is killed and started again.
    Killed(usize),
    /// A process is stopped with SIGSTOP and resumed.
    Frozen(usize),
    /// A process is cut off from all others.
    Alone(usize),
    /// The processes are partitioned, two fifths from the others, and each side requests another version.
    Split,
    /// Of a thousand datagrams 300 are lost and 50 delivered twice, and all are delayed by up to 60 ms.
    Lossy,
    /// All processes are killed and started again.
    AllKilled,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of processes.
    pub dispatchers: usize,
    /// How long versions are changed with faults, in seconds.
    pub seconds: u64,
    /// Seed that decides faults and jobs.
    pub seed: u64,
    /// Whether the processes change the policy by agreement; if not, each applies its own policy file.
    pub agreed: bool,
}

/// Results of a run, from what clients and workers saw and the processes logged.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Number of faults.
    pub faults: u64,
    /// Versions that were requested.
    pub changes: u64,
    /// Versions that came into force.
    pub committed: u64,
    /// Versions that were given up.
    pub given_up: u64,
    /// Jobs that ran under a version that was not decided.
    pub half_applied: u64,
    /// Jobs that ran under an older version than one that had been seen before they were submitted.
    pub old_after_new: u64,
    /// Jobs whose attempts went to blocks of different versions.
    pub mixed: u64,
    /// Versions that were both in force and given up.
    pub undone: u64,
    /// Jobs that were submitted.
    pub jobs: u64,
    /// Jobs that were served.
    pub served: u64,
    /// Jobs that were rejected with a `Retry-After` header.
    pub denied: u64,
    /// Jobs without a response at a process that was killed or stopped.
    pub away: u64,
    /// Responses with the body of another job, and connections with more bytes than the one response.
    pub answered_twice: u64,
    /// Jobs without a response in time, at a process that was neither killed nor stopped.
    pub unanswered: u64,
    /// Jobs that ran twice although they may run only once.
    pub unsafe_ran_twice: u64,
    /// Median time of a change without faults, from the request until the last process has logged the version
    /// as in force, in milliseconds.
    pub change_ms_p50: u64,
    /// Longest time of such a change, in milliseconds.
    pub change_ms_worst: u64,
    /// 99th percentile of the time that jobs took beyond their run time while versions changed without
    /// faults, in milliseconds.
    pub pause_ms_p99: u64,
    /// 99th percentile of the same time while no version changed, in milliseconds.
    pub calm_ms_p99: u64,
}

impl Figures {
    /// Returns the last line of the experiment.
    pub fn line(&self) -> String {
        format!(
            "faults={} changes={} committed={} given_up={} half_applied={} old_after_new={} mixed={} undone={} jobs={} \
             served={} served_share={:.3} denied={} away={} answered_twice={} unanswered={} unsafe_ran_twice={} \
             change_ms_p50={} change_ms_worst={} pause_ms_p99={} calm_ms_p99={}",
            self.faults,
            self.changes,
            self.committed,
            self.given_up,
            self.half_applied,
            self.old_after_new,
            self.mixed,
            self.undone,
            self.jobs,
            self.served,
            self.served as f64 / (self.jobs - self.away).max(1) as f64,
            self.denied,
            self.away,
            self.answered_twice,
            self.unanswered,
            self.unsafe_ran_twice,
            self.change_ms_p50,
            self.change_ms_worst,
            self.pause_ms_p99,
            self.calm_ms_p99,
        )
    }

    /// Checks that no job saw a wrong version, was answered twice, left unanswered or run twice although it
    /// must not be, that no decision was undone, and that at least half of the jobs were served.
    ///
    /// # Errors
    /// Returns [`RigError::CheckFailed`] if one of them does not hold.
    pub fn verify(&self) -> Result<(), RigError> {
        let zeros = [
            ("half_applied", self.half_applied),
            ("old_after_new", self.old_after_new),
            ("mixed", self.mixed),
            ("undone", self.undone),
            ("answered_twice", self.answered_twice),
            ("unanswered", self.unanswered),
            ("unsafe_ran_twice", self.unsafe_ran_twice),
        ];
        check_invariants(&zeros, self.jobs, self.served)
    }
}

/// A served job: when it was submitted and answered, and the block at which it ran.
#[derive(Clone, Copy, Debug)]
struct ServedJob {
    sent: Instant,
    done: Instant,
    block: u64,
}

/// A decision that a process logged.
#[derive(Clone, Debug)]
struct LoggedDecision {
    process: usize,
    at: Instant,
    in_force: u64,
    given_up: Option<u64>,
}

/// State that the stand-ins share.
struct World {
    plan: Plan,
    clients: Vec<SocketAddr>,
    stopping: AtomicBool,
    next_job: AtomicU64,
    /// Blocks at which each job ran, in order, by job id.
    runs: Mutex<HashMap<String, Vec<u64>>>,
    served: Mutex<Vec<ServedJob>>,
    decisions: Mutex<Vec<LoggedDecision>>,
    /// Times during which a fault made a process unavailable: its number, the start, and the end if it is
    /// back.
    outages: Mutex<Vec<(usize, Instant, Option<Instant>)>>,
    figures: Mutex<Figures>,
}

impl World {
    /// Whether an outage of the process lasted beyond `from`, or ended less than a second before it.
    fn was_unavailable(&self, process: usize, from: Instant) -> bool {
        let slack = Duration::from_secs(1);
        let covers = |(who, _, until): &(usize, Instant, Option<Instant>)| {
            *who == process && until.is_none_or(|back| back + slack >= from)
        };
        lock(&self.outages).iter().any(covers)
    }
}

/// Returns the text of a policy that sends all jobs to the block of its version.
fn policy(version: u64) -> String {
    format!(
        "version = {version}\n[[partition]]\nname = \"block\"\nprefixes = [\"s-{}-\"]\n\
         [[rule]]\nname = \"all\"\npartition = \"block\"\n",
        version % BLOCKS
    )
}

/// A stand-in worker: accepts jobs on a connection, notes its block for each, and posts a call-back when the
/// job is done.
fn worker(world: &Arc<World>, block: u64, number: usize, stream: std::net::TcpStream) {
    let Ok(mut http) = Http::from_stream(stream, Duration::from_secs(120)) else { return };
    while let Ok((head, _)) = http.read() {
        let Some(id) = header(&head, "req-id").map(String::from) else {
            let _ = http.write("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
            continue;
        };
        lock(&world.runs).entry(id.clone()).or_default().push(block);
        if http.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").is_err() {
            return;
        }
        let world = Arc::clone(world);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(JOB_MS));
            let process = id.split('-').next().and_then(|p| p.parse().ok()).unwrap_or(0);
            let (from, result) = (format!("s-{block}-{number}"), format!("{block} {id}"));
            for _ in 0..10 {
                if post_job_event(world.clients[process], Duration::from_secs(1), &id, &from, "done", &result)
                {
                    return;
                }
                thread::sleep(Duration::from_millis(100));
            }
        });
    }
}

/// A client: submits jobs to one process, one per `pause`, and adds the outcomes to the figures.
fn client(world: &Arc<World>, process: usize, pause: Duration) {
    let mut conn: Option<Http> = None;
    while !world.stopping.load(Ordering::Relaxed) {
        let sent = Instant::now();
        let number = world.next_job.fetch_add(1, Ordering::Relaxed);
        let class = if number.is_multiple_of(3) { "search" } else { "confirm" };
        let id = format!("{process}-{number}");
        let JobResponse { answer, has_retry_after, reused, had_extra_bytes } =
            submit_job(&mut conn, world.clients[process], JOB_DEADLINE, class, &id);
        let (done, away) = (Instant::now(), world.was_unavailable(process, sent));
        let mut figures = lock(&world.figures);
        figures.jobs += 1;
        figures.answered_twice += u64::from(had_extra_bytes);
        match answer {
            Ok((200, body)) => {
                let (block, job_id) = body.split_once(' ').unwrap_or(("", ""));
                figures.answered_twice += u64::from(job_id != id);
                figures.served += 1;
                lock(&world.served).push(ServedJob { sent, done, block: block.parse().unwrap_or(u64::MAX) });
            }
            Ok(_) if has_retry_after => figures.denied += 1,
            Ok(_) => {}
            Err(_) if away => figures.away += 1,
            Err(_) if reused && !lock(&world.runs).contains_key(&id) => figures.jobs -= 1,
            Err(e) => {
                println!("{id}: no response after {:?}: {e}", done - sent);
                figures.unanswered += 1;
            }
        }
        if done - sent > JOB_DEADLINE + Duration::from_millis(500) && !away {
            println!("{id}: answered after {:?}", done - sent);
            figures.unanswered += 1;
        }
        drop(figures);
        thread::sleep(pause.saturating_sub(sent.elapsed()));
    }
}

/// Collects the decisions that a process logs, and prints its other messages.
fn follow_log(world: &Arc<World>, process: &mut Process, number: usize) {
    let world = Arc::clone(world);
    process.read_log(move |line| {
        let at = Instant::now();
        if line.starts_with("micabeam:") && !line.contains("read again") && !line.contains("not taken") {
            println!("process {number}: {line}");
        }
        if !line.contains("policy decided") {
            return;
        }
        let field = |name: &str| line.split_once(&format!(" {name}="))?.1.split(' ').next();
        let number_field =
            |name: &str| field(name).and_then(|text| text.trim_matches('"').parse::<u64>().ok());
        let given_up = line.contains("outcome=\"given up\"").then(|| number_field("version")).flatten();
        let in_force = number_field("in_force").unwrap_or(0);
        lock(&world.decisions).push(LoggedDecision { process: number, at, in_force, given_up });
    });
}

/// The processes of a run, and the proxy between them.
struct Cluster {
    world: Arc<World>,
    proxy: DatagramProxy,
    processes: Vec<Option<Process>>,
    binary: PathBuf,
    dir: PathBuf,
}

impl Cluster {
    fn start(&mut self, number: usize) -> Result<(), RigError> {
        let mut command = Command::new(&self.binary);
        command.env("LB_CONFIG", self.dir.join(format!("{number}.json"))).env("TMPDIR", &self.dir);
        command.arg("--operator").arg(self.dir.join(format!("{number}.toml")));
        let mut process = Process::start(command)?;
        follow_log(&self.world, &mut process, number);
        self.processes[number] = Some(process);
        self.mark_available(number);
        Ok(())
    }

    fn mark_unavailable(&self, number: usize) {
        lock(&self.world.outages).push((number, Instant::now(), None));
    }

    fn mark_available(&self, number: usize) {
        let now = Instant::now();
        let mut outages = lock(&self.world.outages);
        outages.iter_mut().filter(|a| a.0 == number && a.2.is_none()).for_each(|a| a.2 = Some(now));
    }

    /// Returns the process that reports that it leads, or the first if none does.
    fn leader(&self) -> usize {
        let leads = |p: &Option<Process>| p.as_ref().is_some_and(|p| p.metric("lb_fleet_leads") == Some(1.0));
        self.processes.iter().position(leads).unwrap_or(0)
    }

    /// Requests a version at a process. Without agreement, requests it at each process, one after the other.
    fn request_version(&self, number: usize, version: u64) -> Result<(), RigError> {
        if !self.world.plan.agreed {
            for other in (0..self.processes.len()).filter(|other| *other != number) {
                self.write_policy_and_reload(other, version)?;
                thread::sleep(Duration::from_millis(5));
            }
        }
        self.write_policy_and_reload(number, version)
    }

    /// Writes a version of the policy to a process's file and sends it SIGHUP.
    fn write_policy_and_reload(&self, number: usize, version: u64) -> Result<(), RigError> {
        let path = self.dir.join(format!("{number}.policy"));
        io_context("write a policy", std::fs::write(path, policy(version)))?;
        match &self.processes[number] {
            Some(process) => process.signal("HUP"),
            None => Ok(()),
        }
    }

    /// Waits until all processes serve under the same version, no change is under way, and a version of at
    /// least `min_version` was decided on. Returns the version in force.
    fn await_one_version(&self, min_version: u64) -> Result<u64, RigError> {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        loop {
            let statuses: Vec<String> =
                self.processes.iter().flatten().filter_map(|p| p.ask_console("policy")).collect();
            let number_after = |text: &String, name: &str| {
                text.split_once(name).and_then(|(_, rest)| rest.split(' ').next()?.parse::<u64>().ok())
            };
            let runs: BTreeSet<_> = statuses.iter().map(|text| number_after(text, "runs ")).collect();
            let agree = runs.len() == 1 && statuses.len() == self.processes.len();
            let is_decided = |text: &String| number_after(text, " last ").unwrap_or(0) >= min_version;
            let is_idle =
                |text: &String| text.contains("serves yes holds no") && text.contains("staged none");
            let is_settled = |text: &String| is_idle(text) && is_decided(text);
            if let (true, Some(Some(version))) = (agree && statuses.iter().all(is_settled), runs.first()) {
                return Ok(*version);
            }
            if Instant::now() > deadline {
                return Err(RigError::CheckFailed(format!(
                    "the processes did not settle on one version: {statuses:?}"
                )));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Cuts the links between each two processes for which `is_cut` returns true.
    fn cut_links(&self, is_cut: impl Fn(usize, usize) -> bool) {
        let count = self.world.plan.dispatchers;
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        self.proxy.set_faults(|w| w.cut.extend(pairs.filter(|(a, b)| a != b && is_cut(*a, *b))));
    }

    /// Stops a process with SIGSTOP for a time.
    fn freeze(&mut self, number: usize, duration: Duration) -> Result<(), RigError> {
        self.mark_unavailable(number);
        if let Some(process) = &self.processes[number] {
            process.signal("STOP")?;
            thread::sleep(duration);
            process.signal("CONT")?;
        }
        self.mark_available(number);
        Ok(())
    }

    /// Kills a process, and starts it again after a time.
    fn kill_and_restart(&mut self, number: usize, duration: Duration) -> Result<(), RigError> {
        self.mark_unavailable(number);
        self.processes[number] = None;
        thread::sleep(duration);
        self.start(number)
    }

    /// Requests the next version and injects a fault while it is decided on.
    fn run_fault(
        &mut self,
        fault: Fault,
        rng: &mut fastrand::Rng,
        version: &mut u64,
    ) -> Result<(), RigError> {
        let count = self.world.plan.dispatchers;
        let duration = Duration::from_millis(rng.u64(50..3500));
        let delay = Duration::from_millis(rng.u64(..120));
        let requester = rng.usize(..count);
        *version += 1;
        match fault {
            Fault::None => self.request_version(requester, *version)?,
            Fault::LeaderKilled | Fault::Killed(_) => {
                let victim = if let Fault::Killed(who) = fault { who } else { self.leader() };
                self.request_version((victim + 1 + rng.usize(..count - 1)) % count, *version)?;
                thread::sleep(delay);
                self.kill_and_restart(victim, duration)?;
            }
            Fault::LeaderFrozen | Fault::Frozen(_) => {
                let victim = if let Fault::Frozen(who) = fault { who } else { self.leader() };
                self.request_version((victim + 1 + rng.usize(..count - 1)) % count, *version)?;
                thread::sleep(delay);
                self.freeze(victim, duration)?;
            }
            Fault::Alone(who) => {
                self.cut_links(|a, b| (a == who) != (b == who));
                self.request_version(requester, *version)?;
                thread::sleep(duration);
                self.proxy.set_faults(|w| w.cut.clear());
            }
            Fault::Split => self.run_split(version, duration)?,
            Fault::Lossy => {
                self.proxy
                    .set_faults(|w| (w.lost_per_1000, w.duplicated_per_1000, w.max_delay_ms) = (300, 50, 60));
                self.request_version(requester, *version)?;
                thread::sleep(duration);
                self.proxy
                    .set_faults(|w| (w.lost_per_1000, w.duplicated_per_1000, w.max_delay_ms) = (0, 0, 1));
            }
            Fault::AllKilled => {
                self.request_version(requester, *version)?;
                thread::sleep(delay);
                self.restart_all()?;
            }
        }
        Ok(())
    }

    /// Partitions the processes and requests another version on each side.
    fn run_split(&mut self, version: &mut u64, duration: Duration) -> Result<(), RigError> {
        let count = self.world.plan.dispatchers;
        self.cut_links(|a, b| (a * 5 < count * 2) != (b * 5 < count * 2));
        self.request_version(0, *version)?;
        *version += 1;
        self.request_version(count - 1, *version)?;
        thread::sleep(duration);
        self.proxy.set_faults(|w| w.cut.clear());
        Ok(())
    }

    /// Kills all processes and starts them again.
    fn restart_all(&mut self) -> Result<(), RigError> {
        for number in 0..self.world.plan.dispatchers {
            self.mark_unavailable(number);
            self.processes[number] = None;
        }
        for number in 0..self.world.plan.dispatchers {
            self.start(number)?;
        }
        Ok(())
    }
}

/// Writes the configuration, the first policy and the operator file of a process.
fn write_files(
    world: &World,
    dir: &Path,
    hosts: &[(u64, String)],
    addresses: &[SocketAddr],
    proxy: &DatagramProxy,
    number: usize,
) -> Result<(), RigError> {
    let class = |name: &str, semantics: &str| {
        format!(r#"{{"name":"{name}","aim":2000000,"hardLimit":4000000,"semantics":"{semantics}"}}"#)
    };
    let known: Vec<&str> = hosts
        .iter()
        .filter(|(block, _)| number > 0 || *block != UNKNOWN_BLOCK)
        .map(|(_, line)| line.as_str())
        .collect();
    let config = format!(
        r#"{{"name":"n{number}","listen":"{}","console":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"{number:x}",
        "limits":{{"sockets":512}},"known":{{"seq":1,"whole":true,"hosts":[{}]}},
        "settings":{{"balancers":{},"myNumber":{number},"zones":["z"],"quantum":1000,"membershipMode":"push",
        "grades":[{},{}],"caps":{{"sendCap":3,"mayCancel":true,"connIdle":15000000,"connectTimeout":250000,
        "maxRetryAfter":1000000}},"familyInfo":{{"tellsStart":false}},"report":{{"how":"off","fields":[]}},
        "rules":{{"coldFrom":0.1,"cold":20000000,"tipMultiple":2.5,"askWithin":4000000}}}}}}"#,
        world.clients[number],
        known.join(","),
        world.plan.dispatchers,
        class("search", "retryable"),
        class("confirm", "fragile"),
    );
    io_context("write the configuration", std::fs::write(dir.join(format!("{number}.json")), config))?;
    io_context("write a policy", std::fs::write(dir.join(format!("{number}.policy")), policy(1)))?;
    let voters = if world.plan.dispatchers >= 5 { 5 } else { 3 };
    let mut file = format!(
        "[fleet]\ncluster = \"rig\"\nname = \"n{number}\"\nstate = \"{0}.votes\"\nzones = [\"z\"]\n\
         [rollout]\npolicy = \"{0}.policy\"\nkeep = \"{0}.kept\"\nlease_ms = {LEASE_MS}\n",
        dir.join(number.to_string()).display(),
    );
    if !world.plan.agreed {
        file += "agreed = false\n";
    }
    for member in 0..world.plan.dispatchers {
        let address = if member == number { addresses[number] } else { proxy.proxy_address(number, member) };
        file += &format!(
            "[[fleet.member]]\nname = \"n{member}\"\naddress = \"{address}\"\nzone = \"z\"\nvoter = {}\n",
            member < voters
        );
    }
    io_context("write the operator file", std::fs::write(dir.join(format!("{number}.toml")), file))
}

/// Runs the experiment with the real program.
///
/// # Errors
/// Returns an error if the program or a stand-in cannot be started, or the processes don't settle on one
/// version.
pub fn experiment(plan: &Plan) -> Result<Figures, RigError> {
    let binary = crate::program::build()?;
    let dir = std::env::temp_dir().join(format!("micabeam-rollout-{}-{}", std::process::id(), plan.seed));
    io_context("directory of the run", std::fs::create_dir_all(&dir))?;
    let result = run(plan, binary, &dir);
    let _ = std::fs::remove_dir_all(&dir);
    result
}

/// Starts the stand-in workers. Returns the block and the list entry of each.
fn start_workers(world: &Arc<World>) -> Result<Vec<(u64, String)>, RigError> {
    let mut hosts = Vec::new();
    for block in 0..BLOCKS {
        for number in 0..WORKERS_PER_BLOCK {
            let listener = io_context("stand-in", TcpListener::bind("127.0.0.1:0"))?;
            let dial = io_context("stand-in", listener.local_addr())?;
            let line = format!(
                r#"{{"host":"s-{block}-{number}","dial":"{dial}","site":"z","health":"up","share":1.0,"born_ms":0}}"#
            );
            hosts.push((block, line));
            let (world, shared) = (Arc::clone(world), Arc::clone(world));
            serve(
                listener,
                move || shared.stopping.load(Ordering::Relaxed),
                move |stream| worker(&world, block, number, stream),
            );
        }
    }
    Ok(hosts)
}

/// Starts the clients of each process.
fn start_clients(world: &Arc<World>) -> Vec<thread::JoinHandle<()>> {
    let mut threads = Vec::new();
    for process in 0..world.plan.dispatchers {
        for _ in 0..3 {
            let world = Arc::clone(world);
            threads.push(thread::spawn(move || client(&world, process, Duration::from_millis(100))));
        }
    }
    threads
}

/// Runs the experiment with files in `dir`.
fn run(plan: &Plan, binary: PathBuf, dir: &Path) -> Result<Figures, RigError> {
    let Addresses { clients, datagrams: addresses } = Addresses::find_free(plan.dispatchers, plan.seed)?;
    let proxy = DatagramProxy::start(&addresses, plan.seed)?;
    proxy.set_faults(|w| w.max_delay_ms = 1);
    let world = Arc::new(World {
        plan: *plan,
        clients,
        stopping: AtomicBool::new(false),
        next_job: AtomicU64::new(0),
        runs: Mutex::default(),
        served: Mutex::default(),
        decisions: Mutex::default(),
        outages: Mutex::default(),
        figures: Mutex::default(),
    });
    let hosts = start_workers(&world)?;
    for number in 0..plan.dispatchers {
        write_files(&world, dir, &hosts, &addresses, &proxy, number)?;
    }
    let processes = (0..plan.dispatchers).map(|_| None).collect();
    let mut cluster = Cluster { world: Arc::clone(&world), proxy, processes, binary, dir: dir.to_path_buf() };
    for number in 0..plan.dispatchers {
        cluster.start(number)?;
    }
    let mut version = cluster.await_one_version(1)?;
    let threads = start_clients(&world);
    let result = run_changes(plan, &mut cluster, &mut version);
    world.stopping.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().map_err(|_| RigError::CheckFailed("a client panicked".into()))?;
    }
    drop(cluster);
    let timeline = result?;
    let mut figures = *lock(&world.figures);
    (figures.faults, figures.changes) = (timeline.faults, timeline.versions_requested);
    check(&world, &timeline, &mut figures);
    Ok(figures)
}

/// The requested changes, and the periods in which they were made.
struct Timeline {
    faults: u64,
    versions_requested: u64,
    /// Start and end of the period before, in which no version was changed.
    calm: (Instant, Instant),
    /// Start and end of the period in which versions were changed without faults.
    change_period: (Instant, Instant),
    /// The changes of that period: version and time of request.
    changes: Vec<(u64, Instant)>,
}

/// Changes versions, first without faults and then with a random fault each.
fn run_changes(plan: &Plan, cluster: &mut Cluster, version: &mut u64) -> Result<Timeline, RigError> {
    thread::sleep(Duration::from_millis(500));
    let calm = Instant::now();
    thread::sleep(Duration::from_secs(2));
    let change_period = Instant::now();
    let mut requested = Vec::new();
    for round in 0..6 {
        *version += if (*version + 1) % BLOCKS == UNKNOWN_BLOCK { 2 } else { 1 };
        requested.push((*version, Instant::now()));
        cluster.request_version(round % plan.dispatchers, *version)?;
        let now = cluster.await_one_version(*version)?;
        if plan.agreed && now != *version {
            return Err(RigError::CheckFailed(format!(
                "version {version} was requested, but {now} is in force"
            )));
        }
        thread::sleep(Duration::from_millis(200));
    }
    let (change_period, start) = ((change_period, Instant::now()), Instant::now());
    let calm = (calm, change_period.0);
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let (mut kinds, mut faults, first) = (Vec::new(), 0, *version);
    while start.elapsed() < Duration::from_secs(plan.seconds) {
        if kinds.is_empty() {
            kinds = (0..9).collect();
            rng.shuffle(&mut kinds);
        }
        let who = rng.usize(..plan.dispatchers);
        let fault = match kinds.pop().unwrap_or(0) {
            0 => Fault::LeaderKilled,
            1 => Fault::LeaderFrozen,
            2 => Fault::Killed(who),
            3 => Fault::Frozen(who),
            4 => Fault::Alone(who),
            5 => Fault::Split,
            6 => Fault::Lossy,
            7 => Fault::AllKilled,
            _ => Fault::None,
        };
        println!("{:6} ms {fault:?} at version {}", start.elapsed().as_millis(), *version + 1);
        faults += u64::from(fault != Fault::None);
        cluster.run_fault(fault, &mut rng, version)?;
        // A version that was requested at a process which was killed may be unknown to all others, so none is
        // awaited.
        thread::sleep(Duration::from_millis(300));
        let now = cluster.await_one_version(0)?;
        println!("{:6} ms all run {now}", start.elapsed().as_millis());
        *version = (*version).max(now);
    }
    let versions_requested = requested.len() as u64 + *version - first;
    Ok(Timeline { faults, versions_requested, calm, change_period, changes: requested })
}

/// Returns the 99th percentile; 0 for an empty list.
fn p99(mut list: Vec<u64>) -> u64 {
    list.sort_unstable();
    list.get((list.len() * 99 / 100).min(list.len().saturating_sub(1))).copied().unwrap_or(0)
}

/// Compares what clients and workers saw with the decisions that the processes logged.
fn check(world: &World, timeline: &Timeline, figures: &mut Figures) {
    let runs = lock(&world.runs);
    for (id, blocks) in runs.iter() {
        let number = id.split('-').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        figures.unsafe_ran_twice += u64::from(blocks.len() > 1 && !number.is_multiple_of(3));
        figures.mixed += u64::from(blocks.iter().any(|block| block != &blocks[0]));
    }
    let decided = lock(&world.decisions);
    let mut in_force: BTreeSet<u64> = decided.iter().map(|d| d.in_force).filter(|v| *v > 0).collect();
    let given_up: BTreeSet<u64> = decided.iter().filter_map(|d| d.given_up).collect();
    figures.committed = in_force.len() as u64;
    figures.given_up = given_up.len() as u64;
    figures.undone = in_force.intersection(&given_up).count() as u64;
    if !world.plan.agreed {
        // Each process applies every requested version by itself, so each version is in force somewhere.
        in_force = (1..=figures.changes + 1).collect();
    }
    let served = lock(&world.served);
    check_order(&served, &in_force, figures);
    check_times(&served, timeline, figures);
    let mut spans: Vec<u64> = Vec::new();
    for (version, wanted) in &timeline.changes {
        let reads = (0..world.plan.dispatchers).filter_map(|process| {
            let read = decided.iter().find(|d| d.process == process && d.in_force == *version)?;
            Some(read.at.saturating_duration_since(*wanted).as_millis() as u64)
        });
        spans.extend(reads.max());
    }
    spans.sort_unstable();
    figures.change_ms_p50 = spans.get(spans.len() / 2).copied().unwrap_or(0);
    figures.change_ms_worst = spans.last().copied().unwrap_or(0);
}

/// Counts jobs that ran under an undecided version, or under an older one than any that a client had seen
/// before they were submitted.
fn check_order(served: &[ServedJob], in_force: &BTreeSet<u64>, figures: &mut Figures) {
    let mut events: Vec<(Instant, bool, usize)> = Vec::new();
    for (at, job) in served.iter().enumerate() {
        events.push((job.sent, false, at));
        events.push((job.done, true, at));
    }
    events.sort_unstable();
    let (mut seen, mut floors) = (0, BTreeMap::new());
    for (_, done, at) in events {
        if !done {
            floors.insert(at, seen);
            continue;
        }
        let floor = floors.remove(&at).unwrap_or(0);
        let of_block = |version: &&u64| **version % BLOCKS == served[at].block;
        match in_force.range(floor..).find(of_block) {
            Some(version) => seen = seen.max(*version),
            None if in_force.iter().any(|version| of_block(&version)) => {
                println!("a job ran at block {} after version {floor} was seen", served[at].block);
                figures.old_after_new += 1;
            }
            None => figures.half_applied += 1,
        }
    }
}

/// Sets the 99th percentiles of the time that jobs took beyond their run time, with and without changes.
fn check_times(served: &[ServedJob], timeline: &Timeline, figures: &mut Figures) {
    let took = |from: Instant, to: Instant| -> Vec<u64> {
        let within = served.iter().filter(|job| job.sent >= from && job.done <= to);
        within
            .map(|job| (job.done - job.sent).as_millis() as u64)
            .map(|ms| ms.saturating_sub(JOB_MS))
            .collect()
    };
    figures.calm_ms_p99 = p99(took(timeline.calm.0, timeline.calm.1));
    figures.pause_ms_p99 = p99(took(timeline.change_period.0, timeline.change_period.1));
}
