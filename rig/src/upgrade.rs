//! Upgrades under load: pairs of real processes at one address, with stand-in clients, booking workers and discovery,
//! and faults at the seam by seed. What is judged is what clients and workers saw.

use std::collections::HashMap;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Http, header, lock, post_job_event, serve, status};
use crate::process::Process;
use crate::{RigError, check_invariants, io_context};

/// How long a client waits for its answer.
const JOB_DEADLINE: Duration = Duration::from_secs(4);
/// How long after the news of a drain new jobs may still come.
const DRAIN_GRACE: Duration = Duration::from_millis(2050);
/// How long a process may serve by the list that it has before it asks, as its settings say.
const LIST_CONFIRM_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a process is frozen.
const FREEZE_TIME: Duration = Duration::from_secs(1);
/// Booking workers.
const WORKERS: usize = 4;

/// What goes wrong in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The new process is killed before it says yes.
    NewDiesBefore,
    /// The new process is killed after its yes.
    NewDiesAfter,
    /// The old process is killed during its end.
    OldKilled,
    /// The old process is frozen for a second in the middle of its end.
    OldFrozen,
    /// A third process is started while both are there.
    Third,
    /// The note of the old process is torn.
    Torn,
    /// A note cannot be left.
    NoRoom,
    /// The disk is full: neither the new one's note nor the old one's memory can be written.
    Full,
    /// Both are terminated at once, and another is started when they have ended.
    Both,
}

const FAULTS: [Fault; 10] = [
    Fault::None,
    Fault::NewDiesBefore,
    Fault::NewDiesAfter,
    Fault::OldKilled,
    Fault::OldFrozen,
    Fault::Third,
    Fault::Torn,
    Fault::NoRoom,
    Fault::Full,
    Fault::Both,
];

/// What a run is.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Upgrades, one after the other.
    pub rounds: usize,
    /// Jobs a second.
    pub rate: u64,
    /// Decides faults and jobs.
    pub seed: u64,
}

/// What clients and workers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Upgrades played.
    pub rounds: usize,
    /// Jobs whose clients wrote them whole.
    pub jobs: u64,
    /// Jobs that were served.
    pub served: u64,
    /// Connections on which more came than the one answer.
    pub answered_twice: u64,
    /// Jobs without an answer that no kill of a process explains.
    pub unanswered: u64,
    /// Jobs without an answer at a kill.
    pub killed: u64,
    /// Jobs that may not run twice and did.
    pub unsafe_ran_twice: u64,
    /// Jobs that met a refused or reset connection while a process was there.
    pub refused_at_seam: u64,
    /// Connections refused after both processes were terminated.
    pub nobody_there: u64,
    /// Call-backs that reached one process and were taken by the other.
    pub callbacks_other: u64,
    /// Jobs that came to a draining worker too late.
    pub late_drains: u64,
}

impl Figures {
    /// The last line of the experiment.
    pub fn line(&self) -> String {
        format!(
            "rounds={} jobs={} served={} answered_twice={} unanswered={} killed={} unsafe_ran_twice={} \
             refused_at_seam={} nobody_there={} callbacks_other={} late_drains={}",
            self.rounds,
            self.jobs,
            self.served,
            self.answered_twice,
            self.unanswered,
            self.killed,
            self.unsafe_ran_twice,
            self.refused_at_seam,
            self.nobody_there,
            self.callbacks_other,
            self.late_drains
        )
    }

    /// Whether the proof holds.
    ///
    /// # Errors
    /// Where a figure disproves what the experiment is to show.
    pub fn verify(&self) -> Result<(), RigError> {
        let zeros = [
            ("answered_twice", self.answered_twice),
            ("unanswered", self.unanswered),
            ("unsafe_ran_twice", self.unsafe_ran_twice),
            ("late_drains", self.late_drains),
        ];
        check_invariants(&zeros, self.jobs, self.served)
    }
}

