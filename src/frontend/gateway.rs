//! The gateway: everything that runs in the program's main thread. It owns the sockets, the clock, the
//! frontends and the console, dispatches socket events to them, and applies operators' calls, signals and
//! configuration reloads to all of them.

use std::path::PathBuf;

use thiserror::Error;

use super::console::{Call, Console};
use super::files::{Configs, Files, FilesError};
use super::fleet::{Departure, Fleet, PolicyFileError};
use super::gearman::{self, GearmanFrontend};
use super::http::HttpFrontend;
use super::streaming::{self, StreamingFrontend};
use super::{Sockets, handover};
use crate::core::{Clock, Core, HoldCounts, IncompatibleSettings};
use crate::lifecycle::{Event, Lifecycle, Phase};
use crate::net::{ConnId, Handler};
use crate::telemetry::{self, Gauges};

/// The reason why reloaded files are not applied.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// A file cannot be read or is invalid.
    #[error(transparent)]
    Files(#[from] FilesError),
    /// The policy file cannot be read or is invalid.
    #[error(transparent)]
    Policy(#[from] PolicyFileError),
    /// The change in the platform's configuration needs a restart.
    #[error("{path}: {cause}")]
    Http {
        /// The path of the file.
        path: String,
        /// The change that needs a restart.
        cause: IncompatibleSettings,
    },
    /// The change in Gearman's settings needs a restart, or its identity is invalid.
    #[error("{path}: {cause}")]
    Gearman {
        /// The path of the file.
        path: String,
        /// The change that needs a restart, or the error in the identity.
        cause: gearman::IncompatibleConfig,
    },
    /// The change in the streaming frontend's settings needs a restart.
    #[error("{path}: {cause}")]
    Streaming {
        /// The path of the file.
        path: String,
        /// The change that needs a restart.
        cause: streaming::IncompatibleConfig,
    },
}

/// The handover note that this process has written.
#[derive(Clone, Debug)]
pub struct OwnNote {
    /// The path of the note.
    pub path: PathBuf,
    /// When this process began to listen, in milliseconds since the Unix epoch.
    pub listening_since_ms: u64,
}

/// The state of the program's main thread.
pub struct Gateway {
    /// The sockets of all frontends and the console.
    pub net: Sockets,
    /// The platform's HTTP frontend, if configured.
    pub http: Option<HttpFrontend>,
    /// The Gearman frontend, if configured.
    pub gearman: Option<GearmanFrontend>,
    /// The streaming frontend, if configured.
    pub streaming: Option<StreamingFrontend>,
    /// The main thread's side of the fleet, if configured.
    pub fleet: Option<Fleet>,
    /// The operators' console, if configured.
    pub console: Option<Console>,
    /// The phase of the process, from serving to stopped.
    pub lifecycle: Lifecycle,
    /// The handover note of this process, if it could be written.
    pub note: Option<OwnNote>,
    /// The clock that all deadlines refer to.
    pub clock: Clock,
    /// The files that the settings are read from.
    pub files: Files,
}

impl Gateway {
    /// Runs all work that is due.
    pub fn tick(&mut self) {
        if let Some(console) = &mut self.console {
            console.sweep(&mut self.net, self.clock.now());
        }
        self.tick_fleet();
        if let Some(http) = &mut self.http {
            http.tick(&mut self.net);
            if let Some(fleet) =
                self.fleet.as_mut().filter(|fleet| http.has_stopped_accepting() && !fleet.is_stopped())
            {
                http.close_gate();
                fleet.stop(Departure::Stopped);
            }
        }
        if let Some(gearman) = &mut self.gearman {
            gearman.tick(&mut self.net);
        }
        if let Some(streaming) = &mut self.streaming {
            streaming.tick(&mut self.net);
        }
    }

    /// Passes the fleet's zone shares to the platform's core, and carries out the fleet's policy commands.
    fn tick_fleet(&mut self) {
        let Some(fleet) = &mut self.fleet else { return };
        fleet.tick(self.http.as_mut().map(HttpFrontend::core_mut));
        while let Some(command) = fleet.next_policy_command() {
            if let Some(http) = &mut self.http {
                fleet.carry_out(&mut self.net, http, command);
            }
        }
    }

    /// Returns when `tick` must be called next, in milliseconds of the clock.
    pub fn next_deadline(&self) -> f64 {
        [
            self.http.as_ref().map_or(f64::INFINITY, HttpFrontend::next_deadline),
            self.gearman.as_ref().map_or(f64::INFINITY, GearmanFrontend::next_deadline),
            self.streaming.as_ref().map_or(f64::INFINITY, StreamingFrontend::next_deadline),
            self.fleet.as_ref().map_or(f64::INFINITY, Fleet::next_deadline),
            self.console.as_ref().map_or(f64::INFINITY, Console::next_deadline),
        ]
        .into_iter()
        .fold(f64::INFINITY, f64::min)
    }

    /// Carries out an operator's call and returns the text of its answer.
    pub fn handle_call(&mut self, call: Call) -> String {
        match call {
            Call::Readyz => self.readiness(),
            Call::Telemetry => self.telemetry() + "--\n",
            Call::Policy => match self.fleet.as_ref().and_then(Fleet::policy_status) {
                Some(status) => format!("ACK {status}\n"),
                None => "NAK no policy is shared\n".into(),
            },
            Call::Evacuate | Call::Activate if self.lifecycle.is_stopping() => "NAK stopping\n".into(),
            Call::Evacuate => self.set_evacuating(true),
            Call::Activate => self.set_evacuating(false),
        }
    }

    /// Returns the answer to `readyz`. Once this process says that it is ready, the process that it replaces
    /// may stop listening.
    fn readiness(&self) -> String {
        if self.http.as_ref().is_some_and(|http| !http.has_reached_predecessor() || !http.has_usable_list()) {
            "NAK joining\n".into()
        } else if self.lifecycle.is_serving() {
            "ACK ready\n".into()
        } else {
            format!("NAK {}\n", phase_name(self.lifecycle.phase()))
        }
    }

    fn set_evacuating(&mut self, on: bool) -> String {
        let cause = if on { Event::Evacuate } else { Event::Activate };
        self.lifecycle.apply(self.clock.now(), cause);
        if let Some(http) = &mut self.http {
            http.evacuate(&mut self.net, on);
        }
        "ACK\n".into()
    }

    /// Returns the metrics of all frontends, in the text exposition format.
    pub fn telemetry(&self) -> String {
        let mut cores: Vec<&Core> = Vec::new();
        cores.extend(self.http.as_ref().map(HttpFrontend::core));
        cores.extend(self.gearman.as_ref().map(GearmanFrontend::core));
        cores.extend(self.streaming.as_ref().map(StreamingFrontend::core));
        let gauges = cores.iter().fold(Gauges::default(), |sum, core| sum + core.gauges());
        let holds = cores.iter().fold(HoldCounts::default(), |sum, core| sum + core.holds());
        let counts: Vec<_> = cores.iter().map(|core| core.telemetry()).collect();
        let lists = self.http.as_ref().map(|http| http.list_figures().to_string());
        telemetry::render(&counts, gauges)
            + &holds.render()
            + &lists.unwrap_or_default()
            + &self.fleet.as_ref().map(Fleet::metrics).unwrap_or_default()
    }

    /// Begins to stop: accepted requests are finished, and after a short time no new ones are accepted.
    pub fn stop(&mut self) {
        let has_successor =
            !self.lifecycle.is_stopping() && self.note.as_ref().is_some_and(OwnNote::has_successor);
        self.lifecycle.apply(self.clock.now(), Event::Terminate { successor: has_successor });
        if let Some(http) = &mut self.http {
            http.stop(&mut self.net, has_successor);
        }
        // A successor needs the fleet's address now. Without one, the lease is returned once no new requests
        // are accepted.
        if let Some(fleet) = self.fleet.as_mut().filter(|_| has_successor || self.http.is_none()) {
            fleet.stop(Departure::KeepsServing);
        }
        if let Some(gearman) = &mut self.gearman {
            gearman.stop();
        }
        if let Some(streaming) = &mut self.streaming {
            streaming.stop();
        }
    }

    /// Reads the files again and applies their settings; open jobs continue.
    ///
    /// # Errors
    /// If a file is invalid or its changes need a restart; the settings in force are then unchanged.
    pub fn reload(&mut self) -> Result<(), ReloadError> {
        let Configs { http, gearman, streaming, fleet, .. } = self.files.read()?;
        let wanted = fleet.and_then(|fleet| fleet.rollout).map(|rollout| rollout.read()).transpose()?;
        // All files are checked before any of them is applied.
        if let (Some(frontend), Some(config)) = (&self.http, &http) {
            let path = self.files.config.clone().unwrap_or_default();
            frontend.check_compatible(config).map_err(|cause| ReloadError::Http { path, cause })?;
        }
        let identity = match (&self.gearman, &gearman) {
            (Some(frontend), Some(config)) => {
                let path = self.files.gearman_path().cloned().unwrap_or_default();
                frontend.check_compatible(config).map_err(|cause| ReloadError::Gearman { path, cause })?
            }
            _ => None,
        };
        if let (Some(frontend), Some(config)) = (&self.streaming, &streaming) {
            let path = self.files.operator.clone().unwrap_or_default();
            frontend.check_compatible(config).map_err(|cause| ReloadError::Streaming { path, cause })?;
        }
        if let (Some(frontend), Some(config)) = (&mut self.streaming, streaming) {
            frontend.reload(&mut self.net, config);
        }
        if let (Some(frontend), Some(config)) = (&mut self.http, http) {
            frontend.reload(&mut self.net, config);
        }
        if let (Some(frontend), Some(config)) = (&mut self.gearman, gearman) {
            frontend.reload(config, identity);
        }
        if let (Some(fleet), Some(policy)) = (&mut self.fleet, wanted) {
            fleet.propose(policy);
        }
        Ok(())
    }

    /// Whether all frontends have stopped.
    pub fn is_stopped(&mut self) -> bool {
        let http = self.http.as_mut().is_none_or(|frontend| frontend.is_stopped(&mut self.net));
        let gearman = self.gearman.as_mut().is_none_or(|frontend| frontend.is_stopped(&mut self.net));
        http && gearman && self.streaming.as_mut().is_none_or(|frontend| frontend.is_stopped(&mut self.net))
    }

    /// Returns the counters of all frontends.
    pub fn counters(&self) -> String {
        let http = self.http.as_ref().map(|frontend| {
            let (counters, forwarded) = (frontend.core().counters(), frontend.forwarded_callbacks());
            format!("platform\n{counters}passed_on {forwarded}\n")
        });
        let gearman =
            self.gearman.as_ref().map(|frontend| format!("gearman\n{}", frontend.core().counters()));
        let streaming = self.streaming.as_ref().map(|frontend| format!("stream\n{}", frontend.counters()));
        [http, gearman, streaming].into_iter().flatten().collect()
    }
}

impl OwnNote {
    /// Whether another process has written its note at the same path since this one began to listen.
    fn has_successor(&self) -> bool {
        handover::has_successor(&self.path, std::process::id(), self.listening_since_ms)
    }
}

/// Returns the name of a phase in console answers.
fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Serving => "serving",
        Phase::Evacuating => "evacuating",
        Phase::Draining => "draining",
        Phase::HandingOver => "handing over",
        Phase::Stopped => "stopped",
    }
}

