//! Stages of job processing, in order. Each stage changes only the parts of the core that are passed to it.
//! `Core` calls the stages one after the other; no stage calls back into `Core`.

pub(super) mod accept;

pub(super) mod admit;

pub(super) mod route;

pub(super) mod send;

pub(super) mod complete;

pub(super) mod answer;
