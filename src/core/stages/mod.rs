//! The stages that a session passes, in this order.

pub mod accept;

pub mod admit;

pub mod route;

pub mod send;

pub mod complete;

pub mod answer;
