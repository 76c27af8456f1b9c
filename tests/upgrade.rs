//! Stories of an upgrade: two or three processes of the program at one address, and call-backs that reach any of them.

#[path = "common/crossing.rs"]
mod crossing;
#[path = "common/net.rs"]
mod net;
#[path = "common/stand_ins.rs"]
mod stand_ins;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use net::*;
use stand_ins::{JobServer, Mode, StandInDiscovery};

/// An installation: an address of its own that processes share, their notes, and one booking worker.
struct Site {
    address: SocketAddr,
    notes: PathBuf,
    worker: TcpListener,
    config: String,
}

impl Site {
    fn new() -> Site {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed) as u8;
        let pid = std::process::id();
        // No other process of this machine's tests has this address.
        let address = SocketAddr::from(([127, 1 + (pid >> 8) as u8 % 200, pid as u8, number], 8081));
        let notes = file("notes", "").parent().unwrap().to_path_buf();
        let (worker, dial) = listener();
        let config = config(256, nobody(), &[("s-1", dial)])
            .replacen('{', r#"{"console": "127.0.0.1:0", "#, 1)
            .replace(r#""listen": "127.0.0.1:0""#, &format!(r#""listen": "{address}""#));
        Site { address, notes, worker, config }
    }

    /// Starts a process, and waits until it says that it is ready.
    fn start(&self) -> (Program, SocketAddr) {
        let mut program = Program::beside(&self.config, &self.notes);
        assert_eq!(program.address(), self.address);
        let console = program.address();
        let end = Instant::now() + PATIENCE;
        while !readyz(console).starts_with("ACK") {
            assert!(Instant::now() < end, "it says that it is ready");
        }
        (program, console)
    }

    /// A client with a job that the worker has taken, handed to the process.
    fn job(&self, process: &Program, id: &str) -> Http {
        let mut client = self.client(process);
        client.submit("confirm-booking", id);
        let mut job = Http::accept(&self.worker);
        let (head, _) = job.read();
        assert!(head.contains(id), "{id}: {head}");
        job.take();
        client
    }

    /// A client's connection that the kernel has dealt to the process.
    fn client(&self, process: &Program) -> Http {
        let pid = process.child.id().to_string();
        for _ in 0..200 {
            let mut client = Http::connect(self.address);
            client.write("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
            if value(&client.read().0, "lb-process") == Some(pid.clone()) {
                return client;
            }
        }
        panic!("no connection reaches {pid}");
    }

    /// Whether a new connection reaches the process. What waits to be accepted as the other stops listening is reset.
    fn reaches(&self, process: &Program) -> bool {
        let ask = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect(self.address)?;
            stream.set_read_timeout(Some(PATIENCE))?;
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer)
        };
        ask().is_ok_and(|answer| value(&answer, "lb-process") == Some(process.child.id().to_string()))
    }

    /// Calls back over a connection that reaches the process; gives the status.
    fn call_at(&self, process: &Program, id: &str, result: &str) -> String {
        call(&mut self.client(process), id, result)
    }
}

