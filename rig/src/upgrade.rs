//! Experiment `upgrade`: a new process of the program takes over from a running one at the same address,
//! again and again under load, with faults during the handover that a seed decides. Clients, workers and
//! discovery are stand-ins; the checks use what clients and workers saw.

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

/// Deadline of a job.
const JOB_DEADLINE: Duration = Duration::from_secs(4);
/// How long after discovery reports that a worker drains it may still get new jobs.
const DRAIN_GRACE: Duration = Duration::from_millis(2050);
/// How long a process may use its list before it must confirm it with discovery: `askWithin` of its settings.
const LIST_CONFIRM_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a process is stopped with SIGSTOP.
const FREEZE_TIME: Duration = Duration::from_secs(1);
/// Number of stand-in workers.
const WORKERS: usize = 4;

/// The fault of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The new process is killed before it reports that it is ready.
    NewDiesBefore,
    /// The new process is killed after it has reported that it is ready.
    NewDiesAfter,
    /// The old process is killed while it shuts down.
    OldKilled,
    /// The old process is stopped with SIGSTOP for a second while it shuts down.
    OldFrozen,
    /// A third process is started while both run, and takes over from them.
    Third,
    /// The handover note of the old process is truncated.
    Torn,
    /// The new process cannot write a handover note.
    NoRoom,
    /// The disk is full: the new process cannot write its handover note, nor the old one its warm state.
    Full,
    /// Both processes are terminated at once, and another is started when they have exited.
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

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of upgrades, one after the other.
    pub rounds: usize,
    /// Jobs per second of all clients.
    pub rate: u64,
    /// Seed that decides faults and jobs.
    pub seed: u64,
}

/// Results of a run, from what clients and workers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Number of upgrades.
    pub rounds: usize,
    /// Jobs that were submitted; those that no process read in any attempt are left out.
    pub jobs: u64,
    /// Jobs that were served.
    pub served: u64,
    /// Responses with the body of another job, and connections with more bytes than the one response.
    pub answered_twice: u64,
    /// Jobs that got no response although no process was killed meanwhile, and jobs that were answered too
    /// late.
    pub unanswered: u64,
    /// Jobs that got no response because a process was killed.
    pub killed: u64,
    /// Jobs that ran twice although they may run only once.
    pub unsafe_ran_twice: u64,
    /// Connection attempts that were refused or reset although a process was running.
    pub refused_at_seam: u64,
    /// Connection attempts that failed after both processes were terminated.
    pub nobody_there: u64,
    /// Call-backs that reached one process and were forwarded to the other.
    pub callbacks_other: u64,
    /// Jobs that reached a draining worker later than `DRAIN_GRACE` allows.
    pub late_drains: u64,
}

impl Figures {
    /// Returns the last line of the experiment.
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

