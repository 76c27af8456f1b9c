//! The table `stream` of the operator's file, checked, and what the frontend is set up by.

use std::collections::BTreeSet;

use thiserror::Error;

pub use super::table::Table;
use super::table::{ClassTable, DispatchTable, RepeatTable, ServerTable, StreamsTable};
use crate::core::{ListedEndpoint, micros};
use crate::flow::{Allowance, Bounds, DispatchCondition, MIN_CHANNEL_BYTES, Pace};
use crate::routing::{
    Capabilities, Class, Endpoint, EndpointId, EndpointStatus, Idempotency, ServiceRules, Settings,
};
use crate::settings::{ClientClass, Site};

/// Longest prefix of a body that can be held, in KiB: it must fit into a connection's buffer with the request's head.
pub const MAX_PREFIX_KB: f64 = 64.0;
/// Shortest time between two calls of the decision module with different clocks, in milliseconds.
const CLOCK_QUANTUM_MS: f64 = 1.0;
/// Time within which what a cold server is sent is counted, in milliseconds: the table does not tell it.
const OVERLOAD_WINDOW_MS: f64 = 3_000.0;

/// What is wrong with the table.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// There is no class.
    #[error("stream: no [[stream.class]] is given")]
    NoClass,
    /// Two classes or two endpoints of one name.
    #[error("stream: `{0}` is named twice")]
    DuplicateName(String),
    /// A class's name cannot be the first part of a path.
    #[error("stream: class name `{0}` cannot stand in a path: letters, digits, `-`, `_` and `.` only")]
    ClassName(String),
    /// Neither or both of `servers` and `discovery`.
    #[error("stream: give either `servers` or `discovery`")]
    Servers,
    /// A figure that is out of its bounds.
    #[error("stream: `{name}` is {value}, and must be from {least} to {most}")]
    OutOfBounds {
        /// Its key.
        name: String,
        /// Its value.
        value: f64,
        /// Its lower bound.
        least: f64,
        /// Its upper bound.
        most: f64,
    },
    /// The memory cannot hold what the bounds allow.
    #[error(
        "stream: {streams} streams with {kept_kb} KiB each beside the pool need {needed_mb:.0} MiB, \
         and `memory_mb` is {given_mb}"
    )]
    Memory {
        /// Streams in all.
        streams: usize,
        /// KiB that each may hold.
        kept_kb: f64,
        /// MiB that they need.
        needed_mb: f64,
        /// MiB that the table gives.
        given_mb: f64,
    },
}

/// What a class's streams go by, times in milliseconds and sizes in bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamClass {
    /// Windows and pace.
    pub allowance: Allowance,
    /// When its requests are dispatched.
    pub dispatch: DispatchCondition,
    /// Bytes of a body that can be held and sent again.
    pub prefix_bytes: usize,
    /// Longest body, each way.
    pub max_body_bytes: u64,
    /// How long a request may take until its answer begins.
    pub answer_start_limit_ms: f64,
    /// How long the answer may take to begin once all of the request is with its endpoint.
    pub answer_timeout_ms: f64,
}

/// All that the table says, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The table.
    pub table: Table,
    /// The settings of the core.
    pub site: Site,
    /// The classes, in the order of the core's.
    pub classes: Vec<StreamClass>,
    /// Bounds on streams.
    pub bounds: Bounds,
    /// Bytes that all channels may hold together.
    pub pool_bytes: usize,
    /// Bytes of a turn.
    pub turn_bytes: usize,
    /// The endpoints of the file.
    pub endpoints: Vec<ListedEndpoint>,
}

/// Adds an error where a figure is out of its bounds.
fn check_bound(errors: &mut Vec<ConfigError>, name: &str, value: f64, least: f64, most: f64) {
    if !(least..=most).contains(&value) {
        errors.push(ConfigError::OutOfBounds { name: name.into(), value, least, most });
    }
}

