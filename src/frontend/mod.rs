//! The fronts, and the gateway that joins them to the sockets.

pub mod console;
pub mod discovery;
pub mod fleet;
pub mod gearman;
pub mod handover;
pub mod http;
pub mod operator;
pub mod streaming;

use std::net::SocketAddr;

use crate::core::{Clock, Core};
use crate::json::{self, JsonValue, field, text};
use crate::lifecycle::{Cause, Lifecycle, Phase};
use crate::net::{ConnId, Handler, Net};
use crate::telemetry::{self, Gauges};

use console::{Call, Console};
use fleet::{Departure, Fleet};
use gearman::GearmanFrontend;
use http::HttpFrontend;
use streaming::StreamingFrontend;

/// The sockets of the gateway.
pub type Sockets = Net<Gateway>;

/// A stop that has begun, in milliseconds of the clock. Until `last_call` all goes on as before: another
/// dispatcher of the zone may be away as well, and then nobody else would take the requests. After it
/// connections are closed between requests.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Nothing new is taken from here on.
    pub last_call: f64,
    /// Since when all sessions are over.
    quiet: Option<f64>,
}

impl Shutdown {
    /// A kill comes no sooner than the longest deadline, counted as `LONGEST` at most, and `MORE` after the
    /// signal; what came within `MORE` may be left unanswered by it.
    const LONGEST: f64 = 3000.0;
    const MORE: f64 = 700.0;
    /// Left for the last answers to go out, and for the signal to come in.
    const MARGIN: f64 = 400.0;
    /// How long the program goes on taking requests at most: seen on open connections until 1.1 s after the
    /// signal. What comes last has half of the time or more left.
    const SERVES: f64 = 1200.0;

    /// How long peers may take to read the last answers once all sessions are over.
    const READS: f64 = 300.0;

    /// Whether the program can end, now that no session is open. Guards against a stop that never ends since a peer
    /// does not read its answers.
    pub fn is_over(&mut self, now: f64, written: impl FnOnce() -> bool) -> bool {
        if now < self.last_call {
            return false;
        }
        let since = *self.quiet.get_or_insert(now);
        now >= since + Shutdown::READS || written()
    }

    /// A stop that begins now.
    pub fn begin(core: &mut Core) -> Shutdown {
        let longest = core.site().client_classes.iter().map(|g| g.max_wait_ms).fold(0.0, f64::max);
        Shutdown::within(core, longest.min(Shutdown::LONGEST) + Shutdown::MORE - Shutdown::MARGIN)
    }

    /// The same where a kill comes no sooner than `end` milliseconds after the signal.
    pub fn within(core: &mut Core, end: f64) -> Shutdown {
        let now = core.clock().now();
        let serves = Shutdown::SERVES.min(end / 2.0);
        core.limit_late_deadlines(now + Shutdown::MORE - Shutdown::MARGIN, now + end);
        Shutdown { last_call: now + serves, quiet: None }
    }
}

/// The files that the settings come from.
pub struct Files {
    /// The platform's configuration.
    pub config: Option<String>,
    /// The operator's file of Gearman's front.
    pub gearman: Option<String>,
    /// The operator's file of all fronts.
    pub operator: Option<String>,
}

/// What the files say, a front each.
pub struct Configs {
    /// The platform's.
    pub platform: Option<http::Config>,
    /// Gearman's.
    pub gearman: Option<gearman::Config>,
    /// The stream front's.
    pub stream: Option<streaming::Config>,
    /// The fleet's.
    pub fleet: Option<fleet::Config>,
    /// The console's address: of `$LB_CONSOLE`, of `console` in the platform's configuration, or of the
    /// operator's file, in that order.
    pub console: Option<SocketAddr>,
}

impl Files {
    /// Reads those there are. What the connections of other fronts may take is not the platform's to give out.
    pub fn read(&self) -> Result<Configs, String> {
        let config = self.config.as_deref().map(load).transpose()?;
        let settings = config.as_ref().and_then(|c| field(c, "settings"));
        let operator = self.operator.as_ref().map(|path| operator::read(path.as_ref()));
        let operator = operator.transpose().map_err(|e| e.to_string())?;
        let console = match std::env::var("LB_CONSOLE") {
            Ok(text) => Some(text.parse().map_err(|_| format!("LB_CONSOLE is no address: {text}"))?),
            Err(_) => match config.as_ref().and_then(|c| text(c, "console")) {
                Some(text) => Some(text.parse().map_err(|_| format!("`console` is no address: {text}"))?),
                None => operator.as_ref().and_then(|o| o.console),
            },
        };
        let (table, stream, fleet) = operator.map_or((None, None, None), |o| (o.gearman, o.stream, o.fleet));
        let path = self.gearman.as_ref().or(self.operator.as_ref());
        let file = match (&self.gearman, table) {
            (Some(path), Some(_)) => return Err(format!("{path}: Gearman is set up in two files")),
            (Some(path), None) => Some(load(path)?),
            (None, table) => table,
        };
        let gearman = file
            .zip(path)
            .map(|(file, path)| gearman::Config::read(&file, settings).map_err(|e| format!("{path}: {e}")));
        let gearman = gearman.transpose()?;
        let taken = gearman.as_ref().map_or(0, |g| g.peers);
        let taken = taken + stream.as_ref().map_or(0, streaming::StreamingFrontend::descriptors);
        let platform = config
            .zip(self.config.as_ref())
            .map(|(config, path)| http::Config::read(&config, taken).map_err(|e| format!("{path}: {e}")));
        Ok(Configs { platform: platform.transpose()?, gearman, stream, fleet, console })
    }
}

