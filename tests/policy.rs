//! Integration tests of a policy shared by several processes: a change that all accept, a change that one rejects, a process
//! that is frozen during a change, and the loss of the majority.

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
    /// The name and address of each server, in the order of the processes' lists.
    hosts: Vec<(&'static str, SocketAddr)>,
    listeners: Vec<TcpListener>,
}

/// Returns a policy that sends all jobs to the servers whose names begin with `server`.
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

    fn write_policy(&self, own: usize, text: &str) {
        std::fs::write(self.dir.join(format!("policy-{own}.toml")), text).unwrap();
    }

    /// Starts process `own` with the first `servers` servers in its list. Returns the process, its address for clients, and the
    /// address of its console.
    fn start(&self, own: usize, servers: usize) -> (Program, SocketAddr, SocketAddr) {
        let mut text = format!(
            "console = \"127.0.0.1:0\"\n[fleet]\ncluster = \"test\"\nname = \"n{own}\"\nstate = \"{}\"\nzones = [\"z\"]\n",
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

fn policy_status(console: SocketAddr) -> String {
    let mut stream = TcpStream::connect(console).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(b"policy\n").unwrap();
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

fn wait_until(expected: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {expected}");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// Accepts a job whose request has been read, and calls back with its result as the given server.
fn finish(job: &mut Http, address: SocketAddr, id: &str, server: usize) {
    job.send_accepted();
    Http::connect(address).call_back(id, &format!("s-{}", server + 1), "done", "done");
}

/// Submits a job at a process, and checks that the given server receives it and that the client gets its result.
fn submit_and_serve(fleet: &Fleet, address: SocketAddr, id: &str, server: usize) {
    let mut client = Http::connect(address);
    client.submit("confirm-booking", id);
    let mut job = Http::accept(&fleet.listeners[server]);
    let (head, _) = job.read();
    assert!(head.contains(&format!("Req-Id: {id}")), "{head}");
    finish(&mut job, address, id, server);
    let (head, body) = client.read();
    assert!(head.starts_with("HTTP/1.1 200") && body == "done", "{head}");
}

/// Guards against a policy change that takes effect at some processes while another rejects it.
#[test]
fn policy_change_takes_effect_at_all_processes_or_at_none() {
    let fleet = Fleet::new();
    (0..3).for_each(|own| fleet.write_policy(own, &policy(1, "s-1")));
    // The list of the third process lacks the second server.
    let started: Vec<_> = (0..3).map(|own| fleet.start(own, if own == 2 { 1 } else { 2 })).collect();
    let consoles: Vec<SocketAddr> = started.iter().map(|(_, _, console)| *console).collect();
    let all = |expected: &str| consoles.iter().all(|console| policy_status(*console).contains(expected));
    wait_until("the first policy is in force everywhere", || {
        all("runs 1 decided 1 staged none") && all("serves yes")
    });
    submit_and_serve(&fleet, started[0].1, "a-1", 0);
    submit_and_serve(&fleet, started[2].1, "a-2", 0);
    // One process reads a newer file on SIGHUP. The third rejects the policy, with the line and the reason.
    fleet.write_policy(0, &policy(2, "s-2"));
    started[0].0.signal("HUP");
    wait_until("the change is given up", || {
        all("last 2 given up: member 2: line 2: partition `p` has no server")
    });
    // The page for operators shows the same status, with other numbers and another name of the partition.
    let page = include_str!("../docs/operating/rollout.md");
    let documented =
        page.lines().find(|line| line.contains("given up: member")).unwrap().replace("`east`", "`p`");
    let without_digits = |text: &str| text.trim().replace(|c: char| c.is_ascii_digit(), "");
    assert_eq!(without_digits(&policy_status(consoles[0])), without_digits(&documented));
    assert!(all("runs 1 decided 1"));
    submit_and_serve(&fleet, started[0].1, "a-3", 0);
    // Reading the same file again proposes nothing; a higher version that all accept takes effect.
    started[0].0.signal("HUP");
    fleet.write_policy(1, &policy(3, "s-"));
    started[1].0.signal("HUP");
    wait_until("the third version is in force", || all("runs 3 decided 3"));
    assert!(all("last 3 in force"), "{}", policy_status(consoles[0]));
}

/// Guards against a process that is frozen during a policy change and, when it resumes after the end of its lease, serves the
/// request waiting in its socket under the old policy.
#[test]
fn process_frozen_during_a_change_serves_nothing_under_the_old_policy() {
    let fleet = Fleet::new();
    (0..3).for_each(|own| fleet.write_policy(own, &policy(1, "s-1")));
    let started: Vec<_> = (0..3).map(|own| fleet.start(own, 2)).collect();
    let consoles: Vec<SocketAddr> = started.iter().map(|(_, _, console)| *console).collect();
    wait_until("the policy is in force everywhere", || {
        consoles.iter().all(|c| policy_status(*c).contains("runs 1 decided 1 staged none"))
    });
    wait_until("all processes serve", || consoles.iter().all(|c| policy_status(*c).contains("serves yes")));
    started[2].0.signal("STOP");
    let mut client = Http::connect(started[2].1);
    client.submit("confirm-booking", "b-1");
    fleet.write_policy(0, &policy(2, "s-2"));
    started[0].0.signal("HUP");
    wait_until("the others run the new policy", || {
        consoles[..2].iter().all(|c| policy_status(*c).contains("runs 2 decided 2"))
    });
    submit_and_serve(&fleet, started[0].1, "b-2", 1);
    started[2].0.signal("CONT");
    let mut job = Http::accept(&fleet.listeners[1]);
    let (head, _) = job.read();
    assert!(head.contains("Req-Id: b-1"), "not at the server of the new policy: {head}");
    finish(&mut job, started[2].1, "b-1", 1);
    assert!(client.read().0.starts_with("HTTP/1.1 200"));
}

/// Guards against a process without a majority that serves past the end of its lease, rejects jobs before it, or rejects them
/// without a Retry-After.
#[test]
fn process_without_a_majority_serves_until_its_lease_expires_and_then_rejects() {
    let fleet = Fleet::new();
    (0..3).for_each(|own| fleet.write_policy(own, &policy(1, "s-1")));
    let mut started: Vec<_> = (0..3).map(|own| fleet.start(own, 2)).collect();
    let (address, console) = (started[0].1, started[0].2);
    wait_until("the policy is in force", || {
        policy_status(console).contains("runs 1 decided 1 staged none wanted none epoch 2 serves yes")
    });
    drop(started.drain(1..));
    let killed_at = Instant::now();
    submit_and_serve(&fleet, address, "c-1", 0);
    wait_until("its lease has expired", || policy_status(console).contains("serves no"));
    let served_for = killed_at.elapsed().as_millis();
    assert!(
        (1000..=2600).contains(&served_for),
        "the process served for {served_for} ms; its lease is 2000 ms"
    );
    let mut client = Http::connect(address);
    client.write("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(client.read().0.starts_with("HTTP/1.1 503"), "the readiness check must fail");
    // A job with a short deadline is rejected before its client gives up, not after 2 s.
    let sent_at = Instant::now();
    client.write("POST /confirm-booking/x HTTP/1.1\r\nHost: a\r\nReq-Id: c-0\r\nReq-Deadline: 300m\r\nContent-Length: 0\r\n\r\n");
    assert!(client.read().0.starts_with("HTTP/1.1 503") && sent_at.elapsed().as_millis() < 800);
    client.submit("confirm-booking", "c-2");
    let (head, _) = client.read();
    assert!(head.starts_with("HTTP/1.1 503") && header_value(&head, "retry-after").is_some(), "{head}");
    // Once there is a majority again the process serves again, without an action of its operator.
    started.push(fleet.start(1, 2));
    wait_until("the process serves again", || policy_status(console).contains("serves yes"));
    submit_and_serve(&fleet, address, "c-3", 0);
}

/// Guards against a start with a policy that cannot be parsed, with [rollout] but without [fleet], or with [rollout] but
/// without the HTTP frontend.
#[test]
fn invalid_policy_or_rollout_configuration_prevents_the_start() {
    let fleet = Fleet::new();
    fleet.write_policy(0, "version = 1\n[[rule]]\nnam = \"x\"\n");
    let text = format!(
        "console = \"127.0.0.1:0\"\n[rollout]\npolicy = \"{0}\"\nkeep = \"{0}\"\n",
        fleet.dir.join("policy-0.toml").display()
    );
    let (succeeded, log) = Program::start_with_operator_file(&text).wait();
    assert!(!succeeded && log.contains("rollout: the table [fleet] is required"), "{log}");
    // The three members of the fleet table.
    let members: String = (0..3)
        .map(|at| {
            let address = format!("127.0.0.1:{}", at + 1);
            format!(
                "[[fleet.member]]\nname = \"n{at}\"\naddress = \"{address}\"\nzone = \"z\"\nvoter = true\n"
            )
        })
        .collect();
    let fleet_table = "[fleet]\ncluster = \"c\"\nname = \"n0\"\nstate = \"/tmp/none\"\nzones = [\"z\"]\n"
        .to_string()
        + &members;
    let (_, log) = {
        let config = config(128, refusing_address(), &fleet.hosts);
        let table = fleet_table.clone();
        let text = table + text.split_once('\n').unwrap().1;
        Program::from_command(Command::new(env!("CARGO_BIN_EXE_micabeam")), Some(&config), None, Some(&text))
            .wait()
    };
    // The page for operators shows the same message.
    let page = include_str!("../docs/operating/ingest.md");
    let documented = page.lines().find_map(|line| line.strip_prefix("policy.toml: line 3")).unwrap();
    assert!(log.contains(&format!("policy-0.toml: line 3{documented}")), "{log}");
    // Only the HTTP frontend applies a policy.
    fleet.write_policy(0, &policy(1, "s-1"));
    let stream = "[stream]\nlisten = \"127.0.0.1:0\"\nservers = [{name = \"a\", dial = \"127.0.0.1:1\"}]\n\
                  [[stream.class]]\nname = \"export\"\nrepeat = \"safe\"\n";
    let (succeeded, log) =
        Program::start_with_operator_file(&(fleet_table + text.split_once('\n').unwrap().1 + stream)).wait();
    assert!(!succeeded && log.contains("only the HTTP frontend applies a policy"), "{log}");
}
