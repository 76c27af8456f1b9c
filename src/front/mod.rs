//! The fronts, and the gateway that joins them to the sockets.

pub mod gearman;
pub mod platform;

use crate::core::Clock;
use crate::json::{self, JsonValue, field};
use crate::net::{ConnId, Handler, Net};

use gearman::Gearman;
use platform::Platform;

/// The sockets of the gateway.
pub type Sockets = Net<Gateway>;

/// Time for which a program that stops goes on accepting, in milliseconds.
pub const LAST_CALL: f64 = 500.0;

/// The files that the settings come from.
pub struct Files {
    /// The platform's configuration.
    pub config: Option<String>,
    /// The operator's file of Gearman's front.
    pub gearman: Option<String>,
}

impl Files {
    /// Reads those there are. What Gearman's connections may take is not the platform's to give out.
    pub fn read(&self) -> Result<(Option<platform::Config>, Option<gearman::Config>), String> {
        let config = self.config.as_deref().map(load).transpose()?;
        let settings = config.as_ref().and_then(|c| field(c, "settings"));
        let gearman = self
            .gearman
            .as_ref()
            .map(|path| gearman::Config::read(&load(path)?, settings).map_err(|e| format!("{path}: {e}")));
        let gearman = gearman.transpose()?;
        let taken = gearman.as_ref().map_or(0, |g| g.peers);
        let platform = config
            .zip(self.config.as_ref())
            .map(|(config, path)| platform::Config::read(&config, taken).map_err(|e| format!("{path}: {e}")));
        Ok((platform.transpose()?, gearman))
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
    pub platform: Option<Platform>,
    /// Gearman's front, where it is set up.
    pub gearman: Option<Gearman>,
    /// The clock.
    pub clock: Clock,
    /// The files that its settings come from.
    pub files: Files,
}

impl Gateway {
    /// Does what is due by now.
    pub fn tick(&mut self) {
        if let Some(front) = &mut self.platform {
            front.tick(&mut self.net);
        }
        if let Some(front) = &mut self.gearman {
            front.tick(&mut self.net);
        }
    }

    /// When `tick` is to be called next.
    pub fn next(&self) -> f64 {
        let platform = self.platform.as_ref().map_or(f64::INFINITY, Platform::next);
        platform.min(self.gearman.as_ref().map_or(f64::INFINITY, Gearman::next))
    }

    /// Begins to stop: what was taken is finished, and nothing new is taken after a short while.
    pub fn stop(&mut self) {
        if let Some(front) = &mut self.platform {
            front.stop();
        }
        if let Some(front) = &mut self.gearman {
            front.stop();
        }
    }

    /// Reads the files again and takes their settings over; what is in flight goes on. An error leaves all
    /// settings in force as they are.
    pub fn reload(&mut self) -> Result<(), String> {
        let (config, file) = self.files.read()?;
        // Both must fit before either is taken over.
        let of = |files: &Option<String>| files.clone().unwrap_or_default();
        if let (Some(front), Some(config)) = (&self.platform, &config) {
            front.fits(config).map_err(|e| format!("{}: {e}", of(&self.files.config)))?;
        }
        let identity = match (&self.gearman, &file) {
            (Some(front), Some(file)) => {
                front.fits(file).map_err(|e| format!("{}: {e}", of(&self.files.gearman)))?
            }
            _ => None,
        };
        if let (Some(front), Some(config)) = (&mut self.platform, config) {
            front.reload(&mut self.net, config);
        }
        if let (Some(front), Some(file)) = (&mut self.gearman, file) {
            front.reload(file, identity);
        }
        Ok(())
    }

    /// Whether it has stopped.
    pub fn stopped(&mut self) -> bool {
        let platform = self.platform.as_mut().is_none_or(|front| front.stopped(&mut self.net));
        platform && self.gearman.as_mut().is_none_or(|front| front.stopped(&mut self.net))
    }

    /// The counters of all fronts.
    pub fn counters(&self) -> String {
        let platform = self.platform.as_ref().map(|f| format!("platform\n{}", f.core().counters()));
        let gearman = self.gearman.as_ref().map(|f| format!("gearman\n{}", f.core().counters()));
        platform.unwrap_or_default() + &gearman.unwrap_or_default()
    }
}

impl Handler for Gateway {
    fn ready(&mut self, conn: ConnId) {
        match (&mut self.platform, &mut self.gearman) {
            (Some(front), _) if front.owns(conn) => front.ready(&mut self.net, conn),
            (_, Some(front)) => front.ready(&mut self.net, conn),
            _ => {}
        }
    }

    fn waiting(&mut self, listener: usize) {
        match (&mut self.platform, &mut self.gearman) {
            (Some(front), _) if front.listener() == listener => front.accept(&mut self.net),
            (_, Some(front)) => front.accept(&mut self.net),
            _ => {}
        }
    }
}
