//! The dispatcher: reads its configuration, opens its sockets and runs the loop.
#![forbid(unsafe_code)]

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use micabeam::core::{Clock, Core};
use micabeam::front::platform::Platform;
use micabeam::front::{Gateway, platform};
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
    let path = std::env::var("LB_CONFIG").map_err(|_| "LB_CONFIG does not name a configuration")?;
    let config = read(&path)?;
    let platform = open_platform(&config, &mut net, &clock).map_err(|e| format!("{path}: {e}"))?;
    let mut gateway = Gateway { net, platform: Some(platform), gearman: None, clock };
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

fn open_platform(config: &JsonValue, net: &mut Net<Gateway>, clock: &Clock) -> Result<Platform, String> {
    let site = Site::read(field(config, "settings").ok_or("no `settings`")?)?;
    let seed = text(config, "seed").unwrap_or("0");
    let seed =
        u64::from_str_radix(seed, 16).map_err(|_| format!("`seed` is no hexadecimal number: {seed}"))?;
    let sockets = field(config, "limits").and_then(|l| number(l, "sockets")).unwrap_or(SOCKETS);
    let budget = Budget::of(sockets as usize).ok_or_else(|| format!("{sockets} sockets are too few"))?;
    let known = match field(config, "known") {
        Some(list) => platform::read_list(list, &site).map(|(seq, lines, _)| (seq, lines))?,
        None => (0, Vec::new()),
    };
    let discovery = address(config, "LB_DISCOVERY", "discovery")?;
    let listen = address(config, "LB_LISTEN", "listen")?;
    let (listener, local) = net.listen(listen).map_err(|e| format!("cannot listen at {listen}: {e}"))?;
    println!("micabeam: listening at {local}");
    let core = Core::new(site, seed, clock.clone(), budget.clients);
    Ok(Platform::new(core, listener, budget, discovery, known))
}