fn call(http: &mut Http, id: &str, result: &str) -> String {
    let body = format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"{result}"}}"#);
    http.write(&format!(
        "POST /v1/job-events HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    http.read().0.split(' ').nth(1).unwrap_or("").to_string()
}

fn readyz(console: SocketAddr) -> String {
    let mut stream = TcpStream::connect(console).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(b"readyz\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn served(client: &mut Http) -> String {
    let (head, body) = client.read();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    body
}

/// Seen on the operators' days: once the old process has stopped listening, call-backs of its jobs reach the new one,
/// which acknowledged and forgot them, and the jobs timed out.
#[test]
fn a_call_back_that_reaches_the_other_process_ends_its_job() {
    let site = Site::new();
    let (old, _) = site.start();
    let mut waiting: Vec<Http> = (0..4).map(|n| site.job(&old, &format!("old-{n}"))).collect();
    let (new, _) = site.start();
    let mut late = site.job(&new, "new-0");
    assert_eq!(site.call_at(&new, "old-0", "0"), "204");
    assert_eq!(served(&mut waiting[0]), "0");
    assert_eq!(site.call_at(&old, "new-0", "n"), "204", "and the other way round");
    assert_eq!(served(&mut late), "n");
    old.signal("TERM");
    let end = Instant::now() + PATIENCE;
    // From here on the kernel deals all to the new one.
    while !(0..8).all(|_| site.reaches(&new)) {
        assert!(Instant::now() < end);
    }
    for (n, client) in waiting.iter_mut().enumerate().skip(1) {
        assert_eq!(call(&mut Http::connect(site.address), &format!("old-{n}"), "r"), "204");
        assert_eq!(served(client), "r");
    }
    drop(waiting);
    let (well, log) = old.wait();
    assert!(well, "{log}");
    all_ended(&log);
    assert_eq!((told(&log, "served"), told(&log, "failed")), (4, 0), "{log}");
    assert_eq!(call(&mut Http::connect(site.address), "old-1", "again"), "204", "nobody knows it any more");
}

#[test]
fn a_new_process_that_is_killed_takes_nothing_with_it() {
    for before_its_yes in [true, false] {
        let site = Site::new();
        let (old, _) = site.start();
        let mut client = site.job(&old, "a");
        let new = if before_its_yes {
            let mut new = Program::beside(&site.config, &site.notes);
            new.address();
            new
        } else {
            site.start().0
        };
        // The end of the program that is dropped is a kill.
        drop(new);
        assert_eq!(call(&mut Http::connect(site.address), "a", "r"), "204");
        assert_eq!(served(&mut client), "r");
        let mut next = site.job(&old, "b");
        assert_eq!(site.call_at(&old, "b", "s"), "204");
        assert_eq!(served(&mut next), "s");
    }
}

#[test]
fn a_call_back_for_a_process_that_was_killed_is_not_repeated_for_ever() {
    let site = Site::new();
    let (old, _) = site.start();
    let client = site.job(&old, "a");
    let (new, _) = site.start();
    drop(old);
    drop(client);
    assert_eq!(site.call_at(&new, "a", "r"), "204", "its owner has gone, and the job with it");
}

/// The owner cannot be asked: the call must not be acknowledged, and the word must come once it can.
#[test]
fn a_frozen_owner_s_call_back_is_to_be_repeated_and_counts_once() {
    let site = Site::new();
    let (old, _) = site.start();
    let mut client = site.job(&old, "a");
    let (new, _) = site.start();
    let mut caller = site.client(&new);
    old.signal("STOP");
    assert_eq!(call(&mut caller, "a", "r"), "503");
    old.signal("CONT");
    assert_eq!(call(&mut caller, "a", "r"), "204");
    assert_eq!(served(&mut client), "r");
}

#[test]
fn three_processes_pass_a_call_back_on_to_the_first() {
    let site = Site::new();
    let (first, _) = site.start();
    let mut client = site.job(&first, "a");
    let (_second, _) = site.start();
    let (third, _) = site.start();
    assert_eq!(site.call_at(&third, "a", "r"), "204");
    assert_eq!(served(&mut client), "r");
}

#[test]
fn a_note_that_is_torn_or_cannot_be_written_costs_no_job() {
    let torn = Site::new();
    let (old, _) = torn.start();
    let note = std::fs::read_dir(&torn.notes).unwrap().filter_map(|e| Some(e.ok()?.path()));
    let note: Vec<PathBuf> = note.filter(|p| p.extension().is_some_and(|e| e == "handover")).collect();
    assert_eq!(note.len(), 1);
    std::fs::write(&note[0], "micabeam-handover 1 pid=").unwrap();
    let mut client = torn.job(&old, "a");
    let (new, _) = torn.start();
    assert_eq!(torn.call_at(&old, "a", "r"), "204");
    assert_eq!(served(&mut client), "r");
    drop(new);
    // No directory for notes at all: one line, and the program serves.
    let none = Site { notes: Path::new("/nonexistent/notes").to_path_buf(), ..Site::new() };
    let (mut alone, _) = none.start();
    assert!(alone.line().contains("no hand-over note"));
    let mut client = none.job(&alone, "b");
    assert_eq!(none.call_at(&alone, "b", "s"), "204");
    assert_eq!(served(&mut client), "s");
}

/// The new process begins with the list of its configuration, which may be old, and its own discovery may be slow.
#[test]
fn the_new_process_knows_the_drains_that_the_old_one_was_told() {
    let mut site = Site::new();
    let (drained, other) = listener();
    let dial = site.worker.local_addr().unwrap();
    let hosts = [host("s-1", dial, "up"), host("s-2", other, "draining")].join(",");
    let discovery = StandInDiscovery::start(9, &hosts);
    site.config = config(256, discovery.address, &[("s-1", dial), ("s-2", other)])
        .replacen('{', r#"{"console": "127.0.0.1:0", "#, 1)
        .replace(r#""listen": "127.0.0.1:0""#, &format!(r#""listen": "{}""#, site.address));
    let (old, _) = site.start();
    assert!(counter_of(&site, &old, "lists") > 0, "ready with its first list");
    discovery.treat(Mode::Silent, u64::MAX);
    let (new, _) = site.start();
    for n in 0..6 {
        let id = format!("d{n}");
        let mut client = site.client(&new);
        client.submit("confirm-booking", &id);
        let mut job = Http::over(accept_any(&[&site.worker, &drained]));
        assert!(job.read().0.contains(&id));
        assert_eq!(job.0.get_ref().local_addr().unwrap(), dial, "s-2 was told to drain");
        job.take();
        assert_eq!(site.call_at(&new, &id, "r"), "204");
        assert_eq!(served(&mut client), "r");
    }
}

/// The new process begins while discovery says nothing, and the old one runs on for a while or is told to end.
///
/// What callers saw: the dispatcher said that it was ready, and sent nothing from 1.7 to 5.2 s after its start. Why: the list of
/// the old process was good for the grace alone, though that one went on to watch it, and its end brought nothing. What showed
/// it: `attempts by the list allowed=false` in the new process's log at 1.69 s, `true` at 5.20 s, as its second call had failed.
#[test]
fn a_new_process_serves_on_while_discovery_says_nothing() {
    let stories = [false, true].map(|old_ends| std::thread::spawn(move || serve_on_while_silent(old_ends)));
    for (story, old_ends) in stories.into_iter().zip([false, true]) {
        let longest = story.join().unwrap();
        assert!(longest < Duration::from_secs(1), "the old one ends: {old_ends}, a job took {longest:?}");
    }
}

/// The longest time that a job took at a new process, over more time than it needs to know that discovery is down.
fn serve_on_while_silent(old_ends: bool) -> Duration {
    let mut site = Site::new();
    let server = JobServer::listen("s-1");
    let discovery = StandInDiscovery::start(9, &host("s-1", server.address, "up"));
    site.config = config(256, discovery.address, &[("s-1", server.address)])
        .replacen('{', r#"{"console": "127.0.0.1:0", "#, 1)
        .replace(r#""listen": "127.0.0.1:0""#, &format!(r#""listen": "{}""#, site.address));
    server.serve(site.address);
    let (old, _) = site.start();
    discovery.treat(Mode::Silent, u64::MAX);
    let (new, _) = site.start();
    // What waits to be accepted as the old one stops listening is reset.
    let mut client = site.client(&new);
    if old_ends {
        old.signal("TERM");
    }
    let (began, mut longest, mut number) = (Instant::now(), Duration::ZERO, 0);
    while began.elapsed() < Duration::from_secs(8) {
        let submitted = Instant::now();
        client.submit("avail-search", &format!("silent-{number}"));
        served(&mut client);
        longest = longest.max(submitted.elapsed());
        number += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
    longest
}

/// The old process is told of a drain after it has left its list, while discovery says nothing to the new one. Guards against a
/// list that is taken over once and believed for longer.
#[test]
fn a_drain_that_the_old_process_is_told_later_is_followed_by_the_new_one() {
    let mut site = Site::new();
    let (drained, other) = (JobServer::listen("s-1"), JobServer::listen("s-2"));
    let lines =
        |health: &str| [host("s-1", drained.address, health), host("s-2", other.address, "up")].join(",");
    let discovery = StandInDiscovery::start(9, &lines("up"));
    let known = [("s-1", drained.address), ("s-2", other.address)];
    site.config = config(256, discovery.address, &known)
        .replacen('{', r#"{"console": "127.0.0.1:0", "#, 1)
        .replace(r#""listen": "127.0.0.1:0""#, &format!(r#""listen": "{}""#, site.address));
    drained.serve(site.address);
    other.serve(site.address);
    let (old, _) = site.start();
    crossing::until(|| discovery.calls().len() == 2, "the old process does not watch");
    discovery.treat(Mode::Silent, u64::MAX);
    let (new, _) = site.start();
    discovery.publish(10, &lines("draining"));
    crossing::until(|| counter_of(&site, &old, "lists") == 2, "the old process is not told");
    // The drain is to be followed 2 s after it was told.
    std::thread::sleep(Duration::from_millis(1_500));
    let before = drained.jobs();
    let mut client = site.client(&new);
    for number in 0..8 {
        client.submit("avail-search", &format!("after-{number}"));
        served(&mut client);
    }
    assert_eq!(drained.jobs(), before, "jobs at the drained server");
}

/// A counter of one of the processes.
fn counter_of(site: &Site, process: &Program, name: &str) -> u64 {
    let mut http = site.client(process);
    http.write("GET /counters HTTP/1.1\r\nHost: a\r\n\r\n");
    let text = http.read().1;
    told(&text, name)
}

/// No room for what the old process knows: the new one says so once, starts cold, and serves.
#[test]
fn what_the_old_process_cannot_leave_costs_one_line() {
    let site = Site::new();
    let (old, _) = site.start();
    let note = std::fs::read_dir(&site.notes).unwrap().filter_map(|e| Some(e.ok()?.path()));
    let note = note.into_iter().find(|p| p.extension().is_some_and(|e| e == "handover")).unwrap();
    std::fs::create_dir_all(note.with_extension("memory").join("full")).unwrap();
    let (mut new, _) = site.start();
    assert!(new.line().contains("a cold start"));
    let mut client = site.job(&new, "a");
    assert_eq!(site.call_at(&old, "a", "r"), "204");
    assert_eq!(served(&mut client), "r");
}

/// Both are terminated at once: what each has taken still gets its answer, wherever its call-back arrives.
#[test]
fn two_processes_that_are_terminated_at_once_finish_what_they_have() {
    let site = Site::new();
    let (old, _) = site.start();
    let mut first = site.job(&old, "a");
    let (new, _) = site.start();
    let mut second = site.job(&new, "b");
    let mut caller = site.client(&new);
    old.signal("TERM");
    new.signal("TERM");
    // One caller at the new process has both: the link to the old one stands though that one has stopped listening.
    assert_eq!(call(&mut caller, "a", "r"), "204");
    assert_eq!(served(&mut first), "r");
    assert_eq!(call(&mut caller, "b", "s"), "204");
    assert_eq!(served(&mut second), "s");
    drop((first, second, caller));
    for process in [old, new] {
        let (well, log) = process.wait();
        assert!(well, "{log}");
        all_ended(&log);
        assert_eq!(told(&log, "served"), 1, "{log}");
    }
}
