//! The routing policy that the dispatchers of a fleet share: partitions of the endpoints, and rules that
//! assign requests to partitions. Parsed from TOML and validated as a whole; each error has its line.
//! Performs no I/O.

mod policy;
mod rules;
#[cfg(test)]
mod tests;

pub use policy::{ErrorKind, Policy, PolicyError};
pub use rules::{Empty, RequestAttributes, Rule, Test};

/// Maximum number of rules in a policy.
pub const MAX_RULES: usize = 512;
/// Maximum number of partitions in a policy.
pub const MAX_PARTITIONS: usize = 128;
/// Maximum number of headers that a rule may test.
pub const MAX_HEADERS: usize = 8;
