//! Compatibility with earlier versions: stored files of an earlier version are read and used, and everything
//! that is visible from outside (metrics, counters, console answers, messages for refused configurations)
//! matches the fixtures.

#[path = "common/net.rs"]
mod net;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

use micabeam::core::{Clock, Core, ListedEndpoint};
use micabeam::frontend::handover::HandoverNote;
use micabeam::lifecycle::warm_state::WarmStateFile;
use micabeam::routing::{Endpoint, EndpointId, EndpointStatus};
use micabeam::settings::Site;
use net::*;

const PROGRAM_PATH: &str = env!("CARGO_BIN_EXE_micabeam");

/// Returns the path of a fixture.
fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// Asserts that a text equals a fixture, and prints the whole text if it does not.
fn assert_fixture(name: &str, now: &str) {
    let known = std::fs::read_to_string(fixture(name)).unwrap_or_default();
    assert!(known == now, "tests/fixtures/{name} differs; now it is:\n{now}");
}

/// Sends one line to a console and returns the whole answer.
fn console_call(console: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(console).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// Polls until `holds` returns true. Panics with `what` after `TEST_TIMEOUT`.
fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// A fleet of three members on loopback, with a directory for their vote files and policies.
struct Fleet {
    addresses: Vec<SocketAddr>,
    dir: PathBuf,
}

impl Fleet {
    fn new() -> Fleet {
        let free: Vec<UdpSocket> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let addresses = free.iter().map(|s| s.local_addr().unwrap()).collect();
        Fleet { addresses, dir: file("state", "").parent().unwrap().to_path_buf() }
    }

    /// Returns a fleet with vote files and policies that an earlier version has stored.
    fn with_stored_state() -> Fleet {
        let fleet = Fleet::new();
        for own in 0..3 {
            let votes = format!("votes-{own}");
            std::fs::copy(fixture("fleet").join(&votes), fleet.dir.join(&votes)).unwrap();
            let kept = format!("kept-{own}");
            std::fs::create_dir_all(fleet.dir.join(&kept)).unwrap();
            for entry in std::fs::read_dir(fixture("fleet").join("kept")).unwrap() {
                let entry = entry.unwrap();
                std::fs::copy(entry.path(), fleet.dir.join(&kept).join(entry.file_name())).unwrap();
            }
        }
        fleet
    }

    /// Writes the policy file of a member, with this version.
    fn write_policy(&self, own: usize, version: u64) {
        let text = format!(
            "version = {version}\n[[partition]]\nname = \"p\"\nprefixes = [\"s-\"]\n[[rule]]\nname = \"all\"\npartition = \"p\"\n"
        );
        std::fs::write(self.dir.join(format!("policy-{own}.toml")), text).unwrap();
    }

    /// Returns the operator file of a member.
    fn operator_file(&self, own: usize) -> String {
        let mut text = format!(
            "console = \"127.0.0.1:0\"\n[fleet]\ncluster = \"stored\"\nname = \"n{own}\"\nstate = \"{}\"\nzones = [\"z\"]\n",
            self.dir.join(format!("votes-{own}")).display()
        );
        for (at, address) in self.addresses.iter().enumerate() {
            text += &format!(
                "[[fleet.member]]\nname = \"n{at}\"\naddress = \"{address}\"\nzone = \"z\"\nvoter = true\n"
            );
        }
        text + &format!(
            "[rollout]\npolicy = \"{}\"\nkeep = \"{}\"\nlease_ms = 2000\n",
            self.dir.join(format!("policy-{own}.toml")).display(),
            self.dir.join(format!("kept-{own}")).display()
        )
    }

    /// Starts a member and returns it with its console's address.
    fn start(&self, own: usize) -> (Program, SocketAddr) {
        let config = config(128, refusing_address(), &[("s-1", refusing_address())]);
        let mut program = Program::from_command(
            Command::new(PROGRAM_PATH),
            Some(&config),
            None,
            Some(&self.operator_file(own)),
        );
        program.read_address();
        let console = program.read_address();
        (program, console)
    }
}

/// Version 2 of the policy was in force when the whole fleet was stopped, and the operators' files still have
/// version 1. Guards against a fleet that ignores its stored state: it would apply version 1.
#[test]
fn a_fleet_resumes_from_its_stored_votes_and_policies() {
    let fleet = Fleet::with_stored_state();
    (0..3).for_each(|own| fleet.write_policy(own, 1));
    let started: Vec<_> = (0..3).map(|own| fleet.start(own)).collect();
    let all = |what: &str| started.iter().all(|(_, console)| console_call(*console, "policy").contains(what));
    wait_until("the stored version is in force", || {
        all("runs 2 decided 2 staged none wanted none epoch 4 serves yes")
    });
    assert!(all("last 2 in force"));
    fleet.write_policy(1, 3);
    started[1].0.signal("HUP");
    wait_until("the next version is in force", || {
        all("runs 3 decided 3 staged none wanted none epoch 6 serves yes")
    });
}

/// Guards against a warm state from an upgrade of an earlier version, written after it had served jobs, that
/// the next process cannot read or restores only in part.
#[test]
fn a_stored_warm_state_and_its_handover_note_are_restored() {
    let note = HandoverNote::parse(include_str!("fixtures/upgrade/note.handover")).expect("a valid note");
    let bytes = include_bytes!("fixtures/upgrade/state.memory");
    let names: Vec<String> =
        ["avail-search", "confirm-booking", "short-hold"].into_iter().map(String::from).collect();
    let left_at = f64::from_le_bytes(bytes[18 + PID_BYTES..][..8].try_into().unwrap());
    let memory = WarmStateFile::decode(bytes, note.pid, &names, left_at + 500.0).expect("a valid state");
    assert_eq!(memory.encode(), bytes, "encoding does not give the same bytes");
    assert_eq!(memory.endpoints.len(), 2);
    let site = Site::parse(SETTINGS.as_bytes()).unwrap();
    let mut core = Core::new(site, 1, Clock::manual(left_at + 500.0), 64);
    let line = |line: &micabeam::lifecycle::warm_state::StoredEndpoint| ListedEndpoint {
        name: line.name.clone(),
        address: line.address.clone(),
        endpoint: Endpoint {
            id: EndpointId(0),
            kind: line.kind,
            zone: line.zone,
            cell: line.cell,
            size: line.size,
            started_at: line.started_at_us,
            status: if line.is_draining { EndpointStatus::Draining } else { EndpointStatus::Ready },
        },
    };
    assert!(core.restore_warm_state(memory.endpoints.iter().map(line).collect(), memory.learned.clone()));
    assert_eq!(core.warm_state(), memory.learned, "not all of the warm state was restored");
}

/// Length of the PID, a variable-length integer, in the fixture.
const PID_BYTES: usize = 2;

/// Guards against a metric whose name, type or labels change, which would break dashboards and alerts.
#[test]
fn metrics_keep_their_names_types_and_labels() {
    let fleet = Fleet::with_stored_state();
    (0..3).for_each(|own| fleet.write_policy(own, 1));
    let started: Vec<_> = (0..3).map(|own| fleet.start(own)).collect();
    wait_until("no fleet metrics", || console_call(started[0].1, "telemetry").contains("lb_fleet_evidence{"));
    let text = console_call(started[0].1, "telemetry");
    let mut rows = BTreeSet::new();
    for line in text.lines() {
        if let Some(declared) = line.strip_prefix("# TYPE ") {
            rows.insert(declared.to_string());
        } else if let Some((name, labels)) = line.split_once('{') {
            let values: Vec<&str> = labels.split('"').collect();
            let keys: String = values.iter().step_by(2).copied().collect::<Vec<_>>().join("\"\"");
            rows.insert(format!("{name}{{{}", keys.rsplit_once(' ').unwrap().0));
        }
    }
    let now: String = rows.into_iter().map(|row| row + "\n").collect();
    assert_fixture("figures.txt", &now);
    assert!(text.ends_with("--\n"));
}

/// Compares the console's answer to each call, while serving, evacuating and draining, with the fixture.
#[test]
fn the_console_answers_as_before() {
    let config = config(128, refusing_address(), &[("s-1", refusing_address())]);
    let config = config.replacen('{', r#"{"console": "127.0.0.1:0", "#, 1);
    let mut program = Program::start(Some(&config), None);
    program.read_address();
    let console = program.read_address();
    let mut log = String::new();
    for line in
        ["readyz", "policy", "evacuate", "readyz", "evacuate", "activate", "readyz", "activate", "", "what"]
    {
        log += &format!("{line}: {}", console_call(console, line));
    }
    program.signal("TERM");
    wait_until("it drains", || console_call(console, "readyz") != "ACK ready\n");
    for line in ["readyz", "evacuate", "activate"] {
        log += &format!("{line}: {}", console_call(console, line));
    }
    assert_fixture("console.txt", &log);
    assert_eq!(program.child.wait().unwrap().code(), Some(0));
}

/// Compares the names of all counters, in `GET /counters` and in the log at exit, with the fixture.
#[test]
fn counters_keep_their_names() {
    let text = "[stream]\nlisten = \"127.0.0.1:0\"\nconnections = 16\npipes = 0\nservers = [{name = \"a\", dial = \"127.0.0.1:1\"}]\n\
        [[stream.class]]\nname = \"export\"\nrepeat = \"safe\"\n\
        [gearman]\nlisten = \"127.0.0.1:0\"\npeers = 8\n[gearman.functions.search]\nclass = \"avail-search\"\n";
    let config = config(512, refusing_address(), &[]);
    let mut program = Program::from_command(Command::new(PROGRAM_PATH), Some(&config), None, Some(text));
    // The addresses of the Gearman and the streaming frontend are printed first.
    let addresses: Vec<SocketAddr> = (0..3).map(|_| program.read_address()).collect();
    let mut http = Http::connect(addresses[2]);
    http.write("GET /counters HTTP/1.1\r\nHost: a\r\n\r\n");
    let name = |line: &str| line.split(' ').next().unwrap_or_default().to_string() + "\n";
    let mut now = "GET /counters\n".to_string();
    now.extend(http.read().1.lines().map(name));
    program.signal("TERM");
    let (exited_cleanly, log) = program.wait();
    assert!(exited_cleanly, "{log}");
    now += "at the end\n";
    // The log also holds plain lines and events of `tracing`.
    let is_counter = |line: &&str| !line.starts_with("micabeam: ") && !line.contains(" INFO micabeam::");
    now.extend(log.lines().filter(is_counter).map(name));
    assert_fixture("counters.txt", &now);
}

/// One start of the gateway: its files, environment variables and arguments.
#[derive(Default)]
struct Start<'a> {
    config: Option<String>,
    gearman: Option<&'a str>,
    operator: Option<String>,
    variables: Vec<(&'a str, &'a str)>,
    arguments: Vec<&'a str>,
}

impl Start<'_> {
    /// Runs the gateway until it exits. Returns its exit code and its output, with paths of files shortened
    /// to their names.
    fn run(&self) -> (Option<i32>, String) {
        let mut command = Command::new(PROGRAM_PATH);
        for variable in ["LB_CONFIG", "LB_LISTEN", "LB_DISCOVERY", "LB_NAME", "LB_CONSOLE"] {
            command.env_remove(variable);
        }
        let mut files = Vec::new();
        let mut place = |name: &str, text: &str| {
            files.push(file(name, text));
            files.last().unwrap().clone()
        };
        if let Some(config) = &self.config {
            command.env("LB_CONFIG", place("config.json", config));
        }
        if let Some(gearman) = self.gearman {
            command.arg("--gearman").arg(place("gearman.json", gearman));
        }
        if let Some(operator) = &self.operator {
            command.arg("--operator").arg(place("operator.toml", operator));
        }
        command.envs(self.variables.iter().copied()).args(&self.arguments);
        let output = command.output().unwrap();
        let mut text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
        let root = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        while let Some(at) = text.find(root.to_str().unwrap()) {
            // Remove the root and the test's directory below it.
            let own = text[at + root.as_os_str().len() + 1..].find('/').unwrap();
            text.replace_range(at..at + root.as_os_str().len() + own + 2, "");
        }
        let listens = "listening at 127.0.0.1:";
        if let Some(at) = text.find(listens).map(|at| at + listens.len()) {
            let end = at + text[at..].find('\n').unwrap();
            text.replace_range(at - "127.0.0.1:".len()..end, "ADDRESS");
        }
        (output.status.code(), text)
    }
}

