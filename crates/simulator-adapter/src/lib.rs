//! The simulator's side of balancer: frames, JSON settings and a table of instances.
//!
//! Nothing here decides anything; each instance owns a [`balancer::Balancer`] and shares nothing.

#![forbid(unsafe_code)]

pub mod host;

pub mod wire;
