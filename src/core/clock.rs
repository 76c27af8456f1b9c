//! The one clock of the program: milliseconds since the Unix epoch, as a floating-point number. Tests set it; nothing else
//! in the program reads the time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::routing::Micros;

/// Tells the time; copies tell the same. It never runs backwards.
#[derive(Clone)]
pub struct Clock(Rc<Source>);

enum Source {
    System { epoch: f64, start: Instant },
    Boot { epoch: f64 },
    Manual(Cell<f64>),
}

impl Clock {
    /// The machine's time, read once and carried on by the monotonic clock.
    pub fn system() -> Clock {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1e3);
        Clock(Rc::new(Source::System { epoch, start: Instant::now() }))
    }

    /// The machine's time, read once and carried on by the clock that also counts while the machine is suspended.
    pub fn boot() -> Clock {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1e3);
        Clock(Rc::new(Source::Boot { epoch: epoch - boot_ms() }))
    }

    /// A time of this clock as `boot_ms` tells it, for another thread.
    pub fn to_boot(&self, time: f64) -> f64 {
        match &*self.0 {
            Source::Boot { epoch } => time - epoch,
            Source::System { .. } | Source::Manual(_) => time,
        }
    }

    /// A clock that stands still until it is set.
    pub fn manual(now: f64) -> Clock {
        Clock(Rc::new(Source::Manual(Cell::new(now))))
    }

    /// Sets a manual clock; one that runs by itself, or a time that has passed, is left alone.
    pub fn set(&self, now: f64) {
        if let Source::Manual(time) = &*self.0 {
            time.set(time.get().max(now));
        }
    }

    /// The time now, in milliseconds.
    pub fn now(&self) -> f64 {
        match &*self.0 {
            Source::System { epoch, start } => epoch + start.elapsed().as_secs_f64() * 1e3,
            Source::Boot { epoch } => epoch + boot_ms(),
            Source::Manual(time) => time.get(),
        }
    }
}

/// Milliseconds since the machine started, those among it for which it was suspended.
pub fn boot_ms() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

/// Milliseconds as the router's microseconds. All conversion is here.
pub fn micros(ms: f64) -> Micros {
    (ms * 1e3).round().max(0.0) as Micros
}

/// The router's microseconds as milliseconds.
pub fn millis(micros: Micros) -> f64 {
    micros as f64 / 1e3
}
