//! The stand-ins of a soak: discovery of limited capacity, servers, and clients. Each writes what it sees into the record.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::record::{Attempt, End, ListChange, Millis, Record, Request, SilentCall, Span};
use crate::http::{Http, header, lock, post_job_event, serve, status};
use crate::{RigError, io_context};

/// How long discovery has for one call.
const CALL_MS: Millis = 25.0;
/// A call that has waited so long fails, and takes its time all the same.
const CALL_PATIENCE_MS: Millis = 2_000.0;
/// One in so many calls has its answer cut off, is reset, or is left without an answer.
const CALLS_PER_FAULT: u64 = 25;
/// How long a server works on a job.
const JOB_MS: std::ops::Range<u64> = 10..60;
/// How long a peer may be silent before its stand-in gives it up.
const PATIENCE: Duration = Duration::from_secs(30);

/// A server as the list has it.
#[derive(Clone, Copy, Debug)]
pub struct ListedServer {
    /// Whether it takes work.
    pub is_up: bool,
    /// When it was started last, in Unix milliseconds; 0: long ago.
    pub born_ms: u64,
}

/// What discovery has.
#[derive(Debug, Default)]
struct Service {
    version: u64,
    servers: Vec<ListedServer>,
    is_down: bool,
    /// Until when it works on the calls that have come.
    busy_until_ms: Millis,
}

/// All that stands around the dispatchers.
pub struct World {
    began: Instant,
    /// Where dispatchers listen.
    pub dispatchers: Vec<SocketAddr>,
    /// Where servers listen.
    pub servers: Vec<SocketAddr>,
    /// Where each dispatcher finds discovery.
    pub discovery: Vec<SocketAddr>,
    /// Whether the front sends clients to a dispatcher.
    pub takes_clients: Vec<AtomicBool>,
    /// The run is over.
    pub over: AtomicBool,
    service: Mutex<Service>,
    /// What was seen.
    pub record: Mutex<Record>,
    draws: Mutex<fastrand::Rng>,
    next_request: AtomicU64,
}

impl World {
    /// Opens the stand-ins of so many servers, for dispatchers at these addresses.
    ///
    /// # Errors
    /// Where a socket cannot be had.
    pub fn start(dispatchers: Vec<SocketAddr>, servers: usize, seed: u64) -> Result<Arc<World>, RigError> {
        let listen = || io_context("a stand-in", TcpListener::bind("127.0.0.1:0"));
        let server_listeners = (0..servers).map(|_| listen()).collect::<Result<Vec<_>, _>>()?;
        let list_listeners = dispatchers.iter().map(|_| listen()).collect::<Result<Vec<_>, _>>()?;
        let address = |listener: &TcpListener| io_context("a stand-in", listener.local_addr());
        let long_ago = ListedServer { is_up: true, born_ms: 0 };
        let world = Arc::new(World {
            began: Instant::now(),
            servers: server_listeners.iter().map(address).collect::<Result<_, _>>()?,
            discovery: list_listeners.iter().map(address).collect::<Result<_, _>>()?,
            takes_clients: dispatchers.iter().map(|_| AtomicBool::new(false)).collect(),
            dispatchers,
            over: AtomicBool::new(false),
            service: Mutex::new(Service {
                version: 1,
                servers: vec![long_ago; servers],
                ..Service::default()
            }),
            record: Mutex::default(),
            draws: Mutex::new(fastrand::Rng::with_seed(seed ^ 0x5eed)),
            next_request: AtomicU64::new(0),
        });
        for (number, listener) in server_listeners.into_iter().enumerate() {
            world.stand_in(listener, move |world, http| serve_jobs(world, number, http));
        }
        for (number, listener) in list_listeners.into_iter().enumerate() {
            world.stand_in(listener, move |world, http| world.serve_list(number, http));
        }
        Ok(world)
    }

    fn stand_in(
        self: &Arc<World>,
        listener: TcpListener,
        each: impl Fn(&Arc<World>, Http) + Send + Sync + 'static,
    ) {
        let (world, over) = (Arc::clone(self), Arc::clone(self));
        serve(
            listener,
            move || over.over.load(Ordering::Relaxed),
            move |stream| {
                if let Ok(http) = Http::from_stream(stream, PATIENCE) {
                    each(&world, http);
                }
            },
        );
    }

