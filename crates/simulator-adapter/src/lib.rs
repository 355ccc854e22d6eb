//! The balancer on the simulator's wire: binary frames, JSON settings and a table of instances.
//!
//! Nothing here decides anything. Each instance owns a [`balancer::Balancer`] and shares nothing with
//! the others.

#![forbid(unsafe_code)]

pub mod instances;
pub mod stream;
pub mod wire;
