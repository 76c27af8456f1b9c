//! Budget of connections and memory: how many connections of each kind the limit on descriptors allows, and
//! how many bytes may be held for clients under the memory limit.

/// Descriptors reserved for the event loop, signals, standard streams, listeners, discovery and connections
/// being accepted.
const RESERVED_DESCRIPTORS: usize = 48;
/// Maximum number of descriptors that the budget distributes; memory is not planned for more.
const MAX_DESCRIPTORS: usize = 4096;

/// Client connections that remain available without a job when the limit on jobs is reached.
const MAX_CONNECTIONS_WITHOUT_JOB: usize = 64;

/// Limits on open connections, jobs and buffered bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Accepted connections: from clients, and from endpoints that send call-backs.
    pub clients: usize,
    /// Connections to endpoints.
    pub upstreams: usize,
    /// Jobs. Fewer than `clients`, so that there is always a connection without a job that can be closed for
    /// the next one.
    pub jobs: usize,
    /// Bytes held for clients: received parts of requests, and the bodies of jobs.
    pub bytes: usize,
}

impl Budget {
    /// Distributes `max_descriptors` descriptors. A quarter goes to endpoints: a job occupies a connection to
    /// an endpoint only until the endpoint has accepted it, but a client connection until it is done. Returns
    /// `None` if there are too few descriptors to serve.
    ///
    /// A quarter of the memory is for what clients send, because buffers double as they grow and bodies are
    /// copied once when they are forwarded. The rest is for responses, the program itself and the endpoint
    /// table.
    pub fn from_limits(max_descriptors: usize, memory_mb: f64) -> Option<Budget> {
        let available = max_descriptors
            .min(MAX_DESCRIPTORS)
            .checked_sub(RESERVED_DESCRIPTORS)
            .filter(|&available| available >= 16)?;
        let clients = available - available / 4;
        let bytes = (memory_mb.max(1.0) * f64::from(1 << 20) / 4.0) as usize;
        Some(Budget {
            clients,
            upstreams: available / 4,
            jobs: clients - (clients / 2).min(MAX_CONNECTIONS_WITHOUT_JOB),
            bytes,
        })
    }
}

#[cfg(test)]
mod tests;
