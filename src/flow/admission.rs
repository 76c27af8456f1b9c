//! Admission control for streams: limits on concurrent streams in total, per tenant and per endpoint.

use rustc_hash::FxHashMap;

use thiserror::Error;

use crate::routing::{EndpointId, LoadReport};

/// Limits on concurrent streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Streams in total.
    pub total: usize,
    /// Streams of one tenant; requests that name no tenant count together as one tenant.
    pub tenant: usize,
    /// Streams to one endpoint.
    pub endpoint: usize,
}

/// The reason a stream was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AdmissionError {
    /// The total limit is reached.
    #[error("too many streams")]
    Total,
    /// The limit of the request's tenant is reached.
    #[error("too many streams of this tenant")]
    Tenant,
}

/// Counts concurrent streams in total and per tenant, and rejects those above the limits.
pub struct Admission {
    bounds: Bounds,
    total: usize,
    tenants: FxHashMap<String, usize>,
}

impl Admission {
    /// Creates a counter without streams.
    pub fn new(bounds: Bounds) -> Admission {
        Admission { bounds, total: 0, tenants: FxHashMap::default() }
    }

    /// Replaces the limits. Streams that are already admitted continue even if they exceed the new limits.
    pub fn reconfigure(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Admits a stream. The caller must call `leave` exactly once for each admitted stream.
    ///
    /// # Errors
    /// Returns an error if the total limit or the tenant's limit is reached.
    pub fn enter(&mut self, tenant: &str) -> Result<(), AdmissionError> {
        if self.total >= self.bounds.total {
            return Err(AdmissionError::Total);
        }
        let tenant_streams = self.tenants.get(tenant).copied().unwrap_or(0);
        if tenant_streams >= self.bounds.tenant {
            return Err(AdmissionError::Tenant);
        }
        self.total += 1;
        self.tenants.insert(tenant.to_string(), tenant_streams + 1);
        Ok(())
    }

    /// Records that an admitted stream of `tenant` has ended.
    pub fn leave(&mut self, tenant: &str) {
        self.total = self.total.saturating_sub(1);
        if let Some(count) = self.tenants.get_mut(tenant) {
            *count -= 1;
            // Removing empty entries keeps the table from growing with every tenant name that clients invent.
            if *count == 0 {
                self.tenants.remove(tenant);
            }
        }
    }

    /// Returns the number of admitted streams.
    pub fn total(&self) -> usize {
        self.total
    }
}

/// Counts the streams to each endpoint and reports the remaining slots to the router. The router enforces the
/// limit: it chooses another endpoint or holds the request.
pub struct Slots {
    per_endpoint: usize,
    in_use: FxHashMap<EndpointId, usize>,
}

impl Slots {
    /// The queue length reported for an endpoint without a free slot: so long that waiting there is never the
    /// router's best choice.
    const QUEUE_WHEN_FULL: f64 = 1000.0;

    /// Creates `per_endpoint` free slots for every endpoint.
    pub fn new(per_endpoint: usize) -> Slots {
        Slots { per_endpoint, in_use: FxHashMap::default() }
    }

    /// Replaces the limit per endpoint. Streams above the new limit continue.
    pub fn reconfigure(&mut self, per_endpoint: usize) {
        self.per_endpoint = per_endpoint;
    }

    /// Takes a slot of an endpoint. Returns false if none is free.
    pub fn acquire(&mut self, endpoint: EndpointId) -> bool {
        let in_use = self.in_use.entry(endpoint).or_default();
        let is_free = *in_use < self.per_endpoint;
        *in_use += usize::from(is_free);
        is_free
    }

    /// Returns a slot that was taken with `acquire`.
    pub fn release(&mut self, endpoint: EndpointId) {
        if let Some(in_use) = self.in_use.get_mut(&endpoint) {
            *in_use -= 1;
            if *in_use == 0 {
                self.in_use.remove(&endpoint);
            }
        }
    }

    /// Returns the load report of an endpoint, built from the slots in use.
    pub fn report(&self, endpoint: EndpointId) -> LoadReport {
        let in_use = self.in_use.get(&endpoint).copied().unwrap_or(0);
        let free = self.per_endpoint.saturating_sub(in_use);
        let queue = if free == 0 { Slots::QUEUE_WHEN_FULL } else { 0.0 };
        LoadReport { free_slots: Some(free as f64), queue: Some(queue), held: None }
    }
}
