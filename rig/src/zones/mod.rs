//! Zones that fail, with real processes of the program in each: stand-in workers, clients and discovery, a fault layer
//! between the processes, and a checker of what clients, workers and processes saw. A run is played again by its seed.

mod check;
mod stage;
mod world;

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::datagrams::{Addresses, DatagramProxy};
use crate::http::lock;
use crate::{RigError, check_invariants, io_context};
use check::check;
use stage::{Played, Stage, script, write_files};
use world::{World, Zone, client, discovery, stand, worker};

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
    ///
    /// # Errors
    /// Where a figure disproves what the experiment is to show.
    pub fn verify(&self) -> Result<(), RigError> {
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
        check_invariants(&zeros, self.jobs, self.served)
    }
}

/// Plays a plan with the real program.
///
/// # Errors
/// Where the program or a stand-in cannot be started, or the experiment disproves what it is to show.
pub fn experiment(plan: &Plan) -> Result<Figures, RigError> {
    let binary = crate::program::build()?;
    let dir = std::env::temp_dir().join(format!("micabeam-zones-{}-{}", std::process::id(), plan.seed));
    io_context("the files", std::fs::create_dir_all(&dir))?;
    let result = played(plan, binary, &dir);
    let _ = std::fs::remove_dir_all(&dir);
    result
}

fn local(listener: &TcpListener) -> Result<std::net::SocketAddr, RigError> {
    io_context("a stand-in", listener.local_addr())
}

fn listen() -> Result<TcpListener, RigError> {
    io_context("a stand-in", TcpListener::bind("127.0.0.1:0"))
}

/// Starts the workers and the discovery that the dispatchers of each zone see: through ports of their own. Gives the address
/// of each zone's discovery, and its list.
fn start_stand_ins(world: &Arc<World>) -> Result<Vec<(std::net::SocketAddr, String)>, RigError> {
    let mut lists = Vec::new();
    for from in 0..world.plan.zones {
        let mut hosts = Vec::new();
        for zone in 0..world.plan.zones {
            for number in 0..WORKERS {
                let port = listen()?;
                let dial = local(&port)?;
                hosts.push(format!(
                    r#"{{"host":"s-{zone}-{number}","dial":"{dial}","site":"z{zone}","health":"up","share":1.0,"born_ms":0}}"#
                ));
                stand(world, port, move |world, stream| worker(world, zone, number, from, stream));
            }
        }
        let list = format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, hosts.join(","));
        let port = listen()?;
        lists.push((local(&port)?, list.clone()));
        stand(world, port, move |world, stream| discovery(world, &list, stream));
    }
    Ok(lists)
}

/// Starts the clients of each process: one for each job that may be open at once, at 60 ms a job, and 2 s where it fails.
fn start_clients(world: &Arc<World>) -> Vec<thread::JoinHandle<()>> {
    let plan = &world.plan;
    let each = (plan.rate / 4).clamp(1, 16);
    let pause = Duration::from_secs_f64(each as f64 / plan.rate.max(1) as f64);
    let mut threads = Vec::new();
    for process in 0..plan.dispatchers {
        for number in 0..each {
            let (world, first) = (Arc::clone(world), pause * number as u32 / each as u32);
            threads.push(thread::spawn(move || client(&world, process, pause, first)));
        }
    }
    threads
}

/// What a process costs in calm: processor time a second, and bytes a second of all.
fn measure_calm(world: &World, stage: &Stage) -> Result<(f64, f64), RigError> {
    thread::sleep(Duration::from_secs(1));
    world.calm.store(true, Ordering::Relaxed);
    let (before, began, used) = (stage.layer.received().1, Instant::now(), stage.used()?);
    thread::sleep(Duration::from_secs(3));
    let used = (stage.used()? - used) / began.elapsed().as_secs_f64();
    world.calm.store(false, Ordering::Relaxed);
    let bytes = (stage.layer.received().1 - before) as f64 / began.elapsed().as_secs_f64();
    Ok((used, bytes))
}

fn played(plan: &Plan, binary: PathBuf, dir: &Path) -> Result<Figures, RigError> {
    let Addresses { clients, datagrams: addresses } = Addresses::find_free(plan.dispatchers, plan.seed)?;
    let layer = DatagramProxy::start(&addresses, plan.seed)?;
    layer.set_faults(|w| w.max_delay_ms = 1);
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
    let lists = start_stand_ins(&world)?;
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
    let threads = start_clients(&world);
    let (used, bytes) = measure_calm(&world, &stage)?;
    let played = play_script(plan, &mut stage)?;
    world.over.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().map_err(|_| RigError::CheckFailed("a client panicked".into()))?;
    }
    drop(stage);
    let mut figures = *lock(&world.figures);
    figures.faults = played.len() as u64;
    figures.cpu_ms_s = used * 1e3 / plan.dispatchers as f64;
    figures.bytes_s = (bytes / plan.dispatchers as f64) as u64;
    check(&world, &played, &mut figures);
    Ok(figures)
}

/// Plays the faults of the plan's seed, one after the other.
fn play_script(plan: &Plan, stage: &mut Stage) -> Result<Vec<Played>, RigError> {
    let mut draws = fastrand::Rng::with_seed(plan.seed);
    let start = Instant::now();
    let mut played = Vec::new();
    for (fault, lasts, after) in script(plan, &mut draws) {
        println!("{:6} ms {fault:?} for {lasts:?}", start.elapsed().as_millis());
        played.push(stage.play(fault, lasts)?);
        println!("{:6} ms over", start.elapsed().as_millis());
        thread::sleep(after);
    }
    Ok(played)
}
