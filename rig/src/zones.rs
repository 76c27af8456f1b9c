//! Zones that fail, with real processes of the program in each: stand-in workers, clients and discovery, a fault layer
//! between the processes, and a checker of what clients, workers and processes saw. A run is played again by its seed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{BufRead, BufReader, Read as _, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::datagrams::Datagrams;
use crate::http::{Draws, Http, header, held, serve, status, told};
use crate::program::usage;
use crate::{RigError, proved, tried};

/// How long a client waits for its answer.
const DEADLINE: Duration = Duration::from_secs(2);
/// How long after the news of a closing new jobs may still come.
const DRAIN: Duration = Duration::from_millis(2050);
/// Workers of a zone, and jobs that each runs at once.
const WORKERS: usize = 4;
const SLOTS: u32 = 8;
/// A worker with so many times the jobs that it runs at once is pushed over.
const FALLS: u32 = 4;
/// What jobs take longer while zones are crowded, in milliseconds.
const LONG: u64 = 200;
/// How long the fleet has to come up.
const JOINS: Duration = Duration::from_secs(8);

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The servers of a zone refuse all connections.
    ZoneDead(usize),
    /// A zone is cut off, but alive: nothing passes its border, clients go on inside.
    ZoneCut(usize),
    /// Between two processes one way carries nothing.
    OneWay(usize, usize),
    /// One process is heard by none and hears none.
    Alone(usize),
    /// The leader is killed, and started again.
    LeaderKilled,
    /// The leader is frozen, and thawed.
    LeaderFrozen,
    /// A zone fails and works by turns of 2 s.
    Flaps(usize),
    /// All servers are slower than jobs may take.
    AllSlow,
    /// Of a thousand datagrams 300 are lost, 50 come twice, and all are late by up to 60 ms.
    Lossy,
    /// All processes are killed at once, and started again.
    AllRestarted,
    /// The voters are split into two and three.
    Split,
    /// The voters are split into two, two and one.
    SplitInThree,
    /// Jobs take so long that zones have little room, and then a zone dies.
    Crowded(usize),
}

impl Fault {
    /// A fault by its name, at the first zone or process.
    pub fn named(name: &str) -> Option<Fault> {
        let all = [
            Fault::ZoneDead(0),
            Fault::ZoneCut(0),
            Fault::OneWay(0, 1),
            Fault::Alone(0),
            Fault::LeaderKilled,
            Fault::LeaderFrozen,
            Fault::Flaps(0),
            Fault::AllSlow,
            Fault::Lossy,
            Fault::AllRestarted,
            Fault::Split,
            Fault::SplitInThree,
            Fault::Crowded(0),
        ];
        all.into_iter().find(|fault| format!("{fault:?}").split('(').next() == Some(name))
    }
}

/// What a run is.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Processes in all.
    pub dispatchers: usize,
    /// Zones.
    pub zones: usize,
    /// How long faults go on.
    pub seconds: u64,
    /// Decides faults and jobs.
    pub seed: u64,
    /// Jobs a second of each dispatcher's clients.
    pub rate: u64,
    /// Whether the dispatchers agree; without, each decides alone, as without a table `fleet`.
    pub agreed: bool,
    /// The one fault that is played, again and again; else they are drawn.
    pub only: Option<Fault>,
}

/// What clients, workers and processes saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Faults played.
    pub faults: u64,
    /// Epochs decided.
    pub decisions: u64,
    /// Processes whose epoch went back.
    pub epochs_back: u64,
    /// Epochs with two tables.
    pub two_leaders_acted: u64,
    /// Longest time between the first and the last process in contact that read an epoch.
    pub disagree_ms_worst: u64,
    /// Longest time until a dead zone was closed by all in contact.
    pub closed_in_ms: u64,
    /// Longest time until a zone that works again was open to all in contact.
    pub reopened_in_ms: u64,
    /// Dead zones that were not closed by all in contact.
    pub not_closed: u64,
    /// Closings of zones that nothing was wrong with.
    pub wrongly_closed: u64,
    /// Jobs sent.
    pub jobs: u64,
    /// Jobs served in time.
    pub served: u64,
    /// Jobs that a pool which sees everything would have served: all but those at a process that was away, and those
    /// sent while no server could serve in time.
    pub ideal: u64,
    /// Jobs that were turned away with a time to come back.
    pub refused: u64,
    /// Jobs without an answer at a process that was killed, frozen or gone.
    pub away: u64,
    /// Connections on which more came than the one answer.
    pub answered_twice: u64,
    /// Jobs without an answer in time that no kill or freeze explains.
    pub unanswered: u64,
    /// Jobs that may not run twice and did.
    pub unsafe_ran_twice: u64,
    /// Times that a worker was pushed over.
    pub fallen: u64,
    /// Jobs that came to a closed zone too late.
    pub late_drains: u64,
    /// Jobs served in calm time, and those of them by the near zone.
    pub calm: u64,
    /// The latter.
    pub near: u64,
    /// Bytes a second that each process sent to others in calm time.
    pub bytes_s: u64,
    /// Processor time of each process in calm time, in milliseconds a second, with the jobs that it carries.
    pub cpu_ms_s: f64,
}

