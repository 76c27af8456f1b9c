//! The dispatcher program: reads its configuration, opens its sockets and runs the event loop.
#![forbid(unsafe_code)]

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, LoopHandle};
use clap::Parser;
use micabeam::core::Clock;
use micabeam::frontend::console::Console;
use micabeam::frontend::fleet::{self, Fleet};
use micabeam::frontend::gateway::OwnNote;
use micabeam::frontend::gearman::{self, GearmanFrontend};
use micabeam::frontend::http::{self, HttpFrontend};
use micabeam::frontend::streaming::{self, StreamingFrontend};
use micabeam::frontend::{Configs, Files, Gateway, Sockets, handover};
use micabeam::lifecycle::Lifecycle;
use micabeam::net::Net;
use micabeam::say;

/// Longest time that the event loop waits for events, in milliseconds.
const MAX_POLL_MS: f64 = 1000.0;

/// Description of the program in the `--help` output.
const ABOUT: &str = "Routes jobs to backend servers. The environment names the platform's configuration (LB_CONFIG, \
    LB_LISTEN, LB_DISCOVERY); further fronts are set up in the operator's own file";

/// The program's arguments.
#[derive(Parser)]
#[command(version, about = ABOUT)]
struct Arguments {
    /// The operator's file: TOML, with a table `stream`, `gearman` or both
    #[arg(long, value_name = "FILE")]
    operator: Option<String>,
    /// The Gearman front's settings alone, as JSON
    #[arg(long, value_name = "FILE")]
    gearman: Option<String>,
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            message.lines().for_each(say);
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: Arguments) -> Result<(), String> {
    // This fails only if a subscriber has already been set, which then stays in use.
    let _ = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).try_init();
    let mut events: EventLoop<'static, Gateway> = EventLoop::try_new().map_err(|e| e.to_string())?;
    watch_signals(&events.handle())?;
    let Arguments { operator, gearman } = arguments;
    let files = Files { config: std::env::var("LB_CONFIG").ok(), gearman, operator };
    let mut gateway = open_gateway(files, events.handle())?;
    gateway.tick();
    while !gateway.is_stopped() {
        let wait_ms = (gateway.next_deadline() - gateway.clock.now()).clamp(0.0, MAX_POLL_MS);
        let wait = Duration::from_secs_f64(wait_ms / 1e3);
        events.dispatch(Some(wait), &mut gateway).map_err(|e| format!("event loop failed: {e}"))?;
        gateway.tick();
    }
    log_counters(&gateway);
    Ok(())
}

fn watch_signals(handle: &LoopHandle<'static, Gateway>) -> Result<(), String> {
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1])
        .map_err(|e| format!("cannot set up signal handling: {e}"))?;
    let inserted = handle.insert_source(signals, |event, (), gateway: &mut Gateway| match event.signal() {
        Signal::SIGUSR1 => log_counters(gateway),
        Signal::SIGHUP => reload(gateway),
        _ => {
            gateway.stop();
            say("stopping");
        }
    });
    inserted.map(|_| ()).map_err(|e| e.to_string())
}

fn reload(gateway: &mut Gateway) {
    match gateway.reload() {
        Ok(()) => say("the configuration was read again"),
        Err(e) => {
            let reason = e.to_string().replace('\n', " ");
            say(format_args!("the old settings stay in force: {reason}"));
        }
    }
}

/// Writes the counters to standard error.
fn log_counters(gateway: &Gateway) {
    let _ = write!(std::io::stderr(), "{}", gateway.counters());
}

/// Reads the configuration files and opens the frontends and the console. The platform's HTTP frontend is
/// opened after the other frontends, because clients wait for its address.
fn open_gateway(files: Files, handle: LoopHandle<'static, Gateway>) -> Result<Gateway, String> {
    let clock = Clock::system();
    let mut net = Net::new(handle.clone());
    let configs = files.read().map_err(|e| e.to_string())?;
    check_configs(&configs)?;
    let Configs { http, gearman, streaming, fleet, console } = configs;
    let gearman = gearman.map(|config| open_gearman(config, &mut net, &clock)).transpose()?;
    let streaming = streaming.map(|config| open_streaming(config, &mut net, &clock)).transpose()?;
    let http = http.map(|config| open_http(config, &mut net, &clock)).transpose()?;
    let console = console.map(|address| open_console(address, &mut net)).transpose()?;
    let mut fleet = fleet.map(|config| open_fleet(config, handle, &clock)).transpose()?;
    let lifecycle = Lifecycle::new(clock.now());
    let mut note = None;
    let http = http.map(|(mut frontend, address)| {
        note = join_fleet_and_predecessor(&mut frontend, &mut net, address, fleet.as_mut(), &clock);
        frontend
    });
    Ok(Gateway { net, http, gearman, streaming, fleet, console, lifecycle, note, clock, files })
}

