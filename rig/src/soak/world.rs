//! Stand-ins of the soak test: discovery with limited capacity, servers and clients. Each writes what it sees into the
//! record.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::record::{Attempt, ListChange, Millis, Outcome, Record, Request, SilentCall, Span};
use crate::http::{Http, header, lock, post_job_event, serve, status};
use crate::{RigError, io_context};

/// Time that discovery spends on one call.
const CALL_MS: Millis = 25.0;
/// A call that would wait longer than this fails, and still uses its share of discovery's capacity.
const CALL_TIMEOUT_MS: Millis = 2_000.0;
/// One in this many calls fails: its response is truncated, its connection closed, or it gets no response.
const CALLS_PER_FAULT: u64 = 25;
/// Range of a job's run time at a server, in milliseconds.
const JOB_MS: std::ops::Range<u64> = 10..60;
/// How long a peer may be silent before its stand-in closes the connection.
const PEER_TIMEOUT: Duration = Duration::from_secs(30);

/// A server's entry in the list.
#[derive(Clone, Copy, Debug)]
pub struct ListedServer {
    /// Whether the server accepts work.
    pub is_up: bool,
    /// When it was last started, in Unix milliseconds; 0 means long ago.
    pub born_ms: u64,
}

/// State of the discovery service.
#[derive(Debug, Default)]
struct Service {
    version: u64,
    servers: Vec<ListedServer>,
    is_down: bool,
    /// When it will have worked through the calls that have arrived.
    busy_until_ms: Millis,
}

/// The stand-ins around the dispatchers, and their shared state.
pub struct World {
    began: Instant,
    /// Addresses of the dispatchers.
    pub dispatchers: Vec<SocketAddr>,
    /// Addresses of the servers.
    pub servers: Vec<SocketAddr>,
    /// Address of discovery for each dispatcher.
    pub discovery: Vec<SocketAddr>,
    /// Whether clients may open connections to each dispatcher, as behind an external load balancer.
    pub in_rotation: Vec<AtomicBool>,
    /// Whether the run is ending.
    pub stopping: AtomicBool,
    service: Mutex<Service>,
    /// Record of the events that the stand-ins observed.
    pub record: Mutex<Record>,
    rng: Mutex<fastrand::Rng>,
    next_request: AtomicU64,
}

impl World {
    /// Starts discovery and `servers` stand-in servers for the dispatchers at the given addresses.
    ///
    /// # Errors
    /// If a listener cannot be opened.
    pub fn start(dispatchers: Vec<SocketAddr>, servers: usize, seed: u64) -> Result<Arc<World>, RigError> {
        let listen = || io_context("stand-in", TcpListener::bind("127.0.0.1:0"));
        let server_listeners = (0..servers).map(|_| listen()).collect::<Result<Vec<_>, _>>()?;
        let list_listeners = dispatchers.iter().map(|_| listen()).collect::<Result<Vec<_>, _>>()?;
        let address = |listener: &TcpListener| io_context("stand-in", listener.local_addr());
        let initial_server = ListedServer { is_up: true, born_ms: 0 };
        let world = Arc::new(World {
            began: Instant::now(),
            servers: server_listeners.iter().map(address).collect::<Result<_, _>>()?,
            discovery: list_listeners.iter().map(address).collect::<Result<_, _>>()?,
            in_rotation: dispatchers.iter().map(|_| AtomicBool::new(false)).collect(),
            dispatchers,
            stopping: AtomicBool::new(false),
            service: Mutex::new(Service {
                version: 1,
                servers: vec![initial_server; servers],
                ..Service::default()
            }),
            record: Mutex::default(),
            rng: Mutex::new(fastrand::Rng::with_seed(seed ^ 0x5eed)),
            next_request: AtomicU64::new(0),
        });
        for (number, listener) in server_listeners.into_iter().enumerate() {
            world.serve_stand_in(listener, move |world, http| serve_jobs(world, number, http));
        }
        for (number, listener) in list_listeners.into_iter().enumerate() {
            world.serve_stand_in(listener, move |world, http| world.serve_list(number, http));
        }
        Ok(world)
    }

