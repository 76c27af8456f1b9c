//! Validates the table `stream` of the operator's file and derives the configuration of the frontend from it.

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

/// Longest body prefix that can be held, in KiB: it must fit into a connection's buffer along with the
/// request's head.
pub const MAX_PREFIX_KB: f64 = 64.0;
/// Clock resolution of the decision module: the shortest step between the times that it is called with, in
/// milliseconds.
const CLOCK_QUANTUM_MS: f64 = 1.0;
/// Window in which requests sent to an endpoint in slow start are counted against its overload limit, in
/// milliseconds. The table has no key for it.
const OVERLOAD_WINDOW_MS: f64 = 3_000.0;

/// An error in the table `stream`.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// The table defines no class.
    #[error("stream: no [[stream.class]] is given")]
    NoClass,
    /// Two classes or two endpoints have the same name.
    #[error("stream: the name `{0}` is used twice")]
    DuplicateName(String),
    /// The name of a class cannot be a segment of a path.
    #[error("stream: class name `{0}` is not valid in a path: use only letters, digits, `-`, `_` and `.`")]
    ClassName(String),
    /// The table has neither or both of `servers` and `discovery`.
    #[error("stream: give either `servers` or `discovery`")]
    Servers,
    /// A value is out of its bounds.
    #[error("stream: `{name}` is {value}, and must be from {min} to {max}")]
    OutOfBounds {
        /// The key, with the tables that it is in.
        name: String,
        /// The value that was found.
        value: f64,
        /// The lower bound.
        min: f64,
        /// The upper bound.
        max: f64,
    },
    /// `memory_mb` is too small for the number of streams that the table allows.
    #[error(
        "stream: {streams} streams need {per_stream_kb} KiB each outside of the buffer pool, \
         so `memory_mb` must be {required_mb:.0} or more, and is {configured_mb}"
    )]
    Memory {
        /// The bound on all streams.
        streams: usize,
        /// KiB that each stream may hold outside of the pool.
        per_stream_kb: f64,
        /// The smallest valid `memory_mb`.
        required_mb: f64,
        /// The `memory_mb` of the table.
        configured_mb: f64,
    },
}

/// The rules for the streams of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamClass {
    /// Buffer window, and least pace of the peers.
    pub allowance: Allowance,
    /// The condition under which a held request is dispatched.
    pub dispatch: DispatchCondition,
    /// Bytes of a request body that are kept to dispatch or retry the request.
    pub prefix_bytes: usize,
    /// Longest body in each direction, in bytes.
    pub max_body_bytes: u64,
    /// Time limit from the submission of a request to the core until its response begins, in milliseconds.
    pub response_start_limit_ms: f64,
    /// Time limit from the end of the request body until the response begins, in milliseconds.
    pub response_timeout_ms: f64,
}

/// The validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The table as it was read.
    pub table: Table,
    /// The settings for the core.
    pub site: Site,
    /// The rules of the classes, in the order of the classes in `site`.
    pub classes: Vec<StreamClass>,
    /// Bounds on concurrent streams.
    pub bounds: Bounds,
    /// Bytes that all channels together may buffer.
    pub pool_bytes: usize,
    /// Bytes that a channel may read in one turn.
    pub turn_bytes: usize,
    /// The endpoints that the file lists.
    pub endpoints: Vec<ListedEndpoint>,
}

/// Adds an error if a value is out of its bounds.
fn check_bound(errors: &mut Vec<ConfigError>, name: &str, value: f64, min: f64, max: f64) {
    if !(min..=max).contains(&value) {
        errors.push(ConfigError::OutOfBounds { name: name.into(), value, min, max });
    }
}

impl ClassTable {
    /// Checks the numeric values of the class.
    fn check_bounds(&self, errors: &mut Vec<ConfigError>) {
        let mut check = |name: &str, value, min, max| {
            check_bound(errors, &format!("class.{}.{name}", self.name), value, min, max);
        };
        check("wait_s", self.wait_s, 0.001, 3600.0);
        check("longest_s", self.longest_s, 0.001, 7.0 * 86_400.0);
        check("answer_s", self.answer_s, 0.001, self.longest_s);
        check("body_mb", self.body_mb, 0.001, 16.0 * 1024.0 * 1024.0);
        check("window_kb", self.window_kb, MIN_CHANNEL_BYTES as f64 / 1024.0, 4096.0);
        check("hold_kb", self.hold_kb, 0.0, MAX_PREFIX_KB.min(self.window_kb));
        check("least_kb_s", self.least_kb_s, 0.0, 1e9);
        check("over_s", self.over_s, 0.05, 3600.0);
        check("silence_s", self.silence_s, 0.05, 3600.0);
    }
}

