//! What stands around the processes: workers, discovery and clients of each zone, and what they saw.

use std::collections::{BTreeSet, HashMap};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{DEADLINE, FALLS, Figures, LONG, Plan, SLOTS};
use crate::http::{Http, JobResponse, header, lock, post_job_event, serve, submit_job};

/// How a zone's servers behave now.
#[derive(Default)]
pub(super) struct Zone {
    pub(super) dead: AtomicBool,
    pub(super) slow: AtomicBool,
    /// Jobs take longer.
    pub(super) long: AtomicBool,
    /// Zones that nothing passes to or from.
    pub(super) cut: Mutex<BTreeSet<usize>>,
}

/// A time of a process that a run explains by a fault.
#[derive(Clone, Copy, Debug)]
pub(super) struct Away {
    pub(super) process: usize,
    pub(super) from: Instant,
    pub(super) until: Option<Instant>,
}

/// A job that came to a worker.
pub(super) struct Arrival {
    pub(super) process: usize,
    pub(super) zone: usize,
    pub(super) at: Instant,
}

/// A decision as a process logged it.
#[derive(Clone, Debug)]
pub(super) struct Read {
    pub(super) process: usize,
    pub(super) life: u32,
    pub(super) at: Instant,
    pub(super) epoch: u64,
    pub(super) states: String,
}

/// All that the stand-ins share.
pub(super) struct World {
    pub(super) plan: Plan,
    pub(super) clients: Vec<SocketAddr>,
    pub(super) zones: Vec<Zone>,
    pub(super) over: AtomicBool,
    pub(super) calm: AtomicBool,
    /// No server can serve in time.
    pub(super) hopeless: AtomicBool,
    pub(super) next: AtomicU64,
    pub(super) runs: Mutex<HashMap<String, u32>>,
    pub(super) arrivals: Mutex<Vec<Arrival>>,
    pub(super) away: Mutex<Vec<Away>>,
    pub(super) reads: Mutex<Vec<Read>>,
    pub(super) figures: Mutex<Figures>,
    /// Jobs in each worker, by zone.
    pub(super) inside: Vec<Vec<AtomicU32>>,
}

impl World {
    pub(super) fn home(&self, process: usize) -> usize {
        process * self.plan.zones / self.plan.dispatchers
    }

    /// Whether nothing passes between two zones.
    pub(super) fn parted(&self, one: usize, other: usize) -> bool {
        one != other && lock(&self.zones[one].cut).contains(&other)
    }

    /// Whether a process was away at some time between two.
    pub(super) fn was_away(&self, process: usize, from: Instant, until: Instant) -> bool {
        let slack = Duration::from_secs(1);
        lock(&self.away).iter().any(|a| {
            a.process == process && a.from <= until && a.until.is_none_or(|back| back + slack >= from)
        })
    }
}

/// Has a stand-in serve a listener.
pub(super) fn stand(
    world: &Arc<World>,
    listener: TcpListener,
    each: impl Fn(&Arc<World>, TcpStream) + Send + Sync + 'static,
) {
    let (world, over) = (Arc::clone(world), Arc::clone(world));
    serve(listener, move || over.over.load(Ordering::Relaxed), move |stream| each(&world, stream));
}

/// A worker's door for dispatchers of one zone.
pub(super) fn worker(world: &Arc<World>, zone: usize, number: usize, from: usize, stream: TcpStream) {
    let refuse = |stream: &TcpStream| drop(stream.shutdown(Shutdown::Both));
    if world.zones[zone].dead.load(Ordering::Relaxed) {
        return refuse(&stream);
    }
    let Ok(mut http) = Http::from_stream(stream, Duration::from_secs(120)) else { return };
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
        lock(&world.arrivals).push(Arrival { process, zone, at: Instant::now() });
        *lock(&world.runs).entry(id.clone()).or_default() += 1;
        let inside = world.inside[zone][number].fetch_add(1, Ordering::Relaxed) + 1;
        if inside == SLOTS * FALLS {
            lock(&world.figures).fallen += 1;
        }
        let taken = http.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").is_ok();
        let world = Arc::clone(world);
        thread::spawn(move || {
            let mut draws = fastrand::Rng::with_seed(id.bytes().fold(7, |sum, b| sum * 31 + u64::from(b)));
            let waits = u64::from(inside / SLOTS) * 40;
            let slow = if world.zones[zone].slow.load(Ordering::Relaxed) { 3000 } else { 0 };
            let long = if world.zones[zone].long.load(Ordering::Relaxed) { LONG } else { 0 };
            thread::sleep(Duration::from_millis(20 + draws.u64(..40) + waits + slow + long));
            world.inside[zone][number].fetch_sub(1, Ordering::Relaxed);
            if taken && !world.zones[zone].dead.load(Ordering::Relaxed) {
                call_back(&world, zone, number, process, &id);
            }
        });
    }
}

/// Tells the job's process of its end until it is heard, ten times at most.
pub(super) fn call_back(world: &World, zone: usize, number: usize, process: usize, id: &str) {
    let (from, result) = (format!("s-{zone}-{number}"), format!("{zone} {id}"));
    for _ in 0..10 {
        let passes = !world.parted(zone, world.home(process));
        if passes
            && post_job_event(world.clients[process], Duration::from_secs(1), id, &from, "done", &result)
        {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Discovery of one zone's dispatchers: a list that does not change.
pub(super) fn discovery(world: &Arc<World>, list: &str, stream: TcpStream) {
    let Ok(mut http) = Http::from_stream(stream, Duration::from_secs(120)) else { return };
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
pub(super) fn client(world: &Arc<World>, process: usize, pause: Duration, first: Duration) {
    thread::sleep(first);
    let mut conn: Option<Http> = None;
    while !world.over.load(Ordering::Relaxed) {
        let began = Instant::now();
        let number = world.next.fetch_add(1, Ordering::Relaxed);
        // One in three may run again.
        let class = if number.is_multiple_of(3) { "search" } else { "confirm" };
        let id = format!("{process}-{number}");
        let calm = world.calm.load(Ordering::Relaxed);
        let hopeless = world.hopeless.load(Ordering::Relaxed);
        let JobResponse { answer, has_retry_after, reused, had_extra_bytes } =
            submit_job(&mut conn, world.clients[process], DEADLINE, class, &id);
        let took = began.elapsed();
        let away = world.was_away(process, began, Instant::now());
        let mut got_it = false;
        let mut figures = lock(&world.figures);
        figures.jobs += 1;
        figures.answered_twice += u64::from(had_extra_bytes);
        match answer {
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
            Ok((_, _)) => figures.refused += u64::from(has_retry_after),
            Err(_) if away => figures.away += 1,
            // A kept connection that closed as the request was written: nobody has read it.
            Err(_) if reused && !lock(&world.runs).contains_key(&id) => figures.jobs -= 1,
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
