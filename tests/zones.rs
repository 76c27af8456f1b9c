//! Integration tests of a fleet of processes: checks of its configuration, the vote file of a voter, and the metrics.

#[path = "common/net.rs"]
mod net;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Instant;

use net::*;

/// Three processes in different zones, all of them voters.
struct Fleet {
    addresses: Vec<SocketAddr>,
    vote_files: Vec<std::path::PathBuf>,
}

impl Fleet {
    fn new() -> Fleet {
        let free: Vec<UdpSocket> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let addresses: Vec<SocketAddr> = free.iter().map(|s| s.local_addr().unwrap()).collect();
        let vote_files = (0..3).map(|at| file(&format!("votes-{at}"), "")).collect();
        Fleet { addresses, vote_files }
    }

    fn table(&self, own: usize) -> String {
        let mut text = format!(
            "console = \"127.0.0.1:0\"\n[fleet]\ncluster = \"test\"\nname = \"n{own}\"\nstate = \"{}\"\n\
             zones = [\"z0\", \"z1\", \"z2\"]\n",
            self.vote_files[own].display()
        );
        for (at, address) in self.addresses.iter().enumerate() {
            text += &format!(
                "[[fleet.member]]\nname = \"n{at}\"\naddress = \"{address}\"\nzone = \"z{at}\"\nvoter = true\n"
            );
        }
        // An unused frontend: a process needs at least one.
        text + "[stream]\nlisten = \"127.0.0.1:0\"\nservers = [{name = \"a\", dial = \"127.0.0.1:1\"}]\n\
                [[stream.class]]\nname = \"export\"\nrepeat = \"safe\"\n"
    }

    /// Starts a process. Returns it and the address of its console.
    fn start(&self, own: usize) -> (Program, SocketAddr) {
        let mut program = Program::start_with_operator_file(&self.table(own));
        program.read_address();
        let console = program.read_address();
        (program, console)
    }
}

fn metric(console: SocketAddr, name: &str) -> f64 {
    let mut stream = TcpStream::connect(console).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(b"telemetry\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok()).unwrap_or(f64::NAN)
}

fn wait_until(expected: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {expected}");
    }
}

/// Guards against a fleet that does not elect a leader, does not replace one that is killed, or does not report that it has
/// lost the majority.
#[test]
fn fleet_elects_a_leader_replaces_it_and_reports_the_loss_of_the_majority() {
    let fleet = Fleet::new();
    let started: Vec<(Program, SocketAddr)> = (0..3).map(|own| fleet.start(own)).collect();
    let consoles: Vec<SocketAddr> = started.iter().map(|(_, console)| *console).collect();
    wait_until("each process knows all members and follows a leader", || {
        consoles
            .iter()
            .all(|c| metric(*c, "lb_fleet_members_up") == 3.0 && metric(*c, "lb_fleet_standing") == 0.0)
    });
    let leader_of = |consoles: &[SocketAddr]| {
        consoles.iter().position(|console| metric(*console, "lb_fleet_leads") == 1.0)
    };
    wait_until("a leader is elected", || leader_of(&consoles).is_some());
    let leader = leader_of(&consoles).unwrap();
    // The leader is killed: one of the other two takes over, and both notice that it is down.
    let mut remaining = consoles.clone();
    remaining.remove(leader);
    let mut started = started;
    drop(started.remove(leader));
    wait_until("another leader is elected", || leader_of(&remaining).is_some());
    wait_until("both other processes count it as down", || {
        remaining.iter().all(|c| metric(*c, "lb_fleet_members_up") == 2.0)
    });
    // Without a majority the last process keeps its epoch and reports that it has no newer decision.
    drop(started.remove(0));
    wait_until("the last process reports the loss of the majority", || {
        metric(remaining[1], "lb_fleet_standing") >= 1.0
    });
}

/// Guards against a voter that votes with corrupt state. A lost vote file is restored from the other members, an incomplete
/// last write is truncated, and damage before the end prevents the start.
#[test]
fn voter_restores_a_lost_file_truncates_an_incomplete_write_and_rejects_a_corrupt_file() {
    let fleet = Fleet::new();
    let mut started: Vec<(Program, SocketAddr)> = (0..3).map(|own| fleet.start(own)).collect();
    let consoles: Vec<SocketAddr> = started.iter().map(|(_, console)| *console).collect();
    wait_until("all processes vote", || consoles.iter().all(|c| metric(*c, "lb_fleet_votes") == 1.0));
    drop(started.pop());
    let intact = std::fs::read(&fleet.vote_files[2]).unwrap();
    std::fs::remove_file(&fleet.vote_files[2]).unwrap();
    let (program, console) = fleet.start(2);
    wait_until("the voter votes with the state from the other members", || {
        metric(console, "lb_fleet_votes") == 1.0
    });
    drop(program);
    let mut incomplete = intact.clone();
    incomplete.extend([7, 7, 7]);
    std::fs::write(&fleet.vote_files[2], &incomplete).unwrap();
    let (program, console) = fleet.start(2);
    wait_until("the voter truncates the incomplete write and votes", || {
        metric(console, "lb_fleet_votes") == 1.0
    });
    drop(program);
    let mut corrupt = intact;
    corrupt[20] ^= 1;
    corrupt.extend([0; 64]);
    std::fs::write(&fleet.vote_files[2], &corrupt).unwrap();
    let (succeeded, log) = Program::start_with_operator_file(&fleet.table(2)).wait();
    assert!(!succeeded);
    assert!(log.contains("corrupt frame at byte 18 (not an incomplete last write)"), "{log}");
}

/// Guards against a start with an inconsistent fleet table, and against a message that omits one of its errors.
#[test]
fn invalid_fleet_table_prevents_the_start_and_each_error_is_logged() {
    let fleet = Fleet::new();
    let table = fleet.table(0).replace("name = \"n0\"\nstate", "name = \"n7\"\nstate");
    let (succeeded, log) =
        Program::start_with_operator_file(&table.replacen("voter = true", "voter = false", 1)).wait();
    assert!(!succeeded);
    assert!(log.contains("`name` is `n7`") && log.contains("2 members have `voter = true`"), "{log}");
}

/// Guards against datagrams that are processed although they come from a non-member or cannot be parsed.
#[test]
fn datagrams_of_non_members_and_invalid_datagrams_are_counted_and_dropped() {
    let fleet = Fleet::new();
    let (_program, console) = fleet.start(0);
    wait_until("the process has opened its fleet socket", || metric(console, "lb_fleet_open") == 1.0);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let member = UdpSocket::bind(fleet.addresses[1]).unwrap();
    for _ in 0..5 {
        stranger.send_to(b"MB\x01hello", fleet.addresses[0]).unwrap();
        member.send_to(b"GET / HTTP/1.1\r\n\r\n", fleet.addresses[0]).unwrap();
    }
    wait_until("all datagrams have been counted", || {
        metric(console, "lb_fleet_strangers_total") == 5.0 && metric(console, "lb_fleet_dropped_total") == 5.0
    });
}

/// Guards against an upgrade after which neither process or both processes have the fleet address: the new process
/// opens it when the old one stops.
#[test]
fn new_process_takes_over_the_fleet_address_at_an_upgrade() {
    let fleet = Fleet::new();
    let (old_process, old_console) = fleet.start(0);
    wait_until("the old process has the address", || metric(old_console, "lb_fleet_open") == 1.0);
    let (_new_process, new_console) = fleet.start(0);
    assert_eq!(metric(new_console, "lb_fleet_open"), 0.0);
    old_process.signal("TERM");
    wait_until("the new process has the address", || metric(new_console, "lb_fleet_open") == 1.0);
}
