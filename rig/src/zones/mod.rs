//! Zone failover experiment: real dispatcher processes in several zones, stand-in workers, clients and discovery, and a
//! proxy between the processes that injects network faults. A checker verifies what clients, workers and processes saw.
//! Runs with the same seed inject the same faults.

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
use stage::{Cluster, FaultRun, fault_schedule, write_files};
use world::{World, Zone, client, discovery, serve_on, worker};

/// How long a client waits for its response.
const JOB_DEADLINE: Duration = Duration::from_secs(2);
/// How long after a process logs the closing of a zone new jobs from it may still arrive there.
const DRAIN_GRACE: Duration = Duration::from_millis(2050);
/// Workers per zone.
const WORKERS_PER_ZONE: usize = 4;
/// Jobs that a worker runs at once.
const SLOTS_PER_WORKER: u32 = 8;
/// Multiple of its slots at which a worker's open jobs count as an overload.
const OVERLOAD_FACTOR: u32 = 4;
/// Extra run time of jobs under [`Fault::Crowded`], in milliseconds.
const LONG_JOB_EXTRA_MS: u64 = 200;
/// Half of the time that the fleet has to come up.
const JOIN_TIMEOUT: Duration = Duration::from_secs(8);

/// A fault of the experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The workers of a zone refuse all connections.
    ZoneDead(usize),
    /// A zone is cut off from the others but alive: nothing crosses its border, and its clients continue inside.
    ZoneCut(usize),
    /// Nothing passes from the first process to the second; the other direction works.
    OneWay(usize, usize),
    /// One process can neither send to nor receive from the others.
    Alone(usize),
    /// The leader is killed and restarted.
    LeaderKilled,
    /// The leader is suspended and resumed.
    LeaderFrozen,
    /// A zone alternately fails and works, for 2 s each.
    Flaps(usize),
    /// All workers are too slow for any job's deadline.
    AllSlow,
    /// Of a thousand datagrams 300 are lost and 50 duplicated, and all are delayed by up to 60 ms.
    Lossy,
    /// All processes are killed at once and restarted.
    AllRestarted,
    /// A network partition splits the voters into two and three.
    Split,
    /// A network partition splits the voters into two, two and one.
    SplitInThree,
    /// Jobs take so long that zones have little spare capacity, and then a zone fails.
    Crowded(usize),
}

impl Fault {
    /// Returns the fault with the given name, applied to the first zone or process.
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

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The number of dispatcher processes.
    pub dispatchers: usize,
    /// The number of zones.
    pub zones: usize,
    /// How long faults are injected, in seconds.
    pub seconds: u64,
    /// Seed of the faults and of the network delays and losses.
    pub seed: u64,
    /// Jobs per second from the clients of each dispatcher.
    pub rate: u64,
    /// Whether the dispatchers agree on zone states; if not, each decides alone, as without the `fleet` table.
    pub agreed: bool,
    /// The only fault to inject, repeatedly; if `None`, faults are chosen by seed.
    pub only: Option<Fault>,
}

