//! Runs real proxy processes on loopback under overlapping faults, and checks invariants on the
//! traffic that crosses the sockets.
//!
//! A seed determines settings, sizes and faults ([`plan`]), so that running it again repeats the
//! same faults. [`run()`](run::run) starts the [`cluster`] of a plan: proxy processes, backends,
//! discovery and clients. Their actions and observations are reported to the checker of the
//! [`invariants`], which sees nothing of a node's internal state.

pub mod backend;
pub mod clients;
pub mod cluster;
pub mod discovery;
pub mod discovery_mode;
pub mod fault_injector;
pub mod http;
pub mod invariants;
pub mod message_body;
pub mod operator;
pub mod plan;
pub mod proxy_node;
pub mod run;