/// All that the stand-ins share.
struct World {
    address: SocketAddr,
    worker_addresses: Vec<SocketAddr>,
    stopping: AtomicBool,
    /// Both processes were terminated, and no other serves yet.
    all_terminated: AtomicBool,
    /// Runs of each job.
    runs: Mutex<HashMap<String, u32>>,
    /// When a process was killed.
    killed_at: Mutex<Vec<Instant>>,
    /// When a process was frozen for a second.
    frozen_at: Mutex<Vec<Instant>>,
    /// The version of the list, and which worker drains since when.
    list: Mutex<(u64, Option<(usize, Instant)>)>,
    /// A process was started with none beside it, and has not read the list yet: since when.
    list_unread_since: Mutex<Option<Instant>>,
    figures: Mutex<Figures>,
    next_job: AtomicU64,
}

/// Has a stand-in serve a listener.
fn serve_stand_in(
    world: &Arc<World>,
    listener: TcpListener,
    handle: fn(&Arc<World>, usize, Http),
    number: usize,
) {
    let (world, shared) = (Arc::clone(world), Arc::clone(world));
    serve(
        listener,
        move || shared.stopping.load(Ordering::Relaxed),
        move |stream| {
            if let Ok(http) = Http::from_stream(stream, Duration::from_secs(120)) {
                handle(&world, number, http);
            }
        },
    );
}

/// A booking worker: takes each job, runs it for 20 to 300 ms, and calls back until it is heard.
fn worker(world: &Arc<World>, number: usize, mut http: Http) {
    while let Ok((head, _)) = http.read() {
        let began = Instant::now();
        let Some(id) = header(&head, "req-id").map(String::from) else {
            let _ = http.write("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
            continue;
        };
        let draining = lock(&world.list).1.filter(|d| d.0 == number);
        // One that has nobody to hear of a drain from is held to the list of its configuration until it has asked.
        let list_unread =
            lock(&world.list_unread_since).is_some_and(|since| began < since + LIST_CONFIRM_TIMEOUT);
        if !list_unread && draining.is_some_and(|(_, since)| began > since + DRAIN_GRACE) {
            lock(&world.figures).late_drains += 1;
        }
        *lock(&world.runs).entry(id.clone()).or_default() += 1;
        if http.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").is_err() {
            return;
        }
        let world = Arc::clone(world);
        thread::spawn(move || {
            let mut rng = fastrand::Rng::with_seed(id.bytes().fold(7, |sum, b| sum * 31 + u64::from(b)));
            call_back(&world, number, &id, "started");
            thread::sleep(Duration::from_millis(20 + rng.u64(..280)));
            call_back(&world, number, &id, "done");
        });
    }
}

