//! Stories of a policy that several real processes share: a change that all take, one that one of them refuses, and a
//! process that was frozen meanwhile.

#[path = "common/net.rs"]
mod net;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::Command;
use std::time::Instant;

use net::*;

struct Fleet {
    addresses: Vec<SocketAddr>,
    dir: PathBuf,
    /// The servers of each process's list.
    hosts: Vec<(&'static str, SocketAddr)>,
    listeners: Vec<TcpListener>,
}

/// A policy that sends all to the servers of one name.
fn policy(version: u64, server: &str) -> String {
    format!(
        "version = {version}\n[[partition]]\nname = \"p\"\nprefixes = [\"{server}\"]\n[[rule]]\nname = \"all\"\npartition = \"p\"\n"
    )
}

impl Fleet {
    fn new() -> Fleet {
        let free: Vec<UdpSocket> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let addresses = free.iter().map(|s| s.local_addr().unwrap()).collect();
        let dir = file("state", "").parent().unwrap().to_path_buf();
        let (listeners, dials): (Vec<_>, Vec<_>) = (0..2).map(|_| listener()).unzip();
        let hosts = ["s-1", "s-2"].into_iter().zip(dials).collect();
        Fleet { addresses, dir, hosts, listeners }
    }

    fn want(&self, own: usize, text: &str) {
        std::fs::write(self.dir.join(format!("policy-{own}.toml")), text).unwrap();
    }

