//! The frontends, and the gateway that connects them to the sockets. Each frontend implements one wire
//! protocol and owns a core, its connections and the state that its protocol needs.

pub mod console;
pub mod discovery;
pub mod files;
pub mod fleet;
pub mod gateway;
pub mod gearman;
pub mod handover;
pub mod http;
pub mod list_reader;
pub mod operator;
mod refusals;
pub mod shutdown;
pub mod streaming;

pub use files::{Configs, Files};
pub use gateway::Gateway;

/// The network layer, with the gateway as the handler of its events.
pub type Sockets = crate::net::Net<Gateway>;
