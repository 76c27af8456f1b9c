//! Stories of a fleet of real processes: what its file must say, what a voter remembers, and what its figures tell.

#[path = "common/net.rs"]
mod net;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Instant;

use net::*;

/// Three processes of one zone each, all voters.
struct Fleet {
    addresses: Vec<SocketAddr>,
    files: Vec<std::path::PathBuf>,
}

impl Fleet {
    fn new() -> Fleet {
        let free: Vec<UdpSocket> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let addresses: Vec<SocketAddr> = free.iter().map(|s| s.local_addr().unwrap()).collect();
        let files = (0..3).map(|at| file(&format!("votes-{at}"), "")).collect();
        Fleet { addresses, files }
    }

    fn table(&self, own: usize) -> String {
        let mut text = format!(
            "console = \"127.0.0.1:0\"\n[fleet]\ncluster = \"story\"\nname = \"n{own}\"\nstate = \"{}\"\n\
             zones = [\"z0\", \"z1\", \"z2\"]\n",
            self.files[own].display()
        );
        for (at, address) in self.addresses.iter().enumerate() {
            text += &format!(
                "[[fleet.member]]\nname = \"n{at}\"\naddress = \"{address}\"\nzone = \"z{at}\"\nvoter = true\n"
            );
        }
        // A front that nobody uses: a process needs one.
        text + "[stream]\nlisten = \"127.0.0.1:0\"\nservers = [{name = \"a\", dial = \"127.0.0.1:1\"}]\n\
                [[stream.class]]\nname = \"export\"\nrepeat = \"safe\"\n"
    }

    /// Starts a process; its console.
    fn start(&self, own: usize) -> (Program, SocketAddr) {
        let mut program = Program::start_with_operator_file(&self.table(own));
        program.read_address();
        let console = program.read_address();
        (program, console)
    }
}

fn figure(console: SocketAddr, name: &str) -> f64 {
    let mut stream = TcpStream::connect(console).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(b"telemetry\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok()).unwrap_or(f64::NAN)
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
    }
}

#[test]
fn three_processes_know_each_other_and_one_leads() {
    let fleet = Fleet::new();
    let started: Vec<(Program, SocketAddr)> = (0..3).map(|own| fleet.start(own)).collect();
    let consoles: Vec<SocketAddr> = started.iter().map(|(_, console)| *console).collect();
    until("all know all, and follow", || {
        consoles
            .iter()
            .all(|c| figure(*c, "lb_fleet_members_up") == 3.0 && figure(*c, "lb_fleet_standing") == 0.0)
    });
    let leads = |consoles: &[SocketAddr]| {
        consoles.iter().position(|console| figure(*console, "lb_fleet_leads") == 1.0)
    };
    until("one leads", || leads(&consoles).is_some());
    let leader = leads(&consoles).unwrap();
    // The leader dies: another leads, and the one that is left over knows that it has gone.
    let mut rest = consoles.clone();
    rest.remove(leader);
    let mut started = started;
    drop(started.remove(leader));
    until("another leads", || leads(&rest).is_some());
    until("it is known to be gone", || rest.iter().all(|c| figure(*c, "lb_fleet_members_up") == 2.0));
    // With a majority lost, what is left keeps the epoch and says so.
    drop(started.remove(0));
    until("it says that it has no news", || figure(rest[1], "lb_fleet_standing") >= 1.0);
}

/// A disk that was lost is asked for from the others, a torn end is cut, and damage before it is refused.
#[test]
fn a_voter_whose_file_is_lost_torn_or_damaged() {
    let fleet = Fleet::new();
    let mut started: Vec<(Program, SocketAddr)> = (0..3).map(|own| fleet.start(own)).collect();
    let consoles: Vec<SocketAddr> = started.iter().map(|(_, console)| *console).collect();
    until("all vote", || consoles.iter().all(|c| figure(*c, "lb_fleet_votes") == 1.0));
    drop(started.pop());
    let whole = std::fs::read(&fleet.files[2]).unwrap();
    std::fs::remove_file(&fleet.files[2]).unwrap();
    let (program, console) = fleet.start(2);
    until("the others have told, and it votes", || figure(console, "lb_fleet_votes") == 1.0);
    drop(program);
    let mut torn = whole.clone();
    torn.extend([7, 7, 7]);
    std::fs::write(&fleet.files[2], &torn).unwrap();
    let (program, console) = fleet.start(2);
    until("a torn end is cut, and it votes", || figure(console, "lb_fleet_votes") == 1.0);
    drop(program);
    let mut damaged = whole;
    damaged[20] ^= 1;
    damaged.extend([0; 64]);
    std::fs::write(&fleet.files[2], &damaged).unwrap();
    let (ended_well, log) = Program::start_with_operator_file(&fleet.table(2)).wait();
    assert!(!ended_well);
    assert!(log.contains("corrupt frame at byte 18 (not an incomplete last write)"), "{log}");
}

#[test]
fn a_file_that_does_not_fit_ends_the_start_with_a_line_for_each_thing_wrong() {
    let fleet = Fleet::new();
    let table = fleet.table(0).replace("name = \"n0\"\nstate", "name = \"n7\"\nstate");
    let (ended_well, log) =
        Program::start_with_operator_file(&table.replacen("voter = true", "voter = false", 1)).wait();
    assert!(!ended_well);
    assert!(log.contains("`name` is `n7`") && log.contains("2 members have `voter = true`"), "{log}");
}

/// Datagrams of nobody, or that do not read, are counted and change nothing.
#[test]
fn what_strangers_send_is_counted_and_dropped() {
    let fleet = Fleet::new();
    let (_program, console) = fleet.start(0);
    until("it is there", || figure(console, "lb_fleet_open") == 1.0);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let member = UdpSocket::bind(fleet.addresses[1]).unwrap();
    for _ in 0..5 {
        stranger.send_to(b"MB\x01hello", fleet.addresses[0]).unwrap();
        member.send_to(b"GET / HTTP/1.1\r\n\r\n", fleet.addresses[0]).unwrap();
    }
    until("counted", || {
        figure(console, "lb_fleet_strangers_total") == 5.0 && figure(console, "lb_fleet_dropped_total") == 5.0
    });
}

/// At an upgrade the address goes to the new process when the old one stops.
#[test]
fn the_process_that_follows_takes_the_address_over() {
    let fleet = Fleet::new();
    let (old, first) = fleet.start(0);
    until("the old one holds it", || figure(first, "lb_fleet_open") == 1.0);
    let (_new, second) = fleet.start(0);
    assert_eq!(figure(second, "lb_fleet_open"), 0.0);
    old.signal("TERM");
    until("the new one holds it", || figure(second, "lb_fleet_open") == 1.0);
}
