//! The stages that a session passes, in this order.

pub mod take_in;

pub mod admit;

pub mod route;

pub mod send;

pub mod relay;

pub mod book;