impl ClassTable {
    /// Checks the figures of the class.
    fn check_bounds(&self, errors: &mut Vec<ConfigError>) {
        let mut within = |name: &str, value, least, most| {
            check_bound(errors, &format!("class.{}.{name}", self.name), value, least, most);
        };
        within("wait_s", self.wait_s, 0.001, 3600.0);
        within("longest_s", self.longest_s, 0.001, 7.0 * 86_400.0);
        within("answer_s", self.answer_s, 0.001, self.longest_s);
        within("body_mb", self.body_mb, 0.001, 16.0 * 1024.0 * 1024.0);
        within("window_kb", self.window_kb, MIN_CHANNEL_BYTES as f64 / 1024.0, 4096.0);
        within("hold_kb", self.hold_kb, 0.0, MAX_PREFIX_KB.min(self.window_kb));
        within("least_kb_s", self.least_kb_s, 0.0, 1e9);
        within("over_s", self.over_s, 0.05, 3600.0);
        within("silence_s", self.silence_s, 0.05, 3600.0);
    }
}

impl Table {
    /// Checks the table. All that is wrong with it is told.
    ///
    /// # Errors
    /// All that is wrong: where a figure is out of its bounds, a name is missing, given twice or not valid, or the memory
    /// cannot hold what the bounds allow.
    pub fn check(self) -> Result<Config, Vec<ConfigError>> {
        let mut errors = Vec::new();
        self.check_bounds(&mut errors);
        for class in &self.class {
            class.check_bounds(&mut errors);
        }
        self.check_names(&mut errors);
        if self.servers.is_empty() == self.discovery.is_none() {
            errors.push(ConfigError::Servers);
        }
        // Beside the pool each stream may read its least each way, and keep its prefix to send it again.
        let prefix = self.class.iter().map(|c| c.hold_kb).fold(0.0, f64::max);
        let kept_kb = prefix + 2.0 * MIN_CHANNEL_BYTES as f64 / 1024.0;
        let needed_mb = kept_kb * self.streams.total as f64 / 1024.0;
        if needed_mb + 1.0 > self.memory_mb {
            let (streams, given_mb) = (self.streams.total, self.memory_mb);
            errors.push(ConfigError::Memory { streams, kept_kb, needed_mb: needed_mb + 1.0, given_mb });
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        let pool = ((self.memory_mb - needed_mb) * 1024.0 * 1024.0) as usize;
        let StreamsTable { total, tenant, server } = self.streams;
        Ok(Config {
            site: self.site(),
            classes: self.class.iter().map(ClassTable::stream).collect(),
            bounds: Bounds { total, tenant, endpoint: server },
            pool_bytes: pool,
            turn_bytes: (self.turn_kb * 1024.0) as usize,
            endpoints: self.servers.iter().map(ServerTable::line).collect(),
            table: self,
        })
    }

    /// Checks the figures outside the classes.
    fn check_bounds(&self, errors: &mut Vec<ConfigError>) {
        let mut within =
            |name: &str, value: f64, least: f64, most: f64| check_bound(errors, name, value, least, most);
        within("connections", self.connections as f64, 1.0, 65_536.0);
        within("memory_mb", self.memory_mb, 1.0, 65_536.0);
        within("pipes", self.pipes as f64, 0.0, 16_384.0);
        within("turn_kb", self.turn_kb, 4.0, 1024.0);
        for (name, value) in [("head_s", self.head_s), ("idle_s", self.idle_s), ("connect_s", self.connect_s)]
        {
            within(name, value, 0.001, 3600.0);
        }
        within("server_idle_s", self.server_idle_s, 1.0, 3600.0);
        within("stop_s", self.stop_s, 0.1, 3600.0);
        within("retry_after_s", self.retry_after_s, 0.0, 3600.0);
        within("attempts", self.attempts as f64, 1.0, 5.0);
        within("dispatchers", f64::from(self.dispatchers), 1.0, 1e6);
        within("number", f64::from(self.number), 0.0, f64::from(self.dispatchers.max(1)) - 1.0);
        within("streams.total", self.streams.total as f64, 1.0, 65_536.0);
        within("streams.tenant", self.streams.tenant as f64, 1.0, 65_536.0);
        within("streams.server", self.streams.server as f64, 1.0, 65_536.0);
        within("cold.from", self.cold.from, 0.01, 1.0);
        within("cold.warm_s", self.cold.warm_s, 0.0, 3600.0);
        within("cold.multiple", self.cold.multiple, 1.0, 100.0);
    }

    /// Checks that the names of classes and endpoints are there, valid, and given once.
    fn check_names(&self, errors: &mut Vec<ConfigError>) {
        if self.class.is_empty() {
            errors.push(ConfigError::NoClass);
        }
        let mut names = BTreeSet::new();
        for class in &self.class {
            let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
            if class.name.is_empty() || !class.name.bytes().all(fits) {
                errors.push(ConfigError::ClassName(class.name.clone()));
            }
            if !names.insert(class.name.as_str()) {
                errors.push(ConfigError::DuplicateName(class.name.clone()));
            }
        }
        let mut names = BTreeSet::new();
        for server in &self.servers {
            if !names.insert(server.name.as_str()) {
                errors.push(ConfigError::DuplicateName(server.name.clone()));
            }
        }
    }

    fn site(&self) -> Site {
        let class = |c: &ClassTable| Class {
            latency_objective: micros(c.wait_s * 1e3),
            stretch: 0.0,
            priority_weight: 1.0,
            late_value: 0.0,
            idempotency: if c.repeat == RepeatTable::Safe {
                Idempotency::Idempotent
            } else {
                Idempotency::NotIdempotent
            },
            kind: None,
        };
        let grade = |c: &ClassTable| ClientClass { name: c.name.clone(), max_wait_ms: c.longest_s * 1e3 };
        let settings = Settings {
            number: self.number,
            dispatchers: self.dispatchers,
            zone: 0,
            quantum: micros(CLOCK_QUANTUM_MS),
            classes: self.class.iter().map(class).collect(),
            live_sizes: false,
            must_subscribe: self.discovery.is_some(),
            // A probe is answered by the frontend itself, out of its own count of streams.
            capabilities: Capabilities {
                max_attempts: self.attempts,
                may_cancel: true,
                cancel_frees_slot: true,
                may_probe: true,
            },
            zones_cost: false,
            rules: ServiceRules {
                initial_capacity: self.cold.from,
                warm_up: micros(self.cold.warm_s * 1e3),
                overload_multiple: self.cold.multiple,
                overload_window: micros(OVERLOAD_WINDOW_MS),
                poll_within: micros(5_000.0),
                drain_grace: micros(2_000.0),
            },
            // Nor does a server tell when it starts: its answer does.
            reports_start: false,
            reports_load: true,
        };
        let mut site = Site::plain(settings, self.class.iter().map(grade).collect());
        site.connection_idle_ms = self.server_idle_s * 1e3;
        site.connect_timeout_ms = self.connect_s * 1e3;
        site.max_retry_after_ms = self.retry_after_s * 1e3;
        site
    }
}

impl ClassTable {
    fn stream(&self) -> StreamClass {
        let kb = |kb: f64| (kb * 1024.0) as usize;
        let pace = Pace {
            min_bytes_per_s: self.least_kb_s * 1024.0,
            window_ms: self.over_s * 1e3,
            max_silence_ms: self.silence_s * 1e3,
        };
        StreamClass {
            allowance: Allowance { window: kb(self.window_kb), pace },
            dispatch: match self.dispatch {
                DispatchTable::Head => DispatchCondition::Head,
                DispatchTable::Prefix => DispatchCondition::Prefix,
                DispatchTable::Pace => DispatchCondition::Pace,
            },
            prefix_bytes: kb(self.hold_kb),
            max_body_bytes: (self.body_mb * 1024.0 * 1024.0) as u64,
            answer_start_limit_ms: self.longest_s * 1e3,
            answer_timeout_ms: self.answer_s * 1e3,
        }
    }
}

impl ServerTable {
    fn line(&self) -> ListedEndpoint {
        let state = if self.draining { EndpointStatus::Draining } else { EndpointStatus::Ready };
        let member =
            Endpoint { id: EndpointId::default(), size: self.share, status: state, ..Endpoint::default() };
        ListedEndpoint { name: self.name.clone(), address: self.dial.to_string(), endpoint: member }
    }
}
