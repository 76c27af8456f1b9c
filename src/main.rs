//! The dispatcher: reads its configuration, opens its sockets and runs the loop.
#![forbid(unsafe_code)]

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use clap::Parser;
use micabeam::core::Clock;
use micabeam::frontend::console::Console;
use micabeam::frontend::fleet::Fleet;
use micabeam::frontend::gearman::{self, GearmanFrontend};
use micabeam::frontend::http::{self, HttpFrontend};
use micabeam::frontend::streaming::{self, StreamingFrontend};
use micabeam::frontend::{Configs, Files, Gateway, handover};
use micabeam::lifecycle::Lifecycle;
use micabeam::net::Net;
use micabeam::say;

/// Longest time between two rounds of the loop.
const ROUND: f64 = 1000.0;

/// Routes jobs to backend servers. The environment names the platform's configuration (LB_CONFIG, LB_LISTEN,
/// LB_DISCOVERY); further fronts are set up in the operator's own file.
#[derive(Parser)]
#[command(version)]
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
    let mut events: EventLoop<'static, Gateway> = EventLoop::try_new().map_err(|e| e.to_string())?;
    let handle = events.handle();
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1])
        .map_err(|e| format!("signals: {e}"))?;
    handle
        .insert_source(signals, |event, (), gateway: &mut Gateway| match event.signal() {
            Signal::SIGUSR1 => tell(gateway),
            Signal::SIGHUP => match gateway.reload() {
                Ok(()) => say("the configuration was read again"),
                Err(e) => say(format_args!("the old settings stay in force: {}", e.replace('\n', " "))),
            },
            _ => {
                gateway.stop();
                say("stopping");
            }
        })
        .map_err(|e| e.to_string())?;

    let clock = Clock::system();
    let mut net = Net::new(handle.clone());
    let Arguments { operator, gearman } = arguments;
    let files = Files { config: std::env::var("LB_CONFIG").ok(), gearman, operator };
    let Configs { platform, gearman, stream, fleet, console } = files.read()?;
    if platform.is_none() && gearman.is_none() && stream.is_none() {
        return Err("LB_CONFIG names no configuration, and --operator or --gearman no operator's file".into());
    }
    if fleet.as_ref().is_some_and(|fleet| fleet.rollout.is_some()) && platform.is_none() {
        return Err("rollout: only the platform's front asks a policy, and LB_CONFIG names none".into());
    }
    let gearman = gearman.map(|config| open_gearman(config, &mut net, &clock)).transpose()?;
    let stream = stream.map(|config| open_stream(config, &mut net, &clock)).transpose()?;
    let platform = platform.map(|config| open_platform(config, &mut net, &clock)).transpose()?;
    let console = console.map(|address| open_console(address, &mut net)).transpose()?;
    let mut fleet = fleet.map(|config| open_fleet(config, handle, &clock)).transpose()?;
    let life = Lifecycle::new(clock.now());
    let mut note = None;
    let platform = platform.map(|(mut front, local)| {
        let path = handover::path(&std::env::temp_dir(), local);
        let before = handover::beside(&path, std::process::id());
        note = leave_note(&path, &clock);
        if let Some(fleet) = &mut fleet {
            fleet.steer(front.core_mut());
            if fleet.shares_policy() {
                front.guard();
            }
        }
        front.join(&mut net, local, path, before);
        front
    });
    let mut gateway = Gateway { net, platform, gearman, stream, fleet, console, life, note, clock, files };
    gateway.tick();
    while !gateway.stopped() {
        let wait = (gateway.next_deadline() - gateway.clock.now()).clamp(0.0, ROUND);
        let wait = Duration::from_secs_f64(wait / 1e3);
        events.dispatch(Some(wait), &mut gateway).map_err(|e| format!("the loop: {e}"))?;
        gateway.tick();
    }
    tell(&gateway);
    Ok(())
}

/// Writes the counters to the log.
fn tell(gateway: &Gateway) {
    let _ = write!(std::io::stderr(), "{}", gateway.counters());
}

/// Leaves the note that tells a process at the same address that this one takes over from it.
fn leave_note(path: &Path, clock: &Clock) -> Option<(PathBuf, u64)> {
    let note = handover::HandoverNote { pid: std::process::id(), at: clock.now() as u64 };
    match handover::leave(path, note) {
        Ok(()) => Some((path.to_path_buf(), note.at)),
        Err(e) => {
            say(format_args!("no hand-over note at {}: {e}", path.display()));
            None
        }
    }
}

fn open_console(address: SocketAddr, net: &mut Net<Gateway>) -> Result<Console, String> {
    let (listener, local) =
        net.listen(address, false).map_err(|e| format!("cannot listen for the console at {address}: {e}"))?;
    let _ = writeln!(std::io::stdout(), "micabeam: console at {local}");
    Ok(Console::new(listener))
}

/// The fleet's front, and the log that its decisions are told by.
fn open_fleet(
    config: micabeam::frontend::fleet::Config,
    handle: calloop::LoopHandle<'static, Gateway>,
    clock: &Clock,
) -> Result<Fleet, String> {
    // A second subscriber cannot be there: the first one set stays.
    let _ = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).try_init();
    Fleet::new(config, handle, clock.clone()).map_err(|e| e.to_string())
}

fn open_stream(
    config: streaming::Config,
    net: &mut Net<Gateway>,
    clock: &Clock,
) -> Result<StreamingFrontend, String> {
    let listen = config.table.listen;
    let (listener, local) =
        net.listen(listen, false).map_err(|e| format!("cannot listen at {listen}: {e}"))?;
    let _ = writeln!(std::io::stdout(), "micabeam: streams at {local}");
    // Dispatchers of one installation draw differently.
    let seed = clock.now() as u64 ^ u64::from(config.table.number) << 48;
    Ok(StreamingFrontend::new(config, seed, clock.clone(), listener))
}

fn open_gearman(
    config: gearman::Config,
    net: &mut Net<Gateway>,
    clock: &Clock,
) -> Result<GearmanFrontend, String> {
    let listen = config.listen;
    let (listener, local) =
        net.listen(listen, false).map_err(|e| format!("cannot listen at {listen}: {e}"))?;
    let _ = writeln!(std::io::stdout(), "micabeam: gearman at {local}");
    // Alone in its list, it need not differ from others in what it draws.
    GearmanFrontend::new(config, clock.now() as u64, clock.clone(), listener)
}

/// An address: of the environment, or of the configuration.
fn address(variable: &str, name: &str, told: Option<SocketAddr>) -> Result<SocketAddr, String> {
    match std::env::var(variable) {
        Ok(text) => text.parse().map_err(|_| format!("{variable} is no address: {text}")),
        Err(_) => told.ok_or_else(|| format!("the configuration has no address `{name}`")),
    }
}

fn open_platform(
    config: http::Config,
    net: &mut Net<Gateway>,
    clock: &Clock,
) -> Result<(HttpFrontend, SocketAddr), String> {
    let discovery = address("LB_DISCOVERY", "discovery", config.discovery)?;
    let listen = address("LB_LISTEN", "listen", config.listen)?;
    // A process that upgrades this one listens beside it at the same address until this one has gone.
    let (listener, local) =
        net.listen(listen, true).map_err(|e| format!("cannot listen at {listen}: {e}"))?;
    let _ = writeln!(std::io::stdout(), "micabeam: listening at {local}");
    Ok((HttpFrontend::new(config, clock.clone(), listener, discovery), local))
}
