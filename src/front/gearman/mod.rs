//! Gearman's front.

use super::Sockets;
use crate::core::Core;
use crate::net::ConnId;

/// The front.
pub struct Gearman {
    core: Core,
}

impl Gearman {
    /// Its core.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// A connection is ready.
    pub fn ready(&mut self, _net: &mut Sockets, _conn: ConnId) {}

    /// Accepts what waits.
    pub fn accept(&mut self, _net: &mut Sockets) {}

    /// Does what is due.
    pub fn tick(&mut self, _net: &mut Sockets) {}

    /// When `tick` is to be called next.
    pub fn next(&self) -> f64 {
        f64::INFINITY
    }

    /// Begins to stop.
    pub fn stop(&mut self) {}

    /// Whether it has stopped.
    pub fn stopped(&mut self, _net: &mut Sockets) -> bool {
        true
    }
}
