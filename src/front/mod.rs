//! The fronts, and the gateway that joins them to the sockets.

pub mod gearman;
pub mod platform;

use crate::core::Clock;
use crate::net::{ConnId, Handler, Net};

use gearman::Gearman;
use platform::Platform;

/// The sockets of the gateway.
pub type Sockets = Net<Gateway>;

/// Time for which a program that stops goes on accepting, in milliseconds.
pub const LAST_CALL: f64 = 500.0;

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
