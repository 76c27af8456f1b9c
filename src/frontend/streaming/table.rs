//! The table `stream` of the operator's file as it is written, with the defaults of its keys. Error messages
//! of serde contain the names of these types, so renaming a type changes messages that operators see.

use std::net::SocketAddr;

use serde::Deserialize;

/// The table `stream`, not yet validated. The suffix of a key is the unit of its value.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Table {
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Maximum number of client connections.
    pub connections: usize,
    /// Memory for buffered bodies, in MiB.
    pub memory_mb: f64,
    /// Size of a turn: how much of a channel is read before the next channel has its turn, in KiB.
    pub turn_kb: f64,
    /// Maximum number of kernel pipes, through which long bodies with a known length are spliced instead of
    /// copied. Each pipe uses two descriptors. 0 disables splicing.
    pub pipes: usize,
    /// Time limit for receiving the head of a request.
    pub head_s: f64,
    /// Time after which an idle client connection is closed.
    pub idle_s: f64,
    /// Time for which endpoints keep an idle connection open; none is reused after that time.
    pub server_idle_s: f64,
    /// Time limit for establishing a connection to an endpoint.
    pub connect_s: f64,
    /// Time after SIGTERM at which the streams that are still open are aborted.
    pub stop_s: f64,
    /// Name of the request header that contains the tenant.
    pub tenant_header: String,
    /// Value of `Retry-After` in rejections by this frontend, and upper limit for the core's.
    pub retry_after_s: f64,
    /// Maximum number of attempts per request.
    pub attempts: usize,
    /// Number of dispatchers that share the endpoints.
    pub dispatchers: u32,
    /// Index of this dispatcher, counted from 0.
    pub number: u32,
    /// Address of the discovery service.
    pub discovery: Option<SocketAddr>,
    /// The endpoints, if there is no discovery service.
    pub servers: Vec<ServerTable>,
    /// Bounds on concurrent streams.
    pub streams: StreamsTable,
    /// Slow start of an endpoint.
    pub cold: ColdTable,
    /// The classes of requests.
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

/// An endpoint that the file lists.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerTable {
    /// Unique name of the endpoint.
    pub name: String,
    /// Address of the endpoint.
    pub dial: SocketAddr,
    /// Capacity of the endpoint relative to the others.
    #[serde(default = "one")]
    pub share: f64,
    /// Whether the endpoint drains: it finishes its requests and gets no new ones.
    #[serde(default)]
    pub draining: bool,
}

fn one() -> f64 {
    1.0
}

/// Bounds on concurrent streams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StreamsTable {
    /// Maximum number of streams in total.
    pub total: usize,
    /// Maximum number of streams per tenant.
    pub tenant: usize,
    /// Maximum number of streams per endpoint.
    pub server: usize,
}

impl Default for StreamsTable {
    fn default() -> StreamsTable {
        StreamsTable { total: 256, tenant: 256, server: 64 }
    }
}

/// Slow start: how the capacity of an endpoint ramps up after the endpoint has started.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdTable {
    /// Fraction of its full capacity that an endpoint has right after its start.
    pub from: f64,
    /// Time after its start at which an endpoint has its full capacity.
    pub warm_s: f64,
    /// Load, as a multiple of its current capacity, that overloads an endpoint during slow start.
    pub multiple: f64,
}

impl Default for ColdTable {
    fn default() -> ColdTable {
        ColdTable { from: 0.14, warm_s: 22.0, multiple: 2.5 }
    }
}

/// Whether the requests of a class may be retried after they may have run.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RepeatTable {
    /// The requests are idempotent.
    Safe,
    /// The requests are not idempotent, and never run twice.
    Never,
}

/// The condition under which the requests of a class are dispatched.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum DispatchTable {
    /// As soon as the head is received.
    Head,
    /// Once a prefix of the body is received.
    Prefix,
    /// Like `Prefix`, but only if the client has sent at the least pace or faster.
    Pace,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTable {
    /// Name of the class: the first segment of the path of its requests.
    pub name: String,
    /// Whether its requests may run twice.
    pub repeat: RepeatTable,
    /// Latency objective for the wait for an endpoint.
    #[serde(default = "wait_s")]
    pub wait_s: f64,
    /// Time limit from the submission of a request to the core until its response begins.
    #[serde(default = "longest_s")]
    pub longest_s: f64,
    /// Time limit from the end of the request body until the response begins.
    #[serde(default = "answer_s")]
    pub answer_s: f64,
    /// Longest body in each direction, in MiB.
    #[serde(default = "body_mb")]
    pub body_mb: f64,
    /// Buffer window of a stream in each direction, in KiB.
    #[serde(default = "kb")]
    pub window_kb: f64,
    /// Size of the body prefix that is held before dispatch and kept for a retry, in KiB.
    #[serde(default = "kb")]
    pub hold_kb: f64,
    /// The condition under which its requests are dispatched.
    #[serde(default = "dispatch")]
    pub dispatch: DispatchTable,
    /// Least pace of a peer while the stream waits for it, in KiB per second.
    #[serde(default = "least")]
    pub least_kb_s: f64,
    /// Time spent waiting over which the pace is measured.
    #[serde(default = "over_s")]
    pub over_s: f64,
    /// Longest wait for a peer without any byte transferred.
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
