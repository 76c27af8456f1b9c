#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod core;
pub mod front;
pub mod json;
mod logic;
pub mod net;
pub mod settings;
mod state;

pub use logic::Dispatcher;
