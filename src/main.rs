//! The dispatcher: reads its configuration, opens its sockets and runs the loop.
#![forbid(unsafe_code)]

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use micabeam::core::{Clock, Core};
use micabeam::front::Gateway;
use micabeam::front::gearman::{self, Gearman};
use micabeam::front::platform::{self, Platform};
use micabeam::json::{self, JsonValue, field, number, text};
use micabeam::net::{Budget, Net};
use micabeam::settings::Site;

/// Longest time between two rounds of the loop.
const ROUND: f64 = 1000.0;
/// Descriptors counted on where the configuration names no limit.
const SOCKETS: f64 = 1024.0;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("micabeam: {}", message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut events: EventLoop<'static, Gateway> = EventLoop::try_new().map_err(|e| e.to_string())?;
    let handle = events.handle();
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1])
        .map_err(|e| format!("signals: {e}"))?;
    handle
        .insert_source(signals, |event, (), gateway: &mut Gateway| match event.signal() {
            Signal::SIGUSR1 => eprint!("{}", gateway.counters()),
            _ => gateway.stop(),
        })
        .map_err(|e| e.to_string())?;

    let clock = Clock::system();
    let mut net = Net::new(handle);
    let file = gearman_file()?;
    let path = std::env::var("LB_CONFIG").ok();
    let config = path.as_deref().map(read).transpose()?;
    if config.is_none() && file.is_none() {
        return Err("LB_CONFIG names no configuration, and --gearman no operator's file".into());
    }
    let gearman = match &file {
        Some(file) => {
            let settings = config.as_ref().and_then(|c| field(c, "settings"));
            Some(open_gearman(file, settings, &mut net, &clock)?)
        }
        None => None,
    };
    let platform = match (&config, &path) {
        (Some(config), Some(path)) => {
            // What Gearman's connections may take is not the platform's to give out.
            let taken = gearman.as_ref().map_or(0, Gearman::peers);
            Some(open_platform(config, taken, &mut net, &clock).map_err(|e| format!("{path}: {e}"))?)
        }
        _ => None,
    };
    let mut gateway = Gateway { net, platform, gearman, clock };
    gateway.tick();
    while !gateway.stopped() {
        let wait = (gateway.next() - gateway.clock.now()).clamp(0.0, ROUND);
        let wait = Duration::from_secs_f64(wait / 1e3);
        events.dispatch(Some(wait), &mut gateway).map_err(|e| format!("the loop: {e}"))?;
        gateway.tick();
    }
    eprint!("{}", gateway.counters());
    Ok(())
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

fn open_gearman(
    file: &str,
    settings: Option<&JsonValue>,
    net: &mut Net<Gateway>,
    clock: &Clock,
) -> Result<Gearman, String> {
    let config = gearman::Config::load(file, settings)?;
    let listen = config.listen;
    let (listener, local) = net.listen(listen).map_err(|e| format!("cannot listen at {listen}: {e}"))?;
    println!("micabeam: gearman at {local}");
    // Alone in its list, it need not differ from others in what it draws.
    Gearman::new(config, clock.now() as u64, clock.clone(), listener).map_err(|e| format!("{file}: {e}"))
}

fn read(path: &str) -> Result<JsonValue, String> {
    let bytes = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
    json::parse(&bytes).map_err(|e| format!("{path}: {e}"))
}

/// An address: of the environment, or of the configuration.
fn address(config: &JsonValue, variable: &str, name: &str) -> Result<SocketAddr, String> {
    let set = std::env::var(variable).ok();
    let address = set.as_deref().or(text(config, name)).ok_or_else(|| format!("no address `{name}`"))?;
    address.parse().map_err(|_| format!("`{name}` is no address: {address}"))
}

fn open_platform(
    config: &JsonValue,
    taken: usize,
    net: &mut Net<Gateway>,
    clock: &Clock,
) -> Result<Platform, String> {
    let site = Site::read(field(config, "settings").ok_or("no `settings`")?)?;
    let seed = text(config, "seed").unwrap_or("0");
    let seed =
        u64::from_str_radix(seed, 16).map_err(|_| format!("`seed` is no hexadecimal number: {seed}"))?;
    let sockets = field(config, "limits").and_then(|l| number(l, "sockets")).unwrap_or(SOCKETS);
    let budget = Budget::of((sockets as usize).saturating_sub(taken))
        .ok_or_else(|| format!("{sockets} sockets are too few"))?;
    let known = match field(config, "known") {
        Some(list) => platform::read_list(list, &site).map(|(seq, lines, _)| (seq, lines))?,
        None => (0, Vec::new()),
    };
    let discovery = address(config, "LB_DISCOVERY", "discovery")?;
    let listen = address(config, "LB_LISTEN", "listen")?;
    let (listener, local) = net.listen(listen).map_err(|e| format!("cannot listen at {listen}: {e}"))?;
    println!("micabeam: listening at {local}");
    let core = Core::new(site, seed, clock.clone(), budget.sessions);
    Ok(Platform::new(core, listener, budget, discovery, known))
}
