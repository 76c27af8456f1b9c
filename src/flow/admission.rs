//! How many streams there may be: in all, of a tenant, and at a server.

use std::fmt::Display;

use rustc_hash::FxHashMap;

use crate::routing::{EndpointId, LoadReport};

/// Bounds on streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// In all.
    pub total: usize,
    /// Of one tenant; requests that name none count as one.
    pub tenant: usize,
    /// At one backend server.
    pub server: usize,
}

/// Which bound is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// That on all streams.
    Total,
    /// That on a tenant's.
    Tenant,
}

impl Display for Full {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Full::Total => "too many streams",
            Full::Tenant => "too many streams of this tenant",
        })
    }
}

/// Counts streams, and turns away what is beyond the bounds.
pub struct Admission {
    bounds: Bounds,
    total: usize,
    tenants: FxHashMap<String, usize>,
}

impl Admission {
    /// None yet.
    pub fn new(bounds: Bounds) -> Admission {
        Admission { bounds, total: 0, tenants: FxHashMap::default() }
    }

    /// Takes over other bounds; streams beyond them go on.
    pub fn adopt(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Takes a stream in, unless a bound is reached. Each that was taken in is to be given back by `leave`.
    ///
    /// # Errors
    /// Where the bound on all streams, or on those of the tenant, is reached.
    pub fn enter(&mut self, tenant: &str) -> Result<(), Full> {
        if self.total >= self.bounds.total {
            return Err(Full::Total);
        }
        let of_tenant = self.tenants.get(tenant).copied().unwrap_or(0);
        if of_tenant >= self.bounds.tenant {
            return Err(Full::Tenant);
        }
        self.total += 1;
        self.tenants.insert(tenant.to_string(), of_tenant + 1);
        Ok(())
    }

    /// A stream is over.
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

    /// Streams there are.
    pub fn total(&self) -> usize {
        self.total
    }
}

/// Streams at each backend server, told to the decision module as its free slots: so it is the module that keeps
/// the bound, by going on to another server or by holding the request.
pub struct Slots {
    each: usize,
    out: FxHashMap<EndpointId, usize>,
}

impl Slots {
    /// What a server without a free slot counts as having in its queue: no request is better off waiting there.
    const FULL: f64 = 1000.0;

    /// So many at each server.
    pub fn new(each: usize) -> Slots {
        Slots { each, out: FxHashMap::default() }
    }

    /// Takes over another bound; streams beyond it go on.
    pub fn adopt(&mut self, each: usize) {
        self.each = each;
    }

    /// Takes a slot, if one is free.
    pub fn take(&mut self, server: EndpointId) -> bool {
        let out = self.out.entry(server).or_default();
        let free = *out < self.each;
        *out += usize::from(free);
        free
    }

    /// Gives a slot back.
    pub fn give_back(&mut self, server: EndpointId) {
        if let Some(out) = self.out.get_mut(&server) {
            *out -= 1;
            if *out == 0 {
                self.out.remove(&server);
            }
        }
    }

    /// What the module is to know of a server.
    pub fn report(&self, server: EndpointId) -> LoadReport {
        let free = self.each.saturating_sub(self.out.get(&server).copied().unwrap_or(0));
        let queue = if free == 0 { Slots::FULL } else { 0.0 };
        LoadReport { free_slots: Some(free as f64), queue: Some(queue), held: None }
    }
}