fn check_configs(configs: &Configs) -> Result<(), String> {
    if configs.http.is_none() && configs.gearman.is_none() && configs.streaming.is_none() {
        return Err("no configuration: set LB_CONFIG, or pass --operator or --gearman".into());
    }
    let shares_policy = configs.fleet.as_ref().is_some_and(|fleet| fleet.rollout.is_some());
    if shares_policy && configs.http.is_none() {
        return Err(
            "rollout: only the HTTP frontend applies a policy, and LB_CONFIG does not configure one".into()
        );
    }
    Ok(())
}

/// Connects the HTTP frontend to its fleet and to a process that already listens at its address. Returns this
/// process's handover note.
fn join_fleet_and_predecessor(
    frontend: &mut HttpFrontend,
    net: &mut Sockets,
    address: SocketAddr,
    fleet: Option<&mut Fleet>,
    clock: &Clock,
) -> Option<OwnNote> {
    let path = handover::note_path(&std::env::temp_dir(), address);
    let predecessor = handover::live_peer(&path, std::process::id());
    let note = leave_note(&path, clock);
    if let Some(fleet) = fleet {
        fleet.attach_core(frontend.core_mut());
        if fleet.shares_policy() {
            frontend.enable_policy_gate();
        }
    }
    frontend.start_upgrade_links(net, address, path, predecessor);
    note
}

/// Writes the handover note, which informs a process at the same address that this one takes over from it.
fn leave_note(path: &Path, clock: &Clock) -> Option<OwnNote> {
    let listening_since_ms = clock.now() as u64;
    let note = handover::HandoverNote { pid: std::process::id(), listening_since_ms };
    match handover::write_note(path, note) {
        Ok(()) => Some(OwnNote { path: path.to_path_buf(), listening_since_ms }),
        Err(e) => {
            say(format_args!("no hand-over note at {}: {e}", path.display()));
            None
        }
    }
}

/// Listens at an address and prints it. If `shared`, other processes may listen at the same address.
fn listen(
    net: &mut Sockets,
    address: SocketAddr,
    shared: bool,
    service: &str,
) -> Result<(usize, SocketAddr), String> {
    let (listener, local) =
        net.listen(address, shared).map_err(|e| format!("cannot listen at {address}: {e}"))?;
    let _ = writeln!(std::io::stdout(), "micabeam: {service} at {local}");
    Ok((listener, local))
}

fn open_console(address: SocketAddr, net: &mut Sockets) -> Result<Console, String> {
    let (listener, local) =
        net.listen(address, false).map_err(|e| format!("cannot listen for the console at {address}: {e}"))?;
    let _ = writeln!(std::io::stdout(), "micabeam: console at {local}");
    Ok(Console::new(listener))
}

/// Opens the frontends' side of the fleet.
fn open_fleet(
    config: fleet::Config,
    handle: LoopHandle<'static, Gateway>,
    clock: &Clock,
) -> Result<Fleet, String> {
    Fleet::new(config, handle, clock.clone()).map_err(|e| e.to_string())
}

fn open_streaming(
    config: streaming::Config,
    net: &mut Sockets,
    clock: &Clock,
) -> Result<StreamingFrontend, String> {
    let (listener, _) = listen(net, config.table.listen, false, "streams")?;
    // The dispatcher's number is part of the seed so that the dispatchers of one installation draw different
    // random numbers.
    let seed = clock.now() as u64 ^ u64::from(config.table.number) << 48;
    Ok(StreamingFrontend::new(config, seed, clock.clone(), listener))
}

fn open_gearman(
    config: gearman::Config,
    net: &mut Sockets,
    clock: &Clock,
) -> Result<GearmanFrontend, String> {
    let (listener, _) = listen(net, config.listen, false, "gearman")?;
    // The Gearman frontend counts as the only dispatcher of its workers, so its seed need not differ from
    // that of others.
    GearmanFrontend::new(config, clock.now() as u64, clock.clone(), listener).map_err(|e| e.to_string())
}

fn open_http(
    config: http::Config,
    net: &mut Sockets,
    clock: &Clock,
) -> Result<(HttpFrontend, SocketAddr), String> {
    let discovery = resolve_address("LB_DISCOVERY", "discovery", config.discovery)?;
    let requested = resolve_address("LB_LISTEN", "listen", config.listen)?;
    // The address is shared: during an upgrade, the new process listens beside this one until this one exits.
    let (listener, local) = listen(net, requested, true, "listening")?;
    Ok((HttpFrontend::new(config, clock.clone(), listener, discovery), local))
}

/// Returns the address from the environment variable or, if that is not set, from the configuration.
fn resolve_address(variable: &str, name: &str, configured: Option<SocketAddr>) -> Result<SocketAddr, String> {
    match std::env::var(variable) {
        Ok(text) => text.parse().map_err(|_| format!("{variable} is not a socket address: {text}")),
        Err(_) => configured.ok_or_else(|| format!("the configuration has no `{name}` address")),
    }
}