impl Handler for Gateway {
    fn on_ready(&mut self, conn: ConnId) {
        if let Some(console) = self.console.as_mut().filter(|console| console.owns(conn)) {
            let now_ms = self.clock.now();
            if let Some(call) = console.on_ready(&mut self.net, conn, now_ms) {
                let answer = self.handle_call(call);
                if let Some(console) = &mut self.console {
                    console.answer(&mut self.net, conn, now_ms, &answer);
                }
            }
            return;
        }
        if let Some(http) = self.http.as_mut().filter(|frontend| frontend.owns(conn)) {
            http.on_ready(&mut self.net, conn);
        } else if let Some(streaming) = self.streaming.as_mut().filter(|frontend| frontend.owns(conn)) {
            streaming.on_ready(&mut self.net, conn);
        } else if let Some(gearman) = &mut self.gearman {
            gearman.on_ready(&mut self.net, conn);
        }
    }

    fn on_connections_waiting(&mut self, listener: usize) {
        if let Some(console) = self.console.as_mut().filter(|console| console.listener() == listener) {
            return console.accept(&mut self.net, self.clock.now());
        }
        if let Some(http) = self.http.as_mut().filter(|frontend| frontend.listener() == listener) {
            http.accept(&mut self.net);
        } else if let Some(streaming) =
            self.streaming.as_mut().filter(|frontend| frontend.listener() == listener)
        {
            streaming.accept(&mut self.net);
        } else if let Some(gearman) = &mut self.gearman {
            gearman.accept(&mut self.net);
        }
    }
}