    fn serve_stand_in(
        self: &Arc<World>,
        listener: TcpListener,
        handle: impl Fn(&Arc<World>, Http) + Send + Sync + 'static,
    ) {
        let (world, run) = (Arc::clone(self), Arc::clone(self));
        serve(
            listener,
            move || run.stopping.load(Ordering::Relaxed),
            move |stream| {
                if let Ok(http) = Http::from_stream(stream, PEER_TIMEOUT) {
                    handle(&world, http);
                }
            },
        );
    }

    /// Returns the time since the start of the run.
    pub fn now_ms(&self) -> Millis {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    fn random(&self, range: std::ops::Range<u64>) -> u64 {
        lock(&self.rng).u64(range)
    }

    /// Changes entries of the list as one new version.
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

    /// Returns the current list with its version, in the JSON form of the configuration.
    pub fn current_list(&self) -> String {
        self.render_list(&lock(&self.service))
    }

    fn render_list(&self, service: &Service) -> String {
        let render_host = |(server, line): (usize, &ListedServer)| {
            let (dial, health) = (self.servers[server], if line.is_up { "up" } else { "draining" });
            let born = line.born_ms;
            format!(
                r#"{{"host":"s-{server}","dial":"{dial}","health":"{health}","share":1.0,"born_ms":{born}}}"#
            )
        };
        let hosts: Vec<String> = service.servers.iter().enumerate().map(render_host).collect();
        format!(r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#, service.version, hosts.join(","))
    }

    /// Takes discovery down or brings it back, and records the outage.
    pub fn set_outage(&self, is_down: bool) {
        lock(&self.service).is_down = is_down;
        let (mut record, now_ms) = (lock(&self.record), self.now_ms());
        if is_down {
            record.outages.push(Span { from_ms: now_ms, until_ms: f64::INFINITY });
        } else if let Some(outage) = record.outages.last_mut() {
            outage.until_ms = now_ms;
        }
    }

    /// Answers the discovery calls on one connection of a dispatcher.
    fn serve_list(&self, dispatcher: usize, mut http: Http) {
        while let Ok((head, _)) = http.read() {
            if self.answer_call(dispatcher, &head, &mut http).is_none() {
                return;
            }
        }
    }

    /// Answers a call; returns `None` if the connection is to be closed.
    fn answer_call(&self, dispatcher: usize, head: &str, http: &mut Http) -> Option<()> {
        let target = head.split(' ').nth(1).unwrap_or("").to_string();
        let parameter =
            |name: &str| target.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok());
        let (since, wait_ms) = (parameter("since="), parameter("timeout_ms=").unwrap_or(0) as Millis);
        self.wait_for_turn(http)?;
        let arrived_ms = self.now_ms();
        match self.random(0..CALLS_PER_FAULT * 3) {
            0 => return None,
            1 => {
                let silent_call =
                    SilentCall { dispatcher, from_ms: arrived_ms, wait_ends_ms: arrived_ms + wait_ms };
                lock(&self.record).silent_calls.push(silent_call);
                let _ = http.read();
                return None;
            }
            _ => {}
        }
        while since.is_some_and(|since| since >= lock(&self.service).version)
            && self.now_ms() < arrived_ms + wait_ms
        {
            if lock(&self.service).is_down || self.stopping.load(Ordering::Relaxed) {
                return None;
            }
            thread::sleep(Duration::from_millis(2));
        }
        let (version, body) = {
            let service = lock(&self.service);
            (service.version, self.render_list(&service))
        };
        lock(&self.record).answers.push((dispatcher, self.now_ms(), version));
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if self.random(0..CALLS_PER_FAULT * 3) == 0 {
            let _ = http.write(&response[..response.len() / 2]);
            return None;
        }
        http.write(&response).ok()
    }

    /// Waits until discovery has worked through the calls before this one; `None` if the call fails.
    fn wait_for_turn(&self, http: &mut Http) -> Option<()> {
        let arrived_ms = self.now_ms();
        let (done_ms, is_down) = {
            let mut service = lock(&self.service);
            service.busy_until_ms = service.busy_until_ms.max(arrived_ms) + CALL_MS;
            (service.busy_until_ms, service.is_down)
        };
        if is_down || done_ms > arrived_ms + CALL_TIMEOUT_MS {
            thread::sleep(Duration::from_secs_f64(CALL_TIMEOUT_MS / 1e3));
            let _ = http.write("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            return None;
        }
        thread::sleep(Duration::from_secs_f64(((done_ms - arrived_ms) / 1e3).max(0.0)));
        Some(())
    }

    /// Runs one client of a dispatcher until the run ends. The client reuses its connection while it stays open.
    pub fn run_client(&self, dispatcher: usize, pause_ms: std::ops::Range<u64>) {
        let mut connection: Option<Http> = None;
        while !self.stopping.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(self.random(pause_ms.clone())));
            let may_connect = self.in_rotation[dispatcher].load(Ordering::Relaxed);
            if connection.is_none() && !may_connect {
                continue;
            }
            self.send_request(dispatcher, &mut connection);
        }
    }

