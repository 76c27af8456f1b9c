//! The stages that a job passes, in this order. Each changes only the parts of the core that it is handed; `Core` calls
//! them one after the other, and no stage calls back into it.

pub(super) mod accept;

pub(super) mod admit;

pub(super) mod route;

pub(super) mod send;

pub(super) mod complete;

pub(super) mod answer;
