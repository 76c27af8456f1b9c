//! The stand-ins around the processes: workers, discovery and clients of each zone, and the records of what they saw.

use std::collections::{BTreeSet, HashMap};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{Figures, JOB_DEADLINE, LONG_JOB_EXTRA_MS, OVERLOAD_FACTOR, Plan, SLOTS_PER_WORKER};
use crate::http::{Http, JobResponse, header, lock, post_job_event, serve, submit_job};

/// Current behaviour of a zone's workers.
#[derive(Default)]
pub(super) struct Zone {
    /// Workers refuse all connections.
    pub(super) dead: AtomicBool,
    /// Jobs take longer than their deadlines.
    pub(super) slow: AtomicBool,
    /// Jobs take [`LONG_JOB_EXTRA_MS`] longer.
    pub(super) long_jobs: AtomicBool,
    /// Zones from and to which nothing passes.
    pub(super) cut: Mutex<BTreeSet<usize>>,
}

/// A time span in which a fault made a process unavailable.
#[derive(Clone, Copy, Debug)]
pub(super) struct Absence {
    pub(super) process: usize,
    pub(super) from: Instant,
    pub(super) until: Option<Instant>,
}

/// Arrival of a job at a worker.
pub(super) struct Arrival {
    pub(super) process: usize,
    pub(super) zone: usize,
    pub(super) at: Instant,
}

/// A zone decision as a process logged it.
#[derive(Clone, Debug)]
pub(super) struct LoggedDecision {
    pub(super) process: usize,
    pub(super) incarnation: u32,
    pub(super) at: Instant,
    pub(super) epoch: u64,
    pub(super) states: String,
}

/// State shared by the stand-ins.
pub(super) struct World {
    pub(super) plan: Plan,
    pub(super) clients: Vec<SocketAddr>,
    pub(super) zones: Vec<Zone>,
    pub(super) stopping: AtomicBool,
    /// The fault-free baseline is being measured.
    pub(super) baseline: AtomicBool,
    /// No worker can finish a job in time.
    pub(super) unservable: AtomicBool,
    pub(super) next_job: AtomicU64,
    pub(super) run_counts: Mutex<HashMap<String, u32>>,
    pub(super) arrivals: Mutex<Vec<Arrival>>,
    pub(super) absences: Mutex<Vec<Absence>>,
    pub(super) logged_decisions: Mutex<Vec<LoggedDecision>>,
    pub(super) figures: Mutex<Figures>,
    /// The number of open jobs of each worker, by zone.
    pub(super) in_flight: Vec<Vec<AtomicU32>>,
}

impl World {
    pub(super) fn home_zone(&self, process: usize) -> usize {
        process * self.plan.zones / self.plan.dispatchers
    }

    /// Whether two zones are cut off from each other.
    pub(super) fn is_cut(&self, one: usize, other: usize) -> bool {
        one != other && lock(&self.zones[one].cut).contains(&other)
    }

    /// Whether a process was absent at any time in a span, or came back less than a second before it.
    pub(super) fn was_absent(&self, process: usize, from: Instant, until: Instant) -> bool {
        let slack = Duration::from_secs(1);
        lock(&self.absences).iter().any(|a| {
            a.process == process && a.from <= until && a.until.is_none_or(|back| back + slack >= from)
        })
    }
}

/// Serves each connection of a listener with `handle` until the run ends.
pub(super) fn serve_on(
    world: &Arc<World>,
    listener: TcpListener,
    handle: impl Fn(&Arc<World>, TcpStream) + Send + Sync + 'static,
) {
    let (world, run) = (Arc::clone(world), Arc::clone(world));
    serve(listener, move || run.stopping.load(Ordering::Relaxed), move |stream| handle(&world, stream));
}

/// Serves a connection to a worker from a dispatcher in `from_zone`.
pub(super) fn worker(world: &Arc<World>, zone: usize, number: usize, from_zone: usize, stream: TcpStream) {
    let refuse = |stream: &TcpStream| drop(stream.shutdown(Shutdown::Both));
    if world.zones[zone].dead.load(Ordering::Relaxed) {
        return refuse(&stream);
    }
    let Ok(mut http) = Http::from_stream(stream, Duration::from_secs(120)) else { return };
    while let Ok((head, _)) = http.read() {
        if world.zones[zone].dead.load(Ordering::Relaxed) {
            return refuse(http.0.get_ref());
        }
        // Nothing crosses the border: the connection hangs until the cut is healed, and what was sent is lost.
        if world.is_cut(zone, from_zone) {
            while world.is_cut(zone, from_zone) && !world.stopping.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
            }
            return refuse(http.0.get_ref());
        }
        let Some(id) = header(&head, "req-id").map(String::from) else {
            let _ = http.write("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
            continue;
        };
        let process = id.split('-').next().and_then(|p| p.parse().ok()).unwrap_or(0);
        lock(&world.arrivals).push(Arrival { process, zone, at: Instant::now() });
        *lock(&world.run_counts).entry(id.clone()).or_default() += 1;
        let in_flight = world.in_flight[zone][number].fetch_add(1, Ordering::Relaxed) + 1;
        if in_flight == SLOTS_PER_WORKER * OVERLOAD_FACTOR {
            lock(&world.figures).fallen += 1;
        }
        let accepted = http.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").is_ok();
        let world = Arc::clone(world);
        thread::spawn(move || {
            let mut rng = fastrand::Rng::with_seed(id.bytes().fold(7, |sum, b| sum * 31 + u64::from(b)));
            let queue_ms = u64::from(in_flight / SLOTS_PER_WORKER) * 40;
            let slow = if world.zones[zone].slow.load(Ordering::Relaxed) { 3000 } else { 0 };
            let long =
                if world.zones[zone].long_jobs.load(Ordering::Relaxed) { LONG_JOB_EXTRA_MS } else { 0 };
            thread::sleep(Duration::from_millis(20 + rng.u64(..40) + queue_ms + slow + long));
            world.in_flight[zone][number].fetch_sub(1, Ordering::Relaxed);
            if accepted && !world.zones[zone].dead.load(Ordering::Relaxed) {
                call_back(&world, zone, number, process, &id);
            }
        });
    }
}