fn load(path: &str) -> Result<JsonValue, String> {
    let bytes = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
    json::parse(&bytes).map_err(|e| format!("{path}: {e}"))
}

/// All that runs in the program's one thread.
pub struct Gateway {
    /// The sockets.
    pub net: Sockets,
    /// The platform's front, where it is set up.
    pub platform: Option<HttpFrontend>,
    /// Gearman's front, where it is set up.
    pub gearman: Option<GearmanFrontend>,
    /// The stream front, where it is set up.
    pub stream: Option<StreamingFrontend>,
    /// The fleet's front, where it is set up.
    pub fleet: Option<Fleet>,
    /// The operators' console, where it is set up.
    pub console: Option<Console>,
    /// Where the process is in its life.
    pub life: Lifecycle,
    /// Where this process left its hand-over note, and when.
    pub note: Option<(std::path::PathBuf, u64)>,
    /// The clock.
    pub clock: Clock,
    /// The files that its settings come from.
    pub files: Files,
}

impl Gateway {
    /// Does what is due by now.
    pub fn tick(&mut self) {
        if let Some(console) = &mut self.console {
            console.sweep(&mut self.net, self.clock.now());
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.tick(self.platform.as_mut().map(HttpFrontend::core_mut));
            while let Some(command) = fleet.next_policy_command() {
                if let Some(front) = &mut self.platform {
                    fleet.carry_out(&mut self.net, front, command);
                }
            }
        }
        if let Some(front) = &mut self.platform {
            front.tick(&mut self.net);
            if let Some(fleet) = self.fleet.as_mut().filter(|fleet| front.closes() && !fleet.is_stopped()) {
                front.close_gate();
                fleet.stop(Departure::Stopped);
            }
        }
        if let Some(front) = &mut self.gearman {
            front.tick(&mut self.net);
        }
        if let Some(front) = &mut self.stream {
            front.tick(&mut self.net);
        }
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> f64 {
        let platform = self.platform.as_ref().map_or(f64::INFINITY, HttpFrontend::next_deadline);
        let gearman = self.gearman.as_ref().map_or(f64::INFINITY, GearmanFrontend::next_deadline);
        let console = self.console.as_ref().map_or(f64::INFINITY, Console::next_deadline);
        let fleet = self.fleet.as_ref().map_or(f64::INFINITY, Fleet::next_deadline);
        platform
            .min(fleet)
            .min(gearman)
            .min(self.stream.as_ref().map_or(f64::INFINITY, StreamingFrontend::next_deadline))
            .min(console)
    }

    /// Carries an operator's call out and words its answer.
    pub fn call(&mut self, call: Call) -> String {
        let now = self.clock.now();
        match call {
            // At its yes the process that it replaces may stop listening.
            Call::Readyz if self.platform.as_ref().is_some_and(|front| !front.joined()) => {
                "NAK joining\n".into()
            }
            Call::Readyz if self.life.ready() => "ACK ready\n".into(),
            Call::Readyz => format!("NAK {}\n", phase(self.life.phase())),
            Call::Telemetry => self.telemetry() + "--\n",
            Call::Policy => match self.fleet.as_ref().and_then(Fleet::policy_status) {
                Some(standing) => format!("ACK {standing}\n"),
                None => "NAK no policy is shared\n".into(),
            },
            Call::Evacuate | Call::Activate if self.life.stopping() => "NAK stopping\n".into(),
            Call::Evacuate | Call::Activate => {
                let evacuate = call == Call::Evacuate;
                self.life.on(now, if evacuate { Cause::Evacuate } else { Cause::Activate });
                if let Some(front) = &mut self.platform {
                    front.evacuate(&mut self.net, evacuate);
                }
                "ACK\n".into()
            }
        }
    }

    /// The figures of all fronts, in the text exposition format.
    pub fn telemetry(&self) -> String {
        let mut cores: Vec<&Core> = Vec::new();
        cores.extend(self.platform.as_ref().map(HttpFrontend::core));
        cores.extend(self.gearman.as_ref().map(GearmanFrontend::core));
        cores.extend(self.stream.as_ref().map(StreamingFrontend::core));
        let gauges = cores.iter().fold(Gauges::default(), |sum, core| sum + core.gauges());
        let counts: Vec<_> = cores.iter().map(|core| core.telemetry()).collect();
        telemetry::render(&counts, gauges) + &self.fleet.as_ref().map(Fleet::figures).unwrap_or_default()
    }

    /// Begins to stop: what was taken is finished, and nothing new is taken after a short while.
    pub fn stop(&mut self) {
        let own = std::process::id();
        let successor = !self.life.stopping()
            && self.note.as_ref().is_some_and(|(path, since)| handover::successor(path, own, *since));
        self.life.on(self.clock.now(), Cause::Terminate { successor });
        if let Some(front) = &mut self.platform {
            front.stop(&mut self.net, successor);
        }
        // A successor needs the fleet's address now; without one the lease is given back once nothing new is taken.
        if let Some(fleet) = self.fleet.as_mut().filter(|_| successor || self.platform.is_none()) {
            fleet.stop(Departure::ServesOn);
        }
        if let Some(front) = &mut self.gearman {
            front.stop();
        }
        if let Some(front) = &mut self.stream {
            front.stop();
        }
    }

    /// Reads the files again and takes their settings over; what is in flight goes on. An error leaves all
    /// settings in force as they are.
    pub fn reload(&mut self) -> Result<(), String> {
        let Configs { platform: config, gearman: file, stream, fleet, .. } = self.files.read()?;
        let wanted = fleet.and_then(|fleet| fleet.rollout).map(|rollout| rollout.read()).transpose();
        let wanted = wanted.map_err(|e| e.to_string())?;
        // All must fit before any is taken over.
        let of = |files: &Option<String>| files.clone().unwrap_or_default();
        if let (Some(front), Some(config)) = (&self.platform, &config) {
            front.fits(config).map_err(|e| format!("{}: {e}", of(&self.files.config)))?;
        }
        let identity = match (&self.gearman, &file) {
            (Some(front), Some(file)) => {
                let path = self.files.gearman.as_ref().or(self.files.operator.as_ref());
                front.fits(file).map_err(|e| format!("{}: {e}", path.cloned().unwrap_or_default()))?
            }
            _ => None,
        };
        if let (Some(front), Some(config)) = (&self.stream, &stream) {
            front.fits(config).map_err(|e| format!("{}: {e}", of(&self.files.operator)))?;
        }
        if let (Some(front), Some(config)) = (&mut self.stream, stream) {
            front.reload(&mut self.net, config);
        }
        if let (Some(front), Some(config)) = (&mut self.platform, config) {
            front.reload(&mut self.net, config);
        }
        if let (Some(front), Some(file)) = (&mut self.gearman, file) {
            front.reload(file, identity);
        }
        if let (Some(fleet), Some(policy)) = (&mut self.fleet, wanted) {
            fleet.propose(policy);
        }
        Ok(())
    }

    /// Whether it has stopped.
    pub fn stopped(&mut self) -> bool {
        let platform = self.platform.as_mut().is_none_or(|front| front.stopped(&mut self.net));
        let gearman = self.gearman.as_mut().is_none_or(|front| front.stopped(&mut self.net));
        platform && gearman && self.stream.as_mut().is_none_or(|front| front.stopped(&mut self.net))
    }

    /// The counters of all fronts.
    pub fn counters(&self) -> String {
        let platform = self
            .platform
            .as_ref()
            .map(|f| format!("platform\n{}passed_on {}\n", f.core().counters(), f.passed_on()));
        let gearman = self.gearman.as_ref().map(|f| format!("gearman\n{}", f.core().counters()));
        let stream = self.stream.as_ref().map(|f| format!("stream\n{}", f.counters()));
        platform.unwrap_or_default() + &gearman.unwrap_or_default() + &stream.unwrap_or_default()
    }
}

/// A phase as the console names it.
fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Serving => "serving",
        Phase::Evacuating => "evacuating",
        Phase::Draining => "draining",
        Phase::HandingOver => "handing over",
        Phase::Stopped => "stopped",
    }
}