    /// Sends one request, waits for its outcome and records it.
    fn send_request(&self, dispatcher: usize, connection: &mut Option<Http>) {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (is_unsafe, will_leave) = (self.random(0..3) == 0, self.random(0..20) == 0);
        let (class, wait_ms) = if is_unsafe { ("confirm", 2_000.0) } else { ("search", 1_000.0) };
        let is_first = connection.is_none();
        let opened =
            connection.take().map_or_else(|| Http::connect(self.dispatchers[dispatcher], PEER_TIMEOUT), Ok);
        let Ok(mut http) = opened else { return };
        let id = format!("d{dispatcher}-{number}");
        let text = format!(
            "POST /{class}/x HTTP/1.1\r\nHost: d\r\nReq-Id: {id}\r\nReq-Deadline: {wait_ms}m\r\nContent-Length: 3\r\n\r\njob"
        );
        let read_timeout = Duration::from_secs_f64(if will_leave { 0.02 } else { (wait_ms + 1_000.0) / 1e3 });
        if http.0.get_ref().set_read_timeout(Some(read_timeout)).is_err() || http.write(&text).is_err() {
            return;
        }
        let written_ms = self.now_ms();
        let response = http.read();
        let is_timeout = |e: &std::io::Error| {
            matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
        };
        let outcome = match &response {
            Ok((head, body)) => match status(head) {
                200 if *body == id => Outcome::Served,
                429 | 503 => Outcome::Rejected,
                _ => Outcome::Failed,
            },
            Err(e) if is_timeout(e) && will_leave => Outcome::ClientLeft,
            Err(e) if is_timeout(e) => Outcome::TimedOut,
            Err(_) => Outcome::Closed,
        };
        let closes = |head: &str| header(head, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        if response.is_ok_and(|(head, _)| !closes(&head)) {
            *connection = Some(http);
        } else {
            drop(http);
        }
        let ended_ms = self.now_ms();
        let request = Request { dispatcher, written_ms, wait_ms, is_unsafe, is_first, ended_ms, outcome };
        lock(&self.record).requests.insert(id, request);
    }
}

/// Serves the jobs that arrive on one connection to a server.
fn serve_jobs(world: &Arc<World>, server: usize, mut http: Http) {
    loop {
        // Waits for the first byte: its time is the attempt's begin.
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
        thread::spawn(move || run_job(&world, server, &id));
    }
}

/// Runs a job, then sends its call-back until the dispatcher accepts it, at most ten times.
fn run_job(world: &World, server: usize, id: &str) {
    thread::sleep(Duration::from_millis(world.random(JOB_MS)));
    let dispatcher = id[1..].split('-').next().and_then(|number| number.parse::<usize>().ok());
    let Some(&address) = dispatcher.and_then(|number| world.dispatchers.get(number)) else { return };
    for _ in 0..10 {
        if post_job_event(address, Duration::from_secs(1), id, &format!("s-{server}"), "done", id) {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Parses the value of a `Req-Deadline` header into milliseconds.
fn deadline_ms(text: &str) -> Millis {
    let (figure, unit) = text.split_at(text.len().saturating_sub(1));
    let figure: f64 = figure.parse().unwrap_or(f64::INFINITY);
    if unit == "u" { figure / 1e3 } else { figure }
}