/// Calls back on a new connection until the call is answered, ten times at most.
fn call_back(world: &World, number: usize, id: &str, state: &str) {
    for _ in 0..10 {
        if post_job_event(world.address, Duration::from_secs(2), id, &format!("s-{number}"), state, id) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Discovery: the list, and a watch of its changes.
fn discovery(world: &Arc<World>, _: usize, mut http: Http) {
    while let Ok((head, _)) = http.read() {
        let target = head.split(' ').nth(1).unwrap_or("").to_string();
        let of =
            |name: &str| target.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok());
        let end = Instant::now() + Duration::from_millis(of("timeout_ms=").unwrap_or(0).min(20_000));
        while of("since=").is_some_and(|since| since >= lock(&world.list).0) && Instant::now() < end {
            thread::sleep(Duration::from_millis(2));
        }
        let (version, drains) = *lock(&world.list);
        let line = |(n, dial): (usize, &SocketAddr)| {
            let health = if drains.is_some_and(|d| d.0 == n) { "draining" } else { "up" };
            format!(r#"{{"host":"s-{n}","dial":"{dial}","health":"{health}","share":1.0,"born_ms":0}}"#)
        };
        let hosts: Vec<String> = world.worker_addresses.iter().enumerate().map(line).collect();
        let body = format!(r#"{{"seq":{version},"whole":true,"hosts":[{}]}}"#, hosts.join(","));
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if http.write(&response).is_err() {
            return;
        }
        *lock(&world.list_unread_since) = None;
    }
}

/// Whether a process was killed since then.
fn was_killed_since(world: &World, began: Instant) -> bool {
    lock(&world.killed_at).iter().any(|k| *k >= began)
}

/// How a job went for its client.
struct Submission {
    /// The status and whether the body was right; none without an answer.
    response: Option<(u16, bool)>,
    /// The connection broke where something may have read the job.
    connection_lost: bool,
    /// When the last try began: the deadline that a process reads counts from the try that reaches it.
    sent: Instant,
    /// Nobody was there at some time of its tries.
    saw_all_terminated: bool,
}

/// A client: submits jobs at a pace and waits for each answer.
fn client(world: &Arc<World>, pause: Duration) {
    let mut conn: Option<Http> = None;
    while !world.stopping.load(Ordering::Relaxed) {
        thread::sleep(pause);
        let number = world.next_job.fetch_add(1, Ordering::Relaxed);
        let (id, class) = (format!("j{number}"), if number.is_multiple_of(3) { "search" } else { "confirm" });
        let text = format!(
            "POST /{class}/x HTTP/1.1\r\nHost: d\r\nReq-Id: {id}\r\nReq-Deadline: {}m\r\nContent-Length: 3\r\n\r\njob",
            JOB_DEADLINE.as_millis()
        );
        let began = Instant::now();
        let submission = submit(world, &mut conn, &id, &text, began);
        count_submission(world, &id, began, &submission);
    }
}

/// Submits a job. A kept connection may have been closed between requests: the job goes once more on a new one.
fn submit(world: &World, conn: &mut Option<Http>, id: &str, text: &str, began: Instant) -> Submission {
    let mut submission =
        Submission { response: None, connection_lost: false, sent: began, saw_all_terminated: false };
    for _ in 0..3 {
        submission.sent = Instant::now();
        let kept = conn.is_some();
        let all_terminated = world.all_terminated.load(Ordering::Relaxed);
        submission.saw_all_terminated |= all_terminated;
        let Some(mut http) = conn.take().or_else(|| Http::connect(world.address, JOB_DEADLINE * 2).ok())
        else {
            let mut figures = lock(&world.figures);
            let all_terminated = all_terminated || world.all_terminated.load(Ordering::Relaxed);
            submission.saw_all_terminated |= all_terminated;
            *(if all_terminated { &mut figures.nobody_there } else { &mut figures.refused_at_seam }) += 1;
            drop(figures);
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        if kept && !http.0.buffer().is_empty() {
            lock(&world.figures).answered_twice += 1;
        }
        match http.write(text).and_then(|()| http.read()) {
            Ok((head, body)) => {
                let closes = header(&head, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                submission.response = Some((status(&head), body == id));
                *conn = (!closes).then_some(http);
                break;
            }
            // A close or reset that crossed a request which nobody has read.
            Err(e)
                if e.kind() != std::io::ErrorKind::WouldBlock
                    && !lock(&world.runs).contains_key(id)
                    && !was_killed_since(world, began) =>
            {
                let count = u64::from(!kept);
                let mut figures = lock(&world.figures);
                *(if all_terminated { &mut figures.nobody_there } else { &mut figures.refused_at_seam }) +=
                    count;
            }
            Err(e) => {
                submission.connection_lost = true;
                if !was_killed_since(world, began) {
                    println!("{id}: no response after {:?}: {e}", began.elapsed());
                }
                break;
            }
        }
    }
    submission
}

/// Counts what became of a job.
fn count_submission(world: &World, id: &str, began: Instant, submission: &Submission) {
    let &Submission { response, connection_lost, sent, saw_all_terminated } = submission;
    let mut figures = lock(&world.figures);
    // Each try found nobody, or a close that crossed it, while both processes were gone: it was never handed in.
    if response.is_none() && !connection_lost && saw_all_terminated {
        return;
    }
    figures.jobs += 1;
    match response {
        Some((200, true)) => figures.served += 1,
        Some((200, false)) => figures.answered_twice += 1,
        Some(_) => {}
        None if was_killed_since(world, began) => figures.killed += 1,
        None => {
            println!("{id}: no response in three attempts over {:?}", began.elapsed());
            figures.unanswered += 1;
        }
    }
    // What comes to a frozen process waits for its thaw, and has its time from then on.
    let was_frozen = lock(&world.frozen_at).iter().any(|f| *f + FREEZE_TIME >= sent);
    let max =
        JOB_DEADLINE + Duration::from_millis(500) + if was_frozen { FREEZE_TIME } else { Duration::ZERO };
    if response.is_some() && sent.elapsed() > max {
        println!("{id}: answered after {:?}", sent.elapsed());
        figures.unanswered += 1;
    }
}

/// Starts a process. On a full disk what it writes its note to has no room: the shell that becomes it knows its id.
fn start_process(
    binary: &Path,
    config: &Path,
    notes: &Path,
    full_disk_note: Option<&Path>,
) -> Result<Process, RigError> {
    let mut command = Command::new(full_disk_note.map_or(binary, |_| Path::new("/bin/sh")));
    if let Some(note) = full_disk_note {
        command.args(["-c", r#"ln -s /dev/full "$0.$$" && exec "$1""#]).arg(note).arg(binary);
    }
    command.env("LB_CONFIG", config).env("TMPDIR", notes);
    Process::start(command)
}

/// Waits for a process's end, at a kill after the time that the platform gives; how many call-backs it passed on.
fn await_exit(mut process: Process, world: &World) -> Result<u64, RigError> {
    let end = Instant::now() + Duration::from_millis(3700);
    while !process.has_exited()? {
        if Instant::now() > end {
            lock(&world.killed_at).push(Instant::now());
            process.kill();
        }
        thread::sleep(Duration::from_millis(5));
    }
    let mut text = String::new();
    if let Some(mut log) = process.take_log() {
        io_context("log of the program", log.read_to_string(&mut text))?;
    }
    let passed_on = text.lines().find_map(|l| l.strip_prefix("passed_on ")?.parse().ok());
    Ok(passed_on.unwrap_or(0))
}

fn kill(process: Process, world: &World) {
    lock(&world.killed_at).push(Instant::now());
    drop(process);
}

fn config(world: &World, discovery: SocketAddr) -> String {
    let class = |name: &str, semantics: &str| {
        format!(r#"{{"name":"{name}","aim":2000000,"hardLimit":4000000,"semantics":"{semantics}"}}"#)
    };
    let hosts = world.worker_addresses.iter().enumerate().map(|(n, dial)| {
        format!(r#"{{"host":"s-{n}","dial":"{dial}","health":"up","share":1.0,"born_ms":0}}"#)
    });
    let hosts: Vec<String> = hosts.collect();
    format!(
        r#"{{"name":"n0","listen":"{}","console":"127.0.0.1:0","discovery":"{discovery}","seed":"5eed",
        "limits":{{"sockets":512}},"known":{{"seq":1,"whole":true,"hosts":[{}]}},
        "settings":{{"balancers":1,"myNumber":0,"quantum":1000,"membershipMode":"subscribe",
        "grades":[{},{}],"caps":{{"sendCap":5,"mayCancel":true,"connIdle":15000000,"connectTimeout":250000,
        "maxRetryAfter":2000000}},"familyInfo":{{"tellsStart":true}},"report":{{"how":"off","fields":[]}},
        "rules":{{"coldFrom":0.1,"cold":20000000,"tipMultiple":2.5,"askWithin":4000000}}}}}}"#,
        world.address,
        hosts.join(","),
        class("search", "retryable"),
        class("confirm", "fragile"),
    )
}

/// Damages what the old process has left for the new one, or keeps the new one from leaving anything.
fn break_notes(notes: &Path, fault: Fault) -> Result<(), RigError> {
    for entry in io_context("directory of the handover notes", std::fs::read_dir(notes))?.flatten() {
        let path = entry.path();
        if path.extension().is_none_or(|e| e != "handover") {
            continue;
        }
        match fault {
            Fault::Torn => io_context("handover note", std::fs::write(&path, "micabeam-handover 1 pid="))?,
            // A directory in its place cannot be replaced by a file.
            Fault::NoRoom => {
                let _ = std::fs::remove_file(&path);
                io_context("handover note", std::fs::create_dir_all(path.join("full")))?;
            }
            _ => {}
        }
    }
    Ok(())
}

/// One upgrade: starts a process beside the one that serves, and ends that one. Gives the one that serves then.
fn run_upgrade(
    world: &World,
    old: Process,
    fault: Fault,
    start: &dyn Fn(bool) -> Result<Process, RigError>,
) -> Result<Process, RigError> {
    let new = start(fault == Fault::Full)?;
    if fault == Fault::NewDiesBefore {
        kill(new, world);
        return Ok(old);
    }
    new.await_ready()?;
    if fault == Fault::NewDiesAfter {
        kill(new, world);
        return Ok(old);
    }
    let new = if fault == Fault::Third {
        let third = start(false)?;
        third.await_ready()?;
        new.signal("TERM")?;
        let passed_on = await_exit(new, world)?;
        lock(&world.figures).callbacks_other += passed_on;
        third
    } else {
        new
    };
    old.signal("TERM")?;
    match fault {
        Fault::Both => {
            new.signal("TERM")?;
            world.all_terminated.store(true, Ordering::Relaxed);
            let passed_on = await_exit(old, world)? + await_exit(new, world)?;
            lock(&world.figures).callbacks_other += passed_on;
            let next = start(false)?;
            *lock(&world.list_unread_since) = Some(Instant::now());
            next.await_ready()?;
            world.all_terminated.store(false, Ordering::Relaxed);
            return Ok(next);
        }
        Fault::OldKilled => {
            thread::sleep(Duration::from_millis(200));
            kill(old, world);
            return Ok(new);
        }
        Fault::OldFrozen => {
            thread::sleep(Duration::from_millis(100));
            old.signal("STOP")?;
            lock(&world.frozen_at).push(Instant::now());
            thread::sleep(FREEZE_TIME);
            old.signal("CONT")?;
        }
        _ => {}
    }
    let passed_on = await_exit(old, world)?;
    lock(&world.figures).callbacks_other += passed_on;
    Ok(new)
}

/// The stand-ins of a run, and the file that its processes are started with.
struct Testbed {
    world: Arc<World>,
    binary: PathBuf,
    notes: PathBuf,
    config: PathBuf,
    /// The handover note of the processes.
    note: PathBuf,
}

impl Testbed {
    /// Starts the stand-ins.
    fn start(plan: &Plan) -> Result<Testbed, RigError> {
        let binary = crate::program::build()?;
        let notes: PathBuf =
            std::env::temp_dir().join(format!("micabeam-upgrade-{}-{}", std::process::id(), plan.seed));
        io_context("directory of the handover notes", std::fs::create_dir_all(&notes))?;
        let listen = || io_context("stand-in", TcpListener::bind("127.0.0.1:0"));
        let workers = (0..WORKERS).map(|_| listen()).collect::<Result<Vec<_>, _>>()?;
        let lists = listen()?;
        let pid = std::process::id();
        // An address that nothing else of this machine's tests listens at.
        let address =
            SocketAddr::from(([127, 201 + (pid >> 8) as u8 % 50, pid as u8, plan.seed as u8], 8081));
        let local = |l: &TcpListener| io_context("stand-in", l.local_addr());
        let world = Arc::new(World {
            address,
            worker_addresses: workers.iter().map(local).collect::<Result<_, _>>()?,
            stopping: AtomicBool::new(false),
            all_terminated: AtomicBool::new(false),
            runs: Mutex::default(),
            killed_at: Mutex::default(),
            frozen_at: Mutex::default(),
            list: Mutex::new((1, None)),
            list_unread_since: Mutex::default(),
            figures: Mutex::default(),
            next_job: AtomicU64::new(0),
        });
        let file = notes.join("config.json");
        io_context("write the configuration", std::fs::write(&file, config(&world, local(&lists)?)))?;
        workers.into_iter().enumerate().for_each(|(n, l)| serve_stand_in(&world, l, worker, n));
        serve_stand_in(&world, lists, discovery, 0);
        let note = micabeam::frontend::handover::note_path(&notes, address);
        Ok(Testbed { world, binary, notes, config: file, note })
    }

    /// Starts a process of the program, on a full disk or not.
    fn start_process(&self, full: bool) -> Result<Process, RigError> {
        start_process(&self.binary, &self.config, &self.notes, full.then_some(self.note.as_path()))
    }

    /// Starts the clients.
    fn start_clients(&self, plan: &Plan) -> Vec<thread::JoinHandle<()>> {
        let clients = (plan.rate / 4).clamp(1, 64);
        let pause = Duration::from_secs_f64(clients as f64 / plan.rate.max(1) as f64);
        let start = |_| {
            let world = Arc::clone(&self.world);
            thread::spawn(move || client(&world, pause))
        };
        (0..clients).map(start).collect()
    }

    /// Drains another worker, or none.
    fn change_list(&self, rng: &mut fastrand::Rng) {
        let mut list = lock(&self.world.list);
        let drains = rng.u64(..WORKERS as u64 + 1) as usize;
        *list = (list.0 + 1, (drains < WORKERS).then(|| (drains, Instant::now())));
    }

    /// Plays one upgrade with a fault. Gives the process that serves then.
    fn run_round(
        &self,
        serving: Process,
        fault: Fault,
        rng: &mut fastrand::Rng,
    ) -> Result<Process, RigError> {
        self.change_list(rng);
        break_notes(&self.notes, fault)?;
        if fault == Fault::Full {
            let memory = self.note.with_extension(format!("memory.{}", serving.id()));
            io_context("link to /dev/full", std::os::unix::fs::symlink("/dev/full", memory))?;
        }
        thread::sleep(Duration::from_millis(rng.u64(..300)));
        let serving = run_upgrade(&self.world, serving, fault, &|full| self.start_process(full))?;
        if matches!(fault, Fault::NoRoom | Fault::Full) {
            self.clear_note_faults()?;
        }
        Ok(serving)
    }

    /// Takes away what kept processes from leaving anything.
    fn clear_note_faults(&self) -> Result<(), RigError> {
        for entry in io_context("directory of the handover notes", std::fs::read_dir(&self.notes))?.flatten()
        {
            let _ = std::fs::remove_dir_all(entry.path().join("full"));
            let _ = std::fs::remove_dir(entry.path());
            if entry.file_type().is_ok_and(|kind| kind.is_symlink()) {
                let _ = std::fs::remove_file(entry.path());
            }
        }
        Ok(())
    }

    /// The figures of a run that is over.
    fn figures(&self, plan: &Plan) -> Figures {
        let number = |id: &str| id[1..].parse::<u64>().unwrap_or(0);
        let runs = lock(&self.world.runs);
        let twice =
            runs.iter().filter(|(id, runs)| **runs > 1 && !number(id).is_multiple_of(3)).count() as u64;
        drop(runs);
        let mut figures = *lock(&self.world.figures);
        (figures.rounds, figures.unsafe_ran_twice) = (plan.rounds, twice);
        figures
    }
}

/// Plays a plan with the real program.
///
/// # Errors
/// Where the program or a stand-in cannot be started, or ends by itself.
pub fn experiment(plan: &Plan) -> Result<Figures, RigError> {
    let testbed = Testbed::start(plan)?;
    let mut serving = testbed.start_process(false)?;
    serving.await_ready()?;
    let clients = testbed.start_clients(plan);
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    for number in 0..plan.rounds {
        let fault = FAULTS[rng.u64(..FAULTS.len() as u64) as usize];
        println!("round {number}: {fault:?}");
        serving = testbed.run_round(serving, fault, &mut rng)?;
    }
    testbed.world.stopping.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| RigError::CheckFailed("a client panicked".into()))?;
    }
    serving.signal("TERM")?;
    let passed_on = await_exit(serving, &testbed.world)?;
    let _ = std::fs::remove_dir_all(&testbed.notes);
    let mut figures = testbed.figures(plan);
    figures.callbacks_other += passed_on;
    Ok(figures)
}