impl Handler for Gateway {
    fn ready(&mut self, conn: ConnId) {
        if let Some(console) = self.console.as_mut().filter(|console| console.owns(conn)) {
            let now = self.clock.now();
            if let Some(call) = console.ready(&mut self.net, conn, now) {
                let answer = self.call(call);
                if let Some(console) = &mut self.console {
                    console.answer(&mut self.net, conn, now, &answer);
                }
            }
            return;
        }
        let (platform, stream) = (&mut self.platform, &mut self.stream);
        if let Some(front) = platform.as_mut().filter(|front| front.owns(conn)) {
            front.ready(&mut self.net, conn);
        } else if let Some(front) = stream.as_mut().filter(|front| front.owns(conn)) {
            front.ready(&mut self.net, conn);
        } else if let Some(front) = &mut self.gearman {
            front.ready(&mut self.net, conn);
        }
    }

    fn waiting(&mut self, listener: usize) {
        if let Some(console) = self.console.as_mut().filter(|console| console.listener() == listener) {
            return console.accept(&mut self.net, self.clock.now());
        }
        let (platform, stream) = (&mut self.platform, &mut self.stream);
        if let Some(front) = platform.as_mut().filter(|front| front.listener() == listener) {
            front.accept(&mut self.net);
        } else if let Some(front) = stream.as_mut().filter(|front| front.listener() == listener) {
            front.accept(&mut self.net);
        } else if let Some(front) = &mut self.gearman {
            front.accept(&mut self.net);
        }
    }
}
