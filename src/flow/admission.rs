//! Admission of streams: how many there may be in all, of one tenant, and at one endpoint.

use rustc_hash::FxHashMap;

use thiserror::Error;

use crate::routing::{EndpointId, LoadReport};

/// Bounds on streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// In all.
    pub total: usize,
    /// Of one tenant; requests that name none count as one.
    pub tenant: usize,
    /// At one endpoint.
    pub endpoint: usize,
}

/// Why a stream is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AdmissionError {
    /// The bound on all streams is reached.
    #[error("too many streams")]
    Total,
    /// The bound on the tenant's streams is reached.
    #[error("too many streams of this tenant")]
    Tenant,
}

/// Counts streams, and rejects those above the bounds.
pub struct Admission {
    bounds: Bounds,
    total: usize,
    tenants: FxHashMap<String, usize>,
}

impl Admission {
    /// No streams yet.
    pub fn new(bounds: Bounds) -> Admission {
        Admission { bounds, total: 0, tenants: FxHashMap::default() }
    }

    /// Takes over other bounds; streams above them go on.
    pub fn reconfigure(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Admits a stream. The caller must call `leave` once for each that was admitted.
    ///
    /// # Errors
    /// Where the bound on all streams, or on those of the tenant, is reached.
    pub fn enter(&mut self, tenant: &str) -> Result<(), AdmissionError> {
        if self.total >= self.bounds.total {
            return Err(AdmissionError::Total);
        }
        let of_tenant = self.tenants.get(tenant).copied().unwrap_or(0);
        if of_tenant >= self.bounds.tenant {
            return Err(AdmissionError::Tenant);
        }
        self.total += 1;
        self.tenants.insert(tenant.to_string(), of_tenant + 1);
        Ok(())
    }

    /// An admitted stream has ended.
    pub fn leave(&mut self, tenant: &str) {
        self.total = self.total.saturating_sub(1);
        if let Some(count) = self.tenants.get_mut(tenant) {
            *count -= 1;
            // Guards against a table that grows with each name that a client makes up.
            if *count == 0 {
                self.tenants.remove(tenant);
            }
        }
    }

    /// How many streams there are.
    pub fn total(&self) -> usize {
        self.total
    }
}

/// Counts the streams at each endpoint, and reports the rest of the bound to the decision module as free slots: the module
/// keeps the bound, by going on to another endpoint or by holding the request.
pub struct Slots {
    per_endpoint: usize,
    in_use: FxHashMap<EndpointId, usize>,
}

impl Slots {
    /// Jobs that an endpoint without a free slot reports as queued: so many that no request is better off waiting there.
    const QUEUE_WHEN_FULL: f64 = 1000.0;

    /// `per_endpoint` slots at each endpoint, all of them free.
    pub fn new(per_endpoint: usize) -> Slots {
        Slots { per_endpoint, in_use: FxHashMap::default() }
    }

    /// Takes over another bound; streams above it go on.
    pub fn reconfigure(&mut self, per_endpoint: usize) {
        self.per_endpoint = per_endpoint;
    }

    /// Takes a slot. False if none is free.
    pub fn take(&mut self, endpoint: EndpointId) -> bool {
        let in_use = self.in_use.entry(endpoint).or_default();
        let is_free = *in_use < self.per_endpoint;
        *in_use += usize::from(is_free);
        is_free
    }

    /// Gives a slot back that `take` gave.
    pub fn give_back(&mut self, endpoint: EndpointId) {
        if let Some(in_use) = self.in_use.get_mut(&endpoint) {
            *in_use -= 1;
            if *in_use == 0 {
                self.in_use.remove(&endpoint);
            }
        }
    }

    /// The load report of an endpoint.
    pub fn report(&self, endpoint: EndpointId) -> LoadReport {
        let in_use = self.in_use.get(&endpoint).copied().unwrap_or(0);
        let free = self.per_endpoint.saturating_sub(in_use);
        let queue = if free == 0 { Slots::QUEUE_WHEN_FULL } else { 0.0 };
        LoadReport { free_slots: Some(free as f64), queue: Some(queue), held: None }
    }
}