impl Figures {
    /// The share of the ideal that was served.
    pub fn share(&self) -> f64 {
        self.served as f64 / self.ideal.max(1) as f64
    }

    /// The last line of the experiment.
    pub fn line(&self) -> String {
        format!(
            "faults={} decisions={} epochs_back={} two_leaders_acted={} disagree_ms_worst={} closed_in_ms={} \
             reopened_in_ms={} not_closed={} wrongly_closed={} jobs={} served={} served_share={:.3} refused={} away={} \
             answered_twice={} unanswered={} unsafe_ran_twice={} fallen={} late_drains={} near_share={:.4} bytes_s={} cpu_ms_s={:.1}",
            self.faults,
            self.decisions,
            self.epochs_back,
            self.two_leaders_acted,
            self.disagree_ms_worst,
            self.closed_in_ms,
            self.reopened_in_ms,
            self.not_closed,
            self.wrongly_closed,
            self.jobs,
            self.served,
            self.share(),
            self.refused,
            self.away,
            self.answered_twice,
            self.unanswered,
            self.unsafe_ran_twice,
            self.fallen,
            self.late_drains,
            self.near as f64 / self.calm.max(1) as f64,
            self.bytes_s,
            self.cpu_ms_s,
        )
    }

    /// Whether the proof holds.
    pub fn proves(&self) -> Result<(), RigError> {
        let zeros = [
            ("epochs_back", self.epochs_back),
            ("two_leaders_acted", self.two_leaders_acted),
            ("not_closed", self.not_closed),
            ("wrongly_closed", self.wrongly_closed),
            ("answered_twice", self.answered_twice),
            ("unanswered", self.unanswered),
            ("unsafe_ran_twice", self.unsafe_ran_twice),
            ("fallen", self.fallen),
            ("late_drains", self.late_drains),
        ];
        proved(&zeros, self.jobs, self.served)
    }
}

/// How a zone's servers behave now.
#[derive(Default)]
struct Zone {
    dead: AtomicBool,
    slow: AtomicBool,
    /// Jobs take longer.
    long: AtomicBool,
    /// Zones that nothing passes to or from.
    cut: Mutex<BTreeSet<usize>>,
}

/// A time of a process that a run explains by a fault.
#[derive(Clone, Copy, Debug)]
struct Away {
    process: usize,
    from: Instant,
    until: Option<Instant>,
}

/// A job that came to a worker.
struct Arrival {
    process: usize,
    zone: usize,
    at: Instant,
}

/// A decision as a process logged it.
#[derive(Clone, Debug)]
struct Read {
    process: usize,
    life: u32,
    at: Instant,
    epoch: u64,
    states: String,
}

/// All that the stand-ins share.
struct World {
    plan: Plan,
    clients: Vec<SocketAddr>,
    zones: Vec<Zone>,
    over: AtomicBool,
    calm: AtomicBool,
    /// No server can serve in time.
    hopeless: AtomicBool,
    next: AtomicU64,
    runs: Mutex<HashMap<String, u32>>,
    arrivals: Mutex<Vec<Arrival>>,
    away: Mutex<Vec<Away>>,
    reads: Mutex<Vec<Read>>,
    figures: Mutex<Figures>,
    /// Jobs in each worker, by zone.
    inside: Vec<Vec<AtomicU32>>,
}

impl World {
    fn home(&self, process: usize) -> usize {
        process * self.plan.zones / self.plan.dispatchers
    }

    /// Whether nothing passes between two zones.
    fn parted(&self, one: usize, other: usize) -> bool {
        one != other && held(&self.zones[one].cut).contains(&other)
    }

    /// Whether a process was away at some time between two.
    fn was_away(&self, process: usize, from: Instant, until: Instant) -> bool {
        let slack = Duration::from_secs(1);
        held(&self.away).iter().any(|a| {
            a.process == process && a.from <= until && a.until.is_none_or(|back| back + slack >= from)
        })
    }
}