/// Sends the job's call-back to its process until it is accepted, at most ten times.
pub(super) fn call_back(world: &World, zone: usize, number: usize, process: usize, id: &str) {
    let (from, result) = (format!("s-{zone}-{number}"), format!("{zone} {id}"));
    for _ in 0..10 {
        let passes = !world.is_cut(zone, world.home_zone(process));
        if passes
            && post_job_event(world.clients[process], Duration::from_secs(1), id, &from, "done", &result)
        {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Serves discovery calls from the dispatchers of one zone with a list that does not change.
pub(super) fn discovery(world: &Arc<World>, list: &str, stream: TcpStream) {
    let Ok(mut http) = Http::from_stream(stream, Duration::from_secs(120)) else { return };
    while let Ok((head, _)) = http.read() {
        let target = head.split(' ').nth(1).unwrap_or("");
        let parameter =
            |name: &str| target.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok());
        if parameter("since=").is_some_and(|since| since >= 1) {
            let end =
                Instant::now() + Duration::from_millis(parameter("timeout_ms=").unwrap_or(0).min(20_000));
            while Instant::now() < end && !world.stopping.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(50));
            }
        }
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        if http.write(&answer).is_err() {
            return;
        }
    }
}

/// Runs a client of one process: sends one job at a time, and starts one every `pause` where responses are fast enough.
pub(super) fn client(world: &Arc<World>, process: usize, pause: Duration, initial_delay: Duration) {
    thread::sleep(initial_delay);
    let mut conn: Option<Http> = None;
    while !world.stopping.load(Ordering::Relaxed) {
        let began = Instant::now();
        let number = world.next_job.fetch_add(1, Ordering::Relaxed);
        // One in three jobs may run twice.
        let class = if number.is_multiple_of(3) { "search" } else { "confirm" };
        let id = format!("{process}-{number}");
        let baseline = world.baseline.load(Ordering::Relaxed);
        let unservable = world.unservable.load(Ordering::Relaxed);
        let JobResponse { answer, has_retry_after, reused, had_extra_bytes } =
            submit_job(&mut conn, world.clients[process], JOB_DEADLINE, class, &id);
        let took = began.elapsed();
        let absent = world.was_absent(process, began, Instant::now());
        let mut served_in_time = false;
        let mut figures = lock(&world.figures);
        figures.jobs += 1;
        figures.answered_twice += u64::from(had_extra_bytes);
        match answer {
            Ok((200, body)) => {
                let (zone, served) = body.split_once(' ').unwrap_or(("", ""));
                if served != id {
                    figures.answered_twice += 1;
                } else if took <= JOB_DEADLINE {
                    served_in_time = true;
                    figures.served += 1;
                    if baseline && world.baseline.load(Ordering::Relaxed) {
                        figures.baseline += 1;
                        figures.baseline_near += u64::from(zone.parse() == Ok(world.home_zone(process)));
                    }
                }
            }
            Ok((_, _)) => figures.refused += u64::from(has_retry_after),
            Err(_) if absent => figures.away += 1,
            // The reused connection was closed while the request was being written, and no worker has seen the job.
            Err(_) if reused && !lock(&world.run_counts).contains_key(&id) => figures.jobs -= 1,
            Err(e) => {
                println!("{id}: no response after {took:?}: {e}");
                figures.unanswered += 1;
            }
        }
        if took > JOB_DEADLINE + Duration::from_millis(500) && !absent {
            println!("{id}: late response after {took:?}");
            figures.unanswered += 1;
        }
        let unservable = unservable || world.unservable.load(Ordering::Relaxed);
        figures.ideal += u64::from(served_in_time || !absent && !unservable);
        drop(figures);
        thread::sleep(pause.saturating_sub(began.elapsed()));
    }
}