    /// The time of the run.
    pub fn now_ms(&self) -> Millis {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        lock(&self.draws).u64(range)
    }

    /// Changes servers of the list, in one version.
    pub fn change_list(&self, servers: &[usize], change: impl Fn(&mut ListedServer)) {
        let mut service = lock(&self.service);
        service.version += 1;
        for &server in servers {
            change(&mut service.servers[server]);
            let is_up = service.servers[server].is_up;
            let (version, at_ms) = (service.version, self.now_ms());
            lock(&self.record).changes.push(ListChange { version, at_ms, server, is_up });
        }
    }

    /// The list as it is now, in the form of a configuration, and its version.
    pub fn known_list(&self) -> String {
        self.list(&lock(&self.service))
    }

    fn list(&self, service: &Service) -> String {
        let listed = |(server, line): (usize, &ListedServer)| {
            let (dial, health) = (self.servers[server], if line.is_up { "up" } else { "draining" });
            let born = line.born_ms;
            format!(
                r#"{{"host":"s-{server}","dial":"{dial}","health":"{health}","share":1.0,"born_ms":{born}}}"#
            )
        };
        let hosts: Vec<String> = service.servers.iter().enumerate().map(listed).collect();
        format!(r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#, service.version, hosts.join(","))
    }

    /// Takes discovery down, or brings it back.
    pub fn set_outage(&self, is_down: bool) {
        lock(&self.service).is_down = is_down;
        let (mut record, now_ms) = (lock(&self.record), self.now_ms());
        if is_down {
            record.outages.push(Span { from_ms: now_ms, until_ms: f64::INFINITY });
        } else if let Some(outage) = record.outages.last_mut() {
            outage.until_ms = now_ms;
        }
    }

    /// Serves the calls of one dispatcher's connection.
    fn serve_list(&self, dispatcher: usize, mut http: Http) {
        while let Ok((head, _)) = http.read() {
            if self.answer_call(dispatcher, &head, &mut http).is_none() {
                return;
            }
        }
    }

    /// Answers a call; none where its connection ends.
    fn answer_call(&self, dispatcher: usize, head: &str, http: &mut Http) -> Option<()> {
        let target = head.split(' ').nth(1).unwrap_or("").to_string();
        let parameter =
            |name: &str| target.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok());
        let (since, wait_ms) = (parameter("since="), parameter("timeout_ms=").unwrap_or(0) as Millis);
        self.take_turn(http)?;
        let came_ms = self.now_ms();
        match self.draw(0..CALLS_PER_FAULT * 3) {
            0 => return None,
            1 => {
                let silence = SilentCall { dispatcher, from_ms: came_ms, wait_ends_ms: came_ms + wait_ms };
                lock(&self.record).silences.push(silence);
                let _ = http.read();
                return None;
            }
            _ => {}
        }
        while since.is_some_and(|since| since >= lock(&self.service).version)
            && self.now_ms() < came_ms + wait_ms
        {
            if lock(&self.service).is_down || self.over.load(Ordering::Relaxed) {
                return None;
            }
            thread::sleep(Duration::from_millis(2));
        }
        let (version, body) = {
            let service = lock(&self.service);
            (service.version, self.list(&service))
        };
        lock(&self.record).answers.push((dispatcher, self.now_ms(), version));
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if self.draw(0..CALLS_PER_FAULT * 3) == 0 {
            let _ = http.write(&answer[..answer.len() / 2]);
            return None;
        }
        http.write(&answer).ok()
    }