/// Has a stand-in serve a listener.
fn stand(
    world: &Arc<World>,
    listener: TcpListener,
    each: impl Fn(&Arc<World>, TcpStream) + Send + Sync + 'static,
) {
    let (world, over) = (Arc::clone(world), Arc::clone(world));
    serve(listener, move || over.over.load(Ordering::Relaxed), move |stream| each(&world, stream));
}

/// A worker's door for dispatchers of one zone.
fn worker(world: &Arc<World>, zone: usize, number: usize, from: usize, stream: TcpStream) {
    let refuse = |stream: &TcpStream| drop(stream.shutdown(Shutdown::Both));
    if world.zones[zone].dead.load(Ordering::Relaxed) {
        return refuse(&stream);
    }
    let Ok(mut http) = Http::over(stream, Duration::from_secs(120)) else { return };
    while let Ok((head, _)) = http.read() {
        if world.zones[zone].dead.load(Ordering::Relaxed) {
            return refuse(http.0.get_ref());
        }
        // Nothing passes the border: the connection hangs until it is open again, and what was sent is lost.
        if world.parted(zone, from) {
            while world.parted(zone, from) && !world.over.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
            }
            return refuse(http.0.get_ref());
        }
        let Some(id) = header(&head, "req-id").map(String::from) else {
            let _ = http.write("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
            continue;
        };
        let process = id.split('-').next().and_then(|p| p.parse().ok()).unwrap_or(0);
        held(&world.arrivals).push(Arrival { process, zone, at: Instant::now() });
        *held(&world.runs).entry(id.clone()).or_default() += 1;
        let inside = world.inside[zone][number].fetch_add(1, Ordering::Relaxed) + 1;
        if inside == SLOTS * FALLS {
            held(&world.figures).fallen += 1;
        }
        let taken = http.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").is_ok();
        let world = Arc::clone(world);
        thread::spawn(move || {
            let mut draws = Draws(id.bytes().fold(7, |sum, b| sum * 31 + u64::from(b)));
            let waits = u64::from(inside / SLOTS) * 40;
            let slow = if world.zones[zone].slow.load(Ordering::Relaxed) { 3000 } else { 0 };
            let long = if world.zones[zone].long.load(Ordering::Relaxed) { LONG } else { 0 };
            thread::sleep(Duration::from_millis(20 + draws.below(40) + waits + slow + long));
            world.inside[zone][number].fetch_sub(1, Ordering::Relaxed);
            if taken && !world.zones[zone].dead.load(Ordering::Relaxed) {
                call_back(&world, zone, number, process, &id);
            }
        });
    }
}

/// Tells the job's process of its end until it is heard, ten times at most.
fn call_back(world: &World, zone: usize, number: usize, process: usize, id: &str) {
    let (from, result) = (format!("s-{zone}-{number}"), format!("{zone} {id}"));
    for _ in 0..10 {
        let passes = !world.parted(zone, world.home(process));
        if passes && told(world.clients[process], Duration::from_secs(1), id, &from, "done", &result) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Discovery of one zone's dispatchers: a list that does not change.
fn discovery(world: &Arc<World>, list: &str, stream: TcpStream) {
    let Ok(mut http) = Http::over(stream, Duration::from_secs(120)) else { return };
    while let Ok((head, _)) = http.read() {
        let target = head.split(' ').nth(1).unwrap_or("");
        let of =
            |name: &str| target.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok());
        if of("since=").is_some_and(|since| since >= 1) {
            let end = Instant::now() + Duration::from_millis(of("timeout_ms=").unwrap_or(0).min(20_000));
            while Instant::now() < end && !world.over.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(50));
            }
        }
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        if http.write(&answer).is_err() {
            return;
        }
    }
}