    /// Checks that no job was answered twice, left unanswered or run twice although it must not be, that no
    /// draining worker got late jobs, and that at least half of the jobs were served.
    ///
    /// # Errors
    /// Returns [`RigError::CheckFailed`] if one of them does not hold.
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

/// State that the stand-ins share.
struct World {
    address: SocketAddr,
    worker_addresses: Vec<SocketAddr>,
    stopping: AtomicBool,
    /// Set while both processes were terminated and no other is ready yet.
    all_terminated: AtomicBool,
    /// Number of runs of each job, by job id.
    runs: Mutex<HashMap<String, u32>>,
    /// Times at which a process was killed.
    killed_at: Mutex<Vec<Instant>>,
    /// Times at which a process was stopped for `FREEZE_TIME`.
    frozen_at: Mutex<Vec<Instant>>,
    /// Version of the list, and the draining worker with the time at which it began to drain.
    list: Mutex<(u64, Option<(usize, Instant)>)>,
    /// Start time of a process that was started without a predecessor and has not read the list from
    /// discovery yet.
    list_unread_since: Mutex<Option<Instant>>,
    figures: Mutex<Figures>,
    next_job: AtomicU64,
}

/// Serves a listener with a stand-in, on a thread for each connection.
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

/// A stand-in worker: accepts each job, runs it for 20 to 300 ms, and posts call-backs until they are
/// accepted.
fn worker(world: &Arc<World>, number: usize, mut http: Http) {
    while let Ok((head, _)) = http.read() {
        let began = Instant::now();
        let Some(id) = header(&head, "req-id").map(String::from) else {
            let _ = http.write("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
            continue;
        };
        let draining = lock(&world.list).1.filter(|d| d.0 == number);
        // A process that started without a predecessor knows only the list of its configuration, so it cannot
        // know of a drain until it has asked discovery.
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

/// Posts a call-back, each time on a new connection, until it is accepted, at most ten times.
fn call_back(world: &World, number: usize, id: &str, state: &str) {
    for _ in 0..10 {
        if post_job_event(world.address, Duration::from_secs(2), id, &format!("s-{number}"), state, id) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// The stand-in discovery: serves the list, and holds a watch (`since`) until the list changes or the watch
/// times out.
fn discovery(world: &Arc<World>, _: usize, mut http: Http) {
    while let Ok((head, _)) = http.read() {
        let target = head.split(' ').nth(1).unwrap_or("").to_string();
        let query_number =
            |name: &str| target.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok());
        let end =
            Instant::now() + Duration::from_millis(query_number("timeout_ms=").unwrap_or(0).min(20_000));
        while query_number("since=").is_some_and(|since| since >= lock(&world.list).0) && Instant::now() < end
        {
            thread::sleep(Duration::from_millis(2));
        }
        let (version, draining) = *lock(&world.list);
        let line = |(n, dial): (usize, &SocketAddr)| {
            let health = if draining.is_some_and(|d| d.0 == n) { "draining" } else { "up" };
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

/// Whether a process was killed at or after `began`.
fn was_killed_since(world: &World, began: Instant) -> bool {
    lock(&world.killed_at).iter().any(|k| *k >= began)
}

/// Outcome of a job, as its client saw it.
struct Submission {
    /// Status of the response and whether its body was the job's; `None` without a response.
    response: Option<(u16, bool)>,
    /// Whether the connection broke when a process may have read the job already.
    connection_lost: bool,
    /// Start of the last attempt. The job's deadline is relative, so it counts from the attempt that reaches
    /// a process.
    sent: Instant,
    /// Whether all processes were terminated during one of the attempts.
    saw_all_terminated: bool,
}

/// A client: submits jobs one after the other, with a pause before each.
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

/// Submits a job in up to three attempts: again on a new connection if a kept-alive one was closed between
/// requests, or if no connection could be opened.
fn submit(world: &World, conn: &mut Option<Http>, id: &str, text: &str, began: Instant) -> Submission {
    let mut submission =
        Submission { response: None, connection_lost: false, sent: began, saw_all_terminated: false };
    for _ in 0..3 {
        submission.sent = Instant::now();
        let reused = conn.is_some();
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
        if reused && !http.0.buffer().is_empty() {
            lock(&world.figures).answered_twice += 1;
        }
        match http.write(text).and_then(|()| http.read()) {
            Ok((head, body)) => {
                let closes = header(&head, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                submission.response = Some((status(&head), body == id));
                *conn = (!closes).then_some(http);
                break;
            }
            // The connection was closed or reset before a process read the request, so it is safe to send it
            // again.
            Err(e)
                if e.kind() != std::io::ErrorKind::WouldBlock
                    && !lock(&world.runs).contains_key(id)
                    && !was_killed_since(world, began) =>
            {
                let count = u64::from(!reused);
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

/// Adds the outcome of a job to the figures.
fn count_submission(world: &World, id: &str, began: Instant, submission: &Submission) {
    let &Submission { response, connection_lost, sent, saw_all_terminated } = submission;
    let mut figures = lock(&world.figures);
    // No process has read the job in any attempt, and all were terminated meanwhile: it doesn't count as
    // submitted.
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
    // A job that arrives at a stopped process waits until that is resumed, and its deadline starts then.
    let was_frozen = lock(&world.frozen_at).iter().any(|f| *f + FREEZE_TIME >= sent);
    let max =
        JOB_DEADLINE + Duration::from_millis(500) + if was_frozen { FREEZE_TIME } else { Duration::ZERO };
    if response.is_some() && sent.elapsed() > max {
        println!("{id}: answered after {:?}", sent.elapsed());
        figures.unanswered += 1;
    }
}

/// Starts a process. With `full_disk_note`, the path of its handover note, writing the note fails as on a
/// full disk: a shell links the note's temporary file, whose name ends in the process id, to `/dev/full`, and
/// then becomes the program.
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

/// Waits until a process exits, and kills it after 3.7 s as the platform would. Returns the number of
/// call-backs that it forwarded.
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

/// Damages the handover note of the old process (`Torn`), or keeps the new one from writing its own
/// (`NoRoom`).
fn break_notes(notes: &Path, fault: Fault) -> Result<(), RigError> {
    for entry in io_context("directory of the handover notes", std::fs::read_dir(notes))?.flatten() {
        let path = entry.path();
        if path.extension().is_none_or(|e| e != "handover") {
            continue;
        }
        match fault {
            Fault::Torn => io_context("handover note", std::fs::write(&path, "micabeam-handover 1 pid="))?,
            // A file cannot be renamed over a directory that is not empty.
            Fault::NoRoom => {
                let _ = std::fs::remove_file(&path);
                io_context("handover note", std::fs::create_dir_all(path.join("full")))?;
            }
            _ => {}
        }
    }
    Ok(())
}

/// Runs one upgrade: starts a process beside the serving one, and terminates that one. Returns the process
/// that serves afterwards.
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

/// The stand-ins of a run, and the paths that its processes are started with.
struct Testbed {
    world: Arc<World>,
    binary: PathBuf,
    notes: PathBuf,
    config: PathBuf,
    /// Path of the handover note of the processes.
    note: PathBuf,
}

impl Testbed {
    /// Builds the program, writes its configuration, and starts the stand-ins.
    fn start(plan: &Plan) -> Result<Testbed, RigError> {
        let binary = crate::program::build()?;
        let notes: PathBuf =
            std::env::temp_dir().join(format!("micabeam-upgrade-{}-{}", std::process::id(), plan.seed));
        io_context("directory of the handover notes", std::fs::create_dir_all(&notes))?;
        let listen = || io_context("stand-in", TcpListener::bind("127.0.0.1:0"));
        let workers = (0..WORKERS).map(|_| listen()).collect::<Result<Vec<_>, _>>()?;
        let lists = listen()?;
        let pid = std::process::id();
        // An address of this run, at which no other test on this machine listens.
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

    /// Starts a process of the program, as on a full disk if `full`.
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

    /// Publishes a new version of the list, in which one random worker drains, or none.
    fn change_list(&self, rng: &mut fastrand::Rng) {
        let mut list = lock(&self.world.list);
        let worker = rng.u64(..WORKERS as u64 + 1) as usize;
        *list = (list.0 + 1, (worker < WORKERS).then(|| (worker, Instant::now())));
    }

    /// Runs one upgrade with a fault. Returns the process that serves afterwards.
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

    /// Removes what kept processes from writing their files: directories and links to `/dev/full`.
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

    /// Returns the figures at the end of a run.
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

/// Runs the experiment with the real program.
///
/// # Errors
/// Returns an error if the program or a stand-in cannot be started, or a process does not become ready.
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
