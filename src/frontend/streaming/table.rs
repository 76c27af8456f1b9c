//! The table `stream` of the operator's file as it is written, with the defaults of its keys. The names of its types stand in
//! the messages of serde, and stay.

use std::net::SocketAddr;

use serde::Deserialize;

/// The table as it is written. All spans end in their unit.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Table {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Client connections at most.
    pub connections: usize,
    /// The memory for bodies on their way, in MiB.
    pub memory_mb: f64,
    /// Bytes read of one stream before others have their turn, in KiB.
    pub turn_kb: f64,
    /// Pipes through which long bodies with a length go past the process, at most; each takes two descriptors. 0: none.
    pub pipes: usize,
    /// How long a client may take for a request's head.
    pub head_s: f64,
    /// How long a connection may stand idle.
    pub idle_s: f64,
    /// How long an endpoint keeps an idle connection.
    pub server_idle_s: f64,
    /// How long a connection to an endpoint may take to come up.
    pub connect_s: f64,
    /// How long streams may go on after SIGTERM.
    pub stop_s: f64,
    /// The header that names a request's tenant.
    pub tenant_header: String,
    /// The `Retry-After` of a rejection.
    pub retry_after_s: f64,
    /// Attempts at one request at most.
    pub attempts: usize,
    /// How many dispatchers there are, and the number of this one.
    pub dispatchers: u32,
    /// Number of this dispatcher, from 0.
    pub number: u32,
    /// Where discovery is.
    pub discovery: Option<SocketAddr>,
    /// The endpoints, where there is no discovery.
    pub servers: Vec<ServerTable>,
    /// Bounds on streams.
    pub streams: StreamsTable,
    /// The slow start of an endpoint.
    pub cold: ColdTable,
    /// The classes.
    pub class: Vec<ClassTable>,
}

impl Default for Table {
    fn default() -> Table {
        Table {
            listen: SocketAddr::from(([127, 0, 0, 1], 8090)),
            connections: 512,
            memory_mb: 48.0,
            turn_kb: 128.0,
            pipes: 64,
            head_s: 5.0,
            idle_s: 60.0,
            server_idle_s: 15.0,
            connect_s: 1.0,
            stop_s: 10.0,
            tenant_header: "Req-Owner".into(),
            retry_after_s: 2.0,
            attempts: 3,
            dispatchers: 1,
            number: 0,
            discovery: None,
            servers: Vec::new(),
            streams: StreamsTable::default(),
            cold: ColdTable::default(),
            class: Vec::new(),
        }
    }
}

/// An endpoint of the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerTable {
    /// Its name.
    pub name: String,
    /// Its address.
    pub dial: SocketAddr,
    /// Its size relative to the other endpoints'.
    #[serde(default = "one")]
    pub share: f64,
    /// It finishes its requests and gets no new ones.
    #[serde(default)]
    pub draining: bool,
}

fn one() -> f64 {
    1.0
}

/// Bounds on streams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StreamsTable {
    /// In all.
    pub total: usize,
    /// Of one tenant.
    pub tenant: usize,
    /// At one endpoint.
    pub server: usize,
}

impl Default for StreamsTable {
    fn default() -> StreamsTable {
        StreamsTable { total: 256, tenant: 256, server: 64 }
    }
}

/// The slow start of an endpoint: what it can take after its own start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdTable {
    /// Part of its capacity that it has then.
    pub from: f64,
    /// When it has all.
    pub warm_s: f64,
    /// Multiple of its capacity that pushes it over.
    pub multiple: f64,
}

impl Default for ColdTable {
    fn default() -> ColdTable {
        ColdTable { from: 0.14, warm_s: 22.0, multiple: 2.5 }
    }
}

/// Whether a class may run twice.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RepeatTable {
    /// Any number of times.
    Safe,
    /// Never.
    Never,
}

/// When a class's requests are dispatched.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum DispatchTable {
    /// At the head.
    Head,
    /// Once a prefix is held.
    Prefix,
    /// As with a prefix, if the client kept the least pace.
    Pace,
}

/// A class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTable {
    /// Its name: the first part of the path.
    pub name: String,
    /// Whether it may run twice.
    pub repeat: RepeatTable,
    /// How long a request may wait for an endpoint.
    #[serde(default = "wait_s")]
    pub wait_s: f64,
    /// How long a request may take until its answer begins.
    #[serde(default = "longest_s")]
    pub longest_s: f64,
    /// How long the answer may take to begin once all of the request is with its endpoint.
    #[serde(default = "answer_s")]
    pub answer_s: f64,
    /// Most of a body, each way, in MiB.
    #[serde(default = "body_mb")]
    pub body_mb: f64,
    /// Bytes held each way, in KiB.
    #[serde(default = "kb")]
    pub window_kb: f64,
    /// The prefix that is held, and can be sent again, in KiB.
    #[serde(default = "kb")]
    pub hold_kb: f64,
    /// When its requests are dispatched.
    #[serde(default = "dispatch")]
    pub dispatch: DispatchTable,
    /// Least pace of a peer that is waited for, in KiB a second.
    #[serde(default = "least")]
    pub least_kb_s: f64,
    /// The time waited over which it is measured.
    #[serde(default = "over_s")]
    pub over_s: f64,
    /// Longest wait without a byte.
    #[serde(default = "silence_s")]
    pub silence_s: f64,
}

fn wait_s() -> f64 {
    2.0
}
fn longest_s() -> f64 {
    3600.0
}
fn answer_s() -> f64 {
    30.0
}
fn body_mb() -> f64 {
    1024.0
}
fn kb() -> f64 {
    64.0
}
fn dispatch() -> DispatchTable {
    DispatchTable::Prefix
}
fn least() -> f64 {
    8.0
}
fn over_s() -> f64 {
    20.0
}
fn silence_s() -> f64 {
    30.0
}