    /// Starts a process with so many of the servers in its list: its clients' address, and its console.
    fn start(&self, own: usize, servers: usize) -> (Program, SocketAddr, SocketAddr) {
        let mut text = format!(
            "console = \"127.0.0.1:0\"\n[fleet]\ncluster = \"story\"\nname = \"n{own}\"\nstate = \"{}\"\nzones = [\"z\"]\n",
            self.dir.join(format!("votes-{own}")).display()
        );
        for (at, address) in self.addresses.iter().enumerate() {
            text += &format!(
                "[[fleet.member]]\nname = \"n{at}\"\naddress = \"{address}\"\nzone = \"z\"\nvoter = true\n"
            );
        }
        text += &format!(
            "[rollout]\npolicy = \"{}\"\nkeep = \"{}\"\nlease_ms = 2000\n",
            self.dir.join(format!("policy-{own}.toml")).display(),
            self.dir.join(format!("kept-{own}")).display()
        );
        let config = config(128, refusing_address(), &self.hosts[..servers]);
        let mut program = Program::from_command(
            Command::new(env!("CARGO_BIN_EXE_micabeam")),
            Some(&config),
            None,
            Some(&text),
        );
        let address = program.read_address();
        let console = program.read_address();
        (program, address, console)
    }
}

fn standing(console: SocketAddr) -> String {
    let mut stream = TcpStream::connect(console).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(b"policy\n").unwrap();
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// The server's part in a job that it has read.
fn finish(job: &mut Http, address: SocketAddr, id: &str, by: usize) {
    job.send_accepted();
    Http::connect(address).call_back(id, &format!("s-{}", by + 1), "done", "done");
}

/// Hands a job in at a process, and has it served by the server of this number.
fn served(fleet: &Fleet, address: SocketAddr, id: &str, by: usize) {
    let mut client = Http::connect(address);
    client.submit("confirm-booking", id);
    let mut job = Http::accept(&fleet.listeners[by]);
    let (head, _) = job.read();
    assert!(head.contains(&format!("Req-Id: {id}")), "{head}");
    finish(&mut job, address, id, by);
    let (head, body) = client.read();
    assert!(head.starts_with("HTTP/1.1 200") && body == "done", "{head}");
}

#[test]
fn a_change_is_taken_by_all_or_by_none() {
    let fleet = Fleet::new();
    (0..3).for_each(|own| fleet.want(own, &policy(1, "s-1")));
    // The third has not heard of the second server.
    let started: Vec<_> = (0..3).map(|own| fleet.start(own, if own == 2 { 1 } else { 2 })).collect();
    let consoles: Vec<SocketAddr> = started.iter().map(|(_, _, console)| *console).collect();
    let all = |what: &str| consoles.iter().all(|console| standing(*console).contains(what));
    until("the first policy is in force everywhere", || {
        all("runs 1 decided 1 staged none") && all("serves yes")
    });
    served(&fleet, started[0].1, "a-1", 0);
    served(&fleet, started[2].1, "a-2", 0);
    // A newer file at one of them, and a signal: the third says no, with the line and the reason.
    fleet.want(0, &policy(2, "s-2"));
    started[0].0.signal("HUP");
    until("given up", || all("last 2 given up: member 2: line 2: partition `p` has no server"));
    // As the operators' page shows it, but for the numbers and the partition's name.
    let page = include_str!("../docs/operating/rollout.md");
    let shown = page.lines().find(|line| line.contains("given up: member")).unwrap().replace("`east`", "`p`");
    let bare = |text: &str| text.trim().replace(|c: char| c.is_ascii_digit(), "");
    assert_eq!(bare(&standing(consoles[0])), bare(&shown));
    assert!(all("runs 1 decided 1"));
    served(&fleet, started[0].1, "a-3", 0);
    // The same file again is no news; a higher version that all can take is.
    started[0].0.signal("HUP");
    fleet.want(1, &policy(3, "s-"));
    started[1].0.signal("HUP");
    until("the third version is in force", || all("runs 3 decided 3"));
    assert!(all("last 3 in force"), "{}", standing(consoles[0]));
}

/// Frozen over a change, with a request waiting in its socket: it wakes past its lease, and serves under the new one.
#[test]
fn a_process_that_was_frozen_serves_nothing_under_the_old_policy() {
    let fleet = Fleet::new();
    (0..3).for_each(|own| fleet.want(own, &policy(1, "s-1")));
    let started: Vec<_> = (0..3).map(|own| fleet.start(own, 2)).collect();
    let consoles: Vec<SocketAddr> = started.iter().map(|(_, _, console)| *console).collect();
    until("in force", || consoles.iter().all(|c| standing(*c).contains("runs 1 decided 1 staged none")));
    until("they serve", || consoles.iter().all(|c| standing(*c).contains("serves yes")));
    started[2].0.signal("STOP");
    let mut client = Http::connect(started[2].1);
    client.submit("confirm-booking", "b-1");
    fleet.want(0, &policy(2, "s-2"));
    started[0].0.signal("HUP");
    until("the others run it", || consoles[..2].iter().all(|c| standing(*c).contains("runs 2 decided 2")));
    served(&fleet, started[0].1, "b-2", 1);
    started[2].0.signal("CONT");
    let mut job = Http::accept(&fleet.listeners[1]);
    let (head, _) = job.read();
    assert!(head.contains("Req-Id: b-1"), "by the new policy's server: {head}");
    finish(&mut job, started[2].1, "b-1", 1);
    assert!(client.read().0.starts_with("HTTP/1.1 200"));
}

/// What a majority's loss costs: the one that is left serves until its lease is over, and then says when to come back.
#[test]
fn without_a_majority_a_process_serves_its_lease_out_and_denies_then() {
    let fleet = Fleet::new();
    (0..3).for_each(|own| fleet.want(own, &policy(1, "s-1")));
    let mut started: Vec<_> = (0..3).map(|own| fleet.start(own, 2)).collect();
    let (address, console) = (started[0].1, started[0].2);
    until("in force", || {
        standing(console).contains("runs 1 decided 1 staged none wanted none epoch 2 serves yes")
    });
    drop(started.drain(1..));
    let killed = Instant::now();
    served(&fleet, address, "c-1", 0);
    until("its lease is over", || standing(console).contains("serves no"));
    let served_for = killed.elapsed().as_millis();
    assert!((1000..=2600).contains(&served_for), "it served for {served_for} ms of its lease of 2000");
    let mut client = Http::connect(address);
    client.write("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(client.read().0.starts_with("HTTP/1.1 503"), "clients are to go elsewhere");
    // One with little time is told while it still listens, and not after 2 s.
    let asked = Instant::now();
    client.write("POST /confirm-booking/x HTTP/1.1\r\nHost: a\r\nReq-Id: c-0\r\nReq-Deadline: 300m\r\nContent-Length: 0\r\n\r\n");
    assert!(client.read().0.starts_with("HTTP/1.1 503") && asked.elapsed().as_millis() < 800);
    client.submit("confirm-booking", "c-2");
    let (head, _) = client.read();
    assert!(head.starts_with("HTTP/1.1 503") && header_value(&head, "retry-after").is_some(), "{head}");
    // Back with the others, it serves again, without a word from its operator.
    started.push(fleet.start(1, 2));
    until("it serves again", || standing(console).contains("serves yes"));
    served(&fleet, address, "c-3", 0);
}

/// A policy that does not read ends the start with its line; [rollout] without [fleet] is refused.
#[test]
fn a_policy_that_does_not_read_ends_the_start() {
    let fleet = Fleet::new();
    fleet.want(0, "version = 1\n[[rule]]\nnam = \"x\"\n");
    let text = format!(
        "console = \"127.0.0.1:0\"\n[rollout]\npolicy = \"{0}\"\nkeep = \"{0}\"\n",
        fleet.dir.join("policy-0.toml").display()
    );
    let (well, log) = Program::start_with_operator_file(&text).wait();
    assert!(!well && log.contains("rollout: the table [fleet] is required"), "{log}");
    // Without the platform's front nobody would ask it.
    let others: String = (0..3)
        .map(|at| {
            let address = format!("127.0.0.1:{}", at + 1);
            format!(
                "[[fleet.member]]\nname = \"n{at}\"\naddress = \"{address}\"\nzone = \"z\"\nvoter = true\n"
            )
        })
        .collect();
    let fleet_table = "[fleet]\ncluster = \"c\"\nname = \"n0\"\nstate = \"/tmp/none\"\nzones = [\"z\"]\n"
        .to_string()
        + &others;
    let (_, log) = {
        let config = config(128, refusing_address(), &fleet.hosts);
        let table = fleet_table.clone();
        let text = table + text.split_once('\n').unwrap().1;
        Program::from_command(Command::new(env!("CARGO_BIN_EXE_micabeam")), Some(&config), None, Some(&text))
            .wait()
    };
    // As the operators' page shows it.
    let page = include_str!("../docs/operating/ingest.md");
    let line = page.lines().find_map(|line| line.strip_prefix("policy.toml: line 3")).unwrap();
    assert!(log.contains(&format!("policy-0.toml: line 3{line}")), "{log}");
    fleet.want(0, &policy(1, "s-1"));
    let stream = "[stream]\nlisten = \"127.0.0.1:0\"\nservers = [{name = \"a\", dial = \"127.0.0.1:1\"}]\n\
                  [[stream.class]]\nname = \"export\"\nrepeat = \"safe\"\n";
    let (well, log) =
        Program::start_with_operator_file(&(fleet_table + text.split_once('\n').unwrap().1 + stream)).wait();
    assert!(!well && log.contains("only the HTTP frontend applies a policy"), "{log}");
}