    /// Waits for a call's turn: calls are worked through one after the other.
    fn take_turn(&self, http: &mut Http) -> Option<()> {
        let came_ms = self.now_ms();
        let (done_ms, is_down) = {
            let mut service = lock(&self.service);
            service.busy_until_ms = service.busy_until_ms.max(came_ms) + CALL_MS;
            (service.busy_until_ms, service.is_down)
        };
        if is_down || done_ms > came_ms + CALL_PATIENCE_MS {
            thread::sleep(Duration::from_secs_f64(CALL_PATIENCE_MS / 1e3));
            let _ = http.write("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            return None;
        }
        thread::sleep(Duration::from_secs_f64(((done_ms - came_ms) / 1e3).max(0.0)));
        Some(())
    }

    /// Runs one client of a dispatcher until the run is over: it keeps its connection, and uses it for as long as it is open.
    pub fn run_client(&self, dispatcher: usize, pause_ms: std::ops::Range<u64>) {
        let mut connection: Option<Http> = None;
        while !self.over.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(self.draw(pause_ms.clone())));
            let may_connect = self.takes_clients[dispatcher].load(Ordering::Relaxed);
            if connection.is_none() && !may_connect {
                continue;
            }
            self.hand_in(dispatcher, &mut connection);
        }
    }

    /// Hands in one request, and waits for its end.
    fn hand_in(&self, dispatcher: usize, connection: &mut Option<Http>) {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (is_unsafe, leaves) = (self.draw(0..3) == 0, self.draw(0..20) == 0);
        let (class, wait_ms) = if is_unsafe { ("confirm", 2_000.0) } else { ("search", 1_000.0) };
        let is_first = connection.is_none();
        let opened =
            connection.take().map_or_else(|| Http::connect(self.dispatchers[dispatcher], PATIENCE), Ok);
        let Ok(mut http) = opened else { return };
        let id = format!("d{dispatcher}-{number}");
        let text = format!(
            "POST /{class}/x HTTP/1.1\r\nHost: d\r\nReq-Id: {id}\r\nReq-Deadline: {wait_ms}m\r\nContent-Length: 3\r\n\r\njob"
        );
        let patience = Duration::from_secs_f64(if leaves { 0.02 } else { (wait_ms + 1_000.0) / 1e3 });
        if http.0.get_ref().set_read_timeout(Some(patience)).is_err() || http.write(&text).is_err() {
            return;
        }
        let written_ms = self.now_ms();
        let answer = http.read();
        let is_timeout = |e: &std::io::Error| {
            matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
        };
        let end = match &answer {
            Ok((head, body)) => match status(head) {
                200 if *body == id => End::Served,
                429 | 503 => End::Rejected,
                _ => End::Failed,
            },
            Err(e) if is_timeout(e) && leaves => End::Left,
            Err(e) if is_timeout(e) => End::Silence,
            Err(_) => End::Closed,
        };
        let closes = |head: &str| header(head, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        if answer.is_ok_and(|(head, _)| !closes(&head)) {
            *connection = Some(http);
        } else {
            drop(http);
        }
        let ended_ms = self.now_ms();
        let request = Request { dispatcher, written_ms, wait_ms, is_unsafe, is_first, ended_ms, end };
        lock(&self.record).requests.insert(id, request);
    }
}

/// Serves the jobs that come over a connection to a server.
fn serve_jobs(world: &Arc<World>, server: usize, mut http: Http) {
    loop {
        // The time of the first byte.
        if !std::io::BufRead::fill_buf(&mut http.0).is_ok_and(|bytes| !bytes.is_empty()) {
            return;
        }
        let began_ms = world.now_ms();
        let Ok((head, _)) = http.read() else { return };
        let id = header(&head, "req-id").filter(|_| head.starts_with("POST ")).map(str::to_string);
        let Some(id) = id else {
            if http.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                return;
            }
            continue;
        };
        let deadline_ms = header(&head, "req-deadline").map_or(f64::INFINITY, deadline_ms);
        lock(&world.record).attempts.push(Attempt { id: id.clone(), server, began_ms, deadline_ms });
        if http.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").is_err() {
            return;
        }
        let world = Arc::clone(world);
        thread::spawn(move || work(&world, server, &id));
    }
}

/// Works on a job, and calls back until that is heard.
fn work(world: &World, server: usize, id: &str) {
    thread::sleep(Duration::from_millis(world.draw(JOB_MS)));
    let dispatcher = id[1..].split('-').next().and_then(|number| number.parse::<usize>().ok());
    let Some(&address) = dispatcher.and_then(|number| world.dispatchers.get(number)) else { return };
    for _ in 0..10 {
        if post_job_event(address, Duration::from_secs(1), id, &format!("s-{server}"), "done", id) {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// A deadline of a header, in milliseconds.
fn deadline_ms(text: &str) -> Millis {
    let (figure, unit) = text.split_at(text.len().saturating_sub(1));
    let figure: f64 = figure.parse().unwrap_or(f64::INFINITY);
    if unit == "u" { figure / 1e3 } else { figure }
}
