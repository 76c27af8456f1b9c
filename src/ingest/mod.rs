//! The policy that dispatchers run in common: partitions of the backend servers, and rules that say which requests go to
//! which, free of I/O. It is read from TOML and checked as a whole; each error names its line.

mod policy;
mod rules;
#[cfg(test)]
mod tests;

pub use policy::{Fault, Policy, PolicyError};
pub use rules::{Empty, Event, Rule, Test};

/// Most rules of a policy.
pub const MOST_RULES: usize = 512;
/// Most partitions of a policy.
pub const MOST_PARTITIONS: usize = 128;
/// Most headers that a rule may name.
pub const MOST_HEADERS: usize = 8;