/// Result figures: what clients, workers and processes saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Faults injected.
    pub faults: u64,
    /// Epochs decided.
    pub decisions: u64,
    /// How often a process logged an epoch that was not newer than its last one.
    pub epochs_back: u64,
    /// Decisions that differ from the one that was logged first for the same epoch.
    pub two_leaders_acted: u64,
    /// Longest time between the first and the last log entry of one epoch among processes that could reach the majority.
    pub disagree_ms_worst: u64,
    /// Longest time until every reachable process logged the closing of a dead zone.
    pub closed_in_ms: u64,
    /// Longest time until a process first logged that a recovered zone is open again.
    pub reopened_in_ms: u64,
    /// Missed closings of dead zones, counted per reachable process.
    pub not_closed: u64,
    /// Closings of zones that no fault explains.
    pub wrongly_closed: u64,
    /// Jobs sent.
    pub jobs: u64,
    /// Jobs served in time.
    pub served: u64,
    /// Jobs that an ideal pool would have served: all except those sent to an absent process, and those sent while no
    /// worker could finish in time. Jobs that were served in time count in any case.
    pub ideal: u64,
    /// Jobs that were rejected with a `Retry-After` time.
    pub refused: u64,
    /// Jobs without a response at a process that was killed or suspended.
    pub away: u64,
    /// Jobs with surplus bytes after a response, or with another job's response.
    pub answered_twice: u64,
    /// Jobs without a timely response that no kill or suspension explains.
    pub unanswered: u64,
    /// Jobs that must not run twice but did.
    pub unsafe_ran_twice: u64,
    /// How often a worker was overloaded.
    pub fallen: u64,
    /// Jobs that arrived in a closed zone after the drain grace of their dispatcher.
    pub late_drains: u64,
    /// Jobs served during the fault-free baseline measurement.
    pub baseline: u64,
    /// Jobs of the baseline that were served in the dispatcher's own zone.
    pub baseline_near: u64,
    /// Bytes per second that each process sent to the others during the baseline measurement.
    pub bytes_s: u64,
    /// Processor time of each process during the baseline measurement, in milliseconds per second, jobs included.
    pub cpu_ms_s: f64,
}

impl Figures {
    /// Returns the number of served jobs as a fraction of `ideal`.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.ideal.max(1) as f64
    }

    /// Returns the last line of the experiment's output.
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
            self.served_share(),
            self.refused,
            self.away,
            self.answered_twice,
            self.unanswered,
            self.unsafe_ran_twice,
            self.fallen,
            self.late_drains,
            self.baseline_near as f64 / self.baseline.max(1) as f64,
            self.bytes_s,
            self.cpu_ms_s,
        )
    }

    /// Checks that no rule was violated.
    ///
    /// # Errors
    /// If a rule was violated, or less than half of the jobs were served.
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

/// Runs the experiment with the real program.
///
/// # Errors
/// If the program or a stand-in cannot be started, or the fleet does not come up.
pub fn experiment(plan: &Plan) -> Result<Figures, RigError> {
    let binary = crate::program::build()?;
    let dir = std::env::temp_dir().join(format!("micabeam-zones-{}-{}", std::process::id(), plan.seed));
    io_context("directory of the run", std::fs::create_dir_all(&dir))?;
    let result = run(plan, binary, &dir);
    let _ = std::fs::remove_dir_all(&dir);
    result
}

fn local_address(listener: &TcpListener) -> Result<std::net::SocketAddr, RigError> {
    io_context("stand-in", listener.local_addr())
}

fn listen() -> Result<TcpListener, RigError> {
    io_context("stand-in", TcpListener::bind("127.0.0.1:0"))
}

/// Starts workers and discovery. The dispatchers of each zone reach them through separate ports, so that a stand-in knows
/// the caller's zone. Returns the address of discovery and the server list for each zone.
fn start_stand_ins(world: &Arc<World>) -> Result<Vec<(std::net::SocketAddr, String)>, RigError> {
    let mut lists = Vec::new();
    for from_zone in 0..world.plan.zones {
        let mut hosts = Vec::new();
        for zone in 0..world.plan.zones {
            for number in 0..WORKERS_PER_ZONE {
                let port = listen()?;
                let dial = local_address(&port)?;
                hosts.push(format!(
                    r#"{{"host":"s-{zone}-{number}","dial":"{dial}","site":"z{zone}","health":"up","share":1.0,"born_ms":0}}"#
                ));
                serve_on(world, port, move |world, stream| worker(world, zone, number, from_zone, stream));
            }
        }
        let list = format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, hosts.join(","));
        let port = listen()?;
        lists.push((local_address(&port)?, list.clone()));
        serve_on(world, port, move |world, stream| discovery(world, &list, stream));
    }
    Ok(lists)
}

/// Starts the clients of each process. Each has one open job at a time, which takes 60 ms, or up to 2 s if it fails.
fn start_clients(world: &Arc<World>) -> Vec<thread::JoinHandle<()>> {
    let plan = &world.plan;
    let clients_per_process = (plan.rate / 4).clamp(1, 16);
    let pause = Duration::from_secs_f64(clients_per_process as f64 / plan.rate.max(1) as f64);
    let mut threads = Vec::new();
    for process in 0..plan.dispatchers {
        for number in 0..clients_per_process {
            let (world, initial_delay) =
                (Arc::clone(world), pause * number as u32 / clients_per_process as u32);
            threads.push(thread::spawn(move || client(&world, process, pause, initial_delay)));
        }
    }
    threads
}

