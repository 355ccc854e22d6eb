//! Connects balancers to a simulator, which sends events and receives actions in binary frames.
//!
//! [`wire`] translates the frames, [`instances`] keeps the simulated nodes, and [`stream`] reads
//! frames and writes replies. The crate makes no decisions: each instance owns a
//! [`balancer::Balancer`] and shares nothing with the others. Settings arrive as JSON, which the
//! settings crate reads.

#![forbid(unsafe_code)]

pub mod instances;
pub mod stream;
pub mod wire;
