//! The dispatcher: reads its configuration, opens its sockets and runs the loop.
#![forbid(unsafe_code)]

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use micabeam::core::Clock;
use micabeam::front::gearman::{self, Gearman};
use micabeam::front::platform::{self, Platform};
use micabeam::front::{Files, Gateway};
use micabeam::net::Net;
use micabeam::say;

/// Longest time between two rounds of the loop.
const ROUND: f64 = 1000.0;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            say(message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
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
    let mut net = Net::new(handle);
    let files = Files { config: std::env::var("LB_CONFIG").ok(), gearman: gearman_file()? };
    let (config, file) = files.read()?;
    if config.is_none() && file.is_none() {
        return Err("LB_CONFIG names no configuration, and --gearman no operator's file".into());
    }
    let gearman = file.map(|file| open_gearman(file, &mut net, &clock)).transpose()?;
    let platform = config.map(|config| open_platform(config, &mut net, &clock)).transpose()?;
    let mut gateway = Gateway { net, platform, gearman, clock, files };
    gateway.tick();
    while !gateway.stopped() {
        let wait = (gateway.next() - gateway.clock.now()).clamp(0.0, ROUND);
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

/// The operator's file of the Gearman front, as the command line names it.
fn gearman_file() -> Result<Option<String>, String> {
    let mut arguments = std::env::args().skip(1);
    match (arguments.next().as_deref(), arguments.next(), arguments.next()) {
        (None, ..) => Ok(None),
        (Some("--gearman"), Some(file), None) => Ok(Some(file)),
        _ => Err("usage: micabeam [--gearman FILE]".into()),
    }
}

fn open_gearman(config: gearman::Config, net: &mut Net<Gateway>, clock: &Clock) -> Result<Gearman, String> {
    let listen = config.listen;
    let (listener, local) = net.listen(listen).map_err(|e| format!("cannot listen at {listen}: {e}"))?;
    let _ = writeln!(std::io::stdout(), "micabeam: gearman at {local}");
    // Alone in its list, it need not differ from others in what it draws.
    Gearman::new(config, clock.now() as u64, clock.clone(), listener)
}

/// An address: of the environment, or of the configuration.
fn address(variable: &str, name: &str, told: Option<SocketAddr>) -> Result<SocketAddr, String> {
    match std::env::var(variable) {
        Ok(text) => text.parse().map_err(|_| format!("{variable} is no address: {text}")),
        Err(_) => told.ok_or_else(|| format!("the configuration has no address `{name}`")),
    }
}

fn open_platform(
    config: platform::Config,
    net: &mut Net<Gateway>,
    clock: &Clock,
) -> Result<Platform, String> {
    let discovery = address("LB_DISCOVERY", "discovery", config.discovery)?;
    let listen = address("LB_LISTEN", "listen", config.listen)?;
    let (listener, local) = net.listen(listen).map_err(|e| format!("cannot listen at {listen}: {e}"))?;
    let _ = writeln!(std::io::stdout(), "micabeam: listening at {local}");
    Ok(Platform::new(config, clock.clone(), listener, discovery))
}