impl Table {
    /// Validates the table and derives the configuration from it.
    ///
    /// # Errors
    /// All errors in the table: values out of their bounds, names that are missing, duplicate or not valid,
    /// and memory that is too small for the streams that the bounds allow.
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
        // Outside of the pool, each stream may buffer a minimum in each direction, and keep the prefix of its
        // request for a retry.
        let prefix = self.class.iter().map(|c| c.hold_kb).fold(0.0, f64::max);
        let per_stream_kb = prefix + 2.0 * MIN_CHANNEL_BYTES as f64 / 1024.0;
        let needed_mb = per_stream_kb * self.streams.total as f64 / 1024.0;
        if needed_mb + 1.0 > self.memory_mb {
            let (streams, configured_mb) = (self.streams.total, self.memory_mb);
            errors.push(ConfigError::Memory {
                streams,
                per_stream_kb,
                required_mb: needed_mb + 1.0,
                configured_mb,
            });
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        let pool = ((self.memory_mb - needed_mb) * 1024.0 * 1024.0) as usize;
        let StreamsTable { total, tenant, server } = self.streams;
        Ok(Config {
            site: self.site(),
            classes: self.class.iter().map(ClassTable::stream_class).collect(),
            bounds: Bounds { total, tenant, endpoint: server },
            pool_bytes: pool,
            turn_bytes: (self.turn_kb * 1024.0) as usize,
            endpoints: self.servers.iter().map(ServerTable::listed_endpoint).collect(),
            table: self,
        })
    }

    /// Checks the numeric values outside of the classes.
    fn check_bounds(&self, errors: &mut Vec<ConfigError>) {
        let mut check =
            |name: &str, value: f64, min: f64, max: f64| check_bound(errors, name, value, min, max);
        check("connections", self.connections as f64, 1.0, 65_536.0);
        check("memory_mb", self.memory_mb, 1.0, 65_536.0);
        check("pipes", self.pipes as f64, 0.0, 16_384.0);
        check("turn_kb", self.turn_kb, 4.0, 1024.0);
        for (name, value) in [("head_s", self.head_s), ("idle_s", self.idle_s), ("connect_s", self.connect_s)]
        {
            check(name, value, 0.001, 3600.0);
        }
        check("server_idle_s", self.server_idle_s, 1.0, 3600.0);
        check("stop_s", self.stop_s, 0.1, 3600.0);
        check("retry_after_s", self.retry_after_s, 0.0, 3600.0);
        check("attempts", self.attempts as f64, 1.0, 5.0);
        check("dispatchers", f64::from(self.dispatchers), 1.0, 1e6);
        check("number", f64::from(self.number), 0.0, f64::from(self.dispatchers.max(1)) - 1.0);
        check("streams.total", self.streams.total as f64, 1.0, 65_536.0);
        check("streams.tenant", self.streams.tenant as f64, 1.0, 65_536.0);
        check("streams.server", self.streams.server as f64, 1.0, 65_536.0);
        check("cold.from", self.cold.from, 0.01, 1.0);
        check("cold.warm_s", self.cold.warm_s, 0.0, 3600.0);
        check("cold.multiple", self.cold.multiple, 1.0, 100.0);
    }

    /// Checks that there is a class, that class names are valid, and that names of classes and endpoints are
    /// unique.
    fn check_names(&self, errors: &mut Vec<ConfigError>) {
        if self.class.is_empty() {
            errors.push(ConfigError::NoClass);
        }
        let mut names = BTreeSet::new();
        for class in &self.class {
            let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
            if class.name.is_empty() || !class.name.bytes().all(is_allowed) {
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
        let client_class =
            |c: &ClassTable| ClientClass { name: c.name.clone(), max_wait_ms: c.longest_s * 1e3 };
        let settings = Settings {
            number: self.number,
            dispatchers: self.dispatchers,
            zone: 0,
            quantum: micros(CLOCK_QUANTUM_MS),
            classes: self.class.iter().map(class).collect(),
            live_sizes: false,
            must_subscribe: self.discovery.is_some(),
            // The frontend answers probes itself, from its own count of streams.
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
            // Endpoints do not report when a job starts; the start of the response shows it.
            reports_start: false,
            reports_load: true,
        };
        let mut site = Site::plain(settings, self.class.iter().map(client_class).collect());
        site.connection_idle_ms = self.server_idle_s * 1e3;
        site.connect_timeout_ms = self.connect_s * 1e3;
        site.max_retry_after_ms = self.retry_after_s * 1e3;
        site
    }
}

impl ClassTable {
    fn stream_class(&self) -> StreamClass {
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
            response_start_limit_ms: self.longest_s * 1e3,
            response_timeout_ms: self.answer_s * 1e3,
        }
    }
}

impl ServerTable {
    fn listed_endpoint(&self) -> ListedEndpoint {
        let state = if self.draining { EndpointStatus::Draining } else { EndpointStatus::Ready };
        let listed =
            Endpoint { id: EndpointId::default(), size: self.share, status: state, ..Endpoint::default() };
        ListedEndpoint { name: self.name.clone(), address: self.dial.to_string(), endpoint: listed }
    }
}
