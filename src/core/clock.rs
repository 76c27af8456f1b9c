//! The clock of the program: milliseconds since the Unix epoch, as a floating-point number. Nothing else in
//! the program reads the time, so that tests can set it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::routing::Micros;

/// A source of time; clones share it. It never runs backwards.
#[derive(Clone)]
pub struct Clock(Rc<Source>);

enum Source {
    System { epoch: f64, start: Instant },
    Boot { epoch: f64 },
    Manual(Cell<f64>),
}

impl Clock {
    /// Returns a clock that reads the wall-clock time once and advances with the monotonic clock.
    pub fn system() -> Clock {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1e3);
        Clock(Rc::new(Source::System { epoch, start: Instant::now() }))
    }

    /// Returns a clock that reads the wall-clock time once and advances with the clock that also counts while
    /// the machine is suspended.
    pub fn boot() -> Clock {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1e3);
        Clock(Rc::new(Source::Boot { epoch: epoch - boot_ms() }))
    }

    /// Converts a time of this clock to the scale of [`boot_ms`], for use in another thread.
    pub fn to_boot(&self, time: f64) -> f64 {
        match &*self.0 {
            Source::Boot { epoch } => time - epoch,
            Source::System { .. } | Source::Manual(_) => time,
        }
    }

    /// Returns a clock that only advances when it is set.
    pub fn manual(now: f64) -> Clock {
        Clock(Rc::new(Source::Manual(Cell::new(now))))
    }

    /// Sets a manual clock. Has no effect on other clocks, or if `now` is in the past.
    pub fn set(&self, now: f64) {
        if let Source::Manual(time) = &*self.0 {
            time.set(time.get().max(now));
        }
    }

    /// Returns the current time, in milliseconds.
    pub fn now(&self) -> f64 {
        match &*self.0 {
            Source::System { epoch, start } => epoch + start.elapsed().as_secs_f64() * 1e3,
            Source::Boot { epoch } => epoch + boot_ms(),
            Source::Manual(time) => time.get(),
        }
    }
}

/// Returns the milliseconds since the machine was booted, including time spent suspended.
pub fn boot_ms() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

/// Converts milliseconds to the router's microseconds. This function and [`millis`] do all conversions
/// between the two units.
pub fn micros(ms: f64) -> Micros {
    (ms * 1e3).round().max(0.0) as Micros
}

/// Converts the router's microseconds to milliseconds.
pub fn millis(micros: Micros) -> f64 {
    micros as f64 / 1e3
}
