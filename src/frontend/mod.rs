//! The frontends, and the gateway that joins them to the sockets. A frontend speaks one wire protocol, and owns a core, its
//! connections and what its wire needs beside that.

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
pub mod shutdown;
pub mod streaming;

pub use files::{Configs, Files};
pub use gateway::Gateway;

/// The sockets of the gateway.
pub type Sockets = crate::net::Net<Gateway>;