/// Returns a valid configuration in which `from` is replaced with `to`.
fn config_with(from: &str, to: &str) -> Option<String> {
    let discovery = "127.0.0.1:1".parse().unwrap();
    let plain = config(128, discovery, &[("s-1", discovery)]);
    assert!(plain.contains(from), "{from}");
    Some(plain.replacen(from, to, 1))
}

/// Returns a start with a configuration in which `from` is replaced with `to`, which makes it invalid.
fn config_case<'a>(from: &str, to: &str) -> Start<'a> {
    Start { config: config_with(from, to), ..Start::default() }
}

/// Returns a start with a valid configuration and this Gearman file.
fn gearman_case(gearman: &str) -> Start<'_> {
    Start { config: config_with("", ""), gearman: Some(gearman), ..Start::default() }
}

/// Returns a start with this operator file alone.
fn operator_case<'a>(operator: impl Into<String>) -> Start<'a> {
    Start { operator: Some(operator.into()), ..Start::default() }
}

/// Guards against a refused configuration whose exit code or message changes.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of configurations and their messages")]
fn a_bad_configuration_is_refused_with_the_same_messages() {
    let deep = "[".repeat(40);
    let variable = |name, value| Start {
        config: config_with("", ""),
        variables: vec![(name, value)],
        ..Start::default()
    };
    let fleet = |from: &str, to: &str| {
        let good = "[fleet]\ncluster = \"c\"\nname = \"n0\"\nstate = \"votes\"\nzones = [\"a\", \"b\"]\n\
            [[fleet.member]]\nname = \"n0\"\naddress = \"127.0.0.1:1\"\nzone = \"a\"\nvoter = true\n\
            [[fleet.member]]\nname = \"n1\"\naddress = \"127.0.0.1:2\"\nzone = \"b\"\nvoter = true\n\
            [[fleet.member]]\nname = \"n2\"\naddress = \"127.0.0.1:3\"\nzone = \"b\"\nvoter = true\n\
            [rollout]\npolicy = \"no/policy\"\nkeep = \"kept\"\n";
        assert!(good.contains(from), "{from}");
        Start { config: config_with("", ""), ..operator_case(good.replacen(from, to, 1)) }
    };
    let stored = |votes: &[u8]| {
        let path = file("votes", "");
        std::fs::write(&path, votes).unwrap();
        let policy = file("policy.toml", "version = 1\n");
        fleet("\"votes\"", &format!("\"{}\"", path.display()))
            .with_operator(|text| text.replace("no/policy", policy.to_str().unwrap()))
    };
    let stream = "[stream]\nlisten = \"127.0.0.1:0\"\n";
    let cases = [
        ("no configuration", Start::default()),
        ("no such file", Start { variables: vec![("LB_CONFIG", "no/such/file")], ..Start::default() }),
        ("no json", Start { config: Some("{".into()), ..Start::default() }),
        ("nested", Start { config: Some(deep), ..Start::default() }),
        ("empty", Start { config: Some("{}".into()), ..Start::default() }),
        ("no grades", config_case("\"grades\"", "\"grade\"")),
        ("semantics", config_case("retryable", "sometimes")),
        ("key scope", config_case("\"retryable\"", "\"dedup\", \"keyScope\": \"town\"")),
        ("aim", config_case("\"aim\"", "\"goal\"")),
        ("quantum", config_case("\"quantum\"", "\"quant\"")),
        ("balancers", config_case("\"balancers\"", "\"b\"")),
        ("number", config_case("\"myNumber\"", "\"n\"")),
        ("send cap", config_case("\"sendCap\"", "\"s\"")),
        ("cold from", config_case("\"coldFrom\"", "\"c\"")),
        ("cold", config_case("\"cold\"", "\"c\"")),
        ("tip multiple", config_case("\"tipMultiple\"", "\"t\"")),
        ("seed", config_case("5eed", "seed")),
        ("sockets", config_case("128", "3")),
        ("listen", config_case("127.0.0.1:0", "here")),
        ("discovery", config_case("127.0.0.1:1", "there")),
        ("no listen", config_case("\"listen\"", "\"listens\"")),
        ("no discovery", config_case("\"discovery\"", "\"discover\"")),
        ("console", config_case("\"name\"", "\"console\": \"x\", \"name\"")),
        ("list without version", config_case("\"seq\"", "\"s\"")),
        ("line without name", config_case("\"host\": \"s-1\"", "\"h\": 1")),
        ("LB_LISTEN", variable("LB_LISTEN", "here")),
        ("LB_DISCOVERY", variable("LB_DISCOVERY", "there")),
        ("LB_CONSOLE", variable("LB_CONSOLE", "there")),
        ("gearman listen", gearman_case("{}")),
        ("gearman address", gearman_case(r#"{"listen": "x"}"#)),
        ("gearman functions", gearman_case(r#"{"listen": "127.0.0.1:0"}"#)),
        ("gearman no function", gearman_case(r#"{"listen": "127.0.0.1:0", "functions": {}}"#)),
        ("gearman name", gearman_case(r#"{"listen": "127.0.0.1:0", "functions": {"a b": {}}}"#)),
        ("gearman no class", gearman_case(r#"{"listen": "127.0.0.1:0", "functions": {"a": {}}}"#)),
        ("gearman class", gearman_case(r#"{"listen": "127.0.0.1:0", "functions": {"a": {"class": "x"}}}"#)),
        (
            "gearman tenant",
            gearman_case(
                r#"{"listen": "127.0.0.1:0", "functions": {"a": {"class": "avail-search", "tenant": "x"}}}"#,
            ),
        ),
        (
            "gearman identity",
            gearman_case(
                r#"{"listen": "127.0.0.1:0", "functions": {"a": {"class": "avail-search"}}, "identity": {}}"#,
            ),
        ),
        ("gearman alone", Start { gearman: Some(r#"{"listen": "127.0.0.1:0"}"#), ..Start::default() }),
        ("operator missing", Start { arguments: vec!["--operator", "no/such/file"], ..Start::default() }),
        ("operator no toml", operator_case("[stream\n")),
        ("operator key", operator_case("[streams]\n")),
        ("operator empty", operator_case("")),
        ("stream nothing", operator_case(stream)),
        (
            "stream figures",
            operator_case(format!(
                "{stream}servers = [{{name = \"a\", dial = \"127.0.0.1:1\"}}, {{name = \"a\", dial = \"127.0.0.1:1\"}}]\n\
                 attempts = 9\nmemory_mb = 2\n[[stream.class]]\nname = \"a/b\"\nrepeat = \"safe\"\nwait_s = 0\n"
            )),
        ),
        (
            "stream class",
            operator_case(format!("{stream}[[stream.class]]\nname = \"a\"\nrepeat = \"often\"\n")),
        ),
        (
            "gearman twice",
            Start {
                operator: Some("[gearman]\nlisten = \"127.0.0.1:0\"\n[gearman.functions]\n".into()),
                ..gearman_case("{}")
            },
        ),
        (
            "rollout alone",
            operator_case("console = \"127.0.0.1:0\"\n[rollout]\npolicy = \"p\"\nkeep = \"k\"\n"),
        ),
        ("rollout without the platform", Start { config: None, ..fleet("", "").with_stream(stream) }),
        ("fleet own", fleet("name = \"n0\"\nstate", "name = \"n9\"\nstate")),
        ("fleet state", fleet("state = \"votes\"\n", "")),
        ("fleet twice", fleet("127.0.0.1:2", "127.0.0.1:1")),
        ("fleet zone", fleet("[\"a\", \"b\"]", "[\"a\"]")),
        ("fleet voters", fleet("zone = \"a\"\nvoter = true", "zone = \"a\"")),
        ("fleet cluster", fleet("cluster = \"c\"", "cluster = \"\"")),
        (
            "fleet figures",
            fleet("zones =", "slots = 0\ngeneration = 0\nrules = {margin = 2, keep_ms = 1}\nzones ="),
        ),
        ("rollout figures", fleet("keep =", "lease_ms = 1\nhold_ms = 1\nkeep =")),
        ("rollout policy", fleet("", "")),
        ("votes foreign", stored(b"something else, and long")),
        ("votes damaged", stored(&damaged())),
        ("votes of a later generation", stored(&generation(2))),
        ("votes of a later version", stored(&newer())),
        ("unknown flag", Start { arguments: vec!["--nonsense"], ..Start::default() }),
        ("help", Start { arguments: vec!["--help"], ..Start::default() }),
        ("version", Start { arguments: vec!["--version"], ..Start::default() }),
    ];
    let mut now = String::new();
    for (name, start) in cases {
        let (code, text) = start.run();
        now += &format!("== {name}\nexit {code:?}\n{text}");
    }
    assert_fixture("refusals.txt", &now);
}

impl Start<'_> {
    fn with_operator(mut self, change: impl Fn(&str) -> String) -> Self {
        self.operator = self.operator.map(|text| change(&text));
        self
    }

    fn with_stream(self, stream: &str) -> Self {
        let servers = "servers = [{name = \"a\", dial = \"127.0.0.1:1\"}]\n[[stream.class]]\nname = \"e\"\nrepeat = \"safe\"\n";
        self.with_operator(|text| {
            format!("{text}{stream}{servers}").replace("no/policy", policy_file().to_str().unwrap())
        })
    }
}

fn policy_file() -> PathBuf {
    file("policy.toml", "version = 1\n")
}

/// Returns a vote file with a damaged byte in its first batch.
fn damaged() -> Vec<u8> {
    let mut bytes = std::fs::read(fixture("fleet/votes-0")).unwrap();
    bytes[35] ^= 1;
    // A valid batch follows, so this is not a torn write at the end: votes after the damage may have been
    // sent.
    bytes.extend(bytes[18..].to_vec());
    bytes
}

/// Returns the header of a vote file.
fn votes_head(version: u16, generation: u32) -> Vec<u8> {
    let mut bytes = b"micabeam".to_vec();
    bytes.extend(version.to_le_bytes());
    bytes.extend(generation.to_le_bytes());
    bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
    bytes
}

/// Returns an empty vote file of this generation.
fn generation(generation: u32) -> Vec<u8> {
    votes_head(1, generation)
}

/// Returns an empty vote file of a later format version.
fn newer() -> Vec<u8> {
    votes_head(2, 1)
}

/// Guards against environment variables that do not override the configuration, and addresses that are not
/// printed at the start.
#[test]
fn environment_variables_override_the_configuration() {
    let (front, discovery) = (listener(), listener());
    let address = front.1;
    drop(front);
    let mut command = Command::new(PROGRAM_PATH);
    for variable in ["LB_CONFIG", "LB_NAME"] {
        command.env_remove(variable);
    }
    command.env("LB_CONFIG", file("config.json", &config_with("", "").unwrap()));
    command.env("LB_LISTEN", address.to_string()).env("LB_DISCOVERY", discovery.1.to_string());
    command.env("LB_CONSOLE", "127.0.0.1:0");
    let mut child =
        command.stdout(std::process::Stdio::piped()).stderr(std::process::Stdio::null()).spawn().unwrap();
    let mut out = std::io::BufReader::new(child.stdout.take().unwrap());
    let mut lines = [String::new(), String::new()];
    lines.iter_mut().for_each(|line| drop(std::io::BufRead::read_line(&mut out, line)));
    let asked = Http::accept(&discovery.0).read().0;
    let _ = child.kill();
    let _ = child.wait();
    assert_eq!(lines[0], format!("micabeam: listening at {address}\n"));
    assert!(lines[1].starts_with("micabeam: console at 127.0.0.1:"), "{lines:?}");
    assert!(asked.starts_with("GET /discovery/hosts?since=7&timeout_ms="), "{asked}");
}
