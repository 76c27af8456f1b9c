//! The budget: how many connections of each sort the limit on open files allows, and how many bytes of clients the limit on
//! memory.

/// Descriptors for the loop, signals, standard streams, listeners, discovery and what is being accepted.
const RESERVED_DESCRIPTORS: usize = 48;
/// Most descriptors that the budget shares out: memory is planned for no more.
const MAX_DESCRIPTORS: usize = 4096;

/// Connections of clients that have no job even when jobs are at their bound.
const MAX_SPARE_CONNECTIONS: usize = 64;

/// Connections of each sort that may be open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Of clients and call-backs.
    pub clients: usize,
    /// To endpoints.
    pub upstreams: usize,
    /// Jobs at most: fewer than clients, so that there is always a connection without one that can make room for the next.
    pub jobs: usize,
    /// Bytes held for clients: what they have sent of requests, and the bodies of jobs.
    pub bytes: usize,
}

impl Budget {
    /// Shares out a limit on descriptors: a quarter goes to endpoints, since those hold a connection only until they have
    /// taken a job, clients until it is done. None where `sockets` descriptors are too few to serve.
    ///
    /// A quarter of the memory is for what clients send. Buffers double as they grow, bodies are copied once when
    /// they are passed on, and the rest is for answers, for the program itself and for the server table.
    pub fn from_limits(sockets: usize, memory_mb: f64) -> Option<Budget> {
        let left =
            sockets.min(MAX_DESCRIPTORS).checked_sub(RESERVED_DESCRIPTORS).filter(|&left| left >= 16)?;
        let clients = left - left / 4;
        let bytes = (memory_mb.max(1.0) * f64::from(1 << 20) / 4.0) as usize;
        Some(Budget {
            clients,
            upstreams: left / 4,
            jobs: clients - (clients / 2).min(MAX_SPARE_CONNECTIONS),
            bytes,
        })
    }
}

#[cfg(test)]
mod tests;