/// Measures the cost of all processes without faults: processor seconds per second, and bytes per second.
fn measure_baseline(world: &World, cluster: &Cluster) -> Result<(f64, f64), RigError> {
    thread::sleep(Duration::from_secs(1));
    world.baseline.store(true, Ordering::Relaxed);
    let (before, began, cpu_before) = (cluster.proxy.received().1, Instant::now(), cluster.cpu_s()?);
    thread::sleep(Duration::from_secs(3));
    let cpu_share = (cluster.cpu_s()? - cpu_before) / began.elapsed().as_secs_f64();
    world.baseline.store(false, Ordering::Relaxed);
    let bytes = (cluster.proxy.received().1 - before) as f64 / began.elapsed().as_secs_f64();
    Ok((cpu_share, bytes))
}

fn run(plan: &Plan, binary: PathBuf, dir: &Path) -> Result<Figures, RigError> {
    let Addresses { clients, datagrams: addresses } = Addresses::find_free(plan.dispatchers, plan.seed)?;
    let proxy = DatagramProxy::start(&addresses, plan.seed)?;
    proxy.set_faults(|w| w.max_delay_ms = 1);
    let world = Arc::new(World {
        plan: *plan,
        clients,
        zones: (0..plan.zones).map(|_| Zone::default()).collect(),
        stopping: AtomicBool::new(false),
        baseline: AtomicBool::new(false),
        unservable: AtomicBool::new(false),
        next_job: AtomicU64::new(0),
        run_counts: Mutex::default(),
        arrivals: Mutex::default(),
        absences: Mutex::default(),
        logged_decisions: Mutex::default(),
        figures: Mutex::default(),
        in_flight: (0..plan.zones)
            .map(|_| (0..WORKERS_PER_ZONE).map(|_| AtomicU32::new(0)).collect())
            .collect(),
    });
    let lists = start_stand_ins(&world)?;
    for number in 0..plan.dispatchers {
        write_files(&world, dir, &lists, &addresses, &proxy, number)?;
    }
    let processes = (0..plan.dispatchers).map(|_| None).collect();
    let incarnations = vec![0; plan.dispatchers];
    let mut cluster =
        Cluster { world: Arc::clone(&world), proxy, processes, incarnations, binary, dir: dir.to_path_buf() };
    for number in 0..plan.dispatchers {
        cluster.start(number)?;
    }
    if plan.agreed {
        cluster.await_joined()?;
    }
    let threads = start_clients(&world);
    let (cpu_share, bytes) = measure_baseline(&world, &cluster)?;
    let fault_runs = run_schedule(plan, &mut cluster)?;
    world.stopping.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().map_err(|_| RigError::CheckFailed("a client panicked".into()))?;
    }
    drop(cluster);
    let mut figures = *lock(&world.figures);
    figures.faults = fault_runs.len() as u64;
    figures.cpu_ms_s = cpu_share * 1e3 / plan.dispatchers as f64;
    figures.bytes_s = (bytes / plan.dispatchers as f64) as u64;
    check(&world, &fault_runs, &mut figures);
    Ok(figures)
}

/// Injects the faults of the plan's seed one after the other.
fn run_schedule(plan: &Plan, cluster: &mut Cluster) -> Result<Vec<FaultRun>, RigError> {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let start = Instant::now();
    let mut fault_runs = Vec::new();
    for (fault, duration, pause) in fault_schedule(plan, &mut rng) {
        println!("{:6} ms {fault:?} for {duration:?}", start.elapsed().as_millis());
        fault_runs.push(cluster.run_fault(fault, duration)?);
        println!("{:6} ms fault undone", start.elapsed().as_millis());
        thread::sleep(pause);
    }
    Ok(fault_runs)
}