/// A client of one process: a job at a time, at a pace.
fn client(world: &Arc<World>, process: usize, pause: Duration, first: Duration) {
    thread::sleep(first);
    let mut conn: Option<Http> = None;
    while !world.over.load(Ordering::Relaxed) {
        let began = Instant::now();
        let number = world.next.fetch_add(1, Ordering::Relaxed);
        // One in three may run again.
        let class = if number.is_multiple_of(3) { "search" } else { "confirm" };
        let id = format!("{process}-{number}");
        let text = format!(
            "POST /{class}/x HTTP/1.1\r\nHost: d\r\nReq-Id: {id}\r\nReq-Deadline: {}m\r\nContent-Length: 3\r\n\r\njob",
            DEADLINE.as_millis()
        );
        let calm = world.calm.load(Ordering::Relaxed);
        let hopeless = world.hopeless.load(Ordering::Relaxed);
        let kept = conn.is_some();
        let mut advised = false;
        let got = conn
            .take()
            .map_or_else(|| Http::connect(world.clients[process], DEADLINE * 2), Ok)
            .and_then(|mut http| {
                if kept && !http.0.buffer().is_empty() {
                    held(&world.figures).answered_twice += 1;
                }
                http.write(&text)?;
                let (head, body) = http.read()?;
                advised = header(&head, "retry-after").is_some();
                let closes = header(&head, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                conn = (!closes).then_some(http);
                Ok((status(&head), body))
            });
        let took = began.elapsed();
        let away = world.was_away(process, began, Instant::now());
        let mut got_it = false;
        let mut figures = held(&world.figures);
        figures.jobs += 1;
        match got {
            Ok((200, body)) => {
                let (zone, served) = body.split_once(' ').unwrap_or(("", ""));
                if served != id {
                    figures.answered_twice += 1;
                } else if took <= DEADLINE {
                    got_it = true;
                    figures.served += 1;
                    if calm && world.calm.load(Ordering::Relaxed) {
                        figures.calm += 1;
                        figures.near += u64::from(zone.parse() == Ok(world.home(process)));
                    }
                }
            }
            Ok((_, _)) => figures.refused += u64::from(advised),
            Err(_) if away => figures.away += 1,
            // A kept connection that closed as the request was written: nobody has read it.
            Err(_) if kept && !held(&world.runs).contains_key(&id) => figures.jobs -= 1,
            Err(e) => {
                println!("{id}: no answer after {took:?}: {e}");
                figures.unanswered += 1;
            }
        }
        if took > DEADLINE + Duration::from_millis(500) && !away {
            println!("{id}: answered after {took:?}");
            figures.unanswered += 1;
        }
        let hopeless = hopeless || world.hopeless.load(Ordering::Relaxed);
        figures.ideal += u64::from(got_it || !away && !hopeless);
        drop(figures);
        thread::sleep(pause.saturating_sub(began.elapsed()));
    }
}

/// A process of the program.
struct Process {
    child: Child,
    console: SocketAddr,
}

impl Process {
    fn start(
        world: &Arc<World>,
        binary: &Path,
        dir: &Path,
        number: usize,
        life: u32,
    ) -> Result<Process, RigError> {
        let mut command = Command::new(binary);
        for variable in ["LB_LISTEN", "LB_DISCOVERY", "LB_NAME", "LB_CONSOLE"] {
            command.env_remove(variable);
        }
        command.env("LB_CONFIG", dir.join(format!("{number}.json"))).env("TMPDIR", dir);
        if world.plan.agreed {
            command.arg("--operator").arg(dir.join(format!("{number}.toml")));
        }
        let mut child = tried("the program", command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn())?;
        let mut out = BufReader::new(child.stdout.take().ok_or(RigError::Program("no output".into()))?);
        let mut console = None;
        for _ in 0..2 {
            let mut line = String::new();
            tried("its output", out.read_line(&mut line))?;
            if line.contains("console at") {
                console = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
            }
        }
        let log = child.stderr.take().ok_or(RigError::Program("no log".into()))?;
        let world = Arc::clone(world);
        thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                let at = Instant::now();
                if !line.contains("zones decided") {
                    if line.starts_with("micabeam:") && !line.contains("stopping") {
                        println!("process {number}: {line}");
                    }
                    continue;
                }
                let of = |name: &str| {
                    let rest = line.split_once(&format!("{name}="))?.1;
                    Some(rest.strip_prefix('"').map_or_else(
                        || rest.split(' ').next().unwrap_or(""),
                        |quoted| quoted.split('"').next().unwrap_or(""),
                    ))
                };
                if let (Some(epoch), Some(states)) = (of("epoch").and_then(|e| e.parse().ok()), of("states"))
                {
                    let states = states.to_string();
                    held(&world.reads).push(Read { process: number, life, at, epoch, states });
                }
            }
        });
        console
            .map(|console| Process { child, console })
            .ok_or(RigError::Program("it does not listen".into()))
    }

    fn signal(&self, name: &str) -> Result<(), RigError> {
        let line = format!("kill -{name} {}", self.child.id());
        tried("kill", Command::new("/bin/sh").args(["-c", &line]).status()).map(drop)
    }

    /// A figure of its console.
    fn figure(&self, name: &str) -> Option<f64> {
        let mut stream = TcpStream::connect_timeout(&self.console, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
        stream.write_all(b"telemetry\n").ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The configuration of a process, and its operator's file.
fn write_files(
    world: &World,
    dir: &Path,
    lists: &[(SocketAddr, String)],
    addresses: &[SocketAddr],
    layer: &Datagrams,
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
    tried("the configuration", std::fs::write(dir.join(format!("{number}.json")), config))?;
    let voters = if plan.dispatchers >= 5 { 5 } else { 3 };
    let mut file = format!(
        "[fleet]\ncluster = \"rig\"\nname = \"n{number}\"\nstate = \"{}\"\nzones = [{}]\nslots = {SLOTS}\n",
        dir.join(format!("{number}.votes")).display(),
        names.join(", "),
    );
    for member in 0..plan.dispatchers {
        let address = if member == number { addresses[number] } else { layer.door(number, member) };
        // Voters in all zones.
        let voter = (0..voters).any(|v| v * plan.dispatchers / voters == member);
        file += &format!(
            "[[fleet.member]]\nname = \"n{member}\"\naddress = \"{address}\"\nzone = \"z{}\"\nvoter = {voter}\n",
            world.home(member)
        );
    }
    tried("the operator's file", std::fs::write(dir.join(format!("{number}.toml")), file))
}

/// A fault that was played, as the checker needs it.
#[derive(Clone, Copy, Debug)]
struct Played {
    fault: Fault,
    from: Instant,
    until: Instant,
}

/// The run's processes and what is between them.
struct Stage {
    world: Arc<World>,
    layer: Datagrams,
    processes: Vec<Option<Process>>,
    lives: Vec<u32>,
    binary: PathBuf,
    dir: PathBuf,
}

impl Stage {
    fn start(&mut self, number: usize) -> Result<(), RigError> {
        self.lives[number] += 1;
        let process = Process::start(&self.world, &self.binary, &self.dir, number, self.lives[number])?;
        self.processes[number] = Some(process);
        for away in held(&self.world.away).iter_mut().filter(|a| a.process == number) {
            away.until.get_or_insert_with(Instant::now);
        }
        Ok(())
    }

    fn gone(&self, number: usize) {
        held(&self.world.away).push(Away { process: number, from: Instant::now(), until: None });
    }

    /// Processor time of all, in seconds.
    fn used(&self) -> Result<f64, RigError> {
        let each = self.processes.iter().flatten().map(|p| usage(p.child.id()));
        each.map(|used| used.map(|used| used.cpu_s)).sum()
    }

    fn leader(&self) -> usize {
        let leads = |p: &Option<Process>| p.as_ref().is_some_and(|p| p.figure("lb_fleet_leads") == Some(1.0));
        self.processes.iter().position(leads).unwrap_or(0)
    }

    /// Cuts a zone's border, or opens it: datagrams, connections and call-backs.
    fn border(&self, zone: usize, cut: bool) {
        let world = &self.world;
        for other in (0..world.plan.zones).filter(|other| *other != zone) {
            for (one, two) in [(zone, other), (other, zone)] {
                let mut parted = held(&world.zones[one].cut);
                if cut {
                    parted.insert(two)
                } else {
                    parted.remove(&two)
                };
            }
        }
        let count = world.plan.dispatchers;
        self.layer.change(|weather| {
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
    fn play(&mut self, fault: Fault, lasts: Duration) -> Result<Played, RigError> {
        let from = Instant::now();
        let world = Arc::clone(&self.world);
        let dead = |zone: usize, on| world.zones[zone].dead.store(on, Ordering::Relaxed);
        let count = world.plan.dispatchers;
        match fault {
            Fault::ZoneDead(zone) => {
                dead(zone, true);
                thread::sleep(lasts);
                dead(zone, false);
            }
            Fault::ZoneCut(zone) => {
                self.border(zone, true);
                thread::sleep(lasts);
                self.border(zone, false);
            }
            Fault::OneWay(a, b) => {
                self.layer.change(|w| {
                    w.cut.insert((a, b));
                });
                thread::sleep(lasts);
                self.layer.change(|w| w.cut.clear());
            }
            Fault::Alone(a) => {
                self.layer.change(|w| w.cut.extend((0..count).flat_map(|b| [(a, b), (b, a)])));
                thread::sleep(lasts);
                self.layer.change(|w| w.cut.clear());
            }
            Fault::Split => {
                let few = |a: usize| a * 5 < count * 2;
                let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
                self.layer.change(|w| w.cut.extend(pairs.filter(|(a, b)| few(*a) != few(*b))));
                thread::sleep(lasts);
                self.layer.change(|w| w.cut.clear());
            }
            Fault::SplitInThree => {
                // Voters are spread evenly: the first two, the next two, and the last.
                let part = |a: usize| ((a * 5 + 4) / count) / 2;
                let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
                self.layer.change(|w| w.cut.extend(pairs.filter(|(a, b)| part(*a) != part(*b))));
                thread::sleep(lasts);
                self.layer.change(|w| w.cut.clear());
            }
            Fault::LeaderKilled => {
                let leader = self.leader();
                self.gone(leader);
                self.processes[leader] = None;
                thread::sleep(lasts);
                self.start(leader)?;
            }
            Fault::LeaderFrozen => {
                let leader = self.leader();
                self.gone(leader);
                if let Some(process) = &self.processes[leader] {
                    process.signal("STOP")?;
                    thread::sleep(lasts);
                    process.signal("CONT")?;
                }
                let now = Instant::now();
                held(&world.away).iter_mut().filter(|a| a.until.is_none()).for_each(|a| a.until = Some(now));
            }
            Fault::Flaps(zone) => {
                let end = from + lasts;
                let mut on = false;
                while Instant::now() < end {
                    on = !on;
                    dead(zone, on);
                    thread::sleep(Duration::from_secs(2));
                }
                dead(zone, false);
            }
            Fault::AllSlow => {
                world.hopeless.store(true, Ordering::Relaxed);
                world.zones.iter().for_each(|z| z.slow.store(true, Ordering::Relaxed));
                thread::sleep(lasts);
                world.zones.iter().for_each(|z| z.slow.store(false, Ordering::Relaxed));
                world.hopeless.store(false, Ordering::Relaxed);
            }
            Fault::Crowded(zone) => {
                world.zones.iter().for_each(|z| z.long.store(true, Ordering::Relaxed));
                thread::sleep(lasts);
                dead(zone, true);
                thread::sleep(lasts);
                dead(zone, false);
                world.zones.iter().for_each(|z| z.long.store(false, Ordering::Relaxed));
            }
            Fault::Lossy => {
                self.layer.change(|w| (w.lost, w.doubled, w.delay_ms) = (300, 50, 60));
                thread::sleep(lasts);
                self.layer.change(|w| (w.lost, w.doubled, w.delay_ms) = (0, 0, 1));
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

    /// Waits until each process follows a leader and knows all the others.
    fn joined(&self) -> Result<(), RigError> {
        let end = Instant::now() + JOINS * 2;
        let all = self.world.plan.dispatchers as f64;
        loop {
            let ready = self.processes.iter().flatten().all(|p| {
                p.figure("lb_fleet_members_up") == Some(all) && p.figure("lb_fleet_standing") == Some(0.0)
            });
            if ready {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(RigError::Disproved("the fleet does not come up".into()));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// The faults of a seed, each with how long it lasts and how long is left after it.
fn script(plan: &Plan, draws: &mut Draws) -> Vec<(Fault, Duration, Duration)> {
    let mut left = plan.seconds * 1000;
    let mut list = Vec::new();
    let mut kinds: Vec<u64> = Vec::new();
    while left >= 4000 {
        if kinds.is_empty() {
            kinds = (0..12).collect();
        }
        let kind = kinds.swap_remove(draws.below(kinds.len() as u64) as usize);
        let zone = draws.below(plan.zones as u64) as usize;
        let one = draws.below(plan.dispatchers as u64) as usize;
        let other = (one + 1 + draws.below(plan.dispatchers as u64 - 1) as usize) % plan.dispatchers;
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
            _ => 4000 + draws.below(2000),
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

/// Plays a plan with the real program.
pub fn experiment(plan: &Plan) -> Result<Figures, RigError> {
    let binary = crate::program::build()?;
    let dir = std::env::temp_dir().join(format!("micabeam-zones-{}-{}", std::process::id(), plan.seed));
    tried("the files", std::fs::create_dir_all(&dir))?;
    let result = played(plan, binary, &dir);
    let _ = std::fs::remove_dir_all(&dir);
    result
}

fn played(plan: &Plan, binary: PathBuf, dir: &Path) -> Result<Figures, RigError> {
    let listen = || tried("a stand-in", TcpListener::bind("127.0.0.1:0"));
    let local = |l: &TcpListener| tried("a stand-in", l.local_addr());
    // Addresses that were free a moment ago, for the processes to take: on a host address of this run's own, lest others
    // take them meanwhile.
    let pid = std::process::id();
    let host = [127, 100 + (pid >> 8) as u8 % 100, pid as u8, plan.seed as u8];
    let own = SocketAddr::from((host, 0));
    let free: Vec<TcpListener> = (0..plan.dispatchers)
        .map(|_| tried("a stand-in", TcpListener::bind(own)))
        .collect::<Result<_, _>>()?;
    let clients: Vec<SocketAddr> = free.iter().map(local).collect::<Result<_, _>>()?;
    let udp: Vec<UdpSocket> =
        (0..plan.dispatchers).map(|_| tried("a stand-in", UdpSocket::bind(own))).collect::<Result<_, _>>()?;
    let addresses: Vec<SocketAddr> =
        udp.iter().map(|s| tried("a stand-in", s.local_addr())).collect::<Result<_, _>>()?;
    let layer = Datagrams::start(&addresses, plan.seed)?;
    layer.change(|w| w.delay_ms = 1);
    drop((free, udp));
    let world = Arc::new(World {
        plan: *plan,
        clients,
        zones: (0..plan.zones).map(|_| Zone::default()).collect(),
        over: AtomicBool::new(false),
        calm: AtomicBool::new(false),
        hopeless: AtomicBool::new(false),
        next: AtomicU64::new(0),
        runs: Mutex::default(),
        arrivals: Mutex::default(),
        away: Mutex::default(),
        reads: Mutex::default(),
        figures: Mutex::default(),
        inside: (0..plan.zones).map(|_| (0..WORKERS).map(|_| AtomicU32::new(0)).collect()).collect(),
    });
    // Each zone's dispatchers see the workers through doors of their own.
    let mut lists = Vec::new();
    for from in 0..plan.zones {
        let mut hosts = Vec::new();
        for zone in 0..plan.zones {
            for number in 0..WORKERS {
                let door = listen()?;
                let dial = local(&door)?;
                hosts.push(format!(
                    r#"{{"host":"s-{zone}-{number}","dial":"{dial}","site":"z{zone}","health":"up","share":1.0,"born_ms":0}}"#
                ));
                stand(&world, door, move |world, stream| worker(world, zone, number, from, stream));
            }
        }
        let list = format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, hosts.join(","));
        let door = listen()?;
        lists.push((local(&door)?, list.clone()));
        stand(&world, door, move |world, stream| discovery(world, &list, stream));
    }
    for number in 0..plan.dispatchers {
        write_files(&world, dir, &lists, &addresses, &layer, number)?;
    }
    let processes = (0..plan.dispatchers).map(|_| None).collect();
    let lives = vec![0; plan.dispatchers];
    let mut stage =
        Stage { world: Arc::clone(&world), layer, processes, lives, binary, dir: dir.to_path_buf() };
    for number in 0..plan.dispatchers {
        stage.start(number)?;
    }
    if plan.agreed {
        stage.joined()?;
    }
    // One client a job that may be open at once: at 60 ms a job, and 2 s where it fails.
    let each = (plan.rate / 4).clamp(1, 16);
    let pause = Duration::from_secs_f64(each as f64 / plan.rate.max(1) as f64);
    let mut threads = Vec::new();
    for process in 0..plan.dispatchers {
        for number in 0..each {
            let (world, first) = (Arc::clone(&world), pause * number as u32 / each as u32);
            threads.push(thread::spawn(move || client(&world, process, pause, first)));
        }
    }
    thread::sleep(Duration::from_secs(1));
    world.calm.store(true, Ordering::Relaxed);
    let (before, began, used) = (stage.layer.passed().1, Instant::now(), stage.used()?);
    thread::sleep(Duration::from_secs(3));
    let used = (stage.used()? - used) / began.elapsed().as_secs_f64();
    world.calm.store(false, Ordering::Relaxed);
    let bytes = (stage.layer.passed().1 - before) as f64 / began.elapsed().as_secs_f64();
    let mut draws = Draws(plan.seed);
    let start = Instant::now();
    let mut played = Vec::new();
    for (fault, lasts, after) in script(plan, &mut draws) {
        println!("{:6} ms {fault:?} for {lasts:?}", start.elapsed().as_millis());
        played.push(stage.play(fault, lasts)?);
        println!("{:6} ms over", start.elapsed().as_millis());
        thread::sleep(after);
    }
    world.over.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().map_err(|_| RigError::Disproved("a client panicked".into()))?;
    }
    drop(stage);
    let mut figures = *held(&world.figures);
    figures.faults = played.len() as u64;
    figures.cpu_ms_s = used * 1e3 / plan.dispatchers as f64;
    figures.bytes_s = (bytes / plan.dispatchers as f64) as u64;
    check(&world, &played, &mut figures);
    Ok(figures)
}

/// A zone's state in a line of states.
fn state(states: &str, zone: usize) -> &str {
    let name = format!("z{zone}=");
    states.split(' ').find_map(|word| word.strip_prefix(name.as_str())).unwrap_or("")
}

/// Reads the processes' logs and the workers' arrivals.
fn check(world: &World, played: &[Played], figures: &mut Figures) {
    let number = |id: &str| id.split('-').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    let runs = held(&world.runs);
    figures.unsafe_ran_twice =
        runs.iter().filter(|(id, runs)| **runs > 1 && !number(id).is_multiple_of(3)).count() as u64;
    let mut reads = held(&world.reads).clone();
    reads.sort_by_key(|read| read.at);
    let mut newest: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    let mut tables: BTreeMap<u64, (String, Instant)> = BTreeMap::new();
    for read in &reads {
        let known = newest.insert((read.process, read.life), read.epoch).unwrap_or(0);
        figures.epochs_back += u64::from(read.epoch <= known);
        let (states, first) = tables.entry(read.epoch).or_insert_with(|| (read.states.clone(), read.at));
        figures.two_leaders_acted += u64::from(*states != read.states);
        // A process that was away, or in a part without a majority, reads it when it is back.
        let out_of_reach = |p: &Played| {
            matches!(
                p.fault,
                Fault::ZoneCut(_)
                    | Fault::Alone(_)
                    | Fault::Split
                    | Fault::SplitInThree
                    | Fault::AllRestarted
                    | Fault::LeaderKilled
            ) && read.at >= p.from
                && *first <= p.until + Duration::from_secs(2)
        };
        if !played.iter().any(out_of_reach) && !world.was_away(read.process, *first, read.at) {
            let late = read.at.duration_since(*first).as_millis() as u64;
            figures.disagree_ms_worst = figures.disagree_ms_worst.max(late);
        }
    }
    figures.decisions = tables.len() as u64;
    if !world.plan.agreed {
        return;
    }
    for zone in 0..world.plan.zones {
        let closed = |read: &Read| state(&read.states, zone).starts_with("closed");
        let to_blame = |at: Instant| {
            played.iter().any(|p| {
                let of = match p.fault {
                    Fault::ZoneDead(z) | Fault::ZoneCut(z) | Fault::Flaps(z) | Fault::Crowded(z) => z == zone,
                    // The zones of those that the majority does not hear are cut off as well.
                    Fault::Split | Fault::SplitInThree | Fault::AllRestarted => true,
                    _ => false,
                };
                of && at >= p.from && at <= p.until + Duration::from_secs(4)
            })
        };
        let mut before = false;
        for (epoch, (states, at)) in &tables {
            let now = state(states, zone).starts_with("closed");
            if now && !before && !to_blame(*at) {
                println!("epoch {epoch} closes z{zone}, which nothing was wrong with: {states}");
                figures.wrongly_closed += 1;
            }
            before = now;
        }
        for p in played.iter().filter(|p| p.fault == Fault::ZoneDead(zone)) {
            let alone = |process: usize| world.was_away(process, p.from, p.until);
            let mut worst = 0;
            for process in (0..world.plan.dispatchers).filter(|process| !alone(*process)) {
                let first = reads.iter().find(|r| r.process == process && r.at >= p.from && closed(r));
                match first.filter(|read| read.at <= p.until + Duration::from_secs(1)) {
                    Some(read) => worst = worst.max(read.at.duration_since(p.from).as_millis() as u64),
                    None => figures.not_closed += 1,
                }
            }
            figures.closed_in_ms = figures.closed_in_ms.max(worst);
            let open = |r: &&Read| r.at > p.until && state(&r.states, zone).starts_with("open");
            if let Some(read) = reads.iter().find(open) {
                let took = read.at.duration_since(p.until).as_millis() as u64;
                figures.reopened_in_ms = figures.reopened_in_ms.max(took);
            }
        }
        // What a process sent to a zone while it knew that it is closed.
        for process in 0..world.plan.dispatchers {
            let own: Vec<&Read> = reads.iter().filter(|r| r.process == process).collect();
            for (at, read) in own.iter().enumerate().filter(|(_, read)| closed(read)) {
                let until = own.get(at + 1).filter(|next| !closed(next)).map(|next| next.at);
                let known =
                    own[..at].iter().rposition(|r| !closed(r)).map_or(own[0].at, |open| own[open + 1].at);
                let next = own.get(at + 1).map(|next| next.at);
                let since = read.at.max(known + DRAIN);
                let late = held(&world.arrivals)
                    .iter()
                    .filter(|a| a.process == process && a.zone == zone && a.at > since)
                    .filter(|a| next.or(until).is_none_or(|next| a.at < next))
                    .filter(|a| !world.was_away(process, read.at, a.at))
                    .count();
                figures.late_drains += late as u64;
            }
        }
    }
}
